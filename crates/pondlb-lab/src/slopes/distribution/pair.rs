//! Runs the two compared balancers with discovery and a control server, and makes the same changes to both.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{Key, NewChange, RecordKind, Version};
use serde_json::value::{RawValue, to_raw_value};
use tokio::time::{Instant, sleep, sleep_until};

use super::phase::{BalancerMeasurement, Phase};
use crate::scale::servers::{ControlServers, Layout};
use crate::scale::tap::{Tap, TapLog};
use crate::scale::timeline::MAX_RECORDS_PER_COMMIT;
use crate::slopes::Options;
use crate::slopes::balancer_process::BalancerProcess;
use crate::slopes::bench::Bench;
use crate::slopes::configuration::{
    ConfigurationSize, InitialList, balancer_configuration, class_name, class_settings,
    follower_configuration,
};
use crate::slopes::load_generator::LoadTarget;
use crate::slopes::pacer::Pacer;
use crate::slopes::process_stats::{Process, ProcessorTime};
use crate::slopes::stubs::DiscoveryStub;
use crate::slopes::upstream_list::UpstreamList;

/// Messages in a phase with changes of a whole zone: the zone leaves at the start and returns at half of the span.
const MESSAGES_PER_ZONE_PHASE: u32 = 2;
/// The zone whose upstreams are changed together.
const CHANGED_ZONE: usize = 0;
/// The greatest number of entries that single changes have toggled and not yet toggled back.
const MAX_TOGGLED_ENTRIES: usize = 10;
/// How long the balancers may take to confirm the last change.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks for that confirmation.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The changes made in a phase.
#[derive(Clone, Copy)]
pub enum Changes {
    /// No changes.
    None,
    /// Single entries, one after the other.
    Single {
        /// Changes per second.
        rate: usize,
    },
    /// All entries of a zone at once, to leaving and back.
    Zone,
}

/// Both balancers, with the discovery stub and the control server that supply their lists.
pub struct BalancerPair {
    /// Number of upstreams in the list.
    upstreams: usize,
    discovery: DiscoveryStub,
    servers: ControlServers,
    origin: Process,
    /// The version of the last commit to the origin.
    committed: Version,
    /// What passed through the tap between the origin and the balancer that follows it.
    tap_log: Rc<TapLog>,
    _tap: Tap,
    /// The balancer that watches discovery.
    pub before: BalancerProcess,
    /// The balancer that follows the origin.
    pub after: BalancerProcess,
    before_target: Rc<LoadTarget>,
    after_target: Rc<LoadTarget>,
    direct_target: Rc<LoadTarget>,
}

impl BalancerPair {
    /// Starts both balancers, each with the full list.
    ///
    /// # Errors
    /// A program can't be started, exits on its own or is not ready in time.
    pub async fn start(bench: &Bench, options: &Options, upstreams: usize) -> io::Result<BalancerPair> {
        let discovery = bench.start_discovery(upstreams).await?;
        let mut initial = upstream_records(&discovery, 0..upstreams)?;
        initial.push(record_change(RecordKind::Class, &class_name(0), to_raw_value(&class_settings(0))?)?);
        let layout = Layout::local(0);
        let servers = ControlServers::start(&options.control_server, &layout, initial).await?;
        let origin = servers.process_ids().first().copied().map(Process);
        let origin =
            origin.ok_or_else(|| io::Error::other("the origin ended immediately after its start"))?;
        let committed = servers.state(0).await?.version;
        let tap_log = Rc::new(TapLog::default());
        let tap = Tap::start(layout.listen, servers.origin_address(), tap_log.clone()).await?;
        let size = ConfigurationSize::of_upstreams(upstreams);
        let known = |number, listen| {
            balancer_configuration(number, listen, &discovery, size, InitialList::InConfiguration)
        };
        let before = require_ready(bench.start_program(&options.before, known).await?)?;
        let follow = |number, listen| follower_configuration(number, listen, tap.address, size);
        let after = require_ready(bench.start_program(&options.program, follow).await?)?;
        let class = class_name(0);
        let before_target = LoadTarget::new(before.address, &class)?;
        let after_target = LoadTarget::new(after.address, &class)?;
        let direct_target = LoadTarget::new(bench.upstreams.addresses[0], &class)?;
        Ok(BalancerPair {
            upstreams,
            discovery,
            servers,
            origin,
            committed,
            tap_log,
            _tap: tap,
            before,
            after,
            before_target,
            after_target,
            direct_target,
        })
    }

    /// The load targets: both balancers, and an upstream directly.
    pub fn load_targets(&self) -> Vec<Rc<LoadTarget>> {
        vec![self.before_target.clone(), self.after_target.clone(), self.direct_target.clone()]
    }

    /// Measures both balancers from the first change until both have confirmed all changes, and at least for the
    /// measuring span.
    ///
    /// # Errors
    /// A program has ended, or the origin rejects a change.
    pub async fn measure_phase(&mut self, bench: &Bench, changes: Changes) -> io::Result<Phase> {
        for target in self.load_targets() {
            target.reset();
        }
        let (phase_start, start_usage) = (Instant::now(), self.sample_usage()?);
        let changes_made = self.make_changes(bench, changes).await?;
        sleep_until(phase_start + bench.span).await;
        let (before_confirmed, after_confirmed) = self.wait_until_confirmed().await;
        let end_usage = self.sample_usage()?;
        let (before, after) =
            (end_usage.before.since(&start_usage.before), end_usage.after.since(&start_usage.after));
        bench.record_serving_time(&before);
        bench.record_serving_time(&after);
        Ok(Phase {
            seconds: phase_start.elapsed().as_secs_f64(),
            changes: f64::from(changes_made),
            before: BalancerMeasurement {
                processor_ms: before.on_cpu_ms(),
                bytes: (end_usage.before_bytes - start_usage.before_bytes) as f64,
                processor_time: before,
                latency: self.before_target.latency(),
                has_all_changes: before_confirmed,
            },
            after: BalancerMeasurement {
                processor_ms: after.on_cpu_ms(),
                bytes: (end_usage.after_bytes - start_usage.after_bytes) as f64,
                processor_time: after,
                latency: self.after_target.latency(),
                has_all_changes: after_confirmed,
            },
            origin_processor_ms: end_usage.origin.since(&start_usage.origin).on_cpu_ms(),
            direct_latency: self.direct_target.latency(),
        })
    }

