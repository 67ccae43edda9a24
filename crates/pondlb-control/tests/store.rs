//! Commits, limits, size-limited pages and the change log of a store.

mod common;

use std::collections::BTreeMap;

use common::{allow_all, filled_store, key, records_of, remove, set, value};
use nanorand::{Rng, WyRand};
use pondlb_control::{
    BUCKET_COUNT, Change, CommitError, Digest, Key, Limits, MAX_NAME_BYTES, NewChange, RecordKind, Store,
    Update, Version,
};

const UNLIMITED_BYTES: usize = usize::MAX;

fn store_with_limits(limits: Limits) -> Store {
    Store::new(1, limits)
}

/// The error of a commit, which must leave the store unchanged.
fn rejected_commit(store: &mut Store, changes: &[NewChange]) -> CommitError {
    let before = (store.version(), store.digest(), store.total_bytes(), records_of(store));
    let error = store.commit(changes, &allow_all).unwrap_err();
    assert_eq!(before, (store.version(), store.digest(), store.total_bytes(), records_of(store)));
    error
}

fn listed_changes_since(store: &Store, revision: u64) -> Vec<(u64, String, Option<String>)> {
    let response = store.changes_since(Version { revision, ..store.version() }, UNLIMITED_BYTES);
    assert!(!response.reset && !response.has_more);
    let describe = |change: Change| {
        (change.revision, change.key.name().to_string(), change.value.map(|value| value.get().to_string()))
    };
    response.changes.into_iter().map(describe).collect()
}

#[test]
fn commit_numbers_changes() {
    let mut store = store_with_limits(Limits::default());
    let version = store.commit(&[set(1, "1"), set(2, "2"), set(1, "3"), remove(9)], &allow_all).unwrap();
    assert_eq!(version, Version { epoch: 1, revision: 4 });
    let name = |number| key(number).name().to_string();
    let expected = [(2, name(2), Some("2".into())), (3, name(1), Some("3".into())), (4, name(9), None)];
    assert_eq!(listed_changes_since(&store, 0), expected);
    assert_eq!(listed_changes_since(&store, 2), expected[1..]);
    assert_eq!(listed_changes_since(&store, 4), []);
}

#[test]
fn commit_removes_only_whitespace_from_values() {
    let mut store = store_with_limits(Limits::default());
    let text = " {\"b\" : 1.0 ,\n\t\"a\\\" x\" : [ 1e400 , \"\\\\\" , \" \\u00e9 é \" ] } ";
    store.commit(&[set(1, text)], &allow_all).unwrap();
    assert_eq!(records_of(&store)[&key(1)], "{\"b\":1.0,\"a\\\" x\":[1e400,\"\\\\\",\" \\u00e9 é \"]}");
}

#[test]
fn replica_server_store_rejects_commits() {
    let mut store = Store::new(0, Limits::default());
    assert_eq!(rejected_commit(&mut store, &[set(1, "1")]), CommitError::NotOrigin);
    store.apply_update(&update(5, vec![change(5, 1, Some("5"))]));
    assert_eq!(rejected_commit(&mut store, &[set(1, "1")]), CommitError::NotOrigin);
}

#[test]
fn rejects_commits_beyond_limits() {
    let limits = Limits { max_records: 3, max_value_bytes: 10, max_total_bytes: 100, max_tombstones: 3 };
    let mut store = store_with_limits(limits);
    store.commit(&[set(1, "1"), set(2, "2")], &allow_all).unwrap();
    let error = rejected_commit(&mut store, &[set(3, "3"), set(4, "4")]);
    assert_eq!(error, CommitError::TooManyRecords { records: 4, max: 3 });
    let error = rejected_commit(&mut store, &[set(1, "12"), set(2, "\"123456789\"")]);
    assert_eq!(error, CommitError::ValueTooLong { key: key(2), bytes: 11, max: 10 });
    assert_eq!(rejected_commit(&mut store, &[set(3, "3"), set(2, "null")]), CommitError::NullValue(key(2)));
    store.commit(&[set(1, "[1, 2, 3, 4]"), remove(2), set(3, "3"), set(2, "2")], &allow_all).unwrap();
    assert_eq!(store.len(), 3);

    let long =
        NewChange { key: Key::new(RecordKind::Class, &"x".repeat(90)).unwrap(), value: Some(value("1")) };
    let error = rejected_commit(&mut store, &[remove(1), long]);
    assert!(matches!(error, CommitError::TooManyBytes { max: 100, .. }), "{error}");
}

