//! The settings of a deployment: decoded from a file, then changed in place by records or by a reloaded file.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use pondlb::{BalancerConfig, Class, ConfigChange, ListSource, Tenant, ns_to_tenth_millis_floor};
use serde_json::Value;

use crate::indexed_table::IndexedTable;
use crate::json::{ClassJson, DiscoveryJson, NO_CLASSES_ERROR, SettingsJson, TenantJson, parse_json};
use crate::scalars::{IN_PLACE_PATHS, ScalarSettings};
use crate::{ConfigError, ConnectionLimits, Deployment, IndexedNames};

/// A change of one setting, in the form of a record of the control servers.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingChange<'a> {
    /// `class/NAME` for an entry of `Schemes`; `tenant/NAME` for one of `Realms`, where the entries of the file are named
    /// by their index; `limit/PATH` for a scalar, as in `limit/Limits.MaxOpen`.
    pub key: Cow<'a, str>,
    /// The entry or scalar as JSON. `None` removes a class or tenant, and sets a scalar back to the file's value.
    pub value: Option<Cow<'a, str>>,
}

/// What follows from changes of the settings for their users.
#[derive(Debug, Default, PartialEq)]
pub struct AppliedChanges {
    /// Changes of the balancer's configuration, in the order in which it has to apply them.
    pub config_changes: Vec<ConfigChange>,
    /// The classes that were added, changed or removed.
    pub class_indexes: Vec<ClassIndex>,
    /// How many settings have another value than before.
    pub changed_count: usize,
}

/// The index of a class by which requests refer to it in the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassIndex {
    pub name: String,
    /// The index from now on; `None` for a removed class.
    pub index: Option<u32>,
}

/// The difference between the settings in force and those of a reloaded file.
pub struct SettingsDiff {
    changes: Vec<ParsedChange>,
    file_scalars: ScalarSettings,
    /// The keys that differ and whose change takes a restart.
    pub restart_keys: Vec<&'static str>,
}

/// The settings whose change takes a restart, except for the few scalars of which that is true.
#[derive(PartialEq)]
struct FixedSettings {
    balancers: u32,
    self_index: u32,
    discovery: DiscoveryJson,
    warm_keys: bool,
    machine_types: Vec<String>,
    my_zone: u32,
    load_report_fields: Vec<String>,
    zones: Vec<String>,
}

/// A class in the form of the settings and in the one that the decisions use.
#[derive(Clone, PartialEq)]
struct ClassSetting {
    json: ClassJson,
    class: Class,
}

impl ClassSetting {
    /// Errors call the entry `key`.
    fn new(json: ClassJson, key: &str) -> Result<ClassSetting, ConfigError> {
        Ok(ClassSetting { class: json.to_class(key)?, json })
    }
}

/// A change that was parsed, and checked as far as that is possible without other settings.
enum ParsedChange {
    Class { name: String, setting: Option<ClassSetting> },
    Tenant { name: String, tenant: Option<TenantJson> },
    Scalar { path: &'static str, value: Option<Value> },
}

impl ParsedChange {
    fn parse(change: &SettingChange) -> Result<ParsedChange, ConfigError> {
        let (key, value) = (&*change.key, change.value.as_deref());
        let with_key = |error: ConfigError| format!("{key}: {error}");
        if let Some(name) = key.strip_prefix("class/") {
            let json = value.map(parse_json::<ClassJson>).transpose().map_err(with_key)?;
            if let Some(json) = json.as_ref().filter(|json| json.name != name) {
                return Err(format!("{key}.Name: {:?}: must equal the name in the key", json.name));
            }
            let check = |json: ClassJson| json.check(key).and_then(|()| ClassSetting::new(json, key));
            Ok(ParsedChange::Class { name: name.into(), setting: json.map(check).transpose()? })
        } else if let Some(name) = key.strip_prefix("tenant/") {
            let tenant = value.map(parse_json::<TenantJson>).transpose().map_err(with_key)?;
            tenant.map_or(Ok(()), |tenant| tenant.check(key))?;
            Ok(ParsedChange::Tenant { name: name.into(), tenant })
        } else if let Some(path) = key.strip_prefix("limit/") {
            let known = IN_PLACE_PATHS.into_iter().find(|known| *known == path);
            let path = known.ok_or_else(|| format!("{path}: the change takes a restart"))?;
            let value = value.map(parse_json::<Value>).transpose().map_err(with_key)?;
            Ok(ParsedChange::Scalar { path, value })
        } else {
            Err(format!("{key}: class/NAME, tenant/NAME and limit/PATH are accepted"))
        }
    }

