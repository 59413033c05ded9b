//! The stand-in for discovery: the true server list, an agent for each gateway that receives its changes with a delay,
//! and the HTTP interface for gateways. An agent may stop answering, never answer open watches, reset them, or write in
//! small fragments.

use crate::event_log::{EventLog, Millis, RemovalNotice, StartNotice};
use crate::http::{is_closed, Message, Reader};
use crate::listener::listen;
use crate::proxy::reset_on_close;
use crate::site::zone_name;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The state of a server on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Finishes its open requests and takes no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

/// An entry of the server list, or a change of one.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The server's uid.
    pub uid: String,
    /// Its address.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: usize,
    /// Its state.
    pub state: State,
    /// The Unix time of its latest start in milliseconds; 0 if it started long ago.
    pub boot_ms: i64,
}

impl Entry {
    fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.endpoint.to_string(), "az": zone_name(self.zone), "model": "m", "pod_group": 0,
               "state": self.state.name(), "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// How an agent behaves.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AgentBehaviour {
    /// Neither answers requests nor receives changes of the list.
    pub down: bool,
    /// The size of the fragments in which responses are written, in bytes; 0 to write them at once.
    pub fragment_size: usize,
    /// Responses are indented JSON.
    pub indented: bool,
    /// Full lists leave out draining servers, and changes are sent as full lists.
    pub full_lists: bool,
}

/// The agent of one gateway.
#[derive(Debug)]
struct Agent {
    /// The revision of the list that it has received: the length of that part of the history.
    revision: watch::Sender<usize>,
    behaviour: watch::Sender<AgentBehaviour>,
    /// Counts how often the open watches were silenced for good.
    silences: watch::Sender<u64>,
    /// Counts how often the open watches were reset.
    resets: watch::Sender<u64>,
    /// Stops the listener at the current address.
    stop: Mutex<Option<watch::Sender<bool>>>,
    /// The gateway counts as notified of changes at this time at the earliest, as it takes time to connect to discovery
    /// at a new address.
    not_notified_before: Mutex<Millis>,
}

/// How gateways get the server list, which decides when a gateway counts as notified of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryMode {
    /// From an agent on the gateway's machine: the gateway counts as notified when the agent has received the change.
    Pushed,
    /// From a service shared by all gateways: the gateway counts as notified when a response with the change has been
    /// written, and 6 s after the change in any case.
    OnRequest,
}

/// With a shared service, a gateway counts as notified of a change after this time even without a response.
const NOTIFIED_AFTER: Millis = 6000.0;
/// A SIGHUP announces that discovery has moved to a new address. A gateway counts as notified of changes this long after
/// that at the earliest.
const NOTIFIED_AFTER_RELOAD: Millis = 4000.0;
/// Connections at the old address of discovery are closed this long after the move.
const OLD_CONNECTIONS_CLOSE_AFTER: Duration = Duration::from_millis(1500);

/// The discovery stand-in.
#[derive(Debug)]
pub struct Discovery {
    event_log: Arc<EventLog>,
    mode: RegistryMode,
    /// All changes of the list; the revision of a change is its index plus one.
    history: Mutex<Vec<Entry>>,
    /// The starts that gateways were notified of, by gateway and index in the history.
    recorded_starts: Mutex<HashSet<(usize, usize)>>,
    agents: Vec<Agent>,
}

impl Discovery {
    /// Creates discovery with an agent for each gateway and an empty list.
    pub fn new(event_log: Arc<EventLog>, mode: RegistryMode, gateways: usize) -> Arc<Discovery> {
        let agent = || Agent {
            revision: watch::Sender::new(0),
            behaviour: watch::Sender::new(AgentBehaviour::default()),
            silences: watch::Sender::new(0),
            resets: watch::Sender::new(0),
            stop: Mutex::new(None),
            not_notified_before: Mutex::new(0.0),
        };
        let agents = (0..gateways).map(|_| agent()).collect();
        let (history, recorded_starts) = (Mutex::default(), Mutex::default());
        Arc::new(Discovery { event_log, mode, history, recorded_starts, agents })
    }

