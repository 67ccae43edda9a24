//! The records of a scale run: their keys, and their values as they change.

use std::net::SocketAddr;

use nanorand::{Rng, WyRand};
use pondlb_control::{Key, NewChange, RecordKind};
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use super::scenario::Scenario;
use crate::fleet::Fleet;

/// The classes of the traffic; others are named by their number.
pub const TRAFFIC_CLASSES: [&str; 2] = ["browse", "order"];
/// The limits that change, with their first values in the balancers' configuration and the part of it that each further
/// value adds. Only larger values follow: they do no harm to the traffic.
const LIMITS: [(&str, u64, u64); 3] = [
    ("Limits.MaxOpen", 20_000, 10),
    ("Limits.MaxRetryAfterNs", 2000 * NS_PER_MS, NS_PER_MS),
    ("Limits.DialTimeoutNs", 250 * NS_PER_MS, NS_PER_MS / 10),
];
/// How many limits have a record.
pub const LIMIT_COUNT: u32 = LIMITS.len() as u32;
/// The port of listed upstreams that nobody serves.
const UNSERVED_PORT: u16 = 9;
const NS_PER_MS: u64 = 1_000_000;
/// Of records without a scenario; the same order as in those.
const UNSERVED_ZONES: u32 = 10;
const UNSERVED_SLA_MS: u64 = 500;
const UNSERVED_EXPIRY_MS: u64 = 1000;
const UNSERVED_CORES: u32 = 4;

/// An upstream as discovery lists it.
#[derive(Clone, Debug, Serialize)]
struct Upstream {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    model: &'static str,
    pod_group: u32,
    state: &'static str,
    capacity_hint: f64,
    boot_ms: u64,
}

/// A class of requests, as an entry of `Schemes` in the settings.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Class {
    name: String,
    effect: &'static str,
    value: f64,
    sla_time_ns: u64,
    expiry_ns: u64,
    dedup_scope: &'static str,
    key_ttl_ns: u64,
}

/// A tenant, as an entry of `Realms` in the settings.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
    quota_rps: f64,
}

/// Names the records of a run and gives them values. The first upstreams are served by the emulated fleet; the others
/// are listed as `leaving`, so that real balancers hold them and send them nothing.
pub struct Records {
    upstreams: u32,
    classes: u32,
    tenants: u32,
    zones_per_region: u32,
    zones: u32,
    sla_ns: u64,
    expiry_ns: u64,
    served: Vec<SocketAddr>,
    cores: u32,
}

/// How many records there are of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordCounts {
    /// Upstreams; one at least, for [`Records::draw`].
    pub upstreams: u32,
    /// Classes.
    pub classes: u32,
    /// Tenants; one at least, for [`Records::draw`].
    pub tenants: u32,
}

impl RecordCounts {
    /// All together.
    pub fn sum(&self) -> usize {
        [self.upstreams, self.classes, self.tenants].map(|count| count as usize).iter().sum()
    }
}

/// Which record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// The upstream of that number.
    Upstream(u32),
    /// The class of that number.
    Class(u32),
    /// The tenant of that number.
    Tenant(u32),
    /// The limit of that number.
    Limit(u32),
}

impl Records {
    /// The records of this scenario, before this fleet.
    pub fn new(scenario: &Scenario, fleet: &Fleet) -> Records {
        Records {
            upstreams: scenario.upstreams,
            classes: scenario.classes,
            tenants: scenario.tenants,
            zones_per_region: scenario.zones_per_region,
            zones: scenario.zones(),
            sla_ns: scenario.traffic.sla_ms * NS_PER_MS,
            expiry_ns: scenario.traffic.expiry_ms * NS_PER_MS,
            served: fleet.upstreams.iter().map(|upstream| upstream.address_for(0)).collect(),
            cores: scenario.traffic.cores,
        }
    }

    /// So many records of upstreams that nobody serves, in zones of one region.
    pub fn unserved(counts: RecordCounts) -> Records {
        Records {
            upstreams: counts.upstreams,
            classes: counts.classes,
            tenants: counts.tenants,
            zones_per_region: UNSERVED_ZONES,
            zones: UNSERVED_ZONES,
            sla_ns: UNSERVED_SLA_MS * NS_PER_MS,
            expiry_ns: UNSERVED_EXPIRY_MS * NS_PER_MS,
            served: Vec::new(),
            cores: UNSERVED_CORES,
        }
    }

    /// How many upstreams are served: those of the lowest numbers.
    pub fn served(&self) -> u32 {
        u32::try_from(self.served.len()).unwrap_or(u32::MAX)
    }

    /// Sets every record to its first value.
    pub fn initial(&self) -> Vec<NewChange> {
        let upstreams = (0..self.upstreams).map(Record::Upstream);
        let classes = (0..self.classes).map(Record::Class);
        let tenants = (0..self.tenants).map(Record::Tenant);
        let limits = (0..LIMIT_COUNT).map(Record::Limit);
        upstreams
            .chain(classes)
            .chain(tenants)
            .chain(limits)
            .filter_map(|record| self.set(record, 0))
            .collect()
    }

