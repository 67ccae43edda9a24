//! The records of a scale run: their keys and their changing values.

use std::net::SocketAddr;

use nanorand::{Rng, WyRand};
use pondlb_control::{Key, NewChange, RecordKind};
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use super::scenario::Scenario;
use crate::fleet::Fleet;

/// The names of the classes that the traffic uses. All other classes are named by their number.
pub const TRAFFIC_CLASSES: [&str; 2] = ["browse", "order"];
/// A limit of balancers that has a record.
struct Limit {
    /// The name of the record.
    name: &'static str,
    /// The value in the initial configuration of balancers.
    initial_value: u64,
    /// How much each update adds. Values only grow, so that updates do not disturb the traffic.
    increment: u64,
}

/// The limits that have a record.
const LIMITS: [Limit; 3] = [
    Limit { name: "Limits.MaxOpen", initial_value: 20_000, increment: 10 },
    Limit { name: "Limits.MaxRetryAfterNs", initial_value: 2000 * NS_PER_MS, increment: NS_PER_MS },
    Limit { name: "Limits.DialTimeoutNs", initial_value: 250 * NS_PER_MS, increment: NS_PER_MS / 10 },
];
/// The number of limits that have a record.
pub const LIMIT_COUNT: u32 = LIMITS.len() as u32;
/// The port of upstreams that are listed but not served.
const UNSERVED_PORT: u16 = 9;
const NS_PER_MS: u64 = 1_000_000;
// Values of records that are made without a scenario; similar to those of the scenarios.
const UNSERVED_ZONES: u32 = 10;
const UNSERVED_SLA_MS: u64 = 500;
const UNSERVED_EXPIRY_MS: u64 = 1000;
const UNSERVED_CORES: u32 = 4;

/// The value of an upstream's record, in the format of a discovery entry.
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

/// The value of a class's record, in the format of an entry of `Schemes` in the settings.
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

/// The value of a tenant's record, in the format of an entry of `Realms` in the settings.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
    quota_rps: f64,
}

/// Makes the keys and values of all records of a run. The first upstreams are served by the emulated fleet. All others are
/// listed as `leaving`, so that real balancers hold them but send them no requests.
pub struct Records {
    /// The number of upstreams, including the served ones.
    upstreams: u32,
    /// The number of classes.
    classes: u32,
    /// The number of tenants.
    tenants: u32,
    zones_per_region: u32,
    /// The number of zones of all regions.
    zones: u32,
    /// The SLA time of all classes, in nanoseconds.
    sla_ns: u64,
    /// The expiry time of all classes, in nanoseconds.
    expiry_ns: u64,
    /// The addresses of the served upstreams.
    served: Vec<SocketAddr>,
    /// The number of cores of an upstream.
    cores: u32,
}

/// The numbers of records of the kinds that vary in size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordCounts {
    /// The number of upstreams; at least one, for [`Records::draw_record`].
    pub upstreams: u32,
    /// The number of classes.
    pub classes: u32,
    /// The number of tenants; at least one, for [`Records::draw_record`].
    pub tenants: u32,
}

impl RecordCounts {
    /// The sum of all kinds.
    pub fn total(&self) -> usize {
        [self.upstreams, self.classes, self.tenants].map(|count| count as usize).iter().sum()
    }
}

/// Identifies a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// The upstream of this number.
    Upstream(u32),
    /// The class of this number.
    Class(u32),
    /// The tenant of this number.
    Tenant(u32),
    /// The limit of this number.
    Limit(u32),
}

impl Records {
    /// The records of this scenario. The upstreams of the emulated fleet are the served ones.
    pub fn new(scenario: &Scenario, fleet: &Fleet) -> Records {
        Records {
            upstreams: scenario.upstreams,
            classes: scenario.classes,
            tenants: scenario.tenants,
            zones_per_region: scenario.zones_per_region,
            zones: scenario.zone_count(),
            sla_ns: scenario.traffic.sla_ms * NS_PER_MS,
            expiry_ns: scenario.traffic.expiry_ms * NS_PER_MS,
            served: fleet.upstreams.iter().map(|upstream| upstream.address_for(0)).collect(),
            cores: scenario.traffic.cores,
        }
    }

