//! One run: starts everything, plays the troubles, and hands over what the log holds.

use crate::client::{idle_crowd, Clients};
use crate::counter::{Counter, Mood};
use crate::discovery::{Discovery, Entry, State};
use crate::gateway::{Gateway, LogReader, Told};
use crate::invariants::{check, Rule, Violation};
use crate::ledger::{Ledger, Millis, Records};
use crate::meter::Meter;
use crate::proxy::{LineFaults, Proxy};
use crate::scenario::{Event, Misdeed, Scenario, Site, Trouble};
use crate::server::{Manners, Server, Usage};
use crate::shim::Faults;
use oorandom::Rand64;
use rustix::process::Signal;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use std::{fs, io};
use tokio::time::{interval, sleep, timeout};

/// The rig's own timer is looked at this often.
const LATENESS_PERIOD: Duration = Duration::from_millis(10);
/// After the load the troubles are over and what is in hand is answered within this.
const SETTLE: Duration = Duration::from_secs(9);
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

/// Where a run finds what it starts and leaves its files.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The gateway's program.
    pub program: PathBuf,
    /// The preloaded library, if any.
    pub shim: Option<PathBuf>,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
}

/// What a run showed.
#[derive(Debug)]
pub struct Report {
    /// The scenario that was played.
    pub scenario: Scenario,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// The log.
    pub records: Records,
}

struct World {
    site: Arc<Site>,
    ledger: Arc<Ledger>,
    gateways: Vec<Arc<Gateway>>,
    /// Servers by the order in which they joined; those that went stay here.
    servers: Mutex<Vec<(Arc<Server>, State)>>,
    discovery: Arc<Discovery>,
    usage: Option<Usage>,
    /// Where the counter is now.
    counter: Mutex<Arc<PlacedCounter>>,
    wall_clock_offset: AtomicI64,
    rng: Mutex<Rand64>,
    faults: Mutex<Vec<Faults>>,
    leaving: Arc<AtomicBool>,
    discovery_addresses: Mutex<Vec<std::net::SocketAddr>>,
}

/// A counter and the line to it.
struct PlacedCounter {
    counter: Counter,
    line: Proxy,
}

impl PlacedCounter {
    async fn start() -> Arc<PlacedCounter> {
        let counter = Counter::start().await;
        let line = Proxy::start(Ipv4Addr::new(127, 88, 0, 5), Some(counter.address)).await;
        Arc::new(PlacedCounter { counter, line })
    }
}

/// Plays one scenario.
///
/// # Errors
/// What the system says of the run's files.
pub async fn play(scenario: Scenario, setup: &Setup) -> io::Result<Report> {
    let site = Arc::new(scenario.site.clone());
    let ledger = Arc::new(Ledger::new(site.gateways));
    let discovery = Discovery::new(ledger.clone(), site.mode, site.gateways);
    let counter = Mutex::new(PlacedCounter::start().await);
    let meter = site.meter.map(|settings| Arc::new(Meter::new(settings)));
    let usage = meter.map(|meter| Usage { meter, site: site.clone() });
    let gateways = start_files(&site, &ledger, setup)?;
    let world = Arc::new(World {
        servers: Mutex::new(Vec::new()),
        wall_clock_offset: AtomicI64::new(0),
        rng: Mutex::new(Rand64::new(u128::from(scenario.seed) << 8)),
        faults: Mutex::new(vec![Faults::default(); site.gateways]),
        leaving: Arc::new(AtomicBool::new(false)),
        discovery_addresses: Mutex::new(Vec::new()),
        site: site.clone(),
        ledger: ledger.clone(),
        gateways,
        discovery,
        usage,
        counter,
    });
    for _ in 0..site.servers {
        let server = world.join_server(None).await;
        world.discovery.seed(world.entry(&server, State::Ready, 0));
    }
    world.start_gateways().await;
    let lateness = tokio::spawn(watch_lateness(ledger.clone()));
    let load = world.clone().load(scenario.seed);
    let troubles = world.clone().play_events(scenario.events.clone());
    let (_, ()) = tokio::join!(load, troubles);
    sleep(Duration::from_millis(200)).await;
    lateness.abort();
    for gateway in &world.gateways {
        gateway.kill().await;
    }
    drop(world);
    let records = ledger.with(std::mem::take);
    let mut violations = check(&site, &records);
    violations.extend(reported(site.gateways, &setup.folder)?);
    Ok(Report { scenario, violations, records })
}

/// Rules that gateways themselves have seen broken, and their panics, from their logs.
fn reported(gateways: usize, folder: &Path) -> io::Result<Vec<Violation>> {
    let mut found = Vec::new();
    for gateway in 0..gateways {
        let log = fs::read_to_string(folder.join(format!("gateway-{gateway}.log")))?;
        let lines = log.lines().filter(|line| line.contains("violation:") || line.contains("panicked"));
        found.extend(lines.map(|line| Violation {
            rule: Rule::Reported,
            request: None,
            at: 0.0,
            text: format!("gateway {gateway}: {line}"),
        }));
    }
    Ok(found)
}

