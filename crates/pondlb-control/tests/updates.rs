//! Batches of updates, interning of keys, and the wire format.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{allow_all, filled_store, key, remove, set, value};
use expect_test::expect;
use pondlb_control::{
    Change, ChangesResponse, CommitRequest, Digest, Key, KeyError, KeyInterner, LongPoll, MAX_NAME_BYTES,
    RecordKind, ReplicaRequest, SnapshotResponse, Update, Version,
};

fn update(changes: u64) -> Update {
    let change = |revision| Change { revision, key: key(revision), value: Some(value("1")) };
    let version = Version { epoch: 1, revision: changes };
    let changes = (1..=changes).map(change).collect();
    Update { version, digest: Some(Digest(7)), is_whole_state: true, changes, has_more: false }
}

/// The number of changes, `has_more` and the digest of each batch.
fn batch_outline(update: Update, max_changes: usize) -> Vec<(usize, bool, Option<Digest>)> {
    update
        .into_batches(max_changes)
        .map(|batch| (batch.changes.len(), batch.has_more, batch.digest))
        .collect()
}

#[test]
fn only_last_batch_completes_update() {
    let digest = Some(Digest(7));
    assert_eq!(batch_outline(update(5), 2), [(2, true, None), (2, true, None), (1, false, digest)]);
    assert_eq!(batch_outline(update(4), 2), [(2, true, None), (2, false, digest)]);
    assert_eq!(batch_outline(update(4), 9), [(4, false, digest)]);
    assert_eq!(batch_outline(update(0), 2), [(0, false, digest)]);
    assert_eq!(batch_outline(update(2), 0), [(1, true, None), (1, false, digest)]);
    let page = Update { has_more: true, digest: None, ..update(3) };
    assert_eq!(batch_outline(page, 2), [(2, true, None), (1, true, None)]);
}

#[test]
fn batches_contain_all_changes_in_order() {
    let revisions: Vec<u64> =
        update(7).into_batches(3).flat_map(|batch| batch.changes).map(|change| change.revision).collect();
    assert!(revisions.into_iter().eq(1..=7));
    assert!(
        update(7).into_batches(3).all(|batch| batch.is_whole_state && batch.version == update(7).version)
    );
}

#[test]
fn equal_keys_share_one_allocation() {
    let interner = KeyInterner::default();
    let first = interner.intern(key(1));
    let second = interner.clone().intern(key(1));
    assert!(Rc::ptr_eq(&first.to_rc_str(), &second.to_rc_str()));
    assert_eq!(interner.len(), 1);
}

#[test]
fn interner_removes_unused_keys() {
    let interner = KeyInterner::default();
    let used: Vec<Key> = (0..100).map(|number| interner.intern(key(number))).collect();
    for number in 0..50_000 {
        interner.intern(key(number));
    }
    assert!(interner.len() < 2200, "{} keys", interner.len());
    for key in used {
        assert!(Rc::ptr_eq(&interner.intern(key.clone()).to_rc_str(), &key.to_rc_str()));
    }
}

#[test]
fn validates_keys() {
    assert_eq!(Key::parse("upstream/a/b"), Key::new(RecordKind::Upstream, "a/b"));
    assert_eq!(Key::parse("class/x").unwrap().kind(), RecordKind::Class);
    assert_eq!(Key::parse("other/x"), Err(KeyError::UnknownKind("other/x".into())));
    for name in ["", "a b", "é", "\n", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert_eq!(Key::new(RecordKind::Limit, name), Err(KeyError::InvalidName(name.to_string())));
    }
    assert!(Key::new(RecordKind::Limit, &"x".repeat(MAX_NAME_BYTES)).is_ok());
    assert!(serde_json::from_str::<Key>("\"tenant/\"").is_err());
}

#[test]
fn responses_have_documented_json() {
    let mut store = filled_store(1, 2);
    store.commit(&[remove(0), set(1, "{ \"a\": [1, \"x y\"] }")], &allow_all).unwrap();
    let changes = store.changes_since(Version { epoch: 1, revision: 2 }, 1000);
    let text = serde_json::to_string(&changes).unwrap();
    expect![[r#"{"epoch":1,"revision":4,"from":2,"reset":false,"more":false,"digest":"bb3b63dacda51cb5","stale_ms":0,"changes":[{"revision":3,"key":"upstream/s-00000","value":null},{"revision":4,"key":"class/s-00001","value":{"a":[1,"x y"]}}]}"#]].assert_eq(&text);
    let read: ChangesResponse = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), text);

    let text = serde_json::to_string(&store.snapshot_page(None, 1000)).unwrap();
    expect![[r#"{"epoch":1,"revision":4,"records":[{"revision":4,"key":"class/s-00001","value":{"a":[1,"x y"]}}],"next":null}"#]].assert_eq(&text);
    let read: SnapshotResponse = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), text);
}

