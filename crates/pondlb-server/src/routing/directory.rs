//! Addresses of upstreams, and numbers for the names of zones and machine types.

use std::collections::BTreeSet;
use std::collections::btree_map::{self, BTreeMap};
use std::net::SocketAddr;
use std::rc::Rc;

use pondlb::{Stage, TenthMillis, UpstreamEntry, UpstreamId};
use pondlb_terms::Names;

use crate::protocol::discovery::UpstreamList;

/// Where the upstreams are, and which numbers stand for the names that discovery uses.
pub struct UpstreamDirectory {
    zones: Numbers,
    kinds: Numbers,
    places: BTreeMap<UpstreamId, Place>,
    /// The balancer's time at the start of Unix time, which lies before the start of its own.
    unix_start: i64,
}

struct Place {
    address: SocketAddr,
    zone: u32,
    kind: u32,
}

/// Which numbers stand for names.
struct Numbers {
    known: Vec<String>,
    /// Those that the settings don't know, for as long as an upstream has them. No number is used twice, so
    /// that one name is never taken for another.
    others: BTreeMap<Rc<str>, u32>,
    /// Names and counts of the upstreams that have these numbers.
    uses: BTreeMap<u32, (Rc<str>, usize)>,
    /// Numbers that may be of no upstream any more.
    unused: Vec<u32>,
    next: u32,
}

impl Numbers {
    fn new(known: Vec<String>) -> Self {
        let next = u32::try_from(known.len()).unwrap_or(u32::MAX);
        let (others, uses) = (BTreeMap::new(), BTreeMap::new());
        Numbers { known, others, uses, unused: Vec::new(), next }
    }

    /// The number of a name. One that is new counts as unused until an upstream has it.
    fn of(&mut self, name: &str) -> u32 {
        if let Some(at) = (0..).zip(&self.known).find_map(|(at, known)| (*known == name).then_some(at)) {
            return at;
        }
        if let Some(number) = self.others.get(name) {
            return *number;
        }
        let (number, name) = (self.next, Rc::<str>::from(name));
        self.next = self.next.saturating_add(1);
        self.others.insert(name.clone(), number);
        self.uses.insert(number, (name, 0));
        self.unused.push(number);
        number
    }

    fn add_use(&mut self, number: u32) {
        if let Some((_, uses)) = self.uses.get_mut(&number) {
            *uses += 1;
        }
    }

    fn remove_use(&mut self, number: u32) {
        let Some((_, uses)) = self.uses.get_mut(&number) else { return };
        *uses = uses.saturating_sub(1);
        if *uses == 0 {
            self.unused.push(number);
        }
    }

    /// Forgets the names that no upstream has.
    fn forget_unused(&mut self) {
        for number in self.unused.drain(..) {
            if let btree_map::Entry::Occupied(used) = self.uses.entry(number)
                && used.get().1 == 0
            {
                let (name, _) = used.remove();
                self.others.remove(&name);
            }
        }
    }
}

impl UpstreamDirectory {
    pub fn new(names: Names, unix_start: i64) -> Self {
        let (zones, kinds) = (Numbers::new(names.zones), Numbers::new(names.kinds));
        UpstreamDirectory { zones, kinds, places: BTreeMap::new(), unix_start }
    }

    pub fn address(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        self.places.get(upstream).map(|place| place.address)
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// How many upstreams are known, and names of zones and kinds that the settings don't know.
    pub fn counts(&self) -> [usize; 3] {
        [self.places.len(), self.zones.others.len(), self.kinds.others.len()]
    }

    pub fn apply_list(&mut self, list: UpstreamList) -> Rc<[UpstreamEntry]> {
        log::debug!("list {} whole {} names {}", list.version, list.is_snapshot, list.targets.len());
        if list.is_snapshot {
            let named: BTreeSet<&str> = list.targets.iter().map(|t| &*t.upstream).collect();
            let missing = self.places.keys().filter(|upstream| !named.contains(&***upstream));
            let missing: Vec<UpstreamId> = missing.cloned().collect();
            missing.into_iter().for_each(|upstream| self.place(upstream, None));
        }
        let mut entries = Vec::with_capacity(list.targets.len());
        for target in list.targets {
            log::debug!(
                "{} is {:?} in {} of {} size {} since {}",
                target.upstream,
                target.stage,
                target.zone,
                target.kind,
                target.size,
                target.started
            );
            let upstream: UpstreamId = target.upstream.into();
            let (zone, kind) = (self.zones.of(&target.zone), self.kinds.of(&target.kind));
            let place = Place { address: target.address, zone, kind };
            self.place(upstream.clone(), Some(place).filter(|_| target.stage != Stage::Gone));
            entries.push(UpstreamEntry {
                upstream,
                cell: target.cell,
                started_at: started(target.started, self.unix_start),
                capacity: target.size,
                zone,
                kind,
                stage: target.stage,
            });
        }
        entries.extend(list.removed.into_iter().filter_map(|upstream| self.remove(upstream)));
        self.zones.forget_unused();
        self.kinds.forget_unused();
        entries.into()
    }

    /// Where an upstream is from now on; none where it is gone.
    fn place(&mut self, upstream: UpstreamId, place: Option<Place>) {
        if let Some(Place { zone, kind, .. }) = place {
            self.zones.add_use(zone);
            self.kinds.add_use(kind);
        }
        let before = match place {
            Some(place) => self.places.insert(upstream, place),
            None => self.places.remove(&upstream),
        };
        if let Some(Place { zone, kind, .. }) = before {
            self.zones.remove_use(zone);
            self.kinds.remove_use(kind);
        }
    }

    /// The entry of an upstream that is gone; none where it is not known.
    fn remove(&mut self, upstream: String) -> Option<UpstreamEntry> {
        log::debug!("{upstream} is removed");
        let upstream: UpstreamId = upstream.into();
        let Place { zone, kind, .. } = *self.places.get(&upstream)?;
        self.place(upstream.clone(), None);
        let (cell, started, size, stage) = (0, None, 0.0, Stage::Gone);
        Some(UpstreamEntry { upstream, cell, started_at: started, capacity: size, zone, kind, stage })
    }
}

fn started(unix_ms: u64, unix_start: i64) -> Option<TenthMillis> {
    let tenths = i64::try_from(unix_ms).ok()?.checked_mul(10)?.checked_add(unix_start)?;
    if unix_ms == 0 { None } else { TenthMillis::try_from(tenths).ok() }
}
