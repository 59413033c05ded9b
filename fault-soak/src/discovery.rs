//! Discovery: the true server list, an agent for each gateway that hears of its changes late, and the calls
//! that gateways make. An agent may be silent, forget open watches, reset them, or write in small pieces.

use crate::http::{Message, Reader};
use crate::ledger::{Ledger, Millis, StartTold, Told};
use crate::listener::listen;
use crate::proxy::reset_on_close;
use crate::site::area_name;
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
    pub area: usize,
    /// Its state.
    pub state: State,
    /// Unix time of its latest start, milliseconds; 0 for long ago.
    pub boot_ms: i64,
}

impl Entry {
    fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.endpoint.to_string(), "az": area_name(self.area), "model": "m", "pod_group": 0,
               "state": self.state.word(), "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// How agents behave.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AgentManners {
    /// Answers nobody and learns nothing.
    pub down: bool,
    /// Writes answers in pieces of so many bytes; 0: at once.
    pub piece: usize,
    /// Writes indented lists.
    pub indented: bool,
    /// Whole lists leave out what drains, and changes often come as whole lists.
    pub whole: bool,
}

#[derive(Debug)]
struct Agent {
    /// How much of the history it has.
    has: watch::Sender<usize>,
    manners: watch::Sender<AgentManners>,
    /// Counts the times at which open watches fell silent, and were reset.
    silences: watch::Sender<u64>,
    resets: watch::Sender<u64>,
    /// Ends the accepting at the present address.
    stop: Mutex<Option<watch::Sender<bool>>>,
    /// Changes that it has had since then count as told from this moment at the earliest.
    told_from: Mutex<Millis>,
}

/// Who answers gateways' calls, as far as the rule on what counts as told goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// An agent on each gateway's machine: what it has counts as told.
    Pushed,
    /// One service for all: what was written counts as told, and after 6 s what was not.
    OnRequest,
}

/// After so long what a shared service has counts as told, heard or not.
const TOLD_AFTER: Millis = 6000.0;
/// What discovery has to tell counts as told so long after SIGHUP.
const TOLD_AFTER_RELOAD: Millis = 4000.0;
/// Connections at an address that discovery left are closed after this.
const OLD_ADDRESS_LIFE: Duration = Duration::from_millis(1500);

/// Discovery's handle.
#[derive(Debug)]
pub struct Discovery {
    ledger: Arc<Ledger>,
    mode: Mode,
    history: Mutex<Vec<Entry>>,
    /// Starts that gateways were told of, by gateway and place in the history.
    starts_told: Mutex<HashSet<(usize, usize)>>,
    agents: Vec<Agent>,
}

impl Discovery {
    /// Discovery with an agent for each gateway and an empty list.
    pub fn new(ledger: Arc<Ledger>, mode: Mode, gateways: usize) -> Arc<Discovery> {
        let agent = || Agent {
            has: watch::Sender::new(0),
            manners: watch::Sender::new(AgentManners::default()),
            silences: watch::Sender::new(0),
            resets: watch::Sender::new(0),
            stop: Mutex::new(None),
            told_from: Mutex::new(0.0),
        };
        let agents = (0..gateways).map(|_| agent()).collect();
        let (history, starts_told) = (Mutex::default(), Mutex::default());
        Arc::new(Discovery { ledger, mode, history, starts_told, agents })
    }

    /// Changes the list; each agent hears of it after its part of `lag`.
    pub fn change(self: &Arc<Self>, entry: Entry, lag: Duration) {
        let place = {
            let mut history = self.history.lock().expect("no one panics while holding it");
            history.push(entry);
            history.len()
        };
        for gateway in 0..self.agents.len() {
            let part = (gateway + 1) as f64 / self.agents.len() as f64;
            let (discovery, lag) = (self.clone(), lag.mul_f64(part));
            tokio::spawn(async move {
                sleep(lag).await;
                let mut manners = discovery.agents[gateway].manners.subscribe();
                let _ = manners.wait_for(|manners| !manners.down).await;
                discovery.learn(gateway, place);
            });
        }
    }

    /// Puts an entry on the list of all agents at once, before the run begins.
    pub fn seed(&self, entry: Entry) {
        let place = {
            let mut history = self.history.lock().expect("no one panics while holding it");
            history.push(entry);
            history.len()
        };
        for agent in &self.agents {
            agent.has.send_replace(place);
        }
    }

