//! Answers to the calls of followers, and when they are given.

use std::time::Duration;

use pondlb_control::{Digest, Key, LongPoll, ReplicaRequest, Version};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::request::Request;
use super::response_cache::{EncodedResponse, ResponseContent, ResponseKey};
use super::state::ServerState;
use crate::coding::ContentCoding;
use crate::http::{Response, StatusCode};

/// What a caller on one connection was answered before.
#[derive(Debug, Default)]
pub struct UpdatePacing {
    /// When it was last answered with news.
    last_update_at: Option<Instant>,
    /// More news were promised.
    has_more: bool,
}

/// Answers a request in a coding that the caller accepts. It may wait for news.
pub async fn handle_request(
    state: &ServerState,
    request: Request,
    accepted: ContentCoding,
    pace: &mut UpdatePacing,
) -> Response {
    let (caller, call) = match request {
        Request::Followers => return Response::json(&state.followers()),
        Request::Replica { caller, request: call } => (caller, call),
    };
    if !state.is_ready() {
        return unavailable("this server holds no state yet");
    }
    match call {
        ReplicaRequest::Changes { from, digest, hold } => {
            if let Some(caller) = caller {
                state.record_follower(&caller, from, digest);
            }
            wait_for_changes(state, from, digest, hold, pace).await;
            respond_with_changes(state, from, accepted, pace)
        }
        ReplicaRequest::Snapshot { after } => respond_with_snapshot_page(state, after, accepted).await,
        ReplicaRequest::Digests => to_response(
            state.response(ResponseKey { content: ResponseContent::Digests, accepted_coding: accepted }),
        ),
        ReplicaRequest::Bucket(bucket) if !state.has_bucket(bucket) => {
            Response::text(StatusCode::BadRequest, "bucket: no such bucket")
        }
        ReplicaRequest::Bucket(bucket) => {
            to_response(state.response(ResponseKey {
                content: ResponseContent::Bucket(bucket),
                accepted_coding: accepted,
            }))
        }
    }
}

/// Returns once the store is newer than the caller, or the hold is over. News wait until some time has passed since
/// the last, so that many changes make few answers; what was promised comes at once.
async fn wait_for_changes(
    state: &ServerState,
    from: Version,
    digest: Digest,
    hold: LongPoll,
    pace: &UpdatePacing,
) {
    let LongPoll::UpTo(hold) = hold else { return };
    // Its records are not those of its version: it is told so at once.
    if from == state.version() && digest != state.digest() {
        return;
    }
    let until = Instant::now() + hold;
    let mut versions = state.subscribe_versions();
    while *versions.borrow_and_update() <= from {
        if !matches!(timeout_at(until, versions.changed()).await, Ok(Ok(()))) {
            return;
        }
    }
    let gathered =
        pace.last_update_at.filter(|_| !pace.has_more).map(|at| at + state.options().min_update_interval);
    if let Some(gathered) = gathered {
        sleep_until(gathered.min(until)).await;
    }
}

fn respond_with_changes(
    state: &ServerState,
    from: Version,
    accepted: ContentCoding,
    pace: &mut UpdatePacing,
) -> Response {
    let version = state.version();
    if version < from {
        return unavailable(&format!("this server is at {version}, behind {from}"));
    }
    let content = ResponseContent::Changes { from, stale_ms: state.stale_ms() };
    let answer = state.response(ResponseKey { content, accepted_coding: accepted });
    if let Ok(answer) = &answer {
        if answer.has_changes {
            pace.last_update_at = Some(Instant::now());
        }
        pace.has_more = answer.has_more;
    }
    to_response(answer)
}

async fn respond_with_snapshot_page(
    state: &ServerState,
    after: Option<Key>,
    accepted: ContentCoding,
) -> Response {
    let Some(wait) = state.reserve_snapshot_page(after.is_none()) else {
        return unavailable("too many snapshots are taken");
    };
    if wait > Duration::ZERO {
        sleep(wait).await;
    }
    to_response(
        state.response(ResponseKey {
            content: ResponseContent::Snapshot { after },
            accepted_coding: accepted,
        }),
    )
}

fn to_response(answer: serde_json::Result<EncodedResponse>) -> Response {
    match answer {
        Ok(EncodedResponse { body, coding, .. }) => Response::json_bytes(body, coding),
        Err(error) => unavailable(&format!("the answer can't be written: {error}")),
    }
}

fn unavailable(reason: &str) -> Response {
    Response::text(StatusCode::Unavailable, reason)
}
