//! Sockets and timers: the I/O side of the protocol state machines in `crate::protocol`.

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
mod request_wait;
mod stream;
#[cfg(test)]
mod tests;

pub use attempt::{OutboundTransport, ProbeSettings};
pub use backoff::Backoff;
pub use client::Frontend;
pub use clock::{Clock, tenth_millis_to_duration};
pub use connection_table::ConnectionTable;
pub use control::{ControlFollower, ControlServers, SettingsUpdate, follow_control_servers};
pub use discovery::{CallTimeouts, DiscoveryCommand, ListLimit, follow_discovery};
pub use listener::accept_connections;
pub use memory::MemoryLimit;
pub use phase::Phase;
pub use pool::UpstreamPool;
