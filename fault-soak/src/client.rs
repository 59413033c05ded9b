//! Clients: usual ones, and such that leave, write slowly, pipeline, stop half way, or make no sense.

use crate::event_log::{BadClient, ConnectionUse, EventLog, Millis, Outcome, RequestId, RequestRecord};
use crate::gateway::{Availability, Gateway};
use crate::http::{ReadError, Reader};
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

/// A client waits so much longer than it said before it counts its request as unanswered.
const LONGER: Millis = 2500.0;
/// How long a slow reader leaves its answer unread.
const SLOW_READING: Duration = Duration::from_millis(300);
/// Connections that are kept for further requests to one gateway.
const KEPT: usize = 12;

/// What a client does with its connection and its request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// Sends one request and waits.
    Usual,
    /// Leaves before the answer.
    Leave { after: Millis, reset: bool },
    /// Writes its request in pieces.
    Slow { over: Millis },
    /// Sends some requests at once; may leave.
    Pipeline { count: usize, leave: Option<Millis> },
    /// Sends a request and over 16 KiB of further ones, then leaves.
    Flood { leave: Millis },
    /// Sends a part of a request and stays.
    Half,
    /// Sends what is no HTTP.
    Noise,
    /// Connects and says nothing.
    Mute,
    /// Sends a request with a body of up to 64 KB.
    Big,
    /// Reads its answer slowly.
    SlowReader,
    /// Has next to no time.
    Hurried,
    /// Ends its sending behind its request, and so has left.
    HalfClose,
    /// Sends its request on two connections at once.
    Twice,
    /// Names headers that a gateway has to pass on as ones of its connection alone.
    HideHeaders,
}

/// What the clients of one gateway share.
#[derive(Debug)]
pub struct Clients {
    /// The gateway that they ask.
    pub gateway: Arc<Gateway>,
    site: Arc<Site>,
    event_log: Arc<EventLog>,
    kept: Mutex<Vec<(Availability, Reader<TcpStream>)>>,
    ids: Arc<AtomicU64>,
    /// Most clients leave early while this is set.
    pub most_leave: Arc<AtomicBool>,
}

struct Draft {
    id: RequestId,
    record: RequestRecord,
    bytes: Vec<u8>,
}

impl Clients {
    /// The clients of one gateway; all of a run draw their requests' ids from `ids`.
    pub fn new(
        gateway: Arc<Gateway>,
        site: Arc<Site>,
        event_log: Arc<EventLog>,
        ids: Arc<AtomicU64>,
        most_leave: Arc<AtomicBool>,
    ) -> Arc<Clients> {
        Arc::new(Clients { gateway, site, event_log, kept: Mutex::new(Vec::new()), ids, most_leave })
    }

    /// Makes requests until the load ends: arrivals do not wait for answers.
    pub async fn load(self: Arc<Self>, seed: u64) {
        let mut rng = Rand64::new(u128::from(seed));
        let mut open = tokio::task::JoinSet::new();
        while self.event_log.now() < self.site.load_duration {
            let gap = -(1.0 - rng.rand_float()).ln() / self.site.request_rate;
            sleep(Duration::from_secs_f64(gap)).await;
            while open.try_join_next().is_some() {}
            let client = self.clone();
            let own = Rand64::new(u128::from(rng.rand_u64()));
            open.spawn(async move { client.one(own).await });
        }
        while open.join_next().await.is_some() {}
    }

    /// So many clients at once, each on a connection of its own: every other one asks, the rest say nothing.
    pub async fn connection_burst(self: Arc<Self>, count: usize, seed: u64) {
        let Some(availability) = self.gateway.availability() else { return };
        let mut rng = Rand64::new(u128::from(seed));
        let mut crowd = tokio::task::JoinSet::new();
        for nth in 0..count {
            let client = self.clone();
            let mut own = Rand64::new(u128::from(rng.rand_u64()));
            crowd.spawn(async move {
                if nth % 2 == 0 {
                    client.ask(Behaviour::Usual, availability, &mut own).await;
                } else {
                    client.bad(Behaviour::Mute, availability, &mut own).await;
                }
            });
        }
        while crowd.join_next().await.is_some() {}
    }

