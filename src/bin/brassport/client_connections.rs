//! The registry of client connections: the stage of each, its time-outs, and which to close when descriptors run out.

use crate::client_stream::ClientSocket;
use crate::log;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a whole request may take to arrive, from the start of the connection or from its own first byte. The
/// connection of a client that has not sent its request must end within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How much of the request time-out the wait to be accepted may use up. The rest remains to read what arrived during
/// that wait.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(2000);
/// How long a connection may be idle after a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The same when there are many connections. When descriptors run out, connections that were idle for this long are
/// closed before other idle ones.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// An idle connection is not closed sooner than this, except at a shutdown: its client may not have received all of
/// the response yet. With many connections it is the time-out of one with a single request.
const MIN_IDLE: Duration = Duration::from_millis(300);
/// A client that has sent nothing for this long on a new connection is not expected to send a request soon. The
/// connection is then closed at a shutdown, and is among the first to be closed when descriptors run out.
const SILENT_AFTER: Duration = Duration::from_millis(100);

/// The stage that a connection is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No complete request has arrived on it yet.
    New,
    /// A request is being handled: its head has arrived and it is not answered yet.
    InRequest,
    /// Its last request is answered and nothing of another one has arrived.
    Idle,
    /// Part of another request has arrived.
    ReceivingRequest,
    /// It had its last response, a refusal or an error, and is about to close.
    Last,
    /// Its close was requested.
    Closing,
}

/// What a connection was doing when its close was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Nothing: no request was being received or handled.
    Unused,
    /// Receiving a request, which took too long.
    PartialRequest,
    /// Waiting for its client to close after the last response.
    Answered,
}

#[derive(Debug)]
struct ConnectionState {
    /// The client's port, by which the trace names the connection.
    client_port: u16,
    stage: Cell<Stage>,
    /// When the time-out of the stage began.
    since: Cell<Instant>,
    request_count: Cell<u32>,
    /// Whether part of the next request has been read.
    next_request_begun: Cell<bool>,
    /// The stage in which its close was requested.
    stage_before_close: Cell<Stage>,
    close_requested: Notify,
}

impl ConnectionState {
    fn request_close(&self) {
        self.stage_before_close.set(self.stage.replace(Stage::Closing));
        self.close_requested.notify_one();
    }
    /// Whether no request is being received or handled on it.
    fn is_unused(&self) -> bool {
        let stage =
            if self.stage.get() == Stage::Closing { self.stage_before_close.get() } else { self.stage.get() };
        matches!(stage, Stage::New | Stage::Idle) && !self.next_request_begun.get()
    }
    /// Whether the time-out of its stage has expired.
    fn is_overdue(&self, many_connections: bool, closing: bool) -> bool {
        let time_limit = match self.stage.get() {
            Stage::Idle if closing => Duration::ZERO,
            Stage::New if closing && self.is_unused() => SILENT_AFTER,
            Stage::New | Stage::ReceivingRequest => REQUEST_TIMEOUT,
            Stage::Idle if many_connections && self.request_count.get() <= 1 => MIN_IDLE,
            Stage::Idle if many_connections => CROWDED_IDLE_TIMEOUT,
            Stage::Idle | Stage::Last => IDLE_TIMEOUT,
            Stage::InRequest | Stage::Closing => return false,
        };
        self.since.get().elapsed() >= time_limit
    }
}

/// All client connections, in the order in which they were accepted.
#[derive(Debug, Default)]
pub struct ClientConnections {
    by_number: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last_number: Cell<u64>,
}

impl ClientConnections {
    /// Adds a connection that was just accepted and may have been waiting for that since `queued_since`.
    pub fn register(self: &Rc<Self>, client_port: u16, queued_since: Option<Instant>) -> ClientConnection {
        let now = Instant::now();
        let earliest = now.checked_sub(MAX_QUEUE_WAIT).unwrap_or(now);
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let state = Rc::new(ConnectionState {
            client_port,
            stage: Cell::new(Stage::New),
            since: Cell::new(queued_since.map_or(now, |since| since.max(earliest))),
            request_count: Cell::new(0),
            next_request_begun: Cell::new(false),
            stage_before_close: Cell::new(Stage::New),
            close_requested: Notify::new(),
        });
        self.by_number.borrow_mut().insert(number, state.clone());
        ClientConnection { registry: self.clone(), number, state }
    }

    /// The number of connections that were requested to close and are still open.
    pub fn closing_count(&self) -> usize {
        self.by_number.borrow().values().filter(|state| state.stage.get() == Stage::Closing).count()
    }

