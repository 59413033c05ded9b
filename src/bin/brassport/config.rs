//! The configuration: the environment and the JSON file that it names, validated and converted to [`Settings`].

use crate::discovery::List;
use crate::retry::{self, Backoff};
use serde::Deserialize;
use springusher::{Class, DedupScope, Idempotency, Plan, Settings};
use std::net::SocketAddr;
use std::time::Duration;
use std::{env, fmt, fs, io};
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout_at, Instant};

/// The time-out of a call to the counter, in milliseconds: the default, and the maximum that settings may ask for. A
/// request waits for the call, so a longer one delays requests while the counter does not answer.
const DEFAULT_COUNTER_TIMEOUT_MS: f64 = 30.0;
const MAX_COUNTER_TIMEOUT_MS: f64 = 250.0;

/// The environment variable with the address of discovery.
const DISCOVERY_VARIABLE: &str = "BALANCER_DISCOVERY";

/// The configuration of a gateway.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// If `None`, no calls are made to the counter.
    pub counter: Option<SocketAddr>,
    pub counter_timeout: Duration,
    pub seed: u64,
    pub max_sockets: usize,
    pub memory_bytes: usize,
    /// The list of servers in the file, which may be stale.
    pub cached_list: List,
    pub names: NameTables,
    pub settings: Settings,
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
}

