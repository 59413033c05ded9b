//! Gateway processes: configuration, start, signals and exit.

use crate::event_log::{EventLog, Incarnation, Millis};
use crate::http::Reader;
use crate::shim::{Control, Faults};
use crate::site::Site;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs::{self, File};
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long clients go on opening new connections to a gateway after SIGTERM.
pub const CONNECTS_AFTER_TERM: Millis = 300.0;
/// The longest deadline that delays SIGKILL after SIGTERM.
const MAX_COUNTED_DEADLINE: Millis = 3000.0;
/// How long after that deadline SIGKILL follows.
const KILL_AFTER_DEADLINE: Millis = 700.0;
/// SIGKILL comes this much later if the log is not read, so that only the unread log can be the reason why the gateway
/// has not exited.
const EXTRA_WITH_UNREAD_LOG: Millis = 3000.0;
/// How long a gateway runs at least between two pauses.
const PAUSE_GAP: Duration = Duration::from_millis(300);
/// How long the start of a gateway waits until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// One gateway with all its incarnations, of which at most one runs at a time.
#[derive(Debug)]
pub struct Gateway {
    /// Its index.
    pub index: usize,
    /// Where it listens.
    pub address: SocketAddr,
    event_log: Arc<EventLog>,
    control: Control,
    program: PathBuf,
    shim: Option<PathBuf>,
    config_file: PathBuf,
    log_file: PathBuf,
    process: Mutex<Process>,
    /// Locked while the configuration is replaced, as a reload and a restart share the name of the temporary file.
    replacing_config: Mutex<()>,
    /// Locked while the gateway is being restarted.
    pub restarting: tokio::sync::Mutex<()>,
    /// Locked while the process is paused, and for the gap after that.
    pausing: tokio::sync::Mutex<()>,
    /// The number of incarnations that have exited.
    exited: watch::Sender<usize>,
}

/// The running process; the default if none runs.
#[derive(Debug, Default)]
struct Process {
    pid: Option<Pid>,
    incarnation: usize,
    ready: bool,
    term_sent_at: Option<Millis>,
    log_unread: bool,
}

/// How clients can use a gateway that is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Availability {
    /// The incarnation that runs.
    pub incarnation: usize,
    /// Whether clients may open new connections to it.
    pub accepts_connections: bool,
}

/// Where a gateway's log goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// To the gateway's log file.
    File,
    /// To a pipe that is never read and so fills up.
    UnreadPipe,
}

/// The peers in a gateway's configuration.
#[derive(Debug, Clone)]
pub struct PeerConfig {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the counter.
    pub counter: SocketAddr,
    /// The server list that the gateway starts with.
    pub known_servers: Value,
}

impl Gateway {
    /// Creates a gateway that is not running yet, with its files in `folder`.
    ///
    /// # Errors
    /// If a file cannot be created or there is no free port.
    pub fn new(
        index: usize,
        event_log: Arc<EventLog>,
        program: &Path,
        shim: Option<&Path>,
        folder: &Path,
    ) -> io::Result<Gateway> {
        // A gateway keeps its port over all incarnations. It has an IP address of its own, so the port stays free.
        let ip = Ipv4Addr::new(127, 87, (std::process::id() % 250) as u8, (index + 1) as u8);
        let address = std::net::TcpListener::bind((ip, 0))?.local_addr()?;
        let log = folder.join(format!("gateway-{index}.log"));
        // All incarnations append to one log; the log of an earlier run is emptied.
        File::create(&log)?;
        Ok(Gateway {
            index,
            address,
            event_log,
            control: Control::create(folder.join(format!("shim-{index}.control")))?,
            program: program.to_path_buf(),
            shim: shim.map(Path::to_path_buf),
            config_file: folder.join(format!("gateway-config-{index}.json")),
            log_file: log,
            process: Mutex::new(Process::default()),
            replacing_config: Mutex::new(()),
            restarting: tokio::sync::Mutex::new(()),
            pausing: tokio::sync::Mutex::new(()),
            exited: watch::Sender::new(0),
        })
    }

