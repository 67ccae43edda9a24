use super::*;

fn state(revision: u64, digest: &str) -> ReportedState {
    ReportedState { at_us: revision, version: Version { epoch: 1, revision }, digest: digest.into() }
}

#[test]
fn a_restarted_balancer_has_nothing_in_force_until_its_first_new_state() {
    let log = TapLog::default();
    log.record_call(0, state(7, "a"));
    log.start_new_run();
    assert_eq!(log.in_force(), None);
    // This call was under way when the balancer ended.
    log.record_call(0, state(8, "b"));
    log.record_call(1, state(0, DIGEST_OF_NO_RECORDS));
    assert_eq!(log.in_force(), None);
    log.record_call(1, state(6, "c"));
    assert_eq!(log.in_force(), Some(state(6, "c")));
    assert!(!log.has_regressed.get());
    log.record_call(1, state(5, "d"));
    assert!(log.has_regressed.get());
}

#[test]
fn the_state_is_parsed_from_calls_for_changes_only() {
    let text = "GET /control/changes?name=b&epoch=2&from=7&digest=00000000000000ff&hold_ms=0 HTTP/1.1\r\n\r\n\
        GET /control/digests HTTP/1.1\r\n\r\nGET /control/changes?name=b&ep";
    let mut pending = text.as_bytes().to_vec();
    let first = next_request(&mut pending).and_then(|head| super::parse_changes_call(&head, 3));
    let version = Version { epoch: 2, revision: 7 };
    assert_eq!(first, Some(ReportedState { at_us: 3, version, digest: "00000000000000ff".into() }));
    let second = next_request(&mut pending);
    assert_eq!(second.map(|head| super::parse_changes_call(&head, 4)), Some(None));
    assert_eq!(next_request(&mut pending), None);
}
