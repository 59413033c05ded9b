//! The servers of the fleet as this gateway sees them: their state and health, and the choice of a server for
//! each attempt.

use crate::interface::*;
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Time without a response after which a server with attempts in flight counts as hung, in mean response
/// times. Lower cancels attempts at servers that are merely slow; higher leaves requests waiting for longer.
pub(crate) const HUNG_AFTER: f64 = 4.0;
/// Age at which an attempt in flight may be hedged, in mean response times. Lower adds load through needless
/// attempts; higher lets the hedge start too late to help. An ejection lasts at least this long, too.
pub(crate) const HEDGE_AFTER: f64 = 3.0;
/// Weight of a new sample in a server's average slowness, from 0 to 1: about the last 10 responses count.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time, in mean response times, in which the distance of a server's slowness from the mean decays to about a
/// third. Shorter sends traffic back to a slow server too soon; longer avoids a recovered one for long.
const SLOWNESS_DECAY: f64 = 20.0;
/// Number of failures in a row that eject a server. Lower ejects healthy servers over chance failures; higher
/// sends more requests to a server that fails.
const FAILURES_TO_EJECT: u32 = 3;
/// Fraction of `Settings::overload_multiple` up to which servers in slow start are loaded; the rest is a
/// margin for differences between requests and between gateways. Higher risks that a cold server collapses;
/// lower leaves capacity unused while most of the fleet is in slow start.
const COLD_LOAD_SHARE: f64 = 0.7;
/// Factor on the cost of a server in another zone. It only breaks near ties: higher queues requests in the
/// own zone while servers elsewhere are idle, and 1 sends as much traffic to other zones as to the own one.
const OTHER_ZONE_COST: f64 = 1.1;
/// Lower bound on the slowness that the choice assumes, as a multiple of the mean response time. Lower lets a
/// server attract all requests after a few fast responses by chance; higher ignores that a server is fast.
const MIN_SLOWNESS: f64 = 0.2;
/// Range of the random part of a cost, as a share of the cost. Lower makes all gateways choose the same one
/// of several equal servers; higher overrides real differences between servers.
const COST_JITTER: f64 = 0.1;
/// Mean number of gateways with the same server in their subset. Fewer loads the servers unevenly, as what
/// the gateways send no longer averages out; more needs more connections, each of them used less.
const GATEWAYS_PER_SERVER: f64 = 12.0;
/// Least number of servers in a gateway's subset. With fewer, one slow or lost server affects much of the
/// gateway's traffic; more needs more connections, each of them used less.
const MIN_SUBSET: f64 = 8.0;
/// Factor on the cost of a server outside the subset. At 2, an idle server outside it costs as much as an
/// equally fast one in it with one attempt in flight. Lower needs more connections; higher queues requests in
/// the subset while other servers are idle.
const OUTSIDE_SUBSET_COST: f64 = 2.0;

#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    /// Times at which the attempts in flight were sent, the oldest first.
    in_flight: Vec<Millis>,
    /// Average duration of its attempts relative to the mean of their class, as of `slowness_at`.
    slowness: f64,
    slowness_at: Millis,
    /// Time of its last response; before the first one, when it was first listed.
    last_response: Millis,
    /// Number of failures since its last success.
    failures_in_row: u32,
    ejected_until: Millis,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetTiming {
    pub now: Millis,
    pub mean_response_time: Millis,
}

/// The listed servers, and removed ones that still have attempts of this gateway in flight.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    /// The ready servers, in an order that differs between gateways. The first that are healthy and warmed up
    /// form the subset.
    preference: Vec<ServerId>,
}

