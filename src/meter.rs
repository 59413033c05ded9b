//! Infers which period a meter reading covers.
//!
//! A reading does not say which period it covers. The times at which periods end and the delay until they are
//! reported stay the same and can be learned: for the right period, what this gateway sent is a part of what
//! the meter counted.

use crate::interface::Millis;
use std::collections::VecDeque;

/// Number of steps per period on the grid of possible period ends and reading delays. Fewer place the end so
/// coarsely that readings near it are taken for the wrong period; more cost memory and time per reading,
/// which grow with the square of this number.
const STEPS_PER_PERIOD: usize = 10;
/// Longest delay that is considered, in periods. If lower, the readings of a slower meter are taken for
/// the wrong period; if higher, each reading takes more time and sends are kept longer.
const MAX_DELAY_PERIODS: usize = 4;
/// Longest delay in steps. It has to be the product of the two above.
const DELAY_STEPS: usize = STEPS_PER_PERIOD * MAX_DELAY_PERIODS;
/// Delay that is assumed before there are readings, in periods. The further it is from the true delay, above
/// or below, the more readings it takes to learn that one.
const EXPECTED_DELAY: f64 = 1.0;
/// Initial misfit, in units, for each period by which a delay differs from `EXPECTED_DELAY`. A higher value
/// learns another delay later; a lower one lets a few readings that fit by chance decide.
const DELAY_DEVIATION_MISFIT: f64 = 1.0;
/// Limit on the misfit that one reading adds, in units. A higher value lets units that other gateways sent
/// outweigh all other readings; a lower one makes small and large misfits count alike.
const MAX_READING_MISFIT: f64 = 2.0;
/// How far the learned end of a period may lie from the true one, in steps: half the distance to the next
/// step. If lower, readings near the end are taken for the wrong period; if higher, more readings depend on
/// the comparison with own sends, which the traffic of other gateways can mislead.
const MAX_END_ERROR: f64 = 0.5;
/// Factor on the misfit at each reading, below 1: about the last thousand readings count, in case the delay
/// changes. A higher value notices a change later; a lower one decides by too few readings.
const MISFIT_DECAY: f64 = 0.999;

/// Learns when the meter's periods end and how long after that their readings arrive.
#[derive(Debug)]
pub struct MeterPeriods {
    period: Millis,
    /// For each step of the end, and within it for each step of the delay, how far readings differ from what
    /// was sent from here in the period, in units.
    misfit: Vec<f64>,
    /// Index of the least misfit.
    best: usize,
}

impl MeterPeriods {
    /// Starts to learn for periods of this length, 0 if there is no meter.
    pub fn new(period: Millis) -> MeterPeriods {
        let initial = |n: usize| {
            DELAY_DEVIATION_MISFIT
                * ((n % DELAY_STEPS) as f64 / STEPS_PER_PERIOD as f64 - EXPECTED_DELAY).abs()
        };
        let misfit: Vec<f64> = (0..STEPS_PER_PERIOD * DELAY_STEPS).map(initial).collect();
        let best = index_of_least(&misfit);
        MeterPeriods { period, misfit, best }
    }

    /// The end of the period covered by a reading of `units` that arrives at `now`. Near the time when
    /// readings of the next period begin it may be either period; then the one is chosen that better fits
    /// what was sent from here. `sent` returns the units sent from here between two times.
    pub fn period_end(&self, now: Millis, units: f64, sent: impl Fn(Millis, Millis) -> f64) -> Millis {
        if self.period <= 0.0 {
            return now;
        }
        let step = self.period / STEPS_PER_PERIOD as f64;
        let (end, delay) = ((self.best / DELAY_STEPS) as f64 * step, (self.best % DELAY_STEPS) as f64 * step);
        let periods = (now - delay - end) / self.period;
        let likely = periods.floor() * self.period + end;
        let offset = periods - periods.round();
        if offset.abs() * STEPS_PER_PERIOD as f64 >= MAX_END_ERROR {
            return likely;
        }
        let other = if offset >= 0.0 { likely - self.period } else { likely + self.period };
        let misfit = |to: Millis| (units - sent(to - self.period, to)).abs();
        if misfit(other) < misfit(likely) {
            other
        } else {
            likely
        }
    }

    /// The learned delay of readings, in periods.
    pub fn delay_periods(&self) -> f64 {
        (self.best % DELAY_STEPS) as f64 / STEPS_PER_PERIOD as f64
    }

    /// How long sends have to be kept, as no reading covers earlier ones. Above 0 even without a meter.
    pub fn history_span(&self) -> Millis {
        ((MAX_DELAY_PERIODS + 2) as f64 * self.period).max(1.0)
    }

    /// Learns from a reading of `units` for one customer. `sends` are this gateway's sends for that customer,
    /// oldest first.
    pub fn learn(&mut self, now: Millis, units: f64, sends: &VecDeque<(Millis, f64)>) {
        if self.period <= 0.0 || sends.is_empty() {
            return;
        }
        let step = self.period / STEPS_PER_PERIOD as f64;
        for end in 0..STEPS_PER_PERIOD {
            // Units sent from here by period, starting with the last period that has ended.
            let phase = end as f64 * step;
            let last_end = ((now - phase) / self.period).floor() * self.period + phase;
            let mut own_units = [0.0; MAX_DELAY_PERIODS + 2];
            for (at, sent) in sends.iter().filter(|(at, _)| *at <= last_end) {
                if let Some(own) = own_units.get_mut(((last_end - at) / self.period) as usize) {
                    *own += sent;
                }
            }
            let row = &mut self.misfit[end * DELAY_STEPS..][..DELAY_STEPS];
            for (delay, misfit) in row.iter_mut().enumerate() {
                let reported_end =
                    ((now - delay as f64 * step - phase) / self.period).floor() * self.period + phase;
                let periods_ago = ((last_end - reported_end) / self.period).round() as usize;
                *misfit =
                    *misfit * MISFIT_DECAY + (units - own_units[periods_ago]).abs().min(MAX_READING_MISFIT);
            }
        }
        self.best = index_of_least(&self.misfit);
    }
}

fn index_of_least(misfit: &[f64]) -> usize {
    (0..misfit.len()).min_by(|&a, &b| misfit[a].total_cmp(&misfit[b])).unwrap_or(0)
}
