//! Which texts are treated as a configuration file that is still being written.

use super::*;

/// A complete file with numbers in all forms, and strings with escapes and multi-byte characters.
const COMPLETE: &str = r#"{"name":"n\u00e9é","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","counter":null,
  "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"sockets":1024,"memory_mb":192},
  "known":{"rev":1,"all":true,"targets":[]},
  "settings":{"areas":["a"],"balancers":3,"ordinal":0,"zone":0,"tick":4.25e0,"registryMode":"pushed",
   "bounds":{"cancel":true,"connIdle":1.5E+4,"connectTimeout":250.0,"maxAttempts":4,"maxRetryAfter":500.0,
             "mayDuplicate":false,"retryAfter":true},
   "rules":{"cold":18000.0,"coldFrom":2.4e-1,"fall":3000.0,"stopSendingWithin":10000.0,"tipMultiple":2.0},
   "familyInfo":{"mostUnits":1,"usePeriod":500.0},"classes":[],
   "plans":[{"name":"starter","unitsPerS":-1.0,"storeSize":0.0,"concurrency":0,"price":1.0,"excessWorth":0.0,
             "overrunCost":0.8,"neverOverRate":0.0,"capDepth":0.0,"tolerance":0.0}]}}"#;

// A text that is truncated after `1.`, `2.4e` or `-` ends in an invalid number, not in an unexpected end. A gateway that
// read such a file at its start exited with `configuration: invalid number at line 1 column 1818`.
#[test]
fn a_file_truncated_at_any_byte_is_treated_as_still_being_written() {
    assert!(parse(COMPLETE.as_bytes()).is_ok());
    for length in 0..COMPLETE.len() {
        let error = parse(&COMPLETE.as_bytes()[..length]).err();
        let end = &COMPLETE.as_bytes()[length.saturating_sub(12)..length];
        let end = String::from_utf8_lossy(end);
        assert!(matches!(error, Some(ConfigError::Incomplete(_))), "truncated after {end:?}: {error:?}");
    }
}

#[test]
fn a_complete_text_that_is_not_a_valid_configuration_is_rejected() {
    for text in [
        "hello",
        "{}",
        "[]",
        "12",
        "{\"name\":1]",
        "{\"seed\":01}",
        "{\"seed\":1.}",
        &COMPLETE.replace("1024", "-1"),
        &format!("{COMPLETE} and more"),
    ] {
        let error = parse(text.as_bytes()).err();
        assert!(matches!(error, Some(ConfigError::Invalid(_))), "{text:.60}: {error:?}");
    }
}
