//! The log, on standard error. A thread of its own writes, so that a reader that is slow or gone holds nothing
//! up; what it can't take in time, or what comes too fast, is left out.
//!
//! With `BALANCER_TRACE=1` in the environment each step of each request is logged as well, without a limit on
//! lines in a second.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

/// Names the variable that turns the trace on.
const TRACE_VARIABLE: &str = "BALANCER_TRACE";
/// Lines that may wait for the writer.
const QUEUE: usize = 32;
const TRACE_QUEUE: usize = 65_536;
/// Lines that are written within a second while there is no trace.
const LINES_PER_SECOND: u32 = 20;
/// How long the program's end waits until the last line is written.
const LAST_LINE_PATIENCE: Duration = Duration::from_millis(50);

/// What the writer is handed.
enum Entry {
    Line(String),
    /// One that is always written; its sender hears when it is.
    Last(String, SyncSender<()>),
}

/// Writes one line, if there is room for it.
pub fn line(text: String) {
    if let Some(writer) = writer() {
        let _ = writer.try_send(Entry::Line(text));
    }
}

/// Writes the last line of all: behind it the program ends, whether or not somebody takes the line.
pub fn last_line(text: String) {
    let (done, written) = sync_channel(1);
    let handed_over = writer().is_some_and(|writer| writer.try_send(Entry::Last(text, done)).is_ok());
    if handed_over {
        let _ = written.recv_timeout(LAST_LINE_PATIENCE);
    }
}

/// Writes one step of a request if the trace is on; otherwise nothing is made of it.
pub fn trace(subject: impl Display, step: impl FnOnce() -> String) {
    if traces() {
        line(format!("trace {subject} {}", step()));
    }
}

fn traces() -> bool {
    static TRACES: OnceLock<bool> = OnceLock::new();
    *TRACES.get_or_init(|| std::env::var(TRACE_VARIABLE).is_ok_and(|value| value == "1"))
}

fn writer() -> Option<&'static SyncSender<Entry>> {
    static WRITER: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();
    WRITER.get_or_init(start).as_ref()
}

fn start() -> Option<SyncSender<Entry>> {
    let queue = if traces() { TRACE_QUEUE } else { QUEUE };
    let (sender, entries) = sync_channel(queue);
    let writer = thread::Builder::new().name("log".into()).stack_size(64 * 1024);
    writer.spawn(move || write_all(entries)).ok()?;
    Some(sender)
}

fn write_all(entries: Receiver<Entry>) {
    let most = if traces() { u32::MAX } else { LINES_PER_SECOND };
    let began = Instant::now();
    let (mut since, mut written) = (began, 0);
    for entry in entries {
        if since.elapsed() >= Duration::from_secs(1) {
            (since, written) = (Instant::now(), 0);
        }
        match entry {
            Entry::Line(text) => {
                written += 1;
                if written <= most {
                    write(began, &text);
                }
            }
            Entry::Last(text, done) => {
                write(began, &text);
                let _ = done.send(());
            }
        }
    }
}

/// A line that nobody takes is lost.
fn write(began: Instant, text: &str) {
    let _ = if traces() {
        writeln!(io::stderr(), "brassport: {:.3} {text}", began.elapsed().as_secs_f64())
    } else {
        writeln!(io::stderr(), "brassport: {text}")
    };
}
