//! Invariants under random sequences of events, generated from a fixed seed.

mod common;

use common::{sends, server, settings, TestHost};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use springusher::*;
use std::collections::BTreeMap;

/// One step of a generated sequence. `pick` selects an attempt in flight or a request, modulo their number.
/// `Unexpected` is a timer that may never have been set, and the end of an attempt that is not in flight.
#[derive(Debug, Clone)]
enum Step {
    Request { customer: u64, plan: usize, class: usize, units: f64, expires_in: f64 },
    AttemptEnd { pick: usize, outcome: usize, quota_usage: Option<f64> },
    Disconnect { pick: usize },
    ServerList { kind: ListKind, servers: Vec<(ServerId, Lifecycle)> },
    Wait { time: f64 },
    Unexpected { id: u64, attempt: u8, token: u64 },
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let quota_usage = prop_oneof![Just(None), Just(Some(f64::NAN)), (0.0..8.0).prop_map(Some)];
    let kinds = prop_oneof![
        Just(ListKind::Delta),
        Just(ListKind::Full),
        Just(ListKind::Cached),
        Just(ListKind::Failed)
    ];
    let state = prop_oneof![Just(Lifecycle::Ready), Just(Lifecycle::Draining), Just(Lifecycle::Gone)];
    let request = (0..4u64, 0..5usize, 0..4usize, 0.0..2.0, prop_oneof![Just(4000.0), 0.0..4000.0]).prop_map(
        |(customer, plan, class, units, expires_in)| Step::Request {
            customer,
            plan,
            class,
            units,
            expires_in,
        },
    );
    let step = prop_oneof![
        6 => request,
        5 => (any::<usize>(), 0..OUTCOMES.len(), quota_usage)
            .prop_map(|(pick, outcome, quota_usage)| Step::AttemptEnd { pick, outcome, quota_usage }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        1 => (kinds, prop::collection::vec((1..6u32, state), 0..5))
            .prop_map(|(kind, servers)| Step::ServerList { kind, servers }),
        4 => (0.0..400.0).prop_map(|time| Step::Wait { time }),
        1 => (0..50u64, any::<u8>(), any::<u64>())
            .prop_map(|(id, attempt, token)| Step::Unexpected { id, attempt, token }),
    ];
    prop::collection::vec(step, 1..250)
}

/// What the host has recorded about one request.
struct RequestRecord {
    plan: usize,
    class: usize,
    customer: u64,
    units: f64,
    deadline: f64,
    answers: u32,
    /// Whether it has its final answer or its client has disconnected.
    closed: bool,
    /// Of each attempt, when it was sent, its outcome (`None` while it is in flight), and its server's zone.
    attempts: Vec<(f64, Option<Outcome>, u16)>,
}

/// A host that checks each action of its gateway.
struct CheckedHost {
    gateway: Gateway,
    settings: Settings,
    now: f64,
    requests: BTreeMap<u64, RequestRecord>,
    listed: BTreeMap<ServerId, Lifecycle>,
    timers: Vec<(f64, u64)>,
    /// Request and index of each attempt in flight.
    in_flight: Vec<(u64, u8)>,
    /// By customer, the units sent of a plan with a ceiling.
    ceiling_sent: BTreeMap<u64, f64>,
    trace: Vec<Action>,
}

impl CheckedHost {
    fn new(may_duplicate: bool) -> CheckedHost {
        let settings = Settings { may_duplicate, ..settings() };
        let gateway = Gateway::new(settings.clone(), 3, 0.0).expect("valid settings");
        let mut host = CheckedHost {
            gateway,
            settings,
            now: 0.0,
            requests: BTreeMap::new(),
            listed: BTreeMap::new(),
            timers: Vec::new(),
            in_flight: Vec::new(),
            ceiling_sent: BTreeMap::new(),
            trace: Vec::new(),
        };
        host.list(ListKind::Full, &[(1, Lifecycle::Ready), (2, Lifecycle::Ready), (3, Lifecycle::Ready)]);
        host
    }

