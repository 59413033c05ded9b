//! One HTTP/1.1 connection to a peer. Whoever holds it drives it: no task of its own stands behind it, so
//! dropping it has closed the socket.

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

/// Most bytes of an answer's head.
const HEAD_LIMIT: usize = 16 * 1024;

/// Why an exchange brought no whole answer.
#[derive(Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was written.
    Unsent,
    /// The connection broke, or the answer is not one of HTTP, after some of it may have been written.
    Broken,
}

pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    /// `None` once it is over.
    connection: Option<Connection<TokioIo<Socket>, Full<Bytes>>>,
    socket: Socket,
}

impl HttpConnection {
    pub async fn open(address: SocketAddr) -> io::Result<HttpConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        // Guards the memory against heads that do not end.
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_LIMIT);
        let socket = Socket::new(stream);
        let io = TokioIo::new(socket.clone());
        let (sender, connection) = builder.handshake(io).await.map_err(io::Error::other)?;
        Ok(HttpConnection { sender, connection: Some(connection), socket })
    }

    /// Sends one request and waits for its whole answer, of `most` bytes at the most.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        most: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let HttpConnection { sender, connection, .. } = self;
        // hyper hands a request back only if it never began to write it.
        let answer = sender.try_send_request(request);
        let answer = drive(connection, answer).await.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::Unsent,
            None => ExchangeError::Broken,
        })?;
        let (head, body) = answer.into_parts();
        if body.size_hint().lower() > most as u64 {
            return Err(ExchangeError::Broken);
        }
        let body = drive(connection, Limited::new(body, most).collect()).await;
        // Guards against serving a body that was cut short: an error of the body is a broken connection.
        let body = body.map_err(|_| ExchangeError::Broken)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Whether the connection stands, with nothing come on it since its last answer, and can take a request.
    /// Guards against sending into a connection that the peer has closed while it was idle, and against
    /// taking what came meanwhile for the next request's answer: the system is asked, as the end or the
    /// bytes may have come since the runtime last looked.
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

/// Waits for `work`, which the connection has to be driven for.
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

    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    /// Whether a connection can be used again on which `late` comes behind an answer, at a moment when the
    /// runtime has looked at its sockets for the last time before the question.
    async fn usable_after(late: &'static [u8]) -> bool {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let (answered, wait) = channel();
        let (told, came) = channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            assert!(stream.read(&mut [0; 1024]).expect("a request") > 0);
            stream.write_all(ANSWER).expect("the answer goes out");
            wait.recv().expect("the answer is read");
            stream.write_all(late).expect("more goes out");
            told.send(()).expect("the test listens");
            // Stays open until the test is over.
            let _ = wait.recv();
        });
        let mut link = HttpConnection::open(at).await.expect("a connection");
        let answer = link.exchange(Request::new(Full::default()), 100).await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
        answered.send(()).expect("the peer waits");
        // The one thread that runs all stands still here.
        came.recv().expect("the peer has written");
        while !late.is_empty() && link.socket.has_no_input() {
            thread::yield_now();
        }
        link.is_usable().await
    }

    #[tokio::test]
    async fn what_came_behind_an_answer_is_seen_before_the_connection_is_used_again() {
        assert!(usable_after(b"").await);
        assert!(!usable_after(ANSWER).await, "a second answer would be the next request's");
        assert!(!usable_after(b"noise").await);
    }
}
