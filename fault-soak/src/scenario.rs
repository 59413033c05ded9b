//! Scenarios: the parameters of a run and the faults injected into it, drawn from a seed.
//!
//! A seed must always give the same scenario, so the order and number of the random draws, the order of the lists that
//! are chosen from by index, and the constants mixed into the seed are fixed.

use crate::counter::CounterBehaviour;
use crate::discovery::RegistryMode;
use crate::event_log::{Millis, Semantics};
use crate::meter::MeterSettings;
use crate::shim::Faults;
use crate::site::{Class, Quota, Site};
use oorandom::Rand64;

/// A fault that is injected into a run. Lists of `usize` are indices of gateways.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Gateways get SIGTERM, further SIGTERMs and SIGHUPs until they have exited, and SIGHUPs as they start again.
    SignalSeries(Vec<usize>),
    /// Configurations are rewritten in place, and SIGHUP comes while the files are truncated.
    RewriteConfigInPlace,
    /// Gateways are restarted while their configuration files are truncated.
    TruncatedConfigAtStart(Vec<usize>),
    /// The counter moves to a new address and loses its contents; a new configuration announces the address.
    CounterMoves,
    /// Idle connections use up the file descriptors of all gateways.
    IdleConnectionsEverywhere {
        /// Whether discovery does not answer meanwhile.
        discovery_down: bool,
    },
    /// The servers of a zone cannot be reached, while their connections stay open.
    BlackholeZone(usize),
    /// The servers of a zone crash and start again cold.
    CrashZone(usize),
    /// Gateways are restarted with a pipe for the log that is never read.
    UnreadLog(Vec<usize>),
    /// Gateways get SIGTERM and start again.
    Terminate(Vec<usize>),
    /// Gateways get SIGKILL and start again.
    Kill(Vec<usize>),
    /// Gateways get SIGKILL, servers begin to drain, and then discovery stops answering. The gateways start again while it
    /// does not answer, with configurations whose list is from before the drains.
    RestartInOutage {
        /// The gateways.
        gateways: Vec<usize>,
        /// How many servers drain and are replaced.
        drained: usize,
    },
    /// Gateways are paused with SIGSTOP for a moment, repeatedly.
    Pause(Vec<usize>),
    /// A new configuration moves discovery to a new address; reading it may fail at first.
    Reload {
        /// Whether `open` of the configuration fails at first.
        unreadable: bool,
    },
    /// Several new configurations in a row, each of which moves discovery.
    ReloadBurst,
    /// Gateways get SIGTERM right after a new configuration, and again as soon as they have started again.
    ReloadAndTerminate(Vec<usize>),
    /// The given number of servers drain and are removed; each of them is replaced by a new, cold one.
    ReplaceServers(usize),
    /// The given number of servers crash and start again cold.
    CrashServers(usize),
    /// The given number of servers cannot be reached, while their connections stay open.
    BlackholeServers(usize),
    /// The given number of servers show a fault in how they handle requests.
    FaultyServers(usize, ServerFault),
    /// Responses of all servers arrive late and in small pieces.
    SlowFragmentedResponses,
    /// Discovery does not answer.
    DiscoveryDown,
    /// Open watches are never answered.
    WatchesSilent,
    /// The connections of open watches are reset.
    WatchesReset,
    /// Discovery sends full, indented lists in small pieces.
    UnusualLists,
    /// The counter shows a fault in how it handles requests.
    Counter(CounterBehaviour),
    /// The wall clock of all gateways and of the rig is stepped by the given milliseconds.
    WallClockStep(i64),
    /// System calls of gateways fail.
    Syscalls(Vec<usize>, SyscallFault),
    /// Idle connections use up the file descriptors of one gateway.
    IdleConnections(usize),
    /// Most clients close their connection before the response.
    ClientsLeave,
    /// Many clients connect to gateways at once while these are paused.
    ConnectionBurstWhilePaused(Vec<usize>),
}

impl Fault {
    /// The gateways whose processes must run for it to have an effect; empty if it concerns no particular ones.
    pub fn gateways(&self) -> &[usize] {
        match self {
            Fault::SignalSeries(gateways)
            | Fault::TruncatedConfigAtStart(gateways)
            | Fault::UnreadLog(gateways)
            | Fault::Terminate(gateways)
            | Fault::Kill(gateways)
            | Fault::RestartInOutage { gateways, .. }
            | Fault::Pause(gateways)
            | Fault::ReloadAndTerminate(gateways)
            | Fault::Syscalls(gateways, _)
            | Fault::ConnectionBurstWhilePaused(gateways) => gateways,
            Fault::IdleConnections(gateway) => std::slice::from_ref(gateway),
            _ => &[],
        }
    }
}

