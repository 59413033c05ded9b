//! Servers that fail or hang, as one gateway sees them.

mod common;

use common::*;
use springusher::*;
use std::collections::BTreeMap;

/// Sends `rounds` requests, one every 20 ms. `answer` gives the outcome for a server and the number of attempts sent to
/// it so far, `None` if the attempt never ends. An attempt with an outcome ends when 3 later ones are in flight. Returns
/// the number of attempts sent to each server.
fn run(
    host: &mut TestHost,
    rounds: usize,
    answer: impl Fn(ServerId, usize) -> Option<Outcome>,
) -> BTreeMap<ServerId, usize> {
    run_with_in_flight(host, rounds, 3, answer)
}

/// Like [`run`], with `max_in_flight` later attempts instead of 3.
fn run_with_in_flight(
    host: &mut TestHost,
    rounds: usize,
    max_in_flight: usize,
    answer: impl Fn(ServerId, usize) -> Option<Outcome>,
) -> BTreeMap<ServerId, usize> {
    let mut sent = BTreeMap::new();
    let mut in_flight = std::collections::VecDeque::new();
    for _ in 0..rounds {
        host.now += 20.0;
        let (id, actions) = host.new_request(1, 3, 1);
        for target in sends(&actions) {
            *sent.entry(target).or_insert(0) += 1;
            if let Some(outcome) = answer(target, sent[&target]) {
                in_flight.push_back((id, outcome));
            }
        }
        if in_flight.len() > max_in_flight {
            let (id, outcome) = in_flight.pop_front().expect("not empty");
            host.end(id, 0, outcome, None);
        }
    }
    sent
}

fn host_with_six_servers() -> TestHost {
    let servers: Vec<_> = (1..=6).map(server).collect();
    TestHost::new(settings(), &servers)
}

#[test]
fn a_hung_server_soon_gets_no_new_attempts() {
    let servers: Vec<_> = (1..=3).map(server).collect();
    let mut host = TestHost::new(Settings { gateways: 1, ..settings() }, &servers);
    run_with_in_flight(&mut host, 40, 9, |_, _| Some(Outcome::Ok));
    let sent = run_with_in_flight(&mut host, 600, 9, |server, _| (server != 1).then_some(Outcome::Ok));
    assert!(sent[&1] <= 7 && sent[&2] > 100, "{sent:?}");
}

#[test]
fn a_server_that_fails_fast_attracts_no_load() {
    let sent = run(&mut host_with_six_servers(), 600, |server, _| {
        Some(if server == 1 { Outcome::Error } else { Outcome::Ok })
    });
    assert!(sent[&1] < 40, "{sent:?}");
}

#[test]
fn a_server_that_fails_half_of_its_attempts_gets_fewer() {
    let flaky = |server, n: usize| Some(if server == 1 && n % 2 == 0 { Outcome::Error } else { Outcome::Ok });
    let sent = run(&mut host_with_six_servers(), 600, flaky);
    let others = sent.values().sum::<usize>() - sent[&1];
    assert!(sent[&1] * 2 < others / 5, "{sent:?}");
}

#[test]
fn a_fleet_whose_servers_all_fail_still_gets_requests() {
    let mut host = host_with_six_servers();
    run(&mut host, 60, |_, _| Some(Outcome::Error));
    let (_, actions) = host.new_request(1, 3, 1);
    assert_eq!(sends(&actions).len(), 1);
}

#[test]
fn ejection_and_recovery_are_logged() {
    let mut host = host_with_six_servers();
    run(&mut host, 2000, |server, n| Some(if server == 1 && n < 4 { Outcome::Error } else { Outcome::Ok }));
    let lines: Vec<_> = host.actions.iter().filter(|action| matches!(action, Action::Log(_))).collect();
    assert!(
        format!("{lines:?}").contains("ejected") && format!("{lines:?}").contains("answers again"),
        "{lines:?}"
    );
}

#[test]
fn without_any_server_requests_are_refused() {
    let mut host = TestHost::new(settings(), &[]);
    assert!(refused(&host.new_request(1, 3, 1).1));
}

#[test]
fn a_server_that_failed_for_a_while_is_used_again() {
    let mut host = host_with_six_servers();
    run(&mut host, 300, |server, n| Some(if server == 1 && n < 40 { Outcome::Error } else { Outcome::Ok }));
    let sent = run(&mut host, 3000, |_, _| Some(Outcome::Ok));
    assert!(sent[&1] > 100, "{sent:?}");
}

#[test]
fn invalid_requests_do_not_count_against_the_servers_that_reject_them() {
    let mut host = host_with_six_servers();
    let sent = run(&mut host, 300, |server, _| {
        Some(if server == 1 { Outcome::InvalidRequest } else { Outcome::Ok })
    });
    let ejected =
        host.actions.iter().any(|action| matches!(action, Action::Log(line) if line.contains("ejected")));
    assert!(sent[&1] >= 10 && !ejected, "{sent:?}");
}
