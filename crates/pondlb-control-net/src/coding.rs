//! Content codings of answers: gzip where the caller accepts it, and decoding within a bound.

#[cfg(test)]
mod tests;

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::bufread::GzDecoder;
use flate2::write::GzEncoder;
use pondlb_http::{Head, MessageError};

/// How the bytes of a body stand for its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ContentCoding {
    /// As they are.
    #[default]
    Identity,
    /// Compressed, as RFC 1952 describes.
    Gzip,
}

/// Why a body can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The field that names the coding can't be read.
    #[error("Content-Encoding: {0}")]
    InvalidHeader(MessageError),
    /// The sender was not told that this coding is accepted.
    #[error("content coding {0:?} is not accepted")]
    UnknownCoding(String),
    /// The content is longer than is taken.
    #[error("the content is longer than {0} bytes")]
    TooLong(usize),
    /// It does not end where the body ends, or its check sum is wrong.
    #[error("the gzip stream is garbled: {0}")]
    InvalidGzip(#[source] io::Error),
}

/// The name of the coding in header fields.
pub const GZIP: &str = "gzip";
/// Shorter bodies are sent as they are: they fit into one packet anyway.
const MIN_COMPRESSED_BYTES: usize = 512;
/// With less room than this at the end of the content, a reader makes more to see that nothing follows.
const END_OF_CONTENT_SPARE_BYTES: usize = 64;
/// Level 1 takes less than half of the processor time of level 4, and bodies of records are longer by an eighth.
const GZIP_LEVEL: u32 = 1;

impl ContentCoding {
    /// The coding of the answer to a request with this head. Where the caller weighs codings against each other
    /// (`gzip;q=0.5`), its answer is not compressed.
    pub fn accepted_by(head: &Head) -> ContentCoding {
        if head.list_contains("Accept-Encoding", GZIP) {
            ContentCoding::Gzip
        } else {
            ContentCoding::Identity
        }
    }

    /// The coding that a head names.
    fn from_head(head: &Head) -> Result<ContentCoding, DecodeError> {
        match head.single_value("Content-Encoding").map_err(DecodeError::InvalidHeader)? {
            None => Ok(ContentCoding::Identity),
            Some(name) if name.eq_ignore_ascii_case("identity") => Ok(ContentCoding::Identity),
            Some(name) if name.eq_ignore_ascii_case(GZIP) => Ok(ContentCoding::Gzip),
            Some(name) => Err(DecodeError::UnknownCoding(name.to_string())),
        }
    }
}

/// Compresses a body in this coding, unless it is short or does not become shorter. The coding that it has then.
pub fn encode(plain: Vec<u8>, accepted: ContentCoding) -> (Vec<u8>, ContentCoding) {
    if accepted == ContentCoding::Identity || plain.len() < MIN_COMPRESSED_BYTES {
        return (plain, ContentCoding::Identity);
    }
    match gzip(&plain) {
        Ok(compressed) if compressed.len() < plain.len() => (compressed, ContentCoding::Gzip),
        _ => (plain, ContentCoding::Identity),
    }
}

/// The content of a body that came with this head, of at most so many bytes.
///
/// # Errors
/// [`DecodeError`] where the coding is unknown, or the content too long or garbled.
pub fn decode(head: &Head, body: Vec<u8>, most_bytes: usize) -> Result<Vec<u8>, DecodeError> {
    let content = match ContentCoding::from_head(head)? {
        ContentCoding::Identity => body,
        ContentCoding::Gzip => gunzip(&body, most_bytes)?,
    };
    if content.len() > most_bytes { Err(DecodeError::TooLong(most_bytes)) } else { Ok(content) }
}

fn gzip(plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::with_capacity(plain.len() / 4), Compression::new(GZIP_LEVEL));
    encoder.write_all(plain)?;
    encoder.finish()
}

/// The length that the stream tells of its content; nobody has checked it.
fn declared_length(compressed: &[u8]) -> usize {
    let told = compressed.last_chunk().map_or(0, |length| u32::from_le_bytes(*length));
    usize::try_from(told).unwrap_or(usize::MAX)
}

/// Decodes at most one byte more than is taken, whatever the stream would become.
fn gunzip(compressed: &[u8], most_bytes: usize) -> Result<Vec<u8>, DecodeError> {
    let mut decoder = GzDecoder::new(compressed);
    let mut content =
        Vec::with_capacity(declared_length(compressed).min(most_bytes) + END_OF_CONTENT_SPARE_BYTES);
    let most_read = u64::try_from(most_bytes).unwrap_or(u64::MAX).saturating_add(1);
    decoder.by_ref().take(most_read).read_to_end(&mut content).map_err(DecodeError::InvalidGzip)?;
    if content.len() > most_bytes {
        return Err(DecodeError::TooLong(most_bytes));
    }
    if !decoder.get_ref().is_empty() {
        let trailing = io::Error::new(io::ErrorKind::InvalidData, "bytes follow on its end");
        return Err(DecodeError::InvalidGzip(trailing));
    }
    Ok(content)
}
