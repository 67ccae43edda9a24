//! Body framing: where the body of a message ends, and reading it up to that point.

use crate::buffer::Buffer;
use crate::head::{Head, MessageError};

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this length in bytes.
    Length(usize),
    /// Chunked transfer coding: the body ends with the zero-length chunk and the trailer section behind it.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

/// Returns the body framing that the head declares, or `default` if it declares none.
///
/// Ambiguous framing (both fields, or a repeated field) is rejected: another HTTP implementation on the path might
/// decide for the other reading and take part of a body for a message (request smuggling).
///
/// # Errors
/// [`MessageError::Malformed`] if the framing is ambiguous, invalid, or a transfer coding other than `chunked`.
pub fn body_framing(head: &Head, default: BodyFraming) -> Result<BodyFraming, MessageError> {
    let length = head.single_value("Content-Length")?;
    let coding = head.single_value("Transfer-Encoding")?;
    match (length, coding) {
        (Some(_), Some(_)) => Err(MessageError::Malformed("both Content-Length and Transfer-Encoding")),
        (None, None) => Ok(default),
        (Some(length), None) => {
            if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
                return Err(MessageError::Malformed("Content-Length is no number"));
            }
            // A length that overflows is saturated, so that the limit on the body's length rejects it.
            Ok(BodyFraming::Length(length.parse().unwrap_or(usize::MAX)))
        }
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
        (None, Some(_)) => Err(MessageError::Malformed("a transfer coding other than chunked")),
    }
}

/// Returns the body framing of a request. A request that declares none has no body.
///
/// # Errors
/// [`MessageError::Malformed`] if the framing is ambiguous or invalid, or an HTTP/1.0 request is chunked.
pub fn request_framing(head: &Head) -> Result<BodyFraming, MessageError> {
    let framing = body_framing(head, BodyFraming::Length(0))?;
    // HTTP/1.0 has no chunked coding: another implementation that ignores it finds the body's end elsewhere.
    if framing == BodyFraming::Chunked && head.start_line.ends_with("/1.0") {
        return Err(MessageError::Malformed("a chunked body in HTTP/1.0"));
    }
    Ok(framing)
}

/// Returns the body framing of a response. Responses with status 1xx, 204 and 304 have no body, whatever their fields
/// say; any other response that declares no framing ends with the connection.
///
/// # Errors
/// [`MessageError::Malformed`] if the first line is not a status line, or the framing is ambiguous or invalid.
pub fn response_framing(head: &Head) -> Result<BodyFraming, MessageError> {
    match head.status()? {
        100..=199 | 204 | 304 => Ok(BodyFraming::Length(0)),
        _ => body_framing(head, BodyFraming::UntilClose),
    }
}

/// Reads one body out of a [`Buffer`], in as many steps as its bytes arrive.
#[derive(Debug)]
pub struct BodyReader {
    framing: BodyFraming,
    /// Position within a chunked body; unused with any other framing.
    chunk_state: ChunkState,
    /// Maximum length of the body, in bytes.
    max_bytes: usize,
    /// The part of the body received so far, without its framing.
    pub received: Vec<u8>,
}

/// What a chunked body continues with.
#[derive(Clone, Copy, Debug)]
enum ChunkState {
    /// The line with the size of the next chunk.
    Size,
    /// The data of a chunk.
    Data {
        /// Bytes of the chunk that have not been received.
        remaining: usize,
    },
    /// The CR LF behind the data of a chunk.
    DataEnd,
    /// A line of the trailer section.
    Trailer,
    /// Nothing: the body is complete.
    Done,
}

/// Maximum length in bytes of an unfinished chunk size line or trailer line. No sender needs more, and a longer line
/// may never end.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

impl BodyReader {
    /// Creates a reader for a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// [`MessageError::BodyTooLong`] if the declared length exceeds `max_bytes`.
    pub fn new(framing: BodyFraming, max_bytes: usize) -> Result<Self, MessageError> {
        match framing {
            BodyFraming::Length(length) if length > max_bytes => Err(MessageError::BodyTooLong),
            _ => Ok(BodyReader { framing, chunk_state: ChunkState::Size, max_bytes, received: Vec::new() }),
        }
    }

