//! System calls that fail for a moment, because the system is out of something or a device errs, are made again.

use crate::log;
use rustix::io::Errno;
use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Between a failure and the next try: at first, and at the most.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LAST_PAUSE: Duration = Duration::from_millis(500);

/// Whether the same call may succeed a moment later.
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

/// Whether a failed attempt to connect says nothing of the peer: this machine could not even begin.
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

/// The pauses between tries, each twice as long as the one before, up to a limit.
#[derive(Debug)]
pub struct Backoff {
    next: Duration,
}

impl Backoff {
    /// The first pauses.
    pub fn new() -> Backoff {
        Backoff { next: FIRST_PAUSE }
    }

    /// Logs the first failure: the tries behind it may take a while.
    pub fn report(&self, what: &str, error: &dyn Display) {
        if self.next == FIRST_PAUSE {
            log::line(format!("{what} does not work for now, trying on: {error}"));
        }
    }

    /// The next pause.
    pub fn next(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(LAST_PAUSE);
        pause
    }
}

/// The tries of one call.
struct Tries<'a> {
    what: &'a str,
    until: Instant,
    pauses: Backoff,
}

impl Tries<'_> {
    /// The pause until the next try.
    ///
    /// # Errors
    /// The failure itself, if it is one for good or the time is over.
    fn pause(&mut self, error: io::Error) -> io::Result<Duration> {
        if !is_transient(&error) || Instant::now() >= self.until {
            return Err(error);
        }
        self.pauses.report(self.what, &error);
        Ok(self.pauses.next())
    }
}

fn tries(patience: Duration, what: &str) -> Tries<'_> {
    Tries { what, until: Instant::now() + patience, pauses: Backoff::new() }
}

/// Makes a call again until it succeeds, fails for good, or `patience` is over.
pub async fn retry_until<T>(
    patience: Duration,
    what: &str,
    mut call: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut tries = tries(patience, what);
    loop {
        match call().await {
            Ok(done) => return Ok(done),
            Err(error) => sleep(tries.pause(error)?).await,
        }
    }
}

/// The same before there is a runtime.
pub fn blocking<T>(patience: Duration, what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut tries = tries(patience, what);
    loop {
        match call() {
            Ok(done) => return Ok(done),
            Err(error) => std::thread::sleep(tries.pause(error)?),
        }
    }
}
