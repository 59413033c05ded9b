//! Client connections over HTTP: accepts them, reads and validates requests and writes the responses.

use crate::acceptor::{Accepted, Acceptor};
use crate::backends::{Backends, Message, BODY_LIMIT};
use crate::client_connections::{ClientConnection, ClientConnections, CloseReason, Stage};
use crate::client_stream::{ClientSocket, ClientStream};
use crate::config::NameTables;
use crate::dispatcher::{Answer, Dispatcher};
use crate::host_header;
use crate::log;
use crate::socket::Socket;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use springusher::{Idempotency, Settings};
use std::convert::Infallible;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{interval, timeout, timeout_at, Instant, MissedTickBehavior};

/// Subtracted from each client deadline. Clients measure from sending a request to receiving the whole
/// response, so this covers the transit both ways.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(4);
/// File descriptors kept free for attempts when a connection is accepted. Idle connections are closed to free
/// them, and a new connection for which they cannot be freed gets only a refusal.
const ATTEMPT_RESERVE: usize = 64;
/// The reserve is at most the number of all descriptors divided by this.
const RESERVE_DIVISOR: usize = 4;
/// With more client connections than the number of all descriptors divided by this, idle ones get shorter time-outs.
const MANY_CONNECTIONS_DIVISOR: usize = 8;
/// Size limit of a request head in bytes, and of the buffer of each connection.
const HEAD_LIMIT: usize = 16 * 1024;
/// Interval between checks for connections whose time-outs have expired.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two lines of the log that say that no descriptor is left.
const SHORTAGE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How long writing the rest of a response may take on a connection that is being closed.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The response to a request that does not arrive completely in time.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Customer numbers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Size limit of a request id in bytes.
const ID_LIMIT: usize = 128;
/// Headers that define the request. Each may occur only once, and `Connection` must not name one.
const REQUEST_HEADERS: [&str; 9] = [
    "host",
    "x-request-id",
    "x-class",
    "plan",
    "cookie",
    "x-deadline",
    "quota-info",
    "x-retry",
    "idempotency-key",
];
/// Headers that are not forwarded: those of a single connection, and those addressed to this gateway.
const NOT_FORWARDED: [HeaderName; 11] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
    HeaderName::from_static("usage-percent"),
    HeaderName::from_static("x-load"),
];

/// The phase of a graceful shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum Phase {
    Serving,
    /// New clients are still accepted; each response closes its connection.
    Leaving,
    /// Connections on which no request has begun are closed. New clients are still served.
    Closing,
    /// The time for the shutdown is up: requests are refused.
    Ended,
}

/// What all client connections share.
pub struct ServeContext {
    pub dispatcher: Rc<Dispatcher>,
    pub backends: Rc<Backends>,
    pub names: NameTables,
    pub settings: Settings,
    pub phase: watch::Receiver<Phase>,
    /// Bytes that further request bodies may occupy at present, over all connections.
    pub bodies: Semaphore,
}

