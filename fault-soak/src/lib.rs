//! A randomized fault soak of the gateway.
//!
//! Real gateway processes run on loopback before stand-ins for everything they speak to: servers, discovery,
//! the counter, clients, and a fault proxy on each line. A scenario drawn from a seed lets two or three
//! troubles overlap; the rules of the service, checked on the merged event log, are the oracle.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod counter;
pub mod discovery;
pub mod event_log;
pub mod gateway;
pub mod http;
mod injection;
pub mod invariants;
pub mod listener;
pub mod meter;
pub mod proxy;
pub mod run;
pub mod scenario;
pub mod server;
pub mod shim;
pub mod site;
