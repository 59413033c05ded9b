//! The configuration and the log.

use crate::peers::*;
use serde_json::json;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The longest time from SIGTERM to SIGKILL, and more for a slow machine.
const END: Duration = Duration::from_secs(10);

/// A log that takes nothing more, and the end at which nobody reads.
fn full_log() -> (Stdio, UnixStream) {
    let (log, nobody) = UnixStream::pair().expect("a pair");
    log.set_nonblocking(true).expect("the mode is set");
    while (&log).write(&[b'x'; 4096]).is_ok() {}
    log.set_nonblocking(false).expect("the mode is set");
    (Stdio::from(OwnedFd::from(log)), nobody)
}

#[test]
fn a_full_log_stops_nothing() {
    let (log, nobody) = full_log();
    let known = list(&[target("s-00000001", closed_port(), "draining")]);
    let front = GatewayProcess::start_with(&config(closed_port(), known), log);
    let mut client = front.client();
    // The module reports once a second that it has no server.
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert_eq!(client.send(&get("")).read().status(), 429);
        thread::sleep(Duration::from_millis(50));
    }
    drop(nobody);
}

#[test]
fn a_log_that_nobody_takes_ends_nothing() {
    let known = list(&[target("s-00000001", closed_port(), "draining")]);
    let config = config(closed_port(), known);
    let mut front = GatewayProcess::start_with(&config, Stdio::piped());
    drop(front.child.stderr.take());
    let mut client = front.client();
    // The module reports once a second that it has no server.
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert_eq!(client.send(&get("")).read().status(), 429);
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn bad_configuration_ends_with_one_plain_line() {
    let mut bad = config(closed_port(), list(&[]));
    bad["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let output = spawn(&write_config(&bad), &bad, Stdio::piped()).wait_with_output().expect("it ends");
    assert!(!output.status.success());
    let said = String::from_utf8(output.stderr).expect("text");
    assert_eq!(said, "brassport: setting plans[0].rate: must be a finite number, not below 0\n");
}

// The last line was written on the thread that ends the process, behind whoever else holds standard error: 8 s after
// SIGTERM the process was still there.
#[test]
fn a_log_that_nobody_reads_does_not_hold_up_the_end() {
    for trace in ["0", "1"] {
        let (log, _nobody) = full_log();
        let config = config(closed_port(), list(&[target("s-00000001", closed_port(), "draining")]));
        let file = write_config(&config);
        let child = command(&file, &config).env("BALANCER_TRACE", trace).stderr(log).spawn();
        let mut front = GatewayProcess::listening(child.expect("the program starts"), &config, file);
        let mut client = front.client();
        for _ in 0..20 {
            assert_eq!(client.send(&get("")).read().status(), 429);
        }
        drop(client);
        front.terminate();
        let status = wait_for_exit(&mut front.child, END).expect("it ends");
        assert!(status.success(), "trace {trace}: {status}");
    }
}

// Where nobody takes standard error the report of a failed start panicked, and the process aborted (`signal: 6`); where
// nobody reads it the process stayed.
#[test]
fn a_start_that_fails_ends_with_its_code_whatever_becomes_of_its_report() {
    let mut bad = config(closed_port(), list(&[]));
    bad["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let file = write_config(&bad);
    let (full, _nobody) = full_log();
    let (closed, gone) = UnixStream::pair().expect("a pair");
    drop(gone);
    for log in [full, Stdio::from(OwnedFd::from(closed))] {
        let mut child = spawn(&file, &bad, log);
        let status = wait_for_exit(&mut child, END).expect("it ends");
        assert_eq!(status.code(), Some(1), "{status}");
    }
}
