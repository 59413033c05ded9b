//! Signals and files at a start and at a reload.

use crate::peers::*;
use fault_soak::shim::Faults;
use serde_json::{json, Value};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A start is held up for so long: much longer than a process needs until its `main` runs.
const HELD_UP: Duration = Duration::from_millis(1000);
/// Whatever is told to end at once has ended by then, also on a slow machine.
const AT_ONCE: Duration = Duration::from_secs(5);

/// Puts a named pipe in the place of a file: opening it to read takes until somebody opens it to write.
fn replace_by_pipe(file: &Path) {
    std::fs::remove_file(file).expect("the file is there");
    assert!(Command::new("mkfifo").arg(file).status().expect("mkfifo runs").success());
}

fn half(config: &Value) -> String {
    let text = config.to_string();
    text[..text.len() / 2].to_string()
}

// Signals were taken only once the configuration had been read, which a start tries for up to 20 s: until then a
// SIGHUP, which says no more than that there is a newer file, ended the process (`signal: 1 (SIGHUP)`).
#[test]
fn a_start_that_cannot_read_its_file_yet_bears_signals_in_series() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let faulty = FaultInjection::new();
    faulty.control.set(Faults { open_fails: 1.0, ..Faults::default() });
    let file = write_config(&config);
    let child = faulty.spawn(&file, &config);
    thread::sleep(HELD_UP);
    for _ in 0..5 {
        signal(&child, "-HUP");
    }
    faulty.control.set(Faults::default());
    let front = GatewayProcess::listening(child, &config, file);
    front.serves_from(&backend);
}

// The same with SIGTERM (`signal: 15 (SIGTERM)`): an end that was asked for is none with an error.
#[test]
fn a_start_that_is_told_to_end_ends_at_once_and_in_order() {
    for signals in [&["-TERM"][..], &["-HUP", "-TERM", "-HUP", "-TERM"]] {
        let config = config(closed_port(), list(&[]));
        let faulty = FaultInjection::new();
        faulty.control.set(Faults { open_fails: 1.0, ..Faults::default() });
        let mut child = faulty.spawn(&write_config(&config), &config);
        thread::sleep(HELD_UP);
        for name in signals {
            signal(&child, name);
        }
        let status = wait_for_exit(&mut child, AT_ONCE).expect("it ends at once");
        assert!(status.success(), "{signals:?}: {status}");
    }
}

/// Whether a process takes SIGHUP, the last of the signals that `main` takes first of all.
fn takes_signals(child: &Child) -> bool {
    const SIGHUP_BIT: u64 = 1;
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).expect("it is there");
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).expect("the line is there");
    u64::from_str_radix(caught.trim(), 16).expect("a mask") & SIGHUP_BIT != 0
}

#[test]
fn signals_in_any_order_at_any_moment_of_a_start_end_it_in_order() {
    let moments = (0..12).map(|moment| Duration::from_micros(400 * moment));
    let ending: Vec<(Duration, Child)> = moments
        .map(|moment| {
            let config = config(closed_port(), list(&[target("s-00000001", closed_port(), "ready")]));
            let child = spawn(&write_config(&config), &config, Stdio::inherit());
            let until = Instant::now() + TEST_TIMEOUT;
            while !takes_signals(&child) {
                assert!(Instant::now() < until, "it takes no signals");
                thread::sleep(Duration::from_micros(100));
            }
            thread::sleep(moment);
            for name in ["-HUP", "-TERM", "-HUP", "-TERM"] {
                signal(&child, name);
            }
            (moment, child)
        })
        .collect();
    for (moment, mut child) in ending {
        let status = wait_for_exit(&mut child, AT_ONCE).expect("it ends");
        assert!(status.success(), "{moment:?} behind the moment at which it takes signals: {status}");
    }
}

#[test]
fn a_file_that_is_newer_than_the_one_read_at_the_start_is_taken() {
    let (first, second) = (Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[]));
    let faulty = FaultInjection::new();
    // The file is read and the port can't be had yet.
    faulty.control.set(Faults { socket_fails: 1.0, ..Faults::default() });
    let file = write_config(&config);
    let child = faulty.spawn(&file, &config);
    thread::sleep(HELD_UP);
    config["discovery"] = json!(second.address.to_string());
    std::fs::write(&file, config.to_string()).expect("the file is replaced");
    signal(&child, "-HUP");
    faulty.control.set(Faults::default());
    let _front = GatewayProcess::listening(child, &config, file);
    second.next();
}

