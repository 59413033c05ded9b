//! SIGHUP: the configuration is read again and what may change under way is put in force.

use crate::config::{self, Config, Precedence, Problem};
use crate::log;
use crate::retry::Backoff;
use tokio::signal::unix::Signal;
use tokio::time::sleep;

/// Reads the file at each signal, for as long as the program runs. A file that makes no sense changes nothing; one
/// that can't be read, or is still being written, is read again, as the addresses that it moved are about to close.
pub async fn follow(mut hangups: Signal, apply: impl Fn(Config)) {
    while hangups.recv().await.is_some() {
        let mut pauses = Backoff::new();
        let mut reported = false;
        loop {
            let problem = match config::read(|| Precedence::File).await {
                Ok(config) => {
                    apply(config);
                    break;
                }
                Err(problem) => problem,
            };
            if !reported {
                log::line(format!("not reloaded: {problem}"));
                reported = true;
            }
            if matches!(problem, Problem::Invalid(_)) {
                break;
            }
            tokio::select! {
                () = sleep(pauses.next()) => {}
                _ = hangups.recv() => reported = false,
            }
        }
    }
}
