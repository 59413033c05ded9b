//! Scripted peers (servers, discovery agents, clients) on loopback sockets, and the gateway process under test.

use fault_soak::listener;
use fault_soak::shim::{self, Control};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for waits in these tests. A wait that succeeds never takes this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A request for the health of the gateway.
pub const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";

/// One HTTP message: its first line, headers (names in lower case) and body.
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
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }
}

/// Reads one message; `None` if the peer closed the connection before it.
pub fn read_message(stream: &TcpStream) -> io::Result<Option<Message>> {
    // One byte at a time, as bytes of the next message in the buffer would be lost with the reader.
    let mut reader = BufReader::with_capacity(1, stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message { line: line.trim_end().to_string(), headers, body }))
}

/// Expects the peer to close the connection, by an end of stream or a reset, without sending anything.
pub fn expect_close(mut stream: &TcpStream) {
    match stream.read(&mut [0]) {
        Ok(0) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {}
        other => panic!("expected the connection to close, got {other:?}"),
    }
}

/// A request that a scripted peer has read and not yet answered.
pub struct Exchange {
    pub request: Message,
    pub stream: TcpStream,
    pub next: Sender<Exchange>,
}

impl Exchange {
    /// Answers, then reads the next request from the connection.
    pub fn answer(mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let answer = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(answer.as_bytes()).expect("the answer goes out");
        read_on(self.stream, self.next);
    }
    pub fn ok(self, body: &str) {
        self.answer("200 OK", "", body);
    }
    /// Answers with 200 if the connection is still open: the call may have timed out.
    pub fn answer_if_open(mut self, body: &str) {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if self.stream.write_all(answer.as_bytes()).is_ok() {
            read_on(self.stream, self.next);
        }
    }
    /// Writes `bytes` and closes the connection.
    pub fn send_and_close(mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the bytes go out");
        self.stream.shutdown(Shutdown::Both).expect("the connection closes");
    }
    /// Waits until the gateway closes the connection.
    pub fn wait_for_close(&mut self) {
        expect_close(&self.stream);
    }
}

/// Reads the next request from the connection on another thread and sends it to `next`.
pub fn read_on(stream: TcpStream, next: Sender<Exchange>) {
    thread::spawn(move || {
        if let Ok(Some(request)) = read_message(&stream) {
            // Fails if the test has ended.
            let _ = next.send(Exchange { request, stream, next: next.clone() });
        }
    });
}

/// A peer whose answers the test writes: a backend or a discovery agent.
pub struct Peer {
    pub address: SocketAddr,
    pub exchanges: Receiver<Exchange>,
}

impl Peer {
    pub fn start() -> Peer {
        let listener = listener::bind(Ipv4Addr::LOCALHOST).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, exchanges) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
                read_on(stream, sender.clone());
            }
        });
        Peer { address, exchanges }
    }
    pub fn next_request(&self) -> Exchange {
        self.exchanges.recv_timeout(TEST_TIMEOUT).expect("a request comes")
    }
}

/// A discovery agent. It serves the list that it was given and the changes that the test pushes; each call is answered
/// according to the revision in it, whatever connection it uses.
pub struct Discovery {
    pub address: SocketAddr,
    /// The targets of each revision, and the signal of a new one.
    history: Arc<(Mutex<Vec<Value>>, Condvar)>,
    /// The revision after which each watch asks for changes.
    watches: Receiver<usize>,
}

impl Discovery {
    pub fn start(list: Value) -> Discovery {
        let peer = Peer::start();
        let address = peer.address;
        let history = Arc::new((Mutex::new(vec![list["targets"].clone()]), Condvar::new()));
        let (watch_sender, watches) = channel();
        let served_history = history.clone();
        thread::spawn(move || {
            while let Ok(call) = peer.exchanges.recv() {
                let (history, watch_sender) = (served_history.clone(), watch_sender.clone());
                thread::spawn(move || answer_discovery_call(call, &history, &watch_sender));
            }
        });
        Discovery { address, history, watches }
    }
    /// Publishes a change and waits for the watch that follows: the gateway has processed the change by then.
    pub fn push_targets(&self, targets: Value) {
        let (history, changed) = &*self.history;
        let mut history = history.lock().expect("no one panics while holding it");
        history.push(targets);
        let revision = history.len();
        drop(history);
        changed.notify_all();
        while self.next_watch() < revision {}
    }
    pub fn wait_for_watch(&self) {
        self.next_watch();
    }
    fn next_watch(&self) -> usize {
        self.watches.recv_timeout(TEST_TIMEOUT).expect("a watch comes")
    }
}

