//! Computes the report from the data that a run has collected. No I/O.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use pondlb_control::Version;

use super::hollow_processes::HollowReports;
use super::measure::{ByteLedger, Commit, PropagationRecorder};
use super::message::{FinalState, InForce};
use super::real_balancers::{RealRestart, TrafficLedgers};
use super::records::LIMIT_COUNT;
use super::report::{
    ChangesByKind, EndReport, HollowBalancerCost, PhaseReport, Report, RestartReport, Sizes, TrafficReport,
};
use super::scenario::{PhaseKind, Scenario};
use super::server_loads::{ServerLoadReading, ServerLoads};
use super::servers::{FinalServerState, Follower, ReplicaServer, ServerState};
use super::tap::TapLog;
use super::timeline::phase_bounds_us;
use super::usage::{Role, RoleUsage, UsageSample};
use crate::judge;
use crate::ledger::ClientRequest;
use crate::scenario as traffic;

/// The longest response time that the histogram distinguishes, in microseconds; longer ones count as this.
const MAX_RECORDED_RESPONSE_US: u64 = 120_000_000;
/// The status of the answer to a settled request.
const SETTLED_STATUS: u16 = 200;
/// The traffic with control servers that a balancer may cause on average, in both directions (docs/CAPACITY.md).
const BALANCER_BUDGET_BYTES_PER_SECOND: f64 = 4000.0;

/// All data that a run has collected.
pub struct RunData<'a> {
    /// The scenario of the run.
    pub scenario: &'a Scenario,
    /// The traffic through balancers, as the judge needs it.
    pub traffic: &'a traffic::Scenario,
    /// The number of all processes, including the laboratory.
    pub process_count: usize,
    /// All commits in the order of their revisions.
    pub commits: &'a [Commit],
    /// The number of committed changes of each kind of record.
    pub changes_by_kind: ChangesByKind,
    /// The revision of the initial state.
    pub first_revision: u64,
    /// The start of the first phase, by the monotonic clock in microseconds.
    pub phases_start_us: u64,
    /// The start of the first phase, by the recorder's clock in microseconds.
    pub phases_start_recorder_us: u64,
    /// When the last data were collected, by the monotonic clock in microseconds.
    pub end_us: u64,
    /// From the start of the balancers until all had the initial state.
    pub start_duration: Duration,
    /// From the end of the last phase until all had the last version.
    pub convergence_duration: Duration,
    /// The largest delay of a step after its time in the timeline, in microseconds.
    pub latest_step_us: u64,
    /// Failures that the run met.
    pub failures: Vec<String>,
    /// The usage of all processes at the start of each phase and at the end of the last.
    pub usage_samples: &'a [UsageSample],
    /// Readings of the byte counters of real balancers while replica servers are killed.
    pub real_server_load_readings: &'a [ServerLoadReading],
    /// The replica servers in the order of their numbers.
    pub replica_servers: &'a [ReplicaServer],
    /// The reports of all hollow processes.
    pub hollow_reports: &'a HollowReports,
    /// The versions that came in force at each real balancer, in the order of time.
    pub real_in_force: &'a [Vec<InForce>],
    /// The restarts of real balancers in releases.
    pub real_restarts: &'a [RealRestart],
    /// What the taps of each real balancer have recorded.
    pub tap_logs: &'a [Rc<TapLog>],
    /// The byte counters of real balancers over time.
    pub real_balancer_bytes: &'a ByteLedger,
    /// The ledgers of the traffic through balancers and of the direct traffic.
    pub traffic_ledgers: &'a TrafficLedgers,
    /// The final states of all control servers, the origin first.
    pub server_states: &'a [FinalServerState],
    /// The followers of all control servers, by name.
    pub followers: &'a BTreeMap<String, Follower>,
}

