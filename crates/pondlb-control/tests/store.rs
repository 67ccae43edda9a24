//! Commits, limits, bounded pieces and the bounded log of a store.

mod common;

use std::collections::BTreeMap;

use common::{allow_all, filled_store, key, records_of, remove, set, value};
use nanorand::{Rng, WyRand};
use pondlb_control::{
    BUCKET_COUNT, Change, CommitError, Digest, Key, Limits, MAX_NAME_BYTES, NewChange, RecordKind, Store,
    Update, Version,
};

const WHOLE: usize = usize::MAX;

fn limited(limits: Limits) -> Store {
    Store::new(1, limits)
}

/// The error of a commit of which nothing may be taken.
fn refused(store: &mut Store, changes: &[NewChange]) -> CommitError {
    let before = (store.version(), store.digest(), store.total_bytes(), records_of(store));
    let error = store.commit(changes, &allow_all).unwrap_err();
    assert_eq!(before, (store.version(), store.digest(), store.total_bytes(), records_of(store)));
    error
}

fn since(store: &Store, revision: u64) -> Vec<(u64, String, Option<String>)> {
    let answer = store.changes_since(Version { revision, ..store.version() }, WHOLE);
    assert!(!answer.reset && !answer.has_more);
    let told = |change: Change| {
        (change.revision, change.key.name().to_string(), change.value.map(|value| value.get().to_string()))
    };
    answer.changes.into_iter().map(told).collect()
}

#[test]
fn a_commit_numbers_its_changes() {
    let mut store = limited(Limits::default());
    let version = store.commit(&[set(1, "1"), set(2, "2"), set(1, "3"), remove(9)], &allow_all).unwrap();
    assert_eq!(version, Version { epoch: 1, revision: 4 });
    let name = |number| key(number).name().to_string();
    let expected = [(2, name(2), Some("2".into())), (3, name(1), Some("3".into())), (4, name(9), None)];
    assert_eq!(since(&store, 0), expected);
    assert_eq!(since(&store, 2), expected[1..]);
    assert_eq!(since(&store, 4), []);
}

#[test]
fn values_are_freed_of_white_space_and_nothing_else() {
    let mut store = limited(Limits::default());
    let text = " {\"b\" : 1.0 ,\n\t\"a\\\" x\" : [ 1e400 , \"\\\\\" , \" \\u00e9 é \" ] } ";
    store.commit(&[set(1, text)], &allow_all).unwrap();
    assert_eq!(records_of(&store)[&key(1)], "{\"b\":1.0,\"a\\\" x\":[1e400,\"\\\\\",\" \\u00e9 é \"]}");
}

#[test]
fn a_server_without_epoch_of_its_own_commits_nothing() {
    let mut store = Store::new(0, Limits::default());
    assert_eq!(refused(&mut store, &[set(1, "1")]), CommitError::NotOrigin);
    store.apply_update(&update(5, vec![change(5, 1, Some("5"))]));
    assert_eq!(refused(&mut store, &[set(1, "1")]), CommitError::NotOrigin);
}

#[test]
fn commits_beyond_the_limits_are_refused() {
    let limits = Limits { max_records: 3, max_value_bytes: 10, max_total_bytes: 100, max_tombstones: 3 };
    let mut store = limited(limits);
    store.commit(&[set(1, "1"), set(2, "2")], &allow_all).unwrap();
    let error = refused(&mut store, &[set(3, "3"), set(4, "4")]);
    assert_eq!(error, CommitError::TooManyRecords { records: 4, max: 3 });
    let error = refused(&mut store, &[set(1, "12"), set(2, "\"123456789\"")]);
    assert_eq!(error, CommitError::ValueTooLong { key: key(2), bytes: 11, max: 10 });
    assert_eq!(refused(&mut store, &[set(3, "3"), set(2, "null")]), CommitError::NullValue(key(2)));
    store.commit(&[set(1, "[1, 2, 3, 4]"), remove(2), set(3, "3"), set(2, "2")], &allow_all).unwrap();
    assert_eq!(store.len(), 3);

    let long =
        NewChange { key: Key::new(RecordKind::Class, &"x".repeat(90)).unwrap(), value: Some(value("1")) };
    let error = refused(&mut store, &[remove(1), long]);
    assert!(matches!(error, CommitError::TooManyBytes { max: 100, .. }), "{error}");
}

#[test]
fn a_record_changed_twice_in_a_commit_counts_once() {
    let mut store = limited(Limits { max_records: 2, ..Limits::default() });
    store.commit(&[set(1, "1"), set(1, "22"), set(2, "2"), remove(2), set(3, "3")], &allow_all).unwrap();
    let held = [("22", key(1)), ("3", key(3))];
    assert_eq!(
        store.total_bytes(),
        held.iter().map(|(text, key)| text.len() + key.as_str().len()).sum::<usize>()
    );
    let error = refused(&mut store, &[remove(1), set(1, "1"), set(2, "2")]);
    assert_eq!(error, CommitError::TooManyRecords { records: 3, max: 2 });
}