/// Answers one call with the whole list, or with the changes after its revision as soon as there are any.
fn answer_discovery_call(
    call: Exchange,
    history: &(Mutex<Vec<Value>>, Condvar),
    watch_sender: &Sender<usize>,
) {
    let parameter = |name: &str| -> Option<usize> {
        let (_, rest) = call.request.line.split_once(name)?;
        rest.split(['&', ' ']).next()?.parse().ok()
    };
    let after = parameter("after=");
    let wait = Duration::from_millis(parameter("wait_ms=").unwrap_or(0) as u64);
    if let Some(after) = after.filter(|_| !wait.is_zero()) {
        // Fails if the test has ended.
        let _ = watch_sender.send(after);
    }
    let (revisions, changed) = history;
    let revisions = revisions.lock().expect("no one panics while holding it");
    let held = after.unwrap_or(0);
    let waited = changed.wait_timeout_while(revisions, wait, |revisions| revisions.len() <= held);
    let (revisions, _) = waited.expect("no one panics while holding it");
    let mut newest = HashMap::new();
    for target in revisions.iter().skip(held).flat_map(|targets| targets.as_array().expect("targets")) {
        newest.insert(target["uid"].to_string(), target);
    }
    let targets: Vec<&Value> = newest.into_values().collect();
    let answer = json!({"rev": revisions.len(), "all": after.is_none(), "targets": targets}).to_string();
    drop(revisions);
    call.answer_if_open(&answer);
}

pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

pub fn list(targets: &[Value]) -> Value {
    json!({"rev": 1, "all": true, "targets": targets})
}

/// The next call to an agent for the list or for changes. Calls that only confirm a watch may arrive between any two
/// others; they stay open without an answer.
pub fn next_list_call(agent: &Peer) -> Exchange {
    loop {
        let call = agent.next_request();
        if !is_confirmation(&call) {
            return call;
        }
        std::mem::forget(call);
    }
}

/// Leaves all calls that have arrived at an agent without an answer.
pub fn ignore_calls_so_far(agent: &Peer) {
    while let Ok(earlier) = agent.exchanges.try_recv() {
        std::mem::forget(earlier);
    }
}

/// The next call that arrives at an agent from now on. Calls to an agent that does not answer overlap, so earlier ones may be
/// about to time out.
pub fn fresh_request(agent: &Peer) -> Exchange {
    ignore_calls_so_far(agent);
    agent.next_request()
}

/// The next call to an agent for changes. Calls for the full list overlap, and each connection is read on a thread of its own,
/// so those that were made before the agent answered one of them may still come; they stay open without an answer.
pub fn next_call_for_changes(agent: &Peer) -> Exchange {
    loop {
        let call = agent.next_request();
        if call.request.line != "GET /v1/servers HTTP/1.1" {
            return call;
        }
        std::mem::forget(call);
    }
}

/// Answers all calls to an agent with the same list.
pub fn answer_with_list(agent: Peer, list: Value) {
    thread::spawn(move || {
        while let Ok(call) = agent.exchanges.recv() {
            // Calls that arrived while the agent was unresponsive may have been given up.
            call.answer_if_open(&list.to_string());
        }
    });
}

/// Whether a call to an agent only confirms a watch.
pub fn is_confirmation(call: &Exchange) -> bool {
    call.request.line.contains("&wait_ms=0 ")
}

/// The next watch at an agent. Calls that only confirm one stay open without an answer.
pub fn next_watch(agent: &Peer) -> Exchange {
    loop {
        let call = next_call_for_changes(agent);
        if !is_confirmation(&call) {
            return call;
        }
        std::mem::forget(call);
    }
}

/// The next watch at an agent and the call that confirms it, which may arrive in either order.
pub fn next_watch_and_confirmation(agent: &Peer) -> (Exchange, Exchange) {
    let (first, second) = (next_call_for_changes(agent), next_call_for_changes(agent));
    match is_confirmation(&first) {
        true => (second, first),
        false => (first, second),
    }
}

