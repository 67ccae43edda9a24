//! Checks of a commit before anything of it is taken.

use std::collections::HashMap;

use serde_json::value::RawValue;

use crate::json::{NULL, value_without_whitespace};
use crate::{Key, Limits, NewChange, RecordValidator};

/// Why nothing of a commit is taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// The store numbers no changes: it has no epoch of its own.
    #[error("this server has no epoch of its own to number changes in")]
    NotOrigin,
    /// There would be more records than the store takes.
    #[error("{records} records are more than {max}")]
    TooManyRecords {
        /// How many there would be.
        records: usize,
        /// How many the store takes.
        max: usize,
    },
    /// A value is longer than the store takes.
    #[error("{key}: {bytes} bytes of value are more than {max}")]
    ValueTooLong {
        /// Whose value.
        key: Key,
        /// Its length.
        bytes: usize,
        /// How long it may be.
        max: usize,
    },
    /// There would be more bytes of keys and values than the store takes.
    #[error("{bytes} bytes of keys and values are more than {max}")]
    TooManyBytes {
        /// How many there would be.
        bytes: usize,
        /// How many the store takes.
        max: usize,
    },
    /// A value is JSON's null, which stands for a removed record.
    #[error("{0}: a value can't be null")]
    NullValue(Key),
    /// A value is no JSON text.
    #[error("{0}: the value is no JSON")]
    InvalidJson(Key),
    /// The checker does not allow a change.
    #[error("{key}: {reason}")]
    InvalidRecord {
        /// Which record.
        key: Key,
        /// What the checker said.
        reason: String,
    },
}

/// How much a store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoreSize {
    /// Number of records.
    pub(crate) records: usize,
    /// Bytes of keys and values.
    pub(crate) bytes: usize,
}

/// The values of a commit with their texts normalised, each within the limits and allowed by the checker.
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
    let compacted = value.as_deref().map(value_without_whitespace).transpose();
    let value = compacted.map_err(|_| CommitError::InvalidJson(key.clone()))?;
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

/// How much a store holds after these changes, if it holds `extent` before; `held` tells the length of a value held.
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
    /// Whether the limits allow so much.
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
