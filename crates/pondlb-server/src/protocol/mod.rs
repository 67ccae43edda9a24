//! HTTP/1.1 as state machines that are fed bytes and know no socket and no clock.

pub mod answer;
pub mod buffer;
pub mod client;
pub mod discovery;
pub mod framing;
pub mod head;
pub mod reader;
#[cfg(test)]
mod tests;
pub mod upstream;

/// No request carries a longer body.
pub const MOST_BODY: usize = 64 * 1024;
/// Answers may be longer: upstreams were seen to give some of 400 KB. What says it is longer than this is no
/// answer, and would never end.
pub const MOST_ANSWER: usize = 1024 * 1024;
/// Nor a longer head, which is more than clients and upstreams send and little enough for a thousand of them.
pub const MOST_HEAD: usize = 16 * 1024;
