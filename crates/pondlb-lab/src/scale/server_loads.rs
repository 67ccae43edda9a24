//! The load of each replica server that is left while others are killed. No I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use super::message::{BalancerBytes, ByteCounts};
use super::servers::ReplicaServer;

const US_PER_SECOND: f64 = 1e6;

/// A reading of the byte counters of several balancers during an event in which replica servers are killed.
#[derive(Clone, Debug)]
pub struct ServerLoadReading {
    /// The number of the phase of the event.
    pub phase: usize,
    /// The counters.
    pub counts: ByteCounts,
}

/// The loads of some replica servers between two readings of the balancers' byte counters.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerLoads {
    /// The time between the two readings, in seconds; the shortest over all balancers.
    pub seconds: f64,
    /// The load of one server if all balancers used their whole budget and all servers shared it evenly.
    pub share_bytes_per_second: f64,
    /// The loads in the order of the servers' numbers.
    pub servers: Vec<ServerLoad>,
    /// The number of balancers that called none of these servers at the last reading.
    pub without_server: usize,
}

/// The load of one server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerLoad {
    /// The name of the server.
    pub name: String,
    /// The number of its region.
    pub region: usize,
    /// The number of balancers that called it at the last reading.
    pub followers: usize,
    /// The bytes that these balancers exchanged, in both directions.
    pub bytes_per_second: f64,
    /// `bytes_per_second` as a fraction of the share.
    pub of_share: f64,
}

impl ServerLoads {
    /// Computes the loads from the first and the last reading of every balancer. All bytes of a balancer count for the server
    /// that it called at the last reading.
    pub fn new<'a>(
        servers: &[ReplicaServer],
        readings: impl Iterator<Item = &'a ByteCounts>,
        share_bytes_per_second: f64,
    ) -> ServerLoads {
        let rates = balancer_rates(readings);
        let mut by_server: BTreeMap<SocketAddr, (usize, f64)> = BTreeMap::new();
        for rate in rates.iter() {
            if let Some(server) = rate.server {
                let (followers, bytes_per_second) = by_server.entry(server).or_default();
                *followers += 1;
                *bytes_per_second += rate.bytes_per_second;
            }
        }
        let load = |server: &ReplicaServer| {
            let (followers, bytes_per_second) = by_server.get(&server.address).copied().unwrap_or_default();
            let of_share = bytes_per_second / share_bytes_per_second;
            let ReplicaServer { name, region, .. } = server;
            ServerLoad { name: name.clone(), region: *region, followers, bytes_per_second, of_share }
        };
        let servers: Vec<ServerLoad> = servers.iter().map(load).collect();
        let followers: usize = servers.iter().map(|server| server.followers).sum();
        ServerLoads {
            seconds: rates.iter().map(|rate| rate.seconds).reduce(f64::min).unwrap_or_default(),
            share_bytes_per_second,
            servers,
            without_server: rates.len() - followers,
        }
    }
}

/// The control traffic of one balancer between its first and last reading.
struct BalancerRate {
    server: Option<SocketAddr>,
    seconds: f64,
    bytes_per_second: f64,
}

fn balancer_rates<'a>(readings: impl Iterator<Item = &'a ByteCounts>) -> Vec<BalancerRate> {
    let mut readings_by_balancer: BTreeMap<u32, Vec<(u64, BalancerBytes)>> = BTreeMap::new();
    for counts in readings {
        for bytes in &counts.balancers {
            readings_by_balancer.entry(bytes.balancer).or_default().push((counts.at_us, *bytes));
        }
    }
    let rate = |readings: Vec<(u64, BalancerBytes)>| {
        let (from_us, first) = *readings.first()?;
        let (to_us, last) = *readings.last()?;
        let seconds = to_us.saturating_sub(from_us) as f64 / US_PER_SECOND;
        let moved = (last.received + last.sent).saturating_sub(first.received + first.sent) as f64;
        let bytes_per_second = if seconds > 0.0 { moved / seconds } else { 0.0 };
        Some(BalancerRate { server: last.server, seconds, bytes_per_second })
    };
    readings_by_balancer.into_values().filter_map(rate).collect()
}

#[cfg(test)]
mod tests;
