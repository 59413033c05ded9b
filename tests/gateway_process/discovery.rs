//! The list of backends: how it is followed, and what a change forbids.

use crate::peers::*;
use serde_json::json;
use std::io::BufRead;
use std::io::{BufReader, Write};
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn healthz_tells_whether_it_can_serve() {
    let discovery = Discovery::start(list(&[]));
    let backend = Peer::start();
    let front = GatewayProcess::start(&config(discovery.address, list(&[])));
    let ask = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    assert_eq!(front.client().send(ask).read().status(), 503);
    discovery.push_targets(json!([target("s-00000001", backend.address, "ready")]));
    assert_eq!(front.client().send(ask).read().status(), 200);
}

#[test]
fn a_draining_backend_gets_nothing_new() {
    let backends = [Peer::start(), Peer::start()];
    let both = list(&[
        target("s-00000001", backends[0].address, "ready"),
        target("s-00000002", backends[1].address, "ready"),
    ]);
    let discovery = Discovery::start(both.clone());
    let front = GatewayProcess::start(&config(discovery.address, both));
    discovery.push_targets(json!([target("s-00000001", backends[0].address, "draining")]));
    let mut client = front.client();
    for _ in 0..6 {
        client.send(&get(""));
        let (exchange, n) = next_of(&backends);
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
    let front = GatewayProcess::start(&config);
    let mut client = front.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    discovery.push_targets(json!([target("s-00000001", stuck.address, "draining")]));
    let reader = thread::spawn(move || client.read().status());
    assert_eq!(String::from_utf8_lossy(&stuck.open()), "");
    assert_eq!(reader.join().expect("an answer"), 429);
}

#[test]
fn a_silent_discovery_disturbs_nothing_and_is_asked_anew() {
    let backend = Peer::start();
    let silent = Peer::start();
    let front = GatewayProcess::start(&config(
        silent.address,
        list(&[target("s-00000001", backend.address, "ready")]),
    ));
    let mut call = silent.next();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    let mut client = front.client();
    client.send(&get(""));
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);
    call.wait_for_close();
    // What makes no sense is no list, and the list held stays in force.
    silent.next().ok("{\"rev\":");
    let call = silent.next();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    client.send(&get(""));
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);
    call.ok(&list(&[]).to_string());
    assert_eq!(silent.next().request.line, "GET /v1/servers?after=1&wait_ms=1000 HTTP/1.1");
    assert_eq!(client.send(&get("")).read().status(), 429, "no backend is left");
}

#[test]
fn changes_to_another_list_than_the_one_held_are_not_taken_for_changes_to_it() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let held = list(&[target("s-00000001", backend.address, "ready")]);
    let front = GatewayProcess::start(&config(agent.address, held.clone()));
    let mut whole = held;
    whole["rev"] = json!(41);
    let call = agent.next();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    call.ok(&whole.to_string());
    let call = agent.next();
    assert_eq!(call.request.line, "GET /v1/servers?after=41&wait_ms=1000 HTTP/1.1");
    // The agent began anew and numbers from 1 again.
    let gone = [target("s-00000001", backend.address, "gone")];
    call.ok(&json!({"rev": 2, "all": false, "targets": gone}).to_string());
    let call = next_list_call(&agent);
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1", "the whole list is asked for");
    let mut client = front.client();
    client.send(&get(""));
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);
    call.ok(&list(&[]).to_string());
    assert_eq!(agent.next().request.line, "GET /v1/servers?after=1&wait_ms=1000 HTTP/1.1");
    assert_eq!(client.send(&get("")).read().status(), 429, "no backend is left");
}

