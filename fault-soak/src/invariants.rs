//! The oracle: the rules of the service, checked on the records of a run after it is over.

use crate::event_log::{
    AttemptRecord, ColdStart, ConnectionUse, Incarnation, Millis, Outcome, Records, RequestId, RequestRecord,
    Semantics,
};
use crate::site::{Plan, Site, CEILING_DEPTH, CEILING_RATE, CEILING_TOLERANCE, PLANS};
use std::collections::HashMap;
use std::fmt;

/// What the stand-ins may be late by, beyond what the rules allow and twice what the rig's own timer was late.
const RIG_SLACK: Millis = 60.0;
/// The rules' own slack on every limit on sockets.
const SOCKET_SLACK: Millis = 50.0;
/// An attempt may begin so long after its client left.
const LEAVE_GRACE: Millis = 100.0;
/// How much more than what the client has left a server may be told.
const DEADLINE_SLACK: Millis = 150.0;
/// An answer may come so long after its time.
const ANSWER_GRACE: Millis = 500.0;
/// A window of repeats is exceeded by a process that is held up for so long.
const HOLD_SLACK: Millis = 150.0;
/// An end of a used connection that crosses a request comes within this.
const CROSSING: Millis = 60.0;
/// A bad client is owed an error or a close within this.
const BAD_CLIENT_ENDS: Millis = 3000.0;
/// A gateway is ready within this.
const READY_WITHIN: Millis = 10_000.0;
/// What SIGKILL finds unanswered is lost if it came later than this after SIGTERM.
const BEFORE_KILL: Millis = 700.0;

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that was taken gets its final answer in time.
    Lost,
    /// No request takes effect more often than its class allows.
    Duplicate,
    /// No answer but what a server made for the request is passed on as served.
    Foreign,
    /// A refused request has no effect.
    Refused,
    /// Nothing new goes to a server that drains or is gone.
    Drain,
    /// No attempt begins once its client has left.
    Leave,
    /// No server is told more time than the client has left.
    Deadline,
    /// A cold server is not tipped over.
    SlowStart,
    /// A ceiling holds over all gateways.
    Ceiling,
    /// A quota holds over all gateways, as far as the meter can have told.
    Quota,
    /// A gateway does not crash, and is ready in time.
    Process,
    /// Bad clients get an error or a close in time.
    BadClient,
    /// A gateway has seen a rule broken, or has panicked.
    Reported,
    /// What is sent to servers carries its request's id, and its key where the class wants one.
    Malformed,
}

/// A rule that was broken.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// The request, if it is about one.
    pub request: Option<RequestId>,
    /// When.
    pub at: Millis,
    /// The records that show it.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at, self.text)
    }
}

/// Checks all rules.
pub fn check(site: &Site, records: &Records) -> Vec<Violation> {
    let mut attempts: HashMap<RequestId, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &records.attempts {
        if let Some(request) = attempt.request {
            attempts.entry(request).or_default().push(attempt);
        }
    }
    let slack = RIG_SLACK + 2.0 * records.rig_timer_delay;
    let oracle = Oracle { site, slack, records, attempts };
    let mut found = Vec::new();
    for request in records.requests.values() {
        oracle.answered(request, &mut found);
        oracle.no_duplicate(request, &mut found);
        oracle.no_send_after_leave(request, &mut found);
        oracle.no_longer_deadline(request, &mut found);
    }
    oracle.well_formed(&mut found);
    oracle.no_send_to_drained(&mut found);
    oracle.slow_start(&mut found);
    oracle.ceilings(&mut found);
    oracle.quotas(&mut found);
    oracle.processes(&mut found);
    oracle.bad_clients(&mut found);
    found.sort_by(|one, other| one.at.total_cmp(&other.at));
    found
}

struct Oracle<'a> {
    site: &'a Site,
    /// What the stand-ins may be late by.
    slack: Millis,
    records: &'a Records,
    attempts: HashMap<RequestId, Vec<&'a AttemptRecord>>,
}

fn violation(rule: Rule, request: Option<RequestId>, at: Millis, text: String) -> Violation {
    Violation { rule, request, at, text }
}

