//! For how long the gateway sends by a list of servers that may lack changes: from a configuration file, from an agent that
//! has become unresponsive, or from the discovery of an earlier configuration.

use crate::peers::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// A configuration with a drain grace of 1 s.
fn config_with_short_grace(agent: SocketAddr, known: Value) -> Value {
    let mut config = config(agent, known);
    config["settings"]["rules"]["stopSendingWithin"] = json!(1000.0);
    config
}

/// The answer of an agent that has no changes after revision 1.
fn no_changes() -> String {
    json!({"rev": 1, "all": false, "targets": []}).to_string()
}

/// Starts a gateway whose configuration file is incomplete.
fn start_with_truncated_file(config: &Value) -> (StartingGateway, PathBuf) {
    let file = write_config(config);
    std::fs::write(&file, &config.to_string()[..99]).expect("the file is truncated");
    (StartingGateway::spawn(&file, config), file)
}

/// A gateway with one server and a drain grace of 1 s, its configuration, and the open watch of its agent, which has sent it
/// the list.
fn gateway_with_open_watch(backend: &Peer, agent: &Peer) -> (GatewayProcess, Value, Exchange) {
    let (gateway, config) = gateway_with_list(backend, agent);
    let watch = next_watch(agent);
    assert_eq!(watch.request.line, "GET /v1/servers?after=1&wait_ms=400 HTTP/1.1");
    (gateway, config, watch)
}

/// A gateway with one server and a drain grace of 1 s, to which its agent has sent the list, and its configuration.
fn gateway_with_list(backend: &Peer, agent: &Peer) -> (GatewayProcess, Value) {
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let config = config_with_short_grace(agent.address, known.clone());
    let gateway = GatewayProcess::start(&config);
    agent.next_request().ok(&known.to_string());
    (gateway, config)
}

/// The same with a watch that the agent has confirmed.
fn gateway_with_confirmed_watch(backend: &Peer, agent: &Peer) -> (GatewayProcess, Value, Exchange) {
    let (gateway, config) = gateway_with_list(backend, agent);
    let (watch, confirmation) = next_watch_and_confirmation(agent);
    assert_eq!(watch.request.line, "GET /v1/servers?after=1&wait_ms=400 HTTP/1.1");
    assert_eq!(confirmation.request.line, "GET /v1/servers?after=1&wait_ms=0 HTTP/1.1");
    confirmation.ok(&no_changes());
    (gateway, config, watch)
}

/// Sends 10 requests to a gateway and returns how many of them its backend received.
fn sent_of_10_requests(gateway: &GatewayProcess, backend: Peer) -> u32 {
    let sent = answer_all(backend);
    let mut client = gateway.client();
    for _ in 0..10 {
        client.send(&get("")).read();
    }
    sent.load(Ordering::Relaxed)
}

// Service goes on through an outage of discovery that begins after the watch was confirmed, as no change can be missing.
#[test]
fn the_list_stays_valid_if_the_agent_becomes_unresponsive_after_the_watch_was_confirmed() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let (gateway, _config, _watch) = gateway_with_confirmed_watch(&backend, &agent);
    thread::sleep(Duration::from_millis(1500));
    gateway.serves_from(&backend);
}

// The agent becomes unresponsive before the watch is confirmed: a server may be draining unnoticed, and sends to it must
// stop within the drain grace.
#[test]
fn an_unconfirmed_list_is_withdrawn_within_the_drain_grace_and_restored_by_the_agents_next_answer() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let (gateway, _config, _watch) = gateway_with_open_watch(&backend, &agent);
    gateway.serves_from(&backend);
    thread::sleep(Duration::from_millis(1000));
    let mut client = gateway.client();
    assert_eq!(client.send(&get("")).read().status(), 429, "nothing is sent");
    answer_with_list(agent, list(&[target("s-00000001", backend.address, "ready")]));
    answer_all(backend);
    let until = Instant::now() + TEST_TIMEOUT;
    while client.send(&get("")).read().status() != 200 {
        assert!(Instant::now() < until, "the list is not restored");
        thread::sleep(Duration::from_millis(20));
    }
}

