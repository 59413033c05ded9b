//! Responses that the gateway makes itself.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A response with this status and a body of one line.
pub fn text_response(status: StatusCode, line: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(line.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A 429 response, with a Retry-After header if `retry_after_ms` is above 0.
pub fn refusal(retry_after_ms: f64) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "");
    if retry_after_ms > 0.0 {
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0)) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

/// The bytes of a response without a body, for a connection that closes after it.
pub fn encode_last(response: &Response<Full<Bytes>>) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {}\r\n", response.status()).into_bytes();
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"Connection: close\r\nContent-Length: 0\r\n\r\n");
    bytes
}
