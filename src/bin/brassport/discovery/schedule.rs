//! When discovery is called, and the time-out of each call.

use super::call::Query;
use oorandom::Rand32;
use std::time::Duration;

/// How long a shared service may hold a watch open when it has no changes. With a local agent it is only the upper
/// limit of that time, and of the other time-outs and pauses.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The time-out of an answer of a shared service, for a watch beyond its wait. `ANSWER_TIMEOUT_PER_GATEWAY` is added to
/// it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// A gateway counts as notified of every change that its local agent has, whether or not the change arrived here. An
/// agent that was unresponsive never answers a call that it received then, even if it is back a moment later. So each
/// span in which a call may be lost is a fraction of the drain grace, the time within which sends to a draining server
/// must stop: the wait of a watch, and the time-out of an answer beyond that.
const AGENT_WAIT_FRACTION: f64 = 0.4;
const AGENT_ANSWER_TIMEOUT_FRACTION: f64 = 0.2;
/// The least interval between two calls to an agent that does not answer, whether or not the earlier one has ended. An agent
/// that answers for longer than the interval is heard.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the number of calls that are open at once at an agent that does not answer.
const MAX_OPEN_PROBES: u32 = 8;
/// The fraction of the drain grace for which the list may be used while the agent may have newer changes.
const AGENT_UNCONFIRMED_FRACTION: f64 = 0.75;
/// Lower limit of the drain grace for time-outs and pauses: with a shorter one, calls would keep the gateway busy.
const MIN_DRAIN_GRACE: Duration = Duration::from_millis(250);
/// With a shared service the pause after a failed call is random. Its upper limit is the first of these times the number
/// of gateways, and doubles with each further failure up to the second. Gateways that fail together would otherwise call
/// again together, and with a queue beyond the service's capacity none of them gets an answer in time.
const FIRST_BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(20);
const MAX_BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(100);
/// What each gateway adds to the time-out of an answer of a shared service: the service goes on working on a call that
/// timed out, so the retry only makes its queue longer.
const ANSWER_TIMEOUT_PER_GATEWAY: Duration = Duration::from_millis(30);
/// With a shared service a gateway counts as notified of a change 6 s after discovery had it and could be reached, even
/// if the call that was open then fails. This and the next two limits keep the duration of that call, the pause after it
/// and the wait for the next answer together below 6 s for any number of gateways.
/// This one limits the time-out of an answer, however many gateways add to it.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Limit on the duration of a failed call together with the pause after it, except for the pause that
/// `BACKOFF_LIMIT_AFTER_TIMEOUT` still allows.
const MAX_CALL_AND_BACKOFF: Duration = Duration::from_millis(3300);
/// Limit on the pause after a call that took so long that less than this is left of `MAX_CALL_AND_BACKOFF`. Without it
/// gateways whose calls time out would call again at once, and together.
const BACKOFF_LIMIT_AFTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Which kind of service answers the calls.
#[derive(Debug, Clone, Copy)]
pub enum Service {
    /// An agent that only this gateway calls. The gateway counts as notified of every change that the agent has, and
    /// sends to a draining server must stop within `drain_grace`.
    LocalAgent { drain_grace: Duration },
    /// Not known, as the configuration has not been read yet, and with it the drain grace. No list is in use then.
    Unknown,
    /// One service of fixed capacity, shared by this number of gateways.
    Shared { gateways: u32 },
}

impl Service {
    /// Whether one service answers all gateways.
    pub fn is_shared(&self) -> bool {
        matches!(self, Service::Shared { .. })
    }
}

/// The time-outs of calls and the pauses after failed ones.
pub struct Schedule {
    /// How long discovery may hold a watch open when it has no changes.
    wait: Duration,
    /// The time-out of an answer, for a watch beyond `wait`.
    answer_timeout: Duration,
    retries: Retries,
    max_unconfirmed: Option<Duration>,
}

/// What follows a call that gets no answer.
enum Retries {
    /// A local agent is called at this interval, whether or not the earlier calls have ended.
    Probes(Duration),
    /// A shared service, whose capacity limits the calls, is called again after a pause.
    Backoff(SharedBackoff),
}

