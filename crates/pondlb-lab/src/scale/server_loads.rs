//! What each replica server carries while others are lost. No I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use super::message::{BalancerBytes, ByteCounts};
use super::servers::ReplicaServer;

const US_PER_SECOND: f64 = 1e6;

/// The loads of some servers between two readings of the balancers' counters.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerLoads {
    /// Time between the readings: the shortest, over the processes that were read.
    pub seconds: f64,
    /// A server's share of what all balancers may take.
    pub share_bytes_per_second: f64,
    /// In the order of their numbers.
    pub servers: Vec<ServerLoad>,
    /// Balancers that called none of these servers at the last reading.
    pub without_server: usize,
}

/// The load of one server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: usize,
    /// Balancers that called it at the last reading.
    pub followers: usize,
    /// What these moved, both ways.
    pub bytes_per_second: f64,
    /// That as a part of the share.
    pub of_share: f64,
}

impl ServerLoads {
    /// From the first and the last reading of every balancer. Its bytes count for the server that it calls at the last.
    pub fn new<'a>(
        servers: &[ReplicaServer],
        readings: impl Iterator<Item = &'a ByteCounts>,
        share_bytes_per_second: f64,
    ) -> ServerLoads {
        let rates = rates(readings);
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

/// What one balancer moved.
struct Rate {
    server: Option<SocketAddr>,
    seconds: f64,
    bytes_per_second: f64,
}

fn rates<'a>(readings: impl Iterator<Item = &'a ByteCounts>) -> Vec<Rate> {
    let mut of_balancers: BTreeMap<u32, Vec<(u64, BalancerBytes)>> = BTreeMap::new();
    for traffic in readings {
        for bytes in &traffic.balancers {
            of_balancers.entry(bytes.balancer).or_default().push((traffic.at_us, *bytes));
        }
    }
    let rate = |readings: Vec<(u64, BalancerBytes)>| {
        let (from_us, first) = *readings.first()?;
        let (to_us, last) = *readings.last()?;
        let seconds = to_us.saturating_sub(from_us) as f64 / US_PER_SECOND;
        let moved = (last.received + last.sent).saturating_sub(first.received + first.sent) as f64;
        let bytes_per_second = if seconds > 0.0 { moved / seconds } else { 0.0 };
        Some(Rate { server: last.server, seconds, bytes_per_second })
    };
    of_balancers.into_values().filter_map(rate).collect()
}

#[cfg(test)]
mod tests;
