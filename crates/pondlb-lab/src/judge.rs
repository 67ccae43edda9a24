//! The four rules, judged from the ledgers of both sides and from nothing that a balancer says of itself.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::ledger::{ClientRequest, DrainNotice, Ledgers, UpstreamAttempt};
use crate::scenario::{Effect, Scenario};

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    pub rule: &'static str,
    #[serde(rename = "what")]
    pub detail: String,
}

/// Times that lie closer together than this can't be told apart: both ends of a connection are served by one
/// loop, in an order that nobody chose.
const SLACK: u64 = 50_000;
/// The load is not what was asked for when more than one in a hundred of its sends is later than this.
const LATE: u64 = 25_000;

/// Why the run says nothing, if it does not.
pub fn void_reason(ledgers: &Ledgers) -> Option<String> {
    if ledgers.descriptor_shortages > 0 {
        return Some(format!(
            "the laboratory ran out of descriptors, {} times",
            ledgers.descriptor_shortages
        ));
    }
    let late = ledgers.lateness_us.iter().filter(|late| **late > LATE).count();
    (100 * late > ledgers.lateness_us.len()).then(|| {
        format!("{late} of {} sends and ticks were over {} ms late", ledgers.lateness_us.len(), LATE / 1000)
    })
}

pub fn find_violations(scenario: &Scenario, ledgers: &Ledgers) -> Vec<Violation> {
    let mut broken = Vec::new();
    let mut runs: BTreeMap<&str, Vec<&UpstreamAttempt>> = BTreeMap::new();
    ledgers.attempts.iter().for_each(|run| runs.entry(&run.id).or_default().push(run));
    for crash in &ledgers.crashes {
        let what = format!(
            "balancer {} ended by itself, {}, at {} ms",
            crash.balancer,
            crash.status,
            crash.at_us / 1000
        );
        broken.push(Violation { rule: "crash", detail: what });
    }
    for asked in &ledgers.requests {
        let runs = runs.remove(&*asked.id).unwrap_or_default();
        // What a crash takes with it is the crash's, which is said once.
        let crashed =
            ledgers.crashes.iter().any(|c| c.balancer == asked.balancer && asked.intended_us <= c.at_us);
        let found = of_one(scenario, asked, &runs, asked.balancer_killed || crashed);
        broken.extend(
            found.into_iter().map(|(rule, what)| Violation { rule, detail: format!("{}: {what}", asked.id) }),
        );
    }
    for id in runs.keys() {
        broken
            .push(Violation { rule: "1 one answer", detail: format!("{id} was posted and nobody asked it") });
    }
    broken.extend(kinds(scenario, ledgers));
    broken.extend(drains(scenario, ledgers));
    broken.extend(cold(scenario, ledgers));
    broken
}

fn of_one(
    scenario: &Scenario,
    asked: &ClientRequest,
    runs: &[&UpstreamAttempt],
    excused: bool,
) -> Vec<(&'static str, String)> {
    let class = &scenario.classes[asked.class];
    let mut found = Vec::new();
    let Some(sent) = asked.sent_us else { return found };
    let deadline = sent + class.deadline_ms * 1000;
    let ran = runs.iter().filter(|run| run.started_us.is_some()).count();
    let rejected = matches!(asked.status, 429 | 503);
    match asked.answered_us {
        None if !excused => found.push(("1 one answer", "got none".into())),
        Some(at) if at > deadline + SLACK => {
            found.push(("1 one answer", format!("came {} ms after the expiry", (at - deadline) / 1000)));
        }
        _ => {}
    }
    if asked.answer_count > 1 {
        found.push(("1 one answer", format!("{} came", asked.answer_count)));
    }
    if asked.status == 200 && !runs.iter().any(|run| run.answer_body.as_deref() == Some(&*asked.body)) {
        found.push(("1 one answer", "its answer was not made for it".into()));
    }
    let end = asked.answered_us.unwrap_or(deadline).min(deadline);
    if let Some(run) = runs.iter().find(|run| run.first_byte_us > end + SLACK) {
        let late = (run.first_byte_us - end) / 1000;
        found.push(("1 one answer", format!("posted to upstream {} {late} ms after its end", run.upstream)));
    }
    if class.effect == Effect::NonIdempotent && ran > 1 {
        found.push(("2 one effect", format!("ran {ran} times")));
    }
    if class.effect != Effect::Idempotent && ran > 0 && rejected {
        found.push(("2 one effect", "was declined and had run".into()));
    }
    let group =
        |run: &&UpstreamAttempt| scenario.upstream_specs().get(run.upstream).map(|machine| machine.group);
    if class.effect == Effect::Keyed && runs.windows(2).any(|two| group(&two[0]) != group(&two[1])) {
        found.push(("2 one effect", "left its group".into()));
    }
    let both =
        |two: &[&UpstreamAttempt]| two[0].ended_us.is_none_or(|ended| two[1].first_byte_us + SLACK < ended);
    if scenario.probing_balancers.contains(&asked.balancer) && runs.windows(2).any(both) {
        found.push(("2 one effect", "had two postings out".into()));
    }
    // Given up at its SLA time at the latest: what comes later and was never sent was parked.
    let wait = asked.answered_us.map_or(0, |at| at.saturating_sub(sent));
    if rejected && runs.is_empty() && wait > class.sla_ms * 1000 + SLACK {
        found.push(("parked", format!("declined after {} ms with nothing posted", wait / 1000)));
    }
    found
}

