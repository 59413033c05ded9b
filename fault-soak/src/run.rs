//! One run: starts everything, plays the troubles, and hands over what the log holds.

use crate::client::Clients;
use crate::counter::Counter;
use crate::discovery::{Discovery, Entry, State};
use crate::gateway::{Gateway, Told};
use crate::invariants::{check, Rule, Violation};
use crate::ledger::{Ledger, Millis, Records};
use crate::meter::Meter;
use crate::proxy::Proxy;
use crate::scenario::{Event, Scenario, Trouble};
use crate::server::{Server, Usage};
use crate::shim::Faults;
use crate::site::Site;
use crate::troubles::Start;
use oorandom::Rand64;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use std::{fs, io};
use tokio::time::{sleep, timeout};

/// The rig's own timer is looked at this often.
const LATENESS_PERIOD: Duration = Duration::from_millis(10);
/// After the load the troubles are over and what is in hand is answered within this.
const SETTLE: Duration = Duration::from_secs(9);
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

/// All that a run has going.
pub(crate) struct World {
    pub(crate) site: Arc<Site>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) gateways: Vec<Arc<Gateway>>,
    /// Servers by the order in which they joined; those that went stay here.
    pub(crate) servers: Mutex<Vec<(Arc<Server>, State)>>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) usage: Option<Usage>,
    /// Where the counter is now.
    pub(crate) counter: Mutex<Arc<PlacedCounter>>,
    pub(crate) wall_clock_offset: AtomicI64,
    pub(crate) rng: Mutex<Rand64>,
    pub(crate) faults: Mutex<Vec<Faults>>,
    pub(crate) leaving: Arc<AtomicBool>,
    pub(crate) discovery_addresses: Mutex<Vec<std::net::SocketAddr>>,
    /// The last id that a client gave a request.
    pub(crate) ids: Arc<AtomicU64>,
    spares: Mutex<Vec<Trouble>>,
}

/// A counter and the line to it.
pub(crate) struct PlacedCounter {
    pub(crate) counter: Counter,
    pub(crate) line: Proxy,
}

impl PlacedCounter {
    pub(crate) async fn start() -> Arc<PlacedCounter> {
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
        ids: Arc::new(AtomicU64::new(1)),
        spares: Mutex::new(scenario.spares.clone()),
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

/// Waits until all have ended. One that panics ends the run: half a trouble leaves a world that no rule speaks of.
pub(crate) async fn all_of(mut tasks: tokio::task::JoinSet<()>) {
    while let Some(ended) = tasks.join_next().await {
        if let Err(error) = ended {
            std::panic::resume_unwind(error.into_panic());
        }
    }
}

pub(crate) fn millis(span: Millis) -> Duration {
    Duration::from_secs_f64(span / 1000.0)
}

impl World {
    pub(crate) fn entry(&self, server: &Server, state: State, boot_ms: i64) -> Entry {
        Entry { uid: server.uid.clone(), endpoint: server.address(), area: server.area, state, boot_ms }
    }

    /// What all wall clocks say.
    pub(crate) fn wall_clock(&self) -> i64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64;
        unix + self.wall_clock_offset.load(Ordering::Relaxed)
    }

    pub(crate) fn draw(&self) -> u64 {
        self.rng.lock().expect("no one panics while holding it").rand_u64()
    }

    /// A new server; one with a capacity starts cold.
    pub(crate) async fn join_server(&self, capacity: Option<f64>) -> Arc<Server> {
        let seed = self.draw();
        let uid = format!("s-{:08x}", seed as u32);
        let area = self.servers.lock().expect("no one panics while holding it").len() % self.site.areas;
        let server = Server::new(uid, area, self.ledger.clone(), self.usage.clone(), seed).await;
        let server = Arc::new(server);
        server.start(capacity).await;
        self.servers.lock().expect("no one panics while holding it").push((server.clone(), State::Ready));
        server
    }

    pub(crate) fn told(&self, gateway: usize) -> Told {
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
        all_of(starts).await;
    }

    pub(crate) fn counter(&self) -> Arc<PlacedCounter> {
        self.counter.lock().expect("no one panics while holding it").clone()
    }

    pub(crate) async fn start(&self, gateway: &Arc<Gateway>) {
        self.start_as(gateway, Start::Usual).await;
    }

    /// Clients of a gateway that share no connection with any others.
    pub(crate) fn clients(&self, gateway: &Arc<Gateway>) -> Arc<Clients> {
        let (site, ledger) = (self.site.clone(), self.ledger.clone());
        Clients::new(gateway.clone(), site, ledger, self.ids.clone(), self.leaving.clone())
    }

    async fn load(self: Arc<Self>, seed: u64) {
        let mut loads = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            loads.spawn(self.clients(gateway).load(seed.wrapping_mul(1000) + gateway.index as u64));
        }
        all_of(loads).await;
    }

    /// A trouble whose gateways are all down would come to nothing: a spare one takes its place, if there is one.
    fn replace_if_moot(&self, event: &mut Event) {
        let is_moot = |trouble: &Trouble| {
            let gateways = trouble.gateways();
            !gateways.is_empty() && gateways.iter().all(|gateway| self.gateways[*gateway].intake().is_none())
        };
        let mut spares = self.spares.lock().expect("no one panics while holding it");
        while is_moot(&event.trouble) {
            let Some(spare) = spares.pop() else { return };
            event.trouble = spare;
        }
    }

    async fn play_events(self: Arc<Self>, events: Vec<Event>) {
        let mut playing = tokio::task::JoinSet::new();
        for mut event in events {
            sleep(millis((event.at - self.ledger.now()).max(0.0))).await;
            self.replace_if_moot(&mut event);
            self.ledger.note(format!("{:?} for {:.0} ms", event.trouble, event.lasts));
            playing.spawn(self.clone().one(event));
        }
        let all = all_of(playing);
        let _ = timeout(SETTLE + millis(self.site.span), all).await;
    }
}
