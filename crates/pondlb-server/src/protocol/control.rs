//! Records of the control protocol: what their values must be, and what they change.

use pondlb_control::{Change, Key, Kind, Update};
use pondlb_control_net::check_shape;

use super::discovery::{Roster, Target};

/// What a slice of an update changes.
#[derive(Clone, Debug, Default)]
pub struct RecordChanges {
    /// Upstreams that are added, changed or removed.
    pub upstreams: Roster,
    /// Classes, tenants and limits.
    pub settings: Vec<Change>,
}

/// Whether the value may be taken for this record: nothing of an answer with one that may not is put in force.
///
/// # Errors
/// Says what is wrong with the value.
pub fn check_record(key: &Key, value: Option<&str>) -> Result<(), String> {
    check_shape(key, value)?;
    match (key.kind(), value) {
        (Kind::Upstream, Some(value)) => read_target(key, value).map(drop),
        _ => Ok(()),
    }
}

impl RecordChanges {
    /// Sorts the changes of an update whose values have been checked.
    pub fn read(update: Update) -> RecordChanges {
        let mut changes = RecordChanges::default();
        changes.upstreams.version = update.version.revision;
        for change in update.changes {
            if change.key.kind() != Kind::Upstream {
                changes.settings.push(change);
                continue;
            }
            let Some(value) = &change.value else {
                changes.upstreams.removed.push(change.key.name().to_string());
                continue;
            };
            match read_target(&change.key, value.get()) {
                Ok(target) => changes.upstreams.targets.push(target),
                Err(reason) => log::error!("control: {}: {reason}", change.key),
            }
        }
        changes
    }
}

fn read_target(key: &Key, value: &str) -> Result<Target, String> {
    let mut reader = serde_json::Deserializer::from_str(value);
    let target: Target = serde_path_to_error::deserialize(&mut reader).map_err(|error| error.to_string())?;
    if target.upstream != key.name() {
        return Err(format!("uid: {:?}: the record's name is accepted", target.upstream));
    }
    if !target.has_size() {
        return Err("capacity_hint is no size".into());
    }
    Ok(target)
}
