//! Many gateways in one process on a simulated clock, with counts over all of them: finds behaviour that is harmless
//! with one gateway and harmful with a hundred.

mod common;

use common::*;
use springusher::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 100;
const SERVERS: u32 = 60;

/// Settings of one gateway. The latency target makes it assume from the start the 50 ms that responses take here.
fn gateway_settings(ordinal: u32) -> Settings {
    let mut settings = Settings { gateways: GATEWAYS, ordinal, ..settings() };
    for class in &mut settings.classes {
        class.latency_target = 300.0;
    }
    settings
}

/// A hundred gateways with the same server list.
fn start_gateways(servers: &[ServerEntry]) -> Vec<TestHost> {
    (0..GATEWAYS)
        .map(|ordinal| TestHost::seeded(gateway_settings(ordinal), u64::from(ordinal), servers))
        .collect()
}

/// Server identifiers without order, like those that are derived from names.
fn server_id(n: u32) -> ServerId {
    n.wrapping_mul(0x9e37_79b9)
}

/// Sends `rounds` requests through each gateway, one at a time; counts the attempts from each gateway to each server.
fn send_all(gateways: &mut [TestHost], rounds: usize) -> BTreeMap<(u32, ServerId), usize> {
    let mut sent = BTreeMap::new();
    for _ in 0..rounds {
        for (gateway, host) in (0..).zip(gateways.iter_mut()) {
            host.now += 200.0;
            let (request, actions) = host.new_request(1, 3, 0);
            for server in sends(&actions) {
                *sent.entry((gateway, server)).or_insert(0) += 1;
            }
            host.end(request, 0, Outcome::Ok, None);
        }
    }
    sent
}

fn servers_of(sent: &BTreeMap<(u32, ServerId), usize>, gateway: u32) -> BTreeSet<ServerId> {
    sent.keys().filter(|(at, _)| *at == gateway).map(|(_, server)| *server).collect()
}

#[test]
fn many_gateways_use_a_few_servers_each_and_load_all_servers_evenly() {
    let servers: Vec<_> = (0..SERVERS).map(|n| server(server_id(n))).collect();
    let sent = send_all(&mut start_gateways(&servers), 100);
    // Each pair is a connection; all gateways using all servers would need 6,000.
    assert!(sent.len() <= 1000, "{} pairs of a gateway and a server", sent.len());
    let mut loads: BTreeMap<ServerId, usize> = BTreeMap::new();
    for ((_, server), count) in &sent {
        *loads.entry(*server).or_insert(0) += count;
    }
    let mean = sent.values().sum::<usize>() / SERVERS as usize;
    let (least, most) = (loads.values().min().copied(), loads.values().max().copied());
    assert_eq!(loads.len(), SERVERS as usize);
    assert!(least > Some(mean / 3) && most < Some(mean * 2), "{least:?} to {most:?} about {mean}");
}

#[test]
fn removing_a_server_moves_few_gateways_to_other_servers() {
    let servers: Vec<_> = (0..SERVERS).map(|n| server(server_id(n))).collect();
    let mut gateways = start_gateways(&servers);
    let before = send_all(&mut gateways, 60);
    for host in &mut gateways {
        let gone = ServerEntry { lifecycle: Lifecycle::Gone, ..server(server_id(0)) };
        host.event(Event::Servers { kind: ListKind::Delta, entries: vec![gone] });
    }
    let after = send_all(&mut gateways, 60);
    assert!(after.keys().all(|(_, server)| *server != server_id(0)));
    let new = after.keys().filter(|pair| !before.contains_key(pair)).count();
    assert!(10 * new <= before.len(), "{new} new pairs, {} before", before.len());
}

#[test]
fn few_gateways_use_every_server() {
    let servers: Vec<_> = (0..12).map(|n| server(server_id(n))).collect();
    let mut host = TestHost::new(settings(), &servers);
    let sent = send_all(std::slice::from_mut(&mut host), 300);
    assert_eq!(servers_of(&sent, 0).len(), 12);
}

#[test]
fn when_every_server_is_slow_hedged_attempts_add_little_load() {
    let servers: Vec<_> = (0..SERVERS).map(|n| server(server_id(n))).collect();
    let hedging_settings = |ordinal| Settings { may_duplicate: true, ..gateway_settings(ordinal) };
    let (mut first_attempts, mut all_attempts) = (0, 0);
    for ordinal in 0..GATEWAYS {
        let mut host = TestHost::seeded(hedging_settings(ordinal), u64::from(ordinal), &servers);
        for _ in 0..100 {
            let (request, actions) = host.new_request(1, 3, 0);
            let sent = sends(&actions).len();
            first_attempts += sent;
            // After the time at which an attempt is hedged, and before the latency target.
            let until = host.now + 200.0;
            let hedged = sends(&host.run_timers(until)).len();
            all_attempts += sent + hedged;
            for attempt in 0..sent + hedged {
                host.end(request, attempt as u8, Outcome::Ok, None);
            }
        }
    }
    assert!(first_attempts > 5_000, "{first_attempts}");
    assert!(
        all_attempts > first_attempts,
        "no hedged attempt: requests to a hung server would wait until their deadline"
    );
    assert!(
        all_attempts <= first_attempts + first_attempts / 40,
        "{} hedged attempts on top of {first_attempts}",
        all_attempts - first_attempts
    );
}
