//! A props server: it runs requests, and misbehaves as it is told.

use crate::http::{Broken, Reader};
use crate::ledger::{AttemptRecord, ColdStart, Ledger, Millis, RequestId};
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
pub struct Manners {
    /// Takes a request and never answers.
    pub hang: f64,
    /// Answers 500 after it ran.
    pub error: f64,
    /// Turns a request away unseen.
    pub full: f64,
    /// Resets the connection after the request ran.
    pub reset: f64,
    /// Answers with what is no HTTP.
    pub spoil: f64,
    /// Answers with up to 60 KB.
    pub big: f64,
    /// Sends an interim answer ahead.
    pub interim: f64,
    /// Answers without an end.
    pub endless: f64,
    /// Sends a second answer some milliseconds behind the first.
    pub second: f64,
    /// Answers without a length and ends the connection, half of the time by a reset.
    pub no_length: f64,
    /// Closes the connection some milliseconds behind an answer.
    pub close: f64,
    /// Factor on the time that an answer takes.
    pub slow: f64,
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
    pub area: usize,
    /// The line to it, whose address is on the list.
    pub line: Proxy,
    manners: Arc<Mutex<Manners>>,
    running: Mutex<Option<JoinHandle<()>>>,
    ledger: Arc<Ledger>,
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
    fn count(&self, ledger: &Ledger, id: RequestId) -> String {
        let asked =
            ledger.with(|records| records.requests.get(&id).map(|record| (record.customer, record.plan)));
        let Some((customer, plan)) = asked else { return String::new() };
        let now = ledger.now();
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
        area: usize,
        ledger: Arc<Ledger>,
        usage: Option<Usage>,
        seed: u64,
    ) -> Server {
        let line = Proxy::start(Ipv4Addr::new(127, 88, 0, 1), None).await;
        let manners = Arc::new(Mutex::new(Manners { slow: 1.0, ..Manners::default() }));
        let (running, starts) = (Mutex::new(None), Mutex::new(0));
        Server { uid, area, line, manners, running, ledger, usage, seed, starts }
    }

    /// Starts it; `capacity` is set if it starts cold and the list tells of it.
    pub async fn start(&self, capacity: Option<f64>) {
        let listener = listen(Ipv4Addr::new(127, 88, 0, 2)).expect("a free port");
        self.line.aim(listener.local_addr().ok());
        let nth = {
            let mut starts = self.starts.lock().expect("no one panics while holding it");
            *starts += 1;
            *starts
        };
        if let Some(capacity) = capacity {
            let start = ColdStart { server: self.uid.clone(), at: self.ledger.now(), capacity };
            self.ledger.with(|records| records.cold_starts.push(start));
        }
        let (uid, ledger, manners) = (self.uid.clone(), self.ledger.clone(), self.manners.clone());
        let usage = self.usage.clone();
        let mut rng = Rand64::new(u128::from(self.seed) << 32 | u128::from(nth));
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                let rng = Rand64::new(u128::from(rng.rand_u64()));
                let connection = Connection {
                    uid: uid.clone(),
                    ledger: ledger.clone(),
                    usage: usage.clone(),
                    manners: manners.clone(),
                    rng,
                };
                connections.spawn(connection.serve(stream));
            }
        });
        *self.running.lock().expect("no one panics while holding it") = Some(task);
    }

    /// Ends it at once with all its connections.
    pub fn crash(&self) {
        self.line.aim(None);
        if let Some(task) = self.running.lock().expect("no one panics while holding it").take() {
            task.abort();
        }
        self.line.reset_all();
    }

    /// Changes how it behaves from the next request on.
    pub fn behave(&self, manners: Manners) {
        *self.manners.lock().expect("no one panics while holding it") = manners;
    }

    /// Where gateways reach it.
    pub fn address(&self) -> SocketAddr {
        self.line.address
    }
}

