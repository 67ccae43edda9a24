//! The report of a scale run, as JSON and as text tables.

use std::fmt::{self, Display};

use pondlb_control::RecordKind;
use serde::Serialize;

use super::measure::{ByteRates, PropagationTimes};
use super::scenario::PhaseKind;
use super::server_loads::ServerLoads;
use super::usage::RoleUsage;
use crate::judge::Violation;

/// The number of failures, and of broken rules, that the text lists at most.
const MAX_LISTED: usize = 20;

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Why the times and broken rules are not valid; `None` if they are.
    pub void: Option<String>,
    /// Failures that do not depend on times: missing convergence, updates in the wrong order, processes that exited.
    pub failures: Vec<String>,
    /// The rules that the traffic has broken, according to the judge.
    pub broken: Vec<Violation>,
    /// The numbers of processes and records.
    pub sizes: Sizes,
    /// How the run differs from the deployment that it stands for, and how its times are measured.
    pub remarks: Vec<String>,
    /// From the start of the hollow and real balancers until all had the initial state, in seconds.
    pub start_seconds: f64,
    /// From the end of the last phase until all balancers and control servers had the last version, in seconds.
    pub settle_seconds: f64,
    /// The largest delay of a step after its time in the timeline, in milliseconds.
    pub latest_step_ms: f64,
    /// The reports of the phases.
    pub phases: Vec<PhaseReport>,
    /// The control traffic of hollow balancers from the start of the first phase to the end.
    pub hollow_bytes_per_second: ByteRates,
    /// The control traffic of real balancers from the start of the first phase to the end.
    pub real_bytes_per_second: ByteRates,
    /// The usage of each role over all phases.
    pub usage: Vec<RoleUsage>,
    /// The mean cost of a hollow balancer over all phases.
    pub hollow_balancer: HollowBalancerCost,
    /// The largest memory of all processes together at the start or end of a phase, in MB.
    pub most_resident_mb: f64,
    /// The end of the run.
    pub end: EndReport,
}

/// The mean cost of one hollow balancer, which shares a process with many others.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct HollowBalancerCost {
    /// Processor time per second, in milliseconds.
    pub processor_ms_per_second: f64,
    /// Resident memory at the end, in MB.
    pub resident_mb: f64,
}

/// The numbers of processes and records of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Sizes {
    /// All balancers, real and hollow.
    pub balancers: u32,
    /// Balancers that are processes of their own, with traffic.
    pub real_balancers: u32,
    /// Balancers without traffic.
    pub hollow_balancers: u32,
    /// Processes that run the hollow balancers.
    pub hollow_processes: u32,
    /// The origin and the replica servers.
    pub control_servers: usize,
    /// Listed upstreams, including the served ones.
    pub upstreams: u32,
    /// Upstreams of the emulated fleet.
    pub served_upstreams: u32,
    /// Classes of requests.
    pub classes: u32,
    /// Tenants with a quota.
    pub tenants: u32,
    /// Limits that have a record.
    pub limits: u32,
    /// All processes, including the laboratory itself.
    pub processes: usize,
    /// The memory of all processes by estimate, in MB.
    pub memory_estimate_mb: u64,
}

/// The end of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EndReport {
    /// The origin's final version.
    pub version: String,
    /// The origin's final digest.
    pub digest: String,
    /// The number of balancers with this version and digest.
    pub balancers_same: usize,
    /// The number of control servers with this version and digest, including the origin.
    pub servers_same: usize,
    /// The number of committed changes.
    pub changes: u64,
    /// The number of committed changes of each kind of record.
    pub changes_by_kind: ChangesByKind,
    /// Answers of control servers that hollow balancers rejected, over all balancers.
    pub rejections: u64,
    /// Repairs that hollow balancers ran.
    pub repairs: u64,
    /// Snapshots that hollow balancers began to take.
    pub snapshots: u64,
}

