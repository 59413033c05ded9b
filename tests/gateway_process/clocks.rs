//! Slow start when the wall clock is stepped before or while the gateway runs.

use crate::peers::*;
use fault_soak::shim::Faults;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as i64
}

/// The share of 200 requests that goes to a server started right after a step of the wall clock by `step_ms`, once it
/// has run for `age`. The other requests go to a server that was there before.
fn share_of_a_server_started_after_a_step(step_ms: i64, warm_up_time: Duration, age: Duration) -> f64 {
    let (old, new) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", old.address, "ready")]);
    let discovery = Discovery::start(known.clone());
    let mut config = config(discovery.address, known);
    config["settings"]["rules"]["cold"] = json!(warm_up_time.as_millis() as f64);
    let faults = FaultInjection::new();
    let gateway = faults.start(&config);
    discovery.wait_for_watch();
    faults.control.set(Faults { wall_clock_offset: step_ms, ..Faults::default() });
    let mut started: Value = target("s-00000002", new.address, "ready");
    started["boot_ms"] = json!(unix_ms() + step_ms);
    discovery.push_targets(json!([started]));
    thread::sleep(age);
    let (old, new) = (answer_all(old), answer_all(new));
    let mut client = gateway.client();
    for _ in 0..200 {
        assert_eq!(client.send(&get("")).read().status(), 200);
    }
    let (old, new) = (old.load(Ordering::Relaxed), new.load(Ordering::Relaxed));
    f64::from(new) / f64::from(old + new)
}

#[test]
fn a_server_that_starts_after_the_wall_clock_was_set_back_is_cold() {
    let share = share_of_a_server_started_after_a_step(-HOUR_MS, Duration::from_secs(60), Duration::ZERO);
    assert!(share < 0.35, "a server at a quarter of its capacity got {share:.2} of the requests");
}

#[test]
fn a_server_that_starts_after_the_wall_clock_was_set_forward_warms_up() {
    let share =
        share_of_a_server_started_after_a_step(HOUR_MS, Duration::from_secs(1), Duration::from_secs(2));
    assert!(share > 0.35, "a warm server got {share:.2} of the requests");
}

// Regression test: the wall clock was set forward by an hour right after the start of a server, while no gateway ran.
// To a gateway that started then, the server's `boot_ms` was an hour old: it took the server for warm and did not limit
// its requests (here 200 of 200, as this server answered a little sooner than the other; in the soak's seed 508, with a
// step of 4 s: `SlowStart at 9916 ms: 172 requests of 171.3 in 1679 ms`). No input of the gateway shows the step, so a
// server start from before its own start counts from its own start.
#[test]
fn a_server_that_started_before_a_step_is_cold_to_a_gateway_that_starts_after_it() {
    let (old, new) = (Peer::start(), Peer::start());
    let mut started: Value = target("s-00000002", new.address, "ready");
    started["boot_ms"] = json!(unix_ms());
    let known = list(&[target("s-00000001", old.address, "ready"), started]);
    let mut config = config(closed_port(), known);
    config["settings"]["rules"]["cold"] = json!(60_000.0);
    let faults = FaultInjection::new();
    faults.control.set(Faults { wall_clock_offset: HOUR_MS, ..Faults::default() });
    let gateway = faults.start(&config);
    let (old, new) = (answer_all(old), answer_all(new));
    let mut client = gateway.client();
    for _ in 0..200 {
        assert_eq!(client.send(&get("")).read().status(), 200);
    }
    let (old, new) = (old.load(Ordering::Relaxed), new.load(Ordering::Relaxed));
    let share = f64::from(new) / f64::from(old + new);
    assert!(share < 0.35, "a server at a quarter of its capacity got {share:.2} of the requests");
}

#[test]
fn a_cold_server_gets_its_reduced_share_when_all_gateways_start_after_a_step() {
    let (old, new) = (Peer::start(), Peer::start());
    let mut started: Value = target("s-00000002", new.address, "ready");
    started["boot_ms"] = json!(unix_ms());
    let known = list(&[target("s-00000001", old.address, "ready"), started]);
    let (old, new) = (answer_all(old), answer_all(new));
    let gateways: Vec<(FaultInjection, GatewayProcess)> = (0..3)
        .map(|ordinal| {
            let mut config = config(closed_port(), known.clone());
            config["settings"]["rules"]["cold"] = json!(60_000.0);
            config["settings"]["balancers"] = json!(3);
            config["settings"]["ordinal"] = json!(ordinal);
            let faults = FaultInjection::new();
            faults.control.set(Faults { wall_clock_offset: HOUR_MS, ..Faults::default() });
            let gateway = faults.start(&config);
            (faults, gateway)
        })
        .collect();
    let mut clients: Vec<Client> = gateways.iter().map(|(_, gateway)| gateway.client()).collect();
    for _ in 0..100 {
        for client in &mut clients {
            client.send(&get("")).read();
        }
    }
    let (old, new) = (old.load(Ordering::Relaxed), new.load(Ordering::Relaxed));
    assert!(old + new > 150, "{} of 300 requests were forwarded", old + new);
    let share = f64::from(new) / f64::from(old + new);
    assert!(share < 0.35, "a server at a quarter of its capacity got {share:.2} of all gateways' requests");
}
