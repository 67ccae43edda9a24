//! What a balancer is told at its start, in the platform's form.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::listing::Listing;
use super::stand_in::Discovery;

const NS: u64 = 1_000_000;
/// Of the size of two years.
const BALANCERS: u32 = 1500;
/// What a balancer may use for control at that size; it is told so.
const MEMORY_MB: u64 = 256;
/// For how long a control server may hold a call without news.
const HOLD_MS: u64 = 1000;

/// Where a balancer has its first list from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    /// Its configuration holds the list.
    Known,
    /// Discovery tells it.
    Asked,
}

/// The size of what one balancer is given.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries in the list.
    pub upstreams: usize,
    /// Classes of requests.
    pub classes: usize,
    /// Tenants.
    pub tenants: usize,
}

impl Size {
    /// So many upstreams, one class, no tenants.
    pub fn of_upstreams(upstreams: usize) -> Size {
        Size { upstreams, classes: 1, tenants: 0 }
    }
}

/// The text of its configuration file.
pub fn configuration(
    number: u32,
    listen: SocketAddr,
    discovery: &Discovery,
    size: Size,
    first: First,
) -> String {
    let mut text = common(number, listen, discovery.address, size).to_string();
    if first == First::Known {
        // As it is, since a list of this length would else be read only to be written again.
        text.truncate(text.len() - 1);
        text += &format!(r#","known":{}}}"#, discovery.known());
    }
    text
}

/// The text of the configuration file of a balancer that follows a control server.
pub fn following(number: u32, listen: SocketAddr, control: SocketAddr, size: Size) -> String {
    let mut configuration = common(number, listen, control, size);
    configuration["control"] = json!({ "servers": [control.to_string()], "hold_ms": HOLD_MS });
    configuration["known"] = json!({ "rev": 0, "all": true, "targets": [] });
    configuration.to_string()
}

/// A class as an entry of `Schemes`.
pub fn class(number: usize) -> Value {
    json!({ "Name": class_name(number), "Effect": "idempotent", "Value": 1.0, "SlaTimeNs": 500 * NS,
        "ExpiryNs": 1000 * NS })
}

fn common(number: u32, listen: SocketAddr, discovery: SocketAddr, size: Size) -> Value {
    let limits = json!({ "Cancelling": true, "ConnIdleNs": 15_000 * NS, "DialTimeoutNs": 250 * NS,
        "MaxOpen": 20_000, "MaxPostings": 3, "MaxRetryAfterNs": 2000 * NS, "RetryAfter": true,
        "SecondCopies": true, "Probing": false });
    let rules = json!({ "ColdShare": 0.3, "DrainGraceNs": 500 * NS, "FallMultiple": 4.0, "FallNs": 2000 * NS,
        "MustAskInNs": 10_000 * NS, "WarmWithinNs": 5000 * NS });
    let tenant = |number: usize| json!({ "Name": format!("t{number:05}"), "QuotaRps": 2.5 });
    let classes: Vec<Value> = (0..size.classes).map(class).collect();
    let tenants: Vec<Value> = (0..size.tenants).map(tenant).collect();
    let settings = json!({ "Balancers": BALANCERS, "SelfIndex": number % BALANCERS, "MyZone": 0,
        "Zones": Listing::zones(), "MachineTypes": ["m"], "Discovery": "push", "ExcessValue": 1.0,
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
