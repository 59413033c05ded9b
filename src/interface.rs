//! The types that a gateway exchanges with its host, the program that does the I/O: settings, events and actions. No
//! decision logic is here.

use std::fmt;

/// A point in time on the host's monotonic clock, or a duration, in milliseconds.
pub type Millis = f64;
/// Identifies a request. Never reused, and below 2^62: timer tokens hold it shifted by two bits.
pub type RequestId = u64;
/// Identifies a server; the same at every gateway, and otherwise opaque.
pub type ServerId = u32;
/// Identifies a customer.
pub type CustomerId = u64;
/// Identifies a number that the shared counter keeps for all gateways.
pub type CounterKey = u64;

/// Which servers recognise and drop a duplicate of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries an idempotency key: servers within `scope` drop duplicates for `window` after the first attempt that
    /// may have run.
    Keyed {
        /// Servers that share the record of keys.
        scope: DedupScope,
        /// How long duplicates are dropped.
        window: Millis,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Worth of one request.
    pub worth: f64,
    /// A response within this time earns the full worth (the class's SLO).
    pub latency_target: Millis,
    /// Total time a client waits, over all its retries.
    pub deadline: Millis,
    /// Share of the worth that a response later than `latency_target` still earns.
    pub late_share: f64,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
}

/// A plan. Its limits apply to each customer over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Plan {
    /// Quota in units per second; 0 for none.
    pub rate: f64,
    /// Burst of the quota's token bucket, in units.
    pub burst: f64,
    /// Concurrency limit: most attempts of one customer in flight; 0 for none.
    pub max_concurrent: u32,
    /// Factor on the worth of the class.
    pub price: f64,
    /// Share of its worth that a request served beyond the quota earns.
    pub excess_worth: f64,
    /// Share of its worth that a request forwarded beyond the quota costs.
    pub excess_cost: f64,
    /// Hard ceiling in units per second; 0 for none.
    pub ceiling_rate: f64,
    /// Size of the ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's bucket may be overdrawn.
    pub ceiling_overdraft: f64,
}

/// Settings of one gateway, fixed at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// Index of this gateway among them, from 0.
    pub ordinal: u32,
    /// Zone of this gateway.
    pub zone: u16,
    /// Classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// Most units that one request may consume.
    pub max_units: f64,
    /// Period over which the meter sums usage; 0 if there is no meter.
    pub meter_period: Millis,
    /// Most attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub may_duplicate: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest `retry_after` that clients honour; 0 if none is passed on to them.
    pub max_retry_after: Millis,
    /// Attempts to a draining or removed server must stop within this time.
    pub drain_grace: Millis,
    /// Slow start: least share of its capacity that a server has right after its start.
    pub cold_capacity: f64,
    /// Slow start: time from a server's start until it has its full capacity, at most.
    pub warm_up_time: Millis,
    /// Slow start: a server collapses when it is sent more than this multiple of its current capacity for
    /// `overload_after`.
    pub overload_multiple: f64,
    /// How long a server in slow start withstands more than `overload_multiple`.
    pub overload_after: Millis,
    /// Interval between two calls by the host.
    pub tick: Millis,
    /// Whether the server list is delivered only after [`Action::WatchServers`].
    pub list_on_request: bool,
    /// Whether there is a shared counter. If so, the host's clock plus the offset of [`Event::WallClockStepped`] must be
    /// a clock that all gateways share.
    pub counter: bool,
}

impl Default for Settings {
    /// One gateway without classes or plans that sends a single attempt per request.
    fn default() -> Self {
        Settings {
            gateways: 1,
            ordinal: 0,
            zone: 0,
            classes: Vec::new(),
            plans: Vec::new(),
            max_units: 1.0,
            meter_period: 0.0,
            max_attempts: 1,
            may_duplicate: false,
            may_cancel: false,
            max_retry_after: 0.0,
            drain_grace: 0.0,
            cold_capacity: 1.0,
            warm_up_time: 0.0,
            overload_multiple: 1.0,
            overload_after: 0.0,
            tick: 1.0,
            list_on_request: false,
            counter: false,
        }
    }
}