/// The number of committed changes of each kind of record.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ChangesByKind {
    /// Changes of upstreams.
    pub upstreams: u64,
    /// Changes of classes.
    pub classes: u64,
    /// Changes of tenants.
    pub tenants: u64,
    /// Changes of limits.
    pub limits: u64,
}

impl ChangesByKind {
    /// Counts a change of a record of this kind.
    pub fn count(&mut self, kind: RecordKind) {
        *match kind {
            RecordKind::Upstream => &mut self.upstreams,
            RecordKind::Class => &mut self.classes,
            RecordKind::Tenant => &mut self.tenants,
            RecordKind::Limit => &mut self.limits,
        } += 1;
    }
}

/// The report of one phase.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseReport {
    /// The name of the phase in the scenario.
    pub name: String,
    /// The event of the phase.
    pub kind: PhaseKind,
    /// The length of the phase, in seconds.
    pub seconds: f64,
    /// The number of changes that were committed in the phase.
    pub changes: u64,
    /// The times of these changes from commit to in force, at all balancers.
    pub in_force: PropagationTimes,
    /// The same at real balancers.
    pub in_force_real: PropagationTimes,
    /// The same at the balancers of each region.
    pub in_force_regions: Vec<PropagationTimes>,
    /// The response times of the traffic.
    pub traffic: TrafficReport,
    /// The loads of the replica servers that kept running while others were killed; `None` in other phases.
    pub server_loads: Option<ServerLoads>,
    /// The restarts of real balancers, in a release.
    pub restarts: Vec<RestartReport>,
    /// The usage of each role during the phase.
    pub usage: Vec<RoleUsage>,
}

/// The restart of a real balancer.
#[derive(Clone, Debug, Serialize)]
pub struct RestartReport {
    /// The number of the balancer.
    pub balancer: u32,
    /// From SIGTERM to the exit of the process, in milliseconds.
    pub ending_ms: f64,
    /// From the start of the new process until its health check passed, in milliseconds.
    pub start_to_serving_ms: f64,
    /// From the start of the new process until one of its calls gave a first state as in force, in milliseconds; `None` if
    /// none did.
    pub start_to_in_force_ms: Option<f64>,
}

/// The response times of the traffic, measured from the time at which the plan intended to send each request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrafficReport {
    /// The number of requests through balancers.
    pub asked: usize,
    /// The number of them that were not settled: declined, reversed or without an answer.
    pub unsettled: usize,
    /// The median response time of settled requests through balancers, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of them, in milliseconds.
    pub p99_ms: f64,
    /// The number of requests that went directly to the upstreams.
    pub direct_asked: usize,
    /// The median response time of settled direct requests, in milliseconds.
    pub direct_p50_ms: f64,
    /// The 99th percentile of them, in milliseconds.
    pub direct_p99_ms: f64,
    /// The difference of both 99th percentiles: what balancers add, in milliseconds.
    pub added_p99_ms: f64,
}

/// The result of a run, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No failure and no broken rule.
    Held,
    /// There was a failure or a broken rule.
    Failed,
    /// There was no failure, but the laboratory ran too late for the times and rules to be valid.
    Void,
}

impl Report {
    /// The verdict of the report. Failures do not depend on times, so they also count in a void run. Broken rules do not,
    /// because the laboratory's own delays may have caused them.
    pub fn verdict(&self) -> Verdict {
        if !self.failures.is_empty() {
            Verdict::Failed
        } else if self.void.is_some() {
            Verdict::Void
        } else if !self.broken.is_empty() {
            Verdict::Failed
        } else {
            Verdict::Held
        }
    }
}

