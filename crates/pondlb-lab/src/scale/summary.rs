//! From what a run has gathered to its report. No I/O.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use pondlb_control::Version;

use super::hollows::Reported;
use super::measure::{ByteLedger, Committed, Times};
use super::message::{FinalState, InForce, Traffic};
use super::real::{RealRestart, Ways};
use super::records::LIMIT_COUNT;
use super::report::{ChangesByKind, End, Part, PhaseReport, Report, RestartReport, Sizes, TrafficReport};
use super::scenario::{PhaseKind, Scenario};
use super::server_loads::ServerLoads;
use super::servers::{Follower, ReplicaServer, ServerState};
use super::tap::Heard;
use super::timeline::bounds;
use super::usage::{Role, RoleUsage, Sample};
use crate::judge;
use crate::ledger::ClientRequest;
use crate::scenario as traffic;

/// The longest answer that is told apart, in microseconds.
const MOST_ANSWER_US: u64 = 120_000_000;
const SETTLED: u16 = 200;
/// What a balancer may take for control, both ways (docs/CAPACITY.md).
const BALANCER_BYTES_PER_SECOND: f64 = 4000.0;

/// All that a run has gathered.
pub struct Evidence<'a> {
    pub scenario: &'a Scenario,
    /// The traffic, as the judge knows it.
    pub traffic: &'a traffic::Scenario,
    /// Processes in all.
    pub processes: usize,
    /// In the order of their revisions.
    pub commits: &'a [Committed],
    /// Their changes.
    pub changes_by_kind: ChangesByKind,
    /// The revision of the initial state.
    pub first_revision: u64,
    /// The start of the first phase, by the machine's clock.
    pub from_us: u64,
    /// The same by the ledgers' clock.
    pub from_book_us: u64,
    /// When the last was gathered.
    pub end_us: u64,
    pub started: Duration,
    pub settled: Duration,
    pub latest_step_us: u64,
    /// What the run itself met.
    pub failures: Vec<String>,
    /// At the start of each phase, and at the end of the last.
    pub samples: &'a [Sample],
    /// Readings of real balancers' counters, with the phase that asked for them.
    pub real_loads: &'a [(usize, Traffic)],
    pub replica_servers: &'a [ReplicaServer],
    pub reported: &'a Reported,
    /// What came in force at each real balancer.
    pub real_series: &'a [Vec<InForce>],
    /// Restarts of real balancers, with their phase.
    pub real_restarts: &'a [(usize, RealRestart)],
    pub real_heard: &'a [Rc<Heard>],
    pub real_bytes: &'a ByteLedger,
    pub ways: &'a Ways,
    /// By name, the origin first; none where a server did not answer.
    pub server_states: &'a [(String, Option<ServerState>)],
    /// By name.
    pub followers: &'a BTreeMap<String, Follower>,
}

/// The report of a run.
pub fn summarize(mut evidence: Evidence) -> Report {
    let mut failures = std::mem::take(&mut evidence.failures);
    let evidence = &evidence;
    let phases: Vec<PhaseReport> =
        (0..evidence.scenario.phases.len()).map(|number| phase_report(evidence, number)).collect();
    failures.extend(never_in_force(evidence, &phases));
    failures.extend(evidence.reported.misorders.iter().cloned());
    if evidence.reported.unreadable > 0 {
        failures
            .push(format!("{} reports of hollow processes could not be read", evidence.reported.unreadable));
    }
    failures.extend(backwards(evidence.real_heard));
    let end = end(evidence, &mut failures);
    let ledgers = &evidence.ways.balanced;
    let usage = match (evidence.samples.first(), evidence.samples.last()) {
        (Some(first), Some(last)) => last.since(first),
        _ => Vec::new(),
    };
    Report {
        void: judge::void_reason(ledgers),
        failures,
        broken: judge::find_violations(evidence.traffic, ledgers),
        sizes: sizes(evidence),
        remarks: remarks(evidence.scenario),
        start_seconds: evidence.started.as_secs_f64(),
        settle_seconds: evidence.settled.as_secs_f64(),
        latest_step_ms: evidence.latest_step_us as f64 / 1000.0,
        phases,
        hollow_bytes_per_second: evidence.reported.bytes.rates(evidence.from_us, evidence.end_us),
        real_bytes_per_second: evidence.real_bytes.rates(evidence.from_us, evidence.end_us),
        hollow_balancer: hollow_balancer(&usage, evidence.scenario.hollow_balancers()),
        most_resident_mb: evidence.samples.iter().map(Sample::resident_mb).fold(0.0, f64::max),
        usage,
        end,
    }
}

