//! When discovery last answered, and since when the list held may be missing changes.

use crate::log;
use std::cell::Cell;
use std::fmt;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why a call returned no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection could not be opened.
    Unreachable,
    /// The connection broke.
    Broken,
    /// The answer is not a valid list.
    Invalid,
    /// No answer arrived within the time-out.
    TimedOut,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallFailure::Unreachable => "cannot connect",
            CallFailure::Broken => "the connection broke",
            CallFailure::Invalid => "the answer is not a valid list",
            CallFailure::TimedOut => "no answer within the time-out",
        })
    }
}

/// Whether changes may be missing from the list held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Validity {
    /// None is missing that the gateway counts as notified of.
    Confirmed,
    /// Any that the gateway counts as notified of since then may be missing.
    UnconfirmedSince(Instant),
    /// The list is not in use.
    Withdrawn,
}

/// Tracks how old the list held may be, and logs when discovery is lost and when it is back.
#[derive(Debug)]
pub struct DiscoveryStatus {
    /// Before the first answer: the time of the start.
    last_answer: Cell<Instant>,
    revision: Cell<Option<u64>>,
    lost: Cell<bool>,
    validity: Cell<Validity>,
    changed: Notify,
}

impl DiscoveryStatus {
    /// The status before the first answer; `revision` is that of the cached list in the configuration file, which lacks
    /// what the gateway counts as notified of at `notified_at`.
    pub fn new(revision: Option<u64>, notified_at: Instant) -> DiscoveryStatus {
        DiscoveryStatus {
            last_answer: Cell::new(Instant::now()),
            revision: Cell::new(revision),
            lost: Cell::new(false),
            validity: Cell::new(Validity::UnconfirmedSince(notified_at)),
            changed: Notify::new(),
        }
    }

    /// Records an answer that was written no earlier than `written`, and logs it if discovery was lost before. Changes that
    /// discovery received later may be missing until the next watch is confirmed.
    pub fn answered(&self, revision: u64, written: Instant) {
        let silence = self.last_answer.replace(Instant::now()).elapsed().as_secs_f64();
        if self.lost.take() {
            log::line(format!(
                "discovery is back: revision {revision}, after {silence:.2} s without an answer"
            ));
        }
        self.revision.set(Some(revision));
        self.validity.set(Validity::UnconfirmedSince(written));
        self.notify_changed();
    }

    /// Records that discovery answered while a watch was open: no earlier change is missing.
    pub fn confirmed(&self) {
        self.last_answer.set(Instant::now());
        self.validity.set(Validity::Confirmed);
    }

    /// Records that another discovery is asked from now on. The gateway counts as notified at `notified_at` of what that
    /// one has, and the list held is that of the one before.
    pub fn source_changed(&self, notified_at: Instant) {
        self.validity.set(match self.validity.get() {
            Validity::Confirmed => Validity::UnconfirmedSince(notified_at),
            Validity::UnconfirmedSince(since) => Validity::UnconfirmedSince(since.min(notified_at)),
            Validity::Withdrawn => Validity::Withdrawn,
        });
        self.notify_changed();
    }

    /// Records that the list held is no longer used.
    pub fn withdrawn(&self) {
        self.validity.set(Validity::Withdrawn);
    }

    /// Records a failed call, and logs the first one since the last answer.
    pub fn call_failed(&self, failure: CallFailure) {
        if !self.lost.replace(true) {
            let silence = self.last_answer.get().elapsed().as_secs_f64();
            let held = self.revision.get().map_or("none".to_string(), |revision| revision.to_string());
            log::line(format!(
                "discovery is lost: {failure}; revision held {held}, {silence:.2} s without an answer"
            ));
        }
    }

    /// The time since which changes that the gateway counts as notified of may be missing from the list in use; `None`
    /// if there are none, or no list.
    pub fn unconfirmed_since(&self) -> Option<Instant> {
        match self.validity.get() {
            Validity::UnconfirmedSince(since) => Some(since),
            Validity::Confirmed | Validity::Withdrawn => None,
        }
    }

    /// Wakes the task in [`DiscoveryStatus::changed`]. To be called also when the schedule changes, as the limit on the
    /// unconfirmed time then changes too.
    pub fn notify_changed(&self) {
        self.changed.notify_one();
    }

    /// Waits until `unconfirmed_since` or the limit on it may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
