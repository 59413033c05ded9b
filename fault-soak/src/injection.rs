//! Injects the faults of a scenario.

use crate::client::open_idle_connections;
use crate::counter::CounterBehaviour;
use crate::discovery::State;
use crate::proxy::ProxyFaults;
use crate::restart::{StartMode, StopMode};
use crate::run::{join_all, millis, ProxiedCounter, Rig};
use crate::scenario::{Fault, ScheduledFault, ServerFault, BURST_CLIENTS};
use crate::server::{Server, ServerBehaviour};
use crate::shim::Faults;
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{interval, sleep};

/// The longest delay until an agent receives a change of the server list.
const MAX_LIST_DELAY: Duration = Duration::from_millis(700);
/// How long a replaced server drains before it is removed.
const DRAIN_DURATION: Duration = Duration::from_millis(2500);
/// The pause between new configurations in a row.
const RELOAD_GAP: Duration = Duration::from_millis(60);
/// The longest time for which a configuration that is rewritten in place is truncated.
const MAX_TRUNCATED: Duration = Duration::from_millis(300);
/// How long a gateway process is stopped at a time.
const PAUSE: Duration = Duration::from_millis(140);
/// The time from one stop to the next.
const PAUSE_PERIOD: Duration = Duration::from_millis(500);
/// How long after a gateway was stopped a burst of clients connects to it.
const BURST_DELAY: Duration = Duration::from_millis(10);

impl Rig {
    /// Injects a fault, and reverts it after its duration if it does not end by itself.
    pub(crate) async fn inject(self: Arc<Self>, scheduled: ScheduledFault) {
        let duration = millis(scheduled.duration);
        match scheduled.fault {
            Fault::Terminate(gateways) => {
                self.restart(&gateways, StopMode::Graceful, StartMode::Normal).await
            }
            Fault::Kill(gateways) => self.restart(&gateways, StopMode::Kill, StartMode::Normal).await,
            Fault::RestartInOutage { gateways, drained } => {
                self.restart_in_outage(&gateways, drained, duration).await
            }
            Fault::SignalSeries(gateways) => {
                self.restart(&gateways, StopMode::SignalSeries, StartMode::RepeatedSighup).await;
            }
            Fault::TruncatedConfigAtStart(gateways) => {
                self.restart(&gateways, StopMode::Graceful, StartMode::TruncatedConfig).await;
            }
            Fault::UnreadLog(gateways) => {
                self.restart(&gateways, StopMode::Graceful, StartMode::UnreadLog).await
            }
            Fault::RewriteConfigInPlace => self.reload_in_place().await,
            Fault::CounterMoves => {
                let new = ProxiedCounter::start().await;
                *self.counter.lock().expect("lock not poisoned") = new;
                self.reload(false, duration).await;
            }
            Fault::IdleConnectionsEverywhere { discovery_down } => {
                self.idle_connections_everywhere(discovery_down, duration).await
            }
            Fault::BlackholeZone(zone) => self.blackhole(self.servers_in_zone(zone), duration).await,
            Fault::CrashZone(zone) => self.crash(self.servers_in_zone(zone), duration).await,
            Fault::Pause(gateways) => self.pause(&gateways, duration).await,
            Fault::Reload { unreadable } => self.reload(unreadable, duration).await,
            Fault::ReloadBurst => {
                for _ in 0..4 {
                    self.reload(false, duration).await;
                    sleep(RELOAD_GAP).await;
                }
            }
            Fault::ReloadAndTerminate(gateways) => {
                self.reload(false, duration).await;
                self.restart(&gateways, StopMode::Graceful, StartMode::Normal).await;
                self.restart(&gateways, StopMode::Graceful, StartMode::Normal).await;
            }
            Fault::ReplaceServers(count) => self.replace_servers(count).await,
            Fault::CrashServers(count) => self.crash(self.pick_ready(count), duration).await,
            Fault::BlackholeServers(count) => self.blackhole(self.pick_ready(count), duration).await,
            Fault::SlowFragmentedResponses => {
                let faults =
                    ProxyFaults { blackhole: false, delay: Duration::from_millis(3), fragment_size: 7 };
                self.set_proxy_faults(self.all_servers(), faults, duration).await;
            }
            Fault::FaultyServers(count, server_fault) => {
                self.set_server_fault(count, server_fault, duration).await
            }
            Fault::DiscoveryDown => self.take_discovery_down(duration).await,
            Fault::WatchesSilent => self.discovery.silence_watches(),
            Fault::WatchesReset => self.discovery.reset_watches(),
            Fault::UnusualLists => {
                self.discovery.change_behaviour(|behaviour| {
                    (behaviour.fragment_size, behaviour.indented, behaviour.full_lists) = (97, true, true);
                });
                sleep(duration).await;
                self.discovery.change_behaviour(|behaviour| {
                    (behaviour.fragment_size, behaviour.indented, behaviour.full_lists) = (0, false, false);
                });
            }
            Fault::Counter(behaviour) => {
                let proxied = self.counter();
                proxied.counter.set_behaviour(behaviour);
                sleep(duration).await;
                proxied.counter.set_behaviour(CounterBehaviour::Normal);
            }
            Fault::WallClockStep(step) => {
                self.wall_clock_offset.fetch_add(step, Ordering::Relaxed);
                let all: Vec<usize> = (0..self.gateways.len()).collect();
                self.change_syscall_faults(&all, |faults| faults.wall_clock_offset += step);
            }
            Fault::Syscalls(gateways, syscall_fault) => {
                let probabilities = syscall_fault.probabilities();
                self.change_syscall_faults(&gateways, |faults| {
                    *faults = Faults { wall_clock_offset: faults.wall_clock_offset, ..probabilities };
                });
                sleep(duration).await;
                self.change_syscall_faults(&gateways, |faults| {
                    *faults = Faults { wall_clock_offset: faults.wall_clock_offset, ..Faults::default() };
                });
            }
            Fault::IdleConnections(gateway) => {
                open_idle_connections(self.gateways[gateway].clone(), self.site.fd_limit, duration).await;
            }
            Fault::ConnectionBurstWhilePaused(gateways) => {
                self.connection_burst_while_paused(&gateways).await
            }
            Fault::ClientsLeave => {
                self.most_leave.store(true, Ordering::Relaxed);
                sleep(duration).await;
                self.most_leave.store(false, Ordering::Relaxed);
            }
        }
    }

