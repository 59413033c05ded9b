//! A client connection as the HTTP server reads it: one request at a time.
//!
//! The server gets the bytes of one request and no more until that request is answered. This makes known when each
//! request arrived, whether another one is pipelined after it, and whether the client has left in the meantime.

use crate::client_connections::ClientConnection;
use crate::socket::Socket;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::{sleep, timeout, Instant};

/// Limit, in bytes, of what is read ahead of the server. If more than this is pipelined, the end of the connection is
/// found only by polling.
const READ_AHEAD_LIMIT: usize = 16 * 1024;
/// Capacity, in bytes, that an empty read-ahead buffer keeps. It is small because there may be a thousand connections.
const EMPTY_BUFFER_CAPACITY: usize = 1024;
/// Interval between checks for the end of a connection whose read-ahead buffer is full.
const END_OF_STREAM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long input is still read and discarded after the last response. A client that sends for longer may lose that
/// response to a connection reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(2000);

/// Finds the empty line that ends a request head, in input of any fragmentation.
#[derive(Debug, Default)]
struct HeadEndFinder {
    /// Whether a line that is not empty has arrived: empty lines before a request are skipped.
    head_started: bool,
    /// Whether the current line has any characters.
    line_has_text: bool,
}

impl HeadEndFinder {
    /// The number of bytes up to the end of the head, if the head ends in `bytes`.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.head_started && !self.line_has_text => {
                    *self = HeadEndFinder::default();
                    return Some(index + 1);
                }
                b'\n' => self.line_has_text = false,
                b'\r' => {}
                _ => (self.head_started, self.line_has_text) = (true, true),
            }
        }
        None
    }
}

/// What the server may read next.
#[derive(Debug)]
enum ReadPhase {
    /// A request head, up to its end.
    Head(HeadEndFinder),
    /// The remaining bytes of a body, and whether its request is answered already.
    Body { remaining: u64, answered: bool },
}

/// Input from the client, and how much of it the server may read.
#[derive(Debug)]
struct Input {
    /// Bytes that were read from the socket and not yet passed to the server.
    read_ahead: Vec<u8>,
    /// For each read of them, the number of its bytes that are left and its time, oldest first.
    reads: VecDeque<(usize, Instant)>,
    phase: ReadPhase,
    /// When the last byte that was passed to the server was read from the socket.
    last_byte_read_at: Instant,
    /// Counts as the time of the first read if the connection had to wait to be accepted.
    queued_since: Option<Instant>,
    ended: bool,
    /// Wakes the server if it waits for its next request or for bytes.
    read_waker: Option<Waker>,
}

impl Input {
    /// Records a read of `count` bytes; 0 is the end of the stream.
    fn record_read(&mut self, count: usize) {
        if count == 0 {
            self.ended = true;
            return;
        }
        let at = self.queued_since.take().unwrap_or_else(Instant::now);
        self.reads.push_back((count, at));
    }

    /// Records a read that the server did not make itself, and wakes the server if it may read the bytes: they are no
    /// longer in the socket, so the runtime does not wake it for them.
    fn record_read_ahead(&mut self, count: usize) {
        self.record_read(count);
        if self.may_read() {
            self.wake_server();
        }
    }

    fn wake_server(&mut self) {
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Copies to `buffer` what the current phase allows; false if that is nothing.
    fn copy_to(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let available = self.read_ahead.len().min(buffer.remaining());
        let count = match &mut self.phase {
            ReadPhase::Head(end) => match end.find(&self.read_ahead[..available]) {
                Some(count) => {
                    self.phase = ReadPhase::Body { remaining: 0, answered: false };
                    count
                }
                None => available,
            },
            ReadPhase::Body { remaining, answered } => {
                let count = available.min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= count as u64;
                if *remaining == 0 && *answered {
                    self.phase = ReadPhase::Head(HeadEndFinder::default());
                }
                count
            }
        };
        buffer.put_slice(&self.read_ahead[..count]);
        self.read_ahead.drain(..count);
        if self.read_ahead.is_empty() {
            self.read_ahead.shrink_to(EMPTY_BUFFER_CAPACITY);
        }
        let mut copied = count;
        while let Some((bytes_left, at)) = self.reads.front_mut().filter(|_| copied > 0) {
            self.last_byte_read_at = *at;
            let part = copied.min(*bytes_left);
            (*bytes_left, copied) = (*bytes_left - part, copied - part);
            if *bytes_left == 0 {
                self.reads.pop_front();
            }
        }
        count > 0
    }

    /// Whether the server may read anything now.
    fn may_read(&self) -> bool {
        match self.phase {
            ReadPhase::Head(_) => true,
            ReadPhase::Body { remaining, .. } => remaining > 0,
        }
    }
}

/// The state of one connection, shared by the HTTP server's stream and the handling of its requests.
#[derive(Debug)]
pub struct ClientSocket {
    socket: Socket,
    input: RefCell<Input>,
    /// Whether the last write could not proceed because the client is not reading.
    write_blocked: Cell<bool>,
}

impl ClientSocket {
    /// A connection that was just accepted. If it waited for that, its first bytes may have arrived as early as
    /// `queued_since`.
    pub fn new(socket: Socket, queued_since: Option<Instant>) -> Rc<ClientSocket> {
        let input = Input {
            queued_since,
            read_ahead: Vec::new(),
            reads: VecDeque::new(),
            phase: ReadPhase::Head(HeadEndFinder::default()),
            last_byte_read_at: Instant::now(),
            ended: false,
            read_waker: None,
        };
        Rc::new(ClientSocket { socket, input: RefCell::new(input), write_blocked: Cell::new(false) })
    }