// A file that is rewritten in place is cut short for a moment. At the signal it was read once and the new addresses
// were dropped for good: `not reloaded: configuration: EOF while parsing ...`, and 6 s later the gateway still asked
// the old discovery, though a change counts as told 4 s after the signal.
#[test]
fn a_new_configuration_that_is_half_written_at_the_signal_is_taken_once_it_is_whole() {
    for cut in [half, |_: &Value| String::new()] {
        let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
        let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
        let front = GatewayProcess::start(&config);
        let _call = first.next();
        config["discovery"] = json!(second.address.to_string());
        std::fs::write(&front.file, cut(&config)).expect("a part is written");
        front.signal("-HUP");
        thread::sleep(Duration::from_millis(300));
        // What was in force stays so.
        front.serves_from(&backend);
        std::fs::write(&front.file, config.to_string()).expect("the rest is written");
        second.next();
    }
}

#[test]
fn a_configuration_that_makes_no_sense_is_told_once_and_changes_nothing() {
    let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
    let (log, writer) = UnixStream::pair().expect("a pair");
    let front = GatewayProcess::start_with(&config, Stdio::from(OwnedFd::from(writer)));
    let _call = first.next();
    config["discovery"] = json!(second.address.to_string());
    config["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    std::fs::write(&front.file, config.to_string()).expect("the file is replaced");
    front.signal("-HUP");
    thread::sleep(Duration::from_millis(700));
    assert!(second.exchanges.try_recv().is_err(), "a configuration that makes no sense is in force");
    drop(front);
    let said = std::io::read_to_string(log).expect("text");
    let told = "brassport: not reloaded: setting plans[0].rate: must be a finite number, not below 0\n";
    assert_eq!(said.matches("not reloaded").count(), 1, "{said}");
    assert!(said.contains(told), "{said}");
}

// At the start the same file ended the process at once, with exit code 1, where one that fails with EIO is tried for
// 20 s.
#[test]
fn a_start_bears_a_file_that_is_still_being_written() {
    for cut in [half, |_: &Value| String::new()] {
        let backend = Peer::start();
        let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
        let file = write_config(&config);
        std::fs::write(&file, cut(&config)).expect("a part is written");
        let mut child = spawn(&file, &config, Stdio::inherit());
        thread::sleep(HELD_UP);
        assert_eq!(child.try_wait().expect("the process is there"), None, "it has ended");
        std::fs::write(&file, config.to_string()).expect("the rest is written");
        let front = GatewayProcess::listening(child, &config, file);
        front.serves_from(&backend);
    }
}

// The file was read on the thread that serves: a folder that hangs stopped all service, and the end.
#[test]
fn a_file_that_takes_for_ever_to_open_holds_up_neither_service_nor_the_end() {
    let backend = Peer::start();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let mut front = GatewayProcess::start(&config);
    replace_by_pipe(&front.file);
    front.signal("-HUP");
    thread::sleep(Duration::from_millis(300));
    let mut client = front.client();
    client.send(&get(""));
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);
    front.terminate();
    drop(client);
    assert!(wait_for_exit(&mut front.child, AT_ONCE).expect("it ends").success());
}

#[test]
fn a_start_whose_file_takes_for_ever_to_open_can_be_told_to_end() {
    let config = config(closed_port(), list(&[]));
    let file = write_config(&config);
    replace_by_pipe(&file);
    let mut child = spawn(&file, &config, Stdio::inherit());
    thread::sleep(HELD_UP);
    signal(&child, "-TERM");
    let status = wait_for_exit(&mut child, AT_ONCE).expect("it ends at once");
    assert!(status.success(), "{status}");
}

// Two readings at a time would take the file from each other.
#[test]
fn a_start_whose_file_takes_half_a_second_to_open_serves_by_it() {
    let (backend, agent) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let config = config(agent.address, list(&[]));
    let file = write_config(&config);
    replace_by_pipe(&file);
    let starting = StartingGateway::spawn(&file, &config);
    assert_eq!(agent.next().request.line, "GET /v1/servers HTTP/1.1", "asked meanwhile");
    thread::sleep(Duration::from_millis(500));
    std::fs::write(&file, config.to_string()).expect("the pipe is read");
    thread::spawn(move || {
        while let Ok(call) = agent.exchanges.recv() {
            call.answer_if_open(&known.to_string());
        }
    });
    starting.listening(&config, file).serves_from(&backend);
}

// The file was replaced while the gateway could not read it, and no signal told of it, as the gateway was not ready. It
// asked the discovery of its environment from then on, which had moved (soak, seed 9308: sends to draining servers).
#[test]
fn a_file_that_can_be_read_only_later_goes_before_the_environment() {
    let (backend, old, new) = (Peer::start(), Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config(old.address, known.clone());
    let file = write_config(&config);
    std::fs::write(&file, &config.to_string()[..99]).expect("the file is cut short");
    let starting = StartingGateway::spawn(&file, &config);
    assert_eq!(old.next().request.line, "GET /v1/servers HTTP/1.1", "asked meanwhile");
    config["discovery"] = json!(new.address.to_string());
    std::fs::write(&file, config.to_string()).expect("the file is whole");
    let call = new.next();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    call.ok(&known.to_string());
    starting.listening(&config, file).serves_from(&backend);
}