    fn behaviour(&self, rng: &mut Rand64) -> Behaviour {
        let within = |rng: &mut Rand64, most: f64| most * rng.rand_float();
        if self.most_leave.load(Ordering::Relaxed) && rng.rand_float() < 0.7 {
            return Behaviour::Leave { after: within(rng, 60.0), reset: rng.rand_float() < 0.5 };
        }
        let behind = rng.rand_float() < 0.5;
        match rng.rand_range(0..100) {
            0..=5 => Behaviour::Leave { after: within(rng, 200.0), reset: behind },
            6..=8 => Behaviour::Slow { over: within(rng, 1500.0) },
            9..=12 => {
                let leave = behind.then_some(within(rng, 300.0));
                Behaviour::Pipeline { count: 2 + rng.rand_range(0..5) as usize, leave }
            }
            13 => Behaviour::Flood { leave: within(rng, 200.0) },
            14 => Behaviour::Half,
            15 => Behaviour::Noise,
            16 => Behaviour::Mute,
            17 => Behaviour::HideHeaders,
            18 | 19 => Behaviour::Big,
            20 | 21 => Behaviour::SlowReader,
            22 | 23 => Behaviour::Hurried,
            24 => Behaviour::HalfClose,
            25 => Behaviour::Twice,
            _ => Behaviour::Usual,
        }
    }

    async fn one(&self, mut rng: Rand64) {
        let Some(availability) = self.gateway.availability() else { return };
        let behaviour = self.behaviour(&mut rng);
        match behaviour {
            Behaviour::Half | Behaviour::Noise | Behaviour::Mute => {
                self.bad(behaviour, availability, &mut rng).await
            }
            _ => self.ask(behaviour, availability, &mut rng).await,
        }
    }

    fn draft(
        &self,
        rng: &mut Rand64,
        availability: Availability,
        connection_use: ConnectionUse,
        behaviour: Behaviour,
    ) -> Draft {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let class = &self.site.classes[rng.rand_range(0..self.site.classes.len() as u64) as usize];
        // Most customers are far from any limit.
        let plan = if rng.rand_float() < 1.0 - ALL_PLANS_SHARE {
            0
        } else {
            rng.rand_range(0..PLANS.len() as u64) as usize
        };
        let customer = (plan as u64 + 1) * 0x1000 + rng.rand_range(0..CUSTOMERS_PER_PLAN);
        let client_timeout = match behaviour {
            Behaviour::Hurried => (1.0 + 40.0 * rng.rand_float()).round(),
            _ => (class.deadline * (0.3 + 0.7 * rng.rand_float())).round(),
        };
        let method = if class.semantics == crate::event_log::Semantics::Idempotent { "GET" } else { "POST" };
        let most = if behaviour == Behaviour::Big { 65_000 } else { 400 };
        let body =
            if method == "POST" { "x".repeat(rng.rand_range(0..most) as usize) } else { String::new() };
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
        if behaviour == Behaviour::HideHeaders {
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
            sent_twice: behaviour == Behaviour::Twice,
            sent_at: self.event_log.now(),
            client_timeout,
            previous_response_at: 0.0,
            left_at: None,
            outcome: None,
        };
        Draft { id, record, bytes }
    }

