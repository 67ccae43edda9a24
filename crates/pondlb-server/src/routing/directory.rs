//! The addresses of the upstreams, and the indexes that stand for the names of zones and machine kinds.

use std::collections::BTreeSet;
use std::collections::btree_map::{self, BTreeMap};
use std::fmt;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;

use pondlb::{Stage, TenthMillis, UpstreamEntry, UpstreamId};
use pondlb_terms::{IndexedNames, Target};

use super::labels::stage_label;
use crate::protocol::discovery::UpstreamList;

/// The listed upstreams and their addresses. Translates lists of upstreams, in which zones and kinds have names, into entries for
/// the balancer, in which they have indexes.
pub struct UpstreamDirectory {
    zones: NameIndexes,
    kinds: NameIndexes,
    listings: BTreeMap<UpstreamId, Listing>,
    /// See [`Self::take_relocated`].
    relocated: Vec<UpstreamId>,
    /// The Unix epoch on the balancer's clock, in tenths of a millisecond. Negative, since it is before that clock's
    /// start.
    unix_epoch: i64,
}

/// An upstream that is listed.
struct Listing {
    address: SocketAddr,
    /// What the balancer was told of it last.
    entry: UpstreamEntry,
}

/// Which process an upstream is, and where, by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    pub address: SocketAddr,
    /// When the process was started; see [`UpstreamEntry::started_at`]. Its predecessor had the same address.
    started_at: Option<TenthMillis>,
    /// Index of its zone.
    zone: u32,
    cell: u32,
}

/// The indexes that stand for names.
struct NameIndexes {
    /// The names in the settings; the index of each is its position.
    configured: Vec<String>,
    /// Names that are not in the settings, each for as long as an upstream has it. No index is used twice, so that one
    /// name is never taken for another.
    unconfigured: BTreeMap<Rc<str>, u32>,
    /// How the indexes of unconfigured names are used.
    uses: BTreeMap<u32, IndexUse>,
    /// Indexes that may no longer be used by any upstream.
    maybe_unused: Vec<u32>,
    next_index: u32,
}

/// The use of an unconfigured name's index.
struct IndexUse {
    name: Rc<str>,
    upstream_count: usize,
}

impl NameIndexes {
    fn new(configured: Vec<String>) -> Self {
        let next_index = u32::try_from(configured.len()).unwrap_or(u32::MAX);
        NameIndexes {
            configured,
            unconfigured: BTreeMap::new(),
            uses: BTreeMap::new(),
            maybe_unused: Vec::new(),
            next_index,
        }
    }

    /// Returns the index of a name. A name that is new gets an index, which counts as unused until an upstream has it.
    fn index_of(&mut self, name: &str) -> u32 {
        if let Some((index, _)) = (0..).zip(&self.configured).find(|(_, configured)| *configured == name) {
            return index;
        }
        if let Some(index) = self.unconfigured.get(name) {
            return *index;
        }
        let (index, name) = (self.next_index, Rc::<str>::from(name));
        self.next_index = self.next_index.saturating_add(1);
        self.unconfigured.insert(name.clone(), index);
        self.uses.insert(index, IndexUse { name, upstream_count: 0 });
        self.maybe_unused.push(index);
        index
    }

    fn add_use(&mut self, index: u32) {
        if let Some(index_use) = self.uses.get_mut(&index) {
            index_use.upstream_count += 1;
        }
    }

    fn remove_use(&mut self, index: u32) {
        let Some(index_use) = self.uses.get_mut(&index) else { return };
        index_use.upstream_count = index_use.upstream_count.saturating_sub(1);
        if index_use.upstream_count == 0 {
            self.maybe_unused.push(index);
        }
    }

    /// Removes the unconfigured names that no upstream has.
    fn remove_unused(&mut self) {
        for index in self.maybe_unused.drain(..) {
            if let btree_map::Entry::Occupied(entry) = self.uses.entry(index)
                && entry.get().upstream_count == 0
            {
                self.unconfigured.remove(&entry.remove().name);
            }
        }
    }
}

/// The sizes of the directory, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryCounts {
    pub upstreams: usize,
    /// Names of zones that are not in the settings.
    pub unconfigured_zones: usize,
    /// Names of machine kinds that are not in the settings.
    pub unconfigured_kinds: usize,
}

impl fmt::Display for DirectoryCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let DirectoryCounts { upstreams, unconfigured_zones, unconfigured_kinds } = self;
        write!(formatter, "[{upstreams}, {unconfigured_zones}, {unconfigured_kinds}]")
    }
}

impl UpstreamDirectory {
    /// Creates an empty directory. `unix_epoch` is the Unix epoch on the balancer's clock, in tenths of a millisecond.
    pub fn new(names: IndexedNames, unix_epoch: i64) -> Self {
        UpstreamDirectory {
            zones: NameIndexes::new(names.zones),
            kinds: NameIndexes::new(names.kinds),
            listings: BTreeMap::new(),
            relocated: Vec::new(),
            unix_epoch,
        }
    }

