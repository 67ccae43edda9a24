use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use pondlb::{Entry, Stage, Tenths, UpstreamId};
use pondlb_terms::Names;

use crate::protocol::discovery::Roster;

/// Where the upstreams are, and which numbers stand for the names that discovery uses.
pub struct Directory {
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
    others: BTreeMap<String, u32>,
    next: u32,
}

impl Numbers {
    fn new(known: Vec<String>) -> Self {
        let next = u32::try_from(known.len()).unwrap_or(u32::MAX);
        Numbers { known, others: BTreeMap::new(), next }
    }

    fn of(&mut self, name: String) -> u32 {
        if let Some(at) = (0..).zip(&self.known).find_map(|(at, known)| (*known == name).then_some(at)) {
            return at;
        }
        *self.others.entry(name).or_insert_with(|| {
            let number = self.next;
            self.next = self.next.saturating_add(1);
            number
        })
    }

    fn keep(&mut self, used: impl Iterator<Item = u32>) {
        if !self.others.is_empty() {
            let used: BTreeSet<u32> = used.collect();
            self.others.retain(|_, number| used.contains(number));
        }
    }
}

impl Directory {
    pub fn new(names: Names, unix_start: i64) -> Self {
        let (zones, kinds) = (Numbers::new(names.zones), Numbers::new(names.kinds));
        Directory { zones, kinds, places: BTreeMap::new(), unix_start }
    }

    pub fn address(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        self.places.get(upstream).map(|place| place.address)
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// How many upstreams are known, and names of zones and kinds that the settings don't know.
    pub fn sizes(&self) -> [usize; 3] {
        [self.places.len(), self.zones.others.len(), self.kinds.others.len()]
    }

    pub fn read(&mut self, roster: Roster) -> Rc<[Entry]> {
        log::debug!("list {} whole {} names {}", roster.version, roster.whole, roster.targets.len());
        if roster.whole {
            let named: BTreeSet<&str> = roster.targets.iter().map(|t| &*t.upstream).collect();
            self.places.retain(|upstream, _| named.contains(&**upstream));
        }
        let mut entries = Vec::with_capacity(roster.targets.len());
        for target in roster.targets {
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
            let (zone, kind) = (self.zones.of(target.zone), self.kinds.of(target.kind));
            if target.stage == Stage::Gone {
                self.places.remove(&upstream);
            } else {
                self.places.insert(upstream.clone(), Place { address: target.address, zone, kind });
            }
            entries.push(Entry {
                upstream,
                cell: target.cell,
                started: started(target.started, self.unix_start),
                size: target.size,
                zone,
                kind,
                stage: target.stage,
            });
        }
        entries.extend(roster.removed.into_iter().filter_map(|upstream| self.remove(upstream)));
        self.zones.keep(self.places.values().map(|place| place.zone));
        self.kinds.keep(self.places.values().map(|place| place.kind));
        entries.into()
    }

    /// The entry of an upstream that is gone; none where it is not known.
    fn remove(&mut self, upstream: String) -> Option<Entry> {
        log::debug!("{upstream} is removed");
        let upstream: UpstreamId = upstream.into();
        let Place { zone, kind, .. } = self.places.remove(&upstream)?;
        let (cell, started, size, stage) = (0, None, 0.0, Stage::Gone);
        Some(Entry { upstream, cell, started, size, zone, kind, stage })
    }
}

fn started(unix_ms: u64, unix_start: i64) -> Option<Tenths> {
    let tenths = i64::try_from(unix_ms).ok()?.checked_mul(10)?.checked_add(unix_start)?;
    if unix_ms == 0 { None } else { Tenths::try_from(tenths).ok() }
}