/// Accepts clients; returns once the shutdown is in [`Phase::Closing`] and every connection has ended. The
/// listener stays open until then, so that no request in its backlog is lost.
pub async fn serve(acceptor: Acceptor, context: Rc<ServeContext>, descriptors: Arc<Semaphore>) {
    let reserve = ATTEMPT_RESERVE.min(descriptors.available_permits() / RESERVE_DIVISOR);
    let many_threshold = descriptors.available_permits() / MANY_CONNECTIONS_DIVISOR;
    let client_connections = Rc::new(ClientConnections::default());
    // Closes idle connections until `least` descriptors are free or about to be; false if that is not possible.
    // Otherwise idle connections could hold all descriptors. Those that a client is least likely to use again
    // are closed first.
    let free_descriptors = |least: usize| {
        while descriptors.available_permits() + client_connections.closing_count() < least {
            if !client_connections.evict_one() && !context.backends.close_longest_idle() {
                return false;
            }
        }
        true
    };
    let mut connections = JoinSet::new();
    let mut was_empty = false;
    let mut shortage_logged_at: Option<Instant> = None;
    let mut sweep_timer = interval(SWEEP_INTERVAL);
    sweep_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let shortage = !free_descriptors(1);
        if shortage && shortage_logged_at.is_none_or(|at| at.elapsed() >= SHORTAGE_LOG_INTERVAL) {
            shortage_logged_at = Some(Instant::now());
            let stages = client_connections.stage_counts();
            log::line(format!("no file descriptor is left for new clients; connections: {stages}"));
        }
        tokio::select! {
            Some(_) = connections.join_next() => {}
            () = client_connections.close_withdrawn() => {}
            accepted = acceptor.accept() => {
                was_empty = false;
                let refuse_all = !free_descriptors(reserve);
                let client_port = accepted.stream.peer_addr().map_or(0, |address| address.port());
                let queued = accepted.queued_since.is_some();
                log::trace(client_port, || format!("connection accepted, refuse_all {refuse_all}, queued {queued}"));
                let tracked = client_connections.register(client_port, accepted.queued_since);
                let connection = handle_connection(accepted, context.clone(), refuse_all, client_port, tracked);
                connections.spawn_local(connection);
            }
            _ = sweep_timer.tick() => {
                let closing = *context.phase.borrow() >= Phase::Closing;
                let empty = closing && connections.is_empty() && !acceptor.is_stalled();
                // A connection that was in the backlog at the previous check has been accepted by now.
                if empty && was_empty {
                    return;
                }
                was_empty = empty;
                client_connections.close_expired(many_threshold, closing);
            }
        }
    }
}

/// Serves one client connection until it ends. With `refuse_all`, as no descriptors could be freed for attempts,
/// its first request is refused and the connection closed.
async fn handle_connection(
    accepted: Accepted,
    context: Rc<ServeContext>,
    refuse_all: bool,
    client_port: u16,
    tracked: ClientConnection,
) {
    let Accepted { stream, descriptor: _descriptor, queued_since } = accepted;
    let end = serve_connection(stream, queued_since, context, refuse_all, tracked).await;
    log::trace(client_port, || format!("connection closed: {end}"));
}

