//! Listening sockets of the stand-ins, with a long queue. A connection that meets a full queue is delayed by a second,
//! which neither the rules nor an injected fault would account for.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The length of the queue; the system uses less if `net.core.somaxconn` is lower.
const BACKLOG: i32 = 4096;

/// Listens on a free port of the address.
///
/// # Errors
/// If the socket cannot be created, bound or listened on.
pub fn bind(ip: Ipv4Addr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((ip, 0)).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Like [`bind`], with a listener of the current Tokio runtime.
///
/// # Errors
/// As [`bind`], or if the socket cannot be made non-blocking.
pub fn listen(ip: Ipv4Addr) -> io::Result<tokio::net::TcpListener> {
    let listener = bind(ip)?;
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}
