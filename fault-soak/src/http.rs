//! The part of HTTP/1.1 that the stand-ins need. Waiting for the first byte of a message lets them record when it began.

use std::io;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};
use tokio::net::TcpStream;

/// The largest head of a message, in bytes.
const MAX_HEAD_SIZE: usize = 64 * 1024;

/// A request or a response.
#[derive(Debug)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The path of a request, with the query.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a stream.
#[derive(Debug)]
pub struct Reader<S> {
    /// The stream.
    pub stream: S,
    buffer: Vec<u8>,
}

/// Why no complete message was read.
#[derive(Debug)]
pub enum ReadError {
    /// The stream was closed in an orderly way.
    Closed,
    /// The stream failed.
    Failed(io::Error),
    /// The bytes are not a valid message.
    Malformed,
}

impl ReadError {
    /// Whether the connection failed, as by a reset.
    pub fn is_reset(&self) -> bool {
        matches!(self, ReadError::Failed(_))
    }
}

impl<S: AsyncRead + Unpin> Reader<S> {
    /// Creates a reader of a stream.
    pub fn new(stream: S) -> Reader<S> {
        Reader { stream, buffer: Vec::new() }
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(error) => Err(ReadError::Failed(error)),
        }
    }

    /// Waits until a byte of the next message has been read.
    pub async fn wait_for_byte(&mut self) -> Result<(), ReadError> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        Ok(())
    }

    /// Reads the next message, with its body if it has a `Content-Length`.
    pub async fn read_message(&mut self) -> Result<Message, ReadError> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            if self.buffer.len() > MAX_HEAD_SIZE {
                return Err(ReadError::Malformed);
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let start_line = lines.next().unwrap_or_default().to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length = length.map_or(Some(0), |(_, value)| value.parse::<usize>().ok());
        let length = length.ok_or(ReadError::Malformed)?;
        while self.buffer.len() < end + length {
            self.fill().await?;
        }
        let body = self.buffer[end..end + length].to_vec();
        self.buffer.drain(..end + length);
        Ok(Message { start_line, headers, body })
    }
}

/// Whether the peer has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut buffer = ReadBuf::new(&mut byte);
    let mut context = Context::from_waker(Waker::noop());
    let peeked = stream.poll_peek(&mut context, &mut buffer);
    match peeked {
        Poll::Ready(Ok(count)) => count == 0,
        Poll::Ready(Err(_)) => true,
        Poll::Pending => false,
    }
}
