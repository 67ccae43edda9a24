//! Message parsing: valid messages, malformed and truncated ones, and corrupted input, each split into segments of
//! several sizes.

use std::fmt::Write;

use expect_test::expect;
use nanorand::{Rng, WyRand};
use pondlb_http::{
    Buffer, DEFAULT_MAX_BODY_BYTES, FramingFn, MAX_HEAD_BYTES, MAX_READER_BYTES, MessageReader,
    request_framing, response_framing,
};

/// Feeds `bytes` to the reader in segments of `segment_bytes`, then closes the connection. Returns the start line and
/// body of each message, one per line; an error ends the list.
fn parse_in_segments(mut reader: MessageReader, bytes: &[u8], segment_bytes: usize) -> String {
    let mut trace = String::new();
    for mut segment in bytes.chunks(segment_bytes) {
        while !segment.is_empty() {
            let space = reader.spare_capacity_mut();
            let count = segment.len().min(space.len());
            assert!(count > 0, "the reader must always have space for more of an incomplete message");
            space[..count].copy_from_slice(&segment[..count]);
            reader.mark_filled(count);
            segment = &segment[count..];
            loop {
                match reader.next_message() {
                    Ok(None) => break,
                    Ok(Some(message)) => {
                        let body = message.body.escape_ascii().to_string();
                        writeln!(trace, "{:?} {body:?}", message.head.start_line).unwrap();
                    }
                    Err(error) => {
                        writeln!(trace, "{error}").unwrap();
                        return trace;
                    }
                }
            }
        }
    }
    if let Some(message) = reader.finish() {
        let body = message.body.escape_ascii();
        writeln!(trace, "{:?} {body} until close", message.head.start_line).unwrap();
    }
    trace
}

/// Parses `bytes` in one segment, and checks that segments of other sizes give the same result.
fn parse_in_all_segment_sizes(framing: FramingFn, bytes: &str) -> String {
    let bytes = bytes.as_bytes();
    let unsegmented = parse_in_segments(MessageReader::new(framing), bytes, bytes.len().max(1));
    for segment_bytes in [1, 2, 3, 5, 13, 97] {
        let segmented = parse_in_segments(MessageReader::new(framing), bytes, segment_bytes);
        assert_eq!(segmented, unsegmented, "in segments of {segment_bytes} bytes");
    }
    unsegmented
}

#[test]
fn parsed_requests_do_not_depend_on_segmentation() {
    let bytes = "GET /a HTTP/1.1\r\nHost: b\r\n\r\n\
        POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello\
        \r\n\r\nPOST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: v\r\n\r\n\
        POST /d HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    expect![[r#"
        "GET /a HTTP/1.1" ""
        "POST /b HTTP/1.1" "hello"
        "POST /c HTTP/1.1" "hello"
        a chunked body in HTTP/1.0
    "#]]
    .assert_eq(&parse_in_all_segment_sizes(request_framing, bytes));
}

/// Guards against a peer that sends empty lines without end, and against empty lines that are taken for the begin of a
/// message.
#[test]
fn few_empty_lines_ahead_of_each_message_are_ignored_and_many_are_rejected() {
    let request = "GET /a HTTP/1.1\r\n\r\n";
    for (empty_lines, is_rejected) in [(1, false), (16, false), (17, true), (5000, true)] {
        let bytes = format!("{}{request}", "\r\n".repeat(empty_lines)).repeat(2);
        let trace = parse_in_all_segment_sizes(request_framing, &bytes);
        assert_eq!(trace == "too many empty lines\n", is_rejected, "{empty_lines}: {trace}");
    }
    let mut reader = MessageReader::new(request_framing);
    for (bytes, has_begun) in [("\r", false), ("\n", false), ("\r\n\r", false), ("\nG", true)] {
        reader.spare_capacity_mut()[..bytes.len()].copy_from_slice(bytes.as_bytes());
        reader.mark_filled(bytes.len());
        assert!(reader.next_message().unwrap().is_none());
        assert_eq!(reader.has_begun_message(), has_begun, "{bytes:?}");
    }
}

