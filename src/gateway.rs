//! The decisions of one gateway: admission, attempts, retries and limits. The types of its events and
//! actions are in `src/interface.rs`.
//!
//! Admission is distributed rate limiting by random drop: each gateway refuses a customer's requests with
//! probability 1 - quota / offered rate, the class of the lowest worth first. The rate offered to all
//! gateways together is estimated from the meter's readings: responses carry a customer's usage over all
//! gateways in one of the latest meter periods.

use crate::counter_limits::{CounterLimits, LimitAnswer};
use crate::fleet::{Fleet, FleetTiming, HEDGE_AFTER};
use crate::interface::*;
use crate::meter::MeterPeriods;
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};

// ---- Constants. None is a time or a rate: those come from the settings. ----

/// Least probability with which a quota admits a request. At 0 a refused customer would get no responses, and
/// only responses carry meter readings; a higher value sends more requests beyond the quota.
const MIN_ADMISSION_CHANCE: f64 = 0.01;
/// Meter periods over which the content of a customer's token bucket is released. With fewer, the bucket is
/// empty before the random refusal, which goes by worth, sets in; with more, customers can't use their burst
/// when they need it.
const BURST_RELEASE_PERIODS: f64 = 6.0;
/// In a surge, units that each other gateway is assumed to have sent unseen, for each unit sent here beyond
/// an even share of the quota and each period of the meter's delay. A lower value lets surges through many
/// gateways exceed the quota; a higher one refuses surges that come through this gateway alone.
const UNSEEN_SURGE_FACTOR: f64 = 0.8;
/// Fraction of its burst that a customer's bucket is assumed to hold at its first request here: most
/// customers have used little. A higher value lets those that have used more exceed the quota; a lower one
/// refuses customers that have burst left.
const INITIAL_BUCKET_FILL: f64 = 0.75;
/// Mean `retry_after` of a quota refusal, in meter periods. Without a meter, the mean is the time in which
/// the quota allows one unit.
const QUOTA_RETRY_AFTER_PERIODS: f64 = 0.3;
/// Window for averaging a rate: the time in which the quota allows this many units, or this many gaps between
/// readings if that is longer. Fewer units or readings say little about a rate.
const RATE_WINDOW_UNITS: f64 = 4.0;
/// Weight of the plan's average use in the estimate for one customer: it counts as much as readings of that
/// customer over the time in which the quota allows this many units.
const PLAN_PRIOR_UNITS: f64 = 0.5;
/// Fraction of its quota that a customer is assumed to use and to offer until there are readings for its
/// plan. A higher value refuses customers within their quota; a lower one lets heavy customers exceed it.
const INITIAL_QUOTA_USE: f64 = 0.5;
/// Number of other gateways receiving a customer's requests at which half of its traffic counts as unseen
/// here. A lower value leaves quota unused; a higher one lets customers of many gateways exceed the quota.
const HALF_UNSEEN_GATEWAYS: f64 = 10.0;
/// How far the targeted rate stays below the quota, as a factor on the plan's `excess_cost` and the unseen
/// fraction of the traffic. A higher value leaves quota unused; a lower one sends more beyond it, at that
/// cost.
const EXCESS_CAUTION: f64 = 0.5;
/// Fraction of the admission chance that a client's retry loses where all traffic is unseen. Each retry is
/// drawn anew, so a lower value admits persistent clients beyond the quota; a higher one refuses retries
/// within it.
const RETRY_CHANCE_CUT: f64 = 0.7;
/// Number of requests by which one time limit must lead the others of its class to count as that of first
/// requests. A lower value lets a few odd requests make first requests look like retries; a higher one
/// recognises unmarked retries later.
const MIN_MAJORITY_LEAD: u32 = 8;
/// Fraction of the quota refusals that is spread evenly over the classes where all traffic is unseen. If
/// lower, requests of low worth pay for the excess of customers that send other classes; if higher, more
/// requests of high worth are refused.
const EVEN_REFUSAL_FRACTION: f64 = 0.1;
/// Time over which this gateway's own observations of a customer decay to 1/e, in units of an even share of
/// the quota. If shorter, too few requests count for an estimate.
const LOCAL_MEMORY_UNITS: f64 = 2.0;
/// Weight of a new gap between readings in their moving average, from 0 to 1.
const READING_GAP_WEIGHT: f64 = 0.3;
/// Idle time after which a customer is forgotten, in multiples of the time that its slowest token bucket
/// takes to fill, or of 1 s if that is longer. Its learned rates and bucket levels are then lost.
const IDLE_FILL_TIMES: f64 = 20.0;
/// Weight of a new sample in moving averages, from 0 to 1. Averages over requests use half of it, so that
/// about the last 20 count, and averages over responses a fifth of it, so that about the last 50 count.
/// Averages over readings use at most all of it.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Capacity share of a new gateway, from 0 to 1, as a slow start: hundreds may start at once, unaware of each
/// other. A higher value lets them overload the servers; a lower one refuses requests that the servers had
/// capacity for.
const INITIAL_CAPACITY_SHARE: f64 = 0.5;
/// Longest time for which one response may adapt the capacity share, in latency targets. If longer, one
/// response after a pause changes the share too much; if shorter, a gateway with little traffic adapts too
/// slowly.
const MAX_RESPONSE_WEIGHT: f64 = 0.2;
/// Least capacity share. Retries may come at a hundred times the rate that the servers can handle; with a
/// higher value they would keep the servers overloaded.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// Fraction of the latency target after which a response, or an attempt still in flight, counts as late, a
/// sign that requests queue at the servers. A higher value detects queues too late; a lower one takes
/// ordinary responses for overload.
const LATE_FRACTION: f64 = 0.35;
/// Fraction of the capacity share that late responses remove per latency target of time. Together with
/// `CAPACITY_GROWTH`, about one late response in three is tolerated at a full share, and more at a small one.
/// A higher value tolerates fewer, a lower one more.
const CAPACITY_CUT: f64 = 0.7;
/// Growth of the capacity share by timely responses per latency target of time, as a fraction of the share
/// plus `CAPACITY_GROWTH_BASE`. A higher value tolerates more late responses; a lower one recovers slowly.
const CAPACITY_GROWTH: f64 = 0.3;
/// Capacity share that is added to the current one when its growth is computed. A lower value makes recovery
/// from a small share slow.
const CAPACITY_GROWTH_BASE: f64 = 0.1;
/// Attempts in flight per server, from all gateways together, that cause no queue. Up to its part of them a
/// gateway ignores the capacity share: idle servers give no responses that could raise a share once it is
/// low. A lower value leaves servers idle; a higher one lets all gateways together fill the queues.
const QUEUE_FREE_PER_SERVER: f64 = 3.0;
/// Factor on the in-flight limit at each late response. Together with `LIMIT_STEP`, one late response in five
/// is tolerated at a limit of 20: more at smaller limits, and at least one in six at any larger one. A lower
/// factor tolerates fewer, a higher one more.
const LIMIT_SHRINK: f64 = 0.95;
/// Attempts by which a timely response raises a small in-flight limit: a constant step gives every gateway a
/// fair share. A higher value tolerates more late responses; a lower one recovers slowly.
const LIMIT_STEP: f64 = 0.05;
/// In-flight limit, in attempts, at which the step has grown to twice `LIMIT_STEP`. A higher value makes
/// large limits tolerate fewer late responses; a lower one makes the shares of the gateways less fair.
const LIMIT_STEP_DOUBLES_AT: f64 = 5.0;
/// Further attempts that each first attempt adds to the retry budget. A higher value lets retries multiply an
/// overload; a lower one leaves failed attempts without a retry.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// Cost of a hedged attempt in the retry budget, in attempts that replace one that has ended: a hedged
/// attempt adds to the work of another that may still run. A lower value adds load while servers are slow; a
/// higher one allows fewer hedged attempts.
const HEDGE_COST: f64 = 10.0;
/// Fraction of the latency target within which a hedged attempt or a queued request must start to be of use.
/// If higher, they start too late to meet the target; if lower, requests are hedged or refused too early.
const USEFUL_START_FRACTION: f64 = 0.5;

