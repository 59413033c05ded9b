//! Discovery: the true server list, an agent for each gateway that hears of its changes late, and the calls
//! that gateways make. An agent may be silent, forget open watches, reset them, or write in small pieces.

use crate::event_log::{EventLog, Millis, RemovalNotice, StartNotice};
use crate::http::{Message, Reader};
use crate::listener::listen;
use crate::proxy::reset_on_close;
use crate::site::zone_name;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// State of a server on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

impl State {
    fn word(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

/// One line of the list.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The server.
    pub uid: String,
    /// Where it is.
    pub endpoint: SocketAddr,
    /// The area it stands in.
    pub zone: usize,
    /// Its state.
    pub state: State,
    /// Unix time of its latest start, milliseconds; 0 for long ago.
    pub boot_ms: i64,
}

impl Entry {
    fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.endpoint.to_string(), "az": zone_name(self.zone), "model": "m", "pod_group": 0,
               "state": self.state.word(), "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// How agents behave.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AgentBehaviour {
    /// Answers nobody and learns nothing.
    pub down: bool,
    /// Writes answers in pieces of so many bytes; 0: at once.
    pub fragment_size: usize,
    /// Writes indented lists.
    pub indented: bool,
    /// Whole lists leave out what drains, and changes often come as whole lists.
    pub full_lists: bool,
}

#[derive(Debug)]
struct Agent {
    /// How much of the history it has.
    has: watch::Sender<usize>,
    behaviour: watch::Sender<AgentBehaviour>,
    /// Counts the times at which open watches fell silent, and were reset.
    silences: watch::Sender<u64>,
    resets: watch::Sender<u64>,
    /// Ends the accepting at the present address.
    stop: Mutex<Option<watch::Sender<bool>>>,
    /// Changes that it has had since then count as told from this moment at the earliest.
    notified_from: Mutex<Millis>,
}

/// Who answers gateways' calls, as far as the rule on what counts as told goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryMode {
    /// An agent on each gateway's machine: what it has counts as told.
    Pushed,
    /// One service for all: what was written counts as told, and after 6 s what was not.
    OnRequest,
}

/// After so long what a shared service has counts as told, heard or not.
const NOTIFIED_AFTER: Millis = 6000.0;
/// What discovery has to tell counts as told so long after SIGHUP.
const NOTIFIED_AFTER_RELOAD: Millis = 4000.0;
/// Connections at an address that discovery left are closed after this.
const OLD_ADDRESS_LIFE: Duration = Duration::from_millis(1500);

/// Discovery's handle.
#[derive(Debug)]
pub struct Discovery {
    event_log: Arc<EventLog>,
    mode: RegistryMode,
    history: Mutex<Vec<Entry>>,
    /// Starts that gateways were told of, by gateway and place in the history.
    start_notices: Mutex<HashSet<(usize, usize)>>,
    agents: Vec<Agent>,
}

impl Discovery {
    /// Discovery with an agent for each gateway and an empty list.
    pub fn new(event_log: Arc<EventLog>, mode: RegistryMode, gateways: usize) -> Arc<Discovery> {
        let agent = || Agent {
            has: watch::Sender::new(0),
            behaviour: watch::Sender::new(AgentBehaviour::default()),
            silences: watch::Sender::new(0),
            resets: watch::Sender::new(0),
            stop: Mutex::new(None),
            notified_from: Mutex::new(0.0),
        };
        let agents = (0..gateways).map(|_| agent()).collect();
        let (history, start_notices) = (Mutex::default(), Mutex::default());
        Arc::new(Discovery { event_log, mode, history, start_notices, agents })
    }

    /// Changes the list; each agent hears of it after its part of `lag`.
    pub fn publish(self: &Arc<Self>, entry: Entry, lag: Duration) {
        let place = {
            let mut history = self.history.lock().expect("lock not poisoned");
            history.push(entry);
            history.len()
        };
        for gateway in 0..self.agents.len() {
            let part = (gateway + 1) as f64 / self.agents.len() as f64;
            let (discovery, lag) = (self.clone(), lag.mul_f64(part));
            tokio::spawn(async move {
                sleep(lag).await;
                let mut behaviour = discovery.agents[gateway].behaviour.subscribe();
                let _ = behaviour.wait_for(|behaviour| !behaviour.down).await;
                discovery.receive(gateway, place);
            });
        }
    }

    /// Puts an entry on the list of all agents at once, before the run begins.
    pub fn publish_at_start(&self, entry: Entry) {
        let place = {
            let mut history = self.history.lock().expect("lock not poisoned");
            history.push(entry);
            history.len()
        };
        for agent in &self.agents {
            agent.has.send_replace(place);
        }
    }

    fn receive(self: &Arc<Self>, gateway: usize, place: usize) {
        let agent = &self.agents[gateway];
        let before = *agent.has.borrow();
        if place <= before {
            return;
        }
        agent.has.send_replace(place);
        if self.mode == RegistryMode::Pushed {
            self.record_notices(gateway, before, place);
            return;
        }
        let discovery = self.clone();
        tokio::spawn(async move {
            // An outage within the time begins it anew, as the service could not be reached.
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
            discovery.record_notices(gateway, before, place);
        });
    }

