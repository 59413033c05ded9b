//! Restarts of gateways: how they are stopped, what surrounds their start, and with which list of servers they start.

use crate::gateway::{Gateway, LogTarget, PeerConfig};
use crate::run::{join_all, Rig};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time from the start of a drain to an outage of discovery: all agents have received the drain by then.
const DRAIN_BEFORE_OUTAGE: Duration = Duration::from_millis(900);
/// The time from the start of an outage to the start of a gateway in it.
const OUTAGE_BEFORE_START: Duration = Duration::from_millis(100);
/// How long the configuration is truncated at the start of a gateway.
const TRUNCATED_AT_START: Duration = Duration::from_millis(400);
/// The pause between the signals of a series.
const SIGNAL_GAP: Duration = Duration::from_millis(70);
/// How many SIGHUPs are sent to a gateway that starts.
const SIGHUPS_AT_START: usize = 6;

/// How a gateway is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopMode {
    /// By SIGTERM.
    Graceful,
    /// By SIGKILL.
    Kill,
    /// By SIGTERM, with further SIGHUPs and SIGTERMs until it has exited.
    SignalSeries,
}

/// How a gateway is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartMode {
    Normal,
    /// With a configuration that is truncated at first.
    TruncatedConfig,
    /// With several SIGHUPs as it starts.
    RepeatedSighup,
    /// With a pipe for the log that is never read.
    UnreadLog,
}

/// Sends SIGHUP and SIGTERM, together and separately, until it is aborted.
async fn send_signal_series(gateway: Arc<Gateway>) {
    loop {
        sleep(SIGNAL_GAP).await;
        gateway.signal(Signal::HUP);
        gateway.signal(Signal::TERM);
        sleep(SIGNAL_GAP).await;
        gateway.signal(Signal::HUP);
    }
}

/// Sends SIGHUPs to a gateway that starts, from the moment on at which it has installed its handler.
async fn send_sighups_at_start(gateway: Arc<Gateway>) {
    for _ in 0..SIGHUPS_AT_START {
        let handled = async {
            while !gateway.catches(Signal::HUP) {
                sleep(Duration::from_micros(200)).await;
            }
        };
        if timeout(Duration::from_secs(1), handled).await.is_ok() {
            gateway.signal(Signal::HUP);
        }
        sleep(Duration::from_millis(1)).await;
    }
}

impl Rig {
    /// Stops gateways and starts them again, each in the given way.
    pub(crate) async fn restart(self: &Arc<Self>, gateways: &[usize], stop: StopMode, start: StartMode) {
        let mut restarts = tokio::task::JoinSet::new();
        for gateway in gateways {
            let (rig, gateway) = (self.clone(), self.gateways[*gateway].clone());
            restarts.spawn(async move {
                // Only one restart at a time: a further one is dropped.
                let Ok(_restarting) = gateway.restarting.try_lock() else { return };
                if gateway.availability().is_none() {
                    return;
                }
                let longest = rig.site.longest_deadline();
                match stop {
                    StopMode::Graceful => gateway.terminate(longest).await,
                    StopMode::Kill => gateway.kill().await,
                    StopMode::SignalSeries => {
                        let series = tokio::spawn(send_signal_series(gateway.clone()));
                        gateway.terminate(longest).await;
                        series.abort();
                    }
                }
                rig.start_as(&gateway, start).await;
            });
        }
        join_all(restarts).await;
    }

    /// Kills gateways, lets servers drain, and starts the gateways again while discovery does not answer.
    pub(crate) async fn restart_in_outage(
        self: &Arc<Self>,
        gateways: &[usize],
        drained: usize,
        outage: Duration,
    ) {
        let mut tasks = tokio::task::JoinSet::new();
        for gateway in gateways {
            let (rig, gateway) = (self.clone(), self.gateways[*gateway].clone());
            tasks.spawn(async move { rig.kill_and_start_with_old_list(&gateway).await });
        }
        for _ in 0..drained {
            let rig = self.clone();
            tasks.spawn(async move { rig.replace_servers(1).await });
        }
        sleep(DRAIN_BEFORE_OUTAGE).await;
        self.take_discovery_down(outage).await;
        join_all(tasks).await;
    }

    /// Starts the gateway again with the list that its agent had before servers began to drain.
    async fn kill_and_start_with_old_list(&self, gateway: &Arc<Gateway>) {
        let Ok(_restarting) = gateway.restarting.try_lock() else { return };
        if gateway.availability().is_none() {
            return;
        }
        let known_servers = self.discovery.list(gateway.index);
        gateway.kill().await;
        sleep(DRAIN_BEFORE_OUTAGE + OUTAGE_BEFORE_START).await;
        let peers = PeerConfig { known_servers, ..self.peers(gateway.index) };
        self.start_with_peers(gateway, StartMode::Normal, &peers).await;
    }

    /// Starts a gateway in the given way and waits until it is ready.
    pub(crate) async fn start_as(&self, gateway: &Arc<Gateway>, start: StartMode) {
        self.start_with_peers(gateway, start, &self.peers(gateway.index)).await;
    }

    async fn start_with_peers(&self, gateway: &Arc<Gateway>, start: StartMode, peers: &PeerConfig) {
        let log = if start == StartMode::UnreadLog { LogTarget::UnreadPipe } else { LogTarget::File };
        let rewriting = if start == StartMode::TruncatedConfig {
            let rewriting = gateway.configure_in_place(&self.site, peers, TRUNCATED_AT_START);
            Some(tokio::spawn(rewriting))
        } else {
            gateway.configure(&self.site, peers);
            None
        };
        let signals = (start == StartMode::RepeatedSighup)
            .then(|| tokio::spawn(send_sighups_at_start(gateway.clone())));
        if !gateway.start(peers, log).await {
            self.event_log.add_to_timeline(format!("gateway {} was not ready within 30 s", gateway.index));
        }
        for task in [rewriting, signals].into_iter().flatten() {
            let _ = task.await;
        }
    }
}
