//! Snapshots: staging, interruptions, and all-or-nothing application.

mod common;

use common::{Follower, allow_all, filled_store, remove, set};
use pondlb_control::{Limits, LongPoll, NewChange, Progress, Rejection, ReplicaRequest, Store};

const PAGE_BYTES: usize = 1000;

fn first_page_request() -> ReplicaRequest {
    ReplicaRequest::Snapshot { after: None }
}

/// Reads the pages of a snapshot until the next request is for the changes since the first page.
fn read_all_pages(follower: &mut Follower, store: &Store) {
    while let ReplicaRequest::Snapshot { .. } = follower.next_request() {
        follower.step(store, PAGE_BYTES).unwrap();
    }
}

/// A follower with the state of epoch 1 that has read the first pages of a snapshot of epoch 2, and its store.
fn follower_within_second_snapshot() -> (Store, Follower) {
    let mut follower = Follower::new();
    follower.catch_up(&filled_store(1, 60), PAGE_BYTES);
    let store = filled_store(2, 100);
    follower.step(&store, PAGE_BYTES).unwrap();
    follower.step(&store, PAGE_BYTES).unwrap();
    assert!(matches!(follower.next_request(), ReplicaRequest::Snapshot { after: Some(_) }));
    (store, follower)
}

#[test]
fn previous_state_stays_active_until_snapshot_is_complete() {
    let (store, mut follower) = follower_within_second_snapshot();
    let before = (follower.replica.digest(), follower.records.clone());
    while let Progress::Pending = follower.step(&store, PAGE_BYTES).unwrap() {
        assert_eq!(before, (follower.replica.digest(), follower.records.clone()));
        assert_eq!((follower.replica.version().epoch, follower.replica.len()), (1, 60));
    }
    follower.assert_same_as(&store);
}

#[test]
fn newer_epoch_between_pages_restarts_snapshot() {
    let (_, mut follower) = follower_within_second_snapshot();
    let newer = filled_store(3, 80);
    assert!(matches!(follower.step(&newer, PAGE_BYTES), Ok(Progress::Pending)));
    assert_eq!(follower.next_request(), first_page_request());
    follower.catch_up(&newer, PAGE_BYTES);
    follower.assert_same_as(&newer);
}

#[test]
fn newer_epoch_after_last_page_restarts_snapshot() {
    let (store, mut follower) = follower_within_second_snapshot();
    read_all_pages(&mut follower, &store);
    let newer = filled_store(3, 80);
    assert!(matches!(follower.step(&newer, PAGE_BYTES), Ok(Progress::Pending)));
    assert_eq!(follower.next_request(), first_page_request());
    follower.catch_up(&newer, PAGE_BYTES);
    follower.assert_same_as(&newer);
}

#[test]
fn server_change_restarts_snapshot() {
    let (store, mut follower) = follower_within_second_snapshot();
    follower.replica.reset_for_new_server();
    assert_eq!(follower.next_request(), first_page_request());
    assert_eq!(follower.replica.len(), 60);
    follower.catch_up(&store, PAGE_BYTES);
    follower.assert_same_as(&store);
}

#[test]
fn rejects_response_after_repeated_interruptions() {
    let (_, mut follower) = follower_within_second_snapshot();
    let mut interruptions = 0;
    for epoch in 3.. {
        let store = filled_store(epoch, 100);
        match follower.step(&store, PAGE_BYTES) {
            Ok(_) => interruptions += 1,
            Err(rejection) => {
                assert_eq!(rejection, Rejection::SnapshotsInterrupted(3));
                break;
            }
        }
        follower.step(&store, PAGE_BYTES).unwrap();
    }
    assert_eq!(interruptions, 2);
    assert_eq!(follower.next_request(), first_page_request());
}

#[test]
fn evicted_tombstone_restarts_snapshot() {
    let mut store = Store::new(1, Limits { max_tombstones: 0, ..Limits::default() });
    let records: Vec<NewChange> = (0..50).map(|number| set(number, "1")).collect();
    store.commit(&records, &allow_all).unwrap();
    let mut follower = Follower::new();
    follower.step(&store, PAGE_BYTES).unwrap();
    store.commit(&[remove(0)], &allow_all).unwrap();
    read_all_pages(&mut follower, &store);
    assert!(matches!(follower.step(&store, PAGE_BYTES), Ok(Progress::Pending)));
    assert_eq!(follower.next_request(), first_page_request());
    follower.catch_up(&store, PAGE_BYTES);
    follower.assert_same_as(&store);
}

#[test]
fn requests_carry_digest_of_active_state() {
    let (store, mut follower) = follower_within_second_snapshot();
    read_all_pages(&mut follower, &store);
    let active_digest = follower.replica.digest();
    assert_eq!(
        follower.next_request(),
        ReplicaRequest::Changes { from: store.version(), digest: active_digest, hold: LongPoll::No }
    );
}

#[test]
fn empty_origin_has_valid_state() {
    let store = Store::new(4, Limits::default());
    let mut follower = Follower::new();
    follower.catch_up(&store, PAGE_BYTES);
    follower.assert_same_as(&store);
    assert!(follower.replica.is_empty());
}

#[test]
fn replica_server_resets_followers_older_than_its_snapshot() {
    let mut origin = filled_store(1, 30);
    let mut replica_server = Follower::new();
    let mut balancer = Follower::new();
    replica_server.catch_up(&origin, PAGE_BYTES);
    balancer.catch_up(&replica_server.store, PAGE_BYTES);
    assert_eq!(balancer.counts.complete_states, 1);
    origin.commit(&[remove(3)], &allow_all).unwrap();
    replica_server.catch_up(&origin, PAGE_BYTES);
    balancer.catch_up(&replica_server.store, PAGE_BYTES);
    assert_eq!(balancer.counts.complete_states, 1);

    let newer = filled_store(2, 10);
    replica_server.catch_up(&newer, PAGE_BYTES);
    balancer.catch_up(&replica_server.store, PAGE_BYTES);
    balancer.assert_same_as(&newer);
    assert_eq!(balancer.counts.complete_states, 2);
}
