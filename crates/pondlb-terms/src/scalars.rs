//! The scalar settings: everything except classes, tenants and the description of the deployment.

use pondlb::{AttemptLimits, ColdStart, Limits, ns_to_tenth_millis_ceil, ns_to_tenth_millis_floor};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::json::{LimitsJson, RulesJson, check_range};
use crate::{ConfigError, ConnectionLimits};

/// The paths of the keys that can change without a restart.
pub const IN_PLACE_PATHS: [&str; 14] = [
    "ExcessValue",
    "Limits.Cancelling",
    "Limits.ConnIdleNs",
    "Limits.DialTimeoutNs",
    "Limits.MaxOpen",
    "Limits.MaxPostings",
    "Limits.MaxRetryAfterNs",
    "Limits.RetryAfter",
    "Limits.SecondCopies",
    "Rules.ColdShare",
    "Rules.DrainGraceNs",
    "Rules.FallMultiple",
    "Rules.FallNs",
    "Rules.WarmWithinNs",
];

/// The scalar settings under their keys in the file. Those outside [`IN_PLACE_PATHS`] change with a restart only.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ScalarSettings {
    pub excess_value: f64,
    pub limits: LimitsJson,
    pub rules: RulesJson,
}

impl ScalarSettings {
    /// Values that pass [`ScalarSettings::check`], for checking a single change without a deployment's settings.
    pub fn valid_placeholder() -> ScalarSettings {
        let limits = LimitsJson { max_attempts: 1, ..LimitsJson::default() };
        ScalarSettings { limits, ..ScalarSettings::default() }
    }

    pub fn check(&self) -> Result<(), ConfigError> {
        check_range("ExcessValue", self.excess_value, 0.0, 1.0)?;
        check_range("Limits.MaxPostings", self.limits.max_attempts.into(), 1.0, u32::MAX.into())?;
        check_range("Rules.ColdShare", self.rules.cold_share, 0.0, 1.0)?;
        check_range("Rules.FallMultiple", self.rules.fall_multiple, 0.0, f64::MAX)
    }

    /// Returns a copy in which each of the paths has the value beside it, and checks it.
    pub fn with_values<'a>(
        &self,
        values: impl IntoIterator<Item = (&'a str, Value)>,
    ) -> Result<ScalarSettings, ConfigError> {
        let mut json = serde_json::to_value(self).map_err(|e| e.to_string())?;
        for (path, value) in values {
            if let Some(slot) = json.pointer_mut(&json_pointer(path)) {
                *slot = value;
            }
        }
        let changed: ScalarSettings = serde_path_to_error::deserialize(json).map_err(|e| e.to_string())?;
        changed.check()?;
        Ok(changed)
    }

    /// The values at [`IN_PLACE_PATHS`].
    pub fn in_place_values(&self) -> impl Iterator<Item = (&'static str, Value)> {
        let json = serde_json::to_value(self).unwrap_or_default();
        let value_at = move |path| json.pointer(&json_pointer(path)).cloned();
        IN_PLACE_PATHS.into_iter().filter_map(move |path| Some((path, value_at(path)?)))
    }

    /// The part that the balancer's decisions use.
    pub fn balancer_limits(&self) -> Limits {
        let ScalarSettings { excess_value, limits, rules } = self;
        Limits {
            over_quota_value: *excess_value,
            attempt_limits: AttemptLimits {
                max_attempts: limits.max_attempts,
                hedging: limits.hedging,
                cancelling: limits.cancelling,
            },
            max_retry_after: limits.retry_after.then(|| ns_to_tenth_millis_floor(limits.max_retry_after_ns)),
            drain_grace: ns_to_tenth_millis_floor(rules.drain_grace_ns),
            cold_start: ColdStart {
                initial_capacity_share: rules.cold_share,
                warm_up_time: ns_to_tenth_millis_ceil(rules.warm_within_ns),
                collapse_load_factor: rules.fall_multiple,
                collapse_window: ns_to_tenth_millis_ceil(rules.fall_ns),
            },
        }
    }

    /// The part that connections use; `max_deadline_ns` is the longest deadline of all classes.
    pub fn connection_limits(&self, max_deadline_ns: Option<u64>) -> ConnectionLimits {
        let ScalarSettings { limits, rules, .. } = self;
        ConnectionLimits {
            connect_timeout: ns_to_tenth_millis_floor(limits.dial_timeout_ns),
            upstream_idle_timeout: ns_to_tenth_millis_floor(limits.conn_idle_ns),
            drain_grace: ns_to_tenth_millis_floor(rules.drain_grace_ns),
            max_open_requests: limits.max_open,
            max_deadline: max_deadline_ns.map(ns_to_tenth_millis_ceil),
        }
    }
}

/// The JSON pointer of a path: `/Limits/MaxOpen` for `Limits.MaxOpen`.
fn json_pointer(path: &str) -> String {
    format!("/{}", path.replace('.', "/"))
}
