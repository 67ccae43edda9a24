//! HTTP/1.1 as state machines that are fed bytes and know no socket and no clock. Messages are read by `pondlb-http`;
//! the sides here know what they mean.

pub mod answer;
pub mod client;
pub mod control;
pub mod discovery;
#[cfg(test)]
mod tests;
pub mod upstream;

/// Answers may be longer than requests: upstreams were seen to give some of 400 KB. What says it is longer than this is
/// no answer, and would never end.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1024 * 1024;