// The gateway counts as notified of what its agent has from the start of the process on. While the configuration file is
// still being written it has to call the agent already, which may be unresponsive once the file is complete (soak, wide
// seed 9101).
#[test]
fn a_drain_received_while_the_configuration_file_is_incomplete_is_obeyed_though_the_agent_stops_answering() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let config = config_with_short_grace(agent.address, known.clone());
    let (starting, file) = start_with_truncated_file(&config);
    agent.next_request().ok(&known.to_string());
    let drains = [target("s-00000001", backend.address, "draining")];
    next_watch(&agent).ok(&json!({"rev": 2, "all": false, "targets": drains}).to_string());
    // The next watch is open, and the agent does not answer it.
    let _watch = next_watch(&agent);
    std::fs::write(&file, config.to_string()).expect("the file is completed");
    let gateway = starting.listening(&config, file);
    assert_eq!(sent_of_10_requests(&gateway, backend), 0, "of 10 requests were sent to a draining server");
}

/// Answers an agent's calls for the full list, and the call that confirms a watch, and none after that. A confirmation that may
/// come too late for its watch, which lasts 0.15 s while the configuration is not known, does not count.
fn answer_until_confirmed(agent: &Peer, list: &Value) {
    const TIMELY: Duration = Duration::from_millis(50);
    let mut watch_opened = None;
    loop {
        let call = agent.next_request();
        if call.request.line == "GET /v1/servers HTTP/1.1" {
            call.answer_if_open(&list.to_string());
        } else if is_confirmation(&call) {
            call.answer_if_open(&no_changes());
            if watch_opened.is_some_and(|opened: Instant| opened.elapsed() < TIMELY) {
                return;
            }
        } else {
            watch_opened = Some(Instant::now());
            std::mem::forget(call);
        }
    }
}

// A list that arrives while the file is incomplete is confirmed as any other: if the file interrupted its watch, the agent
// could not confirm it any more, and the list would be withdrawn.
#[test]
fn a_list_received_while_the_configuration_file_is_incomplete_is_used_after_the_agent_becomes_unresponsive() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let config = config_with_short_grace(agent.address, list(&[]));
    let (starting, file) = start_with_truncated_file(&config);
    answer_until_confirmed(&agent, &list(&[target("s-00000001", backend.address, "ready")]));
    std::fs::write(&file, config.to_string()).expect("the file is completed");
    let gateway = starting.listening(&config, file);
    thread::sleep(Duration::from_millis(1500));
    gateway.serves_from(&backend);
}

// The agent becomes unresponsive before it confirms the list, so servers on it may be draining unnoticed. The gateway is
// ready all the same: otherwise its start would last as long as the outage (soak, hard seed 72001: not ready within 30 s).
#[test]
fn a_start_whose_list_is_never_confirmed_becomes_ready_and_sends_nothing_after_the_drain_grace() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let config = config_with_short_grace(agent.address, list(&[]));
    let (starting, file) = start_with_truncated_file(&config);
    agent.next_request().ok(&list(&[target("s-00000001", backend.address, "ready")]).to_string());
    let _watch = next_watch(&agent);
    thread::sleep(Duration::from_millis(1200));
    std::fs::write(&file, config.to_string()).expect("the file is completed");
    let gateway = starting.listening(&config, file);
    assert_eq!(gateway.client().send(HEALTH_CHECK).read().status(), 200);
    let sent = answer_all(backend);
    assert_eq!(gateway.client().send(&get("")).read().status(), 429);
    assert_eq!(sent.load(Ordering::Relaxed), 0, "a request was sent by a list that was not confirmed");
}

// The list of a file that is late is withdrawn at once, which is no answer of the agent: a gateway that accepted clients then
// would refuse their first requests, though its agent answers.
#[test]
fn a_start_whose_list_is_withdrawn_before_it_serves_waits_for_the_agents_list() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let config = config_with_short_grace(agent.address, known.clone());
    let (starting, file) = start_with_truncated_file(&config);
    thread::sleep(Duration::from_millis(1200));
    std::fs::write(&file, config.to_string()).expect("the file is completed");
    let gateway = starting.listening(&config, file);
    let mut client = gateway.client();
    client.send(&get(""));
    thread::sleep(Duration::from_millis(100));
    answer_with_list(agent, known);
    backend.next_request().ok("served");
    assert_eq!(client.read().status(), 200);
}