    /// Where an upstream is, if it is listed.
    pub fn location(&self, upstream: &UpstreamId) -> Option<Location> {
        let Listing { address, entry } = self.listings.get(upstream)?;
        let UpstreamEntry { started_at, zone, cell, .. } = *entry;
        Some(Location { address: *address, started_at, zone, cell })
    }

    /// The upstreams that have another location since the last call, or are another process there.
    pub fn take_relocated(&mut self) -> Vec<UpstreamId> {
        mem::take(&mut self.relocated)
    }

    /// Whether an upstream takes requests at this location.
    pub fn is_live_at(&self, upstream: &UpstreamId, location: Location) -> bool {
        let is_live = |listing: &Listing| listing.entry.stage == Stage::Live;
        self.listings.get(upstream).is_some_and(is_live) && self.location(upstream) == Some(location)
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.listings.is_empty()
    }

    /// How many upstreams and unconfigured names are known.
    pub fn counts(&self) -> DirectoryCounts {
        DirectoryCounts {
            upstreams: self.listings.len(),
            unconfigured_zones: self.zones.unconfigured.len(),
            unconfigured_kinds: self.kinds.unconfigured.len(),
        }
    }

    /// Applies a list, which may hold all upstreams or only changes. Returns its entries for the balancer.
    pub fn apply_list(&mut self, list: UpstreamList) -> Rc<[UpstreamEntry]> {
        log::debug!("list {} whole {} names {}", list.version, list.is_snapshot, list.targets.len());
        if list.is_snapshot {
            self.remove_missing(&list.targets);
        }
        let mut entries: Vec<UpstreamEntry> =
            list.targets.into_iter().map(|target| self.apply_target(target)).collect();
        entries.extend(list.removed.into_iter().filter_map(|upstream| self.remove(upstream)));
        self.zones.remove_unused();
        self.kinds.remove_unused();
        entries.into()
    }

    /// Removes the upstreams that a snapshot leaves out.
    fn remove_missing(&mut self, snapshot: &[Target]) {
        let listed: BTreeSet<&str> = snapshot.iter().map(|target| &*target.upstream).collect();
        let missing = self.listings.keys().filter(|upstream| !listed.contains(&***upstream));
        let missing: Vec<UpstreamId> = missing.cloned().collect();
        for upstream in missing {
            self.set_listing(upstream, None);
        }
    }

    fn apply_target(&mut self, target: Target) -> UpstreamEntry {
        log::debug!(
            "{} is {} in {} of {} size {} since {}",
            target.upstream,
            stage_label(target.stage),
            target.zone,
            target.kind,
            target.capacity,
            target.started_unix_ms
        );
        let upstream: UpstreamId = target.upstream.into();
        let zone = self.zones.index_of(&target.zone);
        let kind = self.kinds.index_of(&target.kind);
        let entry = UpstreamEntry {
            upstream: upstream.clone(),
            cell: target.cell,
            started_at: start_time(target.started_unix_ms, self.unix_epoch),
            capacity: target.capacity,
            zone,
            kind,
            stage: target.stage,
        };
        let listing = Listing { address: target.address, entry: entry.clone() };
        let previous_location = self.location(&upstream);
        self.set_listing(upstream.clone(), Some(listing).filter(|_| target.stage != Stage::Gone));
        if previous_location.is_some() && previous_location != self.location(&upstream) {
            self.relocated.push(upstream);
        }
        entry
    }

    /// Sets the listing of an upstream, or removes it if there is none. Returns the one before.
    fn set_listing(&mut self, upstream: UpstreamId, listing: Option<Listing>) -> Option<Listing> {
        if let Some(Listing { entry, .. }) = &listing {
            self.zones.add_use(entry.zone);
            self.kinds.add_use(entry.kind);
        }
        let previous = match listing {
            Some(listing) => self.listings.insert(upstream, listing),
            None => self.listings.remove(&upstream),
        };
        if let Some(Listing { entry, .. }) = &previous {
            self.zones.remove_use(entry.zone);
            self.kinds.remove_use(entry.kind);
        }
        previous
    }

    /// Removes an upstream. Returns its last entry, which says that it is gone, or none if it was not known.
    fn remove(&mut self, upstream: String) -> Option<UpstreamEntry> {
        let Listing { entry, .. } = self.set_listing(upstream.into(), None)?;
        log::debug!("{} is removed from zone {} and cell {}", entry.upstream, entry.zone, entry.cell);
        Some(UpstreamEntry { stage: Stage::Gone, ..entry })
    }
}

/// A start in Unix time (ms) on the balancer's clock. None if it is before that clock's start, or 0, which stands for
/// long ago.
fn start_time(unix_ms: u64, unix_epoch: i64) -> Option<TenthMillis> {
    let tenths = i64::try_from(unix_ms).ok()?.checked_mul(10)?.checked_add(unix_epoch)?;
    if unix_ms == 0 { None } else { TenthMillis::try_from(tenths).ok() }
}
