//! Planted faults are noticed and repaired within a bounded number of calls.

mod common;

use common::{Follower, HOLD, allow_all, answer, filled_store, key, remove, set, value};
use pondlb_control::{
    BUCKET_COUNT, ChangesResponse, Progress, Rejection, ReplicaRequest, ReplicaResponse, Store, Update,
};

const RECORDS: u64 = 4000;
const WHOLE: usize = usize::MAX;

fn changes(answer: ReplicaResponse) -> ChangesResponse {
    match answer {
        ReplicaResponse::Changes(answer) => answer,
        other => panic!("{other:?} instead of changes"),
    }
}

/// What the repair of a replica took.
struct Repaired {
    update: Update,
    calls: usize,
    buckets: usize,
    records: usize,
}

/// Answers the replica's calls until it has repaired itself.
fn repair(follower: &mut Follower, store: &Store) -> Repaired {
    let mut buckets = 0;
    let mut records = 0;
    for calls in 1..20 {
        let answer = answer(store, &follower.call(), WHOLE);
        if let ReplicaResponse::Bucket(bucket) = &answer {
            buckets += 1;
            records += bucket.records.len();
        }
        if let Progress::Applied(update) = follower.receive(answer).unwrap() {
            return Repaired { update, calls, buckets, records };
        }
    }
    panic!("not repaired");
}

fn most_records_of_a_bucket(store: &Store) -> usize {
    (0..BUCKET_COUNT).map(|bucket| store.bucket_records(bucket).unwrap().records.len()).max().unwrap()
}

/// A follower in sync, and a store that has since made three changes.
fn three_changes_behind() -> (Store, Follower) {
    let mut store = filled_store(1, RECORDS);
    let mut follower = Follower::new();
    follower.catch_up(&store, WHOLE);
    store.commit(&[set(10, "1"), remove(20), set(RECORDS, "2")], &allow_all).unwrap();
    (store, follower)
}

fn assert_repairs_one_record(store: &Store, follower: &mut Follower, name: &str) {
    assert!(!follower.replica.is_in_sync());
    let repaired = repair(follower, store);
    assert!(repaired.update.changes.iter().any(|change| change.key.name() == name));
    assert!(repaired.update.changes.len() <= 3, "{:?}", repaired.update.changes);
    assert!(!repaired.update.is_whole_state);
    assert_eq!(repaired.calls, 1 + repaired.buckets);
    assert!(repaired.buckets <= 2, "{} buckets", repaired.buckets);
    assert!(repaired.records <= 2 * most_records_of_a_bucket(store));
    follower.assert_same_as(store);
}

#[test]
fn a_change_dropped_on_the_way_is_repaired() {
    for dropped in 0..3 {
        let (store, mut follower) = three_changes_behind();
        let mut answer = changes(answer(&store, &follower.call(), WHOLE));
        let name = answer.changes.remove(dropped).key;
        let before = follower.records.clone();
        assert!(matches!(follower.receive(ReplicaResponse::Changes(answer)), Ok(Progress::Pending)));
        assert_eq!(follower.records, before, "nothing is put in force before the repair");
        assert_repairs_one_record(&store, &mut follower, name.name());
    }
}

#[test]
fn a_bit_flipped_in_a_value_is_repaired() {
    let (store, mut follower) = three_changes_behind();
    let mut answer = changes(answer(&store, &follower.call(), WHOLE));
    answer.changes[0].value = Some(value("0"));
    assert!(matches!(follower.receive(ReplicaResponse::Changes(answer)), Ok(Progress::Pending)));
    assert_repairs_one_record(&store, &mut follower, key(10).name());
}

#[test]
fn a_bit_flipped_in_a_piece_that_is_not_the_last_is_repaired() {
    let (store, mut follower) = three_changes_behind();
    let mut piece = changes(answer(&store, &follower.call(), 1));
    assert!(piece.has_more && piece.changes.len() == 1);
    piece.changes[0].value = Some(value("0"));
    assert!(matches!(follower.receive(ReplicaResponse::Changes(piece)), Ok(Progress::Applied(_))));
    assert_eq!(follower.records[&key(10)], "0");
    assert!(matches!(follower.step(&store, WHOLE), Ok(Progress::Pending)));
    assert_repairs_one_record(&store, &mut follower, key(10).name());
}

#[test]
fn a_change_out_of_order_is_rejected_and_asked_for_again() {
    let (store, mut follower) = three_changes_behind();
    let mut answer = changes(answer(&store, &follower.call(), WHOLE));
    answer.changes.swap(0, 1);
    let rejection = follower.receive(ReplicaResponse::Changes(answer)).unwrap_err();
    assert!(matches!(rejection, Rejection::InvalidRevision { .. }));
    assert!(matches!(follower.step(&store, WHOLE), Ok(Progress::Applied(_))));
    follower.assert_same_as(&store);
}

