//! The real balancers of a run: their configuration, their traffic, and what is judged of it.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until};

use super::clock;
use super::message::{Bytes, InForce, Traffic};
use super::records::{TRAFFIC_CLASSES, zone_name};
use super::scenario::Scenario;
use super::tap::{Heard, Tap};
use crate::balancers::{Balancers, Program, RestartDurations};
use crate::fleet::Fleet;
use crate::ledger::{ClientRequest, DrainNotice, Ledgers};
use crate::scenario::{self as traffic, Class, Effect, Rules, UpstreamSpec};

/// Memory that a real balancer may use: the list is longer than that of a common deployment.
const MEMORY_MB: u32 = 1024;
/// A real balancer serves once it has the whole list.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// What a balancer logs of a record that its settings do not allow. Its digest is right all the same.
const REFUSED: &str = "it stays as it was";
const SOCKETS: u32 = 2048;
/// The part of the requests that may run once only.
const ORDER_SHARE: f64 = 0.25;
/// Draws other arrivals for the direct way.
const DIRECT_SEED: u64 = 0x5ca1_ab1e;
/// Requests that may wait at an upstream, and connections to it.
const WAITING: usize = 64;
const CONNECTIONS: usize = 1024;

/// Real balancers, each behind taps of its own. They end with it.
pub struct RealBalancers {
    /// Their processes.
    pub balancers: Balancers,
    /// What each told its control servers.
    pub heard: Vec<Rc<Heard>>,
    _taps: Vec<Tap>,
}

/// A real balancer's restart in a release.
#[derive(Clone, Copy, Debug)]
pub struct RealRestart {
    /// Which balancer.
    pub balancer: u32,
    /// When it was started again, by the machine's clock.
    pub started_us: u64,
    /// How long its end and its start took.
    pub took: RestartDurations,
}