/// What one hollow balancer costs, as a part of all hollow processes.
fn hollow_balancer(usage: &[RoleUsage], count: u32) -> Part {
    let all = usage.iter().find(|usage| usage.role == Role::HollowProcess);
    all.map_or_else(Part::default, |all| Part {
        processor_ms_per_second: all.processors * 1000.0 / f64::from(count),
        resident_mb: all.resident_mb / f64::from(count),
    })
}

fn sizes(evidence: &Evidence) -> Sizes {
    let scenario = evidence.scenario;
    Sizes {
        balancers: scenario.balancers,
        real_balancers: scenario.real_balancers,
        hollow_balancers: scenario.hollow_balancers(),
        hollow_processes: scenario.hollow_processes(),
        control_servers: scenario.replica_servers as usize + 1,
        upstreams: scenario.upstreams,
        served_upstreams: scenario.traffic.served_upstreams,
        classes: scenario.classes,
        tenants: scenario.tenants,
        limits: LIMIT_COUNT,
        processes: evidence.processes,
        memory_estimate_mb: scenario.memory_estimate() >> 20,
    }
}

fn remarks(scenario: &Scenario) -> Vec<String> {
    let mut remarks = vec![
        "upstreams that nobody serves are listed as leaving: real balancers hold them and send them nothing".into(),
        "real balancers share the served upstreams among each other only".into(),
        format!("at most {} followers of a hollow process take a first snapshot at once", scenario.starts_at_once),
        "a change that is committed while a balancer is restarted counts until that has it after its start".into(),
        "a change counts from the moment when its commit was sent; a real balancer's version is in force when its \
         next call says so"
            .into(),
    ];
    for phase in &scenario.phases {
        let (name, seconds) = (&phase.name, phase.event_seconds);
        match phase.kind {
            PhaseKind::Partition => {
                remarks.push(format!("{name}: {seconds} s in place of an hour"));
            }
            PhaseKind::Release if phase.tenths < 10 => {
                remarks
                    .push(format!("{name}: {} tenths of the hollow balancers in place of ten", phase.tenths));
            }
            _ => {}
        }
    }
    remarks
}

fn phase_report(evidence: &Evidence, number: usize) -> PhaseReport {
    let phase = &evidence.scenario.phases[number];
    let commits: Vec<Committed> =
        evidence.commits.iter().filter(|commit| commit.phase == number).copied().collect();
    let region_count = evidence.scenario.regions;
    let mut regions: Vec<Times> = (0..region_count).map(|_| Times::default()).collect();
    let (mut all, mut real) = (Times::default(), Times::default());
    for balancer in 0..evidence.scenario.balancers {
        let series = series(evidence, balancer);
        all.add(&commits, series);
        regions[(balancer % region_count) as usize].add(&commits, series);
        if balancer < evidence.scenario.real_balancers {
            real.add(&commits, series);
        }
    }
    let usage = match evidence.samples.get(number..number + 2) {
        Some([before, after]) => after.since(before),
        _ => Vec::new(),
    };
    PhaseReport {
        name: phase.name.clone(),
        kind: phase.kind,
        seconds: phase.seconds,
        changes: commits.iter().map(|commit| commit.last + 1 - commit.first).sum(),
        in_force: all.spread(),
        in_force_real: real.spread(),
        in_force_regions: regions.iter().map(Times::spread).collect(),
        traffic: traffic_report(evidence, number),
        server_loads: server_loads_report(evidence, number),
        restarts: restart_reports(evidence, number),
        usage,
    }
}

