//! Tests of the configuration files that the soak writes for its gateways.

use fault_soak::event_log::EventLog;
use fault_soak::gateway::{Gateway, PeerConfig};
use fault_soak::scenario::Scenario;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;

/// A reload and the restart of a gateway may write its configuration at the same time.
#[test]
fn concurrent_writers_of_one_configuration_do_not_fail() {
    const WRITES: usize = 5;
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("config-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    let site = Scenario::draw(1, 1, 6000.0).site;
    let event_log = Arc::new(EventLog::new(1));
    let gateway = Gateway::new(0, event_log, Path::new("unused"), None, &folder).expect("create the gateway");
    let address = gateway.address;
    let peers = PeerConfig { discovery: address, counter: address, known_servers: json!(null) };
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..WRITES).for_each(|_| gateway.configure(&site, &peers)));
        }
    });
    let text = std::fs::read(folder.join("gateway-config-0.json")).expect("read the configuration");
    let written: Value = serde_json::from_slice(&text).expect("a complete JSON document");
    assert_eq!(written["listen"], address.to_string());
}
