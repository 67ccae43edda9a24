//! Which values of records are taken.

use std::borrow::Cow;
use std::collections::HashSet;

use pondlb_control::{CommitError, Key, NewChange, RecordKind, Store};
use pondlb_terms::{SettingChange, Target};

/// Says whether a value may be taken for a record, or the record be removed, and why not.
pub type ValidateRecord = fn(&Key, Option<&str>) -> Result<(), String>;

/// Takes any JSON object for an upstream, a class or a tenant, and any scalar for a limit: for a server that hands
/// records on, also to balancers that know more of them than it does.
///
/// # Errors
/// Says what is accepted, where the value is of another shape.
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

/// Takes what a balancer can put in force, as far as that shows from the record alone.
///
/// # Errors
/// Says what is wrong with the value.
pub fn validate_record(key: &Key, value: Option<&str>) -> Result<(), String> {
    validate_json_shape(key, value)?;
    match (key.kind(), value) {
        (RecordKind::Upstream, Some(value)) => Target::read(key.name(), value).map(drop),
        (RecordKind::Upstream, None) => Ok(()),
        _ => pondlb_terms::check(&SettingChange {
            key: Cow::Borrowed(key.as_str()),
            value: value.map(Cow::Borrowed),
        }),
    }
}

/// Where a commit removes a class, at least one class must be left: without any no balancer could serve.
///
/// # Errors
/// [`CommitError::InvalidRecord`] with the last class that the commit removes.
pub fn validate_remaining_classes(store: &Store, changes: &[NewChange]) -> Result<(), CommitError> {
    let classes = || changes.iter().filter(|change| change.key.kind() == RecordKind::Class);
    let Some(removal) = classes().rfind(|change| change.value.is_none()) else { return Ok(()) };
    let mut left: HashSet<&Key> = store.keys(RecordKind::Class).collect();
    for NewChange { key, value } in classes() {
        match value {
            Some(_) => left.insert(key),
            None => left.remove(key),
        };
    }
    if !left.is_empty() {
        return Ok(());
    }
    Err(CommitError::InvalidRecord {
        key: removal.key.clone(),
        reason: "the last class can't be removed".into(),
    })
}
