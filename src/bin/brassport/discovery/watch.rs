//! The watch on discovery.

use super::call::{call, CallOutcome, Query, TimedCall, SUBJECT};
use super::list::List;
use super::schedule::Schedule;
use super::status::{CallFailure, DiscoveryStatus};
use super::{Source, Update};
use crate::http_connection::HttpConnection;
use crate::log;
use springusher::ListKind;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch::{error::RecvError, Receiver};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Minimum time from the start of a watch to the start of the next one, so that an agent that answers every call at
/// once does not keep the gateway busy. Also the pause after a call that this machine could not start.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the start of a watch to the call that confirms it. The agent has to have received the watch by then.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(5);

/// Follows the list of servers.
///
/// The gateway counts as notified of every change that its local agent has, also while no watch is open, and an agent
/// that becomes unresponsive sends it no more. So each watch is confirmed by a call on a second connection, which the
/// agent answers at once: with its answer no change from before the watch is missing, and later ones are written to the
/// watch. Without it servers may be draining unnoticed, and after a fraction of the drain grace the list is withdrawn
/// until discovery answers again. The same holds for a list that came from elsewhere: from the configuration file or
/// from another discovery.
pub struct Watcher {
    updates: UnboundedSender<Update>,
    schedule: RefCell<Schedule>,
    status: DiscoveryStatus,
    /// The revision held; `None` if the next call has to ask for the full list.
    held_revision: Cell<Option<u64>>,
}

impl Watcher {
    /// A watcher of that source, which sends to `updates`.
    pub fn new(source: Source, updates: UnboundedSender<Update>) -> Watcher {
        Watcher {
            updates,
            schedule: RefCell::new(Schedule::new(source.service, source.seed)),
            status: DiscoveryStatus::new(source.held_revision, source.notified_at),
            held_revision: Cell::new(None),
        }
    }

    /// Watches until the receiver of the updates is dropped. Whenever `source` names another discovery, it starts anew
    /// there.
    pub async fn follow(self, source: Receiver<Source>) {
        tokio::select! {
            () = self.watch_current_source(source) => {}
            () = self.withdraw_unconfirmed() => {}
            () = self.updates.closed() => {}
        }
    }

    async fn watch_current_source(&self, mut sources: Receiver<Source>) {
        loop {
            let source = *sources.borrow_and_update();
            self.schedule.replace(Schedule::new(source.service, source.seed));
            let is_shared = self.schedule.borrow().is_shared();
            self.held_revision.set(source.held_revision.filter(|_| is_shared));
            self.status.source_changed(source.notified_at);
            tokio::select! {
                () = self.watch(source.address) => {}
                changed = self.wait_for_other_source(&mut sources, source) => if changed.is_err() { return },
            }
        }
    }

    /// Waits for a source where the current watch cannot go on. Another schedule for the same agent interrupts no watch:
    /// what that agent receives while none is open would be missed if it became unresponsive then.
    async fn wait_for_other_source(
        &self,
        sources: &mut Receiver<Source>,
        current: Source,
    ) -> Result<(), RecvError> {
        loop {
            sources.changed().await?;
            let source = *sources.borrow();
            let is_watch_open = self.held_revision.get().is_some();
            if !is_watch_open || !source.continues(&current) {
                return Ok(());
            }
            self.schedule.replace(Schedule::new(source.service, source.seed));
            self.status.notify_changed();
        }
    }

    /// Watches at one address. A failed call does not change the list held; only `withdraw_unconfirmed` does.
    async fn watch(&self, address: SocketAddr) {
        let mut connections = Connections::default();
        loop {
            let started = Instant::now();
            let is_watch = self.held_revision.get().is_some();
            match self.fetch(&mut connections, address).await {
                CallOutcome::List(list) => {
                    self.handle_list(list);
                    if is_watch {
                        sleep_until(started + MIN_WATCH_INTERVAL).await;
                    }
                }
                // No back-off here: the agent may become unresponsive at any moment, with changes that this gateway
                // counts as notified of.
                CallOutcome::LocalError => sleep(MIN_WATCH_INTERVAL).await,
                CallOutcome::Busy => {
                    connections = Connections::default();
                    self.pause(started).await;
                }
                CallOutcome::Failed(failure) => {
                    connections = Connections::default();
                    self.status.call_failed(failure);
                    let is_shared = self.schedule.borrow().is_shared();
                    self.held_revision.set(self.held_revision.get().filter(|_| is_shared));
                    self.pause(started).await;
                }
            }
        }
    }

    /// Asks for the full list, or watches for changes after the revision held.
    async fn fetch(&self, connections: &mut Connections, address: SocketAddr) -> CallOutcome {
        let probe_interval = self.schedule.borrow().probe_interval();
        let Some(after) = self.held_revision.get() else {
            return match probe_interval {
                Some(interval) => {
                    CallOutcome::List(self.probe(&mut connections.list, address, interval).await)
                }
                None => self.call_in_time(&mut connections.list, address, Query::Full).await,
            };
        };
        let wait = self.schedule.borrow().watch_wait();
        let watch = self.call_in_time(&mut connections.list, address, Query::Watch { after, wait });
        if self.schedule.borrow().is_shared() {
            return watch.await;
        }
        tokio::select! {
            biased;
            outcome = watch => outcome,
            failure = self.confirm(&mut connections.confirmation, address, after) => CallOutcome::Failed(failure),
        }
    }

