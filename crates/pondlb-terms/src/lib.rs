//! The settings of a deployment, as both front ends are given them, their changes in place, and entries of lists of
//! upstreams.

mod settings;
mod table;
mod tunable;
mod upstream;
mod wire;

use pondlb::{BalancerConfig, TenthMillis};
pub use settings::{AppliedChanges, SettingChange, Settings, SettingsDiff, check_change};
pub use upstream::Target;

/// What is wrong with the settings, in plain words that name the key.
pub type ConfigError = String;

/// What a front end needs of the settings: the terms of the decisions, and what the wire is read by.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The terms of the decisions.
    pub balancer_config: BalancerConfig,
    /// What indices stand for.
    pub names: IndexedNames,
    /// The values of a load report, in the order in which the simulator lists them.
    pub load_report_fields: Vec<String>,
    /// Limits of connections.
    pub connection_limits: ConnectionLimits,
}

/// What indices stand for, in their order.
#[derive(Clone, Debug)]
pub struct IndexedNames {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Zones of upstreams.
    pub zones: Vec<String>,
    /// Machine types of upstreams.
    pub kinds: Vec<String>,
}

/// Limits of the connections to upstreams, and of what may be open at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// How long a connection may take to be made.
    pub connect_timeout: TenthMillis,
    /// How long upstreams keep idle connections.
    pub upstream_idle_timeout: TenthMillis,
    /// How long a draining upstream still takes what was sent to it.
    pub drain_grace: TenthMillis,
    /// Requests that may be open at once.
    pub max_open_requests: u32,
    /// The longest that a client waits for its answer; none where a class does not say.
    pub max_deadline: Option<TenthMillis>,
}

/// Reads the settings of a file for who does not change them.
///
/// # Errors
/// A [`Fault`] that names the key.
pub fn decode(json: &str) -> Result<Deployment, ConfigError> {
    Settings::decode(json).map(|settings| settings.deployment())
}