impl Display for Report {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let sizes = &self.sizes;
        writeln!(
            to,
            "{} balancers ({} real, {} hollow in {} processes), {} control servers, {} upstreams ({} served), {} \
             classes, {} tenants, {} limits, {} processes",
            sizes.balancers,
            sizes.real_balancers,
            sizes.hollow_balancers,
            sizes.hollow_processes,
            sizes.control_servers,
            sizes.upstreams,
            sizes.served_upstreams,
            sizes.classes,
            sizes.tenants,
            sizes.limits,
            sizes.processes
        )?;
        self.remarks.iter().try_for_each(|remark| writeln!(to, "- {remark}"))?;
        self.fmt_phases(to)?;
        self.fmt_traffic(to)?;
        self.fmt_server_loads(to)?;
        self.fmt_restarts(to)?;
        self.fmt_bytes_and_usage(to)?;
        self.fmt_end(to)
    }
}

impl Report {
    fn fmt_phases(&self, to: &mut fmt::Formatter) -> fmt::Result {
        writeln!(to, "\nmilliseconds from commit to in force")?;
        writeln!(
            to,
            "{:<22}{:>9}{:>10}{:>10}{:>10}{:>9}{:>11}{:>11}",
            "phase", "changes", "p50", "p99", "max", "never", "real p99", "real max"
        )?;
        for phase in &self.phases {
            let (all, real) = (&phase.in_force, &phase.in_force_real);
            writeln!(
                to,
                "{:<22}{:>9}{:>10.0}{:>10.0}{:>10.0}{:>9}{:>11.0}{:>11.0}",
                phase.name,
                phase.changes,
                all.p50_ms,
                all.p99_ms,
                all.most_ms,
                all.never,
                real.p99_ms,
                real.most_ms
            )?;
        }
        Ok(())
    }

    fn fmt_traffic(&self, to: &mut fmt::Formatter) -> fmt::Result {
        writeln!(to, "\nresponse times in milliseconds, through balancers and directly to upstreams")?;
        writeln!(
            to,
            "{:<22}{:>9}{:>11}{:>10}{:>10}{:>12}{:>12}{:>11}",
            "phase", "asked", "unsettled", "p50", "p99", "direct p50", "direct p99", "added p99"
        )?;
        for PhaseReport { name, traffic, .. } in &self.phases {
            writeln!(
                to,
                "{name:<22}{:>9}{:>11}{:>10.1}{:>10.1}{:>12.1}{:>12.1}{:>11.1}",
                traffic.asked,
                traffic.unsettled,
                traffic.p50_ms,
                traffic.p99_ms,
                traffic.direct_p50_ms,
                traffic.direct_p99_ms,
                traffic.added_p99_ms
            )?;
        }
        Ok(())
    }

    fn fmt_server_loads(&self, to: &mut fmt::Formatter) -> fmt::Result {
        for phase in &self.phases {
            let Some(loads) = &phase.server_loads else { continue };
            writeln!(
                to,
                "\n{}: {} replica servers left, measured for {:.1} s; a server's share is {:.0} bytes a second",
                phase.name,
                loads.servers.len(),
                loads.seconds,
                loads.share_bytes_per_second
            )?;
            writeln!(
                to,
                "{:<14}{:>7}{:>11}{:>15}{:>10}",
                "server", "region", "followers", "bytes a second", "of share"
            )?;
            for load in &loads.servers {
                writeln!(
                    to,
                    "{:<14}{:>7}{:>11}{:>15.0}{:>10.2}",
                    load.name, load.region, load.followers, load.bytes_per_second, load.of_share
                )?;
            }
            if loads.without_server > 0 {
                writeln!(to, "{} balancers called none of these servers", loads.without_server)?;
            }
        }
        Ok(())
    }

    fn fmt_restarts(&self, to: &mut fmt::Formatter) -> fmt::Result {
        for PhaseReport { name, restarts, .. } in
            self.phases.iter().filter(|phase| !phase.restarts.is_empty())
        {
            writeln!(to, "\n{name}: milliseconds of real balancers' restarts")?;
            writeln!(to, "{:<10}{:>10}{:>12}{:>12}", "balancer", "to exit", "to serving", "to in force")?;
            for restart in restarts {
                let in_force = restart.start_to_in_force_ms.map_or("never".into(), |ms| format!("{ms:.0}"));
                writeln!(
                    to,
                    "{:<10}{:>10.0}{:>12.0}{in_force:>12}",
                    restart.balancer, restart.ending_ms, restart.start_to_serving_ms
                )?;
            }
        }
        Ok(())
    }

