//! Two balancers side by side under the same traffic and the same changes, against the length of the list: one has its
//! list from discovery by its watch, the other follows a control server.

use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{Key, Kind, NewChange, Version};
use serde_json::value::{RawValue, to_raw_value};
use tokio::time::{Instant, sleep, sleep_until};

use super::Options;
use super::bench::Bench;
use super::changes::seen;
use super::configuration::{First, Size, class, class_name, configuration, following};
use super::listing::Listing;
use super::load::{Latency, Way};
use super::probe::{Process, Scheduled};
use super::running::Running;
use super::series::Series;
use super::stand_in::Discovery;
use crate::scale::servers::{ControlServers, Layout, UNBOUNDED_SNAPSHOT_PIECES};
use crate::scale::tap::{Heard, Tap};
use crate::scale::timeline::COMMIT_RECORDS;

const SIZES: [usize; 5] = [200, 1000, 4000, 8000, 24_000];
const RATES: [usize; 2] = [5, 20];
/// The mean of a balancer at the peak: 170,000 by 1,500.
const REQUESTS_PER_SECOND: f64 = 113.0;
/// A zone leaves, and comes back after half of the span.
const ZONE_MESSAGES: u32 = 2;
const ZONE: usize = 0;
/// Entries that single changes have toggled and not yet toggled back.
const MOST_TOGGLED: usize = 10;
const LISTEN: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// As a control server has it where its options say nothing.
const GATHER_MS: u64 = 200;
const HEARD_WITHIN: Duration = Duration::from_secs(5);
const HEARD_STEP: Duration = Duration::from_millis(5);
const ALONG: &str = "upstreams";

/// What both balancers and the origin have used so far.
struct Used {
    before: Scheduled,
    after: Scheduled,
    origin: Scheduled,
    before_bytes: u64,
    after_bytes: u64,
}

/// One of the balancers over a phase.
struct Side {
    processor_ms: f64,
    bytes: f64,
    scheduled: Scheduled,
    through: Latency,
    /// Whether it had all changes in force in the end.
    is_up_to_date: bool,
}

/// Both balancers over the same phase.
struct Phase {
    seconds: f64,
    /// Entries changed one by one, or messages of many.
    changes: f64,
    before: Side,
    after: Side,
    origin_ms: f64,
    direct: Latency,
}

/// Everything at one length of the list.
struct At {
    before_memory_mb: f64,
    after_memory_mb: f64,
    quiet: Phase,
    /// At each of `RATES`.
    single: Vec<Phase>,
    zone: Phase,
}

/// Which of the two balancers.
#[derive(Clone, Copy)]
enum Which {
    Before,
    After,
}

/// All series along the number of upstreams.
///
/// # Errors
/// A program can't be started, or ends by itself, or the origin refuses a change.
pub async fn measure(bench: &Bench, options: &Options) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for size in SIZES.map(|size| bench.scaled(size)) {
        measured.push((size, at(bench, options, size).await?));
    }
    Ok(all_series(&measured))
}

async fn at(bench: &Bench, options: &Options, upstreams: usize) -> io::Result<At> {
    let mut pair = Pair::start(bench, options, upstreams).await?;
    let _load = bench.load(pair.ways(), REQUESTS_PER_SECOND);
    bench.grow().await;
    let quiet = pair.phase(bench, Changes::None).await?;
    let mut single = Vec::new();
    for rate in RATES {
        single.push(pair.phase(bench, Changes::Single { rate }).await?);
    }
    let zone = pair.phase(bench, Changes::Zone).await?;
    let resident = |running: &Running| Ok::<_, io::Error>(running.process.memory()?.resident as f64 / 1e6);
    let (before_memory_mb, after_memory_mb) = (resident(&pair.before)?, resident(&pair.after)?);
    pair.before.end().await?;
    pair.after.end().await?;
    Ok(At { before_memory_mb, after_memory_mb, quiet, single, zone })
}

/// What changes in a phase.
#[derive(Clone, Copy)]
enum Changes {
    None,
    /// One entry after another, so many a second.
    Single {
        rate: usize,
    },
    /// All entries of a zone at once, there and back.
    Zone,
}

/// Both balancers, and what they have their lists from.
struct Pair {
    upstreams: usize,
    discovery: Discovery,
    servers: ControlServers,
    origin: Process,
    committed: Version,
    heard: Rc<Heard>,
    _tap: Tap,
    before: Running,
    after: Running,
    before_way: Rc<Way>,
    after_way: Rc<Way>,
    direct_way: Rc<Way>,
}

