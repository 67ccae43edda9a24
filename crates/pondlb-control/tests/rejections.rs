//! Each reason for which a replica takes nothing of an answer.

mod common;

use common::{Follower, allow_all, answer, filled_store, key, remove, set, value};
use pondlb_control::{
    BucketResponse, Change, ChangesResponse, Digest, DigestsResponse, Key, KeyInterner, Limits, NewChange,
    PendingResponse, Progress, RecordValidator, Rejection, Replica, ReplicaRequest, ReplicaResponse,
    SnapshotResponse, Store, Version,
};

const WHOLE: usize = usize::MAX;
const RECORDS: u64 = 40;

/// A store with three changes that the follower has not taken, and that follower.
fn behind() -> (Store, Follower) {
    let mut store = filled_store(3, RECORDS);
    let mut follower = Follower::new();
    follower.catch_up(&store, WHOLE);
    store.commit(&[set(1, "1"), remove(2), set(RECORDS, "2")], &allow_all).unwrap();
    (store, follower)
}

/// A store, and a follower whose next call is for the digests.
fn repairing() -> (Store, Follower) {
    let (store, mut follower) = behind();
    let ReplicaResponse::Changes(mut wrong) = answer(&store, &follower.call(), WHOLE) else { unreachable!() };
    wrong.changes.remove(0);
    follower.receive(ReplicaResponse::Changes(wrong)).unwrap();
    assert_eq!(follower.call(), ReplicaRequest::Digests);
    (store, follower)
}

/// A store, and a follower whose next call is for the one bucket that differs.
fn reading_a_bucket() -> (Store, Follower) {
    let (store, mut follower) = repairing();
    follower.step(&store, WHOLE).unwrap();
    assert!(matches!(follower.call(), ReplicaRequest::Bucket(_)));
    (store, follower)
}

fn rejected(follower: &mut Follower, answer: ReplicaResponse) -> Rejection {
    let before = (follower.version, follower.records.clone());
    let rejection = follower.receive(answer).unwrap_err();
    assert_eq!(before, (follower.version, follower.records.clone()));
    rejection
}

/// What comes of the answer to the calls of `prepared` once it is changed. The follower must get in sync later.
fn rejected_changes(
    (store, mut follower): (Store, Follower),
    garble: impl FnOnce(&mut ChangesResponse),
) -> Rejection {
    let ReplicaResponse::Changes(mut wrong) = answer(&store, &follower.call(), WHOLE) else { unreachable!() };
    garble(&mut wrong);
    let rejection = rejected(&mut follower, ReplicaResponse::Changes(wrong));
    assert_recovers(store, follower);
    rejection
}

fn rejected_piece(
    (store, mut follower): (Store, Follower),
    garble: impl FnOnce(&mut SnapshotResponse),
) -> Rejection {
    let ReplicaResponse::Snapshot(mut wrong) = answer(&store, &follower.call(), 800) else { unreachable!() };
    garble(&mut wrong);
    let rejection = rejected(&mut follower, ReplicaResponse::Snapshot(wrong));
    assert_recovers(store, follower);
    rejection
}

fn rejected_digests(garble: impl FnOnce(&mut DigestsResponse)) -> Rejection {
    let (store, mut follower) = repairing();
    let mut wrong = store.bucket_digests();
    garble(&mut wrong);
    let rejection = rejected(&mut follower, ReplicaResponse::Digests(wrong));
    assert_recovers(store, follower);
    rejection
}

fn rejected_bucket(garble: impl FnOnce(&mut BucketResponse)) -> Rejection {
    let (store, mut follower) = reading_a_bucket();
    let ReplicaResponse::Bucket(mut wrong) = answer(&store, &follower.call(), WHOLE) else { unreachable!() };
    garble(&mut wrong);
    let rejection = rejected(&mut follower, ReplicaResponse::Bucket(wrong));
    assert_recovers(store, follower);
    rejection
}

fn assert_recovers(store: Store, mut follower: Follower) {
    follower.catch_up(&store, WHOLE);
    follower.assert_same_as(&store);
}

/// A store, and a follower that holds nothing.
fn new() -> (Store, Follower) {
    (filled_store(3, RECORDS), Follower::new())
}

