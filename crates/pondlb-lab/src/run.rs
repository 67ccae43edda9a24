//! A run: plays a scenario to balancers with the emulated fleet and the load, and reports the violations and figures.

#[cfg(test)]
mod tests;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::balancers::{Balancers, Program, READY_TIMEOUT};
use crate::fleet::{Fleet, Recorder};
use crate::judge::{self, Violation};
use crate::ledger::{BalancerCrash, Ledgers};
use crate::load::{Endpoint, Failover, send_planned};
use crate::report::Timeline;
use crate::scenario::{FaultKind, Scenario};

/// Time between the moment at which all balancers are ready and the start of the load.
const LOAD_START_DELAY: Duration = Duration::from_millis(100);
/// How often balancers are checked for unexpected exits.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest latency that histograms resolve, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;
/// How many violations the table lists.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Why the run says nothing about the balancers; `None` if it counts.
    pub void: Option<String>,
    /// The rules that were broken.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// The figures of each class, in the scenario's order.
    #[serde(rename = "schemes")]
    pub classes: Vec<ClassFigures>,
    /// How many attempts upstreams received.
    #[serde(rename = "postings")]
    pub attempts: usize,
    /// How many load probes upstreams received.
    pub probes: usize,
    /// The figures over time.
    #[serde(rename = "times")]
    pub timeline: Timeline,
}

/// The outcomes of the requests of one class. Latencies are in milliseconds, from the planned time of the request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassFigures {
    /// The name of the class.
    pub name: String,
    /// All requests.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Requests answered with 200.
    #[serde(rename = "settled")]
    pub served: usize,
    /// Requests answered with 429 or 503.
    #[serde(rename = "declined")]
    pub rejected: usize,
    /// Requests answered with any other status.
    #[serde(rename = "reversed")]
    pub failed: usize,
    /// Requests without a response.
    pub unanswered: usize,
    /// Requests served within the SLA time.
    pub in_time: usize,
    /// The median latency of the requests served.
    #[serde(rename = "p50")]
    pub p50_ms: f64,
    /// The 99th percentile of the latency of the requests served.
    #[serde(rename = "p99")]
    pub p99_ms: f64,
}

/// Plays a scenario to balancers of this program.
///
/// # Errors
/// The scenario could not be played, for example because a balancer did not start.
pub async fn play(program: &Program, scenario: Scenario) -> io::Result<(Report, Ledgers)> {
    let (scenario, recorder) = (Rc::new(scenario), Recorder::new());
    let specs = scenario.upstream_specs();
    let fleet = Rc::new(Fleet::start(recorder.clone(), specs, &scenario.rules, scenario.balancers)?);
    let balancers = Balancers::start(program, &scenario, &fleet, READY_TIMEOUT, |_, _| ()).await?;
    let endpoints: Vec<Rc<Endpoint>> =
        balancers.addresses.iter().map(|address| Endpoint::new(*address)).collect();
    let load_start_us = recorder.now_us() + LOAD_START_DELAY.as_micros() as u64;
    // Kills of balancers: when, in microseconds, and which.
    let mut kills = Vec::new();
    for fault in scenario.faults.clone() {
        if fault.kind == FaultKind::KillBalancer {
            kills.push((load_start_us + (fault.at_seconds * 1e6) as u64, fault.target_index));
        } else {
            let fleet = fleet.clone();
            spawn_local(async move { fleet.inject_fault(&fault, load_start_us).await });
        }
    }
    kills.sort_unstable();
    let load =
        send_planned(&scenario, scenario.plan(), &endpoints, Failover::Never, &recorder, load_start_us);
    tokio::pin!(load);
    let mut kills = kills.into_iter().peekable();
    let mut has_crashed = vec![false; endpoints.len()];
    loop {
        let next_kill = kills.peek().map(|(at_us, _)| recorder.instant_at(*at_us));
        tokio::select! {
            () = &mut load => break,
            () = sleep_until(next_kill.unwrap_or_else(tokio::time::Instant::now)), if next_kill.is_some() => {
                let Some((_, balancer)) = kills.next() else { continue };
                // Counted before and after, as the process dies at some time in between, along with the requests that
                // were sent to it until then.
                endpoints[balancer].count_kill();
                balancers.kill_and_restart(balancer).await?;
                endpoints[balancer].count_kill();
            }
            () = sleep(EXIT_CHECK_INTERVAL) => {
                for (balancer, status) in balancers.unexpected_exits() {
                    // Recorded once: the requests that are refused from then on are no crashes of their own.
                    if !std::mem::replace(&mut has_crashed[balancer], true) {
                        let crash = BalancerCrash { balancer: balancer as u32, at_us: recorder.now_us(), status };
                        recorder.ledgers.borrow_mut().crashes.push(crash);
                    }
                }
            }
        }
    }
    let ledgers = recorder.ledgers.take();
    Ok((report(&scenario, &ledgers, load_start_us), ledgers))
}