// The agent has a drain that the list in the configuration file lacks, and does not answer from before the start of the
// process on. The gateway counts as notified from its start on, but went on sending to the server until the agent answered
// again (review case 10: sends 6.4 s after the drain grace).
#[test]
fn a_start_while_the_agent_is_unresponsive_stops_sending_by_the_list_in_its_file_within_the_drain_grace() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let config = config_with_short_grace(agent.address, known.clone());
    let gateway = GatewayProcess::start(&config);
    thread::sleep(Duration::from_millis(1050));
    let sent = answer_all(backend);
    let mut client = gateway.client();
    for _ in 0..10 {
        assert_eq!(client.send(&get("")).read().status(), 429);
    }
    assert_eq!(sent.load(Ordering::Relaxed), 0, "of 10 requests were sent by a list that was not confirmed");
    assert_eq!(
        client.send(HEALTH_CHECK).read().status(),
        200,
        "an outage of discovery does not fail the start"
    );
    let mut drained = list(&[target("s-00000001", closed_port(), "draining")]);
    drained["rev"] = json!(2);
    answer_with_list(agent, drained);
    let until = Instant::now() + TEST_TIMEOUT;
    while client.send(HEALTH_CHECK).read().status() != 503 {
        assert!(Instant::now() < until, "the agent's answer, by which no server is ready, has no effect");
        thread::sleep(Duration::from_millis(20));
    }
}

// The same if the agent's process is down.
#[test]
fn a_start_whose_agent_refuses_connections_stops_sending_by_the_list_in_its_file_within_the_drain_grace() {
    let backend = Peer::start();
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let gateway = GatewayProcess::start(&config_with_short_grace(closed_port(), known));
    thread::sleep(Duration::from_millis(1050));
    assert_eq!(sent_of_10_requests(&gateway, backend), 0, "of 10 requests were sent by an unconfirmed list");
}

// After SIGHUP the list of the old discovery stays in force for as long as the gateway does not count as notified of what
// the new one has, which is 4 s and the drain grace. It stayed in force until the new one answered (review case 8: sends
// up to 8 s after the signal, to a server that drained).
#[test]
fn after_a_reload_to_an_unresponsive_discovery_the_old_list_is_used_for_4_s_and_withdrawn_within_the_grace() {
    let (backend, old, new) = (Peer::start(), Peer::start(), Peer::start());
    let (gateway, mut config, _watch) = gateway_with_confirmed_watch(&backend, &old);
    let signalled_at = reload_with_discovery(&gateway, &mut config, &new);
    assert_used_for_4_s_and_part_of_the_grace(&gateway, backend, signalled_at);
}

// The same if nothing listens at the new address.
#[test]
fn after_a_reload_to_an_address_that_refuses_connections_the_old_list_is_withdrawn_within_4_s_and_the_grace()
{
    let (backend, old) = (Peer::start(), Peer::start());
    let (gateway, mut config, _watch) = gateway_with_confirmed_watch(&backend, &old);
    let signalled_at = reload(&gateway, &mut config, closed_port());
    assert_used_for_4_s_and_part_of_the_grace(&gateway, backend, signalled_at);
}

// A second reload does not extend the time that the first one left: what the first discovery has counts all the same.
#[test]
fn after_two_reloads_to_unresponsive_discoveries_the_time_counts_from_the_first() {
    let (backend, old, new, newer) = (Peer::start(), Peer::start(), Peer::start(), Peer::start());
    let (gateway, mut config, _watch) = gateway_with_confirmed_watch(&backend, &old);
    let signalled_at = reload_with_discovery(&gateway, &mut config, &new);
    thread::sleep(Duration::from_millis(1500));
    reload_with_discovery(&gateway, &mut config, &newer);
    assert_used_for_4_s_and_part_of_the_grace(&gateway, backend, signalled_at);
}

// The old discovery may have received changes while it was not asked.
#[test]
fn after_a_reload_back_to_the_old_discovery_which_has_become_unresponsive_the_time_counts_from_the_first() {
    let (backend, old, new) = (Peer::start(), Peer::start(), Peer::start());
    let (gateway, mut config, _watch) = gateway_with_confirmed_watch(&backend, &old);
    let signalled_at = reload_with_discovery(&gateway, &mut config, &new);
    thread::sleep(Duration::from_millis(1500));
    reload_with_discovery(&gateway, &mut config, &old);
    assert_used_for_4_s_and_part_of_the_grace(&gateway, backend, signalled_at);
}

