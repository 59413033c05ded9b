//! Discovery: follows the list of servers and reports each change. With `registryMode` `on_request` one service of
//! fixed capacity answers all gateways, so calls are few and spread over time.

mod call;
mod list;
mod schedule;
mod status;
mod watch;

pub use list::{List, State, Target};
pub use schedule::Service;
use springusher::ListKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::watch as latest;
use tokio::task::spawn_local;
use tokio::time::Instant;
use watch::Watcher;

/// How long after SIGHUP the gateway counts as notified of what the discovery in the new configuration has.
pub const RELOAD_NOTICE: Duration = Duration::from_secs(4);

/// The address of discovery, and how it is called.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    pub address: SocketAddr,
    pub service: Service,
    /// The revision of the list held at the start. A shared service is asked only for changes after it.
    pub held_revision: Option<u64>,
    /// When the gateway counts as notified of what a local agent at this address has, whether or not that arrived.
    pub notified_at: Instant,
    /// For the jitter.
    pub seed: u64,
}

impl Source {
    /// Moves to the discovery in a new configuration, which a signal announced at `announced_at`.
    pub fn replace(&mut self, address: SocketAddr, announced_at: Instant) {
        let moved = self.address != address;
        self.notified_at = if moved { announced_at + RELOAD_NOTICE } else { announced_at };
        self.address = address;
        // Another discovery may number its revisions differently.
        self.held_revision = None;
    }

    /// Asks a local agent again, as another one may have taken its place, of whose changes the gateway counts as notified
    /// from now on. An agent that still answers has not been replaced. Returns false for a shared service, whose list is
    /// never withdrawn.
    pub fn ask_again(&mut self) -> bool {
        let is_local = !self.service.is_shared();
        if is_local {
            self.notified_at = Instant::now();
        }
        is_local
    }

    /// Whether a watch on `other` is also one on this source, so that it can go on.
    fn continues(&self, other: &Source) -> bool {
        !self.service.is_shared() && self.address == other.address && self.notified_at == other.notified_at
    }
}

/// A change to the list of servers.
pub enum Update {
    /// The full list, or changes to the last one.
    List(ListKind, List),
    /// The list held may no longer be used: servers on it may have been draining for too long.
    Withdrawn,
}

/// A running watch on the list of servers. Dropping `updates` ends it.
pub struct Subscription {
    /// Sets another source, which is then asked for the list anew.
    pub source: latest::Sender<Source>,
    /// The changes to the list, in order.
    pub updates: UnboundedReceiver<Update>,
}

/// Follows the list until the result is dropped.
pub fn follow(source: Source) -> Subscription {
    let (sender, updates) = unbounded_channel();
    let watcher = Watcher::new(source, sender);
    let (source, current_source) = latest::channel(source);
    spawn_local(watcher.follow(current_source));
    Subscription { source, updates }
}