    fn list(&mut self, kind: ListKind, servers: &[(ServerId, Lifecycle)]) {
        if kind != ListKind::Failed {
            if kind != ListKind::Delta {
                self.listed.values_mut().for_each(|state| *state = Lifecycle::Gone);
            }
            self.listed.extend(servers.iter().copied());
        }
        let entry = |&(id, lifecycle): &(ServerId, Lifecycle)| ServerEntry {
            zone: id as u16 % 2,
            lifecycle,
            ..server(id)
        };
        self.event(Event::Servers { kind, entries: servers.iter().map(entry).collect() });
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.trace.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match *action {
            Action::AddToCounter { .. } => panic!("called the counter, though the settings have none"),
            Action::Send { request, server, .. } => {
                assert_eq!(
                    self.listed.get(&server),
                    Some(&Lifecycle::Ready),
                    "sent to a server that is not ready"
                );
                let record = self.requests.get_mut(&request).expect("a known request");
                assert!(!record.closed, "sent after the final answer or the client's disconnection");
                assert!(
                    record.attempts.len() < self.settings.max_attempts as usize,
                    "more attempts than max_attempts"
                );
                let in_flight = record.attempts.iter().any(|attempt| attempt.1.is_none());
                assert!(
                    self.settings.may_duplicate || !in_flight,
                    "two attempts in flight at once, though the settings forbid it"
                );
                let ran = record.attempts.iter().find(|attempt| attempt.1.is_none_or(|end| !end.never_ran()));
                match (self.settings.classes[record.class].idempotency, ran) {
                    (Idempotency::NonIdempotent, Some(_)) => {
                        panic!("a non-idempotent request that may have run was sent again")
                    }
                    (Idempotency::Keyed { window, .. }, Some(ran)) => {
                        assert!(
                            self.now <= ran.0 + window,
                            "a keyed request was sent again after its dedup window"
                        );
                        assert_eq!(
                            ran.2,
                            server as u16 % 2,
                            "a keyed request was sent to another dedup zone"
                        );
                    }
                    _ => {}
                }
                let plan = self.settings.plans[record.plan];
                if record.attempts.is_empty() && plan.ceiling_rate > 0.0 {
                    let sent = self.ceiling_sent.entry(record.customer).or_insert(0.0);
                    *sent += record.units;
                    let share = plan.ceiling_rate / 2.0 * self.now / 1000.0;
                    assert!(
                        *sent <= share + 1e-6,
                        "more was sent than the share of the ceiling: {sent} of {share} units"
                    );
                }
                self.in_flight.push((request, record.attempts.len() as u8));
                record.attempts.push((self.now, None, server as u16 % 2));
            }
            Action::Refuse { request, .. } => {
                let record = self.requests.get(&request).expect("a known request");
                let may_have_run =
                    record.attempts.iter().any(|attempt| attempt.1.is_none_or(|end| !end.never_ran()));
                let idempotent = self
                    .settings
                    .classes
                    .get(record.class)
                    .is_none_or(|class| class.idempotency == Idempotency::Idempotent);
                assert!(
                    idempotent || !may_have_run,
                    "a request that may have run and is not idempotent was refused"
                );
                self.answer(request);
            }
            Action::Fail(request) => self.answer(request),
            Action::Timer { at, token } => {
                assert!(at.is_finite());
                self.timers.push((at, token));
            }
            Action::Cancel { request, attempt } => {
                assert!(usize::from(attempt) < self.requests[&request].attempts.len());
            }
            Action::WatchServers | Action::Log(_) => {}
        }
    }

    fn answer(&mut self, request: u64) {
        let record = self.requests.get_mut(&request).expect("a known request");
        record.answers += 1;
        assert!(!record.closed && record.answers == 1, "a final answer after the request was closed");
        record.closed = true;
    }