    /// The key of the record that makes this change.
    fn record_key(&self) -> String {
        match self {
            ParsedChange::Class { name, .. } => format!("class/{name}"),
            ParsedChange::Tenant { name, .. } => format!("tenant/{name}"),
            ParsedChange::Scalar { path, .. } => format!("limit/{path}"),
        }
    }
}

/// Checks a change as far as that is possible without other settings: for servers that store settings for balancers and
/// don't use them.
///
/// # Errors
/// A [`ConfigError`] that names the key.
pub fn check_change(change: &SettingChange) -> Result<(), ConfigError> {
    match ParsedChange::parse(change)? {
        ParsedChange::Scalar { path, value: Some(value) } => {
            ScalarSettings::valid_placeholder().with_values([(path, value)]).map(|_| ())
        }
        _ => Ok(()),
    }
}

/// The settings in force: those of the file, with the changes made by records since.
pub struct Settings {
    fixed: FixedSettings,
    /// The scalars as the file has them.
    file_scalars: ScalarSettings,
    /// The scalars in force.
    scalars: ScalarSettings,
    classes: IndexedTable<ClassSetting>,
    tenants: IndexedTable<TenantJson>,
    /// Keys that a record has set, or has removed although the file has them. A reloaded file does not change these.
    record_keys: HashSet<String>,
}

impl Settings {
    /// Decodes the settings of a file.
    ///
    /// # Errors
    /// A [`ConfigError`] that names the key.
    pub fn decode(json: &str) -> Result<Settings, ConfigError> {
        let json: SettingsJson = parse_json(json)?;
        json.check()?;
        let SettingsJson { balancers, self_index, discovery, my_zone, .. } = json;
        let scalars = ScalarSettings {
            excess_value: json.excess_value,
            limits: json.limits.clone(),
            rules: json.rules.clone(),
        };
        scalars.check()?;
        json.check_poll_interval()?;
        let class_keys: Vec<String> = (0..json.classes.len()).map(|n| format!("Schemes[{n}]")).collect();
        for (key, class) in class_keys.iter().zip(&json.classes) {
            class.check(key)?;
        }
        for (n, tenant) in json.tenants.iter().enumerate() {
            tenant.check(&format!("Realms[{n}]"))?;
        }
        let mut classes = Vec::with_capacity(json.classes.len());
        for (key, class) in class_keys.iter().zip(json.classes) {
            classes.push((class.name.clone(), ClassSetting::new(class, key)?));
        }
        let tenants = json.tenants.into_iter().enumerate().map(|(n, tenant)| (n.to_string(), tenant));
        Ok(Settings {
            fixed: FixedSettings {
                balancers,
                self_index,
                discovery,
                warm_keys: json.extra.warm_keys,
                machine_types: json.machine_types,
                my_zone,
                load_report_fields: json.reporting.fields,
                zones: json.zones,
            },
            file_scalars: scalars.clone(),
            scalars,
            classes: IndexedTable::from_file(classes),
            tenants: IndexedTable::from_file(tenants),
            record_keys: HashSet::new(),
        })
    }

    /// The settings as a front end needs them at its start. Correct only until a class or tenant is removed, because the
    /// lists here have no gap at the index of a removed one.
    pub fn deployment(&self) -> Deployment {
        let FixedSettings { balancers, self_index, my_zone, warm_keys, .. } = self.fixed;
        let limits = self.scalars.balancer_limits();
        let max_poll_interval = ns_to_tenth_millis_floor(self.scalars.rules.must_ask_in_ns);
        let balancer_config = BalancerConfig {
            balancer_count: balancers,
            own_index: self_index,
            own_zone: my_zone,
            list_source: match self.fixed.discovery {
                DiscoveryJson::Push => ListSource::Pushed,
                DiscoveryJson::Ask => ListSource::Polled { max_poll_interval },
            },
            classes: self.classes.values().map(|setting| setting.class.clone()).collect(),
            tenants: self.tenants.values().map(|tenant| Tenant { quota_rps: tenant.quota_rps }).collect(),
            over_quota_value: limits.over_quota_value,
            warm_keys,
            max_attempts: limits.attempt_limits.max_attempts,
            hedging: limits.attempt_limits.hedging,
            cancelling: limits.attempt_limits.cancelling,
            probing: self.scalars.limits.probing,
            max_retry_after: limits.max_retry_after,
            drain_grace: limits.drain_grace,
            cold_start: limits.cold_start,
        };
        let names = IndexedNames {
            classes: self.classes.values().map(|setting| setting.json.name.clone()).collect(),
            zones: self.fixed.zones.clone(),
            kinds: self.fixed.machine_types.clone(),
        };
        Deployment {
            balancer_config,
            names,
            load_report_fields: self.fixed.load_report_fields.clone(),
            connection_limits: self.connection_limits(),
        }
    }

