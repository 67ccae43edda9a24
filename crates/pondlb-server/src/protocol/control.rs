//! Splits an update of the control protocol into changes of upstreams and changes of settings.

use std::borrow::Cow;

use pondlb_control::{Change, RecordKind, Update};
use pondlb_terms::{SettingChange, Target};

use super::discovery::UpstreamList;

/// The upstreams that an update adds, changes or removes.
pub fn upstream_list(update: Update) -> UpstreamList {
    let mut list = UpstreamList { version: update.version.revision, ..UpstreamList::default() };
    for Change { key, value, .. } in update.changes {
        let Some(value) = value else {
            list.removed.push(key.name().to_string());
            continue;
        };
        match Target::from_record(key.name(), value.get()) {
            Ok(target) => list.targets.push(target),
            // Unexpected, since records are checked before an update is accepted.
            Err(fault) => log::error!("control: {key}: {fault}"),
        }
    }
    list
}

/// The classes, tenants and limits that an update changes, in the order in which they are to be applied.
#[derive(Clone, Debug, Default)]
pub struct SettingRecords {
    /// Applied together, since they may depend on each other.
    pub classes_and_limits: Vec<Change>,
    /// May be many, and don't depend on each other.
    pub tenants: Vec<Change>,
}

/// Moves the changes of settings out of an update, which keeps those of upstreams.
pub fn take_setting_records(update: &mut Update) -> SettingRecords {
    let mut records = SettingRecords::default();
    for change in std::mem::take(&mut update.changes) {
        match change.key.kind() {
            RecordKind::Upstream => update.changes.push(change),
            RecordKind::Tenant => records.tenants.push(change),
            RecordKind::Class | RecordKind::Limit => records.classes_and_limits.push(change),
        }
    }
    // Removals come last: if a class replaces the only one, there must be no moment without any class.
    records.classes_and_limits.sort_by_key(|change| change.value.is_none());
    records
}

/// Converts a record to a change of the settings.
pub fn setting_change(change: &Change) -> SettingChange<'_> {
    let value = change.value.as_ref().map(|value| Cow::Borrowed(value.get()));
    SettingChange { key: Cow::Borrowed(change.key.as_str()), value }
}
