//! Connects the transport with the balancer's decisions: events of connections become events of the balancer, and the
//! balancer's actions become calls to the transport. This module makes no decisions and uses no sockets.

mod directory;
mod events;
mod interface;
mod labels;
mod metrics;
mod request_ids;
mod router;
#[cfg(test)]
mod tests;

pub use directory::UpstreamDirectory;
pub use events::{AttemptId, AttemptResult, ExchangeId, RouterEvent};
pub use interface::{AttemptHandle, OutgoingAttempt, Transport};
pub use metrics::Metrics;
pub use request_ids::RequestIds;
pub use router::Router;
