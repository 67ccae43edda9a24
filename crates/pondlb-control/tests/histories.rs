//! Random histories of commits, new epochs, server changes and faulty responses in a chain of origin, replica servers
//! and balancers.

mod common;

use std::collections::BTreeSet;

use common::{Follower, FollowerCounts, allow_all, key, remove, respond, set, value};
use nanorand::{Rng, WyRand};
use pondlb_control::{Change, Key, Limits, NewChange, ReplicaResponse, Store, Version};

const HISTORY_COUNT: u64 = 60;
const STEPS_PER_HISTORY: usize = 1500;
const REPLICA_SERVER_COUNT: usize = 2;
const BALANCER_COUNT: usize = 4;
const KEY_COUNT: u64 = 120;

/// An origin, replica servers and balancers, with random faults between them.
struct Cluster {
    random: WyRand,
    origin: Store,
    replica_servers: Vec<Link>,
    balancers: Vec<Link>,
}

/// A follower with its current server and a delayed response.
struct Link {
    follower: Follower,
    /// The number of a replica server; any other number stands for the origin.
    server: usize,
    delayed: Option<ReplicaResponse>,
}

impl Link {
    fn new(server: usize) -> Link {
        Link { follower: Follower::new(), server, delayed: None }
    }
}

/// What happens to a response on its way.
enum Delivery {
    Delivered,
    Dropped,
    Duplicated,
    Delayed,
    Corrupted,
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let mut random = WyRand::new_seed(seed);
        let limits = random_limits(&mut random);
        Cluster {
            random,
            origin: Store::new(1, limits),
            replica_servers: (0..REPLICA_SERVER_COUNT).map(|_| Link::new(REPLICA_SERVER_COUNT)).collect(),
            balancers: (0..BALANCER_COUNT)
                .map(|number| Link::new(number % (REPLICA_SERVER_COUNT + 1)))
                .collect(),
        }
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.generate_range(0..1000) < per_thousand
    }

    fn commit(&mut self) {
        let mut changes = Vec::new();
        for _ in 0..self.random.generate_range(1..12) {
            changes.push(self.random_change());
        }
        self.origin.commit(&changes, &allow_all).unwrap();
    }

    fn random_change(&mut self) -> NewChange {
        let number = self.random.generate_range(0..KEY_COUNT);
        if self.chance(300) {
            return remove(number);
        }
        let text = format!("{{ \"v\": {} }}", self.random.generate_range(0..1000));
        set(number, &text)
    }

    fn begin_epoch(&mut self) {
        let epoch = self.origin.version().epoch + 1;
        self.origin = Store::new(epoch, random_limits(&mut self.random));
        self.commit();
    }

    /// Sends one request of a follower; faults may affect the response.
    fn poll(&mut self, is_replica_server: bool, number: usize) {
        let delivery = self.random_delivery();
        let links = if is_replica_server { &self.replica_servers } else { &self.balancers };
        let link = &links[number];
        let server = self.replica_servers.get(link.server).map_or(&self.origin, |link| &link.follower.store);
        let page_bytes = [1, 400, 1500, usize::MAX][self.random.generate_range(0..4)];
        let mut response = respond(server, &link.follower.next_request(), page_bytes);
        if let Delivery::Corrupted = delivery {
            corrupt(&mut response, &mut self.random);
        }
        let links = if is_replica_server { &mut self.replica_servers } else { &mut self.balancers };
        let link = &mut links[number];
        let results = match delivery {
            Delivery::Delivered | Delivery::Corrupted => vec![link.follower.receive(response)],
            Delivery::Dropped => vec![],
            Delivery::Duplicated => {
                vec![link.follower.receive(response.clone()), link.follower.receive(response)]
            }
            Delivery::Delayed => {
                link.delayed.replace(response).map(|older| link.follower.receive(older)).into_iter().collect()
            }
        };
        let is_rejected = results.iter().any(Result::is_err);
        if is_rejected && self.chance(700) || self.chance(20) {
            self.switch_server(is_replica_server, number);
        }
    }

    fn random_delivery(&mut self) -> Delivery {
        match self.random.generate_range(0..100) {
            0..4 => Delivery::Dropped,
            4..8 => Delivery::Duplicated,
            8..12 => Delivery::Delayed,
            12..20 => Delivery::Corrupted,
            _ => Delivery::Delivered,
        }
    }

    fn switch_server(&mut self, is_replica_server: bool, number: usize) {
        if is_replica_server {
            return self.replica_servers[number].follower.replica.reset_for_new_server();
        }
        let link = &mut self.balancers[number];
        link.server = self.random.generate_range(0..=REPLICA_SERVER_COUNT);
        link.follower.replica.reset_for_new_server();
    }

    fn step(&mut self) {
        match self.random.generate_range(0..1000) {
            0..2 => self.begin_epoch(),
            2..80 => self.commit(),
            80..300 => {
                let number = self.random.generate_range(0..REPLICA_SERVER_COUNT);
                self.poll(true, number);
            }
            _ => {
                let number = self.random.generate_range(0..BALANCER_COUNT);
                self.poll(false, number);
            }
        }
    }

    /// Without faults and commits all have the origin's state in the end.
    fn settle(&mut self) {
        for link in &mut self.replica_servers {
            link.follower.catch_up(&self.origin, 1500);
            link.follower.assert_same_as(&self.origin);
        }
        for link in &mut self.balancers {
            let server =
                self.replica_servers.get(link.server).map_or(&self.origin, |server| &server.follower.store);
            link.follower.catch_up(server, 1500);
            link.follower.assert_same_as(&self.origin);
        }
    }
}

