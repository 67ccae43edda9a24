//! Parsing of the requests to a control server.

use std::time::Duration;

use pondlb_control::{Digest, Key, LongPoll, ReplicaRequest, Version};
use pondlb_http::Head;

use crate::client::UNAPPLIED_RECORDS_PARAMETER;
use crate::http::{Response, StatusCode};
use crate::options::is_valid_caller_name;

/// The maximum time for which a request is held.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// A request at the address for followers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A request of a replica.
    Replica {
        /// The follower; only requests for changes contain it.
        caller: Option<Caller>,
        /// The parsed request.
        request: ReplicaRequest,
    },
    /// A request of an operator for the table of followers.
    Followers,
}

/// What a follower reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Its name.
    pub name: String,
    /// The number of records of its version that it could not apply.
    pub unapplied_records: u64,
}

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The first line is not the request line of an HTTP/1.1 request with a path.
    #[error("the first line is no request")]
    Malformed,
    /// The method is not allowed at this address.
    #[error("{0} is not served here")]
    MethodNotAllowed(String),
    /// There is no such path.
    #[error("{0}: no such path")]
    UnknownPath(String),
    /// A query parameter is missing or invalid.
    #[error("{parameter}: {accepted} is accepted")]
    InvalidParameter {
        /// The name of the parameter.
        parameter: &'static str,
        /// Which values are accepted.
        accepted: &'static str,
    },
}

impl RequestError {
    /// The error response.
    pub fn response(&self) -> Response {
        let status = match self {
            RequestError::Malformed | RequestError::InvalidParameter { .. } => StatusCode::BadRequest,
            RequestError::MethodNotAllowed(_) => StatusCode::MethodNotAllowed,
            RequestError::UnknownPath(_) => StatusCode::NotFound,
        };
        Response::text(status, &self.to_string())
    }
}

/// The method and target of a request.
pub fn method_and_target(head: &Head) -> Result<(&str, &str), RequestError> {
    let mut words = head.start_line.split(' ');
    match (words.next(), words.next(), words.next(), words.next()) {
        (Some(method), Some(target), Some("HTTP/1.1"), None) if target.starts_with('/') => {
            Ok((method, target))
        }
        _ => Err(RequestError::Malformed),
    }
}

impl Request {
    /// Parses the head of a request.
    pub fn parse(head: &Head) -> Result<Request, RequestError> {
        let (method, target) = method_and_target(head)?;
        if method != "GET" {
            return Err(RequestError::MethodNotAllowed(method.to_string()));
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/control/changes" => Request::parse_changes(&Query(query)),
            "/control/snapshot" => Request::parse_snapshot(query),
            "/control/digests" => Ok(Request::Replica { caller: None, request: ReplicaRequest::Digests }),
            "/control/bucket" => {
                let bucket = Query(query).parse_number("bucket")?;
                let bucket = usize::try_from(bucket).unwrap_or(usize::MAX);
                Ok(Request::Replica { caller: None, request: ReplicaRequest::Bucket(bucket) })
            }
            "/control/followers" => Ok(Request::Followers),
            _ => Err(RequestError::UnknownPath(path.to_string())),
        }
    }

    fn parse_changes(query: &Query<'_>) -> Result<Request, RequestError> {
        let name = query.get("name").filter(|name| is_valid_caller_name(name));
        let name = name.ok_or(RequestError::InvalidParameter { parameter: "name", accepted: "a name" })?;
        let from = Version { epoch: query.parse_number("epoch")?, revision: query.parse_number("from")? };
        let digest = query.get("digest").and_then(parse_digest);
        let digest = digest.ok_or(RequestError::InvalidParameter {
            parameter: "digest",
            accepted: "16 hexadecimal digits",
        })?;
        let hold = match query.parse_number("hold_ms")? {
            0 => LongPoll::No,
            hold_ms => LongPoll::UpTo(Duration::from_millis(hold_ms).min(MAX_HOLD)),
        };
        let unapplied_records = if query.get(UNAPPLIED_RECORDS_PARAMETER).is_some() {
            query.parse_number(UNAPPLIED_RECORDS_PARAMETER)?
        } else {
            0
        };
        let caller = Caller { name: name.to_string(), unapplied_records };
        Ok(Request::Replica { caller: Some(caller), request: ReplicaRequest::Changes { from, digest, hold } })
    }

    fn parse_snapshot(query: &str) -> Result<Request, RequestError> {
        let invalid = RequestError::InvalidParameter { parameter: "after", accepted: "a key" };
        let after = match Query(query).get("after") {
            None if query.is_empty() => None,
            None => return Err(invalid),
            Some(after) => Some(Key::parse_percent_encoded(after).map_err(|_| invalid)?),
        };
        Ok(Request::Replica { caller: None, request: ReplicaRequest::Snapshot { after } })
    }
}

/// The query string of a target. Values are not decoded.
struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// The value of the first parameter with this name.
    fn get(&self, name: &str) -> Option<&'a str> {
        self.0
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }

    /// The value of a required parameter that is an unsigned decimal number.
    fn parse_number(&self, name: &'static str) -> Result<u64, RequestError> {
        let value = self.get(name).filter(|value| value.bytes().all(|byte| byte.is_ascii_digit()));
        let number = value.and_then(|value| value.parse().ok());
        number.ok_or(RequestError::InvalidParameter { parameter: name, accepted: "a whole number" })
    }
}

/// Parses the 16 hexadecimal digits of a digest.
fn parse_digest(text: &str) -> Option<Digest> {
    let is_digest = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_digest).map(Digest)
}
