//! Client connections: which requests are accepted or refused, and when connections are closed.

use crate::peers::*;
use serde_json::json;
use serde_json::Value;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

#[test]
fn request_without_a_ready_server_is_refused_at_once_with_retry_after() {
    let backend = Peer::start();
    let known = list(&[target("s-00000001", backend.address, "draining")]);
    let gateway = GatewayProcess::start(&config(closed_port(), known));
    let sent_at = Instant::now();
    let answer = gateway.client().send(&get("")).read();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.header("retry-after"), "0.500");
    assert!(sent_at.elapsed() < Duration::from_millis(1000), "the refusal was delayed");
}

#[test]
fn no_request_is_sent_for_a_client_that_left_while_the_gateway_connected_to_the_server() {
    let backend = FullBacklogPeer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.send(&post("a job"));
    backend.wait_for_connect();
    drop(client);
    assert_eq!(String::from_utf8_lossy(&backend.open()), "");
}

#[test]
fn disconnect_after_pipelined_input_is_detected() {
    let backend = FullBacklogPeer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    // Further bytes arrive with the request, and more while it waits for its server connection.
    client.send(&(post("a job") + &get("/next")[..40]));
    backend.wait_for_connect();
    client.send(&get("/next")[40..]);
    client.send(&post("another"));
    drop(client);
    assert_eq!(String::from_utf8_lossy(&backend.open()), "");
}

#[test]
fn disconnect_after_more_pipelined_input_than_is_read_ahead_is_detected() {
    let backend = FullBacklogPeer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.send(&(post("a job") + &get("/next").repeat(200)));
    backend.wait_for_connect();
    drop(client);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(String::from_utf8_lossy(&backend.open()), "");
}

#[test]
fn no_request_is_sent_for_a_client_that_left_while_waiting_for_the_concurrency_limit() {
    let backend = Peer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["plans"][0]["concurrency"] = json!(1);
    let gateway = GatewayProcess::start(&config);
    let mut first = gateway.client();
    first.send(&post("first"));
    let first_exchange = backend.next_request();
    let (mut gone, mut last) = (gateway.client(), gateway.client());
    let held = post("held");
    gone.send(&held);
    // It has been admitted once its id is reported as in use.
    let until = Instant::now() + TEST_TIMEOUT;
    while gateway.client().send(&held).read().status() != 409 {
        assert!(Instant::now() < until, "the request is not admitted");
    }
    drop(gone);
    last.send(&post("last"));
    // Both have been admitted when a request that arrived after them is answered.
    assert_eq!(gateway.client().send(HEALTH_CHECK).read().status(), 200);
    first_exchange.ok("");
    assert_eq!(first.read().status(), 200);
    let next = backend.next_request();
    assert_eq!(next.request.body, b"last", "the request of the client that left is not sent");
    next.ok("");
    assert_eq!(last.read().status(), 200);
}

