//! Between the protocols and the decisions: what happened becomes events, actions become work for others.
//! Nothing here decides, and nothing here knows a socket.

mod directory;
mod events;
mod metrics;
mod router;
#[cfg(test)]
mod tests;

pub use directory::UpstreamDirectory;
pub use events::{AttemptId, AttemptResult, OutgoingAttempt, RouterEvent};
pub use metrics::Metrics;
pub use router::{AttemptHandle, Router, Transport};