/// Makes the report of a run.
pub fn summarize(mut data: RunData) -> Report {
    let mut failures = std::mem::take(&mut data.failures);
    let data = &data;
    let phases: Vec<PhaseReport> =
        (0..data.scenario.phases.len()).map(|number| phase_report(data, number)).collect();
    failures.extend(convergence_failure(data, &phases));
    failures.extend(data.hollow_reports.order_violations.iter().cloned());
    if data.hollow_reports.unreadable_lines > 0 {
        failures.push(format!(
            "{} reports of hollow processes are unreadable",
            data.hollow_reports.unreadable_lines
        ));
    }
    failures.extend(version_regressions(data.tap_logs));
    let end = end_report(data, &mut failures);
    let ledgers = &data.traffic_ledgers.balanced;
    let usage = match (data.usage_samples.first(), data.usage_samples.last()) {
        (Some(first), Some(last)) => last.usage_since(first),
        _ => Vec::new(),
    };
    Report {
        void: judge::void_reason(ledgers),
        failures,
        broken: judge::find_violations(data.traffic, ledgers),
        sizes: size_report(data),
        remarks: remarks(data.scenario),
        start_seconds: data.start_duration.as_secs_f64(),
        settle_seconds: data.convergence_duration.as_secs_f64(),
        latest_step_ms: data.latest_step_us as f64 / 1000.0,
        phases,
        hollow_bytes_per_second: data.hollow_reports.bytes.rates(data.phases_start_us, data.end_us),
        real_bytes_per_second: data.real_balancer_bytes.rates(data.phases_start_us, data.end_us),
        hollow_balancer: hollow_balancer_cost(&usage, data.scenario.hollow_balancer_count()),
        most_resident_mb: data.usage_samples.iter().map(UsageSample::resident_mb).fold(0.0, f64::max),
        usage,
        end,
    }
}

/// The mean cost of one hollow balancer: the usage of all hollow processes divided by their balancers.
fn hollow_balancer_cost(usage: &[RoleUsage], count: u32) -> HollowBalancerCost {
    let total = usage.iter().find(|usage| usage.role == Role::HollowProcess);
    total.map_or_else(HollowBalancerCost::default, |total| HollowBalancerCost {
        processor_ms_per_second: total.processors * 1000.0 / f64::from(count),
        resident_mb: total.resident_mb / f64::from(count),
    })
}

fn size_report(data: &RunData) -> Sizes {
    let scenario = data.scenario;
    Sizes {
        balancers: scenario.balancers,
        real_balancers: scenario.real_balancers,
        hollow_balancers: scenario.hollow_balancer_count(),
        hollow_processes: scenario.hollow_process_count(),
        control_servers: scenario.replica_servers as usize + 1,
        upstreams: scenario.upstreams,
        served_upstreams: scenario.traffic.served_upstreams,
        classes: scenario.classes,
        tenants: scenario.tenants,
        limits: LIMIT_COUNT,
        processes: data.process_count,
        memory_estimate_mb: scenario.memory_estimate_bytes() >> 20,
    }
}

/// How the run differs from the deployment that it stands for, and how its times are measured.
fn remarks(scenario: &Scenario) -> Vec<String> {
    let mut remarks = vec![
        "upstreams without a server process are listed as leaving: real balancers hold them but send them no requests"
            .into(),
        "only real balancers send requests to the served upstreams".into(),
        format!(
            "at most {} balancers of a hollow process take their first snapshot at the same time",
            scenario.starts_at_once
        ),
        "the time of a change that is committed while a balancer restarts includes the rest of the restart".into(),
        "the time of a change begins when its commit is sent; at a real balancer it ends when the next call gives the \
         version as in force"
            .into(),
    ];
    for phase in &scenario.phases {
        let (name, seconds) = (&phase.name, phase.event_seconds);
        match phase.kind {
            PhaseKind::Partition => {
                remarks.push(format!("{name}: the event lasts {seconds} s instead of an hour"));
            }
            PhaseKind::Release if phase.tenths < 10 => {
                remarks.push(format!(
                    "{name}: restarts {} tenths of the hollow balancers instead of all",
                    phase.tenths
                ));
            }
            _ => {}
        }
    }
    remarks
}

fn phase_report(data: &RunData, number: usize) -> PhaseReport {
    let phase = &data.scenario.phases[number];
    let commits: Vec<Commit> = data.commits.iter().filter(|commit| commit.phase == number).copied().collect();
    let region_count = data.scenario.regions;
    let mut regions: Vec<PropagationRecorder> =
        (0..region_count).map(|_| PropagationRecorder::default()).collect();
    let (mut all, mut real) = (PropagationRecorder::default(), PropagationRecorder::default());
    for balancer in 0..data.scenario.balancers {
        let series = in_force_series(data, balancer);
        all.add_balancer(&commits, series);
        regions[(balancer % region_count) as usize].add_balancer(&commits, series);
        if balancer < data.scenario.real_balancers {
            real.add_balancer(&commits, series);
        }
    }
    let usage = match data.usage_samples.get(number..number + 2) {
        Some([before, after]) => after.usage_since(before),
        _ => Vec::new(),
    };
    PhaseReport {
        name: phase.name.clone(),
        kind: phase.kind,
        seconds: phase.seconds,
        changes: commits.iter().map(|commit| commit.last_revision + 1 - commit.first_revision).sum(),
        in_force: all.summary(),
        in_force_real: real.summary(),
        in_force_regions: regions.iter().map(PropagationRecorder::summary).collect(),
        traffic: traffic_report(data, number),
        server_loads: server_loads_report(data, number),
        restarts: restart_reports(data, number),
        usage,
    }
}