/// A store, and a follower that has taken the first piece of its snapshot.
fn within_a_snapshot() -> (Store, Follower) {
    let (store, mut follower) = new();
    follower.step(&store, 800).unwrap();
    assert!(matches!(follower.call(), ReplicaRequest::Snapshot { after: Some(_) }));
    (store, follower)
}

/// A store, and a follower that has read all pieces and follows the changes since the first.
fn at_the_end_of_a_snapshot() -> (Store, Follower) {
    let (mut store, mut follower) = new();
    follower.step(&store, 800).unwrap();
    store.commit(&[set(1, "1"), remove(2), set(RECORDS, "2")], &allow_all).unwrap();
    while let ReplicaRequest::Snapshot { .. } = follower.call() {
        follower.step(&store, 800).unwrap();
    }
    (store, follower)
}

#[test]
fn an_answer_of_the_wrong_kind() {
    let states = [behind, repairing, reading_a_bucket, within_a_snapshot, at_the_end_of_a_snapshot];
    for state in states {
        let (store, mut follower) = state();
        let version = store.version();
        let answers = [
            ReplicaResponse::Changes(store.changes_since(version, WHOLE)),
            ReplicaResponse::Snapshot(store.snapshot_page(None, WHOLE)),
            ReplicaResponse::Digests(store.bucket_digests()),
            ReplicaResponse::Bucket(store.bucket_records(0).unwrap()),
        ];
        let call = follower.call();
        for answer in answers {
            let is_asked = matches!(
                (&call, &answer),
                (ReplicaRequest::Changes { .. }, ReplicaResponse::Changes(_))
                    | (ReplicaRequest::Snapshot { .. }, ReplicaResponse::Snapshot(_))
                    | (ReplicaRequest::Digests, ReplicaResponse::Digests(_))
                    | (ReplicaRequest::Bucket(_), ReplicaResponse::Bucket(_))
            );
            if !is_asked {
                assert_eq!(rejected(&mut follower, answer), Rejection::UnexpectedResponse);
                assert_eq!(follower.call(), call);
            }
        }
        assert_recovers(store, follower);
    }
}

#[test]
fn a_server_without_state() {
    let empty = Store::new(0, Limits::default());
    for state in [new, behind, within_a_snapshot, at_the_end_of_a_snapshot, repairing] {
        let (store, mut follower) = state();
        let answer = answer(&empty, &follower.call(), WHOLE);
        assert_eq!(rejected(&mut follower, answer), Rejection::ServerWithoutState);
        assert_recovers(store, follower);
    }
}

#[test]
fn an_older_epoch() {
    let older = filled_store(2, 2 * RECORDS);
    for state in [behind, within_a_snapshot, at_the_end_of_a_snapshot, repairing, reading_a_bucket] {
        let (store, mut follower) = state();
        let answer = answer(&older, &follower.call(), WHOLE);
        assert!(matches!(rejected(&mut follower, answer), Rejection::OlderEpoch { .. }));
        assert_recovers(store, follower);
    }
}

#[test]
fn an_older_revision() {
    let older = filled_store(3, RECORDS - 1);
    for state in [behind, within_a_snapshot, at_the_end_of_a_snapshot, repairing, reading_a_bucket] {
        let (store, mut follower) = state();
        let answer = answer(&older, &follower.call(), WHOLE);
        assert!(matches!(rejected(&mut follower, answer), Rejection::OlderRevision { .. }));
        assert_recovers(store, follower);
    }
}

#[test]
fn an_older_snapshot_than_what_is_in_force() {
    let older = filled_store(3, RECORDS - 1);
    let (store, mut follower) = behind();
    let ReplicaResponse::Changes(mut reset) = answer(&store, &follower.call(), WHOLE) else { unreachable!() };
    reset.reset = true;
    follower.receive(ReplicaResponse::Changes(reset)).unwrap();
    let answer = answer(&older, &follower.call(), WHOLE);
    assert!(matches!(rejected(&mut follower, answer), Rejection::OlderRevision { .. }));
    assert_recovers(store, follower);
}

