//! Decodes the settings of a deployment for both front ends, the server and the simulator's adapter; applies changes of
//! settings in place; decodes the entries of lists of upstreams.

mod indexed_table;
mod json;
mod scalars;
mod settings;
mod target;

use pondlb::{BalancerConfig, TenthMillis};
pub use settings::{AppliedChanges, ClassIndex, SettingChange, Settings, SettingsDiff, check_change};
pub use target::Target;

/// A message that says what is wrong with the settings or with an upstream's entry, and names the key at fault.
pub type ConfigError = String;

/// The decoded settings, parted by who uses them.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The configuration of the balancer's decisions.
    pub balancer_config: BalancerConfig,
    /// The names behind the indices in `balancer_config`.
    pub names: IndexedNames,
    /// Names of the values in a load report, in the order in which the simulator lists them.
    pub load_report_fields: Vec<String>,
    /// Limits of the connections to upstreams and of open requests.
    pub connection_limits: ConnectionLimits,
}

/// Names of what the decisions refer to by index: the name at position `n` belongs to index `n`.
#[derive(Clone, Debug)]
pub struct IndexedNames {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Zones of upstreams.
    pub zones: Vec<String>,
    /// Machine kinds of upstreams.
    pub kinds: Vec<String>,
}

/// Limits of the connections to upstreams and of open requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// How long connecting to an upstream may take.
    pub connect_timeout: TenthMillis,
    /// How long upstreams keep idle connections open.
    pub upstream_idle_timeout: TenthMillis,
    /// How long a draining upstream still serves requests that were sent to it.
    pub drain_grace: TenthMillis,
    /// How many requests may be open at once.
    pub max_open_requests: u32,
    /// The longest time that a client of any class waits for its answer; `None` if a class does not state it.
    pub max_deadline: Option<TenthMillis>,
}

/// Decodes the settings of a file for a caller that does not change them afterwards.
///
/// # Errors
/// A [`ConfigError`] that names the key.
pub fn decode(json: &str) -> Result<Deployment, ConfigError> {
    Settings::decode(json).map(|settings| settings.deployment())
}