/// A fault in how servers handle requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// Requests are accepted and never answered.
    Hang,
    /// Responses with status 500.
    Error,
    /// Requests are rejected before they run.
    Reject,
    /// Connections are reset.
    Reset,
    /// Responses are invalid, followed by a second one, or without a length.
    Malformed,
    /// Connections are closed after a response.
    Close,
    /// Responses take long.
    Slow,
    /// Responses are large, preceded by interim ones, or endless.
    LongResponses,
}

/// A fault in the system calls of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyscallFault {
    /// `accept4` fails.
    Accept,
    /// `connect` and `socket` fail.
    Connect,
    /// `recv`, `send` and `epoll_wait` fail with EINTR.
    Interrupted,
    /// `recv` and `send` transfer only a few bytes.
    ShortIo,
    /// Resets are reported as time-outs or unreachable hosts.
    ResetAsTimeout,
}

impl SyscallFault {
    /// The probabilities for the fault shim.
    pub fn probabilities(self) -> Faults {
        let none = Faults::default();
        match self {
            SyscallFault::Accept => Faults { accept_fails: 0.7, ..none },
            SyscallFault::Connect => Faults { connect_fails: 0.6, socket_fails: 0.2, ..none },
            SyscallFault::Interrupted => {
                Faults { read_interrupted: 0.1, write_interrupted: 0.1, wait_interrupted: 0.1, ..none }
            }
            SyscallFault::ShortIo => Faults { read_short: 0.5, write_short: 0.5, ..none },
            SyscallFault::ResetAsTimeout => Faults { reset_as_timeout: 1.0, ..none },
        }
    }
}

/// A fault with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: Millis,
    /// How long it lasts; unused by faults that end by themselves.
    pub duration: Millis,
    /// The fault.
    pub fault: Fault,
}

/// The parameters of a run and its faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The parameters of the site.
    pub site: Site,
    /// The faults, in the order in which they begin.
    pub schedule: Vec<ScheduledFault>,
    /// Faults to inject in place of those whose gateways are all down when they are due.
    pub substitutes: Vec<Fault>,
}

struct Rng(Rand64);

impl Rng {
    fn uniform(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.rand_float()
    }
    fn below(&mut self, bound: usize) -> usize {
        self.0.rand_range(0..bound as u64) as usize
    }
    fn boolean(&mut self) -> bool {
        self.0.rand_float() < 0.5
    }
    /// A random subset of the indices below `count`, each with probability `share`; never empty.
    fn subset(&mut self, count: usize, share: f64) -> Vec<usize> {
        let mut chosen: Vec<usize> = (0..count).filter(|_| self.0.rand_float() < share).collect();
        if chosen.is_empty() {
            chosen.push(self.below(count));
        }
        chosen
    }
}

/// The default number of faults per second of load.
pub const FAULTS_PER_SECOND: f64 = 0.8;
/// The earliest time of a fault after the start of the run.
const QUIET_START: Millis = 1500.0;
/// The time before the end of the load in which no fault begins.
const QUIET_END: Millis = 2000.0;

impl Scenario {
    /// Draws the scenario of a seed with the default number of faults.
    pub fn draw(seed: u64, gateways: usize, load_duration: Millis) -> Scenario {
        Scenario::draw_dense(seed, gateways, load_duration, FAULTS_PER_SECOND)
    }

