//! Scenarios: TOML to what is checked, and a seed to the arrivals. No I/O.

#[cfg(test)]
mod tests;

use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};

/// What is wrong with a scenario: the key and the fault, in plain words.
pub type Fault = String;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub seed: u64,
    /// How long requests arrive; the run is over once the last of them has had its time.
    pub seconds: f64,
    pub balancers: u32,
    /// Which balancers, from 0, ask upstreams for their load and may not have two attempts of a request out; the
    /// others do neither.
    #[serde(default)]
    pub asking: Vec<u32>,
    /// The part of its requests that either kind of balancers has to serve in time, or it is starved.
    #[serde(default)]
    pub least_in_time: f64,
    #[serde(default)]
    pub rules: Rules,
    pub upstreams: Vec<Machine>,
    #[serde(rename = "schemes")]
    pub classes: Vec<Class>,
    #[serde(default)]
    pub faults: Vec<Trouble>,
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// More of everything for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at: f64,
    #[serde(rename = "for")]
    pub lasts: f64,
    pub times: f64,
}

/// The figures of the four rules, as the balancers are told them and as the judge holds them to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub drain_grace_ms: u64,
    pub cold_share: f64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub warm_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { drain_grace_ms: 500, cold_share: 0.3, fall_multiple: 4.0, fall_ms: 2000, warm_ms: 5000 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    #[serde(default = "one")]
    pub count: u32,
    #[serde(default = "zone")]
    pub zone: String,
    /// Those of one group know each other's keyed requests.
    #[serde(default)]
    pub group: u32,
    #[serde(default = "one")]
    pub cores: u32,
    /// Work done in a second of one core, in seconds of a standard core.
    #[serde(default = "speed")]
    pub speed: f64,
    /// Requests that may wait for a core; more are turned away as full.
    #[serde(default = "waiting")]
    pub waiting: usize,
    /// Connections that it holds; more are closed as they come.
    #[serde(default = "connections")]
    pub connections: usize,
    #[serde(default)]
    pub handshake_ms: f64,
}

fn one() -> u32 {
    1
}

fn zone() -> String {
    "a".into()
}

fn speed() -> f64 {
    1.0
}

fn waiting() -> usize {
    32
}

fn connections() -> usize {
    256
}

#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Scheme", deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub effect: Effect,
    pub sla_ms: u64,
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: u64,
    pub value: f64,
    /// Requests a second over the whole fleet.
    pub rate: f64,
    pub work_ms: f64,
    /// A part of the requests has ten times that work.
    #[serde(default)]
    pub heavy: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    #[serde(rename = "repeatable")]
    Idempotent,
    /// A repeat is dropped within the group, for the request's own time.
    #[serde(rename = "referenced")]
    Keyed,
    #[serde(rename = "once-only")]
    NonIdempotent,
}

/// Something that goes wrong at a moment, for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Seconds from the first arrival.
    pub at: f64,
    /// Seconds that it lasts; no end where it is left out.
    #[serde(rename = "for")]
    pub lasts: Option<f64>,
    pub kind: Kind,
    /// Which upstream, or which balancer where one is killed; counted from 0.
    #[serde(default)]
    pub which: usize,
    /// Which zone, where one is lost.
    #[serde(default)]
    pub zone: String,
    /// How many times slower; for silent connections, one in how many requests.
    #[serde(default = "factor")]
    pub factor: f64,
}

fn factor() -> f64 {
    8.0
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Work takes longer.
    Slow,
    /// Requests are taken and never answered.
    Hang,
    /// 500 at once.
    Errors,
    /// The process dies: connections reset, new ones refused; it comes back cold.
    Kill,
    /// Answers end in their midst.
    Cut,
    /// Answers are noise.
    Spoil,
    /// Every `factor`th request's connection says nothing from then on; the request never runs.
    Silent,
    /// All upstreams of a zone die, and come back cold.
    KillZone,
    /// The list says that it leaves.
    Drain,
    /// The same, and then it ends; another comes under a new uid at its address, cold.
    Replace,
    /// Discovery ends its watches and answers 503.
    DiscoveryDown,
    /// A balancer is killed outright and started anew.
    KillBalancer,
}