#[test]
fn the_checker_sees_normalised_values_and_removals() {
    let mut store = filled_store(1, 5);
    let check = |key: &Key, text: Option<&str>| match text {
        None => Err(format!("{} stays", key.name())),
        Some("[1]") => Ok(()),
        Some(other) => Err(other.to_string()),
    };
    store.commit(&[set(1, "[ 1 ]")], &check).unwrap();
    let error = store.commit(&[set(1, "[1]"), remove(2)], &check).unwrap_err();
    assert_eq!(error, CommitError::InvalidRecord { key: key(2), reason: "s-00002 stays".into() });
    assert_eq!(store.version().revision, 6);
}

#[test]
fn the_digest_is_that_of_the_records_whatever_their_history() {
    let mut random = WyRand::new_seed(1);
    let mut store = limited(Limits::default());
    for _ in 0..500 {
        let number = random.generate_range(0..60);
        let text = random.generate_range(0..5u32).to_string();
        let change = if random.generate_range(0..3) == 0 { remove(number) } else { set(number, &text) };
        store.commit(&[change], &allow_all).unwrap();
    }
    let mut again = limited(Limits::default());
    let records: Vec<NewChange> = records_of(&store)
        .iter()
        .map(|(key, text)| NewChange { key: key.clone(), value: Some(value(text)) })
        .collect();
    again.commit(&records, &allow_all).unwrap();
    assert_eq!(store.digest(), again.digest());
    assert_eq!(store.bucket_digests().buckets, again.bucket_digests().buckets);
    assert_eq!(store.total_bytes(), again.total_bytes());
    let removals: Vec<NewChange> =
        records.iter().map(|record| NewChange { key: record.key.clone(), value: None }).collect();
    store.commit(&removals, &allow_all).unwrap();
    assert_eq!((store.digest(), store.total_bytes(), store.is_empty()), (Digest(0), 0, true));
}

#[test]
fn digests_tell_swapped_values_and_keys_apart() {
    let digest = |changes: &[NewChange]| {
        let mut store = limited(Limits::default());
        store.commit(changes, &allow_all).unwrap();
        store.digest()
    };
    assert_ne!(digest(&[set(1, "1"), set(2, "2")]), digest(&[set(1, "2"), set(2, "1")]));
    assert_ne!(digest(&[set(1, "1")]), digest(&[set(2, "1")]));
}

#[test]
fn buckets_hold_all_records_between_them() {
    let store = filled_store(1, 2000);
    let digests = store.bucket_digests();
    assert_eq!(digests.buckets.len(), BUCKET_COUNT);
    let sum = digests.buckets.iter().fold(0u64, |sum, digest| sum.wrapping_add(digest.0));
    assert_eq!(Digest(sum), store.digest());
    let mut records = BTreeMap::new();
    for bucket in 0..BUCKET_COUNT {
        let answer = store.bucket_records(bucket).unwrap();
        assert!(answer.records.is_sorted_by(|one, other| one.key < other.key));
        records.extend(
            answer.records.into_iter().map(|record| (record.key, record.value.unwrap().get().to_string())),
        );
    }
    assert_eq!(records, records_of(&store));
    assert!(store.bucket_records(BUCKET_COUNT).is_none());
}

/// Records with names and values of all lengths, among them characters that JSON escapes.
fn store_with_odd_records() -> Store {
    let mut random = WyRand::new_seed(2);
    let mut store = limited(Limits::default());
    for number in 0..300 {
        let filler = ["\\", "\"", "x"][number % 3].repeat(random.generate_range(0..MAX_NAME_BYTES - 10));
        let key = Key::new(RecordKind::Tenant, &format!("{number}{filler}")).unwrap();
        let text = format!("\"{}\"", "é".repeat(random.generate_range(0..400)));
        store.commit(&[NewChange { key, value: Some(value(&text)) }], &allow_all).unwrap();
    }
    store
}

#[test]
fn pieces_keep_their_bound() {
    let store = store_with_odd_records();
    for most in [0, 700, 1500, 4096, 16 << 10] {
        let mut pieces = 0;
        let mut from = Version { revision: 0, ..store.version() };
        loop {
            let answer = store.changes_since(from, most);
            let bytes = serde_json::to_string(&answer).unwrap().len();
            assert!(bytes <= most || answer.changes.len() == 1, "{bytes} bytes, at most {most}");
            assert_eq!(answer.version.revision, answer.changes.last().unwrap().revision);
            assert_eq!(answer.digest.is_none(), answer.has_more);
            pieces += 1;
            from = answer.version;
            if !answer.has_more {
                break;
            }
        }
        assert_eq!(from, store.version());
        assert!(pieces > 10, "{pieces} pieces of {most}");
    }
}

