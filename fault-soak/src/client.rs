//! Clients: normal ones, and ones that leave early, write slowly, pipeline, stop within a request or send invalid bytes.

use crate::event_log::{BadClient, ConnectionUse, EventLog, Millis, Outcome, RequestId, RequestRecord};
use crate::gateway::{Availability, Gateway};
use crate::http::{is_closed, ReadError, Reader};
use crate::proxy::reset_on_close;
use crate::server::is_served_body;
use crate::site::{Site, ALL_PLANS_SHARE, CUSTOMERS_PER_PLAN, PLANS};
use oorandom::Rand64;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A client waits this much longer than its stated time-out before it records that no response came.
const EXTRA_WAIT: Millis = 2500.0;
/// How long a slow reader leaves its response unread.
const SLOW_READER_DELAY: Duration = Duration::from_millis(300);
/// The maximum number of idle connections that are kept for further requests.
const MAX_IDLE_CONNECTIONS: usize = 12;

/// What a client does with its connection and its request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// Sends one request and waits for the response.
    Normal,
    /// Closes or resets the connection after some time, perhaps before the response.
    Leave { after: Millis, reset: bool },
    /// Writes its request in fragments over some time.
    SlowWriter { duration: Millis },
    /// Sends several requests at once; may leave early.
    Pipeline { count: usize, leave: Option<Millis> },
    /// Sends a request and over 16 KiB of further ones, then leaves.
    Flood { leave: Millis },
    /// Sends the first half of a request and keeps the connection open.
    HalfRequest,
    /// Sends bytes that are not HTTP.
    InvalidBytes,
    /// Connects and sends nothing.
    Silent,
    /// Sends a request with a body of up to 65 KB.
    LargeBody,
    /// Reads its response late.
    SlowReader,
    /// Has a time-out of at most 41 ms.
    ShortTimeout,
    /// Shuts down its sending side after the request, which counts as leaving.
    HalfClose,
    /// Sends the same request on two connections at once.
    TwoConnections,
    /// Lists headers in `Connection` that a gateway must pass on nevertheless.
    EndToEndHeadersInConnection,
}

/// The clients of one gateway, and the connections that they share.
#[derive(Debug)]
pub struct Clients {
    /// The gateway that they send requests to.
    pub gateway: Arc<Gateway>,
    site: Arc<Site>,
    event_log: Arc<EventLog>,
    /// Idle connections, with the availability of the gateway when they were used.
    idle_connections: Mutex<Vec<(Availability, Reader<TcpStream>)>>,
    /// The id of the next request, shared by all clients of a run.
    next_id: Arc<AtomicU64>,
    /// Most clients leave early while this is set.
    pub most_leave: Arc<AtomicBool>,
}

/// A request that has not been sent yet.
struct Draft {
    id: RequestId,
    record: RequestRecord,
    bytes: Vec<u8>,
}

impl Clients {
    /// Creates the clients of one gateway. All clients of a run take the ids of their requests from `next_id`.
    pub fn new(
        gateway: Arc<Gateway>,
        site: Arc<Site>,
        event_log: Arc<EventLog>,
        next_id: Arc<AtomicU64>,
        most_leave: Arc<AtomicBool>,
    ) -> Arc<Clients> {
        Arc::new(Clients {
            gateway,
            site,
            event_log,
            idle_connections: Mutex::new(Vec::new()),
            next_id,
            most_leave,
        })
    }

    /// Produces an open load until its end: requests arrive at random, independent of responses.
    pub async fn produce_load(self: Arc<Self>, seed: u64) {
        let mut rng = Rand64::new(u128::from(seed));
        let mut open = tokio::task::JoinSet::new();
        while self.event_log.now() < self.site.load_duration {
            let gap = -(1.0 - rng.rand_float()).ln() / self.site.request_rate;
            sleep(Duration::from_secs_f64(gap)).await;
            while open.try_join_next().is_some() {}
            let client = self.clone();
            let client_rng = Rand64::new(u128::from(rng.rand_u64()));
            open.spawn(async move { client.run_client(client_rng).await });
        }
        while open.join_next().await.is_some() {}
    }

