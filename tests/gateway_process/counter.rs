//! The concurrency limit on a customer's attempts, kept by the shared counter.

use crate::peers::*;
use serde_json::json;
use serde_json::Value;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

/// A counter that answers the calls on each connection with the given totals, one list per connection, and passes the
/// calls to the test. It closes a connection after its last total.
fn counter(totals_by_connection: &'static [&'static [u32]]) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, calls) = channel();
    thread::spawn(move || {
        for totals in totals_by_connection {
            let (stream, _) = listener.accept().expect("the gateway connects");
            let mut lines = BufReader::new(&stream).lines();
            for total in *totals {
                let Some(Ok(line)) = lines.next() else { return };
                // A test that has ended has dropped the receiver.
                let _ = sender.send(line);
                (&stream).write_all(format!("ok {total}\r\n").as_bytes()).expect("the answer is written");
            }
        }
    });
    (address, calls)
}

#[test]
fn attempts_in_flight_at_other_gateways_count_against_the_concurrency_limit() {
    let backend = Peer::start();
    let (address, calls) = counter(&[&[1, 0, 3, 2]]);
    let gateway = GatewayProcess::start(&capped_config(backend.address, address));
    let mut client = gateway.client();
    let next_call = || calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    let request = get("").replace("spread=1", "spread=2");
    client.send(&request);
    let increment = next_call();
    let key = increment.strip_prefix("add ").and_then(|rest| rest.strip_suffix(" 1 8000")).expect(&increment);
    backend.next_request().ok("served");
    assert_eq!((client.read().status(), next_call()), (200, format!("add {key} -1 8000")));
    // The counter now returns 3, which exceeds the limit of 2: the slot is released and the request refused.
    client.send(&get("").replace("spread=1", "spread=2"));
    assert!(next_call().ends_with(" 1 8000"));
    let refusal = client.read();
    assert_eq!(refusal.status(), 429);
    assert!(refusal.header("retry-after").parse::<f64>().is_ok_and(|seconds| seconds > 0.0));
    assert!(next_call().ends_with(" -1 8000"));
}

#[test]
fn a_counter_that_closes_an_idle_connection_is_called_again_at_once() {
    let backend = Peer::start();
    let (address, calls) = counter(&[&[1, 0], &[3, 2]]);
    let gateway = GatewayProcess::start(&capped_config(backend.address, address));
    let mut client = gateway.client();
    let next_call = || calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    let request = || get("").replace("spread=1", "spread=2");
    client.send(&request());
    next_call();
    backend.next_request().ok("served");
    assert_eq!(client.read().status(), 200);
    next_call();
    // Time for the gateway to notice that the counter has closed the connection.
    thread::sleep(Duration::from_millis(50));
    client.send(&request());
    assert!(next_call().ends_with(" 1 8000"));
    assert_eq!(client.read().status(), 429, "two attempts of other gateways are in flight");
}

#[test]
fn requests_are_served_without_a_reachable_or_valid_counter_address() {
    let backend = Peer::start();
    for counter_address in [json!(closed_port().to_string()), json!("nowhere"), Value::Null] {
        let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
        config["counter"] = counter_address;
        config["settings"]["balancers"] = json!(2);
        config["settings"]["plans"][0]["concurrency"] = json!(2);
        config["settings"]["familyInfo"]["counter"] = json!(true);
        let gateway = GatewayProcess::start(&config);
        let mut client = gateway.client();
        client.send(&get("").replace("spread=1", "spread=2"));
        backend.next_request().ok("served");
        assert_eq!(client.read().status(), 200);
    }
}

// Regression test: the slot of an attempt was taken on one counter and released on another to which SIGHUP had switched
// meanwhile, as the decision module was not notified of the switch. The first call to the new counter was then
// `add KEY -1`, which left its total below the number of attempts in flight. A held slot must be taken on the new
// counter before it is released there.
#[test]
fn a_slot_held_when_the_counter_is_replaced_is_taken_and_released_on_the_new_counter() {
    let backend = Peer::start();
    let (old_address, old_calls) = counter(&[&[1]]);
    let (new_address, new_calls) = counter(&[&[1, 0]]);
    let mut config = capped_config(backend.address, old_address);
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.send(&get("").replace("spread=1", "spread=2"));
    let increment = old_calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    let exchange = backend.next_request();
    config["counter"] = json!(new_address.to_string());
    std::fs::write(&gateway.file, config.to_string()).expect("the file is replaced");
    gateway.signal("-HUP");
    // Time for the gateway to reload before the response.
    thread::sleep(Duration::from_millis(300));
    exchange.ok("served");
    assert_eq!(client.read().status(), 200);
    let next_call = || new_calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    assert_eq!((next_call(), next_call()), (increment.clone(), increment.replace(" 1 ", " -1 ")));
}
