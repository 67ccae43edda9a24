//! Whole states: staged, interrupted, and taken all or nothing.

mod common;

use common::{Follower, allow_all, filled_store, remove, set};
use pondlb_control::{Limits, LongPoll, NewChange, Progress, Rejection, ReplicaRequest, Store};

const PIECE: usize = 1000;

fn beginning() -> ReplicaRequest {
    ReplicaRequest::Snapshot { after: None }
}

/// Goes on until the changes since the first piece are to be asked for.
fn read_all_pieces(follower: &mut Follower, store: &Store) {
    while let ReplicaRequest::Snapshot { .. } = follower.call() {
        follower.step(store, PIECE).unwrap();
    }
}

/// A follower with a snapshot of epoch 1, and its next one of epoch 2 begun.
fn within_a_second_snapshot() -> (Store, Follower) {
    let mut follower = Follower::new();
    follower.catch_up(&filled_store(1, 60), PIECE);
    let store = filled_store(2, 100);
    follower.step(&store, PIECE).unwrap();
    follower.step(&store, PIECE).unwrap();
    assert!(matches!(follower.call(), ReplicaRequest::Snapshot { after: Some(_) }));
    (store, follower)
}

#[test]
fn what_was_in_force_stays_until_all_is_there() {
    let (store, mut follower) = within_a_second_snapshot();
    let before = (follower.replica.digest(), follower.records.clone());
    while let Progress::Pending = follower.step(&store, PIECE).unwrap() {
        assert_eq!(before, (follower.replica.digest(), follower.records.clone()));
        assert_eq!((follower.replica.version().epoch, follower.replica.len()), (1, 60));
    }
    follower.assert_same_as(&store);
}

#[test]
fn an_epoch_change_between_pieces_starts_over() {
    let (_, mut follower) = within_a_second_snapshot();
    let newer = filled_store(3, 80);
    assert!(matches!(follower.step(&newer, PIECE), Ok(Progress::Pending)));
    assert_eq!(follower.call(), beginning());
    follower.catch_up(&newer, PIECE);
    follower.assert_same_as(&newer);
}

#[test]
fn an_epoch_change_behind_the_last_piece_starts_over() {
    let (store, mut follower) = within_a_second_snapshot();
    read_all_pieces(&mut follower, &store);
    let newer = filled_store(3, 80);
    assert!(matches!(follower.step(&newer, PIECE), Ok(Progress::Pending)));
    assert_eq!(follower.call(), beginning());
    follower.catch_up(&newer, PIECE);
    follower.assert_same_as(&newer);
}

#[test]
fn a_restart_starts_over() {
    let (store, mut follower) = within_a_second_snapshot();
    follower.replica.reset_for_new_server();
    assert_eq!(follower.call(), beginning());
    assert_eq!(follower.replica.len(), 60);
    follower.catch_up(&store, PIECE);
    follower.assert_same_as(&store);
}

#[test]
fn a_server_that_keeps_interrupting_is_given_up() {
    let (_, mut follower) = within_a_second_snapshot();
    let mut interruptions = 0;
    for epoch in 3.. {
        let store = filled_store(epoch, 100);
        match follower.step(&store, PIECE) {
            Ok(_) => interruptions += 1,
            Err(rejection) => {
                assert_eq!(rejection, Rejection::SnapshotsInterrupted(3));
                break;
            }
        }
        follower.step(&store, PIECE).unwrap();
    }
    assert_eq!(interruptions, 2);
    assert_eq!(follower.call(), beginning());
}

#[test]
fn forgotten_tombstones_reset_a_staged_snapshot() {
    let mut store = Store::new(1, Limits { max_tombstones: 0, ..Limits::default() });
    let records: Vec<NewChange> = (0..50).map(|number| set(number, "1")).collect();
    store.commit(&records, &allow_all).unwrap();
    let mut follower = Follower::new();
    follower.step(&store, PIECE).unwrap();
    store.commit(&[remove(0)], &allow_all).unwrap();
    read_all_pieces(&mut follower, &store);
    assert!(matches!(follower.step(&store, PIECE), Ok(Progress::Pending)));
    assert_eq!(follower.call(), beginning());
    follower.catch_up(&store, PIECE);
    follower.assert_same_as(&store);
}

#[test]
fn a_staged_state_is_not_told_as_in_force() {
    let (store, mut follower) = within_a_second_snapshot();
    read_all_pieces(&mut follower, &store);
    let in_force = follower.replica.digest();
    assert_eq!(
        follower.call(),
        ReplicaRequest::Changes { from: store.version(), digest: in_force, hold: LongPoll::No }
    );
}

#[test]
fn an_empty_origin_is_a_state_too() {
    let store = Store::new(4, Limits::default());
    let mut follower = Follower::new();
    follower.catch_up(&store, PIECE);
    follower.assert_same_as(&store);
    assert!(follower.replica.is_empty());
}

#[test]
fn a_followers_own_store_resets_callers_from_before_its_whole_state() {
    let mut origin = filled_store(1, 30);
    let mut replica_server = Follower::new();
    let mut balancer = Follower::new();
    replica_server.catch_up(&origin, PIECE);
    balancer.catch_up(&replica_server.store, PIECE);
    assert_eq!(balancer.tally.whole_states, 1);
    origin.commit(&[remove(3)], &allow_all).unwrap();
    replica_server.catch_up(&origin, PIECE);
    balancer.catch_up(&replica_server.store, PIECE);
    assert_eq!(balancer.tally.whole_states, 1);

    let newer = filled_store(2, 10);
    replica_server.catch_up(&newer, PIECE);
    balancer.catch_up(&replica_server.store, PIECE);
    balancer.assert_same_as(&newer);
    assert_eq!(balancer.tally.whole_states, 2);
}
