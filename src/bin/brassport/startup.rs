//! The start of a gateway: its configuration, its listening socket, and discovery.

use crate::acceptor;
use crate::config::{self, Config, Precedence, Problem};
use crate::discovery::{self, Service, Source, Subscription};
use crate::retry;
use springusher::Settings;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{timeout, Instant};

/// Descriptors that are neither a client's nor a server's: streams, event queue, listener, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// How long a start goes on trying what the system can't do for a moment: it has to be ready within 30 s.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the first try of reading the configuration may take before discovery is asked meanwhile.
const FIRST_READ_PATIENCE: Duration = Duration::from_millis(250);

/// What a gateway starts from.
pub struct Prepared {
    pub config: Config,
    pub listener: TcpListener,
    pub listening_since: Instant,
    /// Descriptors for clients and servers.
    pub descriptors: Arc<Semaphore>,
    pub discovery: Subscription,
}

/// Reads the configuration, begins to follow the list of servers, and listens.
///
/// # Errors
/// What of it can't be had, in one plain line.
pub async fn prepare() -> Result<Prepared, String> {
    let (config, discovery) = read_and_follow().await.map_err(|problem| problem.to_string())?;
    let most = config.sockets.min(system_descriptors());
    let spare = most.checked_sub(OWN_DESCRIPTORS).filter(|spare| *spare > 0);
    let spare = spare.ok_or_else(|| format!("limits.sockets: {most} are too few"))?;
    let descriptors = Arc::new(Semaphore::new(spare.min(Semaphore::MAX_PERMITS)));
    let bind = async || acceptor::listen(config.listen);
    let listener = retry::retry_until(START_TIMEOUT, "listening", bind).await;
    let listener = listener.map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
    Ok(Prepared { config, listener, listening_since: Instant::now(), descriptors, discovery })
}

/// Reads the configuration and begins to follow the list. What the agent has counts as told from the start of the
/// process on: where the file is late, discovery is asked at the address that the environment names.
async fn read_and_follow() -> Result<(Config, Subscription), Problem> {
    let began = Instant::now();
    let is_late = || began.elapsed() >= FIRST_READ_PATIENCE;
    let mut first_reading =
        pin!(config::read(|| if is_late() { Precedence::File } else { Precedence::Environment }));
    let first = timeout(FIRST_READ_PATIENCE, &mut first_reading).await.ok();
    match first {
        Some(Ok(config)) => {
            let discovery = discovery::follow(source(&config));
            return Ok((config, discovery));
        }
        Some(Err(problem)) if !problem.is_transient() => return Err(problem),
        Some(Err(_)) | None => {}
    }
    let early = config::discovery_in_environment().map(|address| {
        let seed = u64::from(std::process::id());
        discovery::follow(Source { address, service: Service::Unknown, held_revision: None, seed })
    });
    // A reading that hangs goes on: two at a time could take the file from each other where it is a pipe.
    let config = match first {
        None => timeout(START_TIMEOUT, first_reading).await.unwrap_or_else(|_| Err(Problem::timed_out())),
        Some(failed) => failed,
    };
    let patience_left = START_TIMEOUT.saturating_sub(began.elapsed());
    let config = match config {
        // By now the file may have been replaced, and is newer than the environment.
        Err(problem) if problem.is_transient() => {
            config::read_within(patience_left, Precedence::File).await?
        }
        config => config?,
    };
    let discovery = match early {
        Some(discovery) => {
            discovery.source.send_replace(source(&config));
            discovery
        }
        None => discovery::follow(source(&config)),
    };
    Ok((config, discovery))
}

fn source(config: &Config) -> Source {
    Source {
        address: config.discovery,
        service: discovery_service(&config.settings),
        held_revision: config.known.all.then_some(config.known.rev),
        seed: config.seed,
    }
}

/// How many descriptors the system lets this process have.
fn system_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX)
}

/// How the settings say that discovery is called.
fn discovery_service(settings: &Settings) -> Service {
    if settings.list_on_request {
        return Service::Shared { gateways: settings.gateways };
    }
    let drain_grace = Duration::try_from_secs_f64(settings.drain_grace / 1000.0);
    Service::LocalAgent { drain_grace: drain_grace.unwrap_or(Duration::MAX) }
}
