//! A run: fleet, balancers and load together, then the verdict and what was measured.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::balancers::{Balancers, Program, READY_WITHIN};
use crate::fleet::{Fleet, Recorder};
use crate::judge::{self, Violation};
use crate::ledger::{BalancerCrash, Ledgers};
use crate::load::{Endpoint, Failover, send_planned};
use crate::report::Times;
use crate::scenario::{FaultKind, Scenario};

/// Between the moment when all is ready and the first arrival.
const LEAD: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Why the run says nothing, if it does not.
    pub void: Option<String>,
    pub broken: Vec<Violation>,
    #[serde(rename = "schemes")]
    pub classes: Vec<Figures>,
    #[serde(rename = "postings")]
    pub attempts: usize,
    pub probes: usize,
    pub times: Times,
}

/// What became of one class's requests; times in milliseconds, from the intended send.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    pub name: String,
    pub asked: usize,
    #[serde(rename = "settled")]
    pub served: usize,
    #[serde(rename = "declined")]
    pub rejected: usize,
    #[serde(rename = "reversed")]
    pub failed: usize,
    pub unanswered: usize,
    /// Served within the SLA time.
    pub in_time: usize,
    pub p50: f64,
    pub p99: f64,
}

/// Plays the scenario to balancers of that program. An error says why it could not be played at all.
pub async fn play(program: &Program, scenario: Scenario) -> io::Result<(Report, Ledgers)> {
    let (scenario, book) = (Rc::new(scenario), Recorder::new());
    let fleet =
        Rc::new(Fleet::start(book.clone(), scenario.upstream_specs(), &scenario.rules, scenario.balancers)?);
    let balancers = Balancers::start(program, &scenario, &fleet, READY_WITHIN, |_, _| ()).await?;
    let doors: Vec<Rc<Endpoint>> = balancers.addresses.iter().map(|at| Endpoint::new(*at)).collect();
    let from = book.now_us() + LEAD.as_micros() as u64;
    let mut kills = Vec::new();
    for trouble in scenario.faults.clone() {
        if trouble.kind == FaultKind::KillBalancer {
            kills.push((from + (trouble.at_seconds * 1e6) as u64, trouble.target_index));
        } else {
            let fleet = fleet.clone();
            spawn_local(async move { fleet.inject_fault(&trouble, from).await });
        }
    }
    kills.sort_unstable();
    let load = send_planned(&scenario, scenario.plan(), &doors, Failover::Never, &book, from);
    tokio::pin!(load);
    let mut kills = kills.into_iter().peekable();
    let mut gone = vec![false; doors.len()];
    loop {
        let next = kills.peek().map(|(at, _)| book.instant_at(*at));
        tokio::select! {
            () = &mut load => break,
            () = sleep_until(next.unwrap_or_else(tokio::time::Instant::now)), if next.is_some() => {
                let Some((_, which)) = kills.next() else { continue };
                // Counted before and after: the process dies some time in between, with what was sent to it meanwhile.
                doors[which].count_kill();
                balancers.kill_and_restart(which).await?;
                doors[which].count_kill();
            }
            () = sleep(Duration::from_millis(100)) => {
                for (balancer, status) in balancers.unexpected_exits() {
                    // Said once: a crash is a crash, not so many requests refused.
                    if !std::mem::replace(&mut gone[balancer], true) {
                        let crash = BalancerCrash { balancer: balancer as u32, at_us: book.now_us(), status };
                        book.ledgers.borrow_mut().crashes.push(crash);
                    }
                }
            }
        }
    }
    let ledgers = book.ledgers.take();
    Ok((report(&scenario, &ledgers, from), ledgers))
}

fn report(scenario: &Scenario, ledgers: &Ledgers, from: u64) -> Report {
    let classes = (0..scenario.classes.len()).map(|n| figures(scenario, ledgers, n)).collect();
    let (void, broken) = (judge::void_reason(ledgers), judge::find_violations(scenario, ledgers));
    let times = Times::of(scenario, ledgers, from);
    let (attempts, probes) = (ledgers.attempts.len(), ledgers.probe_senders.len());
    Report { void, broken, classes, attempts, probes, times }
}

fn figures(scenario: &Scenario, ledgers: &Ledgers, number: usize) -> Figures {
    let class = &scenario.classes[number];
    let mut figures = Figures { name: class.name.clone(), ..Figures::default() };
    // A minute at most, in microseconds, to three digits.
    let Ok(mut times) = Histogram::<u64>::new_with_bounds(1, 120_000_000, 3) else { return figures };
    for asked in ledgers.requests.iter().filter(|asked| asked.class == number) {
        figures.asked += 1;
        match (asked.answered_us, asked.status) {
            (None, _) => figures.unanswered += 1,
            (Some(at), 200) => {
                let took = at.saturating_sub(asked.intended_us);
                times.saturating_record(took);
                figures.served += 1;
                figures.in_time += usize::from(took <= class.sla_ms * 1000);
            }
            (Some(_), 429 | 503) => figures.rejected += 1,
            (Some(_), _) => figures.failed += 1,
        }
    }
    figures.p50 = times.value_at_quantile(0.5) as f64 / 1000.0;
    figures.p99 = times.value_at_quantile(0.99) as f64 / 1000.0;
    figures
}

impl Report {
    /// As people read it.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<16}{:>8}{:>9}{:>9}{:>9}{:>9}{:>11}{:>10}{:>10}\n",
            "scheme", "asked", "settled", "in time", "declined", "reversed", "no answer", "p50 ms", "p99 ms"
        );
        for f in &self.classes {
            text += &format!(
                "{:<16}{:>8}{:>9}{:>9}{:>9}{:>9}{:>11}{:>10.1}{:>10.1}\n",
                f.name, f.asked, f.served, f.in_time, f.rejected, f.failed, f.unanswered, f.p50, f.p99
            );
        }
        text += &format!("{} postings, {} probes\n", self.attempts, self.probes);
        for broken in self.broken.iter().take(MOST_TOLD) {
            text += &format!("broken, {}: {}\n", broken.rule, broken.detail);
        }
        if self.broken.len() > MOST_TOLD {
            text += &format!("and {} more\n", self.broken.len() - MOST_TOLD);
        }
        text + &match (&self.void, self.broken.is_empty()) {
            (Some(why), _) => format!("void: {why}\n"),
            (None, true) => "the rules held\n".into(),
            (None, false) => "rules were broken\n".into(),
        }
    }
}

const MOST_TOLD: usize = 20;
