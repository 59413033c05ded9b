//! A client's connection as the HTTP server reads it: one request at a time.
//!
//! The server is handed the bytes of one request and no more until that one is answered. So it is known of each
//! request when it came, whether a further one stands behind it, and whether the client has left meanwhile.

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

/// Most bytes that are read ahead of their use.
const AHEAD_LIMIT: usize = 16 * 1024;
/// Room for bytes that stays with a connection while none stand in it: there may be a thousand of them.
const KEPT_ROOM: usize = 1024;
/// Between two looks for the end of a connection on which nothing more is read ahead.
const END_LOOK: Duration = Duration::from_millis(20);
/// How long what a client is still sending is read, so that it finds the answer it was given before.
const LINGER: Duration = Duration::from_millis(2000);

/// Finds the empty line that ends a head, in bytes that come in any pieces.
#[derive(Debug, Default)]
struct HeadEnd {
    /// Whether a line with something in it has come: empty ones before a request are passed over.
    begun: bool,
    /// Whether something stands in the present line.
    in_line: bool,
}

impl HeadEnd {
    /// How many of the bytes belong to the head, if it ends in them.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (place, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.begun && !self.in_line => {
                    *self = HeadEnd::default();
                    return Some(place + 1);
                }
                b'\n' => self.in_line = false,
                b'\r' => {}
                _ => (self.begun, self.in_line) = (true, true),
            }
        }
        None
    }
}

/// What the server may be handed next.
#[derive(Debug)]
enum Turn {
    /// A head, up to its end.
    Head(HeadEnd),
    /// So many bytes of a body; whether the request is answered.
    Body { left: u64, answered: bool },
}

/// What has come from the client and where its use stands.
#[derive(Debug)]
struct Input {
    /// Bytes that were read and not handed on.
    ahead: Vec<u8>,
    /// How many of them were read at the same moment, the oldest first.
    read_at: VecDeque<(usize, Instant)>,
    turn: Turn,
    /// When the last byte that was handed on had been read.
    arrived: Instant,
    /// The moment that stands for the first read's, where the connection had to wait to be accepted.
    waited_since: Option<Instant>,
    ended: bool,
    /// The server, if it waits for its turn or for bytes.
    reader: Option<Waker>,
}

impl Input {
    /// Notes a read of so many bytes; none is the end.
    fn take_in(&mut self, count: usize) {
        if count == 0 {
            self.ended = true;
            return;
        }
        let at = self.waited_since.take().unwrap_or_else(Instant::now);
        self.read_at.push_back((count, at));
    }

    /// Notes a read that the server has not made. It is woken if it may have the bytes: the runtime finds them at the
    /// socket no more, and wakes nobody for them.
    fn take_in_ahead(&mut self, count: usize) {
        self.take_in(count);
        if self.is_open() {
            self.wake_reader();
        }
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Hands on what the present turn allows; false if it allows nothing.
    fn hand_on(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let room = self.ahead.len().min(buffer.remaining());
        let count = match &mut self.turn {
            Turn::Head(end) => match end.find(&self.ahead[..room]) {
                Some(count) => {
                    self.turn = Turn::Body { left: 0, answered: false };
                    count
                }
                None => room,
            },
            Turn::Body { left, answered } => {
                let count = room.min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= count as u64;
                if *left == 0 && *answered {
                    self.turn = Turn::Head(HeadEnd::default());
                }
                count
            }
        };
        buffer.put_slice(&self.ahead[..count]);
        self.ahead.drain(..count);
        if self.ahead.is_empty() {
            self.ahead.shrink_to(KEPT_ROOM);
        }
        let mut used = count;
        while let Some((read, at)) = self.read_at.front_mut().filter(|_| used > 0) {
            self.arrived = *at;
            let part = used.min(*read);
            (*read, used) = (*read - part, used - part);
            if *read == 0 {
                self.read_at.pop_front();
            }
        }
        count > 0
    }

    /// Whether the server may be handed anything now.
    fn is_open(&self) -> bool {
        match self.turn {
            Turn::Head(_) => true,
            Turn::Body { left, .. } => left > 0,
        }
    }
}

/// What the server's side and the requests' side of one connection share.
#[derive(Debug)]
pub struct Connection {
    socket: Socket,
    input: RefCell<Input>,
    /// Whether something stands to be written that the client does not take for now.
    write_blocked: Cell<bool>,
}

impl Connection {
    /// One that was accepted now. If it had to wait, what comes first may have been there since `waited_since`.
    pub fn new(socket: Socket, waited_since: Option<Instant>) -> Rc<Connection> {
        let input = Input {
            waited_since,
            ahead: Vec::new(),
            read_at: VecDeque::new(),
            turn: Turn::Head(HeadEnd::default()),
            arrived: Instant::now(),
            ended: false,
            reader: None,
        };
        Rc::new(Connection { socket, input: RefCell::new(input), write_blocked: Cell::new(false) })
    }