impl Schedule {
    /// The schedule for that service; `seed` is for the jitter.
    pub fn new(service: Service, seed: u64) -> Schedule {
        match service {
            Service::LocalAgent { drain_grace } => Schedule {
                max_unconfirmed: Some(drain_grace.mul_f64(AGENT_UNCONFIRMED_FRACTION)),
                ..Schedule::local_agent(drain_grace)
            },
            Service::Unknown => Schedule::local_agent(MIN_DRAIN_GRACE),
            Service::Shared { gateways } => Schedule::shared(gateways, Rand32::new(seed)),
        }
    }

    fn local_agent(drain_grace: Duration) -> Schedule {
        let part = |fraction| drain_grace.max(MIN_DRAIN_GRACE).mul_f64(fraction).min(MAX_WATCH_WAIT);
        let answer_timeout = part(AGENT_ANSWER_TIMEOUT_FRACTION);
        Schedule {
            wait: part(AGENT_WAIT_FRACTION),
            answer_timeout,
            retries: Retries::Probes(MIN_PROBE_INTERVAL.max(answer_timeout / MAX_OPEN_PROBES)),
            max_unconfirmed: None,
        }
    }

    fn shared(gateways: u32, rng: Rand32) -> Schedule {
        Schedule {
            wait: MAX_WATCH_WAIT,
            answer_timeout: (ANSWER_TIMEOUT + ANSWER_TIMEOUT_PER_GATEWAY * gateways).min(MAX_ANSWER_TIMEOUT),
            retries: Retries::Backoff(SharedBackoff {
                rng,
                first: FIRST_BACKOFF_PER_GATEWAY * gateways,
                max: MAX_BACKOFF_PER_GATEWAY * gateways,
                next: FIRST_BACKOFF_PER_GATEWAY * gateways,
            }),
            max_unconfirmed: None,
        }
    }

    /// How long discovery may hold a watch open when it has no changes.
    pub fn watch_wait(&self) -> Duration {
        self.wait
    }

    /// Whether one service answers all gateways, so that its capacity limits the calls.
    pub fn is_shared(&self) -> bool {
        matches!(self.retries, Retries::Backoff(_))
    }

    /// How long the list may be used while the agent may have newer changes: only a fraction of the drain grace, as the
    /// gateway may be delayed on its way to a send. `None` if a gateway counts as notified only of what it was sent.
    pub fn max_unconfirmed(&self) -> Option<Duration> {
        self.max_unconfirmed
    }

    /// The time-out of a call. A call for the full list is answered without waiting for a change.
    pub fn call_timeout(&self, query: Query) -> Duration {
        match query {
            Query::Full => self.answer_timeout,
            Query::Watch { wait, .. } => wait + self.answer_timeout,
        }
    }

    /// The interval between the starts of calls to a local agent that does not answer; `None` for a shared service. Calls
    /// overlap: an agent that was unresponsive when it received a call never answers that one, also if it is back a moment
    /// later.
    pub fn probe_interval(&self) -> Option<Duration> {
        match self.retries {
            Retries::Probes(interval) => Some(interval),
            Retries::Backoff(_) => None,
        }
    }

    /// The pause after a failed call that took `took`.
    pub fn next_pause(&mut self, took: Duration) -> Duration {
        match &mut self.retries {
            Retries::Probes(interval) => interval.saturating_sub(took),
            Retries::Backoff(backoff) => backoff.next_pause(took),
        }
    }

    /// Resets the back-off after an answer.
    pub fn reset_backoff(&mut self) {
        if let Retries::Backoff(backoff) = &mut self.retries {
            backoff.next = backoff.first;
        }
    }
}

/// The pauses after failed calls to a shared service.
struct SharedBackoff {
    rng: Rand32,
    /// Upper limits of the first pause after failed calls, of every pause, and of the next one.
    first: Duration,
    max: Duration,
    next: Duration,
}

