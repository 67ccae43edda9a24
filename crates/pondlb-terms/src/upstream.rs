//! An entry of a list of upstreams, as discovery and control servers give it.

use std::net::SocketAddr;

use pondlb::Stage;
use serde::{Deserialize, Deserializer};

use crate::ConfigError;
use crate::wire::read;

/// One upstream of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its name.
    #[serde(rename = "uid")]
    pub upstream: String,
    /// Where it listens.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Name of its zone.
    #[serde(rename = "az")]
    pub zone: String,
    /// Name of its machine kind.
    #[serde(rename = "model")]
    pub kind: String,
    /// Number of its cell.
    #[serde(rename = "pod_group", default)]
    pub cell: u32,
    /// Whether it takes requests.
    #[serde(rename = "state", deserialize_with = "stage")]
    pub stage: Stage,
    /// How much it takes, relative to others.
    #[serde(rename = "capacity_hint")]
    pub capacity: f64,
    /// Unix time in milliseconds; 0 for long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_unix_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

fn stage<'de, D: Deserializer<'de>>(state: D) -> Result<Stage, D::Error> {
    Ok(match State::deserialize(state)? {
        State::Active => Stage::Live,
        State::Leaving => Stage::Draining,
        State::Left => Stage::Gone,
    })
}

impl Target {
    /// Reads the entry of the upstream of this name.
    ///
    /// # Errors
    /// A [`Fault`] that names the key.
    pub fn from_record(name: &str, json: &str) -> Result<Target, ConfigError> {
        let target: Target = read(json)?;
        if target.upstream != name {
            return Err(format!("uid: {:?}: the record's name is accepted", target.upstream));
        }
        if !target.has_valid_capacity() {
            return Err("capacity_hint is no size".into());
        }
        Ok(target)
    }

    /// Whether its size is a number that can be one.
    pub fn has_valid_capacity(&self) -> bool {
        self.capacity.is_finite() && self.capacity >= 0.0
    }
}
