//! The [`Balancer`]: the order of steps after each batch of events, and the table of upstreams with their
//! removal. The other modules make the decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use nanorand::WyRand;

use super::discovery::ListCalls;
use super::{Dispatcher, Fleet, QuotaBucket, SECOND, Upstream, UpstreamIndex};
use crate::{
    Action, BalancerConfig, ConfigChange, Effect, Event, ListUpdate, Stage, TenthMillis, UpstreamEntry,
    UpstreamId,
};

/// With more zones or kinds than this, those without an upstream are forgotten.
const MAX_EMPTY_GROUPS: usize = 32;

/// The decisions of one balancer.
pub struct Balancer {
    /// The requests, the upstreams and the choices among them.
    dispatcher: Dispatcher,
    /// When to call discovery.
    list_calls: ListCalls,
    /// Indices of forgotten upstreams, which new ones take over.
    free_indices: Vec<UpstreamIndex>,
    /// Upstreams that are gone and not forgotten yet.
    gone: BTreeSet<GoneUpstream>,
    /// How many upstreams each zone and kind has.
    group_sizes: GroupSizes,
    /// The time of the last timer that was set.
    timer_at: Option<TenthMillis>,
    /// Whether the lease on the list has expired, by the last line in the log.
    is_list_stale: bool,
}

/// An upstream that is gone, ordered by the time since when.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GoneUpstream {
    /// Its [`Upstream::listed_at`]: when the list last contained it as gone, or first did not contain it.
    since: TenthMillis,
    index: UpstreamIndex,
}

impl Balancer {
    /// A balancer that knows no upstreams yet. Equal seeds and events give equal actions.
    pub fn new(config: BalancerConfig, seed: u64) -> Self {
        Balancer {
            dispatcher: Dispatcher::new(config, WyRand::new_seed(seed)),
            list_calls: ListCalls::default(),
            free_indices: Vec::new(),
            gone: BTreeSet::new(),
            group_sizes: GroupSizes::default(),
            timer_at: None,
            is_list_stale: false,
        }
    }

