//! When discovery is called, and how long each call is waited for.

use super::call::Query;
use oorandom::Rand32;
use std::time::Duration;

/// How long a watch may wait for news, and how long its answer may take beyond that.
const WAIT: Duration = Duration::from_millis(1000);
const OVERDUE: Duration = Duration::from_millis(1000);
/// What a gateway's own agent has counts as told, heard or not, and a call that met its silence is never
/// answered, though the agent is back a moment later. So each stretch through which a call may be lost is a
/// part of the time within which sends to a draining server must stop: a watch's wait, how long any answer
/// is waited for beyond that, and the pause after a failed call, at first and at the most.
const OWN_WAIT_PART: f64 = 0.4;
const OWN_OVERDUE_PART: f64 = 0.2;
const OWN_FIRST_BACK_OFF_PART: f64 = 0.1;
const OWN_LAST_BACK_OFF_PART: f64 = 0.2;
/// The part of that time for which the list may be sent by while the agent may have more.
const OWN_UNCONFIRMED_PART: f64 = 0.75;
/// The least that is taken for that time: calls must not keep the gateway busy.
const LEAST_GRACE: Duration = Duration::from_millis(250);
/// Where all gateways call one service: after a call that failed, the next one comes within so long for
/// each of them, twice that after each further failure, and within the last of these at the most. As they
/// fail together they would come together again, and a line that is too long for all of them serves none.
const FIRST_BACK_OFF_PER_GATEWAY: Duration = Duration::from_millis(20);
const LAST_BACK_OFF_PER_GATEWAY: Duration = Duration::from_millis(100);
/// How much longer a call may take there for each of them: the service goes on to work on a call that was
/// given up, and so the next one only makes its line longer.
const OVERDUE_PER_GATEWAY: Duration = Duration::from_millis(30);
/// A change counts as told 6 s after discovery had it and could be reached, whatever became of the call that
/// was out then. So the time that a call took, the pause behind it and the wait for the next answer all go
/// into that, however many gateways there are.
const LONGEST_OVERDUE: Duration = Duration::from_millis(2500);
const LONGEST_BACK_OFF: Duration = Duration::from_millis(3300);
/// The longest pause behind a call that took as long as any may.
const BACK_OFF_FROM_SILENCE: Duration = Duration::from_millis(500);

/// Who answers the calls.
#[derive(Debug, Clone, Copy)]
pub enum Service {
    /// An agent of this gateway's own. What it has counts as told, and sends to a server that drains
    /// must stop within `grace`.
    Own { grace: Duration },
    /// Not known yet, as the configuration is not there. Nothing is withdrawn then: a start goes by what it has.
    Unsettled,
    /// One service of fixed capacity for so many gateways.
    Shared { gateways: u32 },
}

/// When calls are made, and how long each is waited for.
pub struct Schedule {
    rng: Rand32,
    /// How long a watch may wait for news, and how long an answer may take beyond that.
    wait: Duration,
    overdue: Duration,
    /// Pauses after failures: the first one's most, the last one's, the next one's.
    first: Duration,
    last: Duration,
    next: Duration,
    /// Whether the service is shared, so that calls are spared.
    shared: bool,
    most_unconfirmed: Option<Duration>,
}

impl Schedule {
    /// The schedule for that service; `seed` is for the jitter.
    pub fn new(service: Service, seed: u64) -> Schedule {
        let rng = Rand32::new(seed);
        match service {
            Service::Own { grace } => Schedule {
                most_unconfirmed: Some(grace.mul_f64(OWN_UNCONFIRMED_PART)),
                ..Schedule::own(grace, rng)
            },
            Service::Unsettled => Schedule::own(LEAST_GRACE, rng),
            Service::Shared { gateways } => Schedule::shared(gateways, rng),
        }
    }

    fn own(grace: Duration, rng: Rand32) -> Schedule {
        let part = |part| grace.max(LEAST_GRACE).mul_f64(part).min(WAIT);
        Schedule {
            rng,
            wait: part(OWN_WAIT_PART),
            overdue: part(OWN_OVERDUE_PART),
            first: part(OWN_FIRST_BACK_OFF_PART),
            last: part(OWN_LAST_BACK_OFF_PART),
            next: part(OWN_FIRST_BACK_OFF_PART),
            shared: false,
            most_unconfirmed: None,
        }
    }

    fn shared(gateways: u32, rng: Rand32) -> Schedule {
        Schedule {
            rng,
            wait: WAIT,
            overdue: (OVERDUE + OVERDUE_PER_GATEWAY * gateways).min(LONGEST_OVERDUE),
            first: FIRST_BACK_OFF_PER_GATEWAY * gateways,
            last: LAST_BACK_OFF_PER_GATEWAY * gateways,
            next: FIRST_BACK_OFF_PER_GATEWAY * gateways,
            shared: true,
            most_unconfirmed: None,
        }
    }

