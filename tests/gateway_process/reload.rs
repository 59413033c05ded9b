//! Signals and configuration files at the start and at a reload.

use crate::peers::*;
use fault_soak::shim::Faults;
use serde_json::{json, Value};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// How long a start is held back: much longer than a process needs to reach its `main`.
const START_DELAY: Duration = Duration::from_millis(1000);
/// A process that has to exit at once has exited by then, also on a slow machine.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Replaces a file by a named pipe: opening it for reading blocks until it is opened for writing.
fn replace_by_pipe(file: &Path) {
    std::fs::remove_file(file).expect("the file is there");
    assert!(Command::new("mkfifo").arg(file).status().expect("mkfifo runs").success());
}

fn first_half(config: &Value) -> String {
    let text = config.to_string();
    text[..text.len() / 2].to_string()
}

// A start retries reading the configuration for up to 20 s. If the signal handlers are installed only after that, a
// SIGHUP, which only says that there is a newer file, kills the process (`signal: 1 (SIGHUP)`).
#[test]
fn several_sighups_do_not_end_a_start_that_cannot_read_its_file_yet() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let faults = FaultInjection::new();
    faults.control.set(Faults { open_fails: 1.0, ..Faults::default() });
    let file = write_config(&config);
    let child = faults.spawn(&file, &config);
    thread::sleep(START_DELAY);
    for _ in 0..5 {
        signal(&child, "-HUP");
    }
    faults.control.set(Faults::default());
    let gateway = GatewayProcess::listening(child, &config, file);
    gateway.serves_from(&backend);
}

// The same for SIGTERM (`signal: 15 (SIGTERM)`): an exit on request is not a failure.
#[test]
fn sigterm_ends_a_start_that_cannot_read_its_file_yet_at_once_with_exit_code_0() {
    for signals in [&["-TERM"][..], &["-HUP", "-TERM", "-HUP", "-TERM"]] {
        let config = config(closed_port(), list(&[]));
        let faults = FaultInjection::new();
        faults.control.set(Faults { open_fails: 1.0, ..Faults::default() });
        let mut child = faults.spawn(&write_config(&config), &config);
        thread::sleep(START_DELAY);
        for name in signals {
            signal(&child, name);
        }
        let status = wait_for_exit(&mut child, EXIT_TIMEOUT).expect("it exits at once");
        assert!(status.success(), "{signals:?}: {status}");
    }
}

/// Whether a process handles SIGHUP, the last of the signals for which `main` installs handlers.
fn handles_signals(child: &Child) -> bool {
    const SIGHUP_BIT: u64 = 1;
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).expect("it is there");
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).expect("the line is there");
    u64::from_str_radix(caught.trim(), 16).expect("a mask") & SIGHUP_BIT != 0
}

#[test]
fn signals_in_any_order_at_any_moment_of_a_start_end_it_with_exit_code_0() {
    let delays = (0..12).map(|n| Duration::from_micros(400 * n));
    let children: Vec<(Duration, Child)> = delays
        .map(|delay| {
            let config = config(closed_port(), list(&[target("s-00000001", closed_port(), "ready")]));
            let child = spawn(&write_config(&config), &config, Stdio::inherit());
            let until = Instant::now() + TEST_TIMEOUT;
            while !handles_signals(&child) {
                assert!(Instant::now() < until, "it installs no signal handlers");
                thread::sleep(Duration::from_micros(100));
            }
            thread::sleep(delay);
            for name in ["-HUP", "-TERM", "-HUP", "-TERM"] {
                signal(&child, name);
            }
            (delay, child)
        })
        .collect();
    for (delay, mut child) in children {
        let status = wait_for_exit(&mut child, EXIT_TIMEOUT).expect("it exits");
        assert!(status.success(), "{delay:?} after the handlers were installed: {status}");
    }
}

#[test]
fn a_file_replaced_after_it_was_read_at_the_start_is_applied() {
    let (first, second) = (Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[]));
    let faults = FaultInjection::new();
    // The file has been read, and the port cannot be bound yet.
    faults.control.set(Faults { socket_fails: 1.0, ..Faults::default() });
    let file = write_config(&config);
    let child = faults.spawn(&file, &config);
    thread::sleep(START_DELAY);
    config["discovery"] = json!(second.address.to_string());
    std::fs::write(&file, config.to_string()).expect("the file is replaced");
    signal(&child, "-HUP");
    faults.control.set(Faults::default());
    let _gateway = GatewayProcess::listening(child, &config, file);
    second.next_request();
}