/// The names used in requests and lists, in the order of their indices in [`Settings`].
pub struct NameTables {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct ConfigFile {
    listen: Option<String>,
    discovery: Option<String>,
    counter: Option<String>,
    seed: String,
    limits: Limits,
    known: List,
    settings: FileSettings,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FileSettings {
    areas: Vec<String>,
    balancers: u32,
    ordinal: u32,
    zone: u16,
    tick: f64,
    registry_mode: RegistryMode,
    bounds: Bounds,
    rules: Rules,
    family_info: FamilyInfo,
    classes: Vec<FileClass>,
    plans: Vec<FilePlan>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    /// A local agent of this gateway has the list of servers.
    Pushed,
    /// One service, shared by all gateways, has the list.
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
struct FileClass {
    name: String,
    semantics: Semantics,
    /// `group` and `dedup_window` apply to guarded classes only. The defaults mean that servers drop no duplicates.
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
struct FilePlan {
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

/// Whether the environment or the file takes precedence where both give an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// At the start of the process: the environment is as new as the file.
    Environment,
    /// Later: the file may have been replaced since, while the environment dates from the start.
    File,
}

/// Why the configuration could not be loaded. Displayed as one line.
#[derive(Debug)]
pub enum ConfigError {
    /// The file cannot be read, temporarily or permanently.
    Unreadable(String, io::Error),
    /// The file is truncated, as it is still being written.
    Incomplete(serde_json::Error),
    /// A value is missing or invalid.
    Invalid(String),
}

impl ConfigError {
    /// The error for a file that was not read within the time-out.
    pub fn timed_out() -> ConfigError {
        path()
            .map_or_else(|error| error, |path| ConfigError::Unreadable(path, io::ErrorKind::TimedOut.into()))
    }

    /// Whether a later attempt may succeed without a change by an operator.
    pub fn is_transient(&self) -> bool {
        match self {
            ConfigError::Unreadable(_, error) => retry::is_transient(error),
            ConfigError::Incomplete(_) => true,
            ConfigError::Invalid(_) => false,
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unreadable(path, error) => write!(f, "cannot read {path}: {error}"),
            ConfigError::Incomplete(error) => write!(f, "configuration: {error}"),
            ConfigError::Invalid(text) => f.write_str(text),
        }
    }
}

/// Reads and validates the configuration. The file is read on a separate thread, so that a file system that hangs blocks
/// nothing else. `precedence` is called once the file has been read.
///
/// # Errors
/// If the file cannot be read, or a value is missing or invalid.
pub async fn read(precedence: impl FnOnce() -> Precedence) -> Result<Config, ConfigError> {
    let path = path()?;
    let read_from = path.clone();
    let reading = spawn_blocking(move || fs::read(read_from));
    let read = reading.await.unwrap_or_else(|error| Err(error.into()));
    let text = read.map_err(|error| ConfigError::Unreadable(path, error))?;
    validate(parse(&text)?, precedence()).map_err(ConfigError::Invalid)
}

/// Parses the file without validating its values.
fn parse(text: &[u8]) -> Result<ConfigFile, ConfigError> {
    serde_json::from_slice(text).map_err(|error| {
        if error.is_eof() || is_truncated_number(text, &error) {
            ConfigError::Incomplete(error)
        } else {
            ConfigError::Invalid(format!("configuration: {error}"))
        }
    })
}

/// Whether the text ends within a number. serde_json reports that as an invalid number, not as an unexpected end.
fn is_truncated_number(text: &[u8], error: &serde_json::Error) -> bool {
    let lines = text.iter().filter(|byte| **byte == b'\n').count() + 1;
    let columns = text.iter().rev().take_while(|byte| **byte != b'\n').count();
    let at_the_end = (error.line(), error.column()) >= (lines, columns);
    let in_number = text.last().is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte));
    error.is_syntax() && at_the_end && in_number
}

/// Reads the configuration as [`read`] does; a file that temporarily cannot be read, or is still being written, is read
/// again until `time_limit` is over.
///
/// # Errors
/// If the file cannot be read, or a value is missing or invalid.
pub async fn read_within(time_limit: Duration, precedence: Precedence) -> Result<Config, ConfigError> {
    let until = Instant::now() + time_limit;
    let mut pauses = Backoff::new();
    loop {
        let error = match timeout_at(until, read(|| precedence)).await {
            Ok(Ok(config)) => return Ok(config),
            Ok(Err(error)) => error,
            Err(_) => return Err(ConfigError::timed_out()),
        };
        if !error.is_transient() || Instant::now() >= until {
            return Err(error);
        }
        pauses.log_first_failure("reading the configuration", &error);
        sleep(pauses.next()).await;
    }
}

/// The address of discovery that the environment gives, if any.
pub fn discovery_in_environment() -> Option<SocketAddr> {
    env::var(DISCOVERY_VARIABLE).ok()?.parse().ok()
}

fn path() -> Result<String, ConfigError> {
    env::var("BALANCER_CONFIG").map_err(|_| ConfigError::Invalid("BALANCER_CONFIG is not set".into()))
}

fn validate(file: ConfigFile, precedence: Precedence) -> Result<Config, String> {
    let address = |name: &str, from_file: Option<String>| {
        let from_env = env::var(name).ok();
        let text =
            if precedence == Precedence::File { from_file.or(from_env) } else { from_env.or(from_file) };
        let text = text.ok_or_else(|| format!("{name} is not set"))?;
        text.parse::<SocketAddr>().map_err(|_| format!("{name}: '{text}' is not an IP address with a port"))
    };
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed: '{}' is not a hexadecimal number of up to 64 bits", file.seed))?;
    let settings = file.settings;
    let names = NameTables {
        classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
        plans: settings.plans.iter().map(|plan| plan.name.clone()).collect(),
        zones: settings.areas,
    };
    let bounds = settings.bounds;
    let counter = file.counter.and_then(|text| text.parse::<SocketAddr>().ok());
    let timeout_ms = settings.family_info.counter_timeout;
    let is_valid_timeout = timeout_ms.is_finite() && timeout_ms > 0.0;
    let timeout_ms =
        if is_valid_timeout { timeout_ms.min(MAX_COUNTER_TIMEOUT_MS) } else { DEFAULT_COUNTER_TIMEOUT_MS };
    let settings = Settings {
        gateways: settings.balancers,
        ordinal: settings.ordinal,
        zone: settings.zone,
        classes: settings.classes.iter().map(class).collect(),
        plans: settings.plans.iter().map(plan).collect(),
        max_units: settings.family_info.most_units,
        meter_period: settings.family_info.use_period,
        max_attempts: bounds.max_attempts,
        may_duplicate: bounds.may_duplicate,
        may_cancel: bounds.cancel,
        max_retry_after: if bounds.retry_after { bounds.max_retry_after } else { 0.0 },
        drain_grace: settings.rules.stop_sending_within,
        cold_capacity: settings.rules.cold_from,
        warm_up_time: settings.rules.cold,
        overload_multiple: settings.rules.tip_multiple,
        overload_after: settings.rules.fall,
        tick: settings.tick,
        list_on_request: settings.registry_mode == RegistryMode::OnRequest,
        counter: settings.family_info.counter && counter.is_some(),
    };
    settings.validate().map_err(|error| error.to_string())?;
    let duration = |name: &str, ms: f64| match Duration::try_from_secs_f64(ms / 1000.0) {
        Ok(duration) if !duration.is_zero() => Ok(duration),
        _ => Err(format!("setting {name}: {ms} ms is not a valid duration")),
    };
    Ok(Config {
        listen: address("BALANCER_LISTEN", file.listen)?,
        discovery: address(DISCOVERY_VARIABLE, file.discovery)?,
        counter,
        counter_timeout: Duration::from_secs_f64(timeout_ms / 1000.0),
        seed,
        max_sockets: file.limits.sockets,
        memory_bytes: file.limits.memory_mb.saturating_mul(1 << 20),
        cached_list: file.known,
        names,
        settings,
        connect_timeout: duration("bounds.connectTimeout", bounds.connect_timeout)?,
        idle_timeout: duration("bounds.connIdle", bounds.conn_idle)?,
    })
}

fn class(class: &FileClass) -> Class {
    let scope = match class.group {
        Group::All => DedupScope::All,
        Group::Zone => DedupScope::Zone,
        Group::Cell => DedupScope::Cell,
    };
    Class {
        worth: class.worth,
        latency_target: class.slo,
        deadline: class.deadline,
        late_share: class.late_share,
        idempotency: match class.semantics {
            Semantics::Free => Idempotency::Idempotent,
            Semantics::Guarded => Idempotency::Keyed { scope, window: class.dedup_window },
            Semantics::SingleShot => Idempotency::NonIdempotent,
        },
    }
}

fn plan(plan: &FilePlan) -> Plan {
    Plan {
        rate: plan.units_per_s,
        burst: plan.store_size,
        max_concurrent: plan.concurrency,
        price: plan.price,
        excess_worth: plan.excess_worth,
        excess_cost: plan.overrun_cost,
        ceiling_rate: plan.never_over_rate,
        ceiling_burst: plan.cap_depth,
        ceiling_overdraft: plan.tolerance,
    }
}

#[cfg(test)]
mod tests;
