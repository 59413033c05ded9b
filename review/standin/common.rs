//! Stand-ins for the peers of a gateway, written for the review with the standard library only: props servers, a
//! discovery agent, the platform that starts the gateway, and helpers for clients. Each case includes this file.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of a run: one line for each thing that was sent, answered or run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Record>> {
        Ok(Arc::new(Record { started: Instant::now(), file: Mutex::new(File::create(path)?) }))
    }
    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:8.3} {}", self.now(), text.as_ref());
    }
}

/// One HTTP message: first line, headers with names in lower case, body.
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
    /// Reads one whole message; `None` if the connection ends before it is whole.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_string();
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        let body = self.buffer.drain(..length).collect();
        Ok(Some(Message { line, headers, body }))
    }
}

/// Listens on a free port of 127.0.0.1 and runs `serve` on a thread for each connection.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            let started = thread::Builder::new().stack_size(256 * 1024).spawn(move || serve(stream));
            drop(started);
        }
    });
    Ok(address)
}

pub fn write_ok(stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A sound props server: each request takes `work`, then gets 200 with its own id as the body.
pub fn start_server(name: String, record: Arc<Record>, work: Duration) -> io::Result<SocketAddr> {
    listen(move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(Some(message)) = reader.message() {
            let id = message.header("x-request-id").to_string();
            record.line(format!("server {name}: got request {id}"));
            thread::sleep(work);
            if write_ok(&mut reader.stream, id.as_bytes()).is_err() {
                return;
            }
            record.line(format!("server {name}: answered request {id}"));
        }
    })
}