    /// How long a watch may wait for news.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Whether one service answers all gateways, so that calls are spared.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// For how long the list may be sent by while the agent may have more: a part of the grace of drains, as a
    /// gateway may be held up on its way to a send. `None` where only what was written counts as told.
    pub fn most_unconfirmed(&self) -> Option<Duration> {
        self.most_unconfirmed
    }

    /// How long a call is waited for. One for the whole list is answered at once.
    pub fn patience(&self, query: Query) -> Duration {
        match query {
            Query::Whole => self.overdue,
            Query::Watch { wait, .. } => wait + self.overdue,
        }
    }

    /// How long to pause after a call that failed and took so long: any part of what is due, so that
    /// gateways fall out of step, and of the longest pause there may be the later half, to spare the service.
    pub fn pause(&mut self, took: Duration) -> Duration {
        let longest = LONGEST_BACK_OFF.saturating_sub(took).max(BACK_OFF_FROM_SILENCE);
        let (due, any) = (self.next, self.rng.rand_float());
        self.next = (2 * due).min(self.last);
        if due <= longest {
            due.mul_f32(any)
        } else {
            longest.mul_f32((1.0 + any) / 2.0)
        }
    }

    /// Begins the pauses anew, behind an answer.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How long a watch is waited for.
    fn watch_patience(schedule: &Schedule) -> Duration {
        schedule.patience(Query::Watch { after: 1, wait: schedule.wait() })
    }

    /// Calls that `gateways` make in each second from their common start on if every one of them fails.
    fn calls(gateways: u32, seconds: usize) -> Vec<usize> {
        let mut calls = vec![0; seconds];
        for gateway in 0..gateways {
            let mut schedule = Schedule::new(Service::Shared { gateways }, u64::from(gateway));
            let mut at = Duration::ZERO;
            while let Some(count) = calls.get_mut(at.as_secs() as usize) {
                *count += 1;
                at += schedule.pause(Duration::ZERO);
            }
        }
        calls
    }

    #[test]
    fn gateways_that_are_turned_away_together_call_again_at_different_and_growing_intervals() {
        let calls = calls(100, 20);
        assert!(calls[0] <= 350, "{calls:?}");
        assert!(calls[8..].iter().all(|count| *count <= 50), "{calls:?}");
        assert!(calls[8..].iter().all(|count| *count > 0), "{calls:?}");
    }

    #[test]
    fn an_agent_of_ones_own_that_was_silent_is_heard_again_well_within_the_grace() {
        for grace in [300, 1000, 2000].map(Duration::from_millis) {
            let mut schedule = Schedule::new(Service::Own { grace }, 7);
            // Its silence ends right after it swallowed a call: the watch, or any of those that follow.
            let mut blind = watch_patience(&schedule) + schedule.pause(watch_patience(&schedule));
            for _ in 0..1000 {
                assert!(blind <= grace.mul_f64(0.75), "unheard for {blind:?} of {grace:?}");
                blind = schedule.patience(Query::Whole) + schedule.pause(schedule.patience(Query::Whole));
            }
        }
    }

    #[test]
    fn a_shared_watch_that_fell_silent_is_opened_anew_long_before_its_news_count_as_told() {
        for gateways in [3, 100, 300] {
            let mut schedule = Schedule::new(Service::Shared { gateways }, u64::from(gateways));
            let reopened = watch_patience(&schedule) + schedule.pause(watch_patience(&schedule));
            assert!(reopened <= Duration::from_millis(4000), "{gateways} gateways: after {reopened:?}");
        }
    }
    #[test]
    fn whatever_becomes_of_calls_the_next_answer_is_due_before_a_change_counts_as_told() {
        for gateways in [2, 30, 300, 350, 1024] {
            let mut schedule = Schedule::new(Service::Shared { gateways }, u64::from(gateways));
            // Refused or turned away at once, reset or spoilt on the way, given up: in any order, and again.
            let longest = watch_patience(&schedule);
            for n in 0..3000 {
                let took = longest.mul_f64(f64::from(n * 7 % 11) / 10.0);
                let blind = took + schedule.pause(took);
                // A call given up at the very moment of the return still leaves the next one 2 s.
                let answer = schedule.overdue.min(Duration::from_millis(2000));
                assert!(
                    blind + answer <= Duration::from_millis(6000),
                    "{gateways} gateways: blind for {blind:?}"
                );
            }
        }
    }
}