    /// Runs `count` clients at once, each on a connection of its own. Every other client sends a request, the rest nothing.
    pub async fn connection_burst(self: Arc<Self>, count: usize, seed: u64) {
        let Some(availability) = self.gateway.availability() else { return };
        let mut rng = Rand64::new(u128::from(seed));
        let mut clients = tokio::task::JoinSet::new();
        for nth in 0..count {
            let client = self.clone();
            let mut client_rng = Rand64::new(u128::from(rng.rand_u64()));
            clients.spawn(async move {
                if nth % 2 == 0 {
                    client.send_requests(Behaviour::Normal, availability, &mut client_rng).await;
                } else {
                    client.run_bad_client(Behaviour::Silent, availability, &mut client_rng).await;
                }
            });
        }
        while clients.join_next().await.is_some() {}
    }

    fn draw_behaviour(&self, rng: &mut Rand64) -> Behaviour {
        let below = |rng: &mut Rand64, most: f64| most * rng.rand_float();
        if self.most_leave.load(Ordering::Relaxed) && rng.rand_float() < 0.7 {
            return Behaviour::Leave { after: below(rng, 60.0), reset: rng.rand_float() < 0.5 };
        }
        let in_half_of_cases = rng.rand_float() < 0.5;
        match rng.rand_range(0..100) {
            0..=5 => Behaviour::Leave { after: below(rng, 200.0), reset: in_half_of_cases },
            6..=8 => Behaviour::SlowWriter { duration: below(rng, 1500.0) },
            9..=12 => {
                let leave = in_half_of_cases.then_some(below(rng, 300.0));
                Behaviour::Pipeline { count: 2 + rng.rand_range(0..5) as usize, leave }
            }
            13 => Behaviour::Flood { leave: below(rng, 200.0) },
            14 => Behaviour::HalfRequest,
            15 => Behaviour::InvalidBytes,
            16 => Behaviour::Silent,
            17 => Behaviour::EndToEndHeadersInConnection,
            18 | 19 => Behaviour::LargeBody,
            20 | 21 => Behaviour::SlowReader,
            22 | 23 => Behaviour::ShortTimeout,
            24 => Behaviour::HalfClose,
            25 => Behaviour::TwoConnections,
            _ => Behaviour::Normal,
        }
    }

    async fn run_client(&self, mut rng: Rand64) {
        let Some(availability) = self.gateway.availability() else { return };
        let behaviour = self.draw_behaviour(&mut rng);
        match behaviour {
            Behaviour::HalfRequest | Behaviour::InvalidBytes | Behaviour::Silent => {
                self.run_bad_client(behaviour, availability, &mut rng).await
            }
            _ => self.send_requests(behaviour, availability, &mut rng).await,
        }
    }

    fn draft(
        &self,
        rng: &mut Rand64,
        availability: Availability,
        connection_use: ConnectionUse,
        behaviour: Behaviour,
    ) -> Draft {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let class = &self.site.classes[rng.rand_range(0..self.site.classes.len() as u64) as usize];
        // Most requests are of a plan whose limits are out of reach.
        let plan = if rng.rand_float() < 1.0 - ALL_PLANS_SHARE {
            0
        } else {
            rng.rand_range(0..PLANS.len() as u64) as usize
        };
        let customer = (plan as u64 + 1) * 0x1000 + rng.rand_range(0..CUSTOMERS_PER_PLAN);
        let client_timeout = match behaviour {
            Behaviour::ShortTimeout => (1.0 + 40.0 * rng.rand_float()).round(),
            _ => (class.deadline * (0.3 + 0.7 * rng.rand_float())).round(),
        };
        let method = if class.semantics == crate::event_log::Semantics::Idempotent { "GET" } else { "POST" };
        let max_body = if behaviour == Behaviour::LargeBody { 65_000 } else { 400 };
        let body =
            if method == "POST" { "x".repeat(rng.rand_range(0..max_body) as usize) } else { String::new() };
        let mut head = format!(
            "{method} /{name}/{id} HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id:016x}\r\nX-Class: {name}\r\n\
             Plan: {plan}\r\nCookie: client={customer:016x}\r\nX-Deadline: {client_timeout}m\r\n\
             Quota-Info: units=1,spread={spread},first=0\r\n",
            name = class.name,
            plan = PLANS[plan].name(),
            spread = self.site.gateways,
        );
        if class.semantics == crate::event_log::Semantics::Keyed {
            head.push_str(&format!("Idempotency-Key: {id:032x}\r\n"));
        }
        if behaviour == Behaviour::EndToEndHeadersInConnection {
            head.push_str("Connection: keep-alive, X-Request-Id, Idempotency-Key, X-Deadline\r\n");
        }
        if method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        let bytes = format!("{head}\r\n{body}").into_bytes();
        let record = RequestRecord {
            id,
            gateway: self.gateway.index,
            incarnation: availability.incarnation,
            customer,
            plan,
            semantics: class.semantics,
            connection_use,
            port: 0,
            sent_twice: behaviour == Behaviour::TwoConnections,
            closed_before_sent: false,
            sent_at: self.event_log.now(),
            client_timeout,
            previous_response_at: 0.0,
            left_at: None,
            outcome: None,
        };
        Draft { id, record, bytes }
    }

