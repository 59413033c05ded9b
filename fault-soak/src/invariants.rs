//! The test oracle: checks the rules of the service on the records of a finished run.

use crate::event_log::{
    AttemptRecord, ColdStart, ConnectionUse, Incarnation, Millis, Outcome, Records, RemovalNotice, RequestId,
    RequestRecord, Semantics,
};
use crate::site::{Plan, Site, CEILING_DEPTH, CEILING_RATE, CEILING_TOLERANCE, PLANS};
use std::collections::HashMap;
use std::fmt;

/// How late a stand-in may record an event. It is added to what the rules allow, together with twice the longest delay
/// of the rig's own timer.
const RIG_SLACK: Millis = 60.0;
/// The rules allow this much more on every time limit that is measured on a socket.
const SOCKET_SLACK: Millis = 50.0;
/// An attempt may begin up to this long after its client left.
const LEAVE_GRACE: Millis = 100.0;
/// A deadline sent to a server may exceed the time that the client has left by up to this.
const DEADLINE_SLACK: Millis = 150.0;
/// A response may come up to this long after the client's time-out.
const RESPONSE_GRACE: Millis = 500.0;
/// A gateway process that is paused may exceed a deduplication window by up to this.
const PAUSE_SLACK: Millis = 150.0;
/// A gateway may close an idle connection while the client's next request is on its way. The client sees an orderly
/// close of this kind within this time after the request; a reset counts at any time.
const CROSSING_CLOSE: Millis = 60.0;
/// A bad client must get an error or a close within this.
const BAD_CLIENT_TIMEOUT: Millis = 3000.0;
/// A gateway must be ready within this after its start.
const READY_WITHIN: Millis = 10_000.0;
/// A request that is still open at SIGKILL is excused if it was sent sooner than this after SIGTERM; a later one is lost.
const EXCUSED_BEFORE_KILL: Millis = 700.0;

/// A rule of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted request gets its final response in time.
    Lost,
    /// No request takes effect more often than its class allows.
    Duplicate,
    /// A 200 carries only a response that a server made for this request.
    Foreign,
    /// A request that is answered with 429 or 503 has not been run by a server.
    Refused,
    /// No attempt goes to a server that drains or is gone.
    Drain,
    /// No attempt begins after its client has left.
    Leave,
    /// No deadline sent to a server exceeds the time that the client has left.
    Deadline,
    /// A server in its slow start is not overloaded.
    SlowStart,
    /// A customer's ceiling holds over all gateways together.
    Ceiling,
    /// A customer's quota holds over all gateways together, as far as the meter can have reported its use to them.
    Quota,
    /// A gateway does not crash, is ready in time, and exits after SIGTERM even if its log is not read.
    Process,
    /// Bad clients get an error or a close in time.
    BadClient,
    /// A gateway has logged a violation of its own checks or a panic.
    Reported,
    /// An attempt carries the id of its request, and the idempotency key if the class needs one.
    Malformed,
}

/// A violation of a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The request, if the violation concerns a single one.
    pub request: Option<RequestId>,
    /// When it happened; 0 if it was found in a gateway's log.
    pub at: Millis,
    /// What is wrong, with the records that show it.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at, self.text)
    }
}

/// Checks all rules and returns the violations in order of time.
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
        oracle.check_outcome(request, &mut found);
        oracle.check_duplicates(request, &mut found);
        oracle.check_sends_after_leave(request, &mut found);
        oracle.check_deadlines(request, &mut found);
    }
    oracle.check_attempts_well_formed(&mut found);
    oracle.check_sends_to_drained(&mut found);
    oracle.check_slow_start(&mut found);
    oracle.check_ceilings(&mut found);
    oracle.check_quotas(&mut found);
    oracle.check_processes(&mut found);
    oracle.check_bad_clients(&mut found);
    found.sort_by(|one, other| one.at.total_cmp(&other.at));
    found
}

