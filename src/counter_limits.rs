//! Limits that are kept on the shared counter. For a plan's concurrency limit it holds a gauge: each request
//! acquires a slot before its first attempt and releases it after its last. For the plan's rate, where there
//! is no meter, it holds a token bucket: a request draws its units from it before it is forwarded.
//!
//! Each number on the counter counts up from 0 within one time window of one customer; its key contains both.

use crate::counter_calls::CounterCalls;
use crate::interface::*;
use std::collections::BTreeMap;

/// Number of key bits that hold the customer. One bit distinguishes buckets from gauges; the remaining 30
/// hold the time window. Fewer makes customers share numbers; more makes the window wrap around sooner.
const CUSTOMER_BITS: u32 = 33;
/// Key bit that is set for buckets and clear for gauges.
const BUCKET: u64 = 1 << 63;
/// Time to live of a bucket on the counter, in milliseconds, and twice the longest window. Lower restarts
/// buckets of slow quotas too often; higher leaves more finished buckets on the counter.
const BUCKET_TTL: Millis = 60_000.0;
/// Length of a bucket's window, as a multiple of the time in which the quota fills the burst. Longer lets
/// customers that send little save up more units; shorter grants `INITIAL_FILL` more often.
const WINDOW_FILLS: f64 = 2.0;
/// Share of its burst that a customer is assumed to have left when a window begins. Higher lets more through
/// than the quota; lower refuses requests within the quota at the start of a window.
const INITIAL_FILL: f64 = 0.25;
/// Share by which a call without a result lowers the probability that the counter is asked: an overloaded
/// counter answers none of its calls in time. Lower leaves it overloaded for longer; higher lets single
/// failures keep many requests from being counted.
const ASK_DECREASE: f64 = 0.1;
/// Amount by which a call with a result raises that probability. Higher overloads the counter again; lower
/// leaves requests uncounted for long after it has recovered.
const ASK_INCREASE: f64 = 0.01;
/// Weight of a bucket's answer in the average share that buckets admit, from 0 to 1: about the last 20 count.
const ADMITTED_WEIGHT: f64 = 0.05;
/// Least probability that the counter is asked. At 0 its recovery would never be noticed; higher adds load to
/// an overloaded counter.
const MIN_ASK_PROBABILITY: f64 = 0.02;
/// Least and most back-off, in milliseconds, before a return that the counter rejected is retried. Shorter
/// adds load to a busy counter; longer keeps the slot or units from the customer for longer.
const MIN_RETURN_BACK_OFF: Millis = 50.0;
const MAX_RETURN_BACK_OFF: Millis = 400.0;

/// The counter's answer; `None` if it gave none.
#[derive(Debug, Clone, Copy)]
pub(crate) enum LimitAnswer {
    /// Slots that the customer holds, including the one just acquired.
    InFlight(Option<f64>),
    /// Whether the bucket held the units that were drawn.
    WithinBucket(Option<bool>),
    /// The slot of a request that is already running was acquired again on a new counter.
    Reacquired,
}

/// What a call in flight is for.
#[derive(Debug)]
enum Purpose {
    /// To admit a request, which waits for the answer.
    Admit(Request),
    /// To acquire the slot of a running request again on a new counter.
    Reacquire(RequestId),
    /// To return an amount that a request no longer holds; after `until` the number is no longer used.
    Return { until: Millis },
}

#[derive(Debug)]
struct Call {
    purpose: Purpose,
    amount: f64,
}

/// Returns that the counter rejected, which are retried later.
#[derive(Debug, Default)]
struct Returns {
    /// By key: the amount, and until when the number is used.
    rejected: BTreeMap<CounterKey, (f64, Millis)>,
    /// Back-off before the next retry; 0 after a successful return.
    back_off: Millis,
    /// Whether the timer for the next retry is set.
    timer_set: bool,
}