    /// An idle or a new connection to the gateway; `None` if there is no idle one and a new one cannot be opened.
    async fn connection(&self, availability: Availability) -> Option<(Reader<TcpStream>, ConnectionUse)> {
        loop {
            let idle = self.idle_connections.lock().expect("lock not poisoned").pop();
            match idle {
                Some((opened, reader)) if opened.incarnation == availability.incarnation => {
                    return Some((reader, ConnectionUse::Reused))
                }
                Some(_) => {}
                None => break,
            }
        }
        if !availability.accepts_connections {
            return None;
        }
        let stream = TcpStream::connect(self.gateway.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        Some((Reader::new(stream), ConnectionUse::New))
    }

    async fn send_requests(&self, behaviour: Behaviour, availability: Availability, rng: &mut Rand64) {
        let Some((mut reader, connection_use)) = self.connection(availability).await else { return };
        let count = match behaviour {
            Behaviour::Pipeline { count, .. } => count,
            Behaviour::Flood { .. } => 60,
            _ => 1,
        };
        let mut drafts = Vec::new();
        for nth in 0..count {
            let connection_use = if nth == 0 { connection_use } else { ConnectionUse::Pipelined };
            drafts.push(self.draft(rng, availability, connection_use, behaviour));
        }
        let all: Vec<u8> = drafts.iter().flat_map(|draft| draft.bytes.iter().copied()).collect();
        if let Behaviour::SlowWriter { duration } = behaviour {
            if !self.write_slowly(&mut reader, &all, duration, rng).await {
                // No complete request was sent, so there is nothing to record.
                return;
            }
        }
        let now = self.event_log.now();
        let port = reader.stream.local_addr().map_or(0, |address| address.port());
        let closed_before_sent = is_closed(&reader.stream);
        self.event_log.with(|records| {
            for draft in &drafts {
                let record = RequestRecord { sent_at: now, port, closed_before_sent, ..draft.record.clone() };
                records.requests.insert(draft.id, record);
            }
        });
        if !matches!(behaviour, Behaviour::SlowWriter { .. }) {
            // If the write fails, reading the response fails as well.
            let _ = timeout(Duration::from_secs(1), reader.stream.write_all(&all)).await;
        }
        let second = match behaviour {
            Behaviour::TwoConnections => self.send_copy(&all).await,
            _ => None,
        };
        if behaviour == Behaviour::HalfClose {
            let left_at = self.event_log.now();
            self.event_log.update_request(drafts[0].id, |request| request.left_at = Some(left_at));
            let _ = reader.stream.shutdown().await;
            // The connection cannot be used for further requests.
            let _ = timeout(Duration::from_millis(500), reader.read_message()).await;
            return;
        }
        let leave = match behaviour {
            Behaviour::Leave { after, reset } => Some((after, reset)),
            Behaviour::Pipeline { leave, .. } => leave.map(|after| (after, false)),
            Behaviour::Flood { leave } => Some((leave, false)),
            _ => None,
        };
        if let Some((after, reset)) = leave {
            sleep(Duration::from_secs_f64(after / 1000.0)).await;
            if reset {
                reset_on_close(&reader.stream);
            }
            let left_at = self.event_log.now();
            drop(reader);
            for draft in &drafts {
                self.event_log.update_request(draft.id, |request| request.left_at = Some(left_at));
            }
            return;
        }
        let slow = behaviour == Behaviour::SlowReader;
        self.read_responses(reader, &drafts, availability, slow).await;
        drop(second);
    }

    /// Sends the same bytes on another connection, which stays open until the result is dropped.
    async fn send_copy(&self, bytes: &[u8]) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(self.gateway.address).await.ok()?;
        stream.write_all(bytes).await.ok()?;
        Some(stream)
    }

    /// Writes in fragments; returns false if the connection failed before the last byte.
    async fn write_slowly(
        &self,
        reader: &mut Reader<TcpStream>,
        bytes: &[u8],
        duration: Millis,
        rng: &mut Rand64,
    ) -> bool {
        let fragments = 2 + rng.rand_range(0..4) as usize;
        for fragment in bytes.chunks(bytes.len().div_ceil(fragments)) {
            sleep(Duration::from_secs_f64(duration / fragments as f64 / 1000.0)).await;
            if reader.stream.write_all(fragment).await.is_err() {
                return false;
            }
        }
        true
    }

