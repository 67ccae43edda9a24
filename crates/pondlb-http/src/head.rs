//! The head of a message.

use std::fmt;

/// Why bytes are no message, as the one who sent them may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Not in the form of HTTP/1.1, for this reason.
    Malformed(&'static str),
    /// The head is longer than [`crate::MAX_HEAD_BYTES`].
    HeadTooLong,
    /// The body is longer than the reader takes.
    BodyTooLong,
    /// The method is not served here.
    MethodNotAllowed,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            MessageError::Malformed(why) => f.write_str(why),
            MessageError::HeadTooLong => f.write_str("the head is too long"),
            MessageError::BodyTooLong => f.write_str("the body is too long"),
            MessageError::MethodNotAllowed => f.write_str("the method is not served"),
        }
    }
}

/// The first line of a message and its header fields, with the names as they came.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The first line, without its end.
    pub start_line: String,
    /// Names and values, in the order in which they came.
    pub fields: Vec<(String, Vec<u8>)>,
}

/// Fields that speak of one connection only and end with it.
const HOP: [&str; 9] = [
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

fn is_token(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.iter().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b))
}

impl Head {
    /// Reads a head; `bytes` end before the empty line. Lines end with CR LF and nothing else: what two programs cut into
    /// lines differently lets one client's message pass for two.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] where a line is no field.
    pub fn parse(bytes: &[u8]) -> Result<Head, MessageError> {
        let text = |bytes: &[u8]| str::from_utf8(bytes).map(String::from);
        let mut lines = Lines(Some(bytes));
        let first = lines.next().unwrap_or_default();
        if first.iter().any(|b| !(b' '..=b'~').contains(b)) {
            return Err(MessageError::Malformed("the first line holds a control character"));
        }
        let first = text(first).map_err(|_| MessageError::Malformed("the first line is no text"))?;
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
        Ok(Head { start_line: first, fields })
    }

    /// The values of all fields of this name.
    pub fn field_values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.fields.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
    }

    /// The value of a field that may stand once at most.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] where it stands twice or is no text.
    pub fn single_value(&self, name: &str) -> Result<Option<&str>, MessageError> {
        let mut values = self.field_values(name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(MessageError::Malformed("a field that may stand once stands twice"));
        }
        str::from_utf8(value).map(Some).map_err(|_| MessageError::Malformed("a field's value is no text"))
    }

    /// The status of an answer.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] where the first line is no answer's.
    pub fn status(&self) -> Result<u16, MessageError> {
        let bad = MessageError::Malformed("the first line is no answer");
        let (version, rest) = self.start_line.split_once(' ').ok_or(bad)?;
        let status = rest.split(' ').next().unwrap_or_default();
        if !matches!(version, "HTTP/1.1" | "HTTP/1.0") || status.len() != 3 {
            return Err(bad);
        }
        status.parse().ok().filter(|status| (100..=599).contains(status)).ok_or(bad)
    }

    /// Whether a comma-separated field names `word`.
    pub fn list_contains(&self, name: &str, word: &str) -> bool {
        self.field_values(name)
            .flat_map(|value| value.split(|b| *b == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// Appends the fields that go on to the next hop, but not those that `left_out` names.
    pub fn append_end_to_end_fields(&self, left_out: &[&str], out: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            let named = |list: &[&str]| list.iter().any(|n| n.eq_ignore_ascii_case(name));
            if named(&HOP) || named(left_out) || self.list_contains("Connection", name) {
                continue;
            }
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Cuts at CR LF; a lone CR or LF stays in its line, where it is found as a control character.
struct Lines<'a>(Option<&'a [u8]>);

impl<'a> Iterator for Lines<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let rest = self.0.take()?;
        match rest.windows(2).position(|pair| pair == b"\r\n") {
            Some(at) => {
                self.0 = Some(&rest[at + 2..]);
                Some(&rest[..at])
            }
            None => Some(rest),
        }
    }
}
