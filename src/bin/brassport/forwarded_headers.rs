//! Which headers of a message are forwarded to the other side.

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that are not forwarded: those of a single connection, and those addressed to this gateway.
const NOT_FORWARDED: [HeaderName; 11] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
    HeaderName::from_static("usage-percent"),
    HeaderName::from_static("x-load"),
];

/// The header names that the Connection headers of a message list.
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    values.filter_map(|value| value.to_str().ok()).flat_map(|names| names.split(',').map(str::trim))
}

/// The headers of a message that are forwarded to the other side.
pub fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> =
        connection_options(&headers).filter_map(|name| name.parse().ok()).collect();
    for name in connection_headers {
        headers.remove(name);
    }
    for name in NOT_FORWARDED {
        headers.remove(name);
    }
    headers
}