// A list that was confirmed before the outage stays in use through it, but not beyond what the new discovery counts from.
#[test]
fn after_a_reload_in_an_outage_the_confirmed_list_is_withdrawn_within_4_s_and_the_grace() {
    let (backend, old, new) = (Peer::start(), Peer::start(), Peer::start());
    let (gateway, mut config, _watch) = gateway_with_confirmed_watch(&backend, &old);
    thread::sleep(Duration::from_millis(1500));
    let signalled_at = reload_with_discovery(&gateway, &mut config, &new);
    assert_used_for_4_s_and_part_of_the_grace(&gateway, backend, signalled_at);
}

// The same if the new configuration cannot be read: the old discovery does not answer any more, and the new one is not
// known.
#[test]
fn after_a_reload_to_a_file_that_stays_incomplete_the_old_list_is_used_for_4_s_and_withdrawn_within_the_grace(
) {
    let (backend, old) = (Peer::start(), Peer::start());
    let (gateway, config, _watch) = gateway_with_confirmed_watch(&backend, &old);
    std::fs::write(&gateway.file, &config.to_string()[..99]).expect("the file is truncated");
    let signalled_at = Instant::now();
    gateway.signal("-HUP");
    assert_used_for_4_s_and_part_of_the_grace(&gateway, backend, signalled_at);
}

// A signal that announces nothing, as the file is gone, must not end the service for want of a discovery.
#[test]
fn after_a_reload_to_a_file_that_is_missing_the_old_list_stays_in_force_while_the_old_discovery_answers() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let (gateway, config, _watch) = gateway_with_confirmed_watch(&backend, &agent);
    answer_with_list(agent, config["known"].clone());
    std::fs::remove_file(&gateway.file).expect("the file is there");
    gateway.signal("-HUP");
    thread::sleep(Duration::from_millis(5500));
    gateway.serves_from(&backend);
}

