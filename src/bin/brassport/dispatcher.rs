//! Owns the decision module ([`Gateway`]): keeps its clock, its timers and the pending requests, feeds it events
//! and carries out its actions in order. It makes no decisions itself.

use crate::backends::{AttemptResult, Backends, Message};
use crate::client_stream::ClientSocket;
use crate::clock::Clock;
use crate::counter::{Counter, CounterEvent};
use crate::discovery::{List, State, Target};
use crate::guard::{Guard, SendConditions, Violation};
use crate::log;
use hyper::body::Bytes;
use hyper::Response;
use springusher::{
    Action, AttemptEnd, Event, Gateway, Idempotency, InvalidSetting, Lifecycle, ListKind, Millis,
};
use springusher::{Request, RequestId, ServerEntry, ServerId, Settings};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// The final answer to a client's request.
pub enum Answer {
    Served(Response<Bytes>),
    /// The request did not run and may safely be retried, after this time if it is above 0.
    Refused(Millis),
    Failed,
}

impl Answer {
    /// The name of the kind, for the trace.
    fn kind(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// A request without its final answer, or with attempts that have not ended.
struct PendingRequest {
    /// The `x-request-id` that the client sent.
    client_request_id: String,
    /// The connection on which it arrived.
    client: Rc<ClientSocket>,
    message: Rc<Message>,
    /// When the client gives up.
    deadline: Instant,
    /// `None` once the request is answered or its client has disconnected.
    answer: Option<oneshot::Sender<Answer>>,
    /// Cancels each attempt, by its index; `None` once the attempt has ended or was cancelled.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    /// Whether it must not run twice.
    non_idempotent: bool,
    /// Whether one of the attempts that have ended may have run.
    may_have_run: bool,
}

struct Inner {
    gateway: Gateway,
    requests: HashMap<RequestId, PendingRequest>,
    /// The `client_request_id` of each pending request.
    client_request_ids: HashSet<String>,
    last_request_id: RequestId,
    /// Due time and token of each timer, the earliest first.
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    listed_backends: HashMap<ServerId, ListedBackend>,
}

/// A backend on the server list.
struct ListedBackend {
    uid: String,
    /// Its latest start: `boot_ms` as listed (Unix time) and the same moment on the module's clock. It is converted
    /// once, so that a list that repeats `boot_ms` after a step of the wall clock yields the same moment.
    boot: Option<(f64, Millis)>,
}

pub struct Dispatcher {
    clock: Clock,
    zones: Vec<String>,
    backends: Rc<Backends>,
    counter: Counter,
    /// Whether requests of a class must not run twice, by the index of the class.
    non_idempotent_classes: Vec<bool>,
    guard: Guard,
    inner: RefCell<Inner>,
    /// Notified when a timer is set that is due before all others.
    earlier_timer: Notify,
}

impl Dispatcher {
    pub fn new(
        settings: Settings,
        seed: u64,
        zones: Vec<String>,
        backends: Rc<Backends>,
        counter: Counter,
    ) -> Result<Rc<Dispatcher>, InvalidSetting> {
        let clock = Clock::new();
        let non_idempotent_classes =
            settings.classes.iter().map(|class| class.idempotency == Idempotency::NonIdempotent).collect();
        let inner = Inner {
            gateway: Gateway::new(settings, seed, clock.now())?,
            requests: HashMap::new(),
            client_request_ids: HashSet::new(),
            last_request_id: 0,
            timers: BinaryHeap::new(),
            listed_backends: HashMap::new(),
        };
        let (inner, earlier_timer, guard) = (RefCell::new(inner), Notify::new(), Guard::default());
        Ok(Rc::new(Dispatcher {
            clock,
            zones,
            backends,
            counter,
            non_idempotent_classes,
            guard,
            inner,
            earlier_timer,
        }))
    }

    /// Accepts a request and fills in its id and `expires_in`. Returns `None` while a request with the same
    /// `client_request_id` is pending, up to the end of its last attempt: both could run.
    pub fn admit(
        self: &Rc<Self>,
        mut request: Request,
        client_request_id: String,
        message: Message,
        deadline: Instant,
        client: Rc<ClientSocket>,
    ) -> Option<PendingAnswer> {
        let (answer, receiver) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        if !inner.client_request_ids.insert(client_request_id.clone()) {
            return None;
        }
        inner.last_request_id += 1;
        request.id = inner.last_request_id;
        request.expires_in = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        let time_left = request.expires_in;
        log::trace(&client_request_id, || {
            format!("accepted as request {}, {time_left:.0} ms to its deadline", request.id)
        });
        let message = Rc::new(message);
        let non_idempotent = self.non_idempotent_classes.get(request.class).copied().unwrap_or(true);
        let pending = PendingRequest {
            client_request_id,
            client,
            message,
            deadline,
            answer: Some(answer),
            attempts: Vec::new(),
            non_idempotent,
            may_have_run: false,
        };
        inner.requests.insert(request.id, pending);
        drop(inner);
        self.handle(Event::Request(request));
        Some(PendingAnswer { dispatcher: self.clone(), id: request.id, answer: receiver })
    }

    /// Logs the guard's counts as the last line of the process. Requests without an answer whose clients still
    /// wait are counted as a violation.
    pub fn log_summary(&self) {
        let client_waits = |pending: &&PendingRequest| pending.answer.is_some() && !pending.client.has_left();
        let unanswered = self.inner.borrow().requests.values().filter(client_waits).count();
        if unanswered > 0 {
            self.guard.record_violation(Violation::EndedWithRequests, unanswered);
        }
        log::last_line(format!("at the end: {}", self.guard));
    }

    /// Answers every pending request with a failure, as the process is about to exit.
    pub fn fail_all(self: &Rc<Self>) {
        let answers: Vec<_> = self
            .inner
            .borrow_mut()
            .requests
            .values_mut()
            .filter_map(|pending| pending.answer.take())
            .collect();
        for answer in answers {
            let _ = answer.send(Answer::Failed);
        }
    }

    /// Applies the server list, or changes to it, to the connection pool and passes it to the decision module.
    pub fn update_servers(self: &Rc<Self>, kind: ListKind, list: List) {
        self.detect_clock_step();
        let mut entries = Vec::with_capacity(list.targets.len());
        let mut gone = HashSet::new();
        for target in &list.targets {
            let id = self.server_id(&target.uid);
            let address = target.endpoint.parse().ok();
            let entry = self.server_entry(id, target, address);
            match address {
                Some(at) if entry.lifecycle != Lifecycle::Gone => {
                    self.backends.upsert(id, at, entry.lifecycle == Lifecycle::Ready);
                    gone.remove(&id);
                }
                _ => {
                    self.backends.remove(id);
                    gone.insert(id);
                }
            }
            entries.push(entry);
        }
        let mut inner = self.inner.borrow_mut();
        if kind != ListKind::Delta {
            let listed: HashSet<ServerId> = entries.iter().map(|entry| entry.id).collect();
            self.backends.retain(|id| listed.contains(&id));
            inner.listed_backends.retain(|id, _| listed.contains(id));
        }
        // Every new backend has a new uid, so without this the entries of removed ones would accumulate.
        for id in &gone {
            inner.listed_backends.remove(id);
        }
        drop(inner);
        self.handle(Event::Servers { kind, entries });
    }

    fn server_entry(&self, id: ServerId, target: &Target, address: Option<SocketAddr>) -> ServerEntry {
        let zone = self.zones.iter().position(|zone| *zone == target.az);
        ServerEntry {
            id,
            zone: zone.map_or(u16::MAX, |zone| zone as u16),
            cell: target.pod_group as u16,
            capacity: target.capacity_hint,
            lifecycle: match target.state {
                State::Ready if address.is_some() => Lifecycle::Ready,
                State::Ready | State::Draining | State::Unknown => Lifecycle::Draining,
                State::Gone => Lifecycle::Gone,
            },
            started_at: self.started_at(id, target.boot_ms),
        }
    }

    /// The id of a backend. It is the number in a uid of the form `s-` and 8 hexadecimal digits, and the FNV-1a hash
    /// of any other uid, so that all gateways derive the same id. If another uid has that id, the next free one is
    /// taken.
    fn server_id(&self, uid: &str) -> ServerId {
        let digits = uid.strip_prefix("s-").filter(|digits| digits.len() == 8);
        let hash = || {
            let mix = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
            uid.bytes().fold(0x811c_9dc5, mix)
        };
        let mut id = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok()).unwrap_or_else(hash);
        let listed = &mut self.inner.borrow_mut().listed_backends;
        while listed.get(&id).is_some_and(|other| other.uid != uid) {
            id = id.wrapping_add(1);
        }
        listed.entry(id).or_insert_with(|| ListedBackend { uid: uid.to_string(), boot: None });
        id
    }

    /// When a backend started, on the module's clock; `None` if the list does not give it.
    fn started_at(&self, id: ServerId, boot_ms: f64) -> Option<Millis> {
        if boot_ms <= 0.0 || !boot_ms.is_finite() {
            return None;
        }
        let mut inner = self.inner.borrow_mut();
        let backend = inner.listed_backends.get_mut(&id)?;
        let unchanged = backend.boot.filter(|(listed, _)| *listed == boot_ms);
        let boot = unchanged.unwrap_or_else(|| (boot_ms, self.clock.module_time_of(boot_ms)));
        backend.boot = Some(boot);
        Some(boot.1)
    }

    /// Passes an event of the counter client to the decision module.
    pub fn on_counter_event(self: &Rc<Self>, event: CounterEvent) {
        self.handle(match event {
            CounterEvent::CallEnded { key, result } => Event::CounterAnswer { key, result },
            CounterEvent::Replaced => Event::CounterReplaced,
        });
    }

    /// Passes each timer to the decision module when it is due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.inner.borrow().timers.peek().map(|Reverse((at, _))| *at);
            match next {
                None => self.earlier_timer.notified().await,
                Some(at) if at > Instant::now() => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.earlier_timer.notified() => {}
                },
                Some(_) => {
                    let due = self.inner.borrow_mut().timers.pop();
                    if let Some(Reverse((_, token))) = due {
                        self.handle(Event::Timer(token));
                    }
                }
            }
        }
    }

    fn handle(self: &Rc<Self>, event: Event) {
        self.detect_clock_step();
        let inner = &mut *self.inner.borrow_mut();
        let mut actions = Vec::new();
        inner.gateway.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(inner, action);
        }
    }

    /// Logs a step of the wall clock and reports it to the decision module.
    fn detect_clock_step(&self) {
        let Some(offset) = self.clock.detect_step() else { return };
        log::line(format!(
            "wall clock stepped: its offset from the monotonic clock has changed by {offset:.0} ms since the start"
        ));
        let event = Event::WallClockStepped { offset };
        self.inner.borrow_mut().gateway.handle(self.clock.now(), event, &mut Vec::new());
    }

    /// Carries out one action. An action for a request that is no longer pending is ignored.
    fn carry_out(self: &Rc<Self>, inner: &mut Inner, action: Action) {
        match action {
            Action::Send { request, server, give_up_at, start_by } => {
                let Some(pending) = inner.requests.get_mut(&request) else { return };
                let give_up_at =
                    give_up_at.map_or(pending.deadline, |at| self.clock.to_instant(at).min(pending.deadline));
                let (cancel, cancelled) = oneshot::channel();
                let number = pending.attempts.len() as u8;
                log::trace(&pending.client_request_id, || format!("attempt {number} to {server:08x}"));
                pending.attempts.push(Some(cancel));
                let mut time_limits = (start_by, give_up_at);
                if pending.non_idempotent
                    && (pending.may_have_run || pending.attempts.iter().rev().skip(1).any(Option::is_some))
                {
                    self.guard.record_violation(Violation::Repeated, &pending.client_request_id);
                    // Sets the latest start of the attempt to the past, so that the guard stops it.
                    time_limits.0 = f64::NEG_INFINITY;
                }
                let attempt = self.clone().run_attempt(
                    request,
                    number,
                    server,
                    pending.message.clone(),
                    time_limits,
                    cancelled,
                );
                tokio::task::spawn_local(attempt);
            }
            Action::Refuse { request, retry_after, reason } => {
                if let Some(pending) = inner.requests.get(&request) {
                    log::trace(&pending.client_request_id, || format!("refused: {reason:?}"));
                }
                inner.answer(request, Answer::Refused(retry_after));
            }
            Action::Fail(request) => inner.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let pending = inner.requests.get_mut(&request);
                let cancel =
                    pending.and_then(|pending| pending.attempts.get_mut(usize::from(attempt))?.take());
                if let Some(cancel) = cancel {
                    let _ = cancel.send(());
                }
            }
            Action::Timer { at, token } => {
                let at = self.clock.to_instant(at);
                if inner.timers.peek().is_none_or(|Reverse((first, _))| at < *first) {
                    self.earlier_timer.notify_one();
                }
                inner.timers.push(Reverse((at, token)));
            }
            // Needs no action: the process watches the server list from its start.
            Action::WatchServers => {}
            Action::AddToCounter { key, amount, ttl } => self.counter.add(key, amount, ttl),
            Action::Log(text) => log::line(text),
        }
    }

    async fn run_attempt(
        self: Rc<Self>,
        request: RequestId,
        attempt: u8,
        server: ServerId,
        message: Rc<Message>,
        (start_by, give_up_at): (Millis, Instant),
        cancelled: oneshot::Receiver<()>,
    ) {
        let started = self.clock.now();
        let may_begin = |server_ready| {
            let inner = self.inner.borrow();
            let pending = inner.requests.get(&request);
            let conditions = SendConditions {
                answered: pending.is_none_or(|pending| pending.answer.is_none()),
                // Reads the socket directly: the runtime's readiness state is only as recent as its last poll.
                client_left: pending.is_some_and(|pending| pending.client.has_left()),
                window_over: self.clock.now() >= start_by,
                server_ready,
                time_left: Instant::now() < give_up_at,
            };
            let client_request_id = pending.map_or("", |pending| pending.client_request_id.as_str());
            self.guard.may_send(client_request_id, conditions)
        };
        // Dropping the sender does not cancel the attempt.
        let cancel = async {
            if cancelled.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let AttemptResult { outcome, quota_usage, response } =
            self.backends.attempt(server, &message, give_up_at, cancel, may_begin).await;
        let mut inner = self.inner.borrow_mut();
        if let Some(response) = response {
            inner.answer(request, Answer::Served(response));
        }
        let mut finished = true;
        if let Some(pending) = inner.requests.get_mut(&request) {
            log::trace(&pending.client_request_id, || format!("attempt {attempt} ended: {outcome:?}"));
            pending.attempts[usize::from(attempt)] = None;
            pending.may_have_run |= !outcome.never_ran();
            finished = pending.answer.is_none();
        }
        inner.remove_if_complete(request);
        drop(inner);
        let elapsed = self.clock.now() - started;
        self.handle(Event::AttemptEnd(AttemptEnd {
            request,
            attempt,
            outcome,
            elapsed,
            finished,
            quota_usage,
        }));
    }
}