    /// Changes the list. The agents receive the change one after another, evenly spread over `max_delay`.
    ///
    /// # Panics
    /// If the server was removed before: gateways follow the list, so they would be blamed for a fault of the rig.
    pub fn publish(self: &Arc<Self>, entry: Entry, max_delay: Duration) {
        let returned = entry.state == State::Ready && self.is_removed(&entry.uid);
        assert!(!returned, "{} becomes ready after its drain", entry.uid);
        let revision = {
            let mut history = self.history.lock().expect("lock not poisoned");
            history.push(entry);
            history.len()
        };
        for gateway in 0..self.agents.len() {
            let share = (gateway + 1) as f64 / self.agents.len() as f64;
            let (discovery, delay) = (self.clone(), max_delay.mul_f64(share));
            tokio::spawn(async move {
                sleep(delay).await;
                let mut behaviour = discovery.agents[gateway].behaviour.subscribe();
                let _ = behaviour.wait_for(|behaviour| !behaviour.down).await;
                discovery.receive(gateway, revision);
            });
        }
    }

    /// Whether a server drains or is gone.
    fn is_removed(&self, uid: &str) -> bool {
        let history = self.history.lock().expect("lock not poisoned");
        history.iter().any(|entry| entry.uid == uid && entry.state != State::Ready)
    }

    /// Adds an entry that all agents have from the start of the run.
    pub fn publish_at_start(&self, entry: Entry) {
        let revision = {
            let mut history = self.history.lock().expect("lock not poisoned");
            history.push(entry);
            history.len()
        };
        for agent in &self.agents {
            agent.revision.send_replace(revision);
        }
    }

    fn receive(self: &Arc<Self>, gateway: usize, revision: usize) {
        let agent = &self.agents[gateway];
        let before = *agent.revision.borrow();
        if revision <= before {
            return;
        }
        agent.revision.send_replace(revision);
        if self.mode == RegistryMode::Pushed {
            self.record_notices(gateway, before, revision);
            return;
        }
        let discovery = self.clone();
        tokio::spawn(async move {
            // An outage of the service restarts the time, as the gateway could not reach it.
            let mut behaviour = discovery.agents[gateway].behaviour.subscribe();
            loop {
                let _ = behaviour.wait_for(|behaviour| !behaviour.down).await;
                let outage = async {
                    let _ = behaviour.wait_for(|behaviour| behaviour.down).await;
                };
                if timeout(Duration::from_secs_f64(NOTIFIED_AFTER / 1000.0), outage).await.is_err() {
                    break;
                }
            }
            discovery.record_notices(gateway, before, revision);
        });
    }

    /// Records that a gateway counts as notified of the changes between two revisions.
    fn record_notices(&self, gateway: usize, from: usize, to: usize) {
        let not_notified_before =
            *self.agents[gateway].not_notified_before.lock().expect("lock not poisoned");
        let notified_at = self.event_log.now().max(not_notified_before);
        let history = self.history.lock().expect("lock not poisoned");
        let mut recorded_starts = self.recorded_starts.lock().expect("lock not poisoned");
        for (index, entry) in history.iter().enumerate().take(to).skip(from) {
            let started = entry.state == State::Ready && entry.boot_ms != 0;
            if started && recorded_starts.insert((gateway, index)) {
                let notice = StartNotice { gateway, server: entry.uid.clone(), notified_at };
                self.event_log.with(|records| records.start_notices.push(notice));
            }
        }
        for (index, entry) in history.iter().enumerate().take(to).skip(from) {
            if entry.state == State::Ready {
                continue;
            }
            let server = entry.uid.clone();
            self.event_log.with(|records| {
                let same = |notice: &RemovalNotice| notice.gateway == gateway && notice.server == server;
                if !records.removal_notices.iter().any(same) {
                    records.removal_notices.push(RemovalNotice {
                        gateway,
                        server: server.clone(),
                        revision: index + 1,
                        notified_at,
                    });
                }
            });
        }
    }

    /// Changes how all agents behave.
    pub fn change_behaviour(&self, change: impl Fn(&mut AgentBehaviour)) {
        for agent in &self.agents {
            agent.behaviour.send_modify(&change);
        }
    }

    /// Leaves all open watches without an answer for good.
    pub fn silence_watches(&self) {
        for agent in &self.agents {
            agent.silences.send_modify(|count| *count += 1);
        }
    }

    /// Resets the connections of all open watches.
    pub fn reset_watches(&self) {
        for agent in &self.agents {
            agent.resets.send_modify(|count| *count += 1);
        }
    }

    /// The list as a gateway's agent has received it.
    pub fn list(&self, gateway: usize) -> Value {
        let revision = *self.agents[gateway].revision.borrow();
        self.full_list(revision, false)
    }