#[test]
fn changes_that_end_before_the_newest_piece_of_the_snapshot() {
    let (mut store, mut follower) = new();
    follower.step(&store, 800).unwrap();
    let older = filled_store(3, RECORDS);
    store.commit(&[set(1, "1")], &allow_all).unwrap();
    while let ReplicaRequest::Snapshot { .. } = follower.call() {
        follower.step(&store, 800).unwrap();
    }
    let answer = answer(&older, &follower.call(), WHOLE);
    assert!(matches!(rejected(&mut follower, answer), Rejection::OlderRevision { .. }));
    assert_recovers(store, follower);
}

#[test]
fn changes_that_follow_on_another_revision() {
    for state in [behind, at_the_end_of_a_snapshot] {
        let rejection = rejected_changes(state(), |answer| answer.from_revision += 1);
        assert_eq!(rejection, Rejection::WrongBaseRevision { received: RECORDS + 1, requested: RECORDS });
    }
}

#[test]
fn revisions_out_of_order_or_range() {
    for state in [behind, at_the_end_of_a_snapshot] {
        let swapped = rejected_changes(state(), |answer| answer.changes.swap(0, 1));
        let doubled = rejected_changes(state(), |answer| answer.changes[1].revision -= 1);
        let held = rejected_changes(state(), |answer| answer.changes[0].revision = answer.from_revision);
        let future = rejected_changes(state(), |answer| answer.changes[2].revision += 1);
        for rejection in [swapped, doubled, held, future] {
            assert!(matches!(rejection, Rejection::InvalidRevision { .. }), "{rejection}");
        }
    }
    let future = rejected_piece(new(), |answer| answer.records[1].revision = RECORDS + 1);
    assert!(matches!(future, Rejection::InvalidRevision { .. }), "{future}");
    let future = rejected_bucket(|answer| answer.records[0].revision = answer.version.revision + 1);
    assert!(matches!(future, Rejection::InvalidRevision { .. }), "{future}");
}

#[test]
fn a_key_changed_twice() {
    for state in [behind, at_the_end_of_a_snapshot] {
        let rejection = rejected_changes(state(), |answer| answer.changes[2].key = key(1));
        assert_eq!(rejection, Rejection::DuplicateKey(key(1)));
    }
}

/// How many changes come in one answer, in slices of `SLICE` and some left over.
const MANY: u64 = 200;
const SLICE: usize = 64;

/// A store with many changes that the follower has not taken, and that follower.
fn far_behind() -> (Store, Follower) {
    let mut store = filled_store(3, RECORDS);
    let mut follower = Follower::new();
    follower.catch_up(&store, WHOLE);
    let changes: Vec<NewChange> = (0..MANY).map(|number| set(number, "\"new\"")).collect();
    store.commit(&changes, &allow_all).unwrap();
    (store, follower)
}

fn refuse_last(checked: &Key, _: Option<&str>) -> Result<(), String> {
    if *checked == key(MANY - 1) { Err("the last one".into()) } else { Ok(()) }
}

/// Takes an answer after its records were checked in slices.
fn receive_in_slices(
    follower: &mut Follower,
    answer: ReplicaResponse,
    check: &RecordValidator<'_>,
) -> Result<Progress, Rejection> {
    let mut pending = PendingResponse::new(answer);
    let mut slices = 0;
    while !pending.is_validated() {
        follower.replica.validate_batch(&mut pending, check, SLICE);
        slices += 1;
    }
    assert_eq!(slices, (MANY as usize).div_ceil(SLICE));
    follower.replica.receive_validated(pending, check)
}

