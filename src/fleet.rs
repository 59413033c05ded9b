//! Which server an attempt goes to: what is known of the servers, their health, and the choice among them.

use crate::interface::*;
use oorandom::Rand64;
use std::collections::BTreeMap;

/// A server silent for so many mean answer times, with work of ours in hand, is taken to hang.
pub(crate) const HUNG_AFTER: f64 = 4.0;
/// An attempt out for so many mean answer times may get a further one.
pub(crate) const HEDGE_AFTER: f64 = 3.0;
/// Weight of a new answer in a server's pace: about the last 10 of them count.
const SAMPLE: f64 = 0.1;
/// Mean answer times after which what was learned of a server's pace has faded to a third.
const FADE: f64 = 20.0;
/// Failures in a row that eject a server.
const STRIKES: u32 = 3;
/// Part of the allowance for a cold server that is used: the rest covers unlike requests and gateways.
const COLD_MARGIN: f64 = 0.7;
/// Cost of a server in another zone, as a factor: breaks near ties only.
const FAR: f64 = 1.1;
/// Pace of a server below which being faster counts no more: a lucky run must not draw all the work.
const LEAST_PACE: f64 = 0.2;
/// Spread of the random part of a cost: enough to part equals, too little to overrule a difference.
const TIE: f64 = 0.1;
/// Gateways that keep to a server, on average: so many even out what each of them sends it.
const GATEWAYS_A_SERVER: f64 = 12.0;
/// Servers that a gateway keeps to at the least: with fewer, one that is slow or lost would be felt.
const LEAST_SUBSET: f64 = 8.0;
/// Cost of a server outside the own subset, as a factor: one more attempt in hand, and work goes there.
const OUTSIDE: f64 = 2.0;

#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    out: Vec<Millis>,
    slowness: f64,
    judged: Millis,
    answered: Millis,
    strikes: u32,
    ejected_until: Millis,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetClock {
    pub now: Millis,
    pub mean_response_time: Millis,
}

/// The servers that the list names, and those gone from it that still hold work of ours.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    /// The ready ones, in an order of this gateway's own: it keeps to the first that are fit.
    preference: Vec<ServerId>,
}