    /// A connection to the gateway, and whether it was used before.
    async fn connection(&self, availability: Availability) -> Option<(Reader<TcpStream>, ConnectionUse)> {
        loop {
            let kept = self.kept.lock().expect("lock not poisoned").pop();
            match kept {
                Some((of, reader)) if of.incarnation == availability.incarnation => {
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

    async fn ask(&self, behaviour: Behaviour, availability: Availability, rng: &mut Rand64) {
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
        if let Behaviour::Slow { over } = behaviour {
            if !self.write_slowly(&mut reader, &all, over, rng).await {
                // It never sent a whole request.
                return;
            }
        }
        let now = self.event_log.now();
        let port = reader.stream.local_addr().map_or(0, |address| address.port());
        self.event_log.with(|records| {
            for draft in &drafts {
                let record = RequestRecord { sent_at: now, port, ..draft.record.clone() };
                records.requests.insert(draft.id, record);
            }
        });
        if !matches!(behaviour, Behaviour::Slow { .. }) {
            // A failed write shows in the reading.
            let _ = timeout(Duration::from_secs(1), reader.stream.write_all(&all)).await;
        }
        let second = match behaviour {
            Behaviour::Twice => self.send_copy(&all).await,
            _ => None,
        };
        if behaviour == Behaviour::HalfClose {
            let left_at = self.event_log.now();
            self.event_log.update_request(drafts[0].id, |request| request.left_at = Some(left_at));
            let _ = reader.stream.shutdown().await;
            // Nothing more can be sent on it.
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
        self.read_answers(reader, &drafts, availability, slow).await;
        drop(second);
    }

    /// The same bytes on another connection, which stays open until it is dropped.
    async fn send_copy(&self, bytes: &[u8]) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(self.gateway.address).await.ok()?;
        stream.write_all(bytes).await.ok()?;
        Some(stream)
    }

    /// Writes in pieces; false if the connection broke before the last byte.
    async fn write_slowly(
        &self,
        reader: &mut Reader<TcpStream>,
        bytes: &[u8],
        over: Millis,
        rng: &mut Rand64,
    ) -> bool {
        let pieces = 2 + rng.rand_range(0..4) as usize;
        for part in bytes.chunks(bytes.len().div_ceil(pieces)) {
            sleep(Duration::from_secs_f64(over / pieces as f64 / 1000.0)).await;
            if reader.stream.write_all(part).await.is_err() {
                return false;
            }
        }
        true
    }

    async fn read_answers(
        &self,
        mut reader: Reader<TcpStream>,
        drafts: &[Draft],
        availability: Availability,
        slow: bool,
    ) {
        if slow {
            read_late(&reader.stream).await;
        }
        let mut previous_response_at = 0.0;
        for (nth, draft) in drafts.iter().enumerate() {
            self.event_log
                .update_request(draft.id, |request| request.previous_response_at = previous_response_at);
            let wait = Duration::from_secs_f64((draft.record.client_timeout + LONGER) / 1000.0);
            let outcome = match timeout(wait, reader.read_message()).await {
                Ok(Ok(answer)) => {
                    let body_matches = is_served_body(draft.id, &answer.body);
                    let closes = answer.header("connection") == Some("close");
                    let now = self.event_log.now();
                    let outcome = Outcome::Response { status: answer.status(), body_matches };
                    self.event_log.update_request(draft.id, |request| request.outcome = Some((outcome, now)));
                    previous_response_at = now;
                    if closes {
                        self.rest_was_announced(&drafts[nth + 1..]);
                        return;
                    }
                    continue;
                }
                Ok(Err(broken)) => ending_of(&broken),
                Err(_) => Outcome::NoResponse,
            };
            let now = self.event_log.now();
            for rest in &drafts[nth..] {
                self.event_log
                    .update_request(rest.id, |request| request.outcome = Some((outcome.clone(), now)));
            }
            return;
        }
        let mut kept = self.kept.lock().expect("lock not poisoned");
        if kept.len() < KEPT {
            kept.push((availability, reader));
        }
    }

    /// What was pipelined behind an answer that closes its connection was not taken, if it was not read.
    fn rest_was_announced(&self, rest: &[Draft]) {
        let now = self.event_log.now();
        for draft in rest {
            let outcome = Outcome::Closed { reset: false };
            self.event_log.update_request(draft.id, |request| request.outcome = Some((outcome, now)));
        }
    }

    async fn bad(&self, behaviour: Behaviour, availability: Availability, rng: &mut Rand64) {
        if !availability.accepts_connections {
            return;
        }
        let connected_at = self.event_log.now();
        let Ok(mut stream) = TcpStream::connect(self.gateway.address).await else { return };
        let (action, bytes): (&str, Vec<u8>) = match behaviour {
            Behaviour::Half => {
                let bytes = self.draft(rng, availability, ConnectionUse::New, behaviour).bytes;
                ("half a request", bytes[..bytes.len() / 2].to_vec())
            }
            Behaviour::Noise => ("noise", b"\x00\x01 what is this\r\n\r\n".to_vec()),
            _ => ("nothing", Vec::new()),
        };
        let place = self.event_log.with(|records| {
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
            self.event_log.with(|records| records.bad_clients[place].ended_at = Some(now));
        }
    }
}

/// Leaves an answer unread for a while, but notices the connection's end at once.
async fn read_late(stream: &TcpStream) {
    let until = Instant::now() + SLOW_READING;
    match timeout(SLOW_READING, stream.peek(&mut [0])).await {
        Ok(Ok(count)) if count > 0 => sleep_until(until).await,
        _ => {}
    }
}

fn ending_of(broken: &ReadError) -> Outcome {
    Outcome::Closed { reset: broken.is_reset() }
}

/// Connects idly to a gateway until `until` resolves: as many connections as it takes.
pub async fn open_idle_connections(gateway: Arc<Gateway>, count: usize, span: Duration) {
    let mut crowd = Vec::new();
    for _ in 0..count {
        if let Ok(Ok(stream)) = timeout(Duration::from_millis(50), TcpStream::connect(gateway.address)).await
        {
            crowd.push(stream);
        }
    }
    sleep(span).await;
}