impl Pair {
    async fn start(bench: &Bench, options: &Options, upstreams: usize) -> io::Result<Pair> {
        let discovery = bench.discovery(upstreams).await?;
        let mut initial = records(&discovery, 0..upstreams)?;
        initial.push(record(Kind::Class, &class_name(0), to_raw_value(&class(0))?)?);
        let layout = Layout {
            listen: LISTEN,
            replica_servers: 0,
            regions: 1,
            gather_ms: GATHER_MS,
            snapshot_pieces_per_second: UNBOUNDED_SNAPSHOT_PIECES,
        };
        let servers = ControlServers::start(&options.control_server, &layout, initial).await?;
        let origin = servers.processes().first().copied().map(Process);
        let origin = origin.ok_or_else(|| io::Error::other("the origin ended at once"))?;
        let committed = servers.state(0).await?.version;
        let heard = Rc::new(Heard::default());
        let tap = Tap::start(LISTEN, servers.origin(), heard.clone()).await?;
        let size = Size::of_upstreams(upstreams);
        let known = |number, listen| configuration(number, listen, &discovery, size, First::Known);
        let before = ready(bench.start_program(&options.before, known).await?)?;
        let follow = |number, listen| following(number, listen, tap.address, size);
        let after = ready(bench.start_program(&options.program, follow).await?)?;
        let class = class_name(0);
        let before_way = Way::new(before.address, &class)?;
        let after_way = Way::new(after.address, &class)?;
        let direct_way = Way::new(bench.upstreams.addresses[0], &class)?;
        let _tap = tap;
        Ok(Pair {
            upstreams,
            discovery,
            servers,
            origin,
            committed,
            heard,
            _tap,
            before,
            after,
            before_way,
            after_way,
            direct_way,
        })
    }

    fn ways(&self) -> Vec<Rc<Way>> {
        vec![self.before_way.clone(), self.after_way.clone(), self.direct_way.clone()]
    }

    /// Measures from the first change until both have all of them, and for the span at least.
    async fn phase(&mut self, bench: &Bench, changes: Changes) -> io::Result<Phase> {
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
                processor_ms: milliseconds(before),
                bytes: (end.before_bytes - start.before_bytes) as f64,
                scheduled: before,
                through: self.before_way.latency(),
                is_up_to_date: before_heard,
            },
            after: Side {
                processor_ms: milliseconds(after),
                bytes: (end.after_bytes - start.after_bytes) as f64,
                scheduled: after,
                through: self.after_way.latency(),
                is_up_to_date: after_heard,
            },
            origin_ms: milliseconds(end.origin.since(&start.origin)),
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
            after_bytes: self.heard.sent.get() + self.heard.received.get(),
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
        let count = (rate * span.as_secs_f64()).round().max(1.0) as u32;
        let begun = Instant::now();
        for number in 0..count {
            sleep_until(begun + Duration::from_secs_f64(f64::from(number) / rate)).await;
            self.toggle(&[toggled_by(number as usize, self.upstreams)]).await?;
        }
        Ok(count)
    }

    async fn change_zone(&mut self, span: Duration) -> io::Result<u32> {
        let begun = Instant::now();
        let members = self.discovery.zone_members(ZONE);
        for message in 0..ZONE_MESSAGES {
            sleep_until(begun + span * message / ZONE_MESSAGES).await;
            self.toggle(&members).await?;
        }
        Ok(ZONE_MESSAGES)
    }

    /// Pushes the entries and commits the records of the same values.
    async fn toggle(&mut self, entries: &[usize]) -> io::Result<()> {
        self.discovery.push_changes(entries.iter().copied());
        let records = records(&self.discovery, entries.iter().copied())?;
        for commit in records.chunks(COMMIT_RECORDS) {
            self.committed = self.servers.commit(commit.to_vec()).await?;
        }
        Ok(())
    }

    /// Whether each of them says in time that it has all changes.
    async fn wait_until_heard(&self) -> (bool, bool) {
        let until = Instant::now() + HEARD_WITHIN;
        loop {
            let before = self.discovery.heard() >= self.discovery.version();
            let after = self.heard.latest.get().is_some_and(|version| version >= self.committed);
            if (before && after) || Instant::now() >= until {
                return (before, after);
            }
            sleep(HEARD_STEP).await;
        }
    }
}

impl Phase {
    fn side(&self, which: Which) -> &Side {
        match which {
            Which::Before => &self.before,
            Which::After => &self.after,
        }
    }

