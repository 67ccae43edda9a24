//! Follows the control servers and hands their updates over, a slice at a time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{Change, Limits, Update, Version};
use pondlb_control_net::{FollowerConfig, FollowerStatus, UpdateDelivery, follow, validate_record};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::protocol::control::{SettingRecords, take_settings, upstreams_of};
use crate::protocol::discovery::UpstreamList;
use crate::routing::Note;

/// So many records change in one turn of the loop: requests are served between.
const SLICE: usize = 64;
/// New versions are logged so often at most, except for debugging.
const LOG_EVERY: Duration = Duration::from_secs(1);

/// Which control servers are followed, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub servers: Vec<SocketAddr>,
    pub hold: Duration,
}

/// Who follows them.
pub struct Follower {
    pub name: String,
    /// Number among the balancers, which are spread over the servers by it.
    pub number: u64,
    pub seed: u64,
    /// Most bytes of a whole state that is taken.
    pub state_bytes: usize,
    /// Where changes of the settings go.
    pub settings: mpsc::UnboundedSender<SettingsUpdate>,
    /// What control servers are told of records that can't be put in force.
    pub status: Rc<FollowerStatus>,
    /// Upstreams known before the first whole state: what that does not name has been removed.
    pub remembered: BTreeSet<String>,
}

/// Classes, tenants and limits to put in force.
#[derive(Debug)]
pub struct SettingsUpdate {
    pub changes: Vec<Change>,
    /// To be told once they are in force.
    pub applied: oneshot::Sender<()>,
}

/// Follows the control servers for as long as the program runs.
pub async fn follow_control(control: Control, follower: Follower, notes: mpsc::UnboundedSender<Note>) {
    let Follower { name, number, seed, state_bytes, settings, status, remembered } = follower;
    let limits = Limits { max_total_bytes: state_bytes, ..Limits::default() };
    let mut following = FollowerConfig::new(control.servers, &name, number);
    (following.seed, following.max_hold, following.limits) = (seed, control.hold, limits);
    let (deliver, delivered) = mpsc::unbounded_channel();
    let consumer = Consumer { notes, settings, remembered, logged: None };
    tokio::select! {
        () = follow(following, validate_record, deliver, status) => {}
        () = consumer.run(delivered) => {}
    }
}

struct Consumer {
    notes: mpsc::UnboundedSender<Note>,
    settings: mpsc::UnboundedSender<SettingsUpdate>,
    remembered: BTreeSet<String>,
    logged: Option<Instant>,
}

impl Consumer {
    async fn run(mut self, mut delivered: mpsc::UnboundedReceiver<UpdateDelivery>) {
        while let Some(UpdateDelivery { update, applied }) = delivered.recv().await {
            let (version, records) = (update.version, update.changes.len());
            if self.put_in_force(update).await.is_none() {
                return;
            }
            self.log(version, records);
            let _ended = applied.send(());
        }
    }

    /// None where the program ends.
    async fn put_in_force(&mut self, mut update: Update) -> Option<()> {
        self.put_settings_in_force(take_settings(&mut update)).await?;
        let unlisted = self.unlisted(&update);
        for names in unlisted.chunks(SLICE) {
            let removed = UpstreamList { removed: names.to_vec(), ..UpstreamList::default() };
            self.put_upstreams_in_force(removed, false).await?;
        }
        let is_whole = update.is_whole_state;
        for slice in update.into_batches(SLICE) {
            let completes = is_whole && !slice.has_more;
            self.put_upstreams_in_force(upstreams_of(slice), completes).await?;
        }
        Some(())
    }

    async fn put_settings_in_force(&self, settings: SettingRecords) -> Option<()> {
        let SettingRecords { classes_and_limits, tenants } = settings;
        let slices = std::iter::once(classes_and_limits).chain(tenants.chunks(SLICE).map(<[Change]>::to_vec));
        for changes in slices.filter(|changes| !changes.is_empty()) {
            let (applied, is_applied) = oneshot::channel();
            self.settings.send(SettingsUpdate { changes, applied }).ok()?;
            is_applied.await.ok()?;
        }
        Some(())
    }

    /// What is remembered from before the start and not part of the first whole state.
    fn unlisted(&mut self, update: &Update) -> Vec<String> {
        if !update.is_whole_state {
            return Vec::new();
        }
        let mut unlisted = std::mem::take(&mut self.remembered);
        for change in &update.changes {
            unlisted.remove(change.key.name());
        }
        unlisted.into_iter().collect()
    }

    async fn put_upstreams_in_force(&self, upstreams: UpstreamList, completes: bool) -> Option<()> {
        let (applied, is_applied) = oneshot::channel();
        self.notes.send(Note::Changed { upstreams, completes, applied }).ok()?;
        is_applied.await.ok()
    }

    fn log(&mut self, version: Version, records: usize) {
        let is_due = self.logged.is_none_or(|at| at.elapsed() >= LOG_EVERY);
        let level = if is_due { log::Level::Info } else { log::Level::Debug };
        log::log!(level, "control: version {version} is in force, {records} records changed");
        if is_due {
            self.logged = Some(Instant::now());
        }
    }
}
