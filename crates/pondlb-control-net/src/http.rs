//! Responses of a control server, and requests to one, as bytes.

use std::net::SocketAddr;
use std::rc::Rc;

use pondlb_http::MessageError;
use serde::Serialize;

use crate::coding::{ContentCoding, GZIP};

/// Names the statuses that a control server answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ok,
    BadRequest,
    NotFound,
    MethodNotAllowed,
    ContentTooLarge,
    HeadTooLarge,
    Unavailable,
}

impl Status {
    fn line(self) -> &'static str {
        match self {
            Status::Ok => "200 OK",
            Status::BadRequest => "400 Bad Request",
            Status::NotFound => "404 Not Found",
            Status::MethodNotAllowed => "405 Method Not Allowed",
            Status::ContentTooLarge => "413 Content Too Large",
            Status::HeadTooLarge => "431 Request Header Fields Too Large",
            Status::Unavailable => "503 Service Unavailable",
        }
    }
}

/// A whole response.
#[derive(Debug)]
pub struct Response {
    pub status: Status,
    pub body: Rc<[u8]>,
    /// The coding that the body has.
    pub coding: ContentCoding,
    /// The connection ends with it.
    pub close: bool,
}

/// After how many seconds a caller that is turned away may come again.
const RETRY_AFTER_SECONDS: u32 = 1;

impl Response {
    /// A response of JSON.
    pub fn json(value: &impl Serialize) -> Response {
        match serde_json::to_vec(value) {
            Ok(body) => Response::ok(body.into(), ContentCoding::Identity),
            Err(error) => {
                Response::text(Status::Unavailable, &format!("the answer can't be written: {error}"))
            }
        }
    }

    /// A response whose body is JSON in this coding.
    pub fn ok(body: Rc<[u8]>, coding: ContentCoding) -> Response {
        Response { status: Status::Ok, body, coding, close: false }
    }

    /// A response that says why a request is not answered.
    pub fn text(status: Status, reason: &str) -> Response {
        let body = format!("{reason}\n").into_bytes().into();
        Response { status, body, coding: ContentCoding::Identity, close: false }
    }

    /// The response to what is no request. The connection ends: nobody knows where the next request begins.
    pub fn to_fault(fault: MessageError) -> Response {
        let status = match fault {
            MessageError::Malformed(_) => Status::BadRequest,
            MessageError::HeadTooLong => Status::HeadTooLarge,
            MessageError::BodyTooLong => Status::ContentTooLarge,
            MessageError::MethodNotAllowed => Status::MethodNotAllowed,
        };
        Response::text(status, &fault.to_string()).and_close()
    }

    /// The same, as the last on its connection.
    pub fn and_close(mut self) -> Response {
        self.close = true;
        self
    }

    /// The bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let content_type = if self.status == Status::Ok { "application/json" } else { "text/plain" };
        let length = self.body.len();
        let mut bytes = Vec::with_capacity(192 + length);
        bytes.extend_from_slice(format!("HTTP/1.1 {}\r\n", self.status.line()).as_bytes());
        bytes.extend_from_slice(
            format!("Content-Type: {content_type}\r\nContent-Length: {length}\r\n").as_bytes(),
        );
        if self.coding == ContentCoding::Gzip {
            bytes.extend_from_slice(format!("Content-Encoding: {GZIP}\r\n").as_bytes());
        }
        if self.status == Status::Unavailable {
            bytes.extend_from_slice(format!("Retry-After: {RETRY_AFTER_SECONDS}\r\n").as_bytes());
        }
        if self.close {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A request without a body, whose answer may be compressed.
pub fn get(server: SocketAddr, target: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: {server}\r\nAccept-Encoding: {GZIP}\r\n\r\n").into_bytes()
}