// Kinds of timer, in the low two bits of a timer's token. The other bits hold the request's identifier.
const TIMER_DEADLINE: u64 = 0;
const TIMER_OVERDUE: u64 = 1;
const TIMER_LIST_RETRY: u64 = 2;
const TIMER_COUNTER_RETURNS: u64 = 3;

#[derive(Debug)]
struct Attempt {
    server: ServerEntry,
    sent_at: Millis,
    in_flight: bool,
    may_have_run: bool,
}

/// A request that awaits its final answer, or that still has attempts in flight.
#[derive(Debug)]
struct TrackedRequest {
    request: Request,
    /// When the request arrived or, for a client's retry, about when the client's first one did.
    arrived_at: Millis,
    attempts: Vec<Attempt>,
    /// Whether it waits in its customer's queue for an attempt to end.
    queued: bool,
    /// Whether it needs no answer any more: it is answered, or its client has disconnected.
    closed: bool,
}

impl TrackedRequest {
    /// Until when idempotency allows a further attempt: always if the class is idempotent or no attempt may
    /// have run, never if the class is not idempotent and one may have.
    fn may_repeat_until(&self, idempotency: Idempotency) -> Millis {
        match (idempotency, self.attempts.iter().find(|attempt| attempt.may_have_run)) {
            (_, None) | (Idempotency::Idempotent, _) => f64::INFINITY,
            (Idempotency::NonIdempotent, Some(_)) => f64::NEG_INFINITY,
            (Idempotency::Keyed { window, .. }, Some(first)) => first.sent_at + window,
        }
    }
}

#[derive(Debug, Default)]
struct Customer {
    plan: usize,
    /// Number of gateways that may receive its requests, including this one.
    spread: f64,
    last_request_at: Millis,
    /// Estimated content in units, at `bucket_at`, of the quota's token bucket over all gateways. Later sends
    /// are not taken off yet.
    bucket: f64,
    bucket_at: Millis,
    /// Fraction of its requests that the quota lets in, and when it was set.
    admission_chance: f64,
    chance_set_at: Millis,
    /// Values of `admission_chance` in the time that a reading may still cover, and when each was set.
    chance_history: VecDeque<(Millis, f64)>,
    /// Time and units of each first attempt that a reading may still cover, oldest first.
    recent_sends: VecDeque<(Millis, f64)>,
    /// Units offered at this gateway and seconds of observation, both decayed up to `local_decayed_at`.
    local_offered_units: f64,
    local_seconds: f64,
    local_decayed_at: Millis,
    /// Seconds that readings covered, and units that the other gateways sent and were offered in that time.
    /// All three are decayed up to `last_reading_at`.
    reading_seconds: f64,
    units_sent_elsewhere: f64,
    units_offered_elsewhere: f64,
    /// Arrival of the last reading, and the end of the meter period that it covers.
    last_reading_at: Option<Millis>,
    last_period_end: Millis,
    /// Mean time between readings, in seconds.
    mean_reading_gap: f64,
    /// Content in units, at `ceiling_filled_at`, of this gateway's share of the ceiling's token bucket.
    ceiling_units: f64,
    ceiling_filled_at: Millis,
    /// Attempts in flight from this gateway.
    in_flight: u32,
    /// Requests that wait for an attempt of this customer to end.
    queue: VecDeque<RequestId>,
}

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    rng: Rand64,
    started_at: Millis,
    now: Millis,
    customers: BTreeMap<CustomerId, Customer>,
    /// By plan, the mean rates that its customers send and offer, as fractions of the quota, from readings.
    plan_use: Vec<(f64, f64)>,
    meter: MeterPeriods,
    last_cleanup_at: Millis,
    /// Refusals since the last clean-up for lack of server capacity, and for lack of any server.
    refused_no_capacity: u32,
    refused_no_server: u32,
    requests: BTreeMap<RequestId, TrackedRequest>,
    fleet: Fleet,
    counter_limits: CounterLimits,
    /// Fraction of each class among recent requests.
    class_mix: Vec<f64>,
    /// Indices of the classes, highest worth first.
    classes_by_worth: Vec<usize>,
    /// By class, the mean time of a successful attempt, in ms.
    class_response_time: Vec<f64>,
    /// Fraction of the requests within the quotas that the servers have capacity for, and its last change.
    capacity_share: f64,
    capacity_share_at: Millis,
    /// Attempts in flight up to which the capacity share and the in-flight limit are ignored, unless a server
    /// reported overload within the last latency target; see `QUEUE_FREE_PER_SERVER`.
    queue_free_attempts: f64,
    /// When a server last turned a request away as overloaded.
    last_overload_at: Millis,
    /// Limit on this gateway's recent attempts in flight, adapted to late and timely responses.
    in_flight_limit: f64,
    /// Whether `in_flight_limit` still grows by one attempt per timely response, until the first late one.
    slow_start: bool,
    /// By class, the time limit of first requests in ms, and by how many requests it leads the others.
    first_time_limit: Vec<(Millis, u32)>,
    /// Further attempts that may still be sent; a hedged one takes `HEDGE_COST` of them.
    retry_budget: f64,
}