/// Like [`start_server`], without lines in the record.
pub fn start_quiet_server(work: Duration) -> io::Result<SocketAddr> {
    listen(move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(Some(message)) = reader.message() {
            thread::sleep(work);
            let id = message.header("x-request-id").to_string();
            if write_ok(&mut reader.stream, id.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// One entry of the list of servers.
pub fn target(number: usize, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{:08x}","endpoint":"{address}","az":"a","model":"std-2c","pod_group":{},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#,
        0x5be2_a07c_u32.wrapping_add(number as u32 * 7919),
        number / 4
    )
}

/// A discovery agent with a list that never changes: watches wait for their whole time and then end with no change.
pub fn start_discovery(targets: Vec<String>) -> io::Result<SocketAddr> {
    listen(move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(Some(message)) = reader.message() {
            let path = message.line.split(' ').nth(1).unwrap_or_default().to_string();
            let value = |name: &str| {
                let (_, rest) = path.split_once(name)?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let body = match value("after=") {
                Some(1) => {
                    thread::sleep(Duration::from_millis(value("wait_ms=").unwrap_or(0).min(60_000)));
                    r#"{"rev":1,"all":false,"targets":[]}"#.to_string()
                }
                _ => format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, targets.join(",")),
            };
            if write_ok(&mut reader.stream, body.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A port of a loopback address on which nothing listens at this moment.
pub fn free_address() -> io::Result<SocketAddr> {
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 77, (pid >> 8) as u8, (pid as u8).max(1));
    TcpListener::bind((ip, 0))?.local_addr()
}

/// A gateway process, started with the `run` line of the deploy file as the platform does. It is killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
}

impl Gateway {
    /// Starts a gateway with this configuration file and waits until `/healthz` answers 200.
    pub fn start(
        root: &Path,
        run: &str,
        folder: &Path,
        name: &str,
        config: &str,
        address: SocketAddr,
        discovery: SocketAddr,
    ) -> Result<Gateway, String> {
        let file: PathBuf = folder.join(format!("{name}.json"));
        std::fs::write(&file, config).map_err(|error| format!("the configuration: {error}"))?;
        let log = File::create(folder.join(format!("{name}.log"))).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .current_dir(root)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("the gateway: {error}"))?;
        // For `run`, which ends the gateway if this program is killed.
        let _ = std::fs::write(folder.join(format!("{name}.pid")), child.id().to_string());
        let gateway = Gateway { child, address };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if healthy(address) {
                return Ok(gateway);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the gateway is not ready within 20 s".to_string())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn healthy(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let mut reader = Reader::new(stream);
    let asked = reader.stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n").is_ok();
    let answer = reader.message();
    let _ = reader.stream.shutdown(Shutdown::Both);
    asked && matches!(answer, Ok(Some(answer)) if answer.status() == 200)
}

/// A new id of a request.
pub fn new_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", 0x9b1f_0000_0000_0000 | number)
}

/// A request without a body, of a class that is safe to repeat.
pub fn get(class: &str, id: &str, customer: u64, deadline_ms: u64) -> String {
    format!(
        "GET /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nPlan: basico\r\n\
         Cookie: client={customer:016x}\r\nX-Deadline: {deadline_ms}m\r\n\
         Quota-Info: units=1,spread=2,first=0\r\n\r\n"
    )
}

/// The configuration of a gateway: the settings that the page of the wire gives as its example, with the aims and
/// deadlines scaled to a front door of 140 requests a second as on the days of service, one plan with this rate and burst,
/// and without a counter.
pub fn config(
    address: SocketAddr,
    discovery: SocketAddr,
    targets: &[String],
    memory_mb: u64,
    sockets: u64,
    (units_per_s, store): (f64, f64),
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{{"rev":1,"all":true,"targets":[{targets}]}},
"settings":{{"areas":["a"],"balancers":2,"ordinal":0,"zone":0,"tick":4.0,"tier":0,"layers":["props-fleet"],
"kindOfService":"gate","kinds":["std-2c"],"registryMode":"pushed","weightSource":"none",
"bounds":{{"cancel":true,"connIdle":30000.0,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":540088,
"maxAttempts":3,"maxRetryAfter":2000.0,"mayDuplicate":true,"openCap":27004,"peers":false,"probes":true,
"retryAfter":true,"streamsPerConn":1}},
"rules":{{"askWithin":10000.0,"cold":15000.0,"coldFrom":0.17,"fall":1000.0,"graceToAnswer":16.0,
"stopSendingWithin":1000.0,"tipMultiple":2.5}},
"clients":{{"marksRetry":true}},
"familyInfo":{{"countFee":0.02,"counter":false,"counterTimeout":30.0,"inboxPerS":0.0,"mostUnits":1,"settles":false,
"usePeriod":2000.0}},
"classes":[
{{"name":"lookup","semantics":"free","group":"all","dedupWindow":5000.0,"worth":1.0,"slo":360.0,"deadline":1450.0,
"lateShare":0.0,"stream":false}},
{{"name":"compare","semantics":"free","group":"all","dedupWindow":5000.0,"worth":3.0,"slo":360.0,"deadline":1950.0,
"lateShare":0.2,"stream":false}},
{{"name":"submit-test","semantics":"guarded","group":"all","dedupWindow":12000.0,"worth":5.0,"slo":725.0,
"deadline":2900.0,"lateShare":0.0,"stream":false}}],
"plans":[{{"name":"basico","unitsPerS":{units_per_s:.2},"storeSize":{store:.1},"concurrency":0,"price":0.45,"excessWorth":0.0,
"overrunCost":1.0,"neverOverRate":0.0,"capDepth":0.0,"tolerance":0.0}}]}}}}"#,
        targets = targets.join(",")
    )
}

/// What `run.sh` passes to a case.
pub struct Arguments {
    /// The root of the repository.
    pub root: PathBuf,
    /// The `run` line of the deploy file.
    pub run: String,
    /// A temporary folder.
    pub folder: PathBuf,
    /// The file for the record.
    pub record: PathBuf,
    /// Whether to make the trouble.
    pub trouble: bool,
}

impl Arguments {
    pub fn from_environment() -> Result<Arguments, String> {
        let value = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
        Ok(Arguments {
            root: value("CASE_ROOT")?.into(),
            run: value("CASE_RUN")?,
            folder: value("CASE_FOLDER")?.into(),
            record: value("CASE_RECORD")?.into(),
            trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
        })
    }
}

/// The exit status of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn exit_status(result: Result<bool, String>) -> i32 {
    match result {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            2
        }
    }
}
