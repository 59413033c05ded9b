//! The module's clock, and what other machines' wall clocks mean on it.
//!
//! The module's clock is monotonic. The wall clock may be stepped at any time, here and everywhere at once; it is
//! read for two purposes only: to place what other machines tell in Unix time on the module's clock, and to know
//! what all gateways' clocks show now.

use springusher::Millis;
use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A difference between the two clocks that is none: the clock is slewed, or the reading was interrupted.
const LEAST_STEP: Millis = 50.0;
/// Between two looks at the wall clock.
const SAMPLE_PERIOD: Millis = 10.0;
/// Steps that are remembered.
const MOST_STEPS: usize = 16;

/// A span of the module's clock through which the wall clock was ahead of it by the same amount.
#[derive(Debug, Clone, Copy)]
struct Segment {
    ahead: Millis,
    /// The earliest and the latest moment at which it may have held: a step shows only at the next look.
    from: Millis,
    until: Millis,
}

/// The clocks of one front door.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    /// The module's time at the start: Unix time, so that it is above zero and readable in a log.
    start_time: Millis,
    sampled: Cell<Millis>,
    /// The oldest first; the last one is in force.
    segments: RefCell<Vec<Segment>>,
}

fn wall_clock() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Clock {
    /// A clock that shows Unix time now, and goes on from there whatever becomes of the wall clock.
    pub fn new() -> Clock {
        let start_time = wall_clock();
        // What the wall clock did before the start nobody here has seen.
        let first = Segment { ahead: 0.0, from: start_time, until: f64::INFINITY };
        let segments = RefCell::new(vec![first]);
        Clock { start: Instant::now(), start_time, sampled: Cell::new(start_time), segments }
    }

    /// The module's time.
    pub fn now(&self) -> Millis {
        self.start_time + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// A moment of the module's time as the runtime's.
    pub fn to_instant(&self, at: Millis) -> Instant {
        let since = Duration::try_from_secs_f64((at - self.start_time) / 1000.0).unwrap_or_default();
        self.start.checked_add(since).unwrap_or_else(Instant::now)
    }

    /// Looks at the wall clock; if it was stepped, tells how far it is ahead of the module's clock now.
    pub fn detect_step(&self) -> Option<Millis> {
        let now = self.now();
        if now < self.sampled.get() + SAMPLE_PERIOD {
            return None;
        }
        self.stepped(now, wall_clock())
    }

    fn stepped(&self, now: Millis, wall: Millis) -> Option<Millis> {
        let before = self.sampled.replace(now);
        let ahead = wall - now;
        let mut segments = self.segments.borrow_mut();
        let last = segments.last_mut().filter(|last| (ahead - last.ahead).abs() >= LEAST_STEP)?;
        last.until = now;
        segments.push(Segment { ahead, from: before, until: f64::INFINITY });
        if segments.len() > MOST_STEPS {
            segments.remove(0);
        }
        Some(ahead)
    }

    /// The module's time of a past moment that another machine told by its wall clock. Where a step leaves more
    /// than one answer it is the latest: what starts at that moment is then taken for younger, never for older.
    ///
    /// A moment before all that this clock has watched is placed at the first moment that it has: how far before
    /// it lay is what an unwatched wall clock says, which a step makes wrong by any amount, and nothing that a
    /// new process is told shows such a step.
    pub fn module_time_of(&self, wall: Millis) -> Millis {
        let now = self.now();
        let segments = self.segments.borrow();
        let fits = segments.iter().rev().find_map(|segment| {
            let at = wall - segment.ahead;
            (at >= segment.from && at <= segment.until.min(now)).then_some(at)
        });
        let first_watched = segments.first().filter(|first| wall - first.ahead < first.from);
        fits.or(first_watched.map(|first| first.from)).unwrap_or(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A clock that has run for a minute and whose wall clock was stepped by so much a second ago.
    fn stepped_a_second_ago(step: Millis) -> Clock {
        let mut clock = Clock::new();
        clock.start -= Duration::from_secs(60);
        clock.start_time -= 60_000.0;
        clock.segments.borrow_mut()[0].from = clock.start_time;
        let at = clock.now() - 1000.0;
        clock.sampled.set(at - 5.0);
        assert_eq!(clock.stepped(at, at + step).map(|ahead| (ahead - step).abs() < 1.0), Some(true));
        clock
    }

    #[test]
    fn a_moment_keeps_its_place_whatever_the_wall_clock_did_since() {
        for step in [-3_600_000.0, -4000.0, 4000.0, 3_600_000.0] {
            let clock = stepped_a_second_ago(step);
            let now = clock.now();
            for (age, told) in [(500.0, step), (30_000.0, 0.0)] {
                let at = clock.module_time_of(now - age + told);
                assert!(
                    (at - (now - age)).abs() < 1.0,
                    "step {step}, age {age}: {} ms off",
                    at - (now - age)
                );
            }
        }
    }

    #[test]
    fn what_two_moments_may_mean_is_the_later_one_and_never_the_future() {
        // 3.5 s before a step back by 4 s the clock showed what it shows again 0.5 s after it.
        let clock = stepped_a_second_ago(-4000.0);
        let now = clock.now();
        assert!((clock.module_time_of(now - 500.0 - 4000.0) - (now - 500.0)).abs() < 1.0);
        assert!(clock.module_time_of(now + 60_000.0) <= clock.now());
    }

    #[test]
    fn a_moment_before_the_first_that_was_watched_is_placed_there_however_long_ago_it_is_told_to_be() {
        for step in [-3_600_000.0, -4000.0, 4000.0, 3_600_000.0] {
            let clock = stepped_a_second_ago(step);
            for age in [60_100.0, 70_000.0, 90_000_000.0] {
                let at = clock.module_time_of(clock.now() - age);
                assert!(
                    at >= clock.start_time,
                    "step {step}, age {age}: {} ms too early",
                    clock.start_time - at
                );
            }
        }
    }

    #[test]
    fn small_differences_are_no_step() {
        let clock = Clock::new();
        let at = clock.now() + 100.0;
        assert_eq!(clock.stepped(at, at + 20.0), None);
    }
}
