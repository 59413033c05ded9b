//! Shutdown at SIGTERM: open requests are finished and new ones still answered.

use crate::peers::*;
use serde_json::json;
use std::io::Read;
use std::thread;
use std::time::Duration;
use std::time::Instant;

#[test]
fn sigterm_finishes_open_requests_closes_idle_connections_and_exits() {
    let backend = Peer::start();
    let mut gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut idle = gateway.client();
    idle.send(&get(""));
    backend.next_request().ok("");
    assert_eq!(idle.read().status(), 200);
    let mut busy = gateway.client();
    busy.send(&post("open request"));
    let open_exchange = backend.next_request();
    gateway.terminate();
    // Until the gateway has received the signal, responses leave connections open.
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let mut late = gateway.client();
        late.send(&get(""));
        backend.next_request().ok("late");
        let answer = late.read();
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == "close" {
            break;
        }
        assert!(Instant::now() < until, "the signal has no effect");
    }
    let mut byte = [0];
    assert_eq!(idle.stream.read(&mut byte).expect("an orderly end"), 0, "idle connections are closed");
    open_exchange.ok("finished");
    let answer = busy.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(gateway.child.wait().expect("it ends").success());
}

#[test]
fn sigterm_exits_in_time_although_a_backend_does_not_answer() {
    let backend = Peer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["classes"][1]["deadline"] = json!(12_000.0);
    let mut gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.send(&post("a job").replace("4000m", "12000m"));
    let _silent = backend.next_request();
    let signalled_at = Instant::now();
    gateway.terminate();
    assert_eq!(client.read().status(), 504);
    assert!(gateway.child.wait().expect("it ends").success());
    // SIGKILL may follow 3.7 s after SIGTERM, however long the client would wait; the rest allows for a slow machine.
    assert!(signalled_at.elapsed() < Duration::from_millis(8000), "it took {:?}", signalled_at.elapsed());
}

/// Waits until the gateway has received the signal: its health check fails from then on.
fn wait_until_unhealthy(gateway: &GatewayProcess) {
    let until = Instant::now() + TEST_TIMEOUT;
    while gateway.client().send(HEALTH_CHECK).read().status() == 200 {
        assert!(Instant::now() < until, "the signal has no effect");
    }
}

/// Waits until the gateway closes idle connections.
fn wait_until_idle_connections_close(gateway: &GatewayProcess, idle: &mut Client) {
    wait_until_unhealthy(gateway);
    idle.expect_close();
}

/// A client that had one request answered and is idle.
fn idle_client(gateway: &GatewayProcess, backend: &Peer) -> Client {
    let mut idle = gateway.client();
    idle.send(&get(""));
    backend.next_request().ok("");
    assert_eq!(idle.read().status(), 200);
    idle
}

#[test]
fn partially_received_requests_are_served_when_idle_connections_are_closed() {
    let backend = Peer::start();
    let mut gateway = GatewayProcess::with_backends(&[backend.address]);
    let (mut receiving, mut idle) = (idle_client(&gateway, &backend), idle_client(&gateway, &backend));
    let mut new = gateway.client();
    gateway.terminate();
    wait_until_unhealthy(&gateway);
    let (second, first) = (get("/second"), get("/first"));
    receiving.send(&second[..40]);
    new.send(&first[..40]);
    idle.expect_close();
    receiving.send(&second[40..]);
    backend.next_request().ok("served");
    let answer = receiving.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    new.send(&first[40..]);
    backend.next_request().ok("served");
    let answer = new.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(gateway.child.wait().expect("it ends").success());
}

#[test]
fn new_client_is_served_while_the_last_requests_finish() {
    let backend = Peer::start();
    let mut gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut idle = idle_client(&gateway, &backend);
    let mut busy = gateway.client();
    busy.send(&post("open request"));
    let open_exchange = backend.next_request();
    gateway.terminate();
    wait_until_idle_connections_close(&gateway, &mut idle);
    let mut late = gateway.client();
    late.send(&get("/late"));
    backend.next_request().ok("late");
    assert_eq!(late.read().status(), 200);
    open_exchange.ok("finished");
    assert_eq!(busy.read().status(), 200);
    assert!(gateway.child.wait().expect("it ends").success());
}

#[test]
fn request_with_an_incomplete_body_is_refused_at_once_when_the_shutdown_time_is_over() {
    let backend = Peer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["classes"][1]["deadline"] = json!(12_000.0);
    let mut gateway = GatewayProcess::start(&config);
    let mut busy = gateway.client();
    busy.send(&post("a job").replace("4000m", "12000m"));
    let _silent = backend.next_request();
    gateway.terminate();
    wait_until_unhealthy(&gateway);
    // A request may take 2.5 s to arrive: this one begins so late that its body may still be incomplete when the
    // shutdown ends.
    thread::sleep(Duration::from_millis(1500));
    let mut late = gateway.client();
    let job = post("a body");
    late.send(&job[..job.len() - 1]);
    assert_eq!(busy.read().status(), 504, "the shutdown time is over");
    assert_eq!(late.read().status(), 429, "the incomplete request is refused");
    assert!(backend.exchanges.try_recv().is_err(), "and not sent to a backend");
    assert!(gateway.child.wait().expect("it ends").success());
}

#[test]
fn signals_received_twice_or_before_readiness_change_nothing() {
    let backend = Peer::start();
    let mut gateway = GatewayProcess::start(&config(closed_port(), list(&[])));
    gateway.signal("-HUP");
    gateway.terminate();
    gateway.terminate();
    gateway.signal("-HUP");
    assert!(gateway.child.wait().expect("it ends").success());
    let mut gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut busy = gateway.client();
    busy.send(&post("open request"));
    let open_exchange = backend.next_request();
    gateway.terminate();
    wait_until_unhealthy(&gateway);
    gateway.terminate();
    gateway.signal("-HUP");
    open_exchange.ok("finished");
    let answer = busy.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(gateway.child.wait().expect("it ends").success());
}

#[test]
fn requests_pipelined_before_sigterm_are_answered() {
    let backend = Peer::start();
    let mut gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut client = gateway.client();
    client.send(&format!("{}{}{}", get("/first"), post("second"), get("/third")));
    let first = backend.next_request();
    gateway.terminate();
    wait_until_unhealthy(&gateway);
    let mut expect_served = |exchange: Exchange, body: &str| {
        exchange.ok(body);
        let answer = client.read();
        assert_eq!((answer.status(), String::from_utf8(answer.body).expect("text")), (200, body.to_string()));
    };
    expect_served(first, "first");
    expect_served(backend.next_request(), "second");
    expect_served(backend.next_request(), "third");
    assert!(gateway.child.wait().expect("it ends").success());
}