/// Few tombstones make many resets, many make none.
fn random_limits(random: &mut WyRand) -> Limits {
    let tombstones = [0, 20, 1000][random.generate_range(0..3)];
    Limits { max_tombstones: tombstones, ..Limits::default() }
}

/// Corrupts a response in a way that its records, digests and checks must reveal. The version is never made newer than
/// the server's, as such a response could not be distinguished from one with new changes.
fn corrupt(response: &mut ReplicaResponse, random: &mut WyRand) {
    match response {
        ReplicaResponse::Changes(response) => match random.generate_range(0..12) {
            0 => response.from_revision ^= 1,
            1 => response.reset = true,
            2 => response.digest = None,
            3 => response.version = older(response.version),
            4 => response.has_more ^= true,
            5 => {
                if let Some(digest) = &mut response.digest {
                    digest.0 ^= 1 << random.generate_range(0..64u32);
                }
            }
            _ => corrupt_records(&mut response.changes, random),
        },
        ReplicaResponse::Snapshot(response) => match random.generate_range(0..5) {
            0 => response.next_after = None,
            1 => response.next_after = Some(key(random.generate_range(0..KEY_COUNT))),
            2 => response.version = older(response.version),
            _ => corrupt_records(&mut response.records, random),
        },
        ReplicaResponse::Digests(response) => match random.generate_range(0..3) {
            0 => response.buckets.truncate(random.generate_range(0..response.buckets.len())),
            1 => response.version = older(response.version),
            _ => {
                let bucket = random.generate_range(0..response.buckets.len());
                response.buckets[bucket].0 ^= 1;
            }
        },
        ReplicaResponse::Bucket(response) => match random.generate_range(0..4) {
            0 => response.bucket = random.generate_range(0..usize::MAX),
            1 => response.version = older(response.version),
            _ => corrupt_records(&mut response.records, random),
        },
    }
}

fn older(version: Version) -> Version {
    Version { revision: version.revision.saturating_sub(1), ..version }
}

fn corrupt_records(records: &mut Vec<Change>, random: &mut WyRand) {
    if records.is_empty() {
        return;
    }
    let number = random.generate_range(0..records.len());
    let other = random.generate_range(0..records.len());
    match random.generate_range(0..9) {
        0 | 7 => drop(records.remove(number)),
        1 => records.swap(number, other),
        2 | 8 => records[number].value = Some(value("-1")),
        3 => records[number].value = None,
        4 => records[number].key = random_key(random),
        5 => records[number].revision = random.generate_range(0..1000),
        _ => records.push(records[number].clone()),
    }
}

fn random_key(random: &mut WyRand) -> Key {
    key(random.generate_range(0..2 * KEY_COUNT))
}

/// The rejections that must occur in the histories, to make sure that the injected faults cover them.
const EXPECTED_REJECTIONS: [&str; 17] = [
    "DigestMismatch",
    "DuplicateKey",
    "EmptyPage",
    "InvalidRevision",
    "KeyOutOfOrder",
    "MissingValue",
    "OlderEpoch",
    "OlderRevision",
    "RecordInWrongBucket",
    "RepairsFailed",
    "ServerWithoutState",
    "SnapshotsInterrupted",
    "UnexpectedResponse",
    "WrongBaseRevision",
    "WrongBucket",
    "WrongBucketCount",
    "WrongNextKey",
];

#[test]
fn replicas_converge_after_random_faults() {
    let mut counts = FollowerCounts::default();
    for seed in 0..HISTORY_COUNT {
        let mut cluster = Cluster::new(seed);
        for _ in 0..STEPS_PER_HISTORY {
            cluster.step();
        }
        cluster.settle();
        let links = cluster.replica_servers.iter().chain(&cluster.balancers);
        links.for_each(|link| counts.add(&link.follower.counts));
    }
    eprintln!(
        "{} repairs, {} whole states, rejections {:?}",
        counts.repairs, counts.complete_states, counts.rejections
    );
    assert!(counts.repairs > 100);
    assert!(counts.complete_states > 100);
    assert_eq!(counts.rejections.keys().collect::<Vec<_>>(), EXPECTED_REJECTIONS);
}

#[test]
fn no_repairs_and_no_rejections_without_faults() {
    for seed in 0..HISTORY_COUNT {
        let mut random = WyRand::new_seed(seed);
        let mut origin = common::filled_store(1, 50);
        let mut follower = Follower::new();
        let mut numbers = BTreeSet::new();
        for _ in 0..500 {
            let number = random.generate_range(0..KEY_COUNT);
            numbers.insert(number);
            origin.commit(&[set(number, &random.generate::<u32>().to_string())], &allow_all).unwrap();
            if random.generate_range(0..3) > 0 {
                follower.step(&origin, random.generate_range(1..2000)).unwrap();
            }
        }
        let requests_before = follower.request_count;
        follower.catch_up(&origin, 400);
        assert!(
            follower.request_count - requests_before <= 500,
            "{} requests",
            follower.request_count - requests_before
        );
        follower.assert_same_as(&origin);
    }
}
