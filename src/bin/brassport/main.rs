//! The front door: one program on real sockets round the decision module of the crate `springusher`.
#![forbid(unsafe_code)]

mod acceptor;
mod backends;
mod client_connections;
mod client_stream;
mod clients;
mod clock;
mod config;
mod counter;
mod discovery;
mod dispatcher;
mod guard;
mod host_header;
mod http_connection;
mod log;
mod reload;
mod retry;
mod signals;
mod socket;
mod startup;

use acceptor::Acceptor;
use backends::Backends;
use clients::{Phase, ServeContext};
use counter::Counter;
use discovery::{Source, Subscription, Update};
use dispatcher::Dispatcher;
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
use tokio::time::{sleep, timeout};

/// How long clients wait at a start for the agent's first word, which comes at once from an agent that is there.
const FIRST_WORD_PATIENCE: Duration = Duration::from_millis(250);
/// The part of the memory that the bodies of clients may take all together.
const BODIES_PART: usize = 8;
/// After SIGTERM clients still come for up to 0.4 s; the listener stays open for longer than that. What is
/// in hand then may take as long as a client waits, 3 s at the most, before it fails, and such failures so
/// long to be written: with what came last, the end is due before SIGKILL, 0.7 s after the longest wait.
const LEAVING: Duration = Duration::from_millis(600);
const CLOSING: Duration = Duration::from_millis(3000);
const LAST_WORDS: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process, also where
    // nobody takes its report.
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
        Err(error) => return fail(&format!("cannot take signals: {error}")),
    };
    match run(signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => fail(&problem),
    }
}

fn fail(problem: &str) -> ExitCode {
    log::last_line(problem.to_string());
    ExitCode::FAILURE
}

fn run(signals: CaughtSignals) -> Result<(), String> {
    let build = || {
        if signals.terminated() {
            return Ok(None);
        }
        tokio::runtime::Builder::new_current_thread().enable_all().build().map(Some)
    };
    let runtime = retry::blocking(START_TIMEOUT, "starting the runtime", build)
        .map_err(|error| format!("cannot start: {error}"))?;
    let Some(runtime) = runtime else { return Ok(()) };
    let result = LocalSet::new().block_on(&runtime, start(signals));
    // A file may still be on its way in, for ever.
    runtime.shutdown_background();
    result
}

/// Starts the front door and runs it to its end. A SIGTERM until it listens ends the start, as nothing is in hand.
async fn start(signals: CaughtSignals) -> Result<(), String> {
    let mut signals = signals.wait_on_runtime().map_err(|error| format!("cannot take signals: {error}"))?;
    let prepared = tokio::select! {
        biased;
        () = signals.termination.requested() => return Ok(()),
        prepared = startup::prepare() => prepared?,
    };
    run_gateway(prepared, signals).await
}

/// How long requests in hand may take once nothing new is taken.
fn closing_time(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    Duration::try_from_secs_f64(longest / 1000.0).unwrap_or(CLOSING).min(CLOSING)
}

/// Hands what is heard of discovery on, and tells when the first word has been.
async fn take_in(
    mut updates: UnboundedReceiver<Update>,
    dispatcher: Rc<Dispatcher>,
    told: oneshot::Sender<()>,
) {
    let mut told = Some(told);
    while let Some(update) = updates.recv().await {
        if let Update::List(kind, list) = update {
            dispatcher.servers(kind, list);
        }
        if let Some(told) = told.take() {
            let _ = told.send(());
        }
    }
}

/// Serves until it is told to end and nothing is in hand.
async fn run_gateway(prepared: Prepared, signals: Signals) -> Result<(), String> {
    let Prepared { config, listener, listening_since, descriptors, discovery } = prepared;
    let Signals { hangups, mut termination } = signals;
    let closing = closing_time(&config.settings);
    let has_agent = !config.settings.list_on_request;
    let backends = Rc::new(Backends::new(descriptors.clone(), config.connect_timeout, config.idle_timeout));
    let (counter, line) = Counter::new(config.counter_timeout);
    let (settings, zones) = (config.settings.clone(), config.names.zones.clone());
    let dispatcher = Dispatcher::new(settings, config.seed, zones, backends.clone(), counter)
        .map_err(|error| error.to_string())?;
    let (counter, seen) = watch::channel(config.counter);
    let counted = dispatcher.clone();
    spawn_local(line.run(seen, move |report| counted.counter_reported(report)));
    dispatcher.servers(ListKind::Cached, config.cached_list);
    spawn_local(dispatcher.clone().keep_time());
    let Subscription { source, updates } = discovery;
    let (told, first_word) = oneshot::channel();
    spawn_local(take_in(updates, dispatcher.clone(), told));
    let sweeper = backends.clone();
    spawn_local(async move { sweeper.sweep().await });

    let (phase, seen) = watch::channel(Phase::Serving);
    let context = Rc::new(ServeContext {
        dispatcher: dispatcher.clone(),
        backends,
        names: config.names,
        settings: config.settings,
        phase: seen,
        bodies: Semaphore::new((config.memory_bytes / BODIES_PART).min(Semaphore::MAX_PERMITS)),
    });
    // Until then the list held may be older than what the agent has.
    if has_agent {
        let _ = timeout(FIRST_WORD_PATIENCE, first_word).await;
    }
    let acceptor = Acceptor::new(listener, descriptors.clone(), listening_since);
    let mut serving = spawn_local(clients::serve(acceptor, context, descriptors));

    spawn_local(reload::follow(hangups, move |config| {
        source.send_modify(|source| {
            // Another place may number its revisions otherwise.
            *source = Source { address: config.discovery, held_revision: None, ..*source };
        });
        counter.send_if_modified(|held| std::mem::replace(held, config.counter) != config.counter);
    }));
    termination.requested().await;
    phase.send_replace(Phase::Leaving);
    sleep(LEAVING).await;
    phase.send_replace(Phase::Closing);
    if timeout(closing.saturating_sub(LAST_WORDS), &mut serving).await.is_err() {
        phase.send_replace(Phase::Ended);
        dispatcher.fail_all();
        let _ = timeout(LAST_WORDS, &mut serving).await;
    }
    dispatcher.report();
    Ok(())
}
