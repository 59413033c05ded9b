//! Numbers on the counter that all gateways share: a gauge for a plan's cap on attempts out at once, which
//! each request enters before its first attempt and leaves behind its last; a token bucket for its rate where
//! there is no meter, from which a request draws its units before it is sent on.

use crate::counter_calls::CounterCalls;
use crate::interface::*;
use std::collections::BTreeMap;

/// Bits of a number's name that hold the customer; the stretch of time takes the rest but for one bit, which
/// tells a bucket from a gauge.
const CUSTOMER_BITS: u32 = 33;
const BUCKET: u64 = 1 << 63;
const LIFE: Millis = 60_000.0;
/// A bucket's stretch, in times that the quota fills the burst: in a longer one quiet customers save up more.
const FILLS: f64 = 2.0;
/// Part of its burst that a customer is taken to have left as a stretch begins.
const LEFT_OVER: f64 = 0.25;
/// Part that a call without an answer takes off the chance that the counter is asked, and what one with an
/// answer adds: asked more than it can bear, it answers nobody in time.
const SHED: f64 = 0.1;
const REGAIN: f64 = 0.01;
/// Weight of a new word of a bucket in the share that they let in: about the last 20 count.
const LEARN: f64 = 0.05;
/// Least chance that it is asked: that it is back has to be noticed.
const LEAST_ASKED: f64 = 0.02;
/// Until what the counter would not take back is given back again: at first, and at the most.
const FIRST_RETURN_PAUSE: Millis = 50.0;
const LAST_RETURN_PAUSE: Millis = 400.0;

/// What the counter told; `None` if it did not say.
#[derive(Debug, Clone, Copy)]
pub(crate) enum LimitAnswer {
    /// Attempts out under the cap, with the one that asks.
    InFlight(Option<f64>),
    /// Whether the bucket holds what is drawn.
    WithinBucket(Option<bool>),
    /// A place that was held is taken again, for a request that did not wait for it.
    Reacquired,
}

/// What a call that is out is for.
#[derive(Debug)]
enum Purpose {
    /// A request waits for the answer.
    Ask(Request),
    /// A request that has its place already takes it again on another counter.
    TakeAgain(RequestId),
    /// What nobody holds any more is given back; after `until` the number serves no more.
    Return { until: Millis },
}

#[derive(Debug)]
struct Call {
    purpose: Purpose,
    amount: f64,
}

/// What the counter would not take back, which is given back again later.
#[derive(Debug, Default)]
struct Returns {
    /// By number: the amount, and until when the number serves.
    owed: BTreeMap<CounterKey, (f64, Millis)>,
    /// Between such a failure and the next try; 0 while returns are taken.
    pause: Millis,
    /// Whether the host is to wake this gateway for them.
    due: bool,
}

#[derive(Debug)]
pub(crate) struct CounterLimits {
    /// A gauge serves for a stretch this long: what gateways that died left on it is gone with it. Hurts for
    /// a moment where one ends, as what is out then is not on the next.
    stretch: Millis,
    calls: CounterCalls<Call>,
    /// What each request has added to which number, to be taken off again.
    held: BTreeMap<(RequestId, CounterKey), f64>,
    returns: Returns,
    /// Chance that the counter is asked.
    asked: f64,
    /// Of each plan, the share of first tries and of further ones that the counter's buckets let in lately.
    admitted: Vec<[f64; 2]>,
    /// How far the clock that all gateways share is ahead of the one that times are given in.
    ahead: Millis,
}

impl CounterLimits {
    /// `longest` is the longest time that a request may take.
    pub fn new(longest: Millis, plans: usize) -> CounterLimits {
        let admitted = vec![[1.0; 2]; plans];
        CounterLimits {
            admitted,
            stretch: longest.max(1.0),
            calls: CounterCalls::new(),
            held: BTreeMap::new(),
            returns: Returns::default(),
            asked: 1.0,
            ahead: 0.0,
        }
    }

    /// Notes how far the clock that all gateways share is ahead of the one that times are given in.
    pub fn set_clock(&mut self, ahead: Millis) {
        self.ahead = ahead;
    }

    /// Whether the counter is asked, by a coin between 0 and 1.
    pub fn should_ask(&self, coin: f64) -> bool {
        coin < self.asked
    }

    /// The share of such requests that the buckets let in lately, all of them where there are no buckets.
    pub fn admitted_share(&self, request: &Request) -> f64 {
        self.admitted[request.plan][usize::from(request.is_client_retry)]
    }

    /// The number of a request's customer for the stretch at this time, and the part of that which is over.
    fn number(&self, now: Millis, stretch: Millis, request: &Request) -> (CounterKey, f64) {
        number((now + self.ahead) / stretch, request.customer)
    }

    /// Asks for a place.
    pub fn acquire_slot(&mut self, now: Millis, request: &Request) {
        let (key, _) = self.number(now, self.stretch, request);
        let call = Call { purpose: Purpose::Ask(*request), amount: 1.0 };
        self.calls.start(key & !BUCKET, 1.0, 2.0 * self.stretch, call);
    }

    /// Draws a request's units from its customer's bucket, and those of others that do not ask.
    pub fn draw_units(&mut self, now: Millis, request: &Request, plan: &Plan) {
        let (key, _) = self.number(now, fill(plan), request);
        let units = request.units / self.asked;
        let call = Call { purpose: Purpose::Ask(*request), amount: units };
        self.calls.start(key | BUCKET, units, LIFE, call);
    }

