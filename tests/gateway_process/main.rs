//! Tests of the built gateway process against scripted peers on loopback sockets.

mod backends;
mod clients;
mod clocks;
mod counter;
mod descriptors;
mod discovery;
mod list_validity;
mod peers;
mod process;
mod quota;
mod reload;
mod shutdown;
mod system_calls;
