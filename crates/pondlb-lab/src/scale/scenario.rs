//! The scenario of a scale run: parses it from TOML and validates it. No I/O.

use std::collections::BTreeSet;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::records::LIMIT_COUNT;
use super::servers::{Layout, UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND};
use crate::scenario::ScenarioError;

/// The description of a scale run: the numbers of processes and records, the traffic, and the phases with their events.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The seed of the random numbers for the changes and the traffic.
    pub seed: u64,
    /// The number of all balancers, real and hollow.
    pub balancers: u32,
    /// The number of real balancers: processes of their own, with traffic.
    #[serde(default = "default_real_balancers")]
    pub real_balancers: u32,
    /// The number of hollow balancers in one hollow process.
    #[serde(default = "default_followers_each")]
    pub followers_each: u32,
    /// How many balancers of one hollow process may take their first snapshot at the same time.
    #[serde(default = "default_starts_at_once")]
    pub starts_at_once: u32,
    /// The number of listed upstreams, including the served ones.
    pub upstreams: u32,
    /// The number of classes of requests, including those of the traffic.
    pub classes: u32,
    /// The number of tenants, each with a quota.
    pub tenants: u32,
    /// The number of regions; the origin is in the first.
    #[serde(default = "default_regions")]
    pub regions: u32,
    /// The number of zones in each region.
    #[serde(default = "default_zones_per_region")]
    pub zones_per_region: u32,
    /// The number of control servers besides the origin, spread evenly over the regions.
    #[serde(default = "default_replica_servers")]
    pub replica_servers: u32,
    /// The loopback address that control servers listen on.
    #[serde(default = "default_listen")]
    pub listen: IpAddr,
    /// How long a control server gathers changes between two answers to the same caller, in milliseconds.
    #[serde(default = "default_gather_ms")]
    pub gather_ms: u64,
    /// How long a control server may hold a call for changes that finds none, in milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// How long balancers and control servers may take to reach the last version after the last phase, in seconds.
    #[serde(default = "default_settle_seconds")]
    pub settle_seconds: f64,
    /// The traffic of the real balancers.
    #[serde(default)]
    pub traffic: Traffic,
    /// The phases in the order in which they are played.
    pub phases: Vec<Phase>,
}

/// Open-loop traffic to an emulated fleet of upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Requests per second to each real balancer.
    pub rate_each: f64,
    /// Requests per second that go directly to the upstreams, for comparison.
    pub direct_rate: f64,
    /// How many of the listed upstreams are served by the emulated fleet.
    pub served_upstreams: u32,
    /// The number of cores of each served upstream.
    pub cores: u32,
    /// The processor time of a request at an upstream, in milliseconds.
    pub work_ms: f64,
    /// The response time up to which an answer is in time, in milliseconds.
    pub sla_ms: u64,
    /// How long clients wait for an answer, in milliseconds.
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

/// A part of the run, which has its own section in the report.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// The name of the phase in the report.
    pub name: String,
    /// The event that begins at the start of the phase.
    pub kind: PhaseKind,
    /// The length of the phase, in seconds.
    pub seconds: f64,
    /// Commits of a single change per second, during the whole phase.
    pub changes_per_second: f64,
    /// How long the event lasts, in seconds: until a zone returns, killed servers are started again, the partition ends or
    /// the suspended process resumes. Less than `seconds`.
    #[serde(default)]
    pub event_seconds: f64,
    /// The number of upstreams of a rack.
    #[serde(default = "default_rack_upstreams")]
    pub rack_upstreams: u32,
    /// The number of the zone that is removed, counted over all regions.
    #[serde(default)]
    pub zone: u32,
    /// The numbers of the replica servers that are killed together.
    #[serde(default)]
    pub servers: Vec<u32>,
    /// The number of the hollow process that is suspended.
    #[serde(default)]
    pub process: u32,
    /// How many tenths of the hollow balancers a release restarts, one tenth after the other.
    #[serde(default = "default_tenths")]
    pub tenths: u32,
}

/// The event of a phase, which happens in addition to its changes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum PhaseKind {
    /// No event.
    Steady,
    /// The upstreams of a rack are removed in one commit, and one served upstream drains.
    Rack,
    /// All unserved upstreams of a zone are removed together, and added again together.
    Zone,
    /// Real balancers are restarted one after the other, and hollow balancers a tenth at a time, without keeping any state.
    Release,
    /// Replica servers are killed together, and started again.
    KillServer,
    /// The traffic between the origin and the replica servers outside the first region is held back without closing
    /// connections, and forwarded again at the end.
    Partition,
    /// A hollow process is suspended, and resumed.
    Stop,
}

fn default_real_balancers() -> u32 {
    4
}

fn default_followers_each() -> u32 {
    125
}