struct Oracle<'a> {
    site: &'a Site,
    /// How late a stand-in may record an event, with the delay of the rig's timer in this run.
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

    /// Whether a SIGKILL of the gateway excuses that the request ended without a response.
    fn excused_by_kill(&self, request: &RequestRecord, ended_at: Millis) -> bool {
        let Some(incarnation) = self.incarnation(request.gateway, request.incarnation) else { return true };
        let Some(killed) = incarnation.kill_sent_at.filter(|killed| *killed <= ended_at) else {
            return false;
        };
        incarnation.term_sent_at.is_none_or(|terminated| {
            terminated > killed || request.sent_at < terminated + EXCUSED_BEFORE_KILL
        })
    }

    fn check_outcome(&self, request: &RequestRecord, found: &mut Vec<Violation>) {
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
                // Responses come in order: that to a pipelined request cannot come before the previous one.
                if *at > request.expires_at().max(request.previous_response_at) + RESPONSE_GRACE + self.slack
                {
                    broken(Rule::Lost, *at, "response too late");
                }
                if *status == 200 && !body_matches {
                    let before = self.surplus_before(attempts, *at);
                    let why =
                        format!("the 200 carries a body that no server made for this request ({before})");
                    broken(Rule::Foreign, *at, &why);
                }
                let refused = matches!(status, 429 | 503) && !request.sent_twice;
                if refused && attempts.iter().any(|attempt| attempt.ran) {
                    broken(Rule::Refused, *at, "refused, but a server ran it");
                }
            }
            Some((_, at)) if self.excused_by_kill(request, *at) => {}
            Some((Outcome::NoResponse, at)) => broken(Rule::Lost, *at, "no response"),
            Some((Outcome::Closed { reset }, at)) => {
                // The attempts of a request that was sent twice are those of its copy if this connection was closed before.
                let unread = attempts.is_empty() || (request.sent_twice && request.closed_before_sent);
                let crossing = request.connection_use != ConnectionUse::New
                    && unread
                    && (*reset || *at <= request.sent_at + CROSSING_CLOSE + self.slack);
                if !crossing {
                    broken(Rule::Lost, *at, "connection closed without a response");
                }
            }
        }
    }

    /// Describes the latest bytes before that time that belong to no request and were written on the connections of these
    /// attempts.
    fn surplus_before(&self, attempts: &[&AttemptRecord], before: Millis) -> String {
        let on_same_connection =
            |other: &&AttemptRecord| attempts.iter().any(|attempt| attempt.connection == other.connection);
        let earlier = self.records.attempts.iter().filter(on_same_connection);
        let surplus = earlier.filter_map(|attempt| Some((attempt, attempt.surplus_written_at?)));
        match surplus.rev().find(|(_, written_at)| *written_at <= before) {
            Some((attempt, written_at)) => {
                format!(
                    "surplus bytes were written on its connection at {written_at:.1} ms, after {attempt:?}"
                )
            }
            None => "no surplus bytes were written on its connection".to_string(),
        }
    }

    fn check_duplicates(&self, request: &RequestRecord, found: &mut Vec<Violation>) {
        let attempts = self.attempts(request.id);
        let ran: Vec<&&AttemptRecord> = attempts.iter().filter(|attempt| attempt.ran).collect();
        let (Some(first), Some(last)) = (ran.first(), ran.last()) else { return };
        let wrong = match request.semantics {
            Semantics::Idempotent => false,
            Semantics::AtMostOnce => ran.len() > 1 && !request.sent_twice,
            Semantics::Keyed => {
                last.first_byte_at > first.first_byte_at + self.site.dedup_window + PAUSE_SLACK + SOCKET_SLACK
            }
        };
        if wrong {
            let text = format!("{:?} request ran {} times: {ran:?}", request.semantics, ran.len());
            found.push(violation(Rule::Duplicate, Some(request.id), last.first_byte_at, text));
        }
    }

    fn check_sends_after_leave(&self, request: &RequestRecord, found: &mut Vec<Violation>) {
        let Some(left_at) = request.left_at else { return };
        for attempt in self.attempts(request.id) {
            let late = attempt.first_byte_at - left_at;
            if late > LEAVE_GRACE + self.slack {
                let text =
                    format!("attempt began {late:.0} ms after its client left; {request:?}; {attempt:?}");
                found.push(violation(Rule::Leave, Some(request.id), attempt.first_byte_at, text));
            }
        }
    }

    fn check_deadlines(&self, request: &RequestRecord, found: &mut Vec<Violation>) {
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

    fn check_attempts_well_formed(&self, found: &mut Vec<Violation>) {
        for attempt in self.records.attempts.iter().filter(|attempt| attempt.received_at.is_some()) {
            let request = attempt.request.and_then(|id| self.records.requests.get(&id));
            let wrong = match request {
                None => Some("no id of a known request"),
                Some(request) if request.semantics == Semantics::Keyed && !attempt.keyed => {
                    Some("no idempotency key")
                }
                Some(_) => None,
            };
            if let Some(wrong) = wrong {
                let text = format!("{wrong}; {attempt:?}");
                found.push(violation(Rule::Malformed, attempt.request, attempt.first_byte_at, text));
            }
        }
    }

    /// From when on the process that a request was sent to counts as notified of a removal. What its configuration lacks is
    /// what its agent tells it, from the start of the process on.
    fn notified_at(&self, request: &RequestRecord, notice: &RemovalNotice) -> Millis {
        match self.incarnation(request.gateway, request.incarnation) {
            Some(incarnation) if incarnation.list_revision < notice.revision => {
                notice.notified_at.max(incarnation.started_at)
            }
            _ => notice.notified_at,
        }
    }

    fn check_sends_to_drained(&self, found: &mut Vec<Violation>) {
        let notices: HashMap<(usize, &str), &RemovalNotice> = self
            .records
            .removal_notices
            .iter()
            .map(|notice| ((notice.gateway, notice.server.as_str()), notice))
            .collect();
        for attempt in &self.records.attempts {
            let Some(request) = attempt.request.and_then(|id| self.records.requests.get(&id)) else {
                continue;
            };
            let Some(notice) = notices.get(&(request.gateway, attempt.server.as_str())) else {
                continue;
            };
            let late = attempt.first_byte_at - self.notified_at(request, notice);
            if late > self.site.drain_grace + SOCKET_SLACK + self.slack {
                let text =
                    format!("sent {late:.0} ms after the gateway was notified; {request:?}; {attempt:?}");
                found.push(violation(Rule::Drain, Some(request.id), attempt.first_byte_at, text));
            }
        }
    }

    /// Whether the gateway that made an attempt had been notified of the server's start when the attempt began.
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

    /// A server that starts cold must not receive more requests within the overload window than it can handle. The rule is
    /// broken only if over two thirds of these requests came from gateways that had been notified of the start.
    fn check_slow_start(&self, found: &mut Vec<Violation>) {
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
                let (deviations, extra) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
                let bound = allowed + deviations * allowed.sqrt() + extra;
                let window = sends[..=last].iter().filter(|(other, _)| *other > at - site.overload_window);
                let (received, notified) = window.fold((0, 0), |(received, notified), (_, was_notified)| {
                    (received + 1, notified + u32::from(*was_notified))
                });
                if f64::from(received) > bound && 3 * notified > 2 * received {
                    let span = site.overload_window;
                    let text =
                        format!(
                            "{received} requests ({notified} from notified gateways) in {span:.0} ms, at most {bound:.1} \
                             allowed; {start:?}"
                        );
                    found.push(violation(Rule::SlowStart, None, *at, text));
                    break;
                }
            }
        }
    }

    fn check_ceilings(&self, found: &mut Vec<Violation>) {
        let mut sends: HashMap<u64, Vec<Millis>> = HashMap::new();
        for request in self.records.requests.values().filter(|request| PLANS[request.plan] == Plan::Ceiling) {
            let first = self.attempts(request.id).iter().filter_map(|attempt| attempt.received_at);
            if let Some(at) = first.reduce(f64::min) {
                sends.entry(request.customer).or_default().push(at);
            }
        }
        let slack = CEILING_TOLERANCE + CEILING_RATE * PAUSE_SLACK / 1000.0;
        for (customer, mut times) in sends {
            times.sort_by(f64::total_cmp);
            let (mut tokens, mut last) = (CEILING_DEPTH, 0.0);
            for at in times {
                tokens = (tokens + (at - last) / 1000.0 * CEILING_RATE).min(CEILING_DEPTH) - 1.0;
                last = at;
                if tokens < -slack {
                    let text = format!("customer {customer:x} is {:.1} units below an empty bucket", -tokens);
                    found.push(violation(Rule::Ceiling, None, at, text));
                    break;
                }
            }
        }
    }

    /// The sends of a customer in a window of any length must not exceed the burst plus the rate times its length, with:
    ///
    /// - 10 % more on the rate, as the price of sends beyond quotas may be 0.1;
    /// - three standard deviations of chance;
    /// - for each gateway that has just started, its equal share of the burst and of the rate until the meter first
    ///   reports to it a period that lies within its run time. Before that it cannot know what other gateways send. The
    ///   report takes the period that runs as the gateway starts, the next whole period, the meter's delay, and the
    ///   time until a response to this customer brings it.
    fn check_quotas(&self, found: &mut Vec<Violation>) {
        let Some(meter) = self.site.meter else { return };
        let response_interval = 1000.0 * self.site.gateways as f64 / self.site.offered_per_quota_customer();
        let reported_after = 2.0 * meter.period + meter.delay + 2.0 * response_interval + self.slack;
        let mut sends: HashMap<u64, Vec<Millis>> = HashMap::new();
        for request in self.records.requests.values().filter(|request| PLANS[request.plan] == Plan::Quota) {
            let received = self.attempts(request.id).iter().filter_map(|attempt| attempt.received_at);
            if let Some(at) = received.reduce(f64::min) {
                sends.entry(request.customer).or_default().push(at);
            }
        }
        for (customer, mut sends) in sends {
            sends.sort_by(f64::total_cmp);
            if let Some((from, to, sent, allowed)) = self.first_excess_over_quota(&sends, reported_after) {
                let text = format!(
                    "customer {customer:x}: {sent} sends from {from:.0} to {to:.0} ms, at most {allowed:.1} allowed"
                );
                found.push(violation(Rule::Quota, None, to, text));
            }
        }
    }

    /// The first window in which more was sent than allowed: its start, its end, the sends in it and the allowed number.
    fn first_excess_over_quota(
        &self,
        sends: &[Millis],
        reported_after: Millis,
    ) -> Option<(Millis, Millis, usize, f64)> {
        let quota = self.site.quota;
        let share = (quota.burst + quota.rate * reported_after / 1000.0) / self.site.gateways as f64;
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
                let uninformed =
                    starts.iter().filter(|start| **start > from - reported_after && **start < *to);
                let expected =
                    quota.burst + 1.1 * quota.rate * (to - from) / 1000.0 + share * uninformed.count() as f64;
                let allowed = expected + 3.0 * expected.sqrt();
                if sent as f64 > allowed {
                    return Some((*from, *to, sent, allowed));
                }
            }
        }
        None
    }

    fn check_processes(&self, found: &mut Vec<Violation>) {
        for (gateway, incarnations) in self.records.incarnations.iter().enumerate() {
            for (number, incarnation) in incarnations.iter().enumerate() {
                let mut broken = |at, why: String| {
                    let text = format!("gateway {gateway}, incarnation {number}: {why}; {incarnation:?}");
                    found.push(violation(Rule::Process, None, at, text));
                };
                match (incarnation.exited, incarnation.kill_sent_at, incarnation.term_sent_at) {
                    (Some((at, _)), None, None) => broken(at, "it exited by itself".into()),
                    (Some((at, false)), None, Some(_)) => {
                        broken(at, "it exited with an error after SIGTERM".into())
                    }
                    (Some((at, _)), Some(killed), Some(terminated))
                        if incarnation.log_unread && killed > terminated =>
                    {
                        broken(at, "it did not exit after SIGTERM while its log was unread".into());
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

    fn check_bad_clients(&self, found: &mut Vec<Violation>) {
        for client in &self.records.bad_clients {
            let incarnation = self.incarnation(client.gateway, client.incarnation);
            let over = incarnation
                .and_then(|incarnation| incarnation.kill_sent_at.or(incarnation.exited.map(|(at, _)| at)));
            let late = match (client.ended_at, over) {
                (Some(at), _) => at - client.connected_at > BAD_CLIENT_TIMEOUT + self.slack,
                (None, Some(_)) => false,
                (None, None) => true,
            };
            if late {
                found.push(violation(Rule::BadClient, None, client.connected_at, format!("{client:?}")));
            }
        }
    }
}
