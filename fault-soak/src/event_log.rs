//! The merged event log of one run: every request as its client saw it, every attempt as its server saw it,
//! the notices of the server list that each gateway has received, and every incarnation of each gateway process.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// Milliseconds; as a point in time, since the start of the run on the monotonic clock.
pub type Millis = f64;
/// Identifies a request; sent in `X-Request-Id` as 16 hexadecimal digits.
pub type RequestId = u64;

/// How often a request may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Semantics {
    /// Any number of times.
    Idempotent,
    /// Once: servers drop repeats with the same key that begin within the class's deduplication window.
    Keyed,
    /// At most once.
    AtMostOnce,
}

/// How a request used its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// It was the first on a new connection.
    New,
    /// The connection had carried other requests, all of which had been answered.
    Reused,
    /// It was written before the response to the previous request had come.
    Pipelined,
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete response.
    Response {
        /// The status code.
        status: u16,
        /// Whether the body is one that a server made for this request.
        body_matches: bool,
    },
    /// The connection ended before a complete response.
    Closed {
        /// Whether it was reset.
        reset: bool,
    },
    /// No complete response until the client stopped waiting.
    NoResponse,
}

/// One request as its client saw it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Its id.
    pub id: RequestId,
    /// The index of the gateway that it was sent to.
    pub gateway: usize,
    /// The incarnation of that gateway.
    pub incarnation: usize,
    /// The customer.
    pub customer: u64,
    /// The index of the customer's plan in [`PLANS`](crate::site::PLANS).
    pub plan: usize,
    /// How often it may take effect.
    pub semantics: Semantics,
    /// How it used its connection.
    pub connection_use: ConnectionUse,
    /// The client's port, by which the gateway's trace identifies the connection.
    pub port: u16,
    /// Whether the client sent the same bytes on a second connection as well. The gateway treats the two as
    /// separate requests.
    pub sent_twice: bool,
    /// Whether the gateway had closed the connection before the request was written to it.
    pub closed_before_sent: bool,
    /// When its last byte was passed to the operating system.
    pub sent_at: Millis,
    /// How long the client waits for the response, as sent in `X-Deadline`.
    pub client_timeout: Millis,
    /// For a pipelined request, when the response to the previous request on the connection had come; else 0.
    pub previous_response_at: Millis,
    /// When the client closed the connection, if it left before the response.
    pub left_at: Option<Millis>,
    /// How it ended, and when.
    pub outcome: Option<(Outcome, Millis)>,
}

impl RequestRecord {
    /// When the time that the client allows for the response is over.
    pub fn expires_at(&self) -> Millis {
        self.sent_at + self.client_timeout
    }
}

/// One attempt as its server saw it.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// The request that it belongs to; `None` if it carried no valid request id.
    pub request: Option<RequestId>,
    /// The server's uid on the list.
    pub server: String,
    /// Identifies the connection on which it came.
    pub connection: u64,
    /// When its first byte was read.
    pub first_byte_at: Millis,
    /// When its last byte was read.
    pub received_at: Option<Millis>,
    /// The remaining time that it gave the server in `X-Deadline`.
    pub deadline: Option<Millis>,
    /// Whether it carried an idempotency key.
    pub keyed: bool,
    /// Whether the server ran it.
    pub ran: bool,
    /// When its response was written or its connection ended.
    pub finished_at: Option<Millis>,
    /// When bytes that belong to no request were written after its response.
    pub surplus_written_at: Option<Millis>,
    /// How the server handled it; appears in reports only.
    pub handling: &'static str,
}

/// An action of the rig, such as the injection of a fault.
#[derive(Debug, Clone)]
pub struct TimelineEntry {
    /// When it happened.
    pub at: Millis,
    /// Its description.
    pub text: String,
}

/// A gateway was notified that a server drains or has been removed.
#[derive(Debug, Clone)]
pub struct RemovalNotice {
    /// The gateway.
    pub gateway: usize,
    /// The server's uid.
    pub server: String,
    /// The revision of the server list that first has the change.
    pub revision: usize,
    /// From when on the gateway counts as notified, if its process runs then; a later process does from its start on.
    pub notified_at: Millis,
}