/// An address where nothing listens while the tests run.
pub fn closed_port() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    let address = socket.local_addr().expect("an address").as_socket().expect("one of IPv4");
    // It stays bound, so that no peer of another test gets the port and is taken for the discovery agent of this one.
    std::mem::forget(socket);
    address
}

/// An address with a free port. The socket that finds the port never listens: a process that another thread starts at
/// this moment inherits it until its exec, and would accept connections that are meant for the gateway.
pub fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("an option");
    socket.bind(&SocketAddr::from((ip, 0)).into()).expect("a port");
    socket.local_addr().expect("an address").as_socket().expect("one of IPv4")
}

/// A backend to which connections are established only once `open` is called, as its backlog is full.
pub struct FullBacklogPeer {
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub _filling: TcpStream,
}

impl FullBacklogPeer {
    pub fn start() -> FullBacklogPeer {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filling = TcpStream::connect(address).expect("the backlog holds one");
        FullBacklogPeer { listener, address, _filling: filling }
    }
    /// Waits until a connection attempt is pending.
    pub fn wait_for_connect(&self) {
        let until = Instant::now() + TEST_TIMEOUT;
        let (ip, port) = (u32::from_le_bytes([127, 0, 0, 1]), self.address.port());
        // The remote address and the state SYN_SENT, as the kernel lists sockets.
        let syn_sent = format!("{ip:08X}:{port:04X} 02");
        while !std::fs::read_to_string("/proc/net/tcp").expect("the system's sockets").contains(&syn_sent) {
            assert!(Instant::now() < until, "no connection is attempted");
            thread::sleep(Duration::from_millis(5));
        }
    }
    /// Lets the connection be established, and returns all that was written to it until it closed.
    pub fn open(self) -> Vec<u8> {
        let _filling = self.listener.accept().expect("the connection that filled the backlog");
        let (mut stream, _) = self.listener.accept().expect("the connection of the gateway");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("the gateway closes the connection");
        bytes
    }
}

/// The drain grace of tests that are not about discovery. Most of them have no agent, so that their list is withdrawn at
/// its end.
const DRAIN_GRACE_BEYOND_ANY_TEST_MS: f64 = 600_000.0;

/// The configuration of a gateway with a listening address that no other test uses. `known` is the list of servers that
/// it starts with.
pub fn config(discovery: SocketAddr, known: Value) -> Value {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    // Ports of other sockets are assigned at 127.0.0.1, so at this address none of them takes the port before the
    // gateway listens.
    let loopback_address = Ipv4Addr::new(127, COUNT.fetch_add(1, Ordering::Relaxed), high, low.max(1));
    let listen = free_address(loopback_address);
    let class = |name, semantics| {
        json!({"name": name, "semantics": semantics, "group": "all", "dedupWindow": 5000.0, "worth": 1.0,
               "slo": 1000.0, "deadline": 4000.0, "lateShare": 0.0, "stream": false})
    };
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "counter": "127.0.0.1:9",
        "known": known,
        "settings": {
            "areas": ["a", "b"], "balancers": 1, "ordinal": 0, "zone": 0, "tick": 4.0, "registryMode": "pushed",
            "bounds": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 250.0, "maxAttempts": 4,
                       "maxRetryAfter": 500.0, "mayDuplicate": false, "retryAfter": true},
            "rules": {"cold": 18000.0, "coldFrom": 0.24, "fall": 3000.0,
                      "stopSendingWithin": DRAIN_GRACE_BEYOND_ANY_TEST_MS, "tipMultiple": 2.0},
            "familyInfo": {"mostUnits": 1, "usePeriod": 500.0},
            "classes": [class("preview-fetch", "free"), class("job-submit", "single_shot")],
            "plans": [{"name": "starter", "unitsPerS": 1000.0, "storeSize": 2000.0, "concurrency": 0,
                       "price": 1.0, "excessWorth": 0.0, "overrunCost": 0.8, "neverOverRate": 0.0,
                       "capDepth": 0.0, "tolerance": 0.0}],
        },
    })
}

/// Like [`config`], with a plan whose concurrency limit of 2 is shared by two gateways through a counter.
pub fn capped_config(backend: SocketAddr, counter: SocketAddr) -> Value {
    let mut config = config(closed_port(), list(&[target("s-00000001", backend, "ready")]));
    config["counter"] = json!(counter.to_string());
    config["settings"]["balancers"] = json!(2);
    config["settings"]["plans"][0]["concurrency"] = json!(2);
    let family = &mut config["settings"]["familyInfo"];
    (family["counter"], family["counterTimeout"]) = (json!(true), json!(250.0));
    config
}

