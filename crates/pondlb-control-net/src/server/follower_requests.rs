//! Handling of the requests of followers. Requests for changes may be held until there are some.

use std::time::Duration;

use pondlb_control::{Digest, Key, LongPoll, ReplicaRequest, Version};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::request::Request;
use super::response_cache::{EncodedResponse, ResponseContent, ResponseKey};
use super::state::ServerState;
use crate::coding::ContentCoding;
use crate::http::{Response, StatusCode};

/// The state of one connection that paces its responses with changes.
#[derive(Debug, Default)]
pub struct UpdatePacing {
    /// When the last response with changes was created.
    last_update_at: Option<Instant>,
    /// Whether the last response announced more changes.
    has_more: bool,
}

/// Handles a request and returns the response in a coding that the client accepts. It may wait for changes.
pub async fn handle_request(
    state: &ServerState,
    request: Request,
    accepted_coding: ContentCoding,
    pacing: &mut UpdatePacing,
) -> Response {
    let (caller, request) = match request {
        Request::Followers => return Response::json(&state.followers()),
        Request::Replica { caller, request } => (caller, request),
    };
    if !state.is_ready() {
        return unavailable("this server holds no state yet");
    }
    match request {
        ReplicaRequest::Changes { from, digest, hold } => {
            if let Some(caller) = caller {
                state.record_follower(&caller, from, digest);
            }
            wait_for_changes(state, from, digest, hold, pacing).await;
            respond_with_changes(state, from, accepted_coding, pacing)
        }
        ReplicaRequest::Snapshot { after } => respond_with_snapshot_page(state, after, accepted_coding).await,
        ReplicaRequest::Digests => respond(state, ResponseContent::Digests, accepted_coding),
        ReplicaRequest::Bucket(bucket) if !state.has_bucket(bucket) => {
            Response::text(StatusCode::BadRequest, "bucket: no such bucket")
        }
        ReplicaRequest::Bucket(bucket) => respond(state, ResponseContent::Bucket(bucket), accepted_coding),
    }
}

/// Waits until the store is newer than the follower, at most for the time of the hold.
///
/// Changes are delayed until the minimum interval since the last update has passed, so that many small commits are sent
/// in few responses. After a response that announced more changes, the next one is sent immediately.
async fn wait_for_changes(
    state: &ServerState,
    from: Version,
    digest: Digest,
    hold: LongPoll,
    pacing: &UpdatePacing,
) {
    let LongPoll::UpTo(hold) = hold else { return };
    // The follower has the current version but other records. It needs the response now to start a repair.
    if from == state.version() && digest != state.digest() {
        return;
    }
    let hold_end = Instant::now() + hold;
    let mut versions = state.subscribe_versions();
    while *versions.borrow_and_update() <= from {
        if !matches!(timeout_at(hold_end, versions.changed()).await, Ok(Ok(()))) {
            return;
        }
    }
    let paced_update = pacing.last_update_at.filter(|_| !pacing.has_more);
    if let Some(last_update_at) = paced_update {
        let next_update_at = last_update_at + state.options().min_update_interval;
        sleep_until(next_update_at.min(hold_end)).await;
    }
}

/// The response with the changes since a version.
fn respond_with_changes(
    state: &ServerState,
    from: Version,
    accepted_coding: ContentCoding,
    pacing: &mut UpdatePacing,
) -> Response {
    let version = state.version();
    if version < from {
        return unavailable(&format!("this server is at {version}, behind {from}"));
    }
    let content = ResponseContent::Changes { from, stale_ms: state.stale_ms() };
    let encoded = state.response(ResponseKey { content, accepted_coding });
    if let Ok(encoded) = &encoded {
        if encoded.has_changes {
            pacing.last_update_at = Some(Instant::now());
        }
        pacing.has_more = encoded.has_more;
    }
    to_response(encoded)
}

/// The response with a snapshot page, after the time for which the rate limit delays it.
async fn respond_with_snapshot_page(
    state: &ServerState,
    after: Option<Key>,
    accepted_coding: ContentCoding,
) -> Response {
    let Some(wait) = state.reserve_snapshot_page(after.is_none()) else {
        return unavailable("too many snapshots are taken");
    };
    if wait > Duration::ZERO {
        sleep(wait).await;
    }
    respond(state, ResponseContent::Snapshot { after }, accepted_coding)
}

/// The response with this content, from the cache if possible.
fn respond(state: &ServerState, content: ResponseContent, accepted_coding: ContentCoding) -> Response {
    to_response(state.response(ResponseKey { content, accepted_coding }))
}

fn to_response(encoded: serde_json::Result<EncodedResponse>) -> Response {
    match encoded {
        Ok(EncodedResponse { body, coding, .. }) => Response::json_bytes(body, coding),
        Err(error) => unavailable(&format!("the answer can't be written: {error}")),
    }
}

/// The response of a server that can't serve the request at present.
fn unavailable(reason: &str) -> Response {
    Response::text(StatusCode::Unavailable, reason)
}
