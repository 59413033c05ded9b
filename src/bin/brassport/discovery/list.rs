//! The list of servers in the JSON form of discovery.

use serde::Deserialize;
use std::fmt;

/// Maximum number of servers named in one trace line.
const MAX_TRACED_TARGETS: usize = 16;

/// The full list of servers, or the entries that changed.
#[derive(Deserialize)]
pub struct List {
    pub rev: u64,
    /// Whether this is the full list.
    pub all: bool,
    pub targets: Vec<Target>,
}

impl List {
    /// A full list without servers.
    pub fn empty() -> List {
        List { rev: 0, all: true, targets: Vec::new() }
    }
}

/// One server on the list.
#[derive(Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    /// An identifier only. It is read as u64, although the decision module uses u16, so that a value that is too large
    /// does not make the whole list invalid.
    #[serde(default)]
    pub pod_group: u64,
    pub state: State,
    /// Hint of the capacity; 0, the default, means unknown.
    #[serde(default)]
    pub capacity_hint: f64,
    /// Wall-clock time at which the server booted, in milliseconds; 0, the default, means unknown.
    #[serde(default)]
    pub boot_ms: f64,
}

/// The state of a server on the list.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Ready,
    Draining,
    Gone,
    /// A state that is not in the protocol: no requests are sent to this server.
    #[serde(other)]
    Unknown,
}

/// For the trace: the revision, the number of servers, and the servers themselves unless it is a long full list.
impl fmt::Display for List {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.all { "full list" } else { "changes" };
        write!(f, "revision {}, {kind} of {}", self.rev, self.targets.len())?;
        if !self.all || self.targets.len() <= MAX_TRACED_TARGETS {
            for target in self.targets.iter().take(MAX_TRACED_TARGETS) {
                write!(f, ", {} {:?}", target.uid, target.state)?;
            }
        }
        Ok(())
    }
}
