//! Scenarios: parses and checks the TOML files, and draws the arrivals of a run from their seed. No I/O.

#[cfg(test)]
mod tests;

use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};

/// One thing that is wrong with a scenario: the key, its value and what is allowed.
pub type ScenarioError = String;

/// What is played to the balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seeds the arrivals and the balancers' own random choices.
    pub seed: u64,
    /// How long requests arrive, in seconds. The run ends once the last request has been answered or has timed out.
    pub seconds: f64,
    /// How many balancers run.
    pub balancers: u32,
    /// Indices of the balancers that probe upstreams for their load. They may not hedge: the judge allows them only
    /// one outstanding attempt for each request. The other balancers hedge and never probe.
    #[serde(default, rename = "asking")]
    pub probing_balancers: Vec<u32>,
    /// The share of its requests that each of the two groups, the balancers that probe and the others, has to serve
    /// within the SLA time. A group below it counts as starved by the other.
    #[serde(default, rename = "least_in_time")]
    pub min_in_time_share: f64,
    /// The limits that the balancers are configured with and that the judge checks.
    #[serde(default)]
    pub rules: Rules,
    /// The emulated upstreams.
    pub upstreams: Vec<UpstreamSpec>,
    /// The request classes.
    #[serde(rename = "schemes")]
    pub classes: Vec<Class>,
    /// The faults that are injected.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Times of higher load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// A time during which the rate of every class is higher. Where bursts overlap, the highest factor counts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Its start, in seconds from the start of the load.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// Its length in seconds.
    #[serde(rename = "for")]
    pub duration_seconds: f64,
    /// The multiple of the usual rate.
    #[serde(rename = "times")]
    pub rate_factor: f64,
}

/// The limits of drains and of cold upstreams. The balancers are configured with them, the emulated upstreams behave
/// by them, and the judge checks them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a balancer may go on sending to an upstream after it was notified of its drain.
    pub drain_grace_ms: u64,
    /// The share of its full capacity that an upstream has at its start.
    #[serde(rename = "cold_share")]
    pub initial_capacity_share: f64,
    /// The load, as a multiple of its present capacity, under which a cold upstream collapses.
    #[serde(rename = "fall_multiple")]
    pub collapse_load_factor: f64,
    /// The window over which that load is summed.
    #[serde(rename = "fall_ms")]
    pub collapse_window_ms: u64,
    /// The time from an upstream's start until it has its full capacity.
    #[serde(rename = "warm_ms")]
    pub warm_up_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 500,
            initial_capacity_share: 0.3,
            collapse_load_factor: 4.0,
            collapse_window_ms: 2000,
            warm_up_ms: 5000,
        }
    }
}

/// One or more emulated upstreams of the same size.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Machine", deny_unknown_fields)]
pub struct UpstreamSpec {
    /// How many there are.
    #[serde(default = "default_count")]
    pub count: u32,
    /// Their zone.
    #[serde(default = "default_zone")]
    pub zone: String,
    /// The deduplication group: upstreams of one group recognise each other's keyed requests.
    #[serde(default)]
    pub group: u32,
    /// Cores of each; a core works on one request at a time.
    #[serde(default = "default_cores")]
    pub cores: u32,
    /// The speed of a core, relative to a standard core.
    #[serde(default = "default_speed_factor", rename = "speed")]
    pub speed_factor: f64,
    /// Requests that may wait for a core; further ones are rejected as overload.
    #[serde(default = "default_max_queued", rename = "waiting")]
    pub max_queued: usize,
    /// Connections that it holds open; further ones are closed as they are accepted.
    #[serde(default = "default_max_connections", rename = "connections")]
    pub max_connections: usize,
    /// Extra work for the first request on a connection, in milliseconds of a standard core.
    #[serde(default)]
    pub handshake_ms: f64,
}

fn default_count() -> u32 {
    1
}

fn default_zone() -> String {
    "a".into()
}

fn default_cores() -> u32 {
    1
}

fn default_speed_factor() -> f64 {
    1.0
}

fn default_max_queued() -> usize {
    32
}

