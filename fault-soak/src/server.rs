//! The stand-in for a server: it records and answers requests, with the faults that are set.

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

/// The probability of each fault, from 0 to 1, and the factor on the duration of the work.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerBehaviour {
    /// Runs the request and never responds.
    pub hang: f64,
    /// Responds with 500 after the request ran.
    pub error: f64,
    /// Rejects the request with 503 before it runs.
    pub reject: f64,
    /// Resets the connection after the request ran.
    pub reset: f64,
    /// Responds with invalid HTTP.
    pub malformed: f64,
    /// Responds with a body of up to 60 KB.
    pub large_body: f64,
    /// Sends an interim (1xx) response first.
    pub interim: f64,
    /// Sends a response that never ends.
    pub endless: f64,
    /// Sends a second, unrequested response some milliseconds after the first.
    pub second_response: f64,
    /// Responds without a length and ends the connection: half of the time by a close, else by a reset within the body.
    pub no_length: f64,
    /// Closes the connection some milliseconds after a response.
    pub close: f64,
    /// The factor on the time that a response takes; 1 normally.
    pub work_factor: f64,
}

/// The longest time from a response to a close of the connection or a second response.
const MAX_FOLLOW_UP_MS: f64 = 15.0;
/// The mean time that a response takes.
const WORK_MS: f64 = 25.0;

/// One server. Its address stays the same when it restarts, as gateways connect to its proxy.
#[derive(Debug)]
pub struct Server {
    /// Its uid on the server list.
    pub uid: String,
    /// Its zone.
    pub zone: usize,
    /// The fault proxy in front of it, whose address is on the server list.
    pub proxy: Proxy,
    behaviour: Arc<Mutex<ServerBehaviour>>,
    /// The task that accepts connections, if the server runs.
    running: Mutex<Option<JoinHandle<()>>>,
    event_log: Arc<EventLog>,
    usage: Option<Usage>,
    seed: u64,
    /// The number of starts, mixed into the seed of each.
    starts: Mutex<u64>,
}

/// How a server reports the usage of customers.
#[derive(Debug, Clone)]
pub struct Usage {
    /// The meter that all servers share.
    pub meter: Arc<Meter>,
    /// The site, for the plans' rates.
    pub site: Arc<Site>,
}

impl Usage {
    /// Counts a received request and returns the response header with its customer's usage; empty if there is none.
    fn count(&self, event_log: &EventLog, id: RequestId) -> String {
        let record =
            event_log.with(|records| records.requests.get(&id).map(|record| (record.customer, record.plan)));
        let Some((customer, plan)) = record else { return String::new() };
        let now = event_log.now();
        self.meter.count(id, customer, now);
        let rate = PLANS[plan].rate(self.site.quota);
        if rate <= 0.0 {
            return String::new();
        }
        format!("Usage-Percent: {:.0}\r\n", self.meter.usage_percent(customer, rate, now))
    }
}

impl Server {
    /// Creates a server that is not running yet.
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

    /// Starts the server. A `capacity` is given if it starts cold and the server list announces its start.
    pub async fn start(&self, capacity: Option<f64>) {
        let listener = listen(Ipv4Addr::new(127, 88, 0, 2)).expect("a listener can be opened on loopback");
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
                    id: rng.clone().rand_u64(),
                    rng,
                };
                connections.spawn(connection.serve(stream));
            }
        });
        *self.running.lock().expect("lock not poisoned") = Some(task);
    }

    /// Stops the server at once and resets all its connections.
    pub fn crash(&self) {
        self.proxy.set_target(None);
        if let Some(task) = self.running.lock().expect("lock not poisoned").take() {
            task.abort();
        }
        self.proxy.reset_connections();
    }

    /// Changes the behaviour from the next request on.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        *self.behaviour.lock().expect("lock not poisoned") = behaviour;
    }

    /// The address for gateways.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }
}

/// A connection from a gateway.
struct Connection {
    uid: String,
    event_log: Arc<EventLog>,
    usage: Option<Usage>,
    behaviour: Arc<Mutex<ServerBehaviour>>,
    id: u64,
    rng: Rand64,
}

