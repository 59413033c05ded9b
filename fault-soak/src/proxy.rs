//! A TCP proxy that injects faults between the gateways and a stand-in.
//!
//! Bytes from a gateway are passed on at once, so that the stand-in can record when they were written. Bytes from the
//! stand-in may be delayed, fragmented, dropped or replaced by a reset.

use crate::listener::listen;
use socket2::SockRef;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// The faults that a proxy injects.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ProxyFaults {
    /// Bytes are dropped in both directions, while connections stay open.
    pub blackhole: bool,
    /// The delay of each read from the stand-in.
    pub delay: Duration,
    /// The size of the fragments that bytes from the stand-in are written in; 0 to write them as they were read.
    pub fragment_size: usize,
}

/// The pause after each fragment.
const FRAGMENT_GAP: Duration = Duration::from_micros(300);

/// A fault proxy.
#[derive(Debug)]
pub struct Proxy {
    /// The address that gateways connect to.
    pub address: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
    /// Counts how often all connections were reset.
    resets: watch::Sender<u64>,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Proxy {
    /// Starts a proxy in front of `target`. Without a target, new connections are reset.
    pub async fn start(ip: Ipv4Addr, target: Option<SocketAddr>) -> Proxy {
        let listener = listen(ip).expect("a listener can be opened on loopback");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (faults, faults_receiver) = watch::channel(ProxyFaults::default());
        let (resets, resets_receiver) = watch::channel(0);
        let target = Arc::new(Mutex::new(target));
        let shared_target = target.clone();
        tokio::spawn(async move {
            while let Ok((gateway_side, _)) = listener.accept().await {
                let target = *shared_target.lock().expect("lock not poisoned");
                tokio::spawn(forward(gateway_side, target, faults_receiver.clone(), resets_receiver.clone()));
            }
        });
        Proxy { address, faults, resets, target }
    }

    /// Sets the faults for all connections, open ones included.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.faults.send_replace(faults);
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().expect("lock not poisoned") = target;
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// Makes a connection end with a reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes on the bytes of one connection in both directions until it ends.
async fn forward(
    mut gateway_side: TcpStream,
    target: Option<SocketAddr>,
    faults: watch::Receiver<ProxyFaults>,
    mut resets: watch::Receiver<u64>,
) {
    let _ = gateway_side.set_nodelay(true);
    resets.mark_unchanged();
    let target_side = match target {
        Some(target) => TcpStream::connect(target).await.ok(),
        None => None,
    };
    let Some(mut target_side) = target_side else {
        reset_on_close(&gateway_side);
        return;
    };
    let _ = target_side.set_nodelay(true);
    let (mut gateway_read, mut gateway_write) = gateway_side.split();
    let (mut target_read, mut target_write) = target_side.split();
    let to_target = async {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            match gateway_read.read(&mut bytes).await {
                Ok(0) => {
                    let _ = target_write.shutdown().await;
                    return true;
                }
                Ok(_) if faults.borrow().blackhole => {}
                Ok(count) => {
                    if target_write.write_all(&bytes[..count]).await.is_err() {
                        return true;
                    }
                }
                Err(_) => return true,
            }
        }
    };
    // Returns whether the gateway's side has to be reset.
    let to_gateway = async {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            match target_read.read(&mut bytes).await {
                Ok(0) => return false,
                Ok(count) => {
                    let faults = *faults.borrow();
                    if faults.blackhole {
                        continue;
                    }
                    sleep_unless_zero(faults.delay).await;
                    let fragment_size = if faults.fragment_size == 0 { count } else { faults.fragment_size };
                    for fragment in bytes[..count].chunks(fragment_size) {
                        if gateway_write.write_all(fragment).await.is_err() {
                            return false;
                        }
                        if faults.fragment_size > 0 {
                            sleep(FRAGMENT_GAP).await;
                        }
                    }
                }
                Err(_) => return true,
            }
        }
    };
    // When the gateway closes its side, both directions end, so that a server sees at once that an attempt was cancelled.
    let reset = tokio::select! {
        _ = to_target => false,
        reset = to_gateway => reset,
        _ = resets.changed() => true,
    };
    if reset {
        reset_on_close(&gateway_side);
    }
}

async fn sleep_unless_zero(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}
