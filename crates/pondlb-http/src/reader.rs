//! The message reader of a connection.

use crate::buffer::Buffer;
use crate::framing::{BodyFraming, BodyReader};
use crate::head::{Head, MessageError};
use crate::{DEFAULT_MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// A complete request or response.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// The head, with all fields as received.
    pub head: Head,
    /// The body, with chunked coding removed.
    pub body: Vec<u8>,
}

/// Determines the framing of a message's body from its head: [`crate::request_framing`], [`crate::response_framing`]
/// or a function of the caller.
pub type FramingFn = fn(&Head) -> Result<BodyFraming, MessageError>;

/// Reads the messages that arrive in one direction of a connection, split at any position.
///
/// The caller copies received bytes into [`MessageReader::spare_capacity_mut`], reports their number to
/// [`MessageReader::mark_filled`], and calls [`MessageReader::next_message`] until it returns `None`.
pub struct MessageReader {
    buffer: Buffer,
    /// Number of buffered bytes already searched for the end of the head. Without it, the head of a slow sender would
    /// be searched from its start each time a few bytes arrive.
    searched_bytes: usize,
    /// Empty lines received since the last message.
    empty_lines: u32,
    /// The message whose body is incomplete.
    pending: Option<PendingMessage>,
    max_body_bytes: usize,
    framing: FramingFn,
}

/// A message whose head is complete and whose body may not be.
struct PendingMessage {
    head: Head,
    body: BodyReader,
}

impl PendingMessage {
    fn into_message(self) -> Message {
        Message { head: self.head, body: self.body.received }
    }
}

/// How many empty lines may precede a message. RFC 9112, section 2.2, asks servers to ignore at least one; a sender of
/// many has no message to send.
const MAX_EMPTY_LINES: u32 = 16;
/// Length of the CR LF CR LF behind the last field of a head, in bytes.
const HEAD_END_BYTES: usize = 4;
/// Capacity of the receive buffer, in bytes: a head of the maximum length with its end.
const BUFFER_BYTES: usize = MAX_HEAD_BYTES + HEAD_END_BYTES;
/// Memory budget of one reader with the default body limit, in bytes: the receive buffer, the parsed head and the body
/// of one message.
pub const MAX_READER_BYTES: usize = 2 * BUFFER_BYTES + DEFAULT_MAX_BODY_BYTES;

impl MessageReader {
    /// Creates a reader that accepts bodies of up to [`DEFAULT_MAX_BODY_BYTES`].
    pub fn new(framing: FramingFn) -> Self {
        MessageReader::with_max_body(framing, DEFAULT_MAX_BODY_BYTES)
    }

    /// Creates a reader that accepts bodies of up to `max_body_bytes` bytes.
    pub fn with_max_body(framing: FramingFn, max_body_bytes: usize) -> Self {
        MessageReader {
            buffer: Buffer::new(BUFFER_BYTES),
            searched_bytes: 0,
            empty_lines: 0,
            pending: None,
            max_body_bytes,
            framing,
        }
    }

    /// Returns the free space for the next received bytes. It is empty when the sender is so far ahead of the message
    /// being read that the buffer is full.
    pub fn spare_capacity_mut(&mut self) -> &mut [u8] {
        self.buffer.spare_capacity_mut()
    }

    /// Appends the first `count` bytes of the free space, into which the caller has read them.
    pub fn mark_filled(&mut self, count: usize) {
        self.buffer.mark_filled(count);
    }

    /// Returns whether no part of a further message has been received.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none() && self.buffer.filled().is_empty()
    }

    /// Returns whether a further message has begun. Empty lines ahead of a message are no part of it.
    pub fn has_begun_message(&self) -> bool {
        self.pending.is_some() || !matches!(self.buffer.filled(), b"" | b"\r")
    }

    /// Returns the head of the message whose body is incomplete, if any.
    pub fn pending_head_mut(&mut self) -> Option<&mut Head> {
        self.pending.as_mut().map(|pending| &mut pending.head)
    }

    /// Returns the next message once it is complete.
    ///
    /// # Errors
    /// [`MessageError`] if the received bytes are not a message or exceed a limit. The reader must not be used
    /// afterwards, since the start of the next message is unknown.
    pub fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        if self.pending.is_none() {
            let Some(head) = self.read_head()? else { return Ok(None) };
            let body = BodyReader::new((self.framing)(&head)?, self.max_body_bytes)?;
            self.pending = Some(PendingMessage { head, body });
        }
        let Some(pending) = &mut self.pending else { return Ok(None) };
        if !pending.body.read_from(&mut self.buffer)? {
            return Ok(None);
        }
        Ok(self.pending.take().map(PendingMessage::into_message))
    }

    /// Called when the sender has closed its side of the connection. Returns the message that this completes, if its
    /// body ends with the connection. Any other pending message is truncated and is dropped.
    pub fn finish(&mut self) -> Option<Message> {
        let pending = self.pending.take()?;
        pending.body.ends_at_close().then(|| pending.into_message())
    }

    /// Consumes and parses a head once it is complete.
    fn read_head(&mut self) -> Result<Option<Head>, MessageError> {
        // Some clients send a CR LF too many after a body.
        while self.buffer.filled().starts_with(b"\r\n") {
            self.buffer.consume(2);
            self.searched_bytes = 0;
            self.empty_lines += 1;
            if self.empty_lines > MAX_EMPTY_LINES {
                return Err(MessageError::Malformed("too many empty lines"));
            }
        }
        let filled = self.buffer.filled();
        // Another protocol, which need not contain the end of a head: rejected without waiting for one.
        if filled.first().is_some_and(|b| !b.is_ascii_alphabetic() && *b != b'\r') {
            return Err(MessageError::Malformed("this is no HTTP"));
        }
        for position in self.searched_bytes..filled.len() {
            if filled[position] != b'\n' {
                continue;
            }
            let lines = filled[..position]
                .strip_suffix(b"\r")
                .ok_or(MessageError::Malformed("a line ends in a lone LF"))?;
            if let Some(head) = lines.strip_suffix(b"\r\n") {
                let head = Head::parse(head)?;
                self.buffer.consume(position + 1);
                self.searched_bytes = 0;
                self.empty_lines = 0;
                return Ok(Some(head));
            }
        }
        self.searched_bytes = filled.len();
        if filled.len() >= MAX_HEAD_BYTES { Err(MessageError::HeadTooLong) } else { Ok(None) }
    }
}
