//! The subset of upstreams that a balancer uses, against one that is computed anew from the whole list.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use pondlb::*;

const SECOND: TenthMillis = 10_000;
const OWN_NUMBER: u32 = 11;
const OWN_ZONE: u32 = 1;
const ZONES: u64 = 4;
const NAMES: u64 = 90;
/// The least number of upstreams that a balancer uses, and how many requests fill all of them.
const SUBSET: usize = 8;
const REQUESTS: u64 = 32;
/// So far apart that the requests of one check ask for no larger subset in the next.
const APART: TenthMillis = 60 * SECOND;

fn terms() -> BalancerConfig {
    BalancerConfig {
        balancer_count: 1,
        own_index: OWN_NUMBER,
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

/// The list as told, and the subset by the rule.
#[derive(Default)]
struct Model {
    listed: BTreeMap<String, UpstreamEntry>,
    subset: BTreeSet<String>,
}

impl Model {
    fn take(&mut self, entries: &[UpstreamEntry], whole: bool) {
        let before = self.stages();
        if whole {
            self.listed.clear();
        }
        for entry in entries {
            self.listed.insert(entry.upstream.to_string(), entry.clone());
        }
        // An upstream that only changes its zone counts there from the next change of a stage on.
        if self.stages() != before {
            self.choose();
        }
    }

    fn stages(&self) -> BTreeMap<String, bool> {
        let known = self.listed.iter().filter(|(_, entry)| entry.stage != Stage::Gone);
        known.map(|(name, entry)| (name.clone(), entry.stage == Stage::Live)).collect()
    }

    /// The first live ones in the balancer's own order: from its own zone three halves of that zone's part, but no
    /// more than half of all unless the other zones have too few.
    fn choose(&mut self) {
        let mut live: Vec<&UpstreamEntry> = self.listed.values().filter(|e| e.stage == Stage::Live).collect();
        live.sort_by_key(|entry| mix(order(&entry.upstream) ^ mix(u64::from(OWN_NUMBER))));
        let (near, far): (Vec<&UpstreamEntry>, Vec<&UpstreamEntry>) =
            live.iter().partition(|entry| entry.zone == OWN_ZONE);
        let size = SUBSET.min(live.len());
        let part = 3 * size * near.len() / (2 * live.len().max(1));
        let own = part.min(size / 2).max(size.saturating_sub(far.len())).min(near.len());
        let chosen = near.into_iter().take(own).chain(far.into_iter().take(size - own));
        self.subset = chosen.map(|entry| entry.upstream.to_string()).collect();
    }
}

fn order(name: &str) -> u64 {
    name.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Names are not repeated within one list.
fn entries(rng: &mut WyRand, most: u64) -> Vec<UpstreamEntry> {
    let count = rng.generate_range(0..=most);
    let names: BTreeSet<u64> = (0..count).map(|_| rng.generate_range(0..NAMES)).collect();
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

/// The upstreams that so many requests at once are sent to, none of which is answered: those of the whole subset.
fn used(balancer: &mut Balancer, now: TenthMillis, check: u64) -> BTreeSet<String> {
    let ids: Vec<RequestId> = (0..REQUESTS).map(|number| format!("{check}-{number}").into()).collect();
    let arrived = |request: &RequestId| {
        let (request, left, cost) = (request.clone(), SECOND, Some(10));
        let (class, tenant, key, repeat, write) = (0, 0, None, false, false);
        Event::RequestArrived(Arrival {
            request,
            class,
            tenant,
            affinity_key: key,
            time_left: left,
            cost,
            is_retry: repeat,
            is_write: write,
        })
    };
    let sent = handle(balancer, now, ids.iter().map(arrived).collect());
    handle(balancer, now, ids.into_iter().map(|request| Event::ClientDisconnected { request }).collect());
    let (mut used, mut over) = (BTreeSet::new(), Vec::new());
    for action in sent {
        if let Action::Attempt { request, upstream, .. } = action {
            let (outcome, took, answered, load) = (Outcome::Cancelled, 0, true, Load::default());
            used.insert(upstream.to_string());
            over.push(Event::AttemptEnded {
                request,
                attempt: 0,
                upstream,
                outcome,
                duration: took,
                answered,
                load,
            });
        }
    }
    handle(balancer, now, over);
    used
}

#[test]
fn incremental_subset_equals_one_computed_from_the_whole_list() {
    let mut rng = WyRand::new_seed(5);
    let (mut balancer, mut model, mut now) = (Balancer::new(terms(), 7), Model::default(), 0);
    let mut sizes = BTreeSet::new();
    for check in 0..1500 {
        now += APART;
        let whole = check == 0 || rng.generate_range(0..40) == 0;
        let listed = entries(&mut rng, if whole { NAMES } else { 6 });
        model.take(&listed, whole);
        let listing = if whole { ListUpdate::Snapshot } else { ListUpdate::Changes };
        handle(&mut balancer, now, vec![Event::ListUpdate(listing(listed.into()))]);
        let used = used(&mut balancer, now, check);
        assert_eq!(used, model.subset, "check {check}");
        sizes.insert(used.len());
    }
    // Lists with fewer live upstreams than the subset has were met too.
    assert!(sizes.len() > 3 && sizes.contains(&SUBSET), "{sizes:?}");
}