    /// Records that a request head with a body of `body_length` bytes was read. Returns when the head arrived.
    pub fn begin_request(&self, body_length: u64) -> Instant {
        let mut input = self.input.borrow_mut();
        input.phase = ReadPhase::Body { remaining: body_length, answered: false };
        input.wake_server();
        input.last_byte_read_at
    }

    /// Records that the request is answered, so that the next one may be read.
    pub fn end_request(&self) {
        let mut input = self.input.borrow_mut();
        if let ReadPhase::Body { remaining, .. } = input.phase {
            input.phase = match remaining {
                0 => ReadPhase::Head(HeadEndFinder::default()),
                remaining => ReadPhase::Body { remaining, answered: true },
            };
        }
        input.wake_server();
    }

    /// Whether the end of the stream has been read, without a system call.
    pub fn has_ended(&self) -> bool {
        self.input.borrow().ended
    }

    /// Whether bytes of another request have been read.
    pub fn has_read_ahead(&self) -> bool {
        !self.input.borrow().read_ahead.is_empty()
    }

    /// Whether the last write could not proceed because the client is not reading.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Whether there is no input that the server has not read: no byte, no end of stream, no error.
    pub fn has_no_input(&self) -> bool {
        !self.has_read_ahead() && self.socket.has_no_input()
    }

    /// Waits until the client has closed the connection, even if pipelined requests precede the end. Only for a
    /// request that has arrived completely.
    pub async fn wait_until_left(&self) {
        while !self.input.borrow().ended {
            let room = READ_AHEAD_LIMIT.saturating_sub(self.input.borrow().read_ahead.len());
            if room > 0 {
                let read = poll_fn(|context| {
                    let mut input = self.input.borrow_mut();
                    self.socket.poll_read_into(context, room, &mut input.read_ahead)
                });
                // A failed connection counts as ended.
                let count = read.await.unwrap_or(0);
                self.input.borrow_mut().record_read_ahead(count);
            } else if self.socket.wait_for_end_of_stream().await {
                self.input.borrow_mut().ended = true;
            } else {
                sleep(END_OF_STREAM_POLL_INTERVAL).await;
            }
        }
    }

    /// Checks with system calls whether the client has closed the connection by now. Only for a request that has
    /// arrived completely.
    pub fn has_left(&self) -> bool {
        let mut input = self.input.borrow_mut();
        while !input.ended {
            let room = READ_AHEAD_LIMIT.saturating_sub(input.read_ahead.len());
            if room == 0 {
                break;
            }
            match self.socket.read_now(room, &mut input.read_ahead) {
                Ok(count) => input.record_read_ahead(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => input.record_read_ahead(0),
            }
        }
        input.ended
    }

    fn poll_input(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut input = self.input.borrow_mut();
        loop {
            if !input.may_read() {
                input.read_waker = Some(context.waker().clone());
                return Poll::Pending;
            }
            if input.copy_to(buffer) || buffer.remaining() == 0 || input.ended {
                return Poll::Ready(Ok(()));
            }
            let Poll::Ready(read) =
                self.socket.poll_read_into(context, READ_AHEAD_LIMIT, &mut input.read_ahead)
            else {
                input.read_waker = Some(context.waker().clone());
                return Poll::Pending;
            };
            input.record_read(read?);
        }
    }
}

/// The stream that the HTTP server reads from and writes to. It reports reads to the registry of connections.
pub struct ClientStream {
    client_socket: Rc<ClientSocket>,
    tracked: Rc<ClientConnection>,
}

impl ClientStream {
    pub fn new(client_socket: Rc<ClientSocket>, tracked: Rc<ClientConnection>) -> ClientStream {
        ClientStream { client_socket, tracked }
    }