/// A gateway process. It is killed when the test ends.
pub struct GatewayProcess {
    pub child: Child,
    pub address: SocketAddr,
    /// Its configuration file.
    pub file: PathBuf,
}

impl GatewayProcess {
    /// Starts the gateway and waits until it listens.
    pub fn start(config: &Value) -> GatewayProcess {
        GatewayProcess::start_with(config, Stdio::inherit())
    }
    pub fn start_with(config: &Value, stderr: Stdio) -> GatewayProcess {
        let file = write_config(config);
        let child = spawn(&file, config, stderr);
        GatewayProcess::listening(child, config, file)
    }
    /// Waits until a started process listens.
    pub fn listening(child: Child, config: &Value, file: PathBuf) -> GatewayProcess {
        let address = config["listen"].as_str().expect("an address").parse().expect("an address");
        let until = Instant::now() + TEST_TIMEOUT;
        while TcpStream::connect(address).is_err() {
            assert!(Instant::now() < until, "the gateway does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        GatewayProcess { child, address, file }
    }
    /// Starts a gateway whose configuration lists these backends and that cannot reach discovery.
    pub fn with_backends(backends: &[SocketAddr]) -> GatewayProcess {
        let targets: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(n, address)| target(&format!("s-0000000{n}"), *address, "ready"))
            .collect();
        GatewayProcess::start(&config(closed_port(), list(&targets)))
    }
    /// Starts a gateway with one backend whose settings allow this number of file descriptors.
    pub fn with_descriptors(backend: SocketAddr, descriptors: u32) -> GatewayProcess {
        let mut config = config(closed_port(), list(&[target("s-00000001", backend, "ready")]));
        config["limits"]["sockets"] = json!(descriptors);
        GatewayProcess::start(&config)
    }
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the gateway accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client { stream }
    }
    /// Checks that a request of a new client is answered by that backend.
    pub fn serves_from(&self, backend: &Peer) {
        let mut client = self.client();
        client.send(&get(""));
        backend.next_request().ok("served");
        assert_eq!(client.read().status(), 200);
    }
    pub fn terminate(&self) {
        self.signal("-TERM");
    }
    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }
}

/// Sends a signal, named as an option of `kill`, for example `-TERM`.
pub fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").arg(name).arg(child.id().to_string()).status();
    assert!(status.expect("kill runs").success());
}

