//! The result of a scale run, as JSON and as a table.

use std::fmt::{self, Display};

use pondlb_control::RecordKind;
use serde::Serialize;

use super::measure::{Rates, Spread};
use super::scenario::PhaseKind;
use super::server_loads::ServerLoads;
use super::usage::RoleUsage;
use crate::judge::Violation;

/// The most failures of a kind that the table tells.
const MOST_TOLD: usize = 20;

/// What a run has shown.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Why the times and rules say nothing, if they do not.
    pub void: Option<String>,
    /// What failed, whatever the times: no convergence, wrong order, processes that ended.
    pub failures: Vec<String>,
    /// Rules of the traffic that were broken.
    pub broken: Vec<Violation>,
    /// How many of everything.
    pub sizes: Sizes,
    /// What differs from the fleet that the run stands for.
    pub remarks: Vec<String>,
    /// From the start of hollow and real balancers until all had the first state.
    pub start_seconds: f64,
    /// From the end of the last phase until all had the last version.
    pub settle_seconds: f64,
    /// How late the latest step of the time line was.
    pub latest_step_ms: f64,
    /// One for each phase.
    pub phases: Vec<PhaseReport>,
    /// From the first phase's start to the end.
    pub hollow_bytes_per_second: Rates,
    /// The same, of real balancers.
    pub real_bytes_per_second: Rates,
    /// Over all phases.
    pub usage: Vec<RoleUsage>,
    /// Over all phases, a hollow balancer's part of its process.
    pub hollow_balancer: Part,
    /// Memory of all processes together, at the moment of the phases when it was most.
    pub most_resident_mb: f64,
    /// How all ended.
    pub end: End,
}

/// What one of many in a process costs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Part {
    /// Milliseconds of processor time a second.
    pub processor_ms_per_second: f64,
    /// Memory at the end.
    pub resident_mb: f64,
}

/// How many of everything there were.
#[derive(Clone, Debug, Serialize)]
pub struct Sizes {
    pub balancers: u32,
    pub real_balancers: u32,
    pub hollow_balancers: u32,
    pub hollow_processes: u32,
    pub control_servers: usize,
    pub upstreams: u32,
    pub served_upstreams: u32,
    pub classes: u32,
    pub tenants: u32,
    /// Limits with a record.
    pub limits: u32,
    /// Processes in all, with the laboratory itself.
    pub processes: usize,
    pub memory_estimate_mb: u64,
}

/// The end of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct End {
    /// The version of the last commit.
    pub version: String,
    /// The origin's digest.
    pub digest: String,
    /// Balancers with that version and digest.
    pub balancers_same: usize,
    /// Control servers with that version and digest.
    pub servers_same: usize,
    /// Changes that were committed.
    pub changes: u64,
    /// Changes that were committed, by what they are of.
    pub changes_by_kind: ChangesByKind,
    /// Answers that hollow balancers did not take, over all of them.
    pub rejections: u64,
    /// Repairs that hollow balancers went through.
    pub repairs: u64,
    /// Snapshots that hollow balancers took.
    pub snapshots: u64,
}

/// Changes by the kind of record.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ChangesByKind {
    pub upstreams: u64,
    pub classes: u64,
    pub tenants: u64,
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

/// What one phase has shown.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseReport {
    pub name: String,
    pub kind: PhaseKind,
    pub seconds: f64,
    /// Changes that were committed in it.
    pub changes: u64,
    /// From commit to in force, at all balancers.
    pub in_force: Spread,
    /// At real ones.
    pub in_force_real: Spread,
    /// At those of each region.
    pub in_force_regions: Vec<Spread>,
    pub traffic: TrafficReport,
    /// Of the replica servers that were left while others were lost; none in other phases.
    pub server_loads: Option<ServerLoads>,
    /// Of real balancers, in a release.
    pub restarts: Vec<RestartReport>,
    pub usage: Vec<RoleUsage>,
}

/// A real balancer's restart.
#[derive(Clone, Debug, Serialize)]
pub struct RestartReport {
    pub balancer: u32,
    /// From SIGTERM to its end.
    pub ending_ms: f64,
    /// From its start until its health was good.
    pub start_to_serving_ms: f64,
    /// From its start until a call told the first state in force; none where that never came.
    pub start_to_in_force_ms: Option<f64>,
}

