//! Many gateways in one process on a made-up clock, counted across all of them: what is harmless at one
//! gateway and harmful at a hundred.

mod common;

use common::*;
use springusher::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 100;
const SERVERS: u32 = 60;

/// What a hundred gateways are told; answers take from the first what they are taken to take.
fn told(ordinal: u32) -> Settings {
    let mut told = Settings { gateways: GATEWAYS, ordinal, ..settings() };
    for class in &mut told.classes {
        class.latency_target = 300.0;
    }
    told
}

/// A hundred gateways that know the same servers.
fn fleet(servers: &[ServerEntry]) -> Vec<TestHost> {
    (0..GATEWAYS).map(|ordinal| TestHost::seeded(told(ordinal), u64::from(ordinal), servers)).collect()
}

/// Server numbers as names give them: without order.
fn id(n: u32) -> ServerId {
    n.wrapping_mul(0x9e37_79b9)
}

/// Each gateway in turn sends one request after another, `rounds` times, with one in hand; counts the sends
/// of each gateway to each server.
fn send_all(fleet: &mut [TestHost], rounds: usize) -> BTreeMap<(u32, ServerId), usize> {
    let mut sent = BTreeMap::new();
    for _ in 0..rounds {
        for (gateway, host) in (0..).zip(fleet.iter_mut()) {
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
fn many_gateways_keep_to_a_few_servers_each_and_yet_load_all_alike() {
    let servers: Vec<_> = (0..SERVERS).map(|n| server(id(n))).collect();
    let sent = send_all(&mut fleet(&servers), 100);
    // Every pair is a connection: to go everywhere would make 6,000 of them.
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
fn one_server_less_moves_few_gateways_to_others() {
    let servers: Vec<_> = (0..SERVERS).map(|n| server(id(n))).collect();
    let mut fleet = fleet(&servers);
    let before = send_all(&mut fleet, 60);
    for host in &mut fleet {
        let gone = ServerEntry { lifecycle: Lifecycle::Gone, ..server(id(0)) };
        host.event(Event::Servers { kind: ListKind::Delta, entries: vec![gone] });
    }
    let after = send_all(&mut fleet, 60);
    assert!(after.keys().all(|(_, server)| *server != id(0)));
    let new = after.keys().filter(|pair| !before.contains_key(pair)).count();
    assert!(10 * new <= before.len(), "{new} new pairs beside {}", before.len());
}

#[test]
fn few_gateways_use_every_server() {
    let servers: Vec<_> = (0..12).map(|n| server(id(n))).collect();
    let mut host = TestHost::new(settings(), &servers);
    let sent = send_all(std::slice::from_mut(&mut host), 300);
    assert_eq!(servers_of(&sent, 0).len(), 12);
}

#[test]
fn when_every_server_is_slow_copies_of_requests_add_little_to_the_load() {
    let servers: Vec<_> = (0..SERVERS).map(|n| server(id(n))).collect();
    let told = |ordinal| Settings { may_duplicate: true, ..told(ordinal) };
    let (mut first, mut all) = (0, 0);
    for ordinal in 0..GATEWAYS {
        let mut host = TestHost::seeded(told(ordinal), u64::from(ordinal), &servers);
        for _ in 0..100 {
            let (request, actions) = host.new_request(1, 3, 0);
            let out = sends(&actions).len();
            first += out;
            // Longer than anyone is patient, and still in time.
            let until = host.now + 200.0;
            let copies = sends(&host.run_timers(until)).len();
            all += out + copies;
            for attempt in 0..out + copies {
                host.end(request, attempt as u8, Outcome::Ok, None);
            }
        }
    }
    assert!(first > 5_000, "{first}");
    assert!(all > first, "no copy at all: a server that hangs holds its requests for good");
    assert!(all <= first + first / 40, "{} copies of {first}", all - first);
}
