//! One run: starts the gateways and the stand-ins, produces load, injects the faults, and checks the rules.

use crate::client::Clients;
use crate::counter::Counter;
use crate::discovery::{Discovery, Entry, State};
use crate::event_log::{EventLog, Millis, Records};
use crate::gateway::{Gateway, PeerConfig};
use crate::invariants::{check, Rule, Violation};
use crate::meter::Meter;
use crate::proxy::Proxy;
use crate::restart::StartMode;
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

/// How often the delay of the rig's own timer is measured.
const TIMER_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Faults end and open requests are answered within this after the load; the run waits no longer for faults.
const SETTLE: Duration = Duration::from_secs(9);

/// The files that a run uses.
#[derive(Debug, Clone)]
pub struct RunPaths {
    /// The gateway's executable.
    pub program: PathBuf,
    /// The fault shim to preload into gateways, if any.
    pub shim: Option<PathBuf>,
    /// The folder for configurations, logs and control files.
    pub folder: PathBuf,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The scenario.
    pub scenario: Scenario,
    /// The violations of rules.
    pub violations: Vec<Violation>,
    /// The records of the event log.
    pub records: Records,
}

/// The test rig of one run: the gateways, their stand-ins and the state of the injected faults.
pub(crate) struct Rig {
    pub(crate) site: Arc<Site>,
    pub(crate) event_log: Arc<EventLog>,
    pub(crate) gateways: Vec<Arc<Gateway>>,
    /// Servers in the order in which they joined, with those that were removed.
    pub(crate) servers: Mutex<Vec<(Arc<Server>, State)>>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) usage: Option<Usage>,
    /// The current counter.
    pub(crate) counter: Mutex<Arc<ProxiedCounter>>,
    /// The sum of the steps of the wall clock, in milliseconds.
    pub(crate) wall_clock_offset: AtomicI64,
    pub(crate) rng: Mutex<Rand64>,
    /// System call faults by gateway.
    pub(crate) syscall_faults: Mutex<Vec<Faults>>,
    /// Most clients leave early while this is set.
    pub(crate) most_leave: Arc<AtomicBool>,
    /// The current address of discovery by gateway.
    pub(crate) discovery_addresses: Mutex<Vec<std::net::SocketAddr>>,
    /// The id of the next request.
    pub(crate) next_id: Arc<AtomicU64>,
    /// Faults that are left to replace ones without an effect.
    substitutes: Mutex<Vec<Fault>>,
}

/// A counter and the fault proxy in front of it.
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

/// Runs a scenario and checks the rules of the service on its event log.
///
/// # Errors
/// If one of the run's files cannot be written or read.
pub async fn run_scenario(scenario: Scenario, paths: &RunPaths) -> io::Result<Report> {
    let site = Arc::new(scenario.site.clone());
    let event_log = Arc::new(EventLog::new(site.gateways));
    let discovery = Discovery::new(event_log.clone(), site.mode, site.gateways);
    let counter = Mutex::new(ProxiedCounter::start().await);
    let meter = site.meter.map(|settings| Arc::new(Meter::new(settings)));
    let usage = meter.map(|meter| Usage { meter, site: site.clone() });
    let gateways = create_gateways(&site, &event_log, paths)?;
    let rig = Arc::new(Rig {
        servers: Mutex::new(Vec::new()),
        wall_clock_offset: AtomicI64::new(0),
        rng: Mutex::new(Rand64::new(u128::from(scenario.seed) << 8)),
        syscall_faults: Mutex::new(vec![Faults::default(); site.gateways]),
        most_leave: Arc::new(AtomicBool::new(false)),
        discovery_addresses: Mutex::new(Vec::new()),
        next_id: Arc::new(AtomicU64::new(1)),
        substitutes: Mutex::new(scenario.substitutes.clone()),
        site: site.clone(),
        event_log: event_log.clone(),
        gateways,
        discovery,
        usage,
        counter,
    });
    for _ in 0..site.servers {
        let server = rig.start_server(None).await;
        rig.discovery.publish_at_start(rig.entry(&server, State::Ready, 0));
        rig.servers.lock().expect("lock not poisoned").push((server, State::Ready));
    }
    rig.start_gateways().await;
    let timer_check = tokio::spawn(measure_timer_delay(event_log.clone()));
    let load = rig.clone().produce_load(scenario.seed);
    let faults = rig.clone().inject_all(scenario.schedule.clone());
    let (_, ()) = tokio::join!(load, faults);
    sleep(Duration::from_millis(200)).await;
    timer_check.abort();
    for gateway in &rig.gateways {
        gateway.kill().await;
    }
    drop(rig);
    let records = event_log.with(std::mem::take);
    let mut violations = check(&site, &records);
    violations.extend(violations_in_logs(site.gateways, &paths.folder)?);
    Ok(Report { scenario, violations, records })
}

