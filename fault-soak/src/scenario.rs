//! What a run is like: its site and its troubles, drawn from one seed.

use crate::counter::CounterBehaviour;
use crate::discovery::RegistryMode;
use crate::event_log::{Millis, Semantics};
use crate::meter::MeterSettings;
use crate::shim::Faults;
use crate::site::{Class, Quota, Site};
use oorandom::Rand64;

/// Something that goes wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Gateways are told to end and get further signals of both kinds until they have, and at their next start.
    SignalSeries(Vec<usize>),
    /// The configuration is rewritten in place, with the signal while it is cut short.
    RewriteConfigInPlace,
    /// Gateways are restarted while their configuration is cut short.
    TruncatedConfigAtStart(Vec<usize>),
    /// The counter moves, with nothing of what it kept, and a new configuration says so.
    CounterMoves,
    /// Idle clients fill the descriptors of all gateways, while agents may be silent.
    IdleConnectionsEverywhere {
        /// Whether agents are silent meanwhile.
        discovery_down: bool,
    },
    /// An area is cut off.
    BlackholeZone(usize),
    /// An area is lost and comes back cold.
    CrashZone(usize),
    /// Gateways are restarted with a log that nobody reads.
    UnreadLog(Vec<usize>),
    /// Gateways are told to end, and start again.
    Terminate(Vec<usize>),
    /// Gateways are killed, and start again.
    Kill(Vec<usize>),
    /// Gateways are held up for a moment, again and again.
    Pause(Vec<usize>),
    /// A new configuration moves discovery; reading it may fail for a moment.
    Reload {
        /// Whether open fails at first.
        unreadable: bool,
    },
    /// New configurations in a row, each of which moves discovery.
    ReloadBurst,
    /// Gateways are told to end right after a new configuration, and again as soon as they are back.
    ReloadAndTerminate(Vec<usize>),
    /// Servers drain, then go; new ones join.
    ReplaceServers(usize),
    /// Servers crash and come back cold.
    CrashServers(usize),
    /// Lines to servers go silent.
    BlackholeServers(usize),
    /// Servers hang, fail, reset, spoil, or close.
    FaultyServers(usize, ServerFault),
    /// Lines to servers bring answers late and in pieces.
    SlowChunkedResponses,
    /// Agents fall silent.
    DiscoveryDown,
    /// Open watches fall silent.
    WatchesSilent,
    /// Open watches are reset.
    WatchesReset,
    /// Agents write whole, indented lists in pieces.
    UnusualLists,
    /// The counter misbehaves.
    Counter(CounterBehaviour),
    /// The wall clock is stepped for all, milliseconds.
    WallClockStep(i64),
    /// System calls of some gateways fail.
    Syscalls(Vec<usize>, SyscallFault),
    /// Idle clients fill a gateway's descriptors.
    IdleConnections(usize),
    /// Most clients leave early.
    ClientsLeave,
    /// Clients connect to gateways within milliseconds while these are held up.
    ConnectionBurstWhilePaused(Vec<usize>),
}

impl Fault {
    /// The gateways whose processes it needs, if it is about some.
    pub fn gateways(&self) -> &[usize] {
        match self {
            Fault::SignalSeries(gateways)
            | Fault::TruncatedConfigAtStart(gateways)
            | Fault::UnreadLog(gateways)
            | Fault::Terminate(gateways)
            | Fault::Kill(gateways)
            | Fault::Pause(gateways)
            | Fault::ReloadAndTerminate(gateways)
            | Fault::Syscalls(gateways, _)
            | Fault::ConnectionBurstWhilePaused(gateways) => gateways,
            Fault::IdleConnections(gateway) => std::slice::from_ref(gateway),
            _ => &[],
        }
    }
}

/// What servers do wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// Take requests and never answer.
    Hang,
    /// Answer 500.
    Error,
    /// Turn requests away.
    Reject,
    /// Reset connections.
    Reset,
    /// Spoil answers, send second ones, or leave out the length.
    Malformed,
    /// Close connections behind answers.
    Close,
    /// Are slow.
    Slow,
    /// Answer at length, with interim answers ahead, or without an end.
    LongResponses,
}

/// Which system calls fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyscallFault {
    /// accept4.
    Accept,
    /// connect and socket.
    Connect,
    /// recv, send and epoll_wait end with EINTR.
    Interrupted,
    /// recv and send move a few bytes.
    ShortIo,
    /// Resets show as time-outs or unreachable hosts.
    ResetAsTimeout,
}

