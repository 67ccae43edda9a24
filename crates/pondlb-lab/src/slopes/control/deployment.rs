//! A deployment of an origin, one replica server of that origin, and followers of the replica server.

use std::io;
use std::time::Duration;

use nanorand::WyRand;
use pondlb_control::Version;
use tokio::time::{Instant, sleep};

use super::follower_group::FollowerGroup;
use super::server_sample::ServerSample;
use crate::balancers::Program;
use crate::scale::records::{RecordCounts, Records};
use crate::scale::servers::{ControlServers, Layout};
use crate::slopes::pacer::Pacer;
use crate::slopes::process_stats::Process;

/// Seed of the choice of the record that a change sets.
const SEED: u64 = 24;
/// Time between two checks whether followers are up to date.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long added followers may take to receive their first snapshots.
const FIRST_STATE_TIMEOUT: Duration = Duration::from_secs(120);
/// Followers in each process that fetch their first snapshot at the same time, a few only so that they do not all wait
/// for one another.
const MAX_CONCURRENT_STARTS_PER_PROCESS: u32 = 2;

/// Both servers and all followers. Their processes end when it is dropped.
pub struct Deployment {
    servers: ControlServers,
    origin: Process,
    replica: Process,
    records: Records,
    /// Chooses the record of each change.
    random: WyRand,
    /// Number of changes so far, from which each change gets a value of its own.
    changes: u32,
    /// The version of the last commit.
    committed: Version,
    /// The followers of the replica server.
    pub followers: FollowerGroup,
}

impl Deployment {
    /// Starts both servers with these numbers of records. There are no followers yet.
    ///
    /// # Errors
    /// A server can't be started or exits on its own.
    pub async fn start(
        program: &Program,
        counts: RecordCounts,
        snapshot_pieces_per_second: f64,
    ) -> io::Result<Deployment> {
        let records = Records::without_served_upstreams(counts);
        let layout = Layout { snapshot_pieces_per_second, ..Layout::local(1) };
        let servers = ControlServers::start(program, &layout, records.initial_changes()).await?;
        let [origin, replica] = servers.process_ids()[..] else {
            return Err(io::Error::other("a control server ended immediately after its start"));
        };
        let replica_address = servers.replica_addresses_by_region().concat().first().copied();
        let replica_address = replica_address.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let committed = servers.state(0).await?.version;
        Ok(Deployment {
            servers,
            origin: Process(origin),
            replica: Process(replica),
            records,
            random: WyRand::new_seed(SEED),
            changes: 0,
            committed,
            followers: FollowerGroup::new(replica_address)?,
        })
    }

    /// Ends all followers.
    ///
    /// # Errors
    /// No temporary directory can be created.
    pub fn end_followers(&mut self) -> io::Result<()> {
        self.followers = FollowerGroup::new(self.followers.server())?;
        Ok(())
    }

    /// Adds followers up to this number, and waits until all have the newest state.
    ///
    /// # Errors
    /// The followers can't be started, or do not receive the state in time.
    pub async fn grow_followers_to(&mut self, count: usize) -> io::Result<()> {
        let added = count.saturating_sub(self.followers.len());
        self.followers.add(added, MAX_CONCURRENT_STARTS_PER_PROCESS)?;
        let reached = self.wait_until_converged(FIRST_STATE_TIMEOUT).await?;
        if reached < count {
            let message =
                format!("{reached} of {count} followers had the newest state within {FIRST_STATE_TIMEOUT:?}");
            return Err(io::Error::other(message));
        }
        Ok(())
    }

    /// Commits a change of one randomly chosen record.
    ///
    /// # Errors
    /// The origin rejects the change.
    pub async fn commit_change(&mut self) -> io::Result<()> {
        self.changes += 1;
        let record = self.records.draw_record(&mut self.random);
        let change = self.records.update_change(record, self.changes);
        self.committed = self.servers.commit(change.into_iter().collect()).await?;
        Ok(())
    }

    /// Commits `per_second` changes a second for the span, at least one.
    ///
    /// # Errors
    /// The origin rejects a change.
    pub async fn commit_changes_for(&mut self, span: Duration, per_second: usize) -> io::Result<()> {
        let mut pacer = Pacer::at_rate(per_second as f64, span);
        while pacer.next_tick().await.is_some() {
            self.commit_change().await?;
        }
        pacer.wait_for_end().await;
        Ok(())
    }

    /// Waits until all followers have applied the last change or the timeout has passed, and returns how many have
    /// applied it.
    ///
    /// # Errors
    /// A process has ended, or a follower received changes in the wrong order.
    pub async fn wait_until_converged(&mut self, timeout: Duration) -> io::Result<usize> {
        let deadline = Instant::now() + timeout;
        loop {
            self.check_running()?;
            let reached = self.followers.count_at_revision(self.committed.revision);
            if reached >= self.followers.len() || Instant::now() >= deadline {
                return Ok(reached);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Statistics of the replica server at present.
    ///
    /// # Errors
    /// The server has ended.
    pub fn replica_sample(&self) -> io::Result<ServerSample> {
        ServerSample::take(self.replica)
    }

    /// Statistics of the origin at present.
    ///
    /// # Errors
    /// The server has ended.
    pub fn origin_sample(&self) -> io::Result<ServerSample> {
        ServerSample::take(self.origin)
    }

    /// Checks that all processes run and that all changes have arrived in order.
    ///
    /// # Errors
    /// A process has ended, or a follower received changes in the wrong order.
    pub fn check_running(&mut self) -> io::Result<()> {
        if let Some(ended) = self.servers.unexpected_exits().into_iter().next() {
            return Err(io::Error::other(ended));
        }
        self.followers.check_running()
    }
}
