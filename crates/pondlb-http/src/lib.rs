//! Incremental HTTP/1.1 message parser with bounded memory. It does no I/O and reads no clock: callers pass in the
//! received bytes, split at any position.

mod buffer;
mod framing;
mod head;
mod reader;

pub use buffer::Buffer;
pub use framing::{BodyFraming, BodyReader, body_framing, request_framing, response_framing};
pub use head::{Head, MessageError};
pub use reader::{FramingFn, MAX_READER_BYTES, Message, MessageReader};

/// Maximum length of a body, in bytes, unless [`MessageReader::with_max_body`] sets another limit.
pub const DEFAULT_MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a message head, in bytes. It is larger than the heads that clients and upstreams send, and small
/// enough for a thousand heads to be in memory at once.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
