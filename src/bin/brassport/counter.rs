//! The counter: one connection, on which calls go out one behind another and answers come in their order.
//! Every call ends, in the order in which they were made and within the time that the settings give.

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

/// Longest answer, bytes: a word and a number.
const ANSWER_LIMIT: usize = 128;
/// Calls whose time is up and that no answer has come for: beyond that many the connection is given up.
const MOST_LATE: usize = 256;
/// After a connection that failed, or brought what can't be read, none is tried for so long: full jitter
/// would spread front doors that were cut off together no wider than their next calls do.
const BACK_OFF: Duration = Duration::from_millis(200);
/// Calls taken from the queue at once.
const BATCH: usize = 64;

struct Call {
    key: CounterKey,
    amount: f64,
    ttl: Millis,
    until: Instant,
}

/// A call that is out; `told` once its time was up.
struct Waiting {
    key: CounterKey,
    until: Instant,
    told: bool,
}

/// What the line to the counter tells.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CounterEvent {
    /// A call ended.
    CallEnded { key: CounterKey, result: AddResult },
    /// The counter is at another address now. All calls that were made until now have ended.
    Replaced,
}

/// Takes calls in. They are as many as requests in hand allow, and none waits for longer than its time.
#[derive(Clone)]
pub struct Counter {
    calls: UnboundedSender<Call>,
    patience: Duration,
}

impl Counter {
    /// The counter, and its line for [`CounterClient::run`].
    pub fn new(patience: Duration) -> (Counter, CounterClient) {
        let (calls, queue) = unbounded_channel();
        let line = CounterClient { queue, patience, link: None, read: Vec::new(), waiting: VecDeque::new() };
        (Counter { calls, patience }, line)
    }

    pub fn add(&self, key: CounterKey, amount: f64, ttl: Millis) {
        let call = Call { key, amount, ttl, until: Instant::now() + self.patience };
        // The line is kept for as long as the program runs.
        let _ = self.calls.send(call);
    }
}

pub struct CounterClient {
    queue: UnboundedReceiver<Call>,
    patience: Duration,
    link: Option<Socket>,
    /// What has come of an answer so far.
    read: Vec<u8>,
    waiting: VecDeque<Waiting>,
}

impl CounterClient {
    /// Carries calls out for ever, at the address that `address` holds, and reports each one's end.
    pub async fn run(
        mut self,
        mut address: watch::Receiver<Option<SocketAddr>>,
        report: impl Fn(CounterEvent),
    ) {
        let ended = |key, result| report(CounterEvent::CallEnded { key, result });
        let mut calls = Vec::with_capacity(BATCH);
        let mut rest_until = Instant::now();
        loop {
            let next_late = self.waiting.iter().find(|call| !call.told).map(|call| call.until);
            tokio::select! {
                biased;
                read = receive(&mut self.link, &mut self.read) => {
                    // The counter closes what stands idle: that says nothing of the next connection.
                    let idle = self.waiting.is_empty() && self.read.is_empty();
                    if !read || !self.take_answers(ended) {
                        self.give_up(ended);
                        if !idle {
                            rest_until = Instant::now() + BACK_OFF;
                        }
                    }
                }
                () = sleep_until(next_late.unwrap_or_else(Instant::now)), if next_late.is_some() => {
                    let now = Instant::now();
                    for call in self.waiting.iter_mut().filter(|call| !call.told && call.until <= now) {
                        call.told = true;
                        ended(call.key, AddResult::Unknown);
                    }
                    if self.waiting.len() > MOST_LATE {
                        self.give_up(ended);
                    }
                }
                moved = address.changed() => {
                    if moved.is_err() {
                        return;
                    }
                    self.give_up(ended);
                    // What waits to go out may give back what the old counter holds.
                    while let Ok(call) = self.queue.try_recv() {
                        ended(call.key, AddResult::NotAdded);
                    }
                    report(CounterEvent::Replaced);
                    rest_until = Instant::now();
                }
                count = self.queue.recv_many(&mut calls, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    let at = *address.borrow();
                    if Instant::now() >= rest_until && !self.connected(at).await {
                        rest_until = Instant::now() + BACK_OFF;
                    }
                    if !self.send(&mut calls, ended).await {
                        rest_until = Instant::now() + BACK_OFF;
                    }
                }
            }
        }
    }

    /// Opens a connection if there is none.
    async fn connected(&mut self, address: Option<SocketAddr>) -> bool {
        if self.link.is_none() {
            let Some(address) = address else { return false };
            let Ok(Ok(link)) = timeout(self.patience, TcpStream::connect(address)).await else {
                return false;
            };
            if link.set_nodelay(true).is_err() {
                return false;
            }
            self.link = Some(Socket::new(link));
        }
        true
    }

    /// Writes calls out. Where nothing can be written nothing is added.
    async fn send(&mut self, calls: &mut Vec<Call>, ended: impl Fn(CounterKey, AddResult)) -> bool {
        let Some(link) = &mut self.link else {
            calls.drain(..).for_each(|call| ended(call.key, AddResult::NotAdded));
            return true;
        };
        let mut lines = String::new();
        for Call { key, amount, ttl, .. } in calls.iter() {
            lines.push_str(&format!("add {key:x} {amount} {}\r\n", ttl.clamp(1.0, 60_000.0).round()));
        }
        let written = matches!(timeout(self.patience, link.write_all(lines.as_bytes())).await, Ok(Ok(())));
        for Call { key, until, .. } in calls.drain(..) {
            self.waiting.push_back(Waiting { key, until, told: false });
        }
        if !written {
            self.give_up(ended);
        }
        written
    }

