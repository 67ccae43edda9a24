//! The address of the origin at which changes are committed.

use pondlb_control::{CommitRequest, CommitResponse};
use pondlb_http::Message;

use super::request::{RequestError, method_and_target};
use super::state::State;
use crate::http::{Response, Status};

const PATH: &str = "/control/commit";

/// Answers a request at the commit address: takes all of its changes or none.
pub fn answer(state: &State, message: &Message) -> Response {
    match method_and_target(&message.head) {
        Ok(("POST", PATH)) => commit(state, &message.body),
        Ok((_, target)) if target != PATH => RequestError::Path(target.to_string()).response(),
        Ok((method, _)) => RequestError::Method(method.to_string()).response(),
        Err(error) => error.response(),
    }
}

fn commit(state: &State, body: &[u8]) -> Response {
    let commit: CommitRequest = match serde_json::from_slice(body) {
        Ok(commit) => commit,
        Err(error) => return Response::text(Status::BadRequest, &error.to_string()),
    };
    match state.commit(&commit.changes) {
        Ok(version) => {
            log::info!("{} changes committed: version {version}", commit.changes.len());
            Response::json(&CommitResponse { version })
        }
        Err(error) => Response::text(Status::BadRequest, &error.to_string()),
    }
}