/// Why a client connection ended.
enum ConnectionEnd {
    /// The client closed it, or sent something that is not HTTP.
    ByClient,
    /// Its last response had `Connection: close`.
    Announced,
    /// A time-out expired, the descriptor was needed, or the process is shutting down.
    ClosedByGateway(CloseReason),
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionEnd::ByClient => f.write_str("ByClient"),
            ConnectionEnd::Announced => f.write_str("Announced"),
            ConnectionEnd::ClosedByGateway(reason) => write!(f, "{reason:?}"),
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    queued_since: Option<Instant>,
    context: Rc<ServeContext>,
    refuse_all: bool,
    tracked: ClientConnection,
) -> ConnectionEnd {
    let _ = stream.set_nodelay(true);
    let tracked = Rc::new(tracked);
    let socket = Socket::new(stream);
    let queued_since = queued_since.filter(|_| !socket.has_no_input());
    let client = ClientSocket::new(socket, queued_since);
    let client_stream = ClientStream::new(client.clone(), tracked.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let body_length = request.body().size_hint().upper().unwrap_or(0);
        if body_length == 0 {
            tracked.set_stage(Stage::InRequest);
        }
        let head_arrived = client.begin_request(body_length);
        let (context, tracked, client) = (context.clone(), tracked.clone(), client.clone());
        async move {
            let response = if refuse_all {
                Err(refusal(context.settings.max_retry_after))
            } else {
                answer(&context, request, &tracked, head_arrived, &client).await
            };
            tracked.set_stage(if response.is_err() { Stage::Last } else { Stage::Idle });
            // Pipelined requests that have arrived are answered before the connection closes. `has_left` reads
            // all bytes that have arrived, so `has_read_ahead` comes after it.
            let shutting_down = *context.phase.borrow() != Phase::Serving;
            let last =
                response.is_err() || (shutting_down && (client.has_left() || !client.has_read_ahead()));
            client.end_request();
            let (Ok(mut response) | Err(mut response)) = response;
            if last {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut serving =
        http1::Builder::new().max_buf_size(HEAD_LIMIT).serve_connection(TokioIo::new(client_stream), service);
    let (ended, end) = tokio::select! {
        biased;
        ended = &mut serving => (ended, ConnectionEnd::Announced),
        reason = tracked.close_requested(&client) => match reason {
            CloseReason::Answered => return ConnectionEnd::ClosedByGateway(reason),
            // The client is not reading: a response written now would land in the middle of an earlier one.
            CloseReason::RequestTimedOut if client.is_write_blocked() => {
                return ConnectionEnd::ClosedByGateway(reason);
            }
            CloseReason::RequestEvicted if !client.is_write_blocked() => {
                let response = refusal_bytes(context.settings.max_retry_after);
                respond_to_partial_request(serving.into_parts().io.into_inner(), &response, &tracked, &client).await;
                return ConnectionEnd::ClosedByGateway(reason);
            }
            CloseReason::RequestTimedOut => {
                let stream = serving.into_parts().io.into_inner();
                respond_to_partial_request(stream, REQUEST_TIMEOUT_RESPONSE, &tracked, &client).await;
                return ConnectionEnd::ClosedByGateway(reason);
            }
            CloseReason::Unused | CloseReason::RequestEvicted => {
                // Its last response may not be written completely yet.
                std::pin::Pin::new(&mut serving).graceful_shutdown();
                let Ok(ended) = timeout(FINAL_WRITE_TIMEOUT, &mut serving).await else {
                    return ConnectionEnd::ClosedByGateway(CloseReason::Answered);
                };
                (ended, ConnectionEnd::ClosedByGateway(reason))
            }
        }
    };
    let end = if ended.is_err() || client.has_ended() { ConnectionEnd::ByClient } else { end };
    // After an error (the client has gone, or hyper has answered input that is not HTTP) and after a last
    // response the client may still be sending; any other connection closed in order.
    if ended.is_err() || tracked.stage() == Stage::Last {
        tracked.set_stage(Stage::Last);
        linger(serving.into_parts().io.into_inner(), &tracked, &client).await;
    }
    end
}

/// Answers a request that has not arrived completely. The rest of it may arrive at this moment, so the client gets a
/// response, not only a close.
async fn respond_to_partial_request(
    mut stream: ClientStream,
    response: &[u8],
    tracked: &ClientConnection,
    client: &ClientSocket,
) {
    tracked.set_stage(Stage::Last);
    let written = timeout(FINAL_WRITE_TIMEOUT, stream.write_all(response)).await;
    if matches!(written, Ok(Ok(()))) {
        linger(stream, tracked, client).await;
    }
}

/// Keeps a connection open after its last response until the client has received it, unless the descriptor is
/// needed for others.
async fn linger(stream: ClientStream, tracked: &ClientConnection, client: &ClientSocket) {
    tokio::select! {
        () = stream.linger() => {}
        _ = tracked.close_requested(client) => {}
    }
}

/// Answers a request, whose head arrived at `head_arrived`; `Err` holds a response after which the connection must be
/// closed.
async fn answer(
    context: &ServeContext,
    mut request: Request<Incoming>,
    tracked: &ClientConnection,
    head_arrived: Instant,
    client: &Rc<ClientSocket>,
) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
    // Request smuggling: hyper removes a Content-Length that comes with a Transfer-Encoding, so that later code
    // cannot detect the conflict. No client needs Transfer-Encoding here, so it is rejected.
    if request.headers().contains_key(header::TRANSFER_ENCODING) {
        return Err(text_response(StatusCode::BAD_REQUEST, "Transfer-Encoding is not taken"));
    }
    host_header::normalize(&mut request)
        .map_err(|problem| text_response(StatusCode::BAD_REQUEST, problem))?;
    if request.method() == Method::GET && request.uri().path() == "/healthz" {
        let ready = *context.phase.borrow() == Phase::Serving && context.backends.any_ready();
        return Ok(text_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, ""));
    }
    let (head, body) = request.into_parts();
    let valid =
        validate(&head, context).map_err(|problem| text_response(StatusCode::BAD_REQUEST, problem))?;
    // The length is known before the body arrives, so a body that is too long never occupies memory.
    let length = body.size_hint().upper().and_then(|length| usize::try_from(length).ok());
    let length = length.filter(|length| *length <= BODY_LIMIT);
    let length =
        length.ok_or_else(|| text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"))?;
    // Request smuggling: a server that does not read the body of a GET would take it for the next request.
    if length > 0 && head.method == Method::GET {
        return Err(text_response(StatusCode::BAD_REQUEST, "a GET has no body"));
    }
    let body_permit = context.bodies.try_acquire_many(length as u32);
    let _body_permit = body_permit.map_err(|_| refusal(context.settings.max_retry_after))?;
    let mut phase = context.phase.clone();
    let body = tokio::select! {
        biased;
        // The process is about to end: a request admitted now would be dropped without a response.
        _ = phase.wait_for(|phase| *phase == Phase::Ended) => {
            return Err(refusal(context.settings.max_retry_after));
        }
        body = timeout_at(tracked.request_deadline(), body.collect()) => match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(text_response(StatusCode::BAD_REQUEST, "the body is broken")),
            Err(_) => return Err(text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        },
    };
    if length > 0 {
        tracked.set_stage(Stage::InRequest);
    }
    let deadline = head_arrived + valid.client_timeout.saturating_sub(TRANSIT_ALLOWANCE);
    if client.has_ended() {
        return Err(text_response(StatusCode::BAD_REQUEST, "its client has gone"));
    }
    if deadline <= Instant::now() {
        return Ok(refusal(context.settings.max_retry_after));
    }
    let message =
        Message { method: head.method, uri: valid.uri, headers: forwarded_headers(head.headers), body };
    let Some(pending_answer) =
        context.dispatcher.admit(valid.request, valid.id, message, deadline, client.clone())
    else {
        return Err(text_response(StatusCode::CONFLICT, "a request of this id is open"));
    };
    let answer = tokio::select! {
        biased;
        answer = pending_answer.answer(deadline) => answer,
        () = client.wait_until_left() => return Err(text_response(StatusCode::BAD_REQUEST, "its client has gone")),
    };
    Ok(match answer {
        Answer::Served(served) => {
            let (head, body) = served.into_parts();
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = forwarded_headers(head.headers);
            response
        }
        Answer::Refused(retry_after_ms) => refusal(retry_after_ms),
        Answer::Failed => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer of a backend"),
    })
}

fn text_response(status: StatusCode, line: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(line.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A 429 response, with a Retry-After header if `retry_after_ms` is above 0.
fn refusal(retry_after_ms: f64) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "");
    if let Some(Ok(seconds)) = retry_after_seconds(retry_after_ms).map(HeaderValue::try_from) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// The same response in bytes, for a connection that closes after it.
fn refusal_bytes(retry_after_ms: f64) -> Vec<u8> {
    let retry_after = retry_after_seconds(retry_after_ms);
    let retry_after = retry_after.map_or(String::new(), |seconds| format!("Retry-After: {seconds}\r\n"));
    format!("HTTP/1.1 429 Too Many Requests\r\n{retry_after}Connection: close\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

/// The value of a Retry-After header, if there is to be one.
fn retry_after_seconds(retry_after_ms: f64) -> Option<String> {
    (retry_after_ms > 0.0).then(|| format!("{:.3}", retry_after_ms / 1000.0))
}

/// The header names that the Connection headers of a message list.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    values.filter_map(|value| value.to_str().ok()).flat_map(|names| names.split(',').map(str::trim))
}

/// The headers of a message that are forwarded to the other side.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> =
        connection_options(&headers).filter_map(|name| name.parse().ok()).collect();
    for name in connection_headers {
        headers.remove(name);
    }
    for name in NOT_FORWARDED {
        headers.remove(name);
    }
    headers
}

/// A request that passed validation.
struct ValidRequest {
    id: String,
    request: springusher::Request,
    /// How long its client waits for the response.
    client_timeout: Duration,
    uri: hyper::Uri,
}

/// Checks a request, so that malformed ones are not forwarded.
fn validate(head: &Parts, context: &ServeContext) -> Result<ValidRequest, &'static str> {
    // Of two headers that contradict each other a server might use the one that this gateway did not.
    if REQUEST_HEADERS.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
        return Err("a header stands there twice");
    }
    // Headers that Connection names are not forwarded, and a repeated request without its id or idempotency key
    // would run a second time.
    let is_request_header =
        |name: &str| REQUEST_HEADERS.iter().any(|header| name.eq_ignore_ascii_case(header));
    if connection_options(&head.headers).any(is_request_header) {
        return Err("Connection names a header of the request");
    }
    let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    let id = field("x-request-id").filter(|id| (1..=ID_LIMIT).contains(&id.len()));
    let id = id.filter(|id| id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)));
    let id = id.ok_or("X-Request-Id is missing or no id")?.to_string();
    // Names come from the settings and may contain any characters, so their bytes are compared.
    let index = |names: &[String], field: &str| {
        let name = head.headers.get(field)?.as_bytes().trim_ascii();
        names.iter().position(|known| known.as_bytes() == name)
    };
    let class = index(&context.names.classes, "x-class").ok_or("X-Class names no class")?;
    let first_segment = head.uri.path().split('/').nth(1).unwrap_or_default();
    if !percent_decode_str(first_segment).eq(context.names.classes[class].bytes()) {
        return Err("the path does not begin with the class");
    }
    // GET is for idempotent classes only and the only method for them: the method alone shows whether a request
    // may be sent again.
    if (context.settings.classes[class].idempotency == Idempotency::Idempotent)
        != (head.method == Method::GET)
    {
        return Err("the method is not the class's");
    }
    // Servers recognise a repeated request by its key; without one it would run a second time.
    let keyed = matches!(context.settings.classes[class].idempotency, Idempotency::Keyed { .. });
    if keyed && field("idempotency-key").is_none_or(str::is_empty) {
        return Err("the class wants an Idempotency-Key");
    }
    let plan = index(&context.names.plans, "plan").ok_or("Plan names no plan")?;
    let customer = field("cookie").and_then(parse_customer).ok_or("the cookie names no client")?;
    let class_deadline = Duration::from_secs_f64(context.settings.classes[class].deadline / 1000.0);
    let client_timeout = field("x-deadline")
        .and_then(parse_duration)
        .ok_or("X-Deadline is no length of time")?
        .min(class_deadline);
    let quota = field("quota-info").and_then(|text| parse_quota(text, &context.settings));
    let (units, spread) = quota.ok_or("Quota-Info makes no sense")?;
    let target = head.uri.path_and_query().ok_or("the request has no path")?;
    let request = springusher::Request {
        id: 0,
        customer,
        plan,
        class,
        units,
        spread,
        expires_in: 0.0,
        is_client_retry: field("x-retry") == Some("1"),
    };
    Ok(ValidRequest { id, request, client_timeout, uri: target.clone().into() })
}