    /// Returns whether the body ends when the connection is closed.
    pub fn ends_at_close(&self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Consumes the bytes of the body that the buffer holds. Returns true when the body is complete; a body that ends
    /// when the connection is closed never is.
    ///
    /// # Errors
    /// [`MessageError`] if the body exceeds its maximum length, or its chunked coding is malformed.
    pub fn read_from(&mut self, buffer: &mut Buffer) -> Result<bool, MessageError> {
        match self.framing {
            BodyFraming::Length(length) => {
                self.append_from(buffer, length - self.received.len())?;
                Ok(self.received.len() == length)
            }
            BodyFraming::UntilClose => self.append_from(buffer, usize::MAX).map(|_| false),
            BodyFraming::Chunked => self.read_chunks(buffer),
        }
    }

    /// Moves at most `max_count` bytes from the buffer to the body, and returns how many were moved.
    fn append_from(&mut self, buffer: &mut Buffer, max_count: usize) -> Result<usize, MessageError> {
        let count = max_count.min(buffer.filled().len());
        if self.received.len() + count > self.max_bytes {
            return Err(MessageError::BodyTooLong);
        }
        self.received.extend_from_slice(&buffer.filled()[..count]);
        buffer.consume(count);
        Ok(count)
    }

    /// Decodes chunks until the buffer has no further complete element. Returns true when the body is complete.
    fn read_chunks(&mut self, buffer: &mut Buffer) -> Result<bool, MessageError> {
        loop {
            self.chunk_state = match self.chunk_state {
                ChunkState::Size => match read_chunk_line(buffer, parse_chunk_size)? {
                    None => return Ok(false),
                    Some(0) => ChunkState::Trailer,
                    Some(size) if size > self.max_bytes => return Err(MessageError::BodyTooLong),
                    Some(size) => ChunkState::Data { remaining: size },
                },
                ChunkState::Data { remaining } => match remaining - self.append_from(buffer, remaining)? {
                    0 => ChunkState::DataEnd,
                    remaining => {
                        self.chunk_state = ChunkState::Data { remaining };
                        return Ok(false);
                    }
                },
                ChunkState::DataEnd => match buffer.filled() {
                    [b'\r', b'\n', ..] => {
                        buffer.consume(2);
                        ChunkState::Size
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(MessageError::Malformed("a chunk is longer than it says")),
                },
                // Trailer fields are discarded: they arrive too late for the message to be handled differently.
                ChunkState::Trailer => match read_chunk_line(buffer, |line| Ok(line.is_empty()))? {
                    None => return Ok(false),
                    Some(true) => ChunkState::Done,
                    Some(false) => ChunkState::Trailer,
                },
                ChunkState::Done => return Ok(true),
            }
        }
    }
}

/// Consumes one line of the chunked coding and returns what `parse` makes of it, or `None` if the line is incomplete.
/// A line that `parse` rejects is not consumed.
fn read_chunk_line<T>(
    buffer: &mut Buffer,
    parse: impl Fn(&[u8]) -> Result<T, MessageError>,
) -> Result<Option<T>, MessageError> {
    let filled = buffer.filled();
    let Some(line_feed) = filled.iter().position(|b| *b == b'\n') else {
        let is_too_long = filled.len() > MAX_CHUNK_LINE_BYTES;
        return if is_too_long {
            Err(MessageError::Malformed("a chunk's line is too long"))
        } else {
            Ok(None)
        };
    };
    let line = filled[..line_feed]
        .strip_suffix(b"\r")
        .ok_or(MessageError::Malformed("a chunk's line ends in a lone LF"))?;
    let value = parse(line)?;
    buffer.consume(line_feed + 1);
    Ok(Some(value))
}

/// Parses the hexadecimal size at the start of a chunk size line. Chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<usize, MessageError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(MessageError::Malformed("a chunk's size is no number"));
    }
    let size = str::from_utf8(digits).ok().and_then(|d| usize::from_str_radix(d, 16).ok());
    size.ok_or(MessageError::BodyTooLong)
}
