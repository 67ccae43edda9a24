//! Where the body of a message ends.

use crate::buffer::Buffer;
use crate::head::{Fault, Head};

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
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
/// [`Fault::Malformed`] for two answers, or one that is none.
pub fn framing(head: &Head, unsaid: Framing) -> Result<Framing, Fault> {
    let length = head.one("Content-Length")?;
    let coding = head.one("Transfer-Encoding")?;
    match (length, coding) {
        (Some(_), Some(_)) => Err(Fault::Malformed("both Content-Length and Transfer-Encoding")),
        (None, None) => Ok(unsaid),
        (Some(length), None) => {
            if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Fault::Malformed("Content-Length is no number"));
            }
            // A number beyond all bounds is refused like one beyond ours, by the body.
            Ok(Framing::Length(length.parse().unwrap_or(usize::MAX)))
        }
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (None, Some(_)) => Err(Fault::Malformed("a transfer coding other than chunked")),
    }
}

/// The framing of a request.
///
/// # Errors
/// [`Fault::Malformed`] where the head says two things of the body, or what can't be.
pub fn request_framing(head: &Head) -> Result<Framing, Fault> {
    let framing = framing(head, Framing::Length(0))?;
    // The older version has no chunks: who takes them for a body may be led past its end.
    if framing == Framing::Chunked && head.first.ends_with("/1.0") {
        return Err(Fault::Malformed("a chunked body in HTTP/1.0"));
    }
    Ok(framing)
}

/// The framing of an answer.
///
/// # Errors
/// [`Fault::Malformed`] where the first line is no answer's, or the head says two things of the body.
pub fn answer_framing(head: &Head) -> Result<Framing, Fault> {
    match head.status()? {
        100..=199 | 204 | 304 => Ok(Framing::Length(0)),
        _ => framing(head, Framing::UntilClose),
    }
}

/// Takes a body out of the buffer as it comes.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    chunk: Chunk,
    most: usize,
    /// What has come of it.
    pub bytes: Vec<u8>,
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

impl Body {
    /// A body of which nothing has come.
    ///
    /// # Errors
    /// [`Fault::BodyTooLong`] at once where it says that it will be longer than `most`.
    pub fn new(framing: Framing, most: usize) -> Result<Self, Fault> {
        match framing {
            Framing::Length(length) if length > most => Err(Fault::BodyTooLong),
            _ => Ok(Body { framing, chunk: Chunk::Size, most, bytes: Vec::new() }),
        }
    }

    /// Whether it ends with the connection.
    pub fn until_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Takes what the buffer holds of it; true when the body is whole.
    ///
    /// # Errors
    /// [`Fault`] where it grows too long, or chunks are malformed.
    pub fn take(&mut self, buffer: &mut Buffer) -> Result<bool, Fault> {
        match self.framing {
            Framing::Length(length) => {
                self.append(buffer, length - self.bytes.len())?;
                Ok(self.bytes.len() == length)
            }
            Framing::UntilClose => self.append(buffer, usize::MAX).map(|_| false),
            Framing::Chunked => self.take_chunks(buffer),
        }
    }

    fn append(&mut self, buffer: &mut Buffer, most: usize) -> Result<usize, Fault> {
        let count = most.min(buffer.filled().len());
        if self.bytes.len() + count > self.most {
            return Err(Fault::BodyTooLong);
        }
        self.bytes.extend_from_slice(&buffer.filled()[..count]);
        buffer.take(count);
        Ok(count)
    }

    fn take_chunks(&mut self, buffer: &mut Buffer) -> Result<bool, Fault> {
        loop {
            self.chunk = match self.chunk {
                Chunk::Size => match take_line(buffer, chunk_size)? {
                    None => return Ok(false),
                    Some(0) => Chunk::Trailer,
                    Some(size) if size > self.most => return Err(Fault::BodyTooLong),
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
                        buffer.take(2);
                        Chunk::Size
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(Fault::Malformed("a chunk is longer than it says")),
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

fn take_line<T>(buffer: &mut Buffer, read: impl Fn(&[u8]) -> Result<T, Fault>) -> Result<Option<T>, Fault> {
    let filled = buffer.filled();
    let Some(at) = filled.iter().position(|b| *b == b'\n') else {
        let long = filled.len() > MOST_LINE;
        return if long { Err(Fault::Malformed("a chunk's line is too long")) } else { Ok(None) };
    };
    let line =
        filled[..at].strip_suffix(b"\r").ok_or(Fault::Malformed("a chunk's line ends in a lone LF"))?;
    let value = read(line)?;
    buffer.take(at + 1);
    Ok(Some(value))
}

fn chunk_size(line: &[u8]) -> Result<usize, Fault> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Fault::Malformed("a chunk's size is no number"));
    }
    let size = str::from_utf8(digits).ok().and_then(|d| usize::from_str_radix(d, 16).ok());
    size.ok_or(Fault::BodyTooLong)
}
