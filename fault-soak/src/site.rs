//! The parameters of the simulated site: gateways, servers, classes and plans, and the gateways' settings made of them.

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
    /// The longest time that a client waits for a response.
    pub deadline: Millis,
}

/// A plan of customers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// A quota that no customer reaches.
    Wide,
    /// A quota that its customers would exceed. Without a meter, the shared counter enforces it.
    Quota,
    /// A limit on concurrent attempts.
    Capped,
    /// A hard limit on the rate, enforced over all gateways.
    Ceiling,
}

/// All plans, in the order in which the settings list them.
pub const PLANS: [Plan; 4] = [Plan::Wide, Plan::Quota, Plan::Capped, Plan::Ceiling];

/// The rate of the ceiling's token bucket, in units per second.
pub const CEILING_RATE: f64 = 12.0;
/// The depth of the ceiling's token bucket, in units.
pub const CEILING_DEPTH: f64 = 30.0;
/// How many units the ceiling may be exceeded by.
pub const CEILING_TOLERANCE: f64 = 3.0;

impl Plan {
    /// The name in the settings and in the `Plan` header.
    pub fn name(self) -> &'static str {
        match self {
            Plan::Wide => "wide",
            Plan::Quota => "quota",
            Plan::Capped => "capped",
            Plan::Ceiling => "ceiling",
        }
    }

    /// Units per second that a customer may use; 0 if units are not counted.
    pub fn rate(self, quota: Quota) -> f64 {
        match self {
            Plan::Wide | Plan::Ceiling => 1000.0,
            Plan::Quota => quota.rate,
            Plan::Capped => 0.0,
        }
    }

    fn settings(self, quota: Quota) -> Value {
        let (burst, concurrency, ceiling) = match self {
            Plan::Wide => (2000.0, 0, (0.0, 0.0, 0.0)),
            Plan::Quota => (quota.burst, 0, (0.0, 0.0, 0.0)),
            Plan::Capped => (0.0, 6, (0.0, 0.0, 0.0)),
            Plan::Ceiling => (2000.0, 0, (CEILING_RATE, CEILING_DEPTH, CEILING_TOLERANCE)),
        };
        let rate = self.rate(quota);
        json!({"name": self.name(), "unitsPerS": rate, "storeSize": burst, "concurrency": concurrency, "price": 1.0,
               "excessWorth": 0.0, "overrunCost": if self == Plan::Quota { 1.0 } else { 0.0 },
               "neverOverRate": ceiling.0, "capDepth": ceiling.1, "tolerance": ceiling.2})
    }
}

/// The quota of a customer of [`Plan::Quota`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// The largest number of units that may be saved up.
    pub burst: f64,
}

/// The number of customers of each plan.
pub const CUSTOMERS_PER_PLAN: u64 = 4;
/// The share of requests that is spread evenly over all plans; the rest belongs to [`Plan::Wide`].
pub const ALL_PLANS_SHARE: f64 = 0.4;

/// The parameters of the site.
#[derive(Debug, Clone)]
pub struct Site {
    /// The number of gateways.
    pub gateways: usize,
    /// The number of servers at the start.
    pub servers: usize,
    /// How long the load lasts.
    pub load_duration: Millis,
    /// How gateways get the server list.
    pub mode: RegistryMode,
    /// Requests per second at each gateway.
    pub request_rate: f64,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// How long servers drop repeats of a request with an idempotency key.
    pub dedup_window: Millis,
    /// A gateway must stop sending to a draining server within this.
    pub drain_grace: Millis,
    /// The limit on a gateway's open sockets (`limits.sockets`), and so on its file descriptors.
    pub fd_limit: usize,
    /// Whether a gateway may send hedged attempts.
    pub may_duplicate: bool,
    /// Whether a gateway may cancel attempts.
    pub may_cancel: bool,
    /// The share of its capacity that a server has at its start.
    pub cold_from: f64,
    /// How long a server takes from its start to its full capacity.
    pub cold_for: Millis,
    /// A server fails when it receives more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this time.
    pub overload_window: Millis,
    /// The usage meter, if there is one; without it the shared counter enforces quotas.
    pub meter: Option<MeterSettings>,
    /// The quota of customers of [`Plan::Quota`].
    pub quota: Quota,
    /// The number of zones over which servers and gateways are spread.
    pub zones: usize,
}

impl Site {
    /// The settings for the configuration of the gateway with this ordinal.
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

    /// Requests per second that a customer of [`Plan::Quota`] sends to all gateways together.
    pub fn offered_per_quota_customer(&self) -> f64 {
        self.request_rate * self.gateways as f64 * ALL_PLANS_SHARE
            / PLANS.len() as f64
            / CUSTOMERS_PER_PLAN as f64
    }

    /// Requests per second that a warm server can handle, such that the load takes 70 % of the servers' capacity.
    pub fn capacity(&self) -> f64 {
        const OFFERED_SHARE: f64 = 0.7;
        self.request_rate * self.gateways as f64 / self.servers as f64 / OFFERED_SHARE
    }

    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Millis {
        self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
    }
}

/// The name of a zone in the server list and the settings.
pub fn zone_name(zone: usize) -> String {
    char::from(b'a' + zone as u8).to_string()
}
