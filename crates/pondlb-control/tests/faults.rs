//! Injected faults are detected and repaired with a bounded number of requests.

mod common;

use common::{
    Follower, MAX_HOLD, allow_all, changes_response, filled_store, key, remove, respond, set, value,
};
use pondlb_control::{BUCKET_COUNT, Progress, Rejection, ReplicaRequest, ReplicaResponse, Store, Update};

const RECORDS: u64 = 4000;
const UNLIMITED_BYTES: usize = usize::MAX;

/// The result of a repair, and the responses that it needed.
struct RepairOutcome {
    update: Update,
    requests: usize,
    buckets: usize,
    records: usize,
}

/// Responds to the replica's requests until it is repaired.
fn run_repair(follower: &mut Follower, store: &Store) -> RepairOutcome {
    let mut buckets = 0;
    let mut records = 0;
    for requests in 1..20 {
        let response = respond(store, &follower.next_request(), UNLIMITED_BYTES);
        if let ReplicaResponse::Bucket(bucket) = &response {
            buckets += 1;
            records += bucket.records.len();
        }
        if let Progress::Applied(update) = follower.receive(response).unwrap() {
            return RepairOutcome { update, requests, buckets, records };
        }
    }
    panic!("not repaired");
}

fn max_records_per_bucket(store: &Store) -> usize {
    (0..BUCKET_COUNT).map(|bucket| store.bucket_records(bucket).unwrap().records.len()).max().unwrap()
}

/// A store with three changes that the follower has not received, and that follower.
fn follower_three_changes_behind() -> (Store, Follower) {
    let mut store = filled_store(1, RECORDS);
    let mut follower = Follower::new();
    follower.catch_up(&store, UNLIMITED_BYTES);
    store.commit(&[set(10, "1"), remove(20), set(RECORDS, "2")], &allow_all).unwrap();
    (store, follower)
}

fn assert_repairs_one_record(store: &Store, follower: &mut Follower, name: &str) {
    assert!(!follower.replica.is_in_sync());
    let repaired = run_repair(follower, store);
    assert!(repaired.update.changes.iter().any(|change| change.key.name() == name));
    assert!(repaired.update.changes.len() <= 3, "{:?}", repaired.update.changes);
    assert!(!repaired.update.is_whole_state);
    assert_eq!(repaired.requests, 1 + repaired.buckets);
    assert!(repaired.buckets <= 2, "{} buckets", repaired.buckets);
    assert!(repaired.records <= 2 * max_records_per_bucket(store));
    follower.assert_same_as(store);
}

#[test]
fn repairs_dropped_change() {
    for dropped in 0..3 {
        let (store, mut follower) = follower_three_changes_behind();
        let mut response = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
        let name = response.changes.remove(dropped).key;
        let before = follower.records.clone();
        assert!(matches!(follower.receive(ReplicaResponse::Changes(response)), Ok(Progress::Pending)));
        assert_eq!(follower.records, before, "nothing is applied before the repair");
        assert_repairs_one_record(&store, &mut follower, name.name());
    }
}

#[test]
fn repairs_corrupted_value() {
    let (store, mut follower) = follower_three_changes_behind();
    let mut response = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    response.changes[0].value = Some(value("0"));
    assert!(matches!(follower.receive(ReplicaResponse::Changes(response)), Ok(Progress::Pending)));
    assert_repairs_one_record(&store, &mut follower, key(10).name());
}

#[test]
fn repairs_corrupted_value_in_page_before_the_last() {
    let (store, mut follower) = follower_three_changes_behind();
    let mut page = changes_response(respond(&store, &follower.next_request(), 1));
    assert!(page.has_more && page.changes.len() == 1);
    page.changes[0].value = Some(value("0"));
    assert!(matches!(follower.receive(ReplicaResponse::Changes(page)), Ok(Progress::Applied(_))));
    assert_eq!(follower.records[&key(10)], "0");
    assert!(matches!(follower.step(&store, UNLIMITED_BYTES), Ok(Progress::Pending)));
    assert_repairs_one_record(&store, &mut follower, key(10).name());
}

#[test]
fn rejects_changes_out_of_order_and_requests_them_again() {
    let (store, mut follower) = follower_three_changes_behind();
    let mut response = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    response.changes.swap(0, 1);
    let rejection = follower.receive(ReplicaResponse::Changes(response)).unwrap_err();
    assert!(matches!(rejection, Rejection::InvalidRevision { .. }));
    assert!(matches!(follower.step(&store, UNLIMITED_BYTES), Ok(Progress::Applied(_))));
    follower.assert_same_as(&store);
}

#[test]
fn resumes_following_if_only_the_digest_was_corrupted() {
    let (store, mut follower) = follower_three_changes_behind();
    let mut response = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    response.digest.as_mut().unwrap().0 ^= 1;
    assert!(matches!(follower.receive(ReplicaResponse::Changes(response)), Ok(Progress::Pending)));
    assert!(matches!(follower.step(&store, UNLIMITED_BYTES), Err(Rejection::DigestMismatch { .. })));
    assert!(matches!(follower.step(&store, UNLIMITED_BYTES), Ok(Progress::Applied(_))));
    follower.assert_same_as(&store);
}

