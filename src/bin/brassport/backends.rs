//! The backends' addresses, the pool of idle connections to them, and the attempts.

use crate::http_connection::{ExchangeError, HttpConnection};
use crate::retry::{self, Backoff};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use springusher::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// Largest body of a request or a response, in bytes. A larger request is rejected; a larger response fails the
/// attempt.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Share of the backends' idle time-out after which the gateway closes an idle connection. Backends may close
/// earlier than they declare, and a request that is sent while its backend closes is lost; a smaller share costs more
/// connects.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;
/// Time after a response during which its connection is not reused. Bytes beyond the response may arrive some
/// milliseconds late; once the next request is sent, they would be read as its response.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Interval between two checks of the idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Highest usage that is accepted from the meter, in percent of the rate. No customer can use more: a burst is
/// some seconds of its rate, and gateways do not forward excess requests for long.
const MAX_USAGE_PERCENT: f64 = 10_000.0;

/// A client's request as it is forwarded to a backend.
pub struct Message {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How an attempt ended.
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The customer's usage in the meter's last period, as a share of its rate.
    pub quota_usage: Option<f64>,
    /// The response, if the backend served the request.
    pub response: Option<Response<Bytes>>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, quota_usage: None, response: None }
    }
}

struct PooledConnection {
    connection: HttpConnection,
    idle_since: Instant,
    _descriptor: OwnedSemaphorePermit,
}

struct Backend {
    address: SocketAddr,
    ready: bool,
    /// Idle connections, the most recently used last.
    idle: Vec<PooledConnection>,
}

pub struct Backends {
    by_id: RefCell<HashMap<ServerId, Backend>>,
    /// File descriptors that clients and backends share.
    descriptors: Arc<Semaphore>,
    connect_timeout: Duration,
    /// Longest time for which a connection stays in the pool.
    max_idle: Duration,
}

