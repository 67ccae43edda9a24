//! The head of a message: its start line and header fields.

use std::fmt;

/// Why received bytes are rejected. The `Display` text may be sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The bytes do not follow the HTTP/1.1 message syntax; the text is the reason.
    Malformed(&'static str),
    /// The head is longer than [`crate::MAX_HEAD_BYTES`].
    HeadTooLong,
    /// The body is longer than the reader's limit.
    BodyTooLong,
    /// The server does not support the request's method. Set by callers; nothing in this crate checks the method.
    MethodNotAllowed,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            MessageError::Malformed(reason) => f.write_str(reason),
            MessageError::HeadTooLong => f.write_str("the head is too long"),
            MessageError::BodyTooLong => f.write_str("the body is too long"),
            MessageError::MethodNotAllowed => f.write_str("the method is not served"),
        }
    }
}

/// The start line and header fields of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The request line or status line, without CR LF.
    pub start_line: String,
    /// Field names and values in the order received. Names keep their case; values are trimmed.
    pub fields: Vec<(String, Vec<u8>)>,
}

/// Fields that apply to a single connection and are not forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether `bytes` are a `token` of RFC 9110, as field names must be.
fn is_token(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.iter().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b))
}

impl Head {
    /// Parses a head; `bytes` end before the CR LF of the last line.
    ///
    /// Only CR LF ends a line. If two implementations split lines differently, a client's single message can be taken
    /// for two (request smuggling).
    ///
    /// # Errors
    /// [`MessageError::Malformed`] if the start line holds a control character or non-ASCII byte, or another line is
    /// not a field.
    pub fn parse(bytes: &[u8]) -> Result<Head, MessageError> {
        let text = |bytes: &[u8]| str::from_utf8(bytes).map(String::from);
        let mut lines = CrlfLines { rest: Some(bytes) };
        let start_line = lines.next().unwrap_or_default();
        if start_line.iter().any(|b| !(b' '..=b'~').contains(b)) {
            return Err(MessageError::Malformed("the first line holds a control character"));
        }
        let start_line =
            text(start_line).map_err(|_| MessageError::Malformed("the first line is no text"))?;
        let mut fields = Vec::new();
        for line in lines {
            let colon = line
                .iter()
                .position(|b| *b == b':')
                .ok_or(MessageError::Malformed("a field has no colon"))?;
            let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
            if !is_token(name) {
                return Err(MessageError::Malformed("a field's name is no token"));
            }
            if value.iter().any(|b| *b < b' ' && *b != b'\t' || *b == 0x7f) {
                return Err(MessageError::Malformed("a field's value holds a control character"));
            }
            let name = text(name).map_err(|_| MessageError::Malformed("a field's name is no token"))?;
            fields.push((name, value.to_vec()));
        }
        Ok(Head { start_line, fields })
    }

    /// Returns the values of all fields with this name, in the order received.
    pub fn field_values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.fields
            .iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }

    /// Returns the value of a field that may occur at most once.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] if the field occurs more than once or its value is not UTF-8.
    pub fn single_value(&self, name: &str) -> Result<Option<&str>, MessageError> {
        let mut values = self.field_values(name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(MessageError::Malformed("a field that may stand once stands twice"));
        }
        str::from_utf8(value).map(Some).map_err(|_| MessageError::Malformed("a field's value is no text"))
    }

    /// Returns the status code of a response.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] if the start line is not a status line of HTTP/1.1 or HTTP/1.0, or the status code
    /// is not in 100..=599.
    pub fn status(&self) -> Result<u16, MessageError> {
        let error = MessageError::Malformed("the first line is not a status line");
        let (version, rest) = self.start_line.split_once(' ').ok_or(error)?;
        let status = rest.split(' ').next().unwrap_or_default();
        if !matches!(version, "HTTP/1.1" | "HTTP/1.0") || status.len() != 3 {
            return Err(error);
        }
        status.parse().ok().filter(|status| (100..=599).contains(status)).ok_or(error)
    }

    /// Returns whether a field whose value is a comma-separated list has `element` in it. Case is ignored.
    pub fn list_contains(&self, name: &str, element: &str) -> bool {
        self.field_values(name)
            .flat_map(|value| value.split(|b| *b == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(element.as_bytes()))
    }

    /// Appends the field lines that are forwarded to the next hop: all fields except hop-by-hop fields, those that
    /// the `Connection` field names, and those in `excluded`.
    pub fn append_end_to_end_fields(&self, excluded: &[&str], out: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            let is_in = |names: &[&str]| names.iter().any(|other| other.eq_ignore_ascii_case(name));
            if is_in(&HOP_BY_HOP_FIELDS) || is_in(excluded) || self.list_contains("Connection", name) {
                continue;
            }
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Splits at CR LF. A lone CR or LF stays part of its line, where it is rejected as a control character.
struct CrlfLines<'a> {
    /// What follows the lines returned so far; `None` after the last line.
    rest: Option<&'a [u8]>,
}

impl<'a> Iterator for CrlfLines<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let rest = self.rest.take()?;
        match rest.windows(2).position(|pair| pair == b"\r\n") {
            Some(line_end) => {
                self.rest = Some(&rest[line_end + 2..]);
                Some(&rest[..line_end])
            }
            None => Some(rest),
        }
    }
}
