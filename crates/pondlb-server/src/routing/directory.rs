use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use pondlb::{Entry, Tenths, UpstreamId};
use pondlb_terms::Names;

use crate::protocol::discovery::Roster;

/// Where the upstreams are, and which numbers stand for the names that discovery uses.
pub struct Directory {
    names: Names,
    addresses: BTreeMap<UpstreamId, SocketAddr>,
    /// The balancer's time at the start of Unix time, which lies before the start of its own.
    unix_start: i64,
}

impl Directory {
    pub fn new(names: Names, unix_start: i64) -> Self {
        Directory { names, addresses: BTreeMap::new(), unix_start }
    }

    pub fn address(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        self.addresses.get(upstream).copied()
    }

    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    pub fn read(&mut self, roster: Roster) -> Rc<[Entry]> {
        log::debug!("list {} whole {} names {}", roster.version, roster.whole, roster.targets.len());
        if roster.whole {
            let named: BTreeSet<&str> = roster.targets.iter().map(|t| &*t.upstream).collect();
            self.addresses.retain(|upstream, _| named.contains(&**upstream));
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
            self.addresses.insert(upstream.clone(), target.address);
            entries.push(Entry {
                upstream,
                cell: target.cell,
                started: started(target.started, self.unix_start),
                size: target.size,
                zone: index(&mut self.names.zones, target.zone),
                kind: index(&mut self.names.kinds, target.kind),
                stage: target.stage,
            });
        }
        entries.into()
    }
}

/// A name that the settings don't know gets a number of its own, so that it is not taken for another.
fn index(names: &mut Vec<String>, name: String) -> u32 {
    let at = names.iter().position(|n| *n == name).unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    });
    at as u32
}

fn started(unix_ms: u64, unix_start: i64) -> Option<Tenths> {
    let tenths = i64::try_from(unix_ms).ok()?.checked_mul(10)?.checked_add(unix_start)?;
    if unix_ms == 0 { None } else { Tenths::try_from(tenths).ok() }
}
