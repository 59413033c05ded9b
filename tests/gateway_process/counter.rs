//! The cap on attempts out at once, held by the counter.

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

/// A counter that answers each call with the number that the test gives, and tells it of the call. It ends each
/// connection behind the last of the numbers for that one.
fn counter(lives: &'static [&'static [u32]]) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, calls) = channel();
    thread::spawn(move || {
        for totals in lives {
            let (stream, _) = listener.accept().expect("the front door connects");
            let mut lines = BufReader::new(&stream).lines();
            for total in *totals {
                let Some(Ok(line)) = lines.next() else { return };
                // A test that has ended listens no more.
                let _ = sender.send(line);
                (&stream).write_all(format!("ok {total}\r\n").as_bytes()).expect("the answer goes out");
            }
        }
    });
    (address, calls)
}

#[test]
fn attempts_in_flight_at_other_gateways_count_against_the_concurrency_limit() {
    let backend = Peer::start();
    let (address, calls) = counter(&[&[1, 0, 3, 2]]);
    let front = GatewayProcess::start(&capped_config(backend.address, address));
    let mut client = front.client();
    let call = || calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    let asked = get("").replace("spread=1", "spread=2");
    client.send(&asked);
    let entered = call();
    let name = entered.strip_prefix("add ").and_then(|rest| rest.strip_suffix(" 1 8000")).expect(&entered);
    backend.next().ok("served");
    assert_eq!((client.read().status(), call()), (200, format!("add {name} -1 8000")));
    // A third one, with its own: it goes back on no server's account.
    client.send(&get("").replace("spread=1", "spread=2"));
    assert!(call().ends_with(" 1 8000"));
    let refusal = client.read();
    assert_eq!(refusal.status(), 429);
    assert!(refusal.header("retry-after").parse::<f64>().is_ok_and(|wait| wait > 0.0));
    assert!(call().ends_with(" -1 8000"));
}

#[test]
fn a_counter_that_ends_an_idle_connection_is_asked_again_at_once() {
    let backend = Peer::start();
    let (address, calls) = counter(&[&[1, 0], &[3, 2]]);
    let front = GatewayProcess::start(&capped_config(backend.address, address));
    let mut client = front.client();
    let call = || calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    let asked = || get("").replace("spread=1", "spread=2");
    client.send(&asked());
    call();
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);
    call();
    // The end of its connection has come by now.
    thread::sleep(Duration::from_millis(50));
    client.send(&asked());
    assert!(call().ends_with(" 1 8000"));
    assert_eq!(client.read().status(), 429, "two attempts of others are out");
}

#[test]
fn a_counter_that_is_not_there_stops_nothing() {
    let backend = Peer::start();
    for place in [json!(closed_port().to_string()), json!("nowhere"), Value::Null] {
        let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
        config["counter"] = place;
        config["settings"]["balancers"] = json!(2);
        config["settings"]["plans"][0]["concurrency"] = json!(2);
        config["settings"]["familyInfo"]["counter"] = json!(true);
        let front = GatewayProcess::start(&config);
        let mut client = front.client();
        client.send(&get("").replace("spread=1", "spread=2"));
        backend.next().ok("served");
        assert_eq!(client.read().status(), 200);
    }
}

// A place that an attempt has taken on one counter was given back on the one that SIGHUP had moved to meanwhile,
// whose gauge then stood below what was out: the first call that the new counter got was `add NAME -1`. Nothing had
// told the decisions of the move. Places that are held are taken again where the counter is now, and then given back.
#[test]
fn a_place_taken_on_a_counter_that_moved_is_taken_and_given_back_on_the_new_one() {
    let backend = Peer::start();
    let (old_address, old_calls) = counter(&[&[1]]);
    let (new_address, new_calls) = counter(&[&[1, 0]]);
    let mut config = capped_config(backend.address, old_address);
    let front = GatewayProcess::start(&config);
    let mut client = front.client();
    client.send(&get("").replace("spread=1", "spread=2"));
    let entered = old_calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    let exchange = backend.next();
    config["counter"] = json!(new_address.to_string());
    std::fs::write(&front.file, config.to_string()).expect("the file is replaced");
    front.signal("-HUP");
    // The signal is taken long before the answer.
    thread::sleep(Duration::from_millis(300));
    exchange.ok("served");
    assert_eq!(client.read().status(), 200);
    let call = || new_calls.recv_timeout(TEST_TIMEOUT).expect("a call");
    assert_eq!((call(), call()), (entered.clone(), entered.replace(" 1 ", " -1 ")));
}
