//! Attempts at backends, their responses and the connections to them.

use crate::peers::*;
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;
use std::time::Instant;

#[test]
fn forwards_a_request_and_serves_the_backends_response_unchanged() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut client = gateway.client();
    let job = post("a job").replace("/job-submit", "/job-submit/7?a=b%20c");
    client.send(&job.replace("Plan:", "Connection: X-Hop\r\nX-Hop: 1\r\nPlan:"));
    let exchange = backend.next_request();
    assert_eq!(exchange.request.line, "POST /job-submit/7?a=b%20c HTTP/1.1");
    assert_eq!(exchange.request.header("x-request-id"), id_of(&job));
    assert_eq!(exchange.request.header("x-hop"), "", "a header of the client's connection is not forwarded");
    assert_eq!(exchange.request.body, b"a job");
    let time_left = exchange.request.header("x-deadline").strip_suffix('u').expect("microseconds");
    assert!((1..4_000_000).contains(&time_left.parse().expect("a number")), "{time_left} us left");
    let port = exchange.stream.peer_addr().expect("a peer").port();
    exchange.answer("200 OK", "Usage-Percent: 40\r\nContent-Type: image/png\r\n", "frame");
    let answer = client.read();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"frame".as_slice()));
    assert_eq!(answer.header("content-type"), "image/png");
    assert_eq!(answer.header("usage-percent"), "", "the meter's usage is for the gateway only");
    // A connection is not reused within some milliseconds after its response.
    thread::sleep(Duration::from_millis(100));

    client.send(&get("/x"));
    let exchange = backend.next_request();
    assert_eq!(exchange.stream.peer_addr().expect("a peer").port(), port, "the connection is reused");
    exchange.ok("again");
    assert_eq!(client.read().body, b"again");
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_sent_again() {
    for response in [
        "",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    ] {
        let backends = [Peer::start(), Peer::start()];
        let gateway = GatewayProcess::with_backends(&[backends[0].address, backends[1].address]);
        let mut client = gateway.client();
        client.send(&post("once"));
        let first = next_request_of(&backends).0;
        first.send_and_close(response);
        assert_eq!(client.read().status(), 504, "after {response:?}");
        // If the first request were sent again, it would reach a backend before this one.
        client.send(&post("marker"));
        let (exchange, _) = next_request_of(&backends);
        assert_eq!(exchange.request.body, b"marker");
        exchange.ok("");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn a_request_that_a_backend_did_not_run_is_sent_to_another() {
    let backends = [Peer::start(), Peer::start()];
    let gateway = GatewayProcess::with_backends(&[backends[0].address, backends[1].address]);
    let mut client = gateway.client();
    client.send(&post("a job"));
    let (exchange, first) = next_request_of(&backends);
    exchange.answer("503 Full", "X-Not-Run: 1\r\n", "");
    let (exchange, second) = next_request_of(&backends);
    assert_ne!(first, second);
    assert_eq!(exchange.request.body, b"a job");
    exchange.ok("done");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn a_request_whose_backend_cannot_be_connected_to_is_refused_and_not_failed() {
    let gateway = GatewayProcess::with_backends(&[closed_port()]);
    // Only a refusal (429) states that nothing ran; a failure (504) does not.
    assert_eq!(gateway.client().send(&post("a job")).read().status(), 429);
}

#[test]
fn an_idle_connection_that_the_backend_closed_loses_no_request() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut client = gateway.client();
    for _ in 0..3 {
        client.send(&post("a job"));
        backend.next_request().send_and_close("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn a_request_with_an_invalid_response_may_have_run_and_its_connection_is_closed() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let endless_header = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(64 * 1024));
    let mut last_port = 0;
    for response in [
        "noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx",
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        &endless_header,
    ] {
        let mut client = gateway.client();
        client.send(&post("a job"));
        let mut exchange = backend.next_request();
        let port = exchange.stream.peer_addr().expect("a peer").port();
        assert_ne!(last_port, port, "the connection of the response before {response:.40?} is reused");
        last_port = port;
        exchange.stream.write_all(response.as_bytes()).expect("the response is written");
        assert_eq!(client.read().status(), 504, "{response:.40?}");
        exchange.wait_for_close();
    }
}

#[test]
fn bytes_after_a_response_are_not_read_as_the_next_response() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let mut client = gateway.client();
    for surplus in ["", response, "noise"] {
        client.send(&post("a job"));
        let mut exchange = backend.next_request();
        let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(3);
        exchange
            .stream
            .write_all(format!("{interim}{response}").as_bytes())
            .expect("the response is written");
        assert_eq!(client.read().body, b"ok");
        if surplus.is_empty() {
            exchange.stream.shutdown(Shutdown::Write).expect("the stream ends");
        } else {
            exchange.stream.write_all(surplus.as_bytes()).expect("the surplus bytes are written");
        }
        exchange.wait_for_close();
    }
    client.send(&post("a job"));
    backend.next_request().ok("its own");
    assert_eq!(client.read().body, b"its own");
}

#[test]
fn at_the_deadline_the_client_is_answered_and_the_attempts_socket_is_closed() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut client = gateway.client();
    let sent = Instant::now();
    client.send(&post("a job").replace("4000m", "300000u"));
    let mut exchange = backend.next_request();
    assert_eq!(client.read().status(), 504);
    assert!(sent.elapsed() >= Duration::from_millis(250), "answered early, after {:?}", sent.elapsed());
    exchange.wait_for_close();
}

#[test]
fn an_attempts_socket_is_closed_before_the_next_attempt_is_sent() {
    let backends = [Peer::start(), Peer::start()];
    let gateway = GatewayProcess::with_backends(&[backends[0].address, backends[1].address]);
    let mut client = gateway.client();
    client.send(&get(""));
    let (mut silent, first) = next_request_of(&backends);
    // The gateway gives up on the silent backend long before the client's deadline.
    let (exchange, second) = next_request_of(&backends);
    assert_ne!(first, second);
    silent.stream.set_nonblocking(true).expect("the mode is set");
    silent.wait_for_close();
    exchange.ok("from the other");
    assert_eq!(client.read().body, b"from the other");
}

#[test]
fn a_keyed_request_is_not_repeated_on_a_connection_established_after_its_dedup_window() {
    let (backend, unconnectable) = (Peer::start(), FullBacklogPeer::start());
    let mut other_zone = target("s-00000002", unconnectable.address, "ready");
    // Of two equal backends, the one in the gateway's own zone is tried first.
    other_zone["az"] = json!("b");
    let known = list(&[target("s-00000001", backend.address, "ready"), other_zone]);
    let mut config = config(closed_port(), known);
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let class = &mut config["settings"]["classes"][1];
    (class["semantics"], class["dedupWindow"]) = (json!("guarded"), json!(1500.0));
    (class["slo"], class["deadline"]) = (json!(12_000.0), json!(12_000.0));
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.send(&post("a job").replace("4000m", "12000m").replace("Host:", "Idempotency-Key: 7\r\nHost:"));
    backend.next_request().send_and_close("");
    unconnectable.wait_for_connect();
    thread::sleep(Duration::from_millis(1600));
    // The deduplication window of 1.5 s is over, so backends would no longer drop a duplicate.
    assert_eq!(String::from_utf8_lossy(&unconnectable.open()), "");
    assert_eq!(client.read().status(), 504, "a request that may have run is not sent again");
}

#[test]
fn a_request_that_a_backend_rejects_as_invalid_is_sent_to_no_other() {
    let backends = [Peer::start(), Peer::start()];
    let gateway = GatewayProcess::with_backends(&[backends[0].address, backends[1].address]);
    for status in ["400 Bad Request", "404 Not Found", "413 Payload Too Large"] {
        let mut client = gateway.client();
        client.send(&get("/odd"));
        let (exchange, _) = next_request_of(&backends);
        exchange.answer(status, "", "");
        assert_eq!(client.read().status(), 504);
        let sent_again = backends.iter().any(|backend| backend.exchanges.try_recv().is_ok());
        assert!(!sent_again, "{status} was sent again");
    }
}
