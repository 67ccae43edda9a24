//! What a change of the upstream list costs a balancer with usual traffic, by the length of the list.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pondlb::{
    Action, Arrival, Balancer, BalancerConfig, Class, ColdStart, Effect, Event, ListSource, ListUpdate, Load,
    Outcome, Stage, TenthMillis, UpstreamEntry,
};

const MS: TenthMillis = 10;
const SECOND: TenthMillis = 1000 * MS;
const LENGTHS: [usize; 4] = [200, 2_000, 8_000, 24_000];
const ZONES: usize = 10;
/// The zone that drains at once, and the most upstreams that one change names.
const ZONE: usize = 2_400;
const SLICE: usize = 64;
/// Requests a second, and how long they came before the first change.
const RATE: u64 = 50;
const WARMED: TenthMillis = 20 * SECOND;
const ANSWERED_IN: TenthMillis = 20 * MS;
const OPEN: usize = 8;

fn terms() -> BalancerConfig {
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

fn entry(number: usize, stage: Stage) -> UpstreamEntry {
    let zone = (number % ZONES) as u32;
    let upstream = format!("10.{}.{}.{}:8080", number % 7, number / 250, number % 250).into();
    UpstreamEntry { upstream, cell: 0, started_at: None, capacity: 0.7, zone, kind: 0, stage }
}

/// A balancer that has served for a while, with some requests open.
struct Serving {
    balancer: Balancer,
    now: TenthMillis,
    actions: Vec<Action>,
    requests: u64,
}

impl Serving {
    fn start(length: usize) -> Serving {
        let (balancer, actions) = (Balancer::new(terms(), 7), Vec::new());
        let mut serving = Serving { balancer, now: 0, actions, requests: 0 };
        let entries = (0..length).map(|number| entry(number, Stage::Live)).collect();
        serving.handle(Event::ListUpdate(ListUpdate::Snapshot(entries)));
        while serving.now < WARMED {
            serving.now += SECOND / RATE;
            let sent = serving.request();
            serving.now += ANSWERED_IN;
            let answers = sent.into_iter().filter_map(answer);
            answers.for_each(|event| serving.handle(event));
        }
        for _ in 0..OPEN {
            serving.request();
        }
        serving
    }

    fn request(&mut self) -> Vec<Action> {
        self.requests += 1;
        let (request, left, cost) = (format!("r{}", self.requests).into(), SECOND, Some(20 * MS));
        let arrival = Arrival {
            request,
            class: 0,
            tenant: 0,
            affinity_key: None,
            time_left: left,
            cost,
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

fn answer(action: Action) -> Option<Event> {
    let Action::Attempt { request, upstream, .. } = action else { return None };
    let (outcome, load) = (Outcome::Ok, Load::default());
    Some(Event::AttemptEnded {
        request,
        attempt: 0,
        upstream,
        outcome,
        duration: ANSWERED_IN,
        answered: true,
        load,
    })
}

fn changes(numbers: impl Iterator<Item = usize>, stage: Stage) -> Event {
    Event::ListUpdate(ListUpdate::Changes(numbers.map(|number| entry(number, stage)).collect()))
}

/// One upstream drains and comes back: two changes an iteration.
fn one_upstream(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one upstream drains and comes back");
    for length in LENGTHS {
        let mut serving = Serving::start(length);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
            bencher.iter(|| {
                number = (number + 37) % length;
                serving.handle(changes([number].into_iter(), Stage::Draining));
                serving.handle(changes([number].into_iter(), Stage::Live));
            });
        });
    }
    group.finish();
}

/// A whole zone drains and comes back, a slice at a time.
fn one_zone(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a zone of 2400 drains and comes back in slices of 64");
    group.sample_size(10);
    let length = 24_000;
    let mut serving = Serving::start(length);
    let zone: Vec<usize> = (0..length).filter(|number| number % ZONES == 3).take(ZONE).collect();
    group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
        bencher.iter(|| {
            for stage in [Stage::Draining, Stage::Live] {
                zone.chunks(SLICE).for_each(|slice| serving.handle(changes(slice.iter().copied(), stage)));
            }
        });
    });
    group.finish();
}

criterion_group!(list_change, one_upstream, one_zone);
criterion_main!(list_change);
