//! A plan's concurrency limit, which all gateways enforce together: many gateways with one shared counter, on a
//! simulated clock.

mod common;

use common::*;
use springusher::*;
use std::collections::BTreeMap;

const GATEWAYS: u32 = 100;
/// Index of a plan that allows two attempts of a customer in flight.
const LIMITED_PLAN: usize = 2;
const LIMIT: usize = 2;

/// The gateways and a shared counter that answers at once.
struct Cluster {
    hosts: Vec<TestHost>,
    numbers: BTreeMap<CounterKey, f64>,
    calls: usize,
}

impl Cluster {
    fn new(gateways: u32) -> Cluster {
        let servers: Vec<_> = (1..=60).map(server).collect();
        let gateway_settings = |ordinal| Settings { gateways, ordinal, counter: true, ..settings() };
        let host = |ordinal| TestHost::seeded(gateway_settings(ordinal), u64::from(ordinal), &servers);
        Cluster { hosts: (0..gateways).map(host).collect(), numbers: BTreeMap::new(), calls: 0 }
    }

    /// Runs the counter calls among the actions, and those that follow from their answers.
    fn run_counter_calls(&mut self, gateway: usize, actions: Vec<Action>) -> Vec<Action> {
        let mut all = Vec::new();
        for action in actions {
            if let Action::AddToCounter { key, amount, .. } = action {
                self.calls += 1;
                let total = self.numbers.entry(key).or_insert(0.0);
                *total += amount;
                let result = AddResult::Total(*total);
                let next = self.hosts[gateway].event(Event::CounterAnswer { key, result });
                all.extend(self.run_counter_calls(gateway, next));
            }
            all.push(action);
        }
        all
    }

    fn new_request(&mut self, gateway: usize, customer: CustomerId) -> (RequestId, Vec<Action>) {
        let (id, actions) = self.hosts[gateway].new_request(customer, LIMITED_PLAN, 0);
        (id, self.run_counter_calls(gateway, actions))
    }

    fn end_attempt(&mut self, gateway: usize, id: RequestId) {
        let actions = self.hosts[gateway].end(id, 0, Outcome::Ok, None);
        self.run_counter_calls(gateway, actions);
    }

    /// Sends one request of the customer through each gateway; returns those that were forwarded.
    fn request_at_all(&mut self, customer: CustomerId) -> Vec<(usize, RequestId)> {
        let mut out = Vec::new();
        for gateway in 0..self.hosts.len() {
            let (id, actions) = self.new_request(gateway, customer);
            match sends(&actions).len() {
                0 => assert!(refused(&actions), "neither sent nor refused at once"),
                _ => out.push((gateway, id)),
            }
        }
        out
    }
}

#[test]
fn all_gateways_together_keep_a_customer_within_its_concurrency_limit() {
    let mut cluster = Cluster::new(GATEWAYS);
    let out = cluster.request_at_all(1);
    assert_eq!(out.len(), LIMIT);
    // Another customer has slots of its own, and released slots can be acquired again.
    assert_eq!(cluster.request_at_all(2).len(), LIMIT);
    for (gateway, id) in out {
        cluster.end_attempt(gateway, id);
    }
    assert_eq!(cluster.request_at_all(1).len(), LIMIT);
}

#[test]
fn a_refusal_at_the_concurrency_limit_says_when_a_slot_may_be_free() {
    let mut cluster = Cluster::new(GATEWAYS);
    cluster.new_request(0, 1);
    cluster.new_request(1, 1);
    let (id, actions) = cluster.new_request(2, 1);
    let wait = actions.iter().find_map(|action| match action {
        Action::Refuse { request, retry_after, .. } if *request == id => Some(*retry_after),
        _ => None,
    });
    assert!(wait.is_some_and(|wait| wait > 0.0), "{actions:?}");
}

#[test]
fn a_slot_is_released_once_for_every_outcome() {
    for outcome in [Outcome::Ok, Outcome::Error, Outcome::NoConnection, Outcome::TimedOut] {
        let mut cluster = Cluster::new(2);
        let (id, actions) = cluster.new_request(0, 1);
        assert_eq!(sends(&actions).len(), 1);
        let mut attempt = 0;
        loop {
            let actions = cluster.hosts[0].end(id, attempt, outcome, None);
            let actions = cluster.run_counter_calls(0, actions);
            if sends(&actions).is_empty() {
                break;
            }
            attempt += 1;
        }
        assert!(cluster.numbers.values().all(|total| *total == 0.0), "{outcome:?}: {:?}", cluster.numbers);
    }
}

#[test]
fn slots_of_crashed_gateways_become_free_again() {
    let mut cluster = Cluster::new(GATEWAYS);
    assert_eq!(cluster.request_at_all(1).len(), LIMIT);
    // Those slots are never released. The longest deadline of a request is 4 s.
    for host in &mut cluster.hosts {
        host.now += 4000.0;
    }
    assert_eq!(cluster.request_at_all(1).len(), LIMIT);
}

