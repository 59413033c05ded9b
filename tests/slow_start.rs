//! The load on a server in slow start from all gateways together: uneven traffic, retries and hedged attempts, on a
//! simulated clock. Each gateway learns of the server's start at a different time.

mod common;

use common::*;
use oorandom::Rand64;
use springusher::*;
use std::collections::VecDeque;

const SERVERS: u32 = 20;
const COLD_SERVER: ServerId = 1;
/// Requests per second that the fleet is offered for each of its servers.
const REQUESTS_PER_SERVER: f64 = 80.0;

/// Greatest excess, during its first 6 seconds, of the attempts that the cold server got within `overload_after` over
/// N + 2 * sqrt(N) + 2: N is the number above which it collapses, the rest is a margin for chance.
fn excess(gateways: u32, seed: u64) -> f64 {
    let base = Settings { cold_capacity: 0.17, warm_up_time: 15_000.0, overload_multiple: 2.5, ..settings() };
    let shared_settings = Settings { gateways, may_duplicate: true, overload_after: 1000.0, ..base };
    let start = 1000.0;
    let warm: Vec<_> = (2..=SERVERS).map(server).collect();
    let host = |ordinal| {
        let settings = Settings { ordinal, ..shared_settings.clone() };
        TestHost::seeded(settings, seed * 1000 + u64::from(ordinal), &warm)
    };
    let mut hosts: Vec<_> = (0..gateways).map(host).collect();
    let mut rng = Rand64::new(u128::from(seed));
    let learns_at: Vec<Millis> = hosts.iter().map(|_| start + 1500.0 * rng.rand_float()).collect();
    let mut learned = vec![false; hosts.len()];
    let (mut in_flight, mut sent) =
        (VecDeque::<(Millis, usize, RequestId, u8)>::new(), VecDeque::<(Millis, ServerId)>::new());
    let (mut now, mut customer, mut max_excess) = (0.0, 0, f64::NEG_INFINITY);
    while now < start + 6000.0 {
        now += 1000.0 / (REQUESTS_PER_SERVER * f64::from(SERVERS));
        for (n, host) in hosts.iter_mut().enumerate() {
            if !learned[n] && now >= learns_at[n] {
                learned[n] = true;
                let entries = vec![ServerEntry { started_at: Some(start), ..server(COLD_SERVER) }];
                host.now = now;
                host.event(Event::Servers { kind: ListKind::Delta, entries });
            }
        }
        let mut actions = Vec::new();
        while in_flight.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, n, request, attempt)) = in_flight.pop_front() else { break };
            // One attempt in twenty fails and is retried.
            let failed = rng.rand_float() < 0.05;
            let outcome = if failed { Outcome::Error } else { Outcome::Ok };
            let host: &mut TestHost = &mut hosts[n];
            host.now = now;
            actions.extend(host.end(request, attempt, outcome, None).into_iter().map(|action| (n, action)));
        }
        // A few gateways get most of the requests; each customer sends one request.
        let n = (rng.rand_float().powi(2) * f64::from(gateways)) as usize;
        customer += 1;
        hosts[n].now = now;
        actions.extend(hosts[n].new_request(customer, 3, 0).1.into_iter().map(|action| (n, action)));
        for (n, action) in actions {
            let Action::Send { request, server, .. } = action else { continue };
            let attempt = hosts[n]
                .actions
                .iter()
                .filter(|other| matches!(other, Action::Send { request: id, .. } if *id == request))
                .count()
                - 1;
            in_flight.push_back((now + 50.0, n, request, attempt as u8));
            sent.push_back((now, server));
        }
        while sent.front().is_some_and(|(at, _)| *at < now - shared_settings.overload_after) {
            sent.pop_front();
        }
        let ramp = ((now - start) / shared_settings.warm_up_time).clamp(0.0, 1.0);
        let warm_up_share = shared_settings.cold_capacity + (1.0 - shared_settings.cold_capacity) * ramp;
        // A warm server can serve at least the mean load of the warm servers.
        let cold = sent.iter().filter(|(_, server)| *server == COLD_SERVER).count() as f64;
        let warm = (sent.len() as f64 - cold) / f64::from(SERVERS - 1);
        let budget = shared_settings.overload_multiple * warm_up_share * warm;
        max_excess = f64::max(max_excess, cold - budget - 2.0 * budget.sqrt() - 2.0);
    }
    max_excess
}

#[test]
fn all_gateways_together_stay_within_the_budget_of_a_server_in_slow_start() {
    for gateways in [2, 20, 30, 300] {
        for seed in 1..=3 {
            let excess = excess(gateways, seed);
            assert!(excess <= 0.0, "{gateways} gateways, seed {seed}: {excess} attempts over the budget");
        }
    }
}