    /// Records for a run without an emulated fleet: no upstream is served, and all zones are in one region.
    pub fn without_served_upstreams(counts: RecordCounts) -> Records {
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

    /// The number of served upstreams. They have the lowest numbers.
    pub fn served(&self) -> u32 {
        u32::try_from(self.served.len()).unwrap_or(u32::MAX)
    }

    /// Changes that set every record to its initial value.
    pub fn initial_changes(&self) -> Vec<NewChange> {
        let upstreams = (0..self.upstreams).map(Record::Upstream);
        let classes = (0..self.classes).map(Record::Class);
        let tenants = (0..self.tenants).map(Record::Tenant);
        let limits = (0..LIMIT_COUNT).map(Record::Limit);
        upstreams
            .chain(classes)
            .chain(tenants)
            .chain(limits)
            .filter_map(|record| self.update_change(record, 0))
            .collect()
    }

    /// A change that sets a record to the value that it has after this number of updates. Each number gives another value
    /// than the number before.
    pub fn update_change(&self, record: Record, update_count: u32) -> Option<NewChange> {
        let value = match record {
            Record::Upstream(upstream) => to_raw_value(&self.upstream(upstream, update_count)),
            Record::Class(class) => to_raw_value(&self.class(class, update_count)),
            Record::Tenant(_) => to_raw_value(&Tenant { quota_rps: 10.0 + f64::from(update_count) }),
            Record::Limit(limit) => {
                let limit = LIMITS.get(limit as usize)?;
                to_raw_value(&(limit.initial_value + limit.increment * u64::from(update_count)))
            }
        };
        Some(NewChange { key: self.key(record)?, value: Some(value.ok()?) })
    }

    /// A change that removes a record.
    pub fn removal_change(&self, record: Record) -> Option<NewChange> {
        Some(NewChange { key: self.key(record)?, value: None })
    }

    /// A change that lists a served upstream as leaving: balancers must send it no new request from then on.
    pub fn drain_change(&self, served: u32) -> Option<NewChange> {
        let leaving = Upstream { state: "leaving", ..self.upstream(served, 0) };
        let value: Box<RawValue> = to_raw_value(&leaving).ok()?;
        Some(NewChange { key: self.key(Record::Upstream(served))?, value: Some(value) })
    }

    /// The upstreams of a zone that are not served.
    pub fn unserved_in_zone(&self, zone: u32) -> Vec<Record> {
        let numbers = (self.served()..self.upstreams).filter(|number| number % self.zones == zone);
        numbers.map(Record::Upstream).collect()
    }

    /// Draws a random record to update. An update of it does not affect the traffic. Of 100 records, about 70 are upstreams,
    /// 20 tenants, 5 classes and 5 limits.
    pub fn draw_record(&self, rng: &mut WyRand) -> Record {
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
            Record::Limit(number) => (RecordKind::Limit, LIMITS.get(number as usize)?.name.to_string()),
        };
        Key::new(kind, &name).ok()
    }

    fn upstream(&self, number: u32, update_count: u32) -> Upstream {
        let served = self.served.get(number as usize);
        let zone = number % self.zones;
        Upstream {
            uid: upstream_name(number),
            endpoint: served.copied().unwrap_or_else(|| unserved_address(number)),
            az: zone_name(zone, self.zones_per_region),
            model: "m",
            pod_group: 0,
            state: if served.is_some() { "active" } else { "leaving" },
            capacity_hint: f64::from(self.cores) + f64::from(update_count % 64) / 8.0,
            boot_ms: 0,
        }
    }

    fn class(&self, number: u32, update_count: u32) -> Class {
        let is_non_idempotent = number == 1;
        Class {
            name: class_name(number),
            effect: if is_non_idempotent { "at_most_once" } else { "idempotent" },
            value: 1.0 + f64::from(update_count % 16) / 16.0,
            sla_time_ns: self.sla_ns,
            expiry_ns: self.expiry_ns,
            dedup_scope: "cell",
            key_ttl_ns: self.expiry_ns,
        }
    }
}

/// The name of a zone, given by its number over all regions.
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

/// A distinct loopback address for each upstream that is not served; no process listens on it.
fn unserved_address(number: u32) -> SocketAddr {
    let [_, high, middle, low] = number.to_be_bytes();
    SocketAddr::from(([127, 64 + (high & 63), middle, low], UNSERVED_PORT))
}
