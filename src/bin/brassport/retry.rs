//! System calls that fail for a moment, because the system is out of something or a device errs, are made again.

use crate::log;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Between a failure and the next try: at first, and at the most.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LAST_PAUSE: Duration = Duration::from_millis(500);

/// Whether the same call may succeed a moment later.
pub fn may_pass(error: &io::Error) -> bool {
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
    const EMFILE: i32 = 24;
    const ENFILE: i32 = 23;
    const ENOMEM: i32 = 12;
    const EAGAIN: i32 = 11;
    const ENOBUFS: i32 = 105;
    matches!(
        error.kind(),
        ErrorKind::AddrNotAvailable
            | ErrorKind::AddrInUse
            | ErrorKind::NetworkUnreachable
            | ErrorKind::Interrupted
    ) || matches!(error.raw_os_error(), Some(EMFILE | ENFILE | ENOMEM | EAGAIN | ENOBUFS))
}

/// The pauses between tries, each twice as long as the one before, up to a limit.
#[derive(Debug)]
pub struct Pauses {
    next: Duration,
}

impl Pauses {
    pub fn new() -> Pauses {
        Pauses { next: FIRST_PAUSE }
    }

    /// Logs the first failure: the tries behind it may take a while.
    fn report(&self, what: &str, error: &io::Error) {
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

/// Makes a call again until it succeeds, fails for good, or `patience` is over.
pub async fn within<T>(
    patience: Duration,
    what: &str,
    mut call: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let (until, mut pauses) = (Instant::now() + patience, Pauses::new());
    loop {
        match call().await {
            Err(error) if may_pass(&error) && Instant::now() < until => {
                pauses.report(what, &error);
                sleep(pauses.next()).await;
            }
            result => return result,
        }
    }
}

/// The same before there is a runtime.
pub fn blocking<T>(patience: Duration, what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let (until, mut pauses) = (std::time::Instant::now() + patience, Pauses::new());
    loop {
        match call() {
            Err(error) if may_pass(&error) && std::time::Instant::now() < until => {
                pauses.report(what, &error);
                std::thread::sleep(pauses.next());
            }
            result => return result,
        }
    }
}