    fn learn(self: &Arc<Self>, gateway: usize, place: usize) {
        let agent = &self.agents[gateway];
        let before = *agent.has.borrow();
        if place <= before {
            return;
        }
        agent.has.send_replace(place);
        if self.mode == Mode::Pushed {
            self.tell(gateway, before, place);
            return;
        }
        let discovery = self.clone();
        tokio::spawn(async move {
            // An outage within the time begins it anew, as the service could not be reached.
            let mut manners = discovery.agents[gateway].manners.subscribe();
            loop {
                let _ = manners.wait_for(|manners| !manners.down).await;
                let outage = async {
                    let _ = manners.wait_for(|manners| manners.down).await;
                };
                if timeout(Duration::from_secs_f64(TOLD_AFTER / 1000.0), outage).await.is_err() {
                    break;
                }
            }
            discovery.tell(gateway, before, place);
        });
    }

    /// Enters what a gateway counts as told of.
    fn tell(&self, gateway: usize, from: usize, to: usize) {
        let told_from = *self.agents[gateway].told_from.lock().expect("no one panics while holding it");
        let at = self.ledger.now().max(told_from);
        let history = self.history.lock().expect("no one panics while holding it");
        let mut starts_told = self.starts_told.lock().expect("no one panics while holding it");
        for (place, entry) in history.iter().enumerate().take(to).skip(from) {
            let started = entry.state == State::Ready && entry.boot_ms != 0;
            if started && starts_told.insert((gateway, place)) {
                let told = StartTold { gateway, server: entry.uid.clone(), at };
                self.ledger.with(|records| records.starts_told.push(told));
            }
        }
        for entry in history[from..to].iter().filter(|entry| entry.state != State::Ready) {
            let server = entry.uid.clone();
            self.ledger.with(|records| {
                let known = |told: &&Told| told.gateway == gateway && told.server == server;
                if !records.told.iter().any(|told| known(&told)) {
                    records.told.push(Told { gateway, server: server.clone(), at });
                }
            });
        }
    }

    /// Changes how agents behave.
    pub fn behave(&self, change: impl Fn(&mut AgentManners)) {
        for agent in &self.agents {
            agent.manners.send_modify(&change);
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
        let history = self.history.lock().expect("no one panics while holding it");
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
        let history = self.history.lock().expect("no one panics while holding it");
        let targets: Vec<Value> = history[after..has].iter().map(Entry::json).collect();
        json!({"rev": has, "all": false, "targets": targets})
    }

    /// Listens for a gateway at a new address; what listened before accepts no more.
    pub async fn listen(self: &Arc<Self>, gateway: usize) -> SocketAddr {
        let listener = listen(Ipv4Addr::new(127, 88, 0, 4)).expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (stop, mut stopped) = watch::channel(false);
        let before = self.agents[gateway].stop.lock().expect("no one panics while holding it").replace(stop);
        if let Some(before) = before {
            before.send_replace(true);
            *self.agents[gateway].told_from.lock().expect("no one panics while holding it") =
                self.ledger.now() + TOLD_AFTER_RELOAD;
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
        while let Ok(call) = reader.message().await {
            if self.agents[gateway].manners.borrow().down {
                // What was asked in the silence is never answered.
                std::future::pending::<()>().await;
            }
            let Some((answer, has)) = self.answer(gateway, &call, &reader.stream).await else { return };
            // What is written to a process that has ended tells the next one nothing.
            if has_ended(&reader.stream) {
                return;
            }
            let manners = *self.agents[gateway].manners.borrow();
            if manners.down {
                std::future::pending::<()>().await;
            }
            let text = if manners.indented {
                serde_json::to_string_pretty(&answer).expect("a list is JSON")
            } else {
                answer.to_string()
            };
            let bytes =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes();
            let piece = if manners.piece == 0 { bytes.len() } else { manners.piece };
            for part in bytes.chunks(piece) {
                if reader.stream.write_all(part).await.is_err() {
                    return;
                }
                if manners.piece > 0 {
                    sleep(Duration::from_micros(200)).await;
                }
            }
            if self.mode == Mode::OnRequest {
                self.tell(gateway, 0, has);
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
        let whole = agent.manners.borrow().whole;
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
