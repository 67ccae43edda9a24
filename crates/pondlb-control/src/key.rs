//! Names of records.

use std::borrow::Borrow;
use std::fmt;
use std::rc::Rc;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::percent_encoding;

/// The longest name of a record, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// What a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// One upstream, in discovery's form of an entry.
    Upstream,
    /// One class of requests, in the form of an entry of `Schemes` in the settings.
    Class,
    /// One tenant, in the form of an entry of `Realms` in the settings.
    Tenant,
    /// One scalar of the settings; its name is the path of the key, as in `Limits.MaxPostings`.
    Limit,
}

impl RecordKind {
    const ALL: [RecordKind; 4] =
        [RecordKind::Upstream, RecordKind::Class, RecordKind::Tenant, RecordKind::Limit];

    pub(crate) fn prefix(self) -> &'static str {
        match self {
            RecordKind::Upstream => "upstream/",
            RecordKind::Class => "class/",
            RecordKind::Tenant => "tenant/",
            RecordKind::Limit => "limit/",
        }
    }
}

/// The name of a record, with its kind in front: `upstream/s-5be2a07c`. Keys are ordered as their text is.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Rc<str>);

/// Why a text is no key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text does not begin with a known kind.
    #[error("{0:?} begins with no known kind")]
    UnknownKind(String),
    /// The name is empty, too long, or holds other than printable ASCII.
    #[error("{0:?} holds no name of 1 to {MAX_NAME_BYTES} printable ASCII characters")]
    InvalidName(String),
}

impl Key {
    /// The key of a record of this kind and name.
    ///
    /// # Errors
    /// [`KeyError::InvalidName`] where the name is empty, longer than [`MAX_NAME_BYTES`] or not printable ASCII.
    pub fn new(kind: RecordKind, name: &str) -> Result<Key, KeyError> {
        verify_name(name)?;
        Ok(Key(format!("{}{name}", kind.prefix()).into()))
    }

    /// Reads a key from its text.
    ///
    /// # Errors
    /// [`KeyError`] where it begins with no known kind, or what follows is no name.
    pub fn parse(text: &str) -> Result<Key, KeyError> {
        let name = RecordKind::ALL.into_iter().find_map(|kind| text.strip_prefix(kind.prefix()));
        verify_name(name.ok_or_else(|| KeyError::UnknownKind(text.to_string()))?)?;
        Ok(Key(text.into()))
    }

    /// Reads a key from a parameter of a request's target, where it may be percent-encoded.
    ///
    /// # Errors
    /// [`KeyError`] as from [`Key::parse`], also where the encoding is wrong.
    pub fn parse_percent_encoded(encoded: &str) -> Result<Key, KeyError> {
        let text =
            percent_encoding::decode(encoded).ok_or_else(|| KeyError::InvalidName(encoded.to_string()))?;
        Key::parse(&text)
    }

    /// What the record describes.
    pub fn kind(&self) -> RecordKind {
        let is_meant = |kind: &RecordKind| self.0.starts_with(kind.prefix());
        RecordKind::ALL.into_iter().find(is_meant).unwrap_or(RecordKind::Limit)
    }

    /// The name without its kind.
    pub fn name(&self) -> &str {
        self.0.split_once('/').map_or("", |(_, name)| name)
    }

    /// The whole text, as on the wire.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The same key in an allocation that is shared with others.
    pub fn to_rc_str(&self) -> Rc<str> {
        self.0.clone()
    }

    /// Whether the allocation has other holders than this one.
    pub(crate) fn is_shared(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}

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
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Key, D::Error> {
        from.deserialize_str(KeyVisitor)
    }
}

/// Reads a key from the text where it stands, without a copy beside the key's own.
struct KeyVisitor;

impl Visitor<'_> for KeyVisitor {
    type Value = Key;

    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("a key")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Key, E> {
        Key::parse(text).map_err(E::custom)
    }
}
