//! The real balancers of a run: their configuration, their traffic, and the ledgers of it for the judge.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until};

use super::clock;
use super::message::{BalancerBytes, ByteCounts, InForce};
use super::records::{TRAFFIC_CLASSES, zone_name};
use super::scenario::Scenario;
use super::tap::{Tap, TapLog};
use crate::balancers::{Balancers, Program, RestartDurations};
use crate::fleet::Fleet;
use crate::ledger::{ClientRequest, DrainNotice, Ledgers};
use crate::scenario::{self as traffic, Class, Effect, Rules, UpstreamSpec};

/// The memory limit of a real balancer in MB. The list of upstreams is longer than in a common deployment.
const BALANCER_MEMORY_MB: u32 = 1024;
/// How long a real balancer may take to become ready, which it is once it has the whole list of upstreams.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Part of the line that a balancer logs when its settings do not allow the value of a record. Its digest is right even
/// so, because it holds the record without applying it.
const RECORD_NOT_APPLIED_LOG_TEXT: &str = "it stays as it was";
/// The limit of sockets of a real balancer.
const BALANCER_SOCKETS: u32 = 2048;
/// The fraction of the requests that are not idempotent, and so must not run twice.
const NON_IDEMPOTENT_SHARE: f64 = 0.25;
/// Combined with the scenario's seed, so that direct traffic has other arrival times than balanced traffic.
const DIRECT_SEED_MASK: u64 = 0x5ca1_ab1e;
/// The number of requests that may wait at an upstream.
const MAX_WAITING_REQUESTS: usize = 64;
/// The number of connections that an upstream accepts.
const MAX_CONNECTIONS: usize = 1024;

/// The real balancers. Each reaches its control servers through [`Tap`]s of its own. The processes are killed when this is
/// dropped.
pub struct RealBalancers {
    /// The processes.
    pub balancers: Balancers,
    /// What the taps of each balancer have recorded.
    pub tap_logs: Vec<Rc<TapLog>>,
    _taps: Vec<Tap>,
}

/// The restart of a real balancer in a release.
#[derive(Clone, Copy, Debug)]
pub struct RealRestart {
    /// The number of the phase of the release.
    pub phase: usize,
    /// The number of the balancer.
    pub balancer: u32,
    /// When the new process was started, by the monotonic clock in microseconds.
    pub started_at_us: u64,
    /// How long the stop and the start took.
    pub durations: RestartDurations,
}

impl RealBalancers {
    /// Starts all real balancers and waits until each is ready. `servers` are the control servers of each region.
    ///
    /// # Errors
    /// The program is missing, or a balancer exits or is not ready in time.
    pub async fn start(
        program: &Program,
        scenario: &Scenario,
        fleet: &Fleet,
        servers: &[Vec<SocketAddr>],
    ) -> io::Result<RealBalancers> {
        let (mut tap_logs, mut taps, mut tap_addresses) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..scenario.real_balancers as usize {
            let log = Rc::new(TapLog::default());
            let mut addresses = Vec::new();
            for server in &servers[number % servers.len().max(1)] {
                let tap = Tap::start(scenario.listen, *server, log.clone()).await?;
                addresses.push(tap.address.to_string());
                taps.push(tap);
            }
            tap_logs.push(log);
            tap_addresses.push(addresses);
        }
        let adjust = |number: u32, config: &mut Value| {
            config["control"] =
                json!({ "servers": tap_addresses[number as usize], "hold_ms": scenario.hold_ms });
            config["known"] = json!({ "rev": 0, "all": true, "targets": [] });
            config["limits"] = json!({ "memory_mb": BALANCER_MEMORY_MB, "sockets": BALANCER_SOCKETS });
            let zones = (0..scenario.zone_count()).map(|zone| zone_name(zone, scenario.zones_per_region));
            config["settings"]["Zones"] = zones.collect();
            let regions = scenario.regions;
            let region = number % regions;
            let zone = region * scenario.zones_per_region + (number / regions) % scenario.zones_per_region;
            config["settings"]["MyZone"] = zone.into();
        };
        let balancers =
            Balancers::start(program, &balanced_traffic(scenario), fleet, READY_TIMEOUT, adjust).await?;
        Ok(RealBalancers { balancers, tap_logs, _taps: taps })
    }

    /// The versions that came in force at each balancer, in the order of time.
    pub fn in_force_series(&self) -> Vec<Vec<InForce>> {
        let series = |(number, log): (usize, &Rc<TapLog>)| {
            let balancer = number as u32;
            let states = log.states.borrow();
            let in_force = states.iter().map(|state| InForce {
                balancer,
                revision: state.version.revision,
                at_us: state.at_us,
            });
            in_force.collect()
        };
        self.tap_logs.iter().enumerate().map(series).collect()
    }

    /// Stops a balancer with SIGTERM, starts it again and waits until it is ready.
    ///
    /// # Errors
    /// The balancer does not exit, or does not become ready again, in time.
    async fn restart(&self, phase: usize, number: usize) -> io::Result<RealRestart> {
        let mut started_at_us = 0;
        let on_exit = || {
            self.tap_logs[number].start_new_run();
            started_at_us = clock::now_us();
        };
        let durations = self.balancers.restart(number, READY_TIMEOUT, on_exit).await?;
        Ok(RealRestart { phase, balancer: number as u32, started_at_us, durations })
    }

    /// Restarts all balancers one after the other, for the release of this phase. Each restart begins at its start time, or
    /// once the balancer before is ready if that is later.
    pub async fn rolling_restart(
        &self,
        phase: usize,
        start_times: Vec<Instant>,
    ) -> Vec<io::Result<RealRestart>> {
        let mut restarts = Vec::new();
        for (number, start_time) in start_times.into_iter().enumerate() {
            sleep_until(start_time).await;
            restarts.push(self.restart(phase, number).await);
        }
        restarts
    }

