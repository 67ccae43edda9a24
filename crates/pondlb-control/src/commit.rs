//! Validation of a commit, which is accepted or rejected as a whole.

use std::collections::HashMap;

use serde_json::value::RawValue;

use crate::json::{NULL, value_without_whitespace};
use crate::{Key, Limits, NewChange, RecordValidator};

/// Why a commit is rejected. None of its changes is applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// The store belongs to a replica server, which has no epoch of its own and so does not number changes.
    #[error("this server has no epoch of its own to number changes in")]
    NotOrigin,
    /// The store would exceed [`Limits::max_records`].
    #[error("{records} records are more than {max}")]
    TooManyRecords {
        /// The number of records after the commit.
        records: usize,
        /// The maximum number of records.
        max: usize,
    },
    /// A value exceeds [`Limits::max_value_bytes`].
    #[error("{key}: {bytes} bytes of value are more than {max}")]
    ValueTooLong {
        /// The key of the record.
        key: Key,
        /// The length of the value in bytes, without whitespace.
        bytes: usize,
        /// The maximum length in bytes.
        max: usize,
    },
    /// The store would exceed [`Limits::max_total_bytes`].
    #[error("{bytes} bytes of keys and values are more than {max}")]
    TooManyBytes {
        /// Bytes of keys and values after the commit.
        bytes: usize,
        /// The maximum number of bytes.
        max: usize,
    },
    /// A value is the JSON `null`, which on the wire denotes a removed record.
    #[error("{0}: a value can't be null")]
    NullValue(Key),
    /// A value is not valid JSON.
    #[error("{0}: the value is no JSON")]
    InvalidJson(Key),
    /// The validator rejects a change.
    #[error("{key}: {reason}")]
    InvalidRecord {
        /// The key of the record.
        key: Key,
        /// The validator's reason.
        reason: String,
    },
}

/// The size of a store's records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoreSize {
    /// The number of records.
    pub(crate) records: usize,
    /// The bytes of all keys and values.
    pub(crate) bytes: usize,
}

/// The values of a commit without whitespace, each within the limits and accepted by the validator. `None` stands for a
/// removal.
pub(crate) fn validated_values(
    changes: &[NewChange],
    limits: &Limits,
    validate: &RecordValidator<'_>,
) -> Result<Vec<Option<Box<RawValue>>>, CommitError> {
    changes.iter().map(|change| validated_value(change, limits, validate)).collect()
}

fn validated_value(
    NewChange { key, value }: &NewChange,
    limits: &Limits,
    validate: &RecordValidator<'_>,
) -> Result<Option<Box<RawValue>>, CommitError> {
    let normalized = value.as_deref().map(value_without_whitespace).transpose();
    let value = normalized.map_err(|_| CommitError::InvalidJson(key.clone()))?;
    let text = value.as_deref().map(RawValue::get);
    if text == Some(NULL) {
        return Err(CommitError::NullValue(key.clone()));
    }
    let bytes = text.map_or(0, str::len);
    if bytes > limits.max_value_bytes {
        return Err(CommitError::ValueTooLong { key: key.clone(), bytes, max: limits.max_value_bytes });
    }
    validate(key, text).map_err(|reason| CommitError::InvalidRecord { key: key.clone(), reason })?;
    Ok(value)
}

/// The size of a store after these changes, given its `size` before them. `active_value_bytes` returns the length of
/// the value that the store has for a key.
pub(crate) fn size_after(
    mut size: StoreSize,
    changes: &[NewChange],
    values: &[Option<Box<RawValue>>],
    active_value_bytes: impl Fn(&Key) -> Option<usize>,
) -> StoreSize {
    let mut changed_lengths: HashMap<&Key, Option<usize>> = HashMap::with_capacity(changes.len());
    for (NewChange { key, .. }, value) in changes.iter().zip(values) {
        let after = value.as_deref().map(|value| value.get().len());
        let before = changed_lengths.insert(key, after).unwrap_or_else(|| active_value_bytes(key));
        if let Some(length) = before {
            size.records -= 1;
            size.bytes -= key.as_str().len() + length;
        }
        if let Some(length) = after {
            size.records += 1;
            size.bytes += key.as_str().len() + length;
        }
    }
    size
}

impl StoreSize {
    /// Checks the size against the limits.
    pub(crate) fn verify_within(&self, limits: &Limits) -> Result<(), CommitError> {
        if self.records > limits.max_records {
            return Err(CommitError::TooManyRecords { records: self.records, max: limits.max_records });
        }
        if self.bytes > limits.max_total_bytes {
            return Err(CommitError::TooManyBytes { bytes: self.bytes, max: limits.max_total_bytes });
        }
        Ok(())
    }
}
