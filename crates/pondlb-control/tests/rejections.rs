//! Each reason for which a replica rejects a response. A rejected response changes nothing, and the replica recovers.

mod common;

use common::{Follower, allow_all, changes_response, filled_store, key, remove, respond, set, value};
use pondlb_control::{
    BucketResponse, Change, ChangesResponse, Digest, DigestsResponse, Key, KeyInterner, Limits, NewChange,
    PendingResponse, Progress, RecordValidator, Rejection, Replica, ReplicaRequest, ReplicaResponse,
    SnapshotResponse, Store, Version,
};

const UNLIMITED_BYTES: usize = usize::MAX;
const RECORD_COUNT: u64 = 40;

/// A store with three changes that the follower has not received, and that follower.
fn follower_behind() -> (Store, Follower) {
    let mut store = filled_store(3, RECORD_COUNT);
    let mut follower = Follower::new();
    follower.catch_up(&store, UNLIMITED_BYTES);
    store.commit(&[set(1, "1"), remove(2), set(RECORD_COUNT, "2")], &allow_all).unwrap();
    (store, follower)
}

/// A store, and a follower whose next request is for the bucket digests.
fn follower_repairing() -> (Store, Follower) {
    let (store, mut follower) = follower_behind();
    let mut corrupted = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    corrupted.changes.remove(0);
    follower.receive(ReplicaResponse::Changes(corrupted)).unwrap();
    assert_eq!(follower.next_request(), ReplicaRequest::Digests);
    (store, follower)
}

/// A store, and a follower whose next request is for the one bucket that differs.
fn follower_reading_bucket() -> (Store, Follower) {
    let (store, mut follower) = follower_repairing();
    follower.step(&store, UNLIMITED_BYTES).unwrap();
    assert!(matches!(follower.next_request(), ReplicaRequest::Bucket(_)));
    (store, follower)
}

/// The rejection of a response, which must leave the follower unchanged.
fn rejected(follower: &mut Follower, response: ReplicaResponse) -> Rejection {
    let before = (follower.version, follower.records.clone());
    let rejection = follower.receive(response).unwrap_err();
    assert_eq!(before, (follower.version, follower.records.clone()));
    rejection
}

/// The rejection of the corrupted response to the follower's next request. The follower must get in sync afterwards.
fn rejected_changes(
    (store, mut follower): (Store, Follower),
    corrupt: impl FnOnce(&mut ChangesResponse),
) -> Rejection {
    let mut corrupted = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    corrupt(&mut corrupted);
    let rejection = rejected(&mut follower, ReplicaResponse::Changes(corrupted));
    assert_recovers(store, follower);
    rejection
}

fn rejected_page(
    (store, mut follower): (Store, Follower),
    corrupt: impl FnOnce(&mut SnapshotResponse),
) -> Rejection {
    let ReplicaResponse::Snapshot(mut corrupted) = respond(&store, &follower.next_request(), 800) else {
        unreachable!()
    };
    corrupt(&mut corrupted);
    let rejection = rejected(&mut follower, ReplicaResponse::Snapshot(corrupted));
    assert_recovers(store, follower);
    rejection
}

fn rejected_digests(corrupt: impl FnOnce(&mut DigestsResponse)) -> Rejection {
    let (store, mut follower) = follower_repairing();
    let mut corrupted = store.bucket_digests();
    corrupt(&mut corrupted);
    let rejection = rejected(&mut follower, ReplicaResponse::Digests(corrupted));
    assert_recovers(store, follower);
    rejection
}

fn rejected_bucket(corrupt: impl FnOnce(&mut BucketResponse)) -> Rejection {
    let (store, mut follower) = follower_reading_bucket();
    let ReplicaResponse::Bucket(mut corrupted) = respond(&store, &follower.next_request(), UNLIMITED_BYTES)
    else {
        unreachable!()
    };
    corrupt(&mut corrupted);
    let rejection = rejected(&mut follower, ReplicaResponse::Bucket(corrupted));
    assert_recovers(store, follower);
    rejection
}

fn assert_recovers(store: Store, mut follower: Follower) {
    follower.catch_up(&store, UNLIMITED_BYTES);
    follower.assert_same_as(&store);
}