impl SyscallFault {
    /// The chances for the shim.
    pub fn chances(self) -> Faults {
        let none = Faults::default();
        match self {
            SyscallFault::Accept => Faults { accept_fails: 0.7, ..none },
            SyscallFault::Connect => Faults { connect_fails: 0.6, socket_fails: 0.2, ..none },
            SyscallFault::Interrupted => {
                Faults { read_interrupted: 0.1, write_interrupted: 0.1, wait_interrupted: 0.1, ..none }
            }
            SyscallFault::ShortIo => Faults { read_short: 0.5, write_short: 0.5, ..none },
            SyscallFault::ResetAsTimeout => Faults { broken_is_timed_out: 1.0, ..none },
        }
    }
}

/// A trouble, when it begins and how long it lasts.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: Millis,
    /// How long it lasts, where that means something.
    pub duration: Millis,
    /// What it is.
    pub fault: Fault,
}

/// A site and its troubles.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The seed.
    pub seed: u64,
    /// The site.
    pub site: Site,
    /// The troubles, in the order in which they begin.
    pub schedule: Vec<ScheduledFault>,
    /// Troubles that take the place of those whose gateways are all down when they are due.
    pub substitutes: Vec<Fault>,
}

struct Rng(Rand64);

impl Rng {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.rand_float()
    }
    fn below(&mut self, bound: usize) -> usize {
        self.0.rand_range(0..bound as u64) as usize
    }
    fn coin(&mut self) -> bool {
        self.0.rand_float() < 0.5
    }
    fn some(&mut self, of: usize, part: f64) -> Vec<usize> {
        let mut chosen: Vec<usize> = (0..of).filter(|_| self.0.rand_float() < part).collect();
        if chosen.is_empty() {
            chosen.push(self.below(of));
        }
        chosen
    }
}

/// Of each seed, so many kinds of trouble are drawn for each second of load.
pub const FAULTS_PER_SECOND: f64 = 0.8;
/// The first of them comes no sooner.
const QUIET_START: Millis = 1500.0;
/// The last of them comes no later before the end of the load.
const QUIET_END: Millis = 2000.0;

impl Scenario {
    /// Draws the scenario of a seed, with as many troubles as is usual.
    pub fn draw(seed: u64, gateways: usize, load_duration: Millis) -> Scenario {
        Scenario::draw_dense(seed, gateways, load_duration, FAULTS_PER_SECOND)
    }

    /// Draws the scenario of a seed, with so many troubles for each second of load.
    pub fn draw_dense(seed: u64, gateways: usize, load_duration: Millis, density: f64) -> Scenario {
        let mut rng = Rng(Rand64::new(u128::from(seed) ^ 0x5eed));
        let deadline = |rng: &mut Rng| rng.between(900.0, 3000.0).round();
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
            rate: rng.between(20.0, 35.0),
            classes,
            dedup_window: rng.between(600.0, 4000.0),
            drain_grace: rng.between(800.0, 2000.0),
            fd_limit: 160 + rng.below(300),
            may_duplicate: rng.coin(),
            may_cancel: rng.coin(),
            cold_from: rng.between(0.08, 0.3),
            cold_for: rng.between(4000.0, 12_000.0),
            overload_multiple: rng.between(1.6, 2.5),
            overload_window: rng.between(1000.0, 2000.0),
            meter: None,
            quota: Quota { rate: 15.0, burst: 30.0 },
            zones: 1,
        };
        let count = (load_duration / 1000.0 * density) as usize;
        let mut schedule: Vec<ScheduledFault> = (0..count)
            .map(|_| ScheduledFault {
                at: rng.between(QUIET_START, (load_duration - QUIET_END).max(QUIET_START + 1.0)),
                duration: rng.between(500.0, 4000.0),
                fault: fault(&mut rng, &site),
            })
            .collect();
        schedule.sort_by(|one, other| one.at.total_cmp(&other.at));
        Scenario { seed, site, schedule, substitutes: Vec::new() }
    }
}

/// A quiet start of some runs: what begins late must be borne as well.
const LONG_QUIET: Millis = 30_000.0;
/// Of these runs one in so many has it.
const LONG_QUIET_EVERY: usize = 8;
/// Customers of [`Plan::Quota`] ask for so many times what they may use.
const PRESSURE: f64 = 6.0;
/// A quota's burst, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

