//! The client side of the control protocol: keeps a replica up to date from a list of control servers.

mod connection;
mod driver;
mod failure;
mod status;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{Key, KeyInterner, Limits, Update};
use tokio::sync::{mpsc, oneshot};

use crate::options::{MAX_CALLER_NAME_BYTES, is_valid_caller_name};
use driver::Driver;
pub use status::{FollowerCounters, FollowerStatus};

/// Which servers a follower uses, and how.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// The control servers; at least one.
    pub servers: Vec<SocketAddr>,
    /// The name of the follower in its requests. Characters that servers don't accept are replaced by `_`.
    pub name: String,
    /// The number of the follower. Followers with consecutive numbers are divided evenly among the servers.
    pub follower_number: u64,
    /// The seed of the order in which the servers are tried and of the jitter in delays.
    pub seed: u64,
    /// For how long a server may hold a request while there are no new changes.
    pub max_hold: Duration,
    /// How long after the end of the hold the response may arrive before the request has timed out.
    pub response_grace: Duration,
    /// The limits of the replicated records.
    pub limits: Limits,
    /// Keys that are shared with other replicas of the process.
    pub key_interner: KeyInterner,
}

/// The query parameter of requests for changes that reports how many records the follower could not apply.
pub(crate) const UNAPPLIED_RECORDS_PARAMETER: &str = "refused";

const DEFAULT_MAX_HOLD: Duration = Duration::from_secs(1);
const DEFAULT_RESPONSE_GRACE: Duration = Duration::from_millis(300);

impl FollowerConfig {
    /// A configuration with the default times and limits. The number is also the seed.
    pub fn new(servers: Vec<SocketAddr>, name: &str, follower_number: u64) -> FollowerConfig {
        FollowerConfig {
            servers,
            name: name.into(),
            follower_number,
            seed: follower_number,
            max_hold: DEFAULT_MAX_HOLD,
            response_grace: DEFAULT_RESPONSE_GRACE,
            limits: Limits::default(),
            key_interner: KeyInterner::default(),
        }
    }

    /// The name, truncated and with its invalid characters replaced, as servers accept it.
    fn caller_name(&self) -> String {
        let sanitized = |character: char| {
            if is_valid_caller_name(character.encode_utf8(&mut [0; 4])) { character } else { '_' }
        };
        let name: String = self.name.chars().take(MAX_CALLER_NAME_BYTES).map(sanitized).collect();
        if name.is_empty() { "_".into() } else { name }
    }
}

/// A verified update that is handed to the consumer.
#[derive(Debug)]
pub struct UpdateDelivery {
    /// The update to apply.
    pub update: Update,
    /// The consumer signals here that it has applied the update. The next request, which reports its version to the
    /// server, is sent only then.
    pub applied: oneshot::Sender<()>,
}

/// Follows the servers until the receiver of the deliveries is dropped.
///
/// `validate` is called for each changed value and for each removal (`None`). Its error is the reason why the value is
/// not allowed; the response that contains it is rejected as a whole.
pub async fn follow(
    config: FollowerConfig,
    validate: impl Fn(&Key, Option<&str>) -> Result<(), String>,
    deliveries: mpsc::UnboundedSender<UpdateDelivery>,
    status: Rc<FollowerStatus>,
) {
    if config.servers.is_empty() {
        return log::error!("control: no control server is configured");
    }
    let consumer = deliveries.clone();
    let mut driver = Driver::new(config, validate, deliveries, status.clone());
    tokio::select! {
        () = driver.run() => {}
        () = status.log_staleness_changes() => {}
        () = consumer.closed() => {}
    }
}