/// Hash of a gateway and a server by the finalizer of SplitMix64: orders the servers differently per gateway.
fn gateway_server_hash(gateway: u32, server: ServerId) -> u64 {
    let mut mixed = ((u64::from(gateway) << 32) | u64::from(server)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Fleet {
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn ready_count(&self) -> usize {
        self.preference.len()
    }

    pub fn entry(&self, id: ServerId) -> Option<ServerEntry> {
        self.servers.get(&id).map(|server| server.entry)
    }

    pub fn in_flight_sent_after(&self, since: Millis) -> usize {
        let sent = |server: &Server| server.in_flight.iter().filter(|at| **at > since).count();
        self.servers.values().map(sent).sum()
    }

    /// Applies a server list or a change to it. Draining and removed servers get no further attempts.
    pub fn apply_list(&mut self, gateway: u32, now: Millis, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind != ListKind::Delta {
            for server in self.servers.values_mut() {
                server.entry.lifecycle = Lifecycle::Gone;
            }
        }
        for entry in entries {
            let (in_flight, failures_in_row) = (Vec::new(), 0);
            let new_server = Server {
                entry,
                in_flight,
                slowness: 1.0,
                slowness_at: now,
                last_response: now,
                failures_in_row,
                ejected_until: 0.0,
            };
            let server = self.servers.entry(entry.id).or_insert(new_server);
            if entry.started_at.is_some() && entry.started_at != server.entry.started_at {
                server.failures_in_row = 0;
                server.ejected_until = 0.0;
                server.slowness = 1.0;
            }
            server.entry = entry;
        }
        self.servers
            .retain(|_, server| server.entry.lifecycle != Lifecycle::Gone || !server.in_flight.is_empty());
        let ready = self.servers.values().filter(|server| server.entry.lifecycle == Lifecycle::Ready);
        self.preference = ready.map(|server| server.entry.id).collect();
        self.preference.sort_by_cached_key(|id| gateway_server_hash(gateway, *id));
    }

    /// The servers that this gateway prefers, sorted by identifier. With many gateways each uses only a few
    /// servers: a connection from every gateway to every server would be used so rarely that it costs a
    /// handshake and says nothing about the server.
    fn subset(&self, settings: &Settings, now: Millis) -> Vec<ServerId> {
        let share = GATEWAYS_PER_SERVER * self.preference.len() as f64 / f64::from(settings.gateways);
        let healthy = |id: &&ServerId| {
            let server = self.servers.get(id);
            server
                .is_some_and(|s| !Fleet::is_ejected(now, s) && Fleet::warm_up_share(settings, now, s) >= 1.0)
        };
        let count = share.max(MIN_SUBSET).ceil() as usize;
        let mut subset: Vec<ServerId> = self.preference.iter().filter(healthy).take(count).copied().collect();
        subset.sort_unstable();
        subset
    }

    pub fn attempt_started(&mut self, id: ServerId, now: Millis) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.in_flight.push(now);
        }
    }

    pub fn attempt_ended(&mut self, id: ServerId, sent: Millis) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(index) = server.in_flight.iter().position(|at| *at == sent) {
            server.in_flight.remove(index);
        }
        if server.in_flight.is_empty() && server.entry.lifecycle == Lifecycle::Gone {
            self.servers.remove(&id);
        }
    }

    /// Share of its full capacity that a server in slow start is assumed to have now; 1 for other servers.
    fn warm_up_share(settings: &Settings, now: Millis, server: &Server) -> f64 {
        match server.entry.started_at {
            Some(at) if settings.warm_up_time > 0.0 && now < at + settings.warm_up_time => {
                let ramp = ((now - at) / settings.warm_up_time).clamp(0.0, 1.0);
                settings.cold_capacity + (1.0 - settings.cold_capacity) * ramp
            }
            _ => 1.0,
        }
    }

    /// Response time relative to the fleet's mean; decays towards 1, so that avoided servers are tried again.
    fn slowness(timing: FleetTiming, server: &Server) -> f64 {
        if server.slowness == 1.0 {
            // Skips the exponential: in a large fleet most servers never got an attempt from this gateway.
            return 1.0;
        }
        let age = (timing.now - server.slowness_at).max(0.0) / timing.mean_response_time.max(1.0);
        1.0 + (server.slowness - 1.0) * (-age / SLOWNESS_DECAY).exp()
    }

    /// Time since a server with attempts in flight last responded, in mean response times; 0 if it has none.
    fn silence(timing: FleetTiming, server: &Server) -> f64 {
        let Some(oldest) = server.in_flight.first() else { return 0.0 };
        (timing.now - oldest.max(server.last_response)) / timing.mean_response_time.max(1.0)
    }

    pub fn is_hung(&self, timing: FleetTiming, id: ServerId) -> bool {
        self.servers.get(&id).is_none_or(|server| Fleet::silence(timing, server) > HUNG_AFTER)
    }

    /// Also true after the ejection while an attempt is in flight: until one succeeds, the server gets one at
    /// a time.
    fn is_ejected(now: Millis, server: &Server) -> bool {
        now < server.ejected_until
            || (server.failures_in_row >= FAILURES_TO_EJECT && !server.in_flight.is_empty())
    }

    /// Chooses the server with the least expected wait, judged by this gateway's own attempts and responses.
    /// `earlier_server` is the server where an earlier attempt may have run; `tried` says whether a server
    /// had one.
    pub fn choose_server(
        &self,
        timing: FleetTiming,
        settings: &Settings,
        idempotency: Idempotency,
        earlier_server: Option<ServerEntry>,
        tried: impl Fn(ServerId) -> bool,
        rng: &mut Rand64,
    ) -> Option<ServerId> {
        // Avoids overloading a server in slow start: a random draw, with its share of the fleet's capacity as
        // the probability, decides whether it is preferred or left out. All gateways together then load it no
        // more for its capacity than a warm server. Drawback: it is underused where its current capacity is
        // underestimated.
        let (mut ready, mut fleet_capacity) = (0.0, 0.0);
        for server in self.servers.values().filter(|server| server.entry.lifecycle == Lifecycle::Ready) {
            ready += 1.0;
            fleet_capacity += Fleet::warm_up_share(settings, timing.now, server);
        }
        let fleet_capacity =
            f64::max(fleet_capacity, ready / (COLD_LOAD_SHARE * settings.overload_multiple).max(1.0));
        // `subset` and `servers` are both sorted by identifier.
        let mut subset = self.subset(settings, timing.now).into_iter().peekable();
        // Cheapest server that is neither ejected nor tried before, and cheapest of the others.
        let mut best: [Option<(f64, ServerId)>; 2] = [None, None];
        for (&id, server) in &self.servers {
            let in_subset = subset.next_if_eq(&id).is_some();
            let same_dedup_scope = match (idempotency, earlier_server) {
                (Idempotency::Keyed { scope: DedupScope::Zone, .. }, Some(earlier_server)) => {
                    earlier_server.zone == server.entry.zone
                }
                (Idempotency::Keyed { scope: DedupScope::Cell, .. }, Some(earlier_server)) => {
                    earlier_server.cell == server.entry.cell
                }
                _ => true,
            };
            if !same_dedup_scope || server.entry.lifecycle != Lifecycle::Ready {
                continue;
            }
            let warm_up_share = Fleet::warm_up_share(settings, timing.now, server);
            let cold_and_chosen = warm_up_share < 1.0 && rng.rand_float() < warm_up_share / fleet_capacity;
            if warm_up_share < 1.0 && !cold_and_chosen {
                continue;
            }
            let silence = Fleet::silence(timing, server);
            let ejected = Fleet::is_ejected(timing.now, server);
            let server_capacity = if server.entry.capacity > 0.0 { server.entry.capacity } else { 1.0 };
            let zone_cost = if server.entry.zone == settings.zone { 1.0 } else { OTHER_ZONE_COST };
            let slowness = Fleet::slowness(timing, server).max(silence / 2.0).max(MIN_SLOWNESS);
            let expected_wait =
                if cold_and_chosen { 0.0 } else { (server.in_flight.len() as f64 + 1.0) * slowness };
            let subset_cost = if in_subset { 1.0 } else { OUTSIDE_SUBSET_COST };
            let cost = expected_wait * zone_cost * subset_cost / server_capacity
                * (1.0 + COST_JITTER * rng.rand_float());
            let candidate = &mut best[usize::from(ejected || tried(id))];
            if candidate.is_none_or(|(least, _)| cost < least) {
                *candidate = Some((cost, id));
            }
        }
        best[0].or(best[1]).map(|(_, id)| id)
    }

    /// Updates a server's health after an attempt that took `elapsed`; `class_mean` is the mean of its class.
    pub fn record_outcome(
        &mut self,
        timing: FleetTiming,
        id: ServerId,
        outcome: Outcome,
        elapsed: Millis,
        class_mean: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.slowness = Fleet::slowness(timing, server);
        server.slowness_at = timing.now;
        let max_slowness = 2.0 * HUNG_AFTER;
        let sample = (elapsed / class_mean).min(max_slowness);
        match outcome {
            Outcome::Ok => {
                if server.failures_in_row >= FAILURES_TO_EJECT {
                    actions.push(Action::Log(format!("server {id} answers again")));
                }
                server.failures_in_row = 0;
                server.ejected_until = 0.0;
                server.last_response = timing.now;
                server.slowness += SAMPLE_WEIGHT * (sample - server.slowness);
            }
            Outcome::Cancelled => server.slowness += SAMPLE_WEIGHT * (sample - server.slowness),
            Outcome::NotSent => {}
            Outcome::InvalidRequest => server.last_response = timing.now,
            // Each failure counts as a very slow response, and several in a row eject the server. This is
            // wrong where the request itself causes the failure.
            _ => {
                server.failures_in_row += 1;
                server.slowness += SAMPLE_WEIGHT * (max_slowness - server.slowness);
                if matches!(outcome, Outcome::Overloaded | Outcome::Error) {
                    server.last_response = timing.now;
                }
            }
        }
        if server.failures_in_row >= FAILURES_TO_EJECT {
            if server.failures_in_row == FAILURES_TO_EJECT {
                actions
                    .push(Action::Log(format!("server {id} ejected: {FAILURES_TO_EJECT} failures in a row")));
            }
            let doublings = (server.failures_in_row - FAILURES_TO_EJECT).min(4);
            server.ejected_until = timing.now + HEDGE_AFTER * class_mean * f64::from(1u32 << doublings);
        }
    }
}
