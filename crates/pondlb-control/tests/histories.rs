//! Random histories: commits, epochs, restarts and faulty answers in a chain of origin, replica servers and balancers.

mod common;

use std::collections::BTreeSet;

use common::{Follower, Tally, allow_all, answer, key, remove, set, value};
use nanorand::{Rng, WyRand};
use pondlb_control::{Change, Key, Limits, NewChange, ReplicaResponse, Store, Version};

const HISTORIES: u64 = 60;
const STEPS: usize = 1500;
const REPLICA_SERVERS: usize = 2;
const BALANCERS: usize = 4;
const NAMES: u64 = 120;

/// A chain of servers and balancers with what goes wrong between them.
struct World {
    random: WyRand,
    origin: Store,
    replica_servers: Vec<Link>,
    balancers: Vec<Link>,
}

/// A follower with the server that it asks and an answer that was kept back.
struct Link {
    follower: Follower,
    /// A replica server's number; the origin where it is none of them.
    server: usize,
    kept_back: Option<ReplicaResponse>,
}

impl Link {
    fn new(server: usize) -> Link {
        Link { follower: Follower::new(), server, kept_back: None }
    }
}

/// What happens to an answer on its way.
enum Way {
    Delivered,
    Dropped,
    Doubled,
    KeptBack,
    Garbled,
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = WyRand::new_seed(seed);
        let limits = random_limits(&mut random);
        World {
            random,
            origin: Store::new(1, limits),
            replica_servers: (0..REPLICA_SERVERS).map(|_| Link::new(REPLICA_SERVERS)).collect(),
            balancers: (0..BALANCERS).map(|number| Link::new(number % (REPLICA_SERVERS + 1))).collect(),
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
        let number = self.random.generate_range(0..NAMES);
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

    /// One follower asks once, with faults on the way.
    fn ask(&mut self, is_server: bool, number: usize) {
        let way = self.random_way();
        let links = if is_server { &self.replica_servers } else { &self.balancers };
        let link = &links[number];
        let server = self.replica_servers.get(link.server).map_or(&self.origin, |link| &link.follower.store);
        let piece_bytes = [1, 400, 1500, usize::MAX][self.random.generate_range(0..4)];
        let mut answer = answer(server, &link.follower.call(), piece_bytes);
        if let Way::Garbled = way {
            garble(&mut answer, &mut self.random);
        }
        let links = if is_server { &mut self.replica_servers } else { &mut self.balancers };
        let link = &mut links[number];
        let results = match way {
            Way::Delivered | Way::Garbled => vec![link.follower.receive(answer)],
            Way::Dropped => vec![],
            Way::Doubled => vec![link.follower.receive(answer.clone()), link.follower.receive(answer)],
            Way::KeptBack => {
                link.kept_back.replace(answer).map(|older| link.follower.receive(older)).into_iter().collect()
            }
        };
        let is_rejected = results.iter().any(Result::is_err);
        if is_rejected && self.chance(700) || self.chance(20) {
            self.go_to_another_server(is_server, number);
        }
    }

    fn random_way(&mut self) -> Way {
        match self.random.generate_range(0..100) {
            0..4 => Way::Dropped,
            4..8 => Way::Doubled,
            8..12 => Way::KeptBack,
            12..20 => Way::Garbled,
            _ => Way::Delivered,
        }
    }

    fn go_to_another_server(&mut self, is_server: bool, number: usize) {
        if is_server {
            return self.replica_servers[number].follower.replica.reset_for_new_server();
        }
        let link = &mut self.balancers[number];
        link.server = self.random.generate_range(0..=REPLICA_SERVERS);
        link.follower.replica.reset_for_new_server();
    }

    fn step(&mut self) {
        match self.random.generate_range(0..1000) {
            0..2 => self.begin_epoch(),
            2..80 => self.commit(),
            80..300 => {
                let number = self.random.generate_range(0..REPLICA_SERVERS);
                self.ask(true, number);
            }
            _ => {
                let number = self.random.generate_range(0..BALANCERS);
                self.ask(false, number);
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

/// Makes an answer wrong in a way that its own records, digests and checks must show. A newer version than the
/// server's is not among them: nothing could tell it from news.
fn garble(answer: &mut ReplicaResponse, random: &mut WyRand) {
    match answer {
        ReplicaResponse::Changes(answer) => match random.generate_range(0..12) {
            0 => answer.from_revision ^= 1,
            1 => answer.reset = true,
            2 => answer.digest = None,
            3 => answer.version = older(answer.version),
            4 => answer.has_more ^= true,
            5 => {
                if let Some(digest) = &mut answer.digest {
                    digest.0 ^= 1 << random.generate_range(0..64u32);
                }
            }
            _ => garble_records(&mut answer.changes, random),
        },
        ReplicaResponse::Snapshot(answer) => match random.generate_range(0..5) {
            0 => answer.next_after = None,
            1 => answer.next_after = Some(key(random.generate_range(0..NAMES))),
            2 => answer.version = older(answer.version),
            _ => garble_records(&mut answer.records, random),
        },
        ReplicaResponse::Digests(answer) => match random.generate_range(0..3) {
            0 => answer.buckets.truncate(random.generate_range(0..answer.buckets.len())),
            1 => answer.version = older(answer.version),
            _ => {
                let bucket = random.generate_range(0..answer.buckets.len());
                answer.buckets[bucket].0 ^= 1;
            }
        },
        ReplicaResponse::Bucket(answer) => match random.generate_range(0..4) {
            0 => answer.bucket = random.generate_range(0..usize::MAX),
            1 => answer.version = older(answer.version),
            _ => garble_records(&mut answer.records, random),
        },
    }
}

fn older(version: Version) -> Version {
    Version { revision: version.revision.saturating_sub(1), ..version }
}

fn garble_records(records: &mut Vec<Change>, random: &mut WyRand) {
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
    key(random.generate_range(0..2 * NAMES))
}

/// What the faults of the histories must have led to, so that the histories are known to reach it.
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
fn all_replicas_converge_after_any_history() {
    let mut tally = Tally::default();
    for seed in 0..HISTORIES {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.settle();
        let links = world.replica_servers.iter().chain(&world.balancers);
        links.for_each(|link| tally.add(&link.follower.tally));
    }
    eprintln!(
        "{} repairs, {} whole states, rejections {:?}",
        tally.repairs, tally.whole_states, tally.rejections
    );
    assert!(tally.repairs > 100);
    assert!(tally.whole_states > 100);
    assert_eq!(tally.rejections.keys().collect::<Vec<_>>(), EXPECTED_REJECTIONS);
}

#[test]
fn a_history_without_faults_needs_no_repair_and_no_rejection() {
    for seed in 0..HISTORIES {
        let mut random = WyRand::new_seed(seed);
        let mut origin = common::filled_store(1, 50);
        let mut follower = Follower::new();
        let mut numbers = BTreeSet::new();
        for _ in 0..500 {
            let number = random.generate_range(0..NAMES);
            numbers.insert(number);
            origin.commit(&[set(number, &random.generate::<u32>().to_string())], &allow_all).unwrap();
            if random.generate_range(0..3) > 0 {
                follower.step(&origin, random.generate_range(1..2000)).unwrap();
            }
        }
        let calls = follower.calls;
        follower.catch_up(&origin, 400);
        assert!(follower.calls - calls <= 500, "{} calls", follower.calls - calls);
        follower.assert_same_as(&origin);
    }
}
