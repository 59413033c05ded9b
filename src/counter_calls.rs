//! Calls of the counter that are out, so that each answer finds its own: those for one name end in the order
//! in which they were made. It decides nothing.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// The calls that are out, each with what has to be known again at its end.
#[derive(Debug)]
pub(crate) struct CounterCalls<T> {
    /// By name, the oldest first.
    out: BTreeMap<CounterKey, VecDeque<T>>,
    due: Vec<Action>,
}

impl<T> CounterCalls<T> {
    pub fn new() -> CounterCalls<T> {
        CounterCalls { out: BTreeMap::new(), due: Vec::new() }
    }

    /// Makes a call.
    pub fn start(&mut self, key: CounterKey, amount: f64, ttl: Millis, pending: T) {
        self.out.entry(key).or_default().push_back(pending);
        self.due.push(Action::AddToCounter { key, amount, ttl });
    }

    /// Ends the oldest call for that name.
    pub fn finish(&mut self, key: CounterKey) -> Option<T> {
        let calls = self.out.get_mut(&key)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.out.remove(&key);
        }
        call
    }

    /// Hands over the calls that are due.
    pub fn take_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.due);
    }
}
