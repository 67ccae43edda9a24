//! The settings of a deployment, kept for changes in place.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use pondlb::{BalancerConfig, Class, ConfigChange, ListSource, Tenant, ns_to_tenth_millis_floor};
use serde_json::Value;

use crate::table::Table;
use crate::tunable::{IN_PLACE, Tunables};
use crate::wire::{Discovery, NO_CLASSES, Object, WireClass, WireTenant, read};
use crate::{ConfigError, ConnectionLimits, Deployment, IndexedNames};

/// A change of one setting, in the form of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingChange<'a> {
    /// `class/NAME` for an entry of `Schemes`, `tenant/NAME` for one of `Realms` (those of the file are named by their
    /// index), `limit/PATH` for a scalar, as in `limit/Limits.MaxOpen`.
    pub key: Cow<'a, str>,
    /// The entry or scalar as JSON. Without one a class or tenant is removed, and a scalar is as the file says.
    pub value: Option<Cow<'a, str>>,
}

/// What changes of the settings bring for those who use them.
#[derive(Debug, Default, PartialEq)]
pub struct AppliedChanges {
    /// For the decisions.
    pub config_changes: Vec<ConfigChange>,
    /// Names of classes with the numbers that they have from now on; none where there is no such class any more.
    pub class_indices: Vec<(String, Option<u32>)>,
    /// How many settings have other values than before.
    pub changed_count: usize,
}

/// What leads from the settings in force to those of a file.
pub struct SettingsDiff {
    changes: Vec<Change>,
    file: Tunables,
    /// The keys whose change takes a restart.
    pub restart_keys: Vec<&'static str>,
}

/// What of the settings takes a restart.
#[derive(PartialEq)]
struct Fixed {
    balancers: u32,
    self_index: u32,
    discovery: Discovery,
    warm_keys: bool,
    machine_types: Vec<String>,
    my_zone: u32,
    fields: Vec<String>,
    zones: Vec<String>,
}

/// A class as the settings name and describe it, and what of it the decisions need.
#[derive(Clone, PartialEq)]
struct NamedClass {
    wire: WireClass,
    terms: Class,
}

impl NamedClass {
    /// `key` is what faults call the entry.
    fn of(wire: WireClass, key: &str) -> Result<NamedClass, ConfigError> {
        Ok(NamedClass { terms: wire.class(key)?, wire })
    }
}

/// A change that was read, and checked as far as that needs no other setting.
enum Change {
    Class(String, Option<NamedClass>),
    Tenant(String, Option<WireTenant>),
    Limit(&'static str, Option<Value>),
}

impl Change {
    fn read(change: &SettingChange) -> Result<Change, ConfigError> {
        let (key, value) = (&*change.key, change.value.as_deref());
        let named = |fault: ConfigError| format!("{key}: {fault}");
        if let Some(name) = key.strip_prefix("class/") {
            let wire = value.map(read::<WireClass>).transpose().map_err(named)?;
            if let Some(wire) = wire.as_ref().filter(|wire| wire.name != name) {
                return Err(format!("{key}.Name: {:?}: the name in the key is accepted", wire.name));
            }
            let check = |wire: WireClass| wire.check(key).and_then(|()| NamedClass::of(wire, key));
            Ok(Change::Class(name.into(), wire.map(check).transpose()?))
        } else if let Some(name) = key.strip_prefix("tenant/") {
            let tenant = value.map(read::<WireTenant>).transpose().map_err(named)?;
            tenant.map_or(Ok(()), |tenant| tenant.check(key))?;
            Ok(Change::Tenant(name.into(), tenant))
        } else if let Some(path) = key.strip_prefix("limit/") {
            let known = IN_PLACE.into_iter().find(|known| *known == path);
            let path = known.ok_or_else(|| format!("{path}: the change takes a restart"))?;
            Ok(Change::Limit(path, value.map(read::<Value>).transpose().map_err(named)?))
        } else {
            Err(format!("{key}: class/NAME, tenant/NAME and limit/PATH are accepted"))
        }
    }

