//! The two balancers, what they have their lists from, and the changes made to both.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{Key, NewChange, RecordKind, Version};
use serde_json::value::{RawValue, to_raw_value};
use tokio::time::{Instant, sleep, sleep_until};

use super::phase::{Phase, Side};
use crate::scale::servers::{ControlServers, Layout};
use crate::scale::tap::{Tap, TapLog};
use crate::scale::timeline::MAX_RECORDS_PER_COMMIT;
use crate::slopes::Options;
use crate::slopes::bench::Bench;
use crate::slopes::configuration::{First, Size, class, class_name, configuration, following};
use crate::slopes::listing::Listing;
use crate::slopes::load::Way;
use crate::slopes::pace::Pace;
use crate::slopes::probe::{Process, Scheduled};
use crate::slopes::running::Running;
use crate::slopes::stand_in::Discovery;

/// A zone leaves, and comes back after half of the span.
const ZONE_MESSAGES: u32 = 2;
const ZONE: usize = 0;
/// Entries that single changes have toggled and not yet toggled back.
const MOST_TOGGLED: usize = 10;
const HEARD_WITHIN: Duration = Duration::from_secs(5);
const HEARD_STEP: Duration = Duration::from_millis(5);

/// What changes in a phase.
#[derive(Clone, Copy)]
pub enum Changes {
    /// Nothing.
    None,
    /// One entry after another, so many a second.
    Single {
        /// How many.
        rate: usize,
    },
    /// All entries of a zone at once, there and back.
    Zone,
}

/// Both balancers, and what they have their lists from.
pub struct Pair {
    upstreams: usize,
    discovery: Discovery,
    servers: ControlServers,
    origin: Process,
    committed: Version,
    heard: Rc<TapLog>,
    _tap: Tap,
    /// The balancer that is told by discovery.
    pub before: Running,
    /// The balancer that follows the origin.
    pub after: Running,
    before_way: Rc<Way>,
    after_way: Rc<Way>,
    direct_way: Rc<Way>,
}

impl Pair {
    /// Starts both, each with the whole list.
    ///
    /// # Errors
    /// A program can't be started, ends by itself or is not ready in time.
    pub async fn start(bench: &Bench, options: &Options, upstreams: usize) -> io::Result<Pair> {
        let discovery = bench.discovery(upstreams).await?;
        let mut initial = records(&discovery, 0..upstreams)?;
        initial.push(record(RecordKind::Class, &class_name(0), to_raw_value(&class(0))?)?);
        let layout = Layout::local(0);
        let servers = ControlServers::start(&options.control_server, &layout, initial).await?;
        let origin = servers.process_ids().first().copied().map(Process);
        let origin = origin.ok_or_else(|| io::Error::other("the origin ended at once"))?;
        let committed = servers.state(0).await?.version;
        let heard = Rc::new(TapLog::default());
        let tap = Tap::start(layout.listen, servers.origin_address(), heard.clone()).await?;
        let size = Size::of_upstreams(upstreams);
        let known = |number, listen| configuration(number, listen, &discovery, size, First::Known);
        let before = ready(bench.start_program(&options.before, known).await?)?;
        let follow = |number, listen| following(number, listen, tap.address, size);
        let after = ready(bench.start_program(&options.program, follow).await?)?;
        let class = class_name(0);
        let before_way = Way::new(before.address, &class)?;
        let after_way = Way::new(after.address, &class)?;
        let direct_way = Way::new(bench.upstreams.addresses[0], &class)?;
        Ok(Pair {
            upstreams,
            discovery,
            servers,
            origin,
            committed,
            heard,
            _tap: tap,
            before,
            after,
            before_way,
            after_way,
            direct_way,
        })
    }

    /// Through both balancers, and straight to an upstream.
    pub fn ways(&self) -> Vec<Rc<Way>> {
        vec![self.before_way.clone(), self.after_way.clone(), self.direct_way.clone()]
    }