/// What came in force at a balancer, in the order of its times.
fn series<'a>(evidence: &'a Evidence, balancer: u32) -> &'a [InForce] {
    match evidence.real_series.get(balancer as usize) {
        Some(series) => series,
        None => evidence.reported.in_force.get(&balancer).map_or(&[], Vec::as_slice),
    }
}

fn traffic_report(evidence: &Evidence, number: usize) -> TrafficReport {
    let bounds = bounds(&evidence.scenario.phases);
    let from = evidence.from_book_us;
    let within = |asked: &&ClientRequest| {
        let at = asked.intended_us.saturating_sub(from);
        bounds.get(number).is_some_and(|(start, end)| (*start..*end).contains(&at))
    };
    let through: Vec<&ClientRequest> = evidence.ways.balanced.requests.iter().filter(within).collect();
    let direct: Vec<&ClientRequest> = evidence.ways.direct.iter().filter(within).collect();
    let ((p50_ms, p99_ms), (direct_p50_ms, direct_p99_ms)) = (quantiles(&through), quantiles(&direct));
    TrafficReport {
        asked: through.len(),
        unsettled: through.iter().filter(|asked| !is_settled(asked)).count(),
        p50_ms,
        p99_ms,
        direct_asked: direct.len(),
        direct_p50_ms,
        direct_p99_ms,
        added_p99_ms: p99_ms - direct_p99_ms,
    }
}

/// The loads of the servers that a phase has left over.
fn server_loads_report(evidence: &Evidence, number: usize) -> Option<ServerLoads> {
    let phase = &evidence.scenario.phases[number];
    if phase.kind != PhaseKind::KillServer {
        return None;
    }
    let left = evidence.replica_servers.iter().enumerate();
    let left = left.filter(|(replica, _)| !phase.servers.contains(&(*replica as u32)));
    let left: Vec<ReplicaServer> = left.map(|(_, server)| server.clone()).collect();
    let readings = evidence.reported.server_loads.iter().chain(evidence.real_loads);
    let readings = readings.filter(|(phase, _)| *phase == number).map(|(_, traffic)| traffic);
    Some(ServerLoads::new(&left, readings, share_bytes_per_second(evidence.scenario)))
}

fn restart_reports(evidence: &Evidence, number: usize) -> Vec<RestartReport> {
    let restarts = evidence.real_restarts.iter().filter(|(phase, _)| *phase == number);
    restarts.map(|(_, restart)| restart_report(evidence, restart)).collect()
}

fn restart_report(evidence: &Evidence, restart: &RealRestart) -> RestartReport {
    let series = series(evidence, restart.balancer);
    let first = series.iter().find(|news| news.at_us >= restart.started_us);
    let milliseconds = |duration: Duration| duration.as_secs_f64() * 1000.0;
    RestartReport {
        balancer: restart.balancer,
        ending_ms: milliseconds(restart.took.shutdown),
        start_to_serving_ms: milliseconds(restart.took.startup),
        start_to_in_force_ms: first.map(|first| (first.at_us - restart.started_us) as f64 / 1000.0),
    }
}

/// What each control server has to carry of all balancers' bytes when all are there.
fn share_bytes_per_second(scenario: &Scenario) -> f64 {
    BALANCER_BYTES_PER_SECOND * f64::from(scenario.balancers) / f64::from(scenario.replica_servers + 1)
}

fn is_settled(asked: &ClientRequest) -> bool {
    asked.answered_us.is_some() && asked.status == SETTLED
}

