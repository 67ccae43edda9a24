//! Reads HTTP/1.1 messages out of bytes, in whatever pieces they come, within bounds of memory. Knows no socket and no
//! clock.

mod buffer;
mod framing;
mod head;
mod reader;

pub use buffer::Buffer;
pub use framing::{Body, Framing, answer_framing, framing, request_framing};
pub use head::{Fault, Head};
pub use reader::{MOST_HELD, Message, Reader};

/// The longest body that a [`Reader`] takes unless it is told otherwise.
pub const MOST_BODY: usize = 64 * 1024;
/// The longest head: more than clients and upstreams send, and little enough for a thousand of them.
pub const MOST_HEAD: usize = 16 * 1024;