#[test]
fn a_list_that_has_to_be_asked_for_is_asked_for_from_the_version_known() {
    let (backend, new, busy) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(busy.address, list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["registryMode"] = json!("on_request");
    let front = GatewayProcess::start(&config);
    // Turned away, it asks again for no more than it lacks.
    for _ in 0..3 {
        let call = busy.next();
        assert_eq!(call.request.line, "GET /v1/servers?after=1&wait_ms=1000 HTTP/1.1");
        call.answer("503 Service Unavailable", "", "");
    }
    let targets = [target("s-00000001", backend.address, "gone"), target("s-00000002", new.address, "ready")];
    busy.next().ok(&json!({"rev": 5, "all": false, "targets": targets}).to_string());
    assert_eq!(busy.next().request.line, "GET /v1/servers?after=5&wait_ms=1000 HTTP/1.1");
    let mut client = front.client();
    client.send(&get(""));
    new.next().ok("served");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn sighup_moves_the_watch_to_the_new_files_discovery() {
    let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
    let mut front = GatewayProcess::start_with(&config, Stdio::piped());
    let mut log = BufReader::new(front.child.stderr.take().expect("a pipe"));
    first.next().ok(&list(&[target("s-00000001", backend.address, "ready")]).to_string());
    let mut old = first.next();

    // Half a file changes nothing, and says so once; it is taken when it is whole, without another signal.
    std::fs::write(&front.file, &config.to_string()[..99]).expect("the file is replaced");
    front.signal("-HUP");
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    assert!(line.starts_with("brassport: not reloaded: configuration: "), "{line:?}");
    let mut client = front.client();
    client.send(&get(""));
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);

    // The file goes before BALANCER_DISCOVERY now, and a signal begins the watch once more.
    config["discovery"] = json!(second.address.to_string());
    std::fs::write(&front.file, config.to_string()).expect("the file is replaced");
    old.wait_for_close();
    old = second.next();
    for _ in 0..2 {
        front.signal("-HUP");
        old.wait_for_close();
        old = second.next();
        assert_eq!(old.request.line, "GET /v1/servers HTTP/1.1");
    }
    let moved = Peer::start();
    old.ok(&list(&[target("s-00000002", moved.address, "ready")]).to_string());
    second.next();
    client.send(&get(""));
    moved.next().ok("served");
    assert_eq!(client.read().status(), 200);

    front.signal("-HUP");
    front.terminate();
    drop(client);
    assert!(front.child.wait().expect("it ends").success());
}

#[test]
fn whatever_became_of_a_call_the_next_one_brings_the_list() {
    for mode in ["pushed", "on_request"] {
        let (backend, new, agent) = (Peer::start(), Peer::start(), Peer::start());
        let mut config = config(agent.address, list(&[target("s-00000001", backend.address, "ready")]));
        config["settings"]["registryMode"] = json!(mode);
        let front = GatewayProcess::start(&config);
        agent.next().send_and_close("");
        agent.next().answer("500 Internal Server Error", "", "{}");
        agent.next().answer("200 OK", "", "no list");
        agent.next().send_and_close("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"rev\":9,");
        agent.next().send_and_close("\u{1}\u{2}noise\r\n\r\n");
        // One whose answer never ends is given up.
        let mut slow = agent.next();
        slow.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{").expect("a part goes out");
        slow.wait_for_close();
        let targets = [target("s-00000002", new.address, "ready")];
        agent.next().ok(&list(&targets).to_string());
        agent.next();
        let mut client = front.client();
        client.send(&get(""));
        new.next().ok("served");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn a_list_of_3200_backends_may_come_indented() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let front = GatewayProcess::start(&config(agent.address, list(&[])));
    let state = |n: u32| if n == 2700 { "ready" } else { "draining" };
    let targets: Vec<_> =
        (0..3200).map(|n| target(&format!("s-{n:08x}"), backend.address, state(n))).collect();
    let text = serde_json::to_string_pretty(&list(&targets)).expect("it is JSON");
    agent.next().ok(&text.replace("  ", "        "));
    agent.next();
    front.serves_from(&backend);
}

// What a gateway did not hear can be told from its log: when the last word came, and which revision it holds.
#[test]
fn the_log_tells_when_discovery_is_lost_and_when_it_is_back() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut front = GatewayProcess::start_with(&config(agent.address, known.clone()), Stdio::piped());
    let log = BufReader::new(front.child.stderr.take().expect("a pipe"));
    let mut lines = log.lines().map(|line| line.expect("a line"));
    agent.next().ok(&known.to_string());
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

/// A gateway with one server, a grace of 1 s for drains, and an agent that has told it the list and holds its watch open.
fn watched(backend: &Peer, agent: &Peer) -> (GatewayProcess, Exchange) {
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config(agent.address, known.clone());
    config["settings"]["rules"]["stopSendingWithin"] = json!(1000.0);
    let front = GatewayProcess::start(&config);
    agent.next().ok(&known.to_string());
    let watch = agent.next();
    assert_eq!(watch.request.line, "GET /v1/servers?after=1&wait_ms=400 HTTP/1.1");
    (front, watch)
}

// Servers are sent to through an outage of discovery: what the agent had was heard before.
#[test]
fn an_agent_that_falls_silent_behind_a_watch_that_was_confirmed_leaves_the_list_in_force() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let (front, _watch) = watched(&backend, &agent);
    let confirmation = agent.next();
    assert_eq!(confirmation.request.line, "GET /v1/servers?after=1&wait_ms=0 HTTP/1.1");
    confirmation.ok(&json!({"rev": 1, "all": false, "targets": []}).to_string());
    thread::sleep(Duration::from_millis(1500));
    front.serves_from(&backend);
}

// The agent fell silent before the watch was confirmed: what it has may have drained for as long as the grace.
#[test]
fn a_list_that_may_be_old_is_withdrawn_within_the_grace_and_back_with_the_agents_next_answer() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let (front, _watch) = watched(&backend, &agent);
    front.serves_from(&backend);
    thread::sleep(Duration::from_millis(1000));
    let mut client = front.client();
    assert_eq!(client.send(&get("")).read().status(), 429, "nothing is sent");
    let known = list(&[target("s-00000001", backend.address, "ready")]).to_string();
    thread::spawn(move || {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{known}", known.len());
        while let Ok(mut call) = agent.exchanges.recv() {
            // Those that came in the silence were given up.
            let _ = call.stream.write_all(answer.as_bytes());
        }
    });
    answer_all(backend);
    let until = Instant::now() + TEST_TIMEOUT;
    while client.send(&get("")).read().status() != 200 {
        assert!(Instant::now() < until, "the list is not back");
        thread::sleep(Duration::from_millis(20));
    }
}

// A gateway whose file is still being written at its start asks the agent meanwhile: what that has counts from the
// start of the process on, and it may be silent by the time at which the file is whole (soak, wide seed 9101).
#[test]
fn what_an_agent_hears_while_the_configuration_is_late_is_told_though_it_falls_silent() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config(agent.address, known.clone());
    config["settings"]["rules"]["stopSendingWithin"] = json!(1000.0);
    let file = write_config(&config);
    std::fs::write(&file, &config.to_string()[..99]).expect("the file is cut short");
    let starting = StartingGateway::spawn(&file, &config);
    agent.next().ok(&known.to_string());
    let drains = [target("s-00000001", backend.address, "draining")];
    next_list_call(&agent).ok(&json!({"rev": 2, "all": false, "targets": drains}).to_string());
    // The next watch is open, and the agent silent.
    let _watch = next_list_call(&agent);
    std::fs::write(&file, config.to_string()).expect("the file is whole");
    let front = starting.listening(&config, file);
    let sent = answer_all(backend);
    let mut client = front.client();
    for _ in 0..10 {
        client.send(&get("")).read();
    }
    assert_eq!(sent.load(Ordering::Relaxed), 0, "of 10 requests were sent to a server that drains");
}