    /// Notes that a head was read and that a body of so many bytes belongs to it. Returns when the head came.
    pub fn begin_request(&self, body: u64) -> Instant {
        let mut input = self.input.borrow_mut();
        input.turn = Turn::Body { left: body, answered: false };
        input.wake_reader();
        input.arrived
    }

    /// Notes that the request is answered: the next one may be read.
    pub fn end_request(&self) {
        let mut input = self.input.borrow_mut();
        if let Turn::Body { left, .. } = input.turn {
            input.turn = match left {
                0 => Turn::Head(HeadEnd::default()),
                left => Turn::Body { left, answered: true },
            };
        }
        input.wake_reader();
    }

    /// Whether the client is known to have gone, without asking the system.
    pub fn has_ended(&self) -> bool {
        self.input.borrow().ended
    }

    /// Whether some of a further request has been read.
    pub fn has_read_ahead(&self) -> bool {
        !self.input.borrow().ahead.is_empty()
    }

    /// Whether something stands to be written that the client does not take for now.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Whether nothing has come that was not handed on: no byte, no end, no error.
    pub fn has_no_input(&self) -> bool {
        !self.has_read_ahead() && self.socket.has_no_input()
    }

    /// Waits until the client has gone, also if its leave stands behind bytes of further requests. Only for a
    /// request that has come whole.
    pub async fn left(&self) {
        while !self.input.borrow().ended {
            let room = AHEAD_LIMIT.saturating_sub(self.input.borrow().ahead.len());
            if room > 0 {
                let read = poll_fn(|context| {
                    let mut input = self.input.borrow_mut();
                    self.socket.poll_read_into(context, room, &mut input.ahead)
                });
                // A connection that failed has ended.
                let count = read.await.unwrap_or(0);
                self.input.borrow_mut().take_in_ahead(count);
            } else if self.socket.wait_for_end_of_stream().await {
                self.input.borrow_mut().ended = true;
            } else {
                sleep(END_LOOK).await;
            }
        }
    }

    /// Asks the system whether the client has gone by now. Only for a request that has come whole.
    pub fn has_left(&self) -> bool {
        let mut input = self.input.borrow_mut();
        while !input.ended {
            let room = AHEAD_LIMIT.saturating_sub(input.ahead.len());
            if room == 0 {
                break;
            }
            match self.socket.read_now(room, &mut input.ahead) {
                Ok(count) => input.take_in_ahead(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => input.take_in_ahead(0),
            }
        }
        input.ended
    }

    fn poll_input(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut input = self.input.borrow_mut();
        loop {
            if !input.is_open() {
                input.reader = Some(context.waker().clone());
                return Poll::Pending;
            }
            if input.hand_on(buffer) || buffer.remaining() == 0 || input.ended {
                return Poll::Ready(Ok(()));
            }
            let Poll::Ready(read) = self.socket.poll_read_into(context, AHEAD_LIMIT, &mut input.ahead) else {
                input.reader = Some(context.waker().clone());
                return Poll::Pending;
            };
            input.take_in(read?);
        }
    }
}

/// The stream that the HTTP server reads from and writes to. It tells its caller of the first byte behind an
/// answer.
pub struct ClientStream {
    connection: Rc<Connection>,
    tracked: Rc<ClientConnection>,
}

impl ClientStream {
    /// The stream of that connection.
    pub fn new(connection: Rc<Connection>, tracked: Rc<ClientConnection>) -> ClientStream {
        ClientStream { connection, tracked }
    }