/// Times of the real traffic, from the intended send.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrafficReport {
    /// Requests through balancers.
    pub asked: usize,
    /// Of them, those not settled: declined, reversed, or without an answer.
    pub unsettled: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Requests straight to the upstreams.
    pub direct_asked: usize,
    pub direct_p50_ms: f64,
    pub direct_p99_ms: f64,
    /// What balancers add at the 99th percentile.
    pub added_p99_ms: f64,
}

/// What a run says, for its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All held.
    Held,
    /// Something failed or was broken.
    Failed,
    /// The laboratory ran late.
    Void,
}

impl Report {
    /// Failures don't hang on time, and so count in a void run too; broken rules may be the laboratory's own lateness.
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
        self.fmt_costs(to)?;
        self.fmt_end(to)
    }
}

impl Report {
    fn fmt_phases(&self, to: &mut fmt::Formatter) -> fmt::Result {
        writeln!(to, "\nmilliseconds from commit to in force")?;
        writeln!(
            to,
            "{:<22}{:>9}{:>10}{:>10}{:>10}{:>9}{:>11}{:>11}",
            "phase", "changes", "p50", "p99", "most", "never", "real p99", "real most"
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
        writeln!(to, "\nmilliseconds of the traffic, through balancers and straight to upstreams")?;
        writeln!(
            to,
            "{:<22}{:>9}{:>11}{:>10}{:>10}{:>12}{:>12}{:>11}",
            "phase", "asked", "unsettled", "p50", "p99", "direct p50", "direct p99", "added p99"
        )?;
        for PhaseReport { name, traffic: t, .. } in &self.phases {
            writeln!(
                to,
                "{name:<22}{:>9}{:>11}{:>10.1}{:>10.1}{:>12.1}{:>12.1}{:>11.1}",
                t.asked, t.unsettled, t.p50_ms, t.p99_ms, t.direct_p50_ms, t.direct_p99_ms, t.added_p99_ms
            )?;
        }
        Ok(())
    }

    fn fmt_server_loads(&self, to: &mut fmt::Formatter) -> fmt::Result {
        for phase in &self.phases {
            let Some(loads) = &phase.server_loads else { continue };
            writeln!(
                to,
                "\n{}: {} control servers left, counted for {:.1} s; a server's share is {:.0} bytes a second",
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
                writeln!(to, "{} balancers called none of them", loads.without_server)?;
            }
        }
        Ok(())
    }

    fn fmt_restarts(&self, to: &mut fmt::Formatter) -> fmt::Result {
        for PhaseReport { name, restarts, .. } in
            self.phases.iter().filter(|phase| !phase.restarts.is_empty())
        {
            writeln!(to, "\n{name}: milliseconds of real balancers' restarts")?;
            writeln!(to, "{:<10}{:>10}{:>12}{:>12}", "balancer", "to its end", "to serving", "to in force")?;
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

    fn fmt_costs(&self, to: &mut fmt::Formatter) -> fmt::Result {
        writeln!(to, "\nbytes a second of a balancer")?;
        for (name, rates) in
            [("hollow", &self.hollow_bytes_per_second), ("real", &self.real_bytes_per_second)]
        {
            let minute = rates.worst_minute.map_or("run too short".into(), |rate| format!("{rate:.0}"));
            writeln!(
                to,
                "{name:<8}mean {:.0} received, {:.0} sent; both ways worst 10 s {:.0}, worst minute {minute}, worst 10 s \
                 of one {:.0}",
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
                format!("{:?}", usage.role),
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
        tell(to, "failed", self.failures.iter().cloned())?;
        tell(to, "broken", self.broken.iter().map(|broken| format!("{}: {}", broken.rule, broken.detail)))?;
        match (self.verdict(), &self.void) {
            (Verdict::Void, Some(why)) => writeln!(to, "void: {why}"),
            (Verdict::Failed, Some(why)) => writeln!(to, "failed; times and rules are void: {why}"),
            (Verdict::Failed, None) => writeln!(to, "failed"),
            _ => writeln!(to, "all held"),
        }
    }
}

fn tell(to: &mut fmt::Formatter, kind: &str, what: impl ExactSizeIterator<Item = String>) -> fmt::Result {
    let more = what.len().saturating_sub(MOST_TOLD);
    for one in what.take(MOST_TOLD) {
        writeln!(to, "{kind}: {one}")?;
    }
    if more > 0 {
        writeln!(to, "and {more} more")?;
    }
    Ok(())
}
