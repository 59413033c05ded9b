//! SIGHUP: reads the configuration again and applies the settings that can change at runtime.

use crate::config::{self, Config, ConfigError, Precedence};
use crate::log;
use crate::retry::Backoff;
use tokio::signal::unix::Signal;
use tokio::time::sleep;

/// Reads the file after each signal, for as long as the process runs. An invalid file changes nothing. A file that cannot
/// be read, or is still being written, is read again until it succeeds, as the old addresses are about to close.
pub async fn reload_on_hangup(mut hangups: Signal, apply: impl Fn(Config)) {
    while hangups.recv().await.is_some() {
        let mut pauses = Backoff::new();
        let mut reported = false;
        loop {
            let error = match config::read(|| Precedence::File).await {
                Ok(config) => {
                    apply(config);
                    break;
                }
                Err(error) => error,
            };
            if !reported {
                log::line(format!("not reloaded: {error}"));
                reported = true;
            }
            if matches!(error, ConfigError::Invalid(_)) {
                break;
            }
            tokio::select! {
                () = sleep(pauses.next()) => {}
                _ = hangups.recv() => reported = false,
            }
        }
    }
}