#[test]
fn no_request_is_sent_for_a_client_that_left_during_the_counter_call() {
    let (backend, counter) = (Peer::start(), TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port"));
    let address = counter.local_addr().expect("an address");
    let gateway = GatewayProcess::start(&capped_config(backend.address, address));
    let mut gone = gateway.client();
    gone.send(&post("gone").replace("spread=1", "spread=2"));
    let (counter_stream, _) = counter.accept().expect("the gateway calls the counter");
    let mut calls = BufReader::new(&counter_stream).lines();
    assert!(calls.next().expect("a call").expect("a line").ends_with(" 1 8000"));
    drop(gone);
    // The call is not answered; after its time-out the slot that it may have taken is released.
    assert!(calls.next().expect("a call").expect("a line").ends_with(" -1 8000"));
    let mut client = gateway.client();
    client.send(&post("marker"));
    let next = backend.next_request();
    assert_eq!(next.request.body, b"marker");
    next.ok("");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn client_that_disconnects_during_its_request_does_not_affect_others() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut gone = gateway.client();
    gone.send(&post("gone"));
    let exchange = backend.next_request();
    drop(gone);
    let mut client = gateway.client();
    client.send(&post("here"));
    let here = backend.next_request();
    exchange.ok("for the client that left");
    here.ok("for the client that stayed");
    assert_eq!(client.read().body, b"for the client that stayed");
}

/// Clients that connect at once. The kernel's queue holds them up to `net.core.somaxconn`; the fault described below
/// appears above 128.
const CONCURRENT_CLIENTS: usize = 300;

// The listening socket's queue held 128 connections. Any more clients that came while the gateway did not run connected
// a second late (soak, seed 9302: a silent client was closed 3535 ms after its connect, where 3000 ms are allowed).
#[test]
fn clients_that_connect_while_the_gateway_is_stopped_are_answered_in_time() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    answer_all(backend);
    gateway.signal("-STOP");
    let began = Instant::now();
    let connect = || {
        let stream = TcpStream::connect_timeout(&gateway.address, Duration::from_millis(500));
        let stream = stream.expect("the listen queue has room");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client { stream }
    };
    let mut clients: Vec<Client> = (0..CONCURRENT_CLIENTS).map(|_| connect()).collect();
    clients.iter_mut().for_each(|client| {
        client.send(&get(""));
    });
    thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
    gateway.signal("-CONT");
    for client in &mut clients {
        // One server does not have the capacity for all of them at once, so some are refused.
        assert!([200, 429].contains(&client.read().status()));
    }
    assert!(began.elapsed() < Duration::from_millis(3000), "answered after {:?}", began.elapsed());
}

#[test]
fn malformed_input_gets_400_and_reaches_no_backend() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let valid = get("");
    let malformed = [
        ("X-Class: preview-fetch", "X-Class: nothing"),
        ("X-Class: preview-fetch", "X-Class: job-submit"),
        ("X-Class: preview-fetch\r\n", ""),
        ("GET ", "POST "),
        ("Plan: starter", "Plan: emperor"),
        ("client=00000000b4d65521", "client=b4d65521"),
        ("client=00000000b4d65521", "client=+0000000b4d65521"),
        ("client=00000000b4d65521", "client=0000000200000000"),
        ("units=1", "units=NaN"),
        ("units=1", "units=-1"),
        ("units=1", "units=1000000"),
        ("units=1", "units=1,units=2"),
        ("spread=1", "spread=1, spread=1"),
        ("first=0", "first=0,first =0"),
        ("spread=1", "spread=0"),
        ("first=0", "first=9"),
        ("X-Deadline: 4000m", "X-Deadline: 4000"),
        ("X-Deadline: 4000m", "X-Deadline: -1m"),
        ("X-Deadline: 4000m", "X-Deadline: infm"),
        ("X-Request-Id: ", "X-Request-Name: "),
        ("X-Request-Id: ", "X-Request-Id: a b"),
        ("X-Request-Id: ", "X-Request-Id: x\r\nX-Request-Id: "),
        ("Plan: starter", "Plan: starter\r\nPlan: starter"),
        ("Host: backend.local", "Host: backend.local\r\nHost: other.local"),
        ("Host: backend.local\r\n", ""),
        ("Host: backend.local", "Host: a b"),
        ("Host: backend.local", "Host: user@backend.local"),
        ("GET /", "GET https://other.local/"),
        ("GET /", "GET http://user@other.local/"),
        // A server that does not read the body of a GET would take it for the next request.
        ("Host: backend.local", "Host: backend.local\r\nContent-Length: 4"),
        ("client=00000000b4d65521", "client=00000000b4d65521; client=00000000b4d65522"),
    ];
    for (right, wrong) in malformed {
        assert!(valid.contains(right));
        assert_eq!(
            gateway.client().send(&(valid.replace(right, wrong) + "GET ")).read().status(),
            400,
            "{wrong:?}"
        );
    }
    let long = "x".repeat(64 * 1024);
    assert_eq!(gateway.client().send(&post(&format!("{long}x"))).read().status(), 413);

    let mut client = gateway.client();
    client.send(&post(&long));
    let exchange = backend.next_request();
    assert_eq!(
        exchange.request.body.len(),
        long.len(),
        "the first request that reaches the backend is the valid one"
    );
    exchange.ok(&long);
    assert_eq!(client.read().body.len(), long.len());
}

