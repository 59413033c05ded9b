//! Configuration: the environment and the JSON file it names, checked and turned into the module's terms.

use crate::discovery::List;
use crate::retry::{self, Backoff};
use serde::Deserialize;
use springusher::{Class, DedupScope, Idempotency, Plan, Settings};
use std::net::SocketAddr;
use std::time::Duration;
use std::{env, fmt, fs, io};
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout_at, Instant};

/// How long a call of the counter may take where the settings do not say, and the longest that they may say:
/// a request waits for it. Milliseconds.
const COUNTER_TIMEOUT: f64 = 30.0;
const MOST_COUNTER_TIMEOUT: f64 = 250.0;

/// Names the variable that tells where discovery is.
const DISCOVERY_VARIABLE: &str = "BALANCER_DISCOVERY";

/// All that a front door is told at its start.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where there is none, nothing is counted.
    pub counter: Option<SocketAddr>,
    pub counter_timeout: Duration,
    pub seed: u64,
    pub sockets: usize,
    /// Bytes.
    pub memory: usize,
    pub known: List,
    pub names: Names,
    pub settings: Settings,
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
}

/// Names that stand on the sockets, each at the index by which the module knows it.
pub struct Names {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    counter: Option<String>,
    seed: String,
    limits: Limits,
    known: List,
    settings: Told,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Told {
    areas: Vec<String>,
    balancers: u32,
    ordinal: u32,
    zone: u16,
    tick: f64,
    registry_mode: RegistryMode,
    bounds: Bounds,
    rules: Rules,
    family_info: FamilyInfo,
    classes: Vec<ToldClass>,
    plans: Vec<ToldPlan>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    cancel: bool,
    conn_idle: f64,
    connect_timeout: f64,
    max_attempts: u32,
    max_retry_after: f64,
    may_duplicate: bool,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    cold: f64,
    cold_from: f64,
    fall: f64,
    stop_sending_within: f64,
    tip_multiple: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    most_units: f64,
    use_period: f64,
    #[serde(default)]
    counter: bool,
    #[serde(default)]
    counter_timeout: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ToldClass {
    name: String,
    semantics: Semantics,
    /// These two are for keyed classes alone. Where they are missing nothing is taken to be dropped.
    #[serde(default)]
    group: Group,
    #[serde(default)]
    dedup_window: f64,
    worth: f64,
    slo: f64,
    deadline: f64,
    late_share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Semantics {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize, Clone, Copy, Default)]
#[serde(rename_all = "snake_case")]
enum Group {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ToldPlan {
    name: String,
    units_per_s: f64,
    store_size: f64,
    concurrency: u32,
    price: f64,
    excess_worth: f64,
    overrun_cost: f64,
    never_over_rate: f64,
    cap_depth: f64,
    tolerance: f64,
}

/// Which of the environment and the file goes before the other in what both say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// At the very start: the environment is as new as the file.
    Environment,
    /// Later: the file may have been replaced meanwhile, and the environment is of the start.
    File,
}

/// Why there is no configuration; in one plain line.
#[derive(Debug)]
pub enum Problem {
    /// The file can't be read, for now or for good.
    Unreadable(String, io::Error),
    /// The file is cut short: it is still being written.
    Incomplete(serde_json::Error),
    /// Something is missing or makes no sense.
    Invalid(String),
}

impl Problem {
    /// The file has not been read in time.
    pub fn timed_out() -> Problem {
        path()
            .map_or_else(|problem| problem, |path| Problem::Unreadable(path, io::ErrorKind::TimedOut.into()))
    }

    /// Whether it may be gone a moment later without anybody's doing.
    pub fn is_transient(&self) -> bool {
        match self {
            Problem::Unreadable(_, error) => retry::is_transient(error),
            Problem::Incomplete(_) => true,
            Problem::Invalid(_) => false,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Unreadable(path, error) => write!(f, "cannot read {path}: {error}"),
            Problem::Incomplete(error) => write!(f, "configuration: {error}"),
            Problem::Invalid(text) => f.write_str(text),
        }
    }
}

/// Reads and checks the whole configuration. The file is read on a thread of its own: a folder that hangs holds up
/// nothing else. `first` is asked once the file has been read.
///
/// # Errors
/// What is missing or makes no sense, or that the file can't be read.
pub async fn read(first: impl FnOnce() -> Precedence) -> Result<Config, Problem> {
    let path = path()?;
    let read_from = path.clone();
    let reading = spawn_blocking(move || fs::read(read_from));
    let read = reading.await.unwrap_or_else(|error| Err(error.into()));
    let text = read.map_err(|error| Problem::Unreadable(path, error))?;
    check(parse(&text)?, first()).map_err(Problem::Invalid)
}

/// The text as a configuration, its values not checked yet.
fn parse(text: &[u8]) -> Result<File, Problem> {
    serde_json::from_slice(text).map_err(|error| {
        if error.is_eof() || is_cut_number(text, &error) {
            Problem::Incomplete(error)
        } else {
            Problem::Invalid(format!("configuration: {error}"))
        }
    })
}

/// Whether the end of the text cuts a number off, which is told as an invalid number and not as an end.
fn is_cut_number(text: &[u8], error: &serde_json::Error) -> bool {
    let lines = text.iter().filter(|byte| **byte == b'\n').count() + 1;
    let columns = text.iter().rev().take_while(|byte| **byte != b'\n').count();
    let at_the_end = (error.line(), error.column()) >= (lines, columns);
    let in_number = text.last().is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte));
    error.is_syntax() && at_the_end && in_number
}

