//! A props server: it runs requests, and misbehaves as it is told.

use crate::event_log::{AttemptRecord, ColdStart, EventLog, Millis, RequestId};
use crate::http::{ReadError, Reader};
use crate::listener::listen;
use crate::meter::Meter;
use crate::proxy::{reset_on_close, Proxy};
use crate::site::{Site, PLANS};
use oorandom::Rand64;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// How often a server does each odd thing, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerBehaviour {
    /// Takes a request and never answers.
    pub hang: f64,
    /// Answers 500 after it ran.
    pub error: f64,
    /// Turns a request away unseen.
    pub reject: f64,
    /// Resets the connection after the request ran.
    pub reset: f64,
    /// Answers with what is no HTTP.
    pub malformed: f64,
    /// Answers with up to 60 KB.
    pub large_body: f64,
    /// Sends an interim answer ahead.
    pub interim: f64,
    /// Answers without an end.
    pub endless: f64,
    /// Sends a second answer some milliseconds behind the first.
    pub second_response: f64,
    /// Answers without a length and ends the connection, half of the time by a reset.
    pub no_length: f64,
    /// Closes the connection some milliseconds behind an answer.
    pub close: f64,
    /// Factor on the time that an answer takes.
    pub work_factor: f64,
}

/// Longest pause before a connection is closed, or a second answer sent, behind an answer.
const BEHIND_ANSWER_MS: f64 = 15.0;
/// Mean time that an answer takes.
const WORK_MS: f64 = 25.0;

/// One server, at an address that stays the same.
#[derive(Debug)]
pub struct Server {
    /// Its name on the list.
    pub uid: String,
    /// The area it stands in.
    pub zone: usize,
    /// The line to it, whose address is on the list.
    pub proxy: Proxy,
    behaviour: Arc<Mutex<ServerBehaviour>>,
    running: Mutex<Option<JoinHandle<()>>>,
    event_log: Arc<EventLog>,
    usage: Option<Usage>,
    seed: u64,
    starts: Mutex<u64>,
}

/// What a server tells of customers' use.
#[derive(Debug, Clone)]
pub struct Usage {
    /// The meter that all servers share.
    pub meter: Arc<Meter>,
    /// The site, for the plans' rates.
    pub site: Arc<Site>,
}

impl Usage {
    /// Counts a request that has come whole and returns the header that tells of its customer's use.
    fn count(&self, event_log: &EventLog, id: RequestId) -> String {
        let asked =
            event_log.with(|records| records.requests.get(&id).map(|record| (record.customer, record.plan)));
        let Some((customer, plan)) = asked else { return String::new() };
        let now = event_log.now();
        self.meter.count(id, customer, now);
        let rate = PLANS[plan].rate(self.site.quota);
        if rate <= 0.0 {
            return String::new();
        }
        format!("Usage-Percent: {:.0}\r\n", self.meter.percent(customer, rate, now))
    }
}

impl Server {
    /// A server that is not running yet.
    pub async fn new(
        uid: String,
        zone: usize,
        event_log: Arc<EventLog>,
        usage: Option<Usage>,
        seed: u64,
    ) -> Server {
        let proxy = Proxy::start(Ipv4Addr::new(127, 88, 0, 1), None).await;
        let behaviour =
            Arc::new(Mutex::new(ServerBehaviour { work_factor: 1.0, ..ServerBehaviour::default() }));
        let (running, starts) = (Mutex::new(None), Mutex::new(0));
        Server { uid, zone, proxy, behaviour, running, event_log, usage, seed, starts }
    }