    /// Reads what both balancers and the origin have used so far.
    fn sample_usage(&self) -> io::Result<UsageSample> {
        let traffic = self.discovery.traffic();
        Ok(UsageSample {
            before: self.before.process.processor_time()?,
            after: self.after.process.processor_time()?,
            origin: self.origin.processor_time()?,
            before_bytes: traffic.sent_bytes + traffic.received_bytes,
            after_bytes: self.tap_log.bytes_sent.get() + self.tap_log.bytes_received.get(),
        })
    }

    /// Makes the changes of a phase and returns their number.
    async fn make_changes(&mut self, bench: &Bench, changes: Changes) -> io::Result<u32> {
        match changes {
            Changes::None => Ok(0),
            Changes::Single { rate } => self.toggle_single_entries(bench.span, rate as f64).await,
            Changes::Zone => self.toggle_zone(bench.span).await,
        }
    }

    /// Toggles single entries at a rate for the span, and returns the number of changes.
    async fn toggle_single_entries(&mut self, span: Duration, rate: f64) -> io::Result<u32> {
        let mut pacer = Pacer::at_rate(rate, span);
        while let Some(number) = pacer.next_tick().await {
            self.toggle_entries(&[entry_to_toggle(number as usize, self.upstreams)]).await?;
        }
        Ok(pacer.tick_count())
    }

    /// Toggles all entries of the changed zone at the start and at half of the span, and returns the number of
    /// messages.
    async fn toggle_zone(&mut self, span: Duration) -> io::Result<u32> {
        let members = self.discovery.zone_members(CHANGED_ZONE);
        let mut pacer = Pacer::with_count(MESSAGES_PER_ZONE_PHASE, span);
        while pacer.next_tick().await.is_some() {
            self.toggle_entries(&members).await?;
        }
        Ok(MESSAGES_PER_ZONE_PHASE)
    }

    /// Toggles entries in discovery's list, which sends them, and commits records with the same values to the origin.
    async fn toggle_entries(&mut self, entries: &[usize]) -> io::Result<()> {
        self.discovery.push_changes(entries.iter().copied());
        let records = upstream_records(&self.discovery, entries.iter().copied())?;
        for commit in records.chunks(MAX_RECORDS_PER_COMMIT) {
            self.committed = self.servers.commit(commit.to_vec()).await?;
        }
        Ok(())
    }

    /// Waits until both balancers have confirmed all changes, and returns for `before` and `after` whether they have
    /// done so within the timeout.
    async fn wait_until_confirmed(&self) -> (bool, bool) {
        let deadline = Instant::now() + CONFIRMATION_TIMEOUT;
        loop {
            let before = self.discovery.confirmed_version() >= self.discovery.version();
            let after = self.tap_log.last_call_version.get().is_some_and(|version| version >= self.committed);
            if (before && after) || Instant::now() >= deadline {
                return (before, after);
            }
            sleep(CONFIRMATION_POLL_INTERVAL).await;
        }
    }
}

/// What both balancers and the origin have used since their start.
struct UsageSample {
    before: ProcessorTime,
    after: ProcessorTime,
    origin: ProcessorTime,
    before_bytes: u64,
    after_bytes: u64,
}

/// The entry that a single change toggles: alternately a new one, and one that was toggled some changes ago. The second
/// toggle of an entry comes later than the first, because a control server combines the changes of a short time into
/// one response, and an entry toggled twice within it would be no change at all.
fn entry_to_toggle(change: usize, upstreams: usize) -> usize {
    let back_after = MAX_TOGGLED_ENTRIES.min(upstreams / 4);
    let newest = change / 2;
    if change.is_multiple_of(2) { newest % upstreams } else { (newest + upstreams - back_after) % upstreams }
}

/// Returns an error for a balancer that was not ready in time.
fn require_ready(balancer: BalancerProcess) -> io::Result<BalancerProcess> {
    if balancer.start_cost.is_none() {
        let last_line = balancer.last_log_line();
        return Err(io::Error::other(format!("the balancer was not ready in time: {last_line}")));
    }
    Ok(balancer)
}

/// Changes that set the records of these entries to their values in discovery's list.
fn upstream_records(
    discovery: &DiscoveryStub,
    entries: impl IntoIterator<Item = usize>,
) -> io::Result<Vec<NewChange>> {
    let upstream = |number| {
        let value = RawValue::from_string(discovery.entry_json(number))?;
        record_change(RecordKind::Upstream, &UpstreamList::entry_name(number), value)
    };
    entries.into_iter().map(upstream).collect()
}

/// A change that sets a record to a value.
fn record_change(kind: RecordKind, name: &str, value: Box<RawValue>) -> io::Result<NewChange> {
    let key = Key::new(kind, name).map_err(|error| io::Error::other(format!("{name}: {error}")))?;
    Ok(NewChange { key, value: Some(value) })
}
