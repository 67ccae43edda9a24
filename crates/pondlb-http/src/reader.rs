//! The reader of a connection.

use crate::buffer::Buffer;
use crate::framing::{Body, Framing};
use crate::head::{Fault, Head};
use crate::{MOST_BODY, MOST_HEAD};

/// What a client sent or an upstream made of it, as it came.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// The head, with its fields as they came.
    pub head: Head,
    /// The body without its framing.
    pub body: Vec<u8>,
}

/// Reads the messages of one direction of one connection, whatever pieces they come in.
pub struct Reader {
    buffer: Buffer,
    /// How far the end of the head was looked for, or a slow sender's head is searched over and over.
    searched: usize,
    begun: Option<(Head, Body)>,
    most_body: usize,
    framing: fn(&Head) -> Result<Framing, Fault>,
}

impl Reader {
    /// A reader that takes bodies of up to [`MOST_BODY`]; `framing` says where they end.
    pub fn new(framing: fn(&Head) -> Result<Framing, Fault>) -> Self {
        Reader::with_most(framing, MOST_BODY)
    }

    /// The same for bodies of up to `most_body`.
    pub fn with_most(framing: fn(&Head) -> Result<Framing, Fault>, most_body: usize) -> Self {
        Reader { buffer: Buffer::new(MOST_HEAD + 4), searched: 0, begun: None, most_body, framing }
    }

    /// Where the next bytes go. Empty when more has come than is read ahead of the message at hand.
    pub fn room(&mut self) -> &mut [u8] {
        self.buffer.room()
    }

    /// So many bytes were read into the room.
    pub fn fill(&mut self, count: usize) {
        self.buffer.fill(count);
    }

    /// Whether nothing of a message has come yet.
    pub fn is_idle(&self) -> bool {
        self.begun.is_none() && self.buffer.filled().is_empty()
    }

    /// The head of a message whose body has not all come.
    pub fn head(&mut self) -> Option<&mut Head> {
        self.begun.as_mut().map(|(head, _)| head)
    }

    /// The next whole message, once it has come.
    ///
    /// # Errors
    /// [`Fault`] where the bytes are no message; the reader is of no use from then on.
    pub fn next_message(&mut self) -> Result<Option<Message>, Fault> {
        if self.begun.is_none() {
            let Some(head) = self.take_head()? else { return Ok(None) };
            let body = Body::new((self.framing)(&head)?, self.most_body)?;
            self.begun = Some((head, body));
        }
        let Some((_, body)) = &mut self.begun else { return Ok(None) };
        if !body.take(&mut self.buffer)? {
            return Ok(None);
        }
        Ok(self.begun.take().map(|(head, body)| Message { head, body: body.bytes }))
    }

    /// The sender has ended its side: the message that this completes. Any other that was begun is cut short
    /// and must not pass for whole.
    pub fn end(&mut self) -> Option<Message> {
        let (head, body) = self.begun.take()?;
        body.until_close().then_some(Message { head, body: body.bytes })
    }

    fn take_head(&mut self) -> Result<Option<Head>, Fault> {
        // Some clients end a body with one line end too many.
        while self.buffer.filled().starts_with(b"\r\n") {
            self.buffer.take(2);
            self.searched = 0;
        }
        let filled = self.buffer.filled();
        // Another protocol: waiting for the end of such a head would be in vain.
        if filled.first().is_some_and(|b| !b.is_ascii_alphabetic() && *b != b'\r') {
            return Err(Fault::Malformed("this is no HTTP"));
        }
        for at in self.searched..filled.len() {
            if filled[at] != b'\n' {
                continue;
            }
            let head =
                filled[..at].strip_suffix(b"\r").ok_or(Fault::Malformed("a line ends in a lone LF"))?;
            if let Some(head) = head.strip_suffix(b"\r\n") {
                let head = Head::parse(head)?;
                self.buffer.take(at + 1);
                self.searched = 0;
                return Ok(Some(head));
            }
        }
        self.searched = filled.len();
        if filled.len() >= MOST_HEAD { Err(Fault::HeadTooLong) } else { Ok(None) }
    }
}

/// What one reader may hold at most, for the budget of memory.
pub const MOST_HELD: usize = 2 * (MOST_HEAD + 4) + MOST_BODY;
