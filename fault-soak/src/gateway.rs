//! Gateway processes: their configuration, starts, signals and ends.

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

/// New connections go on coming for so long after SIGTERM.
pub const CONNECTS_AFTER_TERM: Millis = 300.0;
/// The longest deadline that counts for when SIGKILL comes, and how much later than that it comes.
const LONGEST_COUNTED: Millis = 3000.0;
const KILL_AFTER: Millis = 700.0;
/// One whose log nobody reads is killed so much later: that it does not end must not be for another reason.
const MORE_FOR_LOG_UNREAD: Millis = 3000.0;
/// After it was held up it runs at least this long.
const PAUSE_GAP: Duration = Duration::from_millis(300);
/// A gateway that is not ready by then is given up.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// One gateway, over all its lives.
#[derive(Debug)]
pub struct Gateway {
    /// Its number.
    pub index: usize,
    /// Where it listens.
    pub address: SocketAddr,
    event_log: Arc<EventLog>,
    control: Control,
    program: PathBuf,
    shim: Option<PathBuf>,
    config: PathBuf,
    log: PathBuf,
    state: Mutex<Process>,
    /// Held while the configuration is replaced, as a reload and a restart share the name of the temporary file.
    replacing_config: Mutex<()>,
    /// Held by whoever ends it and starts it again.
    pub restarting: tokio::sync::Mutex<()>,
    /// Held by whoever has stopped it.
    pausing: tokio::sync::Mutex<()>,
    /// The number of the life that is over last, plus one.
    ended: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct Process {
    pid: Option<Pid>,
    incarnation: usize,
    ready: bool,
    terminated: Option<Millis>,
    log_unread: bool,
}

/// Whether a gateway can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Availability {
    /// Which life of it runs.
    pub incarnation: usize,
    /// Whether new connections go to it.
    pub accepts_connections: bool,
}

/// Who takes what a gateway logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// Its file.
    File,
    /// A pipe that fills up.
    UnreadPipe,
}

/// What a gateway's configuration says beside the site's settings.
#[derive(Debug, Clone)]
pub struct PeerConfig {
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where the counter is.
    pub counter: SocketAddr,
    /// The list as the gateway last held it.
    pub known: Value,
}

impl Gateway {
    /// A gateway that is not running yet, with its files in `folder`.
    ///
    /// # Errors
    /// What the system says of the files.
    pub fn new(
        index: usize,
        event_log: Arc<EventLog>,
        program: &Path,
        shim: Option<&Path>,
        folder: &Path,
    ) -> io::Result<Gateway> {
        // Gateways keep their ports over their lives; nothing else takes one at an address of its own.
        let ip = Ipv4Addr::new(127, 87, (std::process::id() % 250) as u8, (index + 1) as u8);
        let address = std::net::TcpListener::bind((ip, 0))?.local_addr()?;
        let log = folder.join(format!("gateway-{index}.log"));
        // Each life writes on behind the one before; an earlier run's log is of no use.
        File::create(&log)?;
        Ok(Gateway {
            index,
            address,
            event_log,
            control: Control::create(folder.join(format!("shim-{index}.control")))?,
            program: program.to_path_buf(),
            shim: shim.map(Path::to_path_buf),
            config: folder.join(format!("gateway-config-{index}.json")),
            log,
            state: Mutex::new(Process::default()),
            replacing_config: Mutex::new(()),
            restarting: tokio::sync::Mutex::new(()),
            pausing: tokio::sync::Mutex::new(()),
            ended: watch::Sender::new(0),
        })
    }

    /// Sets which system calls fail.
    pub fn set_syscall_faults(&self, faults: Faults) {
        self.control.set(faults);
    }

    /// Whether it can be asked.
    pub fn availability(&self) -> Option<Availability> {
        let state = self.state.lock().expect("lock not poisoned");
        if !state.ready {
            return None;
        }
        let accepts_connections =
            state.terminated.is_none_or(|at| self.event_log.now() < at + CONNECTS_AFTER_TERM);
        Some(Availability { incarnation: state.incarnation, accepts_connections })
    }

    /// Writes its configuration and puts it into place at once.
    pub fn configure(&self, site: &Site, peers: &PeerConfig) {
        let _replacing = self.replacing_config.lock().expect("lock not poisoned");
        let half_written = self.config.with_extension("new");
        fs::write(&half_written, self.configuration(site, peers)).expect("the folder takes files");
        fs::rename(&half_written, &self.config).expect("the folder takes files");
    }

    /// Rewrites its configuration where it stands: it is cut short until the future that this returns has ended.
    pub fn configure_in_place(
        &self,
        site: &Site,
        peers: &PeerConfig,
        span: Duration,
    ) -> impl Future<Output = ()> {
        let (path, text) = (self.config.clone(), self.configuration(site, peers));
        fs::write(&path, &text[..text.len() / 2]).expect("the folder takes files");
        async move {
            sleep(span).await;
            fs::write(&path, text).expect("the folder takes files");
        }
    }