/// A store, and an empty follower.
fn new_follower() -> (Store, Follower) {
    (filled_store(3, RECORD_COUNT), Follower::new())
}

/// A store, and a follower that has read the first page of its snapshot.
fn follower_within_snapshot() -> (Store, Follower) {
    let (store, mut follower) = new_follower();
    follower.step(&store, 800).unwrap();
    assert!(matches!(follower.next_request(), ReplicaRequest::Snapshot { after: Some(_) }));
    (store, follower)
}

/// A store, and a follower that has read all pages and whose next request is for the changes since the first.
fn follower_after_last_page() -> (Store, Follower) {
    let (mut store, mut follower) = new_follower();
    follower.step(&store, 800).unwrap();
    store.commit(&[set(1, "1"), remove(2), set(RECORD_COUNT, "2")], &allow_all).unwrap();
    while let ReplicaRequest::Snapshot { .. } = follower.next_request() {
        follower.step(&store, 800).unwrap();
    }
    (store, follower)
}

#[test]
fn rejects_responses_to_other_requests() {
    let states = [
        follower_behind,
        follower_repairing,
        follower_reading_bucket,
        follower_within_snapshot,
        follower_after_last_page,
    ];
    for state in states {
        let (store, mut follower) = state();
        let version = store.version();
        let responses = [
            ReplicaResponse::Changes(store.changes_since(version, UNLIMITED_BYTES)),
            ReplicaResponse::Snapshot(store.snapshot_page(None, UNLIMITED_BYTES)),
            ReplicaResponse::Digests(store.bucket_digests()),
            ReplicaResponse::Bucket(store.bucket_records(0).unwrap()),
        ];
        let request = follower.next_request();
        for response in responses {
            let is_response_to_request = matches!(
                (&request, &response),
                (ReplicaRequest::Changes { .. }, ReplicaResponse::Changes(_))
                    | (ReplicaRequest::Snapshot { .. }, ReplicaResponse::Snapshot(_))
                    | (ReplicaRequest::Digests, ReplicaResponse::Digests(_))
                    | (ReplicaRequest::Bucket(_), ReplicaResponse::Bucket(_))
            );
            if !is_response_to_request {
                assert_eq!(rejected(&mut follower, response), Rejection::UnexpectedResponse);
                assert_eq!(follower.next_request(), request);
            }
        }
        assert_recovers(store, follower);
    }
}

#[test]
fn rejects_server_without_state() {
    let empty = Store::new(0, Limits::default());
    for state in [
        new_follower,
        follower_behind,
        follower_within_snapshot,
        follower_after_last_page,
        follower_repairing,
    ] {
        let (store, mut follower) = state();
        let response = respond(&empty, &follower.next_request(), UNLIMITED_BYTES);
        assert_eq!(rejected(&mut follower, response), Rejection::ServerWithoutState);
        assert_recovers(store, follower);
    }
}

#[test]
fn rejects_older_epoch() {
    let older = filled_store(2, 2 * RECORD_COUNT);
    for state in [
        follower_behind,
        follower_within_snapshot,
        follower_after_last_page,
        follower_repairing,
        follower_reading_bucket,
    ] {
        let (store, mut follower) = state();
        let response = respond(&older, &follower.next_request(), UNLIMITED_BYTES);
        assert!(matches!(rejected(&mut follower, response), Rejection::OlderEpoch { .. }));
        assert_recovers(store, follower);
    }
}

#[test]
fn rejects_older_revision() {
    let older = filled_store(3, RECORD_COUNT - 1);
    for state in [
        follower_behind,
        follower_within_snapshot,
        follower_after_last_page,
        follower_repairing,
        follower_reading_bucket,
    ] {
        let (store, mut follower) = state();
        let response = respond(&older, &follower.next_request(), UNLIMITED_BYTES);
        assert!(matches!(rejected(&mut follower, response), Rejection::OlderRevision { .. }));
        assert_recovers(store, follower);
    }
}

#[test]
fn rejects_snapshot_older_than_active_version() {
    let older = filled_store(3, RECORD_COUNT - 1);
    let (store, mut follower) = follower_behind();
    let mut reset = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    reset.reset = true;
    follower.receive(ReplicaResponse::Changes(reset)).unwrap();
    let response = respond(&older, &follower.next_request(), UNLIMITED_BYTES);
    assert!(matches!(rejected(&mut follower, response), Rejection::OlderRevision { .. }));
    assert_recovers(store, follower);
}

