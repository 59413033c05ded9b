//! The gateway process: real sockets and timers around the decision logic of the crate `springusher`.
#![forbid(unsafe_code)]

mod acceptor;
mod backends;
mod client_connections;
mod client_request;
mod client_response;
mod client_stream;
mod clients;
mod clock;
mod config;
mod counter;
mod discovery;
mod dispatcher;
mod forwarded_headers;
mod guard;
mod host_header;
mod http_connection;
mod log;
mod readiness;
mod reload;
mod retry;
mod signals;
mod socket;
mod startup;

use acceptor::Acceptor;
use backends::Backends;
use clients::{Phase, ServeContext};
use counter::Counter;
use discovery::{List, Source, Subscription, Update};
use dispatcher::Dispatcher;
use readiness::Readiness;
use reload::Reload;
use signals::{CaughtSignals, Signals};
use springusher::{ListKind, Settings};
use startup::{Prepared, START_TIMEOUT};
use std::backtrace::{Backtrace, BacktraceStatus};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// How long a start waits for the agent's first answer before it serves clients. An agent that is up answers at once;
/// without its answer the cached list is used, which may be stale.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(250);
/// The bodies of all requests together may take the memory limit divided by this.
const BODY_MEMORY_DIVISOR: usize = 8;
/// How long the listener stays open at least after SIGTERM, as clients still connect for up to 0.4 s.
const LEAVING_TIME: Duration = Duration::from_millis(600);
/// Upper limit of the time that open requests have after `LEAVING_TIME` before they fail: no client waits longer than
/// 3 s. SIGKILL comes 0.7 s after the longest wait, and `LEAVING_TIME` and this together have to end before it.
const MAX_CLOSING_TIME: Duration = Duration::from_millis(3000);
/// The part of the closing time kept for writing error answers to requests that did not finish.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let process_started = Instant::now();
    // A panic anywhere ends the process, also in a task whose result is never read: the requests that the task served
    // would otherwise never be answered.
    std::panic::set_hook(Box::new(|panic| {
        let trace = Backtrace::capture();
        match trace.status() {
            BacktraceStatus::Captured => log::last_line(format!("{panic}\n{trace}")),
            _ => log::last_line(panic.to_string()),
        }
        std::process::abort();
    }));
    let signals = match CaughtSignals::new() {
        Ok(signals) => signals,
        Err(error) => return fail(&format!("cannot install signal handlers: {error}")),
    };
    match run(signals, process_started) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &str) -> ExitCode {
    log::last_line(error.to_string());
    ExitCode::FAILURE
}

fn run(signals: CaughtSignals, process_started: Instant) -> Result<(), String> {
    let build = || {
        if signals.terminated() {
            return Ok(None);
        }
        tokio::runtime::Builder::new_current_thread().enable_all().build().map(Some)
    };
    let runtime = retry::retry_blocking(START_TIMEOUT, "starting the runtime", build)
        .map_err(|error| format!("cannot start: {error}"))?;
    let Some(runtime) = runtime else { return Ok(()) };
    let result = LocalSet::new().block_on(&runtime, start(signals, process_started));
    // Does not wait for a reading of the configuration file that may hang forever.
    runtime.shutdown_background();
    result
}

/// Starts the gateway and runs it until it exits. A SIGTERM before it listens ends the start at once, as there are no
/// requests to finish.
async fn start(signals: CaughtSignals, process_started: Instant) -> Result<(), String> {
    let mut signals =
        signals.into_async().map_err(|error| format!("cannot install signal handlers: {error}"))?;
    let prepared = tokio::select! {
        biased;
        () = signals.termination.requested() => return Ok(()),
        prepared = startup::prepare(process_started) => prepared?,
    };
    run_gateway(prepared, signals).await
}

/// How long open requests may take after `LEAVING_TIME`: as long as the longest deadline of a class, up to the limit.
fn closing_time(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    Duration::try_from_secs_f64(longest / 1000.0).unwrap_or(MAX_CLOSING_TIME).min(MAX_CLOSING_TIME)
}