    fn configuration(&self, site: &Site, peers: &PeerConfig) -> String {
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.address.to_string(),
            "discovery": peers.discovery.to_string(), "seed": format!("{:016x}", self.event_log.now().to_bits()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": site.fd_limit},
            "counter": peers.counter.to_string(), "known": peers.known, "settings": site.settings(self.index),
        });
        config.to_string()
    }

    /// Starts it and waits until it is ready; false if it is not within 30 s.
    pub async fn start(self: &Arc<Self>, peers: &PeerConfig, log: LogTarget) -> bool {
        // Nobody reads from the other end, which stays open for as long as the process may write.
        let log_unread = log == LogTarget::UnreadPipe;
        let unread = log_unread.then(|| UnixStream::pair().expect("a pair"));
        let log: Stdio = match &unread {
            Some((log, _)) => OwnedFd::from(log.try_clone().expect("a descriptor")).into(),
            None => {
                let log = File::options().create(true).append(true).open(&self.log);
                log.expect("the folder takes files").into()
            }
        };
        let mut command = Command::new(&self.program);
        command
            .env("BALANCER_NAME", format!("n{}", self.index))
            .env("BALANCER_LISTEN", self.address.to_string())
            .env("BALANCER_DISCOVERY", peers.discovery.to_string())
            .env("BALANCER_CONFIG", &self.config)
            .env("BALANCER_TRACE", "1")
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        if let Some(shim) = &self.shim {
            command.env("LD_PRELOAD", shim).env("FAULT_SHIM_CONTROL", &self.control.path);
        }
        let mut child = command.spawn().expect("the gateway's program can be started");
        let incarnation = Incarnation {
            started_at: self.event_log.now(),
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
        *self.state.lock().expect("lock not poisoned") =
            Process { pid, incarnation: number, ready: false, terminated: None, log_unread };
        let gateway = self.clone();
        tokio::spawn(async move {
            let status = child.wait().await;
            drop(unread);
            let now = gateway.event_log.now();
            let success = status.is_ok_and(|status| status.success());
            gateway
                .event_log
                .with(|records| records.incarnations[gateway.index][number].exited = Some((now, success)));
            *gateway.state.lock().expect("lock not poisoned") = Process::default();
            gateway.ended.send_replace(number + 1);
        });
        let ready = timeout(READY_WITHIN, async {
            while !self.is_ready().await {
                sleep(Duration::from_millis(10)).await;
            }
        });
        if ready.await.is_err() {
            return false;
        }
        let now = self.event_log.now();
        self.event_log.with(|records| records.incarnations[self.index][number].ready_at = Some(now));
        self.state.lock().expect("lock not poisoned").ready = true;
        true
    }

    async fn is_ready(&self) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(self.address).await.ok()?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n").await.ok()?;
            Reader::new(stream).read_message().await.ok()
        };
        timeout(Duration::from_secs(1), ask)
            .await
            .is_ok_and(|answer| answer.is_some_and(|got| got.status() == 200))
    }

    /// Whether it takes a signal by now, or would still be ended by it: before its `main` no program can.
    pub fn catches(&self, signal: Signal) -> bool {
        let Some(pid) = self.state.lock().expect("lock not poisoned").pid else { return false };
        let status = fs::read_to_string(format!("/proc/{}/status", pid.as_raw_nonzero()));
        let status = status.unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or_default();
        caught & (1 << (signal.as_raw() - 1)) != 0
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = self.state.lock().expect("lock not poisoned").pid;
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it without a word and waits for its end.
    pub async fn kill(&self) {
        let Some(incarnation) = self.running_life() else { return };
        let now = self.event_log.now();
        self.event_log.with(|records| {
            if let Some(incarnation) = records.incarnations[self.index].get_mut(incarnation) {
                incarnation.kill_sent_at.get_or_insert(now);
            }
        });
        self.signal(Signal::KILL);
        self.wait_for_end(incarnation).await;
    }

    /// Tells it to end, and kills it if it has not by the time that the rules name.
    pub async fn terminate(&self, longest_deadline: Millis) {
        let Some(incarnation) = self.running_life() else { return };
        let now = self.event_log.now();
        let log_unread = {
            let mut state = self.state.lock().expect("lock not poisoned");
            state.terminated = Some(now);
            state.log_unread
        };
        self.event_log.with(|records| {
            if let Some(incarnation) = records.incarnations[self.index].get_mut(incarnation) {
                incarnation.term_sent_at = Some(now);
            }
        });
        self.signal(Signal::TERM);
        let more = if log_unread { MORE_FOR_LOG_UNREAD } else { 0.0 };
        let grace = longest_deadline.min(LONGEST_COUNTED) + KILL_AFTER + more;
        let grace = Duration::from_secs_f64(grace / 1000.0);
        if timeout(grace, self.wait_for_end(incarnation)).await.is_err() {
            self.kill().await;
        }
    }

    /// Stops the process and lets it go on. It is held up by one trouble at a time: no rule bears more.
    pub async fn pause(&self, span: Duration) {
        let Ok(_pausing) = self.pausing.try_lock() else { return };
        self.signal(Signal::STOP);
        sleep(span).await;
        self.signal(Signal::CONT);
        sleep(PAUSE_GAP).await;
    }

    fn running_life(&self) -> Option<usize> {
        let state = self.state.lock().expect("lock not poisoned");
        state.pid.map(|_| state.incarnation)
    }

    async fn wait_for_end(&self, incarnation: usize) {
        let _ = self.ended.subscribe().wait_for(|ended| *ended > incarnation).await;
    }
}