    /// Lets no agent answer for that time.
    pub(crate) async fn take_discovery_down(&self, duration: Duration) {
        self.discovery.change_behaviour(|behaviour| behaviour.down = true);
        sleep(duration).await;
        self.discovery.change_behaviour(|behaviour| behaviour.down = false);
    }

    fn change_syscall_faults(&self, gateways: &[usize], change: impl Fn(&mut Faults)) {
        let mut all = self.syscall_faults.lock().expect("lock not poisoned");
        for gateway in gateways {
            change(&mut all[*gateway]);
            self.gateways[*gateway].set_syscall_faults(all[*gateway]);
        }
    }

    async fn pause(&self, gateways: &[usize], duration: Duration) {
        let rounds = duration.as_millis() / PAUSE_PERIOD.as_millis();
        let mut ticks = interval(PAUSE_PERIOD);
        for _ in 0..rounds.max(1) {
            ticks.tick().await;
            let paused = gateways.iter().map(|gateway| self.gateways[*gateway].clone());
            let mut pauses = tokio::task::JoinSet::new();
            paused.for_each(|gateway| {
                pauses.spawn(async move { gateway.pause(PAUSE).await });
            });
            join_all(pauses).await;
        }
    }

    async fn connection_burst_while_paused(&self, gateways: &[usize]) {
        let mut bursts = tokio::task::JoinSet::new();
        for gateway in gateways.iter().map(|gateway| self.gateways[*gateway].clone()) {
            let burst = self.clients(&gateway).connection_burst(BURST_CLIENTS, self.draw());
            bursts.spawn(async move {
                tokio::join!(gateway.pause(PAUSE), async {
                    sleep(BURST_DELAY).await;
                    burst.await;
                });
            });
        }
        join_all(bursts).await;
    }

    async fn reload(&self, unreadable: bool, duration: Duration) {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        if unreadable {
            self.change_syscall_faults(&all, |faults| faults.open_fails = 1.0);
        }
        for gateway in &self.gateways {
            let address = self.discovery.listen(gateway.index).await;
            self.discovery_addresses.lock().expect("lock not poisoned")[gateway.index] = address;
            gateway.configure(&self.site, &self.peers(gateway.index));
            if gateway.availability().is_some() {
                gateway.signal(Signal::HUP);
            }
        }
        if unreadable {
            sleep(duration.min(Duration::from_millis(1500))).await;
            self.change_syscall_faults(&all, |faults| faults.open_fails = 0.0);
        }
    }

    /// Lets servers drain one after another, replaces each by a new one, and removes it.
    pub(crate) async fn replace_servers(&self, count: usize) {
        for server in self.pick_ready(count) {
            self.set_state(&server, State::Draining);
            let new = self.start_server(Some(self.site.capacity())).await;
            self.add_to_list(new);
            sleep(DRAIN_DURATION).await;
            self.set_state(&server, State::Gone);
        }
    }

    /// The servers of a zone; if all servers are in it, some of them, so that others stay.
    fn servers_in_zone(&self, zone: usize) -> Vec<Arc<Server>> {
        let all = self.all_servers();
        let in_zone = all.iter().filter(|server| server.zone == zone).cloned().collect::<Vec<_>>();
        if in_zone.len() < all.len() {
            in_zone
        } else {
            self.pick_ready(in_zone.len())
        }
    }