    /// Calls a local agent for the full list at short intervals, on a connection for each call, until it answers one of
    /// them. A call that an unresponsive agent has received is never answered, so waiting for one before the next would
    /// miss an agent that answers only for a moment, and with it changes that the gateway counts as notified of.
    async fn probe(
        &self,
        kept_connection: &mut Option<HttpConnection>,
        address: SocketAddr,
        interval: Duration,
    ) -> List {
        let call_timeout = self.schedule.borrow().call_timeout(Query::Full);
        let mut calls = JoinSet::new();
        let mut next_call_at = Instant::now();
        loop {
            tokio::select! {
                () = sleep_until(next_call_at) => {
                    next_call_at = Instant::now() + interval;
                    calls.spawn_local(TimedCall::make(kept_connection.take(), address, Query::Full, call_timeout));
                }
                Some(Ok(ended)) = calls.join_next() => match ended.outcome {
                    CallOutcome::List(list) => {
                        *kept_connection = ended.connection;
                        self.status.answered(list.rev, ended.started);
                        return list;
                    }
                    CallOutcome::LocalError => {
                        next_call_at = next_call_at.min(Instant::now() + MIN_WATCH_INTERVAL);
                    }
                    CallOutcome::Busy => {}
                    CallOutcome::Failed(failure) => self.status.call_failed(failure),
                },
            }
        }
    }

    /// Makes one call, and gives it up after its time-out, as an unresponsive agent never answers it.
    async fn call_in_time(
        &self,
        connection: &mut Option<HttpConnection>,
        address: SocketAddr,
        query: Query,
    ) -> CallOutcome {
        let call_timeout = self.schedule.borrow().call_timeout(query);
        let ended = TimedCall::make(connection.take(), address, query, call_timeout).await;
        *connection = ended.connection;
        if let CallOutcome::List(list) = &ended.outcome {
            self.status.answered(list.rev, ended.started + query.min_wait(list, ended.took));
        }
        ended.outcome
    }

    /// Confirms the open watch and then never returns. Returns only if the confirming call fails.
    async fn confirm(
        &self,
        kept_connection: &mut Option<HttpConnection>,
        address: SocketAddr,
        after: u64,
    ) -> CallFailure {
        sleep(CONFIRMATION_DELAY).await;
        // Taken out for the call, as a connection that is dropped during a call cannot be used again.
        let mut connection = kept_connection.take();
        loop {
            match call(&mut connection, address, Query::Watch { after, wait: Duration::ZERO }).await {
                CallOutcome::List(list) => {
                    *kept_connection = connection;
                    log::trace(SUBJECT, || format!("watch confirmed: {list}"));
                    self.status.confirmed();
                    if list.rev > after {
                        self.publish_list(list);
                    }
                    return pending().await;
                }
                CallOutcome::LocalError => sleep(MIN_WATCH_INTERVAL).await,
                CallOutcome::Busy => return CallFailure::TimedOut,
                CallOutcome::Failed(failure) => return failure,
            }
        }
    }

    /// Handles the answer to a watch or to a call for the full list.
    fn handle_list(&self, list: List) {
        self.schedule.borrow_mut().reset_backoff();
        // A delta with a revision below the one held belongs to another list, so the full list is needed.
        let is_applicable = list.all || self.held_revision.get().is_some_and(|held| held <= list.rev);
        self.held_revision.set(is_applicable.then_some(list.rev));
        if is_applicable {
            self.publish_list(list);
        }
    }

    fn publish_list(&self, list: List) {
        let kind = if list.all { ListKind::Full } else { ListKind::Delta };
        self.publish(Update::List(kind, list));
    }

    fn publish(&self, update: Update) {
        // The receiver is gone when the process is about to exit.
        let _ = self.updates.send(update);
    }

    /// Pauses after a failed call.
    async fn pause(&self, started: Instant) {
        let pause = self.schedule.borrow_mut().next_pause(started.elapsed());
        sleep(pause).await;
    }

    /// Withdraws the list whenever it has been unconfirmed for longer than the schedule allows.
    async fn withdraw_unconfirmed(&self) {
        loop {
            let since = self.status.unconfirmed_since();
            let until = since.zip(self.schedule.borrow().max_unconfirmed());
            let until = until.and_then(|(since, max)| since.checked_add(max));
            match until {
                None => self.status.changed().await,
                Some(until) if until > Instant::now() => tokio::select! {
                    () = sleep_until(until) => {}
                    () = self.status.changed() => {}
                },
                Some(_) => self.withdraw_list(),
            }
        }
    }

    fn withdraw_list(&self) {
        log::line(
            "list of servers withdrawn: discovery did not confirm it in time, so changes to it may be missing"
                .to_string(),
        );
        self.status.withdrawn();
        self.held_revision.set(None);
        self.publish(Update::Withdrawn);
    }
}

/// The open connections to discovery.
#[derive(Default)]
struct Connections {
    /// For full lists and watches.
    list: Option<HttpConnection>,
    /// For the calls that confirm a watch.
    confirmation: Option<HttpConnection>,
}