#[test]
fn rejects_changes_that_end_before_newest_snapshot_page() {
    let (mut store, mut follower) = new_follower();
    follower.step(&store, 800).unwrap();
    let older = filled_store(3, RECORD_COUNT);
    store.commit(&[set(1, "1")], &allow_all).unwrap();
    while let ReplicaRequest::Snapshot { .. } = follower.next_request() {
        follower.step(&store, 800).unwrap();
    }
    let response = respond(&older, &follower.next_request(), UNLIMITED_BYTES);
    assert!(matches!(rejected(&mut follower, response), Rejection::OlderRevision { .. }));
    assert_recovers(store, follower);
}

#[test]
fn rejects_changes_since_another_revision() {
    for state in [follower_behind, follower_after_last_page] {
        let rejection = rejected_changes(state(), |response| response.from_revision += 1);
        assert_eq!(
            rejection,
            Rejection::WrongBaseRevision { received: RECORD_COUNT + 1, requested: RECORD_COUNT }
        );
    }
}

#[test]
fn rejects_revisions_out_of_order_or_range() {
    for state in [follower_behind, follower_after_last_page] {
        let swapped = rejected_changes(state(), |response| response.changes.swap(0, 1));
        let repeated = rejected_changes(state(), |response| response.changes[1].revision -= 1);
        let already_applied =
            rejected_changes(state(), |response| response.changes[0].revision = response.from_revision);
        let future = rejected_changes(state(), |response| response.changes[2].revision += 1);
        for rejection in [swapped, repeated, already_applied, future] {
            assert!(matches!(rejection, Rejection::InvalidRevision { .. }), "{rejection}");
        }
    }
    let future = rejected_page(new_follower(), |response| response.records[1].revision = RECORD_COUNT + 1);
    assert!(matches!(future, Rejection::InvalidRevision { .. }), "{future}");
    let future = rejected_bucket(|response| response.records[0].revision = response.version.revision + 1);
    assert!(matches!(future, Rejection::InvalidRevision { .. }), "{future}");
}

#[test]
fn rejects_duplicate_keys() {
    for state in [follower_behind, follower_after_last_page] {
        let rejection = rejected_changes(state(), |response| response.changes[2].key = key(1));
        assert_eq!(rejection, Rejection::DuplicateKey(key(1)));
    }
}

/// The number of changes in a response that is validated in batches; not a multiple of [`BATCH_SIZE`].
const CHANGE_COUNT: u64 = 200;
const BATCH_SIZE: usize = 64;

/// A store with many changes that the follower has not received, and that follower.
fn follower_far_behind() -> (Store, Follower) {
    let mut store = filled_store(3, RECORD_COUNT);
    let mut follower = Follower::new();
    follower.catch_up(&store, UNLIMITED_BYTES);
    let changes: Vec<NewChange> = (0..CHANGE_COUNT).map(|number| set(number, "\"new\"")).collect();
    store.commit(&changes, &allow_all).unwrap();
    (store, follower)
}

fn reject_last_key(validated: &Key, _: Option<&str>) -> Result<(), String> {
    if *validated == key(CHANGE_COUNT - 1) { Err("the last one".into()) } else { Ok(()) }
}

/// Validates the records of a response in batches and then processes it.
fn receive_in_batches(
    follower: &mut Follower,
    response: ReplicaResponse,
    validate: &RecordValidator<'_>,
) -> Result<Progress, Rejection> {
    let mut pending = PendingResponse::new(response);
    let mut batches = 0;
    while !pending.is_validated() {
        follower.replica.validate_batch(&mut pending, validate, BATCH_SIZE);
        batches += 1;
    }
    assert_eq!(batches, (CHANGE_COUNT as usize).div_ceil(BATCH_SIZE));
    follower.replica.receive_validated(pending, validate)
}

