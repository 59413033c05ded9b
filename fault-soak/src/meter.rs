//! The meter of use: units that customers' requests have taken over all gateways, told by answers, late and by
//! whole periods.

use crate::event_log::{Millis, RequestId};
use std::collections::{HashMap, HashSet};
use std::sync::Mutex;

/// How the meter counts and tells.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeterSettings {
    /// Length of its periods.
    pub period: Millis,
    /// How long after its end a period is told.
    pub delay: Millis,
}

/// The meter itself, which all servers share.
#[derive(Debug)]
pub struct Meter {
    settings: MeterSettings,
    counted: Mutex<Counted>,
}

#[derive(Debug, Default)]
struct Counted {
    /// Requests whose first attempt has come whole to a server.
    requests: HashSet<RequestId>,
    /// Units by customer and period.
    units: HashMap<(u64, i64), f64>,
}

impl Meter {
    /// A meter that has counted nothing.
    pub fn new(settings: MeterSettings) -> Meter {
        Meter { settings, counted: Mutex::default() }
    }

    /// Counts a request's unit, at its first attempt.
    pub fn count(&self, request: RequestId, customer: u64, now: Millis) {
        let mut counted = self.counted.lock().expect("lock not poisoned");
        if counted.requests.insert(request) {
            *counted.units.entry((customer, self.period_at(now))).or_default() += 1.0;
        }
    }

    /// The use, in percent of a rate in units a second, in the last period that is told by now.
    pub fn percent(&self, customer: u64, rate: f64, now: Millis) -> f64 {
        let reported = self.period_at(now - self.settings.delay) - 1;
        let counted = self.counted.lock().expect("lock not poisoned");
        let units = counted.units.get(&(customer, reported)).copied().unwrap_or_default();
        100.0 * units / (rate * self.settings.period / 1000.0)
    }

    fn period_at(&self, at: Millis) -> i64 {
        (at / self.settings.period).floor() as i64
    }
}
