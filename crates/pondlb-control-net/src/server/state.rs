//! The state that all connections of a control server share.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{CommitError, Digest, NewChange, Store, Update, Version};
use tokio::sync::watch;
use tokio::time::Instant;

use super::followers::{FollowerTable, FollowersResponse};
use super::request::Caller;
use super::response_cache::{EncodedResponse, ResponseCache, ResponseContent, ResponseKey};
use super::token_bucket::TokenBucket;
use crate::client;
use crate::coding;
use crate::options::ServerOptions;
use crate::validation::validate_remaining_classes;

/// The maximum length of a snapshot page, unless a single record is longer.
const SNAPSHOT_PAGE_BYTES: usize = 64 * 1024;
/// The maximum time that the first page of a snapshot waits for the rate limit. If it would be longer, the snapshot is
/// refused, so that no more snapshots are started than can be completed.
const FIRST_PAGE_MAX_WAIT: Duration = Duration::from_millis(100);
/// The same for the other pages, so that started snapshots are completed. The request timeout of followers is 2.2 s.
const NEXT_PAGE_MAX_WAIT: Duration = Duration::from_millis(1500);

/// The staleness in responses is rounded up to a multiple of this, so that requests at about the same time share a
/// cached response.
const STALENESS_STEP_MS: u64 = 100;

/// The records of a server, its response cache and its limits.
///
/// Each `RefCell` is borrowed only within a single method call, never across an await.
pub struct ServerState {
    options: ServerOptions,
    store: RefCell<Store>,
    responses: RefCell<ResponseCache>,
    version: watch::Sender<Version>,
    followers: RefCell<FollowerTable>,
    snapshot_page_limiter: RefCell<TokenBucket>,
    /// The status of a replica server as a follower; `None` at the origin.
    follower_status: Option<Rc<client::FollowerStatus>>,
}

impl ServerState {
    /// Creates the state of a server that starts with this store.
    pub fn new(
        options: ServerOptions,
        store: Store,
        follower_status: Option<Rc<client::FollowerStatus>>,
    ) -> ServerState {
        let (version, _) = watch::channel(store.version());
        ServerState {
            version,
            store: RefCell::new(store),
            responses: RefCell::default(),
            followers: RefCell::new(FollowerTable::new(options.max_follower_connections)),
            snapshot_page_limiter: RefCell::new(TokenBucket::new(
                options.snapshot_pages_per_second,
                Instant::now(),
            )),
            options,
            follower_status,
        }
    }

    /// The options of the server.
    pub fn options(&self) -> &ServerOptions {
        &self.options
    }

    /// The version of the records.
    pub fn version(&self) -> Version {
        *self.version.borrow()
    }

    /// A receiver that is notified of each new version.
    pub fn subscribe_versions(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Whether the server has a complete state.
    pub fn is_ready(&self) -> bool {
        self.version().epoch != 0
    }

    /// The digest of all records.
    pub fn digest(&self) -> Digest {
        self.store.borrow().digest()
    }

    /// Commits all of these changes, or none.
    pub fn commit(&self, changes: &[NewChange]) -> Result<Version, CommitError> {
        validate_remaining_classes(&self.store.borrow(), changes)?;
        let version = self.store.borrow_mut().commit(changes, &self.options.validate)?;
        self.publish_version(version);
        Ok(version)
    }

    /// Applies an update that the server's own replica has verified.
    pub fn apply_update(&self, update: &Update) {
        self.store.borrow_mut().apply_update(update);
        let version = self.store.borrow().version();
        self.publish_version(version);
    }

    /// The response with this key for the present records. It is encoded once and shared by all requests with this key.
    pub fn response(&self, key: ResponseKey) -> serde_json::Result<EncodedResponse> {
        let version = self.version();
        if let Some(response) = self.responses.borrow().get(version, &key) {
            return Ok(response);
        }
        let response = self.encode(&key)?;
        self.responses.borrow_mut().insert(version, key, response.clone());
        Ok(response)
    }

    /// Reserves the next snapshot page within the rate limit and returns how long it has to wait. Returns `None` if
    /// that is too long.
    pub fn reserve_snapshot_page(&self, is_first: bool) -> Option<Duration> {
        let max_wait = if is_first { FIRST_PAGE_MAX_WAIT } else { NEXT_PAGE_MAX_WAIT };
        self.snapshot_page_limiter.borrow_mut().reserve(Instant::now(), max_wait)
    }

    /// Whether there is a bucket with this number.
    pub fn has_bucket(&self, bucket: usize) -> bool {
        self.store.borrow().has_bucket(bucket)
    }

    /// Records a request of a follower that has this version and digest.
    pub fn record_follower(&self, caller: &Caller, version: Version, digest: Digest) {
        let has_current_records = version == self.version() && digest == self.digest();
        self.followers.borrow_mut().record_request(caller, version, has_current_records, Instant::now());
    }

    /// The table of followers.
    pub fn followers(&self) -> FollowersResponse {
        FollowersResponse {
            version: self.version(),
            followers: self.followers.borrow_mut().list(Instant::now()),
        }
    }

    /// The staleness of the records in milliseconds, rounded up to [`STALENESS_STEP_MS`]; 0 at the origin.
    pub fn stale_ms(&self) -> u64 {
        let staleness = self.follower_status.as_ref().map_or(Duration::ZERO, |status| status.staleness());
        let stale_ms = u64::try_from(staleness.as_millis()).unwrap_or(u64::MAX);
        stale_ms.checked_next_multiple_of(STALENESS_STEP_MS).unwrap_or(u64::MAX)
    }

    /// Invalidates the cached responses and notifies the waiting requests of a new version.
    fn publish_version(&self, version: Version) {
        self.responses.borrow_mut().clear();
        self.version.send_replace(version);
    }

    /// Encodes a response for the present records.
    fn encode(
        &self,
        ResponseKey { content, accepted_coding }: &ResponseKey,
    ) -> serde_json::Result<EncodedResponse> {
        let store = self.store.borrow();
        let (mut has_changes, mut has_more) = (false, false);
        let plain = match content {
            ResponseContent::Changes { from, stale_ms } => {
                let mut changes = store.changes_since(*from, self.options.max_changes_bytes);
                changes.stale_ms = *stale_ms;
                (has_changes, has_more) = (!changes.changes.is_empty(), changes.has_more);
                serde_json::to_vec(&changes)?
            }
            ResponseContent::Snapshot { after } => {
                serde_json::to_vec(&store.snapshot_page(after.as_ref(), SNAPSHOT_PAGE_BYTES))?
            }
            ResponseContent::Digests => serde_json::to_vec(&store.bucket_digests())?,
            ResponseContent::Bucket(bucket) => serde_json::to_vec(&store.bucket_records(*bucket))?,
        };
        let (body, coding) = coding::encode(plain, *accepted_coding);
        Ok(EncodedResponse { body: body.into(), coding, has_changes, has_more })
    }
}
