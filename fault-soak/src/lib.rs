//! A randomized fault soak of the gateway.
//!
//! Real gateway processes run on loopback against stand-ins for all their peers: servers, discovery, the shared
//! counter and clients, with a fault proxy on the connections to servers and to the counter. A scenario drawn from
//! a seed injects faults, of which two or three overlap at a time. After the run the rules of the service are
//! checked on the merged event log, which makes them the test's oracle.
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
mod restart;
pub mod run;
pub mod scenario;
pub mod server;
pub mod shim;
pub mod site;