/// A cold start of a server that is announced on the server list.
#[derive(Debug, Clone)]
pub struct ColdStart {
    /// The server's uid.
    pub server: String,
    /// When it started.
    pub at: Millis,
    /// Requests per second that the server handles once it is warm.
    pub capacity: f64,
}

/// A gateway was notified of the start of a server.
#[derive(Debug, Clone)]
pub struct StartNotice {
    /// The gateway.
    pub gateway: usize,
    /// The server's uid.
    pub server: String,
    /// From when on the gateway counts as notified.
    pub notified_at: Millis,
}

/// One process of a gateway, from its start to its exit.
#[derive(Debug, Clone)]
pub struct Incarnation {
    /// When the process was started.
    pub started_at: Millis,
    /// The revision of the server list in its configuration.
    pub list_revision: usize,
    /// Whether its log goes to a pipe that is never read.
    pub log_unread: bool,
    /// When it first answered `GET /healthz` with 200.
    pub ready_at: Option<Millis>,
    /// When it was sent SIGTERM.
    pub term_sent_at: Option<Millis>,
    /// When it was sent SIGKILL.
    pub kill_sent_at: Option<Millis>,
    /// When it exited, and whether with success.
    pub exited: Option<(Millis, bool)>,
}

/// A connection of a client that never sends a valid request.
#[derive(Debug, Clone)]
pub struct BadClient {
    /// The gateway.
    pub gateway: usize,
    /// The incarnation of that gateway.
    pub incarnation: usize,
    /// What the client sent.
    pub action: &'static str,
    /// When it connected.
    pub connected_at: Millis,
    /// When the gateway sent an error or closed the connection.
    pub ended_at: Option<Millis>,
}

/// All records of one run.
#[derive(Debug, Default)]
pub struct Records {
    /// Requests by id.
    pub requests: HashMap<RequestId, RequestRecord>,
    /// Attempts in the order in which they began.
    pub attempts: Vec<AttemptRecord>,
    /// What the rig did, in order of time.
    pub timeline: Vec<TimelineEntry>,
    /// Drains and removals of servers, as the gateways were notified of them.
    pub removal_notices: Vec<RemovalNotice>,
    /// Cold starts of servers.
    pub cold_starts: Vec<ColdStart>,
    /// Starts of servers, as the gateways were notified of them.
    pub start_notices: Vec<StartNotice>,
    /// Incarnations by gateway.
    pub incarnations: Vec<Vec<Incarnation>>,
    /// Connections of bad clients.
    pub bad_clients: Vec<BadClient>,
    /// The longest delay of the rig's own timer, which shows how overloaded the machine was.
    pub rig_timer_delay: Millis,
}

/// The event log, shared by the stand-ins.
#[derive(Debug)]
pub struct EventLog {
    start: Instant,
    records: Mutex<Records>,
}

impl EventLog {
    /// Creates an empty log for the given number of gateways.
    pub fn new(gateways: usize) -> EventLog {
        let records = Records { incarnations: vec![Vec::new(); gateways], ..Records::default() };
        EventLog { start: Instant::now(), records: Mutex::new(records) }
    }

    /// The time since the start of the run.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Reads or changes the records under the lock.
    pub fn with<T>(&self, access: impl FnOnce(&mut Records) -> T) -> T {
        access(&mut self.records.lock().expect("lock not poisoned"))
    }

    /// Records an action of the rig.
    pub fn add_to_timeline(&self, text: String) {
        let at = self.now();
        self.with(|records| records.timeline.push(TimelineEntry { at, text }));
    }

    /// Records a new attempt and returns its index for [`EventLog::update_attempt`].
    pub fn begin_attempt(&self, record: AttemptRecord) -> usize {
        self.with(|records| {
            records.attempts.push(record);
            records.attempts.len() - 1
        })
    }

    /// Changes the record of an attempt.
    pub fn update_attempt(&self, index: usize, change: impl FnOnce(&mut AttemptRecord)) {
        self.with(|records| change(&mut records.attempts[index]));
    }

    /// Changes the record of a request, if there is one with this id.
    pub fn update_request(&self, id: RequestId, change: impl FnOnce(&mut RequestRecord)) {
        self.with(|records| records.requests.get_mut(&id).map(change));
    }
}