    /// Closes the connection that its client is least likely to use again; false if there is none to close. The order
    /// is: after its last response, new and silent, idle for long, idle after a single request, new, any other idle.
    /// Of several the one longest in its stage is closed.
    pub fn evict_one(&self) -> bool {
        let all = self.by_number.borrow();
        let longest_in = |stage, max_requests, min_time| {
            let matches = |state: &&Rc<ConnectionState>| {
                state.stage.get() == stage && state.request_count.get() <= max_requests
            };
            let longest = all.values().filter(matches).min_by_key(|state| state.since.get());
            longest.filter(|state| state.since.get().elapsed() >= min_time)
        };
        // Many clients that send one request and stay connected would hold the descriptors that new clients need;
        // when closed they can reconnect at once.
        let chosen = longest_in(Stage::Last, u32::MAX, SILENT_AFTER)
            .or_else(|| longest_in(Stage::New, 0, SILENT_AFTER))
            .or_else(|| longest_in(Stage::Idle, u32::MAX, CROWDED_IDLE_TIMEOUT))
            .or_else(|| longest_in(Stage::Idle, 1, MIN_IDLE))
            .or_else(|| longest_in(Stage::New, 0, Duration::ZERO))
            .or_else(|| longest_in(Stage::Idle, u32::MAX, MIN_IDLE));
        if let Some(state) = chosen {
            log::trace(state.client_port, || {
                format!("evicted, {:?} for {} ms", state.stage.get(), state.since.get().elapsed().as_millis())
            });
            state.request_close();
        }
        chosen.is_some()
    }

    /// The number of connections in each stage, for the log.
    pub fn stage_counts(&self) -> String {
        let all = self.by_number.borrow();
        let count = |stage| all.values().filter(|state| state.stage.get() == stage).count();
        format!(
            "{} new, {} receiving a request, {} with a request in progress, {} idle, {} answered for the last time, \
             {} closing",
            count(Stage::New),
            count(Stage::ReceivingRequest),
            count(Stage::InRequest),
            count(Stage::Idle),
            count(Stage::Last),
            count(Stage::Closing),
        )
    }

    /// Closes the connections whose time-outs have expired. With more than `many_threshold` connections, idle ones have
    /// shorter time-outs. At a shutdown (`closing`) idle ones are closed at once, and new ones once they are silent.
    ///
    /// A proxy in front of this gateway may allow only a limited number of connections. Clients that stay connected
    /// after a single request, open a new connection for each request, or close late could use up that number long
    /// before descriptors run out here, and keep other clients out. The cost: with many connections, a client that
    /// rarely sends requests has to reconnect.
    pub fn close_expired(&self, many_threshold: usize, closing: bool) {
        let all = self.by_number.borrow();
        let many_connections = all.len() > many_threshold;
        for state in all.values().filter(|state| state.is_overdue(many_connections, closing)) {
            state.request_close();
        }
    }
}

/// The entry of one connection in the registry; it is removed when this is dropped.
pub struct ClientConnection {
    registry: Rc<ClientConnections>,
    number: u64,
    state: Rc<ConnectionState>,
}

impl ClientConnection {
    /// Records a new stage. This withdraws a requested close, as the connection turned out to be in use.
    pub fn set_stage(&self, stage: Stage) {
        // The time-out of a request runs from its first byte, not from the end of its head.
        let head_complete =
            matches!(self.stage(), Stage::New | Stage::ReceivingRequest) && stage == Stage::InRequest;
        if !head_complete {
            self.state.since.set(Instant::now());
        }
        self.state.next_request_begun.set(stage == Stage::ReceivingRequest);
        if stage == Stage::InRequest {
            self.state.request_count.set(self.state.request_count.get().saturating_add(1));
        }
        self.state.stage.set(stage);
    }
    pub fn stage(&self) -> Stage {
        self.state.stage.get()
    }
    /// When the request that is arriving must be complete.
    pub fn request_deadline(&self) -> Instant {
        self.state.since.get() + REQUEST_TIMEOUT
    }
    /// Waits until the connection has to close, and returns what it was doing. An unused connection stays open if part
    /// of a request has arrived meanwhile, even if it is still unread; a system call checks that.
    pub async fn close_requested(&self, client_socket: &ClientSocket) -> CloseReason {
        loop {
            self.state.close_requested.notified().await;
            if self.stage() != Stage::Closing {
                continue;
            }
            if !self.state.is_unused() {
                return match self.state.stage_before_close.get() {
                    Stage::New | Stage::ReceivingRequest => CloseReason::PartialRequest,
                    _ => CloseReason::Answered,
                };
            }
            if client_socket.has_no_input() {
                return CloseReason::Unused;
            }
            log::trace(self.state.client_port, || "stays open, as unread input was found".into());
            self.set_stage(Stage::ReceivingRequest);
        }
    }
    /// Records that part of a request was read.
    pub fn on_bytes_read(&self) {
        match self.stage() {
            Stage::Idle => self.set_stage(Stage::ReceivingRequest),
            Stage::Closing if self.state.is_unused() => {
                log::trace(self.state.client_port, || "stays open, as input was read".into());
                self.set_stage(Stage::ReceivingRequest);
            }
            _ => self.state.next_request_begun.set(true),
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.registry.by_number.borrow_mut().remove(&self.number);
    }
}