    /// Handles the events up to now, and appends what the front end has to do to `actions`.
    pub fn handle(
        &mut self,
        now: TenthMillis,
        events: impl IntoIterator<Item = Event>,
        actions: &mut Vec<Action>,
    ) {
        for event in events {
            match event {
                Event::ListUpdate(update) => self.handle_list_update(now, update),
                event => self.dispatcher.handle_event(now, event, actions),
            }
        }
        if self.list_calls.next_call_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::WatchList { enabled: true });
        }
        self.dispatcher.handle_alarms(now, actions);
        self.dispatcher.fleet.choose_candidates(now, &self.dispatcher.config);
        while self.dispatcher.dispatch_next(now, actions) {}
        self.dispatcher.shed_load(now, actions);
        self.log_lease(now, actions);
        self.set_timer(now, actions);
    }

    /// Requests a timer for the next time at which something is due, unless an earlier timer is set.
    fn set_timer(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        let alarm_at = self.dispatcher.queue.alarms.peek().map(|Reverse(alarm)| alarm.at);
        let lease_end = self.dispatcher.lease.end(&self.dispatcher.config).filter(|end| *end > now);
        let due_times = alarm_at.into_iter().chain(self.list_calls.next_call_at).chain(lease_end);
        let Some(next) = due_times.min() else { return };
        if self.timer_at.is_none_or(|at| at <= now || next < at) {
            self.timer_at = Some(next);
            let after = next.saturating_sub(now).max(1);
            actions.push(Action::SetTimer { token: "wake", after });
        }
    }

    /// Whether nothing may be sent because the list of upstreams has not been confirmed for too long.
    pub fn is_list_stale(&self) -> bool {
        self.is_list_stale
    }

    /// The effect of the requests of a class that arrive now. A class that does not exist is taken for one that
    /// must not be repeated.
    pub fn effect(&self, class: u32) -> Effect {
        let classes = &self.dispatcher.config.classes;
        classes.get(class as usize).map_or(Effect::NonIdempotent, |class| class.effect)
    }

    /// Logs when the lease on the list expires, and when it is renewed after that.
    fn log_lease(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        let is_list_stale = self.dispatcher.lease.has_expired(now, &self.dispatcher.config);
        if is_list_stale == self.is_list_stale {
            return;
        }
        self.is_list_stale = is_list_stale;
        let text = match is_list_stale {
            true => "the list of upstreams is stale: nothing is sent until discovery confirms it",
            false => "the list of upstreams is confirmed again",
        };
        actions.push(Action::Log { text: text.into() });
    }

    /// Puts changes of the configuration in force. Requests that are already open keep the values that they
    /// arrived under.
    pub fn apply(&mut self, changes: &[ConfigChange]) {
        let Dispatcher { config, quotas, max_class_value, .. } = &mut self.dispatcher;
        changes.iter().for_each(|change| config.apply(change));
        quotas.resize(config.tenants.len(), QuotaBucket::default());
        if changes.iter().any(|change| matches!(change, ConfigChange::Class { .. })) {
            *max_class_value = config.max_class_value();
        }
    }

    /// Takes a new list or changes of one, or the failure of a call for it.
    fn handle_list_update(&mut self, now: TenthMillis, update: ListUpdate) {
        let (entries, is_complete) = match &update {
            ListUpdate::Refused | ListUpdate::Unreachable | ListUpdate::WatchTimedOut => {
                return self.schedule_list_call(now, &update);
            }
            ListUpdate::Changes(entries) => (entries, false),
            ListUpdate::Snapshot(entries) | ListUpdate::Restored(entries) => (entries, true),
        };
        self.list_calls.refusals = 0;
        if matches!(update, ListUpdate::Restored(_)) {
            self.schedule_list_call(now, &update);
        }
        self.forget_gone_upstreams(now);
        // The stages before the update: the subset is chosen again only if a stage is different at its end.
        let mut stages_before = BTreeMap::new();
        for entry in entries.iter() {
            let index = self.index_of(entry);
            stages_before.entry(index).or_insert(self.dispatcher.fleet.upstreams[index].entry.stage);
            self.update_entry(now, index, Some(entry.clone()));
        }
        if is_complete {
            let upstreams = &self.dispatcher.fleet.upstreams;
            let is_missing = |index: &UpstreamIndex| {
                upstreams[*index].entry.stage != Stage::Gone && !stages_before.contains_key(index)
            };
            let missing: Vec<UpstreamIndex> = (0..upstreams.len()).filter(is_missing).collect();
            for index in missing {
                stages_before.insert(index, self.dispatcher.fleet.upstreams[index].entry.stage);
                self.update_entry(now, index, None);
            }
        }
        let fleet = &mut self.dispatcher.fleet;
        fleet.is_subset_outdated |=
            stages_before.into_iter().any(|(index, before)| fleet.upstreams[index].entry.stage != before);
    }

    /// Updates an upstream's entry, its zone and kind, and whether it is gone.
    fn update_entry(&mut self, now: TenthMillis, index: UpstreamIndex, entry: Option<UpstreamEntry>) {
        let before = &self.dispatcher.fleet.upstreams[index];
        self.group_sizes.remove(&before.entry);
        self.gone.remove(&GoneUpstream { since: before.listed_at, index });
        self.dispatcher.update_entry(now, index, entry);
        let after = &self.dispatcher.fleet.upstreams[index];
        self.group_sizes.add(&after.entry);
        if after.entry.stage == Stage::Gone {
            self.gone.insert(GoneUpstream { since: after.listed_at, index });
        }
    }

    /// Schedules the next call to discovery after the last one ended with `last`.
    fn schedule_list_call(&mut self, now: TenthMillis, last: &ListUpdate) {
        let Dispatcher { config, lease, rng, .. } = &mut self.dispatcher;
        self.list_calls.schedule(now, last, lease.time_left(now, config), config, rng);
    }

    /// The index of a listed upstream. A new upstream gets that of a forgotten one where there is any.
    fn index_of(&mut self, entry: &UpstreamEntry) -> UpstreamIndex {
        let Fleet { index_by_id, upstreams, .. } = &mut self.dispatcher.fleet;
        *index_by_id.entry(entry.upstream.clone()).or_insert_with(|| {
            let upstream = Upstream::new(entry, &self.dispatcher.config);
            let index = self.free_indices.pop().unwrap_or(upstreams.len());
            upstreams.splice(index..upstreams.len().min(index + 1), [upstream]);
            self.group_sizes.add(entry);
            index
        })
    }

    /// Forgets upstreams that have been gone for long, so that the table doesn't grow with each upstream that
    /// ever existed. They are kept as long as an upstream may be cold: one that came back sooner would
    /// otherwise get its budget of cold work twice.
    fn forget_gone_upstreams(&mut self, now: TenthMillis) {
        let keep_time = self.dispatcher.config.cold_start.warm_up_time.max(SECOND);
        let gone_before = GoneUpstream { since: now.saturating_sub(keep_time), index: 0 };
        let (fleet, requests) = (&mut self.dispatcher.fleet, &self.dispatcher.queue.requests);
        let mut forgotten: Vec<(UpstreamId, GoneUpstream)> = self
            .gone
            .range(..gone_before)
            .map(|gone| (&fleet.upstreams[gone.index], *gone))
            .filter(|(upstream, _)| upstream.in_flight == 0)
            .map(|(upstream, gone)| (upstream.entry.upstream.clone(), gone))
            .collect();
        if !forgotten.is_empty() {
            let attempts = requests.values().flat_map(|request| &request.attempts);
            let in_use: BTreeSet<UpstreamIndex> = attempts.map(|attempt| attempt.upstream).collect();
            forgotten.retain(|(_, gone)| !in_use.contains(&gone.index));
        }
        // Sorted by id, so that equal events free the indices in equal order.
        forgotten.sort();
        for (id, gone) in forgotten {
            fleet.index_by_id.remove(&id);
            self.group_sizes.remove(&fleet.upstreams[gone.index].entry);
            self.gone.remove(&gone);
            self.free_indices.push(gone.index);
        }
        if fleet.zones.len().max(fleet.kind_paces.len()) > MAX_EMPTY_GROUPS {
            fleet.zones.retain(|zone, _| self.group_sizes.zones.contains_key(zone));
            fleet.kind_paces.retain(|kind, _| self.group_sizes.kinds.contains_key(kind));
        }
    }

    /// How much state the balancer holds at the moment.
    pub fn tracked_counts(&self) -> TrackedCounts {
        let Fleet { index_by_id, zones, kind_paces, .. } = &self.dispatcher.fleet;
        TrackedCounts {
            upstreams: index_by_id.len(),
            zones: zones.len(),
            kinds: kind_paces.len(),
            open_requests: self.dispatcher.queue.requests.len(),
        }
    }
}