    fn key(&self) -> String {
        match self {
            Change::Class(name, _) => format!("class/{name}"),
            Change::Tenant(name, _) => format!("tenant/{name}"),
            Change::Limit(path, _) => format!("limit/{path}"),
        }
    }
}

/// Checks a change as far as that needs no other setting: for whoever keeps settings and does not use them.
///
/// # Errors
/// A [`Fault`] that names the key.
pub fn check_change(change: &SettingChange) -> Result<(), ConfigError> {
    match Change::read(change)? {
        Change::Limit(path, Some(value)) => Tunables::neutral().with([(path, value)]).map(|_| ()),
        _ => Ok(()),
    }
}

/// The settings as read from a file and changed since by records.
pub struct Settings {
    fixed: Fixed,
    /// As the file says, and as they are in force.
    file: Tunables,
    tunables: Tunables,
    classes: Table<NamedClass>,
    tenants: Table<WireTenant>,
    /// Keys whose values, or whose want of a value that the file has, are by a record: the file does not change them.
    recorded: HashSet<String>,
}

impl Settings {
    /// Reads the settings of a file.
    ///
    /// # Errors
    /// A [`Fault`] that names the key.
    pub fn decode(json: &str) -> Result<Settings, ConfigError> {
        let object: Object = read(json)?;
        object.check()?;
        let Object { balancers, self_index, discovery, my_zone, .. } = object;
        let tunables = Tunables {
            excess_value: object.excess_value,
            limits: object.limits.clone(),
            rules: object.rules.clone(),
        };
        tunables.check()?;
        object.check_asking()?;
        let keys: Vec<String> = (0..object.classes.len()).map(|n| format!("Schemes[{n}]")).collect();
        for (key, class) in keys.iter().zip(&object.classes) {
            class.check(key)?;
        }
        for (n, tenant) in object.tenants.iter().enumerate() {
            tenant.check(&format!("Realms[{n}]"))?;
        }
        let named = |(key, wire): (&String, WireClass)| Ok((wire.name.clone(), NamedClass::of(wire, key)?));
        let classes: Vec<_> =
            keys.iter().zip(object.classes).map(named).collect::<Result<_, ConfigError>>()?;
        let tenants = object.tenants.into_iter().enumerate().map(|(n, tenant)| (n.to_string(), tenant));
        Ok(Settings {
            fixed: Fixed {
                balancers,
                self_index,
                discovery,
                warm_keys: object.extra.warm_keys,
                machine_types: object.machine_types,
                my_zone,
                fields: object.reporting.fields,
                zones: object.zones,
            },
            file: tunables.clone(),
            tunables,
            classes: Table::of_file(classes),
            tenants: Table::of_file(tenants),
            recorded: HashSet::new(),
        })
    }

    /// What a front end needs of them, as at its start: no class or tenant has been removed yet.
    pub fn deployment(&self) -> Deployment {
        let Fixed { balancers, self_index, my_zone, warm_keys, .. } = self.fixed;
        let pondlb::Limits {
            over_quota_value: excess_value,
            attempt_limits,
            max_retry_after: cool_down,
            drain_grace,
            cold_start: cold,
        } = self.tunables.terms();
        let must_ask_in = ns_to_tenth_millis_floor(self.tunables.rules.must_ask_in_ns);
        let terms = BalancerConfig {
            balancer_count: balancers,
            own_index: self_index,
            own_zone: my_zone,
            list_source: match self.fixed.discovery {
                Discovery::Push => ListSource::Pushed,
                Discovery::Ask => ListSource::Polled { max_poll_interval: must_ask_in },
            },
            classes: self.classes.values().map(|class| class.terms.clone()).collect(),
            tenants: self.tenants.values().map(|tenant| Tenant { quota_rps: tenant.quota_rps }).collect(),
            over_quota_value: excess_value,
            warm_keys,
            max_attempts: attempt_limits.max_attempts,
            hedging: attempt_limits.hedging,
            cancelling: attempt_limits.cancelling,
            probing: self.tunables.limits.probing,
            max_retry_after: cool_down,
            drain_grace,
            cold_start: cold,
        };
        let names = IndexedNames {
            classes: self.classes.values().map(|class| class.wire.name.clone()).collect(),
            zones: self.fixed.zones.clone(),
            kinds: self.fixed.machine_types.clone(),
        };
        Deployment {
            balancer_config: terms,
            names,
            load_report_fields: self.fixed.fields.clone(),
            connection_limits: self.connection_limits(),
        }
    }

    /// Limits of connections as they are now.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let deadlines: Option<Vec<u64>> = self.classes.values().map(|class| class.wire.deadline_ns).collect();
        self.tunables.links(deadlines.and_then(|all| all.into_iter().max()))
    }

    /// What the decisions need of the scalars as they are now.
    pub fn balancer_limits(&self) -> pondlb::Limits {
        self.tunables.terms()
    }

    /// Puts changes by records in force, in their order: all of them or none.
    ///
    /// # Errors
    /// The first [`Fault`], which names its key.
    pub fn apply_records(&mut self, changes: &[SettingChange]) -> Result<AppliedChanges, ConfigError> {
        let changes: Vec<Change> = changes.iter().map(Change::read).collect::<Result<_, ConfigError>>()?;
        self.check_classes(&changes)?;
        let tunables = self.changed_tunables(&changes)?;
        for change in &changes {
            self.note_record(change);
        }
        Ok(self.apply_checked(changes, tunables, false))
    }

    /// What leads from these settings to those of a file, where no record says otherwise.
    pub fn diff_with_file(&self, file: &Settings) -> SettingsDiff {
        let mut changes = Vec::new();
        changes.extend(differences(&self.classes, &file.classes).map(|(n, class)| Change::Class(n, class)));
        changes
            .extend(differences(&self.tenants, &file.tenants).map(|(n, tenant)| Change::Tenant(n, tenant)));
        let in_force: HashMap<_, _> = self.tunables.values().collect();
        let limits = file.tunables.values().filter(|(path, value)| in_force.get(path) != Some(value));
        changes.extend(limits.map(|(path, value)| Change::Limit(path, Some(value))));
        changes.retain(|change| !self.recorded.contains(&change.key()));
        SettingsDiff { changes, file: file.tunables.clone(), restart_keys: self.restart(file) }
    }

