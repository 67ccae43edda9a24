//! Compares the subset of upstreams that a balancer uses, which it updates with each change of the list, with one that a
//! model computes from the whole list.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use pondlb::*;

const SECOND: TenthMillis = 10_000;
const MILLISECOND: TenthMillis = 10;
const OWN_INDEX: u32 = 11;
const OWN_ZONE: u32 = 1;
const ZONES: u64 = 4;
const UPSTREAM_NAMES: u64 = 90;
/// The smallest number of upstreams that a balancer uses, if that many are live.
const MIN_SUBSET_SIZE: usize = 8;
/// Requests that reach the concurrency limits of all upstreams in the subset.
const REQUESTS_PER_CHECK: u64 = 32;
const CHECKS: u64 = 1500;
/// One list update in this many is a snapshot.
const SNAPSHOT_INTERVAL: i32 = 40;
/// The most upstreams that an update with changes names.
const MAX_CHANGES: u64 = 6;
/// Long enough that the requests of one check do not enlarge the subset in the next.
const CHECK_INTERVAL: TenthMillis = 60 * SECOND;

fn config() -> BalancerConfig {
    BalancerConfig {
        balancer_count: 1,
        own_index: OWN_INDEX,
        own_zone: OWN_ZONE,
        list_source: ListSource::Pushed,
        classes: vec![Class { sla_time: SECOND, value: 1.0, effect: Effect::NonIdempotent }],
        tenants: Vec::new(),
        over_quota_value: 1.0,
        warm_keys: false,
        max_attempts: 1,
        hedging: false,
        cancelling: true,
        probing: false,
        max_retry_after: None,
        drain_grace: SECOND / 2,
        cold_start: ColdStart {
            initial_capacity_share: 0.2,
            warm_up_time: 10 * SECOND,
            collapse_load_factor: 2.0,
            collapse_window: SECOND,
        },
    }
}

/// The list of upstreams, and the subset computed from it.
#[derive(Default)]
struct Model {
    /// Entries by name.
    listed: BTreeMap<String, UpstreamEntry>,
    subset: BTreeSet<String>,
}

impl Model {
    fn update(&mut self, entries: &[UpstreamEntry], is_snapshot: bool) {
        let stages_before = self.live_by_name();
        if is_snapshot {
            self.listed.clear();
        }
        for entry in entries {
            self.listed.insert(entry.upstream.to_string(), entry.clone());
        }
        // An upstream that only moves to another zone counts there from the next change of a stage on.
        if self.live_by_name() != stages_before {
            self.choose_subset();
        }
    }

    /// Whether each upstream of the list is live. Those that are gone are left out.
    fn live_by_name(&self) -> BTreeMap<String, bool> {
        let present = self.listed.iter().filter(|(_, entry)| entry.stage != Stage::Gone);
        present.map(|(name, entry)| (name.clone(), entry.stage == Stage::Live)).collect()
    }

    /// Takes the first live upstreams in the balancer's own order. The number from its own zone is 1.5 times that zone's
    /// proportional part, but at most half of the subset unless the other zones have too few.
    fn choose_subset(&mut self) {
        let mut live: Vec<&UpstreamEntry> =
            self.listed.values().filter(|entry| entry.stage == Stage::Live).collect();
        live.sort_by_key(|entry| mix(name_hash(&entry.upstream) ^ mix(u64::from(OWN_INDEX))));
        let (own_zone, other_zones): (Vec<&UpstreamEntry>, Vec<&UpstreamEntry>) =
            live.iter().partition(|entry| entry.zone == OWN_ZONE);
        let size = MIN_SUBSET_SIZE.min(live.len());
        let preferred = 3 * size * own_zone.len() / (2 * live.len().max(1));
        let missing_elsewhere = size.saturating_sub(other_zones.len());
        let own_count = preferred.min(size / 2).max(missing_elsewhere).min(own_zone.len());
        let others = other_zones.into_iter().take(size - own_count);
        let chosen = own_zone.into_iter().take(own_count).chain(others);
        self.subset = chosen.map(|entry| entry.upstream.to_string()).collect();
    }
}

