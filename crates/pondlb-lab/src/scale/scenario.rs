//! The scenario of a scale run: TOML to a checked description. No I/O.

use std::collections::BTreeSet;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::records::LIMIT_COUNT;
use super::servers::{Layout, UNBOUNDED_SNAPSHOT_PIECES};
use crate::scenario::ScenarioError;

/// A scale run: how many of everything, and what happens when.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Draws the records, the changes and the traffic.
    pub seed: u64,
    /// All balancers, real and hollow.
    pub balancers: u32,
    /// Balancers that are real processes with traffic.
    #[serde(default = "real_balancers")]
    pub real_balancers: u32,
    /// Followers in one hollow process.
    #[serde(default = "followers_each")]
    pub followers_each: u32,
    /// Followers of one hollow process that may take their first snapshot at the same time.
    #[serde(default = "starts_at_once")]
    pub starts_at_once: u32,
    /// Listed upstreams, the served ones included.
    pub upstreams: u32,
    /// Classes of requests, those of the traffic included.
    pub classes: u32,
    /// Tenants with a quota.
    pub tenants: u32,
    /// Regions; the origin is in the first.
    #[serde(default = "regions")]
    pub regions: u32,
    /// Zones in each region.
    #[serde(default = "zones_per_region")]
    pub zones_per_region: u32,
    /// Control servers beside the origin, spread over the regions.
    #[serde(default = "replica_servers")]
    pub replica_servers: u32,
    /// The address that control servers listen on.
    #[serde(default = "listen")]
    pub listen: IpAddr,
    /// For how long a control server gathers changes between two answers to one caller.
    #[serde(default = "gather_ms")]
    pub gather_ms: u64,
    /// For how long a control server may hold a call without news.
    #[serde(default = "hold_ms")]
    pub hold_ms: u64,
    /// For how long balancers may take to reach the same version after the last phase.
    #[serde(default = "settle_seconds")]
    pub settle_seconds: f64,
    /// The traffic of the real balancers.
    #[serde(default)]
    pub traffic: Traffic,
    /// What happens, in this order.
    pub phases: Vec<Phase>,
}

/// Open-loop traffic before an emulated fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Requests a second to each real balancer.
    pub rate_each: f64,
    /// Requests a second that go straight to the upstreams, for comparison.
    pub direct_rate: f64,
    /// How many of the listed upstreams are served by the emulated fleet.
    pub served_upstreams: u32,
    /// Cores of each.
    pub cores: u32,
    /// Work of a request.
    pub work_ms: f64,
    /// How long clients wait for an answer that is in time.
    pub sla_ms: u64,
    /// How long clients wait at all.
    pub expiry_ms: u64,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            rate_each: 113.0,
            direct_rate: 113.0,
            served_upstreams: 24,
            cores: 2,
            work_ms: 8.0,
            sla_ms: 600,
            expiry_ms: 1500,
        }
    }
}

/// A part of the run, with a name of its own in the report.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// How the report names it.
    pub name: String,
    /// What happens at its start.
    pub kind: PhaseKind,
    /// How long it lasts.
    pub seconds: f64,
    /// Changes of single records a second, throughout.
    pub changes_per_second: f64,
    /// For how long the event lasts: until a zone comes back, a server is started again, the regions are joined, or
    /// a process goes on. Less than `seconds`.
    #[serde(default)]
    pub event_seconds: f64,
    /// How many upstreams a rack has.
    #[serde(default = "rack_upstreams")]
    pub rack_upstreams: u32,
    /// Which zone leaves, counted over all regions.
    #[serde(default)]
    pub zone: u32,
    /// Which replica servers are killed together.
    #[serde(default)]
    pub servers: Vec<u32>,
    /// Which hollow process is stopped.
    #[serde(default)]
    pub process: u32,
    /// How many tenths of the hollow balancers are restarted, one after the other.
    #[serde(default = "tenths")]
    pub tenths: u32,
}

/// What happens in a phase beside its changes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum PhaseKind {
    /// Nothing else.
    Steady,
    /// A rack's upstreams are removed at once, and one served upstream drains.
    Rack,
    /// A zone's upstreams are removed at once, and come back at once.
    Zone,
    /// Real balancers are restarted one after the other, and hollow ones from nothing, a tenth at a time.
    Release,
    /// Replica servers are killed together, and started again.
    KillServer,
    /// The replica servers outside the first region lose the origin in silence, and find it again.
    Partition,
    /// A hollow process is stopped, and continued.
    Stop,
}

