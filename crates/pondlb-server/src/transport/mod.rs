//! Sockets and timers: thin drivers that read and write for the protocols' state machines.

mod client;
mod clock;
mod control;
mod crowd;
mod discovery;
mod listener;
mod memory;
mod phase;
mod pool;
mod posting;
mod stream;
#[cfg(test)]
mod tests;

pub use client::Front;
pub use clock::{Clock, span};
pub use control::{Control, Follower, follow_control};
pub use crowd::Crowd;
pub use discovery::{Ask, Patience, discover};
pub use listener::listen;
pub use memory::Memory;
pub use phase::Phase;
pub use pool::Pool;
pub use posting::{Postings, Probing};
