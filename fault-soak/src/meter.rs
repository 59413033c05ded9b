//! The usage meter: counts the units that each customer has used over all gateways. Servers report the usage in their
//! responses, with a delay and by whole periods.

use crate::event_log::{Millis, RequestId};
use std::collections::{HashMap, HashSet};
use std::sync::Mutex;

/// How the meter counts and reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeterSettings {
    /// The length of a period.
    pub period: Millis,
    /// How long after its end a period is reported.
    pub delay: Millis,
}

/// The meter, which all servers share.
#[derive(Debug)]
pub struct Meter {
    settings: MeterSettings,
    counted: Mutex<Counted>,
}

#[derive(Debug, Default)]
struct Counted {
    /// Requests of which a server has received a complete attempt.
    requests: HashSet<RequestId>,
    /// Units by customer and number of the period.
    units: HashMap<(u64, i64), f64>,
}

impl Meter {
    /// Creates a meter that has counted nothing.
    pub fn new(settings: MeterSettings) -> Meter {
        Meter { settings, counted: Mutex::default() }
    }

    /// Counts the unit of a request; further attempts of it are not counted.
    pub fn count(&self, request: RequestId, customer: u64, now: Millis) {
        let mut counted = self.counted.lock().expect("lock not poisoned");
        if counted.requests.insert(request) {
            *counted.units.entry((customer, self.period_at(now))).or_default() += 1.0;
        }
    }

    /// The usage in the latest reported period, in percent of `rate` (units per second).
    pub fn usage_percent(&self, customer: u64, rate: f64, now: Millis) -> f64 {
        let period = self.period_at(now - self.settings.delay) - 1;
        let counted = self.counted.lock().expect("lock not poisoned");
        let units = counted.units.get(&(customer, period)).copied().unwrap_or_default();
        100.0 * units / (rate * self.settings.period / 1000.0)
    }

    fn period_at(&self, at: Millis) -> i64 {
        (at / self.settings.period).floor() as i64
    }
}
