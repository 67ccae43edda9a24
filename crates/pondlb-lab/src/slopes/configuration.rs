//! The configuration files of the measured balancers.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::stubs::DiscoveryStub;
use super::upstream_list::UpstreamList;

/// Nanoseconds in a millisecond.
const NS_PER_MS: u64 = 1_000_000;
/// Number of balancers in the fleet size that is planned for in two years.
const BALANCER_COUNT: u32 = 1500;
/// The limit on a balancer's memory for control state at that fleet size, in megabytes.
const MEMORY_MB: u64 = 256;
/// The longest time for which a control server may hold a call without changes, in milliseconds.
const HOLD_MS: u64 = 1000;

/// Where a balancer gets its first list of upstreams from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// The configuration file contains the list.
    InConfiguration,
    /// The balancer requests the list from discovery.
    FromDiscovery,
}

/// The number of entries of each kind in the configuration of one balancer.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationSize {
    /// Number of upstreams in the list.
    pub upstreams: usize,
    /// Number of request classes.
    pub classes: usize,
    /// Number of tenants.
    pub tenants: usize,
}

impl ConfigurationSize {
    /// This many upstreams, one class and no tenants.
    pub fn of_upstreams(upstreams: usize) -> ConfigurationSize {
        ConfigurationSize { upstreams, classes: 1, tenants: 0 }
    }
}

/// The configuration file of a balancer that watches discovery.
pub fn balancer_configuration(
    number: u32,
    listen: SocketAddr,
    discovery: &DiscoveryStub,
    size: ConfigurationSize,
    initial_list: InitialList,
) -> String {
    let mut text = common_configuration(number, listen, discovery.address, size).to_string();
    if initial_list == InitialList::InConfiguration {
        // The list is appended as text: parsing a list of this length only to serialize it again is not worth it.
        text.truncate(text.len() - 1);
        text += &format!(r#","known":{}}}"#, discovery.full_list());
    }
    text
}

/// The configuration file of a balancer that follows a control server.
pub fn follower_configuration(
    number: u32,
    listen: SocketAddr,
    control: SocketAddr,
    size: ConfigurationSize,
) -> String {
    let mut configuration = common_configuration(number, listen, control, size);
    configuration["control"] = json!({ "servers": [control.to_string()], "hold_ms": HOLD_MS });
    configuration["known"] = json!({ "rev": 0, "all": true, "targets": [] });
    configuration.to_string()
}

/// The settings of a class, as an entry of `Schemes`.
pub fn class_settings(number: usize) -> Value {
    json!({ "Name": class_name(number), "Effect": "idempotent", "Value": 1.0, "SlaTimeNs": 500 * NS_PER_MS,
        "ExpiryNs": 1000 * NS_PER_MS })
}

/// The part of the configuration that does not depend on where the list comes from.
fn common_configuration(
    number: u32,
    listen: SocketAddr,
    discovery: SocketAddr,
    size: ConfigurationSize,
) -> Value {
    let limits = json!({ "Cancelling": true, "ConnIdleNs": 15_000 * NS_PER_MS, "DialTimeoutNs": 250 * NS_PER_MS,
        "MaxOpen": 20_000, "MaxPostings": 3, "MaxRetryAfterNs": 2000 * NS_PER_MS, "RetryAfter": true,
        "SecondCopies": true, "Probing": false });
    let rules = json!({ "ColdShare": 0.3, "DrainGraceNs": 500 * NS_PER_MS, "FallMultiple": 4.0,
        "FallNs": 2000 * NS_PER_MS, "MustAskInNs": 10_000 * NS_PER_MS, "WarmWithinNs": 5000 * NS_PER_MS });
    let tenant = |number: usize| json!({ "Name": format!("t{number:05}"), "QuotaRps": 2.5 });
    let classes: Vec<Value> = (0..size.classes).map(class_settings).collect();
    let tenants: Vec<Value> = (0..size.tenants).map(tenant).collect();
    let settings = json!({ "Balancers": BALANCER_COUNT, "SelfIndex": number % BALANCER_COUNT, "MyZone": 0,
        "Zones": UpstreamList::zone_names(), "MachineTypes": ["m"], "Discovery": "push", "ExcessValue": 1.0,
        "Reporting": { "Fields": ["rif", "q"] }, "Limits": limits, "Rules": rules, "Schemes": classes,
        "Realms": tenants });
    json!({ "name": format!("slopes-{number}"), "listen": listen.to_string(),
        "discovery": discovery.to_string(), "seed": format!("{:x}", number + 1),
        "limits": { "memory_mb": MEMORY_MB }, "settings": settings })
}

/// The name of a class.
pub fn class_name(number: usize) -> String {
    format!("c{number:04}")
}