#[test]
fn requests_changes_again_if_server_advances_during_repair() {
    let (mut store, mut follower) = follower_three_changes_behind();
    let mut response = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    response.changes.remove(1);
    follower.receive(ReplicaResponse::Changes(response)).unwrap();
    store.commit(&[set(30, "3")], &allow_all).unwrap();
    assert!(matches!(follower.step(&store, UNLIMITED_BYTES), Ok(Progress::Pending)));
    assert!(matches!(follower.next_request(), ReplicaRequest::Changes { .. }));
    follower.catch_up(&store, UNLIMITED_BYTES);
    follower.assert_same_as(&store);
}

/// Makes the replica start a repair with a wrong digest, and the server advance before the repair ends.
fn fail_repair(follower: &mut Follower, store: &mut Store) -> Result<Progress, Rejection> {
    let mut corrupted = changes_response(respond(store, &follower.next_request(), UNLIMITED_BYTES));
    corrupted.digest.as_mut().unwrap().0 ^= 1;
    follower.receive(ReplicaResponse::Changes(corrupted)).unwrap();
    store.commit(&[set(1, "1")], &allow_all).unwrap();
    follower.step(store, UNLIMITED_BYTES)
}

#[test]
fn reads_snapshot_after_three_failed_repairs() {
    let (mut store, mut follower) = follower_three_changes_behind();
    assert!(matches!(fail_repair(&mut follower, &mut store), Ok(Progress::Pending)));
    assert!(matches!(fail_repair(&mut follower, &mut store), Ok(Progress::Pending)));
    let third = fail_repair(&mut follower, &mut store);
    assert_eq!(third.unwrap_err(), Rejection::RepairsFailed(3));
    assert_eq!(follower.next_request(), ReplicaRequest::Snapshot { after: None });
    follower.replica.reset_for_new_server();
    assert_eq!(follower.next_request(), ReplicaRequest::Snapshot { after: None });
    follower.catch_up(&store, UNLIMITED_BYTES);
    follower.assert_same_as(&store);
}

#[test]
fn repairs_interrupted_by_server_change_count_as_failed() {
    let (store, mut follower) = follower_three_changes_behind();
    for _ in 0..3 {
        let mut corrupted = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
        corrupted.changes.clear();
        follower.receive(ReplicaResponse::Changes(corrupted)).unwrap();
        assert_eq!(follower.next_request(), ReplicaRequest::Digests);
        follower.replica.reset_for_new_server();
    }
    assert_eq!(follower.next_request(), ReplicaRequest::Snapshot { after: None });
}

#[test]
fn digest_match_resets_failed_repair_count() {
    let (mut store, mut follower) = follower_three_changes_behind();
    for _ in 0..2 {
        fail_repair(&mut follower, &mut store).unwrap();
    }
    follower.catch_up(&store, UNLIMITED_BYTES);
    fail_repair(&mut follower, &mut store).unwrap();
    assert!(matches!(follower.next_request(), ReplicaRequest::Changes { .. }));
}

#[test]
fn repair_of_replica_server_reaches_its_followers() {
    let (store, mut replica_server) = follower_three_changes_behind();
    let mut balancer = Follower::new();
    balancer.catch_up(&replica_server.store, UNLIMITED_BYTES);
    let mut page = changes_response(respond(&store, &replica_server.next_request(), 1));
    page.changes[0].value = Some(value("0"));
    replica_server.receive(ReplicaResponse::Changes(page)).unwrap();
    balancer.step(&replica_server.store, UNLIMITED_BYTES).unwrap();
    assert_eq!(balancer.records[&key(10)], "0");
    replica_server.catch_up(&store, UNLIMITED_BYTES);
    balancer.step(&replica_server.store, UNLIMITED_BYTES).unwrap();
    assert_repairs_one_record(&replica_server.store, &mut balancer, key(10).name());
    balancer.assert_same_as(&store);
}

#[test]
fn bucket_repair_includes_removals() {
    let (store, mut follower) = follower_three_changes_behind();
    let mut corrupted = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    corrupted.changes.retain(|change| change.value.is_some());
    follower.receive(ReplicaResponse::Changes(corrupted)).unwrap();
    let repaired = run_repair(&mut follower, &store);
    let removed: Vec<&str> = repaired
        .update
        .changes
        .iter()
        .filter(|change| change.value.is_none())
        .map(|change| change.key.name())
        .collect();
    assert_eq!(removed, [key(20).name()]);
    assert!(matches!(follower.replica.next_request(MAX_HOLD), ReplicaRequest::Changes { .. }));
    follower.assert_same_as(&store);
}