fn default_starts_at_once() -> u32 {
    3
}

fn default_regions() -> u32 {
    2
}

fn default_zones_per_region() -> u32 {
    5
}

fn default_replica_servers() -> u32 {
    14
}

fn default_listen() -> IpAddr {
    IpAddr::from([127, 0, 0, 1])
}

fn default_gather_ms() -> u64 {
    200
}

fn default_hold_ms() -> u64 {
    1000
}

fn default_settle_seconds() -> f64 {
    25.0
}

fn default_rack_upstreams() -> u32 {
    40
}

fn default_tenths() -> u32 {
    10
}

/// The maximum length of all phases together, in seconds. With its start and end, a run then takes at most five minutes.
const MAX_TOTAL_SECONDS: f64 = 120.0;
const MAX_BALANCERS: u32 = 3000;
const MAX_REAL_BALANCERS: u32 = 64;
const MAX_FOLLOWERS_PER_PROCESS: u32 = 1000;
const MAX_STARTS_AT_ONCE: u32 = 1000;
const MAX_RECORDS: u32 = 500_000;
const MAX_REGIONS: u32 = 8;
const MAX_ZONES_PER_REGION: u32 = 32;
const MAX_REPLICA_SERVERS: u32 = 64;
const MAX_PROCESSES: u32 = 300;
/// The maximum number of single changes in all phases together.
const MAX_CHANGES: f64 = 200_000.0;

/// The estimated memory of a record in a hollow balancer: key, hash and map entry, and the consumer's revision.
const HOLLOW_RECORD_BYTES: u64 = 48;
/// The estimated memory of a record in a control server.
const SERVER_RECORD_BYTES: u64 = 800;
/// The estimated memory of an upstream in a real balancer.
const REAL_UPSTREAM_BYTES: u64 = 3000;
/// The estimated memory of a class or a tenant in a real balancer.
const REAL_SETTING_BYTES: u64 = 700;
/// The estimated memory of a record of a snapshot that a hollow balancer is taking.
const STAGED_RECORD_BYTES: u64 = 350;
/// The estimated memory of the laboratory itself.
const LAB_BYTES: u64 = 500 << 20;

impl Scenario {
    /// The layout of the control servers of the run.
    pub fn layout(&self) -> Layout {
        Layout {
            listen: self.listen,
            replica_servers: self.replica_servers,
            regions: self.regions,
            gather_ms: self.gather_ms,
            snapshot_pieces_per_second: UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND,
        }
    }

