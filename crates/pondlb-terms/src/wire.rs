//! The settings as their JSON has them. Keys that are not named here are skipped, known or not.

use pondlb::{Class, DedupScope, Effect, ns_to_tenth_millis_floor};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::ConfigError;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Object {
    pub balancers: u32,
    pub self_index: u32,
    #[serde(rename = "Schemes")]
    pub classes: Vec<WireClass>,
    pub discovery: Discovery,
    pub excess_value: f64,
    #[serde(default)]
    pub extra: Extra,
    pub limits: Limits,
    pub machine_types: Vec<String>,
    pub my_zone: u32,
    pub reporting: Reporting,
    pub rules: Rules,
    #[serde(default)]
    #[serde(rename = "Realms")]
    pub tenants: Vec<WireTenant>,
    pub zones: Vec<String>,
}

/// An entry of `Schemes`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
// Messages about faulty settings go on naming it as before.
#[serde(expecting = "struct WireScheme", rename_all = "PascalCase")]
pub struct WireClass {
    pub sla_time_ns: u64,
    pub effect: WireEffect,
    pub dedup_scope: Option<WireScope>,
    #[serde(rename = "ExpiryNs")]
    pub deadline_ns: Option<u64>,
    pub key_ttl_ns: Option<u64>,
    /// Nothing is decided by it, yet who gets it wrong will have got the rest of the entry wrong too.
    pub late_value: Option<f64>,
    pub name: String,
    pub value: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum WireEffect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum WireScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Discovery {
    Push,
    Ask,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Extra {
    pub warm_keys: bool,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    pub cancelling: bool,
    pub conn_idle_ns: u64,
    pub dial_timeout_ns: u64,
    pub max_open: u32,
    #[serde(rename = "MaxPostings")]
    pub max_attempts: u32,
    #[serde(default)]
    pub probing: bool,
    pub max_retry_after_ns: u64,
    pub retry_after: bool,
    #[serde(rename = "SecondCopies")]
    pub hedging: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Reporting {
    #[serde(default)]
    pub fields: Vec<String>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Rules {
    pub cold_share: f64,
    pub drain_grace_ns: u64,
    pub fall_multiple: f64,
    pub fall_ns: u64,
    #[serde(default)]
    pub must_ask_in_ns: u64,
    pub warm_within_ns: u64,
}

/// An entry of `Realms`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
// Messages about faulty settings go on naming it as before.
#[serde(expecting = "struct Realm", rename_all = "PascalCase")]
pub struct WireTenant {
    pub quota_rps: f64,
}

/// Reads the whole of a text; a fault names the key.
pub fn read<T: DeserializeOwned>(json: &str) -> Result<T, ConfigError> {
    // Keeping track of the key takes longer than reading, and only what can't be read needs it.
    serde_json::from_str(json).or_else(|_| read_tracked(json))
}

fn read_tracked<T: DeserializeOwned>(json: &str) -> Result<T, ConfigError> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())?;
    reader.end().map_err(|e| e.to_string())?;
    Ok(value)
}

/// What can be read and yet can't be true is a fault.
pub fn within(key: &str, value: f64, least: f64, most: f64) -> Result<(), ConfigError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(format!("{key}: {value}: {least} to {most} are accepted"))
}

impl Object {
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.classes.is_empty() {
            return Err(NO_CLASSES.into());
        }
        let balancers = f64::from(self.balancers);
        within("Balancers", balancers, 1.0, u32::MAX.into())?;
        within("SelfIndex", self.self_index.into(), 0.0, balancers - 1.0)?;
        within("MyZone", self.my_zone.into(), 0.0, (self.zones.len() as f64 - 1.0).max(0.0))?;
        Ok(())
    }

    /// How long discovery may be left unasked, where it has to be asked.
    pub fn check_asking(&self) -> Result<(), ConfigError> {
        if self.discovery != Discovery::Ask {
            return Ok(());
        }
        let (least, most) = (100_000_000.0, 86_400_000_000_000.0);
        within("Rules.MustAskInNs", self.rules.must_ask_in_ns as f64, least, most)
    }
}

/// The fault of settings without a class.
pub const NO_CLASSES: &str = "Schemes is empty";

impl WireClass {
    /// The class that the decisions know. `key` is what faults call the entry.
    pub fn class(&self, key: &str) -> Result<Class, ConfigError> {
        let lacks = |field| format!("{key}.{field} is missing, though the scheme is deduplicated");
        let effect = match self.effect {
            WireEffect::Idempotent => Effect::Idempotent,
            WireEffect::AtMostOnce => Effect::NonIdempotent,
            WireEffect::Deduplicated => Effect::Keyed {
                scope: match self.dedup_scope.ok_or_else(|| lacks("DedupScope"))? {
                    WireScope::All => DedupScope::All,
                    WireScope::Zone => DedupScope::Zone,
                    WireScope::Cell => DedupScope::Cell,
                },
                key_ttl: ns_to_tenth_millis_floor(self.key_ttl_ns.ok_or_else(|| lacks("KeyTtlNs"))?),
            },
        };
        Ok(Class { sla_time: ns_to_tenth_millis_floor(self.sla_time_ns), value: self.value, effect })
    }

    pub fn check(&self, key: &str) -> Result<(), ConfigError> {
        within(&format!("{key}.Value"), self.value, 0.0, f64::MAX)?;
        within(&format!("{key}.LateValue"), self.late_value.unwrap_or(0.0), 0.0, 1.0)
    }
}

impl WireTenant {
    pub fn check(&self, key: &str) -> Result<(), ConfigError> {
        within(&format!("{key}.QuotaRps"), self.quota_rps, 0.0, f64::MAX)
    }
}