/// The hash by which the balancer orders upstreams.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// The balancer's hash function, a variant of the finalizer of SplitMix64.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Up to `max_count` random upstreams with different names.
fn random_entries(rng: &mut WyRand, max_count: u64) -> Vec<UpstreamEntry> {
    let count = rng.generate_range(0..=max_count);
    let names: BTreeSet<u64> = (0..count).map(|_| rng.generate_range(0..UPSTREAM_NAMES)).collect();
    let stages = [Stage::Live, Stage::Live, Stage::Live, Stage::Draining, Stage::Gone];
    let entry = |name| UpstreamEntry {
        upstream: format!("u{name}").into(),
        capacity: 0.5 + rng.generate_range(0..10) as f64 / 10.0,
        zone: rng.generate_range(0..ZONES) as u32,
        stage: stages[rng.generate_range(0..stages.len())],
        ..UpstreamEntry::default()
    };
    names.into_iter().map(entry).collect()
}

fn handle(balancer: &mut Balancer, now: TenthMillis, events: Vec<Event>) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.handle(now, events, &mut actions);
    actions
}

/// Sends many requests at once, so that each upstream of the subset gets some, and ends them without answers. Returns the
/// upstreams that got requests.
fn used_upstreams(balancer: &mut Balancer, now: TenthMillis, check: u64) -> BTreeSet<String> {
    let ids: Vec<RequestId> =
        (0..REQUESTS_PER_CHECK).map(|number| format!("{check}-{number}").into()).collect();
    let sent = handle(balancer, now, ids.iter().map(request_arrived).collect());
    handle(balancer, now, ids.into_iter().map(|request| Event::ClientDisconnected { request }).collect());
    let (mut used, mut ended) = (BTreeSet::new(), Vec::new());
    for action in sent {
        if let Action::Attempt { request, upstream, .. } = action {
            used.insert(upstream.to_string());
            ended.push(attempt_cancelled(request, upstream));
        }
    }
    handle(balancer, now, ended);
    used
}

fn request_arrived(id: &RequestId) -> Event {
    Event::RequestArrived(Arrival {
        request: id.clone(),
        class: 0,
        tenant: 0,
        affinity_key: None,
        time_left: SECOND,
        cost: Some(MILLISECOND),
        is_retry: false,
        is_write: false,
    })
}

fn attempt_cancelled(request: RequestId, upstream: UpstreamId) -> Event {
    Event::AttemptEnded {
        request,
        attempt: 0,
        upstream,
        outcome: Outcome::Cancelled,
        duration: 0,
        answered: true,
        load: Load::default(),
    }
}

#[test]
fn incremental_subset_equals_one_computed_from_the_whole_list() {
    let mut rng = WyRand::new_seed(5);
    let (mut balancer, mut model, mut now) = (Balancer::new(config(), 7), Model::default(), 0);
    let mut sizes = BTreeSet::new();
    for check in 0..CHECKS {
        now += CHECK_INTERVAL;
        let is_snapshot = check == 0 || rng.generate_range(0..SNAPSHOT_INTERVAL) == 0;
        let entries = random_entries(&mut rng, if is_snapshot { UPSTREAM_NAMES } else { MAX_CHANGES });
        model.update(&entries, is_snapshot);
        let update = if is_snapshot { ListUpdate::Snapshot } else { ListUpdate::Changes };
        handle(&mut balancer, now, vec![Event::ListUpdate(update(entries.into()))]);
        let used = used_upstreams(&mut balancer, now, check);
        assert_eq!(used, model.subset, "check {check}");
        sizes.insert(used.len());
    }
    // Some of the lists had fewer live upstreams than a whole subset.
    assert!(sizes.len() > 3 && sizes.contains(&MIN_SUBSET_SIZE), "{sizes:?}");
}
