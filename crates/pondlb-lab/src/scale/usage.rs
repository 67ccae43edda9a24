//! Processor time and memory of the kinds of processes of a run, between moments.

use std::collections::BTreeMap;

use serde::Serialize;

use super::process::{self, Usage};

/// What a process is in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The control server that numbers changes.
    Origin,
    /// A control server that follows it.
    ReplicaServer,
    /// A balancer with traffic.
    RealBalancer,
    /// A process of hollow balancers.
    HollowProcess,
    /// The laboratory itself: fleet, clients, proxies.
    Laboratory,
}

/// The usage of every process at a moment.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    at_us: u64,
    usages: BTreeMap<u32, (Role, Usage)>,
}

impl Sample {
    /// Reads the usage of these processes.
    pub fn take(at_us: u64, processes: impl Iterator<Item = (Role, u32)>) -> Sample {
        let read = |(role, id)| Some((id, (role, process::usage(id)?)));
        Sample { at_us, usages: processes.filter_map(read).collect() }
    }

    /// Memory of all processes together.
    pub fn resident_mb(&self) -> f64 {
        self.usages.values().map(|(_, usage)| megabytes(usage.resident_bytes)).sum()
    }

    /// What each kind has used since an earlier sample. A process that was started since counts from its start.
    pub fn since(&self, earlier: &Sample) -> Vec<RoleUsage> {
        let seconds = self.at_us.saturating_sub(earlier.at_us) as f64 / 1e6;
        let mut roles: BTreeMap<Role, RoleUsage> = BTreeMap::new();
        for (id, (role, usage)) in &self.usages {
            let before = earlier.usages.get(id).map_or(0.0, |(_, usage)| usage.processor_seconds);
            let all = roles.entry(*role).or_insert_with(|| RoleUsage::none(*role));
            all.processes += 1;
            all.processors += (usage.processor_seconds - before) / seconds.max(f64::EPSILON);
            all.resident_mb += megabytes(usage.resident_bytes);
            all.most_resident_mb = all.most_resident_mb.max(megabytes(usage.resident_bytes));
            all.most_peak_mb = all.most_peak_mb.max(megabytes(usage.peak_bytes));
        }
        roles.into_values().collect()
    }
}

/// What the processes of a kind use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoleUsage {
    /// Which kind.
    pub role: Role,
    /// How many there are.
    pub processes: u32,
    /// Processors that they use together.
    pub processors: f64,
    /// Memory that they hold together.
    pub resident_mb: f64,
    /// Memory of the largest.
    pub most_resident_mb: f64,
    /// The most memory that any of them has held.
    pub most_peak_mb: f64,
}

impl RoleUsage {
    fn none(role: Role) -> RoleUsage {
        RoleUsage {
            role,
            processes: 0,
            processors: 0.0,
            resident_mb: 0.0,
            most_resident_mb: 0.0,
            most_peak_mb: 0.0,
        }
    }
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}