#[test]
fn record_changed_twice_in_commit_counts_once() {
    let mut store = store_with_limits(Limits { max_records: 2, ..Limits::default() });
    store.commit(&[set(1, "1"), set(1, "22"), set(2, "2"), remove(2), set(3, "3")], &allow_all).unwrap();
    let remaining = [("22", key(1)), ("3", key(3))];
    assert_eq!(
        store.total_bytes(),
        remaining.iter().map(|(text, key)| text.len() + key.as_str().len()).sum::<usize>()
    );
    let error = rejected_commit(&mut store, &[remove(1), set(1, "1"), set(2, "2")]);
    assert_eq!(error, CommitError::TooManyRecords { records: 3, max: 2 });
}

#[test]
fn validator_receives_values_without_whitespace_and_removals() {
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
fn digest_does_not_depend_on_history() {
    let mut random = WyRand::new_seed(1);
    let mut store = store_with_limits(Limits::default());
    for _ in 0..500 {
        let number = random.generate_range(0..60);
        let text = random.generate_range(0..5u32).to_string();
        let change = if random.generate_range(0..3) == 0 { remove(number) } else { set(number, &text) };
        store.commit(&[change], &allow_all).unwrap();
    }
    let mut rebuilt = store_with_limits(Limits::default());
    let records: Vec<NewChange> = records_of(&store)
        .iter()
        .map(|(key, text)| NewChange { key: key.clone(), value: Some(value(text)) })
        .collect();
    rebuilt.commit(&records, &allow_all).unwrap();
    assert_eq!(store.digest(), rebuilt.digest());
    assert_eq!(store.bucket_digests().buckets, rebuilt.bucket_digests().buckets);
    assert_eq!(store.total_bytes(), rebuilt.total_bytes());
    let removals: Vec<NewChange> =
        records.iter().map(|record| NewChange { key: record.key.clone(), value: None }).collect();
    store.commit(&removals, &allow_all).unwrap();
    assert_eq!((store.digest(), store.total_bytes(), store.is_empty()), (Digest(0), 0, true));
}

#[test]
fn digest_differs_for_swapped_values_and_keys() {
    let digest = |changes: &[NewChange]| {
        let mut store = store_with_limits(Limits::default());
        store.commit(changes, &allow_all).unwrap();
        store.digest()
    };
    assert_ne!(digest(&[set(1, "1"), set(2, "2")]), digest(&[set(1, "2"), set(2, "1")]));
    assert_ne!(digest(&[set(1, "1")]), digest(&[set(2, "1")]));
}

#[test]
fn buckets_contain_all_records() {
    let store = filled_store(1, 2000);
    let digests = store.bucket_digests();
    assert_eq!(digests.buckets.len(), BUCKET_COUNT);
    let sum = digests.buckets.iter().fold(0u64, |sum, digest| sum.wrapping_add(digest.0));
    assert_eq!(Digest(sum), store.digest());
    let mut records = BTreeMap::new();
    for bucket in 0..BUCKET_COUNT {
        let response = store.bucket_records(bucket).unwrap();
        assert!(response.records.is_sorted_by(|one, other| one.key < other.key));
        records.extend(
            response.records.into_iter().map(|record| (record.key, record.value.unwrap().get().to_string())),
        );
    }
    assert_eq!(records, records_of(&store));
    assert!(store.bucket_records(BUCKET_COUNT).is_none());
}

/// A store with names and values of many lengths, some with characters that JSON escapes.
fn store_with_varied_records() -> Store {
    let mut random = WyRand::new_seed(2);
    let mut store = store_with_limits(Limits::default());
    for number in 0..300 {
        let filler = ["\\", "\"", "x"][number % 3].repeat(random.generate_range(0..MAX_NAME_BYTES - 10));
        let key = Key::new(RecordKind::Tenant, &format!("{number}{filler}")).unwrap();
        let text = format!("\"{}\"", "é".repeat(random.generate_range(0..400)));
        store.commit(&[NewChange { key, value: Some(value(&text)) }], &allow_all).unwrap();
    }
    store
}

#[test]
fn pages_of_changes_keep_size_limit() {
    let store = store_with_varied_records();
    for max_bytes in [0, 700, 1500, 4096, 16 << 10] {
        let mut pages = 0;
        let mut from = Version { revision: 0, ..store.version() };
        loop {
            let response = store.changes_since(from, max_bytes);
            let bytes = serde_json::to_string(&response).unwrap().len();
            assert!(bytes <= max_bytes || response.changes.len() == 1, "{bytes} bytes, at most {max_bytes}");
            assert_eq!(response.version.revision, response.changes.last().unwrap().revision);
            assert_eq!(response.digest.is_none(), response.has_more);
            pages += 1;
            from = response.version;
            if !response.has_more {
                break;
            }
        }
        assert_eq!(from, store.version());
        assert!(pages > 10, "{pages} pages of {max_bytes}");
    }
}

#[test]
fn snapshot_pages_keep_size_limit() {
    let store = store_with_varied_records();
    for max_bytes in [0, 700, 1500, 4096, 16 << 10] {
        let mut records = 0;
        let mut after = None;
        loop {
            let response = store.snapshot_page(after.as_ref(), max_bytes);
            let bytes = serde_json::to_string(&response).unwrap().len();
            assert!(bytes <= max_bytes || response.records.len() == 1, "{bytes} bytes, at most {max_bytes}");
            records += response.records.len();
            after = response.next_after;
            if after.is_none() {
                break;
            }
        }
        assert_eq!(records, store.len());
    }
}

#[test]
fn change_log_keeps_only_last_change_of_record() {
    let mut store = filled_store(1, 10);
    for round in 0..100 {
        store.commit(&[set(1, &round.to_string()), remove(2)], &allow_all).unwrap();
    }
    assert_eq!(listed_changes_since(&store, 0).len(), 10);
    assert_eq!(listed_changes_since(&store, 10).len(), 2);
    store.commit(&[set(2, "2")], &allow_all).unwrap();
    assert_eq!(listed_changes_since(&store, 10).len(), 2);
}

#[test]
fn resets_followers_older_than_oldest_tombstone() {
    let mut store = store_with_limits(Limits { max_tombstones: 2, ..Limits::default() });
    store.commit(&[set(1, "1"), set(2, "2"), set(3, "3"), remove(1), remove(2)], &allow_all).unwrap();
    let is_reset =
        |store: &Store, revision| store.changes_since(Version { epoch: 1, revision }, UNLIMITED_BYTES).reset;
    assert!(!is_reset(&store, 0));
    store.commit(&[remove(3)], &allow_all).unwrap();
    assert!(is_reset(&store, 3));
    assert!(!is_reset(&store, 4));
    store.commit(&[set(2, "2"), remove(4)], &allow_all).unwrap();
    assert!(!is_reset(&store, 4), "a record that is set again has no tombstone");
    let reset = store.changes_since(Version { epoch: 1, revision: 0 }, UNLIMITED_BYTES);
    assert!(reset.changes.is_empty() && reset.digest.is_none() && !reset.has_more);
    assert_eq!(reset.version, store.version());
}

#[test]
fn resets_only_followers_of_older_epochs() {
    let store = filled_store(2, 10);
    assert!(store.changes_since(Version { epoch: 1, revision: 500 }, UNLIMITED_BYTES).reset);
    let ahead = store.changes_since(Version { epoch: 2, revision: 11 }, UNLIMITED_BYTES);
    assert!(!ahead.reset && ahead.changes.is_empty());
    let newer = store.changes_since(Version { epoch: 3, revision: 1 }, UNLIMITED_BYTES);
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
fn ignores_older_updates() {
    let mut store = Store::new(0, Limits::default());
    store.apply_update(&update(5, vec![change(5, 1, Some("5"))]));
    store.apply_update(&update(4, vec![change(4, 1, Some("4"))]));
    assert_eq!(records_of(&store)[&key(1)], "5");
    assert_eq!(store.version().revision, 5);
}

#[test]
fn does_not_list_unknown_or_used_revisions() {
    let mut store = Store::new(0, Limits::default());
    store
        .apply_update(&update(5, vec![change(5, 1, Some("5")), change(5, 2, Some("5")), change(0, 3, None)]));
    store.apply_update(&update(6, vec![change(900, 4, Some("6"))]));
    let name = |number| key(number).name().to_string();
    assert_eq!(
        listed_changes_since(&store, 0),
        [(5, name(1), Some("5".into())), (6, name(4), Some("6".into()))]
    );
    assert_eq!(store.len(), 3);
}

#[test]
fn removals_of_unknown_revision_use_no_tombstone() {
    let mut store = Store::new(0, Limits { max_tombstones: 1, ..Limits::default() });
    store.apply_update(&update(5, vec![change(4, 1, Some("4")), change(5, 2, None)]));
    store.apply_update(&update(6, vec![change(0, 1, None)]));
    assert_eq!(listed_changes_since(&store, 0), [(5, key(2).name().to_string(), None)]);
}

#[test]
fn sends_no_digest_between_pages_of_changes() {
    let mut store = Store::new(0, Limits::default());
    let page = Update { digest: None, has_more: true, ..update(5, vec![change(5, 1, Some("5"))]) };
    store.apply_update(&page);
    let between_pages = store.changes_since(Version { epoch: 1, revision: 5 }, UNLIMITED_BYTES);
    assert!(between_pages.digest.is_none() && !between_pages.has_more);
    store.apply_update(&update(6, vec![change(6, 1, Some("6"))]));
    assert!(store.changes_since(Version { epoch: 1, revision: 5 }, UNLIMITED_BYTES).digest.is_some());
}
