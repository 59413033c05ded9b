//! The listening socket. It knows since when connections may have been waiting in the system's queue.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// Failures in a row that are taken for momentary: the next accept follows at once, as all that wait lose time.
const MOMENTARY: u32 = 8;
/// Behind more of them the system is out of something: at first, and at the most, it is left alone for so long.
const FIRST_BACK_OFF: Duration = Duration::from_millis(1);
const LAST_BACK_OFF: Duration = Duration::from_millis(16);

/// The longest queue of connections that wait to be accepted; the system cuts it to `net.core.somaxconn`.
const LONGEST_QUEUE: u32 = i32::MAX.unsigned_abs();

/// Listens on that address, with the longest queue that the system lets one have: to a queue that is full a client
/// connects a second late, or believes to be connected and is not heard for as long.
///
/// # Errors
/// What the system says of it.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LONGEST_QUEUE)
}

/// A connection that was accepted.
pub struct Accepted {
    pub stream: TcpStream,
    /// Its descriptor among those that the program may have.
    pub descriptor: OwnedSemaphorePermit,
    /// Since when what the client sent first may have been there, if it had to wait.
    pub waited_since: Option<Instant>,
}

/// The listening socket.
pub struct Acceptor {
    listener: TcpListener,
    descriptors: Arc<Semaphore>,
    /// Since when connections could not be accepted, until the queue is seen empty.
    stalled_since: Cell<Option<Instant>>,
    /// Failures since the last connection.
    failures: Cell<u32>,
}

impl Acceptor {
    /// The acceptor of that socket, with the descriptors that the program may have. Connections may have been
    /// waiting since it listens.
    pub fn new(listener: TcpListener, descriptors: Arc<Semaphore>, listening_since: Instant) -> Acceptor {
        Acceptor {
            listener,
            descriptors,
            stalled_since: Cell::new(Some(listening_since)),
            failures: Cell::new(0),
        }
    }

    /// Whether connections may be waiting that could not be accepted.
    pub fn is_stalled(&self) -> bool {
        self.stalled_since.get().is_some()
    }

    fn stall(&self) {
        self.stalled_since.set(self.stalled_since.get().or(Some(Instant::now())));
    }

    /// The next connection, once there is a descriptor for it. May be dropped at any time.
    pub async fn accept(&self) -> Accepted {
        loop {
            let descriptor = self.descriptor().await;
            match poll_fn(|context| self.poll_accept(context)).await {
                Ok(stream) => {
                    self.failures.set(0);
                    return Accepted { stream, descriptor, waited_since: self.stalled_since.get() };
                }
                Err(_) => {
                    self.stall();
                    self.failures.set(self.failures.get().saturating_add(1));
                    match back_off(self.failures.get()) {
                        Some(pause) => sleep(pause).await,
                        None => yield_now().await,
                    }
                }
            }
        }
    }

    async fn descriptor(&self) -> OwnedSemaphorePermit {
        if let Ok(descriptor) = self.descriptors.clone().try_acquire_owned() {
            return descriptor;
        }
        self.stall();
        match self.descriptors.clone().acquire_owned().await {
            Ok(descriptor) => descriptor,
            // It is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    fn poll_accept(&self, context: &mut std::task::Context<'_>) -> Poll<io::Result<TcpStream>> {
        let accepted = self.listener.poll_accept(context);
        if accepted.is_pending() {
            self.stalled_since.set(None);
        }
        accepted.map_ok(|(stream, _)| stream)
    }
}

/// How long the system is left alone behind so many failures in a row.
fn back_off(failures: u32) -> Option<Duration> {
    let doublings = failures.checked_sub(MOMENTARY + 1)?;
    Some((FIRST_BACK_OFF * 2u32.saturating_pow(doublings.min(16))).min(LAST_BACK_OFF))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn some_failures_in_a_row_cost_no_time_and_more_of_them_little() {
        assert_eq!((1..=MOMENTARY).find_map(back_off), None);
        let pauses: Vec<u128> =
            (MOMENTARY + 1..MOMENTARY + 8).filter_map(back_off).map(|pause| pause.as_millis()).collect();
        assert_eq!(pauses, [1, 2, 4, 8, 16, 16, 16]);
        assert_eq!(back_off(u32::MAX), Some(LAST_BACK_OFF));
    }
}