fn parse_customer(cookies: &str) -> Option<u64> {
    let mut clients = cookies.split(';').filter_map(|cookie| cookie.trim().strip_prefix("client="));
    let digits = clients.next()?;
    if clients.next().is_some()
        || digits.len() != 16
        || !digits.bytes().all(|digit| digit.is_ascii_hexdigit())
    {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().filter(|customer| *customer < CUSTOMER_LIMIT)
}

/// A length of time: a number followed by `m` for milliseconds or `u` for microseconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let (number, units_per_second) = match text.strip_suffix('m') {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let number = number.parse::<f64>().ok().filter(|number| *number > 0.0)?;
    Duration::try_from_secs_f64(number / units_per_second).ok()
}

/// The units and the number of gateways in the customer's set. A key that occurs twice is ambiguous and rejected.
fn parse_quota(text: &str, settings: &Settings) -> Option<(f64, u32)> {
    let value = |name: &str| {
        let mut values = text.split(',').filter_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key.trim() == name).then_some(value.trim())
        });
        values.next().filter(|_| values.next().is_none())
    };
    let units = value("units")?.parse::<f64>().ok()?;
    let spread = value("spread")?.parse::<u32>().ok()?;
    let first = value("first")?.parse::<u32>().ok()?;
    let valid = units > 0.0
        && units <= settings.max_units
        && (1..=settings.gateways).contains(&spread)
        && first < settings.gateways;
    valid.then_some((units, spread))
}
