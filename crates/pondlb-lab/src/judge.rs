//! Checks from the ledgers of a run whether the balancers kept the rules. The judge uses only what clients, upstreams
//! and discovery recorded, and nothing that a balancer reports about itself.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::ledger::{ClientRequest, DrainNotice, Ledgers, UpstreamAttempt};
use crate::scenario::{Effect, Scenario};

/// A balancer exited although nothing had asked it to.
const RULE_CRASH: &str = "crash";
/// Each request gets exactly one response, its own, by its deadline, and is not sent to upstreams after that.
const RULE_ONE_RESPONSE: &str = "1 one answer";
/// A request takes effect as often as its class allows.
const RULE_ONE_EFFECT: &str = "2 one effect";
/// After the grace of a drain no new attempt goes to the upstream.
const RULE_DRAINS: &str = "3 drains";
/// A cold upstream is not loaded beyond its collapse.
const RULE_COLD_UPSTREAMS: &str = "4 cold upstreams";
/// A request that is rejected without an attempt is rejected by its SLA time.
const RULE_PARKED: &str = "parked";
/// Only the balancers that may probe do.
const RULE_PROBES: &str = "asked";
/// Neither balancers that probe nor those that do not take the upstreams from the others.
const RULE_STARVED: &str = "starved";

/// A rule that a balancer broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// What happened.
    #[serde(rename = "what")]
    pub detail: String,
}

impl Violation {
    fn new(rule: &'static str, detail: impl Into<String>) -> Violation {
        Violation { rule, detail: detail.into() }
    }
}

/// The tolerance of all times, in microseconds. Both ends of a connection are served by one event loop, in an
/// arbitrary order, so that times closer together than this can't be told apart.
const TOLERANCE_US: u64 = 50_000;
/// A run is void if more than one in a hundred of its sends and timer ticks is later than this, in microseconds: its
/// load is not the planned one.
const MAX_LATENESS_US: u64 = 25_000;

/// Why the run says nothing about the balancers; `None` if it counts.
pub fn void_reason(ledgers: &Ledgers) -> Option<String> {
    if ledgers.descriptor_shortages > 0 {
        return Some(format!(
            "the laboratory ran out of file descriptors {} times",
            ledgers.descriptor_shortages
        ));
    }
    let total = ledgers.lateness_us.len();
    let late = ledgers.lateness_us.iter().filter(|lateness_us| **lateness_us > MAX_LATENESS_US).count();
    (100 * late > total).then(|| {
        format!("{late} of {total} sends and timer ticks were over {} ms late", MAX_LATENESS_US / 1000)
    })
}

/// All violations of the rules in a run.
pub fn find_violations(scenario: &Scenario, ledgers: &Ledgers) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut attempts_by_id: BTreeMap<&str, Vec<&UpstreamAttempt>> = BTreeMap::new();
    for attempt in &ledgers.attempts {
        attempts_by_id.entry(&attempt.id).or_default().push(attempt);
    }
    for crash in &ledgers.crashes {
        let (balancer, status, at_ms) = (crash.balancer, &crash.status, crash.at_us / 1000);
        let detail = format!("balancer {balancer} exited unexpectedly with {status} at {at_ms} ms");
        violations.push(Violation::new(RULE_CRASH, detail));
    }
    for request in &ledgers.requests {
        let attempts = attempts_by_id.remove(&*request.id).unwrap_or_default();
        // Requests lost in a crash are not violations of their own: the crash is reported once.
        let in_crash = ledgers
            .crashes
            .iter()
            .any(|crash| crash.balancer == request.balancer && request.intended_us <= crash.at_us);
        let may_be_lost = request.balancer_killed || in_crash;
        let found = request_violations(scenario, request, &attempts, may_be_lost);
        violations.extend(found.into_iter().map(|violation| {
            Violation::new(violation.rule, format!("{}: {}", request.id, violation.detail))
        }));
    }
    for id in attempts_by_id.keys() {
        violations.push(Violation::new(RULE_ONE_RESPONSE, format!("{id} was posted but no client sent it")));
    }
    violations.extend(probing_violations(scenario, ledgers));
    violations.extend(drain_violations(scenario, ledgers));
    violations.extend(cold_upstream_violations(scenario, ledgers));
    violations
}