#[test]
fn a_fault_in_the_last_slice_leaves_nothing_taken() {
    let last = MANY as usize - 1;
    let garbles: [fn(&mut ChangesResponse, usize); 4] = [
        |_, _| {},
        |answer, last| answer.changes[last].value = Some(value("null")),
        |answer, last| answer.changes[last].key = key(1),
        |answer, last| answer.changes[last].revision = 1,
    ];
    for (number, garble) in garbles.into_iter().enumerate() {
        let (store, mut follower) = far_behind();
        let before = (follower.replica.version(), follower.replica.digest(), follower.replica.len());
        let ReplicaResponse::Changes(mut wrong) = answer(&store, &follower.call(), WHOLE) else {
            unreachable!()
        };
        garble(&mut wrong, last);
        let check: &RecordValidator<'_> = if number == 0 { &refuse_last } else { &allow_all };
        let rejection = receive_in_slices(&mut follower, ReplicaResponse::Changes(wrong), check).unwrap_err();
        let is_expected = match number {
            0 => matches!(rejection, Rejection::InvalidRecord { .. }),
            1 => rejection == Rejection::MissingValue(key(MANY - 1)),
            2 => rejection == Rejection::DuplicateKey(key(1)),
            _ => matches!(rejection, Rejection::InvalidRevision { .. }),
        };
        assert!(is_expected, "{number}: {rejection}");
        assert_eq!(before, (follower.replica.version(), follower.replica.digest(), follower.replica.len()));
        assert_recovers(store, follower);
    }
}

#[test]
fn what_is_checked_in_slices_is_taken_as_a_whole() {
    let (store, mut follower) = far_behind();
    let answer = answer(&store, &follower.call(), WHOLE);
    let progress = receive_in_slices(&mut follower, answer, &allow_all).unwrap();
    let Progress::Applied(update) = progress else { panic!("{progress:?}") };
    assert_eq!((update.changes.len(), update.digest), (MANY as usize, Some(store.digest())));
    assert_eq!(follower.replica.digest(), store.digest());
}

#[test]
fn a_piece_without_changes() {
    for state in [behind, at_the_end_of_a_snapshot] {
        let rejection = rejected_changes(state(), |answer| {
            answer.has_more = true;
            answer.changes.clear();
        });
        assert_eq!(rejection, Rejection::EmptyPage);
    }
}

#[test]
fn keys_that_do_not_ascend() {
    let rejection = rejected_piece(new(), |answer| answer.records.swap(0, 1));
    assert!(matches!(rejection, Rejection::KeyOutOfOrder(_)));
    let rejection = rejected_piece(new(), |answer| answer.records[1] = answer.records[0].clone());
    assert!(matches!(rejection, Rejection::KeyOutOfOrder(_)));
    let (store, _) = new();
    let first = store.snapshot_page(None, 800);
    let rejection = rejected_piece(within_a_snapshot(), |answer| *answer = first);
    assert!(matches!(rejection, Rejection::KeyOutOfOrder(_)));
    let rejection = rejected_bucket(|answer| {
        let record = answer.records[0].clone();
        answer.records.push(record);
    });
    assert!(matches!(rejection, Rejection::KeyOutOfOrder(_)));
}

#[test]
fn a_next_key_that_is_not_the_last() {
    let rejection = rejected_piece(new(), |answer| answer.next_after = Some(key(RECORDS)));
    assert_eq!(rejection, Rejection::WrongNextKey(key(RECORDS)));
    let rejection = rejected_piece(within_a_snapshot(), |answer| answer.records.clear());
    assert!(matches!(rejection, Rejection::WrongNextKey(_)));
}

#[test]
fn records_without_value() {
    let rejection = rejected_piece(new(), |answer| answer.records[0].value = None);
    assert!(matches!(rejection, Rejection::MissingValue(_)));
    let rejection = rejected_bucket(|answer| answer.records[0].value = None);
    assert!(matches!(rejection, Rejection::MissingValue(_)));
    let rejection = rejected_changes(behind(), |answer| answer.changes[0].value = Some(value("null")));
    assert_eq!(rejection, Rejection::MissingValue(key(1)));
}

#[test]
fn a_value_that_is_too_long() {
    let long = value(&format!("\"{}\"", "x".repeat(Limits::default().max_value_bytes)));
    let rejection = rejected_changes(behind(), |answer| answer.changes[0].value = Some(long.clone()));
    assert!(matches!(rejection, Rejection::ValueTooLong { .. }));
    let rejection = rejected_piece(new(), |answer| answer.records[0].value = Some(long.clone()));
    assert!(matches!(rejection, Rejection::ValueTooLong { .. }));
    let rejection = rejected_bucket(|answer| answer.records[0].value = Some(long));
    assert!(matches!(rejection, Rejection::ValueTooLong { .. }));
}

