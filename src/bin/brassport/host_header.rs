//! The host that a request names (RFC 9112, section 3.2).

use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::http::uri::{Authority, Scheme};
use hyper::{Request, Uri, Version};

/// Checks which host a request names. The host of a request line in absolute form replaces the Host header, so that
/// whoever reads on finds no other.
///
/// # Errors
/// What is wrong, for the answer.
pub fn normalize<B>(request: &mut Request<B>) -> Result<(), &'static str> {
    check(request.version(), request.headers())?;
    if let Some(host) = host_of_line(request.uri())? {
        request.headers_mut().insert(HOST, host);
    }
    Ok(())
}

/// The host that the request line names, if it has one.
fn host_of_line(uri: &Uri) -> Result<Option<HeaderValue>, &'static str> {
    let (Some(scheme), Some(authority)) = (uri.scheme(), uri.authority()) else { return Ok(None) };
    if *scheme != Scheme::HTTP || !is_host(authority.as_str().as_bytes()) {
        return Err("the request line names no host of HTTP");
    }
    HeaderValue::from_str(authority.as_str()).map(Some).map_err(|_| "the request line names no host")
}

/// Checks the Host header: one of them, which HTTP/1.1 wants, with a host and perhaps a port.
fn check(version: Version, headers: &HeaderMap) -> Result<(), &'static str> {
    let mut hosts = headers.get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (None, _) if version == Version::HTTP_11 => Err("Host is missing"),
        (None, _) => Ok(()),
        (Some(_), Some(_)) => Err("Host stands there twice"),
        (Some(host), None) if is_host(host.as_bytes().trim_ascii()) => Ok(()),
        (Some(_), None) => Err("Host names no host"),
    }
}

/// Whether this is a host, perhaps with a port; a client with no name for it leaves it empty.
fn is_host(text: &[u8]) -> bool {
    if text.is_empty() {
        return true;
    }
    let Ok(authority) = Authority::try_from(text) else { return false };
    let port = authority.as_str().rsplit_once(':').map(|(_, port)| port);
    let port = port.filter(|port| !port.ends_with(']'));
    let has_port = port.is_none_or(|port| port.is_empty() || port.parse::<u16>().is_ok());
    has_port && !authority.as_str().contains('@')
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hosts_with_and_without_a_port_are_taken_and_nothing_else() {
        for host in ["", "h", "backend.local", "127.0.0.1:8443", "[::1]", "[::1]:80", "h:"] {
            assert!(is_host(host.as_bytes()), "{host}");
        }
        for other in ["a b", "h:port", "h:99999", "user@h", "h/path", "\u{e9}"] {
            assert!(!is_host(other.as_bytes()), "{other}");
        }
    }
}