impl Inner {
    /// Sends the final answer, unless the request has had one.
    fn answer(&mut self, request: RequestId, answer: Answer) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        if let Some(sender) = pending.answer.take() {
            log::trace(&pending.client_request_id, || format!("answer: {}", answer.kind()));
            let _ = sender.send(answer);
        }
        self.remove_if_complete(request);
    }

    /// Removes a request that needs no answer any more and has no attempts in flight.
    fn remove_if_complete(&mut self, request: RequestId) {
        let is_complete = |pending: &PendingRequest| {
            pending.answer.is_none() && pending.attempts.iter().all(Option::is_none)
        };
        if self.requests.get(&request).is_some_and(is_complete) {
            if let Some(pending) = self.requests.remove(&request) {
                self.client_request_ids.remove(&pending.client_request_id);
            }
        }
    }
}

/// Receives the answer to a request. If dropped before the answer, it reports to the decision module that the
/// client has disconnected.
pub struct PendingAnswer {
    dispatcher: Rc<Dispatcher>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
}

impl PendingAnswer {
    /// Waits for the final answer. The request fails at `deadline` if it has none by then.
    pub async fn answer(mut self, deadline: Instant) -> Answer {
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Answer::Failed),
            () = sleep_until(deadline) => Answer::Failed,
        }
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        let mut inner = self.dispatcher.inner.borrow_mut();
        let Some(pending) = inner.requests.get_mut(&self.id) else { return };
        if pending.answer.take().is_none() {
            return;
        }
        log::trace(&pending.client_request_id, || "client disconnected or deadline passed".into());
        if Instant::now() < pending.deadline && !pending.client.has_left() {
            self.dispatcher.guard.record_violation(Violation::Unanswered, &pending.client_request_id);
        }
        inner.remove_if_complete(self.id);
        drop(inner);
        self.dispatcher.handle(Event::ClientDisconnected(self.id));
    }
}
