//! SIGHUP: reads the configuration again and applies the settings that can change at runtime.

use crate::config::{self, Config, ConfigError, Precedence};
use crate::discovery::RELOAD_NOTICE;
use crate::log;
use crate::retry::Backoff;
use std::pin::pin;
use tokio::signal::unix::Signal;
use tokio::time::{sleep, sleep_until, Instant};

/// What has become of a SIGHUP.
pub enum Reload {
    /// The new configuration, and when the signal arrived: the earliest one since the last configuration.
    Configured(Box<Config>, Instant),
    /// The configuration could not be read within `RELOAD_NOTICE`. It is still being read.
    Overdue,
}

/// Reads the file after each signal, for as long as the process runs. An invalid file changes nothing. A file that cannot
/// be read, or is still being written, is read again until it succeeds, as the old addresses are about to close.
pub async fn reload_on_hangup(mut hangups: Signal, apply: impl Fn(Reload)) {
    while hangups.recv().await.is_some() {
        let hangup_at = Instant::now();
        let mut reading = pin!(read_complete(&mut hangups));
        let config = tokio::select! {
            config = &mut reading => config,
            () = sleep_until(hangup_at + RELOAD_NOTICE) => {
                apply(Reload::Overdue);
                reading.await
            }
        };
        if let Some(config) = config {
            apply(Reload::Configured(Box::new(config), hangup_at));
        }
    }
}

/// Reads the file until it is complete. Returns `None` if it is invalid.
async fn read_complete(hangups: &mut Signal) -> Option<Config> {
    let mut pauses = Backoff::new();
    let mut reported = false;
    loop {
        let error = match config::read(|| Precedence::File).await {
            Ok(config) => return Some(config),
            Err(error) => error,
        };
        if !reported {
            log::line(format!("not reloaded: {error}"));
            reported = true;
        }
        if matches!(error, ConfigError::Invalid(_)) {
            return None;
        }
        tokio::select! {
            () = sleep(pauses.next()) => {}
            _ = hangups.recv() => reported = false,
        }
    }
}