    /// Starts it; `capacity` is set if it starts cold and the list tells of it.
    pub async fn start(&self, capacity: Option<f64>) {
        let listener = listen(Ipv4Addr::new(127, 88, 0, 2)).expect("a free port");
        self.proxy.set_target(listener.local_addr().ok());
        let nth = {
            let mut starts = self.starts.lock().expect("lock not poisoned");
            *starts += 1;
            *starts
        };
        if let Some(capacity) = capacity {
            let start = ColdStart { server: self.uid.clone(), at: self.event_log.now(), capacity };
            self.event_log.with(|records| records.cold_starts.push(start));
        }
        let (uid, event_log, behaviour) = (self.uid.clone(), self.event_log.clone(), self.behaviour.clone());
        let usage = self.usage.clone();
        let mut rng = Rand64::new(u128::from(self.seed) << 32 | u128::from(nth));
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                let rng = Rand64::new(u128::from(rng.rand_u64()));
                let connection = Connection {
                    uid: uid.clone(),
                    event_log: event_log.clone(),
                    usage: usage.clone(),
                    behaviour: behaviour.clone(),
                    rng,
                };
                connections.spawn(connection.serve(stream));
            }
        });
        *self.running.lock().expect("lock not poisoned") = Some(task);
    }

    /// Ends it at once with all its connections.
    pub fn crash(&self) {
        self.proxy.set_target(None);
        if let Some(task) = self.running.lock().expect("lock not poisoned").take() {
            task.abort();
        }
        self.proxy.reset_connections();
    }

    /// Changes how it behaves from the next request on.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        *self.behaviour.lock().expect("lock not poisoned") = behaviour;
    }

    /// Where gateways reach it.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }
}

struct Connection {
    uid: String,
    event_log: Arc<EventLog>,
    usage: Option<Usage>,
    behaviour: Arc<Mutex<ServerBehaviour>>,
    rng: Rand64,
}

/// What becomes of one request.
enum Treatment {
    Hang,
    Reset,
    /// This, and more of it again and again.
    Endless(Vec<u8>),
    Write {
        bytes: Vec<u8>,
        then: Then,
    },
}

/// What happens behind an answer.
enum Then {
    KeepAlive,
    Close,
    Reset,
    Second(Vec<u8>),
}

