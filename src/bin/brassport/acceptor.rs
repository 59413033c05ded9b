//! The listening socket. It knows since when connections may have been waiting in the system's queue.

use std::cell::Cell;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// After a failed accept: at first, and at the most. Where the system is out of something it is soon asked again,
/// as what waits meanwhile loses time, but not without a pause.
const FIRST_BACK_OFF: Duration = Duration::from_millis(1);
const LAST_BACK_OFF: Duration = Duration::from_millis(16);

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
    back_off: Cell<Duration>,
}

impl Acceptor {
    pub fn new(listener: TcpListener, descriptors: Arc<Semaphore>) -> Acceptor {
        let back_off = Cell::new(FIRST_BACK_OFF);
        Acceptor { listener, descriptors, stalled_since: Cell::new(None), back_off }
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
                    self.back_off.set(FIRST_BACK_OFF);
                    return Accepted { stream, descriptor, waited_since: self.stalled_since.get() };
                }
                // One connection that broke, or a signal: the next one may be there already.
                Err(error) if concerns_one(&error) => {
                    self.stall();
                    yield_now().await;
                }
                Err(_) => {
                    self.stall();
                    let pause = self.back_off.get();
                    self.back_off.set((2 * pause).min(LAST_BACK_OFF));
                    sleep(pause).await;
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

fn concerns_one(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted)
}