    /// What one change adds to a quantity, whose value of a quiet second is known from the same balancer.
    fn added(&self, quiet: &Phase, value: impl Fn(&Phase) -> f64) -> f64 {
        (value(self) - value(quiet) * self.seconds / quiet.seconds) / self.changes
    }

    fn added_p99(&self, which: Which) -> Option<f64> {
        let through = self.side(which).through;
        (through.answered > 0 && self.direct.answered > 0).then_some(through.p99 - self.direct.p99)
    }

    fn seen(&self, which: Which) -> String {
        let side = self.side(which);
        seen(&side.through, &side.scheduled)
    }
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

fn milliseconds(scheduled: Scheduled) -> f64 {
    scheduled.ran.as_secs_f64() * 1000.0
}

/// Sets records to the values that discovery lists.
fn records(discovery: &Discovery, entries: impl IntoIterator<Item = usize>) -> io::Result<Vec<NewChange>> {
    let upstream = |number| {
        let value = RawValue::from_string(discovery.entry(number))?;
        record(Kind::Upstream, &Listing::name(number), value)
    };
    entries.into_iter().map(upstream).collect()
}

fn record(kind: Kind, name: &str, value: Box<RawValue>) -> io::Result<NewChange> {
    let key = Key::new(kind, name).map_err(|fault| io::Error::other(format!("{name}: {fault}")))?;
    Ok(NewChange { key, value: Some(value) })
}

fn all_series(measured: &[(usize, At)]) -> Vec<Series> {
    let mut series = Vec::new();
    for (which, side) in [(Which::Before, "before"), (Which::After, "after")] {
        series.push(Series::column(format!("resident memory, {side}"), "MB", ALONG, measured, |at| {
            Some(match which {
                Which::Before => at.before_memory_mb,
                Which::After => at.after_memory_mb,
            })
        }));
        series.push(quiet_processor(measured, which, side));
        series.push(added_p99(measured, which, &format!("quiet, {side}"), |at| &at.quiet));
        for (index, rate) in RATES.into_iter().enumerate() {
            let what = format!("{rate} changes a second, {side}");
            series.extend(of_changes(measured, which, &what, |at| &at.single[index]));
        }
        series.extend(of_changes(measured, which, &format!("a zone at once, {side}"), |at| &at.zone));
    }
    for (index, rate) in RATES.into_iter().enumerate() {
        series.push(of_origin(measured, &format!("{rate} changes a second"), |at| &at.single[index]));
    }
    series.push(of_origin(measured, "a zone at once", |at| &at.zone));
    series
}

fn quiet_processor(measured: &[(usize, At)], which: Which, side: &str) -> Series {
    Series::column(format!("processor time, quiet, {side}"), "ms/s", ALONG, measured, |at| {
        Some(at.quiet.side(which).processor_ms / at.quiet.seconds)
    })
}

fn of_changes(
    measured: &[(usize, At)],
    which: Which,
    what: &str,
    phase: impl Fn(&At) -> &Phase,
) -> Vec<Series> {
    let added =
        |at: &At, value: fn(&Side) -> f64| phase(at).added(&at.quiet, |phase| value(phase.side(which)));
    vec![
        Series::column(format!("processor time a change, {what}"), "ms", ALONG, measured, |at| {
            Some(added(at, |side| side.processor_ms))
        }),
        Series::column(format!("bytes a change, {what}"), "KB", ALONG, measured, |at| {
            Some(added(at, |side| side.bytes) / 1000.0)
        }),
        Series::column(format!("changes seen, {what}"), "changes", ALONG, measured, |at| {
            phase(at).side(which).is_up_to_date.then(|| phase(at).changes)
        })
        .without_fit(),
        added_p99(measured, which, what, phase),
    ]
}

fn added_p99(measured: &[(usize, At)], which: Which, what: &str, phase: impl Fn(&At) -> &Phase) -> Series {
    let value = |at: &At| phase(at).added_p99(which);
    let note = |at: &At| Some(phase(at).seen(which));
    Series::noted(format!("added p99, {what}"), "ms", ALONG, measured, value, note).without_fit()
}

fn of_origin(measured: &[(usize, At)], what: &str, phase: impl Fn(&At) -> &Phase) -> Series {
    Series::column(format!("processor time a change, {what}, origin"), "ms", ALONG, measured, |at| {
        Some(phase(at).added(&at.quiet, |phase| phase.origin_ms))
    })
}
