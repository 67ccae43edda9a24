//! Feeds events to one balancer and records its decisions, one line each with the time in milliseconds.

// Each test file uses only some of these functions.
#![allow(dead_code)]

use std::fmt::Write;

use pondlb::*;

/// One millisecond.
pub const MS: TenthMillis = 10;

/// Classes of [`default_config`], by index.
pub const IDEMPOTENT: u32 = 0;
pub const NON_IDEMPOTENT: u32 = 1;
pub const KEYED: u32 = 2;

const DEFAULT_SEED: u64 = 7;
/// Interval between the requests of [`TestBalancer::warm_up`].
const WARM_UP_INTERVAL_MS: u64 = 25;

/// A balancer under test and a readable trace of its actions.
pub struct TestBalancer {
    balancer: Balancer,
    /// One line for each action since the trace was last cleared.
    pub trace: String,
}

/// A single balancer without probing. All classes have an SLA time of 400 ms; [`KEYED`] requests are deduplicated within
/// the zone for 300 ms.
pub fn default_config() -> BalancerConfig {
    let keyed_in_zone = Effect::Keyed { scope: DedupScope::Zone, key_ttl: 300 * MS };
    let class = |effect| Class { sla_time: 400 * MS, value: 1.0, effect };
    BalancerConfig {
        balancer_count: 1,
        own_index: 0,
        own_zone: 0,
        list_source: ListSource::Pushed,
        classes: vec![class(Effect::Idempotent), class(Effect::NonIdempotent), class(keyed_in_zone)],
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

/// A live, warm upstream of capacity 1 in cell 0.
pub fn live_upstream(name: &str, zone: u32) -> UpstreamEntry {
    UpstreamEntry {
        upstream: name.into(),
        cell: 0,
        started_at: None,
        capacity: 1.0,
        zone,
        kind: 0,
        stage: Stage::Live,
    }
}

/// An upstream as [`live_upstream`] in zone 0, started at `started_ms`.
pub fn started_upstream(name: &str, started_ms: u64) -> UpstreamEntry {
    UpstreamEntry { started_at: Some(started_ms * MS), ..live_upstream(name, 0) }
}

/// Live upstreams `u0`, `u1` and so on, spread in turn over three zones and two kinds of machines.
pub fn mixed_upstreams(count: u32) -> Vec<UpstreamEntry> {
    let upstream = |n| UpstreamEntry { kind: n % 2, ..live_upstream(&format!("u{n}"), n % 3) };
    (0..count).map(upstream).collect()
}

/// A complete list of live upstreams in zone 0, with their names separated by spaces.
pub fn snapshot(names: &str) -> Event {
    list_snapshot(names.split_whitespace().map(|name| live_upstream(name, 0)))
}

/// A complete list of upstreams.
pub fn list_snapshot(entries: impl IntoIterator<Item = UpstreamEntry>) -> Event {
    Event::ListUpdate(ListUpdate::Snapshot(entries.into_iter().collect()))
}

/// New or changed upstreams of the list.
pub fn list_changes(entries: impl IntoIterator<Item = UpstreamEntry>) -> Event {
    Event::ListUpdate(ListUpdate::Changes(entries.into_iter().collect()))
}

/// The event for [`arrival`].
pub fn request_arrived(id: &str, class: u32) -> Event {
    Event::RequestArrived(arrival(id, class))
}

/// The event for [`arrival`] with another cost.
pub fn request_with_cost(id: &str, class: u32, cost: TenthMillis) -> Event {
    Event::RequestArrived(Arrival { cost: Some(cost), ..arrival(id, class) })
}

/// A read of tenant 0 with a cost of 20 ms and a deadline in 1 s.
pub fn arrival(id: &str, class: u32) -> Arrival {
    Arrival {
        request: id.into(),
        class,
        tenant: 0,
        affinity_key: None,
        time_left: 1000 * MS,
        cost: Some(20 * MS),
        is_retry: false,
        is_write: false,
    }
}

/// The end of an attempt without a load report. Only [`Outcome::Ok`] answers the request.
pub fn attempt_ended(id: &str, attempt: u32, upstream: &str, outcome: Outcome, duration_ms: u64) -> Event {
    Event::AttemptEnded {
        request: id.into(),
        attempt,
        upstream: upstream.into(),
        outcome,
        duration: duration_ms * MS,
        answered: outcome == Outcome::Ok,
        load: Load::default(),
    }
}

/// The upstream of the first attempt among `actions`, or an empty string if there is none.
pub fn attempted_upstream(actions: &[Action]) -> String {
    let upstream = actions.iter().find_map(|action| match action {
        Action::Attempt { upstream, .. } => Some(upstream.to_string()),
        _ => None,
    });
    upstream.unwrap_or_default()
}

fn describe(action: &Action) -> String {
    match action {
        Action::Attempt { request, upstream, timeout: None, .. } => format!("send {request} to {upstream}"),
        Action::Attempt { request, upstream, timeout: Some(timeout), .. } => {
            format!("send {request} to {upstream}, timeout {} ms", timeout / MS)
        }
        Action::Reject { request, retry_after: Some(_), .. } => format!("reject {request}, with Retry-After"),
        Action::Reject { request, retry_after: None, .. } => format!("reject {request}"),
        Action::Fail { request, .. } => format!("fail {request}"),
        Action::Cancel { request, attempt } => format!("cancel {request}/{attempt}"),
        other => format!("{other:?}"),
    }
}

impl TestBalancer {
    /// A balancer with the default seed.
    pub fn new(config: BalancerConfig) -> Self {
        Self::with_seed(config, DEFAULT_SEED)
    }

    /// A balancer whose random choices come from `seed`.
    pub fn with_seed(config: BalancerConfig, seed: u64) -> Self {
        TestBalancer { balancer: Balancer::new(config, seed), trace: String::new() }
    }

    /// Applies changes of the configuration.
    pub fn apply(&mut self, changes: &[ConfigChange]) {
        self.balancer.apply(changes);
    }

    /// Handles events at a time, records the actions in the trace and returns them. Timers are left out: the test itself
    /// decides at which times the balancer is called.
    pub fn handle_at(&mut self, now_ms: u64, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(now_ms * MS, events, &mut actions);
        actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        for action in &actions {
            writeln!(self.trace, "{now_ms}: {}", describe(action)).unwrap();
        }
        actions
    }

    /// Handles one event and returns the upstream of the first attempt that follows, or an empty string if there is none.
    pub fn attempted_upstream_at(&mut self, now_ms: u64, event: Event) -> String {
        attempted_upstream(&self.handle_at(now_ms, [event]))
    }

    /// Sends a request and answers it after `duration_ms`; returns the upstream of the first attempt.
    pub fn serve_at(&mut self, sent_ms: u64, id: &str, class: u32, duration_ms: u64) -> String {
        let upstream = self.attempted_upstream_at(sent_ms, request_arrived(id, class));
        let answer = attempt_ended(id, 0, &upstream, Outcome::Ok, duration_ms);
        self.handle_at(sent_ms + duration_ms, [answer]);
        upstream
    }

    /// Serves `count` requests of 20 ms cost one after the other, each answered after 20 ms, so that the response time
    /// estimate has its samples and the concurrency limits have grown. Clears the trace and returns the time in
    /// milliseconds.
    pub fn warm_up(&mut self, count: u64) -> u64 {
        for n in 0..count {
            self.serve_at(n * WARM_UP_INTERVAL_MS, &format!("w{n}"), IDEMPOTENT, 20);
        }
        self.trace.clear();
        count * WARM_UP_INTERVAL_MS
    }
}
