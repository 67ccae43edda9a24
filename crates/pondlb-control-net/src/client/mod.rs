//! Following control servers: a replica that is kept up to date over a kept connection.

mod driver;
mod failure;
mod link;
mod status;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{Key, KeyInterner, Limits, Update};
use tokio::sync::{mpsc, oneshot};

use crate::options::{MOST_NAME, is_caller_name};
use driver::Driver;
pub use status::{FollowerCounters, FollowerStatus};

/// What to follow, and how.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// The control servers; one at least.
    pub servers: Vec<SocketAddr>,
    /// Name towards the servers: letters, digits, `-`, `_` and `.`; others are replaced.
    pub name: String,
    /// Own number among the followers, which are spread over the servers by it.
    pub follower_number: u64,
    /// Where chance starts from, for waits between calls.
    pub seed: u64,
    /// How long a server may wait for news before it answers.
    pub max_hold: Duration,
    /// How much later than that an answer may come before the server is held to be silent.
    pub response_grace: Duration,
    /// What is taken at most.
    pub limits: Limits,
    /// Keys that are shared with other replicas of the process.
    pub key_interner: KeyInterner,
}

/// The parameter of calls for changes that tells how many records could not be put in force.
pub(crate) const REFUSED: &str = "refused";

const DEFAULT_HOLD: Duration = Duration::from_secs(1);
const DEFAULT_LATE: Duration = Duration::from_millis(300);

impl FollowerConfig {
    /// Follows these servers with the default times and limits.
    pub fn new(servers: Vec<SocketAddr>, name: &str, number: u64) -> FollowerConfig {
        FollowerConfig {
            servers,
            name: name.into(),
            follower_number: number,
            seed: number,
            max_hold: DEFAULT_HOLD,
            response_grace: DEFAULT_LATE,
            limits: Limits::default(),
            key_interner: KeyInterner::default(),
        }
    }

    /// The name in a form that servers accept.
    fn caller_name(&self) -> String {
        let accepted =
            |letter: char| if is_caller_name(letter.encode_utf8(&mut [0; 4])) { letter } else { '_' };
        let name: String = self.name.chars().take(MOST_NAME).map(accepted).collect();
        if name.is_empty() { "_".into() } else { name }
    }
}

/// A verified update on its way to the consumer.
#[derive(Debug)]
pub struct UpdateDelivery {
    /// What to put in force.
    pub update: Update,
    /// To be told once it is in force: the next call leaves then, and tells the server so.
    pub applied: oneshot::Sender<()>,
}

/// Follows the servers until the receiver of updates is gone. `check` says whether a value may be taken.
pub async fn follow(
    following: FollowerConfig,
    check: impl Fn(&Key, Option<&str>) -> Result<(), String>,
    deliver: mpsc::UnboundedSender<UpdateDelivery>,
    status: Rc<FollowerStatus>,
) {
    if following.servers.is_empty() {
        return log::error!("control: there is no server to follow");
    }
    let receiver = deliver.clone();
    let mut driver = Driver::new(following, check, deliver, status.clone());
    tokio::select! {
        () = driver.run() => {}
        () = status.watch_staleness() => {}
        () = receiver.closed() => {}
    }
}