/// The violations and panics that gateways have logged.
fn violations_in_logs(gateways: usize, folder: &Path) -> io::Result<Vec<Violation>> {
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

fn create_gateways(
    site: &Site,
    event_log: &Arc<EventLog>,
    paths: &RunPaths,
) -> io::Result<Vec<Arc<Gateway>>> {
    let create = |index| {
        Gateway::new(
            index,
            event_log.clone(),
            &paths.program,
            paths.shim.as_deref(),
            Path::new(&paths.folder),
        )
    };
    (0..site.gateways).map(|index| create(index).map(Arc::new)).collect()
}

async fn measure_timer_delay(event_log: Arc<EventLog>) {
    loop {
        let before = event_log.now();
        sleep(TIMER_CHECK_PERIOD).await;
        let delay = event_log.now() - before - TIMER_CHECK_PERIOD.as_secs_f64() * 1000.0;
        event_log.with(|records| records.rig_timer_delay = records.rig_timer_delay.max(delay));
    }
}

/// Waits for all tasks. A panic in one of them is passed on and ends the run, as the rules do not hold when a fault has
/// been injected only in part.
pub(crate) async fn join_all(mut tasks: tokio::task::JoinSet<()>) {
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

    /// The Unix time on the stepped wall clock of all gateways, in milliseconds.
    pub(crate) fn wall_clock(&self) -> i64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64;
        unix + self.wall_clock_offset.load(Ordering::Relaxed)
    }

    pub(crate) fn draw(&self) -> u64 {
        self.rng.lock().expect("lock not poisoned").rand_u64()
    }

    /// Starts a new server, which is not on the list yet; cold if a capacity is given.
    pub(crate) async fn start_server(&self, capacity: Option<f64>) -> Arc<Server> {
        let seed = self.draw();
        let uid = format!("s-{:08x}", seed as u32);
        let zone = self.servers.lock().expect("lock not poisoned").len() % self.site.zones;
        let server = Server::new(uid, zone, self.event_log.clone(), self.usage.clone(), seed).await;
        let server = Arc::new(server);
        server.start(capacity).await;
        server
    }

    /// What the configuration of a gateway must say now.
    pub(crate) fn peers(&self, gateway: usize) -> PeerConfig {
        PeerConfig {
            discovery: self.discovery_addresses.lock().expect("lock not poisoned")[gateway],
            counter: self.counter().proxy.address,
            known_servers: self.discovery.list(gateway),
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
        join_all(starts).await;
    }

    pub(crate) fn counter(&self) -> Arc<ProxiedCounter> {
        self.counter.lock().expect("lock not poisoned").clone()
    }

    pub(crate) async fn start(&self, gateway: &Arc<Gateway>) {
        self.start_as(gateway, StartMode::Normal).await;
    }

    /// New clients of a gateway that share no connections with earlier ones.
    pub(crate) fn clients(&self, gateway: &Arc<Gateway>) -> Arc<Clients> {
        let (site, event_log) = (self.site.clone(), self.event_log.clone());
        Clients::new(gateway.clone(), site, event_log, self.next_id.clone(), self.most_leave.clone())
    }

    async fn produce_load(self: Arc<Self>, seed: u64) {
        let mut loads = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            loads.spawn(self.clients(gateway).produce_load(seed.wrapping_mul(1000) + gateway.index as u64));
        }
        join_all(loads).await;
    }

    /// A fault whose gateways are all down would have no effect: replaces it by a substitute, if one is left.
    fn substitute_if_gateways_down(&self, scheduled: &mut ScheduledFault) {
        let gateways_down = |fault: &Fault| {
            let gateways = fault.gateways();
            !gateways.is_empty()
                && gateways.iter().all(|gateway| self.gateways[*gateway].availability().is_none())
        };
        let mut substitutes = self.substitutes.lock().expect("lock not poisoned");
        while gateways_down(&scheduled.fault) {
            let Some(substitute) = substitutes.pop() else { return };
            scheduled.fault = substitute;
        }
    }

    async fn inject_all(self: Arc<Self>, schedule: Vec<ScheduledFault>) {
        let mut faults = tokio::task::JoinSet::new();
        for mut scheduled in schedule {
            sleep(millis((scheduled.at - self.event_log.now()).max(0.0))).await;
            self.substitute_if_gateways_down(&mut scheduled);
            self.event_log.add_to_timeline(format!("{:?} for {:.0} ms", scheduled.fault, scheduled.duration));
            faults.spawn(self.clone().inject(scheduled));
        }
        let all = join_all(faults);
        let _ = timeout(SETTLE + millis(self.site.load_duration), all).await;
    }
}
