//! Bodies to and from their codings.

use pondlb_http::Head;

use super::{ContentCoding, DecodeError, decode, encode};

fn head(coding: Option<&str>) -> Head {
    let field = coding.map(|coding| ("Content-Encoding".to_string(), coding.as_bytes().to_vec()));
    Head { start_line: "HTTP/1.1 200 OK".into(), fields: field.into_iter().collect() }
}

#[test]
fn what_is_encoded_is_decoded_up_to_the_exact_bound() {
    let plain: Vec<u8> = b"0123456789".repeat(1000);
    let (body, coding) = encode(plain.clone(), ContentCoding::Gzip);
    assert_eq!(coding, ContentCoding::Gzip);
    assert!(body.len() < plain.len() / 10);
    let decoded = decode(&head(Some("gzip")), body.clone(), plain.len());
    assert_eq!(decoded.ok(), Some(plain.clone()));
    let refused = decode(&head(Some("gzip")), body, plain.len() - 1);
    assert!(matches!(refused, Err(DecodeError::TooLong(9999))), "{refused:?}");
    let refused = decode(&head(None), plain.clone(), plain.len() - 1);
    assert!(matches!(refused, Err(DecodeError::TooLong(9999))), "{refused:?}");
    assert_eq!(decode(&head(Some("identity")), plain.clone(), plain.len()).ok(), Some(plain));
}

#[test]
fn what_would_not_become_shorter_stays_as_it_is() {
    let short = vec![b' '; 511];
    assert_eq!(encode(short.clone(), ContentCoding::Gzip), (short, ContentCoding::Identity));
    let long = vec![b' '; 512];
    assert_eq!(encode(long.clone(), ContentCoding::Identity), (long, ContentCoding::Identity));
    // A linear congruential generator makes bytes without a pattern.
    let mut state = 1_u32;
    let noise: Vec<u8> = std::iter::repeat_with(|| {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        state.to_be_bytes()[0]
    })
    .take(4096)
    .collect();
    assert_eq!(encode(noise.clone(), ContentCoding::Gzip), (noise, ContentCoding::Identity));
}

#[test]
fn an_unknown_coding_is_named() {
    let refused = decode(&head(Some("br")), Vec::new(), 10).map_err(|error| error.to_string());
    assert_eq!(refused, Err("content coding \"br\" is not accepted".into()));
}

#[test]
fn a_told_length_that_lies_is_refused() {
    let plain: Vec<u8> = b"0123456789".repeat(1000);
    let (body, _) = encode(plain.clone(), ContentCoding::Gzip);
    for told in [0, 9_999, 10_001, u32::MAX] {
        let mut lying = body.clone();
        let end = lying.len() - 4;
        lying[end..].copy_from_slice(&told.to_le_bytes());
        let refused = decode(&head(Some("gzip")), lying, plain.len());
        assert!(matches!(refused, Err(DecodeError::InvalidGzip(_))), "{told}: {refused:?}");
    }
}