impl RealBalancers {
    /// Starts them, and waits until each serves.
    ///
    /// # Errors
    /// Where the program is missing, ends, or is not ready in time.
    pub async fn start(
        program: &Program,
        scenario: &Scenario,
        fleet: &Fleet,
        servers: &[Vec<SocketAddr>],
    ) -> io::Result<RealBalancers> {
        let (mut heard, mut taps, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..scenario.real_balancers as usize {
            let mine = Rc::new(Heard::default());
            let mut tapped = Vec::new();
            for server in &servers[number % servers.len().max(1)] {
                let tap = Tap::start(scenario.listen, *server, mine.clone()).await?;
                tapped.push(tap.address.to_string());
                taps.push(tap);
            }
            heard.push(mine);
            addresses.push(tapped);
        }
        let adjust = |number: u32, config: &mut Value| {
            config["control"] = json!({ "servers": addresses[number as usize], "hold_ms": scenario.hold_ms });
            config["known"] = json!({ "rev": 0, "all": true, "targets": [] });
            config["limits"] = json!({ "memory_mb": MEMORY_MB, "sockets": SOCKETS });
            let zones = (0..scenario.zones()).map(|zone| zone_name(zone, scenario.zones_per_region));
            config["settings"]["Zones"] = zones.collect();
            let regions = scenario.regions;
            let region = number % regions;
            let zone = region * scenario.zones_per_region + (number / regions) % scenario.zones_per_region;
            config["settings"]["MyZone"] = zone.into();
        };
        let balancers =
            Balancers::start(program, &through_balancers(scenario), fleet, READY_WITHIN, adjust).await?;
        Ok(RealBalancers { balancers, heard, _taps: taps })
    }

    /// What came in force at each of them, in the order of its times.
    pub fn in_force(&self) -> Vec<Vec<InForce>> {
        let series = |(number, heard): (usize, &Rc<Heard>)| {
            let balancer = number as u32;
            let told = heard.told.borrow();
            let news = told.iter();
            news.map(|told| InForce { balancer, revision: told.version.revision, at_us: told.at_us })
                .collect()
        };
        self.heard.iter().enumerate().map(series).collect()
    }

    /// Ends a balancer by SIGTERM and starts it again; returns once it serves.
    ///
    /// # Errors
    /// Where it does not end, or does not serve again.
    pub async fn restart(&self, number: usize) -> io::Result<RealRestart> {
        let mut started_us = 0;
        let ended = || {
            self.heard[number].begin_life();
            started_us = clock::now_us();
        };
        let took = self.balancers.restart(number, READY_WITHIN, ended).await?;
        Ok(RealRestart { balancer: number as u32, started_us, took })
    }

    /// Restarts all of them, one after the other; each at its turn or once the one before serves, which is later.
    pub async fn release(&self, turns: Vec<Instant>) -> Vec<io::Result<RealRestart>> {
        let mut restarts = Vec::new();
        for (number, turn) in turns.into_iter().enumerate() {
            sleep_until(turn).await;
            restarts.push(self.restart(number).await);
        }
        restarts
    }

    /// Records that balancers hold and could not put in force, by their logs.
    pub fn refusals(&self) -> Vec<String> {
        let refusal = |number: usize| {
            let log = self.balancers.log(number);
            let line = log.lines().find(|line| line.contains(REFUSED))?;
            Some(format!("real balancer {number} did not put a record in force: {line}"))
        };
        (0..self.heard.len()).filter_map(refusal).collect()
    }

    /// How many have this revision or a later one in force.
    pub fn with_revision(&self, revision: u64) -> usize {
        let has = |heard: &&Rc<Heard>| heard.in_force().is_some_and(|told| told.version.revision >= revision);
        self.heard.iter().filter(has).count()
    }
}

/// The traffic to the real balancers. They share the served upstreams among each other only: hollow balancers send
/// nothing.
pub fn through_balancers(scenario: &Scenario) -> traffic::Scenario {
    let rate = scenario.traffic.rate_each * f64::from(scenario.real_balancers);
    traffic_scenario(scenario, scenario.seed, scenario.real_balancers, rate)
}

/// The traffic straight to the served upstreams, beside the other: each of them takes the place of a balancer.
pub fn direct(scenario: &Scenario) -> traffic::Scenario {
    let served = scenario.traffic.served_upstreams;
    traffic_scenario(scenario, scenario.seed ^ DIRECT_SEED, served, scenario.traffic.direct_rate)
}

fn traffic_scenario(scenario: &Scenario, seed: u64, doors: u32, rate: f64) -> traffic::Scenario {
    let figures = &scenario.traffic;
    let scheme = |name: &str, effect, rate| Class {
        name: name.into(),
        effect,
        sla_ms: figures.sla_ms,
        deadline_ms: figures.expiry_ms,
        value: 1.0,
        requests_per_second: rate,
        work_ms: figures.work_ms,
        heavy_share: 0.0,
    };
    let machine = UpstreamSpec {
        count: figures.served_upstreams,
        zone: "a".into(),
        group: 0,
        cores: figures.cores,
        speed_factor: 1.0,
        max_queued: WAITING,
        max_connections: CONNECTIONS,
        handshake_ms: 0.0,
    };
    traffic::Scenario {
        seed,
        seconds: scenario.seconds(),
        balancers: doors,
        probing_balancers: Vec::new(),
        min_in_time_share: 0.0,
        rules: Rules::default(),
        upstreams: vec![machine],
        classes: vec![
            scheme(TRAFFIC_CLASSES[0], Effect::Idempotent, rate * (1.0 - ORDER_SHARE)),
            scheme(TRAFFIC_CLASSES[1], Effect::NonIdempotent, rate * ORDER_SHARE),
        ],
        faults: Vec::new(),
        bursts: Vec::new(),
    }
}

/// Ledgers of the two ways.
pub struct Ways {
    /// What went through balancers, with all that the judge needs.
    pub balanced: Ledgers,
    /// What went straight to the upstreams.
    pub direct: Vec<ClientRequest>,
}

/// Takes the ledgers of both ways apart. All balancers know an upstream by the same address, so that whose a posting
/// is follows from its request.
pub fn take_apart(mut ledgers: Ledgers, direct_ids: &HashSet<String>) -> Ways {
    let (direct, asked) = ledgers.requests.drain(..).partition(|asked| direct_ids.contains(&asked.id));
    ledgers.requests = asked;
    ledgers.attempts.retain(|run| !direct_ids.contains(&run.id));
    let askers: HashMap<&str, u32> =
        ledgers.requests.iter().map(|asked| (&*asked.id, asked.balancer)).collect();
    for run in &mut ledgers.attempts {
        run.balancer = askers.get(&*run.id).copied().unwrap_or(run.balancer);
    }
    Ways { balanced: ledgers, direct }
}

/// When each balancer had a drain in force: its later versions hold it too.
pub fn drains_told(
    series: &[Vec<InForce>],
    upstream: u32,
    revision: u64,
    to_book: impl Fn(u64) -> u64,
) -> Vec<DrainNotice> {
    let told = |(balancer, news): (usize, &Vec<InForce>)| {
        let first = news.iter().find(|news| news.revision >= revision)?;
        Some(DrainNotice {
            balancer: balancer as u32,
            upstream: upstream as usize,
            incarnation: 0,
            at_us: to_book(first.at_us),
        })
    };
    series.iter().enumerate().filter_map(told).collect()
}

/// The bytes that these have moved so far, read now.
pub fn traffic(heard: &[Rc<Heard>]) -> Traffic {
    let bytes = |(number, heard): (usize, &Rc<Heard>)| Bytes {
        balancer: number as u32,
        received: heard.received.get(),
        sent: heard.sent.get(),
        server: heard.server.get(),
    };
    Traffic { at_us: clock::now_us(), bytes: heard.iter().enumerate().map(bytes).collect() }
}