#[derive(Debug)]
pub(crate) struct CounterLimits {
    /// Length of a gauge's window: slots that crashed gateways did not release are free again in the next
    /// one. Drawback: attempts in flight when a window ends do not count in the next.
    gauge_window: Millis,
    calls: CounterCalls<Call>,
    /// Amounts that each request has added to each number and has yet to return.
    held: BTreeMap<(RequestId, CounterKey), f64>,
    returns: Returns,
    /// Probability that the counter is asked.
    ask_probability: f64,
    /// By plan: recent shares of first requests and of client retries that the counter's buckets admitted.
    admitted: Vec<[f64; 2]>,
    /// Shared wall clock minus the clock of the times passed in.
    clock_offset: Millis,
}

impl CounterLimits {
    /// `longest` is the longest time that a request may take; it becomes the window of the gauges.
    pub fn new(longest: Millis, plans: usize) -> CounterLimits {
        let admitted = vec![[1.0; 2]; plans];
        CounterLimits {
            admitted,
            gauge_window: longest.max(1.0),
            calls: CounterCalls::new(),
            held: BTreeMap::new(),
            returns: Returns::default(),
            ask_probability: 1.0,
            clock_offset: 0.0,
        }
    }

    /// Sets the shared wall clock minus the clock of the times passed in.
    pub fn set_clock_offset(&mut self, offset: Millis) {
        self.clock_offset = offset;
    }

    /// Whether to ask the counter; `random` is uniform between 0 and 1.
    pub fn should_ask(&self, random: f64) -> bool {
        random < self.ask_probability
    }

    /// The recent share of such requests that the buckets admitted; 1 where there are no buckets.
    pub fn admitted_share(&self, request: &Request) -> f64 {
        self.admitted[request.plan][usize::from(request.is_client_retry)]
    }

    /// Key of the request's customer for the window at `now`, and the share of that window that has passed.
    fn window_key(&self, now: Millis, window: Millis, request: &Request) -> (CounterKey, f64) {
        window_key((now + self.clock_offset) / window, request.customer)
    }

    /// Asks the counter for a slot.
    pub fn acquire_slot(&mut self, now: Millis, request: &Request) {
        let (key, _) = self.window_key(now, self.gauge_window, request);
        let call = Call { purpose: Purpose::Admit(*request), amount: 1.0 };
        self.calls.start(key & !BUCKET, 1.0, 2.0 * self.gauge_window, call);
    }

    /// Draws a request's units from its customer's bucket, scaled up to cover the requests for which the
    /// counter is not asked.
    pub fn draw_units(&mut self, now: Millis, request: &Request, plan: &Plan) {
        let (key, _) = self.window_key(now, bucket_window(plan), request);
        let units = request.units / self.ask_probability;
        let call = Call { purpose: Purpose::Admit(*request), amount: units };
        self.calls.start(key | BUCKET, units, BUCKET_TTL, call);
    }

    /// Marks a request's units as spent, as it is forwarded: they are not returned.
    pub fn mark_units_spent(&mut self, request: RequestId) {
        let drawn = self.held.range((request, BUCKET)..=(request, u64::MAX)).next().map(|(held, _)| *held);
        drawn.map(|key| self.held.remove(&key));
    }

    /// Returns everything that a request holds.
    pub fn release(&mut self, now: Millis, request: RequestId) {
        while let Some((&(id, key), &amount)) = self.held.range((request, 0)..=(request, u64::MAX)).next() {
            self.held.remove(&(id, key));
            self.return_amount(key, amount, now + self.gauge_window);
        }
    }

    fn return_amount(&mut self, key: CounterKey, amount: f64, until: Millis) {
        let call = Call { purpose: Purpose::Return { until }, amount };
        self.calls.start(key, -amount, 2.0 * self.gauge_window, call);
    }

    /// Retries the returns that the counter rejected.
    pub fn retry_returns(&mut self, now: Millis) {
        self.returns.timer_set = false;
        for (key, (amount, until)) in std::mem::take(&mut self.returns.rejected) {
            if now < until {
                self.return_amount(key, amount, until);
            }
        }
    }

    /// Handles a new counter that has none of the old one's numbers. Slots that requests hold are acquired
    /// again there, as its gauges would otherwise be below the attempts in flight. Units drawn from the old
    /// counter and pending returns to it are dropped.
    pub fn counter_replaced(&mut self) {
        self.returns.rejected.clear();
        for ((request, key), amount) in std::mem::take(&mut self.held) {
            if key & BUCKET == 0 {
                let call = Call { purpose: Purpose::Reacquire(request), amount };
                self.calls.start(key, amount, 2.0 * self.gauge_window, call);
            }
        }
    }