// What discovery has counts 4 s after SIGHUP also where one service answers all gateways, but the list of such a service was
// never withdrawn: requests went to servers that drain for as long as the new service was silent.
#[test]
fn after_a_reload_to_an_unresponsive_shared_service_the_old_list_is_withdrawn_within_4_s_and_the_grace() {
    let (backend, old, new) = (Peer::start(), Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config_with_short_grace(old.address, known);
    config["settings"]["registryMode"] = json!("on_request");
    let gateway = GatewayProcess::start(&config);
    old.next_request().ok(&no_changes());
    let signalled_at = reload_with_discovery(&gateway, &mut config, &new);
    assert_used_for_4_s_and_part_of_the_grace(&gateway, backend, signalled_at);
}

// A shared service is not asked anew for want of a configuration: the watch was restarted at the revision of the first
// configuration, so that the service had to send all changes since again.
#[test]
fn a_reload_to_a_file_that_stays_incomplete_does_not_restart_the_watch_on_a_shared_service() {
    let (backend, service) = (Peer::start(), Peer::start());
    let mut config = config(service.address, list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["registryMode"] = json!("on_request");
    let gateway = GatewayProcess::start(&config);
    service.next_request().ok(&json!({"rev": 5, "all": false, "targets": []}).to_string());
    std::fs::write(&gateway.file, &config.to_string()[..99]).expect("the file is truncated");
    gateway.signal("-HUP");
    let signalled_at = Instant::now();
    while signalled_at.elapsed() < Duration::from_millis(5500) {
        if let Ok(call) = service.exchanges.recv_timeout(Duration::from_millis(100)) {
            assert_eq!(call.request.line, "GET /v1/servers?after=5&wait_ms=1000 HTTP/1.1");
            std::mem::forget(call);
        }
    }
}

/// Moves a gateway to a discovery that does not answer, and waits until that is called. Returns when SIGHUP was sent.
fn reload_with_discovery(gateway: &GatewayProcess, config: &mut Value, new: &Peer) -> Instant {
    let signalled_at = reload(gateway, config, new.address);
    std::mem::forget(fresh_request(new));
    signalled_at
}

/// Replaces the address of discovery in the configuration and sends SIGHUP. Returns when it was sent.
fn reload(gateway: &GatewayProcess, config: &mut Value, discovery: SocketAddr) -> Instant {
    config["discovery"] = json!(discovery.to_string());
    std::fs::write(&gateway.file, config.to_string()).expect("the file is replaced");
    let signalled_at = Instant::now();
    gateway.signal("-HUP");
    signalled_at
}

/// Sends requests to a gateway with a drain grace of 1 s after it got SIGHUP, and checks until when it passes them on.
fn assert_used_for_4_s_and_part_of_the_grace(gateway: &GatewayProcess, backend: Peer, signalled_at: Instant) {
    let sent = answer_all(backend);
    let mut client = gateway.client();
    let mut last_sent_at = signalled_at;
    while signalled_at.elapsed() < Duration::from_millis(5500) {
        if client.send(&get("")).read().status() == 200 {
            last_sent_at = Instant::now();
        }
        thread::sleep(Duration::from_millis(20));
    }
    let used_for = last_sent_at - signalled_at;
    assert!(used_for > Duration::from_secs(4), "withdrawn after {used_for:?}");
    assert!(used_for < Duration::from_secs(5), "still used after {used_for:?}");
    assert!(sent.load(Ordering::Relaxed) > 0);
}

// The cached list in the file of a new process may be older than what its agent has, which answers within milliseconds.
#[test]
fn the_cached_list_is_not_used_before_the_agents_first_answer() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let gateway = GatewayProcess::start(&config(
        agent.address,
        list(&[target("s-00000001", backend.address, "ready")]),
    ));
    let drains = list(&[target("s-00000001", backend.address, "draining")]).to_string();
    let sent = answer_all(backend);
    let mut client = gateway.client();
    client.send(&get(""));
    thread::sleep(Duration::from_millis(100));
    agent.next_request().ok(&drains);
    assert_eq!(client.read().status(), 429);
    assert_eq!(sent.load(Ordering::Relaxed), 0, "requests were sent to a draining server");
}

// The process is stopped for 0.14 s after a watch has ended and before the next one is open. Meanwhile the agent learns
// that a server drains, and becomes unresponsive. The gateway counts as notified of that, whether or not a watch is
// open, but went on sending to the server until the agent answered again (soak, wide seed 40027: a send 2300 ms after
// the change, with a drain grace of 985 ms; the agent was unresponsive from 13 ms after the change on).
#[test]
fn a_drain_that_the_agent_receives_between_two_watches_is_obeyed_though_it_becomes_unresponsive() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let (gateway, _config, watch) = gateway_with_open_watch(&backend, &agent);
    gateway.signal("-STOP");
    watch.ok(&no_changes());
    thread::sleep(Duration::from_millis(100));
    let drains = [target("s-00000001", backend.address, "draining")];
    while let Ok(open) = agent.exchanges.try_recv() {
        open.ok(&json!({"rev": 2, "all": false, "targets": drains}).to_string());
    }
    thread::sleep(Duration::from_millis(40));
    gateway.signal("-CONT");
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(sent_of_10_requests(&gateway, backend), 0, "of 10 requests were sent to a draining server");
}

// The agent answers for 0.2 s between two outages, and learns meanwhile that a server drains. It counts as notified from its
// return on, but the gateway waits all that time for the answer to a call from before the return, and goes on sending to
// the server through the second outage (soak, wide seed 9519: sends up to 2667 ms after the change, with a drain grace of
// 1870 ms).
#[test]
fn a_drain_that_the_agent_receives_between_two_outages_is_obeyed() {
    const DRAIN_GRACE: Duration = Duration::from_millis(1870);
    const AVAILABLE: Duration = Duration::from_millis(200);
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config(agent.address, known.clone());
    config["settings"]["rules"]["stopSendingWithin"] = json!(DRAIN_GRACE.as_millis());
    let gateway = GatewayProcess::start(&config);
    agent.next_request().ok(&known.to_string());
    let (watch, confirmation) = next_watch_and_confirmation(&agent);
    confirmation.ok(&no_changes());
    let _unanswered = [watch, fresh_request(&agent)];
    let returned_at = Instant::now();
    let mut drains = list(&[target("s-00000001", backend.address, "draining")]);
    drains["rev"] = json!(2);
    while let Ok(call) = agent.exchanges.recv_timeout(AVAILABLE.saturating_sub(returned_at.elapsed())) {
        call.ok(&drains.to_string());
    }
    thread::sleep((DRAIN_GRACE + Duration::from_millis(50)).saturating_sub(returned_at.elapsed()));
    assert_eq!(sent_of_10_requests(&gateway, backend), 0, "of 10 requests were sent to a draining server");
}
