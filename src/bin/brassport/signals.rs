//! The signals that the process handles: SIGHUP, which reloads the configuration, and SIGTERM.
//!
//! Without a handler each of them kills the process, so `main` calls [`CaughtSignals::new`] before anything that takes
//! time. A SIGHUP that arrives before the configuration has been read needs no action: the file is read afterwards.

use signal_hook::consts::signal::{SIGHUP, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Signal handlers for the time before there is an async runtime to wait for signals.
pub struct CaughtSignals {
    terminated: Arc<AtomicBool>,
}

impl CaughtSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// If the system rejects a handler.
    pub fn new() -> io::Result<CaughtSignals> {
        let terminated = Arc::new(AtomicBool::new(false));
        flag::register(SIGTERM, terminated.clone())?;
        // The flag is not read: the handler only prevents SIGHUP from killing the process.
        flag::register(SIGHUP, Arc::default())?;
        Ok(CaughtSignals { terminated })
    }

    /// Whether a SIGTERM has arrived.
    pub fn terminated(&self) -> bool {
        self.terminated.load(Ordering::Relaxed)
    }

    /// Lets the async runtime handle the signals. Has to be called on the runtime.
    ///
    /// # Errors
    /// If the system rejects a handler.
    pub fn into_async(self) -> io::Result<Signals> {
        let hangups = signal(SignalKind::hangup())?;
        let terminations = signal(SignalKind::terminate())?;
        Ok(Signals { hangups, termination: Termination { signal: terminations, caught: self } })
    }
}

/// The signals as async streams.
pub struct Signals {
    /// Yields once for any number of SIGHUPs since the last time.
    pub hangups: Signal,
    pub termination: Termination,
}

/// SIGTERM, which may have arrived before there was a runtime.
pub struct Termination {
    signal: Signal,
    caught: CaughtSignals,
}

impl Termination {
    /// Waits for SIGTERM.
    pub async fn requested(&mut self) {
        if !self.caught.terminated() {
            self.signal.recv().await;
        }
    }
}