    /// Ends the sending, then reads what still comes until the client ends too, for a bounded time: closing a
    /// socket with bytes unread would reset the connection, and the client would lose its answer.
    pub async fn linger(self) {
        let mut socket = self.connection.socket.clone();
        let drain = async {
            socket.shutdown().await?;
            let mut bytes = vec![0; 16 * 1024];
            while socket.read(&mut bytes).await? > 0 {}
            Ok::<_, io::Error>(())
        };
        // Its end is all that is waited for.
        let _ = timeout(LINGER, drain).await;
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = self.connection.poll_input(context, buffer);
        if buffer.filled().len() > before {
            self.tracked.bytes_read();
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.connection.socket.clone()).poll_write(context, bytes);
        self.connection.write_blocked.set(written.is_pending());
        written
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.connection.socket.clone()).poll_write_vectored(context, bytes);
        self.connection.write_blocked.set(written.is_pending());
        written
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection.socket.clone()).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ends(text: &[u8], piece: usize) -> Vec<usize> {
        let (mut end, mut found, mut before) = (HeadEnd::default(), Vec::new(), 0);
        for part in text.chunks(piece) {
            let mut rest = part;
            while let Some(count) = end.find(rest) {
                found.push(before + part.len() - rest.len() + count);
                rest = &rest[count..];
            }
            before += part.len();
        }
        found
    }

    #[test]
    fn a_head_ends_at_its_empty_line_in_whatever_pieces_it_comes() {
        let text = b"\r\nGET / HTTP/1.1\r\nA: b\r\n\r\nGET /2 HTTP/1.1\nC: d\n\nGET /3 HTTP/1.1\r\n";
        for piece in [1, 2, 3, 7, 1000] {
            assert_eq!(ends(text, piece), [26, 48], "in pieces of {piece}");
        }
    }

    #[tokio::test]
    async fn the_next_request_is_handed_on_only_behind_the_answer() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut client = tokio::net::TcpStream::connect(listener.local_addr().expect("an address"))
            .await
            .expect("it connects");
        let (stream, _) = listener.accept().await.expect("it is accepted");
        let connection = Connection::new(Socket::new(stream), None);
        client
            .write_all(b"POST /a HTTP/1.1\r\n\r\nbodyGET /b HTTP/1.1\r\n\r\nGET")
            .await
            .expect("it is sent");
        let read = async || {
            let mut bytes = [0; 100];
            let mut buffer = ReadBuf::new(&mut bytes);
            let poll = std::future::poll_fn(|context| connection.poll_input(context, &mut buffer));
            let in_time = timeout(Duration::from_millis(200), poll).await;
            in_time.is_ok().then(|| buffer.filled().to_vec())
        };
        assert_eq!(read().await.as_deref(), Some(&b"POST /a HTTP/1.1\r\n\r\n"[..]));
        assert_eq!(read().await, None, "the body's length is not known yet");
        connection.begin_request(4);
        assert_eq!(read().await.as_deref(), Some(&b"body"[..]));
        assert_eq!(read().await, None);
        assert!(connection.has_read_ahead() && !connection.has_left());
        connection.end_request();
        assert_eq!(read().await.as_deref(), Some(&b"GET /b HTTP/1.1\r\n\r\n"[..]));
        connection.begin_request(0);
        drop(client);
        timeout(Duration::from_secs(5), connection.left()).await.expect("the leave is noticed");
        connection.end_request();
        assert_eq!(read().await.as_deref(), Some(&b"GET"[..]));
        assert_eq!(read().await.as_deref(), Some(&b""[..]), "then the end");
    }

    // The system was asked whether the client had left while the server waited for the next head: that read the head,
    // and as the runtime found nothing at the socket any more it woke nobody (soak, hard seed 60002: never answered).
    #[tokio::test]
    async fn a_request_that_is_read_ahead_while_the_server_waits_for_it_is_handed_on() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = std::net::TcpStream::connect(address).expect("it connects");
        let (stream, _) = listener.accept().await.expect("it is accepted");
        let connection = Connection::new(Socket::new(stream), None);
        let read_by = connection.clone();
        let reading = async move {
            let mut bytes = [0; 100];
            let mut buffer = ReadBuf::new(&mut bytes);
            poll_fn(|context| read_by.poll_input(context, &mut buffer)).await.expect("it stands");
            buffer.filled().to_vec()
        };
        let test = async {
            // In a task of its own, as nothing else wakes it.
            let server = tokio::task::spawn_local(reading);
            tokio::task::yield_now().await;
            // The one thread that runs all stands still until the request is there.
            std::io::Write::write_all(&mut client, b"GET /a HTTP/1.1\r\n\r\n").expect("it is sent");
            while connection.socket.has_no_input() {
                std::thread::yield_now();
            }
            assert!(!connection.has_left());
            timeout(Duration::from_secs(5), server).await.expect("the server is woken").expect("it ends")
        };
        let read = tokio::task::LocalSet::new().run_until(test).await;
        assert_eq!(read, b"GET /a HTTP/1.1\r\n\r\n");
    }
}