fn real_balancers() -> u32 {
    4
}

fn followers_each() -> u32 {
    125
}

fn starts_at_once() -> u32 {
    3
}

fn regions() -> u32 {
    2
}

fn zones_per_region() -> u32 {
    5
}

fn replica_servers() -> u32 {
    14
}

fn listen() -> IpAddr {
    IpAddr::from([127, 0, 0, 1])
}

fn gather_ms() -> u64 {
    200
}

fn hold_ms() -> u64 {
    1000
}

fn settle_seconds() -> f64 {
    25.0
}

fn rack_upstreams() -> u32 {
    40
}

fn tenths() -> u32 {
    10
}

/// The longest time of all phases: with start and end the run takes five minutes at most.
const MOST_SECONDS: f64 = 120.0;
const MOST_BALANCERS: u32 = 3000;
const MOST_RECORDS: u32 = 500_000;
const MOST_SERVERS: u32 = 64;
const MOST_PROCESSES: u32 = 300;
const MOST_CHANGES: f64 = 200_000.0;

/// What the estimate counts for one record in a hollow balancer: key, hash and map, and the consumer's revision.
const HOLLOW_RECORD_BYTES: u64 = 48;
/// What it counts for one record in a control server.
const SERVER_RECORD_BYTES: u64 = 800;
/// What it counts for one upstream in a real balancer.
const REAL_UPSTREAM_BYTES: u64 = 3000;
/// What it counts for one class or tenant in a real balancer.
const REAL_SETTING_BYTES: u64 = 700;
/// What it counts for one record of a snapshot that is being taken.
const STAGED_RECORD_BYTES: u64 = 350;
/// What it counts for the laboratory itself.
const LAB_BYTES: u64 = 500 << 20;

impl Scenario {
    /// The control servers of the run.
    pub fn layout(&self) -> Layout {
        Layout {
            listen: self.listen,
            replica_servers: self.replica_servers,
            regions: self.regions,
            gather_ms: self.gather_ms,
            snapshot_pieces_per_second: UNBOUNDED_SNAPSHOT_PIECES,
        }
    }

