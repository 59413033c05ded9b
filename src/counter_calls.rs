//! Matches the counter's answers to the calls in flight: calls for one key end in the order in which they
//! were made. No decision logic is here.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// The calls in flight, each with the data that is needed when it ends.
#[derive(Debug)]
pub(crate) struct CounterCalls<T> {
    /// By key, the oldest first.
    in_flight: BTreeMap<CounterKey, VecDeque<T>>,
    /// Calls that [`CounterCalls::take_actions`] has yet to pass on.
    pending: Vec<Action>,
}

impl<T> CounterCalls<T> {
    pub fn new() -> CounterCalls<T> {
        CounterCalls { in_flight: BTreeMap::new(), pending: Vec::new() }
    }

    /// Starts a call; `data` is returned when it ends.
    pub fn start(&mut self, key: CounterKey, amount: f64, ttl: Millis, data: T) {
        self.in_flight.entry(key).or_default().push_back(data);
        self.pending.push(Action::AddToCounter { key, amount, ttl });
    }

    /// Ends the oldest call for the key.
    pub fn finish(&mut self, key: CounterKey) -> Option<T> {
        let calls = self.in_flight.get_mut(&key)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.in_flight.remove(&key);
        }
        call
    }

    /// Appends the calls started since the last time.
    pub fn take_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.pending);
    }
}
