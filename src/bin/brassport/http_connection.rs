//! An outgoing HTTP/1.1 connection. Its owner drives it, without a background task, so that dropping it closes the
//! socket at once.

use crate::socket::Socket;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Bytes};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::Poll;
use tokio::net::TcpStream;

/// Largest head of a response, in bytes. Limits the memory that an endless head can take.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why an exchange returned no complete response.
#[derive(Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was written.
    Unsent,
    /// The connection broke, or the response was invalid or too large; the request may have been written.
    Broken,
}

pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    /// `None` once it has ended.
    connection: Option<Connection<TokioIo<Socket>, Full<Bytes>>>,
    socket: Socket,
}

impl HttpConnection {
    pub async fn open(address: SocketAddr) -> io::Result<HttpConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let socket = Socket::new(stream);
        let io = TokioIo::new(socket.clone());
        let (sender, connection) = builder.handshake(io).await.map_err(io::Error::other)?;
        Ok(HttpConnection { sender, connection: Some(connection), socket })
    }

    /// Sends one request and waits for its complete response, with a body of at most `max_body` bytes.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let HttpConnection { sender, connection, .. } = self;
        // hyper returns the request with the error only if it has written none of it.
        let response = sender.try_send_request(request);
        let response = drive(connection, response).await.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::Unsent,
            None => ExchangeError::Broken,
        })?;
        let (head, body) = response.into_parts();
        if body.size_hint().lower() > max_body as u64 {
            return Err(ExchangeError::Broken);
        }
        let body = drive(connection, Limited::new(body, max_body).collect()).await;
        // A truncated body must not be served, so any error of the body fails the exchange.
        let body = body.map_err(|_| ExchangeError::Broken)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Whether the connection is open, has received nothing since its last response, and can take a request. A request
    /// sent on a connection that the peer has closed would be lost, and surplus bytes would be read as its response.
    /// Peeks at the socket, as the runtime's readiness state is only as recent as its last poll.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|context| {
            if let Some(connection) = &mut self.connection {
                if Pin::new(connection).poll(context).is_ready() {
                    self.connection = None;
                }
            }
            Poll::Ready(())
        })
        .await;
        self.connection.is_some() && self.sender.is_ready() && self.socket.has_no_input()
    }
}

/// Waits for `work` while driving the connection, without which `work` makes no progress.
async fn drive<T>(
    connection: &mut Option<Connection<TokioIo<Socket>, Full<Bytes>>>,
    work: impl Future<Output = T>,
) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        if let Some(running) = connection {
            if Pin::new(running).poll(context).is_ready() {
                *connection = None;
            }
        }
        work.as_mut().poll(context)
    })
    .await
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::StatusCode;
    use std::io::{Read, Write};
    use std::net::TcpListener;
    use std::sync::mpsc::channel;
    use std::thread;

    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    /// Whether a connection is usable after `late` has arrived after a response. The runtime does not poll its sockets
    /// between the arrival and the check.
    async fn usable_after(late: &'static [u8]) -> bool {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (response_read, next_step) = channel();
        let (late_sent, late_written) = channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            assert!(stream.read(&mut [0; 1024]).expect("a request") > 0);
            stream.write_all(RESPONSE).expect("the response is written");
            next_step.recv().expect("the response is read");
            stream.write_all(late).expect("the late bytes are written");
            late_sent.send(()).expect("the test waits");
            // Keeps the connection open until the test has ended.
            let _ = next_step.recv();
        });
        let mut connection = HttpConnection::open(address).await.expect("a connection");
        let response = connection.exchange(Request::new(Full::default()), 100).await.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        response_read.send(()).expect("the peer waits");
        // Blocks the runtime's only thread, so that the runtime cannot poll its sockets.
        late_written.recv().expect("the peer has written");
        while !late.is_empty() && connection.socket.has_no_input() {
            thread::yield_now();
        }
        connection.is_usable().await
    }

    #[tokio::test]
    async fn bytes_after_a_response_are_noticed_before_the_connection_is_reused() {
        assert!(usable_after(b"").await);
        assert!(!usable_after(RESPONSE).await, "a second response would be read as the next request's");
        assert!(!usable_after(b"noise").await);
    }
}
