//! The time that a balancer with usual traffic takes to handle a change of the upstream list, by the length of the list.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pondlb::{
    Action, Arrival, Balancer, BalancerConfig, Class, ColdStart, Effect, Event, ListSource, ListUpdate, Load,
    Outcome, Stage, TenthMillis, UpstreamEntry,
};

const MS: TenthMillis = 10;
const SECOND: TenthMillis = 1000 * MS;
const LIST_LENGTHS: [usize; 4] = [200, 2_000, 8_000, 24_000];
const ZONES: usize = 10;
/// Upstreams of the zone that drains, and the most that one change of the list names.
const DRAINING_ZONE_SIZE: usize = 2_400;
const CHANGE_SIZE: usize = 64;
const REQUESTS_PER_SECOND: u64 = 50;
/// How long requests are served before the first change.
const WARM_UP_TIME: TenthMillis = 20 * SECOND;
const RESPONSE_TIME: TenthMillis = 20 * MS;
/// Seed of the balancer's random choices.
const SEED: u64 = 7;
/// Requests that are open during the changes.
const OPEN_REQUESTS: usize = 8;

fn config() -> BalancerConfig {
    BalancerConfig {
        balancer_count: 100,
        own_index: 7,
        own_zone: 0,
        list_source: ListSource::Polled { max_poll_interval: 10 * SECOND },
        classes: vec![Class { sla_time: 400 * MS, value: 1.0, effect: Effect::Idempotent }],
        tenants: Vec::new(),
        over_quota_value: 1.0,
        warm_keys: false,
        max_attempts: 3,
        hedging: true,
        cancelling: true,
        probing: false,
        max_retry_after: None,
        drain_grace: SECOND / 2,
        cold_start: ColdStart {
            initial_capacity_share: 0.3,
            warm_up_time: 9 * SECOND,
            collapse_load_factor: 4.0,
            collapse_window: 2 * SECOND,
        },
    }
}

fn upstream_entry(index: usize, stage: Stage) -> UpstreamEntry {
    let zone = (index % ZONES) as u32;
    let upstream = format!("10.{}.{}.{}:8080", index % 7, index / 250, index % 250).into();
    UpstreamEntry { upstream, cell: 0, started_at: None, capacity: 0.7, zone, kind: 0, stage }
}

/// A balancer that has served for a while, with some requests open.
struct ServingBalancer {
    balancer: Balancer,
    now: TenthMillis,
    actions: Vec<Action>,
    /// Requests that have arrived so far.
    request_count: u64,
}

impl ServingBalancer {
    fn start(list_length: usize) -> ServingBalancer {
        let (balancer, actions) = (Balancer::new(config(), SEED), Vec::new());
        let mut serving = ServingBalancer { balancer, now: 0, actions, request_count: 0 };
        let entries = (0..list_length).map(|index| upstream_entry(index, Stage::Live)).collect();
        serving.handle(Event::ListUpdate(ListUpdate::Snapshot(entries)));
        while serving.now < WARM_UP_TIME {
            serving.now += SECOND / REQUESTS_PER_SECOND;
            let actions = serving.receive_request();
            serving.now += RESPONSE_TIME;
            let answers = actions.into_iter().filter_map(answer_to);
            answers.for_each(|event| serving.handle(event));
        }
        for _ in 0..OPEN_REQUESTS {
            serving.receive_request();
        }
        serving
    }

    /// Handles the arrival of a request and returns the actions.
    fn receive_request(&mut self) -> Vec<Action> {
        self.request_count += 1;
        let arrival = Arrival {
            request: format!("r{}", self.request_count).into(),
            class: 0,
            tenant: 0,
            affinity_key: None,
            time_left: SECOND,
            cost: Some(20 * MS),
            is_retry: false,
            is_write: false,
        };
        self.actions.clear();
        self.balancer.handle(self.now, [Event::RequestArrived(arrival)], &mut self.actions);
        std::mem::take(&mut self.actions)
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, [event], &mut self.actions);
        black_box(&self.actions);
    }
}

/// The successful end of an attempt; none for another action.
fn answer_to(action: Action) -> Option<Event> {
    let Action::Attempt { request, upstream, .. } = action else { return None };
    Some(Event::AttemptEnded {
        request,
        attempt: 0,
        upstream,
        outcome: Outcome::Ok,
        duration: RESPONSE_TIME,
        answered: true,
        load: Load::default(),
    })
}

/// Changes the stage of the upstreams with these indices.
fn stage_changes(indices: impl Iterator<Item = usize>, stage: Stage) -> Event {
    Event::ListUpdate(ListUpdate::Changes(indices.map(|index| upstream_entry(index, stage)).collect()))
}

/// One upstream drains and becomes live again: two changes in each iteration.
fn one_upstream(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one upstream drains and comes back");
    for length in LIST_LENGTHS {
        let mut serving = ServingBalancer::start(length);
        let mut index = 0;
        group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
            bencher.iter(|| {
                index = (index + 37) % length;
                serving.handle(stage_changes([index].into_iter(), Stage::Draining));
                serving.handle(stage_changes([index].into_iter(), Stage::Live));
            });
        });
    }
    group.finish();
}

/// All upstreams of a zone drain and become live again, a few in each change.
fn one_zone(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a zone of 2400 drains and comes back in slices of 64");
    group.sample_size(10);
    let length = 24_000;
    let mut serving = ServingBalancer::start(length);
    let zone: Vec<usize> = (0..length).filter(|index| index % ZONES == 3).take(DRAINING_ZONE_SIZE).collect();
    group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
        bencher.iter(|| {
            for stage in [Stage::Draining, Stage::Live] {
                zone.chunks(CHANGE_SIZE)
                    .for_each(|slice| serving.handle(stage_changes(slice.iter().copied(), stage)));
            }
        });
    });
    group.finish();
}

criterion_group!(list_change, one_upstream, one_zone);
criterion_main!(list_change);
