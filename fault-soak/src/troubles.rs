//! Carries out the troubles of a scenario.

use crate::client::idle_crowd;
use crate::counter::Mood;
use crate::discovery::State;
use crate::gateway::{Gateway, LogReader};
use crate::proxy::LineFaults;
use crate::run::{all_of, millis, PlacedCounter, World};
use crate::scenario::{Event, Misdeed, Trouble, HELD_CROWD};
use crate::server::{Manners, Server};
use crate::shim::Faults;
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{interval, sleep, timeout};

/// How late agents hear of changes at the most.
const LIST_LAG: Duration = Duration::from_millis(700);
/// A replaced server drains for so long before it is gone.
const DRAIN_SPAN: Duration = Duration::from_millis(2500);
/// Between new configurations in a row.
const RELOAD_GAP: Duration = Duration::from_millis(60);
/// A configuration that is rewritten in place is cut short for so long at the most, and at a start.
const CUT_SHORT: Duration = Duration::from_millis(300);
const CUT_SHORT_AT_START: Duration = Duration::from_millis(400);
/// Between signals in series.
const SERIES_GAP: Duration = Duration::from_millis(70);
const HANGUPS_AT_START: usize = 6;
/// How long a held-up process stands still, and from one such time to the next.
const HOLD: Duration = Duration::from_millis(140);
const HOLD_PERIOD: Duration = Duration::from_millis(500);

/// How long after a gateway was stopped a crowd connects to it.
const CROWD_AFTER_HOLD: Duration = Duration::from_millis(10);

/// How a gateway ends that is restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    InOrder,
    Killed,
    /// In order, with further signals of both kinds until it has.
    SignalSeries,
}

/// How it starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Start {
    Usual,
    /// Its configuration is cut short for a while.
    CutShort,
    /// It is told of a new configuration again and again.
    Signalled,
    /// Nobody reads its log.
    LogUnread,
}

/// Sends both signals, together and apart, while a gateway ends.
async fn signal_while_it_ends(gateway: Arc<Gateway>) {
    loop {
        sleep(SERIES_GAP).await;
        gateway.signal(Signal::HUP);
        gateway.signal(Signal::TERM);
        sleep(SERIES_GAP).await;
        gateway.signal(Signal::HUP);
    }
}

/// Sends a few SIGHUPs from the first moment on in which a gateway takes them.
async fn hang_up_at_start(gateway: Arc<Gateway>) {
    for _ in 0..HANGUPS_AT_START {
        let taken = async {
            while !gateway.takes(Signal::HUP) {
                sleep(Duration::from_micros(200)).await;
            }
        };
        if timeout(Duration::from_secs(1), taken).await.is_ok() {
            gateway.signal(Signal::HUP);
        }
        sleep(Duration::from_millis(1)).await;
    }
}