impl Scenario {
    /// Draws a scenario with what [`Scenario::draw_dense`] leaves out: a meter, two areas, a long quiet start, and
    /// further kinds of trouble. The same seed draws another scenario there.
    pub fn draw_wide(seed: u64, gateways: usize, load_duration: Millis, density: f64) -> Scenario {
        let mut scenario = Scenario::draw_dense(seed, gateways, load_duration, density);
        let mut rng = Rng(Rand64::new(u128::from(seed) ^ 0x71de));
        let quiet = if rng.below(LONG_QUIET_EVERY) == 0 { LONG_QUIET } else { 0.0 };
        let site = &mut scenario.site;
        site.load_duration += quiet;
        site.zones = 1 + rng.below(2);
        if rng.0.rand_float() < 0.7 {
            let period = rng.between(300.0, 1000.0).round();
            site.meter = Some(MeterSettings { period, delay: rng.between(50.0, 700.0).round() });
            let rate = site.offered_per_quota_customer() / PRESSURE;
            site.quota = Quota { rate, burst: BURST_SECONDS * rate };
        }
        let site = site.clone();
        for event in &mut scenario.schedule {
            event.at += quiet;
            if rng.coin() {
                event.fault = wide_fault(&mut rng, &site);
            }
        }
        scenario
    }
}

/// Clients that connect to a gateway that is held up.
pub(crate) const BURST_CLIENTS: usize = 150;
/// Descriptors that a gateway of a hard scenario has at the least, so that they bear two such crowds: where they run out,
/// new connections may be shut unread, and the idle crowds of the other draws see to that.
const MIN_FD_LIMIT: usize = 2 * BURST_CLIENTS + 100;
/// Of the troubles of a hard scenario one in so many is a crowd that comes while gateways are held up.
const BURST_ONE_IN: usize = 8;

impl Scenario {
    /// Draws what [`Scenario::draw_wide`] draws, and on top of it crowds that connect while gateways are held up, and
    /// troubles for the places of those that come to nothing.
    pub fn draw_hard(seed: u64, gateways: usize, load_duration: Millis, density: f64) -> Scenario {
        let mut scenario = Scenario::draw_wide(seed, gateways, load_duration, density);
        let mut rng = Rng(Rand64::new(u128::from(seed) ^ 0xc40d));
        scenario.site.fd_limit = scenario.site.fd_limit.max(MIN_FD_LIMIT);
        let first = scenario.schedule.first().map_or(QUIET_START, |event| event.at);
        let last = (scenario.site.load_duration - QUIET_END).max(first + 1.0);
        let crowds = scenario.schedule.len().div_ceil(BURST_ONE_IN);
        for _ in 0..crowds {
            let fault = Fault::ConnectionBurstWhilePaused(rng.some(gateways, 0.3));
            scenario.schedule.push(ScheduledFault { at: rng.between(first, last), duration: 0.0, fault });
        }
        scenario.schedule.sort_by(|one, other| one.at.total_cmp(&other.at));
        for _ in 0..scenario.schedule.len() {
            let wide = rng.coin();
            let substitute =
                if wide { wide_fault(&mut rng, &scenario.site) } else { fault(&mut rng, &scenario.site) };
            scenario.substitutes.push(substitute);
        }
        scenario
    }
}

fn wide_fault(rng: &mut Rng, site: &Site) -> Fault {
    match rng.below(9) {
        0 | 1 => Fault::SignalSeries(rng.some(site.gateways, 0.3)),
        2 => Fault::RewriteConfigInPlace,
        3 => Fault::TruncatedConfigAtStart(rng.some(site.gateways, 0.3)),
        4 => Fault::CounterMoves,
        5 => Fault::IdleConnectionsEverywhere { discovery_down: rng.coin() },
        6 => Fault::BlackholeZone(rng.below(site.zones)),
        7 => Fault::CrashZone(rng.below(site.zones)),
        _ => Fault::UnreadLog(rng.some(site.gateways, 0.2)),
    }
}

fn fault(rng: &mut Rng, site: &Site) -> Fault {
    let servers = 1 + rng.below(site.servers / 3);
    match rng.below(20) {
        0 | 1 => Fault::Terminate(rng.some(site.gateways, 0.4)),
        2 => Fault::Kill(rng.some(site.gateways, 0.3)),
        3 => Fault::Pause(rng.some(site.gateways, 0.5)),
        4 => match rng.below(4) {
            0 => Fault::Reload { unreadable: false },
            1 => Fault::Reload { unreadable: true },
            2 => Fault::ReloadBurst,
            _ => Fault::ReloadAndTerminate(rng.some(site.gateways, 0.3)),
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
        11 => Fault::SlowChunkedResponses,
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
            Fault::Syscalls(rng.some(site.gateways, 0.6), syscall_faults[rng.below(syscall_faults.len())])
        }
        18 => Fault::IdleConnections(rng.below(site.gateways)),
        _ => Fault::ClientsLeave,
    }
}
