//! The check of the list of known failures, which must not be able to hide another test's failure.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const TESTS: &str = "clocks::a_step\nclocks::a_step_back\nprocess::a_full_log\n";

/// What the check prints of a list, or `None` if it rejects it.
fn listed(name: &str, list: &str) -> Option<String> {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.txt", std::process::id()));
    std::fs::write(&file, list).expect("the list is written");
    let mut check = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .arg(&file)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the check starts");
    // One that rejects the list's form may end before it has read the tests.
    let _ = check.stdin.take().expect("a pipe").write_all(TESTS.as_bytes());
    let output = check.wait_with_output().expect("it ends");
    output.status.success().then(|| String::from_utf8(output.stdout).expect("text"))
}

#[test]
fn exact_names_of_tests_are_passed_over() {
    assert_eq!(listed("none", ""), Some(String::new()));
    let one = "clocks::a_step | cargo test a_step, seed 508 | 174 of 173.8 | issue 12\n";
    assert_eq!(listed("one", one).as_deref(), Some("clocks::a_step\n"));
    let two = format!("{one}process::a_full_log | cargo test | it stays | issue 18 | fails at times");
    assert_eq!(listed("two", &two).as_deref(), Some("clocks::a_step\nprocess::a_full_log\n"));
}

#[test]
fn an_entry_that_is_not_whole_or_names_no_test_is_rejected() {
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
        assert_eq!(listed(name, list), None, "{list:?}");
    }
}