/// Passes changes to the list of servers to the dispatcher, and signals `first_list` after the first list.
async fn forward_updates(
    mut updates: UnboundedReceiver<Update>,
    dispatcher: Rc<Dispatcher>,
    readiness: Rc<Readiness>,
    first_list: oneshot::Sender<()>,
) {
    let mut first_list = Some(first_list);
    while let Some(update) = updates.recv().await {
        match update {
            Update::List(kind, list) => {
                dispatcher.update_servers(kind, list);
                readiness.list_received();
                if let Some(first_list) = first_list.take() {
                    let _ = first_list.send(());
                }
            }
            Update::Withdrawn => {
                readiness.list_withdrawn();
                dispatcher.update_servers(ListKind::Full, List::empty());
            }
        }
    }
}

/// Serves until SIGTERM, then finishes the open requests or fails them after the closing time.
async fn run_gateway(prepared: Prepared, signals: Signals) -> Result<(), String> {
    let Prepared { config, listener, listening_since, descriptors, discovery } = prepared;
    let Signals { hangups, mut termination } = signals;
    let closing_time = closing_time(&config.settings);
    let has_local_agent = !config.settings.list_on_request;
    let backends = Rc::new(Backends::new(descriptors.clone(), config.connect_timeout, config.idle_timeout));
    let (counter, counter_client) = Counter::new(config.counter_timeout);
    let (settings, zones) = (config.settings.clone(), config.names.zones.clone());
    let dispatcher = Dispatcher::new(settings, config.seed, zones, backends.clone(), counter)
        .map_err(|error| error.to_string())?;
    let (counter_address, current_address) = watch::channel(config.counter);
    let event_handler = dispatcher.clone();
    spawn_local(counter_client.run(current_address, move |event| event_handler.on_counter_event(event)));
    dispatcher.update_servers(ListKind::Cached, config.cached_list);
    spawn_local(dispatcher.clone().run_timers());
    let Subscription { source, updates } = discovery;
    let (first_list_sender, first_list) = oneshot::channel();
    let readiness = Rc::new(Readiness::new(backends.clone()));
    spawn_local(forward_updates(updates, dispatcher.clone(), readiness.clone(), first_list_sender));
    let idle_backends = backends.clone();
    spawn_local(async move { idle_backends.close_stale_connections().await });

    let (phase, current_phase) = watch::channel(Phase::Serving);
    let context = Rc::new(ServeContext {
        dispatcher: dispatcher.clone(),
        backends,
        readiness: readiness.clone(),
        names: config.names,
        settings: config.settings,
        phase: current_phase,
        bodies: Semaphore::new((config.memory_bytes / BODY_MEMORY_DIVISOR).min(Semaphore::MAX_PERMITS)),
    });
    // Until the first answer the cached list may be older than what the agent has.
    if has_local_agent {
        let _ = timeout(FIRST_LIST_TIMEOUT, first_list).await;
    }
    readiness.serving_began();
    let acceptor = Acceptor::new(listener, descriptors.clone(), listening_since);
    let mut serving = spawn_local(clients::serve(acceptor, context, descriptors));

    spawn_local(reload::reload_on_hangup(hangups, move |reload| match reload {
        Reload::Configured(config, hangup_at) => {
            source.send_modify(|source| source.replace(config.discovery, hangup_at));
            counter_address
                .send_if_modified(|held| std::mem::replace(held, config.counter) != config.counter);
        }
        Reload::Overdue => {
            source.send_if_modified(Source::ask_again);
        }
    }));
    termination.requested().await;
    phase.send_replace(Phase::Leaving);
    sleep(LEAVING_TIME).await;
    phase.send_replace(Phase::Closing);
    if timeout(closing_time.saturating_sub(FINAL_ANSWERS_TIME), &mut serving).await.is_err() {
        phase.send_replace(Phase::Ended);
        dispatcher.fail_all();
        let _ = timeout(FINAL_ANSWERS_TIME, &mut serving).await;
    }
    dispatcher.log_summary();
    Ok(())
}
