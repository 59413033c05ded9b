//! The stand-in for the shared counter: it adds to named numbers that expire, with the fault that is set.

use crate::listener::listen;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// What the counter does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CounterBehaviour {
    /// Adds and responds.
    #[default]
    Normal,
    /// Rejects requests.
    Busy,
    /// Adds and never responds.
    Silent,
    /// Adds and responds without a number.
    Malformed,
    /// Closes the connection without a response.
    Disconnect,
}

/// Connections that have been idle for this long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct Number {
    total: f64,
    expires_at: Instant,
}

/// The counter stand-in.
#[derive(Debug)]
pub struct Counter {
    /// The address that it listens on.
    pub address: SocketAddr,
    behaviour: Arc<Mutex<CounterBehaviour>>,
}

impl Counter {
    /// Starts a counter without any numbers.
    pub async fn start() -> Counter {
        let listener = listen(Ipv4Addr::new(127, 88, 0, 3)).expect("a listener can be opened on loopback");
        let address = listener.local_addr().expect("a bound socket has an address");
        let behaviour = Arc::new(Mutex::new(CounterBehaviour::Normal));
        let (shared, numbers) = (behaviour.clone(), Arc::default());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared), Arc::clone(&numbers)));
            }
        });
        Counter { address, behaviour }
    }

    /// Changes the behaviour from the next request on.
    pub fn set_behaviour(&self, behaviour: CounterBehaviour) {
        *self.behaviour.lock().expect("lock not poisoned") = behaviour;
    }
}

async fn serve(
    stream: TcpStream,
    behaviour: Arc<Mutex<CounterBehaviour>>,
    numbers: Arc<Mutex<HashMap<String, Number>>>,
) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    loop {
        let mut line = String::new();
        match timeout(IDLE_TIMEOUT, stream.read_line(&mut line)).await {
            Ok(Ok(count)) if count > 0 => {}
            _ => return,
        }
        let behaviour = *behaviour.lock().expect("lock not poisoned");
        let response = match behaviour {
            CounterBehaviour::Busy => Some("busy\r\n".to_string()),
            CounterBehaviour::Disconnect => return,
            CounterBehaviour::Normal | CounterBehaviour::Silent | CounterBehaviour::Malformed => {
                match add(&line, &numbers) {
                    None => Some("error\r\n".to_string()),
                    Some(_) if behaviour == CounterBehaviour::Silent => None,
                    Some(_) if behaviour == CounterBehaviour::Malformed => Some("ok much\r\n".to_string()),
                    Some(total) => Some(format!("ok {total}\r\n")),
                }
            }
        };
        if let Some(response) = response {
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Carries out a request of the form `add NAME AMOUNT TTL_MS` and returns the new total; `None` if it is invalid.
fn add(line: &str, numbers: &Mutex<HashMap<String, Number>>) -> Option<f64> {
    let mut words = line.split_ascii_whitespace();
    let (verb, name) = (words.next()?, words.next()?);
    let amount: f64 = words.next()?.parse().ok()?;
    let ttl_ms: u64 = words.next()?.parse().ok()?;
    if verb != "add" || name.len() > 64 || words.next().is_some() {
        return None;
    }
    let now = Instant::now();
    let mut numbers = numbers.lock().expect("lock not poisoned");
    numbers.retain(|_, number| number.expires_at > now);
    let new = Number { total: 0.0, expires_at: now + Duration::from_millis(ttl_ms.clamp(1, 60_000)) };
    let number = numbers.entry(name.to_string()).or_insert(new);
    number.total += amount;
    Some(number.total)
}