    fn wait(&mut self, until: f64) {
        loop {
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.0 <= until);
            let Some((index, _)) = due.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (at, token) = self.timers.swap_remove(index);
            self.now = self.now.max(at);
            self.event(Event::Timer(token));
        }
        self.now = self.now.max(until);
        for (id, record) in &self.requests {
            assert!(
                record.closed || self.now <= record.deadline + self.settings.tick,
                "request {id} has no final answer at its deadline"
            );
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Request { customer, plan, class, units, expires_in } => {
                let id = self.requests.len() as u64 + 1;
                let deadline = self.now + expires_in;
                let attempts = Vec::new();
                let record = RequestRecord {
                    plan,
                    class,
                    customer,
                    units,
                    deadline,
                    answers: 0,
                    closed: false,
                    attempts,
                };
                self.requests.insert(id, record);
                let is_client_retry = id % 3 == 0;
                let request =
                    Request { id, customer, plan, class, units, spread: 2, expires_in, is_client_retry };
                self.event(Event::Request(request));
            }
            Step::AttemptEnd { pick, outcome, quota_usage } if !self.in_flight.is_empty() => {
                let (request, attempt) = self.in_flight.swap_remove(pick % self.in_flight.len());
                let outcome = OUTCOMES[outcome];
                let record = self.requests.get_mut(&request).expect("a known request");
                let sent = &mut record.attempts[usize::from(attempt)];
                sent.1 = Some(outcome);
                let elapsed = self.now - sent.0;
                if outcome == Outcome::Ok && !record.closed {
                    record.closed = true;
                }
                let finished = record.closed;
                self.event(Event::AttemptEnd(AttemptEnd {
                    request,
                    attempt,
                    outcome,
                    elapsed,
                    finished,
                    quota_usage,
                }));
            }
            Step::Disconnect { pick } if !self.requests.is_empty() => {
                let id = (pick % self.requests.len()) as u64 + 1;
                if let Some(record) = self.requests.get_mut(&id) {
                    record.closed = true;
                }
                self.event(Event::ClientDisconnected(id));
            }
            Step::ServerList { kind, ref servers } => self.list(kind, servers),
            Step::Wait { time } => self.wait(self.now + time),
            Step::Unexpected { id, attempt, token } => {
                self.event(Event::Timer(token));
                if !self.in_flight.contains(&(id, attempt)) {
                    let noise = AttemptEnd {
                        request: id,
                        attempt,
                        outcome: Outcome::Error,
                        elapsed: f64::NAN,
                        finished: false,
                        quota_usage: Some(f64::INFINITY),
                    };
                    self.event(Event::AttemptEnd(noise));
                }
            }
            Step::AttemptEnd { .. } | Step::Disconnect { .. } => {}
        }
    }
}

fn run_steps(steps: &[Step], may_duplicate: bool) -> Vec<Action> {
    let mut host = CheckedHost::new(may_duplicate);
    for step in steps {
        host.step(step);
    }
    host.wait(host.now + 5000.0);
    host.trace
}

#[test]
fn the_rules_hold_under_random_sequences_of_events() {
    let config =
        Config { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (steps(), any::<bool>());
    let result = runner.run(&strategy, |(steps, may_duplicate)| {
        let trace = run_steps(&steps, may_duplicate);
        prop_assert_eq!(trace, run_steps(&steps, may_duplicate));
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn idle_customers_removed_servers_and_finished_requests_are_forgotten() {
    let mut gateway = Gateway::new(settings(), 3, 0.0).expect("valid settings");
    let mut actions = Vec::new();
    let mut largest = 0;
    for n in 1..=60_000u32 {
        let now = f64::from(n) * 100.0;
        let entries = vec![server(n)];
        gateway.handle(now, Event::Servers { kind: ListKind::Full, entries }, &mut actions);
        let (id, customer) = (u64::from(n), u64::from(n));
        let request = Request {
            id,
            customer,
            plan: 0,
            class: 0,
            units: 1.0,
            spread: 2,
            expires_in: 4000.0,
            is_client_retry: false,
        };
        gateway.handle(now, Event::Request(request), &mut actions);
        let end = AttemptEnd {
            request: id,
            attempt: 0,
            outcome: Outcome::Ok,
            elapsed: 9.0,
            finished: true,
            quota_usage: None,
        };
        gateway.handle(now, Event::AttemptEnd(end), &mut actions);
        actions.clear();
        if n % 10_000 == 0 {
            let size = format!("{gateway:?}").len();
            assert!(
                n == 10_000 || size < largest * 11 / 10,
                "the state grows from {largest} to {size} characters"
            );
            largest = largest.max(size);
        }
    }
}

#[test]
fn memory_stays_bounded_with_a_long_uptime() {
    let mut host = TestHost::new(settings(), &[server(1), server(2)]);
    let size_after = |host: &mut TestHost, requests: usize| {
        for _ in 0..requests {
            host.now += 20.0;
            for plan in [0, 3] {
                let (id, actions) = host.new_request(plan as u64, plan, 0);
                if !sends(&actions).is_empty() {
                    host.end(id, 0, Outcome::Ok, Some(0.5));
                }
            }
        }
        format!("{:?}", host.gateway).len()
    };
    let early = size_after(&mut host, 2000);
    let late = size_after(&mut host, 20_000);
    assert!(late < early * 3 / 2, "the state grew from {early} to {late} characters");
}