/// Moves a moving average towards a sample, which gets the given weight.
fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// The chance that a request of `kind` is admitted when the fraction `share` of all requests is admitted and
/// kinds earlier in `order` take precedence. `mix` holds the weight of each kind among the requests.
fn chance_in_order(share: f64, mix: &[f64], order: &[usize], kind: usize) -> f64 {
    let total: f64 = mix.iter().sum();
    let mut left = share * total;
    for &other in order {
        if other == kind {
            return if mix[kind] > 0.0 { (left / mix[kind]).clamp(0.0, 1.0) } else { share };
        }
        left = (left - mix[other]).max(0.0);
    }
    share
}

impl Gateway {
    /// A gateway that starts at `now` with an empty server list.
    ///
    /// # Errors
    /// The first setting whose value is out of range.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Gateway, InvalidSetting> {
        settings.validate()?;
        let classes = settings.classes.len();
        let mut classes_by_worth: Vec<usize> = (0..classes).collect();
        classes_by_worth.sort_by(|&a, &b| settings.classes[b].worth.total_cmp(&settings.classes[a].worth));
        Ok(Gateway {
            rng: Rand64::new(u128::from(seed)),
            started_at: now,
            now,
            customers: BTreeMap::new(),
            plan_use: vec![(INITIAL_QUOTA_USE, INITIAL_QUOTA_USE); settings.plans.len()],
            meter: MeterPeriods::new(settings.meter_period),
            last_cleanup_at: now,
            refused_no_capacity: 0,
            refused_no_server: 0,
            requests: BTreeMap::new(),
            fleet: Fleet::default(),
            counter_limits: CounterLimits::new(
                settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max),
                settings.plans.len(),
            ),
            class_mix: vec![1.0 / classes.max(1) as f64; classes],
            classes_by_worth,
            class_response_time: settings
                .classes
                .iter()
                .map(|class| class.latency_target / (2.0 * HEDGE_AFTER))
                .collect(),
            capacity_share: INITIAL_CAPACITY_SHARE,
            capacity_share_at: now,
            queue_free_attempts: 0.0,
            last_overload_at: f64::NEG_INFINITY,
            in_flight_limit: 1.0,
            slow_start: true,
            first_time_limit: vec![(0.0, 0); classes],
            retry_budget: 1.0,
            settings,
        })
    }

    /// Handles one event and appends the actions to be carried out, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.request_arrived(request, actions),
            Event::AttemptEnd(end) => self.attempt_ended(end, actions),
            Event::ResponseStarted(request) | Event::ClientDisconnected(request) => self.close(request),
            Event::Timer(token) => match (token % 4, token / 4) {
                (TIMER_DEADLINE, request) => self.end_without_response(request, actions),
                (TIMER_OVERDUE, request) => self.check_overdue(request, actions),
                (TIMER_COUNTER_RETURNS, _) => self.counter_limits.retry_returns(self.now),
                _ => actions.push(Action::WatchServers),
            },
            Event::Servers { kind, entries } => self.update_servers(kind, entries, actions),
            Event::CounterAnswer { key, result } => self.counter_answered(key, result, actions),
            Event::WallClockStepped { offset } => self.counter_limits.set_clock_offset(offset),
            Event::CounterReplaced => self.counter_limits.counter_replaced(),
        }
        self.counter_limits.take_actions(self.now, TIMER_COUNTER_RETURNS, actions);
    }

    fn request_arrived(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        let expires_in = if request.expires_in.is_finite() { request.expires_in.max(0.0) } else { 0.0 };
        if self.requests.contains_key(&request.id) {
            return;
        }
        let tracked = TrackedRequest {
            request,
            arrived_at: self.now,
            attempts: Vec::new(),
            queued: false,
            closed: false,
        };
        self.requests.insert(request.id, tracked);
        // Answers before the client gives up; the margin of two ticks lets the answer reach it.
        let at = self.now + (expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::Timer { at, token: (request.id << 2) + TIMER_DEADLINE });
        let known = request.class < self.settings.classes.len() && request.plan < self.settings.plans.len();
        if !known || !request.units.is_finite() || request.units < 0.0 {
            self.refuse(request.id, 0.0, RefusalReason::Malformed, actions);
            return;
        }
        self.clean_up(actions);
        let since_first = self.time_since_first_request(&mut request, expires_in);
        if let Some(tracked) = self.requests.get_mut(&request.id) {
            (tracked.arrived_at, tracked.request) = (tracked.arrived_at - since_first, request);
        }
        for (class, share) in self.class_mix.iter_mut().enumerate() {
            update_average(share, f64::from(u8::from(class == request.class)), SAMPLE_WEIGHT / 2.0);
        }
        self.record_customer(&request);
        // Without a meter, one of many gateways can't infer the customer's total rate from its own traffic,
        // so the counter's token bucket decides where excess is costly.
        let plan = self.settings.plans[request.plan];
        let needs_counter = self.settings.meter_period <= 0.0 && plan.rate > 0.0 && plan.excess_cost > 0.0;
        if needs_counter && self.should_ask_counter(&request) {
            self.counter_limits.draw_units(self.now, &request, &plan);
            return;
        }
        let share = self.share_without_counter(&request);
        self.admit_by_chance(&request, share, actions);
    }

    /// The fraction of such requests that the quota lets in, by what is known without asking the counter.
    fn share_without_counter(&mut self, request: &Request) -> f64 {
        let share = self.share_within_quota(request);
        if request.spread > 1 {
            share.min(self.counter_limits.admitted_share(request))
        } else {
            share
        }
    }

    fn should_ask_counter(&mut self, request: &Request) -> bool {
        self.settings.counter && request.spread > 1 && self.counter_limits.should_ask(self.rng.rand_float())
    }

    /// Admits or refuses a request at random, where the quota lets in `share` of its customer's requests.
    fn admit_by_chance(&mut self, request: &Request, share: f64, actions: &mut Vec<Action>) {
        let since_first =
            if request.is_client_retry { self.now - self.requests[&request.id].arrived_at } else { 0.0 };
        let (class, response_time) =
            (self.settings.classes[request.class], self.class_response_time[request.class]);
        let overloaded = self.now < self.last_overload_at + class.latency_target;
        let in_flight = self.in_flight_sent_within(class.latency_target);
        let queue_free = !overloaded
            && self.rng.rand_float() < self.queue_free_attempts - self.in_flight_sent_within(f64::INFINITY);
        // A surge is admitted before its late responses can show it. So the chance falls linearly beyond
        // the in-flight limit, to 0 at two standard deviations above it.
        let margin = 2.0 * self.in_flight_limit.sqrt() + 1.0;
        let capacity = if queue_free {
            1.0
        } else {
            ((self.in_flight_limit + margin - in_flight) / margin).clamp(0.0, self.capacity_share)
        };
        let (mix, order) = (&self.class_mix, &self.classes_by_worth);
        let even = EVEN_REFUSAL_FRACTION
            * self.customers.get(&request.customer).map_or(0.0, Customer::unseen_fraction);
        // The least chance shrinks with the capacity: a fixed fraction of thousands of retries would keep
        // overloaded servers overloaded.
        let chance = |capacity: f64| {
            let by_worth = chance_in_order(share * capacity, mix, order, request.class);
            (by_worth + even * (share * capacity - by_worth)).max(MIN_ADMISSION_CHANCE * capacity)
        };
        let (quota_chance, capacity_chance, draw) = (chance(1.0), chance(capacity), self.rng.rand_float());
        // A retry that can't be answered within the latency target any more earns only `late_share` of its
        // worth. It gets only that fraction of the chance, which leaves quota to requests in time.
        let late_factor = if since_first > 0.0 && since_first + response_time > class.latency_target {
            class.late_share.min(1.0)
        } else {
            1.0
        };
        if share <= 0.0 || draw >= quota_chance * late_factor {
            let (period, rate) = (self.settings.meter_period, self.settings.plans[request.plan].rate);
            let mean_wait = if period > 0.0 { QUOTA_RETRY_AFTER_PERIODS * period } else { 1000.0 / rate };
            let wait = mean_wait * (0.5 + self.rng.rand_float());
            self.refuse(request.id, wait, RefusalReason::Quota, actions);
        } else if draw >= capacity_chance * late_factor {
            self.refused_no_capacity += 1;
            self.refuse(request.id, self.settings.max_retry_after, RefusalReason::NoCapacity, actions);
        } else {
            self.dispatch(request.id, actions);
        }
    }

    /// How long ago the client sent its first request, 0 if this is the first. A retry has less time left
    /// than a first request of its class, namely the rest of the class's deadline. Where clients mark no
    /// retries, the time limit of a clear majority of requests is taken for that of first requests.
    fn time_since_first_request(&mut self, request: &mut Request, expires_in: Millis) -> Millis {
        let tolerance = 4.0 * self.settings.tick; // Requests take different times to arrive.
        let (usual, lead) = &mut self.first_time_limit[request.class];
        if !request.is_client_retry {
            let agrees = (expires_in - *usual).abs() <= tolerance;
            *lead = if agrees { (*lead + 1).min(2 * MIN_MAJORITY_LEAD) } else { lead.saturating_sub(1) };
            if *lead == 0 {
                (*usual, *lead) = (expires_in, 1);
            }
        }
        if expires_in >= *usual - tolerance || !(request.is_client_retry || *lead > MIN_MAJORITY_LEAD) {
            return 0.0;
        }
        request.is_client_retry = true;
        (self.settings.classes[request.class].deadline - expires_in).max(0.0)
    }

    /// Adds the request's customer if it is new, and updates its plan, spread and time of the last request.
    fn record_customer(&mut self, request: &Request) {
        let (now, started_at, plan) = (self.now, self.started_at, self.settings.plans[request.plan]);
        let spread = f64::from(request.spread.max(1));
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            bucket: INITIAL_BUCKET_FILL * plan.burst,
            bucket_at: now,
            last_period_end: f64::NEG_INFINITY,
            admission_chance: 1.0,
            chance_set_at: f64::NEG_INFINITY,
            local_decayed_at: started_at,
            mean_reading_gap: spread / plan.rate.max(f64::MIN_POSITIVE),
            ceiling_filled_at: started_at,
            ..Customer::default()
        });
        (customer.last_request_at, customer.plan, customer.spread) = (now, request.plan, spread);
    }

    /// The fraction of a customer's requests that its quota lets in. Once per meter period it is set to
    /// what the quota and the estimated bucket allow, divided by the offered rate.
    fn share_within_quota(&mut self, request: &Request) -> f64 {
        let (now, period) = (self.now, self.settings.meter_period);
        let plan = self.settings.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return 1.0 };
        if plan.rate <= 0.0 {
            return 1.0;
        }
        let seconds = (now - customer.local_decayed_at) / 1000.0;
        let decay = (-seconds * plan.rate / (LOCAL_MEMORY_UNITS * customer.spread)).exp();
        customer.local_offered_units *= decay;
        (customer.local_seconds, customer.local_decayed_at) = (customer.local_seconds * decay + seconds, now);
        let plan_use = self.plan_use[request.plan];
        customer.expire_history(&plan, plan_use, now, self.meter.history_span());
        if now >= customer.chance_set_at + period {
            customer.update_chance(&plan, plan_use, now, period);
        }
        customer.local_offered_units += request.units;
        if customer.bucket_content(&plan, plan_use, now, now)
            < customer.unseen_surge(&plan, now, self.meter.delay_periods())
        {
            return MIN_ADMISSION_CHANCE;
        }
        let retry_cut = if request.is_client_retry && plan.excess_cost > 0.0 {
            RETRY_CHANCE_CUT * customer.unseen_fraction()
        } else {
            0.0
        };
        customer.admission_chance * (1.0 - retry_cut)
    }

    /// Applies a meter reading. A reading doesn't say which period it covers; `meter` infers that.
    fn apply_reading(&mut self, customer: CustomerId, quota_usage: f64) {
        let (now, period) = (self.now, self.settings.meter_period);
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        let plan = self.settings.plans[customer.plan];
        if plan.rate <= 0.0 || period <= 0.0 || !quota_usage.is_finite() {
            return;
        }
        let units = quota_usage * plan.rate * period / 1000.0;
        self.meter.learn(now, units, &customer.recent_sends);
        let period_end = self.meter.period_end(now, units, |from, to| customer.units_sent(from, to));
        if period_end <= customer.last_period_end {
            return;
        }
        customer.last_period_end = period_end;
        let plan_use = &mut self.plan_use[customer.plan];
        customer.advance_bucket(&plan, *plan_use, now, period_end - period);
        let seconds = (period_end - customer.bucket_at).max(0.0) / 1000.0;
        customer.bucket =
            (customer.bucket + (1.0 - quota_usage) * plan.rate * seconds).clamp(0.0, plan.burst);
        customer.bucket_at = customer.bucket_at.max(period_end);
        if let Some(at) = customer.last_reading_at {
            update_average(&mut customer.mean_reading_gap, (now - at) / 1000.0, READING_GAP_WEIGHT);
        }
        let decay = customer.reading_weight(&plan, now);
        customer.last_reading_at = Some(now);
        // Estimates the units offered elsewhere as those sent there, divided by the chance here in
        // mid-period: the other gateways' chances are assumed to be the same.
        let earlier = customer.chance_history.iter().rev().find(|(at, _)| *at <= period_end - period / 2.0);
        let chance = earlier.or(customer.chance_history.front()).map_or(1.0, |earlier| earlier.1);
        let elsewhere = units - customer.units_sent(period_end - period, period_end);
        let prior = PLAN_PRIOR_UNITS / plan.rate;
        let weight = SAMPLE_WEIGHT * prior / (prior + customer.reading_seconds * decay);
        customer.reading_seconds = customer.reading_seconds * decay + period / 1000.0;
        customer.units_sent_elsewhere = (customer.units_sent_elsewhere * decay + elsewhere).max(0.0);
        customer.units_offered_elsewhere =
            (customer.units_offered_elsewhere * decay + elsewhere / chance).max(0.0);
        update_average(&mut plan_use.0, quota_usage, weight);
        update_average(&mut plan_use.1, quota_usage / chance, weight);
        customer.update_chance(&plan, *plan_use, now, period);
    }

    /// Adapts the capacity share and the in-flight limit to one response, or to one that is overdue, so that
    /// under overload within the quotas requests of low worth are refused early. The share changes in
    /// proportion to the time since the last response, and so at the same pace with few gateways and many.
    fn adapt_to_load(&mut self, class: usize, timely: bool) {
        let target = self.settings.classes[class].latency_target;
        let weight = ((self.now - self.capacity_share_at) / target).min(MAX_RESPONSE_WEIGHT);
        self.capacity_share_at = self.now;
        if timely {
            self.capacity_share = (self.capacity_share
                + CAPACITY_GROWTH * (self.capacity_share + CAPACITY_GROWTH_BASE) * weight)
                .min(1.0);
            // The limit grows only while at least half of it is in use.
            if 2.0 * (self.in_flight_sent_within(target) + 1.0) >= self.in_flight_limit {
                self.in_flight_limit += if self.slow_start {
                    1.0
                } else {
                    LIMIT_STEP * (1.0 + self.in_flight_limit / LIMIT_STEP_DOUBLES_AT)
                };
            }
        } else {
            self.slow_start = false;
            self.in_flight_limit =
                (self.in_flight_limit * LIMIT_SHRINK).max(self.queue_free_attempts).max(1.0);
            self.capacity_share =
                (self.capacity_share * (1.0 - CAPACITY_CUT * weight)).max(MIN_CAPACITY_SHARE);
        }
    }

    /// This gateway's attempts in flight that were sent within the last `time` milliseconds.
    fn in_flight_sent_within(&self, time: Millis) -> f64 {
        self.fleet.in_flight_sent_after(self.now - time) as f64
    }

    /// At most once a second, logs the number of refusals and forgets idle customers.
    fn clean_up(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        if now < self.last_cleanup_at + 1000.0 {
            return;
        }
        self.last_cleanup_at = now;
        if self.refused_no_capacity + self.refused_no_server > 0 {
            let text = format!(
                "requests refused: {} for lack of server capacity, {} for lack of an available server",
                self.refused_no_capacity, self.refused_no_server
            );
            actions.push(Action::Log(text));
        }
        (self.refused_no_capacity, self.refused_no_server) = (0, 0);
        self.customers.retain(|_, customer| {
            let plan = &self.settings.plans[customer.plan];
            let fill = |burst: f64, rate: f64| if rate > 0.0 { burst / rate * 1000.0 } else { 0.0 };
            let full = fill(plan.burst, plan.rate).max(fill(plan.ceiling_burst, plan.ceiling_rate));
            let idle = now >= customer.last_request_at + IDLE_FILL_TIMES * full.max(1000.0);
            !idle || customer.in_flight > 0 || !customer.queue.is_empty()
        });
    }

    /// Takes the request's units from this gateway's share of the ceiling's token bucket, if it holds them.
    /// The share starts empty with the gateway, as it is not known what was sent before a restart.
    fn take_from_ceiling(&mut self, request: &Request) -> bool {
        let plan = &self.settings.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let filled =
            (self.now - customer.ceiling_filled_at).max(0.0) / 1000.0 * plan.ceiling_rate / customer.spread;
        let size = (plan.ceiling_burst + plan.ceiling_overdraft) / customer.spread;
        customer.ceiling_units = (customer.ceiling_units + filled).min(size);
        customer.ceiling_filled_at = self.now;
        if customer.ceiling_units < request.units {
            return false;
        }
        customer.ceiling_units -= request.units;
        true
    }

    /// Mean response time over the current mix of classes.
    fn mean_response_time(&self) -> f64 {
        self.class_response_time.iter().zip(&self.class_mix).map(|(time, share)| time * share).sum()
    }

    fn fleet_timing(&self) -> FleetTiming {
        FleetTiming { now: self.now, mean_response_time: self.mean_response_time() }
    }

    fn choose_server(&mut self, request: RequestId) -> Option<ServerId> {
        let tracked = &self.requests[&request];
        let idempotency = self.settings.classes[tracked.request.class].idempotency;
        let ran_on =
            tracked.attempts.iter().find(|attempt| attempt.may_have_run).map(|attempt| attempt.server);
        let tried = |id| tracked.attempts.iter().any(|attempt| attempt.server.id == id);
        self.fleet.choose_server(
            self.fleet_timing(),
            &self.settings,
            idempotency,
            ran_on,
            tried,
            &mut self.rng,
        )
    }

    /// Learns from the end of an attempt: the load, the server's health and the class's response time.
    fn record_outcome(&mut self, class: usize, id: ServerId, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let usual = self.class_response_time[class].max(1.0);
        let elapsed = if end.elapsed.is_finite() { end.elapsed.max(0.0) } else { 0.0 };
        match end.outcome {
            Outcome::Ok => self
                .adapt_to_load(class, elapsed <= LATE_FRACTION * self.settings.classes[class].latency_target),
            Outcome::Overloaded | Outcome::TimedOut => self.adapt_to_load(class, false),
            _ => {}
        }
        if end.outcome == Outcome::Overloaded {
            self.last_overload_at = self.now;
        }
        self.fleet.record_outcome(self.fleet_timing(), id, end.outcome, elapsed, usual, actions);
        if end.outcome == Outcome::Ok && self.fleet.entry(id).is_some() {
            update_average(&mut self.class_response_time[class], elapsed, SAMPLE_WEIGHT / 5.0);
        }
    }

    /// Sends the first attempt of an admitted request, or queues the request while its customer has as many
    /// attempts in flight as its plan allows.
    fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests[&id].request;
        let plan = self.settings.plans[request.plan];
        let target = self.settings.classes[request.class].latency_target;
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if plan.max_concurrent > 0 && customer.in_flight >= plan.max_concurrent {
            customer.queue.push_back(id);
            if let Some(tracked) = self.requests.get_mut(&id) {
                tracked.queued = true;
            }
            actions.push(Action::Timer {
                at: self.now + USEFUL_START_FRACTION * target,
                token: (id << 2) + TIMER_OVERDUE,
            });
            return;
        }
        if plan.max_concurrent > 0 && self.should_ask_counter(&request) {
            self.counter_limits.acquire_slot(self.now, &request);
            return;
        }
        self.send_first_attempt(id, actions);
    }

    /// Continues a request for which the counter was asked. Without an answer, local estimates decide.
    fn counter_answered(&mut self, key: CounterKey, result: AddResult, actions: &mut Vec<Action>) {
        let ended = self.counter_limits.call_ended(self.now, key, result, &self.settings.plans);
        let Some((id, answer)) = ended else { return };
        if matches!(answer, LimitAnswer::Reacquired) && self.requests.contains_key(&id) {
            return;
        }
        let Some(tracked) = self.requests.get(&id).filter(|tracked| !tracked.closed) else {
            self.counter_limits.release(self.now, id);
            return;
        };
        let request = tracked.request;
        match answer {
            LimitAnswer::WithinBucket(within) => {
                let share = within.map(|within| f64::from(u8::from(within)));
                let share = share.unwrap_or_else(|| self.share_without_counter(&request));
                self.admit_by_chance(&request, share, actions);
            }
            LimitAnswer::InFlight(Some(in_flight))
                if in_flight > f64::from(self.settings.plans[request.plan].max_concurrent) =>
            {
                let wait = self.mean_response_time() * (0.5 + self.rng.rand_float());
                self.refuse(id, wait, RefusalReason::ConcurrencyLimit, actions);
            }
            LimitAnswer::InFlight(_) => self.send_first_attempt(id, actions),
            LimitAnswer::Reacquired => {}
        }
    }

    /// Sends the first attempt, or refuses if there is no server or the ceiling is reached.
    fn send_first_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests[&id].request;
        let plan = self.settings.plans[request.plan];
        match self.choose_server(id) {
            None => {
                self.refused_no_server += 1;
                self.refuse(id, self.settings.max_retry_after, RefusalReason::NoServer, actions);
            }
            Some(_) if !self.take_from_ceiling(&request) => {
                self.refuse(id, self.settings.max_retry_after, RefusalReason::Ceiling, actions)
            }
            Some(server) => {
                if let Some(customer) = self.customers.get_mut(&request.customer).filter(|_| plan.rate > 0.0)
                {
                    customer.recent_sends.push_back((self.now, request.units));
                }
                let max_budget = HEDGE_COST.max(self.fleet.len() as f64);
                self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(max_budget);
                self.counter_limits.mark_units_spent(id);
                self.send_attempt(id, server, actions);
            }
        }
    }

    /// Sends an attempt and sets the timer at which it counts as overdue.
    fn send_attempt(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let Some(entry) = self.fleet.entry(server) else { return };
        let idempotency = self.settings.classes[tracked.request.class].idempotency;
        let start_by = tracked.may_repeat_until(idempotency) - 2.0 * self.settings.tick;
        self.fleet.attempt_started(server, self.now);
        tracked.queued = false;
        tracked.attempts.push(Attempt {
            server: entry,
            sent_at: self.now,
            in_flight: true,
            may_have_run: true,
        });
        if let Some(customer) = self.customers.get_mut(&tracked.request.customer) {
            customer.in_flight += 1;
        }
        actions.push(Action::Send { request: id, server, give_up_at: None, start_by });
        let class = tracked.request.class;
        let overdue_after = (HEDGE_AFTER * self.class_response_time[class])
            .min(USEFUL_START_FRACTION * self.settings.classes[class].latency_target);
        actions.push(Action::Timer { at: self.now + overdue_after, token: (id << 2) + TIMER_OVERDUE });
    }

    /// Whether two attempts may be in flight at once. Under a concurrency limit they may not: each attempt
    /// would count against it.
    fn may_hedge(&self, tracked: &TrackedRequest) -> bool {
        self.settings.may_duplicate && self.settings.plans[tracked.request.plan].max_concurrent == 0
    }

    /// Whether the class, the settings and the retry budget allow a further attempt, and it can be of use.
    fn may_send_another(&self, tracked: &TrackedRequest) -> bool {
        let class = &self.settings.classes[tracked.request.class];
        let in_flight = tracked.attempts.iter().any(|attempt| attempt.in_flight);
        self.now < tracked.may_repeat_until(class.idempotency) - 2.0 * self.settings.tick
            && (self.may_hedge(tracked) || !in_flight)
            && tracked.attempts.len() < self.settings.max_attempts as usize
            && self.retry_budget >= if in_flight { HEDGE_COST } else { 1.0 }
            && self.now < tracked.arrived_at + class.latency_target
    }

    /// Refuses a request that was queued for too long. Counts an attempt that has been in flight for long as
    /// late and sends another one. Where two at once are not allowed, it cancels the attempt instead if the
    /// class is idempotent and the server hangs.
    fn check_overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(class) =
            self.requests.get(&id).filter(|tracked| !tracked.closed).map(|tracked| tracked.request.class)
        else {
            return;
        };
        let late_if_sent_by = self.now - LATE_FRACTION * self.settings.classes[class].latency_target;
        if self.requests[&id]
            .attempts
            .last()
            .is_some_and(|last| last.in_flight && last.sent_at <= late_if_sent_by)
        {
            self.adapt_to_load(class, false);
        }
        let tracked = &self.requests[&id];
        if tracked.queued {
            if self.now
                >= tracked.arrived_at
                    + USEFUL_START_FRACTION * self.settings.classes[tracked.request.class].latency_target
            {
                self.refuse(id, self.settings.max_retry_after, RefusalReason::QueuedTooLong, actions);
            }
            return;
        }
        let idempotent = self.settings.classes[tracked.request.class].idempotency == Idempotency::Idempotent;
        let Some(last) = tracked.attempts.last() else { return };
        if !last.in_flight {
            return;
        }
        if self.may_send_another(tracked) {
            self.send_another_attempt(id, actions);
        } else if idempotent && !self.may_hedge(tracked) && self.settings.may_cancel {
            let hung = self.fleet.is_hung(self.fleet_timing(), last.server.id);
            let in_time =
                self.now < tracked.arrived_at + self.settings.classes[tracked.request.class].latency_target;
            let attempts_left =
                tracked.attempts.len() < self.settings.max_attempts as usize && self.retry_budget >= 1.0;
            if hung && in_time && attempts_left {
                actions.push(Action::Cancel { request: id, attempt: (tracked.attempts.len() - 1) as u8 });
            } else if in_time && attempts_left {
                let next_check = self.now + HEDGE_AFTER * self.mean_response_time() / 2.0;
                actions.push(Action::Timer { at: next_check, token: (id << 2) + TIMER_OVERDUE });
            }
        }
    }

    fn send_another_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(server) = self.choose_server(id) else { return false };
        let hedged = self.requests[&id].attempts.iter().any(|attempt| attempt.in_flight);
        self.retry_budget -= if hedged { HEDGE_COST } else { 1.0 };
        self.send_attempt(id, server, actions);
        true
    }

    fn attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get_mut(&end.request) else { return };
        let Some(attempt) = tracked.attempts.get_mut(usize::from(end.attempt)) else { return };
        if !attempt.in_flight {
            return;
        }
        attempt.in_flight = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let (server, sent_at, request) = (attempt.server.id, attempt.sent_at, tracked.request);
        if end.finished {
            tracked.closed = true;
        }
        self.fleet.attempt_ended(server, sent_at);
        self.record_outcome(request.class, server, &end, actions);
        let next = self.customers.get_mut(&request.customer).and_then(|customer| {
            customer.in_flight = customer.in_flight.saturating_sub(1);
            customer.queue.pop_front()
        });
        if let Some(quota_usage) = end.quota_usage {
            self.apply_reading(request.customer, quota_usage);
        }
        let tracked = &self.requests[&end.request];
        let in_flight = tracked.attempts.iter().any(|attempt| attempt.in_flight);
        if tracked.closed {
            if end.outcome == Outcome::Ok {
                self.cancel_attempts(end.request, actions);
            }
        } else if !in_flight {
            let retry = end.outcome != Outcome::InvalidRequest && self.may_send_another(tracked);
            if !(retry && self.send_another_attempt(end.request, actions)) {
                self.end_without_response(end.request, actions);
            }
        }
        self.remove_if_finished(end.request);
        if let Some(next) = next.filter(|next| self.requests.contains_key(next)) {
            self.dispatch(next, actions);
        }
    }

    /// Gives the final answer without a response: a refusal if no attempt can have run, else a failure.
    fn end_without_response(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get(&id).filter(|tracked| !tracked.closed) else { return };
        if tracked.attempts.iter().all(|attempt| !attempt.may_have_run) {
            self.refuse(id, 0.0, RefusalReason::NoAttemptRan, actions);
        } else {
            actions.push(Action::Fail(id));
            self.cancel_attempts(id, actions);
            self.close(id);
        }
    }

    /// Cancels the attempts that are still in flight, where the settings allow it.
    fn cancel_attempts(&self, id: RequestId, actions: &mut Vec<Action>) {
        let in_flight =
            self.requests[&id].attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
        let cancels = in_flight.map(|(n, _)| Action::Cancel { request: id, attempt: n as u8 });
        actions.extend(cancels.filter(|_| self.settings.may_cancel));
    }

    fn refuse(&mut self, id: RequestId, wait: Millis, reason: RefusalReason, actions: &mut Vec<Action>) {
        let retry_after = wait.clamp(0.0, self.settings.max_retry_after);
        actions.push(Action::Refuse { request: id, retry_after, reason });
        self.close(id);
    }

    /// Marks a request as needing no answer any more, and takes it out of its customer's queue.
    fn close(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        tracked.closed = true;
        if tracked.queued {
            if let Some(customer) = self.customers.get_mut(&tracked.request.customer) {
                customer.queue.retain(|other| *other != id);
            }
        }
        self.remove_if_finished(id);
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|tracked| tracked.closed && tracked.attempts.iter().all(|a| !a.in_flight))
        {
            self.requests.remove(&id);
            self.counter_limits.release(self.now, id);
        }
    }

    /// Applies the server list or changes to it. Where the list is delivered on request, subscribes to it
    /// after a cached one and, one second later, after a failure.
    fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        if self.settings.list_on_request {
            match kind {
                ListKind::Cached => actions.push(Action::WatchServers),
                ListKind::Failed => {
                    actions.push(Action::Timer { at: self.now + 1000.0, token: TIMER_LIST_RETRY })
                }
                _ => {}
            }
        }
        if kind == ListKind::Failed {
            return;
        }
        self.fleet.apply_list(self.settings.ordinal, self.now, kind, entries);
        self.queue_free_attempts =
            QUEUE_FREE_PER_SERVER * self.fleet.ready_count() as f64 / f64::from(self.settings.gateways);
        self.in_flight_limit = self.in_flight_limit.max(self.queue_free_attempts);
    }
}

