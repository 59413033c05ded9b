//! Listening sockets of the stand-ins, whose queues hold whoever comes: a client that meets a full queue is late by a
//! second, which no rule and no trouble of the rig accounts for.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Connections that may wait; the system holds fewer where `net.core.somaxconn` is below.
const QUEUE: i32 = 4096;

/// Listens on a free port of that address.
///
/// # Errors
/// What the system says of it.
pub fn bind(ip: Ipv4Addr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((ip, 0)).into())?;
    socket.listen(QUEUE)?;
    Ok(socket.into())
}

/// The same on a runtime.
///
/// # Errors
/// What the system says of it.
pub fn listen(ip: Ipv4Addr) -> io::Result<tokio::net::TcpListener> {
    let listener = bind(ip)?;
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}