/// The sizes of the balancer's tables, for the log and for tests of their bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedCounts {
    /// Upstreams that are listed or not forgotten yet.
    pub upstreams: usize,
    pub zones: usize,
    /// Kinds of machines.
    pub kinds: usize,
    pub open_requests: usize,
}

/// The numbers in the order of the fields, as `[1, 2, 3, 4]`.
impl fmt::Display for TrackedCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}", [self.upstreams, self.zones, self.kinds, self.open_requests])
    }
}

/// The number of upstreams in each zone and of each kind that are not forgotten.
#[derive(Default)]
struct GroupSizes {
    /// Numbers of upstreams by zone; zones without any are not contained.
    zones: BTreeMap<u32, usize>,
    /// Numbers of upstreams by kind; kinds without any are not contained.
    kinds: BTreeMap<u32, usize>,
}

impl GroupSizes {
    /// Counts an upstream in its zone and kind.
    fn add(&mut self, entry: &UpstreamEntry) {
        *self.zones.entry(entry.zone).or_default() += 1;
        *self.kinds.entry(entry.kind).or_default() += 1;
    }

    /// Removes an upstream from the counts of its zone and kind.
    fn remove(&mut self, entry: &UpstreamEntry) {
        for (sizes, group) in [(&mut self.zones, entry.zone), (&mut self.kinds, entry.kind)] {
            if let Some(size) = sizes.get_mut(&group) {
                *size -= 1;
                if *size == 0 {
                    sizes.remove(&group);
                }
            }
        }
    }
}