    /// Shuts down the sending side, then discards input until the client closes too, for a bounded time. Closing a
    /// socket with unread input would reset the connection, and the client would lose its response.
    pub async fn linger(self) {
        let mut socket = self.client_socket.socket.clone();
        let drain = async {
            socket.shutdown().await?;
            let mut bytes = vec![0; 16 * 1024];
            while socket.read(&mut bytes).await? > 0 {}
            Ok::<_, io::Error>(())
        };
        // Only the wait matters, not its result.
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = self.client_socket.poll_input(context, buffer);
        if buffer.filled().len() > filled_before {
            self.tracked.on_bytes_read();
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.client_socket.socket.clone()).poll_write(context, bytes);
        self.client_socket.write_blocked.set(written.is_pending());
        written
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.client_socket.socket.clone()).poll_write_vectored(context, bytes);
        self.client_socket.write_blocked.set(written.is_pending());
        written
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.client_socket.socket.clone()).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head_ends(text: &[u8], chunk_size: usize) -> Vec<usize> {
        let (mut finder, mut ends, mut offset) = (HeadEndFinder::default(), Vec::new(), 0);
        for chunk in text.chunks(chunk_size) {
            let mut rest = chunk;
            while let Some(count) = finder.find(rest) {
                ends.push(offset + chunk.len() - rest.len() + count);
                rest = &rest[count..];
            }
            offset += chunk.len();
        }
        ends
    }

    #[test]
    fn head_end_is_found_at_the_empty_line_for_any_chunk_size() {
        let text = b"\r\nGET / HTTP/1.1\r\nA: b\r\n\r\nGET /2 HTTP/1.1\nC: d\n\nGET /3 HTTP/1.1\r\n";
        for chunk_size in [1, 2, 3, 7, 1000] {
            assert_eq!(head_ends(text, chunk_size), [26, 48], "chunk size {chunk_size}");
        }
    }

    #[tokio::test]
    async fn next_request_is_read_only_after_the_response() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut client = tokio::net::TcpStream::connect(listener.local_addr().expect("an address"))
            .await
            .expect("it connects");
        let (stream, _) = listener.accept().await.expect("it is accepted");
        let client_socket = ClientSocket::new(Socket::new(stream), None);
        client
            .write_all(b"POST /a HTTP/1.1\r\n\r\nbodyGET /b HTTP/1.1\r\n\r\nGET")
            .await
            .expect("it is sent");
        let read = async || {
            let mut bytes = [0; 100];
            let mut buffer = ReadBuf::new(&mut bytes);
            let poll = std::future::poll_fn(|context| client_socket.poll_input(context, &mut buffer));
            let in_time = timeout(Duration::from_millis(200), poll).await;
            in_time.is_ok().then(|| buffer.filled().to_vec())
        };
        assert_eq!(read().await.as_deref(), Some(&b"POST /a HTTP/1.1\r\n\r\n"[..]));
        assert_eq!(read().await, None, "the body length is not known yet");
        client_socket.begin_request(4);
        assert_eq!(read().await.as_deref(), Some(&b"body"[..]));
        assert_eq!(read().await, None);
        assert!(client_socket.has_read_ahead() && !client_socket.has_left());
        client_socket.end_request();
        assert_eq!(read().await.as_deref(), Some(&b"GET /b HTTP/1.1\r\n\r\n"[..]));
        client_socket.begin_request(0);
        drop(client);
        timeout(Duration::from_secs(5), client_socket.wait_until_left())
            .await
            .expect("the client's close is detected");
        client_socket.end_request();
        assert_eq!(read().await.as_deref(), Some(&b"GET"[..]));
        assert_eq!(read().await.as_deref(), Some(&b""[..]), "end of stream");
    }

    // `has_left`, called while the server waits for the next head, may read that head from the socket. The runtime then
    // no longer wakes the server, so `has_left` has to: otherwise the request is never answered (soak, hard seed 60002).
    #[tokio::test]
    async fn request_read_ahead_while_the_server_waits_wakes_the_server() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = std::net::TcpStream::connect(address).expect("it connects");
        let (stream, _) = listener.accept().await.expect("it is accepted");
        let client_socket = ClientSocket::new(Socket::new(stream), None);
        let read_by = client_socket.clone();
        let reading = async move {
            let mut bytes = [0; 100];
            let mut buffer = ReadBuf::new(&mut bytes);
            poll_fn(|context| read_by.poll_input(context, &mut buffer)).await.expect("the connection works");
            buffer.filled().to_vec()
        };
        let test = async {
            // In a separate task, so that only `has_left` can wake it.
            let server = tokio::task::spawn_local(reading);
            tokio::task::yield_now().await;
            // Blocks the runtime's only thread until the request is in the socket.
            std::io::Write::write_all(&mut client, b"GET /a HTTP/1.1\r\n\r\n").expect("it is sent");
            while client_socket.socket.has_no_input() {
                std::thread::yield_now();
            }
            assert!(!client_socket.has_left());
            timeout(Duration::from_secs(5), server).await.expect("the server is woken").expect("it ends")
        };
        let read = tokio::task::LocalSet::new().run_until(test).await;
        assert_eq!(read, b"GET /a HTTP/1.1\r\n\r\n");
    }
}
