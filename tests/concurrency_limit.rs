//! The cap on attempts out at once, which all gateways share: many of them, one counter, a made-up clock.

mod common;

use common::*;
use springusher::*;
use std::collections::BTreeMap;

const GATEWAYS: u32 = 100;
/// A plan whose customers may have two attempts out.
const CAPPED: usize = 2;
const CAP: usize = 2;

/// The gateways and the counter between them, which answers at once.
struct World {
    hosts: Vec<TestHost>,
    numbers: BTreeMap<CounterKey, f64>,
    calls: usize,
}

impl World {
    fn new(gateways: u32) -> World {
        let servers: Vec<_> = (1..=60).map(server).collect();
        let told = |ordinal| Settings { gateways, ordinal, counter: true, ..settings() };
        let host = |ordinal| TestHost::seeded(told(ordinal), u64::from(ordinal), &servers);
        World { hosts: (0..gateways).map(host).collect(), numbers: BTreeMap::new(), calls: 0 }
    }

    /// Carries out the calls of the counter among the actions, and those that follow from them.
    fn count(&mut self, gateway: usize, actions: Vec<Action>) -> Vec<Action> {
        let mut all = Vec::new();
        for action in actions {
            if let Action::AddToCounter { key, amount, .. } = action {
                self.calls += 1;
                let total = self.numbers.entry(key).or_insert(0.0);
                *total += amount;
                let result = AddResult::Total(*total);
                let next = self.hosts[gateway].event(Event::CounterAnswer { key, result });
                all.extend(self.count(gateway, next));
            }
            all.push(action);
        }
        all
    }

    fn new_request(&mut self, gateway: usize, customer: CustomerId) -> (RequestId, Vec<Action>) {
        let (id, actions) = self.hosts[gateway].new_request(customer, CAPPED, 0);
        (id, self.count(gateway, actions))
    }

    fn end(&mut self, gateway: usize, id: RequestId) {
        let actions = self.hosts[gateway].end(id, 0, Outcome::Ok, None);
        self.count(gateway, actions);
    }

