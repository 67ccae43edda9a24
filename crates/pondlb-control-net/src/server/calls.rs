//! Answers to the calls of followers, and when they are given.

use std::time::Duration;

use pondlb_control::{Digest, Key, LongPoll, ReplicaRequest, Version};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::answer_cache::{AnswerKey, Content, EncodedAnswer};
use super::request::Request;
use super::state::State;
use crate::coding::ContentCoding;
use crate::http::{Response, Status};

/// What a caller on one connection was answered before.
#[derive(Debug, Default)]
pub struct Pace {
    /// When it was last answered with news.
    last_news: Option<Instant>,
    /// More news were promised.
    more: bool,
}

/// Answers a request in a coding that the caller accepts. It may wait for news.
pub async fn answer(state: &State, request: Request, accepted: ContentCoding, pace: &mut Pace) -> Response {
    let (caller, call) = match request {
        Request::Followers => return Response::json(&state.followers()),
        Request::Call { caller, call } => (caller, call),
    };
    if !state.is_ready() {
        return unavailable("this server holds no state yet");
    }
    match call {
        ReplicaRequest::Changes { from, digest, hold } => {
            if let Some(caller) = caller {
                state.note_follower(&caller, from, digest);
            }
            wait_for_news(state, from, digest, hold, pace).await;
            changes(state, from, accepted, pace)
        }
        ReplicaRequest::Snapshot { after } => snapshot(state, after, accepted).await,
        ReplicaRequest::Digests => response(state.answer(AnswerKey { content: Content::Digests, accepted })),
        ReplicaRequest::Bucket(bucket) if !state.has_bucket(bucket) => {
            Response::text(Status::BadRequest, "bucket: no such bucket")
        }
        ReplicaRequest::Bucket(bucket) => {
            response(state.answer(AnswerKey { content: Content::Bucket(bucket), accepted }))
        }
    }
}

/// Returns once the store is newer than the caller, or the hold is over. News wait until some time has passed since
/// the last, so that many changes make few answers; what was promised comes at once.
async fn wait_for_news(state: &State, from: Version, digest: Digest, hold: LongPoll, pace: &Pace) {
    let LongPoll::UpTo(hold) = hold else { return };
    // Its records are not those of its version: it is told so at once.
    if from == state.version() && digest != state.digest() {
        return;
    }
    let until = Instant::now() + hold;
    let mut versions = state.versions();
    while *versions.borrow_and_update() <= from {
        if !matches!(timeout_at(until, versions.changed()).await, Ok(Ok(()))) {
            return;
        }
    }
    let gathered = pace.last_news.filter(|_| !pace.more).map(|at| at + state.options().min_update_interval);
    if let Some(gathered) = gathered {
        sleep_until(gathered.min(until)).await;
    }
}

fn changes(state: &State, from: Version, accepted: ContentCoding, pace: &mut Pace) -> Response {
    let version = state.version();
    if version < from {
        return unavailable(&format!("this server is at {version}, behind {from}"));
    }
    let content = Content::Changes { from, stale_ms: state.stale_ms() };
    let answer = state.answer(AnswerKey { content, accepted });
    if let Ok(answer) = &answer {
        if answer.has_changes {
            pace.last_news = Some(Instant::now());
        }
        pace.more = answer.more;
    }
    response(answer)
}

async fn snapshot(state: &State, after: Option<Key>, accepted: ContentCoding) -> Response {
    let Some(wait) = state.wait_for_snapshot_piece(after.is_none()) else {
        return unavailable("too many snapshots are taken");
    };
    if wait > Duration::ZERO {
        sleep(wait).await;
    }
    response(state.answer(AnswerKey { content: Content::Snapshot { after }, accepted }))
}

fn response(answer: serde_json::Result<EncodedAnswer>) -> Response {
    match answer {
        Ok(EncodedAnswer { body, coding, .. }) => Response::ok(body, coding),
        Err(error) => unavailable(&format!("the answer can't be written: {error}")),
    }
}

fn unavailable(reason: &str) -> Response {
    Response::text(Status::Unavailable, reason)
}
