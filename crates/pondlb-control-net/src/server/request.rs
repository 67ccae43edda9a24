//! What a request asks of a control server.

use std::time::Duration;

use pondlb_control::{Digest, Key, LongPoll, ReplicaRequest, Version};
use pondlb_http::Head;

use crate::client::REFUSED;
use crate::http::{Response, Status};
use crate::options::is_caller_name;

/// No answer is held longer.
const MOST_HOLD: Duration = Duration::from_secs(60);

/// A request of a follower, or of somebody who looks at them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A call of the protocol.
    Call {
        /// Who calls, where the call tells it.
        caller: Option<Caller>,
        /// What is asked.
        call: ReplicaRequest,
    },
    /// The table of followers.
    Followers,
}

/// What a follower tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Its name.
    pub name: String,
    /// How many records of its version it could not put in force.
    pub refused: u64,
}

/// Why a request is not answered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The first line is no request of HTTP/1.1.
    #[error("the first line is no request")]
    Malformed,
    /// Another method than the address serves.
    #[error("{0} is not served here")]
    Method(String),
    /// No such path.
    #[error("{0}: no such path")]
    Path(String),
    /// A parameter is missing or can't be read.
    #[error("{parameter}: {accepted} is accepted")]
    Parameter {
        /// Which one.
        parameter: &'static str,
        /// What is accepted.
        accepted: &'static str,
    },
}

impl RequestError {
    /// What the caller is answered.
    pub fn response(&self) -> Response {
        let status = match self {
            RequestError::Malformed | RequestError::Parameter { .. } => Status::BadRequest,
            RequestError::Method(_) => Status::MethodNotAllowed,
            RequestError::Path(_) => Status::NotFound,
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
    /// Reads a request from its head.
    pub fn read(head: &Head) -> Result<Request, RequestError> {
        let (method, target) = method_and_target(head)?;
        if method != "GET" {
            return Err(RequestError::Method(method.to_string()));
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/control/changes" => Request::changes(&Query(query)),
            "/control/snapshot" => Request::snapshot(query),
            "/control/digests" => Ok(Request::Call { caller: None, call: ReplicaRequest::Digests }),
            "/control/bucket" => {
                let bucket = Query(query).number("bucket")?;
                let bucket = usize::try_from(bucket).unwrap_or(usize::MAX);
                Ok(Request::Call { caller: None, call: ReplicaRequest::Bucket(bucket) })
            }
            "/control/followers" => Ok(Request::Followers),
            _ => Err(RequestError::Path(path.to_string())),
        }
    }

    fn changes(query: &Query<'_>) -> Result<Request, RequestError> {
        let name = query.get("name").filter(|name| is_caller_name(name));
        let name = name.ok_or(RequestError::Parameter { parameter: "name", accepted: "a name" })?;
        let from = Version { epoch: query.number("epoch")?, revision: query.number("from")? };
        let digest = query.get("digest").and_then(read_digest);
        let digest = digest
            .ok_or(RequestError::Parameter { parameter: "digest", accepted: "16 hexadecimal digits" })?;
        let hold = match query.number("hold_ms")? {
            0 => LongPoll::No,
            hold_ms => LongPoll::UpTo(Duration::from_millis(hold_ms).min(MOST_HOLD)),
        };
        let refused = if query.get(REFUSED).is_some() { query.number(REFUSED)? } else { 0 };
        let caller = Caller { name: name.to_string(), refused };
        Ok(Request::Call { caller: Some(caller), call: ReplicaRequest::Changes { from, digest, hold } })
    }

    fn snapshot(query: &str) -> Result<Request, RequestError> {
        let bad = RequestError::Parameter { parameter: "after", accepted: "a key" };
        let after = match Query(query).get("after") {
            None if query.is_empty() => None,
            None => return Err(bad),
            Some(after) => Some(Key::parse_percent_encoded(after).map_err(|_| bad)?),
        };
        Ok(Request::Call { caller: None, call: ReplicaRequest::Snapshot { after } })
    }
}

/// The parameters of a request, as they came.
struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        self.0
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }

    fn number(&self, name: &'static str) -> Result<u64, RequestError> {
        let value = self.get(name).filter(|value| value.bytes().all(|byte| byte.is_ascii_digit()));
        let number = value.and_then(|value| value.parse().ok());
        number.ok_or(RequestError::Parameter { parameter: name, accepted: "a whole number" })
    }
}

fn read_digest(text: &str) -> Option<Digest> {
    let is_digest = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_digest).map(Digest)
}
