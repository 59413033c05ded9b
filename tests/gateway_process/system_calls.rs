//! Failures of the gateway's system calls in documented ways.

use crate::peers::*;
use fault_soak::shim::Faults;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn interrupted_reads_and_writes_lose_no_request() {
    let backend = Peer::start();
    let faults = FaultInjection::new();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let gateway = faults.start(&config);
    let _served = answer_all(backend);
    faults.control.set(Faults { read_interrupted: 0.3, write_interrupted: 0.3, ..Faults::default() });
    for _ in 0..60 {
        let mut client = gateway.client();
        for _ in 0..2 {
            assert_eq!(client.send(&post("once")).read().status(), 200);
        }
    }
}

/// Makes all accepts of the gateway fail for `span`.
fn stall_accepts(faults: &FaultInjection, span: Duration) {
    faults.control.set(Faults { accept_fails: 1.0, ..Faults::default() });
    thread::sleep(span);
    faults.control.set(Faults::default());
}

#[test]
fn a_request_that_waited_to_be_accepted_has_less_time_left() {
    let backend = Peer::start();
    let faults = FaultInjection::new();
    let gateway =
        faults.start(&config(closed_port(), list(&[target("s-00000001", backend.address, "ready")])));
    faults.control.set(Faults { accept_fails: 1.0, ..Faults::default() });
    let mut client = gateway.client();
    client.send(&post("waits"));
    stall_accepts(&faults, Duration::from_millis(700));
    let exchange = backend.next_request();
    let time_left =
        exchange.request.header("x-deadline").trim_end_matches('u').parse::<f64>().expect("a number");
    assert!(time_left <= 3_450_000.0, "{time_left} us left though 0.7 s of 4 s are over");
    exchange.ok("served");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn clients_waiting_to_be_accepted_at_a_shutdown_are_served() {
    let backend = Peer::start();
    let faults = FaultInjection::new();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let mut gateway = faults.start(&config);
    let _served = answer_all(backend);
    gateway.terminate();
    let mut client = gateway.client();
    // Accepts work again only after the gateway has closed its open connections.
    thread::spawn(move || stall_accepts(&faults, Duration::from_millis(1500)));
    thread::sleep(Duration::from_millis(100));
    let mut late = gateway.client();
    late.send(&post("late"));
    assert_eq!(client.send(&post("early")).read().status(), 200);
    assert_eq!(late.read().status(), 200);
    assert!(gateway.child.wait().expect("the gateway exits").success());
}

#[test]
fn a_reload_retries_a_configuration_that_cannot_be_read_at_first() {
    let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
    let faults = FaultInjection::new();
    let gateway = faults.start(&config);
    let _discovery_call = first.next_request();
    config["discovery"] = json!(second.address.to_string());
    std::fs::write(&gateway.file, config.to_string()).expect("the file is replaced");
    faults.control.set(Faults { open_fails: 1.0, ..Faults::default() });
    gateway.signal("-HUP");
    thread::sleep(Duration::from_millis(500));
    faults.control.set(Faults::default());
    second.next_request();
}

#[test]
fn a_start_survives_system_calls_that_fail_temporarily() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let faults = FaultInjection::new();
    faults.control.set(Faults { open_fails: 1.0, socket_fails: 1.0, ..Faults::default() });
    let file = write_config(&config);
    let child = faults.spawn(&file, &config);
    thread::sleep(Duration::from_millis(300));
    faults.control.set(Faults { socket_fails: 1.0, ..Faults::default() });
    thread::sleep(Duration::from_millis(700));
    faults.control.set(Faults::default());
    let gateway = GatewayProcess::listening(child, &config, file);
    gateway.serves_from(&backend);
}

#[test]
fn a_connect_that_fails_temporarily_on_the_gateways_machine_does_not_count_against_the_server() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let faults = FaultInjection::new();
    let gateway = faults.start(&config);
    let mut client = gateway.client();
    faults.control.set(Faults { connect_fails: 0.7, socket_fails: 0.7, ..Faults::default() });
    client.send(&post("once"));
    thread::sleep(Duration::from_millis(100));
    faults.control.set(Faults { connect_fails: 1.0, ..Faults::default() });
    thread::sleep(Duration::from_millis(100));
    faults.control.set(Faults::default());
    let _served = answer_all(backend);
    assert_eq!(client.read().status(), 200);
}

#[test]
fn a_late_accept_does_not_extend_the_time_for_sending_a_request() {
    let faults = FaultInjection::new();
    let gateway = faults.start(&config(closed_port(), list(&[target("s-00000001", closed_port(), "ready")])));
    faults.control.set(Faults { accept_fails: 1.0, ..Faults::default() });
    let connected = Instant::now();
    let (mut silent, mut partial) = (gateway.client(), gateway.client());
    partial.send("GET /preview-fetch HTTP/1.1\r\n");
    stall_accepts(&faults, Duration::from_millis(1500));
    silent.expect_close();
    assert_eq!(partial.read().status(), 408);
    // The limit is 3 s from the connect; the rest allows for a slow machine.
    assert!(connected.elapsed() < Duration::from_millis(3700), "it took {:?}", connected.elapsed());
}

// Regression test: while connects failed on its own machine, a new gateway paused between calls to its discovery agent
// as if the agent were failing, for up to 0.2 s in a row. In the soak (wide seed 40013), with two of three connects
// failing, the agent learned of a drain 62 ms after the start and stopped answering 95 ms later. The gateway counts as
// notified of every change that its agent has, but it sent requests to the draining server for 2 s more.
#[test]
fn discovery_is_called_again_soon_after_connects_failed_on_the_gateways_machine() {
    let agent = Peer::start();
    let mut config = config(agent.address, list(&[]));
    // Waits and back-offs are fractions of this time, up to 1 s each; the longest back-off is a fifth of it.
    config["settings"]["rules"]["stopSendingWithin"] = json!(10_000.0);
    let faults = FaultInjection::new();
    let _gateway = faults.start(&config);
    agent.next_request().ok(&list(&[]).to_string());
    for _ in 0..5 {
        let watch = next_watch(&agent);
        faults.control.set(Faults { connect_fails: 1.0, ..Faults::default() });
        watch.send_and_close("");
        thread::sleep(Duration::from_millis(1500));
        ignore_calls_so_far(&agent);
        faults.control.set(Faults::default());
        let recovered = Instant::now();
        agent.next_request().ok(&list(&[]).to_string());
        assert!(recovered.elapsed() < Duration::from_millis(300), "called {:?} later", recovered.elapsed());
    }
}
