//! When discovery was last heard, and what the log tells of it.

use crate::log;
use std::fmt;
use tokio::time::Instant;

/// Why a call brought no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The connection did not come up.
    Unreachable,
    /// The connection broke.
    Broken,
    /// The answer is no list.
    Invalid,
    /// No answer came in time.
    Silent,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Loss::Unreachable => "it can't be reached",
            Loss::Broken => "the connection broke",
            Loss::Invalid => "the answer is no list",
            Loss::Silent => "no answer came in time",
        })
    }
}

/// When discovery was last heard. The list in force may be as old as that, and no other place knows.
#[derive(Debug)]
pub struct Contact {
    /// Before the first answer: the start.
    last_heard: Instant,
    revision: Option<u64>,
    lost: bool,
}

impl Contact {
    /// Nothing was heard yet; `revision` is that of a list held from an earlier life.
    pub fn new(revision: Option<u64>) -> Contact {
        Contact { last_heard: Instant::now(), revision, lost: false }
    }

    /// Notes an answer, and logs it if discovery had been lost.
    pub fn heard(&mut self, revision: u64) {
        let silence = self.last_heard.elapsed().as_secs_f64();
        if std::mem::take(&mut self.lost) {
            log::line(format!("discovery is back: revision {revision}, after {silence:.2} s without word"));
        }
        self.last_heard = Instant::now();
        self.revision = Some(revision);
    }

    /// Notes a call that failed, and logs the first one since an answer.
    pub fn lost(&mut self, loss: Loss) {
        if !std::mem::replace(&mut self.lost, true) {
            let silence = self.last_heard.elapsed().as_secs_f64();
            let held = self.revision.map_or("none".to_string(), |revision| revision.to_string());
            log::line(format!(
                "discovery is lost: {loss}; revision held {held}, {silence:.2} s without word"
            ));
        }
    }
}
