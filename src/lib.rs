//! The decisions of a gateway that holds each customer to a quota shared by many gateways in front of one fleet of
//! servers.
//!
//! The library does no I/O. A host feeds one [`Gateway`] with [`Event`]s, each with the time on the host's monotonic
//! clock in milliseconds, and carries out the returned [`Action`]s in order. The gateway relies on the host for
//! four things:
//!
//! * **clock**: time never runs backwards between two calls;
//! * **timers**: each [`Action::Timer`] is answered by one [`Event::Timer`] at or soon after its time;
//! * **order**: events are delivered in the order in which they happened, and every [`Action::Send`] is answered by
//!   exactly one [`Event::AttemptEnd`];
//! * **isolation**: one gateway per process; gateways share no state and learn of each other only through the meter
//!   and the shared counter.
//!
//! ```
//! use springusher::{Action, Class, Idempotency, Event, Gateway, ListKind, Lifecycle, Plan, Request};
//! use springusher::{ServerEntry, Settings};
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         worth: 1.0,
//!         latency_target: 500.0,
//!         deadline: 2000.0,
//!         late_share: 0.0,
//!         idempotency: Idempotency::Idempotent,
//!     }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, price: 1.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 42, 0.0).expect("valid settings");
//! let mut actions = Vec::new();
//! let server = ServerEntry { id: 7, zone: 0, cell: 0, capacity: 1.0, lifecycle: Lifecycle::Ready, started_at: None };
//! gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries: vec![server] }, &mut actions);
//! let request = Request {
//!     id: 1,
//!     customer: 99,
//!     plan: 0,
//!     class: 0,
//!     units: 1.0,
//!     spread: 1,
//!     expires_in: 2000.0,
//!     is_client_retry: false,
//! };
//! gateway.handle(1.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: 1, server: 7, .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod counter_calls;
mod counter_limits;
mod fleet;
pub mod gateway;
pub mod interface;
mod meter;
pub mod wire;

pub use gateway::Gateway;
pub use interface::*;
