//! System calls of the program fail in documented ways.

use crate::peers::*;
use fault_soak::shim::Faults;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn interrupted_reads_and_writes_lose_no_request() {
    let backend = Peer::start();
    let faulty = FaultInjection::new();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let front = faulty.start(&config);
    let _served = answer_all(backend);
    faulty.control.set(Faults { read_interrupted: 0.3, write_interrupted: 0.3, ..Faults::default() });
    for _ in 0..60 {
        let mut client = front.client();
        for _ in 0..2 {
            assert_eq!(client.send(&post("once")).read().status(), 200);
        }
    }
}

/// All accepts of the program fail for this long, then none.
fn stall_accepts(faulty: &FaultInjection, span: Duration) {
    faulty.control.set(Faults { accept_fails: 1.0, ..Faults::default() });
    thread::sleep(span);
    faulty.control.set(Faults::default());
}

#[test]
fn a_request_that_waited_to_be_accepted_has_less_time_left() {
    let backend = Peer::start();
    let faulty = FaultInjection::new();
    let front = faulty.start(&config(closed_port(), list(&[target("s-00000001", backend.address, "ready")])));
    faulty.control.set(Faults { accept_fails: 1.0, ..Faults::default() });
    let mut client = front.client();
    client.send(&post("waits"));
    stall_accepts(&faulty, Duration::from_millis(700));
    let exchange = backend.next();
    let told = exchange.request.header("x-deadline").trim_end_matches('u').parse::<f64>().expect("a number");
    assert!(told <= 3_450_000.0, "told {told} us though 0.7 s of 4 s are over");
    exchange.ok("served");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn who_waits_to_be_accepted_at_a_shutdown_is_answered() {
    let backend = Peer::start();
    let faulty = FaultInjection::new();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let mut front = faulty.start(&config);
    let _served = answer_all(backend);
    front.terminate();
    let mut client = front.client();
    // All that was open is closed by the time at which accepts work again.
    thread::spawn(move || stall_accepts(&faulty, Duration::from_millis(1500)));
    thread::sleep(Duration::from_millis(100));
    let mut late = front.client();
    late.send(&post("late"));
    assert_eq!(client.send(&post("early")).read().status(), 200);
    assert_eq!(late.read().status(), 200);
    assert!(front.child.wait().expect("it ends").success());
}

#[test]
fn a_new_configuration_that_cannot_be_read_at_first_is_read_later() {
    let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
    let faulty = FaultInjection::new();
    let front = faulty.start(&config);
    let _call = first.next();
    config["discovery"] = json!(second.address.to_string());
    std::fs::write(&front.file, config.to_string()).expect("the file is replaced");
    faulty.control.set(Faults { open_fails: 1.0, ..Faults::default() });
    front.signal("-HUP");
    thread::sleep(Duration::from_millis(500));
    faulty.control.set(Faults::default());
    second.next();
}

#[test]
fn a_start_bears_calls_that_fail_for_a_moment() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let faulty = FaultInjection::new();
    faulty.control.set(Faults { open_fails: 1.0, socket_fails: 1.0, ..Faults::default() });
    let file = write_config(&config);
    let child = faulty.spawn(&file, &config);
    thread::sleep(Duration::from_millis(300));
    faulty.control.set(Faults { socket_fails: 1.0, ..Faults::default() });
    thread::sleep(Duration::from_millis(700));
    faulty.control.set(Faults::default());
    let front = GatewayProcess::listening(child, &config, file);
    front.serves_from(&backend);
}

#[test]
fn a_connection_that_this_machine_cannot_make_for_a_moment_is_no_servers_fault() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let faulty = FaultInjection::new();
    let front = faulty.start(&config);
    let mut client = front.client();
    faulty.control.set(Faults { connect_fails: 0.7, socket_fails: 0.7, ..Faults::default() });
    client.send(&post("once"));
    thread::sleep(Duration::from_millis(100));
    faulty.control.set(Faults { connect_fails: 1.0, ..Faults::default() });
    thread::sleep(Duration::from_millis(100));
    faulty.control.set(Faults::default());
    let _served = answer_all(backend);
    assert_eq!(client.read().status(), 200);
}

#[test]
fn who_waited_to_be_accepted_and_does_not_ask_is_sent_away_no_later() {
    let faulty = FaultInjection::new();
    let front = faulty.start(&config(closed_port(), list(&[target("s-00000001", closed_port(), "ready")])));
    faulty.control.set(Faults { accept_fails: 1.0, ..Faults::default() });
    let came = Instant::now();
    let (mut silent, mut half) = (front.client(), front.client());
    half.send("GET /preview-fetch HTTP/1.1\r\n");
    stall_accepts(&faulty, Duration::from_millis(1500));
    silent.expect_close();
    assert_eq!(half.read().status(), 408);
    // 3 s are owed from the connect on; the rest is for a slow machine.
    assert!(came.elapsed() < Duration::from_millis(3700), "it took {:?}", came.elapsed());
}

// While connects fail on its own machine a new process waited between calls of its agent as if the agent were in
// trouble, up to 0.2 s in a row. The soak (wide seed 40013) had an agent that learned of a drain 62 ms behind the start,
// with two of three connects failing, and fell silent 95 ms later: what it has counts as told, and the process sent to
// the draining server for 2 s more.
#[test]
fn an_agent_is_asked_soon_where_this_machine_could_not_connect() {
    let agent = Peer::start();
    let mut config = config(agent.address, list(&[]));
    // Waits and pauses are parts of this time: a fifth of it is the longest pause.
    config["settings"]["rules"]["stopSendingWithin"] = json!(10_000.0);
    let faulty = FaultInjection::new();
    let _front = faulty.start(&config);
    agent.next().ok(&list(&[]).to_string());
    for _ in 0..5 {
        let watch = agent.next();
        faulty.control.set(Faults { connect_fails: 1.0, ..Faults::default() });
        watch.send_and_close("");
        thread::sleep(Duration::from_millis(1500));
        faulty.control.set(Faults::default());
        let since = Instant::now();
        agent.next().ok(&list(&[]).to_string());
        assert!(since.elapsed() < Duration::from_millis(300), "asked {:?} later", since.elapsed());
    }
}