/// A setting whose value is out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Path of the field, such as `plans[2].rate`.
    pub field: String,
    /// Why the value is rejected.
    pub problem: &'static str,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for InvalidSetting {}

impl Settings {
    /// Checks that every value is within its range.
    ///
    /// # Errors
    /// The first field that is out of range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let invalid = |field: String, problem| Err(InvalidSetting { field, problem });
        if self.gateways == 0 {
            return invalid("gateways".into(), "must be at least 1");
        }
        if self.max_attempts == 0 {
            return invalid("max_attempts".into(), "must be at least 1");
        }
        let mut values = vec![
            ("max_units".into(), self.max_units, true),
            ("meter_period".into(), self.meter_period, false),
            ("max_retry_after".into(), self.max_retry_after, false),
            ("drain_grace".into(), self.drain_grace, false),
            ("cold_capacity".into(), self.cold_capacity, false),
            ("warm_up_time".into(), self.warm_up_time, false),
            ("overload_multiple".into(), self.overload_multiple, false),
            ("overload_after".into(), self.overload_after, false),
            ("tick".into(), self.tick, false),
        ];
        for (i, class) in self.classes.iter().enumerate() {
            values.push((format!("classes[{i}].worth"), class.worth, false));
            values.push((format!("classes[{i}].latency_target"), class.latency_target, true));
            values.push((format!("classes[{i}].deadline"), class.deadline, true));
            values.push((format!("classes[{i}].late_share"), class.late_share, false));
            if let Idempotency::Keyed { window, .. } = class.idempotency {
                values.push((format!("classes[{i}].idempotency.window"), window, false));
            }
        }
        for (i, plan) in self.plans.iter().enumerate() {
            values.push((format!("plans[{i}].rate"), plan.rate, false));
            values.push((format!("plans[{i}].burst"), plan.burst, plan.rate > 0.0));
            values.push((format!("plans[{i}].price"), plan.price, false));
            values.push((format!("plans[{i}].excess_worth"), plan.excess_worth, false));
            values.push((format!("plans[{i}].excess_cost"), plan.excess_cost, false));
            values.push((format!("plans[{i}].ceiling_rate"), plan.ceiling_rate, false));
            values.push((format!("plans[{i}].ceiling_burst"), plan.ceiling_burst, false));
            values.push((format!("plans[{i}].ceiling_overdraft"), plan.ceiling_overdraft, false));
        }
        for (field, value, positive) in values {
            if !value.is_finite() || value < 0.0 {
                return invalid(field, "must be a finite number, not below 0");
            }
            if positive && value == 0.0 {
                return invalid(field, "must be above 0");
            }
        }
        Ok(())
    }
}

/// State of a server according to the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts requests.
    Ready,
    /// Finishes its requests; no new attempts may be sent to it.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the server list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u16,
    /// Its cell: the servers of a cell share the record of idempotency keys they have seen.
    pub cell: u16,
    /// Its capacity relative to other servers.
    pub capacity: f64,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its latest start, if recent.
    pub started_at: Option<Millis>,
}