fn start_files(site: &Site, ledger: &Arc<Ledger>, setup: &Setup) -> io::Result<Vec<Arc<Gateway>>> {
    let one = |index| {
        Gateway::new(index, ledger.clone(), &setup.program, setup.shim.as_deref(), Path::new(&setup.folder))
    };
    (0..site.gateways).map(|index| one(index).map(Arc::new)).collect()
}

async fn watch_lateness(ledger: Arc<Ledger>) {
    loop {
        let before = ledger.now();
        sleep(LATENESS_PERIOD).await;
        let late = ledger.now() - before - LATENESS_PERIOD.as_secs_f64() * 1000.0;
        ledger.with(|records| records.rig_late = records.rig_late.max(late));
    }
}

fn millis(span: Millis) -> Duration {
    Duration::from_secs_f64(span / 1000.0)
}

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
enum Start {
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
    fn entry(&self, server: &Server, state: State, boot_ms: i64) -> Entry {
        Entry { uid: server.uid.clone(), endpoint: server.address(), area: server.area, state, boot_ms }
    }

    /// What all wall clocks say.
    fn wall_clock(&self) -> i64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64;
        unix + self.wall_clock_offset.load(Ordering::Relaxed)
    }

    fn draw(&self) -> u64 {
        self.rng.lock().expect("no one panics while holding it").rand_u64()
    }

    /// A new server; one with a capacity starts cold.
    async fn join_server(&self, capacity: Option<f64>) -> Arc<Server> {
        let seed = self.draw();
        let uid = format!("s-{:08x}", seed as u32);
        let area = self.servers.lock().expect("no one panics while holding it").len() % self.site.areas;
        let server = Server::new(uid, area, self.ledger.clone(), self.usage.clone(), seed).await;
        let server = Arc::new(server);
        server.start(capacity).await;
        self.servers.lock().expect("no one panics while holding it").push((server.clone(), State::Ready));
        server
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

    fn told(&self, gateway: usize) -> Told {
        Told {
            discovery: self.discovery_addresses.lock().expect("no one panics while holding it")[gateway],
            counter: self.counter().line.address,
            known: self.discovery.list(gateway),
        }
    }

    async fn start_gateways(self: &Arc<Self>) {
        for gateway in 0..self.gateways.len() {
            let address = self.discovery.listen(gateway).await;
            self.discovery_addresses.lock().expect("no one panics while holding it").push(address);
        }
        let mut starts = tokio::task::JoinSet::new();
        for gateway in self.gateways.clone() {
            let world = self.clone();
            starts.spawn(async move { world.start(&gateway).await });
        }
        while starts.join_next().await.is_some() {}
    }

    fn counter(&self) -> Arc<PlacedCounter> {
        self.counter.lock().expect("no one panics while holding it").clone()
    }

    async fn start(&self, gateway: &Arc<Gateway>) {
        self.start_as(gateway, Start::Usual).await;
    }

    async fn start_as(&self, gateway: &Arc<Gateway>, start: Start) {
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

    async fn load(self: Arc<Self>, seed: u64) {
        let ids = Arc::new(AtomicU64::new(1));
        let mut loads = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            let (site, ledger) = (self.site.clone(), self.ledger.clone());
            let clients = Clients::new(gateway.clone(), site, ledger, ids.clone(), self.leaving.clone());
            loads.spawn(clients.load(seed.wrapping_mul(1000) + gateway.index as u64));
        }
        while loads.join_next().await.is_some() {}
    }

    async fn play_events(self: Arc<Self>, events: Vec<Event>) {
        let mut playing = tokio::task::JoinSet::new();
        for event in events {
            sleep(millis((event.at - self.ledger.now()).max(0.0))).await;
            self.ledger.note(format!("{:?} for {:.0} ms", event.trouble, event.lasts));
            playing.spawn(self.clone().one(event));
        }
        let all = async { while playing.join_next().await.is_some() {} };
        let _ = timeout(SETTLE + millis(self.site.span), all).await;
    }

    async fn one(self: Arc<Self>, event: Event) {
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
        while restarts.join_next().await.is_some() {}
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
            while holds.join_next().await.is_some() {}
        }
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
        while writing.join_next().await.is_some() {}
    }

    async fn crowd_everywhere(&self, silent: bool, lasts: Duration) {
        if silent {
            self.discovery.behave(|manners| manners.down = true);
        }
        let mut crowds = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            crowds.spawn(idle_crowd(gateway.clone(), self.site.descriptors, lasts));
        }
        while crowds.join_next().await.is_some() {}
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
}
