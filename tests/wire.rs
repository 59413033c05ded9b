//! The codec of the simulator's protocol and its adapter process: every kind of record, and malformed input.

use springusher::wire::{parse_settings, Batch, Reply, WireError, WireEvent, ACTION_SIZE, EVENT_SIZE};
use springusher::*;
use std::io::Write;
use std::process::{Command, Stdio};

/// An event record under construction: code, instance, then fields at their offsets.
struct EventRecord([u8; EVENT_SIZE]);

impl EventRecord {
    fn new(code: u8, instance: u16) -> EventRecord {
        EventRecord([0; EVENT_SIZE]).put(0, &[code]).put(1, &instance.to_be_bytes())
    }
    fn put(mut self, at: usize, bytes: &[u8]) -> EventRecord {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
}

fn frame(clock: f64, records: &[EventRecord], tail: &[u8]) -> Vec<u8> {
    let mut body = (records.len() as u32).to_be_bytes().to_vec();
    records.iter().for_each(|record| body.extend(record.0));
    body.extend(tail);
    let mut frame = clock.to_be_bytes().to_vec();
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

fn read(bytes: &[u8]) -> Result<Batch, WireError> {
    Batch::read(&mut &bytes[..]).map(|batch| batch.expect("a frame"))
}

fn decode(record: EventRecord, tail: &[u8]) -> Result<(u16, WireEvent), WireError> {
    read(&frame(1.5, &[record], tail))?.event(0)
}

fn event(record: EventRecord) -> Event {
    match decode(record, &[]) {
        Ok((3, WireEvent::Event(event))) => event,
        other => panic!("{other:?}"),
    }
}

fn settings_text() -> String {
    let lines = "balancers=2 ordinal=1 zone=0 classes.count=2 classes.0.semantics=free classes.0.worth=3.0 \
        classes.0.slo=700.0 classes.0.deadline=3000.0 classes.0.lateShare=0.5 classes.1.semantics=guarded \
        classes.1.group=cell classes.1.dedupWindow=900.0 classes.1.worth=1.0 classes.1.slo=700.0 \
        classes.1.deadline=3000.0 classes.1.lateShare=0.0 plans.count=1 plans.0.unitsPerS=2.5 plans.0.storeSize=9.0 \
        plans.0.concurrency=0 plans.0.price=1.0 plans.0.excessWorth=0.0 plans.0.overrunCost=0.5 \
        plans.0.neverOverRate=0.0 plans.0.capDepth=0.0 plans.0.tolerance=0.0 familyInfo.mostUnits=1 \
        familyInfo.usePeriod=400.0 bounds.maxAttempts=3 bounds.mayDuplicate=true bounds.cancel=true \
        bounds.retryAfter=false rules.stopSendingWithin=800.0 rules.coldFrom=0.3 rules.cold=9000.0 \
        rules.tipMultiple=3.0 rules.fall=2500.0 tick=4.0 registryMode=pushed some.new.key=value";
    lines.split_whitespace().collect::<Vec<_>>().join("\n")
}

#[test]
fn settings_are_parsed_and_unknown_keys_ignored() {
    let read = parse_settings(&settings_text()).expect("readable");
    assert_eq!((read.gateways, read.ordinal, read.max_attempts, read.may_duplicate), (2, 1, 3, true));
    assert_eq!(read.classes[1].idempotency, Idempotency::Keyed { scope: DedupScope::Cell, window: 900.0 });
    assert_eq!((read.plans[0].rate, read.plans[0].burst, read.plans[0].excess_cost), (2.5, 9.0, 0.5));
    assert_eq!((read.meter_period, read.overload_after, read.max_retry_after), (400.0, 2500.0, 0.0));
}

#[test]
fn a_missing_or_invalid_setting_is_named_in_the_error() {
    for line in settings_text().lines().filter(|line| !line.starts_with("some.")) {
        let key = line.split('=').next().expect("a key");
        let without: Vec<_> =
            settings_text().lines().filter(|other| *other != line).map(String::from).collect();
        let error = parse_settings(&without.join("\n")).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
        let broken = settings_text().replace(line, &format!("{key}=?"));
        let error = parse_settings(&broken).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
    for (good, bad) in
        [("unitsPerS=2.5", "unitsPerS=-1"), ("balancers=2", "balancers=0"), ("slo=700.0", "slo=NaN")]
    {
        assert!(parse_settings(&settings_text().replace(good, bad)).is_err(), "{bad}");
    }
}

#[test]
fn accept_is_decoded() {
    let record = EventRecord::new(18, 3)
        .put(3, &77u64.to_be_bytes())
        .put(11, &2f32.to_be_bytes())
        .put(15, &1u32.to_be_bytes())
        .put(19, &12345u64.to_be_bytes())
        .put(27, &[6])
        .put(28, &1250.5f64.to_be_bytes())
        .put(40, &4u16.to_be_bytes())
        .put(42, &1.5f32.to_be_bytes());
    let request = Request {
        id: 77,
        customer: 12345,
        plan: 1,
        class: 4,
        units: 1.5,
        spread: 2,
        expires_in: 1250.5,
        is_client_retry: true,
    };
    assert_eq!(event(record), Event::Request(request));
}

#[test]
fn attempt_end_is_decoded_for_each_outcome() {
    let outcomes = [
        (100u16, Outcome::Ok, false),
        (301, Outcome::Error, false),
        (302, Outcome::Overloaded, true),
        (303, Outcome::TimedOut, false),
        (304, Outcome::NoConnection, true),
        (305, Outcome::Reset, false),
        (306, Outcome::Cancelled, false),
        (307, Outcome::NotSent, true),
    ];
    for (code, outcome, never_ran) in outcomes {
        for (wire, quota_usage) in [(0u16, None), (1, Some(0.0)), (251, Some(2.5))] {
            let record = EventRecord::new(16, 3)
                .put(3, &9u64.to_be_bytes())
                .put(11, &33.5f64.to_be_bytes())
                .put(19, &[1])
                .put(22, &wire.to_be_bytes())
                .put(24, &[2])
                .put(29, &code.to_be_bytes());
            let end =
                AttemptEnd { request: 9, attempt: 2, outcome, elapsed: 33.5, finished: true, quota_usage };
            assert_eq!(event(record), Event::AttemptEnd(end));
        }
        assert_eq!(outcome.never_ran(), never_ran);
    }
    assert!(decode(EventRecord::new(16, 3).put(29, &999u16.to_be_bytes()), &[]).is_err());
}

#[test]
fn server_lists_are_decoded() {
    let mut tail = vec![0xee];
    tail.extend(0x2c01u32.to_be_bytes());
    tail.extend(2u16.to_be_bytes());
    tail.push(0);
    tail.extend(7u16.to_be_bytes());
    tail.push(2);
    tail.extend(1.25f32.to_be_bytes());
    tail.extend(640.0f64.to_be_bytes());
    let change =
        |count: u32| EventRecord::new(20, 3).put(12, &1u32.to_be_bytes()).put(16, &count.to_be_bytes());
    let entry = ServerEntry {
        id: 0x2c01,
        zone: 2,
        cell: 7,
        capacity: 1.25,
        lifecycle: Lifecycle::Draining,
        started_at: Some(640.0),
    };
    let expected = WireEvent::Event(Event::Servers { kind: ListKind::Delta, entries: vec![entry] });
    assert_eq!(decode(change(1), &tail).expect("readable"), (3, expected));
    assert!(decode(change(2), &tail).is_err(), "a list that ends after the tail");
    assert!(decode(change(u32::MAX), &tail).is_err(), "a list of the greatest length");
    assert!(decode(change(1).put(3, &[9]), &tail).is_err(), "an unknown kind");
}

#[test]
fn the_other_events_are_decoded() {
    let id = 5u64.to_be_bytes();
    assert_eq!(event(EventRecord::new(17, 3).put(3, &id)), Event::Timer(5));
    assert_eq!(event(EventRecord::new(24, 3).put(3, &id)), Event::ResponseStarted(5));
    assert_eq!(event(EventRecord::new(26, 3).put(3, &id)), Event::ClientDisconnected(5));
    assert_eq!(decode(EventRecord::new(23, 3), &[]).expect("readable"), (3, WireEvent::Stop));
    for code in [21, 25] {
        assert_eq!(decode(EventRecord::new(code, 3), &[]).expect("readable"), (3, WireEvent::Ignored));
    }
    let text = settings_text();
    let start = EventRecord::new(19, 3).put(3, &id).put(15, &(text.len() as u32).to_be_bytes());
    let expected = WireEvent::Start { seed: 5, settings: Box::new(parse_settings(&text).expect("readable")) };
    assert_eq!(decode(start, text.as_bytes()).expect("readable"), (3, expected));
}

#[test]
fn counter_answers_are_decoded_and_counter_calls_encoded() {
    let answer = |code: u16, total: f32| {
        let record = EventRecord::new(22, 3).put(3, &77u64.to_be_bytes());
        record.put(11, &code.to_be_bytes()).put(13, &total.to_be_bytes())
    };
    for (code, result) in [
        (100, AddResult::Total(38.0)),
        (302, AddResult::NotAdded),
        (304, AddResult::NotAdded),
        (303, AddResult::Unknown),
    ] {
        assert_eq!(event(answer(code, 38.0)), Event::CounterAnswer { key: 77, result });
    }
    assert!(decode(answer(99, 38.0), &[]).is_err(), "an unknown outcome");
    assert!(decode(answer(100, f32::NAN), &[]).is_err(), "a total that is not a number");
    let mut reply = Reply::default();
    reply.push(3, &Action::AddToCounter { key: 77, amount: -1.0, ttl: 3000.0 });
    let bytes = reply.into_bytes();
    assert_eq!(bytes[8..11], [80, 0, 3]);
    assert_eq!(bytes[11..15], (-1f32).to_be_bytes());
    assert_eq!(bytes[15..23], 3000f64.to_be_bytes());
    assert_eq!(bytes[23..31], 77u64.to_be_bytes());
    assert!(
        parse_settings(&settings_text()).is_ok_and(|settings| !settings.counter),
        "no counter without the setting"
    );
    let with_counter = parse_settings(&(settings_text() + "\nfamilyInfo.counter=true"));
    assert!(with_counter.is_ok_and(|settings| settings.counter));
}

#[test]
fn malformed_frames_are_rejected_without_a_panic() {
    let whole = frame(1.0, &[EventRecord::new(17, 3)], &[]);
    for cut in 1..whole.len() {
        assert!(read(&whole[..cut]).is_err(), "cut after {cut} bytes");
    }
    assert!(Batch::read(&mut &[][..]).expect("the end is no error").is_none());
    let mut oversized = whole.clone();
    oversized[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    assert!(read(&oversized).is_err());
    let mut with_count_too_high = whole.clone();
    with_count_too_high[12..16].copy_from_slice(&2u32.to_be_bytes());
    assert!(read(&with_count_too_high).is_err());
    assert!(read(&frame(f64::NAN, &[], &[])).is_err());
    assert!(decode(EventRecord::new(99, 3), &[]).expect_err("unknown").to_string().contains("99"));
    assert!(decode(EventRecord::new(18, 3).put(28, &f64::INFINITY.to_be_bytes()), &[]).is_err());
}

#[test]
fn actions_are_encoded() {
    let mut reply = Reply::default();
    reply.push(3, &Action::Send { request: 9, server: 7, give_up_at: Some(2.0), start_by: f64::INFINITY });
    reply.push(3, &Action::Timer { at: 4.0, token: 11 });
    reply.push(3, &Action::Refuse { request: 9, retry_after: 8.0, reason: RefusalReason::Quota });
    reply.push(3, &Action::Fail(9));
    reply.push(3, &Action::Cancel { request: 9, attempt: 1 });
    reply.push(3, &Action::WatchServers);
    reply.push(3, &Action::Log("ab".into()));
    reply.instance_failed(4, "cde");
    let bytes = reply.into_bytes();
    assert_eq!(bytes.len(), 8 + 8 * ACTION_SIZE + 5);
    assert_eq!(bytes[..8], [0, 0, 0, 8, 0, 0, 0, (8 * ACTION_SIZE + 5) as u8]);
    let record = |index: usize| &bytes[8 + index * ACTION_SIZE..8 + (index + 1) * ACTION_SIZE];
    let codes: Vec<_> = (0..8).map(|index| record(index)[0]).collect();
    assert_eq!(codes, [91, 82, 83, 88, 86, 81, 84, 92]);
    assert_eq!(record(0)[1..3], [0, 3]);
    assert_eq!(record(0)[3..11], 9u64.to_be_bytes());
    assert_eq!(record(0)[11..15], 7u32.to_be_bytes());
    assert_eq!(record(0)[15..23], 2f64.to_be_bytes());
    assert_eq!(record(1)[3..11], 4f64.to_be_bytes());
    assert_eq!(record(1)[11..19], 11u64.to_be_bytes());
    assert_eq!(record(2)[11..19], 8f64.to_be_bytes());
    assert_eq!(record(4)[11], 1);
    assert_eq!(record(5)[3], 1);
    assert_eq!(record(7)[3..11], [0, 0, 0, 2, 0, 0, 0, 3]);
    assert_eq!(&bytes[8 + 8 * ACTION_SIZE..], b"abcde");
}

/// Runs the adapter on `input`; returns whether it succeeded, its standard output and its standard error.
fn adapter(input: &[u8]) -> (bool, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_springusher-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input).expect("written");
    let output = child.wait_with_output().expect("the adapter exits");
    (output.status.success(), output.stdout, String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn the_adapter_answers_each_batch_and_exits_at_the_end_of_its_input() {
    let mut input = frame(0.0, &[], &[]);
    let text = settings_text();
    let start = EventRecord::new(19, 3).put(15, &(text.len() as u32).to_be_bytes());
    input.extend(frame(1.0, &[start, EventRecord::new(20, 3).put(3, &[2])], text.as_bytes()));
    let accept = EventRecord::new(18, 3).put(3, &1u64.to_be_bytes()).put(28, &500f64.to_be_bytes());
    input.extend(frame(2.0, &[accept.put(42, &1f32.to_be_bytes())], &[]));
    let (success, output, error) = adapter(&input);
    assert!(success && error.is_empty(), "{error}");
    assert_eq!(output[..16], [0; 16], "two batches without actions");
    // The server list is empty: a timer, then a refusal.
    assert_eq!((output[16 + 3], output[16 + 8], output[16 + 8 + ACTION_SIZE]), (2, 82, 83));
}

#[test]
fn the_adapter_reports_malformed_input_and_exits_non_zero() {
    for (input, message) in [
        (frame(0.0, &[], &[])[..7].to_vec(), "truncated"),
        (frame(0.0, &[EventRecord::new(99, 3)], &[]), "99"),
        (frame(0.0, &[EventRecord::new(17, 3)], &[]), "not running"),
        (frame(0.0, &[EventRecord::new(19, 3)], &[]), "classes.count"),
        (frame(0.0, &[EventRecord::new(19, 3).put(11, &[0xff; 8])], &[]), "outside a tail"),
    ] {
        let (success, _, error) = adapter(&input);
        assert!(!success && error.contains(message) && !error.contains("panicked"), "{message}: {error}");
    }
}
