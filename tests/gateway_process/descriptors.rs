//! Clients that hold file descriptors without sending whole requests.

use crate::peers::*;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Far fewer than the clients that stop within a request.
const DESCRIPTORS: u32 = 96;
const STALLED_CLIENTS: usize = 200;
/// Requests of clients that send whole ones.
const WHOLE_REQUESTS: usize = 100;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(800);
/// An answer may come this long after its client's time, and every time limit has 50 ms more on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// In this time all stalled clients connect to a stopped gateway.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// How long a client that sends no whole request may stay connected without an answer.
const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// Sends the beginning of a request and waits for an answer or a close, again and again, until `done` is set. Returns the
/// longest wait.
fn stall_repeatedly(address: SocketAddr, beginning: &str, done: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    while !done.load(Ordering::Relaxed) {
        let mut client = Client { stream: TcpStream::connect(address).expect("it connects") };
        client.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        client.send(beginning);
        let sent_at = Instant::now();
        // A reset also ends the wait.
        let _ = read_message(&client.stream);
        longest = longest.max(sent_at.elapsed());
        let _ = client.stream.shutdown(Shutdown::Both);
    }
    longest
}

/// Sets a flag when it is dropped, also by a panic.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn whole_requests_are_answered_beside(beginning: &str) {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_descriptors(backend.address, DESCRIPTORS);
    let _served = answer_all(backend);
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let stop_stalled_clients = SetOnDrop(&done);
        // They are accepted faster than they are read.
        gateway.signal("-STOP");
        let stalled: Vec<_> = (0..STALLED_CLIENTS)
            .map(|_| scope.spawn(|| stall_repeatedly(gateway.address, beginning, &done)))
            .collect();
        thread::sleep(CONNECT_TIME);
        gateway.signal("-CONT");
        let answered_after: Vec<Duration> = (0..WHOLE_REQUESTS)
            .map(|_| {
                let mut client = gateway.client();
                let timeout = format!("X-Deadline: {}m", CLIENT_TIMEOUT.as_millis());
                client.send(&get("").replace("X-Deadline: 4000m", &timeout));
                let sent_at = Instant::now();
                let status = client.read().status();
                assert!([200, 429, 504].contains(&status), "status {status}");
                sent_at.elapsed()
            })
            .collect();
        drop(stop_stalled_clients);
        let late = answered_after.iter().filter(|elapsed| **elapsed > CLIENT_TIMEOUT + GRACE).count();
        assert_eq!(late, 0, "answered after {answered_after:?}");
        for client in stalled {
            let longest = client.join().expect("no panic");
            assert!(longest <= BAD_CLIENT_LIMIT, "held for {longest:?}");
        }
    });
}

// Connections that had been chosen to close before their first bytes were read were kept until their requests timed out
// after 2.5 s. They held all descriptors, and no other client was accepted meanwhile (review case 2).
#[test]
fn whole_requests_are_answered_in_time_though_stalled_heads_use_up_the_descriptors() {
    whole_requests_are_answered_beside(&get("")[..100]);
}

// Connections whose request had a body that did not arrive were not chosen to close at all.
#[test]
fn whole_requests_are_answered_in_time_though_stalled_bodies_use_up_the_descriptors() {
    let half_body = post("a job").replace("Content-Length: 5", "Content-Length: 1000");
    whole_requests_are_answered_beside(&half_body);
}

#[test]
fn partial_request_that_is_evicted_is_refused_with_retry_after() {
    let backend = Peer::start();
    let gateway = GatewayProcess::with_descriptors(backend.address, 48);
    let half_body = post("a job").replace("Content-Length: 5", "Content-Length: 1000");
    let mut partial: Vec<Client> = Vec::new();
    for beginning in [&get("")[..100], &half_body].repeat(10) {
        let mut client = gateway.client();
        client.send(beginning);
        partial.push(client);
    }
    for client in &mut partial[..2] {
        let answer = client.read();
        assert_eq!((answer.status(), answer.header("retry-after")), (429, "0.500"));
        assert_eq!(answer.header("connection"), "close");
        client.expect_close();
    }
}
