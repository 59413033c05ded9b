//! Discovery: follows the list of servers and tells the door of each change. Where the list has to be asked
//! for, one service of fixed capacity answers all gateways, and calls are spared and spread.

mod call;
mod contact;
mod list;
mod schedule;
mod watch;

pub use list::{List, State, Target};
pub use schedule::Service;
pub use watch::Watcher;