/// How a request is answered.
enum Reaction {
    Hang,
    Reset,
    /// Writes these bytes again and again until the connection ends.
    Endless(Vec<u8>),
    Write {
        bytes: Vec<u8>,
        then: FollowUp,
    },
}

/// What follows a response.
enum FollowUp {
    KeepAlive,
    Close,
    Reset,
    SecondResponse(Vec<u8>),
}

fn response(status: &str, extra: &str, body: &str) -> Vec<u8> {
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
            let index = self.event_log.begin_attempt(AttemptRecord {
                request: None,
                server: self.uid.clone(),
                connection: self.id,
                first_byte_at,
                received_at: None,
                deadline: None,
                keyed: false,
                ran: false,
                finished_at: None,
                surplus_written_at: None,
                handling: "incomplete",
            });
            let handled = self.handle_request(&mut reader, index).await;
            let now = self.event_log.now();
            self.event_log.update_attempt(index, |attempt| {
                attempt.finished_at.get_or_insert(now);
            });
            if !matches!(handled, Ok(true)) {
                return;
            }
        }
    }

    /// Handles one request; returns true if the connection stays open.
    async fn handle_request(
        &mut self,
        reader: &mut Reader<TcpStream>,
        index: usize,
    ) -> Result<bool, ReadError> {
        let message = reader.read_message().await?;
        let received_at = self.event_log.now();
        let request = message.header("x-request-id").and_then(|id| RequestId::from_str_radix(id, 16).ok());
        let deadline = message.header("x-deadline").and_then(parse_duration);
        let keyed = message.header("idempotency-key").is_some();
        self.event_log.update_attempt(index, |attempt| {
            attempt.request = request;
            attempt.received_at = Some(received_at);
            attempt.deadline = deadline;
            attempt.keyed = keyed;
        });
        let Some(id) = request else {
            self.event_log.update_attempt(index, |attempt| attempt.handling = "no request id: 404");
            return Ok(reader.stream.write_all(&response("404 Not Found", "", "")).await.is_ok());
        };
        let behaviour = *self.behaviour.lock().expect("lock not poisoned");
        if self.rng.rand_float() < behaviour.reject {
            self.event_log.update_attempt(index, |attempt| attempt.handling = "rejected");
            let bytes = response("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
            return Ok(reader.stream.write_all(&bytes).await.is_ok());
        }
        self.event_log.update_attempt(index, |attempt| attempt.ran = true);
        let work = WORK_MS * behaviour.work_factor * (0.3 + 1.4 * self.rng.rand_float());
        let usage_header =
            self.usage.as_ref().map_or_else(String::new, |usage| usage.count(&self.event_log, id));
        let (handling, reaction) = self.choose_reaction(&behaviour, id, &usage_header);
        self.event_log.update_attempt(index, |attempt| attempt.handling = handling);
        // The connection is closed meanwhile if the gateway cancels the attempt.
        tokio::select! {
            () = sleep(Duration::from_secs_f64(work / 1000.0)) => {}
            _ = reader.wait_for_byte() => return Ok(false),
        }
        self.react(reader, reaction, index).await
    }

    /// Draws the reaction to a request, and its description for the event log.
    fn choose_reaction(
        &mut self,
        behaviour: &ServerBehaviour,
        id: RequestId,
        usage_header: &str,
    ) -> (&'static str, Reaction) {
        let padding =
            if self.rng.rand_float() < behaviour.large_body { self.rng.rand_range(0..60_000) } else { 0 };
        let body = served_body(id, &self.uid, padding as usize);
        let good = response("200 OK", usage_header, &body);
        let mut remainder = self.rng.rand_float();
        let mut drawn = |probability: f64| {
            remainder -= probability;
            remainder < 0.0
        };
        let write = |bytes, then| Reaction::Write { bytes, then };
        if drawn(behaviour.hang) {
            ("hang", Reaction::Hang)
        } else if drawn(behaviour.error) {
            ("error", write(response("500 Internal Server Error", "", ""), FollowUp::KeepAlive))
        } else if drawn(behaviour.reset) {
            ("reset", Reaction::Reset)
        } else if drawn(behaviour.malformed) {
            (
                "malformed",
                write(b"HTTP/1.1 2x0 what\r\nContent-Length: -4\r\n\r\n".to_vec(), FollowUp::KeepAlive),
            )
        } else if drawn(behaviour.endless) {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
            ("endless", Reaction::Endless(format!("{head}{body}").into_bytes()))
        } else if drawn(behaviour.interim) {
            let bytes = [b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", good.as_slice()].concat();
            ("interim response first", write(bytes, FollowUp::KeepAlive))
        } else if drawn(behaviour.second_response) {
            ("second response", write(good, FollowUp::SecondResponse(response("200 OK", "", "unmatched"))))
        } else if drawn(behaviour.no_length / 2.0) {
            ("no length", write(format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes(), FollowUp::Close))
        } else if drawn(behaviour.no_length / 2.0) {
            (
                "no length, reset",
                write(
                    format!("HTTP/1.1 200 OK\r\n\r\n{}", &body[..body.len() / 2]).into_bytes(),
                    FollowUp::Reset,
                ),
            )
        } else if drawn(behaviour.close) {
            ("response, close", write(good, FollowUp::Close))
        } else {
            ("response", write(good, FollowUp::KeepAlive))
        }
    }

    async fn react(
        &mut self,
        reader: &mut Reader<TcpStream>,
        reaction: Reaction,
        index: usize,
    ) -> Result<bool, ReadError> {
        let (bytes, then) = match reaction {
            Reaction::Hang => {
                let _ = reader.wait_for_byte().await;
                return Ok(false);
            }
            Reaction::Endless(bytes) => {
                while reader.stream.write_all(&bytes).await.is_ok() {
                    sleep(Duration::from_millis(5)).await;
                }
                return Ok(false);
            }
            Reaction::Reset => {
                reset_on_close(&reader.stream);
                return Ok(false);
            }
            Reaction::Write { bytes, then } => (bytes, then),
        };
        let written = reader.stream.write_all(&bytes).await.is_ok();
        let now = self.event_log.now();
        self.event_log.update_attempt(index, |attempt| attempt.finished_at = Some(now));
        let delay = Duration::from_secs_f64(MAX_FOLLOW_UP_MS * self.rng.rand_float() / 1000.0);
        match then {
            FollowUp::KeepAlive => Ok(written),
            FollowUp::Close => {
                sleep(delay).await;
                Ok(false)
            }
            FollowUp::Reset => {
                sleep(delay).await;
                reset_on_close(&reader.stream);
                Ok(false)
            }
            FollowUp::SecondResponse(more) => {
                let until = Instant::now() + delay;
                tokio::time::sleep_until(until).await;
                let now = self.event_log.now();
                self.event_log.update_attempt(index, |attempt| attempt.surplus_written_at = Some(now));
                Ok(reader.stream.write_all(&more).await.is_ok())
            }
        }
    }
}

/// The body of a valid response: it begins and ends with the request's id.
pub fn served_body(id: RequestId, server: &str, padding: usize) -> String {
    format!("{id:016x} served by {server} {} {id:016x}", "x".repeat(padding))
}

/// Whether this is a complete body of a valid response to the request.
pub fn is_served_body(id: RequestId, body: &[u8]) -> bool {
    let id = format!("{id:016x}");
    body.len() > 2 * id.len() && body.starts_with(id.as_bytes()) && body.ends_with(id.as_bytes())
}

/// Parses a duration in the format of `X-Deadline`: a number of milliseconds with `m`, or of microseconds with `u`.
pub fn parse_duration(text: &str) -> Option<Millis> {
    if let Some(number) = text.strip_suffix('m') {
        return number.parse().ok();
    }
    text.strip_suffix('u').and_then(|number| number.parse::<f64>().ok()).map(|number| number / 1000.0)
}
