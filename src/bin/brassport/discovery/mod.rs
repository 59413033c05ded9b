//! Discovery: follows the list of servers and tells of each change. Where the list has to be asked for, one
//! service of fixed capacity answers all gateways, and calls are spared and spread.

mod call;
mod list;
mod schedule;
mod status;
mod watch;

pub use list::{List, State, Target};
pub use schedule::Service;
use springusher::ListKind;
use std::net::SocketAddr;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::watch as latest;
use tokio::task::spawn_local;
use watch::Watcher;

/// Where discovery is, and how it is called.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    pub address: SocketAddr,
    pub service: Service,
    /// The revision of the list that is known from the start. Where calls are to be spared, what is newer is all that
    /// is asked for.
    pub known: Option<u64>,
    /// For the jitter.
    pub seed: u64,
}

/// What is heard of discovery.
pub enum Update {
    /// A list, or changes to the last one.
    List(ListKind, List),
    /// A call brought none; what is held stays in force.
    CallFailed,
}

/// The list of servers as it is followed.
pub struct Subscription {
    /// Sets another source; the list is asked for anew.
    pub source: latest::Sender<Source>,
    /// What was heard, in order.
    pub updates: UnboundedReceiver<Update>,
}

/// Follows the list for as long as somebody holds the result.
pub fn follow(source: Source) -> Subscription {
    let (sender, updates) = unbounded_channel();
    let watcher = Watcher::new(source, sender);
    let (source, seen) = latest::channel(source);
    spawn_local(watcher.follow(seen));
    Subscription { source, updates }
}