/// The violations at one request. With `may_be_lost`, its balancer was killed or crashed, and a missing response is
/// none.
fn request_violations(
    scenario: &Scenario,
    request: &ClientRequest,
    attempts: &[&UpstreamAttempt],
    may_be_lost: bool,
) -> Vec<Violation> {
    let class = &scenario.classes[request.class];
    let mut violations = Vec::new();
    let mut report = |rule: &'static str, detail: String| violations.push(Violation::new(rule, detail));
    let Some(sent_us) = request.sent_us else { return violations };
    let deadline_us = sent_us + class.deadline_ms * 1000;
    let runs = attempts.iter().filter(|attempt| attempt.started_us.is_some()).count();
    let is_rejected = matches!(request.status, 429 | 503);
    match request.answered_us {
        None if !may_be_lost => report(RULE_ONE_RESPONSE, "got no response".into()),
        Some(answered_us) if answered_us > deadline_us + TOLERANCE_US => {
            let late_ms = (answered_us - deadline_us) / 1000;
            report(RULE_ONE_RESPONSE, format!("was answered {late_ms} ms after its deadline"));
        }
        _ => {}
    }
    if request.answer_count > 1 {
        report(RULE_ONE_RESPONSE, format!("got {} responses", request.answer_count));
    }
    let is_own_response = |attempt: &&UpstreamAttempt| attempt.answer_body.as_deref() == Some(&*request.body);
    if request.status == 200 && !attempts.iter().any(is_own_response) {
        report(RULE_ONE_RESPONSE, "got a response that no upstream made for it".into());
    }
    let end_us = request.answered_us.unwrap_or(deadline_us).min(deadline_us);
    if let Some(attempt) = attempts.iter().find(|attempt| attempt.first_byte_us > end_us + TOLERANCE_US) {
        let late_ms = (attempt.first_byte_us - end_us) / 1000;
        let detail = format!("posted to upstream {} {late_ms} ms after its end", attempt.upstream);
        report(RULE_ONE_RESPONSE, detail);
    }
    if class.effect == Effect::NonIdempotent && runs > 1 {
        report(RULE_ONE_EFFECT, format!("ran {runs} times"));
    }
    if class.effect != Effect::Idempotent && runs > 0 && is_rejected {
        report(RULE_ONE_EFFECT, "was declined although it had run".into());
    }
    let specs = scenario.upstream_specs();
    let group = |attempt: &UpstreamAttempt| specs.get(attempt.upstream).map(|spec| spec.group);
    let changes_group = |two: &[&UpstreamAttempt]| group(two[0]) != group(two[1]);
    if class.effect == Effect::Keyed && attempts.windows(2).any(changes_group) {
        report(RULE_ONE_EFFECT, "was posted to two deduplication groups".into());
    }
    let overlap = |two: &[&UpstreamAttempt]| {
        two[0].ended_us.is_none_or(|ended_us| two[1].first_byte_us + TOLERANCE_US < ended_us)
    };
    if scenario.probing_balancers.contains(&request.balancer) && attempts.windows(2).any(overlap) {
        report(RULE_ONE_EFFECT, "had two attempts outstanding".into());
    }
    // A request that was never sent to an upstream has to be given up by its SLA time; a later rejection means that it
    // was kept waiting.
    let waited_us = request.answered_us.map_or(0, |answered_us| answered_us.saturating_sub(sent_us));
    if is_rejected && attempts.is_empty() && waited_us > class.sla_ms * 1000 + TOLERANCE_US {
        report(RULE_PARKED, format!("was declined after {} ms without an attempt", waited_us / 1000));
    }
    violations
}