    /// Takes in the whole lines that have come; false if one of them can't be read.
    fn take_answers(&mut self, ended: impl Fn(CounterKey, AddResult)) -> bool {
        while let Some(end) = self.read.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.read.drain(..=end).collect();
            let Some(result) = answer(&line) else { return false };
            let Some(call) = self.waiting.pop_front() else { return false };
            if !call.told {
                ended(call.key, result);
            }
        }
        self.read.len() < ANSWER_LIMIT
    }

    /// Closes the connection. What is out on it may have been added.
    fn give_up(&mut self, ended: impl Fn(CounterKey, AddResult)) {
        self.link = None;
        self.read.clear();
        for call in self.waiting.drain(..).filter(|call| !call.told) {
            ended(call.key, AddResult::Unknown);
        }
    }
}

/// Reads what has come; false at the end of the connection. Without one it waits for ever.
async fn receive(link: &mut Option<Socket>, read: &mut Vec<u8>) -> bool {
    match link {
        Some(link) => matches!(link.read_buf(read).await, Ok(count) if count > 0),
        None => std::future::pending().await,
    }
}

/// What an answer says; `None` if it can't be read.
fn answer(line: &[u8]) -> Option<AddResult> {
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

    /// Makes `calls` calls against a peer that answers the first with `script`, and returns their ends.
    async fn ends(calls: u64, script: &'static [u8]) -> Vec<(CounterKey, AddResult)> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let peer = async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut stream = BufReader::new(stream);
            for n in 0..calls {
                let mut line = String::new();
                stream.read_line(&mut line).await.expect("a call");
                assert_eq!(line, format!("add {n:x} -1.5 4000\r\n"));
            }
            stream.write_all(script).await.expect("the answers go out");
            std::future::pending::<()>().await;
        };
        // Its time is never up unless the clock, which stands, is moved.
        let (counter, line) = Counter::new(Duration::from_secs(3600));
        let (_address, seen) = watch::channel(Some(at));
        let got = Rc::new(RefCell::new(Vec::new()));
        let (put, done) = (got.clone(), tokio::sync::Notify::new());
        (0..calls).for_each(|key| counter.add(key, -1.5, 4000.0));
        let report = |report| {
            let CounterEvent::CallEnded { key, result } = report else { return };
            put.borrow_mut().push((key, result));
            if put.borrow().len() as u64 == calls {
                done.notify_one();
            }
        };
        tokio::select! {
            () = peer => {}
            () = line.run(seen, report) => {}
            () = done.notified() => {}
        }
        let got = got.borrow().clone();
        got
    }

    #[tokio::test]
    async fn answers_end_the_calls_in_their_order() {
        let got = ends(3, b"ok 2.5\r\nbusy\r\nerror\r\n").await;
        assert_eq!(got, [(0, AddResult::Total(2.5)), (1, AddResult::NotAdded), (2, AddResult::NotAdded)]);
    }

    #[tokio::test]
    async fn a_spoilt_answer_ends_all_that_is_out_and_the_connection() {
        for script in
            [&b"ok\r\nok 1\r\n"[..], b"ok x\r\n", b"ok nan\r\n", b"ok 1 2\r\n", b"\xff\n", &[b'a'; 200]]
        {
            let got = ends(2, script).await;
            assert_eq!(got, [(0, AddResult::Unknown), (1, AddResult::Unknown)], "{script:?}");
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_call_without_an_answer_ends_when_its_time_is_up() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (counter, mut line) = Counter::new(Duration::from_millis(30));
        // With the connection up beforehand, the only thing that the made-up clock can cut short is the call.
        let at = listener.local_addr().expect("an address");
        line.link = Some(Socket::new(TcpStream::connect(at).await.expect("a connection")));
        let (_address, seen) = watch::channel(Some(at));
        counter.add(7, 1.0, 4000.0);
        let (ends, mut got) = unbounded_channel();
        let report = move |report| ends.send(report).expect("the test listens");
        tokio::select! {
            () = line.run(seen, report) => {}
            end = got.recv() => {
                assert_eq!(end, Some(CounterEvent::CallEnded { key: 7, result: AddResult::Unknown }));
            }
        }
    }

    #[tokio::test]
    async fn without_a_connection_nothing_is_added() {
        let (counter, line) = Counter::new(Duration::from_secs(3600));
        let (_address, seen) = watch::channel(None);
        counter.add(7, 1.0, 4000.0);
        let (ends, mut got) = unbounded_channel();
        let report = move |report| ends.send(report).expect("the test listens");
        tokio::select! {
            () = line.run(seen, report) => {}
            end = got.recv() => {
                assert_eq!(end, Some(CounterEvent::CallEnded { key: 7, result: AddResult::NotAdded }));
            }
        }
    }
}