impl World {
    /// Carries out one trouble, and takes it back where it has an end.
    pub(crate) async fn one(self: Arc<Self>, event: Event) {
        let lasts = millis(event.lasts);
        match event.trouble {
            Trouble::Terminate(gateways) => self.restart(&gateways, End::InOrder, Start::Usual).await,
            Trouble::Kill(gateways) => self.restart(&gateways, End::Killed, Start::Usual).await,
            Trouble::SignalSeries(gateways) => {
                self.restart(&gateways, End::SignalSeries, Start::Signalled).await;
            }
            Trouble::RewriteAtStart(gateways) => {
                self.restart(&gateways, End::InOrder, Start::CutShort).await;
            }
            Trouble::LogUnread(gateways) => self.restart(&gateways, End::InOrder, Start::LogUnread).await,
            Trouble::RewriteInPlace => self.reload_in_place().await,
            Trouble::CounterMoves => {
                let new = PlacedCounter::start().await;
                *self.counter.lock().expect("no one panics while holding it") = new;
                self.reload(false, lasts).await;
            }
            Trouble::CrowdEverywhere { silent } => self.crowd_everywhere(silent, lasts).await,
            Trouble::AreaCut(area) => self.cut(self.in_area(area), lasts).await,
            Trouble::AreaLost(area) => self.crash(self.in_area(area), lasts).await,
            Trouble::Hold(gateways) => self.hold(&gateways, lasts).await,
            Trouble::Reload { unreadable } => self.reload(unreadable, lasts).await,
            Trouble::ReloadBurst => {
                for _ in 0..4 {
                    self.reload(false, lasts).await;
                    sleep(RELOAD_GAP).await;
                }
            }
            Trouble::ReloadAndTerminate(gateways) => {
                self.reload(false, lasts).await;
                self.restart(&gateways, End::InOrder, Start::Usual).await;
                self.restart(&gateways, End::InOrder, Start::Usual).await;
            }
            Trouble::Replace(count) => self.replace(count).await,
            Trouble::Crash(count) => self.crash(self.some_ready(count), lasts).await,
            Trouble::Cut(count) => self.cut(self.some_ready(count), lasts).await,
            Trouble::Trickle => {
                let faults = LineFaults { cut: false, delay: Duration::from_millis(3), piece: 7 };
                self.lines(self.all_servers(), faults, lasts).await;
            }
            Trouble::Misbehave(count, misdeed) => self.misbehave(count, misdeed, lasts).await,
            Trouble::DiscoveryDown => {
                self.discovery.behave(|manners| manners.down = true);
                sleep(lasts).await;
                self.discovery.behave(|manners| manners.down = false);
            }
            Trouble::WatchesSilent => self.discovery.silence_watches(),
            Trouble::WatchesReset => self.discovery.reset_watches(),
            Trouble::OddLists => {
                self.discovery.behave(|manners| {
                    (manners.piece, manners.indented, manners.whole) = (97, true, true);
                });
                sleep(lasts).await;
                self.discovery.behave(|manners| {
                    (manners.piece, manners.indented, manners.whole) = (0, false, false);
                });
            }
            Trouble::Counter(mood) => {
                let placed = self.counter();
                placed.counter.behave(mood);
                sleep(lasts).await;
                placed.counter.behave(Mood::Usual);
            }
            Trouble::WallClock(step) => {
                self.wall_clock_offset.fetch_add(step, Ordering::Relaxed);
                let all: Vec<usize> = (0..self.gateways.len()).collect();
                self.change_faults(&all, |faults| faults.wall_clock_offset += step);
            }
            Trouble::SystemCalls(gateways, call) => {
                let chances = call.faults();
                self.change_faults(&gateways, |faults| {
                    *faults = Faults { wall_clock_offset: faults.wall_clock_offset, ..chances };
                });
                sleep(lasts).await;
                self.change_faults(&gateways, |faults| {
                    *faults = Faults { wall_clock_offset: faults.wall_clock_offset, ..Faults::default() };
                });
            }
            Trouble::IdleCrowd(gateway) => {
                idle_crowd(self.gateways[gateway].clone(), self.site.descriptors, lasts).await;
            }
            Trouble::CrowdWhileHeld(gateways) => self.crowd_while_held(&gateways).await,
            Trouble::LeaveBurst => {
                self.leaving.store(true, Ordering::Relaxed);
                sleep(lasts).await;
                self.leaving.store(false, Ordering::Relaxed);
            }
        }
    }

    fn change_faults(&self, gateways: &[usize], change: impl Fn(&mut Faults)) {
        let mut all = self.faults.lock().expect("no one panics while holding it");
        for gateway in gateways {
            change(&mut all[*gateway]);
            self.gateways[*gateway].faults(all[*gateway]);
        }
    }

    async fn restart(self: &Arc<Self>, gateways: &[usize], end: End, start: Start) {
        let mut restarts = tokio::task::JoinSet::new();
        for gateway in gateways {
            let (world, gateway) = (self.clone(), self.gateways[*gateway].clone());
            restarts.spawn(async move {
                // One life at a time: whoever comes while it is being restarted leaves it alone.
                let Ok(_restarting) = gateway.restarting.try_lock() else { return };
                if gateway.intake().is_none() {
                    return;
                }
                let longest = world.site.longest_deadline();
                match end {
                    End::InOrder => gateway.terminate(longest).await,
                    End::Killed => gateway.kill().await,
                    End::SignalSeries => {
                        let series = tokio::spawn(signal_while_it_ends(gateway.clone()));
                        gateway.terminate(longest).await;
                        series.abort();
                    }
                }
                world.start_as(&gateway, start).await;
            });
        }
        all_of(restarts).await;
    }

