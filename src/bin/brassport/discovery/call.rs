//! One call to discovery.

use super::list::List;
use super::status::CallFailure;
use crate::http_connection::HttpConnection;
use crate::log;
use crate::retry;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The time-out for opening a connection, which is short as the agent is on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a list in bytes: some KB for each of several thousand servers, as lists may come indented. Memory is
/// allocated only as data arrives, and a service that sends more is not discovery.
const MAX_LIST_SIZE: usize = 16 << 20;

/// The subject of trace lines.
pub const SUBJECT: &str = "discovery";

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// The full list, which is returned without waiting.
    Full,
    /// The changes after revision `after`, returned as soon as there are any, and after `wait` in any case.
    Watch { after: u64, wait: Duration },
}

impl Query {
    /// The path of the request.
    pub fn path(self) -> String {
        match self {
            Query::Full => "/v1/servers".to_string(),
            Query::Watch { after, wait } => {
                format!("/v1/servers?after={after}&wait_ms={}", wait.as_millis())
            }
        }
    }

    /// The least time that discovery held this query before it wrote that answer, which arrived after `took`: changes
    /// are written at once, and a watch that returns none was held for its whole wait.
    pub fn min_wait(self, answer: &List, took: Duration) -> Duration {
        match self {
            Query::Watch { wait, .. } if answer.targets.is_empty() && took >= wait => wait,
            _ => Duration::ZERO,
        }
    }
}

/// The result of a call.
pub enum CallOutcome {
    List(List),
    /// This machine could not start to connect, which says nothing about the service.
    LocalError,
    /// The service is up but at its capacity. The list held stays valid.
    Busy,
    Failed(CallFailure),
}

/// For the trace.
impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallOutcome::List(list) => list.fmt(f),
            CallOutcome::LocalError => f.write_str("not sent: this machine could not start to connect"),
            CallOutcome::Busy => f.write_str("discovery is at its capacity (503)"),
            CallOutcome::Failed(failure) => failure.fmt(f),
        }
    }
}

/// Makes one call, on the connection of the previous one if that is still usable.
pub async fn call(connection: &mut Option<HttpConnection>, address: SocketAddr, query: Query) -> CallOutcome {
    let request = Request::get(query.path()).header(HOST, address.to_string()).body(Full::default());
    let Ok(request) = request else { return CallOutcome::Failed(CallFailure::Invalid) };
    if let Some(open) = connection {
        if !open.is_usable().await {
            *connection = None;
        }
    }
    let open = match connection {
        Some(open) => open,
        None => match timeout(CONNECT_TIMEOUT, HttpConnection::open(address)).await {
            Ok(Ok(open)) => connection.insert(open),
            Ok(Err(error)) if retry::is_local(&error) => return CallOutcome::LocalError,
            _ => return CallOutcome::Failed(CallFailure::Unreachable),
        },
    };
    match open.exchange(request, MAX_LIST_SIZE).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let list = serde_json::from_slice(answer.body()).ok();
            let list = list.filter(|list: &List| list.all || query != Query::Full);
            list.map_or(CallOutcome::Failed(CallFailure::Invalid), CallOutcome::List)
        }
        Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => CallOutcome::Busy,
        Ok(_) => CallOutcome::Failed(CallFailure::Invalid),
        Err(_) => CallOutcome::Failed(CallFailure::Broken),
    }
}

/// A call that has ended.
pub struct TimedCall {
    pub started: Instant,
    pub took: Duration,
    pub outcome: CallOutcome,
    /// Can be used for the next call, if there is one.
    pub connection: Option<HttpConnection>,
}

impl TimedCall {
    /// Makes a call, and gives it up after `call_timeout`.
    pub async fn make(
        mut connection: Option<HttpConnection>,
        address: SocketAddr,
        query: Query,
        call_timeout: Duration,
    ) -> TimedCall {
        let started = Instant::now();
        log::trace(SUBJECT, || format!("call to {address}: {}", query.path()));
        let outcome = timeout(call_timeout, call(&mut connection, address, query)).await;
        let outcome = outcome.unwrap_or(CallOutcome::Failed(CallFailure::TimedOut));
        let took = started.elapsed();
        log::trace(SUBJECT, || format!("after {:.1} ms: {outcome}", took.as_secs_f64() * 1000.0));
        TimedCall { started, took, outcome, connection }
    }
}