/// What an [`Event::Servers`] contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as this gateway last stored it; possibly stale.
    Cached,
    /// Fetching the list failed; the previous list stays valid.
    Failed,
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// The customer's plan, by index.
    pub plan: usize,
    /// Its class, by index.
    pub class: usize,
    /// Units that it consumes of the quota.
    pub units: f64,
    /// Number of gateways that may receive this customer's requests, including this one.
    pub spread: u32,
    /// Time until the client gives up on this request.
    pub expires_in: Millis,
    /// Whether the client marked it as a retry; false if clients do not mark retries.
    pub is_client_retry: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered successfully.
    Ok,
    /// The server returned an error; the request may have run.
    Error,
    /// The server rejected the request itself as invalid; any other server would too.
    InvalidRequest,
    /// The server was overloaded and turned the request away without running it.
    Overloaded,
    /// No response in time; the request may have run or still be running.
    TimedOut,
    /// No connection was established; the request did not run.
    NoConnection,
    /// The connection broke; the request may have run.
    Reset,
    /// The gateway cancelled the attempt; the request may have run.
    Cancelled,
    /// The host did not send the attempt.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// The end of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt, from 0 in the order in which they were sent.
    pub attempt: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Millis,
    /// Whether the request has its final answer, from this attempt or an earlier one.
    pub finished: bool,
    /// The customer's usage over all gateways in the meter's last completed period, as a share of the plan's rate.
    pub quota_usage: Option<f64>,
}

/// Result of a call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AddResult {
    /// The amount was added; the new total.
    Total(f64),
    /// The amount was not added.
    NotAdded,
    /// The amount may have been added, or may still be.
    Unknown,
}

/// Input of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list or changes to it.
    Servers {
        /// What `entries` contains.
        kind: ListKind,
        /// Entries of the list.
        entries: Vec<ServerEntry>,
    },
    /// A request arrived. It gets exactly one final answer unless the client disconnects.
    Request(Request),
    /// An attempt ended.
    AttemptEnd(AttemptEnd),
    /// A streamed response started; the request counts as answered.
    ResponseStarted(RequestId),
    /// The client disconnected; no answer is needed any more.
    ClientDisconnected(RequestId),
    /// A timer expired; its token.
    Timer(u64),
    /// The wall clock, which all gateways share, was stepped. Leads to no action.
    WallClockStepped {
        /// Wall clock minus the host's clock from now on; taken as 0 until the first such event.
        offset: Millis,
    },
    /// The counter was replaced by one that has none of the previous counter's numbers. All earlier calls have ended.
    CounterReplaced,
    /// A call to the counter ended. Calls for the same key end in the order in which they were made.
    CounterAnswer {
        /// Key of the number.
        key: CounterKey,
        /// Result of the call.
        result: AddResult,
    },
}

/// Why a request is refused. Used only for logging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its class or plan does not exist, or its units are not a valid amount.
    Malformed,
    /// It is refused to keep its customer within the quota.
    Quota,
    /// The servers have no spare capacity.
    NoCapacity,
    /// Its customer's concurrency limit is reached.
    ConcurrencyLimit,
    /// It waited too long for an attempt of its customer to end.
    QueuedTooLong,
    /// Its plan's ceiling is reached.
    Ceiling,
    /// No server is available.
    NoServer,
    /// All its attempts failed without running, or none was sent by its deadline.
    NoAttemptRan,
}

/// Output of a gateway, for the host to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// When to give up on the attempt; `None` for the client's own deadline.
        give_up_at: Option<Millis>,
        /// Latest time at which the attempt may begin. If the connection comes up later, the attempt must not be sent:
        /// an earlier attempt may have run, and its duplicate would no longer be dropped. Infinite if there is no such
        /// risk.
        start_by: Millis,
    },
    /// Final answer: refused. The request did not run and may safely be retried.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after: Millis,
        /// Why it is refused.
        reason: RefusalReason,
    },
    /// Final answer: failed. The request may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u8,
    },
    /// Set a timer.
    Timer {
        /// When it is due.
        at: Millis,
        /// Returned with [`Event::Timer`].
        token: u64,
    },
    /// Subscribe to the server list and its changes.
    WatchServers,
    /// Add to a number of the shared counter; answered by exactly one [`Event::CounterAnswer`].
    AddToCounter {
        /// Key of the number.
        key: CounterKey,
        /// The amount.
        amount: f64,
        /// Time to live of the number if this call creates it.
        ttl: Millis,
    },
    /// Log a line for operators.
    Log(String),
}