#[test]
fn error_in_last_batch_rejects_whole_response() {
    let last = CHANGE_COUNT as usize - 1;
    let corruptions: [fn(&mut ChangesResponse, usize); 4] = [
        |_, _| {},
        |response, last| response.changes[last].value = Some(value("null")),
        |response, last| response.changes[last].key = key(1),
        |response, last| response.changes[last].revision = 1,
    ];
    for (number, corrupt) in corruptions.into_iter().enumerate() {
        let (store, mut follower) = follower_far_behind();
        let before = (follower.replica.version(), follower.replica.digest(), follower.replica.len());
        let mut corrupted = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
        corrupt(&mut corrupted, last);
        let validate: &RecordValidator<'_> = if number == 0 { &reject_last_key } else { &allow_all };
        let rejection =
            receive_in_batches(&mut follower, ReplicaResponse::Changes(corrupted), validate).unwrap_err();
        let is_expected = match number {
            0 => matches!(rejection, Rejection::InvalidRecord { .. }),
            1 => rejection == Rejection::MissingValue(key(CHANGE_COUNT - 1)),
            2 => rejection == Rejection::DuplicateKey(key(1)),
            _ => matches!(rejection, Rejection::InvalidRevision { .. }),
        };
        assert!(is_expected, "{number}: {rejection}");
        assert_eq!(before, (follower.replica.version(), follower.replica.digest(), follower.replica.len()));
        assert_recovers(store, follower);
    }
}

#[test]
fn response_validated_in_batches_is_applied_as_a_whole() {
    let (store, mut follower) = follower_far_behind();
    let response = respond(&store, &follower.next_request(), UNLIMITED_BYTES);
    let progress = receive_in_batches(&mut follower, response, &allow_all).unwrap();
    let Progress::Applied(update) = progress else { panic!("{progress:?}") };
    assert_eq!((update.changes.len(), update.digest), (CHANGE_COUNT as usize, Some(store.digest())));
    assert_eq!(follower.replica.digest(), store.digest());
}

#[test]
fn rejects_empty_page_with_more_announced() {
    for state in [follower_behind, follower_after_last_page] {
        let rejection = rejected_changes(state(), |response| {
            response.has_more = true;
            response.changes.clear();
        });
        assert_eq!(rejection, Rejection::EmptyPage);
    }
}

#[test]
fn rejects_keys_out_of_order() {
    let rejection = rejected_page(new_follower(), |response| response.records.swap(0, 1));
    assert!(matches!(rejection, Rejection::KeyOutOfOrder(_)));
    let rejection =
        rejected_page(new_follower(), |response| response.records[1] = response.records[0].clone());
    assert!(matches!(rejection, Rejection::KeyOutOfOrder(_)));
    let (store, _) = new_follower();
    let first = store.snapshot_page(None, 800);
    let rejection = rejected_page(follower_within_snapshot(), |response| *response = first);
    assert!(matches!(rejection, Rejection::KeyOutOfOrder(_)));
    let rejection = rejected_bucket(|response| {
        let record = response.records[0].clone();
        response.records.push(record);
    });
    assert!(matches!(rejection, Rejection::KeyOutOfOrder(_)));
}

#[test]
fn rejects_wrong_next_key() {
    let rejection = rejected_page(new_follower(), |response| response.next_after = Some(key(RECORD_COUNT)));
    assert_eq!(rejection, Rejection::WrongNextKey(key(RECORD_COUNT)));
    let rejection = rejected_page(follower_within_snapshot(), |response| response.records.clear());
    assert!(matches!(rejection, Rejection::WrongNextKey(_)));
}

#[test]
fn rejects_records_without_value() {
    let rejection = rejected_page(new_follower(), |response| response.records[0].value = None);
    assert!(matches!(rejection, Rejection::MissingValue(_)));
    let rejection = rejected_bucket(|response| response.records[0].value = None);
    assert!(matches!(rejection, Rejection::MissingValue(_)));
    let rejection =
        rejected_changes(follower_behind(), |response| response.changes[0].value = Some(value("null")));
    assert_eq!(rejection, Rejection::MissingValue(key(1)));
}

#[test]
fn rejects_too_long_values() {
    let long = value(&format!("\"{}\"", "x".repeat(Limits::default().max_value_bytes)));
    let rejection =
        rejected_changes(follower_behind(), |response| response.changes[0].value = Some(long.clone()));
    assert!(matches!(rejection, Rejection::ValueTooLong { .. }));
    let rejection = rejected_page(new_follower(), |response| response.records[0].value = Some(long.clone()));
    assert!(matches!(rejection, Rejection::ValueTooLong { .. }));
    let rejection = rejected_bucket(|response| response.records[0].value = Some(long));
    assert!(matches!(rejection, Rejection::ValueTooLong { .. }));
}