impl Backends {
    pub fn new(descriptors: Arc<Semaphore>, connect_timeout: Duration, idle_timeout: Duration) -> Backends {
        Backends {
            by_id: RefCell::default(),
            descriptors,
            connect_timeout,
            max_idle: idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE),
        }
    }

    /// Adds a backend, or updates its address and whether it takes new requests. If it has moved or takes none, its
    /// idle connections are closed.
    pub fn upsert(&self, id: ServerId, address: SocketAddr, ready: bool) {
        let mut by_id = self.by_id.borrow_mut();
        let backend = by_id.entry(id).or_insert(Backend { address, ready, idle: Vec::new() });
        if backend.address != address || !ready {
            backend.idle.clear();
        }
        (backend.address, backend.ready) = (address, ready);
    }

    /// Removes a backend and closes its idle connections.
    pub fn remove(&self, id: ServerId) {
        self.by_id.borrow_mut().remove(&id);
    }

    /// Removes the backends for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(ServerId) -> bool) {
        self.by_id.borrow_mut().retain(|id, _| keep(*id));
    }

    pub fn any_ready(&self) -> bool {
        self.by_id.borrow().values().any(|backend| backend.ready)
    }

    /// Closes the connection that has been idle for the longest time; returns false if none is idle.
    pub fn close_longest_idle(&self) -> bool {
        let mut by_id = self.by_id.borrow_mut();
        let with_idle = by_id.values_mut().filter(|backend| !backend.idle.is_empty());
        let Some(backend) = with_idle.min_by_key(|backend| backend.idle[0].idle_since) else { return false };
        backend.idle.remove(0);
        true
    }

    /// Periodically closes connections that have been idle for too long or that the backend has closed. Never returns.
    pub async fn close_stale_connections(&self) {
        loop {
            sleep(SWEEP_PERIOD).await;
            let taken: Vec<(ServerId, SocketAddr, Vec<PooledConnection>)> = self
                .by_id
                .borrow_mut()
                .iter_mut()
                .map(|(id, backend)| (*id, backend.address, std::mem::take(&mut backend.idle)))
                .collect();
            for (id, address, idle) in taken {
                for mut pooled in idle {
                    if pooled.idle_since.elapsed() < self.max_idle && pooled.connection.is_usable().await {
                        self.return_to_pool(id, address, pooled);
                    }
                }
            }
        }
    }

    /// Carries out one attempt. When this returns, its connection is closed or back in the pool. `may_begin` is called
    /// right before the request is written, with whether the backend is still ready, and returns whether to write it.
    /// The attempt is cancelled when `cancel` completes.
    pub async fn attempt(
        &self,
        id: ServerId,
        message: &Message,
        give_up_at: Instant,
        cancel: impl Future,
        may_begin: impl Fn(bool) -> bool,
    ) -> AttemptResult {
        let written = Cell::new(false);
        let exchange = self.exchange(id, message, give_up_at, may_begin, &written);
        // The exchange owns the connection: if another branch completes first, the exchange is dropped and its socket
        // closed before this returns and the end of the attempt is reported.
        let ended = tokio::select! {
            biased;
            _ = cancel => Outcome::Cancelled,
            result = exchange => return result,
            () = sleep_until(give_up_at) => Outcome::TimedOut,
        };
        match (written.get(), ended) {
            (true, ended) => ended.into(),
            (false, Outcome::Cancelled) => Outcome::NotSent.into(),
            (false, _) => Outcome::NoConnection.into(),
        }
    }

    async fn exchange(
        &self,
        id: ServerId,
        message: &Message,
        give_up_at: Instant,
        may_begin: impl Fn(bool) -> bool,
        written: &Cell<bool>,
    ) -> AttemptResult {
        let Some(address) = self.address_if_ready(id) else { return Outcome::NotSent.into() };
        let mut pooled = match self.take_idle(id).await {
            Some(pooled) => pooled,
            None => match self.connect(address).await {
                Ok(pooled) => pooled,
                Err(outcome) => return outcome.into(),
            },
        };
        // While the connection was being established, the backend may have begun to drain, been removed or moved, and
        // the request may have been answered.
        if !may_begin(self.address_if_ready(id) == Some(address)) {
            return Outcome::NotSent.into();
        }
        written.set(true);
        let response = match pooled.connection.exchange(message.to_request(give_up_at), BODY_LIMIT).await {
            Ok(response) => response,
            Err(ExchangeError::Unsent) => return Outcome::NoConnection.into(),
            Err(ExchangeError::Broken) => return Outcome::Reset.into(),
        };
        if pooled.connection.is_usable().await {
            pooled.idle_since = Instant::now();
            self.return_to_pool(id, address, pooled);
        }
        attempt_result(response)
    }

    /// The address of a backend; `None` if it takes no new requests.
    fn address_if_ready(&self, id: ServerId) -> Option<SocketAddr> {
        self.by_id.borrow().get(&id).filter(|backend| backend.ready).map(|backend| backend.address)
    }

    /// Takes the most recently used connection whose reuse delay is over and that is still usable. If there is none,
    /// waits for the one whose delay ends first, as a new connection costs more than the rest of the delay.
    async fn take_idle(&self, id: ServerId) -> Option<PooledConnection> {
        loop {
            let mut pooled = {
                let mut by_id = self.by_id.borrow_mut();
                let idle = &mut by_id.get_mut(&id)?.idle;
                let reusable = idle.iter().rposition(|pooled| pooled.idle_since.elapsed() >= REUSE_DELAY);
                let next = reusable.or((!idle.is_empty()).then_some(0))?;
                idle.remove(next)
            };
            sleep_until(pooled.idle_since + REUSE_DELAY).await;
            if pooled.idle_since.elapsed() < self.max_idle && pooled.connection.is_usable().await {
                return Some(pooled);
            }
        }
    }

    /// Opens a connection. Failures of this machine are retried within the connect time-out and reported as
    /// [`Outcome::NotSent`], as they are no sign of a fault of the backend.
    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, Outcome> {
        let descriptor = loop {
            match self.descriptors.clone().try_acquire_owned() {
                Ok(descriptor) => break descriptor,
                Err(_) if self.close_longest_idle() => {}
                Err(_) => return Err(Outcome::NotSent),
            }
        };
        let (deadline, mut backoff) = (Instant::now() + self.connect_timeout, Backoff::new());
        let mut outcome = Outcome::NoConnection;
        loop {
            // The time-out is needed because connects to an unreachable machine never complete.
            match timeout_at(deadline, HttpConnection::open(address)).await {
                Ok(Ok(connection)) => {
                    let idle_since = Instant::now();
                    return Ok(PooledConnection { connection, idle_since, _descriptor: descriptor });
                }
                Ok(Err(error)) if retry::is_local(&error) => {
                    outcome = Outcome::NotSent;
                    sleep(backoff.next()).await;
                }
                Ok(Err(_)) => return Err(Outcome::NoConnection),
                Err(_) => return Err(outcome),
            }
        }
    }

    /// Returns a connection to the pool, or closes it if the backend takes no new requests, has moved or was removed.
    fn return_to_pool(&self, id: ServerId, address: SocketAddr, pooled: PooledConnection) {
        let mut by_id = self.by_id.borrow_mut();
        if let Some(backend) =
            by_id.get_mut(&id).filter(|backend| backend.ready && backend.address == address)
        {
            backend.idle.push(pooled);
        }
    }
}