fn default_max_connections() -> usize {
    256
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Scheme", deny_unknown_fields)]
pub struct Class {
    /// Its name on the wire.
    pub name: String,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// A request has its full value only if it is served within this time.
    pub sla_ms: u64,
    /// A request has to be answered within this time.
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: u64,
    /// What a request served within the SLA time is worth.
    pub value: f64,
    /// The arrival rate over all balancers, outside bursts.
    #[serde(rename = "rate")]
    pub requests_per_second: f64,
    /// The mean work of an ordinary request, in milliseconds of a standard core.
    pub work_ms: f64,
    /// The share of the requests that have ten times that work.
    #[serde(default, rename = "heavy")]
    pub heavy_share: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// It may run any number of times.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Upstreams of one deduplication group drop a repeated id until the request's deadline.
    #[serde(rename = "referenced")]
    Keyed,
    /// It may run once at most.
    #[serde(rename = "once-only")]
    NonIdempotent,
}

/// A fault that is injected at a set time, for good or for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Trouble", deny_unknown_fields)]
pub struct Fault {
    /// Its start, in seconds from the start of the load.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// Its length in seconds; it never ends if this is left out.
    #[serde(rename = "for")]
    pub duration_seconds: Option<f64>,
    /// What happens.
    pub kind: FaultKind,
    /// Index of the upstream, or of the balancer for `FaultKind::KillBalancer`.
    #[serde(default, rename = "which")]
    pub target_index: usize,
    /// The zone for `FaultKind::KillZone`.
    #[serde(default)]
    pub zone: String,
    /// How many times slower for `FaultKind::Slow`; for `FaultKind::Silent`, every how many requests one is lost.
    #[serde(default = "default_factor")]
    pub factor: f64,
}

fn default_factor() -> f64 {
    8.0
}

/// The faults that can be injected.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(expecting = "enum Kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Work takes `factor` times as long.
    Slow,
    /// Requests are accepted, and their work is done, but they are never answered.
    Hang,
    /// Every request is answered with 500 at once.
    Errors,
    /// The process dies: its connections are reset and new ones refused. It starts again cold.
    Kill,
    /// Responses are truncated, and the connection is closed.
    Cut,
    /// Responses are not HTTP.
    Spoil,
    /// On every `factor`th request the connection goes silent for good, and the request never runs.
    Silent,
    /// All upstreams of a zone die, and start again cold.
    KillZone,
    /// Discovery lists the upstream as leaving.
    Drain,
    /// Like `Drain`, and then the process ends and a cold one with a new uid starts at its address.
    Replace,
    /// Discovery ends its watches and answers every request with 503.
    DiscoveryDown,
    /// A balancer is killed by SIGKILL and started again.
    KillBalancer,
}

/// A request of the plan.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedRequest {
    /// Unique in the run, and different for other seeds.
    pub id: String,
    /// When it is sent, in microseconds from the start of the load.
    pub at_us: u64,
    /// Index of its class in the scenario.
    #[serde(rename = "scheme")]
    pub class: usize,
    /// Index of the balancer to which it is sent.
    pub balancer: u32,
    /// Its work in microseconds of a standard core.
    pub work_us: u64,
}

const MAX_DURATION_SECONDS: f64 = 600.0;
const MAX_REQUESTS: f64 = 2_000_000.0;
const MAX_UPSTREAMS: u32 = 1024;
const MAX_BALANCERS: u32 = 1024;
/// How much more work a heavy request has than an ordinary one.
const HEAVY_WORK_FACTOR: f64 = 10.0;

/// The errors found so far.
#[derive(Default)]
struct Checks {
    errors: Vec<ScenarioError>,
}

impl Checks {
    /// Adds the error if the condition does not hold.
    fn require(&mut self, condition: bool, error: ScenarioError) {
        self.errors.extend((!condition).then_some(error));
    }
}

/// Whether the value is at least `min` and at most `max`. Not a number is never within.
fn is_within(value: f64, min: f64, max: f64) -> bool {
    value >= min && value <= max
}