    /// One request of the same customer through each gateway; those that were sent on.
    fn ask_all(&mut self, customer: CustomerId) -> Vec<(usize, RequestId)> {
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
fn all_gateways_together_keep_a_customer_within_its_cap() {
    let mut world = World::new(GATEWAYS);
    let out = world.ask_all(1);
    assert_eq!(out.len(), CAP);
    // Places that are given back are there for others, and another customer has its own.
    assert_eq!(world.ask_all(2).len(), CAP);
    for (gateway, id) in out {
        world.end(gateway, id);
    }
    assert_eq!(world.ask_all(1).len(), CAP);
}

#[test]
fn a_refusal_for_want_of_a_place_says_when_one_may_be_free() {
    let mut world = World::new(GATEWAYS);
    world.new_request(0, 1);
    world.new_request(1, 1);
    let (id, actions) = world.new_request(2, 1);
    let wait = actions.iter().find_map(|action| match action {
        Action::Refuse { request, retry_after, .. } if *request == id => Some(*retry_after),
        _ => None,
    });
    assert!(wait.is_some_and(|wait| wait > 0.0), "{actions:?}");
}

#[test]
fn a_place_is_given_back_once_however_a_request_ends() {
    for outcome in [Outcome::Ok, Outcome::Error, Outcome::NoConnection, Outcome::TimedOut] {
        let mut world = World::new(2);
        let (id, actions) = world.new_request(0, 1);
        assert_eq!(sends(&actions).len(), 1);
        let mut attempt = 0;
        loop {
            let actions = world.hosts[0].end(id, attempt, outcome, None);
            let actions = world.count(0, actions);
            if sends(&actions).is_empty() {
                break;
            }
            attempt += 1;
        }
        assert!(world.numbers.values().all(|total| *total == 0.0), "{outcome:?}: {:?}", world.numbers);
    }
}

#[test]
fn places_of_gateways_that_died_are_not_taken_for_good() {
    let mut world = World::new(GATEWAYS);
    assert_eq!(world.ask_all(1).len(), CAP);
    // Nobody gives those back. A request lives 4 s at the longest.
    for host in &mut world.hosts {
        host.now += 4000.0;
    }
    assert_eq!(world.ask_all(1).len(), CAP);
}

#[test]
fn without_word_from_the_counter_requests_go_on() {
    for result in [AddResult::NotAdded, AddResult::Unknown] {
        let mut host = TestHost::seeded(Settings { counter: true, ..settings() }, 7, &[server(1)]);
        let (id, actions) = host.new_request(1, CAPPED, 0);
        let [Action::Timer { .. }, Action::AddToCounter { key, .. }] = actions[..] else {
            panic!("{actions:?}")
        };
        assert_eq!(sends(&host.event(Event::CounterAnswer { key, result })), [1]);
        let back = host.end(id, 0, Outcome::Ok, None);
        let back = back
            .iter()
            .filter(|action| matches!(action, Action::AddToCounter { amount, .. } if *amount < 0.0));
        // What may have been added is taken off again, and nothing else is.
        assert_eq!(back.count(), usize::from(result == AddResult::Unknown));
        // An answer that nobody waits for is passed over.
        assert!(host.event(Event::CounterAnswer { key: 5, result }).is_empty());
    }
}

#[test]
fn a_client_that_leaves_while_its_place_is_asked_for_takes_none() {
    let mut host = TestHost::seeded(Settings { counter: true, ..settings() }, 7, &[server(1)]);
    let (id, actions) = host.new_request(1, CAPPED, 0);
    let [_, Action::AddToCounter { key, .. }] = actions[..] else { panic!("{actions:?}") };
    host.event(Event::ClientDisconnected(id));
    let actions = host.event(Event::CounterAnswer { key, result: AddResult::Total(1.0) });
    assert!(matches!(actions[..], [Action::AddToCounter { amount: -1.0, .. }]), "{actions:?}");
}

// A counter that is busy turns a call away with nothing added. Where that call gave a place back, nobody gave it back
// again, and the customer had one place less through all gateways until the stretch of time ended, which is as long
// as the longest deadline.
#[test]
fn a_place_that_the_counter_does_not_take_back_is_given_back_soon() {
    let mut host = TestHost::seeded(Settings { counter: true, ..settings() }, 7, &[server(1)]);
    let (id, actions) = host.new_request(1, CAPPED, 0);
    let [_, Action::AddToCounter { key, .. }] = actions[..] else { panic!("{actions:?}") };
    host.event(Event::CounterAnswer { key, result: AddResult::Total(1.0) });
    let gives_back =
        |action: &Action| matches!(action, Action::AddToCounter { key: of, amount: -1.0, .. } if *of == key);
    let mut tries = host.end(id, 0, Outcome::Ok, None).iter().filter(|action| gives_back(action)).count();
    for _ in 0..3 {
        assert_eq!(tries, 1);
        let actions = host.event(Event::CounterAnswer { key, result: AddResult::NotAdded });
        assert!(!actions.iter().any(gives_back), "asked again at once, the counter stays busy");
        tries = host.run_timers(host.now + 500.0).iter().filter(|action| gives_back(action)).count();
    }
    assert_eq!(tries, 1);
    host.event(Event::CounterAnswer { key, result: AddResult::Total(0.0) });
    assert!(!host.run_timers(host.now + 4000.0).iter().any(gives_back), "given back twice");
}

#[test]
fn plans_without_a_cap_cost_no_call() {
    let mut world = World::new(GATEWAYS);
    for gateway in 0..world.hosts.len() {
        let (id, actions) = world.hosts[gateway].new_request(1, 3, 0);
        world.count(gateway, actions);
        world.end(gateway, id);
    }
    assert_eq!(world.calls, 0);
}

#[test]
fn gateways_that_started_before_and_after_a_step_of_the_wall_clock_share_a_cap() {
    const STEP: Millis = 3_600_000.0;
    let mut world = World::new(20);
    for (n, host) in world.hosts.iter_mut().enumerate() {
        if n % 2 == 0 {
            host.event(Event::WallClockStepped { offset: STEP });
        } else {
            // Its clock began behind the step.
            host.now += STEP;
        }
    }
    assert_eq!(world.ask_all(1).len(), CAP);
}

#[test]
fn a_cap_holds_over_all_gateways_when_the_counter_moves() {
    let mut world = World::new(GATEWAYS);
    let out = world.ask_all(1);
    world.numbers.clear();
    for gateway in 0..world.hosts.len() {
        let actions = world.hosts[gateway].event(Event::CounterReplaced);
        world.count(gateway, actions);
    }
    assert_eq!(world.ask_all(1).len(), 0, "what is out counts on the new counter");
    for (gateway, id) in out {
        world.end(gateway, id);
    }
    assert!(world.numbers.values().all(|total| *total == 0.0), "{:?}", world.numbers);
    assert_eq!(world.ask_all(1).len(), CAP);
}

#[test]
fn a_place_that_is_taken_again_behind_its_requests_end_is_given_back() {
    let mut host = TestHost::seeded(Settings { counter: true, ..settings() }, 7, &[server(1)]);
    let (id, actions) = host.new_request(1, CAPPED, 0);
    let [_, Action::AddToCounter { key, .. }] = actions[..] else { panic!("{actions:?}") };
    host.event(Event::CounterAnswer { key, result: AddResult::Total(1.0) });
    let again = host.event(Event::CounterReplaced);
    assert!(matches!(again[..], [Action::AddToCounter { amount: 1.0, .. }]), "{again:?}");
    assert!(!host
        .end(id, 0, Outcome::Ok, None)
        .iter()
        .any(|action| matches!(action, Action::AddToCounter { .. })));
    let back = host.event(Event::CounterAnswer { key, result: AddResult::Unknown });
    assert!(matches!(back[..], [Action::AddToCounter { amount: -1.0, .. }]), "{back:?}");
}