    fn fmt_bytes_and_usage(&self, to: &mut fmt::Formatter) -> fmt::Result {
        writeln!(to, "\nbytes a second of a balancer")?;
        for (name, rates) in
            [("hollow", &self.hollow_bytes_per_second), ("real", &self.real_bytes_per_second)]
        {
            let minute = rates.worst_minute.map_or("run too short".into(), |rate| format!("{rate:.0}"));
            writeln!(
                to,
                "{name:<8}mean {:.0} received, {:.0} sent; both ways worst 10 s {:.0}, worst minute {minute}, worst 10 s \
                 of one balancer {:.0}",
                rates.mean_received, rates.mean_sent, rates.worst_window, rates.worst_balancer_window
            )?;
        }
        writeln!(
            to,
            "\n{:<18}{:>10}{:>12}{:>10}{:>14}{:>12}",
            "role", "processes", "processors", "MB", "largest MB", "peak MB"
        )?;
        for usage in &self.usage {
            writeln!(
                to,
                "{:<18}{:>10}{:>12.3}{:>10.0}{:>14.0}{:>12.0}",
                usage.role.label(),
                usage.processes,
                usage.processors,
                usage.resident_mb,
                usage.most_resident_mb,
                usage.most_peak_mb
            )?;
        }
        writeln!(
            to,
            "a hollow balancer: {:.3} ms of processor a second, {:.2} MB; all processes: {:.0} MB",
            self.hollow_balancer.processor_ms_per_second,
            self.hollow_balancer.resident_mb,
            self.most_resident_mb
        )
    }

    fn fmt_end(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let (end, sizes) = (&self.end, &self.sizes);
        writeln!(
            to,
            "\nstarted in {:.1} s, settled in {:.1} s, latest step {:.0} ms late",
            self.start_seconds, self.settle_seconds, self.latest_step_ms
        )?;
        writeln!(
            to,
            "{} changes to version {} with digest {}: {} of {} balancers and {} of {} control servers have it",
            end.changes,
            end.version,
            end.digest,
            end.balancers_same,
            sizes.balancers,
            end.servers_same,
            sizes.control_servers
        )?;
        writeln!(
            to,
            "{} changes of upstreams, {} of classes, {} of tenants, {} of limits",
            end.changes_by_kind.upstreams,
            end.changes_by_kind.classes,
            end.changes_by_kind.tenants,
            end.changes_by_kind.limits
        )?;
        writeln!(
            to,
            "{} rejections, {} repairs, {} snapshots at hollow balancers",
            end.rejections, end.repairs, end.snapshots
        )?;
        write_list(to, "failed", self.failures.iter().cloned())?;
        write_list(
            to,
            "broken",
            self.broken.iter().map(|broken| format!("{}: {}", broken.rule, broken.detail)),
        )?;
        match (self.verdict(), &self.void) {
            (Verdict::Void, Some(why)) => writeln!(to, "void: {why}"),
            (Verdict::Failed, Some(why)) => writeln!(to, "failed; times and rules are void: {why}"),
            (Verdict::Failed, None) => writeln!(to, "failed"),
            _ => writeln!(to, "all held"),
        }
    }
}

/// Writes one line for each entry, up to [`MAX_LISTED`], and the number of those that are left out.
fn write_list(
    to: &mut fmt::Formatter,
    label: &str,
    entries: impl ExactSizeIterator<Item = String>,
) -> fmt::Result {
    let more = entries.len().saturating_sub(MAX_LISTED);
    for entry in entries.take(MAX_LISTED) {
        writeln!(to, "{label}: {entry}")?;
    }
    if more > 0 {
        writeln!(to, "and {more} more")?;
    }
    Ok(())
}
