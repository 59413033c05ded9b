//! A TCP socket with more than one owner: one reads and writes, others check it for unread input.

use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Whether the call is to be repeated: the socket is not ready, or a signal interrupted the call.
fn should_retry(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Largest single read, in bytes.
const READ_SIZE: usize = 4096;

/// Appends at most `limit` bytes to `bytes`. Reads through a buffer on the stack, so that the vector grows only by what
/// was read.
fn append(
    bytes: &mut Vec<u8>,
    limit: usize,
    read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
) -> io::Result<usize> {
    let mut buffer = [0; READ_SIZE];
    let count = read(&mut buffer[..limit.min(READ_SIZE)])?;
    bytes.extend_from_slice(&buffer[..count]);
    Ok(count)
}

#[derive(Debug, Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        Socket(Rc::new(stream))
    }

    /// Appends received bytes to `bytes`, at most `limit` of them.
    pub fn poll_read_into(
        &self,
        context: &mut Context<'_>,
        limit: usize,
        bytes: &mut Vec<u8>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match append(bytes, limit, |buffer| self.0.try_read(buffer)) {
                Err(error) if should_retry(&error) => {}
                read => return Poll::Ready(read),
            }
        }
    }

    /// Like [`Socket::poll_read_into`], without waiting. Makes the system call directly, as the runtime's readiness
    /// state is only as recent as its last poll.
    pub fn read_now(&self, limit: usize, bytes: &mut Vec<u8>) -> io::Result<usize> {
        let socket = SockRef::from(&*self.0);
        loop {
            match append(bytes, limit, |buffer| (&*socket).read(buffer)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }

    /// Waits until the socket is readable, and returns whether the peer has closed its sending side, possibly after
    /// bytes that are still unread. Uses the runtime's readiness state.
    pub async fn wait_for_end_of_stream(&self) -> bool {
        self.0.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed())
    }

    /// Whether nothing is to be read: no byte, no end of stream, no error. Makes the system call directly, as the
    /// runtime's readiness state is only as recent as its last poll.
    pub fn has_no_input(&self) -> bool {
        let socket = SockRef::from(&*self.0);
        let peeked = loop {
            match socket.peek(&mut [std::mem::MaybeUninit::uninit()]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                peeked => break peeked,
            }
        };
        matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if should_retry(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write(bytes) {
                Err(error) if should_retry(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(bytes) {
                Err(error) if should_retry(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match SockRef::from(&*self.0).shutdown(Shutdown::Write) {
            // The peer has already closed the connection.
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(()),
            done => done,
        })
    }
}