impl SharedBackoff {
    /// The pause after a failed call that took `took`. Jitter over the whole interval lets gateways fall out of step;
    /// where the back-off is cut to its limit, only the upper half of the interval is used, to spare the service.
    fn next_pause(&mut self, took: Duration) -> Duration {
        let limit = MAX_CALL_AND_BACKOFF.saturating_sub(took).max(BACKOFF_LIMIT_AFTER_TIMEOUT);
        let (backoff, jitter) = (self.next, self.rng.rand_float());
        self.next = (2 * backoff).min(self.max);
        if backoff <= limit {
            backoff.mul_f32(jitter)
        } else {
            limit.mul_f32((1.0 + jitter) / 2.0)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn watch_timeout(schedule: &Schedule) -> Duration {
        schedule.call_timeout(Query::Watch { after: 1, wait: schedule.watch_wait() })
    }

    /// The number of calls that `gateways` make in each second after a common start if every call fails.
    fn calls_per_second(gateways: u32, seconds: usize) -> Vec<usize> {
        let mut calls = vec![0; seconds];
        for gateway in 0..gateways {
            let mut schedule = Schedule::new(Service::Shared { gateways }, u64::from(gateway));
            let mut at = Duration::ZERO;
            while let Some(count) = calls.get_mut(at.as_secs() as usize) {
                *count += 1;
                at += schedule.next_pause(Duration::ZERO);
            }
        }
        calls
    }

    #[test]
    fn gateways_that_fail_together_call_again_at_different_and_growing_intervals() {
        let calls = calls_per_second(100, 20);
        assert!(calls[0] <= 350, "{calls:?}");
        assert!(calls[8..].iter().all(|count| *count <= 50), "{calls:?}");
        assert!(calls[8..].iter().all(|count| *count > 0), "{calls:?}");
    }

    #[test]
    fn a_local_agent_that_was_unresponsive_is_called_again_within_three_quarters_of_the_drain_grace() {
        for drain_grace in [300, 1000, 2000].map(Duration::from_millis) {
            let mut schedule = Schedule::new(Service::LocalAgent { drain_grace }, 7);
            // The agent is back right after a call was lost: the watch, or any of the calls after it.
            let mut blind = watch_timeout(&schedule) + schedule.next_pause(watch_timeout(&schedule));
            for _ in 0..1000 {
                assert!(blind <= drain_grace.mul_f64(0.75), "no call for {blind:?} of {drain_grace:?}");
                blind = schedule.call_timeout(Query::Full)
                    + schedule.next_pause(schedule.call_timeout(Query::Full));
            }
        }
    }

    // Well before a change counts as notified, which is 6 s after discovery had it.
    #[test]
    fn a_shared_watch_that_timed_out_is_reopened_within_4_s() {
        for gateways in [3, 100, 300] {
            let mut schedule = Schedule::new(Service::Shared { gateways }, u64::from(gateways));
            let reopened = watch_timeout(&schedule) + schedule.next_pause(watch_timeout(&schedule));
            assert!(reopened <= Duration::from_millis(4000), "{gateways} gateways: after {reopened:?}");
        }
    }

    #[test]
    fn after_failed_calls_of_any_duration_the_next_answer_is_due_before_a_change_counts_as_notified() {
        for gateways in [2, 30, 300, 350, 1024] {
            let mut schedule = Schedule::new(Service::Shared { gateways }, u64::from(gateways));
            // Calls that were refused at once, reset, answered with invalid data or timed out, in any order and
            // repeatedly.
            let longest = watch_timeout(&schedule);
            for n in 0..3000 {
                let took = longest.mul_f64(f64::from(n * 7 % 11) / 10.0);
                let blind = took + schedule.next_pause(took);
                // Even if discovery is back just as a call times out, the next call is left 2 s.
                let answer = schedule.answer_timeout.min(Duration::from_millis(2000));
                assert!(
                    blind + answer <= Duration::from_millis(6000),
                    "{gateways} gateways: no call for {blind:?}"
                );
            }
        }
    }
}
