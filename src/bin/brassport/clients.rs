//! Client connections over HTTP: accepts them, reads and validates requests and writes the responses.

use crate::acceptor::{Accepted, Acceptor};
use crate::backends::{Backends, Message, BODY_LIMIT};
use crate::client_connections::{ClientConnection, ClientConnections, CloseReason, Stage};
use crate::client_request::validate;
use crate::client_response::{encode_last, refusal, text_response};
use crate::client_stream::{ClientSocket, ClientStream};
use crate::config::NameTables;
use crate::dispatcher::{Answer, Dispatcher};
use crate::forwarded_headers::forwarded_headers;
use crate::host_header;
use crate::log;
use crate::readiness::Readiness;
use crate::socket::Socket;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use springusher::Settings;
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
    pub readiness: Rc<Readiness>,
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
    let is_short_of = |least: usize| {
        let missing = least.saturating_sub(descriptors.available_permits());
        missing > 0 && client_connections.closing_count() < missing
    };
    let free_descriptors = |least: usize| {
        while is_short_of(least) {
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
                let (client_port, queued) = (accepted.client_port, accepted.queued_since.is_some());
                log::trace(client_port, || format!("connection accepted, refuse_all {refuse_all}, queued {queued}"));
                let tracked = client_connections.register(client_port, accepted.queued_since);
                let connection = handle_connection(accepted, context.clone(), refuse_all, tracked);
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
    tracked: ClientConnection,
) {
    let Accepted { stream, client_port, descriptor: _descriptor, queued_since } = accepted;
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
            CloseReason::RequestTimedOut | CloseReason::RequestEvicted if !client.is_write_blocked() => {
                let response = match reason {
                    CloseReason::RequestEvicted => refusal(context.settings.max_retry_after),
                    _ => text_response(StatusCode::REQUEST_TIMEOUT, ""),
                };
                let stream = serving.into_parts().io.into_inner();
                respond_to_partial_request(stream, &response, &tracked, &client).await;
                return ConnectionEnd::ClosedByGateway(reason);
            }
            // After a time-out the client is not reading: a response would land in the middle of an earlier one.
            CloseReason::Answered | CloseReason::RequestTimedOut => {
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
    response: &Response<Full<Bytes>>,
    tracked: &ClientConnection,
    client: &ClientSocket,
) {
    tracked.set_stage(Stage::Last);
    let written = timeout(FINAL_WRITE_TIMEOUT, stream.write_all(&encode_last(response))).await;
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
        let ready = *context.phase.borrow() == Phase::Serving && context.readiness.is_ready();
        return Ok(text_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, ""));
    }
    let (head, body) = request.into_parts();
    let valid = validate(&head, &context.names, &context.settings)
        .map_err(|problem| text_response(StatusCode::BAD_REQUEST, problem))?;
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
    tracked.set_stage(Stage::InRequest);
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