    async fn reload_in_place(&self) {
        let mut rewrites = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            let address = self.discovery.listen(gateway.index).await;
            self.discovery_addresses.lock().expect("lock not poisoned")[gateway.index] = address;
            let span = MAX_TRUNCATED.mul_f64((self.draw() % 1000) as f64 / 1000.0);
            rewrites.spawn(gateway.configure_in_place(&self.site, &self.peers(gateway.index), span));
            if gateway.availability().is_some() {
                gateway.signal(Signal::HUP);
            }
        }
        join_all(rewrites).await;
    }

    async fn idle_connections_everywhere(&self, discovery_down: bool, duration: Duration) {
        if discovery_down {
            self.discovery.change_behaviour(|behaviour| behaviour.down = true);
        }
        let mut connections = tokio::task::JoinSet::new();
        for gateway in &self.gateways {
            connections.spawn(open_idle_connections(gateway.clone(), self.site.fd_limit, duration));
        }
        join_all(connections).await;
        if discovery_down {
            self.discovery.change_behaviour(|behaviour| behaviour.down = false);
        }
    }

    async fn blackhole(&self, servers: Vec<Arc<Server>>, duration: Duration) {
        self.set_proxy_faults(servers, ProxyFaults { blackhole: true, ..ProxyFaults::default() }, duration)
            .await;
    }

    async fn crash(&self, servers: Vec<Arc<Server>>, duration: Duration) {
        servers.iter().for_each(|server| server.crash());
        sleep(duration).await;
        for server in servers {
            server.start(Some(self.site.capacity())).await;
            self.publish_restart(&server);
        }
    }

    async fn set_proxy_faults(&self, servers: Vec<Arc<Server>>, faults: ProxyFaults, duration: Duration) {
        servers.iter().for_each(|server| server.proxy.set_faults(faults));
        sleep(duration).await;
        for server in servers {
            server.proxy.set_faults(ProxyFaults::default());
            if faults.blackhole {
                server.proxy.reset_connections();
            }
        }
    }

    fn all_servers(&self) -> Vec<Arc<Server>> {
        let servers = self.servers.lock().expect("lock not poisoned");
        servers.iter().map(|(server, _)| server.clone()).collect()
    }

    async fn set_server_fault(&self, count: usize, server_fault: ServerFault, duration: Duration) {
        let normal = ServerBehaviour { work_factor: 1.0, ..ServerBehaviour::default() };
        let behaviour = match server_fault {
            ServerFault::Hang => ServerBehaviour { hang: 0.8, ..normal },
            ServerFault::Error => ServerBehaviour { error: 0.5, ..normal },
            ServerFault::Reject => ServerBehaviour { reject: 0.5, ..normal },
            ServerFault::Reset => ServerBehaviour { reset: 0.4, ..normal },
            ServerFault::Malformed => {
                ServerBehaviour { malformed: 0.1, second_response: 0.2, no_length: 0.3, ..normal }
            }
            ServerFault::Close => ServerBehaviour { close: 0.6, ..normal },
            ServerFault::Slow => ServerBehaviour { work_factor: 20.0, ..normal },
            ServerFault::LongResponses => {
                ServerBehaviour { large_body: 0.8, interim: 0.3, endless: 0.1, ..normal }
            }
        };
        let servers = self.pick_ready(count);
        servers.iter().for_each(|server| server.set_behaviour(behaviour));
        sleep(duration).await;
        servers.iter().for_each(|server| server.set_behaviour(normal));
    }

    /// Up to `count` random servers that are ready, but at most half of them.
    fn pick_ready(&self, count: usize) -> Vec<Arc<Server>> {
        let servers = self.servers.lock().expect("lock not poisoned");
        let mut ready: Vec<Arc<Server>> = servers
            .iter()
            .filter(|(_, state)| *state == State::Ready)
            .map(|(server, _)| server.clone())
            .collect();
        drop(servers);
        let number = count.min(ready.len() / 2);
        let mut chosen = Vec::new();
        while chosen.len() < number {
            let index = (self.draw() % ready.len() as u64) as usize;
            chosen.push(ready.swap_remove(index));
        }
        chosen
    }

    // The state of a server changes and is published under one lock. Otherwise the drain of a server could get onto the list
    // before the start that it follows, and the list would have the server as ready from then on.

    fn set_state(&self, server: &Server, state: State) {
        let mut servers = self.servers.lock().expect("lock not poisoned");
        if let Some((_, current)) = servers.iter_mut().find(|(known, _)| known.uid == server.uid) {
            *current = state;
        }
        self.discovery.publish(self.entry(server, state, 0), MAX_LIST_DELAY);
    }

    fn add_to_list(&self, server: Arc<Server>) {
        let mut servers = self.servers.lock().expect("lock not poisoned");
        self.discovery.publish(self.entry(&server, State::Ready, self.wall_clock()), MAX_LIST_DELAY);
        servers.push((server, State::Ready));
    }

    /// Publishes the new start of a server, unless the server was replaced meanwhile.
    fn publish_restart(&self, server: &Server) {
        let servers = self.servers.lock().expect("lock not poisoned");
        if servers.iter().any(|(known, state)| known.uid == server.uid && *state == State::Ready) {
            self.discovery.publish(self.entry(server, State::Ready, self.wall_clock()), MAX_LIST_DELAY);
        }
    }
}
