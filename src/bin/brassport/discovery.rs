//! Discovery: follows the list of backends and tells the door of each change. Where the list has to be asked
//! for, one service of fixed capacity answers all front doors, and calls are spared and spread.

use crate::door::Door;
use crate::link::Link;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use oorandom::Rand32;
use serde::Deserialize;
use springusher::ListKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long a watch may wait for news, and how long its answer may take beyond that.
const WAIT: Duration = Duration::from_millis(1000);
const OVERDUE: Duration = Duration::from_millis(1000);
/// How long a connection may take to come up: the agent is on this machine.
const CONNECT: Duration = Duration::from_millis(500);
/// Between an answer and the next call: a watch goes on if the call comes within 200 ms, and an agent that
/// answers at once, whatever it is asked, must not keep the door busy.
const PACE: Duration = Duration::from_millis(20);
/// After a call that failed, the next one comes within so long, twice that after each further failure, and
/// within the last of them at the most.
const FIRST_BACK_OFF: Duration = Duration::from_millis(100);
const LAST_BACK_OFF: Duration = Duration::from_millis(800);
/// The same for each front door where all of them call one service: as they fail together they would come
/// together again, and a line that is too long for all of them serves none.
const FIRST_BACK_OFF_A_DOOR: Duration = Duration::from_millis(20);
const LAST_BACK_OFF_A_DOOR: Duration = Duration::from_millis(100);
/// How much longer a call may take for each of them: the service goes on to work on a call that was given
/// up, and so the next one only makes its line longer.
const OVERDUE_A_DOOR: Duration = Duration::from_millis(30);
/// Most bytes of a list.
const LIST_LIMIT: usize = 1 << 20;

/// The list of backends, or what changed in it.
#[derive(Deserialize)]
pub struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

#[derive(Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    /// Which, no more: one that is out of range must not cost the whole list.
    #[serde(default)]
    pub pod_group: u64,
    pub state: State,
    /// 0, as where it is missing, says nothing of the size.
    #[serde(default)]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: f64,
}

#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Ready,
    Draining,
    Gone,
    /// A word that is not in the protocol: nothing is sent there.
    #[serde(other)]
    Unknown,
}

/// How calls that failed are made again.
struct BackOff {
    rng: Rand32,
    first: Duration,
    last: Duration,
    next: Duration,
    /// How long a call may take beyond what it may wait.
    overdue: Duration,
}

impl BackOff {
    /// `shared_by` is how many front doors call the same service, 0 if each has its own agent to tell it.
    fn new(shared_by: u32, seed: u64) -> BackOff {
        let first = FIRST_BACK_OFF.max(FIRST_BACK_OFF_A_DOOR * shared_by);
        let last = LAST_BACK_OFF.max(LAST_BACK_OFF_A_DOOR * shared_by);
        let overdue = OVERDUE + OVERDUE_A_DOOR * shared_by;
        BackOff { rng: Rand32::new(seed), first, last, next: first, overdue }
    }

    /// How long to wait this time: any part of what is due, so that front doors fall out of step.
    fn wait(&mut self) -> Duration {
        let wait = self.next.mul_f32(self.rng.rand_float());
        self.next = (2 * self.next).min(self.last);
        wait
    }

    fn reset(&mut self) {
        self.next = self.first;
    }
}

/// What came of a call.
enum Told {
    List(List),
    /// The service is there and takes no more: what was told so far holds.
    Busy,
    Nothing,
}

/// Watches for ever, from the start again wherever discovery moves to. `known` is the version of the list
/// held from the start: where calls are to be spared, what is newer is all that is asked for. `shared_by` is
/// how many front doors call the same service, 0 if each has its own agent to tell it.
pub async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    door: Rc<Door>,
    known: Option<u64>,
    shared_by: u32,
    seed: u64,
) {
    let mut back_off = BackOff::new(shared_by, seed);
    let mut known = known.filter(|_| shared_by > 0);
    loop {
        let at = *address.borrow_and_update();
        tokio::select! {
            () = watch_at(at, &door, known, &mut back_off) => {}
            moved = address.changed() => if moved.is_err() { return },
        }
        // Another place may number its versions otherwise.
        known = None;
        back_off.reset();
    }
}

/// Watches at one address. Whatever the agent does, the list held stays in force.
async fn watch_at(address: SocketAddr, door: &Rc<Door>, known: Option<u64>, back_off: &mut BackOff) {
    let mut link = None;
    let mut last = known;
    loop {
        // Guards against an agent that is silent: a call is given up and its connection closed.
        match timeout(WAIT + back_off.overdue, ask(&mut link, address, last)).await {
            Ok(Told::List(list)) => {
                last = Some(list.rev);
                back_off.reset();
                door.servers(if list.all { ListKind::Full } else { ListKind::Delta }, list);
                sleep(PACE).await;
            }
            Ok(Told::Busy) => {
                link = None;
                sleep(back_off.wait()).await;
            }
            _ => {
                (link, last) = (None, None);
                sleep(back_off.wait()).await;
            }
        }
    }
}

/// One call: the whole list, or what is newer than the version `after`.
async fn ask(link: &mut Option<Link>, address: SocketAddr, after: Option<u64>) -> Told {
    let path = match after {
        None => "/v1/servers".to_string(),
        Some(rev) => format!("/v1/servers?after={rev}&wait_ms={}", WAIT.as_millis()),
    };
    let Ok(request) = Request::get(path).header(HOST, address.to_string()).body(Full::default()) else {
        return Told::Nothing;
    };
    if let Some(open) = link {
        if !open.is_usable().await {
            *link = None;
        }
    }
    let open = match link {
        Some(open) => open,
        None => match timeout(CONNECT, Link::open(address)).await {
            Ok(Ok(open)) => link.insert(open),
            _ => return Told::Nothing,
        },
    };
    match open.exchange(request, LIST_LIMIT).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let list = serde_json::from_slice(answer.body()).ok();
            let list = list.filter(|list: &List| list.all || after.is_some());
            list.map_or(Told::Nothing, Told::List)
        }
        Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => Told::Busy,
        _ => Told::Nothing,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Calls that `doors` make in each second from their common start on if every one of them fails.
    fn calls(doors: u32, seconds: usize) -> Vec<usize> {
        let mut calls = vec![0; seconds];
        for door in 0..doors {
            let mut back_off = BackOff::new(doors, u64::from(door));
            let mut at = Duration::ZERO;
            while let Some(count) = calls.get_mut(at.as_secs() as usize) {
                *count += 1;
                at += back_off.wait();
            }
        }
        calls
    }

    #[test]
    fn front_doors_that_are_turned_away_together_come_again_apart_and_ever_less_often() {
        let calls = calls(100, 20);
        assert!(calls[0] <= 350, "{calls:?}");
        assert!(calls[8..].iter().all(|count| *count <= 50), "{calls:?}");
        assert!(calls[8..].iter().all(|count| *count > 0), "{calls:?}");
    }

    #[test]
    fn an_agent_of_ones_own_is_soon_asked_again() {
        let mut back_off = BackOff::new(0, 7);
        assert!((0..100).all(|_| back_off.wait() <= LAST_BACK_OFF));
        back_off.reset();
        assert!(back_off.wait() <= FIRST_BACK_OFF);
    }
}
