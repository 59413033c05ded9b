//! Client of the shared counter: one connection with pipelined calls, answered in order. Every call ends within the
//! counter time-out of the settings, and calls end in the order in which they were made.

use crate::socket::Socket;
use springusher::{AddResult, CounterKey, Millis};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};

/// Longest answer, in bytes. An answer is a word and a number; a longer one is invalid.
const MAX_ANSWER_BYTES: usize = 128;
/// When a call times out and more calls than this are unanswered, the connection is closed. Without the limit, calls to
/// a counter that never answers would accumulate.
const MAX_UNANSWERED_CALLS: usize = 256;
/// Time without a new connection after one that failed or returned an invalid answer. It needs no jitter: gateways
/// that lost their connections together reconnect with their next calls, which spreads them as widely as full
/// jitter would.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Most calls that are written at once.
const MAX_BATCH: usize = 64;

struct Call {
    key: CounterKey,
    amount: f64,
    ttl: Millis,
    deadline: Instant,
}

/// A call that was sent and has no answer yet.
struct SentCall {
    key: CounterKey,
    deadline: Instant,
    /// Whether it has timed out. Its end is reported then, but it stays queued so that later answers match their calls.
    timed_out: bool,
}

/// What the counter client reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CounterEvent {
    /// A call ended.
    CallEnded { key: CounterKey, result: AddResult },
    /// The counter has a new address. All calls that were made before have ended.
    Replaced,
}

/// Queues calls for the [`CounterClient`]. The queue has no limit of its own: the number of pending requests limits
/// its length, and the time-out how long a call waits.
#[derive(Clone)]
pub struct Counter {
    calls: UnboundedSender<Call>,
    call_timeout: Duration,
}

impl Counter {
    /// Returns the handle for calls, and the client that carries them out in [`CounterClient::run`].
    pub fn new(call_timeout: Duration) -> (Counter, CounterClient) {
        let (calls, queue) = unbounded_channel();
        let client = CounterClient {
            queue,
            call_timeout,
            connection: None,
            received: Vec::new(),
            sent: VecDeque::new(),
        };
        (Counter { calls, call_timeout }, client)
    }

    pub fn add(&self, key: CounterKey, amount: f64, ttl: Millis) {
        let call = Call { key, amount, ttl, deadline: Instant::now() + self.call_timeout };
        // The receiver exists for as long as the process runs.
        let _ = self.calls.send(call);
    }
}

pub struct CounterClient {
    queue: UnboundedReceiver<Call>,
    call_timeout: Duration,
    connection: Option<Socket>,
    /// Received bytes that are not processed yet.
    received: Vec<u8>,
    /// Calls without an answer, in the order in which they were sent.
    sent: VecDeque<SentCall>,
}

