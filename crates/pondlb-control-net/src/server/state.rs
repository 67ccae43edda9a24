//! What all connections of a control server share.

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

/// The longest piece of a snapshot, unless one record alone is longer.
const SNAPSHOT_PAGE_BYTES: usize = 64 * 1024;
/// How long the first piece of a snapshot may wait for its turn: more snapshots than can be given are not begun.
const FIRST_PAGE_MAX_WAIT: Duration = Duration::from_millis(100);
/// The same for further pieces, so that what is begun is ended. A caller waits 2.2 s.
const NEXT_PAGE_MAX_WAIT: Duration = Duration::from_millis(1500);

/// The staleness that answers tell is rounded up to this, so that callers at about the same time share one.
const STALENESS_STEP_MS: u64 = 100;

/// The records of a server and what bounds its work. Cells are borrowed inside single calls only.
pub struct ServerState {
    options: ServerOptions,
    store: RefCell<Store>,
    responses: RefCell<ResponseCache>,
    version: watch::Sender<Version>,
    followers: RefCell<FollowerTable>,
    snapshot_page_rate: RefCell<TokenBucket>,
    /// State of the own following; none at the origin.
    follower_status: Option<Rc<client::FollowerStatus>>,
}

impl ServerState {
    /// The state of a server that begins with this store.
    pub fn new(
        options: ServerOptions,
        store: Store,
        following: Option<Rc<client::FollowerStatus>>,
    ) -> ServerState {
        let (version, _) = watch::channel(store.version());
        ServerState {
            version,
            store: RefCell::new(store),
            responses: RefCell::default(),
            followers: RefCell::new(FollowerTable::new(options.max_follower_connections)),
            snapshot_page_rate: RefCell::new(TokenBucket::new(
                options.snapshot_pages_per_second,
                Instant::now(),
            )),
            options,
            follower_status: following,
        }
    }

    /// What the server was told.
    pub fn options(&self) -> &ServerOptions {
        &self.options
    }

    /// The version of all records.
    pub fn version(&self) -> Version {
        *self.version.borrow()
    }

    /// Told of each new version.
    pub fn subscribe_versions(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Whether it holds a whole state that can be served.
    pub fn is_ready(&self) -> bool {
        self.version().epoch != 0
    }

    /// The digest of all records.
    pub fn digest(&self) -> Digest {
        self.store.borrow().digest()
    }

    /// Commits changes, all or none.
    pub fn commit(&self, changes: &[NewChange]) -> Result<Version, CommitError> {
        validate_remaining_classes(&self.store.borrow(), changes)?;
        let version = self.store.borrow_mut().commit(changes, &self.options.validate)?;
        self.publish_version(version);
        Ok(version)
    }

    /// Takes what the own replica has verified.
    pub fn apply_update(&self, update: &Update) {
        self.store.borrow_mut().apply_update(update);
        let version = self.store.borrow().version();
        self.publish_version(version);
    }

    /// An answer about all records as they are now; encoded once for all callers that ask for the same.
    pub fn response(&self, key: ResponseKey) -> serde_json::Result<EncodedResponse> {
        let version = self.version();
        if let Some(answer) = self.responses.borrow().get(version, &key) {
            return Ok(answer);
        }
        let answer = self.encode(&key)?;
        self.responses.borrow_mut().insert(version, key, answer.clone());
        Ok(answer)
    }

    /// How long the next piece of a snapshot has to wait; none where it would be too long.
    pub fn reserve_snapshot_page(&self, is_first: bool) -> Option<Duration> {
        let most = if is_first { FIRST_PAGE_MAX_WAIT } else { NEXT_PAGE_MAX_WAIT };
        self.snapshot_page_rate.borrow_mut().take(Instant::now(), most)
    }

    /// Whether there is a bucket of this number.
    pub fn has_bucket(&self, bucket: usize) -> bool {
        self.store.borrow().has_bucket(bucket)
    }

    /// A follower has called with this version and digest.
    pub fn record_follower(&self, caller: &Caller, version: Version, digest: Digest) {
        let has_all = version == self.version() && digest == self.digest();
        self.followers.borrow_mut().record_request(caller, version, has_all, Instant::now());
    }

    /// The table of followers.
    pub fn followers(&self) -> FollowersResponse {
        FollowersResponse {
            version: self.version(),
            followers: self.followers.borrow_mut().list(Instant::now()),
        }
    }

    /// For how many milliseconds the server has not heard from the origin, rounded up; 0 at the origin itself.
    pub fn stale_ms(&self) -> u64 {
        let staleness = self.follower_status.as_ref().map_or(Duration::ZERO, |status| status.staleness());
        let stale_ms = u64::try_from(staleness.as_millis()).unwrap_or(u64::MAX);
        stale_ms.checked_next_multiple_of(STALENESS_STEP_MS).unwrap_or(u64::MAX)
    }

    fn publish_version(&self, version: Version) {
        self.responses.borrow_mut().clear();
        self.version.send_replace(version);
    }

    fn encode(
        &self,
        ResponseKey { content, accepted_coding: accepted }: &ResponseKey,
    ) -> serde_json::Result<EncodedResponse> {
        let store = self.store.borrow();
        let (mut has_changes, mut more) = (false, false);
        let plain = match content {
            ResponseContent::Changes { from, stale_ms } => {
                let mut answer = store.changes_since(*from, self.options.max_changes_bytes);
                answer.stale_ms = *stale_ms;
                (has_changes, more) = (!answer.changes.is_empty(), answer.has_more);
                serde_json::to_vec(&answer)?
            }
            ResponseContent::Snapshot { after } => {
                serde_json::to_vec(&store.snapshot_page(after.as_ref(), SNAPSHOT_PAGE_BYTES))?
            }
            ResponseContent::Digests => serde_json::to_vec(&store.bucket_digests())?,
            ResponseContent::Bucket(bucket) => serde_json::to_vec(&store.bucket_records(*bucket))?,
        };
        let (body, coding) = coding::encode(plain, *accepted);
        Ok(EncodedResponse { body: body.into(), coding, has_changes, has_more: more })
    }
}