#[test]
fn the_host_of_a_request_line_in_absolute_form_replaces_the_header() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut client = gateway.client();
    client.send(&get("/1?a=b").replace("GET /", "GET http://other.local/"));
    let exchange = backend.next_request();
    assert_eq!(exchange.request.line, "GET /preview-fetch/1?a=b HTTP/1.1");
    assert_eq!(exchange.request.header("host"), "other.local");
    exchange.ok("served");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn idle_connections_are_closed_when_descriptors_run_out() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_descriptors(backend.address, 48);
    let serve = |client: &mut Client| {
        client.send(&get(""));
        backend.next_request().ok("served");
        assert_eq!(client.read().status(), 200);
    };
    let mut regular = gateway.client();
    serve(&mut regular);
    // Connections without a request are closed before the one that had some, and new clients are served at once.
    let _silent: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    serve(&mut gateway.client());
    serve(&mut regular);
    // Of the others those with a single request are closed, the longest idle first.
    let served_client = |_| {
        let mut client = gateway.client();
        serve(&mut client);
        client
    };
    let mut idle: Vec<Client> = (0..8).map(served_client).collect();
    thread::sleep(Duration::from_millis(400));
    idle.extend((0..8).map(served_client));
    serve(idle.last_mut().expect("the last"));
    serve(&mut regular);
    idle[0].expect_close();
}

#[test]
fn idle_connections_are_closed_where_the_system_allows_fewer_descriptors_than_the_settings() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let file = write_config(&config);
    let child = spawn_with_descriptors(100, &file, &config);
    let gateway = GatewayProcess::listening(child, &config, file);
    let _served = answer_all(backend);
    let mut idle = Vec::new();
    for _ in 0..120 {
        let connected_at = Instant::now();
        let mut client = gateway.client();
        assert_eq!(client.send(&get("")).read().status(), 200);
        assert!(connected_at.elapsed() < Duration::from_millis(2000), "client {} waited", idle.len());
        idle.push(client);
    }
}

#[test]
fn with_many_connections_those_with_a_single_request_are_closed_soon() {
    let backend = Peer::start();
    // One backend under several names, so that there is capacity for all requests at once.
    let targets: Vec<Value> =
        (1..=9).map(|n| target(&format!("s-0000000{n}"), backend.address, "ready")).collect();
    let mut config = config(closed_port(), list(&targets));
    // Far more descriptors than are used here, but the 12 client connections take more than an eighth of those that
    // clients and servers may use.
    config["limits"]["sockets"] = json!(112);
    let gateway = GatewayProcess::start(&config);
    let mut clients: Vec<Client> = (0..12).map(|_| gateway.client()).collect();
    let exchanges: Vec<Exchange> = clients
        .iter_mut()
        .map(|client| {
            client.send(&get(""));
            backend.next_request()
        })
        .collect();
    // Connections without a request count too, so that there are many until the last of these clients is closed, also if
    // their responses come at different times.
    let _without_request: Vec<Client> = (0..12).map(|_| gateway.client()).collect();
    for exchange in exchanges {
        exchange.ok("");
        thread::sleep(Duration::from_millis(20));
    }
    for client in &mut clients {
        assert_eq!(client.read().status(), 200);
    }
    let answered = Instant::now();
    for client in &mut clients {
        client.expect_close();
    }
    // With few connections the idle time-out is 10 s.
    assert!(answered.elapsed() < Duration::from_secs(5), "closed after {:?}", answered.elapsed());
}

