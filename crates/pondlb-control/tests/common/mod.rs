//! Shared test helpers: a store's responses to a replica's requests, and records to commit.

#![allow(dead_code, reason = "no test file uses all helpers")]

use std::collections::BTreeMap;
use std::time::Duration;

use pondlb_control::{
    Change, ChangesResponse, Key, KeyInterner, Limits, LongPoll, NewChange, Progress, RecordKind, Rejection,
    Replica, ReplicaRequest, ReplicaResponse, Store, Update, Version,
};
use serde_json::value::RawValue;

/// The longest time that the requests of the tests let a server wait.
pub const MAX_HOLD: Duration = Duration::from_millis(1000);

/// More requests than any replica in the tests needs to be in sync.
pub const MAX_REQUESTS: usize = 3000;

/// A validator that accepts every change.
pub fn allow_all(_: &Key, _: Option<&str>) -> Result<(), String> {
    Ok(())
}

/// The key of a test record. The kinds alternate with the number.
pub fn key(number: u64) -> Key {
    let kinds = [RecordKind::Upstream, RecordKind::Class, RecordKind::Tenant, RecordKind::Limit];
    Key::new(kinds[number as usize % 4], &format!("s-{number:05}")).unwrap()
}

/// The JSON value with this text.
pub fn value(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_string()).unwrap()
}

/// A change that sets a test record.
pub fn set(number: u64, text: &str) -> NewChange {
    NewChange { key: key(number), value: Some(value(text)) }
}

/// A change that removes a test record.
pub fn remove(number: u64) -> NewChange {
    NewChange { key: key(number), value: None }
}

/// An origin's store with the test records from 0 up to `records` (exclusive), whose values contain their numbers.
pub fn filled_store(epoch: u64, records: u64) -> Store {
    let mut store = Store::new(epoch, Limits::default());
    let changes: Vec<NewChange> = (0..records).map(|number| set(number, &format!("[{number}]"))).collect();
    store.commit(&changes, &allow_all).unwrap();
    store
}

/// An empty replica with the default limits.
pub fn new_replica() -> Replica {
    Replica::new(Limits::default(), KeyInterner::default())
}

/// The store's response to a request, encoded as JSON and decoded again.
pub fn respond(store: &Store, request: &ReplicaRequest, page_bytes: usize) -> ReplicaResponse {
    match request {
        ReplicaRequest::Changes { from, .. } => {
            ReplicaResponse::Changes(json_round_trip(&store.changes_since(*from, page_bytes)))
        }
        ReplicaRequest::Snapshot { after } => {
            ReplicaResponse::Snapshot(json_round_trip(&store.snapshot_page(after.as_ref(), page_bytes)))
        }
        ReplicaRequest::Digests => ReplicaResponse::Digests(json_round_trip(&store.bucket_digests())),
        ReplicaRequest::Bucket(bucket) => {
            ReplicaResponse::Bucket(json_round_trip(&store.bucket_records(*bucket).unwrap()))
        }
    }
}

/// The changes in a response; fails for a response of another kind.
pub fn changes_response(response: ReplicaResponse) -> ChangesResponse {
    match response {
        ReplicaResponse::Changes(response) => response,
        other => panic!("{other:?} instead of changes"),
    }
}

/// Encodes a value as JSON and decodes it again.
fn json_round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(sent: &T) -> T {
    serde_json::from_str(&serde_json::to_string(sent).unwrap()).unwrap()
}

/// A replica with a consumer that applies its updates.
pub struct Follower {
    pub replica: Replica,
    /// The version of the last update.
    pub version: Version,
    /// The records with their values, as the updates have set them.
    pub records: BTreeMap<Key, String>,
    /// The store that other followers can request, as that of a replica server.
    pub store: Store,
    /// The number of responses received.
    pub request_count: usize,
    pub counts: FollowerCounts,
}

/// The numbers of repairs, complete states and rejections of a follower.
#[derive(Default)]
pub struct FollowerCounts {
    pub repairs: usize,
    pub complete_states: usize,
    /// The number of rejections by the name of their variant.
    pub rejections: BTreeMap<String, usize>,
}

impl FollowerCounts {
    fn count(&mut self, request: &ReplicaRequest, progress: &Result<Progress, Rejection>) {
        match progress {
            Ok(Progress::Applied(update)) => {
                self.complete_states += usize::from(update.is_whole_state);
                self.repairs += usize::from(matches!(request, ReplicaRequest::Bucket(_)));
            }
            Ok(_) => {}
            Err(rejection) => {
                let text = format!("{rejection:?}");
                let name = text.split(|character: char| !character.is_alphanumeric()).next().unwrap();
                *self.rejections.entry(name.to_string()).or_default() += 1;
            }
        }
    }

    pub fn add(&mut self, other: &FollowerCounts) {
        self.repairs += other.repairs;
        self.complete_states += other.complete_states;
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
            request_count: 0,
            counts: FollowerCounts::default(),
        }
    }

    pub fn next_request(&self) -> ReplicaRequest {
        self.replica.next_request(MAX_HOLD)
    }

    /// Processes a response and applies the resulting update. Without an update the state must not change.
    pub fn receive(&mut self, response: ReplicaResponse) -> Result<Progress, Rejection> {
        self.request_count += 1;
        let request = self.next_request();
        let is_following = matches!(request, ReplicaRequest::Changes { .. });
        let previous = (self.replica.version(), self.replica.digest());
        let progress = self.replica.receive(response, &allow_all);
        self.counts.count(&request, &progress);
        match &progress {
            Ok(Progress::Applied(update)) => self.apply_update(update, is_following),
            _ => assert_eq!(previous, (self.replica.version(), self.replica.digest())),
        }
        progress
    }

    fn apply_update(&mut self, update: &Update, is_following: bool) {
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

    /// Sends one request and processes the response.
    pub fn step(&mut self, server: &Store, page_bytes: usize) -> Result<Progress, Rejection> {
        let response = respond(server, &self.next_request(), page_bytes);
        self.receive(response)
    }

    /// Sends requests until the state is in sync with the server's and the next request would wait for new changes.
    pub fn catch_up(&mut self, server: &Store, page_bytes: usize) {
        for _ in 0..MAX_REQUESTS {
            let step = self.step(server, page_bytes);
            let is_idle =
                matches!(self.next_request(), ReplicaRequest::Changes { hold: LongPoll::UpTo(_), .. });
            let is_same = self.replica.version() == server.version() && self.replica.is_in_sync();
            match step {
                Ok(_) if is_idle && is_same => return,
                Ok(_) => {}
                Err(_) => self.replica.reset_for_new_server(),
            }
        }
        panic!("not in sync after {MAX_REQUESTS} requests");
    }

    /// Fails unless the complete state equals the server's.
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

/// All records of a store with their values.
pub fn records_of(store: &Store) -> BTreeMap<Key, String> {
    let records = store.snapshot_page(None, usize::MAX).records.into_iter();
    records.map(|record| (record.key, record.value.unwrap().get().to_string())).collect()
}