    /// Sets which system calls fail.
    pub fn set_syscall_faults(&self, faults: Faults) {
        self.control.set(faults);
    }

    /// How clients can use the gateway now; `None` if it is not ready.
    pub fn availability(&self) -> Option<Availability> {
        let process = self.process.lock().expect("lock not poisoned");
        if !process.ready {
            return None;
        }
        let accepts_connections =
            process.term_sent_at.is_none_or(|at| self.event_log.now() < at + CONNECTS_AFTER_TERM);
        Some(Availability { incarnation: process.incarnation, accepts_connections })
    }

    /// Replaces the configuration file atomically.
    pub fn configure(&self, site: &Site, peers: &PeerConfig) {
        let _replacing = self.replacing_config.lock().expect("lock not poisoned");
        let new_file = self.config_file.with_extension("new");
        fs::write(&new_file, self.configuration(site, peers)).expect("the run's folder is writable");
        fs::rename(&new_file, &self.config_file).expect("the new configuration file can be renamed");
    }

    /// Rewrites the configuration file in place: truncates it at once, and completes it when the returned future has
    /// waited for `span`.
    pub fn configure_in_place(
        &self,
        site: &Site,
        peers: &PeerConfig,
        span: Duration,
    ) -> impl Future<Output = ()> {
        let (path, text) = (self.config_file.clone(), self.configuration(site, peers));
        fs::write(&path, &text[..text.len() / 2]).expect("the run's folder is writable");
        async move {
            sleep(span).await;
            fs::write(&path, text).expect("the run's folder is writable");
        }
    }

