//! Random admission within a customer's quota, and the estimates that set its probability.

mod common;

use common::*;
use springusher::*;

/// Sends requests at `rate` per second for `seconds`, where each response carries the reading `quota_usage`.
/// Returns how many were forwarded to a server.
fn send_at_rate(host: &mut TestHost, rate: f64, seconds: f64, class: usize, quota_usage: f64) -> f64 {
    let mut sent = 0.0;
    for _ in 0..(rate * seconds) as u32 {
        host.now += 1000.0 / rate;
        let (id, actions) = host.new_request(1, 0, class);
        if !sends(&actions).is_empty() {
            sent += 1.0;
            host.end(id, 0, Outcome::Ok, Some(quota_usage));
        }
    }
    sent
}

#[test]
fn a_customer_within_its_quota_is_never_refused() {
    let mut host = TestHost::new(settings(), &[server(1)]);
    assert_eq!(send_at_rate(&mut host, 5.0, 20.0, 0, 0.5), 100.0);
}

/// Sends a request every 25 ms for 30 s, with the classes in turn. The meter has periods of 500 ms and reports
/// each one period late. Returns how many requests of each class were forwarded in the last 20 s.
fn send_at_four_times_the_quota(classes: &[usize]) -> Vec<f64> {
    let mut host = TestHost::new(settings(), &[server(1)]);
    let mut periods = [0.0; 62];
    let mut sent = vec![0.0; 3];
    for step in 0..1200 {
        host.now += 25.0;
        let period = (host.now / 500.0) as usize;
        let class = classes[step % classes.len()];
        let (id, actions) = host.new_request(1, 0, class);
        if !sends(&actions).is_empty() {
            periods[period] += 1.0;
            sent[class] += f64::from(u8::from(host.now > 10_000.0));
            host.end(id, 0, Outcome::Ok, (period >= 2).then(|| periods[period - 2] / 5.0));
        }
    }
    sent
}

#[test]
fn a_customer_at_four_times_its_quota_gets_about_its_quota() {
    let sent = send_at_four_times_the_quota(&[0])[0];
    assert!((150.0..220.0).contains(&sent), "{sent} of 800 requests forwarded, the quota is 200");
}

#[test]
fn usage_through_other_gateways_counts_against_the_quota() {
    let mut host = TestHost::new(settings(), &[server(1)]);
    send_at_rate(&mut host, 10.0, 10.0, 0, 4.0);
    let sent = send_at_rate(&mut host, 10.0, 20.0, 0, 4.0);
    assert!(sent < 100.0, "{sent} of 200 requests forwarded though total usage is four times the quota");
    assert!(sent > 0.0, "nothing forwarded despite the least admission chance");
}

#[test]
fn without_a_meter_the_local_token_bucket_enforces_the_quota() {
    let mut host = TestHost::new(Settings { meter_period: 0.0, ..settings() }, &[server(1)]);
    let (plan, sent) = (settings().plans[0], send_at_rate(&mut host, 40.0, 30.0, 0, 0.0));
    let max_units = plan.burst + plan.rate * 30.0;
    assert!(sent <= max_units, "{sent} of 1200 requests forwarded, the quota allows {max_units}");
}

#[test]
fn the_class_of_the_lowest_worth_is_refused_first() {
    let sent = send_at_four_times_the_quota(&[0, 1, 1, 1]);
    assert!(
        sent[0] > 120.0 && sent[1] < 60.0,
        "forwarded {} of 200 requests of high worth, {} of 600 of low worth",
        sent[0],
        sent[1]
    );
}

/// One of fifty gateways, all of which receive requests of each customer.
fn one_of_fifty() -> TestHost {
    let servers: Vec<_> = (1..=40).map(server).collect();
    TestHost::new(Settings { gateways: 50, ..settings() }, &servers)
}

/// Sends one request of such a customer, which is answered at once if it is admitted. Returns whether it was.
fn request_admitted(
    host: &mut TestHost,
    id: RequestId,
    customer: CustomerId,
    quota_usage: Option<f64>,
) -> bool {
    let (units, expires_in) = (1.0, 4000.0);
    let request =
        Request { id, customer, plan: 0, class: 0, units, spread: 50, expires_in, is_client_retry: false };
    let admitted = !sends(&host.event(Event::Request(request))).is_empty();
    if admitted {
        host.end(id, 0, Outcome::Ok, quota_usage);
    }
    admitted
}

/// Sends requests of one such customer at `rate` per second for `seconds`, without meter readings. Returns how
/// many were admitted in the second half of the time, and how many were sent then.
fn send_to_one_of_fifty(rate: f64, seconds: f64) -> (f64, f64) {
    let mut host = one_of_fifty();
    let (mut admitted, mut requests) = (0.0, 0.0);
    for id in 1..=(rate * seconds) as u64 {
        host.now += 1000.0 / rate;
        let is_admitted = request_admitted(&mut host, id, 1, None);
        if host.now > seconds * 500.0 {
            requests += 1.0;
            admitted += f64::from(u8::from(is_admitted));
        }
    }
    (admitted, requests)
}

