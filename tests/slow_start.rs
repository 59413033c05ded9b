//! A cold server under the sum of what all gateways send it: uneven traffic, retries and copies, all told of
//! its start at moments of their own, a made-up clock.

mod common;

use common::*;
use oorandom::Rand64;
use springusher::*;
use std::collections::VecDeque;

const SERVERS: u32 = 20;
const COLD: ServerId = 1;
/// Requests a second that the fleet is offered for each server.
const EACH: f64 = 80.0;

/// The most by which what the cold server got within `overload_after` went beyond its budget of N and 2 x root of
/// N + 2 for chance, over its first seconds.
fn excess(gateways: u32, seed: u64) -> f64 {
    let ramp = Settings { cold_capacity: 0.17, warm_up_time: 15_000.0, overload_multiple: 2.5, ..settings() };
    let told = Settings { gateways, may_duplicate: true, overload_after: 1000.0, ..ramp };
    let start = 1000.0;
    let warm: Vec<_> = (2..=SERVERS).map(server).collect();
    let host = |ordinal| {
        let settings = Settings { ordinal, ..told.clone() };
        TestHost::seeded(settings, seed * 1000 + u64::from(ordinal), &warm)
    };
    let mut hosts: Vec<_> = (0..gateways).map(host).collect();
    let mut rng = Rand64::new(u128::from(seed));
    let hears: Vec<Millis> = hosts.iter().map(|_| start + 1500.0 * rng.rand_float()).collect();
    let mut heard = vec![false; hosts.len()];
    let (mut out, mut sent) =
        (VecDeque::<(Millis, usize, RequestId, u8)>::new(), VecDeque::<(Millis, ServerId)>::new());
    let (mut now, mut customer, mut worst) = (0.0, 0, f64::NEG_INFINITY);
    while now < start + 6000.0 {
        now += 1000.0 / (EACH * f64::from(SERVERS));
        for (n, host) in hosts.iter_mut().enumerate() {
            if !heard[n] && now >= hears[n] {
                heard[n] = true;
                let entries = vec![ServerEntry { started_at: Some(start), ..server(COLD) }];
                host.now = now;
                host.event(Event::Servers { kind: ListKind::Delta, entries });
            }
        }
        let mut actions = Vec::new();
        while out.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, n, request, attempt)) = out.pop_front() else { break };
            // One in twenty fails and is tried again.
            let failed = rng.rand_float() < 0.05;
            let outcome = if failed { Outcome::Error } else { Outcome::Ok };
            let host: &mut TestHost = &mut hosts[n];
            host.now = now;
            actions.extend(host.end(request, attempt, outcome, None).into_iter().map(|action| (n, action)));
        }
        // A few gateways get most of the requests; each customer asks once.
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
            out.push_back((now + 50.0, n, request, attempt as u8));
            sent.push_back((now, server));
        }
        while sent.front().is_some_and(|(at, _)| *at < now - told.overload_after) {
            sent.pop_front();
        }
        let ramp = ((now - start) / told.warm_up_time).clamp(0.0, 1.0);
        let warmth = told.cold_capacity + (1.0 - told.cold_capacity) * ramp;
        // A warm server bears at least what the warm ones get on average.
        let cold = sent.iter().filter(|(_, server)| *server == COLD).count() as f64;
        let warm = (sent.len() as f64 - cold) / f64::from(SERVERS - 1);
        let budget = told.overload_multiple * warmth * warm;
        worst = f64::max(worst, cold - budget - 2.0 * budget.sqrt() - 2.0);
    }
    worst
}

#[test]
fn all_gateways_together_keep_to_a_cold_servers_budget() {
    for gateways in [2, 20, 30, 300] {
        for seed in 1..=3 {
            let excess = excess(gateways, seed);
            assert!(excess <= 0.0, "{gateways} gateways, seed {seed}: {excess} beyond the budget");
        }
    }
}