    /// Draws the scenario of a seed with `density` faults per second of load.
    pub fn draw_dense(seed: u64, gateways: usize, load_duration: Millis, density: f64) -> Scenario {
        let mut rng = Rng(Rand64::new(u128::from(seed) ^ 0x5eed));
        let deadline = |rng: &mut Rng| rng.uniform(900.0, 3000.0).round();
        let classes = vec![
            Class { name: "lookup", semantics: Semantics::Idempotent, deadline: deadline(&mut rng) },
            Class { name: "submit", semantics: Semantics::Keyed, deadline: deadline(&mut rng) },
            Class { name: "charge", semantics: Semantics::AtMostOnce, deadline: deadline(&mut rng) },
        ];
        let servers = 6 + rng.below(8);
        let site = Site {
            gateways,
            servers,
            load_duration,
            mode: if rng.0.rand_float() < 0.7 { RegistryMode::Pushed } else { RegistryMode::OnRequest },
            request_rate: rng.uniform(20.0, 35.0),
            classes,
            dedup_window: rng.uniform(600.0, 4000.0),
            drain_grace: rng.uniform(800.0, 2000.0),
            fd_limit: 160 + rng.below(300),
            may_duplicate: rng.boolean(),
            may_cancel: rng.boolean(),
            cold_from: rng.uniform(0.08, 0.3),
            cold_for: rng.uniform(4000.0, 12_000.0),
            overload_multiple: rng.uniform(1.6, 2.5),
            overload_window: rng.uniform(1000.0, 2000.0),
            meter: None,
            quota: Quota { rate: 15.0, burst: 30.0 },
            zones: 1,
        };
        let count = (load_duration / 1000.0 * density) as usize;
        let mut schedule: Vec<ScheduledFault> = (0..count)
            .map(|_| ScheduledFault {
                at: rng.uniform(QUIET_START, (load_duration - QUIET_END).max(QUIET_START + 1.0)),
                duration: rng.uniform(500.0, 4000.0),
                fault: fault(&mut rng, &site),
            })
            .collect();
        schedule.sort_by(|one, other| one.at.total_cmp(&other.at));
        Scenario { seed, site, schedule, substitutes: Vec::new() }
    }
}

/// Some runs have no faults for this long at their start, as gateways must also handle faults that begin late.
const LONG_QUIET_START: Millis = 30_000.0;
/// One in this many runs has the long quiet start.
const LONG_QUIET_START_ONE_IN: usize = 8;
/// Customers of [`Plan::Quota`](crate::site::Plan::Quota) offer this many times the rate of their quota.
const QUOTA_OVERDEMAND: f64 = 6.0;
/// The burst of a quota, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

impl Scenario {
    /// Draws a scenario that may also have what [`Scenario::draw_dense`] leaves out: a meter, two zones, a long quiet
    /// start and further kinds of faults. The same seed gives a different scenario there.
    pub fn draw_wide(seed: u64, gateways: usize, load_duration: Millis, density: f64) -> Scenario {
        let mut scenario = Scenario::draw_dense(seed, gateways, load_duration, density);
        let mut rng = Rng(Rand64::new(u128::from(seed) ^ 0x71de));
        let quiet = if rng.below(LONG_QUIET_START_ONE_IN) == 0 { LONG_QUIET_START } else { 0.0 };
        let site = &mut scenario.site;
        site.load_duration += quiet;
        site.zones = 1 + rng.below(2);
        if rng.0.rand_float() < 0.7 {
            let period = rng.uniform(300.0, 1000.0).round();
            site.meter = Some(MeterSettings { period, delay: rng.uniform(50.0, 700.0).round() });
            let rate = site.offered_per_quota_customer() / QUOTA_OVERDEMAND;
            site.quota = Quota { rate, burst: BURST_SECONDS * rate };
        }
        let site = site.clone();
        for scheduled in &mut scenario.schedule {
            scheduled.at += quiet;
            if rng.boolean() {
                scheduled.fault = wide_fault(&mut rng, &site);
            }
        }
        scenario
    }
}

/// The number of clients that connect at once to a paused gateway.
pub(crate) const BURST_CLIENTS: usize = 150;
/// The lowest limit on file descriptors of a gateway in hard scenarios: enough for two such bursts. A gateway that runs
/// out of descriptors may close new connections unread; the faults with idle connections cover that case.
const MIN_FD_LIMIT: usize = 2 * BURST_CLIENTS + 100;
/// Hard scenarios have one such burst for this many other faults.
const FAULTS_PER_BURST: usize = 8;

impl Scenario {
    /// Draws what [`Scenario::draw_wide`] draws, and adds bursts of connections to paused gateways, and substitutes for
    /// faults that would have no effect when they are due.
    pub fn draw_hard(seed: u64, gateways: usize, load_duration: Millis, density: f64) -> Scenario {
        let mut scenario = Scenario::draw_wide(seed, gateways, load_duration, density);
        let mut rng = Rng(Rand64::new(u128::from(seed) ^ 0xc40d));
        scenario.site.fd_limit = scenario.site.fd_limit.max(MIN_FD_LIMIT);
        let first = scenario.schedule.first().map_or(QUIET_START, |scheduled| scheduled.at);
        let last = (scenario.site.load_duration - QUIET_END).max(first + 1.0);
        let bursts = scenario.schedule.len().div_ceil(FAULTS_PER_BURST);
        for _ in 0..bursts {
            let fault = Fault::ConnectionBurstWhilePaused(rng.subset(gateways, 0.3));
            scenario.schedule.push(ScheduledFault { at: rng.uniform(first, last), duration: 0.0, fault });
        }
        scenario.schedule.sort_by(|one, other| one.at.total_cmp(&other.at));
        for _ in 0..scenario.schedule.len() {
            let wide = rng.boolean();
            let substitute =
                if wide { wide_fault(&mut rng, &scenario.site) } else { fault(&mut rng, &scenario.site) };
            scenario.substitutes.push(substitute);
        }
        scenario
    }
}