impl Customer {
    /// Rates in units per second at which the other gateways send and are offered this customer's requests.
    /// Combines decayed readings with the plan's average use as a prior; the offered rate also takes the rate
    /// offered here as a sample of that at each other gateway.
    fn rates_elsewhere(&self, plan: &Plan, plan_use: (f64, f64), decay: f64) -> (f64, f64) {
        let prior = PLAN_PRIOR_UNITS / plan.rate;
        let local = self.local_seconds / (self.spread - 1.0).max(f64::MIN_POSITIVE);
        let seconds = prior + self.reading_seconds * decay;
        let sent = (PLAN_PRIOR_UNITS * plan_use.0 + self.units_sent_elsewhere * decay) / seconds;
        let offered =
            PLAN_PRIOR_UNITS * plan_use.1 + self.units_offered_elsewhere * decay + self.local_offered_units;
        (sent, offered / (seconds + local))
    }

    /// Units sent from here after `from` and up to `to`.
    fn units_sent(&self, from: Millis, to: Millis) -> f64 {
        self.recent_sends.iter().filter(|(at, _)| *at > from && *at <= to).map(|(_, units)| units).sum()
    }

    /// Units that the other gateways have probably sent in a surge that no reading covers yet. `delay` is
    /// the meter's, in periods.
    fn unseen_surge(&self, plan: &Plan, now: Millis, delay: f64) -> f64 {
        let even = plan.rate * (now - self.bucket_at) / 1000.0 / self.spread;
        UNSEEN_SURGE_FACTOR
            * delay
            * (self.spread - 1.0)
            * (self.units_sent(self.bucket_at, now) - even).max(0.0)
    }

