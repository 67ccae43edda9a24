//! A replica follows a store: snapshots, pages of changes, epochs.

mod common;

use common::{Follower, allow_all, changes_response, filled_store, remove, respond, set};
use pondlb_control::{Progress, ReplicaRequest, ReplicaResponse};

#[test]
fn reads_snapshot_and_follows_changes() {
    let mut store = filled_store(1, 100);
    let mut follower = Follower::new();
    assert_eq!(follower.next_request(), ReplicaRequest::Snapshot { after: None });
    follower.catch_up(&store, 500);
    follower.assert_same_as(&store);
    store.commit(&[set(3, "{\"a\": [1.0, \"b c\"]}"), remove(4), set(200, "true")], &allow_all).unwrap();
    follower.catch_up(&store, 500);
    follower.assert_same_as(&store);
    assert_eq!(follower.records[&common::key(3)], "{\"a\":[1.0,\"b c\"]}");
    assert!(matches!(follower.step(&store, 500), Ok(Progress::Unchanged)));
}

#[test]
fn snapshot_includes_changes_committed_between_its_pages() {
    let mut store = filled_store(1, 100);
    let mut follower = Follower::new();
    for number in 0..40 {
        follower.step(&store, 1000).unwrap();
        store.commit(&[remove(number), set(99 - number, "0"), set(200 + number, "1")], &allow_all).unwrap();
    }
    follower.catch_up(&store, 1000);
    follower.assert_same_as(&store);
}

#[test]
fn newer_epoch_is_applied_as_difference() {
    let mut follower = Follower::new();
    follower.catch_up(&filled_store(1, 100), 1000);
    let mut newer = filled_store(2, 98);
    newer.commit(&[set(7, "\"new\"")], &allow_all).unwrap();
    assert!(matches!(follower.step(&newer, 1000), Ok(Progress::Pending)));
    assert_eq!(follower.replica.version().epoch, 1);
    let update = loop {
        if let Progress::Applied(update) = follower.step(&newer, 1000).unwrap() {
            break update;
        }
    };
    assert!(update.is_whole_state);
    let changed: Vec<&str> = update.changes.iter().map(|change| change.key.name()).collect();
    assert_eq!(changed, ["s-00007", "s-00099", "s-00098"]);
    follower.assert_same_as(&newer);
}

#[test]
fn digest_received_later_is_passed_on_to_followers() {
    let mut origin = filled_store(1, 20);
    let mut replica_server = Follower::new();
    replica_server.catch_up(&origin, 1000);
    origin.commit(&[set(3, "0")], &allow_all).unwrap();
    let mut without_digest = changes_response(respond(&origin, &replica_server.next_request(), 1000));
    without_digest.digest = None;
    assert!(matches!(
        replica_server.receive(ReplicaResponse::Changes(without_digest)),
        Ok(Progress::Applied(_))
    ));
    assert!(replica_server.store.changes_since(origin.version(), 1000).digest.is_none());
    let Ok(Progress::Applied(update)) = replica_server.step(&origin, 1000) else { panic!("not applied") };
    assert!(update.changes.is_empty());
    assert_eq!(update.digest, Some(origin.digest()));
    assert_eq!(replica_server.store.changes_since(origin.version(), 1000).digest, Some(origin.digest()));
    assert!(matches!(replica_server.step(&origin, 1000), Ok(Progress::Unchanged)));
}
