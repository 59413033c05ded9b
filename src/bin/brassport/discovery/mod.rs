//! Discovery: follows the list of servers and tells the door of each change. Where the list has to be asked
//! for, one service of fixed capacity answers all gateways, and calls are spared and spread.

mod call;
mod contact;
mod list;
mod schedule;

use crate::door::Door;
use crate::log;
use call::{ask, Outcome, Query};
use contact::{Contact, Loss};
pub use list::{List, State, Target};
use schedule::Schedule;
pub use schedule::Service;
use springusher::ListKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// Between an answer and the next call: a watch goes on if the call comes within 200 ms, and an agent that
/// answers at once, whatever it is asked, must not keep the gateway busy.
const PACE: Duration = Duration::from_millis(20);
/// What lines of the trace are about.
const SUBJECT: &str = "discovery";

/// Watches for ever, from the start again wherever discovery moves to. `known` is the revision of the list
/// held from the start: where calls are to be spared, what is newer is all that is asked for.
pub async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    door: Rc<Door>,
    known: Option<u64>,
    service: Service,
    seed: u64,
) {
    let mut schedule = Schedule::new(service, seed);
    let mut contact = Contact::new(known);
    let mut known = known.filter(|_| schedule.shared);
    loop {
        let at = *address.borrow_and_update();
        tokio::select! {
            () = watch_at(at, &door, known, &mut schedule, &mut contact) => {}
            moved = address.changed() => if moved.is_err() { return },
        }
        // Another place may number its revisions otherwise.
        known = None;
        schedule.reset();
    }
}

/// Watches at one address. Whatever the agent does, the list held stays in force.
async fn watch_at(
    address: SocketAddr,
    door: &Rc<Door>,
    known: Option<u64>,
    schedule: &mut Schedule,
    contact: &mut Contact,
) {
    let mut link = None;
    let mut last = known;
    loop {
        let began = Instant::now();
        let query = last.map_or(Query::Whole, |after| Query::Watch { after, wait: schedule.wait });
        log::trace(SUBJECT, || format!("{address} is asked: {}", query.path()));
        // Guards against an agent that is silent: a call is given up and its connection closed.
        let call = ask(&mut link, address, query);
        let outcome = timeout(schedule.patience(last.is_some()), call).await;
        let outcome = outcome.unwrap_or(Outcome::Lost(Loss::Silent));
        log::trace(SUBJECT, || format!("after {:.1} ms: {outcome}", began.elapsed().as_secs_f64() * 1000.0));
        match outcome {
            Outcome::List(list) => {
                contact.heard(list.rev);
                // Changes to a revision older than the one held are changes to another list.
                let based = list.all || last.is_some_and(|held| held <= list.rev);
                last = based.then_some(list.rev);
                schedule.reset();
                if based {
                    door.servers(if list.all { ListKind::Full } else { ListKind::Delta }, list);
                }
                sleep(PACE).await;
            }
            // An agent may fall silent any moment with news that count as told: no time is lost here.
            Outcome::Unmade => sleep(PACE).await,
            Outcome::Busy => {
                link = None;
                sleep(schedule.pause(began.elapsed())).await;
            }
            Outcome::Lost(loss) => {
                contact.lost(loss);
                (link, last) = (None, last.filter(|_| schedule.shared));
                sleep(schedule.pause(began.elapsed())).await;
            }
        }
    }
}
