use super::*;

fn told(revision: u64, digest: &str) -> Told {
    Told { at_us: revision, version: Version { epoch: 1, revision }, digest: digest.into() }
}

#[test]
fn a_balancer_that_was_started_again_begins_from_nothing() {
    let heard = Heard::default();
    heard.note(0, told(7, "a"));
    heard.begin_life();
    assert_eq!(heard.in_force(), None);
    // On its way when the one before ended.
    heard.note(0, told(8, "b"));
    heard.note(1, told(0, NOTHING_IN_FORCE));
    assert_eq!(heard.in_force(), None);
    heard.note(1, told(6, "c"));
    assert_eq!(heard.in_force(), Some(told(6, "c")));
    assert!(!heard.went_back.get());
    heard.note(1, told(5, "d"));
    assert!(heard.went_back.get());
}

#[test]
fn what_is_in_force_is_read_from_calls_for_changes_only() {
    let text = "GET /control/changes?name=b&epoch=2&from=7&digest=00000000000000ff&hold_ms=0 HTTP/1.1\r\n\r\n\
        GET /control/digests HTTP/1.1\r\n\r\nGET /control/changes?name=b&ep";
    let mut pending = text.as_bytes().to_vec();
    let first = next_request(&mut pending).and_then(|head| super::told(&head, 3));
    let version = Version { epoch: 2, revision: 7 };
    assert_eq!(first, Some(Told { at_us: 3, version, digest: "00000000000000ff".into() }));
    let second = next_request(&mut pending);
    assert_eq!(second.map(|head| super::told(&head, 4)), Some(None));
    assert_eq!(next_request(&mut pending), None);
}
