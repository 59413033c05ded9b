//! The clients' side: accepts connections, reads requests, checks them and writes the answers.

use crate::acceptor::{Accepted, Acceptor};
use crate::backends::{Backends, Message, BODY_LIMIT};
use crate::client_connections::{ClientConnection, ClientConnections, CloseReason, Stage};
use crate::client_stream::{ClientStream, Connection};
use crate::config::Names;
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

/// A client's time runs from when it sent the request to when it has the whole answer: so much is kept back
/// for the way here and back.
const MARGIN: Duration = Duration::from_millis(4);
/// Descriptors that are kept for attempts, and the part of all that they are at the most: with fewer left,
/// connections that nobody waits on are closed.
const RESERVE: usize = 64;
const RESERVE_PART: usize = 4;
/// The part of the descriptors beyond which clients have many connections.
const FEW_PART: usize = 8;
/// Most bytes of a request's head.
const HEAD_LIMIT: usize = 16 * 1024;
/// Between two looks for connections whose time is up.
const SWEEP: Duration = Duration::from_millis(100);
/// How long the rest of an answer may take on a connection that is to close.
const LAST_ANSWER: Duration = Duration::from_secs(2);
/// The answer to a request that does not come to its end in time.
const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;
/// Most bytes of a request's id.
const ID_LIMIT: usize = 128;
/// Headers that say what is asked.
const OURS: [&str; 9] = [
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
/// Headers that speak of one connection, or of this front door's own business, and go no further.
const NOT_PASSED_ON: [HeaderName; 11] = [
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

/// How far a shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum Phase {
    Serving,
    /// Clients still come; each answer closes its connection.
    Leaving,
    /// Connections that nobody asks on are closed. Who comes all the same is served.
    Closing,
    /// Time is up: whoever asks is refused.
    Ended,
}

/// What every connection needs.
pub struct ServeContext {
    pub dispatcher: Rc<Dispatcher>,
    pub backends: Rc<Backends>,
    pub names: Names,
    pub settings: Settings,
    pub phase: watch::Receiver<Phase>,
    /// Bytes that the bodies in hand may still take, all together.
    pub bodies: Semaphore,
}

/// Accepts clients, and returns once the shutdown closes the door and every connection has ended. Guards
/// against requests in the backlog: the listener stays open until then.
pub async fn serve(acceptor: Acceptor, context: Rc<ServeContext>, descriptors: Arc<Semaphore>) {
    let reserve = RESERVE.min(descriptors.available_permits() / RESERVE_PART);
    let few = descriptors.available_permits() / FEW_PART;
    let client_connections = Rc::new(ClientConnections::default());
    // Guards against connections that nobody waits on and that hold all descriptors. Those that a client
    // most likely has no more use for go first.
    let spare = |least: usize| {
        while descriptors.available_permits() + client_connections.closing_count() < least {
            if !client_connections.shed() && !context.backends.shed_idle() {
                return false;
            }
        }
        true
    };
    let mut connections = JoinSet::new();
    let mut empty_before = false;
    let mut sweeps = interval(SWEEP);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        spare(1);
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = acceptor.accept() => {
                empty_before = false;
                let crowded = !spare(reserve);
                let tracked = client_connections.register(accepted.waited_since);
                connections.spawn_local(connection(accepted, context.clone(), crowded, tracked));
            }
            _ = sweeps.tick() => {
                let closing = *context.phase.borrow() >= Phase::Closing;
                let empty = closing && connections.is_empty() && !acceptor.is_stalled();
                // What stood in the backlog at one look has been accepted by the next.
                if empty && empty_before {
                    return;
                }
                empty_before = empty;
                client_connections.sweep(few, closing);
            }
        }
    }
}