/// Checks that only the balancers that may probe do, and that neither they nor the others are starved by sharing the
/// upstreams.
fn probing_violations(scenario: &Scenario, ledgers: &Ledgers) -> Vec<Violation> {
    let may_probe = |balancer: &u32| scenario.probing_balancers.contains(balancer);
    let forbidden = ledgers.probe_senders.iter().find(|balancer| !may_probe(balancer));
    let mut violations: Vec<Violation> = forbidden
        .map(|balancer| {
            Violation::new(RULE_PROBES, format!("balancer {balancer} sent a probe but may not probe"))
        })
        .into_iter()
        .collect();
    for probes in [true, false] {
        let (mut total, mut in_time) = (0.0, 0.0);
        for request in ledgers.requests.iter().filter(|request| may_probe(&request.balancer) == probes) {
            total += 1.0;
            let sla_us = scenario.classes[request.class].sla_ms * 1000;
            let is_timely =
                request.answered_us.is_some_and(|answered_us| answered_us <= request.intended_us + sla_us);
            in_time += if is_timely && request.status == 200 { 1.0 } else { 0.0 };
        }
        if in_time < scenario.min_in_time_share * total {
            let group = if probes { "balancers that probe" } else { "balancers that do not probe" };
            let detail = format!("{group} served a share of {:.2} in time", in_time / total);
            violations.push(Violation::new(RULE_STARVED, detail));
        }
    }
    violations
}

/// The first late attempt of each balancer at each upstream of whose drain it was notified.
fn drain_violations(scenario: &Scenario, ledgers: &Ledgers) -> Vec<Violation> {
    let grace_us = scenario.rules.drain_grace_ms * 1000 + TOLERANCE_US;
    let late_attempt = |notice: &DrainNotice| {
        let is_of_notice = |attempt: &&UpstreamAttempt| {
            (attempt.upstream, attempt.incarnation, attempt.balancer)
                == (notice.upstream, notice.incarnation, notice.balancer)
        };
        let late = ledgers
            .attempts
            .iter()
            .filter(is_of_notice)
            .find(|attempt| attempt.first_byte_us > notice.at_us + grace_us)?;
        let detail = format!(
            "{}: balancer {} posted to upstream {} {} ms after it was told of its drain",
            late.id,
            notice.balancer,
            notice.upstream,
            (late.first_byte_us - notice.at_us) / 1000
        );
        Some(Violation::new(RULE_DRAINS, detail))
    };
    ledgers.drain_notices.iter().filter_map(late_attempt).collect()
}

/// Checks each cold start: in every collapse window that ends with an attempt, the work that arrived must stay below
/// the load under which the upstream, as warm as it was, collapses.
fn cold_upstream_violations(scenario: &Scenario, ledgers: &Ledgers) -> Vec<Violation> {
    let (rules, specs) = (&scenario.rules, scenario.upstream_specs());
    let (window_us, warm_up_us) = (rules.collapse_window_ms * 1000, rules.warm_up_ms * 1000);
    let mut violations = Vec::new();
    for start in &ledgers.upstream_starts {
        let Some(spec) = specs.get(start.upstream) else { continue };
        let capacity = f64::from(spec.cores) * spec.speed_factor;
        let is_during_warm_up = |attempt: &&UpstreamAttempt| {
            attempt.upstream == start.upstream
                && (start.at_us..start.at_us + warm_up_us).contains(&attempt.last_byte_us)
        };
        let mut attempts: Vec<&UpstreamAttempt> = ledgers.attempts.iter().filter(is_during_warm_up).collect();
        attempts.sort_by_key(|attempt| attempt.last_byte_us);
        for (index, last) in attempts.iter().enumerate() {
            let window_start_us = last.last_byte_us.saturating_sub(window_us);
            let in_window =
                attempts[..=index].iter().filter(|attempt| attempt.last_byte_us >= window_start_us);
            let work_us: u64 = in_window.map(|attempt| attempt.work_us).sum();
            let warm_share = (last.last_byte_us - start.at_us) as f64 / warm_up_us as f64;
            let capacity_share =
                rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warm_share;
            if work_us as f64 > rules.collapse_load_factor * capacity_share * capacity * window_us as f64 {
                let detail = format!(
                    "upstream {} got {} ms of work in {} ms, {} ms after its start",
                    start.upstream,
                    work_us / 1000,
                    rules.collapse_window_ms,
                    (last.last_byte_us - start.at_us) / 1000
                );
                violations.push(Violation::new(RULE_COLD_UPSTREAMS, detail));
                break;
            }
        }
    }
    violations
}