    /// Sets a record to its value of that number; other numbers give other values.
    pub fn set(&self, record: Record, number: u32) -> Option<NewChange> {
        let value = match record {
            Record::Upstream(upstream) => to_raw_value(&self.upstream(upstream, number)),
            Record::Class(class) => to_raw_value(&self.class(class, number)),
            Record::Tenant(_) => to_raw_value(&Tenant { quota_rps: 10.0 + f64::from(number) }),
            Record::Limit(limit) => {
                let (_, first, step) = *LIMITS.get(limit as usize)?;
                to_raw_value(&(first + step * u64::from(number)))
            }
        };
        Some(NewChange { key: self.key(record)?, value: Some(value.ok()?) })
    }

    /// Removes a record.
    pub fn remove(&self, record: Record) -> Option<NewChange> {
        Some(NewChange { key: self.key(record)?, value: None })
    }

    /// Lists a served upstream as leaving, from when on nothing new may be sent to it.
    pub fn drain(&self, served: u32) -> Option<NewChange> {
        let leaving = Upstream { state: "leaving", ..self.upstream(served, 0) };
        let value: Box<RawValue> = to_raw_value(&leaving).ok()?;
        Some(NewChange { key: self.key(Record::Upstream(served))?, value: Some(value) })
    }

    /// The upstreams of a zone that nobody serves.
    pub fn unserved_in_zone(&self, zone: u32) -> Vec<Record> {
        let numbers = (self.served()..self.upstreams).filter(|number| number % self.zones == zone);
        numbers.map(Record::Upstream).collect()
    }

    /// A record that the traffic does not need, for a change: mostly upstreams, some tenants, few classes and
    /// limits.
    pub fn draw(&self, rng: &mut WyRand) -> Record {
        let traffic_classes = TRAFFIC_CLASSES.len() as u32;
        match rng.generate_range(0..100_u32) {
            0..70 => Record::Upstream(rng.generate_range(self.served()..self.upstreams)),
            70..75 if self.classes > traffic_classes => {
                Record::Class(rng.generate_range(traffic_classes..self.classes))
            }
            75..80 => Record::Limit(rng.generate_range(0..LIMIT_COUNT)),
            _ => Record::Tenant(rng.generate_range(0..self.tenants)),
        }
    }

    fn key(&self, record: Record) -> Option<Key> {
        let (kind, name) = match record {
            Record::Upstream(number) => (RecordKind::Upstream, upstream_name(number)),
            Record::Class(number) => (RecordKind::Class, class_name(number)),
            Record::Tenant(number) => (RecordKind::Tenant, format!("tenant-{number}")),
            Record::Limit(number) => (RecordKind::Limit, LIMITS.get(number as usize)?.0.to_string()),
        };
        Key::new(kind, &name).ok()
    }

    fn upstream(&self, number: u32, value: u32) -> Upstream {
        let served = self.served.get(number as usize);
        let zone = number % self.zones;
        Upstream {
            uid: upstream_name(number),
            endpoint: served.copied().unwrap_or_else(|| unserved_address(number)),
            az: zone_name(zone, self.zones_per_region),
            model: "m",
            pod_group: 0,
            state: if served.is_some() { "active" } else { "leaving" },
            capacity_hint: f64::from(self.cores) + f64::from(value % 64) / 8.0,
            boot_ms: 0,
        }
    }

    fn class(&self, number: u32, value: u32) -> Class {
        let is_order = number == 1;
        Class {
            name: class_name(number),
            effect: if is_order { "at_most_once" } else { "idempotent" },
            value: 1.0 + f64::from(value % 16) / 16.0,
            sla_time_ns: self.sla_ns,
            expiry_ns: self.expiry_ns,
            dedup_scope: "cell",
            key_ttl_ns: self.expiry_ns,
        }
    }
}

/// The name of a zone, counted over all regions.
pub fn zone_name(zone: u32, zones_per_region: u32) -> String {
    let zones_per_region = zones_per_region.max(1);
    format!("region-{}-zone-{}", zone / zones_per_region, zone % zones_per_region)
}

fn upstream_name(number: u32) -> String {
    format!("upstream-{number}")
}

fn class_name(number: u32) -> String {
    TRAFFIC_CLASSES.get(number as usize).map_or_else(|| format!("class-{number}"), ToString::to_string)
}

/// An address of its own on loopback, where nobody listens.
fn unserved_address(number: u32) -> SocketAddr {
    let [_, high, middle, low] = number.to_be_bytes();
    SocketAddr::from(([127, 64 + (high & 63), middle, low], UNSERVED_PORT))
}
