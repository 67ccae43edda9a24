//! The definition of digests, which all versions of the program have to share: the wrapping sum of the XXH3 hashes of
//! key, NUL and value of each record.

mod common;

use common::{allow_all, key, value};
use pondlb_control::{Digest, Limits, NewChange, Store};
use xxhash_rust::xxh3::Xxh3;

/// Longer than the blocks of XXH3, so that all of its code paths for different lengths are tested.
const MAX_VALUE_BYTES: usize = 1200;

fn expected_hash(key: &str, value: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(value.as_bytes());
    hasher.digest()
}

#[test]
fn digest_is_sum_of_record_hashes_for_all_value_lengths() {
    let mut store = Store::new(1, Limits::default());
    let mut expected: u64 = 0;
    for length in 2..MAX_VALUE_BYTES {
        let text = format!("\"{}\"", "v".repeat(length - 2));
        let key = key(length as u64);
        expected = expected.wrapping_add(expected_hash(key.as_str(), &text));
        store.commit(&[NewChange { key, value: Some(value(&text)) }], &allow_all).unwrap();
        assert_eq!(store.digest(), Digest(expected), "a value of {length} bytes");
    }
}

#[test]
fn digest_of_known_record_is_stable() {
    let mut store = Store::new(1, Limits::default());
    store.commit(&[NewChange { key: key(0), value: Some(value("{\"size\":1}")) }], &allow_all).unwrap();
    expect_test::expect!["c2c5f3a4f74bcb07"].assert_eq(&store.digest().to_string());
}
