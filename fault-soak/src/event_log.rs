//! The merged event log of one run: every request as its client saw it, every attempt as its server saw it,
//! every change of the server list as each discovery agent had it, and every life of every gateway.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// Milliseconds since the run began, on the rig's monotonic clock.
pub type Millis = f64;
/// Names one request; it stands in `X-Request-Id` as 16 hexadecimal digits.
pub type RequestId = u64;

/// How often the effect of a request may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Semantics {
    /// Any number of times.
    Idempotent,
    /// Servers drop repeats that begin within the class's window.
    Keyed,
    /// Once.
    AtMostOnce,
}

/// On what kind of connection a request went out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The first request on its connection.
    New,
    /// One connection had answers before.
    Reused,
    /// It was written right behind another request, before that one's answer.
    Pipelined,
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Response {
        /// Its status.
        status: u16,
        /// Whether a 200 carries what a server made for this request.
        body_matches: bool,
    },
    /// The connection ended without a whole answer.
    Closed {
        /// By a reset.
        reset: bool,
    },
    /// Nothing came until the client stopped waiting.
    NoResponse,
}

/// One request as its client saw it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Its name.
    pub id: RequestId,
    /// The gateway it went to.
    pub gateway: usize,
    /// Which life of that gateway.
    pub incarnation: usize,
    /// Its customer.
    pub customer: u64,
    /// The index of the customer's plan.
    pub plan: usize,
    /// How often it may take effect.
    pub semantics: Semantics,
    /// On what kind of connection it went out.
    pub connection_use: ConnectionUse,
    /// The client's port, by which the gateway's trace names the connection.
    pub port: u16,
    /// Whether its client sent the same bytes on a second connection: the two are judged apart by the gateway.
    pub sent_twice: bool,
    /// When its last byte was handed to the system.
    pub sent_at: Millis,
    /// How long its client said it would wait.
    pub client_timeout: Millis,
    /// When the answer before it on its connection had come, if it was pipelined.
    pub previous_response_at: Millis,
    /// When its client closed the connection, if it left early.
    pub left_at: Option<Millis>,
    /// How it ended, and when.
    pub outcome: Option<(Outcome, Millis)>,
}

impl RequestRecord {
    /// When its client gives up.
    pub fn expires_at(&self) -> Millis {
        self.sent_at + self.client_timeout
    }
}

/// One attempt as its server saw it.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// The request it belongs to; `None` where it carried no id of this run.
    pub request: Option<RequestId>,
    /// The server's name on the list.
    pub server: String,
    /// When its first byte was read.
    pub first_byte_at: Millis,
    /// When its last byte was read.
    pub received_at: Option<Millis>,
    /// The time that it told the server, from `X-Deadline`.
    pub deadline: Option<Millis>,
    /// Whether it carried a key.
    pub keyed: bool,
    /// Whether the server ran it.
    pub ran: bool,
    /// When its connection ended or its answer was written.
    pub finished_at: Option<Millis>,
    /// What the server did with it, for the log.
    pub handling: &'static str,
}

/// Something that the rig did.
#[derive(Debug, Clone)]
pub struct TimelineEntry {
    /// When.
    pub at: Millis,
    /// What.
    pub text: String,
}

/// A server that drains or went, as the agent of one gateway had it.
#[derive(Debug, Clone)]
pub struct RemovalNotice {
    /// The gateway.
    pub gateway: usize,
    /// The server's name.
    pub server: String,
    /// From when on the gateway counts as notified.
    pub notified_at: Millis,
}

/// The start of a server as the list told it.
#[derive(Debug, Clone)]
pub struct ColdStart {
    /// The server's name.
    pub server: String,
    /// When it started.
    pub at: Millis,
    /// Requests that it handles in a second once it is warm.
    pub capacity: f64,
}

/// The start of a server, as a gateway was told of it.
#[derive(Debug, Clone)]
pub struct StartNotice {
    /// The gateway.
    pub gateway: usize,
    /// The server's name.
    pub server: String,
    /// From when on the gateway counts as notified.
    pub notified_at: Millis,
}

/// One life of a gateway process.
#[derive(Debug, Clone)]
pub struct Incarnation {
    /// When it was started.
    pub started_at: Millis,
    /// Whether nobody reads its log.
    pub log_unread: bool,
    /// When it first answered `GET /healthz` with 200.
    pub ready_at: Option<Millis>,
    /// When it was told to end.
    pub term_sent_at: Option<Millis>,
    /// When it was killed.
    pub kill_sent_at: Option<Millis>,
    /// When it ended, and whether with success.
    pub exited: Option<(Millis, bool)>,
}

/// A bad client's connection: what it did, and how long until it got an error or a close.
#[derive(Debug, Clone)]
pub struct BadClient {
    /// The gateway and its life.
    pub gateway: usize,
    /// Which life of it.
    pub incarnation: usize,
    /// What it did.
    pub action: &'static str,
    /// When it connected.
    pub connected_at: Millis,
    /// When it got an error or a close.
    pub ended_at: Option<Millis>,
}

/// All records of one run.
#[derive(Debug, Default)]
pub struct Records {
    /// By name.
    pub requests: HashMap<RequestId, RequestRecord>,
    /// In the order in which they began.
    pub attempts: Vec<AttemptRecord>,
    /// What the rig did, in order.
    pub timeline: Vec<TimelineEntry>,
    /// Drains and removals, as told.
    pub removal_notices: Vec<RemovalNotice>,
    /// Starts of servers.
    pub cold_starts: Vec<ColdStart>,
    /// The same, as gateways were told of them.
    pub start_notices: Vec<StartNotice>,
    /// Lives by gateway.
    pub incarnations: Vec<Vec<Incarnation>>,
    /// Bad clients.
    pub bad_clients: Vec<BadClient>,
    /// The longest time by which the rig's own timer was late.
    pub rig_timer_delay: Millis,
}

/// The log, shared by all stand-ins.
#[derive(Debug)]
pub struct EventLog {
    start: Instant,
    records: Mutex<Records>,
}

impl EventLog {
    /// An empty log for so many gateways.
    pub fn new(gateways: usize) -> EventLog {
        let records = Records { incarnations: vec![Vec::new(); gateways], ..Records::default() };
        EventLog { start: Instant::now(), records: Mutex::new(records) }
    }

    /// The time on the run's clock.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Changes or reads the records.
    pub fn with<T>(&self, work: impl FnOnce(&mut Records) -> T) -> T {
        work(&mut self.records.lock().expect("lock not poisoned"))
    }

    /// Notes what the rig did.
    pub fn add_to_timeline(&self, text: String) {
        let at = self.now();
        self.with(|records| records.timeline.push(TimelineEntry { at, text }));
    }

    /// Enters an attempt that has begun; returns its place for [`EventLog::attempt`].
    pub fn begin_attempt(&self, record: AttemptRecord) -> usize {
        self.with(|records| {
            records.attempts.push(record);
            records.attempts.len() - 1
        })
    }

    /// Changes an attempt.
    pub fn attempt(&self, place: usize, change: impl FnOnce(&mut AttemptRecord)) {
        self.with(|records| change(&mut records.attempts[place]));
    }

    /// Changes a request.
    pub fn request(&self, id: RequestId, change: impl FnOnce(&mut RequestRecord)) {
        self.with(|records| records.requests.get_mut(&id).map(change));
    }
}
