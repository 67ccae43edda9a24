//! Percent-encoding of keys and names in request targets.

use std::fmt::Write;

/// Encodes all characters that could end or alter a query parameter.
pub(crate) fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_ascii_alphanumeric() || matches!(character, '-' | '.' | '_' | '~' | '/' | ':' | '@') {
            encoded.push(character);
        } else {
            let mut bytes = [0; 4];
            for byte in character.encode_utf8(&mut bytes).bytes() {
                // Writing to a `String` cannot fail.
                let _ = write!(encoded, "%{byte:02X}");
            }
        }
    }
    encoded
}

/// Decodes percent-encoded text. Returns `None` if a percent sign is not followed by two hexadecimal digits, or the
/// decoded bytes are not valid UTF-8.
pub(crate) fn decode(encoded: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(encoded.len());
    let mut rest = encoded.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(16)?;
        let low = char::from(rest.next()?).to_digit(16)?;
        bytes.push((high * 16 + low) as u8);
    }
    String::from_utf8(bytes).ok()
}
