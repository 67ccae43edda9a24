//! The reader of a connection.

use crate::buffer::Buffer;
use crate::framing::{BodyFraming, BodyReader};
use crate::head::{Head, MessageError};
use crate::{DEFAULT_MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// What a client sent or an upstream made of it, as it came.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// The head, with its fields as they came.
    pub head: Head,
    /// The body without its framing.
    pub body: Vec<u8>,
}

/// Reads the messages of one direction of one connection, whatever pieces they come in.
pub struct MessageReader {
    buffer: Buffer,
    /// How far the end of the head was looked for, or a slow sender's head is searched over and over.
    searched: usize,
    begun: Option<(Head, BodyReader)>,
    most_body: usize,
    framing: fn(&Head) -> Result<BodyFraming, MessageError>,
}

impl MessageReader {
    /// A reader that takes bodies of up to [`DEFAULT_MAX_BODY_BYTES`]; `framing` says where they end.
    pub fn new(framing: fn(&Head) -> Result<BodyFraming, MessageError>) -> Self {
        MessageReader::with_max_body(framing, DEFAULT_MAX_BODY_BYTES)
    }

    /// The same for bodies of up to `most_body`.
    pub fn with_max_body(framing: fn(&Head) -> Result<BodyFraming, MessageError>, most_body: usize) -> Self {
        MessageReader {
            buffer: Buffer::new(MAX_HEAD_BYTES + 4),
            searched: 0,
            begun: None,
            most_body,
            framing,
        }
    }

    /// Where the next bytes go. Empty when more has come than is read ahead of the message at hand.
    pub fn spare_capacity_mut(&mut self) -> &mut [u8] {
        self.buffer.spare_capacity_mut()
    }

    /// So many bytes were read into the room.
    pub fn mark_filled(&mut self, count: usize) {
        self.buffer.mark_filled(count);
    }

    /// Whether nothing of a message has come yet.
    pub fn is_idle(&self) -> bool {
        self.begun.is_none() && self.buffer.filled().is_empty()
    }

    /// The head of a message whose body has not all come.
    pub fn pending_head_mut(&mut self) -> Option<&mut Head> {
        self.begun.as_mut().map(|(head, _)| head)
    }

    /// The next whole message, once it has come.
    ///
    /// # Errors
    /// [`MessageError`] where the bytes are no message; the reader is of no use from then on.
    pub fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        if self.begun.is_none() {
            let Some(head) = self.take_head()? else { return Ok(None) };
            let body = BodyReader::new((self.framing)(&head)?, self.most_body)?;
            self.begun = Some((head, body));
        }
        let Some((_, body)) = &mut self.begun else { return Ok(None) };
        if !body.read_from(&mut self.buffer)? {
            return Ok(None);
        }
        Ok(self.begun.take().map(|(head, body)| Message { head, body: body.received }))
    }

    /// The sender has ended its side: the message that this completes. Any other that was begun is cut short
    /// and must not pass for whole.
    pub fn finish(&mut self) -> Option<Message> {
        let (head, body) = self.begun.take()?;
        body.ends_at_close().then_some(Message { head, body: body.received })
    }

    fn take_head(&mut self) -> Result<Option<Head>, MessageError> {
        // Some clients end a body with one line end too many.
        while self.buffer.filled().starts_with(b"\r\n") {
            self.buffer.consume(2);
            self.searched = 0;
        }
        let filled = self.buffer.filled();
        // Another protocol: waiting for the end of such a head would be in vain.
        if filled.first().is_some_and(|b| !b.is_ascii_alphabetic() && *b != b'\r') {
            return Err(MessageError::Malformed("this is no HTTP"));
        }
        for at in self.searched..filled.len() {
            if filled[at] != b'\n' {
                continue;
            }
            let head = filled[..at]
                .strip_suffix(b"\r")
                .ok_or(MessageError::Malformed("a line ends in a lone LF"))?;
            if let Some(head) = head.strip_suffix(b"\r\n") {
                let head = Head::parse(head)?;
                self.buffer.consume(at + 1);
                self.searched = 0;
                return Ok(Some(head));
            }
        }
        self.searched = filled.len();
        if filled.len() >= MAX_HEAD_BYTES { Err(MessageError::HeadTooLong) } else { Ok(None) }
    }
}

/// What one reader may hold at most, for the budget of memory.
pub const MAX_READER_BYTES: usize = 2 * (MAX_HEAD_BYTES + 4) + DEFAULT_MAX_BODY_BYTES;
