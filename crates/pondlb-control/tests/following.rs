//! A replica follows a store: snapshot, changes in pieces, epochs.

mod common;

use common::{Follower, allow_all, answer, filled_store, remove, set};
use pondlb_control::{Progress, ReplicaRequest, ReplicaResponse};

#[test]
fn takes_a_snapshot_and_follows_changes() {
    let mut store = filled_store(1, 100);
    let mut follower = Follower::new();
    assert_eq!(follower.call(), ReplicaRequest::Snapshot { after: None });
    follower.catch_up(&store, 500);
    follower.assert_same_as(&store);
    store.commit(&[set(3, "{\"a\": [1.0, \"b c\"]}"), remove(4), set(200, "true")], &allow_all).unwrap();
    follower.catch_up(&store, 500);
    follower.assert_same_as(&store);
    assert_eq!(follower.records[&common::key(3)], "{\"a\":[1.0,\"b c\"]}");
    assert!(matches!(follower.step(&store, 500), Ok(Progress::Unchanged)));
}

#[test]
fn changes_between_the_pieces_of_a_snapshot_are_in_it() {
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
fn a_newer_epoch_replaces_the_state_by_its_difference() {
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
fn a_digest_that_comes_later_completes_the_state_for_those_behind() {
    let mut origin = filled_store(1, 20);
    let mut replica_server = Follower::new();
    replica_server.catch_up(&origin, 1000);
    origin.commit(&[set(3, "0")], &allow_all).unwrap();
    let ReplicaResponse::Changes(mut unproven) = answer(&origin, &replica_server.call(), 1000) else {
        unreachable!()
    };
    unproven.digest = None;
    assert!(matches!(replica_server.receive(ReplicaResponse::Changes(unproven)), Ok(Progress::Applied(_))));
    assert!(replica_server.store.changes_since(origin.version(), 1000).digest.is_none());
    let Ok(Progress::Applied(update)) = replica_server.step(&origin, 1000) else { panic!("not applied") };
    assert!(update.changes.is_empty());
    assert_eq!(update.digest, Some(origin.digest()));
    assert_eq!(replica_server.store.changes_since(origin.version(), 1000).digest, Some(origin.digest()));
    assert!(matches!(replica_server.step(&origin, 1000), Ok(Progress::Unchanged)));
}