/// Serves one client's connection to its end. One that came while all others were busy gets refusals.
async fn connection(accepted: Accepted, context: Rc<ServeContext>, crowded: bool, tracked: ClientConnection) {
    let Accepted { stream, descriptor: _descriptor, waited_since } = accepted;
    let port = stream.peer_addr().map_or(0, |address| address.port());
    log::trace(port, || format!("connection accepted, crowded {crowded}, waited {}", waited_since.is_some()));
    let end = serve_connection(stream, waited_since, context, crowded, tracked).await;
    log::trace(port, || format!("connection closed: {end}"));
}

/// Why a connection with a client is over.
enum End {
    /// The client ended it, or what it sent was no HTTP.
    ByClient,
    /// Its last answer told that it would be closed.
    Announced,
    /// Its time was up, others need the descriptor, or the program ends.
    Dismissed(CloseReason),
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::ByClient => f.write_str("ByClient"),
            End::Announced => f.write_str("Announced"),
            End::Dismissed(dismissal) => write!(f, "{dismissal:?}"),
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    waited_since: Option<Instant>,
    context: Rc<ServeContext>,
    crowded: bool,
    tracked: ClientConnection,
) -> End {
    let _ = stream.set_nodelay(true);
    let tracked = Rc::new(tracked);
    let socket = Socket::new(stream);
    let waited_since = waited_since.filter(|_| !socket.has_no_input());
    let client = Connection::new(socket, waited_since);
    let wire = ClientStream::new(client.clone(), tracked.clone());
    let service = service_fn(|request: Request<Incoming>| {
        tracked.set_stage(Stage::InRequest);
        let arrived = client.begin_request(request.body().size_hint().upper().unwrap_or(0));
        let (context, tracked, client) = (context.clone(), tracked.clone(), client.clone());
        async move {
            let response = if crowded {
                Err(refusal(context.settings.max_retry_after))
            } else {
                answer(&context, request, tracked.request_deadline(), arrived, &client).await
            };
            tracked.set_stage(if response.is_err() { Stage::Last } else { Stage::Idle });
            // What was read behind this request is answered too, so its connection can't end here. Asking
            // whether the client has left reads all that has come.
            let leaving = *context.phase.borrow() != Phase::Serving;
            let last = response.is_err() || (leaving && (client.has_left() || !client.has_read_ahead()));
            client.end_request();
            let (Ok(mut response) | Err(mut response)) = response;
            if last {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut serving =
        http1::Builder::new().max_buf_size(HEAD_LIMIT).serve_connection(TokioIo::new(wire), service);
    let (ended, end) = tokio::select! {
        biased;
        ended = &mut serving => (ended, End::Announced),
        dismissal = tracked.close_requested(&client) => match dismissal {
            CloseReason::Answered => return End::Dismissed(dismissal),
            // It takes nothing: what would be written now would stand in the middle of an earlier answer.
            CloseReason::PartialRequest if client.is_write_blocked() => return End::Dismissed(dismissal),
            CloseReason::PartialRequest => {
                // Its last byte may come in this moment: whoever has begun to ask gets an answer.
                tracked.set_stage(Stage::Last);
                let mut stream = serving.into_parts().io.into_inner();
                let written = timeout(LAST_ANSWER, stream.write_all(TOO_SLOW)).await;
                if matches!(written, Ok(Ok(()))) {
                    last_words(stream, &tracked, &client).await;
                }
                return End::Dismissed(dismissal);
            }
            CloseReason::Unused => {
                // Its last answer may still be on its way out.
                std::pin::Pin::new(&mut serving).graceful_shutdown();
                let Ok(ended) = timeout(LAST_ANSWER, &mut serving).await else {
                    return End::Dismissed(CloseReason::Answered);
                };
                (ended, End::Dismissed(dismissal))
            }
        }
    };
    let end = if ended.is_err() || client.has_ended() { End::ByClient } else { end };
    // Its client has gone, or what it sent is no HTTP and was answered so; else it was closed in order.
    if ended.is_err() || tracked.stage() == Stage::Last {
        tracked.set_stage(Stage::Last);
        last_words(serving.into_parts().io.into_inner(), &tracked, &client).await;
    }
    end
}

/// Keeps a connection behind its last answer until the client has it, unless others need the descriptor more.
async fn last_words(stream: ClientStream, tracked: &ClientConnection, client: &Connection) {
    tokio::select! {
        () = stream.linger() => {}
        _ = tracked.close_requested(client) => {}
    }
}

/// The answer to a request; an error if its connection must not be used again. `asked_by` is when all of the
/// request must have come, `arrived` when its head had.
async fn answer(
    context: &ServeContext,
    mut request: Request<Incoming>,
    asked_by: Instant,
    arrived: Instant,
    client: &Rc<Connection>,
) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
    // Guards against a request hidden in another's body: hyper takes out a Content-Length that stands beside
    // a Transfer-Encoding, so that nobody behind it can tell. No client here has need of the latter.
    if request.headers().contains_key(header::TRANSFER_ENCODING) {
        return Err(text(StatusCode::BAD_REQUEST, "Transfer-Encoding is not taken"));
    }
    host_header::normalize(&mut request).map_err(|problem| text(StatusCode::BAD_REQUEST, problem))?;
    if request.method() == Method::GET && request.uri().path() == "/healthz" {
        let up = *context.phase.borrow() == Phase::Serving && context.backends.any_ready();
        return Ok(text(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, ""));
    }
    let (head, body) = request.into_parts();
    let asked = check(&head, context).map_err(|problem| text(StatusCode::BAD_REQUEST, problem))?;
    // Guards against bodies that fill the memory: the length is known before the first byte.
    let length = body.size_hint().upper().and_then(|length| usize::try_from(length).ok());
    let length = length.filter(|length| *length <= BODY_LIMIT);
    let length = length.ok_or_else(|| text(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"))?;
    // Guards against a request hidden in it: a server that reads no body of a GET would take it for the next one.
    if length > 0 && head.method == Method::GET {
        return Err(text(StatusCode::BAD_REQUEST, "a GET has no body"));
    }
    let room = context.bodies.try_acquire_many(length as u32);
    let _room = room.map_err(|_| refusal(context.settings.max_retry_after))?;
    let mut phase = context.phase.clone();
    let body = tokio::select! {
        biased;
        // What is taken in from here on would be given up unanswered.
        _ = phase.wait_for(|phase| *phase == Phase::Ended) => {
            return Err(refusal(context.settings.max_retry_after));
        }
        body = timeout_at(asked_by, body.collect()) => match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(text(StatusCode::BAD_REQUEST, "the body is broken")),
            Err(_) => return Err(text(StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        },
    };
    let deadline = arrived + asked.patience.saturating_sub(MARGIN);
    if client.has_ended() {
        return Err(text(StatusCode::BAD_REQUEST, "its client has gone"));
    }
    if deadline <= Instant::now() {
        return Ok(refusal(context.settings.max_retry_after));
    }
    let message = Message { method: head.method, uri: asked.uri, headers: pass_on(head.headers), body };
    let Some(ticket) = context.dispatcher.admit(asked.request, asked.id, message, deadline, client.clone())
    else {
        return Err(text(StatusCode::CONFLICT, "a request of this id is open"));
    };
    let answer = tokio::select! {
        biased;
        answer = ticket.answer(deadline) => answer,
        () = client.left() => return Err(text(StatusCode::BAD_REQUEST, "its client has gone")),
    };
    Ok(match answer {
        Answer::Served(served) => {
            let (head, body) = served.into_parts();
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = pass_on(head.headers);
            response
        }
        Answer::Refused(wait) => refusal(wait),
        Answer::Failed => text(StatusCode::GATEWAY_TIMEOUT, "no answer of a backend"),
    })
}

fn text(status: StatusCode, line: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(line.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A refusal, with advice on when to come back if there is any, in milliseconds.
fn refusal(wait: f64) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::TOO_MANY_REQUESTS, "");
    if wait > 0.0 {
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", wait / 1000.0)) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

/// The names that a message's Connection headers list.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    values.filter_map(|value| value.to_str().ok()).flat_map(|names| names.split(',').map(str::trim))
}

/// What of a message's headers goes on to the other side.
fn pass_on(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = connection_options(&headers).filter_map(|name| name.parse().ok()).collect();
    for name in named {
        headers.remove(name);
    }
    for name in NOT_PASSED_ON {
        headers.remove(name);
    }
    headers
}

/// A request that makes sense.
struct Asked {
    id: String,
    request: springusher::Request,
    patience: Duration,
    uri: hyper::Uri,
}

/// Guards against malformed input: what does not make sense goes no further.
fn check(head: &Parts, context: &ServeContext) -> Result<Asked, &'static str> {
    // Guards against headers that contradict each other: whoever reads on might go by the other one.
    if OURS.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
        return Err("a header stands there twice");
    }
    // Guards against a request that loses its id or its key on the way: what Connection names is passed on to
    // nobody, and a repeat without its key would run again.
    let ours = |name: &str| OURS.iter().any(|ours| name.eq_ignore_ascii_case(ours));
    if connection_options(&head.headers).any(ours) {
        return Err("Connection names a header of the request");
    }
    let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    let id = field("x-request-id").filter(|id| (1..=ID_LIMIT).contains(&id.len()));
    let id = id.filter(|id| id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)));
    let id = id.ok_or("X-Request-Id is missing or no id")?.to_string();
    // Names are the settings' own and may be written in any letters: bytes are compared.
    let index = |names: &[String], field: &str| {
        let name = head.headers.get(field)?.as_bytes().trim_ascii();
        names.iter().position(|known| known.as_bytes() == name)
    };
    let class = index(&context.names.classes, "x-class").ok_or("X-Class names no class")?;
    let first = head.uri.path().split('/').nth(1).unwrap_or_default();
    if !percent_decode_str(first).eq(context.names.classes[class].bytes()) {
        return Err("the path does not begin with the class");
    }
    // The method follows from the class: a request that may be sent again must be one that says so itself.
    if (context.settings.classes[class].idempotency == Idempotency::Idempotent)
        != (head.method == Method::GET)
    {
        return Err("the method is not the class's");
    }
    // Guards against a second run: what has no key is not dropped when it is sent again.
    let keyed = matches!(context.settings.classes[class].idempotency, Idempotency::Keyed { .. });
    if keyed && field("idempotency-key").is_none_or(str::is_empty) {
        return Err("the class wants an Idempotency-Key");
    }
    let plan = index(&context.names.plans, "plan").ok_or("Plan names no plan")?;
    let customer = field("cookie").and_then(customer).ok_or("the cookie names no client")?;
    let most = Duration::from_secs_f64(context.settings.classes[class].deadline / 1000.0);
    let patience = field("x-deadline").and_then(span).ok_or("X-Deadline is no length of time")?.min(most);
    let quota = field("quota-info").and_then(|text| quota(text, &context.settings));
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
    Ok(Asked { id, request, patience, uri: target.clone().into() })
}

fn customer(cookies: &str) -> Option<u64> {
    let mut clients = cookies.split(';').filter_map(|cookie| cookie.trim().strip_prefix("client="));
    let digits = clients.next()?;
    if clients.next().is_some()
        || digits.len() != 16
        || !digits.bytes().all(|digit| digit.is_ascii_hexdigit())
    {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().filter(|customer| *customer < CUSTOMERS)
}

/// A number and its unit: milliseconds or microseconds.
fn span(text: &str) -> Option<Duration> {
    let (number, in_second) = match text.strip_suffix('m') {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let number = number.parse::<f64>().ok().filter(|number| *number > 0.0)?;
    Duration::try_from_secs_f64(number / in_second).ok()
}

/// The units and the number of front doors in the customer's set. A key that stands there twice has no one meaning.
fn quota(text: &str, settings: &Settings) -> Option<(f64, u32)> {
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
    let sensible = units > 0.0
        && units <= settings.max_units
        && (1..=settings.gateways).contains(&spread)
        && first < settings.gateways;
    sensible.then_some((units, spread))
}