    /// Fraction of the customer's traffic that counts as unseen here, 0 if all of it comes through here.
    fn unseen_fraction(&self) -> f64 {
        (self.spread - 1.0) / (self.spread - 1.0 + HALF_UNSEEN_GATEWAYS)
    }

    /// Weight that earlier readings still have, from 0 to 1. It decays to 1/e over the time of
    /// `RATE_WINDOW_UNITS` units of the quota, or of as many gaps between readings if that is longer.
    fn reading_weight(&self, plan: &Plan, now: Millis) -> f64 {
        let memory = RATE_WINDOW_UNITS * (1.0 / plan.rate).max(self.mean_reading_gap);
        self.last_reading_at.map_or(0.0, |at| (-(now - at) / 1000.0 / memory).exp())
    }

    /// The bucket's content at `at`: filled by the quota, and drained by sends from here and by the estimated
    /// sends from other gateways.
    fn bucket_content(&self, plan: &Plan, plan_use: (f64, f64), now: Millis, at: Millis) -> f64 {
        let flow = plan.rate - self.rates_elsewhere(plan, plan_use, self.reading_weight(plan, now)).0;
        (self.bucket + flow * (at - self.bucket_at) / 1000.0 - self.units_sent(self.bucket_at, at))
            .clamp(0.0, plan.burst)
    }

