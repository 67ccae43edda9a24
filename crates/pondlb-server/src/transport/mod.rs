//! Sockets and timers: thin drivers that read and write for the protocols' state machines.

mod attempt;
mod backoff;
mod client;
mod clock;
mod connection_table;
mod control;
mod discovery;
mod listener;
mod memory;
mod phase;
mod pool;
mod stream;
#[cfg(test)]
mod tests;

pub use attempt::{Attempts, Probing};
pub use backoff::Backoff;
pub use client::Front;
pub use clock::{Clock, span};
pub use connection_table::ConnectionTable;
pub use control::{Control, Follower, SettingsUpdate, follow_control};
pub use discovery::{Ask, ListLimit, Patience, discover};
pub use listener::listen;
pub use memory::Memory;
pub use phase::Phase;
pub use pool::Pool;