impl Oracle<'_> {
    fn attempts(&self, request: RequestId) -> &[&AttemptRecord] {
        self.attempts.get(&request).map_or(&[], Vec::as_slice)
    }

    fn incarnation(&self, gateway: usize, incarnation: usize) -> Option<&Incarnation> {
        self.records.incarnations.get(gateway)?.get(incarnation)
    }

    /// Whether a kill, before the request ended like that, frees the gateway of the answer.
    fn freed_by_kill(&self, request: &RequestRecord, ended_at: Millis) -> bool {
        let Some(incarnation) = self.incarnation(request.gateway, request.incarnation) else { return true };
        let Some(killed) = incarnation.kill_sent_at.filter(|killed| *killed <= ended_at) else {
            return false;
        };
        incarnation
            .term_sent_at
            .is_none_or(|terminated| terminated > killed || request.sent_at < terminated + BEFORE_KILL)
    }

    fn answered(&self, request: &RequestRecord, found: &mut Vec<Violation>) {
        if request.left_at.is_some() {
            return;
        }
        let attempts = self.attempts(request.id);
        let mut broken = |rule, at, why: &str| {
            let text = format!("{why}; {request:?}; attempts {attempts:?}");
            found.push(violation(rule, Some(request.id), at, text));
        };
        match &request.outcome {
            None => {}
            Some((Outcome::Response { status, body_matches }, at)) => {
                // Answers come in order: one that was pipelined can come no sooner than the one before it.
                if *at > request.expires_at().max(request.previous_response_at) + ANSWER_GRACE + self.slack {
                    broken(Rule::Lost, *at, "answered too late");
                }
                if *status == 200 && !body_matches {
                    broken(Rule::Foreign, *at, "served what no server made for it");
                }
                let refused = matches!(status, 429 | 503) && !request.sent_twice;
                if refused && attempts.iter().any(|attempt| attempt.ran) {
                    broken(Rule::Refused, *at, "refused, and it ran");
                }
            }
            Some((_, at)) if self.freed_by_kill(request, *at) => {}
            Some((Outcome::NoResponse, at)) => broken(Rule::Lost, *at, "never answered"),
            Some((Outcome::Closed { reset }, at)) => {
                let crossing = request.connection_use != ConnectionUse::New
                    && attempts.is_empty()
                    && (*reset || *at <= request.sent_at + CROSSING + self.slack);
                if !crossing {
                    broken(Rule::Lost, *at, "closed without an answer");
                }
            }
        }
    }

    fn no_duplicate(&self, request: &RequestRecord, found: &mut Vec<Violation>) {
        let attempts = self.attempts(request.id);
        let ran: Vec<&&AttemptRecord> = attempts.iter().filter(|attempt| attempt.ran).collect();
        let (Some(first), Some(last)) = (ran.first(), ran.last()) else { return };
        let wrong = match request.semantics {
            Semantics::Idempotent => false,
            Semantics::AtMostOnce => ran.len() > 1 && !request.sent_twice,
            Semantics::Keyed => {
                last.first_byte_at > first.first_byte_at + self.site.dedup_window + HOLD_SLACK + SOCKET_SLACK
            }
        };
        if wrong {
            let text = format!("{:?} ran {} times: {ran:?}", request.semantics, ran.len());
            found.push(violation(Rule::Duplicate, Some(request.id), last.first_byte_at, text));
        }
    }

    fn no_send_after_leave(&self, request: &RequestRecord, found: &mut Vec<Violation>) {
        let Some(left_at) = request.left_at else { return };
        for attempt in self.attempts(request.id) {
            let late = attempt.first_byte_at - left_at;
            if late > LEAVE_GRACE + self.slack {
                let text = format!("begun {late:.0} ms after its client left; {request:?}; {attempt:?}");
                found.push(violation(Rule::Leave, Some(request.id), attempt.first_byte_at, text));
            }
        }
    }

    fn no_longer_deadline(&self, request: &RequestRecord, found: &mut Vec<Violation>) {
        for attempt in self.attempts(request.id) {
            let left = request.expires_at() - attempt.first_byte_at;
            let Some(deadline) = attempt.deadline else { continue };
            if deadline > left + DEADLINE_SLACK + self.slack {
                let text = format!(
                    "deadline of {deadline:.0} ms sent with {left:.0} ms left; {request:?}; {attempt:?}"
                );
                found.push(violation(Rule::Deadline, Some(request.id), attempt.first_byte_at, text));
            }
        }
    }

    fn well_formed(&self, found: &mut Vec<Violation>) {
        for attempt in self.records.attempts.iter().filter(|attempt| attempt.received_at.is_some()) {
            let request = attempt.request.and_then(|id| self.records.requests.get(&id));
            let wrong = match request {
                None => Some("it carries no request's id"),
                Some(request) if request.semantics == Semantics::Keyed && !attempt.keyed => {
                    Some("it lost its key")
                }
                Some(_) => None,
            };
            if let Some(wrong) = wrong {
                let text = format!("{wrong}; {attempt:?}");
                found.push(violation(Rule::Malformed, attempt.request, attempt.first_byte_at, text));
            }
        }
    }

    fn no_send_to_drained(&self, found: &mut Vec<Violation>) {
        let notified: HashMap<(usize, &str), Millis> = self
            .records
            .removal_notices
            .iter()
            .map(|notice| ((notice.gateway, notice.server.as_str()), notice.notified_at))
            .collect();
        for attempt in &self.records.attempts {
            let Some(request) = attempt.request.and_then(|id| self.records.requests.get(&id)) else {
                continue;
            };
            let Some(notified_at) = notified.get(&(request.gateway, attempt.server.as_str())) else {
                continue;
            };
            let late = attempt.first_byte_at - notified_at;
            if late > self.site.drain_grace + SOCKET_SLACK + self.slack {
                let text =
                    format!("sent {late:.0} ms after the gateway was notified; {request:?}; {attempt:?}");
                found.push(violation(Rule::Drain, Some(request.id), attempt.first_byte_at, text));
            }
        }
    }

    /// Whether the gateway that made an attempt had been told of a server's start by then.
    fn was_notified_of_start(&self, attempt: &AttemptRecord, start: &ColdStart) -> bool {
        let request = attempt.request.and_then(|id| self.records.requests.get(&id));
        let notified = |gateway: usize| {
            self.records.start_notices.iter().any(|notice| {
                let same = notice.gateway == gateway && notice.server == start.server;
                same && notice.notified_at >= start.at && notice.notified_at <= attempt.first_byte_at
            })
        };
        request.is_some_and(|request| notified(request.gateway))
    }

    /// The rule is broken at a fall of which over two thirds came from gateways that had been told of the start.
    fn slow_start(&self, found: &mut Vec<Violation>) {
        for start in &self.records.cold_starts {
            let site = self.site;
            let mut sends: Vec<(Millis, bool)> = self
                .records
                .attempts
                .iter()
                .filter(|attempt| attempt.server == start.server)
                .filter_map(|attempt| {
                    Some((attempt.received_at?, self.was_notified_of_start(attempt, start)))
                })
                .filter(|(at, _)| *at > start.at && *at < start.at + site.cold_for)
                .collect();
            sends.sort_by(|one, other| one.0.total_cmp(&other.0));
            for (last, (at, _)) in sends.iter().enumerate() {
                let warmth = site.cold_from + (1.0 - site.cold_from) * (at - start.at) / site.cold_for;
                let allowed =
                    site.overload_multiple * warmth * start.capacity * site.overload_window / 1000.0;
                let factor = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
                let bound = allowed + factor.0 * allowed.sqrt() + factor.1;
                let window = sends[..=last].iter().filter(|(other, _)| *other > at - site.overload_window);
                let (got, notified) = window.fold((0, 0), |(got, notified), (_, was_notified)| {
                    (got + 1, notified + u32::from(*was_notified))
                });
                if f64::from(got) > bound && 3 * notified > 2 * got {
                    let span = site.overload_window;
                    let text =
                        format!("{got} requests ({notified} from notified gateways), at most {bound:.1} allowed in {span:.0} ms; {start:?}");
                    found.push(violation(Rule::SlowStart, None, *at, text));
                    break;
                }
            }
        }
    }

    fn ceilings(&self, found: &mut Vec<Violation>) {
        let mut tries: HashMap<u64, Vec<Millis>> = HashMap::new();
        for request in self.records.requests.values().filter(|request| PLANS[request.plan] == Plan::Ceiling) {
            let first = self.attempts(request.id).iter().filter_map(|attempt| attempt.received_at);
            if let Some(at) = first.reduce(f64::min) {
                tries.entry(request.customer).or_default().push(at);
            }
        }
        let slack = CEILING_TOLERANCE + CEILING_RATE * HOLD_SLACK / 1000.0;
        for (customer, mut times) in tries {
            times.sort_by(f64::total_cmp);
            let (mut store, mut last) = (CEILING_DEPTH, 0.0);
            for at in times {
                store = (store + (at - last) / 1000.0 * CEILING_RATE).min(CEILING_DEPTH) - 1.0;
                last = at;
                if store < -slack {
                    let text = format!("customer {customer:x} is {:.1} below nothing", -store);
                    found.push(violation(Rule::Ceiling, None, at, text));
                    break;
                }
            }
        }
    }

    /// A window of any length holds the burst and the rate, with a tenth more, as the price of sends beyond quotas may
    /// be 0.1, and three deviations of chance. A gateway knows nothing of what others send until it is told of a
    /// period that lies within its life: the period that runs as it starts, the next whole one, the meter's delay, and
    /// the way to an answer for this customer. Until then it has its part of a store of its own, as all others have.
    fn quotas(&self, found: &mut Vec<Violation>) {
        let Some(meter) = self.site.meter else { return };
        let between_answers = 1000.0 * self.site.gateways as f64 / self.site.offered_per_quota_customer();
        let learned_after = 2.0 * meter.period + meter.delay + 2.0 * between_answers + self.slack;
        let mut sends: HashMap<u64, Vec<Millis>> = HashMap::new();
        for request in self.records.requests.values().filter(|request| PLANS[request.plan] == Plan::Quota) {
            let whole = self.attempts(request.id).iter().filter_map(|attempt| attempt.received_at);
            if let Some(at) = whole.reduce(f64::min) {
                sends.entry(request.customer).or_default().push(at);
            }
        }
        for (customer, mut sends) in sends {
            sends.sort_by(f64::total_cmp);
            if let Some((from, to, sent, allowed)) = self.beyond_quota(&sends, learned_after) {
                let text = format!("customer {customer:x}: {sent} of {allowed:.1} from {from:.0} ms on");
                found.push(violation(Rule::Quota, None, to, text));
            }
        }
    }

    /// The first window of sends that holds more than it may: where it begins and ends, what it holds and what it may
    /// hold.
    fn beyond_quota(&self, sends: &[Millis], learned_after: Millis) -> Option<(Millis, Millis, usize, f64)> {
        let quota = self.site.quota;
        let part = (quota.burst + quota.rate * learned_after / 1000.0) / self.site.gateways as f64;
        let starts: Vec<Millis> = self
            .records
            .incarnations
            .iter()
            .flatten()
            .filter_map(|incarnation| incarnation.ready_at)
            .collect();
        for (first, from) in sends.iter().enumerate() {
            for (last, to) in sends.iter().enumerate().skip(first) {
                let sent = last - first + 1;
                let unknowing = starts.iter().filter(|start| **start > from - learned_after && **start < *to);
                let expected =
                    quota.burst + 1.1 * quota.rate * (to - from) / 1000.0 + part * unknowing.count() as f64;
                let allowed = expected + 3.0 * expected.sqrt();
                if sent as f64 > allowed {
                    return Some((*from, *to, sent, allowed));
                }
            }
        }
        None
    }

    fn processes(&self, found: &mut Vec<Violation>) {
        for (gateway, incarnations) in self.records.incarnations.iter().enumerate() {
            for (number, incarnation) in incarnations.iter().enumerate() {
                let mut broken = |at, why: String| {
                    let text = format!("gateway {gateway}, incarnation {number}: {why}; {incarnation:?}");
                    found.push(violation(Rule::Process, None, at, text));
                };
                match (incarnation.exited, incarnation.kill_sent_at, incarnation.term_sent_at) {
                    (Some((at, _)), None, None) => broken(at, "it ended by itself".into()),
                    (Some((at, false)), None, Some(_)) => broken(at, "it ended with an error".into()),
                    (Some((at, _)), Some(killed), Some(terminated))
                        if incarnation.log_unread && killed > terminated =>
                    {
                        broken(at, "nobody read its log, and it did not end".into());
                    }
                    _ => {}
                }
                let until = incarnation.ready_at.or(incarnation.exited.map(|(at, _)| at));
                if until.is_some_and(|at| at - incarnation.started_at > READY_WITHIN) {
                    broken(incarnation.started_at, "it was not ready in time".into());
                }
            }
        }
    }

    fn bad_clients(&self, found: &mut Vec<Violation>) {
        for client in &self.records.bad_clients {
            let incarnation = self.incarnation(client.gateway, client.incarnation);
            let over = incarnation
                .and_then(|incarnation| incarnation.kill_sent_at.or(incarnation.exited.map(|(at, _)| at)));
            let late = match (client.ended_at, over) {
                (Some(at), _) => at - client.connected_at > BAD_CLIENT_ENDS + self.slack,
                (None, Some(_)) => false,
                (None, None) => true,
            };
            if late {
                found.push(violation(Rule::BadClient, None, client.connected_at, format!("{client:?}")));
            }
        }
    }
}