    /// Processes the result of a call; yields the request that it concerns, if any, and the answer for it.
    pub fn call_ended(
        &mut self,
        now: Millis,
        key: CounterKey,
        result: AddResult,
        plans: &[Plan],
    ) -> Option<(RequestId, LimitAnswer)> {
        let total = if let AddResult::Total(total) = result { Some(total) } else { None };
        let change = if total.is_some() { ASK_INCREASE } else { -ASK_DECREASE * self.ask_probability };
        self.ask_probability = (self.ask_probability + change).clamp(MIN_ASK_PROBABILITY, 1.0);
        let Call { purpose, amount } = self.calls.finish(key)?;
        let (id, waiting) = match purpose {
            Purpose::Admit(request) => (request.id, Some(request)),
            Purpose::Reacquire(id) => (id, None),
            Purpose::Return { until } => {
                self.returns.call_ended(key, amount, until, result);
                return None;
            }
        };
        // An unknown result counts as added: most likely the call is still waiting in the counter's queue.
        if result != AddResult::NotAdded {
            self.held.insert((id, key), amount);
        }
        let Some(request) = waiting else { return Some((id, LimitAnswer::Reacquired)) };
        if key & BUCKET == 0 {
            return Some((request.id, LimitAnswer::InFlight(total)));
        }
        let plan = &plans[request.plan];
        let seconds = self.window_key(now, bucket_window(plan), &request).1 * bucket_window(plan) / 1000.0;
        let available = INITIAL_FILL * plan.burst + plan.rate * seconds;
        let within = total.map(|total| total <= available);
        if let Some(within) = within {
            let share = &mut self.admitted[request.plan][usize::from(request.is_client_retry)];
            *share += ADMITTED_WEIGHT * (f64::from(u8::from(within)) - *share);
        }
        Some((request.id, LimitAnswer::WithinBucket(within)))
    }

    /// Appends the pending calls; `token` identifies the timer for [`CounterLimits::retry_returns`].
    pub fn take_actions(&mut self, now: Millis, token: u64, actions: &mut Vec<Action>) {
        self.calls.take_actions(actions);
        if !self.returns.rejected.is_empty() && !self.returns.timer_set {
            self.returns.timer_set = true;
            actions.push(Action::Timer { at: now + self.returns.back_off, token });
        }
    }
}

impl Returns {
    /// Records the result of a return. One with an unknown result is not retried: a gauge that is too low
    /// would admit more than the concurrency limit, while one that is too high is used only until `until`.
    fn call_ended(&mut self, key: CounterKey, amount: f64, until: Millis, result: AddResult) {
        match result {
            AddResult::Total(_) => self.back_off = 0.0,
            AddResult::Unknown => {}
            AddResult::NotAdded => {
                if !self.timer_set && self.rejected.is_empty() {
                    self.back_off = (2.0 * self.back_off).clamp(MIN_RETURN_BACK_OFF, MAX_RETURN_BACK_OFF);
                }
                let entry = self.rejected.entry(key).or_insert((0.0, until));
                entry.0 += amount;
                entry.1 = entry.1.max(until);
            }
        }
    }
}

/// Length of the window of a plan's buckets.
fn bucket_window(plan: &Plan) -> Millis {
    (WINDOW_FILLS * plan.burst / plan.rate * 1000.0).clamp(1.0, BUCKET_TTL / 2.0)
}

/// Key of a customer for the window at `time`, which is in windows, and the share of that window that has
/// passed. Windows of different customers begin at different times, so that not all buckets restart at once.
fn window_key(time: f64, customer: CustomerId) -> (CounterKey, f64) {
    let time = time + (customer % 64) as f64 / 64.0;
    let customer = customer & ((1 << CUSTOMER_BITS) - 1);
    ((time.floor() as i64 as u64) << CUSTOMER_BITS | customer, time.fract())
}