fn answer(status: &str, extra: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

impl Connection {
    async fn serve(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        loop {
            if reader.wait_for_byte().await.is_err() {
                return;
            }
            let first_byte_at = self.event_log.now();
            let place = self.event_log.begin_attempt(AttemptRecord {
                request: None,
                server: self.uid.clone(),
                first_byte_at,
                received_at: None,
                deadline: None,
                keyed: false,
                ran: false,
                finished_at: None,
                handling: "incomplete",
            });
            let on = self.one(&mut reader, place).await;
            let now = self.event_log.now();
            self.event_log.update_attempt(place, |attempt| {
                attempt.finished_at.get_or_insert(now);
            });
            if !matches!(on, Ok(true)) {
                return;
            }
        }
    }

    /// Handles one request; true if the connection goes on.
    async fn one(&mut self, reader: &mut Reader<TcpStream>, place: usize) -> Result<bool, ReadError> {
        let message = reader.read_message().await?;
        let received_at = self.event_log.now();
        let request = message.header("x-request-id").and_then(|id| RequestId::from_str_radix(id, 16).ok());
        let deadline = message.header("x-deadline").and_then(span);
        let keyed = message.header("idempotency-key").is_some();
        self.event_log.update_attempt(place, |attempt| {
            attempt.request = request;
            attempt.received_at = Some(received_at);
            attempt.deadline = deadline;
            attempt.keyed = keyed;
        });
        let Some(id) = request else {
            self.event_log.update_attempt(place, |attempt| attempt.handling = "no id: 404");
            return Ok(reader.stream.write_all(&answer("404 Not Found", "", "")).await.is_ok());
        };
        let behaviour = *self.behaviour.lock().expect("lock not poisoned");
        if self.rng.rand_float() < behaviour.reject {
            self.event_log.update_attempt(place, |attempt| attempt.handling = "turned away");
            let bytes = answer("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
            return Ok(reader.stream.write_all(&bytes).await.is_ok());
        }
        self.event_log.update_attempt(place, |attempt| attempt.ran = true);
        let work = WORK_MS * behaviour.work_factor * (0.3 + 1.4 * self.rng.rand_float());
        let used = self.usage.as_ref().map_or_else(String::new, |usage| usage.count(&self.event_log, id));
        let (name, treatment) = self.treatment(&behaviour, id, &used);
        self.event_log.update_attempt(place, |attempt| attempt.handling = name);
        // Whoever gives the attempt up closes the connection meanwhile.
        tokio::select! {
            () = sleep(Duration::from_secs_f64(work / 1000.0)) => {}
            _ = reader.wait_for_byte() => return Ok(false),
        }
        self.carry_out(reader, treatment, place).await
    }

    fn treatment(
        &mut self,
        behaviour: &ServerBehaviour,
        id: RequestId,
        used: &str,
    ) -> (&'static str, Treatment) {
        let filling =
            if self.rng.rand_float() < behaviour.large_body { self.rng.rand_range(0..60_000) } else { 0 };
        let body = served_body(id, &self.uid, filling as usize);
        let good = answer("200 OK", used, &body);
        let mut left = self.rng.rand_float();
        let mut falls = |chance: f64| {
            left -= chance;
            left < 0.0
        };
        let write = |bytes, then| Treatment::Write { bytes, then };
        if falls(behaviour.hang) {
            ("hang", Treatment::Hang)
        } else if falls(behaviour.error) {
            ("error", write(answer("500 Internal Server Error", "", ""), Then::KeepAlive))
        } else if falls(behaviour.reset) {
            ("reset", Treatment::Reset)
        } else if falls(behaviour.malformed) {
            ("spoilt", write(b"HTTP/1.1 2x0 what\r\nContent-Length: -4\r\n\r\n".to_vec(), Then::KeepAlive))
        } else if falls(behaviour.endless) {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
            ("endless", Treatment::Endless(format!("{head}{body}").into_bytes()))
        } else if falls(behaviour.interim) {
            let bytes = [b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", good.as_slice()].concat();
            ("interim answer ahead", write(bytes, Then::KeepAlive))
        } else if falls(behaviour.second_response) {
            ("second answer", write(good, Then::Second(answer("200 OK", "", "of nobody"))))
        } else if falls(behaviour.no_length / 2.0) {
            ("no length", write(format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes(), Then::Close))
        } else if falls(behaviour.no_length / 2.0) {
            (
                "no length, reset",
                write(
                    format!("HTTP/1.1 200 OK\r\n\r\n{}", &body[..body.len() / 2]).into_bytes(),
                    Then::Reset,
                ),
            )
        } else if falls(behaviour.close) {
            ("answer, close", write(good, Then::Close))
        } else {
            ("answer", write(good, Then::KeepAlive))
        }
    }

    async fn carry_out(
        &mut self,
        reader: &mut Reader<TcpStream>,
        treatment: Treatment,
        place: usize,
    ) -> Result<bool, ReadError> {
        let (bytes, then) = match treatment {
            Treatment::Hang => {
                let _ = reader.wait_for_byte().await;
                return Ok(false);
            }
            Treatment::Endless(bytes) => {
                while reader.stream.write_all(&bytes).await.is_ok() {
                    sleep(Duration::from_millis(5)).await;
                }
                return Ok(false);
            }
            Treatment::Reset => {
                reset_on_close(&reader.stream);
                return Ok(false);
            }
            Treatment::Write { bytes, then } => (bytes, then),
        };
        let written = reader.stream.write_all(&bytes).await.is_ok();
        let now = self.event_log.now();
        self.event_log.update_attempt(place, |attempt| attempt.finished_at = Some(now));
        let behind = Duration::from_secs_f64(BEHIND_ANSWER_MS * self.rng.rand_float() / 1000.0);
        match then {
            Then::KeepAlive => Ok(written),
            Then::Close => {
                sleep(behind).await;
                Ok(false)
            }
            Then::Reset => {
                sleep(behind).await;
                reset_on_close(&reader.stream);
                Ok(false)
            }
            Then::Second(more) => {
                let until = Instant::now() + behind;
                tokio::time::sleep_until(until).await;
                Ok(reader.stream.write_all(&more).await.is_ok())
            }
        }
    }
}

/// The body of a good answer: it begins and ends with the request's id.
pub fn served_body(id: RequestId, server: &str, filling: usize) -> String {
    format!("{id:016x} served by {server} {} {id:016x}", "x".repeat(filling))
}

/// Whether a body is that of a good answer to this request, from its first byte to its last.
pub fn is_served_body(id: RequestId, body: &[u8]) -> bool {
    let name = format!("{id:016x}");
    body.len() > 2 * name.len() && body.starts_with(name.as_bytes()) && body.ends_with(name.as_bytes())
}

/// A length of time as `X-Deadline` tells it.
pub fn span(text: &str) -> Option<Millis> {
    if let Some(number) = text.strip_suffix('m') {
        return number.parse().ok();
    }
    text.strip_suffix('u').and_then(|number| number.parse::<f64>().ok()).map(|number| number / 1000.0)
}