// A file that is rewritten in place is truncated for a moment. When it was read only once at the signal, the new
// addresses were lost: the log said `not reloaded: configuration: EOF while parsing ...`, and 6 s later the gateway still
// called the old discovery, though a change has to take effect within 4 s of the signal.
#[test]
fn a_file_that_is_truncated_at_the_signal_is_applied_once_it_is_complete() {
    for cut in [first_half, |_: &Value| String::new()] {
        let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
        let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
        let gateway = GatewayProcess::start(&config);
        let _call = first.next_request();
        config["discovery"] = json!(second.address.to_string());
        std::fs::write(&gateway.file, cut(&config)).expect("a part is written");
        gateway.signal("-HUP");
        thread::sleep(Duration::from_millis(300));
        // The previous configuration stays valid.
        gateway.serves_from(&backend);
        std::fs::write(&gateway.file, config.to_string()).expect("the rest is written");
        second.next_request();
    }
}

#[test]
fn an_invalid_configuration_is_logged_once_and_not_applied() {
    let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
    let (log, writer) = UnixStream::pair().expect("a pair");
    let gateway = GatewayProcess::start_with(&config, Stdio::from(OwnedFd::from(writer)));
    let _call = first.next_request();
    config["discovery"] = json!(second.address.to_string());
    config["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    std::fs::write(&gateway.file, config.to_string()).expect("the file is replaced");
    gateway.signal("-HUP");
    thread::sleep(Duration::from_millis(700));
    assert!(second.exchanges.try_recv().is_err(), "an invalid configuration was applied");
    drop(gateway);
    let log = std::io::read_to_string(log).expect("text");
    let expected = "brassport: not reloaded: setting plans[0].rate: must be a finite number, not below 0\n";
    assert_eq!(log.matches("not reloaded").count(), 1, "{log}");
    assert!(log.contains(expected), "{log}");
}

// A start retries a truncated file for up to 20 s, like one that fails with EIO. Earlier it exited at once with code 1.
#[test]
fn a_start_waits_for_a_file_that_is_still_being_written() {
    for cut in [first_half, |_: &Value| String::new()] {
        let backend = Peer::start();
        let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
        let file = write_config(&config);
        std::fs::write(&file, cut(&config)).expect("a part is written");
        let mut child = spawn(&file, &config, Stdio::inherit());
        thread::sleep(START_DELAY);
        assert_eq!(child.try_wait().expect("the process is there"), None, "it has exited");
        std::fs::write(&file, config.to_string()).expect("the rest is written");
        let gateway = GatewayProcess::listening(child, &config, file);
        gateway.serves_from(&backend);
    }
}

// If the file is read on the thread that serves, a file system that hangs stops all service, and the shutdown.
#[test]
fn a_file_whose_open_never_returns_blocks_neither_service_nor_shutdown() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let mut gateway = GatewayProcess::start(&config);
    replace_by_pipe(&gateway.file);
    gateway.signal("-HUP");
    thread::sleep(Duration::from_millis(300));
    let mut client = gateway.client();
    client.send(&get(""));
    backend.next_request().ok("served");
    assert_eq!(client.read().status(), 200);
    gateway.terminate();
    drop(client);
    assert!(wait_for_exit(&mut gateway.child, EXIT_TIMEOUT).expect("it exits").success());
}

#[test]
fn sigterm_ends_a_start_whose_file_never_opens() {
    let config = config(closed_port(), list(&[]));
    let file = write_config(&config);
    replace_by_pipe(&file);
    let mut child = spawn(&file, &config, Stdio::inherit());
    thread::sleep(START_DELAY);
    signal(&child, "-TERM");
    let status = wait_for_exit(&mut child, EXIT_TIMEOUT).expect("it exits at once");
    assert!(status.success(), "{status}");
}

// The first reading is slow, and discovery is called before it ends. A second reading at the same time would take the
// content of the pipe from the first.
#[test]
fn a_start_whose_file_takes_half_a_second_to_open_serves_by_that_file() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let config = config(agent.address, list(&[]));
    let file = write_config(&config);
    replace_by_pipe(&file);
    let starting = StartingGateway::spawn(&file, &config);
    assert_eq!(
        agent.next_request().request.line,
        "GET /v1/servers HTTP/1.1",
        "discovery is called meanwhile"
    );
    thread::sleep(Duration::from_millis(500));
    std::fs::write(&file, config.to_string()).expect("the pipe is read");
    answer_with_list(agent, known);
    starting.listening(&config, file).serves_from(&backend);
}

// The file is replaced while the gateway cannot read it, and no signal follows, as the gateway is not ready. If the
// environment took precedence, the gateway would call a discovery that has moved (soak, seed 9308: sends to draining
// servers).
#[test]
fn a_file_that_becomes_readable_late_takes_precedence_over_the_environment() {
    let (backend, old, new) = (Peer::start(), Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config(old.address, known.clone());
    let file = write_config(&config);
    std::fs::write(&file, &config.to_string()[..99]).expect("the file is truncated");
    let starting = StartingGateway::spawn(&file, &config);
    assert_eq!(old.next_request().request.line, "GET /v1/servers HTTP/1.1", "discovery is called meanwhile");
    config["discovery"] = json!(new.address.to_string());
    std::fs::write(&file, config.to_string()).expect("the file is completed");
    let call = new.next_request();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    call.ok(&known.to_string());
    starting.listening(&config, file).serves_from(&backend);
}
