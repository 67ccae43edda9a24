//! An origin, a replica server behind it, and the followers of the replica server.

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
use crate::slopes::pace::Pace;
use crate::slopes::probe::Process;

const SEED: u64 = 24;
const POLL: Duration = Duration::from_millis(10);
/// For the first snapshots of all followers of one step.
const FIRST_STATE_WITHIN: Duration = Duration::from_secs(120);
/// In each process of followers, so that they do not all wait for one another.
const STARTS_AT_ONCE: u32 = 2;

/// Both servers and all followers. They end with it.
pub struct Deployment {
    servers: ControlServers,
    origin: Process,
    replica: Process,
    records: Records,
    random: WyRand,
    /// Changes made so far; gives each its own value.
    changes: u32,
    /// The version of the last change.
    committed: Version,
    /// Of the replica server.
    pub followers: FollowerGroup,
}

impl Deployment {
    /// Starts both servers with these records; there are no followers yet.
    ///
    /// # Errors
    /// A server can't be started, or ends by itself.
    pub async fn start(
        program: &Program,
        counts: RecordCounts,
        snapshot_pieces_per_second: f64,
    ) -> io::Result<Deployment> {
        let records = Records::without_served_upstreams(counts);
        let layout = Layout { snapshot_pieces_per_second, ..Layout::local(1) };
        let servers = ControlServers::start(program, &layout, records.initial_changes()).await?;
        let [origin, replica] = servers.process_ids()[..] else {
            return Err(io::Error::other("a control server ended at once"));
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

    /// Ends the followers, and has none again.
    ///
    /// # Errors
    /// The machine has no folder to give.
    pub fn end_followers(&mut self) -> io::Result<()> {
        self.followers = FollowerGroup::new(self.followers.server())?;
        Ok(())
    }

    /// Adds followers until there are so many, and waits until all have the newest state.
    ///
    /// # Errors
    /// They can't be started, or have no state in time.
    pub async fn grow_followers(&mut self, count: usize) -> io::Result<()> {
        let added = count.saturating_sub(self.followers.len());
        self.followers.add(added, STARTS_AT_ONCE)?;
        let reached = self.wait_until_reached(FIRST_STATE_WITHIN).await?;
        if reached < count {
            let told = format!("{reached} of {count} followers had a state within {FIRST_STATE_WITHIN:?}");
            return Err(io::Error::other(told));
        }
        Ok(())
    }

    /// Changes one drawn record.
    ///
    /// # Errors
    /// The origin refuses it.
    pub async fn change(&mut self) -> io::Result<()> {
        self.changes += 1;
        let record = self.records.draw_record(&mut self.random);
        let change = self.records.update_change(record, self.changes);
        self.committed = self.servers.commit(change.into_iter().collect()).await?;
        Ok(())
    }

    /// Makes so many changes a second for a while, one at least.
    ///
    /// # Errors
    /// The origin refuses one.
    pub async fn change_for(&mut self, span: Duration, per_second: usize) -> io::Result<()> {
        let mut pace = Pace::at_rate(per_second as f64, span);
        while pace.next().await.is_some() {
            self.change().await?;
        }
        pace.end().await;
        Ok(())
    }

    /// How many followers have the last change in force; waits until all have it, but not for longer than that.
    ///
    /// # Errors
    /// A process has ended, or a follower was handed changes in a wrong order.
    pub async fn wait_until_reached(&mut self, within: Duration) -> io::Result<usize> {
        let until = Instant::now() + within;
        loop {
            self.check()?;
            let reached = self.followers.with_revision(self.committed.revision);
            if reached >= self.followers.len() || Instant::now() >= until {
                return Ok(reached);
            }
            sleep(POLL).await;
        }
    }

    /// What the replica server has used so far.
    ///
    /// # Errors
    /// It has ended.
    pub fn replica_sample(&self) -> io::Result<ServerSample> {
        ServerSample::take(self.replica)
    }

    /// What the origin has used so far.
    ///
    /// # Errors
    /// It has ended.
    pub fn origin_sample(&self) -> io::Result<ServerSample> {
        ServerSample::take(self.origin)
    }

    /// # Errors
    /// A process has ended, or a follower was handed changes in a wrong order.
    pub fn check(&mut self) -> io::Result<()> {
        if let Some(ended) = self.servers.unexpected_exits().into_iter().next() {
            return Err(io::Error::other(ended));
        }
        self.followers.check()
    }
}