#[test]
fn pages_have_documented_json() {
    let store = filled_store(1, 2);
    let changes = store.changes_since(Version { epoch: 1, revision: 0 }, 1);
    let text = serde_json::to_string(&changes).unwrap();
    expect![[r#"{"epoch":1,"revision":1,"from":0,"reset":false,"more":true,"digest":null,"stale_ms":0,"changes":[{"revision":1,"key":"upstream/s-00000","value":[0]}]}"#]].assert_eq(&text);
    let read: ChangesResponse = serde_json::from_str(&text).unwrap();
    assert_eq!((read.from_revision, read.has_more), (0, true));

    let text = serde_json::to_string(&store.snapshot_page(None, 1)).unwrap();
    expect![[r#"{"epoch":1,"revision":2,"records":[{"revision":2,"key":"class/s-00001","value":[1]}],"next":"class/s-00001"}"#]].assert_eq(&text);
    let read: SnapshotResponse = serde_json::from_str(&text).unwrap();
    assert_eq!(read.next_after, Some(key(1)));
}

#[test]
fn rejects_malformed_responses() {
    let texts = [
        "{}",
        r#"{"epoch":1,"revision":4,"from":2,"digest":"12","changes":[]}"#,
        r#"{"epoch":1,"revision":4,"from":2,"digest":"+000000000000001","changes":[]}"#,
        r#"{"epoch":1,"revision":-4,"from":2,"digest":null,"changes":[]}"#,
        r#"{"epoch":1,"revision":4,"from":2,"digest":null,"changes":[{"revision":3,"key":"x","value":1}]}"#,
    ];
    for text in texts {
        assert!(serde_json::from_str::<ChangesResponse>(text).is_err(), "{text}");
    }
}

#[test]
fn missing_or_null_value_is_removal() {
    let text =
        r#"{"changes":[{"key":"class/a"},{"key":"class/b","value":null},{"key":"class/c","value":false}]}"#;
    let commit: CommitRequest = serde_json::from_str(text).unwrap();
    let are_removals: Vec<bool> = commit.changes.iter().map(|change| change.value.is_none()).collect();
    assert_eq!(are_removals, [true, true, false]);
}

#[test]
fn request_targets_are_percent_encoded() {
    let hold = LongPoll::UpTo(Duration::from_millis(1500));
    let from = Version { epoch: 2, revision: 30 };
    let changes = ReplicaRequest::Changes { from, digest: Digest(0xab), hold };
    expect!["/control/changes?name=b1&epoch=2&from=30&digest=00000000000000ab&hold_ms=1500"]
        .assert_eq(&changes.target("b1"));
    let snapshot =
        ReplicaRequest::Snapshot { after: Some(Key::new(RecordKind::Tenant, "a/b-1.x_~").unwrap()) };
    expect!["/control/snapshot?after=tenant/a/b-1.x_~"].assert_eq(&snapshot.target("b1"));
    let special_characters =
        ReplicaRequest::Snapshot { after: Some(Key::new(RecordKind::Tenant, "a&b=%?#+\"").unwrap()) };
    expect!["/control/snapshot?after=tenant/a%26b%3D%25%3F%23%2B%22"]
        .assert_eq(&special_characters.target("b1"));
    expect!["/control/digests"].assert_eq(&ReplicaRequest::Digests.target("b1"));
    expect!["/control/bucket?bucket=5"].assert_eq(&ReplicaRequest::Bucket(5).target("b1"));
}

#[test]
fn percent_encoded_keys_round_trip() {
    for name in ["a&b=%?#+\"", "plain", "%41", "a%2Fb"] {
        let key = Key::new(RecordKind::Class, name).unwrap();
        let target = ReplicaRequest::Snapshot { after: Some(key.clone()) }.target("b1");
        let (_, encoded) = target.split_once("after=").unwrap();
        assert_eq!(Key::parse_percent_encoded(encoded), Ok(key));
    }
    for text in ["class/%", "class/%4", "class/%zz", "class/%00", "class/%ff", "other/x"] {
        assert!(Key::parse_percent_encoded(text).is_err(), "{text}");
    }
}