/// A number that looks drawn by lot and is always the same for the same pair: SplitMix64's finish.
fn scatter(gateway: u32, server: ServerId) -> u64 {
    let mut mixed = ((u64::from(gateway) << 32) | u64::from(server)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Fleet {
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn ready(&self) -> usize {
        self.preference.len()
    }

    pub fn entry(&self, id: ServerId) -> Option<ServerEntry> {
        self.servers.get(&id).map(|server| server.entry)
    }

    pub fn sent_after(&self, since: Millis) -> usize {
        let sent = |server: &Server| server.out.iter().filter(|at| **at > since).count();
        self.servers.values().map(sent).sum()
    }

    /// Follows the server list. A server that drains or is gone gets nothing from this moment on.
    pub fn apply_list(&mut self, gateway: u32, now: Millis, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind != ListKind::Delta {
            for server in self.servers.values_mut() {
                server.entry.lifecycle = Lifecycle::Gone;
            }
        }
        for entry in entries {
            let (out, strikes) = (Vec::new(), 0);
            let fresh =
                Server { entry, out, slowness: 1.0, judged: now, answered: now, strikes, ejected_until: 0.0 };
            let server = self.servers.entry(entry.id).or_insert(fresh);
            if entry.started_at.is_some() && entry.started_at != server.entry.started_at {
                server.strikes = 0;
                server.ejected_until = 0.0;
                server.slowness = 1.0;
            }
            server.entry = entry;
        }
        self.servers.retain(|_, server| server.entry.lifecycle != Lifecycle::Gone || !server.out.is_empty());
        let ready = self.servers.values().filter(|server| server.entry.lifecycle == Lifecycle::Ready);
        self.preference = ready.map(|server| server.entry.id).collect();
        self.preference.sort_by_cached_key(|id| scatter(gateway, *id));
    }

    /// The servers to keep to. Guards against every gateway holding connections to every server, each used
    /// so rarely that it costs a handshake and tells nothing: of many gateways each keeps to its own few.
    /// They come in the order of their numbers.
    fn subset(&self, settings: &Settings, now: Millis) -> Vec<ServerId> {
        let share = GATEWAYS_A_SERVER * self.preference.len() as f64 / f64::from(settings.gateways);
        let fit = |id: &&ServerId| {
            let server = self.servers.get(id);
            server.is_some_and(|s| !Fleet::is_ejected(now, s) && Fleet::warmth(settings, now, s) >= 1.0)
        };
        let count = share.max(LEAST_SUBSET).ceil() as usize;
        let mut subset: Vec<ServerId> = self.preference.iter().filter(fit).take(count).copied().collect();
        subset.sort_unstable();
        subset
    }

    pub fn attempt_started(&mut self, id: ServerId, now: Millis) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.out.push(now);
        }
    }

    pub fn attempt_ended(&mut self, id: ServerId, sent: Millis) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(place) = server.out.iter().position(|at| *at == sent) {
            server.out.remove(place);
        }
        if server.out.is_empty() && server.entry.lifecycle == Lifecycle::Gone {
            self.servers.remove(&id);
        }
    }

    fn warmth(settings: &Settings, now: Millis, server: &Server) -> f64 {
        match server.entry.started_at {
            Some(at) if settings.warm_up_time > 0.0 && now < at + settings.warm_up_time => {
                let ramp = ((now - at) / settings.warm_up_time).clamp(0.0, 1.0);
                settings.cold_capacity + (1.0 - settings.cold_capacity) * ramp
            }
            _ => 1.0,
        }
    }

    /// Time taken against the fleet's mean, to which it fades: a server passed over is tried again.
    fn slowness(moment: FleetClock, server: &Server) -> f64 {
        if server.slowness == 1.0 {
            // Most servers of a large fleet are never asked from here.
            return 1.0;
        }
        let age = (moment.now - server.judged).max(0.0) / moment.mean_response_time.max(1.0);
        1.0 + (server.slowness - 1.0) * (-age / FADE).exp()
    }

    /// Mean answer times for which a server that holds work of ours has said nothing.
    fn silence(moment: FleetClock, server: &Server) -> f64 {
        let Some(oldest) = server.out.first() else { return 0.0 };
        (moment.now - oldest.max(server.answered)) / moment.mean_response_time.max(1.0)
    }

    pub fn is_hung(&self, moment: FleetClock, id: ServerId) -> bool {
        self.servers.get(&id).is_none_or(|server| Fleet::silence(moment, server) > HUNG_AFTER)
    }

    fn is_ejected(now: Millis, server: &Server) -> bool {
        now < server.ejected_until || (server.strikes >= STRIKES && !server.out.is_empty())
    }

    /// Picks the server with the least expected wait, as far as own work and answers tell. `home` is where an
    /// earlier attempt may have run, `tried` tells which servers had one.
    pub fn choose_server(
        &self,
        moment: FleetClock,
        settings: &Settings,
        idempotency: Idempotency,
        home: Option<ServerEntry>,
        tried: impl Fn(ServerId) -> bool,
        rng: &mut Rand64,
    ) -> Option<ServerId> {
        // Guards against tipping a cold server over: it is drawn by lot for its part of the fleet, so that
        // all gateways send it no more for its capacity than a warm one. Hurts where warmth is understated.
        let (mut ready, mut capacity) = (0.0, 0.0);
        for server in self.servers.values().filter(|server| server.entry.lifecycle == Lifecycle::Ready) {
            ready += 1.0;
            capacity += Fleet::warmth(settings, moment.now, server);
        }
        let capacity = f64::max(capacity, ready / (COLD_MARGIN * settings.overload_multiple).max(1.0));
        // Both are in the order of the servers' numbers.
        let mut subset = self.subset(settings, moment.now).into_iter().peekable();
        let mut best: [Option<(f64, ServerId)>; 2] = [None, None];
        for (&id, server) in &self.servers {
            let in_subset = subset.next_if_eq(&id).is_some();
            let same_group = match (idempotency, home) {
                (Idempotency::Keyed { scope: DedupScope::Zone, .. }, Some(home)) => {
                    home.zone == server.entry.zone
                }
                (Idempotency::Keyed { scope: DedupScope::Cell, .. }, Some(home)) => {
                    home.cell == server.entry.cell
                }
                _ => true,
            };
            if !same_group || server.entry.lifecycle != Lifecycle::Ready {
                continue;
            }
            let warmth = Fleet::warmth(settings, moment.now, server);
            let drawn = warmth < 1.0 && rng.rand_float() < warmth / capacity;
            if warmth < 1.0 && !drawn {
                continue;
            }
            let silence = Fleet::silence(moment, server);
            let ejected = Fleet::is_ejected(moment.now, server);
            let size = if server.entry.capacity > 0.0 { server.entry.capacity } else { 1.0 };
            let far = if server.entry.zone == settings.zone { 1.0 } else { FAR };
            let pace = Fleet::slowness(moment, server).max(silence / 2.0).max(LEAST_PACE);
            let wait = if drawn { 0.0 } else { (server.out.len() as f64 + 1.0) * pace };
            let outside = if in_subset { 1.0 } else { OUTSIDE };
            let cost = wait * far * outside / size * (1.0 + TIE * rng.rand_float());
            let rank = &mut best[usize::from(ejected || tried(id))];
            if rank.is_none_or(|(least, _)| cost < least) {
                *rank = Some((cost, id));
            }
        }
        best[0].or(best[1]).map(|(_, id)| id)
    }

    /// Learns from the end of an attempt that took `elapsed`, where answers of its class take `usual`.
    pub fn record_outcome(
        &mut self,
        moment: FleetClock,
        id: ServerId,
        outcome: Outcome,
        elapsed: Millis,
        usual: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.slowness = Fleet::slowness(moment, server);
        server.judged = moment.now;
        let worst = 2.0 * HUNG_AFTER;
        let pace = (elapsed / usual).min(worst);
        match outcome {
            Outcome::Ok => {
                if server.strikes >= STRIKES {
                    actions.push(Action::Log(format!("server {id} answers again")));
                }
                server.strikes = 0;
                server.ejected_until = 0.0;
                server.answered = moment.now;
                server.slowness += SAMPLE * (pace - server.slowness);
            }
            Outcome::Cancelled => server.slowness += SAMPLE * (pace - server.slowness),
            Outcome::NotSent => {}
            Outcome::InvalidRequest => server.answered = moment.now,
            // Each failure weighs as a very slow answer, and some in a row eject the server. Hurts if the
            // fault is the request's.
            _ => {
                server.strikes += 1;
                server.slowness += SAMPLE * (worst - server.slowness);
                if matches!(outcome, Outcome::Overloaded | Outcome::Error) {
                    server.answered = moment.now;
                }
            }
        }
        if server.strikes >= STRIKES {
            if server.strikes == STRIKES {
                actions.push(Action::Log(format!("server {id} ejected: {STRIKES} failures in a row")));
            }
            let doublings = (server.strikes - STRIKES).min(4);
            server.ejected_until = moment.now + HEDGE_AFTER * usual * f64::from(1u32 << doublings);
        }
    }
}
