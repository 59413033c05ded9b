//! The signals that the program takes: SIGHUP, at which the configuration is read again, and SIGTERM.
//!
//! Until they are taken each of them ends the process, so [`CaughtSignals::new`] is the first thing that `main` does.
//! A SIGHUP that comes before the configuration has been read asks for nothing: the file is read afterwards.

use signal_hook::consts::signal::{SIGHUP, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Signals that are noted, before there is a runtime that could wait for them.
pub struct CaughtSignals {
    terminated: Arc<AtomicBool>,
}

impl CaughtSignals {
    /// Takes the signals from now on.
    ///
    /// # Errors
    /// What the system says of it.
    pub fn new() -> io::Result<CaughtSignals> {
        let terminated = Arc::new(AtomicBool::new(false));
        flag::register(SIGTERM, terminated.clone())?;
        // That it came is of no use here; that it no longer ends the process is.
        flag::register(SIGHUP, Arc::default())?;
        Ok(CaughtSignals { terminated })
    }

    /// Whether a SIGTERM has come.
    pub fn terminated(&self) -> bool {
        self.terminated.load(Ordering::Relaxed)
    }

    /// Hands over to the runtime, which this has to be called on.
    ///
    /// # Errors
    /// What the system says of it.
    pub fn wait_on_runtime(self) -> io::Result<Signals> {
        let hangups = signal(SignalKind::hangup())?;
        let terminations = signal(SignalKind::terminate())?;
        Ok(Signals { hangups, termination: Termination { signal: terminations, caught: self } })
    }
}

/// Signals that can be waited for.
pub struct Signals {
    /// Tells of one or more SIGHUPs since it was last asked.
    pub hangups: Signal,
    pub termination: Termination,
}

/// SIGTERM, which may have come before there was a runtime.
pub struct Termination {
    signal: Signal,
    caught: CaughtSignals,
}

impl Termination {
    /// Waits until the program is told to end.
    pub async fn requested(&mut self) {
        if !self.caught.terminated() {
            self.signal.recv().await;
        }
    }
}