/// A request that will be sent, as drawn ahead.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Planned {
    pub id: String,
    pub at_us: u64,
    #[serde(rename = "scheme")]
    pub class: usize,
    pub balancer: u32,
    pub work_us: u64,
}

const MOST_SECONDS: f64 = 600.0;
const MOST_REQUESTS: f64 = 2_000_000.0;
const MOST_UPSTREAMS: u32 = 1024;
const MOST_BALANCERS: u32 = 1024;

impl Scenario {
    /// All that is wrong, so that nobody mends one fault only to meet the next.
    pub fn read(text: &str) -> Result<Scenario, Vec<Fault>> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| vec![e.to_string().trim().into()])?;
        let faults = scenario.faults_found();
        if faults.is_empty() { Ok(scenario) } else { Err(faults) }
    }

    fn faults_found(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut check = |ok: bool, fault: String| faults.extend((!ok).then_some(fault));
        let within = |value: f64, least: f64, most: f64| value >= least && value <= most;
        check(
            within(self.seconds, 0.1, MOST_SECONDS),
            format!("seconds: {}: 0.1 to 600 wanted", self.seconds),
        );
        check(
            (1..=MOST_BALANCERS).contains(&self.balancers),
            format!("balancers: {}: 1 to {MOST_BALANCERS}", self.balancers),
        );
        let stranger = self.asking.iter().find(|n| **n >= self.balancers);
        check(stranger.is_none(), format!("asking: {stranger:?}: there are {}", self.balancers));
        check(within(self.least_in_time, 0.0, 1.0), format!("least_in_time: {}: 0 to 1", self.least_in_time));
        check(!self.upstreams.is_empty(), "upstreams: the fleet is empty".into());
        check(!self.classes.is_empty(), "schemes: there is none".into());
        let all = self.upstreams.iter().map(|m| u64::from(m.count)).sum::<u64>();
        check(all <= u64::from(MOST_UPSTREAMS), format!("upstreams: {all} in all: {MOST_UPSTREAMS} at most"));
        for (n, m) in self.upstreams.iter().enumerate() {
            check(m.count >= 1, format!("upstreams[{n}].count: 0: 1 at least"));
            check((1..=256).contains(&m.cores), format!("upstreams[{n}].cores: {}: 1 to 256", m.cores));
            check(within(m.speed, 0.01, 100.0), format!("upstreams[{n}].speed: {}: 0.01 to 100", m.speed));
            check(
                within(m.handshake_ms, 0.0, 1000.0),
                format!("upstreams[{n}].handshake_ms: {}: 0 to 1000", m.handshake_ms),
            );
        }
        for (n, s) in self.classes.iter().enumerate() {
            let key = |key: &str| format!("schemes[{n}].{key}");
            check(s.sla_ms >= 1, format!("{}: 0: 1 at least", key("sla_ms")));
            check(s.deadline_ms <= 60_000, format!("{}: {}: 60000 at most", key("expiry_ms"), s.deadline_ms));
            check(
                s.deadline_ms >= s.sla_ms,
                format!("{}: {} is less than sla_ms", key("expiry_ms"), s.deadline_ms),
            );
            check(within(s.rate, 0.0, 100_000.0), format!("{}: {:?}: 0 to 100000", key("rate"), s.rate));
            check(
                within(s.work_ms, 0.01, 60_000.0),
                format!("{}: {}: 0.01 to 60000", key("work_ms"), s.work_ms),
            );
            check(within(s.heavy, 0.0, 1.0), format!("{}: {}: 0 to 1", key("heavy"), s.heavy));
            check(within(s.value, 0.0, 1e6), format!("{}: {}: 0 to 1000000", key("value"), s.value));
            check(
                self.classes[..n].iter().all(|o| o.name != s.name),
                format!("{}: {:?} is there twice", key("name"), s.name),
            );
        }
        let requests = self.classes.iter().map(|s| s.rate).sum::<f64>() * self.seconds * self.most_times();
        check(requests <= MOST_REQUESTS, format!("schemes: {requests:?} txns in all: 2000000 at most"));
        for (n, b) in self.bursts.iter().enumerate() {
            check(
                within(b.at, 0.0, self.seconds),
                format!("bursts[{n}].at: {}: within the run wanted", b.at),
            );
            check(within(b.lasts, 0.0, MOST_SECONDS), format!("bursts[{n}].for: {}: 0 to 600", b.lasts));
            check(within(b.times, 1.0, 100.0), format!("bursts[{n}].times: {}: 1 to 100", b.times));
        }
        for (n, f) in self.faults.iter().enumerate() {
            let is_zone = f.kind != Kind::KillZone || self.upstreams.iter().any(|m| m.zone == f.zone);
            check(is_zone, format!("faults[{n}].zone: {:?}: no upstream is there", f.zone));
            let ends = f.kind != Kind::Replace || f.lasts.is_some();
            check(ends, format!("faults[{n}].for: missing: how long the old one has to end"));
            check(
                within(f.at, 0.0, self.seconds),
                format!("faults[{n}].at: {}: within the run wanted", f.at),
            );
            check(
                f.lasts.is_none_or(|s| within(s, 0.0, MOST_SECONDS)),
                format!("faults[{n}].for: {:?}: 0 to 600", f.lasts),
            );
            check(within(f.factor, 1.0, 1e6), format!("faults[{n}].factor: {}: 1 to 1000000", f.factor));
            let there = match f.kind {
                Kind::KillBalancer => u64::from(self.balancers),
                Kind::DiscoveryDown => 1,
                _ => all,
            };
            check((f.which as u64) < there, format!("faults[{n}].which: {}: there are {there}", f.which));
        }
        faults
    }

    /// The machines one by one.
    pub fn fleet(&self) -> Vec<Machine> {
        self.upstreams.iter().flat_map(|m| vec![m.clone(); m.count as usize]).collect()
    }

    /// All arrivals, drawn before anything is sent: a slow balancer can't slow its own load down. The same
    /// scenario and seed give the same, byte for byte.
    pub fn plan(&self) -> Vec<Planned> {
        let mut plan = Vec::new();
        for (number, class) in self.classes.iter().enumerate().filter(|(_, s)| s.rate > 0.0) {
            let mut rng = WyRand::new_seed(self.seed ^ ((number as u64 + 1) << 32));
            let mut at = 0.0;
            loop {
                at += -(1.0 - rng.generate::<f64>()).ln() / (class.rate * self.most_times());
                if at >= self.seconds {
                    break;
                }
                // Drawn at the highest rate, and kept as often as the present one is of that.
                if rng.generate::<f64>() * self.most_times() >= self.times(at) {
                    continue;
                }
                let heavy = if rng.generate::<f64>() < class.heavy { 10.0 } else { 1.0 };
                let work = class.work_ms * 1000.0 * heavy * (0.5 + rng.generate::<f64>());
                let balancer = rng.generate_range(0..self.balancers);
                let (at_us, work_us) = ((at * 1e6) as u64, work as u64);
                plan.push(Planned { id: String::new(), at_us, class: number, balancer, work_us });
            }
        }
        plan.sort_by_key(|p| (p.at_us, p.class));
        for (n, planned) in plan.iter_mut().enumerate() {
            planned.id = format!("t{:x}-{n}", self.seed);
        }
        plan
    }

    fn times(&self, at: f64) -> f64 {
        let on = self.bursts.iter().filter(|b| (b.at..b.at + b.lasts).contains(&at));
        on.map(|b| b.times).fold(1.0, f64::max)
    }

    fn most_times(&self) -> f64 {
        self.bursts.iter().map(|b| b.times).fold(1.0, f64::max)
    }
}
