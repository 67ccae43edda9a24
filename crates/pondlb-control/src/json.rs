//! JSON texts of values.

use serde_json::value::RawValue;

/// The text of JSON's null, which on the wire stands for a removed record.
pub(crate) const NULL: &str = "null";

/// The text without white space outside strings. Numbers, and the order of keys, stay as written.
pub(crate) fn without_whitespace(text: &str) -> String {
    let mut compact = String::with_capacity(text.len());
    let mut in_string = false;
    let mut is_escaped = false;
    for character in text.chars() {
        let is_whitespace = matches!(character, ' ' | '\t' | '\n' | '\r');
        if in_string || !is_whitespace {
            compact.push(character);
        }
        let is_string_delimiter = character == '"' && !is_escaped;
        is_escaped = in_string && character == '\\' && !is_escaped;
        in_string ^= is_string_delimiter;
    }
    compact
}

/// The length of a text as a JSON string without its quotes, for text of printable ASCII.
pub(crate) fn escaped_bytes(text: &str) -> usize {
    text.len() + text.bytes().filter(|byte| matches!(byte, b'"' | b'\\')).count()
}

/// The value of a compacted text.
pub(crate) fn value_without_whitespace(value: &RawValue) -> Result<Box<RawValue>, serde_json::Error> {
    RawValue::from_string(without_whitespace(value.get()))
}
