//! When discovery was last heard, and since when the list held may be older than what discovery has.

use crate::log;
use std::cell::Cell;
use std::fmt;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why a call brought no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection did not come up.
    Unreachable,
    /// The connection broke.
    Broken,
    /// The answer is no list.
    Invalid,
    /// No answer came in time.
    Silent,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallFailure::Unreachable => "it can't be reached",
            CallFailure::Broken => "the connection broke",
            CallFailure::Invalid => "the answer is no list",
            CallFailure::Silent => "no answer came in time",
        })
    }
}

/// The one place that knows how old the list held may be.
#[derive(Debug)]
pub struct DiscoveryStatus {
    /// Before the first answer: the start.
    last_heard: Cell<Instant>,
    revision: Cell<Option<u64>>,
    lost: Cell<bool>,
    unconfirmed_since: Cell<Option<Instant>>,
    changed: Notify,
}

impl DiscoveryStatus {
    /// Nothing was heard yet; `revision` is that of a list held from an earlier life.
    pub fn new(revision: Option<u64>) -> DiscoveryStatus {
        DiscoveryStatus {
            last_heard: Cell::new(Instant::now()),
            revision: Cell::new(revision),
            lost: Cell::new(false),
            unconfirmed_since: Cell::new(None),
            changed: Notify::new(),
        }
    }

    /// Notes an answer, and logs it if discovery had been lost.
    pub fn heard(&self, revision: u64) {
        let silence = self.last_heard.replace(Instant::now()).elapsed().as_secs_f64();
        if self.lost.take() {
            log::line(format!("discovery is back: revision {revision}, after {silence:.2} s without word"));
        }
        self.revision.set(Some(revision));
    }

    /// Notes that the last answer was written at `written` at the earliest: what discovery got later is not known until
    /// the next watch is confirmed.
    pub fn unconfirmed_from(&self, written: Instant) {
        self.unconfirmed_since.set(Some(written));
        self.reconsider();
    }

    /// Notes that discovery was there while a watch was open: what it had before has been heard.
    pub fn confirmed(&self) {
        self.last_heard.set(Instant::now());
        self.unconfirmed_since.set(None);
    }

    /// Notes a call that failed, and logs the first one since an answer.
    pub fn lost(&self, loss: CallFailure) {
        if !self.lost.replace(true) {
            let silence = self.last_heard.get().elapsed().as_secs_f64();
            let held = self.revision.get().map_or("none".to_string(), |revision| revision.to_string());
            log::line(format!(
                "discovery is lost: {loss}; revision held {held}, {silence:.2} s without word"
            ));
        }
    }

    /// Since when discovery may have had changes that no watch was open for; `None` where it had none.
    pub fn unconfirmed_since(&self) -> Option<Instant> {
        self.unconfirmed_since.get()
    }

    /// Wakes whoever waits for a change: what it means has changed.
    pub fn reconsider(&self) {
        self.changed.notify_one();
    }

    /// Waits until there may be another answer to that.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
