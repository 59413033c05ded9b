//! System calls of the program fail in documented ways.

use crate::peers::*;
use fault_soak::shim::Faults;

#[test]
fn interrupted_reads_and_writes_lose_no_request() {
    let backend = Peer::start();
    let faulty = Faulty::new();
    let config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    let front = faulty.start(&config);
    let _served = answer_all(backend);
    faulty.control.set(Faults { read_interrupted: 0.3, write_interrupted: 0.3, ..Faults::default() });
    for _ in 0..60 {
        let mut client = front.client();
        for _ in 0..2 {
            assert_eq!(client.send(&post("once")).read().status(), 200);
        }
    }
}
