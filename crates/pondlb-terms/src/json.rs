//! The JSON form of the settings. Keys that no type here has are skipped.

use pondlb::{Class, DedupScope, Effect, ns_to_tenth_millis_floor};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::ConfigError;

/// The error for settings that have no class.
pub const NO_CLASSES_ERROR: &str = "Schemes is empty";

/// The shortest and longest interval between polls of discovery that the settings may ask for: 100 ms and one day.
const MIN_POLL_INTERVAL_NS: f64 = 100_000_000.0;
const MAX_POLL_INTERVAL_NS: f64 = 86_400_000_000_000.0;

/// All settings.
#[derive(Deserialize)]
#[serde(expecting = "a JSON object", rename_all = "PascalCase")]
pub struct SettingsJson {
    /// The number of balancers.
    pub balancers: u32,
    /// This balancer's index among them.
    pub self_index: u32,
    #[serde(rename = "Schemes")]
    pub classes: Vec<ClassJson>,
    pub discovery: DiscoveryJson,
    /// The value of a request above its tenant's quota, as a fraction of what it would have within the quota.
    pub excess_value: f64,
    #[serde(default)]
    pub extra: ExtraJson,
    pub limits: LimitsJson,
    /// Names of machine kinds, by index.
    pub machine_types: Vec<String>,
    /// The index in `zones` of this balancer's zone.
    pub my_zone: u32,
    pub reporting: ReportingJson,
    pub rules: RulesJson,
    #[serde(default)]
    #[serde(rename = "Realms")]
    pub tenants: Vec<TenantJson>,
    /// Names of zones, by index.
    pub zones: Vec<String>,
}

/// An entry of `Schemes`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(expecting = "a JSON object", rename_all = "PascalCase")]
pub struct ClassJson {
    pub sla_time_ns: u64,
    pub effect: EffectJson,
    /// Required for deduplicated effects, as is `key_ttl_ns`.
    pub dedup_scope: Option<DedupScopeJson>,
    /// How long a client waits for its answer.
    #[serde(rename = "ExpiryNs")]
    pub deadline_ns: Option<u64>,
    /// How long upstreams remember the key of a request whose effect is deduplicated.
    pub key_ttl_ns: Option<u64>,
    /// The value of a late answer, as a fraction. No decision uses it; it is checked because an entry in which it is
    /// wrong is likely to be wrong elsewhere too.
    pub late_value: Option<f64>,
    pub name: String,
    /// The value of an answer, relative to other classes.
    pub value: f64,
}

/// What happens when a request is sent twice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum EffectJson {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// The upstreams among which a repeated request is recognized by its key.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum DedupScopeJson {
    All,
    Zone,
    Cell,
}

/// Whether discovery pushes changes of the list of upstreams or has to be polled.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryJson {
    Push,
    Ask,
}

#[derive(Default, Deserialize)]
#[serde(expecting = "a JSON object", rename_all = "PascalCase", default)]
pub struct ExtraJson {
    /// Whether a request costs an upstream less if it served the same key recently.
    pub warm_keys: bool,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(expecting = "a JSON object", rename_all = "PascalCase")]
pub struct LimitsJson {
    /// Whether attempts that are still outstanding are cancelled once their request has ended.
    pub cancelling: bool,
    /// How long upstreams keep idle connections open.
    pub conn_idle_ns: u64,
    /// How long connecting to an upstream may take.
    pub dial_timeout_ns: u64,
    /// How many requests may be open at once.
    pub max_open: u32,
    /// The number of attempts that a request may take.
    #[serde(rename = "MaxPostings")]
    pub max_attempts: u32,
    /// Whether upstreams may be probed for their load.
    #[serde(default)]
    pub probing: bool,
    /// The longest retry advice that clients follow.
    pub max_retry_after_ns: u64,
    /// Whether rejections advise clients when to retry.
    pub retry_after: bool,
    /// Whether two attempts of a request may be outstanding at once.
    #[serde(rename = "SecondCopies")]
    pub hedging: bool,
}

#[derive(Deserialize)]
#[serde(expecting = "a JSON object", rename_all = "PascalCase")]
pub struct ReportingJson {
    /// Names of the values in a load report, in their order.
    #[serde(default)]
    pub fields: Vec<String>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(expecting = "a JSON object", rename_all = "PascalCase")]