#[test]
fn a_change_that_the_checker_refuses() {
    let refuse_removal = |key: &Key, text: Option<&str>| match text {
        Some(_) => Ok(()),
        None => Err(format!("{key} is needed")),
    };
    let (store, mut follower) = behind();
    let answer_to = |follower: &Follower| answer(&store, &follower.call(), WHOLE);
    let expected = Rejection::InvalidRecord { key: key(2), reason: format!("{} is needed", key(2)) };
    let rejection = follower.replica.receive(answer_to(&follower), &refuse_removal).unwrap_err();
    assert_eq!(rejection, expected);

    let ReplicaResponse::Changes(mut reset) = answer_to(&follower) else { unreachable!() };
    reset.reset = true;
    follower.receive(ReplicaResponse::Changes(reset)).unwrap();
    follower.replica.receive(answer_to(&follower), &refuse_removal).unwrap();
    let rejection = follower.replica.receive(answer_to(&follower), &refuse_removal).unwrap_err();
    assert_eq!(rejection, expected, "at the end of a snapshot that does not hold it");
    assert_recovers(store, follower);
}

#[test]
fn values_in_force_are_not_checked_again() {
    let (store, mut follower) = behind();
    let ReplicaResponse::Changes(mut reset) = answer(&store, &follower.call(), WHOLE) else { unreachable!() };
    reset.reset = true;
    follower.receive(ReplicaResponse::Changes(reset)).unwrap();
    let checked = std::cell::RefCell::new(Vec::new());
    let note = |key: &Key, _: Option<&str>| {
        checked.borrow_mut().push(key.clone());
        Ok(())
    };
    loop {
        let answer = answer(&store, &follower.call(), WHOLE);
        if let Progress::Applied(update) = follower.replica.receive(answer, &note).unwrap() {
            assert_eq!(update.changes.len(), 3);
            break;
        }
    }
    let mut checked = checked.into_inner();
    checked.sort();
    let mut changed = [key(1), key(2), key(RECORDS)];
    changed.sort();
    assert_eq!(checked, changed);
}

#[test]
fn too_many_records() {
    let limits = Limits { max_records: RECORDS as usize, ..Limits::default() };
    let small = || Follower::with_replica(Replica::new(limits, KeyInterner::default()));
    let (store, mut follower) = (filled_store(3, RECORDS + 1), small());
    follower.step(&store, WHOLE).unwrap();
    let answer_to = |follower: &Follower| answer(&store, &follower.call(), WHOLE);
    let answer = answer_to(&follower);
    let expected = Rejection::TooManyRecords { records: RECORDS as usize + 1, max: RECORDS as usize };
    assert_eq!(rejected(&mut follower, answer), expected);

    let mut follower = small();
    follower.catch_up(&filled_store(3, RECORDS), WHOLE);
    let answer = answer_to(&follower);
    assert_eq!(rejected(&mut follower, answer), expected);

    let endless = filled_store(3, 2 * RECORDS + 1);
    let piece = ReplicaResponse::Snapshot(endless.snapshot_page(None, WHOLE));
    assert!(matches!(rejected(&mut small(), piece), Rejection::TooManyRecords { .. }));
}

#[test]
fn records_that_are_removed_further_on_may_exceed_the_limit_until_then() {
    let limits = Limits { max_records: RECORDS as usize, ..Limits::default() };
    let mut store = filled_store(3, RECORDS);
    let mut follower = Follower::with_replica(Replica::new(limits, KeyInterner::default()));
    follower.catch_up(&store, WHOLE);
    store.commit(&[remove(0), set(RECORDS, "0"), remove(0)], &allow_all).unwrap();
    assert!(matches!(follower.step(&store, 1), Ok(Progress::Applied(_))));
    assert_eq!(follower.replica.len(), RECORDS as usize + 1);
    follower.catch_up(&store, 1);
    follower.assert_same_as(&store);
}