    /// A message for each balancer whose log shows that it could not put a record in force.
    pub fn records_not_applied(&self) -> Vec<String> {
        let message = |number: usize| {
            let log = self.balancers.log(number);
            let line = log.lines().find(|line| line.contains(RECORD_NOT_APPLIED_LOG_TEXT))?;
            Some(format!("real balancer {number} did not put a record in force: {line}"))
        };
        (0..self.tap_logs.len()).filter_map(message).collect()
    }

    /// The number of balancers that have this revision or a later one in force.
    pub fn count_at_revision(&self, revision: u64) -> usize {
        let has_revision =
            |log: &&Rc<TapLog>| log.in_force().is_some_and(|state| state.version.revision >= revision);
        self.tap_logs.iter().filter(has_revision).count()
    }
}

/// The traffic through the real balancers. Only they send requests to the served upstreams; hollow balancers send none.
pub fn balanced_traffic(scenario: &Scenario) -> traffic::Scenario {
    let rate = scenario.traffic.rate_each * f64::from(scenario.real_balancers);
    traffic_scenario(scenario, scenario.seed, scenario.real_balancers, rate)
}

/// The traffic that goes directly to the served upstreams at the same time, for comparison. In its scenario each served
/// upstream takes the place of a balancer.
pub fn direct_traffic(scenario: &Scenario) -> traffic::Scenario {
    let served = scenario.traffic.served_upstreams;
    traffic_scenario(scenario, scenario.seed ^ DIRECT_SEED_MASK, served, scenario.traffic.direct_rate)
}

fn traffic_scenario(scenario: &Scenario, seed: u64, targets: u32, rate: f64) -> traffic::Scenario {
    let options = &scenario.traffic;
    let class = |name: &str, effect, rate| Class {
        name: name.into(),
        effect,
        sla_ms: options.sla_ms,
        deadline_ms: options.expiry_ms,
        value: 1.0,
        requests_per_second: rate,
        work_ms: options.work_ms,
        heavy_share: 0.0,
    };
    let upstream = UpstreamSpec {
        count: options.served_upstreams,
        zone: "a".into(),
        group: 0,
        cores: options.cores,
        speed_factor: 1.0,
        max_queued: MAX_WAITING_REQUESTS,
        max_connections: MAX_CONNECTIONS,
        handshake_ms: 0.0,
    };
    traffic::Scenario {
        seed,
        seconds: scenario.total_seconds(),
        balancers: targets,
        probing_balancers: Vec::new(),
        min_in_time_share: 0.0,
        rules: Rules::default(),
        upstreams: vec![upstream],
        classes: vec![
            class(TRAFFIC_CLASSES[0], Effect::Idempotent, rate * (1.0 - NON_IDEMPOTENT_SHARE)),
            class(TRAFFIC_CLASSES[1], Effect::NonIdempotent, rate * NON_IDEMPOTENT_SHARE),
        ],
        faults: Vec::new(),
        bursts: Vec::new(),
    }
}

/// The ledgers of both kinds of traffic.
pub struct TrafficLedgers {
    /// The requests through balancers, with everything that the judge needs.
    pub balanced: Ledgers,
    /// The requests that went directly to the upstreams.
    pub direct: Vec<ClientRequest>,
}

/// Separates the ledgers of both kinds of traffic. An upstream can't tell the balancers apart, because all of them use
/// the same address of it, so the balancer of an attempt is taken from the request with the same id.
pub fn split_ledgers(mut ledgers: Ledgers, direct_ids: &HashSet<String>) -> TrafficLedgers {
    let (direct, requests) = ledgers.requests.drain(..).partition(|request| direct_ids.contains(&request.id));
    ledgers.requests = requests;
    ledgers.attempts.retain(|attempt| !direct_ids.contains(&attempt.id));
    let balancers_by_id: HashMap<&str, u32> =
        ledgers.requests.iter().map(|request| (&*request.id, request.balancer)).collect();
    for attempt in &mut ledgers.attempts {
        attempt.balancer = balancers_by_id.get(&*attempt.id).copied().unwrap_or(attempt.balancer);
    }
    TrafficLedgers { balanced: ledgers, direct }
}

/// For each balancer, when the drain of an upstream came in force there: at the first version with the revision of the
/// drain or a later one. `to_recorder_us` converts a time of the monotonic clock to that of the recorder.
pub fn drain_notices(
    series: &[Vec<InForce>],
    upstream: u32,
    revision: u64,
    to_recorder_us: impl Fn(u64) -> u64,
) -> Vec<DrainNotice> {
    let notice = |(balancer, series): (usize, &Vec<InForce>)| {
        let first = series.iter().find(|in_force| in_force.revision >= revision)?;
        Some(DrainNotice {
            balancer: balancer as u32,
            upstream: upstream as usize,
            incarnation: 0,
            at_us: to_recorder_us(first.at_us),
        })
    };
    series.iter().enumerate().filter_map(notice).collect()
}

/// Reads the byte counters of these taps now.
pub fn read_byte_counts(tap_logs: &[Rc<TapLog>]) -> ByteCounts {
    let bytes = |(number, log): (usize, &Rc<TapLog>)| BalancerBytes {
        balancer: number as u32,
        received: log.bytes_received.get(),
        sent: log.bytes_sent.get(),
        server: log.last_server.get(),
    };
    ByteCounts { at_us: clock::now_us(), balancers: tap_logs.iter().enumerate().map(bytes).collect() }
}