/// Those that ask and the others before the same upstreams: who may not ask doesn't, and neither is starved.
fn kinds(scenario: &Scenario, ledgers: &Ledgers) -> Vec<Violation> {
    let asks = |balancer: &u32| scenario.probing_balancers.contains(balancer);
    let stranger = ledgers.probe_senders.iter().find(|balancer| !asks(balancer));
    let mut broken: Vec<Violation> = stranger
        .map(|balancer| Violation { rule: "asked", detail: format!("balancer {balancer} may ask nobody") })
        .into_iter()
        .collect();
    for kind in [true, false] {
        let of_kind = ledgers.requests.iter().filter(|asked| asks(&asked.balancer) == kind);
        let (mut all, mut in_time) = (0.0, 0.0);
        for asked in of_kind {
            all += 1.0;
            let sla = scenario.classes[asked.class].sla_ms * 1000;
            let timely =
                asked.answered_us.is_some_and(|at| at <= asked.intended_us + sla) && asked.status == 200;
            in_time += if timely { 1.0 } else { 0.0 };
        }
        if in_time < scenario.min_in_time_share * all {
            let who = if kind { "who asks" } else { "who asks nobody" };
            let what = format!("{who} had {:.2} in time", in_time / all);
            broken.push(Violation { rule: "starved", detail: what });
        }
    }
    broken
}

fn drains(scenario: &Scenario, ledgers: &Ledgers) -> Vec<Violation> {
    let grace = scenario.rules.drain_grace_ms * 1000 + SLACK;
    let late = |told: &DrainNotice| {
        let mine = |run: &&UpstreamAttempt| {
            (run.upstream, run.incarnation, run.balancer) == (told.upstream, told.incarnation, told.balancer)
        };
        ledgers.attempts.iter().filter(mine).find(|run| run.first_byte_us > told.at_us + grace).map(|run| {
            Violation {
                rule: "3 drains",
                detail: format!(
                    "{}: balancer {} posted to upstream {} {} ms after it was told of its drain",
                    run.id,
                    told.balancer,
                    told.upstream,
                    (run.first_byte_us - told.at_us) / 1000
                ),
            }
        })
    };
    ledgers.drain_notices.iter().filter_map(late).collect()
}

/// In each window of the rule that ends with an attempt, the work that came against what a cold one bears.
fn cold(scenario: &Scenario, ledgers: &Ledgers) -> Vec<Violation> {
    let (rules, fleet) = (&scenario.rules, scenario.upstream_specs());
    let (window, warm) = (rules.collapse_window_ms * 1000, rules.warm_up_ms * 1000);
    let mut broken = Vec::new();
    for boot in &ledgers.upstream_starts {
        let Some(machine) = fleet.get(boot.upstream) else { continue };
        let capacity = f64::from(machine.cores) * machine.speed_factor;
        let here = |run: &&UpstreamAttempt| {
            run.upstream == boot.upstream && (boot.at_us..boot.at_us + warm).contains(&run.last_byte_us)
        };
        let mut runs: Vec<&UpstreamAttempt> = ledgers.attempts.iter().filter(here).collect();
        runs.sort_by_key(|run| run.last_byte_us);
        for (n, last) in runs.iter().enumerate() {
            let from = last.last_byte_us.saturating_sub(window);
            let work: u64 =
                runs[..=n].iter().filter(|run| run.last_byte_us >= from).map(|run| run.work_us).sum();
            let age = (last.last_byte_us - boot.at_us) as f64 / warm as f64;
            let present = rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * age;
            if work as f64 > rules.collapse_load_factor * present * capacity * window as f64 {
                let what = format!(
                    "upstream {} got {} ms of work in {} ms, {} ms after its start",
                    boot.upstream,
                    work / 1000,
                    rules.collapse_window_ms,
                    (last.last_byte_us - boot.at_us) / 1000
                );
                broken.push(Violation { rule: "4 cold upstreams", detail: what });
                break;
            }
        }
    }
    broken
}