/// Returns the exit status of a process that exits within `time_limit`; otherwise kills it and returns `None`.
pub fn wait_for_exit(child: &mut Child, time_limit: Duration) -> Option<ExitStatus> {
    let until = Instant::now() + time_limit;
    while Instant::now() < until {
        if let Some(status) = child.try_wait().expect("the process is there") {
            return Some(status);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    let _ = child.wait();
    None
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a configuration to a new file.
pub fn write_config(config: &Value) -> PathBuf {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let name =
        format!("gateway-config-{}-{}.json", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // An earlier process with the same id may have left a named pipe, which blocks a writer.
    let _ = std::fs::remove_file(&path);
    std::fs::write(&path, config.to_string()).expect("the configuration is written");
    path
}

/// A gateway process that was started and may not listen yet. It is killed if the test fails before it listens.
pub struct StartingGateway(Option<Child>);

impl StartingGateway {
    pub fn spawn(file: &Path, config: &Value) -> StartingGateway {
        StartingGateway(Some(spawn(file, config, Stdio::inherit())))
    }
    /// Waits until it listens.
    pub fn listening(mut self, config: &Value, file: PathBuf) -> GatewayProcess {
        GatewayProcess::listening(self.0.take().expect("it was started"), config, file)
    }
}

impl Drop for StartingGateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts the gateway without waiting for it.
pub fn spawn(file: &Path, config: &Value, stderr: Stdio) -> Child {
    command(file, config).stderr(stderr).spawn().expect("the program starts")
}

/// The command that starts the gateway, with its environment.
pub fn command(file: &Path, config: &Value) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport"));
    command
        .env("BALANCER_CONFIG", file)
        .env("BALANCER_LISTEN", config["listen"].as_str().expect("an address"))
        .env("BALANCER_DISCOVERY", config["discovery"].as_str().expect("an address"));
    command
}

/// Starts the gateway with a limit on its open file descriptors.
pub fn spawn_with_descriptors(limit: u32, file: &Path, config: &Value) -> Child {
    let gateway = command(file, config);
    let mut shell = Command::new("sh");
    shell.arg("-c").arg(format!("ulimit -n {limit}; exec \"$0\"")).arg(gateway.get_program());
    for (name, value) in gateway.get_envs() {
        shell.env(name, value.expect("it is set"));
    }
    shell.spawn().expect("the program starts")
}

/// Makes system calls of the gateway fail, through a preloaded library that reads a control file.
pub struct FaultInjection {
    pub control: Control,
    library: PathBuf,
}

impl FaultInjection {
    pub fn new() -> FaultInjection {
        static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
        static COUNT: AtomicU8 = AtomicU8::new(0);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("shim-{}", std::process::id()));
        let library = LIBRARY.get_or_init(|| {
            std::fs::create_dir_all(&folder).expect("a folder");
            shim::build(&folder).expect("the library is built")
        });
        let control = folder.join(format!("control-{}", COUNT.fetch_add(1, Ordering::Relaxed)));
        FaultInjection {
            control: Control::create(control).expect("a control file"),
            library: library.clone(),
        }
    }
    /// Starts the gateway with the library, without waiting for it.
    pub fn spawn(&self, file: &Path, config: &Value) -> Child {
        command(file, config)
            .env("LD_PRELOAD", &self.library)
            .env("FAULT_SHIM_CONTROL", &self.control.path)
            .spawn()
            .expect("the program starts")
    }
    /// Starts the gateway with the library and waits until it listens.
    pub fn start(&self, config: &Value) -> GatewayProcess {
        let file = write_config(config);
        let child = self.spawn(&file, config);
        GatewayProcess::listening(child, config, file)
    }
}

/// Answers every request that reaches the peer at once, on a separate thread. Returns the counter of these requests.
pub fn answer_all(peer: Peer) -> Arc<AtomicU32> {
    let count = Arc::new(AtomicU32::new(0));
    let counted = count.clone();
    thread::spawn(move || {
        while let Ok(mut exchange) = peer.exchanges.recv() {
            counted.fetch_add(1, Ordering::Relaxed);
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved";
            // The gateway may have closed the connection.
            if exchange.stream.write_all(answer).is_ok() {
                read_on(exchange.stream, exchange.next);
            }
        }
    });
    count
}

/// A client connection to the gateway.
pub struct Client {
    pub stream: TcpStream,
}

/// The headers of a valid request with a new id.
pub fn headers() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let id = COUNT.fetch_add(1, Ordering::Relaxed);
    format!(
        "Host: backend.local\r\nX-Request-Id: {id:016x}\r\nPlan: starter\r\n\
         Cookie: client=00000000b4d65521\r\nQuota-Info: units=1,spread=1,first=0\r\n"
    )
}

pub fn id_of(request: &str) -> &str {
    let (_, rest) = request.split_once("X-Request-Id: ").expect("an id");
    rest.split_once("\r\n").expect("its end").0
}

pub fn get(path: &str) -> String {
    let headers = headers();
    format!(
        "GET /preview-fetch{path} HTTP/1.1\r\n{headers}X-Class: preview-fetch\r\nX-Deadline: 4000m\r\n\r\n"
    )
}

pub fn post(body: &str) -> String {
    let (length, headers) = (body.len(), headers());
    format!(
        "POST /job-submit HTTP/1.1\r\n{headers}X-Class: job-submit\r\nX-Deadline: 4000m\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

impl Client {
    pub fn send(&mut self, request: &str) -> &mut Client {
        self.stream.write_all(request.as_bytes()).expect("the request goes out");
        self
    }
    pub fn expect_close(&mut self) {
        expect_close(&self.stream);
    }
    pub fn read(&mut self) -> Message {
        read_message(&self.stream).expect("an answer comes").expect("the connection stays until then")
    }
}

/// The next request that reaches one of the two peers, and the index of that peer.
pub fn next_request_of(peers: &[Peer; 2]) -> (Exchange, usize) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        for (index, peer) in peers.iter().enumerate() {
            if let Ok(exchange) = peer.exchanges.recv_timeout(Duration::from_millis(2)) {
                return (exchange, index);
            }
        }
        assert!(Instant::now() < until, "no request comes");
    }
}
