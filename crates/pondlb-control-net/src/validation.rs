//! Validation of records.

use std::borrow::Cow;
use std::collections::HashSet;

use pondlb_control::{CommitError, Key, NewChange, RecordKind, Store};
use pondlb_terms::{SettingChange, Target};

/// Validates the new value of a record, or its removal (`None`). The error is the reason why it is not allowed.
pub type ValidateRecord = fn(&Key, Option<&str>) -> Result<(), String>;

/// Accepts any JSON object as an upstream, a class or a tenant, and any JSON scalar as a limit.
///
/// Replica servers use this check, because the balancers that they serve may be of a newer version and know more fields
/// and limits than they do.
///
/// # Errors
/// The accepted JSON type if the value has another one.
pub fn validate_json_shape(key: &Key, value: Option<&str>) -> Result<(), String> {
    let Some(value) = value else { return Ok(()) };
    let first = value.trim_start().bytes().next();
    let is_object = first == Some(b'{');
    let is_scalar = !matches!(first, None | Some(b'{' | b'['));
    match key.kind() {
        RecordKind::Upstream | RecordKind::Class | RecordKind::Tenant if !is_object => {
            Err("a JSON object is accepted".into())
        }
        RecordKind::Limit if !is_scalar => Err("a JSON scalar is accepted".into()),
        _ => Ok(()),
    }
}

/// Accepts what a balancer can apply, as far as this can be decided from the record alone.
///
/// # Errors
/// The reason why the value is not allowed.
pub fn validate_record(key: &Key, value: Option<&str>) -> Result<(), String> {
    validate_json_shape(key, value)?;
    match (key.kind(), value) {
        (RecordKind::Upstream, Some(value)) => Target::from_record(key.name(), value).map(drop),
        (RecordKind::Upstream, None) => Ok(()),
        _ => pondlb_terms::check_change(&SettingChange {
            key: Cow::Borrowed(key.as_str()),
            value: value.map(Cow::Borrowed),
        }),
    }
}

/// Checks that a commit that removes a class leaves at least one class. Without any, no balancer could serve.
///
/// # Errors
/// [`CommitError::InvalidRecord`] with the last removal of a class in the commit.
pub fn validate_remaining_classes(store: &Store, changes: &[NewChange]) -> Result<(), CommitError> {
    let class_changes = || changes.iter().filter(|change| change.key.kind() == RecordKind::Class);
    let Some(removal) = class_changes().rfind(|change| change.value.is_none()) else { return Ok(()) };
    let mut remaining: HashSet<&Key> = store.keys(RecordKind::Class).collect();
    for NewChange { key, value } in class_changes() {
        match value {
            Some(_) => remaining.insert(key),
            None => remaining.remove(key),
        };
    }
    if !remaining.is_empty() {
        return Ok(());
    }
    Err(CommitError::InvalidRecord {
        key: removal.key.clone(),
        reason: "the last class can't be removed".into(),
    })
}
