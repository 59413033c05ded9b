//! One run: starts everything, plays the troubles, and hands over what the log holds.

use crate::client::Clients;
use crate::counter::Counter;
use crate::discovery::{Discovery, Entry, State};
use crate::event_log::{EventLog, Millis, Records};
use crate::gateway::{Gateway, PeerConfig};
use crate::injection::StartMode;
use crate::invariants::{check, Rule, Violation};
use crate::meter::Meter;
use crate::proxy::Proxy;
use crate::scenario::{Fault, Scenario, ScheduledFault};
use crate::server::{Server, Usage};
use crate::shim::Faults;
use crate::site::Site;
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
pub struct RunPaths {
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
pub(crate) struct Rig {
    pub(crate) site: Arc<Site>,
    pub(crate) event_log: Arc<EventLog>,
    pub(crate) gateways: Vec<Arc<Gateway>>,
    /// Servers by the order in which they joined; those that went stay here.
    pub(crate) servers: Mutex<Vec<(Arc<Server>, State)>>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) usage: Option<Usage>,
    /// Where the counter is now.
    pub(crate) counter: Mutex<Arc<ProxiedCounter>>,
    pub(crate) wall_clock_offset: AtomicI64,
    pub(crate) rng: Mutex<Rand64>,
    pub(crate) syscall_faults: Mutex<Vec<Faults>>,
    pub(crate) most_leave: Arc<AtomicBool>,
    pub(crate) discovery_addresses: Mutex<Vec<std::net::SocketAddr>>,
    /// The last id that a client gave a request.
    pub(crate) ids: Arc<AtomicU64>,
    substitutes: Mutex<Vec<Fault>>,
}

/// A counter and the line to it.
pub(crate) struct ProxiedCounter {
    pub(crate) counter: Counter,
    pub(crate) proxy: Proxy,
}

impl ProxiedCounter {
    pub(crate) async fn start() -> Arc<ProxiedCounter> {
        let counter = Counter::start().await;
        let proxy = Proxy::start(Ipv4Addr::new(127, 88, 0, 5), Some(counter.address)).await;
        Arc::new(ProxiedCounter { counter, proxy })
    }
}

