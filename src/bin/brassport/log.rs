//! The log, on standard error. A thread of its own writes, so that a reader that is slow or gone holds nothing
//! up; what it can't take in time, or what comes too fast, is left out.
//!
//! With `BALANCER_TRACE=1` in the environment each step of each request is logged as well, without a limit on
//! lines in a second.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, SyncSender};
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

/// Writes one line, if there is room for it.
pub fn line(text: String) {
    static WRITER: OnceLock<Option<SyncSender<String>>> = OnceLock::new();
    if let Some(writer) = WRITER.get_or_init(start) {
        let _ = writer.try_send(text);
    }
}

/// Writes the last line of all, at once: behind it the program ends.
pub fn last_line(text: String) {
    let _ = writeln!(io::stderr(), "brassport: {text}");
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

fn start() -> Option<SyncSender<String>> {
    let (queue, most) = if traces() { (TRACE_QUEUE, u32::MAX) } else { (QUEUE, LINES_PER_SECOND) };
    let (sender, lines) = sync_channel::<String>(queue);
    let write = move || {
        let began = Instant::now();
        let (mut since, mut written) = (began, 0);
        for line in lines {
            if since.elapsed() >= Duration::from_secs(1) {
                (since, written) = (Instant::now(), 0);
            }
            written += 1;
            if written > most {
                continue;
            }
            let _ = match traces() {
                true => writeln!(io::stderr(), "brassport: {:.3} {line}", began.elapsed().as_secs_f64()),
                false => writeln!(io::stderr(), "brassport: {line}"),
            };
        }
    };
    thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(write).ok()?;
    Some(sender)
}