#[test]
fn without_readings_a_heavy_customer_is_detected_from_its_requests_here_times_the_spread() {
    // The quota is 10 units per second over fifty gateways: 0.2 per second here.
    let (admitted, requests) = send_to_one_of_fifty(2.0, 400.0);
    assert!(
        admitted < 0.3 * requests && admitted > 0.0,
        "{admitted} of {requests} admitted at ten times the quota"
    );
}

#[test]
fn a_customer_with_one_request_here_in_many_seconds_is_admitted() {
    let (admitted, requests) = send_to_one_of_fifty(0.05, 2000.0);
    assert!(admitted > 0.9 * requests, "{admitted} of {requests} admitted at a quarter of the quota");
}

#[test]
fn usage_of_the_first_customers_of_a_plan_sets_the_estimate_for_later_ones() {
    let admitted_later = |quota_usage: f64| {
        let mut host = one_of_fifty();
        let mut admitted = 0;
        for customer in 1..=400 {
            host.now += 5.0;
            admitted += u32::from(
                request_admitted(&mut host, customer, customer, Some(quota_usage)) && customer > 200,
            );
        }
        admitted
    };
    let (light, heavy) = (admitted_later(0.2), admitted_later(4.0));
    assert!(light > 190, "{light} of 200 admitted where earlier customers use a fifth of their quota");
    assert!(heavy < 150, "{heavy} of 200 admitted where earlier customers use four times their quota");
}

#[test]
fn a_retry_after_the_latency_target_takes_no_quota() {
    let mut host = TestHost::new(settings(), &[server(1)]);
    for _ in 0..3 {
        host.now += 500.0;
        let (id, _) = host.new_request(1, 0, 0);
        host.end(id, 0, Outcome::Ok, Some(0.5));
    }
    // A first request has 4 s until its client gives up. A retry with 2.9 s left is beyond the target of 1 s.
    assert!(refused(&host.retry_request(1, 0, 2900.0)));
    assert!(!refused(&host.retry_request(1, 0, 3900.0)));
}

#[test]
fn a_nan_reading_is_ignored() {
    let mut host = TestHost::new(settings(), &[server(1)]);
    assert_eq!(send_at_rate(&mut host, 5.0, 5.0, 0, f64::NAN), 25.0);
    send_at_rate(&mut host, 10.0, 10.0, 0, 4.0);
    send_at_rate(&mut host, 10.0, 1.0, 0, f64::NAN);
    let sent = send_at_rate(&mut host, 10.0, 20.0, 0, 4.0);
    assert!(sent < 100.0, "{sent} of 200 requests forwarded though total usage is four times the quota");
}

#[test]
fn a_surge_is_assumed_to_arrive_at_the_other_gateways_too() {
    // A quota of 10 units per second with a burst of 20, and no reading yet.
    let sent = |spread: u32| {
        let mut host = TestHost::new(settings(), &[server(1)]);
        let mut sent = 0;
        for id in 1..=40 {
            host.now += 10.0;
            let request = Request {
                id,
                customer: 1,
                plan: 0,
                class: 0,
                units: 1.0,
                spread,
                expires_in: 4000.0,
                is_client_retry: false,
            };
            if !sends(&host.event(Event::Request(request))).is_empty() {
                sent += 1;
                host.end(id, 0, Outcome::Ok, None);
            }
        }
        sent
    };
    let (alone, shared) = (sent(1), sent(4));
    assert!(shared < alone, "{shared} requests of a surge forwarded with four gateways, {alone} with one");
    assert!(shared > 0, "nothing forwarded with four gateways");
}

#[test]
fn a_random_refusal_carries_a_varying_retry_after() {
    let mut host = TestHost::new(settings(), &[server(1)]);
    let mut waits = Vec::new();
    for id in 1..=400 {
        host.now += 5.0;
        for action in host.new_request(1, 0, 0).1 {
            match action {
                Action::Refuse { retry_after, .. } => waits.push(retry_after),
                Action::Send { request, .. } => drop(host.end(request, 0, Outcome::Ok, Some(4.0))),
                _ => {}
            }
        }
        assert!(id < 400 || !waits.is_empty(), "no request was refused");
    }
    assert!(waits.iter().all(|wait| (50.0..=500.0).contains(wait)), "{waits:?}");
    let spread = waits.iter().copied().fold(0.0, f64::max) - waits.iter().copied().fold(500.0, f64::min);
    assert!(spread > 50.0, "retry_after hardly varies: {waits:?}");
}
