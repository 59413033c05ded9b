//! Case 2: several hundred clients stop in the middle of a request's head and stay. Usual clients, who send whole
//! requests on new and on kept connections, have to get a final answer all the same.

#[path = "../standin/common.rs"]
mod common;

use common::{Arguments, Gateway, Reader, Record};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 8;
const WORK: Duration = Duration::from_millis(30);
const USUAL_CLIENTS: u64 = 30;
const BAD_CLIENTS: usize = 300;
/// 55% of the deadline of the class `lookup`: a try is given up after 50 to 100% of that.
const CLIENT_DEADLINE: Duration = Duration::from_millis(800);
/// An answer up to this long after the client's time only earns nothing; a later one, or none, is a lost request.
const GRACE: Duration = Duration::from_millis(500);
/// What the rules on sockets add to every time limit, and what this stand-in may be late itself.
const SLACK: Duration = Duration::from_millis(50 + 100);
const PAUSE: Duration = Duration::from_millis(200);
const BEFORE_TROUBLE: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(15);

#[derive(Default)]
struct Totals {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Requests whose connection was closed before an answer; not judged here.
    closed: AtomicU64,
    lost: AtomicU64,
}

fn main() {
    let result = Arguments::from_environment().and_then(|arguments| run(&arguments));
    std::process::exit(common::exit_status(result));
}

fn run(arguments: &Arguments) -> Result<bool, String> {
    let io = |error: std::io::Error| error.to_string();
    let record = Record::create(&arguments.record).map_err(io)?;
    let mut targets = Vec::new();
    for number in 0..SERVERS {
        let address = common::start_server(format!("s{number}"), record.clone(), WORK).map_err(io)?;
        targets.push(common::target(number, address, "ready"));
    }
    let discovery = common::start_discovery(targets.clone()).map_err(io)?;
    let address = common::free_address().map_err(io)?;
    let config = common::config(address, discovery, &targets, 32, 256, (1000.0, 5000.0));
    let mut gateway = Gateway::start(
        &arguments.root,
        &arguments.run,
        &arguments.folder,
        "n0",
        &config,
        address,
        discovery,
    )?;
    record.line(format!("the gateway is ready; trouble: {}", arguments.trouble));

    let (totals, stop) = (Arc::new(Totals::default()), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (record, totals, stop) = (record.clone(), totals.clone(), stop.clone());
            thread::spawn(move || usual_client(number, address, &record, &totals, &stop))
        })
        .collect();
    thread::sleep(BEFORE_TROUBLE);
    let turned_away = Arc::new(Mutex::new(0u64));
    let mut bad_clients = Vec::new();
    if arguments.trouble {
        record.line(format!("{BAD_CLIENTS} clients connect, send the first 100 bytes of a request and stay"));
        for _ in 0..BAD_CLIENTS {
            let (stop, turned_away) = (stop.clone(), turned_away.clone());
            let client = thread::Builder::new().stack_size(64 * 1024);
            let client = client.spawn(move || bad_client(address, &stop, &turned_away));
            bad_clients.push(client.map_err(io)?);
        }
    }
    thread::sleep(TROUBLE);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a usual client panicked")?;
    }
    let exited = gateway.child.try_wait().map_err(io)?;
    drop(gateway);
    for client in bad_clients {
        client.join().map_err(|_| "a bad client panicked")?;
    }
    let count = |number: &AtomicU64| number.load(Ordering::Relaxed);
    let lost = count(&totals.lost);
    let summary = format!(
        "usual requests: {} served, {} refused, {} failed, {} closed before an answer (not judged), {lost} lost; \
         bad clients were turned away {} times",
        count(&totals.served),
        count(&totals.refused),
        count(&totals.failed),
        count(&totals.closed),
        turned_away.lock().expect("no client panics while holding it"),
    );
    record.line(&summary);
    println!("{summary}");
    if let Some(status) = exited {
        return Err(format!("the gateway ended: {status}"));
    }
    if count(&totals.served) == 0 {
        return Err("no request was served".to_string());
    }
    Ok(lost > 0)
}

/// Sends one request after another, each third on a new connection, and waits for the answer to each until it is lost.
fn usual_client(number: u64, address: SocketAddr, record: &Record, totals: &Totals, stop: &AtomicBool) {
    let mut kept: Option<Reader> = None;
    let mut count = number;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        if count % 3 == 0 {
            kept = None;
        }
        let id = common::new_id();
        let was_kept = kept.is_some();
        let mut end = request(&mut kept, address, &id, number, record);
        if was_kept && end == End::Closed {
            // The close has crossed the request: it is sent once more on a new connection.
            record.line(format!("request {id}: sent once more, as its connection was closed meanwhile"));
            end = request(&mut kept, address, &id, number, record);
        }
        let total = match end {
            End::Answered(200) => &totals.served,
            End::Answered(429 | 503) => &totals.refused,
            End::Answered(_) => &totals.failed,
            End::Closed => &totals.closed,
            End::Lost => &totals.lost,
        };
        total.fetch_add(1, Ordering::Relaxed);
        thread::sleep(PAUSE + Duration::from_millis(count * 37 % 100));
    }
}

#[derive(Debug, PartialEq)]
enum End {
    Answered(u16),
    Closed,
    Lost,
}

fn request(kept: &mut Option<Reader>, address: SocketAddr, id: &str, customer: u64, record: &Record) -> End {
    let mut reader = match kept.take() {
        Some(reader) => reader,
        None => match TcpStream::connect(address) {
            Ok(stream) => Reader::new(stream),
            Err(error) => {
                record.line(format!("request {id}: not sent, cannot connect: {error}"));
                return End::Closed;
            }
        },
    };
    let _ = reader.stream.set_nodelay(true);
    let text = common::get("lookup", id, customer + 1, CLIENT_DEADLINE.as_millis() as u64);
    let sent = Instant::now();
    let limit = CLIENT_DEADLINE + GRACE + SLACK;
    let _ = reader.stream.set_read_timeout(Some(limit));
    if reader.stream.write_all(text.as_bytes()).is_err() {
        record.line(format!("request {id}: not sent, the connection is closed"));
        return End::Closed;
    }
    record.line(format!("request {id}: sent whole, deadline {} ms", CLIENT_DEADLINE.as_millis()));
    let answer = reader.message();
    let took = sent.elapsed();
    match answer {
        Ok(Some(answer)) if took <= limit => {
            record.line(format!("request {id}: answer {} after {} ms", answer.status(), took.as_millis()));
            if answer.header("connection") != "close" {
                *kept = Some(reader);
            }
            End::Answered(answer.status())
        }
        Err(error) if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            record.line(format!("request {id}: connection closed after {} ms: {error}", took.as_millis()));
            End::Closed
        }
        Ok(None) => {
            record.line(format!("request {id}: connection closed after {} ms", took.as_millis()));
            End::Closed
        }
        _ => {
            record.line(format!(
                "request {id}: LOST: its connection is open and {} ms after it was sent it has no answer",
                took.as_millis()
            ));
            End::Lost
        }
    }
}

/// Sends the first part of a request and stays. It reads what it is sent; turned away, it closes and does the same again.
fn bad_client(address: SocketAddr, stop: &AtomicBool, turned_away: &Mutex<u64>) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut reader = Reader::new(stream);
        let text = common::get("lookup", &common::new_id(), 1, 3000);
        if reader.stream.write_all(&text.as_bytes()[..100]).is_err() {
            continue;
        }
        loop {
            match reader.message() {
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                }
                _ => break,
            }
        }
        *turned_away.lock().expect("no client panics while holding it") += 1;
    }
}