    /// Puts what a file changed in force. Its settings were checked when they were read.
    ///
    /// # Errors
    /// A [`Fault`] where the file and the records don't go together.
    pub fn apply_file_diff(&mut self, difference: SettingsDiff) -> Result<AppliedChanges, ConfigError> {
        let SettingsDiff { changes, file, .. } = difference;
        self.check_classes(&changes)?;
        let tunables = self.changed_tunables(&changes)?;
        self.file = file;
        Ok(self.apply_checked(changes, tunables, true))
    }

    fn restart(&self, file: &Settings) -> Vec<&'static str> {
        let (old, new) = (&self.fixed, &file.fixed);
        let changes = [
            ("Balancers", old.balancers != new.balancers),
            ("Discovery", old.discovery != new.discovery),
            ("Extra.WarmKeys", old.warm_keys != new.warm_keys),
            ("Limits.Probing", self.tunables.limits.probing != file.tunables.limits.probing),
            ("MachineTypes", old.machine_types != new.machine_types),
            ("MyZone", old.my_zone != new.my_zone),
            ("Reporting.Fields", old.fields != new.fields),
            ("Rules.MustAskInNs", self.tunables.rules.must_ask_in_ns != file.tunables.rules.must_ask_in_ns),
            ("SelfIndex", old.self_index != new.self_index),
            ("Zones", old.zones != new.zones),
        ];
        changes.into_iter().filter_map(|(key, changed)| changed.then_some(key)).collect()
    }

    /// At least one class must be left.
    fn check_classes(&self, changes: &[Change]) -> Result<(), ConfigError> {
        let mut after = HashMap::new();
        for change in changes {
            if let Change::Class(name, class) = change {
                after.insert(name.as_str(), class.is_some());
            }
        }
        let removed =
            after.iter().filter(|(name, stays)| !**stays && self.classes.get(name).is_some()).count();
        let stays = removed < self.classes.len() || after.values().any(|stays| *stays);
        if stays { Ok(()) } else { Err(NO_CLASSES.into()) }
    }

    fn changed_tunables(&self, changes: &[Change]) -> Result<Option<Tunables>, ConfigError> {
        let limits = changes.iter().filter_map(|change| match change {
            Change::Limit(path, value) => Some((*path, value.clone())),
            _ => None,
        });
        let mut limits = limits.peekable();
        if limits.peek().is_none() {
            return Ok(None);
        }
        let file: HashMap<_, _> = self.file.values().collect();
        let value =
            |path, value: Option<Value>| value.or_else(|| file.get(path).cloned()).unwrap_or_default();
        let changed = self.tunables.with(limits.map(|(path, new)| (path, value(path, new))))?;
        Ok(Some(changed))
    }

    fn note_record(&mut self, change: &Change) {
        let stays = match change {
            Change::Class(name, class) => class.is_some() || self.classes.is_in_file(name),
            Change::Tenant(name, tenant) => tenant.is_some() || self.tenants.is_in_file(name),
            Change::Limit(_, value) => value.is_some(),
        };
        if stays {
            self.recorded.insert(change.key());
        } else {
            self.recorded.remove(&change.key());
        }
    }

    fn apply_checked(
        &mut self,
        changes: Vec<Change>,
        tunables: Option<Tunables>,
        in_file: bool,
    ) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        for change in changes {
            match change {
                Change::Class(name, class) => {
                    let terms = class.as_ref().map(|class| class.terms.clone());
                    let Some(number) = self.classes.set(&name, class, in_file) else { continue };
                    applied.class_indices.push((name, terms.as_ref().map(|_| number)));
                    applied.config_changes.push(ConfigChange::Class { index: number, class: terms });
                    applied.changed_count += 1;
                }
                Change::Tenant(name, tenant) => {
                    let terms = tenant.map(|tenant| Tenant { quota_rps: tenant.quota_rps });
                    let Some(number) = self.tenants.set(&name, tenant, in_file) else { continue };
                    applied.config_changes.push(ConfigChange::Tenant { index: number, tenant: terms });
                    applied.changed_count += 1;
                }
                Change::Limit(..) => {}
            }
        }
        if let Some(tunables) = tunables {
            applied.changed_count +=
                self.tunables.values().zip(tunables.values()).filter(|(a, b)| a != b).count();
            let before = std::mem::replace(&mut self.tunables, tunables);
            if self.tunables.terms() != before.terms() {
                applied.config_changes.push(ConfigChange::Limits(self.tunables.terms()));
            }
        }
        applied
    }
}

/// Names whose values differ, with those of the new table; names that only a record brought are left alone.
fn differences<'a, T: Clone + PartialEq>(
    old: &'a Table<T>,
    new: &'a Table<T>,
) -> impl Iterator<Item = (String, Option<T>)> + 'a {
    let gone = old.names().filter(|name| old.is_in_file(name) && new.get(name).is_none());
    let other = new.names().filter(|name| old.get(name) != new.get(name));
    gone.map(|name| (name.clone(), None)).chain(other.map(|name| (name.clone(), new.get(name).cloned())))
}
