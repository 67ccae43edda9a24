//! Processor time and memory of the processes of a run, summed by their roles, between two samples.

use std::collections::BTreeMap;

use serde::Serialize;

use super::process::{self, ProcessUsage};

/// The role of a process in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The control server that accepts commits and numbers changes.
    Origin,
    /// A control server that follows the origin.
    ReplicaServer,
    /// A balancer that serves traffic.
    RealBalancer,
    /// A process that runs many hollow balancers.
    HollowProcess,
    /// The laboratory itself: the emulated upstreams, the clients and the proxies.
    Laboratory,
}

impl Role {
    /// The name of the role in the text of the report.
    pub fn label(self) -> &'static str {
        match self {
            Role::Origin => "Origin",
            Role::ReplicaServer => "ReplicaServer",
            Role::RealBalancer => "RealBalancer",
            Role::HollowProcess => "HollowProcess",
            Role::Laboratory => "Laboratory",
        }
    }
}

/// The usage of every process at one moment.
#[derive(Clone, Debug, Default)]
pub struct UsageSample {
    /// When the sample was taken, by the monotonic clock in microseconds.
    at_us: u64,
    /// The role and usage of each process, by its process id.
    usages: BTreeMap<u32, (Role, ProcessUsage)>,
}

impl UsageSample {
    /// Reads the usage of these processes, given by role and process id. Those that have ended are left out.
    pub fn take(at_us: u64, processes: impl Iterator<Item = (Role, u32)>) -> UsageSample {
        let read = |(role, id)| Some((id, (role, process::read_usage(id)?)));
        UsageSample { at_us, usages: processes.filter_map(read).collect() }
    }

    /// The resident memory of all processes together, in MB.
    pub fn resident_mb(&self) -> f64 {
        self.usages.values().map(|(_, usage)| megabytes(usage.resident_bytes)).sum()
    }

    /// The usage of each role since an earlier sample. A process that was started in between counts from its start.
    pub fn usage_since(&self, earlier: &UsageSample) -> Vec<RoleUsage> {
        let seconds = self.at_us.saturating_sub(earlier.at_us) as f64 / 1e6;
        let mut roles: BTreeMap<Role, RoleUsage> = BTreeMap::new();
        for (id, (role, usage)) in &self.usages {
            let before = earlier.usages.get(id).map_or(0.0, |(_, usage)| usage.processor_seconds);
            let sum = roles.entry(*role).or_insert_with(|| RoleUsage::empty(*role));
            sum.processes += 1;
            sum.processors += (usage.processor_seconds - before) / seconds.max(f64::EPSILON);
            sum.resident_mb += megabytes(usage.resident_bytes);
            sum.most_resident_mb = sum.most_resident_mb.max(megabytes(usage.resident_bytes));
            sum.most_peak_mb = sum.most_peak_mb.max(megabytes(usage.peak_bytes));
        }
        roles.into_values().collect()
    }
}

/// What the processes of one role use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoleUsage {
    /// The role.
    pub role: Role,
    /// The number of processes.
    pub processes: u32,
    /// Processor time per second of all processes together: the mean number of processors in use.
    pub processors: f64,
    /// Resident memory of all processes together, in MB.
    pub resident_mb: f64,
    /// Resident memory of the largest process, in MB.
    pub most_resident_mb: f64,
    /// The largest resident memory that any process has had so far, in MB.
    pub most_peak_mb: f64,
}

impl RoleUsage {
    fn empty(role: Role) -> RoleUsage {
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

#[cfg(test)]
mod tests;