impl Scenario {
    /// Replaces each fault with the probability `share` by a restart in an outage of discovery. Which seeds of the other
    /// draws have which faults stays as it is.
    pub fn with_restarts_in_outages(mut self, share: f64) -> Scenario {
        let mut rng = Rng(Rand64::new(u128::from(self.seed) ^ 0x07a9e));
        for scheduled in &mut self.schedule {
            if rng.0.rand_float() < share {
                let gateways = rng.subset(self.site.gateways, 0.4);
                let drained = 1 + rng.below(self.site.servers / 3);
                scheduled.fault = Fault::RestartInOutage { gateways, drained };
            }
        }
        self
    }
}

fn wide_fault(rng: &mut Rng, site: &Site) -> Fault {
    match rng.below(9) {
        0 | 1 => Fault::SignalSeries(rng.subset(site.gateways, 0.3)),
        2 => Fault::RewriteConfigInPlace,
        3 => Fault::TruncatedConfigAtStart(rng.subset(site.gateways, 0.3)),
        4 => Fault::CounterMoves,
        5 => Fault::IdleConnectionsEverywhere { discovery_down: rng.boolean() },
        6 => Fault::BlackholeZone(rng.below(site.zones)),
        7 => Fault::CrashZone(rng.below(site.zones)),
        _ => Fault::UnreadLog(rng.subset(site.gateways, 0.2)),
    }
}

fn fault(rng: &mut Rng, site: &Site) -> Fault {
    let servers = 1 + rng.below(site.servers / 3);
    match rng.below(20) {
        0 | 1 => Fault::Terminate(rng.subset(site.gateways, 0.4)),
        2 => Fault::Kill(rng.subset(site.gateways, 0.3)),
        3 => Fault::Pause(rng.subset(site.gateways, 0.5)),
        4 => match rng.below(4) {
            0 => Fault::Reload { unreadable: false },
            1 => Fault::Reload { unreadable: true },
            2 => Fault::ReloadBurst,
            _ => Fault::ReloadAndTerminate(rng.subset(site.gateways, 0.3)),
        },
        5 | 6 => Fault::ReplaceServers(servers),
        7 => Fault::CrashServers(servers),
        8 => Fault::BlackholeServers(servers),
        9 | 10 => {
            let server_faults = [
                ServerFault::Hang,
                ServerFault::Error,
                ServerFault::Reject,
                ServerFault::Reset,
                ServerFault::Malformed,
                ServerFault::Close,
                ServerFault::Slow,
                ServerFault::LongResponses,
            ];
            Fault::FaultyServers(servers, server_faults[rng.below(server_faults.len())])
        }
        11 => Fault::SlowFragmentedResponses,
        12 => match rng.below(4) {
            0 => Fault::DiscoveryDown,
            1 => Fault::WatchesSilent,
            2 => Fault::WatchesReset,
            _ => Fault::UnusualLists,
        },
        13 => {
            let behaviours = [
                CounterBehaviour::Busy,
                CounterBehaviour::Silent,
                CounterBehaviour::Malformed,
                CounterBehaviour::Disconnect,
            ];
            Fault::Counter(behaviours[rng.below(behaviours.len())])
        }
        14 => Fault::WallClockStep([-3_600_000, -4000, 4000, 3_600_000][rng.below(4)]),
        15..=17 => {
            let syscall_faults = [
                SyscallFault::Accept,
                SyscallFault::Connect,
                SyscallFault::Interrupted,
                SyscallFault::ShortIo,
                SyscallFault::ResetAsTimeout,
            ];
            Fault::Syscalls(rng.subset(site.gateways, 0.6), syscall_faults[rng.below(syscall_faults.len())])
        }
        18 => Fault::IdleConnections(rng.below(site.gateways)),
        _ => Fault::ClientsLeave,
    }
}
