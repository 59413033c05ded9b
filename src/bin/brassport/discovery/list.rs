//! The list of servers as discovery writes it.

use serde::Deserialize;
use std::fmt;

/// Most servers that a line of the trace names.
const MOST_NAMED: usize = 16;

/// The list of servers, or what changed in it.
#[derive(Deserialize)]
pub struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

impl List {
    /// A whole list with no server on it.
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
    /// Which, no more: one that is out of range must not cost the whole list.
    #[serde(default)]
    pub pod_group: u64,
    pub state: State,
    /// 0, as where it is missing, says nothing of the size.
    #[serde(default)]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: f64,
}

/// What a server on the list is up to.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Ready,
    Draining,
    Gone,
    /// A word that is not in the protocol: nothing is sent there.
    #[serde(other)]
    Unknown,
}

/// For the trace: the revision, and the servers that are named, or how many there are.
impl fmt::Display for List {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.all { "whole list" } else { "changes" };
        write!(f, "revision {}, {kind} of {}", self.rev, self.targets.len())?;
        if !self.all || self.targets.len() <= MOST_NAMED {
            for target in self.targets.iter().take(MOST_NAMED) {
                write!(f, ", {} {:?}", target.uid, target.state)?;
            }
        }
        Ok(())
    }
}
