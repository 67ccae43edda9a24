//! The settings of a deployment, as both front ends are given them, their changes in place, and entries of lists of
//! upstreams.

mod settings;
mod table;
mod tunable;
mod upstream;
mod wire;

use pondlb::{BalancerConfig, TenthMillis};
pub use settings::{Applied, Difference, SettingChange, Settings, check};
pub use upstream::Target;

/// What is wrong with the settings, in plain words that name the key.
pub type Fault = String;

/// What a front end needs of the settings: the terms of the decisions, and what the wire is read by.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The terms of the decisions.
    pub terms: BalancerConfig,
    /// What indices stand for.
    pub names: Names,
    /// The values of a load report, in the order in which the simulator lists them.
    pub report: Vec<String>,
    /// Limits of connections.
    pub links: Links,
}

/// What indices stand for, in their order.
#[derive(Clone, Debug)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Zones of upstreams.
    pub zones: Vec<String>,
    /// Machine types of upstreams.
    pub kinds: Vec<String>,
}

/// Limits of the connections to upstreams, and of what may be open at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Links {
    /// How long a connection may take to be made.
    pub connect_within: TenthMillis,
    /// How long upstreams keep idle connections.
    pub idle: TenthMillis,
    /// How long a draining upstream still takes what was sent to it.
    pub drain_grace: TenthMillis,
    /// Requests that may be open at once.
    pub most_open: u32,
    /// The longest that a client waits for its answer; none where a class does not say.
    pub longest_deadline: Option<TenthMillis>,
}

/// Reads the settings of a file for who does not change them.
///
/// # Errors
/// A [`Fault`] that names the key.
pub fn decode(json: &str) -> Result<Deployment, Fault> {
    Settings::decode(json).map(|settings| settings.deployment())
}
