//! Reads HTTP/1.1 messages out of bytes, in whatever pieces they come, within bounds of memory. Knows no socket and no
//! clock.

mod buffer;
mod framing;
mod head;
mod reader;

pub use buffer::Buffer;
pub use framing::{BodyFraming, BodyReader, body_framing, request_framing, response_framing};
pub use head::{Head, MessageError};
pub use reader::{MAX_READER_BYTES, Message, MessageReader};

/// The longest body that a [`MessageReader`] takes unless it is told otherwise.
pub const DEFAULT_MAX_BODY_BYTES: usize = 64 * 1024;
/// The longest head: more than clients and upstreams send, and little enough for a thousand of them.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