    /// The limits of connections that are in force.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let deadlines_ns: Option<Vec<u64>> =
            self.classes.values().map(|setting| setting.json.deadline_ns).collect();
        self.scalars.connection_limits(deadlines_ns.and_then(|all| all.into_iter().max()))
    }

    /// The limits in force that the balancer's decisions use.
    pub fn balancer_limits(&self) -> pondlb::Limits {
        self.scalars.balancer_limits()
    }

    /// Applies changes by records in their order: all of them, or none if one is faulty.
    ///
    /// # Errors
    /// The first [`ConfigError`], which names its key.
    pub fn apply_records(&mut self, changes: &[SettingChange]) -> Result<AppliedChanges, ConfigError> {
        let changes: Vec<ParsedChange> =
            changes.iter().map(ParsedChange::parse).collect::<Result<_, ConfigError>>()?;
        self.check_class_remains(&changes)?;
        let scalars = self.changed_scalars(&changes)?;
        for change in &changes {
            self.track_record(change);
        }
        Ok(self.apply_checked(changes, scalars, false))
    }

    /// The changes that lead from these settings to those of a reloaded file, without those of keys that a record has
    /// set or removed.
    pub fn diff_with_file(&self, file: &Settings) -> SettingsDiff {
        let classes = table_diff(&self.classes, &file.classes);
        let tenants = table_diff(&self.tenants, &file.tenants);
        let in_force: HashMap<_, _> = self.scalars.in_place_values().collect();
        let scalars = file.scalars.in_place_values();
        let scalars = scalars.filter(|(path, value)| in_force.get(path) != Some(value));
        let mut changes = Vec::new();
        changes.extend(classes.map(|(name, setting)| ParsedChange::Class { name, setting }));
        changes.extend(tenants.map(|(name, tenant)| ParsedChange::Tenant { name, tenant }));
        changes.extend(scalars.map(|(path, value)| ParsedChange::Scalar { path, value: Some(value) }));
        changes.retain(|change| !self.record_keys.contains(&change.record_key()));
        SettingsDiff {
            changes,
            file_scalars: file.scalars.clone(),
            restart_keys: self.keys_that_take_a_restart(file),
        }
    }

    /// Applies the changes of a reloaded file, whose settings were checked when they were decoded.
    ///
    /// # Errors
    /// A [`ConfigError`] if the file and the records contradict each other.
    pub fn apply_file_diff(&mut self, diff: SettingsDiff) -> Result<AppliedChanges, ConfigError> {
        let SettingsDiff { changes, file_scalars, .. } = diff;
        self.check_class_remains(&changes)?;
        let scalars = self.changed_scalars(&changes)?;
        self.file_scalars = file_scalars;
        Ok(self.apply_checked(changes, scalars, true))
    }

