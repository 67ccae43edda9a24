//! Helpers for the JSON text of values.

use serde_json::value::RawValue;

/// The JSON text `null`, which on the wire denotes a removed record.
pub(crate) const NULL: &str = "null";

/// The JSON text without whitespace outside strings. Numbers and the order of object keys stay as written.
pub(crate) fn without_whitespace(text: &str) -> String {
    let mut without_whitespace = String::with_capacity(text.len());
    let mut in_string = false;
    let mut is_escaped = false;
    for character in text.chars() {
        let is_whitespace = matches!(character, ' ' | '\t' | '\n' | '\r');
        if in_string || !is_whitespace {
            without_whitespace.push(character);
        }
        let is_string_delimiter = character == '"' && !is_escaped;
        is_escaped = in_string && character == '\\' && !is_escaped;
        in_string ^= is_string_delimiter;
    }
    without_whitespace
}

/// The length in bytes of printable ASCII text when it is escaped in a JSON string, without the quotes.
pub(crate) fn escaped_bytes(text: &str) -> usize {
    text.len() + text.bytes().filter(|byte| matches!(byte, b'"' | b'\\')).count()
}

/// The same JSON value without whitespace outside strings.
pub(crate) fn value_without_whitespace(value: &RawValue) -> Result<Box<RawValue>, serde_json::Error> {
    RawValue::from_string(without_whitespace(value.get()))
}