/// Reads the configuration as [`read`] does; what can't be read for a moment, or is still being written, is read again
/// until `patience` is over.
///
/// # Errors
/// What is missing or makes no sense, or that the file can't be read.
pub async fn read_within(patience: Duration, first: Precedence) -> Result<Config, Problem> {
    let until = Instant::now() + patience;
    let mut pauses = Backoff::new();
    loop {
        let problem = match timeout_at(until, read(|| first)).await {
            Ok(Ok(config)) => return Ok(config),
            Ok(Err(problem)) => problem,
            Err(_) => return Err(Problem::timed_out()),
        };
        if !problem.is_transient() || Instant::now() >= until {
            return Err(problem);
        }
        pauses.report("reading the configuration", &problem);
        sleep(pauses.next()).await;
    }
}

/// Where discovery is, if the environment says so.
pub fn discovery_in_environment() -> Option<SocketAddr> {
    env::var(DISCOVERY_VARIABLE).ok()?.parse().ok()
}

fn path() -> Result<String, Problem> {
    env::var("BALANCER_CONFIG").map_err(|_| Problem::Invalid("BALANCER_CONFIG is not set".into()))
}

fn check(file: File, first: Precedence) -> Result<Config, String> {
    let address = |name: &str, written: Option<String>| {
        let said = env::var(name).ok();
        let text = if first == Precedence::File { written.or(said) } else { said.or(written) };
        let text = text.ok_or_else(|| format!("{name} is not set"))?;
        text.parse::<SocketAddr>().map_err(|_| format!("{name}: '{text}' is no address with a port"))
    };
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed: '{}' is no number in hexadecimal", file.seed))?;
    let told = file.settings;
    let names = Names {
        classes: told.classes.iter().map(|class| class.name.clone()).collect(),
        plans: told.plans.iter().map(|plan| plan.name.clone()).collect(),
        zones: told.areas,
    };
    let bounds = told.bounds;
    let counter = file.counter.and_then(|text| text.parse::<SocketAddr>().ok());
    let timeout = told.family_info.counter_timeout;
    let known_time = timeout.is_finite() && timeout > 0.0;
    let timeout = if known_time { timeout.min(MOST_COUNTER_TIMEOUT) } else { COUNTER_TIMEOUT };
    let settings = Settings {
        gateways: told.balancers,
        ordinal: told.ordinal,
        zone: told.zone,
        classes: told.classes.iter().map(class).collect(),
        plans: told.plans.iter().map(plan).collect(),
        max_units: told.family_info.most_units,
        meter_period: told.family_info.use_period,
        max_attempts: bounds.max_attempts,
        may_duplicate: bounds.may_duplicate,
        may_cancel: bounds.cancel,
        max_retry_after: if bounds.retry_after { bounds.max_retry_after } else { 0.0 },
        drain_grace: told.rules.stop_sending_within,
        cold_capacity: told.rules.cold_from,
        warm_up_time: told.rules.cold,
        overload_multiple: told.rules.tip_multiple,
        overload_after: told.rules.fall,
        tick: told.tick,
        list_on_request: told.registry_mode == RegistryMode::OnRequest,
        counter: told.family_info.counter && counter.is_some(),
    };
    settings.validate().map_err(|error| error.to_string())?;
    let time = |name: &str, ms: f64| match Duration::try_from_secs_f64(ms / 1000.0) {
        Ok(time) if !time.is_zero() => Ok(time),
        _ => Err(format!("setting {name}: {ms} is no length of time")),
    };
    Ok(Config {
        listen: address("BALANCER_LISTEN", file.listen)?,
        discovery: address(DISCOVERY_VARIABLE, file.discovery)?,
        counter,
        counter_timeout: Duration::from_secs_f64(timeout / 1000.0),
        seed,
        sockets: file.limits.sockets,
        memory: file.limits.memory_mb.saturating_mul(1 << 20),
        known: file.known,
        names,
        settings,
        connect_timeout: time("bounds.connectTimeout", bounds.connect_timeout)?,
        idle_timeout: time("bounds.connIdle", bounds.conn_idle)?,
    })
}

fn class(told: &ToldClass) -> Class {
    let scope = match told.group {
        Group::All => DedupScope::All,
        Group::Zone => DedupScope::Zone,
        Group::Cell => DedupScope::Cell,
    };
    Class {
        worth: told.worth,
        latency_target: told.slo,
        deadline: told.deadline,
        late_share: told.late_share,
        idempotency: match told.semantics {
            Semantics::Free => Idempotency::Idempotent,
            Semantics::Guarded => Idempotency::Keyed { scope, window: told.dedup_window },
            Semantics::SingleShot => Idempotency::NonIdempotent,
        },
    }
}

fn plan(told: &ToldPlan) -> Plan {
    Plan {
        rate: told.units_per_s,
        burst: told.store_size,
        max_concurrent: told.concurrency,
        price: told.price,
        excess_worth: told.excess_worth,
        excess_cost: told.overrun_cost,
        ceiling_rate: told.never_over_rate,
        ceiling_burst: told.cap_depth,
        ceiling_overdraft: told.tolerance,
    }
}

#[cfg(test)]
mod tests;