/// The median and the 99th percentile of settled requests, in milliseconds.
fn quantiles(asked: &[&ClientRequest]) -> (f64, f64) {
    let Ok(mut times) = Histogram::<u64>::new_with_bounds(1, MOST_ANSWER_US, 3) else { return (0.0, 0.0) };
    for asked in asked.iter().filter(|asked| is_settled(asked)) {
        times.saturating_record(asked.answered_us.unwrap_or_default().saturating_sub(asked.intended_us));
    }
    let milliseconds = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    (milliseconds(0.5), milliseconds(0.99))
}

fn never_in_force(evidence: &Evidence, phases: &[PhaseReport]) -> Option<String> {
    let pairs: u64 = phases.iter().map(|phase| phase.in_force.never).sum();
    let last = evidence.commits.last().map_or(evidence.first_revision, |commit| commit.last);
    let lacks = |balancer: &u32| series(evidence, *balancer).last().is_none_or(|news| news.revision < last);
    let balancers: Vec<u32> = (0..evidence.scenario.balancers).filter(lacks).collect();
    let first = balancers.first();
    let first = first.map(|first| format!(", first balancer {first}")).unwrap_or_default();
    (pairs > 0 || !balancers.is_empty()).then(|| {
        format!(
            "{} balancers never converged{first}: {pairs} pairs of a change and a balancer never in force",
            balancers.len()
        )
    })
}

/// Real balancers whose version went down.
fn backwards(real: &[Rc<Heard>]) -> Vec<String> {
    let fell = real.iter().enumerate().filter(|(_, heard)| heard.went_back.get());
    fell.map(|(balancer, _)| format!("real balancer {balancer} went back to an older version")).collect()
}

/// Compares all states at the end with the origin's.
fn end(evidence: &Evidence, failures: &mut Vec<String>) -> End {
    let origin = evidence.server_states.first().and_then(|(_, state)| *state);
    let Some(origin) = origin else {
        failures.push("the origin did not tell its state at the end".into());
        return End::default();
    };
    let mut servers_same = 0;
    for (name, state) in evidence.server_states {
        match state {
            Some(state) if *state == origin => servers_same += 1,
            Some(state) => failures.push(format!(
                "{name} ended at {} with {}, the origin at {} with {}",
                state.version, state.digest, origin.version, origin.digest
            )),
            None => failures.push(format!("{name} did not tell its state at the end")),
        }
    }
    let hollow = evidence.scenario.real_balancers..evidence.scenario.balancers;
    let (same, different): (Vec<u32>, Vec<u32>) =
        hollow.partition(|balancer| hollow_has(evidence, *balancer, &origin));
    let real = evidence.real_heard.iter().filter(|heard| real_has(heard, &origin)).count();
    let different = different.len() + evidence.real_heard.len() - real;
    if different > 0 {
        failures.push(format!("{different} balancers ended with another version or digest than the origin"));
    }
    let sum = |count: fn(&FinalState) -> u64| evidence.reported.finals.values().map(count).sum();
    End {
        version: origin.version.to_string(),
        digest: origin.digest.to_string(),
        balancers_same: same.len() + real,
        servers_same,
        changes: evidence.commits.iter().map(|commit| commit.last + 1 - commit.first).sum(),
        changes_by_kind: evidence.changes_by_kind,
        rejections: sum(|state| state.rejections),
        repairs: sum(|state| state.repairs),
        snapshots: sum(|state| state.snapshots),
    }
}

/// Its own digest tells; where the last update came without one, its server's word that the digest was right.
fn hollow_has(evidence: &Evidence, balancer: u32, origin: &ServerState) -> bool {
    let Some(state) = evidence.reported.finals.get(&balancer) else { return false };
    let follower = evidence.followers.get(&format!("hollow-{balancer}"));
    let confirmed =
        |version: Version| follower.is_some_and(|follower| follower.in_sync && follower.version == version);
    state.version == origin.version
        && state.digest.map_or_else(|| confirmed(state.version), |digest| digest == origin.digest)
}

fn real_has(heard: &Heard, origin: &ServerState) -> bool {
    heard
        .in_force()
        .is_some_and(|last| last.version == origin.version && last.digest == origin.digest.to_string())
}
