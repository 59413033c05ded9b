//! The log, on standard error. A separate thread writes it, so that a slow or closed reader blocks nothing else. Lines
//! that do not fit in the queue or exceed the rate limit are dropped.
//!
//! With `BALANCER_TRACE=1` in the environment each step of each request is logged as well, without a rate limit.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

/// The environment variable that turns the trace on.
const TRACE_VARIABLE: &str = "BALANCER_TRACE";
/// Maximum number of lines in the queue of the writer thread, without and with the trace.
const QUEUE_LINES: usize = 32;
const TRACE_QUEUE_LINES: usize = 65_536;
/// Maximum number of lines written per second without the trace; more are dropped.
const MAX_LINES_PER_SECOND: u32 = 20;
/// How long the exit of the process waits for the last line to be written.
const LAST_LINE_TIMEOUT: Duration = Duration::from_millis(50);

/// An entry in the queue of the writer thread.
enum Entry {
    Line(String),
    /// A line that is exempt from the rate limit; the sender is signalled once it is written.
    Last(String, SyncSender<()>),
}

/// Queues one line, or drops it if the queue is full.
pub fn line(text: String) {
    if let Some(writer) = writer() {
        let _ = writer.try_send(Entry::Line(text));
    }
}

/// Writes the last line before the process exits, and waits for it for a limited time.
pub fn last_line(text: String) {
    let (done, written) = sync_channel(1);
    let queued = writer().is_some_and(|writer| writer.try_send(Entry::Last(text, done)).is_ok());
    if queued {
        let _ = written.recv_timeout(LAST_LINE_TIMEOUT);
    }
}

/// Logs one step if the trace is on; otherwise `step` is not evaluated.
pub fn trace(subject: impl Display, step: impl FnOnce() -> String) {
    if trace_enabled() {
        line(format!("trace {subject} {}", step()));
    }
}

fn trace_enabled() -> bool {
    static TRACE_ENABLED: OnceLock<bool> = OnceLock::new();
    *TRACE_ENABLED.get_or_init(|| std::env::var(TRACE_VARIABLE).is_ok_and(|value| value == "1"))
}

fn writer() -> Option<&'static SyncSender<Entry>> {
    static WRITER: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();
    WRITER.get_or_init(start).as_ref()
}

fn start() -> Option<SyncSender<Entry>> {
    let queue_lines = if trace_enabled() { TRACE_QUEUE_LINES } else { QUEUE_LINES };
    let (sender, entries) = sync_channel(queue_lines);
    let writer = thread::Builder::new().name("log".into()).stack_size(64 * 1024);
    writer.spawn(move || write_all(entries)).ok()?;
    Some(sender)
}

fn write_all(entries: Receiver<Entry>) {
    let max_lines = if trace_enabled() { u32::MAX } else { MAX_LINES_PER_SECOND };
    let started = Instant::now();
    let (mut second_started, mut lines) = (started, 0);
    for entry in entries {
        if second_started.elapsed() >= Duration::from_secs(1) {
            (second_started, lines) = (Instant::now(), 0);
        }
        match entry {
            Entry::Line(text) => {
                lines += 1;
                if lines <= max_lines {
                    write(started, &text);
                }
            }
            Entry::Last(text, done) => {
                write(started, &text);
                let _ = done.send(());
            }
        }
    }
}

/// Writes one line; a line that cannot be written is dropped. With the trace it starts with the seconds since the start
/// of the log.
fn write(started: Instant, text: &str) {
    let _ = if trace_enabled() {
        writeln!(io::stderr(), "brassport: {:.3} {text}", started.elapsed().as_secs_f64())
    } else {
        writeln!(io::stderr(), "brassport: {text}")
    };
}