impl CounterClient {
    /// Carries out calls at the address that `address` holds, and reports the end of each. Runs until the process ends.
    pub async fn run(
        mut self,
        mut address: watch::Receiver<Option<SocketAddr>>,
        report: impl Fn(CounterEvent),
    ) {
        let ended = |key, result| report(CounterEvent::CallEnded { key, result });
        let mut calls = Vec::with_capacity(MAX_BATCH);
        let mut reconnect_at = Instant::now();
        loop {
            let next_timeout = self.sent.iter().find(|call| !call.timed_out).map(|call| call.deadline);
            tokio::select! {
                biased;
                is_open = receive(&mut self.connection, &mut self.received) => {
                    // The counter closes idle connections. That is no failure, so the next one may open at once.
                    let was_idle = self.sent.is_empty() && self.received.is_empty();
                    if !is_open || !self.process_answers(ended) {
                        self.close(ended);
                        if !was_idle {
                            reconnect_at = Instant::now() + RECONNECT_DELAY;
                        }
                    }
                }
                () = sleep_until(next_timeout.unwrap_or_else(Instant::now)), if next_timeout.is_some() => {
                    let now = Instant::now();
                    for call in self.sent.iter_mut().filter(|call| !call.timed_out && call.deadline <= now) {
                        call.timed_out = true;
                        ended(call.key, AddResult::Unknown);
                    }
                    if self.sent.len() > MAX_UNANSWERED_CALLS {
                        self.close(ended);
                    }
                }
                changed = address.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.close(ended);
                    // A queued call may subtract what was added at the old counter, so it must not go to the new one.
                    while let Ok(call) = self.queue.try_recv() {
                        ended(call.key, AddResult::NotAdded);
                    }
                    report(CounterEvent::Replaced);
                    reconnect_at = Instant::now();
                }
                count = self.queue.recv_many(&mut calls, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    let current_address = *address.borrow();
                    if Instant::now() >= reconnect_at && !self.ensure_connected(current_address).await {
                        reconnect_at = Instant::now() + RECONNECT_DELAY;
                    }
                    if !self.send(&mut calls, ended).await {
                        reconnect_at = Instant::now() + RECONNECT_DELAY;
                    }
                }
            }
        }
    }

    /// Opens a connection if there is none; returns whether there is one now.
    async fn ensure_connected(&mut self, address: Option<SocketAddr>) -> bool {
        if self.connection.is_none() {
            let Some(address) = address else { return false };
            let Ok(Ok(stream)) = timeout(self.call_timeout, TcpStream::connect(address)).await else {
                return false;
            };
            if stream.set_nodelay(true).is_err() {
                return false;
            }
            self.connection = Some(Socket::new(stream));
        }
        true
    }

    /// Writes calls to the connection; returns false if that fails. Without a connection they end as not added.
    async fn send(&mut self, calls: &mut Vec<Call>, ended: impl Fn(CounterKey, AddResult)) -> bool {
        let Some(connection) = &mut self.connection else {
            calls.drain(..).for_each(|call| ended(call.key, AddResult::NotAdded));
            return true;
        };
        let mut lines = String::new();
        for Call { key, amount, ttl, .. } in calls.iter() {
            lines.push_str(&format!("add {key:x} {amount} {}\r\n", ttl.clamp(1.0, 60_000.0).round()));
        }
        let write = timeout(self.call_timeout, connection.write_all(lines.as_bytes()));
        let written = matches!(write.await, Ok(Ok(())));
        for Call { key, deadline, .. } in calls.drain(..) {
            self.sent.push_back(SentCall { key, deadline, timed_out: false });
        }
        if !written {
            self.close(ended);
        }
        written
    }

    /// Ends the calls whose answers have been received; returns false if an answer is invalid or has no call.
    fn process_answers(&mut self, ended: impl Fn(CounterKey, AddResult)) -> bool {
        while let Some(end) = self.received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.received.drain(..=end).collect();
            let Some(result) = parse_answer(&line) else { return false };
            let Some(call) = self.sent.pop_front() else { return false };
            if !call.timed_out {
                ended(call.key, result);
            }
        }
        self.received.len() < MAX_ANSWER_BYTES
    }

    /// Closes the connection. Unanswered calls end as unknown, as they may have been carried out.
    fn close(&mut self, ended: impl Fn(CounterKey, AddResult)) {
        self.connection = None;
        self.received.clear();
        for call in self.sent.drain(..).filter(|call| !call.timed_out) {
            ended(call.key, AddResult::Unknown);
        }
    }
}

/// Waits for bytes and appends them to `received`; returns false once the connection has ended or failed. Without a
/// connection it never completes.
async fn receive(connection: &mut Option<Socket>, received: &mut Vec<u8>) -> bool {
    match connection {
        Some(connection) => matches!(connection.read_buf(received).await, Ok(count) if count > 0),
        None => std::future::pending().await,
    }
}

