//! A TCP socket that more than one part of the program may look at: whoever reads from it, and whoever has
//! to know whether something stands unread in it.

use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Whether a call is to be made again: the socket is not ready, or a signal came in between.
fn passes(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Most bytes of one read.
const READ_SIZE: usize = 4096;

/// Reads at most so many bytes behind what `bytes` holds, which takes no more memory than what has come.
fn append(
    bytes: &mut Vec<u8>,
    most: usize,
    read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
) -> io::Result<usize> {
    let mut room = [0; READ_SIZE];
    let count = read(&mut room[..most.min(READ_SIZE)])?;
    bytes.extend_from_slice(&room[..count]);
    Ok(count)
}

#[derive(Debug, Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        Socket(Rc::new(stream))
    }

    /// Reads what has come, `most` bytes at the most, behind what `bytes` holds.
    pub fn poll_read_into(
        &self,
        context: &mut Context<'_>,
        most: usize,
        bytes: &mut Vec<u8>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match append(bytes, most, |room| self.0.try_read(room)) {
                Err(error) if passes(&error) => {}
                read => return Poll::Ready(read),
            }
        }
    }

    /// The same without waiting. It asks the system: what the runtime knows of a socket is as old as its last
    /// look at all of them.
    pub fn read_now(&self, most: usize, bytes: &mut Vec<u8>) -> io::Result<usize> {
        let socket = SockRef::from(&*self.0);
        loop {
            match append(bytes, most, |room| (&*socket).read(room)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }

    /// Whether the peer has ended its sending behind bytes that stand unread, as far as the runtime has looked.
    pub async fn wait_for_end_of_stream(&self) -> bool {
        self.0.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed())
    }

    /// Whether nothing stands in it: no byte, no end, no error. It asks the system: what the runtime knows
    /// of a socket is as old as its last look at all of them.
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
                Err(error) if passes(&error) => {}
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
                Err(error) if passes(&error) => {}
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
                Err(error) if passes(&error) => {}
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
            // Its peer has closed it before.
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(()),
            done => done,
        })
    }
}
