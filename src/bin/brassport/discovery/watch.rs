//! The watch on discovery.

use super::call::{ask, Outcome, Query};
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
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// From the beginning of a watch to the next one at the least: an agent that answers at once, whatever it is
/// asked, must not keep the gateway busy.
const PACE: Duration = Duration::from_millis(20);
/// From the beginning of a watch to the call that confirms it: the agent has the watch by then.
const CONFIRM_AFTER: Duration = Duration::from_millis(5);
/// What lines of the trace are about.
const SUBJECT: &str = "discovery";

/// Follows the list of servers.
///
/// What an agent of the gateway's own has counts as told, whether or not a watch is open, and an agent that falls
/// silent tells it no more. So each watch is confirmed by a call on a second connection, which is answered at once:
/// what came before the watch has been heard then, and what comes later is written to it. Where no such answer
/// comes, servers may drain unheard, and after a part of the grace the list is withdrawn until it is there again.
pub struct Watcher {
    updates: UnboundedSender<Update>,
    schedule: RefCell<Schedule>,
    status: DiscoveryStatus,
    /// The revision held, where changes to it may be asked for.
    held: Cell<Option<u64>>,
}

impl Watcher {
    /// A watcher of that source, which reports to `updates`.
    pub fn new(source: Source, updates: UnboundedSender<Update>) -> Watcher {
        Watcher {
            updates,
            schedule: RefCell::new(Schedule::new(source.service, source.seed)),
            status: DiscoveryStatus::new(source.known),
            held: Cell::new(None),
        }
    }

    /// Watches until nobody listens any more, from the start again wherever discovery moves to.
    pub async fn follow(self, source: Receiver<Source>) {
        tokio::select! {
            () = self.watch_wherever(source) => {}
            () = self.withdraw_unconfirmed() => {}
            () = self.updates.closed() => {}
        }
    }

    async fn watch_wherever(&self, mut source: Receiver<Source>) {
        loop {
            let Source { address, service, known, seed } = *source.borrow_and_update();
            self.schedule.replace(Schedule::new(service, seed));
            self.held.set(known.filter(|_| self.schedule.borrow().is_shared()));
            self.status.notify_changed();
            tokio::select! {
                () = self.watch(address) => {}
                changed = source.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Watches at one address. Whatever discovery does, the list held stays in force, unless it is withdrawn.
    async fn watch(&self, address: SocketAddr) {
        let mut links = Links::default();
        loop {
            let began = Instant::now();
            let watches = self.held.get().is_some();
            match self.call(&mut links, address).await {
                Outcome::List(list) => {
                    self.take_in(list);
                    if watches {
                        sleep_until(began + PACE).await;
                    }
                }
                // An agent may fall silent any moment with news that count as told: no time is lost here.
                Outcome::Unmade => sleep(PACE).await,
                Outcome::Busy => {
                    links = Links::default();
                    self.pause(began).await;
                }
                Outcome::Lost(loss) => {
                    links = Links::default();
                    self.status.call_failed(loss);
                    self.report(Update::CallFailed);
                    self.held.set(self.held.get().filter(|_| self.schedule.borrow().is_shared()));
                    self.pause(began).await;
                }
            }
        }
    }

    /// Asks for the whole list, or for what is newer than the revision held.
    async fn call(&self, links: &mut Links, address: SocketAddr) -> Outcome {
        let Some(after) = self.held.get() else {
            return self.ask(&mut links.list, address, Query::Full).await;
        };
        let wait = self.schedule.borrow().wait();
        let watch = self.ask(&mut links.list, address, Query::Watch { after, wait });
        if self.schedule.borrow().is_shared() {
            return watch.await;
        }
        tokio::select! {
            biased;
            outcome = watch => outcome,
            loss = self.confirm(&mut links.confirmation, address, after) => Outcome::Lost(loss),
        }
    }

    /// Makes one call. Guards against an agent that is silent: a call is given up.
    async fn ask(&self, link: &mut Option<HttpConnection>, address: SocketAddr, query: Query) -> Outcome {
        let began = Instant::now();
        log::trace(SUBJECT, || format!("{address} is asked: {}", query.path()));
        let call_timeout = self.schedule.borrow().call_timeout(query);
        let outcome = timeout(call_timeout, ask(link, address, query)).await;
        let outcome = outcome.unwrap_or(Outcome::Lost(CallFailure::TimedOut));
        let took = began.elapsed();
        log::trace(SUBJECT, || format!("after {:.1} ms: {outcome}", took.as_secs_f64() * 1000.0));
        if let Outcome::List(list) = &outcome {
            self.status.answered(list.rev);
            if self.schedule.borrow().max_unconfirmed().is_some() {
                self.status.set_unconfirmed_since(began + query.least_wait(list, took));
            }
        }
        outcome
    }

    /// Confirms a watch that has begun, and waits for ever; returns where its agent can't be reached any more.
    async fn confirm(
        &self,
        kept: &mut Option<HttpConnection>,
        address: SocketAddr,
        after: u64,
    ) -> CallFailure {
        sleep(CONFIRM_AFTER).await;
        // A link that is dropped in the middle of a call can't be used again.
        let mut link = kept.take();
        loop {
            match ask(&mut link, address, Query::Watch { after, wait: Duration::ZERO }).await {
                Outcome::List(list) => {
                    *kept = link;
                    log::trace(SUBJECT, || format!("the watch is confirmed: {list}"));
                    self.status.confirmed();
                    if list.rev > after {
                        self.pass_on(list);
                    }
                    return pending().await;
                }
                Outcome::Unmade => sleep(PACE).await,
                Outcome::Busy => return CallFailure::TimedOut,
                Outcome::Lost(loss) => return loss,
            }
        }
    }

    /// Takes in the answer to a watch or to a call for the whole list.
    fn take_in(&self, list: List) {
        self.schedule.borrow_mut().reset();
        // Changes to a revision older than the one held are changes to another list.
        let is_based = list.all || self.held.get().is_some_and(|held| held <= list.rev);
        self.held.set(is_based.then_some(list.rev));
        if is_based {
            self.pass_on(list);
        }
    }

    fn pass_on(&self, list: List) {
        let kind = if list.all { ListKind::Full } else { ListKind::Delta };
        self.report(Update::List(kind, list));
    }

    fn report(&self, update: Update) {
        // Nobody listens any more where the program ends.
        let _ = self.updates.send(update);
    }

    /// Pauses behind a call that failed.
    async fn pause(&self, began: Instant) {
        let pause = self.schedule.borrow_mut().pause(began.elapsed());
        sleep(pause).await;
    }

    /// Withdraws the list whenever it has been unconfirmed for too long.
    async fn withdraw_unconfirmed(&self) {
        loop {
            let since = self.status.unconfirmed_since();
            let until = since.zip(self.schedule.borrow().max_unconfirmed());
            let until = until.and_then(|(since, most)| since.checked_add(most));
            match until {
                None => self.status.changed().await,
                Some(until) if until > Instant::now() => tokio::select! {
                    () = sleep_until(until) => {}
                    () = self.status.changed() => {}
                },
                Some(_) => self.withdraw(),
            }
        }
    }

    fn withdraw(&self) {
        log::line("no server is sent to: discovery fell silent as no watch was open".to_string());
        self.status.confirmed();
        self.held.set(None);
        self.report(Update::List(ListKind::Full, List::empty()));
    }
}

/// The connections to discovery, as far as they stand.
#[derive(Default)]
struct Links {
    /// For lists and watches.
    list: Option<HttpConnection>,
    /// For the calls that confirm watches.
    confirmation: Option<HttpConnection>,
}
