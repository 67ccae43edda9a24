//! The keys of records.

use std::borrow::Borrow;
use std::fmt;
use std::rc::Rc;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::percent_encoding;

/// The maximum length of a record's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// The kind of object that a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// An upstream, in the format of an entry in discovery's list.
    Upstream,
    /// A class of requests, in the format of an entry of `Schemes` in the settings.
    Class,
    /// A tenant, in the format of an entry of `Realms` in the settings.
    Tenant,
    /// A scalar of the settings, named by its path there, such as `Limits.MaxPostings`.
    Limit,
}

impl RecordKind {
    const ALL: [RecordKind; 4] =
        [RecordKind::Upstream, RecordKind::Class, RecordKind::Tenant, RecordKind::Limit];

    /// The start of all keys of this kind.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            RecordKind::Upstream => "upstream/",
            RecordKind::Class => "class/",
            RecordKind::Tenant => "tenant/",
            RecordKind::Limit => "limit/",
        }
    }
}

/// The key of a record: the prefix of its kind and its name, such as `upstream/s-5be2a07c`. Keys are ordered by their
/// text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Rc<str>);

/// Why a text is not a valid key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text does not start with the prefix of a known kind.
    #[error("{0:?} begins with no known kind")]
    UnknownKind(String),
    /// The name is empty, too long, or contains characters other than printable ASCII without spaces.
    #[error("{0:?} holds no name of 1 to {MAX_NAME_BYTES} printable ASCII characters")]
    InvalidName(String),
}

impl Key {
    /// Creates the key of a record from its kind and name.
    ///
    /// # Errors
    /// [`KeyError::InvalidName`] if the name is empty, longer than [`MAX_NAME_BYTES`] or not printable ASCII.
    pub fn new(kind: RecordKind, name: &str) -> Result<Key, KeyError> {
        verify_name(name)?;
        Ok(Key(format!("{}{name}", kind.prefix()).into()))
    }

    /// Parses the text of a key.
    ///
    /// # Errors
    /// [`KeyError`] if the text does not start with the prefix of a known kind, or no valid name follows.
    pub fn parse(text: &str) -> Result<Key, KeyError> {
        let name = RecordKind::ALL.into_iter().find_map(|kind| text.strip_prefix(kind.prefix()));
        verify_name(name.ok_or_else(|| KeyError::UnknownKind(text.to_string()))?)?;
        Ok(Key(text.into()))
    }

    /// Parses a key from a query parameter of a request target, where it may be percent-encoded.
    ///
    /// # Errors
    /// [`KeyError`] as from [`Key::parse`]; [`KeyError::InvalidName`] if the percent-encoding is malformed.
    pub fn parse_percent_encoded(encoded: &str) -> Result<Key, KeyError> {
        let text =
            percent_encoding::decode(encoded).ok_or_else(|| KeyError::InvalidName(encoded.to_string()))?;
        Key::parse(&text)
    }

    /// The kind of the record.
    pub fn kind(&self) -> RecordKind {
        let has_prefix = |kind: &RecordKind| self.0.starts_with(kind.prefix());
        RecordKind::ALL.into_iter().find(has_prefix).unwrap_or(RecordKind::Limit)
    }

    /// The name of the record, without the prefix of its kind.
    pub fn name(&self) -> &str {
        self.0.split_once('/').map_or("", |(_, name)| name)
    }

    /// The text of the key, including the prefix, as on the wire.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The text of the key, in the allocation that this key uses.
    pub fn to_rc_str(&self) -> Rc<str> {
        self.0.clone()
    }

    /// Whether other keys use the same allocation.
    pub(crate) fn is_shared(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}

/// Checks the length and the characters of a name.
fn verify_name(name: &str) -> Result<(), KeyError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(KeyError::InvalidName(name.to_string()));
    }
    Ok(())
}

impl Borrow<str> for Key {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Key, D::Error> {
        deserializer.deserialize_str(KeyVisitor)
    }
}

/// Deserializes a key from a borrowed text, which avoids an intermediate `String`.
struct KeyVisitor;

impl Visitor<'_> for KeyVisitor {
    type Value = Key;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a key")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Key, E> {
        Key::parse(text).map_err(E::custom)
    }
}
