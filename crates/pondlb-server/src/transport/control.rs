//! Follows the control servers and applies their updates in small steps.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{Change, Limits, Update, Version};
use pondlb_control_net::{FollowerConfig, FollowerStatus, UpdateDelivery, follow, validate_record};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::protocol::control::{SettingRecords, take_setting_records, upstream_list};
use crate::protocol::discovery::UpstreamList;
use crate::routing::RouterEvent;

/// How many records are applied at once. Requests are served between one step of an update and the next.
const MAX_RECORDS_PER_STEP: usize = 64;
/// A new version is logged at level info at most this often; the others are logged at level debug.
const VERSION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Which control servers are followed, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlServers {
    pub servers: Vec<SocketAddr>,
    /// How long a server may hold a call until there are changes.
    pub hold: Duration,
}

/// The balancer as a follower of the control servers.
pub struct ControlFollower {
    pub name: String,
    /// The balancer's number; balancers are spread over the servers by it.
    pub number: u64,
    /// Seeds the random choices of the follower.
    pub seed: u64,
    /// The longest snapshot that is accepted, in bytes.
    pub max_snapshot_bytes: usize,
    /// Where changes of the settings are sent.
    pub settings_tx: mpsc::UnboundedSender<SettingsUpdate>,
    /// What is reported to the control servers, among it the number of records that could not be applied.
    pub status: Rc<FollowerStatus>,
    /// The upstreams known before the first snapshot. Those that the snapshot lacks have been removed meanwhile.
    pub initial_upstreams: BTreeSet<String>,
}

/// Changes of classes, tenants and limits that are to be applied.
#[derive(Debug)]
pub struct SettingsUpdate {
    pub changes: Vec<Change>,
    /// Notified once the changes are applied.
    pub applied_sender: oneshot::Sender<()>,
}

/// Follows the control servers for as long as the program runs. Changes of upstreams go to `router_tx`.
pub async fn follow_control_servers(
    control: ControlServers,
    follower: ControlFollower,
    router_tx: mpsc::UnboundedSender<RouterEvent>,
) {
    let ControlFollower { name, number, seed, max_snapshot_bytes, settings_tx, status, initial_upstreams } =
        follower;
    let limits = Limits { max_total_bytes: max_snapshot_bytes, ..Limits::default() };
    let mut follower_config = FollowerConfig::new(control.servers, &name, number);
    (follower_config.seed, follower_config.max_hold, follower_config.limits) = (seed, control.hold, limits);
    let (deliver, delivered) = mpsc::unbounded_channel();
    let applier = UpdateApplier { router_tx, settings_tx, initial_upstreams, last_logged_at: None };
    tokio::select! {
        () = follow(follower_config, validate_record, deliver, status) => {}
        () = applier.run(delivered) => {}
    }
}

/// Applies updates one after the other, settings before upstreams. Its methods return `None` when the program ends.
struct UpdateApplier {
    router_tx: mpsc::UnboundedSender<RouterEvent>,
    settings_tx: mpsc::UnboundedSender<SettingsUpdate>,
    /// See [`ControlFollower::initial_upstreams`]; empty after the first snapshot.
    initial_upstreams: BTreeSet<String>,
    /// When a version was last logged at level info.
    last_logged_at: Option<Instant>,
}

impl UpdateApplier {
    async fn run(mut self, mut delivered: mpsc::UnboundedReceiver<UpdateDelivery>) {
        while let Some(UpdateDelivery { update, applied }) = delivered.recv().await {
            let (version, record_count) = (update.version, update.changes.len());
            if self.apply(update).await.is_none() {
                return;
            }
            self.log_version(version, record_count);
            // The receiver is gone where the control client has ended.
            let _ = applied.send(());
        }
    }

    async fn apply(&mut self, mut update: Update) -> Option<()> {
        self.apply_settings(take_setting_records(&mut update)).await?;
        let removed_upstreams = self.initial_upstreams_not_in(&update);
        for names in removed_upstreams.chunks(MAX_RECORDS_PER_STEP) {
            let removal = UpstreamList { removed: names.to_vec(), ..UpstreamList::default() };
            self.apply_upstreams(removal, false).await?;
        }
        let is_snapshot = update.is_whole_state;
        for batch in update.into_batches(MAX_RECORDS_PER_STEP) {
            let completes_snapshot = is_snapshot && !batch.has_more;
            self.apply_upstreams(upstream_list(batch), completes_snapshot).await?;
        }
        Some(())
    }

    async fn apply_settings(&self, settings: SettingRecords) -> Option<()> {
        let SettingRecords { classes_and_limits, tenants } = settings;
        let tenant_steps = tenants.chunks(MAX_RECORDS_PER_STEP).map(<[Change]>::to_vec);
        let steps = std::iter::once(classes_and_limits).chain(tenant_steps);
        for changes in steps.filter(|changes| !changes.is_empty()) {
            let (applied_sender, applied_receiver) = oneshot::channel();
            self.settings_tx.send(SettingsUpdate { changes, applied_sender }).ok()?;
            applied_receiver.await.ok()?;
        }
        Some(())
    }

    /// The upstreams known before the start that the first snapshot does not contain. Empty for every other update.
    fn initial_upstreams_not_in(&mut self, update: &Update) -> Vec<String> {
        if !update.is_whole_state {
            return Vec::new();
        }
        let mut missing = std::mem::take(&mut self.initial_upstreams);
        for change in &update.changes {
            missing.remove(change.key.name());
        }
        missing.into_iter().collect()
    }

    /// Hands upstreams to the router and waits until they are applied. `completes_snapshot` says that they are the last
    /// ones of a snapshot.
    async fn apply_upstreams(&self, upstreams: UpstreamList, completes_snapshot: bool) -> Option<()> {
        let (applied_sender, applied_receiver) = oneshot::channel();
        self.router_tx
            .send(RouterEvent::UpstreamsChanged { upstreams, completes_snapshot, applied_sender })
            .ok()?;
        applied_receiver.await.ok()
    }

    fn log_version(&mut self, version: Version, record_count: usize) {
        let is_due = self.last_logged_at.is_none_or(|at| at.elapsed() >= VERSION_LOG_INTERVAL);
        let level = if is_due { log::Level::Info } else { log::Level::Debug };
        log::log!(level, "control: version {version} is in force, {record_count} records changed");
        if is_due {
            self.last_logged_at = Some(Instant::now());
        }
    }
}