impl Scenario {
    /// Parses a scenario and checks it.
    ///
    /// # Errors
    /// Everything that is wrong with it, so that all of it can be corrected at once.
    pub fn parse(text: &str) -> Result<Scenario, Vec<ScenarioError>> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| vec![e.to_string().trim().into()])?;
        let errors = scenario.find_errors();
        if errors.is_empty() { Ok(scenario) } else { Err(errors) }
    }

    fn find_errors(&self) -> Vec<ScenarioError> {
        let mut checks = Checks::default();
        self.check_sizes(&mut checks);
        self.check_upstreams(&mut checks);
        self.check_classes(&mut checks);
        self.check_bursts(&mut checks);
        self.check_faults(&mut checks);
        checks.errors
    }

    fn upstream_count(&self) -> u64 {
        self.upstreams.iter().map(|spec| u64::from(spec.count)).sum()
    }

    fn check_sizes(&self, checks: &mut Checks) {
        checks.require(
            is_within(self.seconds, 0.1, MAX_DURATION_SECONDS),
            format!("seconds: {}: must be 0.1 to 600", self.seconds),
        );
        checks.require(
            (1..=MAX_BALANCERS).contains(&self.balancers),
            format!("balancers: {}: must be 1 to {MAX_BALANCERS}", self.balancers),
        );
        let unknown = self.probing_balancers.iter().find(|n| **n >= self.balancers);
        checks.require(
            unknown.is_none(),
            format!("asking: {}: must be below {}", unknown.unwrap_or(&0), self.balancers),
        );
        checks.require(
            is_within(self.min_in_time_share, 0.0, 1.0),
            format!("least_in_time: {}: must be 0 to 1", self.min_in_time_share),
        );
        checks.require(!self.upstreams.is_empty(), "upstreams: at least one is required".into());
        checks.require(!self.classes.is_empty(), "schemes: at least one is required".into());
        let upstream_count = self.upstream_count();
        checks.require(
            upstream_count <= u64::from(MAX_UPSTREAMS),
            format!("upstreams: {upstream_count} in total: must be at most {MAX_UPSTREAMS}"),
        );
    }

    fn check_upstreams(&self, checks: &mut Checks) {
        for (n, spec) in self.upstreams.iter().enumerate() {
            checks.require(spec.count >= 1, format!("upstreams[{n}].count: 0: must be at least 1"));
            checks.require(
                (1..=256).contains(&spec.cores),
                format!("upstreams[{n}].cores: {}: must be 1 to 256", spec.cores),
            );
            checks.require(
                is_within(spec.speed_factor, 0.01, 100.0),
                format!("upstreams[{n}].speed: {}: must be 0.01 to 100", spec.speed_factor),
            );
            checks.require(
                is_within(spec.handshake_ms, 0.0, 1000.0),
                format!("upstreams[{n}].handshake_ms: {}: must be 0 to 1000", spec.handshake_ms),
            );
        }
    }

    fn check_classes(&self, checks: &mut Checks) {
        for (n, class) in self.classes.iter().enumerate() {
            let key = |key: &str| format!("schemes[{n}].{key}");
            checks.require(class.sla_ms >= 1, format!("{}: 0: must be at least 1", key("sla_ms")));
            checks.require(
                class.deadline_ms <= 60_000,
                format!("{}: {}: must be at most 60000", key("expiry_ms"), class.deadline_ms),
            );
            checks.require(
                class.deadline_ms >= class.sla_ms,
                format!("{}: {}: must be at least sla_ms", key("expiry_ms"), class.deadline_ms),
            );
            checks.require(
                is_within(class.requests_per_second, 0.0, 100_000.0),
                format!("{}: {:?}: must be 0 to 100000", key("rate"), class.requests_per_second),
            );
            checks.require(
                is_within(class.work_ms, 0.01, 60_000.0),
                format!("{}: {}: must be 0.01 to 60000", key("work_ms"), class.work_ms),
            );
            checks.require(
                is_within(class.heavy_share, 0.0, 1.0),
                format!("{}: {}: must be 0 to 1", key("heavy"), class.heavy_share),
            );
            checks.require(
                is_within(class.value, 0.0, 1e6),
                format!("{}: {}: must be 0 to 1000000", key("value"), class.value),
            );
            checks.require(
                self.classes[..n].iter().all(|other| other.name != class.name),
                format!("{}: {:?}: is used by another scheme", key("name"), class.name),
            );
        }
        let requests = self.classes.iter().map(|class| class.requests_per_second).sum::<f64>()
            * self.seconds
            * self.max_rate_factor();
        checks.require(
            requests <= MAX_REQUESTS,
            format!("schemes: {requests:?} txns in total: must be at most 2000000"),
        );
    }

    fn check_bursts(&self, checks: &mut Checks) {
        for (n, burst) in self.bursts.iter().enumerate() {
            checks.require(
                is_within(burst.at_seconds, 0.0, self.seconds),
                format!("bursts[{n}].at: {}: must be within the run", burst.at_seconds),
            );
            checks.require(
                is_within(burst.duration_seconds, 0.0, MAX_DURATION_SECONDS),
                format!("bursts[{n}].for: {}: must be 0 to 600", burst.duration_seconds),
            );
            checks.require(
                is_within(burst.rate_factor, 1.0, 100.0),
                format!("bursts[{n}].times: {}: must be 1 to 100", burst.rate_factor),
            );
        }
    }

    fn check_faults(&self, checks: &mut Checks) {
        for (n, fault) in self.faults.iter().enumerate() {
            let zone_exists = fault.kind != FaultKind::KillZone
                || self.upstreams.iter().any(|spec| spec.zone == fault.zone);
            checks.require(
                zone_exists,
                format!("faults[{n}].zone: {:?}: no upstream is in this zone", fault.zone),
            );
            let has_end = fault.kind != FaultKind::Replace || fault.duration_seconds.is_some();
            checks.require(
                has_end,
                format!("faults[{n}].for: missing: the time until the old process ends is required"),
            );
            checks.require(
                is_within(fault.at_seconds, 0.0, self.seconds),
                format!("faults[{n}].at: {}: must be within the run", fault.at_seconds),
            );
            checks.require(
                fault.duration_seconds.is_none_or(|s| is_within(s, 0.0, MAX_DURATION_SECONDS)),
                format!("faults[{n}].for: {:?}: must be 0 to 600", fault.duration_seconds),
            );
            checks.require(
                is_within(fault.factor, 1.0, 1e6),
                format!("faults[{n}].factor: {}: must be 1 to 1000000", fault.factor),
            );
            let target_count = match fault.kind {
                FaultKind::KillBalancer => u64::from(self.balancers),
                FaultKind::DiscoveryDown => 1,
                _ => self.upstream_count(),
            };
            checks.require(
                (fault.target_index as u64) < target_count,
                format!("faults[{n}].which: {}: must be below {target_count}", fault.target_index),
            );
        }
    }

    /// The upstreams one by one, in the order of their indices.
    pub fn upstream_specs(&self) -> Vec<UpstreamSpec> {
        self.upstreams.iter().flat_map(|spec| vec![spec.clone(); spec.count as usize]).collect()
    }

    /// Draws all arrivals. The load is open: the times are fixed before anything is sent, so that a slow balancer
    /// does not reduce its own load. The same scenario and seed give the same plan, byte for byte.
    pub fn plan(&self) -> Vec<PlannedRequest> {
        let mut plan = Vec::new();
        for (number, class) in
            self.classes.iter().enumerate().filter(|(_, class)| class.requests_per_second > 0.0)
        {
            let mut rng = WyRand::new_seed(self.seed ^ ((number as u64 + 1) << 32));
            let mut at_seconds = 0.0;
            loop {
                at_seconds += -(1.0 - rng.generate::<f64>()).ln()
                    / (class.requests_per_second * self.max_rate_factor());
                if at_seconds >= self.seconds {
                    break;
                }
                // Thinning: arrivals are drawn at the highest rate and kept with the probability that the present
                // rate is of it.
                if rng.generate::<f64>() * self.max_rate_factor() >= self.rate_factor_at(at_seconds) {
                    continue;
                }
                let heavy_factor =
                    if rng.generate::<f64>() < class.heavy_share { HEAVY_WORK_FACTOR } else { 1.0 };
                let work_us = class.work_ms * 1000.0 * heavy_factor * (0.5 + rng.generate::<f64>());
                let balancer = rng.generate_range(0..self.balancers);
                let (at_us, work_us) = ((at_seconds * 1e6) as u64, work_us as u64);
                plan.push(PlannedRequest { id: String::new(), at_us, class: number, balancer, work_us });
            }
        }
        plan.sort_by_key(|planned| (planned.at_us, planned.class));
        for (n, planned) in plan.iter_mut().enumerate() {
            planned.id = format!("t{:x}-{n}", self.seed);
        }
        plan
    }

    fn rate_factor_at(&self, at_seconds: f64) -> f64 {
        let is_active = |burst: &&Burst| {
            (burst.at_seconds..burst.at_seconds + burst.duration_seconds).contains(&at_seconds)
        };
        self.bursts.iter().filter(is_active).map(|burst| burst.rate_factor).fold(1.0, f64::max)
    }

    fn max_rate_factor(&self) -> f64 {
        self.bursts.iter().map(|burst| burst.rate_factor).fold(1.0, f64::max)
    }
}
