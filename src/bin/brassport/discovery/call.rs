//! One call to discovery.

use super::list::List;
use super::status::CallFailure;
use crate::http_connection::HttpConnection;
use crate::retry;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// How long a connection may take to come up: the agent is on this machine.
const CONNECT: Duration = Duration::from_millis(500);
/// Most bytes of a list: some KB for each of several thousand servers, as lists may come indented. It takes memory
/// as it comes, and a service that sends more is not discovery.
const LIST_LIMIT: usize = 16 << 20;

/// What is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// The whole list, which is answered at once.
    Full,
    /// What is newer than the revision `after`, as soon as there is something, and by the end of `wait` anyway.
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

    /// How long discovery had this at the least before it wrote that answer, which came after `took`: news are
    /// written at once, and a watch that ends without any has waited to its end.
    pub fn least_wait(self, answer: &List, took: Duration) -> Duration {
        match self {
            Query::Watch { wait, .. } if answer.targets.is_empty() && took >= wait => wait,
            _ => Duration::ZERO,
        }
    }
}

/// What came of a call.
pub enum Outcome {
    List(List),
    /// This machine could not begin to make it, which says nothing of the service.
    Unmade,
    /// The service is there and takes no more: what was told so far holds.
    Busy,
    Lost(CallFailure),
}

/// For the trace.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::List(list) => list.fmt(f),
            Outcome::Unmade => f.write_str("not made, as this machine could not connect"),
            Outcome::Busy => f.write_str("turned away"),
            Outcome::Lost(loss) => loss.fmt(f),
        }
    }
}

/// Makes one call, on the connection of the last one where that still stands.
pub async fn ask(link: &mut Option<HttpConnection>, address: SocketAddr, query: Query) -> Outcome {
    let request = Request::get(query.path()).header(HOST, address.to_string()).body(Full::default());
    let Ok(request) = request else { return Outcome::Lost(CallFailure::Invalid) };
    if let Some(open) = link {
        if !open.is_usable().await {
            *link = None;
        }
    }
    let open = match link {
        Some(open) => open,
        None => match timeout(CONNECT, HttpConnection::open(address)).await {
            Ok(Ok(open)) => link.insert(open),
            Ok(Err(error)) if retry::is_local(&error) => return Outcome::Unmade,
            _ => return Outcome::Lost(CallFailure::Unreachable),
        },
    };
    match open.exchange(request, LIST_LIMIT).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let list = serde_json::from_slice(answer.body()).ok();
            let list = list.filter(|list: &List| list.all || query != Query::Full);
            list.map_or(Outcome::Lost(CallFailure::Invalid), Outcome::List)
        }
        Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => Outcome::Busy,
        Ok(_) => Outcome::Lost(CallFailure::Invalid),
        Err(_) => Outcome::Lost(CallFailure::Broken),
    }
}