    /// Advances the bucket to `to`, unless readings have settled a later time already.
    fn advance_bucket(&mut self, plan: &Plan, plan_use: (f64, f64), now: Millis, to: Millis) {
        if to > self.bucket_at {
            self.bucket = self.bucket_content(plan, plan_use, now, to);
            self.bucket_at = to;
        }
    }

    /// Advances the bucket to `span` ago and drops older sends and chances, which no reading covers any more.
    fn expire_history(&mut self, plan: &Plan, plan_use: (f64, f64), now: Millis, span: Millis) {
        let oldest = now - span;
        self.advance_bucket(plan, plan_use, now, oldest);
        while self.recent_sends.front().is_some_and(|(at, _)| *at < oldest) {
            self.recent_sends.pop_front();
        }
        while self.chance_history.len() > 1 && self.chance_history[1].0 < oldest {
            self.chance_history.pop_front();
        }
    }

    /// Sets the admission chance to the allowed rate divided by the offered one.
    fn update_chance(&mut self, plan: &Plan, plan_use: (f64, f64), now: Millis, period: Millis) {
        let (_, elsewhere) = self.rates_elsewhere(plan, plan_use, self.reading_weight(plan, now));
        let offered =
            self.local_offered_units / self.local_seconds.max(RATE_WINDOW_UNITS / plan.rate) + elsewhere;
        // Releases the bucket's content over several readings, so that the random refusal, which goes by
        // worth, sets in before the bucket is empty.
        let release = BURST_RELEASE_PERIODS * period / 1000.0;
        let target = 1.0 / (1.0 + EXCESS_CAUTION * plan.excess_cost * self.unseen_fraction());
        let allowed = target
            * (plan.rate
                + self.bucket_content(plan, plan_use, now, now) / release.max(self.mean_reading_gap));
        self.admission_chance =
            if offered > allowed { (allowed / offered).max(MIN_ADMISSION_CHANCE) } else { 1.0 };
        self.chance_set_at = now;
        self.chance_history.push_back((now, self.admission_chance));
    }
}
