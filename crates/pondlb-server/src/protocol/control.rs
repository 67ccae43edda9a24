//! Records of the control protocol: what an update changes.

use std::borrow::Cow;

use pondlb_control::{Change, Kind, Update};
use pondlb_terms::{SettingChange, Target};

use super::discovery::UpstreamList;

/// The upstreams that an update adds, changes or removes.
pub fn upstream_list(update: Update) -> UpstreamList {
    let mut upstreams = UpstreamList { version: update.version.revision, ..UpstreamList::default() };
    for Change { key, value, .. } in update.changes {
        let Some(value) = value else {
            upstreams.removed.push(key.name().to_string());
            continue;
        };
        match Target::read(key.name(), value.get()) {
            Ok(target) => upstreams.targets.push(target),
            // It was checked before the update was taken.
            Err(fault) => log::error!("control: {key}: {fault}"),
        }
    }
    upstreams
}

/// Classes, tenants and limits that an update changes, in the order in which they are put in force.
#[derive(Clone, Debug, Default)]
pub struct SettingRecords {
    /// They may need each other, so they change together.
    pub classes_and_limits: Vec<Change>,
    /// There may be many, and none needs another.
    pub tenants: Vec<Change>,
}

/// Takes what is no upstream out of an update.
pub fn take_setting_records(update: &mut Update) -> SettingRecords {
    let mut settings = SettingRecords::default();
    let changes = std::mem::take(&mut update.changes);
    for change in changes {
        match change.key.kind() {
            Kind::Upstream => update.changes.push(change),
            Kind::Tenant => settings.tenants.push(change),
            Kind::Class | Kind::Limit => settings.classes_and_limits.push(change),
        }
    }
    // A class that takes another's place comes before that one goes, or there might be none between.
    settings.classes_and_limits.sort_by_key(|change| change.value.is_none());
    settings
}

/// A record as the settings take it.
pub fn setting_change(change: &Change) -> SettingChange<'_> {
    let value = change.value.as_ref().map(|value| Cow::Borrowed(value.get()));
    SettingChange { key: Cow::Borrowed(change.key.as_str()), value }
}