    async fn hold(&self, gateways: &[usize], lasts: Duration) {
        let rounds = lasts.as_millis() / HOLD_PERIOD.as_millis();
        let mut starts = interval(HOLD_PERIOD);
        for _ in 0..rounds.max(1) {
            starts.tick().await;
            let held = gateways.iter().map(|gateway| self.gateways[*gateway].clone());
            let mut holds = tokio::task::JoinSet::new();
            held.for_each(|gateway| {
                holds.spawn(async move { gateway.hold(HOLD).await });
            });
            all_of(holds).await;
        }
    }

    async fn crowd_while_held(&self, gateways: &[usize]) {
        let mut crowds = tokio::task::JoinSet::new();
        for gateway in gateways.iter().map(|gateway| self.gateways[*gateway].clone()) {
            let crowd = self.clients(&gateway).crowd(HELD_CROWD, self.draw());
            crowds.spawn(async move {
                tokio::join!(gateway.hold(HOLD), async {
                    sleep(CROWD_AFTER_HOLD).await;
                    crowd.await;
                });
            });
        }
        all_of(crowds).await;
    }

    async fn reload(&self, unreadable: bool, lasts: Duration) {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        if unreadable {
            self.change_faults(&all, |faults| faults.open_fails = 1.0);
        }
        for gateway in &self.gateways {
            let address = self.discovery.listen(gateway.index).await;
            self.discovery_addresses.lock().expect("no one panics while holding it")[gateway.index] = address;
            gateway.configure(&self.site, &self.told(gateway.index));
            if gateway.intake().is_some() {
                gateway.signal(Signal::HUP);
            }
        }
        if unreadable {
            sleep(lasts.min(Duration::from_millis(1500))).await;
            self.change_faults(&all, |faults| faults.open_fails = 0.0);
        }
    }

    async fn replace(&self, count: usize) {
        for server in self.some_ready(count) {
            self.mark(&server, State::Draining);
            self.discovery.change(self.entry(&server, State::Draining, 0), LIST_LAG);
            let new = self.join_server(Some(self.site.capacity())).await;
            self.discovery.change(self.entry(&new, State::Ready, self.wall_clock()), LIST_LAG);
            sleep(DRAIN_SPAN).await;
            self.mark(&server, State::Gone);
            self.discovery.change(self.entry(&server, State::Gone, 0), LIST_LAG);
        }
    }

    /// The servers of an area, of which there are others.
    fn in_area(&self, area: usize) -> Vec<Arc<Server>> {
        let all = self.all_servers();
        let here = all.iter().filter(|server| server.area == area).cloned().collect::<Vec<_>>();
        if here.len() < all.len() {
            here
        } else {
            self.some_ready(here.len())
        }
    }

