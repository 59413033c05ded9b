//! As much of HTTP/1.1 as the stand-ins need, with each message's bytes timed.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Most bytes of a head.
const HEAD_LIMIT: usize = 64 * 1024;

/// One message.
#[derive(Debug)]
pub struct Message {
    /// Its first line.
    pub start_line: String,
    headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
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

/// What stood in the way of a whole message.
#[derive(Debug)]
pub enum ReadError {
    /// The stream ended in order.
    Closed,
    /// The stream failed.
    Failed(io::Error),
    /// What came is no message.
    Malformed,
}

impl ReadError {
    /// Whether the peer reset the connection.
    pub fn is_reset(&self) -> bool {
        matches!(self, ReadError::Failed(_))
    }
}

impl<S: AsyncRead + Unpin> Reader<S> {
    /// A reader of that stream.
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

    /// Waits until something of the next message is there.
    pub async fn wait_for_byte(&mut self) -> Result<(), ReadError> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        Ok(())
    }

    /// Reads one whole message.
    pub async fn read_message(&mut self) -> Result<Message, ReadError> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            if self.buffer.len() > HEAD_LIMIT {
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
