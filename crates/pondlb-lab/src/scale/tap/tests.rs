use super::*;

#[test]
fn what_is_in_force_is_read_from_calls_for_changes_only() {
    let text = "GET /control/changes?name=b&epoch=2&from=7&digest=00000000000000ff&hold_ms=0 HTTP/1.1\r\n\r\n\
        GET /control/digests HTTP/1.1\r\n\r\nGET /control/changes?name=b&ep";
    let mut pending = text.as_bytes().to_vec();
    let first = next_request(&mut pending).and_then(|head| told(&head, 3));
    let version = Version { epoch: 2, revision: 7 };
    assert_eq!(first, Some(Told { at_us: 3, version, digest: "00000000000000ff".into() }));
    let second = next_request(&mut pending);
    assert_eq!(second.map(|head| told(&head, 4)), Some(None));
    assert_eq!(next_request(&mut pending), None);
}
