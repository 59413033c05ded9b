//! A fault proxy: one for each line between the gateways and a stand-in.
//!
//! What a gateway writes is passed on at once, so that the stand-in behind sees when it was written; what
//! comes back may be late, in pieces, cut off or reset.

use crate::listener::listen;
use socket2::SockRef;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// What the proxy does to answers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ProxyFaults {
    /// Nothing passes in either direction; connections stay open and silent.
    pub blackhole: bool,
    /// Each piece of an answer comes this much later.
    pub delay: Duration,
    /// Answers come in pieces of this many bytes; 0: as they were written.
    pub fragment_size: usize,
}

/// Between two pieces of an answer.
const PIECE_GAP: Duration = Duration::from_micros(300);

/// A proxy's handle.
#[derive(Debug)]
pub struct Proxy {
    /// Where gateways connect.
    pub address: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
    resets: watch::Sender<u64>,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Proxy {
    /// Starts a proxy in front of `target`; with `None` connections are reset.
    pub async fn start(ip: Ipv4Addr, target: Option<SocketAddr>) -> Proxy {
        let listener = listen(ip).expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (faults, seen_faults) = watch::channel(ProxyFaults::default());
        let (resets, seen_resets) = watch::channel(0);
        let target = Arc::new(Mutex::new(target));
        let current = target.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let at = *current.lock().expect("lock not poisoned");
                tokio::spawn(carry(near, at, seen_faults.clone(), seen_resets.clone()));
            }
        });
        Proxy { address, faults, resets, target }
    }

    /// Puts faults into force.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.faults.send_replace(faults);
    }

    /// Leads new connections elsewhere.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().expect("lock not poisoned") = target;
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// Makes the close of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn carry(
    mut near: TcpStream,
    at: Option<SocketAddr>,
    faults: watch::Receiver<ProxyFaults>,
    mut resets: watch::Receiver<u64>,
) {
    let _ = near.set_nodelay(true);
    resets.mark_unchanged();
    let far = match at {
        Some(at) => TcpStream::connect(at).await.ok(),
        None => None,
    };
    let Some(mut far) = far else {
        reset_on_close(&near);
        return;
    };
    let _ = far.set_nodelay(true);
    let (mut near_read, mut near_write) = near.split();
    let (mut far_read, mut far_write) = far.split();
    let there = async {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            match near_read.read(&mut bytes).await {
                Ok(0) => {
                    let _ = far_write.shutdown().await;
                    return true;
                }
                Ok(_) if faults.borrow().blackhole => {}
                Ok(count) => {
                    if far_write.write_all(&bytes[..count]).await.is_err() {
                        return true;
                    }
                }
                Err(_) => return true,
            }
        }
    };
    let back = async {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            match far_read.read(&mut bytes).await {
                Ok(0) => return false,
                Ok(count) => {
                    let now = *faults.borrow();
                    if now.blackhole {
                        continue;
                    }
                    sleep_if_any(now.delay).await;
                    let piece = if now.fragment_size == 0 { count } else { now.fragment_size };
                    for part in bytes[..count].chunks(piece) {
                        if near_write.write_all(part).await.is_err() {
                            return false;
                        }
                        if now.fragment_size > 0 {
                            sleep(PIECE_GAP).await;
                        }
                    }
                }
                Err(_) => return true,
            }
        }
    };
    // The gateway's end ends both ways, as an attempt that is given up has to end for its server at once.
    let reset = tokio::select! {
        _ = there => false,
        reset = back => reset,
        _ = resets.changed() => true,
    };
    if reset {
        reset_on_close(&near);
    }
}

async fn sleep_if_any(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}