    async fn read_responses(
        &self,
        mut reader: Reader<TcpStream>,
        drafts: &[Draft],
        availability: Availability,
        slow: bool,
    ) {
        if slow {
            wait_before_reading(&reader.stream).await;
        }
        let mut previous_response_at = 0.0;
        for (nth, draft) in drafts.iter().enumerate() {
            self.event_log
                .update_request(draft.id, |request| request.previous_response_at = previous_response_at);
            let wait = Duration::from_secs_f64((draft.record.client_timeout + EXTRA_WAIT) / 1000.0);
            let outcome = match timeout(wait, reader.read_message()).await {
                Ok(Ok(response)) => {
                    let body_matches = is_served_body(draft.id, &response.body);
                    let closes = response.header("connection") == Some("close");
                    let now = self.event_log.now();
                    let outcome = Outcome::Response { status: response.status(), body_matches };
                    self.event_log.update_request(draft.id, |request| request.outcome = Some((outcome, now)));
                    previous_response_at = now;
                    if closes {
                        self.record_as_not_taken(&drafts[nth + 1..]);
                        return;
                    }
                    continue;
                }
                Ok(Err(error)) => closed_by(&error),
                Err(_) => Outcome::NoResponse,
            };
            let now = self.event_log.now();
            for rest in &drafts[nth..] {
                self.event_log
                    .update_request(rest.id, |request| request.outcome = Some((outcome.clone(), now)));
            }
            return;
        }
        let mut idle = self.idle_connections.lock().expect("lock not poisoned");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((availability, reader));
        }
    }

    /// Records that pipelined requests were closed without a response, because the response to an earlier one announced
    /// the close. The gateway must not have read them.
    fn record_as_not_taken(&self, rest: &[Draft]) {
        let now = self.event_log.now();
        for draft in rest {
            let outcome = Outcome::Closed { reset: false };
            self.event_log.update_request(draft.id, |request| request.outcome = Some((outcome, now)));
        }
    }

    async fn run_bad_client(&self, behaviour: Behaviour, availability: Availability, rng: &mut Rand64) {
        if !availability.accepts_connections {
            return;
        }
        let connected_at = self.event_log.now();
        let Ok(mut stream) = TcpStream::connect(self.gateway.address).await else { return };
        let (action, bytes): (&str, Vec<u8>) = match behaviour {
            Behaviour::HalfRequest => {
                let bytes = self.draft(rng, availability, ConnectionUse::New, behaviour).bytes;
                ("half a request", bytes[..bytes.len() / 2].to_vec())
            }
            Behaviour::InvalidBytes => ("invalid bytes", b"\x00\x01 what is this\r\n\r\n".to_vec()),
            _ => ("nothing", Vec::new()),
        };
        let index = self.event_log.with(|records| {
            let (gateway, incarnation) = (self.gateway.index, availability.incarnation);
            records.bad_clients.push(BadClient {
                gateway,
                incarnation,
                action,
                connected_at,
                ended_at: None,
            });
            records.bad_clients.len() - 1
        });
        let _ = stream.write_all(&bytes).await;
        let mut reader = Reader::new(stream);
        let wait = Duration::from_millis(6000);
        if timeout(wait, reader.wait_for_byte()).await.is_ok() {
            let now = self.event_log.now();
            self.event_log.with(|records| records.bad_clients[index].ended_at = Some(now));
        }
    }
}

/// Leaves a response unread for a while, but returns at once if the connection ends.
async fn wait_before_reading(stream: &TcpStream) {
    let until = Instant::now() + SLOW_READER_DELAY;
    match timeout(SLOW_READER_DELAY, stream.peek(&mut [0])).await {
        Ok(Ok(count)) if count > 0 => sleep_until(until).await,
        _ => {}
    }
}

fn closed_by(error: &ReadError) -> Outcome {
    Outcome::Closed { reset: error.is_reset() }
}

/// Opens up to `count` connections to a gateway, and keeps those that it accepts open and idle for `duration`.
pub async fn open_idle_connections(gateway: Arc<Gateway>, count: usize, duration: Duration) {
    let mut connections = Vec::new();
    for _ in 0..count {
        if let Ok(Ok(stream)) = timeout(Duration::from_millis(50), TcpStream::connect(gateway.address)).await
        {
            connections.push(stream);
        }
    }
    sleep(duration).await;
}