/// The versions that came in force at a balancer, in the order of time.
fn in_force_series<'a>(data: &'a RunData, balancer: u32) -> &'a [InForce] {
    match data.real_in_force.get(balancer as usize) {
        Some(series) => series,
        None => data.hollow_reports.in_force.get(&balancer).map_or(&[], Vec::as_slice),
    }
}

fn traffic_report(data: &RunData, number: usize) -> TrafficReport {
    let bounds = phase_bounds_us(&data.scenario.phases);
    let from = data.phases_start_recorder_us;
    let is_in_phase = |request: &&ClientRequest| {
        let at = request.intended_us.saturating_sub(from);
        bounds.get(number).is_some_and(|(start, end)| (*start..*end).contains(&at))
    };
    let balanced: Vec<&ClientRequest> =
        data.traffic_ledgers.balanced.requests.iter().filter(is_in_phase).collect();
    let direct: Vec<&ClientRequest> = data.traffic_ledgers.direct.iter().filter(is_in_phase).collect();
    let ((p50_ms, p99_ms), (direct_p50_ms, direct_p99_ms)) =
        (response_quantiles_ms(&balanced), response_quantiles_ms(&direct));
    TrafficReport {
        asked: balanced.len(),
        unsettled: balanced.iter().filter(|request| !is_settled(request)).count(),
        p50_ms,
        p99_ms,
        direct_asked: direct.len(),
        direct_p50_ms,
        direct_p99_ms,
        added_p99_ms: p99_ms - direct_p99_ms,
    }
}

/// The loads of the replica servers that a phase does not kill; `None` if it kills none.
fn server_loads_report(data: &RunData, number: usize) -> Option<ServerLoads> {
    let phase = &data.scenario.phases[number];
    if phase.kind != PhaseKind::KillServer {
        return None;
    }
    let all = data.replica_servers.iter().enumerate();
    let running = all.filter(|(replica, _)| !phase.servers.contains(&(*replica as u32)));
    let running: Vec<ReplicaServer> = running.map(|(_, server)| server.clone()).collect();
    let readings = data.hollow_reports.server_load_readings.iter().chain(data.real_server_load_readings);
    let readings = readings.filter(|reading| reading.phase == number).map(|reading| &reading.counts);
    Some(ServerLoads::new(&running, readings, share_bytes_per_second(data.scenario)))
}

fn restart_reports(data: &RunData, number: usize) -> Vec<RestartReport> {
    let restarts = data.real_restarts.iter().filter(|restart| restart.phase == number);
    restarts.map(|restart| restart_report(data, restart)).collect()
}

fn restart_report(data: &RunData, restart: &RealRestart) -> RestartReport {
    let series = in_force_series(data, restart.balancer);
    let first = series.iter().find(|in_force| in_force.at_us >= restart.started_at_us);
    let milliseconds = |duration: Duration| duration.as_secs_f64() * 1000.0;
    RestartReport {
        balancer: restart.balancer,
        ending_ms: milliseconds(restart.durations.shutdown),
        start_to_serving_ms: milliseconds(restart.durations.startup),
        start_to_in_force_ms: first.map(|first| (first.at_us - restart.started_at_us) as f64 / 1000.0),
    }
}

/// The load of one control server if all balancers use their whole budget and all servers, with the origin, share it
/// evenly.
fn share_bytes_per_second(scenario: &Scenario) -> f64 {
    BALANCER_BUDGET_BYTES_PER_SECOND * f64::from(scenario.balancers) / f64::from(scenario.replica_servers + 1)
}

fn is_settled(request: &ClientRequest) -> bool {
    request.answered_us.is_some() && request.status == SETTLED_STATUS
}

