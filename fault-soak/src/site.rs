//! The parameters of one site: gateways, servers, classes, plans, and the settings that gateways get.

use crate::discovery::RegistryMode;
use crate::event_log::{Millis, Semantics};
use crate::meter::MeterSettings;
use serde_json::{json, Value};

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// How often a request may take effect.
    pub semantics: Semantics,
    /// How long a client waits at the most.
    pub deadline: Millis,
}

/// A plan of customers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// A quota that nobody reaches.
    Wide,
    /// A quota that customers press against, held by the shared counter as there is no meter.
    Quota,
    /// A cap on attempts out at once.
    Capped,
    /// A hard ceiling.
    Ceiling,
}

/// All plans, in the order of the settings.
pub const PLANS: [Plan; 4] = [Plan::Wide, Plan::Quota, Plan::Capped, Plan::Ceiling];

/// Figures of the ceiling: units a second, the store's size, and the slack.
pub const CEILING_RATE: f64 = 12.0;
/// The ceiling's store.
pub const CEILING_DEPTH: f64 = 30.0;
/// How far it may be overdrawn.
pub const CEILING_TOLERANCE: f64 = 3.0;

impl Plan {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Plan::Wide => "wide",
            Plan::Quota => "quota",
            Plan::Capped => "capped",
            Plan::Ceiling => "ceiling",
        }
    }

    /// Units a second that its customers may use; 0 where nothing counts them.
    pub fn rate(self, quota: Quota) -> f64 {
        match self {
            Plan::Wide | Plan::Ceiling => 1000.0,
            Plan::Quota => quota.rate,
            Plan::Capped => 0.0,
        }
    }

    fn settings(self, quota: Quota) -> Value {
        let (store, open, ceiling) = match self {
            Plan::Wide => (2000.0, 0, (0.0, 0.0, 0.0)),
            Plan::Quota => (quota.burst, 0, (0.0, 0.0, 0.0)),
            Plan::Capped => (0.0, 6, (0.0, 0.0, 0.0)),
            Plan::Ceiling => (2000.0, 0, (CEILING_RATE, CEILING_DEPTH, CEILING_TOLERANCE)),
        };
        let rate = self.rate(quota);
        json!({"name": self.name(), "unitsPerS": rate, "storeSize": store, "concurrency": open, "price": 1.0,
               "excessWorth": 0.0, "overrunCost": if self == Plan::Quota { 1.0 } else { 0.0 },
               "neverOverRate": ceiling.0, "capDepth": ceiling.1, "tolerance": ceiling.2})
    }
}

/// The quota of a customer of [`Plan::Quota`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
}

/// Customers of each plan.
pub const CUSTOMERS_PER_PLAN: u64 = 4;
/// The part of the requests that falls on all plans alike; the rest is of [`Plan::Wide`].
pub const ALL_PLANS_SHARE: f64 = 0.4;

/// The parameters of one site.
#[derive(Debug, Clone)]
pub struct Site {
    /// Gateways.
    pub gateways: usize,
    /// Servers at the start.
    pub servers: usize,
    /// How long the load lasts.
    pub load_duration: Millis,
    /// Who answers calls for the list.
    pub mode: RegistryMode,
    /// Requests a second at each gateway.
    pub rate: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// How long servers drop repeats of a keyed request.
    pub dedup_window: Millis,
    /// Sends to a draining server must stop within this.
    pub drain_grace: Millis,
    /// Descriptors of a gateway.
    pub fd_limit: usize,
    /// Whether a second attempt may be out beside the first.
    pub may_duplicate: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// A server starts at this share of its capacity.
    pub cold_from: f64,
    /// It is warm after this.
    pub cold_for: Millis,
    /// It falls when it gets more than this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... in this time.
    pub overload_window: Millis,
    /// The meter of use, if there is one; else quotas are held by the counter.
    pub meter: Option<MeterSettings>,
    /// What customers who press against a quota may use.
    pub quota: Quota,
    /// Areas over which servers and gateways are spread.
    pub zones: usize,
}

impl Site {
    /// The settings as a gateway gets them.
    pub fn settings(&self, ordinal: usize) -> Value {
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|class| {
                let semantics = match class.semantics {
                    Semantics::Idempotent => "free",
                    Semantics::Keyed => "guarded",
                    Semantics::AtMostOnce => "single_shot",
                };
                json!({"name": class.name, "semantics": semantics, "group": "all", "dedupWindow": self.dedup_window,
                       "worth": 1.0, "slo": class.deadline / 3.0, "deadline": class.deadline,
                       "lateShare": 0.1, "stream": false})
            })
            .collect();
        json!({
            "areas": (0..self.zones).map(zone_name).collect::<Vec<_>>(), "balancers": self.gateways,
            "ordinal": ordinal, "zone": ordinal % self.zones, "tick": 4.0,
            "registryMode": if self.mode == RegistryMode::Pushed { "pushed" } else { "on_request" },
            "bounds": {"cancel": self.may_cancel, "connIdle": 3000.0, "connectTimeout": 300.0, "maxAttempts": 3,
                       "maxRetryAfter": 400.0, "mayDuplicate": self.may_duplicate, "retryAfter": true},
            "rules": {"cold": self.cold_for, "coldFrom": self.cold_from, "fall": self.overload_window,
                      "stopSendingWithin": self.drain_grace, "tipMultiple": self.overload_multiple},
            "familyInfo": {"mostUnits": 1, "usePeriod": self.meter.map_or(0.0, |meter| meter.period),
                           "counter": true, "counterTimeout": 30.0},
            "classes": classes, "plans": PLANS.map(|plan| plan.settings(self.quota)),
        })
    }

    /// Requests a second that a customer of [`Plan::Quota`] offers to all gateways together.
    pub fn offered_per_quota_customer(&self) -> f64 {
        self.rate * self.gateways as f64 * ALL_PLANS_SHARE / PLANS.len() as f64 / CUSTOMERS_PER_PLAN as f64
    }

    /// Requests that a warm server handles in a second: the offered load fills part of the fleet.
    pub fn capacity(&self) -> f64 {
        const OFFERED_SHARE: f64 = 0.7;
        self.rate * self.gateways as f64 / self.servers as f64 / OFFERED_SHARE
    }

    /// The longest deadline.
    pub fn longest_deadline(&self) -> Millis {
        self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
    }
}

/// The name of an area, as lists and settings have it.
pub fn zone_name(zone: usize) -> String {
    char::from(b'a' + zone as u8).to_string()
}
