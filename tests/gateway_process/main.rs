//! The gateway process over loopback sockets: the built program against small scripted peers.

mod backends;
mod clients;
mod clocks;
mod counter;
mod discovery;
mod peers;
mod process;
mod quota;
mod reload;
mod shutdown;
mod system_calls;