// A start goes by what it has: one whose list was withdrawn before it served would not be ready until its agent speaks
// (soak, hard seed 72001: not ready within 30 s).
#[test]
fn a_gateway_whose_agent_fell_silent_while_the_configuration_was_late_serves_by_what_it_heard() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let mut config = config(agent.address, list(&[]));
    config["settings"]["rules"]["stopSendingWithin"] = json!(1000.0);
    let file = write_config(&config);
    std::fs::write(&file, &config.to_string()[..99]).expect("the file is cut short");
    let starting = StartingGateway::spawn(&file, &config);
    agent.next().ok(&list(&[target("s-00000001", backend.address, "ready")]).to_string());
    let _watch = agent.next();
    std::fs::write(&file, config.to_string()).expect("the file is whole");
    let front = starting.listening(&config, file);
    thread::sleep(Duration::from_millis(1500));
    front.serves_from(&backend);
}

// The list in the file of a new process may be older than what its agent has, which answers within milliseconds.
#[test]
fn nothing_is_sent_by_the_list_in_the_file_before_the_agents_first_word() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let front = GatewayProcess::start(&config(
        agent.address,
        list(&[target("s-00000001", backend.address, "ready")]),
    ));
    let drains = list(&[target("s-00000001", backend.address, "draining")]).to_string();
    let sent = answer_all(backend);
    let mut client = front.client();
    client.send(&get(""));
    thread::sleep(Duration::from_millis(100));
    agent.next().ok(&drains);
    assert_eq!(client.read().status(), 429);
    assert_eq!(sent.load(Ordering::Relaxed), 0, "requests were sent to a server that drains");
}

// A watch has ended and the next one is not open yet, as the process is held up for 0.14 s just then; meanwhile the agent
// hears that a server drains, and falls silent. What the agent has counts as told, whether or not a watch is open, and
// this process goes on sending to the server for as long as the agent is silent (soak, wide seed 40027: `sent 2300 ms
// after it was told`, drain grace 985 ms, the agent silent 13 ms after it had the news).
#[test]
fn what_an_agent_hears_between_two_watches_is_told_though_it_falls_silent() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config(agent.address, known.clone());
    config["settings"]["rules"]["stopSendingWithin"] = json!(1000.0);
    let front = GatewayProcess::start(&config);
    agent.next().ok(&known.to_string());
    let watch = agent.next();
    front.signal("-STOP");
    watch.ok(&json!({"rev": 1, "all": false, "targets": []}).to_string());
    thread::sleep(Duration::from_millis(100));
    let drains = [target("s-00000001", backend.address, "draining")];
    while let Ok(open) = agent.exchanges.try_recv() {
        open.ok(&json!({"rev": 2, "all": false, "targets": drains}).to_string());
    }
    thread::sleep(Duration::from_millis(40));
    front.signal("-CONT");
    thread::sleep(Duration::from_millis(1500));
    let sent = answer_all(backend);
    let mut client = front.client();
    for _ in 0..10 {
        client.send(&get("")).read();
    }
    assert_eq!(sent.load(Ordering::Relaxed), 0, "of 10 requests were sent to a server that drains");
}
