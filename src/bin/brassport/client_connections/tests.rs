//! Which connections are closed when descriptors run out, and how long a request may take to arrive.

use super::*;
use crate::socket::Socket;
use std::io::Write;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{advance, pause, timeout};

fn registry() -> Rc<ClientConnections> {
    Rc::new(ClientConnections::default())
}

/// A new connection to a client that has sent `bytes`, which are still unread.
async fn client_socket(bytes: &[u8]) -> (std::net::TcpStream, Rc<ClientSocket>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut client =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("it connects");
    client.write_all(bytes).expect("it is sent");
    let (stream, _): (TcpStream, _) = listener.accept().await.expect("it is accepted");
    let client_socket = ClientSocket::new(Socket::new(stream), None);
    while !bytes.is_empty() && client_socket.has_no_input() {
        std::thread::yield_now();
    }
    (client, client_socket)
}

// A connection that was chosen before its first bytes were read could not be chosen again until its request timed out.
// Some hundred clients that stopped within a request held all descriptors, and whole requests of others were not read
// in time (review case 2).
#[tokio::test(start_paused = true)]
async fn partial_request_that_was_read_after_its_eviction_can_be_evicted_again() {
    let connections = registry();
    let connection = connections.register(0, None);
    assert!(connections.evict_one());
    connection.on_bytes_read();
    assert_eq!(connection.stage(), Stage::ReceivingRequest, "it is in use");
    assert!(connections.evict_one());
    assert!(!connections.evict_one(), "its close is pending");
}

// The withdrawn eviction of a new connection restarted the time-out of its request.
#[tokio::test(start_paused = true)]
async fn withdrawn_eviction_does_not_extend_the_time_for_the_first_request() {
    let connections = registry();
    let connection = connections.register(0, None);
    let deadline = connection.request_deadline();
    advance(REQUEST_TIMEOUT / 2).await;
    assert!(connections.evict_one());
    connection.on_bytes_read();
    assert_eq!(connection.request_deadline(), deadline);
}

#[tokio::test]
async fn connection_with_unread_input_is_not_evicted_until_it_was_read() {
    let connections = registry();
    for has_partial_request in [false, true] {
        let connection = connections.register(0, None);
        let (_client, client_socket) = client_socket(b"GET / HTTP/1.1\r\n").await;
        if has_partial_request {
            connection.on_bytes_read();
        }
        assert!(connections.evict_one());
        let close = connection.close_requested(&client_socket);
        assert!(timeout(Duration::from_millis(20), close).await.is_err(), "it is in use");
        timeout(Duration::from_secs(5), connections.close_withdrawn())
            .await
            .expect("the withdrawal is signalled");
        assert_eq!(connections.closing_count(), 0);
        assert!(!connections.evict_one(), "it would be chosen again and again before it is read");
        connection.on_bytes_read();
        assert!(connections.evict_one());
    }
}

#[tokio::test]
async fn evicted_connection_reports_what_it_was_doing() {
    let connections = registry();
    let (_client, client_socket) = client_socket(b"").await;
    for (stage, reason) in [
        (Stage::New, CloseReason::Unused),
        (Stage::Idle, CloseReason::Unused),
        (Stage::ReceivingRequest, CloseReason::RequestEvicted),
        (Stage::Last, CloseReason::Answered),
    ] {
        pause();
        let connection = connections.register(0, None);
        connection.set_stage(stage);
        advance(MIN_IDLE).await;
        assert!(connections.evict_one(), "{stage:?}");
        assert_eq!(connection.close_requested(&client_socket).await, reason);
        tokio::time::resume();
    }
}

#[tokio::test(start_paused = true)]
async fn partial_request_that_takes_too_long_times_out() {
    let connections = registry();
    let (_client, client_socket) = client_socket(b"").await;
    let connection = connections.register(0, None);
    connection.on_bytes_read();
    advance(REQUEST_TIMEOUT - Duration::from_millis(1)).await;
    connections.close_expired(0, false);
    assert_eq!(connections.closing_count(), 0);
    advance(Duration::from_millis(1)).await;
    connections.close_expired(0, false);
    assert_eq!(connection.close_requested(&client_socket).await, CloseReason::RequestTimedOut);
}

#[tokio::test(start_paused = true)]
async fn connections_are_evicted_in_the_order_of_their_worth_to_the_clients() {
    let connections = registry();
    let served = [Stage::ReceivingRequest, Stage::InRequest, Stage::Idle];
    let open = |name: &'static str, stages: &[Stage]| {
        let connection = connections.register(0, None);
        stages.iter().for_each(|stage| connection.set_stage(*stage));
        (name, connection)
    };
    let idle_for_long = open("idle for long", &[served, served].concat());
    advance(CROWDED_IDLE_TIMEOUT - MIN_IDLE).await;
    let idle = open("idle", &[served, served].concat());
    let idle_after_single_request = open("idle after a single request", &served);
    advance(MIN_IDLE - SILENT_AFTER).await;
    let (silent, answered) = (open("silent", &[]), open("answered", &[Stage::Last]));
    advance(SILENT_AFTER).await;
    let later_request = open("later request", &[&served[..], &[Stage::ReceivingRequest]].concat());
    let first_request = open("first request", &[Stage::ReceivingRequest]);
    let in_request = open("in request", &[Stage::InRequest]);
    let order =
        [answered, silent, idle_for_long, idle_after_single_request, first_request, idle, later_request];
    for (name, connection) in &order {
        assert!(connections.evict_one());
        assert!(connection.state.pending_close.get().is_some(), "{name} comes next");
    }
    assert!(!connections.evict_one());
    assert!(in_request.1.state.pending_close.get().is_none());
}

// The time in the accept queue counted as silence: of connections that had to wait, those that had just been accepted were
// closed before all idle ones.
#[tokio::test(start_paused = true)]
async fn time_in_the_accept_queue_is_no_silence_of_the_client() {
    let connections = registry();
    let idle = connections.register(0, None);
    idle.set_stage(Stage::Idle);
    advance(CROWDED_IDLE_TIMEOUT).await;
    let queued_since = Instant::now() - MAX_QUEUE_WAIT;
    let accepted_late = connections.register(0, Some(queued_since));
    assert_eq!(accepted_late.request_deadline(), queued_since + REQUEST_TIMEOUT);
    assert!(connections.evict_one());
    assert!(idle.state.pending_close.get().is_some());
    connections.close_expired(0, true);
    assert!(accepted_late.state.pending_close.get().is_none());
    advance(SILENT_AFTER).await;
    connections.close_expired(0, true);
    assert!(
        accepted_late.state.pending_close.get().is_some(),
        "it is silent, and the process is shutting down"
    );
}

#[tokio::test(start_paused = true)]
async fn close_that_takes_long_does_not_count_as_a_descriptor_that_is_about_to_be_free() {
    let connections = registry();
    let _idle = connections.register(0, None);
    let answered = connections.register(0, None);
    answered.set_stage(Stage::Last);
    assert!(connections.evict_one());
    assert_eq!(connections.closing_count(), 2, "a close is pending, and a client is about to close");
    advance(CLOSE_EXPECTED_WITHIN).await;
    assert_eq!(connections.closing_count(), 0);
}
