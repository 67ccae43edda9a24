//! Encoding of the HTTP messages of the control protocol.

use std::net::SocketAddr;
use std::rc::Rc;

use pondlb_http::MessageError;
use serde::Serialize;

use crate::coding::{ContentCoding, GZIP};

/// The status codes of a control server's responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusCode {
    Ok,
    BadRequest,
    NotFound,
    MethodNotAllowed,
    ContentTooLarge,
    HeadTooLarge,
    Unavailable,
}

impl StatusCode {
    /// The status code and the reason phrase, as in the status line.
    fn code_and_reason(self) -> &'static str {
        match self {
            StatusCode::Ok => "200 OK",
            StatusCode::BadRequest => "400 Bad Request",
            StatusCode::NotFound => "404 Not Found",
            StatusCode::MethodNotAllowed => "405 Method Not Allowed",
            StatusCode::ContentTooLarge => "413 Content Too Large",
            StatusCode::HeadTooLarge => "431 Request Header Fields Too Large",
            StatusCode::Unavailable => "503 Service Unavailable",
        }
    }
}

/// A response of a control server.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub body: Rc<[u8]>,
    /// The content coding of the body.
    pub coding: ContentCoding,
    /// Whether the server closes the connection after the response.
    pub closes_connection: bool,
}

/// The `Retry-After` time of responses with status 503.
const RETRY_AFTER_SECONDS: u32 = 1;

/// The capacity that is allocated for the head of a response.
const EXPECTED_HEAD_BYTES: usize = 192;

impl Response {
    /// A response with a value as uncompressed JSON.
    pub fn json(value: &impl Serialize) -> Response {
        match serde_json::to_vec(value) {
            Ok(body) => Response::json_bytes(body.into(), ContentCoding::Identity),
            Err(error) => {
                Response::text(StatusCode::Unavailable, &format!("the answer can't be written: {error}"))
            }
        }
    }

    /// A response with JSON that is already encoded in this coding.
    pub fn json_bytes(body: Rc<[u8]>, coding: ContentCoding) -> Response {
        Response { status: StatusCode::Ok, body, coding, closes_connection: false }
    }

    /// An error response with a reason as plain text.
    pub fn text(status: StatusCode, reason: &str) -> Response {
        let body = format!("{reason}\n").into_bytes().into();
        Response { status, body, coding: ContentCoding::Identity, closes_connection: false }
    }

    /// The response to a malformed request. It closes the connection, because the start of the next request is unknown.
    pub fn for_message_error(error: MessageError) -> Response {
        let status = match error {
            MessageError::Malformed(_) => StatusCode::BadRequest,
            MessageError::HeadTooLong => StatusCode::HeadTooLarge,
            MessageError::BodyTooLong => StatusCode::ContentTooLarge,
            MessageError::MethodNotAllowed => StatusCode::MethodNotAllowed,
        };
        Response::text(status, &error.to_string()).closing_connection()
    }

    /// The same response, but as the last one of its connection.
    pub fn closing_connection(mut self) -> Response {
        self.closes_connection = true;
        self
    }

    /// Encodes the response as it is sent.
    pub fn encode(&self) -> Vec<u8> {
        let content_type = if self.status == StatusCode::Ok { "application/json" } else { "text/plain" };
        let length = self.body.len();
        let mut bytes = Vec::with_capacity(EXPECTED_HEAD_BYTES + length);
        bytes.extend_from_slice(format!("HTTP/1.1 {}\r\n", self.status.code_and_reason()).as_bytes());
        bytes.extend_from_slice(
            format!("Content-Type: {content_type}\r\nContent-Length: {length}\r\n").as_bytes(),
        );
        if self.coding == ContentCoding::Gzip {
            bytes.extend_from_slice(format!("Content-Encoding: {GZIP}\r\n").as_bytes());
        }
        if self.status == StatusCode::Unavailable {
            bytes.extend_from_slice(format!("Retry-After: {RETRY_AFTER_SECONDS}\r\n").as_bytes());
        }
        if self.closes_connection {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Encodes a GET request that accepts a gzip-compressed response.
pub fn encode_get_request(server: SocketAddr, target: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: {server}\r\nAccept-Encoding: {GZIP}\r\n\r\n").into_bytes()
}
