//! Which texts are taken for a configuration that is still being written.

use super::*;

/// Numbers of all forms, names and words that take more bytes than letters.
const WHOLE: &str = r#"{"name":"n\u00e9é","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","counter":null,
  "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"sockets":1024,"memory_mb":192},
  "known":{"rev":1,"all":true,"targets":[]},
  "settings":{"areas":["a"],"balancers":3,"ordinal":0,"zone":0,"tick":4.25e0,"registryMode":"pushed",
   "bounds":{"cancel":true,"connIdle":1.5E+4,"connectTimeout":250.0,"maxAttempts":4,"maxRetryAfter":500.0,
             "mayDuplicate":false,"retryAfter":true},
   "rules":{"cold":18000.0,"coldFrom":2.4e-1,"fall":3000.0,"stopSendingWithin":10000.0,"tipMultiple":2.0},
   "familyInfo":{"mostUnits":1,"usePeriod":500.0},"classes":[],
   "plans":[{"name":"starter","unitsPerS":-1.0,"storeSize":0.0,"concurrency":0,"price":1.0,"excessWorth":0.0,
             "overrunCost":0.8,"neverOverRate":0.0,"capDepth":0.0,"tolerance":0.0}]}}"#;

// Cut behind `1.`, `2.4e` or `-` the text ends in what is no number, which the soak met before this test did:
// `configuration: invalid number at line 1 column 1818`, and the start was over.
#[test]
fn a_text_that_is_cut_short_anywhere_is_still_being_written() {
    assert!(parse(WHOLE.as_bytes()).is_ok());
    for length in 0..WHOLE.len() {
        let problem = parse(&WHOLE.as_bytes()[..length]).err();
        let cut = &WHOLE.as_bytes()[length.saturating_sub(12)..length];
        let cut = String::from_utf8_lossy(cut);
        assert!(matches!(problem, Some(Problem::Incomplete(_))), "cut behind {cut:?}: {problem:?}");
    }
}

#[test]
fn a_whole_text_that_makes_no_sense_is_no_configuration() {
    for text in [
        "hello",
        "{}",
        "[]",
        "12",
        "{\"name\":1]",
        "{\"seed\":01}",
        "{\"seed\":1.}",
        &WHOLE.replace("1024", "-1"),
        &format!("{WHOLE} and more"),
    ] {
        let problem = parse(text.as_bytes()).err();
        assert!(matches!(problem, Some(Problem::Invalid(_))), "{text:.60}: {problem:?}");
    }
}