pub struct RulesJson {
    /// The share of its full capacity that an upstream has when it starts.
    pub cold_share: f64,
    /// How long a draining upstream still serves requests that were sent to it.
    pub drain_grace_ns: u64,
    /// The load, as a multiple of its present capacity, under which a cold upstream collapses after `fall_ns`.
    pub fall_multiple: f64,
    pub fall_ns: u64,
    /// The longest interval between polls of discovery; used only with `DiscoveryJson::Ask`.
    #[serde(default)]
    pub must_ask_in_ns: u64,
    /// How long an upstream takes from its start to its full capacity.
    pub warm_within_ns: u64,
}

/// An entry of `Realms`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(expecting = "a JSON object", rename_all = "PascalCase")]
pub struct TenantJson {
    /// Requests per second within the tenant's quota, over all balancers.
    pub quota_rps: f64,
}

/// Parses the whole of a text. The error names the key.
pub fn parse_json<T: DeserializeOwned>(json: &str) -> Result<T, ConfigError> {
    // Tracking the key is slower than parsing without it and only needed for the error message.
    serde_json::from_str(json).or_else(|_| parse_json_tracking_key(json))
}

fn parse_json_tracking_key<T: DeserializeOwned>(json: &str) -> Result<T, ConfigError> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())?;
    reader.end().map_err(|e| e.to_string())?;
    Ok(value)
}

/// Checks that a value lies between two limits, both included.
pub fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), ConfigError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(format!("{key}: {value}: {min} to {max} are accepted"))
}

impl SettingsJson {
    /// Checks what describes the deployment. Classes, tenants and scalars have checks of their own.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.classes.is_empty() {
            return Err(NO_CLASSES_ERROR.into());
        }
        let balancers = f64::from(self.balancers);
        check_range("Balancers", balancers, 1.0, u32::MAX.into())?;
        check_range("SelfIndex", self.self_index.into(), 0.0, balancers - 1.0)?;
        check_range("MyZone", self.my_zone.into(), 0.0, (self.zones.len() as f64 - 1.0).max(0.0))?;
        Ok(())
    }

    /// Checks the interval between polls if discovery has to be polled.
    pub fn check_poll_interval(&self) -> Result<(), ConfigError> {
        if self.discovery != DiscoveryJson::Ask {
            return Ok(());
        }
        let interval_ns = self.rules.must_ask_in_ns as f64;
        check_range("Rules.MustAskInNs", interval_ns, MIN_POLL_INTERVAL_NS, MAX_POLL_INTERVAL_NS)
    }
}

impl ClassJson {
    /// Converts to the form that the decisions use. Errors call the entry `key`.
    pub fn to_class(&self, key: &str) -> Result<Class, ConfigError> {
        let missing = |field| format!("{key}.{field} is missing, though the scheme is deduplicated");
        let effect = match self.effect {
            EffectJson::Idempotent => Effect::Idempotent,
            EffectJson::AtMostOnce => Effect::NonIdempotent,
            EffectJson::Deduplicated => Effect::Keyed {
                scope: match self.dedup_scope.ok_or_else(|| missing("DedupScope"))? {
                    DedupScopeJson::All => DedupScope::All,
                    DedupScopeJson::Zone => DedupScope::Zone,
                    DedupScopeJson::Cell => DedupScope::Cell,
                },
                key_ttl: ns_to_tenth_millis_floor(self.key_ttl_ns.ok_or_else(|| missing("KeyTtlNs"))?),
            },
        };
        Ok(Class { sla_time: ns_to_tenth_millis_floor(self.sla_time_ns), value: self.value, effect })
    }

    pub fn check(&self, key: &str) -> Result<(), ConfigError> {
        check_range(&format!("{key}.Value"), self.value, 0.0, f64::MAX)?;
        check_range(&format!("{key}.LateValue"), self.late_value.unwrap_or(0.0), 0.0, 1.0)
    }
}

impl TenantJson {
    pub fn check(&self, key: &str) -> Result<(), ConfigError> {
        check_range(&format!("{key}.QuotaRps"), self.quota_rps, 0.0, f64::MAX)
    }
}