    async fn reload_in_place(&self) {
        let mut writing = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            let address = self.discovery.listen(gateway.index).await;
            self.discovery_addresses.lock().expect("no one panics while holding it")[gateway.index] = address;
            let span = CUT_SHORT.mul_f64((self.draw() % 1000) as f64 / 1000.0);
            writing.spawn(gateway.configure_in_place(&self.site, &self.told(gateway.index), span));
            if gateway.intake().is_some() {
                gateway.signal(Signal::HUP);
            }
        }
        all_of(writing).await;
    }

    async fn crowd_everywhere(&self, silent: bool, lasts: Duration) {
        if silent {
            self.discovery.behave(|manners| manners.down = true);
        }
        let mut crowds = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            crowds.spawn(idle_crowd(gateway.clone(), self.site.descriptors, lasts));
        }
        all_of(crowds).await;
        if silent {
            self.discovery.behave(|manners| manners.down = false);
        }
    }

    async fn cut(&self, servers: Vec<Arc<Server>>, lasts: Duration) {
        self.lines(servers, LineFaults { cut: true, ..LineFaults::default() }, lasts).await;
    }

    async fn crash(&self, servers: Vec<Arc<Server>>, lasts: Duration) {
        servers.iter().for_each(|server| server.crash());
        sleep(lasts).await;
        for server in servers {
            server.start(Some(self.site.capacity())).await;
            // One that was replaced meanwhile is on the list no more.
            let servers = self.servers.lock().expect("no one panics while holding it");
            let ready =
                servers.iter().any(|(known, state)| known.uid == server.uid && *state == State::Ready);
            drop(servers);
            if ready {
                self.discovery.change(self.entry(&server, State::Ready, self.wall_clock()), LIST_LAG);
            }
        }
    }

    async fn lines(&self, servers: Vec<Arc<Server>>, faults: LineFaults, lasts: Duration) {
        servers.iter().for_each(|server| server.line.set(faults));
        sleep(lasts).await;
        for server in servers {
            server.line.set(LineFaults::default());
            if faults.cut {
                server.line.reset_all();
            }
        }
    }

    fn all_servers(&self) -> Vec<Arc<Server>> {
        let servers = self.servers.lock().expect("no one panics while holding it");
        servers.iter().map(|(server, _)| server.clone()).collect()
    }

    async fn misbehave(&self, count: usize, misdeed: Misdeed, lasts: Duration) {
        let usual = Manners { slow: 1.0, ..Manners::default() };
        let manners = match misdeed {
            Misdeed::Hang => Manners { hang: 0.8, ..usual },
            Misdeed::Error => Manners { error: 0.5, ..usual },
            Misdeed::Full => Manners { full: 0.5, ..usual },
            Misdeed::Reset => Manners { reset: 0.4, ..usual },
            Misdeed::Spoil => Manners { spoil: 0.1, second: 0.2, no_length: 0.3, ..usual },
            Misdeed::Close => Manners { close: 0.6, ..usual },
            Misdeed::Slow => Manners { slow: 20.0, ..usual },
            Misdeed::Long => Manners { big: 0.8, interim: 0.3, endless: 0.1, ..usual },
        };
        let servers = self.some_ready(count);
        servers.iter().for_each(|server| server.behave(manners));
        sleep(lasts).await;
        servers.iter().for_each(|server| server.behave(usual));
    }

    /// Starts a gateway and waits until it is ready.
    pub(crate) async fn start_as(&self, gateway: &Arc<Gateway>, start: Start) {
        let told = self.told(gateway.index);
        let log = if start == Start::LogUnread { LogReader::Nobody } else { LogReader::File };
        let writing = if start == Start::CutShort {
            let rewriting = gateway.configure_in_place(&self.site, &told, CUT_SHORT_AT_START);
            Some(tokio::spawn(rewriting))
        } else {
            gateway.configure(&self.site, &told);
            None
        };
        let signals = (start == Start::Signalled).then(|| tokio::spawn(hang_up_at_start(gateway.clone())));
        if !gateway.start(&told, log).await {
            self.ledger.note(format!("gateway {} was not ready within 30 s", gateway.index));
        }
        for task in [writing, signals].into_iter().flatten() {
            let _ = task.await;
        }
    }

    /// Some servers that are ready, drawn by lot; never so many that less than half of them would be left.
    fn some_ready(&self, count: usize) -> Vec<Arc<Server>> {
        let servers = self.servers.lock().expect("no one panics while holding it");
        let mut ready: Vec<Arc<Server>> = servers
            .iter()
            .filter(|(_, state)| *state == State::Ready)
            .map(|(server, _)| server.clone())
            .collect();
        drop(servers);
        let most = count.min(ready.len() / 2);
        let mut chosen = Vec::new();
        while chosen.len() < most {
            let place = (self.draw() % ready.len() as u64) as usize;
            chosen.push(ready.swap_remove(place));
        }
        chosen
    }

    fn mark(&self, server: &Server, state: State) {
        let mut servers = self.servers.lock().expect("no one panics while holding it");
        if let Some((_, held)) = servers.iter_mut().find(|(known, _)| known.uid == server.uid) {
            *held = state;
        }
    }
}