    /// Enters what a gateway counts as told of.
    fn record_notices(&self, gateway: usize, from: usize, to: usize) {
        let notified_from = *self.agents[gateway].notified_from.lock().expect("lock not poisoned");
        let notified_at = self.event_log.now().max(notified_from);
        let history = self.history.lock().expect("lock not poisoned");
        let mut start_notices = self.start_notices.lock().expect("lock not poisoned");
        for (place, entry) in history.iter().enumerate().take(to).skip(from) {
            let started = entry.state == State::Ready && entry.boot_ms != 0;
            if started && start_notices.insert((gateway, place)) {
                let notice = StartNotice { gateway, server: entry.uid.clone(), notified_at };
                self.event_log.with(|records| records.start_notices.push(notice));
            }
        }
        for entry in history[from..to].iter().filter(|entry| entry.state != State::Ready) {
            let server = entry.uid.clone();
            self.event_log.with(|records| {
                let same = |notice: &RemovalNotice| notice.gateway == gateway && notice.server == server;
                if !records.removal_notices.iter().any(same) {
                    records.removal_notices.push(RemovalNotice {
                        gateway,
                        server: server.clone(),
                        notified_at,
                    });
                }
            });
        }
    }

    /// Changes how agents behave.
    pub fn change_behaviour(&self, change: impl Fn(&mut AgentBehaviour)) {
        for agent in &self.agents {
            agent.behaviour.send_modify(&change);
        }
    }

    /// All open watches fall silent for good.
    pub fn silence_watches(&self) {
        for agent in &self.agents {
            agent.silences.send_modify(|count| *count += 1);
        }
    }

    /// All open watches are reset.
    pub fn reset_watches(&self) {
        for agent in &self.agents {
            agent.resets.send_modify(|count| *count += 1);
        }
    }

    /// The list as a gateway's agent has it.
    pub fn list(&self, gateway: usize) -> Value {
        let has = *self.agents[gateway].has.borrow();
        self.whole(has, false)
    }

    fn whole(&self, has: usize, without_draining: bool) -> Value {
        let history = self.history.lock().expect("lock not poisoned");
        let mut entries = BTreeMap::new();
        for entry in &history[..has] {
            entries.insert(entry.uid.clone(), entry.clone());
        }
        let shown = |entry: &&Entry| match entry.state {
            State::Ready => true,
            State::Draining => !without_draining,
            State::Gone => false,
        };
        let targets: Vec<Value> = entries.values().filter(shown).map(Entry::json).collect();
        json!({"rev": has, "all": true, "targets": targets})
    }

    fn changes(&self, after: usize, has: usize) -> Value {
        let history = self.history.lock().expect("lock not poisoned");
        let targets: Vec<Value> = history[after..has].iter().map(Entry::json).collect();
        json!({"rev": has, "all": false, "targets": targets})
    }

    /// Listens for a gateway at a new address; what listened before accepts no more.
    pub async fn listen(self: &Arc<Self>, gateway: usize) -> SocketAddr {
        let listener = listen(Ipv4Addr::new(127, 88, 0, 4)).expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (stop, mut stopped) = watch::channel(false);
        let before = self.agents[gateway].stop.lock().expect("lock not poisoned").replace(stop);
        if let Some(before) = before {
            before.send_replace(true);
            *self.agents[gateway].notified_from.lock().expect("lock not poisoned") =
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
            sleep(OLD_ADDRESS_LIFE).await;
        });
        address
    }

    async fn serve(self: Arc<Self>, gateway: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(call) = reader.read_message().await {
            if self.agents[gateway].behaviour.borrow().down {
                // What was asked in the silence is never answered.
                std::future::pending::<()>().await;
            }
            let Some((answer, has)) = self.answer(gateway, &call, &reader.stream).await else { return };
            // What is written to a process that has ended tells the next one nothing.
            if has_ended(&reader.stream) {
                return;
            }
            let behaviour = *self.agents[gateway].behaviour.borrow();
            if behaviour.down {
                std::future::pending::<()>().await;
            }
            let text = if behaviour.indented {
                serde_json::to_string_pretty(&answer).expect("a list is JSON")
            } else {
                answer.to_string()
            };
            let bytes =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes();
            let piece = if behaviour.fragment_size == 0 { bytes.len() } else { behaviour.fragment_size };
            for part in bytes.chunks(piece) {
                if reader.stream.write_all(part).await.is_err() {
                    return;
                }
                if behaviour.fragment_size > 0 {
                    sleep(Duration::from_micros(200)).await;
                }
            }
            if self.mode == RegistryMode::OnRequest {
                self.record_notices(gateway, 0, has);
            }
        }
    }

    /// The answer to a call, and how much of the history it tells; `None` if the connection was reset.
    async fn answer(&self, gateway: usize, call: &Message, stream: &TcpStream) -> Option<(Value, usize)> {
        let agent = &self.agents[gateway];
        let number = |name: &str| {
            let (_, query) = call.path().split_once('?')?;
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<usize>().ok())
        };
        let mut has = agent.has.subscribe();
        let whole = agent.behaviour.borrow().full_lists;
        let Some(after) = number("after") else {
            let has = *has.borrow();
            return Some((self.whole(has, whole), has));
        };
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
        let (mut silences, mut resets) = (agent.silences.subscribe(), agent.resets.subscribe());
        let news = async {
            let _ = timeout(wait, has.wait_for(|has| *has > after)).await;
        };
        tokio::select! {
            () = news => {}
            _ = silences.changed() => std::future::pending().await,
            _ = resets.changed() => {
                reset_on_close(stream);
                return None;
            }
        }
        let has = *agent.has.borrow();
        let answer = if after > has || (whole && has > after) {
            self.whole(has, whole)
        } else {
            self.changes(after, has)
        };
        Some((answer, has))
    }
}

/// Whether the other side has closed its connection.
fn has_ended(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut buffer = tokio::io::ReadBuf::new(&mut byte);
    let mut context = Context::from_waker(Waker::noop());
    let peeked = stream.poll_peek(&mut context, &mut buffer);
    match peeked {
        Poll::Ready(Ok(count)) => count == 0,
        Poll::Ready(Err(_)) => true,
        Poll::Pending => false,
    }
}
