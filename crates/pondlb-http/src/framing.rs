//! Where the body of a message ends.

use crate::buffer::Buffer;
use crate::head::{Head, MessageError};

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After so many bytes.
    Length(usize),
    /// With the chunk of length zero and the trailers behind it.
    Chunked,
    /// With the connection.
    UntilClose,
}

/// What the head says of the body; `unsaid` where it says nothing. Two answers to one question are refused:
/// the next reader may believe the other one and take part of a body for a message.
///
/// # Errors
/// [`MessageError::Malformed`] for two answers, or one that is none.
pub fn body_framing(head: &Head, unsaid: BodyFraming) -> Result<BodyFraming, MessageError> {
    let length = head.single_value("Content-Length")?;
    let coding = head.single_value("Transfer-Encoding")?;
    match (length, coding) {
        (Some(_), Some(_)) => Err(MessageError::Malformed("both Content-Length and Transfer-Encoding")),
        (None, None) => Ok(unsaid),
        (Some(length), None) => {
            if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
                return Err(MessageError::Malformed("Content-Length is no number"));
            }
            // A number beyond all bounds is refused like one beyond ours, by the body.
            Ok(BodyFraming::Length(length.parse().unwrap_or(usize::MAX)))
        }
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
        (None, Some(_)) => Err(MessageError::Malformed("a transfer coding other than chunked")),
    }
}

/// The framing of a request.
///
/// # Errors
/// [`MessageError::Malformed`] where the head says two things of the body, or what can't be.
pub fn request_framing(head: &Head) -> Result<BodyFraming, MessageError> {
    let framing = body_framing(head, BodyFraming::Length(0))?;
    // The older version has no chunks: who takes them for a body may be led past its end.
    if framing == BodyFraming::Chunked && head.start_line.ends_with("/1.0") {
        return Err(MessageError::Malformed("a chunked body in HTTP/1.0"));
    }
    Ok(framing)
}

/// The framing of an answer.
///
/// # Errors
/// [`MessageError::Malformed`] where the first line is no answer's, or the head says two things of the body.
pub fn response_framing(head: &Head) -> Result<BodyFraming, MessageError> {
    match head.status()? {
        100..=199 | 204 | 304 => Ok(BodyFraming::Length(0)),
        _ => body_framing(head, BodyFraming::UntilClose),
    }
}

/// Takes a body out of the buffer as it comes.
#[derive(Debug)]
pub struct BodyReader {
    framing: BodyFraming,
    chunk: Chunk,
    most: usize,
    /// What has come of it.
    pub received: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
enum Chunk {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Over,
}

/// A chunk's size line, or a trailer line, is refused above this: nobody needs more and it would never end.
const MOST_LINE: usize = 1024;

impl BodyReader {
    /// A body of which nothing has come.
    ///
    /// # Errors
    /// [`MessageError::BodyTooLong`] at once where it says that it will be longer than `most`.
    pub fn new(framing: BodyFraming, most: usize) -> Result<Self, MessageError> {
        match framing {
            BodyFraming::Length(length) if length > most => Err(MessageError::BodyTooLong),
            _ => Ok(BodyReader { framing, chunk: Chunk::Size, most, received: Vec::new() }),
        }
    }

    /// Whether it ends with the connection.
    pub fn ends_at_close(&self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Takes what the buffer holds of it; true when the body is whole.
    ///
    /// # Errors
    /// [`MessageError`] where it grows too long, or chunks are malformed.
    pub fn read_from(&mut self, buffer: &mut Buffer) -> Result<bool, MessageError> {
        match self.framing {
            BodyFraming::Length(length) => {
                self.append(buffer, length - self.received.len())?;
                Ok(self.received.len() == length)
            }
            BodyFraming::UntilClose => self.append(buffer, usize::MAX).map(|_| false),
            BodyFraming::Chunked => self.take_chunks(buffer),
        }
    }

    fn append(&mut self, buffer: &mut Buffer, most: usize) -> Result<usize, MessageError> {
        let count = most.min(buffer.filled().len());
        if self.received.len() + count > self.most {
            return Err(MessageError::BodyTooLong);
        }
        self.received.extend_from_slice(&buffer.filled()[..count]);
        buffer.consume(count);
        Ok(count)
    }

    fn take_chunks(&mut self, buffer: &mut Buffer) -> Result<bool, MessageError> {
        loop {
            self.chunk = match self.chunk {
                Chunk::Size => match take_line(buffer, chunk_size)? {
                    None => return Ok(false),
                    Some(0) => Chunk::Trailer,
                    Some(size) if size > self.most => return Err(MessageError::BodyTooLong),
                    Some(size) => Chunk::Data(size),
                },
                Chunk::Data(left) => match left - self.append(buffer, left)? {
                    0 => Chunk::DataEnd,
                    left => {
                        self.chunk = Chunk::Data(left);
                        return Ok(false);
                    }
                },
                Chunk::DataEnd => match buffer.filled() {
                    [b'\r', b'\n', ..] => {
                        buffer.consume(2);
                        Chunk::Size
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(MessageError::Malformed("a chunk is longer than it says")),
                },
                // Trailers are dropped: what they would add came too late for anybody to act on.
                Chunk::Trailer => match take_line(buffer, |line| Ok(line.is_empty()))? {
                    None => return Ok(false),
                    Some(true) => Chunk::Over,
                    Some(false) => Chunk::Trailer,
                },
                Chunk::Over => return Ok(true),
            }
        }
    }
}

fn take_line<T>(
    buffer: &mut Buffer,
    read: impl Fn(&[u8]) -> Result<T, MessageError>,
) -> Result<Option<T>, MessageError> {
    let filled = buffer.filled();
    let Some(at) = filled.iter().position(|b| *b == b'\n') else {
        let long = filled.len() > MOST_LINE;
        return if long { Err(MessageError::Malformed("a chunk's line is too long")) } else { Ok(None) };
    };
    let line = filled[..at]
        .strip_suffix(b"\r")
        .ok_or(MessageError::Malformed("a chunk's line ends in a lone LF"))?;
    let value = read(line)?;
    buffer.consume(at + 1);
    Ok(Some(value))
}

fn chunk_size(line: &[u8]) -> Result<usize, MessageError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(MessageError::Malformed("a chunk's size is no number"));
    }
    let size = str::from_utf8(digits).ok().and_then(|d| usize::from_str_radix(d, 16).ok());
    size.ok_or(MessageError::BodyTooLong)
}