    /// Reads and checks a scenario, shrunk to a share of its balancers and records.
    ///
    /// # Errors
    /// All that is wrong, so that nobody mends one fault only to meet the next.
    pub fn read(text: &str, share: f64, memory_bytes: u64) -> Result<Scenario, Vec<ScenarioError>> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| vec![e.to_string().trim().into()])?;
        let mut faults = scenario.faults(memory_bytes, share);
        if !(share > 0.0 && share <= 1.0) {
            faults.push(format!("--share: {share}: above 0, 1 at most"));
        }
        if faults.is_empty() { Ok(scenario.shrunk(share)) } else { Err(faults) }
    }

    /// The same with a share of the balancers and records; real balancers and served upstreams stay.
    fn shrunk(mut self, share: f64) -> Scenario {
        let shrink = |count: u32, least: u32| ((f64::from(count) * share).round() as u32).max(least);
        self.balancers = shrink(self.balancers, self.real_balancers + 2);
        let zones = self.zones();
        self.upstreams = shrink(self.upstreams, self.traffic.served_upstreams + 2 * zones);
        self.classes = shrink(self.classes, 2);
        self.tenants = shrink(self.tenants, 1);
        self
    }

    /// Zones of all regions.
    pub fn zones(&self) -> u32 {
        self.regions.saturating_mul(self.zones_per_region)
    }

    /// Balancers without traffic.
    pub fn hollow_balancers(&self) -> u32 {
        self.balancers.saturating_sub(self.real_balancers)
    }

    /// Processes that hold them: two at least, so that one can be stopped while another goes on.
    pub fn hollow_processes(&self) -> u32 {
        self.hollow_balancers().div_ceil(self.followers_each.max(1)).max(2)
    }

    /// All records of the initial state.
    pub fn records(&self) -> u64 {
        u64::from(self.upstreams) + u64::from(self.classes) + u64::from(self.tenants) + u64::from(LIMIT_COUNT)
    }

    /// How long the phases last together.
    pub fn seconds(&self) -> f64 {
        self.phases.iter().map(|phase| phase.seconds).sum()
    }

    /// What all processes together are estimated to hold.
    pub fn memory_estimate(&self) -> u64 {
        let records = self.records();
        let hollow = u64::from(self.hollow_balancers()) * records * HOLLOW_RECORD_BYTES;
        let servers = (u64::from(self.replica_servers) + 1) * records * SERVER_RECORD_BYTES;
        let settings = u64::from(self.classes) + u64::from(self.tenants);
        let each_real = u64::from(self.upstreams) * REAL_UPSTREAM_BYTES + settings * REAL_SETTING_BYTES;
        let real = u64::from(self.real_balancers) * each_real;
        let starting = u64::from(self.hollow_processes()) * u64::from(self.starts_at_once);
        hollow + servers + real + starting * records * STAGED_RECORD_BYTES + LAB_BYTES
    }

    fn faults(&self, memory_bytes: u64, share: f64) -> Vec<ScenarioError> {
        let mut faults = Vec::new();
        self.check_sizes(&mut faults);
        self.check_traffic(&mut faults);
        for (number, phase) in self.phases.iter().enumerate() {
            self.check_phase(number, phase, &mut faults);
        }
        let mut check = |ok: bool, fault: String| faults.extend((!ok).then_some(fault));
        check(!self.phases.is_empty(), "phases: there is none".into());
        let seconds = self.seconds();
        check(
            within(seconds, 0.1, MOST_SECONDS),
            format!("phases: {seconds} s in all: 0.1 to {MOST_SECONDS} wanted"),
        );
        let changes: f64 = self.phases.iter().map(|phase| phase.seconds * phase.changes_per_second).sum();
        check(changes <= MOST_CHANGES, format!("phases: {changes} changes in all: {MOST_CHANGES} at most"));
        if faults.is_empty() && share > 0.0 && share <= 1.0 {
            let needed = self.clone().shrunk(share).memory_estimate();
            let told = format!("{} MB by estimate: the machine has {}", needed >> 20, memory_bytes >> 20);
            faults.extend((needed > memory_bytes).then(|| format!("balancers: {told}")));
        }
        faults
    }

    fn check_sizes(&self, faults: &mut Vec<ScenarioError>) {
        let mut check = |ok: bool, fault: String| faults.extend((!ok).then_some(fault));
        let counts = [
            ("balancers", self.balancers, MOST_BALANCERS),
            ("real_balancers", self.real_balancers, 64),
            ("followers_each", self.followers_each, 1000),
            ("starts_at_once", self.starts_at_once, 1000),
            ("upstreams", self.upstreams, MOST_RECORDS),
            ("classes", self.classes, MOST_RECORDS),
            ("tenants", self.tenants, MOST_RECORDS),
            ("regions", self.regions, 8),
            ("zones_per_region", self.zones_per_region, 32),
            ("replica_servers", self.replica_servers, MOST_SERVERS),
        ];
        for (key, count, most) in counts {
            check((1..=most).contains(&count), format!("{key}: {count}: 1 to {most}"));
        }
        check(self.listen.is_loopback(), format!("listen: {}: no loopback address", self.listen));
        check((1..=10_000).contains(&self.gather_ms), format!("gather_ms: {}: 1 to 10000", self.gather_ms));
        check((1..=60_000).contains(&self.hold_ms), format!("hold_ms: {}: 1 to 60000", self.hold_ms));
        let settle = self.settle_seconds;
        check(within(settle, 1.0, 25.0), format!("settle_seconds: {settle}: 1 to 25"));
        let records = self.records();
        check(
            records <= u64::from(MOST_RECORDS),
            format!("upstreams: {records} records in all: {MOST_RECORDS} at most"),
        );
        check(
            self.balancers >= self.real_balancers.saturating_add(2),
            format!("balancers: {}: two more than real_balancers at least", self.balancers),
        );
        check(
            self.replica_servers >= self.regions,
            format!("replica_servers: {}: one in each region at least", self.replica_servers),
        );
        check(
            self.replica_servers <= MOST_SERVERS && self.hollow_processes() <= MOST_PROCESSES / 2,
            format!("followers_each: {}: that makes too many processes", self.followers_each),
        );
    }

    fn check_traffic(&self, faults: &mut Vec<ScenarioError>) {
        let traffic = &self.traffic;
        let mut check = |ok: bool, fault: String| faults.extend((!ok).then_some(fault));
        for (key, rate) in [("rate_each", traffic.rate_each), ("direct_rate", traffic.direct_rate)] {
            check(within(rate, 0.1, 1000.0), format!("traffic.{key}: {rate}: 0.1 to 1000"));
        }
        let served = traffic.served_upstreams;
        check((2..=256).contains(&served), format!("traffic.served_upstreams: {served}: 2 to 256"));
        check(
            served.saturating_add(self.zones().saturating_mul(2)) <= self.upstreams,
            format!("upstreams: {}: the served ones and two for each zone at least", self.upstreams),
        );
        check((1..=256).contains(&traffic.cores), format!("traffic.cores: {}: 1 to 256", traffic.cores));
        let work = traffic.work_ms;
        check(within(work, 0.01, 1000.0), format!("traffic.work_ms: {work}: 0.01 to 1000"));
        check(traffic.sla_ms >= 1, "traffic.sla_ms: 0: 1 at least".into());
        check(
            (traffic.sla_ms..=60_000).contains(&traffic.expiry_ms),
            format!("traffic.expiry_ms: {}: sla_ms to 60000", traffic.expiry_ms),
        );
    }

    /// What is wrong with the replica servers that are to be killed together.
    fn killed_faults(&self, servers: &[u32]) -> impl Iterator<Item = String> {
        let all = self.replica_servers;
        let missing = servers.iter().filter(move |server| **server >= all);
        let missing = missing.map(move |server| format!("{server}: there are {all}"));
        let mut known = BTreeSet::new();
        let doubled = servers.iter().filter(move |server| !known.insert(**server));
        let doubled = doubled.map(|server| format!("{server}: named twice"));
        let distinct: BTreeSet<_> = servers.iter().collect();
        let count = match distinct.len() {
            0 => Some("there is none".to_string()),
            count if count >= all as usize => Some(format!("all {all} of them: one is left at least")),
            _ => None,
        };
        missing.chain(doubled).chain(count)
    }

    fn check_phase(&self, number: usize, phase: &Phase, faults: &mut Vec<ScenarioError>) {
        let key = |key: &str| format!("phases[{number}].{key}");
        let mut check = |ok: bool, fault: String| faults.extend((!ok).then_some(fault));
        let seconds = phase.seconds;
        check(
            within(seconds, 0.1, MOST_SECONDS),
            format!("{}: {seconds}: 0.1 to {MOST_SECONDS}", key("seconds")),
        );
        let rate = phase.changes_per_second;
        check(within(rate, 0.0, 2000.0), format!("{}: {rate}: 0 to 2000", key("changes_per_second")));
        let lasting = [PhaseKind::Zone, PhaseKind::KillServer, PhaseKind::Partition, PhaseKind::Stop]
            .contains(&phase.kind);
        let event = phase.event_seconds;
        check(
            !lasting || (event > 0.0 && event < seconds),
            format!("{}: {event}: above 0, less than seconds", key("event_seconds")),
        );
        match phase.kind {
            PhaseKind::Steady => {}
            PhaseKind::Partition => {
                check(self.regions >= 2, format!("{}: there is one region only", key("kind")));
            }
            PhaseKind::Rack => check(
                phase.rack_upstreams >= 1 && phase.rack_upstreams < self.upstreams,
                format!(
                    "{}: {}: 1 at least, less than upstreams",
                    key("rack_upstreams"),
                    phase.rack_upstreams
                ),
            ),
            PhaseKind::Zone => {
                check(
                    phase.zone < self.zones(),
                    format!("{}: {}: there are {}", key("zone"), phase.zone, self.zones()),
                );
            }
            PhaseKind::Release => check(
                (1..=10).contains(&phase.tenths),
                format!("{}: {}: 1 to 10", key("tenths"), phase.tenths),
            ),
            PhaseKind::KillServer => {
                faults.extend(
                    self.killed_faults(&phase.servers).map(|told| format!("{}: {told}", key("servers"))),
                );
            }
            // The first two are there in any share.
            PhaseKind::Stop => {
                check(phase.process < 2, format!("{}: {}: 0 or 1", key("process"), phase.process));
            }
        }
    }
}

fn within(value: f64, least: f64, most: f64) -> bool {
    value >= least && value <= most
}