struct Connection {
    uid: String,
    ledger: Arc<Ledger>,
    usage: Option<Usage>,
    manners: Arc<Mutex<Manners>>,
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
            if reader.first_byte().await.is_err() {
                return;
            }
            let begun_at = self.ledger.now();
            let place = self.ledger.begin_attempt(AttemptRecord {
                request: None,
                server: self.uid.clone(),
                begun_at,
                whole_at: None,
                told: None,
                keyed: false,
                ran: false,
                over_at: None,
                treatment: "incomplete",
            });
            let on = self.one(&mut reader, place).await;
            let now = self.ledger.now();
            self.ledger.attempt(place, |attempt| {
                attempt.over_at.get_or_insert(now);
            });
            if !matches!(on, Ok(true)) {
                return;
            }
        }
    }

    /// Handles one request; true if the connection goes on.
    async fn one(&mut self, reader: &mut Reader<TcpStream>, place: usize) -> Result<bool, Broken> {
        let message = reader.message().await?;
        let whole_at = self.ledger.now();
        let request = message.header("x-request-id").and_then(|id| RequestId::from_str_radix(id, 16).ok());
        let told = message.header("x-deadline").and_then(span);
        let keyed = message.header("idempotency-key").is_some();
        self.ledger.attempt(place, |attempt| {
            attempt.request = request;
            attempt.whole_at = Some(whole_at);
            attempt.told = told;
            attempt.keyed = keyed;
        });
        let Some(id) = request else {
            self.ledger.attempt(place, |attempt| attempt.treatment = "no id: 404");
            return Ok(reader.stream.write_all(&answer("404 Not Found", "", "")).await.is_ok());
        };
        let manners = *self.manners.lock().expect("no one panics while holding it");
        if self.rng.rand_float() < manners.full {
            self.ledger.attempt(place, |attempt| attempt.treatment = "turned away");
            let bytes = answer("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
            return Ok(reader.stream.write_all(&bytes).await.is_ok());
        }
        self.ledger.attempt(place, |attempt| attempt.ran = true);
        let work = WORK_MS * manners.slow * (0.3 + 1.4 * self.rng.rand_float());
        let used = self.usage.as_ref().map_or_else(String::new, |usage| usage.count(&self.ledger, id));
        let (name, treatment) = self.treatment(&manners, id, &used);
        self.ledger.attempt(place, |attempt| attempt.treatment = name);
        // Whoever gives the attempt up closes the connection meanwhile.
        tokio::select! {
            () = sleep(Duration::from_secs_f64(work / 1000.0)) => {}
            _ = reader.first_byte() => return Ok(false),
        }
        self.carry_out(reader, treatment, place).await
    }

    fn treatment(&mut self, manners: &Manners, id: RequestId, used: &str) -> (&'static str, Treatment) {
        let filling = if self.rng.rand_float() < manners.big { self.rng.rand_range(0..60_000) } else { 0 };
        let body = served_body(id, &self.uid, filling as usize);
        let good = answer("200 OK", used, &body);
        let mut left = self.rng.rand_float();
        let mut falls = |chance: f64| {
            left -= chance;
            left < 0.0
        };
        let write = |bytes, then| Treatment::Write { bytes, then };
        if falls(manners.hang) {
            ("hang", Treatment::Hang)
        } else if falls(manners.error) {
            ("error", write(answer("500 Internal Server Error", "", ""), Then::KeepAlive))
        } else if falls(manners.reset) {
            ("reset", Treatment::Reset)
        } else if falls(manners.spoil) {
            ("spoilt", write(b"HTTP/1.1 2x0 what\r\nContent-Length: -4\r\n\r\n".to_vec(), Then::KeepAlive))
        } else if falls(manners.endless) {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
            ("endless", Treatment::Endless(format!("{head}{body}").into_bytes()))
        } else if falls(manners.interim) {
            let bytes = [b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", good.as_slice()].concat();
            ("interim answer ahead", write(bytes, Then::KeepAlive))
        } else if falls(manners.second) {
            ("second answer", write(good, Then::Second(answer("200 OK", "", "of nobody"))))
        } else if falls(manners.no_length / 2.0) {
            ("no length", write(format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes(), Then::Close))
        } else if falls(manners.no_length / 2.0) {
            (
                "no length, reset",
                write(
                    format!("HTTP/1.1 200 OK\r\n\r\n{}", &body[..body.len() / 2]).into_bytes(),
                    Then::Reset,
                ),
            )
        } else if falls(manners.close) {
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
    ) -> Result<bool, Broken> {
        let (bytes, then) = match treatment {
            Treatment::Hang => {
                let _ = reader.first_byte().await;
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
        let now = self.ledger.now();
        self.ledger.attempt(place, |attempt| attempt.over_at = Some(now));
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
