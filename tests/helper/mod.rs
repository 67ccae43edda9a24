//! Plays events to one balancer and prints its decisions, one line each, behind the time in milliseconds.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::fmt::Write;

use pondlb::*;

pub const MS: TenthMillis = 10;

pub struct Play {
    balancer: Balancer,
    pub trace: String,
}

/// Class 0 is idempotent, 1 non-idempotent, 2 keyed within the zone; SLA time 400 ms.
pub fn terms() -> BalancerConfig {
    let zone = Effect::Keyed { scope: DedupScope::Zone, key_ttl: 300 * MS };
    let class = |effect| Class { sla_time: 400 * MS, value: 1.0, effect };
    BalancerConfig {
        balancer_count: 1,
        own_index: 0,
        own_zone: 0,
        list_source: ListSource::Pushed,
        classes: vec![class(Effect::Idempotent), class(Effect::NonIdempotent), class(zone)],
        tenants: Vec::new(),
        over_quota_value: 1.0,
        warm_keys: false,
        max_attempts: 3,
        hedging: true,
        cancelling: true,
        probing: false,
        max_retry_after: Some(800 * MS),
        drain_grace: 500 * MS,
        cold_start: ColdStart {
            initial_capacity_share: 0.2,
            warm_up_time: 10_000 * MS,
            collapse_load_factor: 2.0,
            collapse_window: 1000 * MS,
        },
    }
}

pub fn entry(upstream: &str, zone: u32) -> UpstreamEntry {
    UpstreamEntry {
        upstream: upstream.into(),
        cell: 0,
        started_at: None,
        capacity: 1.0,
        zone,
        kind: 0,
        stage: Stage::Live,
    }
}

pub fn list(upstreams: &str) -> Event {
    Event::ListUpdate(ListUpdate::Snapshot(upstreams.split_whitespace().map(|name| entry(name, 0)).collect()))
}

pub fn request(id: &str, class: u32) -> Event {
    Event::RequestArrived(arrival(id, class))
}

pub fn arrival(id: &str, class: u32) -> Arrival {
    let (tenant, left, cost) = (0, 1000 * MS, Some(20 * MS));
    Arrival {
        request: id.into(),
        class,
        tenant,
        affinity_key: None,
        time_left: left,
        cost,
        is_retry: false,
        is_write: false,
    }
}

pub fn ended(id: &str, attempt: u32, upstream: &str, outcome: Outcome, ms: TenthMillis) -> Event {
    let (answered, load) = (outcome == Outcome::Ok, Load::default());
    let (request, upstream, took) = (id.into(), upstream.into(), ms * MS);
    Event::AttemptEnded { request, attempt, upstream, outcome, duration: took, answered, load }
}

/// Where the first attempt among them goes; empty where there is none.
pub fn sent_to(actions: &[Action]) -> String {
    let sent = actions.iter().find_map(|action| match action {
        Action::Attempt { upstream, .. } => Some(upstream.to_string()),
        _ => None,
    });
    sent.unwrap_or_default()
}

impl Play {
    pub fn new(terms: BalancerConfig) -> Self {
        Self::seeded(terms, 7)
    }

    pub fn seeded(terms: BalancerConfig, seed: u64) -> Self {
        Play { balancer: Balancer::new(terms, seed), trace: String::new() }
    }

    pub fn change(&mut self, changes: &[ConfigChange]) {
        self.balancer.apply(changes);
    }

    /// Also what the balancer asked to be woken for is left to the test: it says when time passes.
    pub fn at(&mut self, ms: TenthMillis, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(ms * MS, events, &mut actions);
        actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        for action in &actions {
            let line = match action {
                Action::Attempt { request, upstream, timeout: None, .. } => {
                    format!("post {request} to {upstream}")
                }
                Action::Attempt { request, upstream, timeout: Some(t), .. } => {
                    format!("post {request} to {upstream} for {} ms", t / MS)
                }
                Action::Reject { request, retry_after: cool_down, .. } => {
                    format!("decline {request}{}", if cool_down.is_some() { ", with advice" } else { "" })
                }
                Action::Fail { request, .. } => format!("reverse {request}"),
                Action::Cancel { request, attempt } => format!("recall {request}/{attempt}"),
                other => format!("{other:?}"),
            };
            writeln!(self.trace, "{ms}: {line}").unwrap();
        }
        actions
    }

    /// The upstream that a request was sent to at that time, for tests in which chance picks it.
    pub fn sent_to(&mut self, ms: TenthMillis, event: Event) -> String {
        sent_to(&self.at(ms, [event]))
    }

    /// Answers come in 20 ms for each 20 ms of cost, so that the window is filled and caps have grown.
    pub fn warm_up(&mut self, count: u64) -> TenthMillis {
        for n in 0..count {
            let id = format!("w{n}");
            let up = self.sent_to(n * 25, request(&id, 0));
            self.at(n * 25 + 20, [ended(&id, 0, &up, Outcome::Ok, 20)]);
        }
        self.trace.clear();
        count * 25
    }
}