#[test]
fn pieces_of_a_snapshot_keep_their_bound() {
    let store = store_with_odd_records();
    for most in [0, 700, 1500, 4096, 16 << 10] {
        let mut records = 0;
        let mut after = None;
        loop {
            let answer = store.snapshot_page(after.as_ref(), most);
            let bytes = serde_json::to_string(&answer).unwrap().len();
            assert!(bytes <= most || answer.records.len() == 1, "{bytes} bytes, at most {most}");
            records += answer.records.len();
            after = answer.next_after;
            if after.is_none() {
                break;
            }
        }
        assert_eq!(records, store.len());
    }
}

#[test]
fn the_log_holds_the_last_change_of_each_record_only() {
    let mut store = filled_store(1, 10);
    for round in 0..100 {
        store.commit(&[set(1, &round.to_string()), remove(2)], &allow_all).unwrap();
    }
    assert_eq!(since(&store, 0).len(), 10);
    assert_eq!(since(&store, 10).len(), 2);
    store.commit(&[set(2, "2")], &allow_all).unwrap();
    assert_eq!(since(&store, 10).len(), 2);
}

#[test]
fn callers_from_before_the_oldest_tombstone_are_reset() {
    let mut store = limited(Limits { max_tombstones: 2, ..Limits::default() });
    store.commit(&[set(1, "1"), set(2, "2"), set(3, "3"), remove(1), remove(2)], &allow_all).unwrap();
    let is_reset = |store: &Store, revision| store.changes_since(Version { epoch: 1, revision }, WHOLE).reset;
    assert!(!is_reset(&store, 0));
    store.commit(&[remove(3)], &allow_all).unwrap();
    assert!(is_reset(&store, 3));
    assert!(!is_reset(&store, 4));
    store.commit(&[set(2, "2"), remove(4)], &allow_all).unwrap();
    assert!(!is_reset(&store, 4), "the tombstone of a record that is set again is none");
    let reset = store.changes_since(Version { epoch: 1, revision: 0 }, WHOLE);
    assert!(reset.changes.is_empty() && reset.digest.is_none() && !reset.has_more);
    assert_eq!(reset.version, store.version());
}

#[test]
fn callers_of_other_epochs() {
    let store = filled_store(2, 10);
    assert!(store.changes_since(Version { epoch: 1, revision: 500 }, WHOLE).reset);
    let ahead = store.changes_since(Version { epoch: 2, revision: 11 }, WHOLE);
    assert!(!ahead.reset && ahead.changes.is_empty());
    let newer = store.changes_since(Version { epoch: 3, revision: 1 }, WHOLE);
    assert!(!newer.reset && newer.changes.is_empty());
}

fn update(revision: u64, changes: Vec<Change>) -> Update {
    let version = Version { epoch: 1, revision };
    Update { version, digest: Some(Digest(0)), is_whole_state: false, changes, has_more: false }
}

fn change(revision: u64, number: u64, text: Option<&str>) -> Change {
    Change { revision, key: key(number), value: text.map(value) }
}

#[test]
fn an_older_update_changes_nothing() {
    let mut store = Store::new(0, Limits::default());
    store.apply_update(&update(5, vec![change(5, 1, Some("5"))]));
    store.apply_update(&update(4, vec![change(4, 1, Some("4"))]));
    assert_eq!(records_of(&store)[&key(1)], "5");
    assert_eq!(store.version().revision, 5);
}

#[test]
fn revisions_that_are_unknown_or_taken_are_not_listed_twice() {
    let mut store = Store::new(0, Limits::default());
    store
        .apply_update(&update(5, vec![change(5, 1, Some("5")), change(5, 2, Some("5")), change(0, 3, None)]));
    store.apply_update(&update(6, vec![change(900, 4, Some("6"))]));
    let name = |number| key(number).name().to_string();
    assert_eq!(since(&store, 0), [(5, name(1), Some("5".into())), (6, name(4), Some("6".into()))]);
    assert_eq!(store.len(), 3);
}

#[test]
fn removals_of_unknown_revision_take_no_tombstone() {
    let mut store = Store::new(0, Limits { max_tombstones: 1, ..Limits::default() });
    store.apply_update(&update(5, vec![change(4, 1, Some("4")), change(5, 2, None)]));
    store.apply_update(&update(6, vec![change(0, 1, None)]));
    assert_eq!(since(&store, 0), [(5, key(2).name().to_string(), None)]);
}

#[test]
fn a_store_that_is_halfway_through_pieces_tells_no_digest() {
    let mut store = Store::new(0, Limits::default());
    let piece = Update { digest: None, has_more: true, ..update(5, vec![change(5, 1, Some("5"))]) };
    store.apply_update(&piece);
    let halfway = store.changes_since(Version { epoch: 1, revision: 5 }, WHOLE);
    assert!(halfway.digest.is_none() && !halfway.has_more);
    store.apply_update(&update(6, vec![change(6, 1, Some("6"))]));
    assert!(store.changes_since(Version { epoch: 1, revision: 5 }, WHOLE).digest.is_some());
}