#[test]
fn request_smuggled_in_a_body_is_not_forwarded() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let smuggled = get("/hidden");
    let chunked = format!("0\r\n\r\n{smuggled}");
    let length = chunked.len();
    let plain = post("");
    for framing in [
        format!("Content-Length: {length}\r\nTransfer-Encoding: chunked"),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {length}"),
        "Transfer-Encoding: chunked".to_string(),
    ] {
        let mut client = gateway.client();
        client.send(&(plain.replace("Content-Length: 0", &framing) + &chunked));
        assert_eq!(client.read().status(), 400, "{framing:?}");
        client.expect_close();
    }
    let mut client = gateway.client();
    client.send(&get("/seen"));
    let exchange = backend.next_request();
    assert!(exchange.request.line.starts_with("GET /preview-fetch/seen "), "{}", exchange.request.line);
    exchange.ok("served");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn duplicate_request_id_gets_409_until_the_last_attempt_has_ended() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut first = gateway.client();
    let job = post("a job");
    first.send(&job);
    let exchange = backend.next_request();
    assert_eq!(gateway.client().send(&job).read().status(), 409);
    // The client has left, but the attempt may still take effect.
    drop(first);
    assert_eq!(gateway.client().send(&job).read().status(), 409);
    exchange.ok("for the client that left");
    let until = Instant::now() + TEST_TIMEOUT;
    let again = loop {
        let mut client = gateway.client();
        client.send(&job);
        if let Ok(exchange) = backend.exchanges.recv_timeout(Duration::from_millis(100)) {
            exchange.ok("served");
            break client.read().status();
        }
        assert_eq!(client.read().status(), 409);
        assert!(Instant::now() < until, "the id stays in use");
    };
    assert_eq!(again, 200);
}

#[test]
fn class_and_plan_names_may_contain_any_characters() {
    let backend = Peer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["classes"][0]["name"] = json!("menü-olvasás");
    config["settings"]["plans"][0]["name"] = json!("diák bérlet");
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    let request = get("/7").replace("X-Class: preview-fetch", "X-Class: menü-olvasás");
    let request = request.replace("Plan: starter", "Plan: diák bérlet");
    for path in ["/men%C3%BC-olvas%c3%a1s/7", "/menü-olvasás/7"] {
        client.send(&request.replace("/preview-fetch/7", path));
        let exchange = backend.next_request();
        assert_eq!(exchange.request.line, format!("GET {path} HTTP/1.1"), "unchanged");
        exchange.ok("served");
        assert_eq!(client.read().status(), 200);
    }
    assert_eq!(client.send(&request.replace("/preview-fetch/7", "/men%C3/7")).read().status(), 400);
}

#[test]
fn keyed_request_needs_exactly_one_idempotency_key_and_is_sent_once() {
    let backend = Peer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let class = config["settings"]["classes"][1].as_object_mut().expect("a class");
    class.insert("semantics".into(), json!("guarded"));
    // Without these settings the gateway assumes that servers do not drop duplicates, so it does not repeat a request.
    class.remove("group");
    class.remove("dedupWindow");
    let gateway = GatewayProcess::start(&config);
    assert_eq!(gateway.client().send(&post("a job")).read().status(), 400);
    let keyed = post("a job").replace("Host:", "Idempotency-Key: 7\r\nHost:");
    let twice = keyed.replace("Host:", "Idempotency-Key: 8\r\nHost:");
    assert_eq!(gateway.client().send(&twice).read().status(), 400);
    let mut client = gateway.client();
    client.send(&keyed);
    let exchange = backend.next_request();
    assert_eq!(exchange.request.header("idempotency-key"), "7");
    exchange.send_and_close("");
    assert_eq!(client.read().status(), 504);
    assert!(backend.exchanges.try_recv().is_err(), "it was sent only once");
}