impl Message {
    /// The request to send. `x-deadline` gives the time that is left until `give_up_at`, in microseconds.
    fn to_request(&self, give_up_at: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let time_left = give_up_at.saturating_duration_since(Instant::now()).as_micros();
        if let Ok(value) = HeaderValue::from_str(&format!("{time_left}u")) {
            request.headers_mut().insert("x-deadline", value);
        }
        request
    }
}

/// Derives the result of an attempt from its response.
fn attempt_result(response: Response<Bytes>) -> AttemptResult {
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let quota_usage = quota_usage(response.headers());
    let not_run = header("x-not-run").is_some_and(|text| text.trim() == "1");
    match response.status() {
        StatusCode::OK => AttemptResult { outcome: Outcome::Ok, quota_usage, response: Some(response) },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
            AttemptResult { outcome: Outcome::Overloaded, quota_usage, response: None }
        }
        // An outcome of its own, so that invalid requests of one client do not count against the backend's health.
        status if status.is_client_error() => {
            AttemptResult { outcome: Outcome::InvalidRequest, quota_usage, response: None }
        }
        // Anything else may have run.
        _ => AttemptResult { outcome: Outcome::Error, quota_usage, response: None },
    }
}

/// The usage reported by the meter. A header that is repeated, not a number or out of range is ignored: a corrupt
/// value would distort the quota.
fn quota_usage(headers: &HeaderMap) -> Option<f64> {
    let mut values = headers.get_all("usage-percent").iter();
    let (value, second_value) = (values.next()?, values.next());
    let percent = value.to_str().ok()?.trim().parse::<f64>().ok()?;
    (second_value.is_none() && (0.0..=MAX_USAGE_PERCENT).contains(&percent)).then_some(percent / 100.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    #[tokio::test]
    async fn a_connection_is_reused_only_after_the_reuse_delay() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let second = Duration::from_secs(1);
        let backends = Backends::new(Arc::new(Semaphore::new(8)), second, 60 * second);
        backends.upsert(7, address, true);
        let (old, new) = (backends.connect(address).await, backends.connect(address).await);
        tokio::time::pause();
        let return_to_pool = |pooled: Result<PooledConnection, Outcome>| {
            let mut pooled = pooled.expect("a connection");
            pooled.idle_since = Instant::now();
            backends.return_to_pool(7, address, pooled);
        };
        return_to_pool(old);
        tokio::time::advance(REUSE_DELAY / 2).await;
        return_to_pool(new);
        // Timers have a resolution of one millisecond.
        let expected = REUSE_DELAY..REUSE_DELAY + Duration::from_millis(3);
        for _ in 0..2 {
            let pooled = backends.take_idle(7).await.expect("a usable connection");
            let elapsed = pooled.idle_since.elapsed();
            assert!(expected.contains(&elapsed), "reused after {elapsed:?}");
        }
        assert!(backends.take_idle(7).await.is_none());
    }
}
