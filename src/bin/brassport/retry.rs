//! Retries of system calls that fail temporarily, because a resource of the system is exhausted or a device fails.

use crate::log;
use rustix::io::Errno;
use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between the first failure and the next try.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Longest time between a failure and the next try.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Whether the same call may succeed later.
pub fn is_transient(error: &io::Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::NotFound
            | ErrorKind::PermissionDenied
            | ErrorKind::InvalidInput
            | ErrorKind::InvalidData
            | ErrorKind::IsADirectory
            | ErrorKind::NotADirectory
            | ErrorKind::Unsupported
    )
}

/// Whether a connect failed for a reason on this machine, which says nothing about the peer.
pub fn is_local(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::ADDRNOTAVAIL
                | Errno::ADDRINUSE
                | Errno::NETUNREACH
                | Errno::INTR
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOMEM
                | Errno::AGAIN
                | Errno::NOBUFS
        )
    )
}

/// Exponential back-off: each time between two tries is twice as long as the one before, up to a limit.
#[derive(Debug)]
pub struct Backoff {
    next: Duration,
}

impl Backoff {
    pub fn new() -> Backoff {
        Backoff { next: INITIAL_BACKOFF }
    }

    /// Logs the first failure of `operation`, as the retries may take a while. To be called before [`Backoff::next`].
    pub fn log_first_failure(&self, operation: &str, error: &dyn Display) {
        if self.next == INITIAL_BACKOFF {
            log::line(format!("{operation} failed, retrying: {error}"));
        }
    }

    /// The time until the next try.
    pub fn next(&mut self) -> Duration {
        let delay = self.next;
        self.next = (2 * delay).min(MAX_BACKOFF);
        delay
    }
}

/// The retries of one operation.
struct Retries<'a> {
    operation: &'a str,
    deadline: Instant,
    backoff: Backoff,
}

impl Retries<'_> {
    /// The time until the next try.
    ///
    /// # Errors
    /// The failure itself, if it is permanent or the deadline has passed.
    fn delay(&mut self, error: io::Error) -> io::Result<Duration> {
        if !is_transient(&error) || Instant::now() >= self.deadline {
            return Err(error);
        }
        self.backoff.log_first_failure(self.operation, &error);
        Ok(self.backoff.next())
    }
}

fn retries(timeout: Duration, operation: &str) -> Retries<'_> {
    Retries { operation, deadline: Instant::now() + timeout, backoff: Backoff::new() }
}

/// Repeats a call until it succeeds, fails permanently, or fails after `timeout`. `operation` names it in the log.
pub async fn retry_until<T>(
    timeout: Duration,
    operation: &str,
    mut call: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut retries = retries(timeout, operation);
    loop {
        match call().await {
            Ok(done) => return Ok(done),
            Err(error) => sleep(retries.delay(error)?).await,
        }
    }
}

/// Like [`retry_until`], but blocks the thread: for use before the runtime is started.
pub fn retry_blocking<T>(
    timeout: Duration,
    operation: &str,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut retries = retries(timeout, operation);
    loop {
        match call() {
            Ok(done) => return Ok(done),
            Err(error) => std::thread::sleep(retries.delay(error)?),
        }
    }
}
