//! An upstream's entry, as discovery and control servers send it.

use std::net::SocketAddr;

use pondlb::Stage;
use serde::{Deserialize, Deserializer};

use crate::ConfigError;
use crate::json::parse_json;

/// One entry of a list of upstreams.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// The upstream's name.
    #[serde(rename = "uid")]
    pub upstream: String,
    /// The address it listens on.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(rename = "az")]
    pub zone: String,
    /// The name of its machine kind.
    #[serde(rename = "model")]
    pub kind: String,
    /// The number of its cell.
    #[serde(rename = "pod_group", default)]
    pub cell: u32,
    /// Whether it accepts requests.
    #[serde(rename = "state", deserialize_with = "deserialize_stage")]
    pub stage: Stage,
    /// Its capacity relative to other upstreams.
    #[serde(rename = "capacity_hint")]
    pub capacity: f64,
    /// When it started, in milliseconds of Unix time; 0 if that is long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_unix_ms: u64,
}

/// The values of the key `state`.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateJson {
    Active,
    Leaving,
    Left,
}

fn deserialize_stage<'de, D: Deserializer<'de>>(state: D) -> Result<Stage, D::Error> {
    Ok(match StateJson::deserialize(state)? {
        StateJson::Active => Stage::Live,
        StateJson::Leaving => Stage::Draining,
        StateJson::Left => Stage::Gone,
    })
}

impl Target {
    /// Decodes the record of the upstream `name`.
    ///
    /// # Errors
    /// A [`ConfigError`] that names the key.
    pub fn from_record(name: &str, json: &str) -> Result<Target, ConfigError> {
        let target: Target = parse_json(json)?;
        if target.upstream != name {
            return Err(format!("uid: {:?}: must equal the record's name", target.upstream));
        }
        if !target.has_valid_capacity() {
            return Err("capacity_hint is not a finite, non-negative number".into());
        }
        Ok(target)
    }

    /// Whether the capacity is finite and not negative.
    pub fn has_valid_capacity(&self) -> bool {
        self.capacity.is_finite() && self.capacity >= 0.0
    }
}