/// Parses one line of the counter; `None` if it is invalid.
fn parse_answer(line: &[u8]) -> Option<AddResult> {
    let mut words = std::str::from_utf8(line).ok()?.split_ascii_whitespace();
    let result = match words.next()? {
        "ok" => AddResult::Total(words.next()?.parse().ok().filter(|total: &f64| total.is_finite())?),
        "busy" | "error" => AddResult::NotAdded,
        _ => return None,
    };
    words.next().is_none().then_some(result)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::RefCell;
    use std::rc::Rc;
    use tokio::io::{AsyncBufReadExt, BufReader};
    use tokio::net::TcpListener;

    /// Makes `calls` calls to a peer that writes `answers` once it has read them all, and returns their results.
    async fn call_results(calls: u64, answers: &'static [u8]) -> Vec<(CounterKey, AddResult)> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let peer = async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut stream = BufReader::new(stream);
            for n in 0..calls {
                let mut line = String::new();
                stream.read_line(&mut line).await.expect("a call");
                assert_eq!(line, format!("add {n:x} -1.5 4000\r\n"));
            }
            stream.write_all(answers).await.expect("the answers are written");
            std::future::pending::<()>().await;
        };
        // Long enough that no call times out during the test.
        let (counter, client) = Counter::new(Duration::from_secs(3600));
        let (_address, address_receiver) = watch::channel(Some(address));
        let results = Rc::new(RefCell::new(Vec::new()));
        let (reported, done) = (results.clone(), tokio::sync::Notify::new());
        (0..calls).for_each(|key| counter.add(key, -1.5, 4000.0));
        let report = |event| {
            let CounterEvent::CallEnded { key, result } = event else { return };
            reported.borrow_mut().push((key, result));
            if reported.borrow().len() as u64 == calls {
                done.notify_one();
            }
        };
        tokio::select! {
            () = peer => {}
            () = client.run(address_receiver, report) => {}
            () = done.notified() => {}
        }
        let results = results.borrow().clone();
        results
    }

    #[tokio::test]
    async fn answers_end_the_calls_in_order() {
        let results = call_results(3, b"ok 2.5\r\nbusy\r\nerror\r\n").await;
        assert_eq!(results, [(0, AddResult::Total(2.5)), (1, AddResult::NotAdded), (2, AddResult::NotAdded)]);
    }

    #[tokio::test]
    async fn an_invalid_answer_ends_all_sent_calls_and_the_connection() {
        for answers in
            [&b"ok\r\nok 1\r\n"[..], b"ok x\r\n", b"ok nan\r\n", b"ok 1 2\r\n", b"\xff\n", &[b'a'; 200]]
        {
            let results = call_results(2, answers).await;
            assert_eq!(results, [(0, AddResult::Unknown), (1, AddResult::Unknown)], "{answers:?}");
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_call_without_an_answer_ends_at_its_time_out() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (counter, mut client) = Counter::new(Duration::from_millis(30));
        // Connects first: the paused clock would otherwise time out the connect instead of the call.
        let address = listener.local_addr().expect("an address");
        client.connection = Some(Socket::new(TcpStream::connect(address).await.expect("a connection")));
        let (_address, address_receiver) = watch::channel(Some(address));
        counter.add(7, 1.0, 4000.0);
        let (sender, mut events) = unbounded_channel();
        let report = move |event| sender.send(event).expect("the test receives events");
        tokio::select! {
            () = client.run(address_receiver, report) => {}
            event = events.recv() => {
                assert_eq!(event, Some(CounterEvent::CallEnded { key: 7, result: AddResult::Unknown }));
            }
        }
    }

    #[tokio::test]
    async fn without_a_connection_nothing_is_added() {
        let (counter, client) = Counter::new(Duration::from_secs(3600));
        let (_address, address_receiver) = watch::channel(None);
        counter.add(7, 1.0, 4000.0);
        let (sender, mut events) = unbounded_channel();
        let report = move |event| sender.send(event).expect("the test receives events");
        tokio::select! {
            () = client.run(address_receiver, report) => {}
            event = events.recv() => {
                assert_eq!(event, Some(CounterEvent::CallEnded { key: 7, result: AddResult::NotAdded }));
            }
        }
    }
}
