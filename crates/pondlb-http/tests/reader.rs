//! The reader, byte by byte and on garbage.

use std::fmt::Write;

use expect_test::expect;
use nanorand::{Rng, WyRand};
use pondlb_http::{
    BodyFraming, Buffer, DEFAULT_MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_READER_BYTES, MessageError,
    MessageReader, request_framing, response_framing,
};

/// The first lines and bodies that a reader makes of bytes in pieces of this size; a fault ends them.
fn read(mut reader: MessageReader, bytes: &[u8], piece: usize) -> String {
    let mut made = String::new();
    for mut part in bytes.chunks(piece) {
        while !part.is_empty() {
            let room = reader.spare_capacity_mut();
            let count = part.len().min(room.len());
            assert!(count > 0, "a message that is under way always finds room");
            room[..count].copy_from_slice(&part[..count]);
            reader.mark_filled(count);
            part = &part[count..];
            loop {
                match reader.next_message() {
                    Ok(None) => break,
                    Ok(Some(message)) => {
                        let body = message.body.escape_ascii().to_string();
                        writeln!(made, "{:?} {body:?}", message.head.start_line).unwrap();
                    }
                    Err(fault) => {
                        writeln!(made, "{fault}").unwrap();
                        return made;
                    }
                }
            }
        }
    }
    if let Some(message) = reader.finish() {
        writeln!(made, "{:?} {} until the end", message.head.start_line, message.body.escape_ascii())
            .unwrap();
    }
    made
}

/// However the bytes are cut, the same comes of them.
fn read_in_pieces(
    framing: fn(&pondlb_http::Head) -> Result<BodyFraming, MessageError>,
    bytes: &str,
) -> String {
    let whole = read(MessageReader::new(framing), bytes.as_bytes(), bytes.len().max(1));
    for piece in [1, 2, 3, 5, 13, 97] {
        assert_eq!(read(MessageReader::new(framing), bytes.as_bytes(), piece), whole, "in pieces of {piece}");
    }
    whole
}

#[test]
fn requests_are_read_alike_however_they_are_cut() {
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
    .assert_eq(&read_in_pieces(request_framing, bytes));
}

#[test]
fn answers_end_by_length_by_chunks_or_with_the_connection() {
    let bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n\
        HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi\
        HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n\
        HTTP/1.0 200 OK\r\n\r\nhello";
    expect![[r#"
        "HTTP/1.1 100 Continue" ""
        "HTTP/1.1 204 None" ""
        "HTTP/1.1 200 OK" "hi"
        "HTTP/1.1 200 OK" "hi"
        "HTTP/1.0 200 OK" hello until the end
    "#]]
    .assert_eq(&read_in_pieces(response_framing, bytes));
}

#[test]
fn what_is_no_message_is_refused() {
    let long = "x".repeat(MAX_HEAD_BYTES);
    let too_long_body = format!("Content-Length: {}\r\n", DEFAULT_MAX_BODY_BYTES + 1);
    let mut made = String::new();
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
        ("Transfer-Encoding: chunked\r\n", &long),
        (&too_long_body, ""),
        (&long, ""),
    ] {
        made += &read_in_pieces(request_framing, &format!("POST / HTTP/1.1\r\n{fields}\r\n{body}"));
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
    .assert_eq(&made);
}

#[test]
fn a_message_that_is_cut_short_never_passes_for_whole() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
    ] {
        for end in 0..answer.len() {
            let made = read(MessageReader::new(response_framing), &answer.as_bytes()[..end], 7);
            assert_eq!(made, "", "{:?}", &answer[..end]);
        }
    }
}

#[test]
fn garbage_is_read_or_refused_in_bounded_memory() {
    let mut rng = WyRand::new_seed(7);
    let good = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n\
        POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
    for round in 0..4000 {
        let mut bytes: Vec<u8> = good.into();
        if round % 10 == 0 {
            bytes = (0..200).map(|_| rng.generate()).collect();
        }
        for _ in 0..rng.generate_range(1..4_usize) {
            let at = rng.generate_range(0..bytes.len());
            match rng.generate_range(0..3_u8) {
                0 => bytes[at] = rng.generate(),
                1 => drop(bytes.drain(at..(at + 9).min(bytes.len()))),
                _ => bytes.extend_from_within(at..),
            }
        }
        let piece = rng.generate_range(1..50);
        read(MessageReader::new(request_framing), &bytes, piece);
        read(MessageReader::new(response_framing), &bytes, piece);
    }
}

#[test]
fn a_buffer_moves_what_is_left_to_its_front_and_gives_memory_back() {
    let mut buffer = Buffer::new(MAX_READER_BYTES);
    let mut trace = String::new();
    let mut note = |what: &str, buffer: &mut Buffer| {
        writeln!(
            trace,
            "{what}: {} held, room for {}",
            buffer.filled().len(),
            buffer.spare_capacity_mut().len()
        )
        .unwrap();
    };
    note("new", &mut buffer);
    buffer.mark_filled(2048);
    note("full", &mut buffer);
    buffer.consume(2000);
    buffer.mark_filled(2048);
    note("taken and full again", &mut buffer);
    buffer.consume(2090);
    note("nearly empty", &mut buffer);
    buffer.consume(6);
    note("empty", &mut buffer);
    expect![[r#"
        new: 0 held, room for 2048
        full: 2048 held, room for 2048
        taken and full again: 2096 held, room for 2000
        nearly empty: 6 held, room for 2000
        empty: 0 held, room for 2048
    "#]]
    .assert_eq(&trace);
}