    fn keys_that_take_a_restart(&self, file: &Settings) -> Vec<&'static str> {
        let (old, new) = (&self.fixed, &file.fixed);
        let (old_scalars, new_scalars) = (&self.scalars, &file.scalars);
        let changes = [
            ("Balancers", old.balancers != new.balancers),
            ("Discovery", old.discovery != new.discovery),
            ("Extra.WarmKeys", old.warm_keys != new.warm_keys),
            ("Limits.Probing", old_scalars.limits.probing != new_scalars.limits.probing),
            ("MachineTypes", old.machine_types != new.machine_types),
            ("MyZone", old.my_zone != new.my_zone),
            ("Reporting.Fields", old.load_report_fields != new.load_report_fields),
            ("Rules.MustAskInNs", old_scalars.rules.must_ask_in_ns != new_scalars.rules.must_ask_in_ns),
            ("SelfIndex", old.self_index != new.self_index),
            ("Zones", old.zones != new.zones),
        ];
        changes.into_iter().filter_map(|(key, changed)| changed.then_some(key)).collect()
    }

    /// Refuses changes after which there would be no class.
    fn check_class_remains(&self, changes: &[ParsedChange]) -> Result<(), ConfigError> {
        let mut is_set_by_name = HashMap::new();
        for change in changes {
            if let ParsedChange::Class { name, setting } = change {
                is_set_by_name.insert(name.as_str(), setting.is_some());
            }
        }
        let is_removal = |name: &str, is_set: bool| !is_set && self.classes.get(name).is_some();
        let removed = is_set_by_name.iter().filter(|(name, is_set)| is_removal(name, **is_set)).count();
        let class_remains = removed < self.classes.len() || is_set_by_name.values().any(|is_set| *is_set);
        if class_remains { Ok(()) } else { Err(NO_CLASSES_ERROR.into()) }
    }

    /// The scalars after the changes, checked; `None` if no change is one of a scalar.
    fn changed_scalars(&self, changes: &[ParsedChange]) -> Result<Option<ScalarSettings>, ConfigError> {
        let scalar_changes = changes.iter().filter_map(|change| match change {
            ParsedChange::Scalar { path, value } => Some((*path, value.clone())),
            _ => None,
        });
        let mut scalar_changes = scalar_changes.peekable();
        if scalar_changes.peek().is_none() {
            return Ok(None);
        }
        let file_values: HashMap<_, _> = self.file_scalars.in_place_values().collect();
        let value_or_file =
            |path, value: Option<Value>| value.or_else(|| file_values.get(path).cloned()).unwrap_or_default();
        let values = scalar_changes.map(|(path, value)| (path, value_or_file(path, value)));
        self.scalars.with_values(values).map(Some)
    }

    /// Keeps track of the keys that the file does not change any more, or does again, after the change by a record.
    fn track_record(&mut self, change: &ParsedChange) {
        let overrides_file = match change {
            ParsedChange::Class { name, setting } => setting.is_some() || self.classes.is_in_file(name),
            ParsedChange::Tenant { name, tenant } => tenant.is_some() || self.tenants.is_in_file(name),
            ParsedChange::Scalar { value, .. } => value.is_some(),
        };
        if overrides_file {
            self.record_keys.insert(change.record_key());
        } else {
            self.record_keys.remove(&change.record_key());
        }
    }

    fn apply_checked(
        &mut self,
        changes: Vec<ParsedChange>,
        scalars: Option<ScalarSettings>,
        in_file: bool,
    ) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        for change in changes {
            match change {
                ParsedChange::Class { name, setting } => {
                    let class = setting.as_ref().map(|setting| setting.class.clone());
                    let Some(index) = self.classes.set(&name, setting, in_file) else { continue };
                    let class_index = class.as_ref().map(|_| index);
                    applied.class_indexes.push(ClassIndex { name, index: class_index });
                    applied.config_changes.push(ConfigChange::Class { index, class });
                    applied.changed_count += 1;
                }
                ParsedChange::Tenant { name, tenant } => {
                    let config = tenant.map(|tenant| Tenant { quota_rps: tenant.quota_rps });
                    let Some(index) = self.tenants.set(&name, tenant, in_file) else { continue };
                    applied.config_changes.push(ConfigChange::Tenant { index, tenant: config });
                    applied.changed_count += 1;
                }
                // `scalars` has all of these.
                ParsedChange::Scalar { .. } => {}
            }
        }
        if let Some(scalars) = scalars {
            let old_and_new = self.scalars.in_place_values().zip(scalars.in_place_values());
            applied.changed_count += old_and_new.filter(|(old, new)| old != new).count();
            let before = std::mem::replace(&mut self.scalars, scalars);
            if self.scalars.balancer_limits() != before.balancer_limits() {
                applied.config_changes.push(ConfigChange::Limits(self.scalars.balancer_limits()));
            }
        }
        applied
    }
}

/// The names whose values differ, with the value in `new`, or `None` for a name that `new` does not have. Names that only
/// records added to `old` are left out.
fn table_diff<'a, T: Clone + PartialEq>(
    old: &'a IndexedTable<T>,
    new: &'a IndexedTable<T>,
) -> impl Iterator<Item = (String, Option<T>)> + 'a {
    let removed = old.names().filter(|name| old.is_in_file(name) && new.get(name).is_none());
    let changed = new.names().filter(|name| old.get(name) != new.get(name));
    let removed = removed.map(|name| (name.clone(), None));
    removed.chain(changed.map(|name| (name.clone(), new.get(name).cloned())))
}
