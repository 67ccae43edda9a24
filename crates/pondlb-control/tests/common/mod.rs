//! What the tests of the state machines share: a store's answers to a replica's calls, and records to commit.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::Duration;

use pondlb_control::{
    Change, Key, KeyInterner, Limits, LongPoll, NewChange, Progress, RecordKind, Rejection, Replica,
    ReplicaRequest, ReplicaResponse, Store, Update, Version,
};
use serde_json::value::RawValue;

pub const HOLD: Duration = Duration::from_millis(1000);

/// More calls than any replica of the tests needs to be in sync.
pub const MOST_CALLS: usize = 3000;

pub fn allow_all(_: &Key, _: Option<&str>) -> Result<(), String> {
    Ok(())
}

pub fn key(number: u64) -> Key {
    let kinds = [RecordKind::Upstream, RecordKind::Class, RecordKind::Tenant, RecordKind::Limit];
    Key::new(kinds[number as usize % 4], &format!("s-{number:05}")).unwrap()
}

pub fn value(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_string()).unwrap()
}

pub fn set(number: u64, text: &str) -> NewChange {
    NewChange { key: key(number), value: Some(value(text)) }
}

pub fn remove(number: u64) -> NewChange {
    NewChange { key: key(number), value: None }
}

/// A store of the epoch that holds records 0 to `records`, their numbers as values.
pub fn filled_store(epoch: u64, records: u64) -> Store {
    let mut store = Store::new(epoch, Limits::default());
    let changes: Vec<NewChange> = (0..records).map(|number| set(number, &format!("[{number}]"))).collect();
    store.commit(&changes, &allow_all).unwrap();
    store
}

pub fn new_replica() -> Replica {
    Replica::new(Limits::default(), KeyInterner::default())
}

/// The store's answer to a call, sent as JSON text and read again.
pub fn answer(store: &Store, call: &ReplicaRequest, piece_bytes: usize) -> ReplicaResponse {
    match call {
        ReplicaRequest::Changes { from, .. } => {
            ReplicaResponse::Changes(resent(&store.changes_since(*from, piece_bytes)))
        }
        ReplicaRequest::Snapshot { after } => {
            ReplicaResponse::Snapshot(resent(&store.snapshot_page(after.as_ref(), piece_bytes)))
        }
        ReplicaRequest::Digests => ReplicaResponse::Digests(resent(&store.bucket_digests())),
        ReplicaRequest::Bucket(bucket) => {
            ReplicaResponse::Bucket(resent(&store.bucket_records(*bucket).unwrap()))
        }
    }
}

fn resent<T: serde::Serialize + serde::de::DeserializeOwned>(sent: &T) -> T {
    serde_json::from_str(&serde_json::to_string(sent).unwrap()).unwrap()
}

/// A replica with the consumer that puts its updates in force.
pub struct Follower {
    pub replica: Replica,
    pub version: Version,
    pub records: BTreeMap<Key, String>,
    /// What the follower offers to others, as a replica server does.
    pub store: Store,
    pub calls: usize,
    pub tally: Tally,
}

/// How often a follower went other ways than following.
#[derive(Default)]
pub struct Tally {
    pub repairs: usize,
    pub whole_states: usize,
    /// By the names of their variants.
    pub rejections: BTreeMap<String, usize>,
}

impl Tally {
    fn count(&mut self, call: &ReplicaRequest, progress: &Result<Progress, Rejection>) {
        match progress {
            Ok(Progress::Applied(update)) => {
                self.whole_states += usize::from(update.is_whole_state);
                self.repairs += usize::from(matches!(call, ReplicaRequest::Bucket(_)));
            }
            Ok(_) => {}
            Err(rejection) => {
                let text = format!("{rejection:?}");
                let name = text.split(|character: char| !character.is_alphanumeric()).next().unwrap();
                *self.rejections.entry(name.to_string()).or_default() += 1;
            }
        }
    }

    pub fn add(&mut self, other: &Tally) {
        self.repairs += other.repairs;
        self.whole_states += other.whole_states;
        for (name, count) in &other.rejections {
            *self.rejections.entry(name.clone()).or_default() += count;
        }
    }
}

impl Follower {
    pub fn new() -> Follower {
        Follower::with_replica(new_replica())
    }

    pub fn with_replica(replica: Replica) -> Follower {
        let store = Store::new(0, Limits::default());
        Follower {
            replica,
            version: Version::default(),
            records: BTreeMap::new(),
            store,
            calls: 0,
            tally: Tally::default(),
        }
    }

    pub fn call(&self) -> ReplicaRequest {
        self.replica.next_request(HOLD)
    }

    /// Takes an answer and puts in force what comes of it.
    pub fn receive(&mut self, answer: ReplicaResponse) -> Result<Progress, Rejection> {
        self.calls += 1;
        let call = self.call();
        let is_following = matches!(call, ReplicaRequest::Changes { .. });
        let held = (self.replica.version(), self.replica.digest());
        let progress = self.replica.receive(answer, &allow_all);
        self.tally.count(&call, &progress);
        match &progress {
            Ok(Progress::Applied(update)) => self.put_in_force(update, is_following),
            _ => assert_eq!(held, (self.replica.version(), self.replica.digest())),
        }
        progress
    }

    fn put_in_force(&mut self, update: &Update, is_following: bool) {
        assert!(update.version >= self.version, "{} after {}", update.version, self.version);
        if is_following && !update.is_whole_state {
            let is_new = |change: &Change| change.revision > self.version.revision;
            assert!(update.changes.iter().all(is_new), "applied twice");
        }
        self.version = update.version;
        for change in &update.changes {
            match &change.value {
                Some(value) => self.records.insert(change.key.clone(), value.get().to_string()),
                None => self.records.remove(&change.key),
            };
        }
        self.store.apply_update(update);
    }

    /// Asks once; returns what came of it.
    pub fn step(&mut self, server: &Store, piece_bytes: usize) -> Result<Progress, Rejection> {
        let answer = answer(server, &self.call(), piece_bytes);
        self.receive(answer)
    }

    /// Asks until the state is in sync with the server's and there is no more to ask.
    pub fn catch_up(&mut self, server: &Store, piece_bytes: usize) {
        for _ in 0..MOST_CALLS {
            let step = self.step(server, piece_bytes);
            let is_idle = matches!(self.call(), ReplicaRequest::Changes { hold: LongPoll::UpTo(_), .. });
            let is_same = self.replica.version() == server.version() && self.replica.is_in_sync();
            match step {
                Ok(_) if is_idle && is_same => return,
                Ok(_) => {}
                Err(_) => self.replica.reset_for_new_server(),
            }
        }
        panic!("not in sync after {MOST_CALLS} calls");
    }

    /// Fails unless everything equals what the server holds.
    pub fn assert_same_as(&self, server: &Store) {
        assert_eq!(self.version, server.version());
        assert_eq!(self.replica.version(), server.version());
        assert_eq!(self.replica.digest(), server.digest());
        assert_eq!(self.replica.len(), server.len());
        assert_eq!(self.records, records_of(server));
        assert!(self.replica.is_in_sync());
        assert_eq!(self.store.version(), server.version());
        assert_eq!(self.store.digest(), server.digest());
        assert_eq!(self.store.total_bytes(), server.total_bytes());
        assert_eq!(records_of(&self.store), records_of(server));
    }
}

/// All records of a store.
pub fn records_of(store: &Store) -> BTreeMap<Key, String> {
    let records = store.snapshot_page(None, usize::MAX).records.into_iter();
    records.map(|record| (record.key, record.value.unwrap().get().to_string())).collect()
}