#[test]
fn a_wrong_digest_alone_leads_back_to_following() {
    let (store, mut follower) = three_changes_behind();
    let mut answer = changes(answer(&store, &follower.call(), WHOLE));
    answer.digest.as_mut().unwrap().0 ^= 1;
    assert!(matches!(follower.receive(ReplicaResponse::Changes(answer)), Ok(Progress::Pending)));
    assert!(matches!(follower.step(&store, WHOLE), Err(Rejection::DigestMismatch { .. })));
    assert!(matches!(follower.step(&store, WHOLE), Ok(Progress::Applied(_))));
    follower.assert_same_as(&store);
}

#[test]
fn a_repair_begins_again_where_the_server_goes_on() {
    let (mut store, mut follower) = three_changes_behind();
    let mut answer = changes(answer(&store, &follower.call(), WHOLE));
    answer.changes.remove(1);
    follower.receive(ReplicaResponse::Changes(answer)).unwrap();
    store.commit(&[set(30, "3")], &allow_all).unwrap();
    assert!(matches!(follower.step(&store, WHOLE), Ok(Progress::Pending)));
    assert!(matches!(follower.call(), ReplicaRequest::Changes { .. }));
    follower.catch_up(&store, WHOLE);
    follower.assert_same_as(&store);
}

/// Has the replica begin a repair, and the server go on before it ends.
fn fail_a_repair(follower: &mut Follower, store: &mut Store) -> Result<Progress, Rejection> {
    let mut wrong = changes(answer(store, &follower.call(), WHOLE));
    wrong.digest.as_mut().unwrap().0 ^= 1;
    follower.receive(ReplicaResponse::Changes(wrong)).unwrap();
    store.commit(&[set(1, "1")], &allow_all).unwrap();
    follower.step(store, WHOLE)
}

#[test]
fn three_failed_repairs_lead_to_a_snapshot() {
    let (mut store, mut follower) = three_changes_behind();
    assert!(matches!(fail_a_repair(&mut follower, &mut store), Ok(Progress::Pending)));
    assert!(matches!(fail_a_repair(&mut follower, &mut store), Ok(Progress::Pending)));
    let third = fail_a_repair(&mut follower, &mut store);
    assert_eq!(third.unwrap_err(), Rejection::RepairsFailed(3));
    assert_eq!(follower.call(), ReplicaRequest::Snapshot { after: None });
    follower.replica.reset_for_new_server();
    assert_eq!(follower.call(), ReplicaRequest::Snapshot { after: None });
    follower.catch_up(&store, WHOLE);
    follower.assert_same_as(&store);
}

#[test]
fn repairs_broken_off_by_a_restart_count_as_failed() {
    let (store, mut follower) = three_changes_behind();
    for _ in 0..3 {
        let mut wrong = changes(answer(&store, &follower.call(), WHOLE));
        wrong.changes.clear();
        follower.receive(ReplicaResponse::Changes(wrong)).unwrap();
        assert_eq!(follower.call(), ReplicaRequest::Digests);
        follower.replica.reset_for_new_server();
    }
    assert_eq!(follower.call(), ReplicaRequest::Snapshot { after: None });
}

#[test]
fn a_right_digest_ends_the_count_of_failed_repairs() {
    let (mut store, mut follower) = three_changes_behind();
    for _ in 0..2 {
        fail_a_repair(&mut follower, &mut store).unwrap();
    }
    follower.catch_up(&store, WHOLE);
    fail_a_repair(&mut follower, &mut store).unwrap();
    assert!(matches!(follower.call(), ReplicaRequest::Changes { .. }));
}

#[test]
fn a_replica_servers_repair_reaches_those_behind_it() {
    let (store, mut replica_server) = three_changes_behind();
    let mut balancer = Follower::new();
    balancer.catch_up(&replica_server.store, WHOLE);
    let mut piece = changes(answer(&store, &replica_server.call(), 1));
    piece.changes[0].value = Some(value("0"));
    replica_server.receive(ReplicaResponse::Changes(piece)).unwrap();
    balancer.step(&replica_server.store, WHOLE).unwrap();
    assert_eq!(balancer.records[&key(10)], "0");
    replica_server.catch_up(&store, WHOLE);
    balancer.step(&replica_server.store, WHOLE).unwrap();
    assert_repairs_one_record(&replica_server.store, &mut balancer, key(10).name());
    balancer.assert_same_as(&store);
}

#[test]
fn a_repair_of_a_whole_bucket_takes_its_removals_too() {
    let (store, mut follower) = three_changes_behind();
    let mut wrong = changes(answer(&store, &follower.call(), WHOLE));
    wrong.changes.retain(|change| change.value.is_some());
    follower.receive(ReplicaResponse::Changes(wrong)).unwrap();
    let repaired = repair(&mut follower, &store);
    let removed: Vec<&str> = repaired
        .update
        .changes
        .iter()
        .filter(|change| change.value.is_none())
        .map(|change| change.key.name())
        .collect();
    assert_eq!(removed, [key(20).name()]);
    assert!(matches!(follower.replica.next_request(HOLD), ReplicaRequest::Changes { .. }));
    follower.assert_same_as(&store);
}
