//! Responses that the gateway makes itself.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// The response to a request that does not arrive completely in time.
pub const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// A response with this status and a body of one line.
pub fn text_response(status: StatusCode, line: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(line.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A 429 response, with a Retry-After header if `retry_after_ms` is above 0.
pub fn refusal(retry_after_ms: f64) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "");
    if let Some(Ok(seconds)) = retry_after_seconds(retry_after_ms).map(HeaderValue::try_from) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// The same response in bytes, for a connection that closes after it.
pub fn refusal_bytes(retry_after_ms: f64) -> Vec<u8> {
    let retry_after = retry_after_seconds(retry_after_ms);
    let retry_after = retry_after.map_or(String::new(), |seconds| format!("Retry-After: {seconds}\r\n"));
    format!("HTTP/1.1 429 Too Many Requests\r\n{retry_after}Connection: close\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

/// The value of a Retry-After header, if there is to be one.
fn retry_after_seconds(retry_after_ms: f64) -> Option<String> {
    (retry_after_ms > 0.0).then(|| format!("{:.3}", retry_after_ms / 1000.0))
}