#[test]
fn rejects_changes_that_the_validator_rejects() {
    let reject_removal = |key: &Key, text: Option<&str>| match text {
        Some(_) => Ok(()),
        None => Err(format!("{key} is needed")),
    };
    let (store, mut follower) = follower_behind();
    let response_to = |follower: &Follower| respond(&store, &follower.next_request(), UNLIMITED_BYTES);
    let expected = Rejection::InvalidRecord { key: key(2), reason: format!("{} is needed", key(2)) };
    let rejection = follower.replica.receive(response_to(&follower), &reject_removal).unwrap_err();
    assert_eq!(rejection, expected);

    let mut reset = changes_response(response_to(&follower));
    reset.reset = true;
    follower.receive(ReplicaResponse::Changes(reset)).unwrap();
    follower.replica.receive(response_to(&follower), &reject_removal).unwrap();
    let rejection = follower.replica.receive(response_to(&follower), &reject_removal).unwrap_err();
    assert_eq!(rejection, expected, "at the end of a snapshot without the record");
    assert_recovers(store, follower);
}

#[test]
fn active_values_are_not_validated_again() {
    let (store, mut follower) = follower_behind();
    let mut reset = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    reset.reset = true;
    follower.receive(ReplicaResponse::Changes(reset)).unwrap();
    let validated = std::cell::RefCell::new(Vec::new());
    let record_validated_key = |key: &Key, _: Option<&str>| {
        validated.borrow_mut().push(key.clone());
        Ok(())
    };
    loop {
        let response = respond(&store, &follower.next_request(), UNLIMITED_BYTES);
        if let Progress::Applied(update) = follower.replica.receive(response, &record_validated_key).unwrap()
        {
            assert_eq!(update.changes.len(), 3);
            break;
        }
    }
    let mut validated = validated.into_inner();
    validated.sort();
    let mut changed = [key(1), key(2), key(RECORD_COUNT)];
    changed.sort();
    assert_eq!(validated, changed);
}

#[test]
fn rejects_too_many_records() {
    let limits = Limits { max_records: RECORD_COUNT as usize, ..Limits::default() };
    let small_follower = || Follower::with_replica(Replica::new(limits, KeyInterner::default()));
    let (store, mut follower) = (filled_store(3, RECORD_COUNT + 1), small_follower());
    follower.step(&store, UNLIMITED_BYTES).unwrap();
    let response_to = |follower: &Follower| respond(&store, &follower.next_request(), UNLIMITED_BYTES);
    let response = response_to(&follower);
    let expected =
        Rejection::TooManyRecords { records: RECORD_COUNT as usize + 1, max: RECORD_COUNT as usize };
    assert_eq!(rejected(&mut follower, response), expected);

    let mut follower = small_follower();
    follower.catch_up(&filled_store(3, RECORD_COUNT), UNLIMITED_BYTES);
    let response = response_to(&follower);
    assert_eq!(rejected(&mut follower, response), expected);

    let oversized = filled_store(3, 2 * RECORD_COUNT + 1);
    let page = ReplicaResponse::Snapshot(oversized.snapshot_page(None, UNLIMITED_BYTES));
    assert!(matches!(rejected(&mut small_follower(), page), Rejection::TooManyRecords { .. }));
}

#[test]
fn records_removed_by_later_pages_may_exceed_limit_temporarily() {
    let limits = Limits { max_records: RECORD_COUNT as usize, ..Limits::default() };
    let mut store = filled_store(3, RECORD_COUNT);
    let mut follower = Follower::with_replica(Replica::new(limits, KeyInterner::default()));
    follower.catch_up(&store, UNLIMITED_BYTES);
    store.commit(&[remove(0), set(RECORD_COUNT, "0"), remove(0)], &allow_all).unwrap();
    assert!(matches!(follower.step(&store, 1), Ok(Progress::Applied(_))));
    assert_eq!(follower.replica.len(), RECORD_COUNT as usize + 1);
    follower.catch_up(&store, 1);
    follower.assert_same_as(&store);
}

