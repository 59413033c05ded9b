//! Invalid configurations, and a log that is full, closed or not read.

use crate::peers::*;
use serde_json::json;
use std::io::Write;
use std::net::{Ipv4Addr, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// More than the longest time from SIGTERM to SIGKILL, to allow for a slow machine.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A log whose buffer is full, and its other end, which is not read.
fn full_log() -> (Stdio, UnixStream) {
    let (log, unread) = UnixStream::pair().expect("a pair");
    log.set_nonblocking(true).expect("the mode is set");
    while (&log).write(&[b'x'; 4096]).is_ok() {}
    log.set_nonblocking(false).expect("the mode is set");
    (Stdio::from(OwnedFd::from(log)), unread)
}

#[test]
fn full_log_does_not_stop_the_gateway() {
    let (log, unread) = full_log();
    let servers = list(&[target("s-00000001", closed_port(), "draining")]);
    let gateway = GatewayProcess::start_with(&config(closed_port(), servers), log);
    let mut client = gateway.client();
    // No server is ready, and the decision module logs its refusals once a second.
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert_eq!(client.send(&get("")).read().status(), 429);
        thread::sleep(Duration::from_millis(50));
    }
    drop(unread);
}

#[test]
fn closed_log_does_not_end_the_gateway() {
    let servers = list(&[target("s-00000001", closed_port(), "draining")]);
    let config = config(closed_port(), servers);
    let mut gateway = GatewayProcess::start_with(&config, Stdio::piped());
    drop(gateway.child.stderr.take());
    let mut client = gateway.client();
    // No server is ready, and the decision module logs its refusals once a second.
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert_eq!(client.send(&get("")).read().status(), 429);
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn invalid_configuration_exits_with_one_error_line() {
    let mut invalid = config(closed_port(), list(&[]));
    invalid["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let output =
        spawn(&write_config(&invalid), &invalid, Stdio::piped()).wait_with_output().expect("it ends");
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert_eq!(stderr, "brassport: setting plans[0].rate: must be a finite number, not below 0\n");
}

// The exiting thread wrote the last line itself, and so had to wait for other threads that held the lock of standard
// error: the process was still running 8 s after SIGTERM.
#[test]
fn unread_log_does_not_delay_the_exit() {
    for trace in ["0", "1"] {
        let (log, _unread) = full_log();
        let config = config(closed_port(), list(&[target("s-00000001", closed_port(), "draining")]));
        let file = write_config(&config);
        let child = command(&file, &config).env("BALANCER_TRACE", trace).stderr(log).spawn();
        let mut gateway = GatewayProcess::listening(child.expect("the program starts"), &config, file);
        let mut client = gateway.client();
        for _ in 0..20 {
            assert_eq!(client.send(&get("")).read().status(), 429);
        }
        drop(client);
        gateway.terminate();
        let status = wait_for_exit(&mut gateway.child, EXIT_TIMEOUT).expect("it ends");
        assert!(status.success(), "trace {trace}: {status}");
    }
}

// With standard error closed at its other end, writing the error of a failed start panicked and the process aborted
// (`signal: 6`); with standard error full and not read, the process did not exit.
#[test]
fn failed_start_exits_with_its_code_even_if_the_error_cannot_be_written() {
    let mut invalid = config(closed_port(), list(&[]));
    invalid["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let file = write_config(&invalid);
    let (full, _unread) = full_log();
    let (closed, other_end) = UnixStream::pair().expect("a pair");
    drop(other_end);
    for log in [full, Stdio::from(OwnedFd::from(closed))] {
        let mut child = spawn(&file, &invalid, log);
        let status = wait_for_exit(&mut child, EXIT_TIMEOUT).expect("it ends");
        assert_eq!(status.code(), Some(1), "{status}");
    }
}

// A process that starts inherits the open sockets of this one until its exec. If one of them listened at the address of a
// gateway, clients would be connected to it, and reset, before the gateway listens.
#[test]
fn no_connection_is_accepted_at_the_address_of_a_gateway_before_it_listens() {
    const ADDRESSES: usize = 1000;
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let _ = Command::new("true").status();
                }
            });
        }
        let connect = |_: &usize| TcpStream::connect(free_address(Ipv4Addr::new(127, 254, 0, 1))).is_ok();
        let accepted = (0..ADDRESSES).filter(connect).count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(accepted, 0, "of {ADDRESSES} addresses");
    });
}