#[test]
fn responses_end_by_length_chunked_coding_or_connection_close() {
    let bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n\
        HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi\
        HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n\
        HTTP/1.0 200 OK\r\n\r\nhello";
    expect![[r#"
        "HTTP/1.1 100 Continue" ""
        "HTTP/1.1 204 None" ""
        "HTTP/1.1 200 OK" "hi"
        "HTTP/1.1 200 OK" "hi"
        "HTTP/1.0 200 OK" hello until close
    "#]]
    .assert_eq(&parse_in_all_segment_sizes(response_framing, bytes));
}

#[test]
fn malformed_or_oversized_requests_are_rejected() {
    let too_long_line = "x".repeat(MAX_HEAD_BYTES);
    let too_long_body = format!("Content-Length: {}\r\n", DEFAULT_MAX_BODY_BYTES + 1);
    let mut errors = String::new();
    for (fields, body) in [
        ("no colon\r\n", ""),
        ("Space : a\r\n", ""),
        ("Lone: a\nb: c\r\n", ""),
        ("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", ""),
        ("Content-Length: 5\r\nContent-Length: 5\r\n", ""),
        ("Content-Length: +5\r\n", ""),
        ("Transfer-Encoding: gzip, chunked\r\n", ""),
        ("Transfer-Encoding: chunked\r\n", "g\r\n"),
        ("Transfer-Encoding: chunked\r\n", "3\r\nhello\r\n"),
        ("Transfer-Encoding: chunked\r\n", "3\nhel\r\n"),
        ("Transfer-Encoding: chunked\r\n", "10001\r\n"),
        ("Transfer-Encoding: chunked\r\n", &too_long_line),
        (&too_long_body, ""),
        (&too_long_line, ""),
    ] {
        let request = format!("POST / HTTP/1.1\r\n{fields}\r\n{body}");
        errors += &parse_in_all_segment_sizes(request_framing, &request);
    }
    expect![[r#"
        a field has no colon
        a field's name is no token
        a line ends in a lone LF
        both Content-Length and Transfer-Encoding
        a field that may stand once stands twice
        Content-Length is no number
        a transfer coding other than chunked
        a chunk's size is no number
        a chunk is longer than it says
        a chunk's line ends in a lone LF
        the body is too long
        a chunk's line is too long
        the body is too long
        the head is too long
    "#]]
    .assert_eq(&errors);
}

/// A connection that breaks in the middle of a body must not make the part received so far look like a whole response.
#[test]
fn truncated_responses_are_never_returned() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
    ] {
        for end in 0..response.len() {
            let truncated = &response.as_bytes()[..end];
            let trace = parse_in_segments(MessageReader::new(response_framing), truncated, 7);
            assert_eq!(trace, "", "{:?}", &response[..end]);
        }
    }
}

/// Random bytes and randomly corrupted messages are parsed or rejected; they neither panic nor fill the buffer with an
/// incomplete message.
#[test]
fn corrupted_input_is_parsed_or_rejected_within_the_buffer() {
    let mut rng = WyRand::new_seed(7);
    let valid = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n\
        POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
    for round in 0..4000 {
        let mut bytes: Vec<u8> = valid.into();
        if round % 10 == 0 {
            bytes = (0..200).map(|_| rng.generate()).collect();
        }
        for _ in 0..rng.generate_range(1..4_usize) {
            let position = rng.generate_range(0..bytes.len());
            match rng.generate_range(0..3_u8) {
                0 => bytes[position] = rng.generate(),
                1 => drop(bytes.drain(position..(position + 9).min(bytes.len()))),
                _ => bytes.extend_from_within(position..),
            }
        }
        let segment_bytes = rng.generate_range(1..50);
        parse_in_segments(MessageReader::new(request_framing), &bytes, segment_bytes);
        parse_in_segments(MessageReader::new(response_framing), &bytes, segment_bytes);
    }
}

#[test]
fn buffer_compacts_before_it_grows_and_frees_memory_when_empty() {
    let mut buffer = Buffer::new(MAX_READER_BYTES);
    let mut trace = String::new();
    let mut record = |step: &str, buffer: &mut Buffer| {
        writeln!(
            trace,
            "{step}: {} filled, {} spare",
            buffer.filled().len(),
            buffer.spare_capacity_mut().len()
        )
        .unwrap();
    };
    record("new", &mut buffer);
    buffer.mark_filled(2048);
    record("full", &mut buffer);
    buffer.consume(2000);
    buffer.mark_filled(2048);
    record("consumed and full again", &mut buffer);
    buffer.consume(2090);
    record("nearly empty", &mut buffer);
    buffer.consume(6);
    record("empty", &mut buffer);
    expect![[r#"
        new: 0 filled, 2048 spare
        full: 2048 filled, 2048 spare
        consumed and full again: 2096 filled, 2000 spare
        nearly empty: 6 filled, 2000 spare
        empty: 0 filled, 2048 spare
    "#]]
    .assert_eq(&trace);
}