    fn full_list(&self, revision: usize, without_draining: bool) -> Value {
        let history = self.history.lock().expect("lock not poisoned");
        let mut entries = BTreeMap::new();
        for entry in &history[..revision] {
            entries.insert(entry.uid.clone(), entry.clone());
        }
        let shown = |entry: &&Entry| match entry.state {
            State::Ready => true,
            State::Draining => !without_draining,
            State::Gone => false,
        };
        let targets: Vec<Value> = entries.values().filter(shown).map(Entry::json).collect();
        json!({"rev": revision, "all": true, "targets": targets})
    }

    fn changes(&self, after: usize, revision: usize) -> Value {
        let history = self.history.lock().expect("lock not poisoned");
        let targets: Vec<Value> = history[after..revision].iter().map(Entry::json).collect();
        json!({"rev": revision, "all": false, "targets": targets})
    }

    /// Starts to listen for a gateway at a new address, and stops to at the previous one.
    pub async fn listen(self: &Arc<Self>, gateway: usize) -> SocketAddr {
        let listener = listen(Ipv4Addr::new(127, 88, 0, 4)).expect("a listener can be opened on loopback");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (stop, mut stopped) = watch::channel(false);
        let before = self.agents[gateway].stop.lock().expect("lock not poisoned").replace(stop);
        if let Some(before) = before {
            before.send_replace(true);
            *self.agents[gateway].not_notified_before.lock().expect("lock not poisoned") =
                self.event_log.now() + NOTIFIED_AFTER_RELOAD;
        }
        let discovery = self.clone();
        tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        connections.spawn(discovery.clone().serve(gateway, stream));
                    }
                    _ = stopped.wait_for(|stopped| *stopped) => break,
                }
            }
            drop(listener);
            sleep(OLD_CONNECTIONS_CLOSE_AFTER).await;
        });
        address
    }

    async fn serve(self: Arc<Self>, gateway: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.read_message().await {
            if self.agents[gateway].behaviour.borrow().down {
                // A request that comes while the agent is down is never answered.
                std::future::pending::<()>().await;
            }
            let Some((list, revision)) = self.response(gateway, &request, &reader.stream).await else {
                return;
            };
            // A response to a process that has exited does not notify the gateway's next incarnation.
            if is_closed(&reader.stream) {
                return;
            }
            let behaviour = *self.agents[gateway].behaviour.borrow();
            if behaviour.down {
                std::future::pending::<()>().await;
            }
            let text = if behaviour.indented {
                serde_json::to_string_pretty(&list).expect("a JSON value can be serialized")
            } else {
                list.to_string()
            };
            let bytes =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes();
            let fragment_size =
                if behaviour.fragment_size == 0 { bytes.len() } else { behaviour.fragment_size };
            for fragment in bytes.chunks(fragment_size) {
                if reader.stream.write_all(fragment).await.is_err() {
                    return;
                }
                if behaviour.fragment_size > 0 {
                    sleep(Duration::from_micros(200)).await;
                }
            }
            if self.mode == RegistryMode::OnRequest {
                self.record_notices(gateway, 0, revision);
            }
        }
    }

    /// The list to respond with, and its revision; `None` if the connection was reset.
    async fn response(
        &self,
        gateway: usize,
        request: &Message,
        stream: &TcpStream,
    ) -> Option<(Value, usize)> {
        let agent = &self.agents[gateway];
        let parameter = |name: &str| {
            let (_, query) = request.path().split_once('?')?;
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<usize>().ok())
        };
        let mut revision = agent.revision.subscribe();
        let full_lists = agent.behaviour.borrow().full_lists;
        let Some(after) = parameter("after") else {
            let revision = *revision.borrow();
            return Some((self.full_list(revision, full_lists), revision));
        };
        let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0) as u64);
        let (mut silences, mut resets) = (agent.silences.subscribe(), agent.resets.subscribe());
        let update = async {
            let _ = timeout(wait, revision.wait_for(|revision| *revision > after)).await;
        };
        tokio::select! {
            () = update => {}
            _ = silences.changed() => std::future::pending().await,
            _ = resets.changed() => {
                reset_on_close(stream);
                return None;
            }
        }
        let revision = *agent.revision.borrow();
        let list = if after > revision || (full_lists && revision > after) {
            self.full_list(revision, full_lists)
        } else {
            self.changes(after, revision)
        };
        Some((list, revision))
    }
}
