//! The start of a gateway: reads the configuration, opens the listening socket, and starts following discovery.

use crate::acceptor;
use crate::config::{self, Config, ConfigError, Precedence};
use crate::discovery::{self, Service, Source, Subscription};
use crate::retry;
use springusher::Settings;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{timeout, Instant};

/// File descriptors kept for everything but connections of clients and servers: standard streams, event queue, listener,
/// discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// How long the start retries operations that fail temporarily. The gateway has to be ready within 30 s of its start.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the first reading of the configuration may take before discovery is called in parallel, and before the file
/// takes precedence over the environment.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// What a gateway needs to begin serving.
pub struct Prepared {
    pub config: Config,
    pub listener: TcpListener,
    pub listening_since: Instant,
    /// A permit for each file descriptor that clients and servers may use.
    pub descriptors: Arc<Semaphore>,
    pub discovery: Subscription,
}

/// Reads the configuration, starts following the list of servers, and listens. The gateway counts as notified of what its
/// agent has from `process_started` on.
///
/// # Errors
/// Which of these failed and why, in one line.
pub async fn prepare(process_started: Instant) -> Result<Prepared, String> {
    let (config, discovery) = read_and_follow(process_started).await.map_err(|error| error.to_string())?;
    let limit = config.max_sockets.min(descriptor_limit());
    let available = limit.checked_sub(RESERVED_DESCRIPTORS).filter(|available| *available > 0);
    let available = available
        .ok_or_else(|| format!("limits.sockets: {limit} is too low, must be above {RESERVED_DESCRIPTORS}"))?;
    let descriptors = Arc::new(Semaphore::new(available.min(Semaphore::MAX_PERMITS)));
    let bind = async || acceptor::listen(config.listen);
    let listener = retry::retry_until(START_TIMEOUT, "listening", bind).await;
    let listener = listener.map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
    Ok(Prepared { config, listener, listening_since: Instant::now(), descriptors, discovery })
}

/// Reads the configuration and starts following the list. The gateway counts as notified of what its agent has from the
/// start of the process on, so while the file cannot be read, discovery is called at the address in the environment.
async fn read_and_follow(process_started: Instant) -> Result<(Config, Subscription), ConfigError> {
    let started = Instant::now();
    let is_late = || started.elapsed() >= FIRST_READ_TIMEOUT;
    let mut first_reading =
        pin!(config::read(|| if is_late() { Precedence::File } else { Precedence::Environment }));
    let first_result = timeout(FIRST_READ_TIMEOUT, &mut first_reading).await.ok();
    match first_result {
        Some(Ok(config)) => {
            let discovery = discovery::follow(source(&config, process_started));
            return Ok((config, discovery));
        }
        Some(Err(error)) if !error.is_transient() => return Err(error),
        Some(Err(_)) | None => {}
    }
    let early_discovery = config::discovery_in_environment().map(|address| {
        let seed = u64::from(std::process::id());
        discovery::follow(Source {
            address,
            service: Service::Unknown,
            held_revision: None,
            notified_at: process_started,
            seed,
        })
    });
    // A reading that hangs is continued, not restarted: if the file is a pipe, two readings would split its content.
    let config = match first_result {
        None => timeout(START_TIMEOUT, first_reading).await.unwrap_or_else(|_| Err(ConfigError::timed_out())),
        Some(failure) => failure,
    };
    let time_left = START_TIMEOUT.saturating_sub(started.elapsed());
    let config = match config {
        // The file may have been replaced since the start and be newer than the environment.
        Err(error) if error.is_transient() => config::read_within(time_left, Precedence::File).await?,
        config => config?,
    };
    let discovery = match early_discovery {
        Some(discovery) => {
            discovery.source.send_replace(source(&config, process_started));
            discovery
        }
        None => discovery::follow(source(&config, process_started)),
    };
    Ok((config, discovery))
}

/// The discovery that the configuration names, as followed from the start of the process on.
fn source(config: &Config, process_started: Instant) -> Source {
    Source {
        address: config.discovery,
        service: discovery_service(&config.settings),
        held_revision: config.cached_list.all.then_some(config.cached_list.rev),
        notified_at: process_started,
        seed: config.seed,
    }
}

/// The system's limit on open file descriptors of this process.
fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX)
}

/// The kind of discovery service that the settings describe.
fn discovery_service(settings: &Settings) -> Service {
    if settings.list_on_request {
        return Service::Shared { gateways: settings.gateways };
    }
    let drain_grace = Duration::try_from_secs_f64(settings.drain_grace / 1000.0);
    Service::LocalAgent { drain_grace: drain_grace.unwrap_or(Duration::MAX) }
}