    fn configuration(&self, site: &Site, peers: &PeerConfig) -> String {
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.address.to_string(),
            "discovery": peers.discovery.to_string(), "seed": format!("{:016x}", self.event_log.now().to_bits()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": site.fd_limit},
            "counter": peers.counter.to_string(), "known": peers.known_servers, "settings": site.settings(self.index),
        });
        config.to_string()
    }

    /// Starts the process and waits until it is ready; returns false if it is not ready within 30 s.
    pub async fn start(self: &Arc<Self>, peers: &PeerConfig, log: LogTarget) -> bool {
        // The other end is never read, but stays open until the process has exited.
        let log_unread = log == LogTarget::UnreadPipe;
        let unread = log_unread.then(|| UnixStream::pair().expect("a socket pair can be created"));
        let log: Stdio = match &unread {
            Some((log, _)) => OwnedFd::from(log.try_clone().expect("a descriptor can be duplicated")).into(),
            None => {
                let log = File::options().create(true).append(true).open(&self.log_file);
                log.expect("the run's folder is writable").into()
            }
        };
        let mut command = Command::new(&self.program);
        command
            .env("BALANCER_NAME", format!("n{}", self.index))
            .env("BALANCER_LISTEN", self.address.to_string())
            .env("BALANCER_DISCOVERY", peers.discovery.to_string())
            .env("BALANCER_CONFIG", &self.config_file)
            .env("BALANCER_TRACE", "1")
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        if let Some(shim) = &self.shim {
            command.env("LD_PRELOAD", shim).env("FAULT_SHIM_CONTROL", &self.control.path);
        }
        let mut child = command.spawn().expect("the gateway's executable can be started");
        let incarnation = Incarnation {
            started_at: self.event_log.now(),
            list_revision: peers.known_servers["rev"].as_u64().unwrap_or_default() as usize,
            log_unread,
            ready_at: None,
            term_sent_at: None,
            kill_sent_at: None,
            exited: None,
        };
        let number = self.event_log.with(|records| {
            records.incarnations[self.index].push(incarnation);
            records.incarnations[self.index].len() - 1
        });
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        *self.process.lock().expect("lock not poisoned") =
            Process { pid, incarnation: number, ready: false, term_sent_at: None, log_unread };
        let gateway = self.clone();
        tokio::spawn(async move {
            let status = child.wait().await;
            drop(unread);
            let now = gateway.event_log.now();
            let success = status.is_ok_and(|status| status.success());
            gateway
                .event_log
                .with(|records| records.incarnations[gateway.index][number].exited = Some((now, success)));
            *gateway.process.lock().expect("lock not poisoned") = Process::default();
            gateway.exited.send_replace(number + 1);
        });
        let ready = timeout(READY_TIMEOUT, async {
            while !self.is_ready().await {
                sleep(Duration::from_millis(10)).await;
            }
        });
        if ready.await.is_err() {
            return false;
        }
        let now = self.event_log.now();
        self.event_log.with(|records| records.incarnations[self.index][number].ready_at = Some(now));
        self.process.lock().expect("lock not poisoned").ready = true;
        true
    }

    async fn is_ready(&self) -> bool {
        let request = async {
            let mut stream = TcpStream::connect(self.address).await.ok()?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n").await.ok()?;
            Reader::new(stream).read_message().await.ok()
        };
        timeout(Duration::from_secs(1), request)
            .await
            .is_ok_and(|response| response.is_some_and(|response| response.status() == 200))
    }

    /// Whether the process has installed a handler for the signal. Until it has, the signal would end it, as it would end
    /// any program before its `main`.
    pub fn catches(&self, signal: Signal) -> bool {
        let Some(pid) = self.process.lock().expect("lock not poisoned").pid else { return false };
        let status = fs::read_to_string(format!("/proc/{}/status", pid.as_raw_nonzero()));
        let status = status.unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or_default();
        caught & (1 << (signal.as_raw() - 1)) != 0
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.process.lock().expect("lock not poisoned").pid;
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGKILL and waits for the exit.
    pub async fn kill(&self) {
        let Some(incarnation) = self.running_incarnation() else { return };
        let now = self.event_log.now();
        self.event_log.with(|records| {
            if let Some(incarnation) = records.incarnations[self.index].get_mut(incarnation) {
                incarnation.kill_sent_at.get_or_insert(now);
            }
        });
        self.signal(Signal::KILL);
        self.wait_for_exit(incarnation).await;
    }

    /// Sends SIGTERM, and SIGKILL if the process has not exited in the time that it has for open requests.
    pub async fn terminate(&self, longest_deadline: Millis) {
        let Some(incarnation) = self.running_incarnation() else { return };
        let now = self.event_log.now();
        let log_unread = {
            let mut process = self.process.lock().expect("lock not poisoned");
            process.term_sent_at = Some(now);
            process.log_unread
        };
        self.event_log.with(|records| {
            if let Some(incarnation) = records.incarnations[self.index].get_mut(incarnation) {
                incarnation.term_sent_at = Some(now);
            }
        });
        self.signal(Signal::TERM);
        let extra = if log_unread { EXTRA_WITH_UNREAD_LOG } else { 0.0 };
        let grace = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE + extra;
        let grace = Duration::from_secs_f64(grace / 1000.0);
        if timeout(grace, self.wait_for_exit(incarnation)).await.is_err() {
            self.kill().await;
        }
    }

    /// Stops the process for `span` and lets it continue. Does nothing if it is paused already, as the rules allow for one
    /// pause at a time only.
    pub async fn pause(&self, span: Duration) {
        let Ok(_pausing) = self.pausing.try_lock() else { return };
        self.signal(Signal::STOP);
        sleep(span).await;
        self.signal(Signal::CONT);
        sleep(PAUSE_GAP).await;
    }

    fn running_incarnation(&self) -> Option<usize> {
        let process = self.process.lock().expect("lock not poisoned");
        process.pid.map(|_| process.incarnation)
    }

    async fn wait_for_exit(&self, incarnation: usize) {
        let _ = self.exited.subscribe().wait_for(|exited| *exited > incarnation).await;
    }
}