fn report(scenario: &Scenario, ledgers: &Ledgers, load_start_us: u64) -> Report {
    Report {
        void: judge::void_reason(ledgers),
        violations: judge::find_violations(scenario, ledgers),
        classes: (0..scenario.classes.len()).map(|class| class_figures(scenario, ledgers, class)).collect(),
        attempts: ledgers.attempts.len(),
        probes: ledgers.probe_senders.len(),
        timeline: Timeline::new(scenario, ledgers, load_start_us),
    }
}

fn class_figures(scenario: &Scenario, ledgers: &Ledgers, class_index: usize) -> ClassFigures {
    let class = &scenario.classes[class_index];
    let mut figures = ClassFigures { name: class.name.clone(), ..ClassFigures::default() };
    let Ok(mut latencies_us) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS) else {
        return figures;
    };
    for request in ledgers.requests.iter().filter(|request| request.class == class_index) {
        figures.requests += 1;
        match (request.answered_us, request.status) {
            (None, _) => figures.unanswered += 1,
            (Some(answered_us), 200) => {
                let latency_us = answered_us.saturating_sub(request.intended_us);
                latencies_us.saturating_record(latency_us);
                figures.served += 1;
                figures.in_time += usize::from(latency_us <= class.sla_ms * 1000);
            }
            (Some(_), 429 | 503) => figures.rejected += 1,
            (Some(_), _) => figures.failed += 1,
        }
    }
    figures.p50_ms = latencies_us.value_at_quantile(0.5) as f64 / 1000.0;
    figures.p99_ms = latencies_us.value_at_quantile(0.99) as f64 / 1000.0;
    figures
}

impl Report {
    /// The report as a text table, with the first violations and the verdict.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<16}{:>8}{:>9}{:>9}{:>9}{:>9}{:>11}{:>10}{:>10}\n",
            "scheme", "asked", "settled", "in time", "declined", "reversed", "no answer", "p50 ms", "p99 ms"
        );
        for class in &self.classes {
            text += &format!(
                "{:<16}{:>8}{:>9}{:>9}{:>9}{:>9}{:>11}{:>10.1}{:>10.1}\n",
                class.name,
                class.requests,
                class.served,
                class.in_time,
                class.rejected,
                class.failed,
                class.unanswered,
                class.p50_ms,
                class.p99_ms
            );
        }
        text += &format!("{} postings, {} probes\n", self.attempts, self.probes);
        for violation in self.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            text += &format!("broken, {}: {}\n", violation.rule, violation.detail);
        }
        if self.violations.len() > MAX_LISTED_VIOLATIONS {
            text += &format!("and {} more\n", self.violations.len() - MAX_LISTED_VIOLATIONS);
        }
        text + &match (&self.void, self.violations.is_empty()) {
            (Some(reason), _) => format!("void: {reason}\n"),
            (None, true) => "the rules held\n".into(),
            (None, false) => "rules were broken\n".into(),
        }
    }
}
