//! The rules that bind at the moment of an act: sending, repeating, closing, ending. Each has one check here, made
//! right before the act or at its end, and what it finds is counted.
//!
//! An attempt that must not begin is stopped, which is no fault: events cross. A violation is something that the
//! rest of the program has to rule out; it is logged as such.

use crate::log;
use std::cell::Cell;
use std::fmt;

/// Why an attempt must not begin at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The request has its answer, or nobody waits for one.
    Answered,
    /// Its client has closed the connection.
    ClientLeft,
    /// What it repeats may have run, and would not be dropped any more.
    WindowOver,
    /// The server drains, has gone, or is elsewhere by now.
    ServerNotReady,
    /// The client's time is over.
    NoTimeLeft,
}

const STOPS: [StopReason; 5] = [
    StopReason::Answered,
    StopReason::ClientLeft,
    StopReason::WindowOver,
    StopReason::ServerNotReady,
    StopReason::NoTimeLeft,
];

/// A rule of the service that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A second attempt of a request that must not run twice, while one may have run.
    Repeated,
    /// A request was dropped without its answer while its client waited.
    Unanswered,
    /// The program ends with requests that have no answer.
    EndedWithRequests,
}

/// What is known when the first byte of an attempt is about to be written.
#[derive(Debug, Clone, Copy)]
pub struct SendConditions {
    pub answered: bool,
    pub client_left: bool,
    pub window_over: bool,
    pub server_ready: bool,
    pub time_left: bool,
}

impl SendConditions {
    /// The first rule that forbids it.
    ///
    /// # Errors
    /// Which rule that is.
    pub fn check(self) -> Result<(), StopReason> {
        let forbidden =
            [self.answered, self.client_left, self.window_over, !self.server_ready, !self.time_left];
        match STOPS.iter().zip(forbidden).find(|(_, forbidden)| *forbidden) {
            Some((stop, _)) => Err(*stop),
            None => Ok(()),
        }
    }
}

/// Counts what the checks found.
#[derive(Debug, Default)]
pub struct Guard {
    stopped: [Cell<u64>; STOPS.len()],
    violations: Cell<u64>,
}

impl Guard {
    /// Whether an attempt of a request may begin now; notes it if not.
    pub fn may_send(&self, request: &str, sending: SendConditions) -> bool {
        let Err(stop) = sending.check() else { return true };
        log::trace(request, || format!("attempt stopped: {stop:?}"));
        let count = &self.stopped[stop as usize];
        count.set(count.get() + 1);
        false
    }

    /// Notes a broken rule.
    pub fn violated(&self, violation: Violation, subject: impl fmt::Display) {
        self.violations.set(self.violations.get() + 1);
        log::line(format!("violation: {violation:?}: {subject}"));
    }
}

impl fmt::Display for Guard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} violations; attempts stopped:", self.violations.get())?;
        for (stop, count) in STOPS.iter().zip(&self.stopped) {
            write!(f, " {stop:?} {}", count.get())?;
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
    fn each_rule_alone_forbids_an_attempt_and_is_counted() {
        let guard = Guard::default();
        assert!(guard.may_send("a", ALLOWED));
        let forbidden = [
            SendConditions { answered: true, ..ALLOWED },
            SendConditions { client_left: true, ..ALLOWED },
            SendConditions { window_over: true, ..ALLOWED },
            SendConditions { server_ready: false, ..ALLOWED },
            SendConditions { time_left: false, ..ALLOWED },
        ];
        for (sending, stop) in forbidden.into_iter().zip(STOPS) {
            assert_eq!(sending.check(), Err(stop));
            assert!(!guard.may_send("a", sending));
        }
        guard.violated(Violation::Unanswered, "b");
        let counted =
            "1 violations; attempts stopped: Answered 1 ClientLeft 1 WindowOver 1 ServerNotReady 1 NoTimeLeft 1";
        assert_eq!(guard.to_string(), counted);
    }
}
