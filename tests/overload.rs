//! Overload of the servers by customers that are within their quotas.

mod common;

use common::*;
use springusher::*;

/// Sends `count` requests at once and returns how many were forwarded and how many refused.
fn burst(host: &mut TestHost, count: usize, class: usize) -> (usize, usize) {
    let replies: Vec<_> = (0..count).map(|_| host.new_request(1, 3, class).1).collect();
    let forwarded = replies.iter().filter(|actions| !sends(actions).is_empty()).count();
    (forwarded, replies.iter().filter(|actions| refused(actions)).count())
}

/// Ends the request's first attempt successfully after `elapsed`.
fn answer(host: &mut TestHost, request: RequestId, elapsed: f64) {
    let (outcome, finished, quota_usage) = (Outcome::Ok, true, None);
    host.event(Event::AttemptEnd(AttemptEnd {
        request,
        attempt: 0,
        outcome,
        elapsed,
        finished,
        quota_usage,
    }));
}

/// Sends a request every 10 ms for `seconds`, with the classes in turn, each response coming after `elapsed`. Returns
/// how many of each class were forwarded in the second half of the time.
fn send_with_response_time(host: &mut TestHost, classes: &[usize], elapsed: f64, seconds: f64) -> Vec<usize> {
    let mut forwarded = vec![0; 3];
    let mut in_flight = std::collections::VecDeque::new();
    let half = host.now + seconds * 500.0;
    for step in 0..(seconds * 100.0) as usize {
        host.now += 10.0;
        while in_flight.front().is_some_and(|(_, at)| *at <= host.now) {
            let (id, _) = in_flight.pop_front().expect("not empty");
            answer(host, id, elapsed);
        }
        let class = classes[step % classes.len()];
        let (id, actions) = host.new_request(1, 3, class);
        if !sends(&actions).is_empty() {
            forwarded[class] += usize::from(host.now > half);
            in_flight.push_back((id, host.now + elapsed));
        }
    }
    host.now += elapsed;
    for (id, _) in in_flight {
        answer(host, id, elapsed);
    }
    forwarded
}

#[test]
fn late_responses_lead_to_early_refusals() {
    let mut host = TestHost::new(settings(), &[server(1), server(2)]);
    let forwarded = send_with_response_time(&mut host, &[0], 900.0, 20.0)[0];
    assert!(
        forwarded > 0 && forwarded < 100,
        "{forwarded} of 1000 requests forwarded though all responses are late"
    );
}

#[test]
fn low_worth_is_refused_before_high_worth_under_overload() {
    let mut host = TestHost::new(settings(), &[server(1), server(2)]);
    let forwarded = send_with_response_time(&mut host, &[0, 1], 900.0, 20.0);
    assert!(forwarded[0] > 2 * forwarded[1], "requests of high and of low worth forwarded: {forwarded:?}");
}

#[test]
fn a_surge_is_limited_before_its_late_responses_arrive() {
    let servers: Vec<_> = (1..=4).map(server).collect();
    let mut host = TestHost::new(settings(), &servers);
    send_with_response_time(&mut host, &[0], 50.0, 5.0);
    let (forwarded, refused) = burst(&mut host, 1000, 0);
    assert!(forwarded > 8 && forwarded < 60, "{forwarded} requests forwarded at once, {refused} refused");
}

#[test]
fn few_of_thousands_of_retries_are_forwarded_to_overloaded_servers() {
    let servers: Vec<_> = (1..=4).map(server).collect();
    let mut host = TestHost::new(Settings { max_attempts: 1, ..settings() }, &servers);
    let mut forwarded = 0;
    for step in 0..20_000 {
        host.now += 1.0;
        let (id, actions) = host.new_request(1, 3, 0);
        if !sends(&actions).is_empty() {
            forwarded += u32::from(step > 10_000);
            host.end(id, 0, Outcome::Overloaded, None);
        }
    }
    assert!(
        forwarded > 0 && forwarded < 300,
        "{forwarded} of 10000 requests forwarded to overloaded servers"
    );
}

#[test]
fn requests_are_admitted_again_after_a_surge_has_passed() {
    let mut host = TestHost::new(settings(), &[server(1), server(2)]);
    let mut in_flight = Vec::new();
    for _ in 0..30 {
        let (id, actions) = host.new_request(1, 3, 1);
        if !sends(&actions).is_empty() {
            in_flight.push(id);
        }
    }
    host.now += 3000.0;
    for id in in_flight {
        answer(&mut host, id, 3000.0);
    }
    let mut forwarded = 0;
    for _ in 0..50 {
        host.now += 100.0;
        let (id, actions) = host.new_request(1, 3, 0);
        forwarded += sends(&actions).len();
        host.end(id, 0, Outcome::Ok, None);
    }
    assert_eq!(forwarded, 50);
}

#[test]
fn late_responses_alone_do_not_block_admission_to_idle_servers() {
    let servers: Vec<_> = (1..=8).map(server).collect();
    let mut host = TestHost::new(settings(), &servers);
    // The gateway learns a response time of 2.5 s under overload, so no new request could meet its target of 1 s.
    send_with_response_time(&mut host, &[0], 2500.0, 60.0);
    host.now += 5000.0;
    // With two gateways and eight servers, up to 12 attempts from this gateway are assumed to cause no queue.
    assert!(burst(&mut host, 50, 0).0 >= 6);
}
