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

/// A pending close is expected to free the descriptor within this time: the client only has to receive the last response
/// and close. After it, further connections are closed in its place when descriptors run out.
const CLOSE_EXPECTED_WITHIN: Duration = Duration::from_millis(100);

/// The stage that a connection is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing of a request has arrived on it yet.
    New,
    /// Part of a request has arrived, but not all of its head and body.
    ReceivingRequest,
    /// A complete request is being handled.
    InRequest,
    /// Its last request is answered and nothing of another one has arrived.
    Idle,
    /// It had its last response, a refusal or an error, and is about to close.
    Last,
}

/// What a connection was doing when it has to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Nothing: no request was being received or handled.
    Unused,
    /// Receiving a request, which took too long.
    RequestTimedOut,
    /// Receiving a request, when its descriptor was needed for others.
    RequestEvicted,
    /// Waiting for its client to close after the last response.
    Answered,
}

/// Why a connection was requested to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseCause {
    /// The time-out of its stage expired.
    TimedOut,
    /// Its descriptor is needed for others.
    Evicted,
}

/// A requested close that was neither carried out nor withdrawn yet.
#[derive(Debug, Clone, Copy)]
struct PendingClose {
    cause: CloseCause,
    requested_at: Instant,
}

/// How readily a connection is closed when descriptors run out: the first of these first, and of several equal ones the
/// one longest in its stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Its client has had the time to receive the last response.
    Answered,
    /// New, and its client has been silent for a while.
    Silent,
    IdleForLong,
    /// Many clients that send one request and stay connected would hold the descriptors that new clients need; when
    /// closed they can reconnect at once.
    IdleAfterSingleRequest,
    /// No request on it has been answered yet.
    FirstRequest,
    Idle,
    /// A further request is arriving on it.
    LaterRequest,
}

#[derive(Debug)]
struct ConnectionState {
    /// The client's port, by which the trace names the connection.
    client_port: u16,
    stage: Cell<Stage>,
    accepted_at: Instant,
    /// When the time-out of the stage began. For a connection that had to wait to be accepted, that is before its accept.
    since: Cell<Instant>,
    /// The number of requests after whose response it stayed open.
    answered_count: Cell<u32>,
    pending_close: Cell<Option<PendingClose>>,
    /// Whether a close was withdrawn because of input that has not been read since.
    has_unread_input: Cell<bool>,
    close_requested: Notify,
}

impl ConnectionState {
    fn request_close(&self, cause: CloseCause, now: Instant) {
        self.pending_close.set(Some(PendingClose { cause, requested_at: now }));
        self.close_requested.notify_one();
    }

    /// Whether no request is being received or handled on it.
    fn is_unused(&self) -> bool {
        matches!(self.stage.get(), Stage::New | Stage::Idle)
    }

    /// Whether its descriptor is about to be free.
    fn is_closing(&self, now: Instant) -> bool {
        let closing_since = match (self.pending_close.get(), self.stage.get()) {
            (Some(close), _) => close.requested_at,
            (None, Stage::Last) => self.since.get(),
            (None, _) => return false,
        };
        now.saturating_duration_since(closing_since) < CLOSE_EXPECTED_WITHIN
    }

    /// Whether the time-out of its stage has expired and no close is pending.
    fn is_overdue(&self, many_connections: bool, closing: bool, now: Instant) -> bool {
        let time_limit = match self.stage.get() {
            Stage::Idle if closing => Duration::ZERO,
            Stage::New if closing && self.time_in_stage(now) >= SILENT_AFTER => Duration::ZERO,
            Stage::New | Stage::ReceivingRequest => REQUEST_TIMEOUT,
            Stage::Idle if many_connections && self.answered_count.get() <= 1 => MIN_IDLE,
            Stage::Idle if many_connections => CROWDED_IDLE_TIMEOUT,
            Stage::Idle | Stage::Last => IDLE_TIMEOUT,
            Stage::InRequest => return false,
        };
        self.pending_close.get().is_none() && now.saturating_duration_since(self.since.get()) >= time_limit
    }

    /// How readily it is closed; `None` if it must not be closed now.
    fn eviction_class(&self, now: Instant) -> Option<EvictionClass> {
        if self.pending_close.get().is_some() || self.has_unread_input.get() {
            return None;
        }
        let time_in_stage = self.time_in_stage(now);
        match self.stage.get() {
            Stage::Last if time_in_stage >= CLOSE_EXPECTED_WITHIN => Some(EvictionClass::Answered),
            Stage::New if time_in_stage >= SILENT_AFTER => Some(EvictionClass::Silent),
            Stage::Idle if time_in_stage >= CROWDED_IDLE_TIMEOUT => Some(EvictionClass::IdleForLong),
            Stage::Idle if time_in_stage < MIN_IDLE => None,
            Stage::Idle if self.answered_count.get() <= 1 => Some(EvictionClass::IdleAfterSingleRequest),
            Stage::Idle => Some(EvictionClass::Idle),
            Stage::New => Some(EvictionClass::FirstRequest),
            Stage::ReceivingRequest if self.answered_count.get() == 0 => Some(EvictionClass::FirstRequest),
            Stage::ReceivingRequest => Some(EvictionClass::LaterRequest),
            Stage::InRequest | Stage::Last => None,
        }
    }