    /// Parses and validates a scenario, scaled down to a share of its balancers and records. `memory_bytes` is the memory of
    /// the machine.
    ///
    /// # Errors
    /// Returns all errors at once, so that they can be fixed together.
    pub fn parse(text: &str, share: f64, memory_bytes: u64) -> Result<Scenario, Vec<ScenarioError>> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| vec![e.to_string().trim().into()])?;
        let mut errors = scenario.validate(memory_bytes, share);
        if !(share > 0.0 && share <= 1.0) {
            errors.push(format!("--share: {share}: must be above 0 and at most 1"));
        }
        if errors.is_empty() { Ok(scenario.scaled_down(share)) } else { Err(errors) }
    }

    /// The scenario with this share of its balancers and records. The real balancers and the served upstreams stay.
    fn scaled_down(mut self, share: f64) -> Scenario {
        let scale = |count: u32, min: u32| ((f64::from(count) * share).round() as u32).max(min);
        self.balancers = scale(self.balancers, self.real_balancers + 2);
        let zones = self.zone_count();
        self.upstreams = scale(self.upstreams, self.traffic.served_upstreams + 2 * zones);
        self.classes = scale(self.classes, 2);
        self.tenants = scale(self.tenants, 1);
        self
    }

    /// The number of zones of all regions together.
    pub fn zone_count(&self) -> u32 {
        self.regions.saturating_mul(self.zones_per_region)
    }

    /// The number of balancers without traffic.
    pub fn hollow_balancer_count(&self) -> u32 {
        self.balancers.saturating_sub(self.real_balancers)
    }

    /// The number of hollow processes: at least two, so that one runs on while the other is suspended.
    pub fn hollow_process_count(&self) -> u32 {
        self.hollow_balancer_count().div_ceil(self.followers_each.max(1)).max(2)
    }

    /// The number of records of the initial state.
    pub fn record_count(&self) -> u64 {
        u64::from(self.upstreams) + u64::from(self.classes) + u64::from(self.tenants) + u64::from(LIMIT_COUNT)
    }

    /// The length of all phases together, in seconds.
    pub fn total_seconds(&self) -> f64 {
        self.phases.iter().map(|phase| phase.seconds).sum()
    }

    /// The estimated memory of all processes together.
    pub fn memory_estimate_bytes(&self) -> u64 {
        let records = self.record_count();
        let hollow = u64::from(self.hollow_balancer_count()) * records * HOLLOW_RECORD_BYTES;
        let servers = (u64::from(self.replica_servers) + 1) * records * SERVER_RECORD_BYTES;
        let settings = u64::from(self.classes) + u64::from(self.tenants);
        let per_real_balancer =
            u64::from(self.upstreams) * REAL_UPSTREAM_BYTES + settings * REAL_SETTING_BYTES;
        let real = u64::from(self.real_balancers) * per_real_balancer;
        let concurrent_snapshots = u64::from(self.hollow_process_count()) * u64::from(self.starts_at_once);
        hollow + servers + real + concurrent_snapshots * records * STAGED_RECORD_BYTES + LAB_BYTES
    }

    /// All errors of the scenario. The memory estimate is checked for the given share, and only if there are no other errors.
    fn validate(&self, memory_bytes: u64, share: f64) -> Vec<ScenarioError> {
        let mut errors = Vec::new();
        self.check_sizes(&mut errors);
        self.check_traffic(&mut errors);
        for (number, phase) in self.phases.iter().enumerate() {
            self.check_phase(number, phase, &mut errors);
        }
        let mut check = |ok: bool, error: String| errors.extend((!ok).then_some(error));
        check(!self.phases.is_empty(), "phases: must have at least one entry".into());
        let seconds = self.total_seconds();
        check(
            is_within(seconds, 0.1, MAX_TOTAL_SECONDS),
            format!("phases: {seconds} s in total: must be 0.1 to {MAX_TOTAL_SECONDS}"),
        );
        let changes: f64 = self.phases.iter().map(|phase| phase.seconds * phase.changes_per_second).sum();
        check(
            changes <= MAX_CHANGES,
            format!("phases: {changes} changes in total: must be at most {MAX_CHANGES}"),
        );
        if errors.is_empty() && share > 0.0 && share <= 1.0 {
            let needed = self.clone().scaled_down(share).memory_estimate_bytes();
            let sizes =
                format!("{} MB by estimate, but the machine has {} MB", needed >> 20, memory_bytes >> 20);
            errors.extend((needed > memory_bytes).then(|| format!("balancers: {sizes}")));
        }
        errors
    }

    fn check_sizes(&self, errors: &mut Vec<ScenarioError>) {
        let mut check = |ok: bool, error: String| errors.extend((!ok).then_some(error));
        let counts = [
            ("balancers", self.balancers, MAX_BALANCERS),
            ("real_balancers", self.real_balancers, MAX_REAL_BALANCERS),
            ("followers_each", self.followers_each, MAX_FOLLOWERS_PER_PROCESS),
            ("starts_at_once", self.starts_at_once, MAX_STARTS_AT_ONCE),
            ("upstreams", self.upstreams, MAX_RECORDS),
            ("classes", self.classes, MAX_RECORDS),
            ("tenants", self.tenants, MAX_RECORDS),
            ("regions", self.regions, MAX_REGIONS),
            ("zones_per_region", self.zones_per_region, MAX_ZONES_PER_REGION),
            ("replica_servers", self.replica_servers, MAX_REPLICA_SERVERS),
        ];
        for (key, count, max) in counts {
            check((1..=max).contains(&count), format!("{key}: {count}: must be 1 to {max}"));
        }
        check(self.listen.is_loopback(), format!("listen: {}: must be a loopback address", self.listen));
        check(
            (1..=10_000).contains(&self.gather_ms),
            format!("gather_ms: {}: must be 1 to 10000", self.gather_ms),
        );
        check((1..=60_000).contains(&self.hold_ms), format!("hold_ms: {}: must be 1 to 60000", self.hold_ms));
        let settle = self.settle_seconds;
        check(is_within(settle, 1.0, 25.0), format!("settle_seconds: {settle}: must be 1 to 25"));
        let records = self.record_count();
        check(
            records <= u64::from(MAX_RECORDS),
            format!("upstreams: {records} records in total: must be at most {MAX_RECORDS}"),
        );
        check(
            self.balancers >= self.real_balancers.saturating_add(2),
            format!("balancers: {}: must be at least real_balancers + 2", self.balancers),
        );
        check(
            self.replica_servers >= self.regions,
            format!("replica_servers: {}: must be at least the number of regions", self.replica_servers),
        );
        check(
            self.replica_servers <= MAX_REPLICA_SERVERS && self.hollow_process_count() <= MAX_PROCESSES / 2,
            format!("followers_each: {}: makes too many hollow processes", self.followers_each),
        );
    }

    fn check_traffic(&self, errors: &mut Vec<ScenarioError>) {
        let traffic = &self.traffic;
        let mut check = |ok: bool, error: String| errors.extend((!ok).then_some(error));
        for (key, rate) in [("rate_each", traffic.rate_each), ("direct_rate", traffic.direct_rate)] {
            check(is_within(rate, 0.1, 1000.0), format!("traffic.{key}: {rate}: must be 0.1 to 1000"));
        }
        let served = traffic.served_upstreams;
        check((2..=256).contains(&served), format!("traffic.served_upstreams: {served}: must be 2 to 256"));
        check(
            served.saturating_add(self.zone_count().saturating_mul(2)) <= self.upstreams,
            format!(
                "upstreams: {}: must be at least served_upstreams plus two for each zone",
                self.upstreams
            ),
        );
        check(
            (1..=256).contains(&traffic.cores),
            format!("traffic.cores: {}: must be 1 to 256", traffic.cores),
        );
        let work = traffic.work_ms;
        check(is_within(work, 0.01, 1000.0), format!("traffic.work_ms: {work}: must be 0.01 to 1000"));
        check(traffic.sla_ms >= 1, "traffic.sla_ms: 0: must be at least 1".into());
        check(
            (traffic.sla_ms..=60_000).contains(&traffic.expiry_ms),
            format!("traffic.expiry_ms: {}: must be sla_ms to 60000", traffic.expiry_ms),
        );
    }

    /// The errors of a list of replica servers to be killed together.
    fn killed_server_errors(&self, servers: &[u32]) -> impl Iterator<Item = String> {
        let all = self.replica_servers;
        let missing = servers.iter().filter(move |server| **server >= all);
        let missing =
            missing.map(move |server| format!("{server}: must be less than replica_servers ({all})"));
        let mut known = BTreeSet::new();
        let duplicates = servers.iter().filter(move |server| !known.insert(**server));
        let duplicates = duplicates.map(|server| format!("{server}: listed twice"));
        let distinct: BTreeSet<_> = servers.iter().collect();
        let count = match distinct.len() {
            0 => Some("must have at least one entry".to_string()),
            count if count >= all as usize => {
                Some(format!("lists all {all} replica servers: at least one must keep running"))
            }
            _ => None,
        };
        missing.chain(duplicates).chain(count)
    }

    fn check_phase(&self, number: usize, phase: &Phase, errors: &mut Vec<ScenarioError>) {
        let key = |key: &str| format!("phases[{number}].{key}");
        let mut check = |ok: bool, error: String| errors.extend((!ok).then_some(error));
        let seconds = phase.seconds;
        check(
            is_within(seconds, 0.1, MAX_TOTAL_SECONDS),
            format!("{}: {seconds}: must be 0.1 to {MAX_TOTAL_SECONDS}", key("seconds")),
        );
        let rate = phase.changes_per_second;
        check(
            is_within(rate, 0.0, 2000.0),
            format!("{}: {rate}: must be 0 to 2000", key("changes_per_second")),
        );
        let has_event_time = [PhaseKind::Zone, PhaseKind::KillServer, PhaseKind::Partition, PhaseKind::Stop]
            .contains(&phase.kind);
        let event = phase.event_seconds;
        check(
            !has_event_time || (event > 0.0 && event < seconds),
            format!("{}: {event}: must be above 0 and less than seconds", key("event_seconds")),
        );
        match phase.kind {
            PhaseKind::Steady => {}
            PhaseKind::Partition => {
                check(self.regions >= 2, format!("{}: a partition needs at least two regions", key("kind")));
            }
            PhaseKind::Rack => check(
                phase.rack_upstreams >= 1 && phase.rack_upstreams < self.upstreams,
                format!(
                    "{}: {}: must be at least 1 and less than upstreams",
                    key("rack_upstreams"),
                    phase.rack_upstreams
                ),
            ),
            PhaseKind::Zone => {
                check(
                    phase.zone < self.zone_count(),
                    format!(
                        "{}: {}: must be less than the number of zones ({})",
                        key("zone"),
                        phase.zone,
                        self.zone_count()
                    ),
                );
            }
            PhaseKind::Release => check(
                (1..=10).contains(&phase.tenths),
                format!("{}: {}: must be 1 to 10", key("tenths"), phase.tenths),
            ),
            PhaseKind::KillServer => {
                errors.extend(
                    self.killed_server_errors(&phase.servers)
                        .map(|error| format!("{}: {error}", key("servers"))),
                );
            }
            // A scenario has at least two hollow processes, whatever its share.
            PhaseKind::Stop => {
                check(phase.process < 2, format!("{}: {}: must be 0 or 1", key("process"), phase.process));
            }
        }
    }
}

/// Whether the value is from `min` to `max`; never true of NaN.
fn is_within(value: f64, min: f64, max: f64) -> bool {
    value >= min && value <= max
}