/// The median and the 99th percentile of settled requests, in milliseconds.
fn response_quantiles_ms(requests: &[&ClientRequest]) -> (f64, f64) {
    let Ok(mut times) = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_RESPONSE_US, 3) else {
        return (0.0, 0.0);
    };
    for request in requests.iter().filter(|request| is_settled(request)) {
        times.saturating_record(request.answered_us.unwrap_or_default().saturating_sub(request.intended_us));
    }
    let milliseconds = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    (milliseconds(0.5), milliseconds(0.99))
}

/// A message if a change never came in force at a balancer, or a balancer does not have the last revision.
fn convergence_failure(data: &RunData, phases: &[PhaseReport]) -> Option<String> {
    let pairs: u64 = phases.iter().map(|phase| phase.in_force.never).sum();
    let last = data.commits.last().map_or(data.first_revision, |commit| commit.last_revision);
    let lacks = |balancer: &u32| {
        in_force_series(data, *balancer).last().is_none_or(|in_force| in_force.revision < last)
    };
    let balancers: Vec<u32> = (0..data.scenario.balancers).filter(lacks).collect();
    let first = balancers.first();
    let first = first.map(|first| format!(", first balancer {first}")).unwrap_or_default();
    (pairs > 0 || !balancers.is_empty()).then(|| {
        format!(
            "{} balancers never converged{first}: {pairs} pairs of a change and a balancer never in force",
            balancers.len()
        )
    })
}

/// A message for each real balancer that went back to an older version without a restart.
fn version_regressions(tap_logs: &[Rc<TapLog>]) -> Vec<String> {
    let regressed = tap_logs.iter().enumerate().filter(|(_, log)| log.has_regressed.get());
    regressed.map(|(balancer, _)| format!("real balancer {balancer} went back to an older version")).collect()
}

/// Compares the final states of all servers and balancers with the origin's, and adds a failure for each difference.
fn end_report(data: &RunData, failures: &mut Vec<String>) -> EndReport {
    let origin = data.server_states.first().and_then(|server| server.state);
    let Some(origin) = origin else {
        failures.push("the origin did not report its final state".into());
        return EndReport::default();
    };
    let mut servers_same = 0;
    for FinalServerState { name, state } in data.server_states {
        match state {
            Some(state) if *state == origin => servers_same += 1,
            Some(state) => failures.push(format!(
                "{name} ended at version {} with digest {}, but the origin at version {} with digest {}",
                state.version, state.digest, origin.version, origin.digest
            )),
            None => failures.push(format!("{name} did not report its final state")),
        }
    }
    let hollow = data.scenario.real_balancers..data.scenario.balancers;
    let (same, different): (Vec<u32>, Vec<u32>) =
        hollow.partition(|balancer| hollow_balancer_matches(data, *balancer, &origin));
    let real = data.tap_logs.iter().filter(|log| real_balancer_matches(log, &origin)).count();
    let different = different.len() + data.tap_logs.len() - real;
    if different > 0 {
        failures.push(format!("{different} balancers ended with another version or digest than the origin"));
    }
    let sum = |count: fn(&FinalState) -> u64| data.hollow_reports.final_states.values().map(count).sum();
    EndReport {
        version: origin.version.to_string(),
        digest: origin.digest.to_string(),
        balancers_same: same.len() + real,
        servers_same,
        changes: data.commits.iter().map(|commit| commit.last_revision + 1 - commit.first_revision).sum(),
        changes_by_kind: data.changes_by_kind,
        rejections: sum(|state| state.rejections),
        repairs: sum(|state| state.repairs),
        snapshots: sum(|state| state.snapshots),
    }
}

/// Whether a hollow balancer ended with the origin's version and digest. If its last update came without a digest, the
/// control server that it called must have confirmed the balancer's digest at that version.
fn hollow_balancer_matches(data: &RunData, balancer: u32, origin: &ServerState) -> bool {
    let Some(state) = data.hollow_reports.final_states.get(&balancer) else { return false };
    let follower = data.followers.get(&format!("hollow-{balancer}"));
    let confirmed =
        |version: Version| follower.is_some_and(|follower| follower.in_sync && follower.version == version);
    state.version == origin.version
        && state.digest.map_or_else(|| confirmed(state.version), |digest| digest == origin.digest)
}

/// Whether a real balancer ended with the origin's version and digest, according to its calls.
fn real_balancer_matches(log: &TapLog, origin: &ServerState) -> bool {
    log.in_force()
        .is_some_and(|last| last.version == origin.version && last.digest == origin.digest.to_string())
}
