//! The scalars of the settings that can change in place.

use pondlb::{
    AttemptLimits, ColdStart, Limits as TermsLimits, ns_to_tenth_millis_ceil, ns_to_tenth_millis_floor,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::wire::{Limits, Rules, within};
use crate::{ConfigError, ConnectionLimits};

/// The paths of the keys that can change without a restart.
pub const IN_PLACE: [&str; 14] = [
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

/// All scalars beside classes and tenants, among them the few that take a restart.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Tunables {
    pub excess_value: f64,
    pub limits: Limits,
    pub rules: Rules,
}

impl Tunables {
    /// Values that stand for no deployment and yet pass the check.
    pub fn neutral() -> Tunables {
        let limits = Limits { max_attempts: 1, ..Limits::default() };
        Tunables { limits, ..Tunables::default() }
    }

    pub fn check(&self) -> Result<(), ConfigError> {
        within("ExcessValue", self.excess_value, 0.0, 1.0)?;
        within("Limits.MaxPostings", self.limits.max_attempts.into(), 1.0, u32::MAX.into())?;
        within("Rules.ColdShare", self.rules.cold_share, 0.0, 1.0)?;
        within("Rules.FallMultiple", self.rules.fall_multiple, 0.0, f64::MAX)
    }

    /// The same with other values under some paths, checked.
    pub fn with<'a>(
        &self,
        values: impl IntoIterator<Item = (&'a str, Value)>,
    ) -> Result<Tunables, ConfigError> {
        let mut json = serde_json::to_value(self).map_err(|e| e.to_string())?;
        for (path, value) in values {
            if let Some(place) = json.pointer_mut(&pointer(path)) {
                *place = value;
            }
        }
        let changed: Tunables = serde_path_to_error::deserialize(json).map_err(|e| e.to_string())?;
        changed.check()?;
        Ok(changed)
    }

    /// The values under the paths that can change in place.
    pub fn values(&self) -> impl Iterator<Item = (&'static str, Value)> {
        let json = serde_json::to_value(self).unwrap_or_default();
        IN_PLACE.into_iter().filter_map(move |path| Some((path, json.pointer(&pointer(path))?.clone())))
    }

    /// What the decisions need of them.
    pub fn terms(&self) -> TermsLimits {
        let Tunables { excess_value, limits, rules } = self;
        TermsLimits {
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

    /// What connections need of them; `longest_deadline_ns` is the longest of all classes.
    pub fn links(&self, longest_deadline_ns: Option<u64>) -> ConnectionLimits {
        let Tunables { limits, rules, .. } = self;
        ConnectionLimits {
            connect_timeout: ns_to_tenth_millis_floor(limits.dial_timeout_ns),
            upstream_idle_timeout: ns_to_tenth_millis_floor(limits.conn_idle_ns),
            drain_grace: ns_to_tenth_millis_floor(rules.drain_grace_ns),
            max_open_requests: limits.max_open,
            max_deadline: longest_deadline_ns.map(ns_to_tenth_millis_ceil),
        }
    }
}

/// The JSON pointer of a path: `/Limits/MaxOpen` for `Limits.MaxOpen`.
fn pointer(path: &str) -> String {
    format!("/{}", path.replace('.', "/"))
}
