//! The decision module's clock, and the conversion of wall-clock times to it.
//!
//! The module's clock is monotonic. The wall clock may be stepped at any time, on one machine or on all of them at
//! once. It is read for two purposes only: to convert times that other machines give in Unix time to the module's
//! clock, and to obtain the time that the wall clocks of all gateways show.

use springusher::Millis;
use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Smallest change of the offset between the two clocks that counts as a step, in milliseconds. Smaller ones come
/// from slewing of the wall clock or from an interruption between the two readings.
const MIN_STEP: Millis = 50.0;
/// Shortest time between two readings of the wall clock, in milliseconds. The moment of a step is known only to lie
/// between two readings.
const SAMPLE_PERIOD: Millis = 10.0;
/// Most segments that are kept; the oldest is dropped first.
const MAX_SEGMENTS: usize = 16;

/// A span of the module's clock with a constant offset of the wall clock.
#[derive(Debug, Clone, Copy)]
struct Segment {
    /// Wall clock minus the module's clock, in milliseconds.
    offset: Millis,
    /// Earliest moment at which the offset may have applied: the reading before the one that showed the step.
    from: Millis,
    /// Latest moment at which the offset may have applied: the reading that showed the next step.
    until: Millis,
}

/// The clocks of one gateway.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    /// The module's time at `start`: Unix time, so that it is above zero and readable in a log.
    start_time: Millis,
    /// The module's time of the latest reading of the wall clock.
    last_sample: Cell<Millis>,
    /// The oldest first; the last one is the current one.
    segments: RefCell<Vec<Segment>>,
}

fn wall_clock() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Clock {
    /// A clock that starts at the current Unix time and from there on is independent of the wall clock.
    pub fn new() -> Clock {
        let start_time = wall_clock();
        // Steps before the start are unknown, so the first segment begins here.
        let first = Segment { offset: 0.0, from: start_time, until: f64::INFINITY };
        let segments = RefCell::new(vec![first]);
        Clock { start: Instant::now(), start_time, last_sample: Cell::new(start_time), segments }
    }

    /// The module's time.
    pub fn now(&self) -> Millis {
        self.start_time + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time of the module's clock to the runtime's clock.
    pub fn to_instant(&self, at: Millis) -> Instant {
        let since_start = Duration::try_from_secs_f64((at - self.start_time) / 1000.0).unwrap_or_default();
        self.start.checked_add(since_start).unwrap_or_else(Instant::now)
    }

    /// Reads the wall clock, at most once per `SAMPLE_PERIOD`. If it was stepped, returns its new offset from the
    /// module's clock.
    pub fn detect_step(&self) -> Option<Millis> {
        let now = self.now();
        if now < self.last_sample.get() + SAMPLE_PERIOD {
            return None;
        }
        self.record_sample(now, wall_clock())
    }

    fn record_sample(&self, now: Millis, wall: Millis) -> Option<Millis> {
        let previous_sample = self.last_sample.replace(now);
        let offset = wall - now;
        let mut segments = self.segments.borrow_mut();
        let last = segments.last_mut().filter(|last| (offset - last.offset).abs() >= MIN_STEP)?;
        last.until = now;
        segments.push(Segment { offset, from: previous_sample, until: f64::INFINITY });
        if segments.len() > MAX_SEGMENTS {
            segments.remove(0);
        }
        Some(offset)
    }

    /// Converts a past time of another machine's wall clock to the module's clock. Where a step makes it ambiguous,
    /// the result is the latest candidate, so that a server may seem younger than it is but never older.
    ///
    /// A time before the first segment is converted to the start of that segment. How long before that it was is
    /// unknown: a step of the wall clock that is not recorded here would make the result wrong by any amount, and a new
    /// process receives nothing from which it could detect such a step.
    pub fn module_time_of(&self, wall: Millis) -> Millis {
        let now = self.now();
        let segments = self.segments.borrow();
        let candidate = segments.iter().rev().find_map(|segment| {
            let at = wall - segment.offset;
            (at >= segment.from && at <= segment.until.min(now)).then_some(at)
        });
        let starts_after = segments.first().filter(|first| wall - first.offset < first.from);
        candidate.or(starts_after.map(|first| first.from)).unwrap_or(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A clock that has run for a minute and whose wall clock was stepped by `step` a second ago.
    fn stepped_a_second_ago(step: Millis) -> Clock {
        let mut clock = Clock::new();
        clock.start -= Duration::from_secs(60);
        clock.start_time -= 60_000.0;
        clock.segments.borrow_mut()[0].from = clock.start_time;
        let at = clock.now() - 1000.0;
        clock.last_sample.set(at - 5.0);
        assert_eq!(clock.record_sample(at, at + step).map(|offset| (offset - step).abs() < 1.0), Some(true));
        clock
    }

    #[test]
    fn a_past_time_is_converted_to_the_same_moment_after_a_step_of_the_wall_clock() {
        for step in [-3_600_000.0, -4000.0, 4000.0, 3_600_000.0] {
            let clock = stepped_a_second_ago(step);
            let now = clock.now();
            for (age, wall_offset) in [(500.0, step), (30_000.0, 0.0)] {
                let at = clock.module_time_of(now - age + wall_offset);
                assert!(
                    (at - (now - age)).abs() < 1.0,
                    "step {step}, age {age}: {} ms off",
                    at - (now - age)
                );
            }
        }
    }

    #[test]
    fn an_ambiguous_time_is_converted_to_the_later_moment_and_none_to_the_future() {
        // 3.5 s before a step back by 4 s the wall clock showed the same time as 0.5 s after it.
        let clock = stepped_a_second_ago(-4000.0);
        let now = clock.now();
        assert!((clock.module_time_of(now - 500.0 - 4000.0) - (now - 500.0)).abs() < 1.0);
        assert!(clock.module_time_of(now + 60_000.0) <= clock.now());
    }

    #[test]
    fn no_time_is_converted_to_one_before_the_start_of_the_process() {
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
    fn a_small_change_of_the_offset_is_not_a_step() {
        let clock = Clock::new();
        let at = clock.now() + 100.0;
        assert_eq!(clock.record_sample(at, at + 20.0), None);
    }
}