/// Plays one scenario.
///
/// # Errors
/// What the system says of the run's files.
pub async fn run_scenario(scenario: Scenario, paths: &RunPaths) -> io::Result<Report> {
    let site = Arc::new(scenario.site.clone());
    let event_log = Arc::new(EventLog::new(site.gateways));
    let discovery = Discovery::new(event_log.clone(), site.mode, site.gateways);
    let counter = Mutex::new(ProxiedCounter::start().await);
    let meter = site.meter.map(|settings| Arc::new(Meter::new(settings)));
    let usage = meter.map(|meter| Usage { meter, site: site.clone() });
    let gateways = start_files(&site, &event_log, paths)?;
    let rig = Arc::new(Rig {
        servers: Mutex::new(Vec::new()),
        wall_clock_offset: AtomicI64::new(0),
        rng: Mutex::new(Rand64::new(u128::from(scenario.seed) << 8)),
        syscall_faults: Mutex::new(vec![Faults::default(); site.gateways]),
        most_leave: Arc::new(AtomicBool::new(false)),
        discovery_addresses: Mutex::new(Vec::new()),
        ids: Arc::new(AtomicU64::new(1)),
        substitutes: Mutex::new(scenario.substitutes.clone()),
        site: site.clone(),
        event_log: event_log.clone(),
        gateways,
        discovery,
        usage,
        counter,
    });
    for _ in 0..site.servers {
        let server = rig.join_server(None).await;
        rig.discovery.publish_at_start(rig.entry(&server, State::Ready, 0));
    }
    rig.start_gateways().await;
    let lateness = tokio::spawn(watch_lateness(event_log.clone()));
    let load = rig.clone().load(scenario.seed);
    let faults = rig.clone().inject_all(scenario.schedule.clone());
    let (_, ()) = tokio::join!(load, faults);
    sleep(Duration::from_millis(200)).await;
    lateness.abort();
    for gateway in &rig.gateways {
        gateway.kill().await;
    }
    drop(rig);
    let records = event_log.with(std::mem::take);
    let mut violations = check(&site, &records);
    violations.extend(reported(site.gateways, &paths.folder)?);
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

fn start_files(site: &Site, event_log: &Arc<EventLog>, paths: &RunPaths) -> io::Result<Vec<Arc<Gateway>>> {
    let one = |index| {
        Gateway::new(
            index,
            event_log.clone(),
            &paths.program,
            paths.shim.as_deref(),
            Path::new(&paths.folder),
        )
    };
    (0..site.gateways).map(|index| one(index).map(Arc::new)).collect()
}

async fn watch_lateness(event_log: Arc<EventLog>) {
    loop {
        let before = event_log.now();
        sleep(LATENESS_PERIOD).await;
        let late = event_log.now() - before - LATENESS_PERIOD.as_secs_f64() * 1000.0;
        event_log.with(|records| records.rig_timer_delay = records.rig_timer_delay.max(late));
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

impl Rig {
    pub(crate) fn entry(&self, server: &Server, state: State, boot_ms: i64) -> Entry {
        Entry { uid: server.uid.clone(), endpoint: server.address(), zone: server.zone, state, boot_ms }
    }

    /// What all wall clocks say.
    pub(crate) fn wall_clock(&self) -> i64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64;
        unix + self.wall_clock_offset.load(Ordering::Relaxed)
    }

    pub(crate) fn draw(&self) -> u64 {
        self.rng.lock().expect("lock not poisoned").rand_u64()
    }

    /// A new server; one with a capacity starts cold.
    pub(crate) async fn join_server(&self, capacity: Option<f64>) -> Arc<Server> {
        let seed = self.draw();
        let uid = format!("s-{:08x}", seed as u32);
        let zone = self.servers.lock().expect("lock not poisoned").len() % self.site.zones;
        let server = Server::new(uid, zone, self.event_log.clone(), self.usage.clone(), seed).await;
        let server = Arc::new(server);
        server.start(capacity).await;
        self.servers.lock().expect("lock not poisoned").push((server.clone(), State::Ready));
        server
    }

    pub(crate) fn peers(&self, gateway: usize) -> PeerConfig {
        PeerConfig {
            discovery: self.discovery_addresses.lock().expect("lock not poisoned")[gateway],
            counter: self.counter().proxy.address,
            known: self.discovery.list(gateway),
        }
    }

    async fn start_gateways(self: &Arc<Self>) {
        for gateway in 0..self.gateways.len() {
            let address = self.discovery.listen(gateway).await;
            self.discovery_addresses.lock().expect("lock not poisoned").push(address);
        }
        let mut starts = tokio::task::JoinSet::new();
        for gateway in self.gateways.clone() {
            let rig = self.clone();
            starts.spawn(async move { rig.start(&gateway).await });
        }
        all_of(starts).await;
    }

    pub(crate) fn counter(&self) -> Arc<ProxiedCounter> {
        self.counter.lock().expect("lock not poisoned").clone()
    }

    pub(crate) async fn start(&self, gateway: &Arc<Gateway>) {
        self.start_as(gateway, StartMode::Normal).await;
    }

    /// Clients of a gateway that share no connection with any others.
    pub(crate) fn clients(&self, gateway: &Arc<Gateway>) -> Arc<Clients> {
        let (site, event_log) = (self.site.clone(), self.event_log.clone());
        Clients::new(gateway.clone(), site, event_log, self.ids.clone(), self.most_leave.clone())
    }

    async fn load(self: Arc<Self>, seed: u64) {
        let mut loads = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            loads.spawn(self.clients(gateway).load(seed.wrapping_mul(1000) + gateway.index as u64));
        }
        all_of(loads).await;
    }

    /// A trouble whose gateways are all down would come to nothing: a spare one takes its place, if there is one.
    fn substitute_if_gateways_down(&self, event: &mut ScheduledFault) {
        let gateways_down = |fault: &Fault| {
            let gateways = fault.gateways();
            !gateways.is_empty()
                && gateways.iter().all(|gateway| self.gateways[*gateway].availability().is_none())
        };
        let mut substitutes = self.substitutes.lock().expect("lock not poisoned");
        while gateways_down(&event.fault) {
            let Some(substitute) = substitutes.pop() else { return };
            event.fault = substitute;
        }
    }

    async fn inject_all(self: Arc<Self>, schedule: Vec<ScheduledFault>) {
        let mut playing = tokio::task::JoinSet::new();
        for mut event in schedule {
            sleep(millis((event.at - self.event_log.now()).max(0.0))).await;
            self.substitute_if_gateways_down(&mut event);
            self.event_log.add_to_timeline(format!("{:?} for {:.0} ms", event.fault, event.duration));
            playing.spawn(self.clone().inject(event));
        }
        let all = all_of(playing);
        let _ = timeout(SETTLE + millis(self.site.load_duration), all).await;
    }
}
