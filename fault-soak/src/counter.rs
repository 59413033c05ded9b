//! The shared counter: it adds to named numbers, and misbehaves as it is told.

use crate::listener::listen;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// What the counter does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CounterBehaviour {
    /// Adds and answers.
    #[default]
    Normal,
    /// Turns calls away.
    Busy,
    /// Adds and never answers.
    Silent,
    /// Adds and answers without a number.
    Malformed,
    /// Closes connections.
    Disconnect,
}

/// A connection that has stood idle for so long is closed.
const IDLE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct Number {
    total: f64,
    until: Instant,
}

/// The counter's handle.
#[derive(Debug)]
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    behaviour: Arc<Mutex<CounterBehaviour>>,
}

impl Counter {
    /// Starts a counter.
    pub async fn start() -> Counter {
        let listener = listen(Ipv4Addr::new(127, 88, 0, 3)).expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let behaviour = Arc::new(Mutex::new(CounterBehaviour::Normal));
        let (seen, numbers) = (behaviour.clone(), Arc::default());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&seen), Arc::clone(&numbers)));
            }
        });
        Counter { address, behaviour }
    }

    /// Changes what it does from the next call on.
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
        match timeout(IDLE, stream.read_line(&mut line)).await {
            Ok(Ok(count)) if count > 0 => {}
            _ => return,
        }
        let behaviour = *behaviour.lock().expect("lock not poisoned");
        let answer = match behaviour {
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
        if let Some(answer) = answer {
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn add(line: &str, numbers: &Mutex<HashMap<String, Number>>) -> Option<f64> {
    let mut words = line.split_ascii_whitespace();
    let (verb, name) = (words.next()?, words.next()?);
    let amount: f64 = words.next()?.parse().ok()?;
    let life: u64 = words.next()?.parse().ok()?;
    if verb != "add" || name.len() > 64 || words.next().is_some() {
        return None;
    }
    let now = Instant::now();
    let mut numbers = numbers.lock().expect("lock not poisoned");
    numbers.retain(|_, number| number.until > now);
    let fresh = Number { total: 0.0, until: now + Duration::from_millis(life.clamp(1, 60_000)) };
    let number = numbers.entry(name.to_string()).or_insert(fresh);
    number.total += amount;
    Some(number.total)
}
