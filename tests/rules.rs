//! Rules that every decision has to keep, each tested through the public interface: one final answer in time, no
//! repetition of requests that must not run twice, no attempts to draining servers, few to cold ones, and the ceiling.

mod common;

use common::*;
use springusher::*;

#[test]
fn a_request_without_a_response_fails_before_its_client_gives_up() {
    let mut host = TestHost::new(settings(), &[server(1)]);
    let (_, actions) = host.new_request(1, 3, 1);
    assert_eq!(sends(&actions), [1]);
    let actions = host.run_timers(4000.0);
    assert!(failed(&actions) && !refused(&actions));
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_neither_repeated_nor_refused() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut host = TestHost::new(settings(), &[server(1), server(2)]);
        let (id, _) = host.new_request(1, 3, 1);
        let actions = host.end(id, 0, outcome, None);
        assert!(sends(&actions).is_empty() && !refused(&actions) && failed(&actions), "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_did_not_run_is_sent_to_another_server() {
    let mut host = TestHost::new(settings(), &[server(1), server(2)]);
    let (id, first) = host.new_request(1, 3, 1);
    let again = sends(&host.end(id, 0, Outcome::Overloaded, None));
    assert_eq!(again.len(), 1);
    assert_ne!(again, sends(&first));
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_dedup_zone_and_window() {
    let other_zone = ServerEntry { zone: 1, ..server(2) };
    let mut host = TestHost::new(settings(), &[server(1), other_zone]);
    let (id, first) = host.new_request(1, 3, 2);
    assert_eq!(sends(&first), [1]);
    let again = sends(&host.end(id, 0, Outcome::Reset, None));
    assert!(again.iter().all(|server| *server == 1), "sent to another zone: {again:?}");
    let (id, _) = host.new_request(1, 3, 2);
    host.now += 1600.0;
    assert!(sends(&host.end(id, 0, Outcome::Reset, None)).is_empty(), "sent again after the dedup window");
}

#[test]
fn a_draining_server_gets_no_attempts_after_the_list_update() {
    let mut host = TestHost::new(settings(), &[server(1), server(2)]);
    let entries = vec![ServerEntry { lifecycle: Lifecycle::Draining, ..server(1) }];
    host.event(Event::Servers { kind: ListKind::Delta, entries });
    for _ in 0..50 {
        let (id, actions) = host.new_request(1, 3, 0);
        assert_eq!(sends(&actions), [2]);
        host.end(id, 0, Outcome::Ok, None);
    }
}

#[test]
fn a_cold_server_gets_fewer_attempts_than_its_warm_up_allows() {
    let cold = ServerEntry { started_at: Some(0.0), ..server(9) };
    let mut host = TestHost::new(settings(), &[server(1), server(2), server(3), cold]);
    let (mut to_cold, mut to_warm) = (0, 0);
    let mut in_flight = std::collections::VecDeque::new();
    for _ in 0..300 {
        host.now += 10.0;
        let (id, actions) = host.new_request(1, 3, 0);
        for target in sends(&actions) {
            if target == 9 {
                to_cold += 1;
            } else {
                to_warm += 1;
            }
        }
        if sends(&actions) == [9] {
            // The cold server responds at once, so that it looks better than the busy warm ones.
            host.end(id, 0, Outcome::Ok, None);
            continue;
        }
        in_flight.push_back(id);
        if in_flight.len() > 12 {
            let oldest = in_flight.pop_front().expect("not empty");
            host.end(oldest, 0, Outcome::Ok, None);
        }
    }
    assert!(to_cold > 0, "the cold server got no attempts, so it would never warm up");
    // The three warm servers got `to_warm` attempts. The cold one has 0.25 to 0.48 of a warm one's capacity in this
    // time and collapses at twice that.
    assert!(
        f64::from(to_cold) < 2.0 * 0.48 * f64::from(to_warm) / 3.0,
        "{to_cold} attempts to the cold server, {to_warm} to three warm ones"
    );
}

#[test]
fn the_share_of_a_ceiling_fills_from_the_start_and_is_never_overdrawn() {
    let mut host = TestHost::new(settings(), &[server(1)]);
    let mut sent = 0.0;
    for step in 1..=4000 {
        host.now = f64::from(step) * 2.0;
        let (id, actions) = host.new_request(1, 1, 0);
        if !sends(&actions).is_empty() {
            sent += 1.0;
            host.end(id, 0, Outcome::Ok, Some(0.1));
        }
        // Half of the ceiling of 20 units per second, as two gateways share the customer.
        assert!(sent <= 10.0 * host.now / 1000.0, "{sent} requests forwarded after {} ms", host.now);
    }
    assert!(sent > 50.0, "only {sent} requests forwarded");
}

#[test]
fn a_request_event_delivered_twice_leads_to_one_attempt_and_one_answer() {
    let mut host = TestHost::new(settings(), &[server(1), server(2), server(3), server(4)]);
    let (id, first) = host.new_request(1, 3, 1);
    let request = Request {
        id,
        customer: 1,
        plan: 3,
        class: 1,
        units: 1.0,
        spread: 2,
        expires_in: 4000.0,
        is_client_retry: false,
    };
    assert_eq!(sends(&first).len(), 1);
    assert!(host.event(Event::Request(request)).is_empty());
    host.end(id, 0, Outcome::Reset, None);
    let finals =
        host.actions.iter().filter(|action| matches!(action, Action::Fail(_) | Action::Refuse { .. }));
    assert_eq!(finals.count(), 1);
}

#[test]
fn requests_beyond_the_concurrency_limit_wait_for_an_attempt_to_end() {
    let mut host = TestHost::new(settings(), &[server(1), server(2), server(3), server(4), server(5)]);
    let (first, _) = host.new_request(1, 2, 0);
    host.new_request(1, 2, 0);
    let (third, actions) = host.new_request(1, 2, 0);
    assert!(sends(&actions).is_empty() && !refused(&actions));
    let actions = host.end(first, 0, Outcome::Ok, None);
    assert!(actions.iter().any(|action| matches!(action, Action::Send { request, .. } if *request == third)));
}

#[test]
fn an_invalid_setting_is_named_in_the_error() {
    let invalid: [(&str, Settings); 4] = [
        ("gateways", Settings { gateways: 0, ..settings() }),
        ("max_attempts", Settings { max_attempts: 0, ..settings() }),
        ("meter_period", Settings { meter_period: f64::NAN, ..settings() }),
        ("plans[0].rate", Settings { plans: vec![Plan { rate: -1.0, ..Plan::default() }], ..settings() }),
    ];
    for (field, settings) in invalid {
        assert_eq!(Gateway::new(settings, 1, 0.0).expect_err(field).field, field);
    }
}

/// Lets 200 gateways send five requests each at once to a fleet of ten servers, of which `cold` have just started.
/// Returns how many attempts go to cold servers and how many to warm ones.
fn attempts_of_two_hundred_gateways(cold: u32) -> (usize, usize) {
    let fleet: Vec<_> =
        (0..10).map(|id| ServerEntry { started_at: (id < cold).then_some(100.0), ..server(id) }).collect();
    let (mut to_cold, mut to_warm) = (0, 0);
    for ordinal in 0..200 {
        let settings = Settings { gateways: 200, ordinal, ..settings() };
        let mut gateway = Gateway::new(settings, u64::from(ordinal), 0.0).expect("valid settings");
        let mut actions = Vec::new();
        gateway.handle(100.0, Event::Servers { kind: ListKind::Full, entries: fleet.clone() }, &mut actions);
        for id in 1..=5 {
            let (customer, plan, class, units, spread) = (id, 3, 0, 1.0, 200);
            let (expires_in, is_client_retry) = (4000.0, false);
            let request = Request { id, customer, plan, class, units, spread, expires_in, is_client_retry };
            gateway.handle(100.0, Event::Request(request), &mut actions);
        }
        let targets = sends(&actions);
        to_cold += targets.iter().filter(|id| **id < cold).count();
        to_warm += targets.iter().filter(|id| **id >= cold).count();
    }
    (to_cold, to_warm)
}

#[test]
fn hundreds_of_gateways_together_send_a_cold_server_its_share_of_capacity() {
    let (cold, warm) = attempts_of_two_hundred_gateways(1);
    // The cold server has a quarter of a warm one's capacity and collapses at twice that load.
    assert!(
        cold > 0 && (cold as f64) < 0.4 * warm as f64 / 9.0,
        "{cold} attempts to the cold server, {warm} to nine warm ones"
    );
}

#[test]
fn an_entirely_cold_fleet_gets_part_of_the_requests_and_the_rest_is_refused() {
    let (_, warm) = attempts_of_two_hundred_gateways(0);
    let (cold, _) = attempts_of_two_hundred_gateways(10);
    // A cold server has a quarter of a warm one's capacity and collapses at twice that load.
    assert!(cold > warm / 5 && cold < warm / 2, "{cold} attempts to a cold fleet, {warm} to a warm one");
}