    /// Measures from the first change until both have all of them, and for the span at least.
    ///
    /// # Errors
    /// A program has ended, or the origin refuses a change.
    pub async fn phase(&mut self, bench: &Bench, changes: Changes) -> io::Result<Phase> {
        for way in self.ways() {
            way.reset();
        }
        let (begun, start) = (Instant::now(), self.used()?);
        let made = self.change(bench, changes).await?;
        sleep_until(begun + bench.span).await;
        let (before_heard, after_heard) = self.wait_until_heard().await;
        let end = self.used()?;
        let (before, after) = (end.before.since(&start.before), end.after.since(&start.after));
        bench.note_serving(&before);
        bench.note_serving(&after);
        Ok(Phase {
            seconds: begun.elapsed().as_secs_f64(),
            changes: f64::from(made),
            before: Side {
                processor_ms: before.ran_ms(),
                bytes: (end.before_bytes - start.before_bytes) as f64,
                scheduled: before,
                through: self.before_way.latency(),
                is_up_to_date: before_heard,
            },
            after: Side {
                processor_ms: after.ran_ms(),
                bytes: (end.after_bytes - start.after_bytes) as f64,
                scheduled: after,
                through: self.after_way.latency(),
                is_up_to_date: after_heard,
            },
            origin_ms: end.origin.since(&start.origin).ran_ms(),
            direct: self.direct_way.latency(),
        })
    }

    fn used(&self) -> io::Result<Used> {
        let traffic = self.discovery.traffic();
        Ok(Used {
            before: self.before.process.scheduled()?,
            after: self.after.process.scheduled()?,
            origin: self.origin.scheduled()?,
            before_bytes: traffic.sent + traffic.received,
            after_bytes: self.heard.bytes_sent.get() + self.heard.bytes_received.get(),
        })
    }

    /// Makes the changes of a phase, and tells how many.
    async fn change(&mut self, bench: &Bench, changes: Changes) -> io::Result<u32> {
        match changes {
            Changes::None => Ok(0),
            Changes::Single { rate } => self.change_single(bench.span, rate as f64).await,
            Changes::Zone => self.change_zone(bench.span).await,
        }
    }

    async fn change_single(&mut self, span: Duration, rate: f64) -> io::Result<u32> {
        let mut pace = Pace::at_rate(rate, span);
        while let Some(number) = pace.next().await {
            self.toggle(&[toggled_by(number as usize, self.upstreams)]).await?;
        }
        Ok(pace.len())
    }

    async fn change_zone(&mut self, span: Duration) -> io::Result<u32> {
        let members = self.discovery.zone_members(ZONE);
        let mut pace = Pace::spread(ZONE_MESSAGES, span);
        while pace.next().await.is_some() {
            self.toggle(&members).await?;
        }
        Ok(ZONE_MESSAGES)
    }

    /// Pushes the entries and commits the records of the same values.
    async fn toggle(&mut self, entries: &[usize]) -> io::Result<()> {
        self.discovery.push_changes(entries.iter().copied());
        let records = records(&self.discovery, entries.iter().copied())?;
        for commit in records.chunks(MAX_RECORDS_PER_COMMIT) {
            self.committed = self.servers.commit(commit.to_vec()).await?;
        }
        Ok(())
    }

    /// Whether each of them says in time that it has all changes.
    async fn wait_until_heard(&self) -> (bool, bool) {
        let until = Instant::now() + HEARD_WITHIN;
        loop {
            let before = self.discovery.heard() >= self.discovery.version();
            let after = self.heard.last_call_version.get().is_some_and(|version| version >= self.committed);
            if (before && after) || Instant::now() >= until {
                return (before, after);
            }
            sleep(HEARD_STEP).await;
        }
    }
}

/// What both balancers and the origin have used so far.
struct Used {
    before: Scheduled,
    after: Scheduled,
    origin: Scheduled,
    before_bytes: u64,
    after_bytes: u64,
}

/// The entry that a single change toggles: in turns a further one, and the one that was toggled some changes ago. A
/// control server gathers changes, and there and back in one answer would be no change at all.
fn toggled_by(change: usize, upstreams: usize) -> usize {
    let back_after = MOST_TOGGLED.min(upstreams / 4);
    let further = change / 2;
    if change.is_multiple_of(2) {
        further % upstreams
    } else {
        (further + upstreams - back_after) % upstreams
    }
}

fn ready(running: Running) -> io::Result<Running> {
    if running.start.is_none() {
        let said = running.last_line();
        return Err(io::Error::other(format!("the balancer was not ready in time: {said}")));
    }
    Ok(running)
}

/// Sets records to the values that discovery lists.
fn records(discovery: &Discovery, entries: impl IntoIterator<Item = usize>) -> io::Result<Vec<NewChange>> {
    let upstream = |number| {
        let value = RawValue::from_string(discovery.entry(number))?;
        record(RecordKind::Upstream, &Listing::name(number), value)
    };
    entries.into_iter().map(upstream).collect()
}

fn record(kind: RecordKind, name: &str, value: Box<RawValue>) -> io::Result<NewChange> {
    let key = Key::new(kind, name).map_err(|fault| io::Error::other(format!("{name}: {fault}")))?;
    Ok(NewChange { key, value: Some(value) })
}
