//! Checks made right before an attempt is sent, and at the end of a request or of the process. What they find is
//! counted.
//!
//! An attempt that must not begin is stopped. That is normal: the request may be answered, or its server removed,
//! while a connection is being established. A violation is a broken rule that the rest of the program has to
//! prevent; it is logged as a fault.

use crate::log;
use std::cell::Cell;
use std::fmt;

/// Why an attempt must not begin at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The request is answered or no longer pending.
    Answered,
    /// The client has closed the connection.
    ClientLeft,
    /// An earlier attempt may have run, and servers would no longer drop this one as its duplicate.
    WindowOver,
    /// The server is draining, has been removed, or has a new address.
    ServerNotReady,
    /// The time at which to give up on the attempt, at the latest the client's deadline, has passed.
    NoTimeLeft,
}

/// In the order of the enum, whose discriminants index the counts, and of the flags in [`SendConditions::check`].
const STOP_REASONS: [StopReason; 5] = [
    StopReason::Answered,
    StopReason::ClientLeft,
    StopReason::WindowOver,
    StopReason::ServerNotReady,
    StopReason::NoTimeLeft,
];

/// A rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A further attempt of a request that must not run twice, while an earlier attempt may run or have run.
    Repeated,
    /// A request was dropped without an answer while its client was waiting.
    Unanswered,
    /// The process ends with unanswered requests.
    EndedWithRequests,
}

/// The conditions under which the first byte of an attempt is about to be written.
#[derive(Debug, Clone, Copy)]
pub struct SendConditions {
    pub answered: bool,
    pub client_left: bool,
    pub window_over: bool,
    pub server_ready: bool,
    pub time_left: bool,
}

impl SendConditions {
    /// Checks whether the attempt may begin.
    ///
    /// # Errors
    /// The first reason why it must not.
    pub fn check(self) -> Result<(), StopReason> {
        let forbidden =
            [self.answered, self.client_left, self.window_over, !self.server_ready, !self.time_left];
        match STOP_REASONS.iter().zip(forbidden).find(|(_, forbidden)| *forbidden) {
            Some((reason, _)) => Err(*reason),
            None => Ok(()),
        }
    }
}

/// Counts of stopped attempts and of violations.
#[derive(Debug, Default)]
pub struct Guard {
    /// By reason.
    stopped: [Cell<u64>; STOP_REASONS.len()],
    violations: Cell<u64>,
}

impl Guard {
    /// Whether an attempt of a request may begin now; if not, it is counted as stopped.
    pub fn may_send(&self, client_request_id: &str, conditions: SendConditions) -> bool {
        let Err(reason) = conditions.check() else { return true };
        log::trace(client_request_id, || format!("attempt stopped: {reason:?}"));
        let count = &self.stopped[reason as usize];
        count.set(count.get() + 1);
        false
    }

    /// Counts and logs a violation.
    pub fn record_violation(&self, violation: Violation, subject: impl fmt::Display) {
        self.violations.set(self.violations.get() + 1);
        log::line(format!("violation: {violation:?}: {subject}"));
    }
}

impl fmt::Display for Guard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} violations; attempts stopped:", self.violations.get())?;
        for (reason, count) in STOP_REASONS.iter().zip(&self.stopped) {
            write!(f, " {reason:?} {}", count.get())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ALLOWED: SendConditions = SendConditions {
        answered: false,
        client_left: false,
        window_over: false,
        server_ready: true,
        time_left: true,
    };

    #[test]
    fn each_condition_alone_stops_an_attempt_and_is_counted() {
        let guard = Guard::default();
        assert!(guard.may_send("a", ALLOWED));
        let forbidden = [
            SendConditions { answered: true, ..ALLOWED },
            SendConditions { client_left: true, ..ALLOWED },
            SendConditions { window_over: true, ..ALLOWED },
            SendConditions { server_ready: false, ..ALLOWED },
            SendConditions { time_left: false, ..ALLOWED },
        ];
        for (conditions, reason) in forbidden.into_iter().zip(STOP_REASONS) {
            assert_eq!(conditions.check(), Err(reason));
            assert!(!guard.may_send("a", conditions));
        }
        guard.record_violation(Violation::Unanswered, "b");
        let counted =
            "1 violations; attempts stopped: Answered 1 ClientLeft 1 WindowOver 1 ServerNotReady 1 NoTimeLeft 1";
        assert_eq!(guard.to_string(), counted);
    }
}