#[test]
fn clients_that_do_not_finish_a_request_are_closed_in_time() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut idle = gateway.client();
    idle.send(&get(""));
    backend.next_request().ok("served");
    assert_eq!(idle.read().status(), 200);
    let connected_at = Instant::now();
    let mut silent = gateway.client();
    let mut half_head = gateway.client();
    half_head.send("GET /preview-fetch HTTP/1.1\r\nHost: ");
    let mut half_body = gateway.client();
    half_body.send(&post("a job").replace("Content-Length: 5", "Content-Length: 6"));
    let mut second = gateway.client();
    second.send(&get(""));
    backend.next_request().ok("served");
    assert_eq!(second.read().status(), 200);
    second.send("GET ");
    silent.expect_close();
    // A partial request gets a response, as the rest of it may arrive during the close.
    for mut unfinished in [half_head, half_body, second] {
        assert_eq!(unfinished.read().status(), 408);
        unfinished.expect_close();
    }
    // The limit is 3 s; the rest allows for a slow machine.
    assert!(connected_at.elapsed() < Duration::from_millis(6000), "it took {:?}", connected_at.elapsed());
    // A connection that is idle after a response stays open.
    idle.send(&get(""));
    backend.next_request().ok("served");
    assert_eq!(idle.read().status(), 200);
}

#[test]
fn oversized_requests_are_refused_before_they_arrive_and_the_response_is_not_lost() {
    let gateway = GatewayProcess::with_backends(&[closed_port()]);
    let long = 60 << 20;
    let mut client = gateway.client();
    client.send(&post("").replace("Content-Length: 0", &format!("Content-Length: {long}")));
    assert_eq!(client.read().status(), 413, "it is answered before any of the body is sent");

    let mut client = gateway.client();
    client.send(&post("").replace("Content-Length: 0", &format!("Content-Length: {long}")));
    let block = vec![b'x'; 1 << 20];
    for _ in 0..60 {
        client.stream.write_all(&block).expect("the gateway reads what the client still sends");
    }
    assert_eq!(client.read().status(), 413);
    client.expect_close();

    let mut client = gateway.client();
    let endless = format!("GET / HTTP/1.1\r\nX-Long: {}", "x".repeat(1 << 20));
    client.stream.write_all(endless.as_bytes()).expect("the gateway goes on reading");
    assert_eq!(client.read().status(), 431);
    client.expect_close();
}

#[test]
fn connection_header_that_names_a_request_header_gets_400() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    for name in ["X-Request-Id", "idempotency-key", "X-Deadline"] {
        let mut client = gateway.client();
        let request = get("").replace("\r\n\r\n", &format!("\r\nConnection: keep-alive, {name}\r\n\r\n"));
        assert_eq!(client.send(&request).read().status(), 400, "{name}");
    }
    assert!(backend.exchanges.try_recv().is_err(), "nothing reaches a backend");
}

#[test]
fn deadline_of_a_pipelined_request_counts_from_its_arrival() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_backends(&[backend.address]);
    let mut client = gateway.client();
    let short_deadline = get("/second").replace("4000m", "900m");
    client.send(&format!("{}{}{short_deadline}", get("/first"), get("/second")));
    let first = backend.next_request();
    thread::sleep(Duration::from_millis(500));
    first.ok("first");
    let second = backend.next_request();
    let time_left_us =
        second.request.header("x-deadline").trim_end_matches('u').parse::<f64>().expect("a number");
    assert!(time_left_us <= 3_550_000.0, "x-deadline of {time_left_us} us though 0.5 s of 4 s are over");
    thread::sleep(Duration::from_millis(600));
    second.ok("second");
    for status in [200, 200, 429] {
        assert_eq!(
            client.read().status(),
            status,
            "the deadline of the last request passes before it is read"
        );
    }
    assert!(backend.exchanges.try_recv().is_err(), "no request is sent after its deadline");
}