#[test]
fn too_many_bytes_of_a_snapshot() {
    let store = filled_store(3, RECORDS);
    let limits = Limits { max_total_bytes: store.total_bytes() - 1, ..Limits::default() };
    let mut follower = Follower::with_replica(Replica::new(limits, KeyInterner::default()));
    follower.step(&store, WHOLE).unwrap();
    let answer = answer(&store, &follower.call(), WHOLE);
    let expected = Rejection::TooManyBytes { bytes: store.total_bytes(), max: store.total_bytes() - 1 };
    assert_eq!(rejected(&mut follower, answer), expected);
}

#[test]
fn a_wrong_number_of_bucket_digests() {
    assert_eq!(rejected_digests(|answer| answer.buckets.clear()), Rejection::WrongBucketCount(0));
    let rejection = rejected_digests(|answer| answer.buckets.push(Digest(0)));
    assert_eq!(rejection, Rejection::WrongBucketCount(513));
}

#[test]
fn bucket_digests_of_another_state() {
    let rejection = rejected_digests(|answer| answer.buckets[0].0 ^= 1);
    assert!(matches!(rejection, Rejection::DigestMismatch { .. }));
}

#[test]
fn another_bucket_than_was_asked_for() {
    for bucket in [1000, usize::MAX] {
        let rejection = rejected_bucket(|answer| answer.bucket = bucket);
        assert!(matches!(rejection, Rejection::WrongBucket { received, .. } if received == bucket));
    }
}

#[test]
fn a_record_of_another_bucket() {
    let store = filled_store(3, RECORDS);
    let rejection = rejected_bucket(|answer| {
        let others = store.snapshot_page(None, WHOLE).records;
        let last = answer.records.last().unwrap().key.clone();
        answer.records.extend(others.into_iter().find(|record| record.key > last));
    });
    assert!(matches!(rejection, Rejection::RecordInWrongBucket { .. }), "{rejection}");
}

#[test]
fn a_bucket_with_another_digest() {
    let rejection = rejected_bucket(|answer| answer.records.clear());
    assert!(matches!(rejection, Rejection::DigestMismatch { .. }));
    let rejection = rejected_bucket(|answer| answer.records[0].value = Some(value("-1")));
    assert!(matches!(rejection, Rejection::DigestMismatch { .. }));
}

#[test]
fn a_snapshot_with_another_digest_begins_again() {
    let (store, mut follower) = at_the_end_of_a_snapshot();
    let ReplicaResponse::Changes(mut wrong) = answer(&store, &follower.call(), WHOLE) else { unreachable!() };
    wrong.digest.as_mut().unwrap().0 ^= 1;
    let rejection = rejected(&mut follower, ReplicaResponse::Changes(wrong));
    assert!(matches!(rejection, Rejection::DigestMismatch { .. }));
    assert_eq!(follower.call(), ReplicaRequest::Snapshot { after: None });
    assert_recovers(store, follower);
}

#[test]
fn a_final_answer_without_digest_is_no_proof() {
    let (store, mut follower) = at_the_end_of_a_snapshot();
    let ReplicaResponse::Changes(mut unproven) = answer(&store, &follower.call(), WHOLE) else {
        unreachable!()
    };
    unproven.digest = None;
    assert!(matches!(follower.receive(ReplicaResponse::Changes(unproven)), Ok(Progress::Pending)));
    assert!(follower.replica.is_empty());
    assert_recovers(store, follower);
}

#[test]
fn a_revision_without_changes_is_taken() {
    let (store, mut follower) = behind();
    follower.catch_up(&store, WHOLE);
    let ReplicaResponse::Changes(mut later) = answer(&store, &follower.call(), WHOLE) else { unreachable!() };
    later.version = Version { revision: later.version.revision + 1, ..later.version };
    assert!(
        matches!(follower.receive(ReplicaResponse::Changes(later)), Ok(Progress::Applied(update)) if update.changes.is_empty())
    );
}

#[test]
fn removing_what_is_not_held_changes_nothing() {
    let (mut store, mut follower) = behind();
    follower.catch_up(&store, WHOLE);
    store.commit(&[set(500, "1"), remove(500)], &allow_all).unwrap();
    let Ok(Progress::Applied(update)) = follower.step(&store, WHOLE) else { panic!("not applied") };
    assert!(matches!(&update.changes[..], [Change { value: None, .. }]));
    follower.assert_same_as(&store);
}