#[test]
fn rejects_too_large_snapshot() {
    let store = filled_store(3, RECORD_COUNT);
    let limits = Limits { max_total_bytes: store.total_bytes() - 1, ..Limits::default() };
    let mut follower = Follower::with_replica(Replica::new(limits, KeyInterner::default()));
    follower.step(&store, UNLIMITED_BYTES).unwrap();
    let response = respond(&store, &follower.next_request(), UNLIMITED_BYTES);
    let expected = Rejection::TooManyBytes { bytes: store.total_bytes(), max: store.total_bytes() - 1 };
    assert_eq!(rejected(&mut follower, response), expected);
}

#[test]
fn rejects_wrong_number_of_bucket_digests() {
    assert_eq!(rejected_digests(|response| response.buckets.clear()), Rejection::WrongBucketCount(0));
    let rejection = rejected_digests(|response| response.buckets.push(Digest(0)));
    assert_eq!(rejection, Rejection::WrongBucketCount(513));
}

#[test]
fn rejects_bucket_digests_of_another_state() {
    let rejection = rejected_digests(|response| response.buckets[0].0 ^= 1);
    assert!(matches!(rejection, Rejection::DigestMismatch { .. }));
}

#[test]
fn rejects_another_bucket_than_requested() {
    for bucket in [1000, usize::MAX] {
        let rejection = rejected_bucket(|response| response.bucket = bucket);
        assert!(matches!(rejection, Rejection::WrongBucket { received, .. } if received == bucket));
    }
}

#[test]
fn rejects_record_of_another_bucket() {
    let store = filled_store(3, RECORD_COUNT);
    let rejection = rejected_bucket(|response| {
        let others = store.snapshot_page(None, UNLIMITED_BYTES).records;
        let last = response.records.last().unwrap().key.clone();
        response.records.extend(others.into_iter().find(|record| record.key > last));
    });
    assert!(matches!(rejection, Rejection::RecordInWrongBucket { .. }), "{rejection}");
}

#[test]
fn rejects_bucket_with_wrong_digest() {
    let rejection = rejected_bucket(|response| response.records.clear());
    assert!(matches!(rejection, Rejection::DigestMismatch { .. }));
    let rejection = rejected_bucket(|response| response.records[0].value = Some(value("-1")));
    assert!(matches!(rejection, Rejection::DigestMismatch { .. }));
}

#[test]
fn snapshot_with_wrong_digest_restarts() {
    let (store, mut follower) = follower_after_last_page();
    let mut corrupted = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    corrupted.digest.as_mut().unwrap().0 ^= 1;
    let rejection = rejected(&mut follower, ReplicaResponse::Changes(corrupted));
    assert!(matches!(rejection, Rejection::DigestMismatch { .. }));
    assert_eq!(follower.next_request(), ReplicaRequest::Snapshot { after: None });
    assert_recovers(store, follower);
}

#[test]
fn snapshot_is_not_applied_without_digest() {
    let (store, mut follower) = follower_after_last_page();
    let mut without_digest = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    without_digest.digest = None;
    assert!(matches!(follower.receive(ReplicaResponse::Changes(without_digest)), Ok(Progress::Pending)));
    assert!(follower.replica.is_empty());
    assert_recovers(store, follower);
}

#[test]
fn applies_newer_revision_without_changes() {
    let (store, mut follower) = follower_behind();
    follower.catch_up(&store, UNLIMITED_BYTES);
    let mut later = changes_response(respond(&store, &follower.next_request(), UNLIMITED_BYTES));
    later.version = Version { revision: later.version.revision + 1, ..later.version };
    assert!(
        matches!(follower.receive(ReplicaResponse::Changes(later)), Ok(Progress::Applied(update)) if update.changes.is_empty())
    );
}

#[test]
fn removal_of_unknown_record_changes_nothing() {
    let (mut store, mut follower) = follower_behind();
    follower.catch_up(&store, UNLIMITED_BYTES);
    store.commit(&[set(500, "1"), remove(500)], &allow_all).unwrap();
    let Ok(Progress::Applied(update)) = follower.step(&store, UNLIMITED_BYTES) else { panic!("not applied") };
    assert!(matches!(&update.changes[..], [Change { value: None, .. }]));
    follower.assert_same_as(&store);
}
