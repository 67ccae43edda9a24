//! Requests at the commit address of the origin.

use pondlb_control::{CommitRequest, CommitResponse};
use pondlb_http::Message;

use super::request::{RequestError, method_and_target};
use super::state::ServerState;
use crate::http::{Response, StatusCode};

const COMMIT_PATH: &str = "/control/commit";

/// Handles a request at the commit address. All of its changes are committed, or none.
pub fn handle_request(state: &ServerState, message: &Message) -> Response {
    match method_and_target(&message.head) {
        Ok(("POST", COMMIT_PATH)) => commit(state, &message.body),
        Ok((_, target)) if target != COMMIT_PATH => RequestError::UnknownPath(target.to_string()).response(),
        Ok((method, _)) => RequestError::MethodNotAllowed(method.to_string()).response(),
        Err(error) => error.response(),
    }
}

fn commit(state: &ServerState, body: &[u8]) -> Response {
    let commit: CommitRequest = match serde_json::from_slice(body) {
        Ok(commit) => commit,
        Err(error) => return Response::text(StatusCode::BadRequest, &error.to_string()),
    };
    match state.commit(&commit.changes) {
        Ok(version) => {
            log::info!("{} changes committed: version {version}", commit.changes.len());
            Response::json(&CommitResponse { version })
        }
        Err(error) => Response::text(StatusCode::BadRequest, &error.to_string()),
    }
}