    /// Keeps what a request has drawn: it is sent on.
    pub fn keep_drawn_units(&mut self, request: RequestId) {
        let drawn = self.held.range((request, BUCKET)..=(request, u64::MAX)).next().map(|(held, _)| *held);
        drawn.map(|key| self.held.remove(&key));
    }

    /// Gives back all that a request holds.
    pub fn release(&mut self, now: Millis, request: RequestId) {
        while let Some((&(id, key), &amount)) = self.held.range((request, 0)..=(request, u64::MAX)).next() {
            self.held.remove(&(id, key));
            self.give_back(key, amount, now + self.stretch);
        }
    }

    fn give_back(&mut self, key: CounterKey, amount: f64, until: Millis) {
        let call = Call { purpose: Purpose::Return { until }, amount };
        self.calls.start(key, -amount, 2.0 * self.stretch, call);
    }

    /// Makes the calls again that give back what the counter would not take.
    pub fn retry_returns(&mut self, now: Millis) {
        self.returns.due = false;
        for (key, (amount, until)) in std::mem::take(&mut self.returns.owed) {
            if now < until {
                self.give_back(key, amount, until);
            }
        }
    }

    /// The counter is another one now. Places that requests hold are taken again there, or its gauges would
    /// stand below what is out; what the old one is owed, or has let out of its buckets, means nothing to it.
    pub fn counter_replaced(&mut self) {
        self.returns.owed.clear();
        for ((request, key), amount) in std::mem::take(&mut self.held) {
            if key & BUCKET == 0 {
                let call = Call { purpose: Purpose::TakeAgain(request), amount };
                self.calls.start(key, amount, 2.0 * self.stretch, call);
            }
        }
    }

    /// Takes an answer in: the request that it is about, if any, and what it tells.
    pub fn call_ended(
        &mut self,
        now: Millis,
        key: CounterKey,
        result: AddResult,
        plans: &[Plan],
    ) -> Option<(RequestId, LimitAnswer)> {
        let total = if let AddResult::Total(total) = result { Some(total) } else { None };
        let change = if total.is_some() { REGAIN } else { -SHED * self.asked };
        self.asked = (self.asked + change).clamp(LEAST_ASKED, 1.0);
        let Call { purpose, amount } = self.calls.finish(key)?;
        let (id, waits) = match purpose {
            Purpose::Ask(request) => (request.id, Some(request)),
            Purpose::TakeAgain(id) => (id, None),
            Purpose::Return { until } => {
                self.returns.ended(key, amount, until, result);
                return None;
            }
        };
        // What may have been added most likely was: the call waits in the counter's line.
        if result != AddResult::NotAdded {
            self.held.insert((id, key), amount);
        }
        let Some(request) = waits else { return Some((id, LimitAnswer::Reacquired)) };
        if key & BUCKET == 0 {
            return Some((request.id, LimitAnswer::InFlight(total)));
        }
        let plan = &plans[request.plan];
        let seconds = self.number(now, fill(plan), &request).1 * fill(plan) / 1000.0;
        let holds = LEFT_OVER * plan.burst + plan.rate * seconds;
        let within = total.map(|total| total <= holds);
        if let Some(within) = within {
            let share = &mut self.admitted[request.plan][usize::from(request.is_client_retry)];
            *share += LEARN * (f64::from(u8::from(within)) - *share);
        }
        Some((request.id, LimitAnswer::WithinBucket(within)))
    }

    /// Hands over the calls that are due; `token` names the timer for [`CounterLimits::retry_returns`].
    pub fn take_actions(&mut self, now: Millis, token: u64, actions: &mut Vec<Action>) {
        self.calls.take_actions(actions);
        if !self.returns.owed.is_empty() && !self.returns.due {
            self.returns.due = true;
            actions.push(Action::Timer { at: now + self.returns.pause, token });
        }
    }
}

impl Returns {
    /// Notes how a call ended that gave back an amount. One that may have been taken is not made again: a
    /// gauge that is too low lets more out than its cap, one that is too high serves only until `until`.
    fn ended(&mut self, key: CounterKey, amount: f64, until: Millis, result: AddResult) {
        match result {
            AddResult::Total(_) => self.pause = 0.0,
            AddResult::Unknown => {}
            AddResult::NotAdded => {
                if !self.due && self.owed.is_empty() {
                    self.pause = (2.0 * self.pause).clamp(FIRST_RETURN_PAUSE, LAST_RETURN_PAUSE);
                }
                let owed = self.owed.entry(key).or_insert((0.0, until));
                owed.0 += amount;
                owed.1 = owed.1.max(until);
            }
        }
    }
}

fn fill(plan: &Plan) -> Millis {
    (FILLS * plan.burst / plan.rate * 1000.0).clamp(1.0, LIFE / 2.0)
}

/// A customer's number for the stretch at this time, which counts in stretches, and the part of it that is
/// over. Not all customers' stretches begin together.
fn number(time: f64, customer: CustomerId) -> (CounterKey, f64) {
    let time = time + (customer % 64) as f64 / 64.0;
    let customer = customer & ((1 << CUSTOMER_BITS) - 1);
    ((time.floor() as i64 as u64) << CUSTOMER_BITS | customer, time.fract())
}
