//! Whether `/healthz` reports the gateway as ready.

use crate::backends::Backends;
use std::cell::Cell;
use std::rc::Rc;

/// A gateway is ready while it has a server to send requests to. One that starts while its agent is unresponsive is ready
/// as well, also after its list is withdrawn: it answers requests, with refusals, and an outage of discovery must not make
/// its start fail.
pub struct Readiness {
    backends: Rc<Backends>,
    serving: Cell<bool>,
    /// Whether discovery has answered since the gateway began to serve.
    answered_while_serving: Cell<bool>,
    /// Whether a list with a ready server was withdrawn, and none was received since.
    usable_list_withdrawn: Cell<bool>,
}

impl Readiness {
    /// The state before the gateway serves clients.
    pub fn new(backends: Rc<Backends>) -> Readiness {
        Readiness {
            backends,
            serving: Cell::new(false),
            answered_while_serving: Cell::new(false),
            usable_list_withdrawn: Cell::new(false),
        }
    }

    /// Records that the gateway serves clients from now on.
    pub fn serving_began(&self) {
        self.serving.set(true);
    }

    /// Records that a list or changes to it arrived.
    pub fn list_received(&self) {
        self.answered_while_serving.set(self.serving.get());
        self.usable_list_withdrawn.set(false);
    }

    /// Records that the list is about to be withdrawn.
    pub fn list_withdrawn(&self) {
        self.usable_list_withdrawn.set(self.usable_list_withdrawn.get() || self.backends.any_ready());
    }

    /// Whether the platform may send clients.
    pub fn is_ready(&self) -> bool {
        let starts_without_discovery = self.usable_list_withdrawn.get() && !self.answered_while_serving.get();
        self.backends.any_ready() || starts_without_discovery
    }
}
