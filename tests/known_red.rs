//! Tests of `.ci/known-red`, the check of the list of known test failures. The list must not be able to hide the failure
//! of a test that it does not name.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// The names of all tests, as given to the check.
const TESTS: &str = "clocks::a_step\nclocks::a_step_back\nprocess::a_full_log\n";

/// What the check prints for a list, or `None` if it rejects the list.
fn check(name: &str, list: &str) -> Option<String> {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.txt", std::process::id()));
    std::fs::write(&file, list).expect("the list can be written");
    let mut process = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .arg(&file)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the check can be started");
    // The write may fail: a check that rejects the form of the list may exit before it has read the tests.
    let _ = process.stdin.take().expect("standard input is a pipe").write_all(TESTS.as_bytes());
    let output = process.wait_with_output().expect("the check exits");
    output.status.success().then(|| String::from_utf8(output.stdout).expect("the output is UTF-8"))
}

#[test]
fn valid_entries_print_the_exact_names_of_their_tests() {
    assert_eq!(check("none", ""), Some(String::new()));
    let one = "clocks::a_step | cargo test a_step, seed 508 | 174 of 173.8 | issue 12\n";
    assert_eq!(check("one", one).as_deref(), Some("clocks::a_step\n"));
    let two = format!("{one}process::a_full_log | cargo test | it stays | issue 18 | fails at times");
    assert_eq!(check("two", &two).as_deref(), Some("clocks::a_step\nprocess::a_full_log\n"));
}

#[test]
fn an_entry_that_is_incomplete_or_names_no_test_is_rejected() {
    for (name, list) in [
        ("part", "clocks::a | cargo test | seen | issue 1"),
        ("letter", "a | cargo test | seen | issue 1"),
        ("unknown", "clocks::gone | cargo test | seen | issue 1"),
        ("empty", "\n"),
        ("nameless", " | cargo test | seen | issue 1"),
        ("commandless", "clocks::a_step | | seen | issue 1"),
        ("unseen", "clocks::a_step | cargo test | | issue 1"),
        ("issueless", "clocks::a_step | cargo test | seen"),
        ("wordy", "clocks::a_step | cargo test | seen | some issue"),
        ("more", "clocks::a_step | cargo test | seen | issue 1 | or so"),
        ("pattern", "clocks::.* | cargo test | seen | issue 1"),
    ] {
        assert_eq!(check(name, list), None, "{list:?}");
    }
}
