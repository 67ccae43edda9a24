//! Content codings of responses: gzip compression if the client accepts it, and decoding with a length limit.

#[cfg(test)]
mod tests;

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::bufread::GzDecoder;
use flate2::write::GzEncoder;
use pondlb_http::{Head, MessageError};

/// The content coding of a body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ContentCoding {
    /// Not encoded.
    #[default]
    Identity,
    /// Compressed with gzip (RFC 1952).
    Gzip,
}

/// Why a body can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The `Content-Encoding` field is invalid.
    #[error("Content-Encoding: {0}")]
    InvalidHeader(MessageError),
    /// The content coding is none that the client accepts.
    #[error("content coding {0:?} is not accepted")]
    UnknownCoding(String),
    /// The decoded content exceeds the limit, in bytes.
    #[error("the content is longer than {0} bytes")]
    TooLong(usize),
    /// The gzip stream is malformed, does not end where the body ends, or has a wrong checksum.
    #[error("the gzip stream is invalid: {0}")]
    InvalidGzip(#[source] io::Error),
}

/// The name of the gzip coding in header fields.
pub const GZIP: &str = "gzip";
/// Shorter bodies are not compressed, since they fit into one packet anyway.
const MIN_COMPRESSED_BYTES: usize = 512;
/// Spare capacity beyond the expected content. With less, `read_to_end` grows the buffer just to detect the end of the
/// stream.
const END_OF_CONTENT_SPARE_BYTES: usize = 64;
/// Level 1 takes less than half of the CPU time of level 4; bodies of records become an eighth longer.
const GZIP_LEVEL: u32 = 1;

impl ContentCoding {
    /// The coding for the response to a request with this head. Quality values (`gzip;q=0.5`) are not parsed: a request
    /// with one for gzip gets an uncompressed response.
    pub fn accepted_by(head: &Head) -> ContentCoding {
        if head.list_contains("Accept-Encoding", GZIP) {
            ContentCoding::Gzip
        } else {
            ContentCoding::Identity
        }
    }

    /// The coding of a message with this head.
    fn from_head(head: &Head) -> Result<ContentCoding, DecodeError> {
        match head.single_value("Content-Encoding").map_err(DecodeError::InvalidHeader)? {
            None => Ok(ContentCoding::Identity),
            Some(name) if name.eq_ignore_ascii_case("identity") => Ok(ContentCoding::Identity),
            Some(name) if name.eq_ignore_ascii_case(GZIP) => Ok(ContentCoding::Gzip),
            Some(name) => Err(DecodeError::UnknownCoding(name.to_string())),
        }
    }
}

/// Encodes a body in the accepted coding and returns it with its actual coding. Short bodies, and those that would not
/// become shorter, are not compressed.
pub fn encode(plain: Vec<u8>, accepted: ContentCoding) -> (Vec<u8>, ContentCoding) {
    if accepted == ContentCoding::Identity || plain.len() < MIN_COMPRESSED_BYTES {
        return (plain, ContentCoding::Identity);
    }
    match gzip(&plain) {
        Ok(compressed) if compressed.len() < plain.len() => (compressed, ContentCoding::Gzip),
        _ => (plain, ContentCoding::Identity),
    }
}

/// Decodes the body of a message with this head. The content may have at most `max_bytes`.
///
/// # Errors
/// [`DecodeError`] if the coding is unknown, the content is too long, or the gzip stream is invalid.
pub fn decode(head: &Head, body: Vec<u8>, max_bytes: usize) -> Result<Vec<u8>, DecodeError> {
    let content = match ContentCoding::from_head(head)? {
        ContentCoding::Identity => body,
        ContentCoding::Gzip => gunzip(&body, max_bytes)?,
    };
    if content.len() > max_bytes { Err(DecodeError::TooLong(max_bytes)) } else { Ok(content) }
}

fn gzip(plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::with_capacity(plain.len() / 4), Compression::new(GZIP_LEVEL));
    encoder.write_all(plain)?;
    encoder.finish()
}

/// The content length that a gzip stream declares in its last four bytes. It is not verified.
fn declared_length(compressed: &[u8]) -> usize {
    let length = compressed.last_chunk().map_or(0, |bytes| u32::from_le_bytes(*bytes));
    usize::try_from(length).unwrap_or(usize::MAX)
}

/// Decompresses a gzip stream. At most one byte more than `max_bytes` is decompressed, however long the content is.
fn gunzip(compressed: &[u8], max_bytes: usize) -> Result<Vec<u8>, DecodeError> {
    let mut decoder = GzDecoder::new(compressed);
    let mut content =
        Vec::with_capacity(declared_length(compressed).min(max_bytes) + END_OF_CONTENT_SPARE_BYTES);
    let read_limit = u64::try_from(max_bytes).unwrap_or(u64::MAX).saturating_add(1);
    decoder.by_ref().take(read_limit).read_to_end(&mut content).map_err(DecodeError::InvalidGzip)?;
    if content.len() > max_bytes {
        return Err(DecodeError::TooLong(max_bytes));
    }
    if !decoder.get_ref().is_empty() {
        let trailing = io::Error::new(io::ErrorKind::InvalidData, "trailing bytes after the end");
        return Err(DecodeError::InvalidGzip(trailing));
    }
    Ok(content)
}