    /// Since when it is known to be in its stage. The time in the queue says nothing about the client.
    fn in_stage_since(&self) -> Instant {
        self.since.get().max(self.accepted_at)
    }

    fn time_in_stage(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.in_stage_since())
    }
}

/// All client connections, in the order in which they were accepted.
#[derive(Debug, Default)]
pub struct ClientConnections {
    by_number: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last_number: Cell<u64>,
    close_withdrawn: Notify,
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
            accepted_at: now,
            since: Cell::new(queued_since.map_or(now, |since| since.max(earliest))),
            answered_count: Cell::new(0),
            pending_close: Cell::new(None),
            has_unread_input: Cell::new(false),
            close_requested: Notify::new(),
        });
        self.by_number.borrow_mut().insert(number, state.clone());
        ClientConnection { registry: self.clone(), number, state }
    }

    /// The number of connections whose descriptors are about to be free.
    pub fn closing_count(&self) -> usize {
        let now = Instant::now();
        self.by_number.borrow().values().filter(|state| state.is_closing(now)).count()
    }

    /// Waits until a requested close has been withdrawn, which means that its descriptor is not about to be free.
    pub async fn close_withdrawn(&self) {
        self.close_withdrawn.notified().await;
    }

    /// Closes the connection that is worth the least to its client; false if there is none to close.
    pub fn evict_one(&self) -> bool {
        let now = Instant::now();
        let all = self.by_number.borrow();
        let candidates = all.values().filter_map(|state| Some((state.eviction_class(now)?, state)));
        let chosen = candidates.min_by_key(|(class, state)| (*class, state.in_stage_since()));
        if let Some((class, state)) = chosen {
            log::trace(state.client_port, || {
                format!("evicted as {class:?} after {} ms", state.time_in_stage(now).as_millis())
            });
            state.request_close(CloseCause::Evicted, now);
        }
        chosen.is_some()
    }

    /// The number of connections in each stage, for the log.
    pub fn stage_counts(&self) -> String {
        let all = self.by_number.borrow();
        let count = |stage| all.values().filter(|state| state.stage.get() == stage).count();
        format!(
            "{} new, {} receiving a request, {} with a request in progress, {} idle, {} answered for the last time",
            count(Stage::New),
            count(Stage::ReceivingRequest),
            count(Stage::InRequest),
            count(Stage::Idle),
            count(Stage::Last),
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
        let now = Instant::now();
        let all = self.by_number.borrow();
        let many_connections = all.len() > many_threshold;
        for state in all.values().filter(|state| state.is_overdue(many_connections, closing, now)) {
            state.request_close(CloseCause::TimedOut, now);
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
        // The time-out of a request runs until it is complete: from the start of the connection or, for a later request,
        // from its first byte.
        let is_same_request = matches!(
            (self.stage(), stage),
            (Stage::New, Stage::ReceivingRequest) | (Stage::ReceivingRequest, Stage::InRequest)
        );
        if !is_same_request {
            self.state.since.set(Instant::now());
        }
        if stage == Stage::Idle {
            self.state.answered_count.set(self.state.answered_count.get().saturating_add(1));
        }
        self.state.stage.set(stage);
        self.withdraw_close();
    }
    pub fn stage(&self) -> Stage {
        self.state.stage.get()
    }
    /// When the request that is arriving must be complete.
    pub fn request_deadline(&self) -> Instant {
        self.state.since.get() + REQUEST_TIMEOUT
    }
    /// Waits until the connection has to close, and returns what it was doing. It stays open for now if its client has
    /// sent something that is still unread, except that its request must not take longer than its time-out.
    pub async fn close_requested(&self, client_socket: &ClientSocket) -> CloseReason {
        loop {
            self.state.close_requested.notified().await;
            let Some(close) = self.state.pending_close.get() else { continue };
            let reason = match (self.stage(), close.cause) {
                (Stage::Last, _) => return CloseReason::Answered,
                (Stage::ReceivingRequest, CloseCause::TimedOut) => return CloseReason::RequestTimedOut,
                (Stage::ReceivingRequest, CloseCause::Evicted) => CloseReason::RequestEvicted,
                (Stage::New | Stage::Idle | Stage::InRequest, _) => CloseReason::Unused,
            };
            if client_socket.has_no_input() {
                return reason;
            }
            log::trace(self.state.client_port, || "stays open, as unread input was found".into());
            if self.state.is_unused() {
                self.set_stage(Stage::ReceivingRequest);
            } else {
                self.withdraw_close();
            }
            self.state.has_unread_input.set(true);
        }
    }
    /// Records that part of a request was read.
    pub fn on_bytes_read(&self) {
        self.state.has_unread_input.set(false);
        if self.state.is_unused() {
            self.set_stage(Stage::ReceivingRequest);
        }
    }
    fn withdraw_close(&self) {
        if self.state.pending_close.take().is_some() {
            self.registry.close_withdrawn.notify_one();
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.registry.by_number.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