#[test]
fn requests_are_forwarded_when_the_counter_gives_no_answer() {
    for result in [AddResult::NotAdded, AddResult::Unknown] {
        let mut host = TestHost::seeded(Settings { counter: true, ..settings() }, 7, &[server(1)]);
        let (id, actions) = host.new_request(1, LIMITED_PLAN, 0);
        let [Action::Timer { .. }, Action::AddToCounter { key, .. }] = actions[..] else {
            panic!("{actions:?}")
        };
        assert_eq!(sends(&host.event(Event::CounterAnswer { key, result })), [1]);
        let release = host.end(id, 0, Outcome::Ok, None);
        let release = release
            .iter()
            .filter(|action| matches!(action, Action::AddToCounter { amount, .. } if *amount < 0.0));
        // An amount that may have been added is returned, one that was not added is not.
        assert_eq!(release.count(), usize::from(result == AddResult::Unknown));
        // An answer without a matching call is ignored.
        assert!(host.event(Event::CounterAnswer { key: 5, result }).is_empty());
    }
}

#[test]
fn a_slot_acquired_after_the_client_disconnected_is_released() {
    let mut host = TestHost::seeded(Settings { counter: true, ..settings() }, 7, &[server(1)]);
    let (id, actions) = host.new_request(1, LIMITED_PLAN, 0);
    let [_, Action::AddToCounter { key, .. }] = actions[..] else { panic!("{actions:?}") };
    host.event(Event::ClientDisconnected(id));
    let actions = host.event(Event::CounterAnswer { key, result: AddResult::Total(1.0) });
    assert!(matches!(actions[..], [Action::AddToCounter { amount: -1.0, .. }]), "{actions:?}");
}

// A busy counter rejects a call without adding anything. If a rejected release is not retried, the customer has one
// slot less at all gateways until the window ends, which is as long as the longest deadline.
#[test]
fn a_release_that_the_counter_rejects_is_retried_until_it_succeeds() {
    let mut host = TestHost::seeded(Settings { counter: true, ..settings() }, 7, &[server(1)]);
    let (id, actions) = host.new_request(1, LIMITED_PLAN, 0);
    let [_, Action::AddToCounter { key, .. }] = actions[..] else { panic!("{actions:?}") };
    host.event(Event::CounterAnswer { key, result: AddResult::Total(1.0) });
    let is_release =
        |action: &Action| matches!(action, Action::AddToCounter { key: of, amount: -1.0, .. } if *of == key);
    let mut releases = host.end(id, 0, Outcome::Ok, None).iter().filter(|action| is_release(action)).count();
    for _ in 0..3 {
        assert_eq!(releases, 1);
        let actions = host.event(Event::CounterAnswer { key, result: AddResult::NotAdded });
        assert!(!actions.iter().any(is_release), "an immediate retry keeps the counter busy");
        releases = host.run_timers(host.now + 500.0).iter().filter(|action| is_release(action)).count();
    }
    assert_eq!(releases, 1);
    host.event(Event::CounterAnswer { key, result: AddResult::Total(0.0) });
    assert!(!host.run_timers(host.now + 4000.0).iter().any(is_release), "released twice");
}

#[test]
fn plans_without_a_concurrency_limit_make_no_counter_calls() {
    let mut cluster = Cluster::new(GATEWAYS);
    for gateway in 0..cluster.hosts.len() {
        let (id, actions) = cluster.hosts[gateway].new_request(1, 3, 0);
        cluster.run_counter_calls(gateway, actions);
        cluster.end_attempt(gateway, id);
    }
    assert_eq!(cluster.calls, 0);
}

#[test]
fn gateways_that_started_before_and_after_a_step_of_the_wall_clock_share_a_concurrency_limit() {
    const STEP: Millis = 3_600_000.0;
    let mut cluster = Cluster::new(20);
    for (n, host) in cluster.hosts.iter_mut().enumerate() {
        if n % 2 == 0 {
            host.event(Event::WallClockStepped { offset: STEP });
        } else {
            // Its clock started after the step.
            host.now += STEP;
        }
    }
    assert_eq!(cluster.request_at_all(1).len(), LIMIT);
}

#[test]
fn the_concurrency_limit_holds_over_all_gateways_when_the_counter_is_replaced() {
    let mut cluster = Cluster::new(GATEWAYS);
    let out = cluster.request_at_all(1);
    cluster.numbers.clear();
    for gateway in 0..cluster.hosts.len() {
        let actions = cluster.hosts[gateway].event(Event::CounterReplaced);
        cluster.run_counter_calls(gateway, actions);
    }
    assert_eq!(cluster.request_at_all(1).len(), 0, "attempts in flight count on the new counter");
    for (gateway, id) in out {
        cluster.end_attempt(gateway, id);
    }
    assert!(cluster.numbers.values().all(|total| *total == 0.0), "{:?}", cluster.numbers);
    assert_eq!(cluster.request_at_all(1).len(), LIMIT);
}

#[test]
fn a_slot_reacquired_after_its_request_ended_is_released() {
    let mut host = TestHost::seeded(Settings { counter: true, ..settings() }, 7, &[server(1)]);
    let (id, actions) = host.new_request(1, LIMITED_PLAN, 0);
    let [_, Action::AddToCounter { key, .. }] = actions[..] else { panic!("{actions:?}") };
    host.event(Event::CounterAnswer { key, result: AddResult::Total(1.0) });
    let reacquire = host.event(Event::CounterReplaced);
    assert!(matches!(reacquire[..], [Action::AddToCounter { amount: 1.0, .. }]), "{reacquire:?}");
    assert!(!host
        .end(id, 0, Outcome::Ok, None)
        .iter()
        .any(|action| matches!(action, Action::AddToCounter { .. })));
    let release = host.event(Event::CounterAnswer { key, result: AddResult::Unknown });
    assert!(matches!(release[..], [Action::AddToCounter { amount: -1.0, .. }]), "{release:?}");
}
