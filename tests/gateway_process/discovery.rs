//! How the gateway follows the list of servers, and which sends a change of it forbids.

use crate::peers::*;
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::process::Stdio;
use std::thread;

#[test]
fn healthz_answers_503_without_a_ready_backend_and_200_with_one() {
    let discovery = Discovery::start(list(&[]));
    let backend = Peer::start();
    let gateway = GatewayProcess::start(&config(discovery.address, list(&[])));
    assert_eq!(gateway.client().send(HEALTH_CHECK).read().status(), 503);
    discovery.push_targets(json!([target("s-00000001", backend.address, "ready")]));
    assert_eq!(gateway.client().send(HEALTH_CHECK).read().status(), 200);
}

#[test]
fn a_draining_backend_gets_no_new_requests() {
    let backends = [Peer::start(), Peer::start()];
    let both = list(&[
        target("s-00000001", backends[0].address, "ready"),
        target("s-00000002", backends[1].address, "ready"),
    ]);
    let discovery = Discovery::start(both.clone());
    let gateway = GatewayProcess::start(&config(discovery.address, both));
    discovery.push_targets(json!([target("s-00000001", backends[0].address, "draining")]));
    let mut client = gateway.client();
    for _ in 0..6 {
        client.send(&get(""));
        let (exchange, n) = next_request_of(&backends);
        assert_eq!(n, 1, "the draining backend got a request");
        exchange.ok("");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn an_attempt_still_connecting_when_its_backend_drains_is_not_sent() {
    let stuck = FullBacklogPeer::start();
    let known = list(&[target("s-00000001", stuck.address, "ready")]);
    let discovery = Discovery::start(known.clone());
    let mut config = config(discovery.address, known);
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    discovery.push_targets(json!([target("s-00000001", stuck.address, "draining")]));
    let reader = thread::spawn(move || client.read().status());
    assert_eq!(String::from_utf8_lossy(&stuck.open()), "");
    assert_eq!(reader.join().expect("an answer"), 429);
}

#[test]
fn an_unresponsive_discovery_does_not_affect_service_and_is_called_again() {
    let backend = Peer::start();
    let discovery = Peer::start();
    let gateway = GatewayProcess::start(&config(
        discovery.address,
        list(&[target("s-00000001", backend.address, "ready")]),
    ));
    let mut call = discovery.next_request();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    let mut client = gateway.client();
    client.send(&get(""));
    backend.next_request().ok("served");
    assert_eq!(client.read().status(), 200);
    call.wait_for_close();
    // An answer that is not a valid list is ignored; the list held stays valid.
    fresh_request(&discovery).ok("{\"rev\":");
    let call = fresh_request(&discovery);
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    client.send(&get(""));
    backend.next_request().ok("served");
    assert_eq!(client.read().status(), 200);
    call.ok(&list(&[]).to_string());
    assert_eq!(next_watch(&discovery).request.line, "GET /v1/servers?after=1&wait_ms=1000 HTTP/1.1");
    assert_eq!(client.send(&get("")).read().status(), 429, "no backend is left");
}

#[test]
fn a_delta_with_a_revision_below_the_one_held_is_ignored_and_the_full_list_fetched() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let held = list(&[target("s-00000001", backend.address, "ready")]);
    let gateway = GatewayProcess::start(&config(agent.address, held.clone()));
    let mut full = held;
    full["rev"] = json!(41);
    let call = agent.next_request();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    call.ok(&full.to_string());
    let call = next_watch(&agent);
    assert_eq!(call.request.line, "GET /v1/servers?after=41&wait_ms=1000 HTTP/1.1");
    // The agent has restarted and counts revisions from 1 again.
    let gone = [target("s-00000001", backend.address, "gone")];
    call.ok(&json!({"rev": 2, "all": false, "targets": gone}).to_string());
    let call = next_list_call(&agent);
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1", "the full list is asked for");
    let mut client = gateway.client();
    client.send(&get(""));
    backend.next_request().ok("served");
    assert_eq!(client.read().status(), 200);
    call.ok(&list(&[]).to_string());
    assert_eq!(next_watch(&agent).request.line, "GET /v1/servers?after=1&wait_ms=1000 HTTP/1.1");
    assert_eq!(client.send(&get("")).read().status(), 429, "no backend is left");
}

#[test]
fn with_registry_mode_on_request_only_changes_after_the_cached_revision_are_asked_for() {
    let (backend, new, busy) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(busy.address, list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["registryMode"] = json!("on_request");
    let gateway = GatewayProcess::start(&config);
    // After a 503 it asks again for the same changes, not for the full list.
    for _ in 0..3 {
        let call = busy.next_request();
        assert_eq!(call.request.line, "GET /v1/servers?after=1&wait_ms=1000 HTTP/1.1");
        call.answer("503 Service Unavailable", "", "");
    }
    let targets = [target("s-00000001", backend.address, "gone"), target("s-00000002", new.address, "ready")];
    busy.next_request().ok(&json!({"rev": 5, "all": false, "targets": targets}).to_string());
    assert_eq!(busy.next_request().request.line, "GET /v1/servers?after=5&wait_ms=1000 HTTP/1.1");
    let mut client = gateway.client();
    client.send(&get(""));
    new.next_request().ok("served");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn sighup_moves_the_watch_to_the_discovery_address_in_the_new_file() {
    let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
    let mut gateway = GatewayProcess::start_with(&config, Stdio::piped());
    let mut log = BufReader::new(gateway.child.stderr.take().expect("a pipe"));
    first.next_request().ok(&list(&[target("s-00000001", backend.address, "ready")]).to_string());
    let mut old = next_watch(&first);

    // A truncated file changes nothing and is logged once. It is applied once it is complete, without another signal.
    std::fs::write(&gateway.file, &config.to_string()[..99]).expect("the file is replaced");
    gateway.signal("-HUP");
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    assert!(line.starts_with("brassport: not reloaded: configuration: "), "{line:?}");
    let mut client = gateway.client();
    client.send(&get(""));
    backend.next_request().ok("served");
    assert_eq!(client.read().status(), 200);

    // The file now takes precedence over BALANCER_DISCOVERY, and each signal starts the watch anew.
    config["discovery"] = json!(second.address.to_string());
    std::fs::write(&gateway.file, config.to_string()).expect("the file is replaced");
    old.wait_for_close();
    old = second.next_request();
    for _ in 0..2 {
        gateway.signal("-HUP");
        old.wait_for_close();
        old = fresh_request(&second);
        assert_eq!(old.request.line, "GET /v1/servers HTTP/1.1");
    }
    let moved = Peer::start();
    old.ok(&list(&[target("s-00000002", moved.address, "ready")]).to_string());
    next_watch(&second);
    client.send(&get(""));
    moved.next_request().ok("served");
    assert_eq!(client.read().status(), 200);

    gateway.signal("-HUP");
    gateway.terminate();
    drop(client);
    assert!(gateway.child.wait().expect("it ends").success());
}

#[test]
fn after_a_call_that_failed_in_any_way_the_next_call_fetches_the_list() {
    for mode in ["pushed", "on_request"] {
        let (backend, new, agent) = (Peer::start(), Peer::start(), Peer::start());
        let mut config = config(agent.address, list(&[target("s-00000001", backend.address, "ready")]));
        config["settings"]["registryMode"] = json!(mode);
        let gateway = GatewayProcess::start(&config);
        agent.next_request().send_and_close("");
        agent.next_request().answer("500 Internal Server Error", "", "{}");
        agent.next_request().answer("200 OK", "", "no list");
        agent.next_request().send_and_close("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"rev\":9,");
        agent.next_request().send_and_close("\u{1}\u{2}noise\r\n\r\n");
        // A call whose answer never ends is given up after its time-out.
        let mut slow = agent.next_request();
        slow.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{").expect("a part goes out");
        slow.wait_for_close();
        let targets = [target("s-00000002", new.address, "ready")];
        fresh_request(&agent).ok(&list(&targets).to_string());
        next_watch(&agent);
        let mut client = gateway.client();
        client.send(&get(""));
        new.next_request().ok("served");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn an_indented_list_of_3200_backends_is_accepted() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let state = |n: u32| if n == 2700 { "ready" } else { "draining" };
    let targets: Vec<_> =
        (0..3200).map(|n| target(&format!("s-{n:08x}"), backend.address, state(n))).collect();
    let text = serde_json::to_string_pretty(&list(&targets)).expect("it is JSON");
    let indented = text.replace("  ", "        ");
    let gateway = GatewayProcess::start(&config(agent.address, list(&[])));
    agent.next_request().ok(&indented);
    next_watch(&agent);
    gateway.serves_from(&backend);
}

// The log has to show which changes a gateway may have missed: when discovery last answered, and the revision held.
#[test]
fn the_loss_and_the_return_of_discovery_are_logged() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut gateway = GatewayProcess::start_with(&config(agent.address, known.clone()), Stdio::piped());
    let log = BufReader::new(gateway.child.stderr.take().expect("a pipe"));
    let mut lines = log.lines().map(|line| line.expect("a line"));
    agent.next_request().ok(&known.to_string());
    next_list_call(&agent).send_and_close("");
    assert!(lines
        .next()
        .expect("a line")
        .starts_with("brassport: discovery is lost: the connection broke; revision held 1, "));
    next_list_call(&agent).send_and_close("");
    let mut later = known;
    later["rev"] = json!(7);
    next_list_call(&agent).ok(&later.to_string());
    let line = lines.next().expect("a line");
    assert!(line.starts_with("brassport: discovery is back: revision 7, after "), "{line}");
    assert!(line.ends_with(" s without an answer"), "{line}");
}
