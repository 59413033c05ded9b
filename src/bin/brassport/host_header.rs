//! The host that a request names (RFC 9112, section 3.2).

use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::http::uri::{Authority, Scheme};
use hyper::{Request, Uri, Version};

/// Checks the host of a request. The host of a request line in absolute form replaces the Host header, so that servers
/// find no other.
///
/// # Errors
/// The text of the 400 response.
pub fn normalize<B>(request: &mut Request<B>) -> Result<(), &'static str> {
    check_host_header(request.version(), request.headers())?;
    if let Some(host) = request_line_host(request.uri())? {
        request.headers_mut().insert(HOST, host);
    }
    Ok(())
}

/// The host in the request line, if that is in absolute form.
fn request_line_host(uri: &Uri) -> Result<Option<HeaderValue>, &'static str> {
    let (Some(scheme), Some(authority)) = (uri.scheme(), uri.authority()) else { return Ok(None) };
    if *scheme != Scheme::HTTP || !is_host(authority.as_str().as_bytes()) {
        return Err("the request line names no host of HTTP");
    }
    HeaderValue::from_str(authority.as_str()).map(Some).map_err(|_| "the request line names no host")
}

/// Checks that there is at most one Host header, with a host and an optional port. HTTP/1.1 requires one.
fn check_host_header(version: Version, headers: &HeaderMap) -> Result<(), &'static str> {
    let mut hosts = headers.get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (None, _) if version == Version::HTTP_11 => Err("Host is missing"),
        (None, _) => Ok(()),
        (Some(_), Some(_)) => Err("Host stands there twice"),
        (Some(host), None) if is_host(host.as_bytes().trim_ascii()) => Ok(()),
        (Some(_), None) => Err("Host names no host"),
    }
}

/// Whether `text` is a host with an optional port. It may be empty: a client that has no host name sends it so.
fn is_host(text: &[u8]) -> bool {
    if text.is_empty() {
        return true;
    }
    let Ok(authority) = Authority::try_from(text) else { return false };
    let port = authority.as_str().rsplit_once(':').map(|(_, port)| port);
    let port = port.filter(|port| !port.ends_with(']'));
    let port_is_valid = port.is_none_or(|port| port.is_empty() || port.parse::<u16>().is_ok());
    port_is_valid && !authority.as_str().contains('@')
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hosts_with_and_without_a_port_are_accepted_and_nothing_else() {
        for host in ["", "h", "backend.local", "127.0.0.1:8443", "[::1]", "[::1]:80", "h:"] {
            assert!(is_host(host.as_bytes()), "{host}");
        }
        for other in ["a b", "h:port", "h:99999", "user@h", "h/path", "\u{e9}"] {
            assert!(!is_host(other.as_bytes()), "{other}");
        }
    }
}
