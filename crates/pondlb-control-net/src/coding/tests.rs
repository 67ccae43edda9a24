//! Unit tests of the encoding and decoding of bodies.

use pondlb_http::Head;

use super::{ContentCoding, DecodeError, decode, encode};

/// The head of a response with this `Content-Encoding`.
fn head(coding: Option<&str>) -> Head {
    let field = coding.map(|coding| ("Content-Encoding".to_string(), coding.as_bytes().to_vec()));
    Head { start_line: "HTTP/1.1 200 OK".into(), fields: field.into_iter().collect() }
}

#[test]
fn encoded_body_is_decoded_up_to_the_exact_limit() {
    let plain: Vec<u8> = b"0123456789".repeat(1000);
    let (body, coding) = encode(plain.clone(), ContentCoding::Gzip);
    assert_eq!(coding, ContentCoding::Gzip);
    assert!(body.len() < plain.len() / 10);
    let decoded = decode(&head(Some("gzip")), body.clone(), plain.len());
    assert_eq!(decoded.ok(), Some(plain.clone()));
    let result = decode(&head(Some("gzip")), body, plain.len() - 1);
    assert!(matches!(result, Err(DecodeError::TooLong(9999))), "{result:?}");
    let result = decode(&head(None), plain.clone(), plain.len() - 1);
    assert!(matches!(result, Err(DecodeError::TooLong(9999))), "{result:?}");
    assert_eq!(decode(&head(Some("identity")), plain.clone(), plain.len()).ok(), Some(plain));
}

#[test]
fn short_and_incompressible_bodies_are_not_compressed() {
    let short = vec![b' '; 511];
    assert_eq!(encode(short.clone(), ContentCoding::Gzip), (short, ContentCoding::Identity));
    let long = vec![b' '; 512];
    assert_eq!(encode(long.clone(), ContentCoding::Identity), (long, ContentCoding::Identity));
    // The output of a linear congruential generator is incompressible.
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
fn unknown_coding_is_rejected_by_name() {
    let result = decode(&head(Some("br")), Vec::new(), 10).map_err(|error| error.to_string());
    assert_eq!(result, Err("content coding \"br\" is not accepted".into()));
}

#[test]
fn wrong_declared_length_is_rejected() {
    let plain: Vec<u8> = b"0123456789".repeat(1000);
    let (body, _) = encode(plain.clone(), ContentCoding::Gzip);
    for declared in [0, 9_999, 10_001, u32::MAX] {
        let mut altered = body.clone();
        let end = altered.len() - 4;
        altered[end..].copy_from_slice(&declared.to_le_bytes());
        let result = decode(&head(Some("gzip")), altered, plain.len());
        assert!(matches!(result, Err(DecodeError::InvalidGzip(_))), "{declared}: {result:?}");
    }
}
