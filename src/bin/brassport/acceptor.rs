//! The listening socket. It records since when connections may have been waiting in the kernel's queue.

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

/// Consecutive failures that are treated as momentary: the next accept follows at once, as a pause delays every waiting
/// connection.
const IMMEDIATE_RETRIES: u32 = 8;
/// The first and the longest pause after more failures, which mean that the system lacks a resource.
const FIRST_BACK_OFF: Duration = Duration::from_millis(1);
const MAX_BACK_OFF: Duration = Duration::from_millis(16);

/// Connections that may wait to be accepted; the kernel reduces this to `net.core.somaxconn`.
const LISTEN_BACKLOG: u32 = i32::MAX.unsigned_abs();

/// Listens on an address with the longest queue that the kernel allows. When the queue is full, a client connects a
/// second late, or its connect succeeds on its side and its request is not received for that second.
///
/// # Errors
/// The error of the system call that failed.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// An accepted connection.
pub struct Accepted {
    pub stream: TcpStream,
    pub client_port: u16,
    /// The permit for its file descriptor, out of those that the process may have open.
    pub descriptor: OwnedSemaphorePermit,
    /// Since when its first input may have been waiting in the kernel, if the connection had to wait.
    pub queued_since: Option<Instant>,
}

/// The listening socket.
pub struct Acceptor {
    listener: TcpListener,
    descriptors: Arc<Semaphore>,
    /// Since when connections could not be accepted; `None` once the queue was found empty.
    stalled_since: Cell<Option<Instant>>,
    /// Failures to accept since the last success.
    failures: Cell<u32>,
}

impl Acceptor {
    /// `descriptors` has a permit for each file descriptor that the process may open. Connections may have been waiting
    /// since `listening_since`.
    pub fn new(listener: TcpListener, descriptors: Arc<Semaphore>, listening_since: Instant) -> Acceptor {
        Acceptor {
            listener,
            descriptors,
            stalled_since: Cell::new(Some(listening_since)),
            failures: Cell::new(0),
        }
    }

    /// Whether connections may be waiting because they could not be accepted.
    pub fn is_stalled(&self) -> bool {
        self.stalled_since.get().is_some()
    }

    fn mark_stalled(&self) {
        self.stalled_since.set(self.stalled_since.get().or(Some(Instant::now())));
    }

    /// Accepts the next connection once there is a descriptor for it. Cancel-safe.
    pub async fn accept(&self) -> Accepted {
        loop {
            let descriptor = self.acquire_descriptor().await;
            match poll_fn(|context| self.poll_accept(context)).await {
                Ok((stream, client)) => {
                    self.failures.set(0);
                    let queued_since = self.stalled_since.get();
                    return Accepted { stream, client_port: client.port(), descriptor, queued_since };
                }
                Err(_) => {
                    self.mark_stalled();
                    self.failures.set(self.failures.get().saturating_add(1));
                    match back_off(self.failures.get()) {
                        Some(pause) => sleep(pause).await,
                        None => yield_now().await,
                    }
                }
            }
        }
    }

    async fn acquire_descriptor(&self) -> OwnedSemaphorePermit {
        if let Ok(descriptor) = self.descriptors.clone().try_acquire_owned() {
            return descriptor;
        }
        self.mark_stalled();
        match self.descriptors.clone().acquire_owned().await {
            Ok(descriptor) => descriptor,
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    fn poll_accept(&self, context: &mut std::task::Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
        let accepted = self.listener.poll_accept(context);
        if accepted.is_pending() {
            self.stalled_since.set(None);
        }
        accepted
    }
}

/// The pause after this number of consecutive failures; `None` to retry at once.
fn back_off(failures: u32) -> Option<Duration> {
    let doublings = failures.checked_sub(IMMEDIATE_RETRIES + 1)?;
    Some((FIRST_BACK_OFF * 2u32.saturating_pow(doublings.min(16))).min(MAX_BACK_OFF))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_failures_are_retried_at_once_and_further_ones_with_growing_pauses() {
        assert_eq!((1..=IMMEDIATE_RETRIES).find_map(back_off), None);
        let pauses: Vec<u128> = (IMMEDIATE_RETRIES + 1..IMMEDIATE_RETRIES + 8)
            .filter_map(back_off)
            .map(|pause| pause.as_millis())
            .collect();
        assert_eq!(pauses, [1, 2, 4, 8, 16, 16, 16]);
        assert_eq!(back_off(u32::MAX), Some(MAX_BACK_OFF));
    }
}
