//! The time line of a scale run: every commit and event, drawn before anything is started. No I/O.

use std::collections::BTreeMap;

use nanorand::WyRand;
use pondlb_control::NewChange;

use super::records::{Record, Records};
use super::scenario::{Phase, PhaseKind, Scenario};

/// The most records of one commit; an event with more of them makes several commits.
pub const MAX_RECORDS_PER_COMMIT: usize = 400;
const US_PER_SECOND: f64 = 1e6;
/// After killed servers are lost, how long followers have to find others before the load of those is counted; a third
/// of the event where it is short.
const FAILOVER_US: u64 = 1_000_000;

/// Something that the run does at a moment.
#[derive(Debug)]
pub struct Step {
    /// Microseconds from the start of the first phase.
    pub at_us: u64,
    /// The phase that it belongs to.
    pub phase: usize,
    /// What is done.
    pub action: Action,
}

/// What a step does.
#[derive(Debug)]
pub enum Action {
    /// Asks the origin for a commit.
    Commit(Vec<NewChange>),
    /// Asks the origin for a commit that drains this served upstream.
    Drain(u32, Vec<NewChange>),
    /// Restarts those hollow balancers whose number leaves this remainder by ten.
    Restart(u32),
    /// Restarts the real balancers one after the other, the first now and each next one so many microseconds later.
    Release(u64),
    /// Kills replica servers.
    KillServers(Vec<u32>),
    /// Starts them again.
    StartServers(Vec<u32>),
    /// Has every balancer's counters read, and which server it calls.
    CountServerLoads,
    /// Cuts the other regions' replica servers off from the origin.
    Cut,
    /// Joins them again.
    Join,
    /// Stops a hollow process.
    Stop(u32),
    /// Continues it.
    Continue(u32),
}

/// When each phase begins and ends, in microseconds from the start of the first.
pub fn bounds(phases: &[Phase]) -> Vec<(u64, u64)> {
    let mut at = 0;
    let bound = |phase: &Phase| {
        let from = at;
        at += microseconds(phase.seconds);
        (from, at)
    };
    phases.iter().map(bound).collect()
}

/// All steps of the scenario in the order of their times.
pub fn steps(scenario: &Scenario, records: &Records) -> Vec<Step> {
    let mut drawing = Drawing {
        records,
        real_balancers: scenario.real_balancers,
        rng: WyRand::new_seed(scenario.seed),
        values: BTreeMap::new(),
        next_drained: 0,
        steps: Vec::new(),
    };
    for (number, (phase, (from, to))) in scenario.phases.iter().zip(bounds(&scenario.phases)).enumerate() {
        drawing.changes(number, phase, from, to);
        drawing.event(number, phase, from, to);
    }
    let mut steps = drawing.steps;
    steps.sort_by_key(|step| step.at_us);
    steps
}

struct Drawing<'a> {
    records: &'a Records,
    real_balancers: u32,
    rng: WyRand,
    /// How often each record was changed.
    values: BTreeMap<(u8, u32), u32>,
    next_drained: u32,
    steps: Vec<Step>,
}

impl Drawing<'_> {
    /// Single changes at the phase's rate, in even steps.
    fn changes(&mut self, phase_number: usize, phase: &Phase, from: u64, to: u64) {
        let count = (phase.seconds * phase.changes_per_second).floor() as u64;
        for change in 0..count {
            let at_us = from + (to - from) * change / count;
            let record = self.records.draw_record(&mut self.rng);
            if let Some(set) = self.set_anew(record) {
                self.steps.push(Step { at_us, phase: phase_number, action: Action::Commit(vec![set]) });
            }
        }
    }

    fn event(&mut self, phase_number: usize, phase: &Phase, from: u64, to: u64) {
        let end = from + microseconds(phase.event_seconds);
        let mut step = |at_us, action| self.steps.push(Step { at_us, phase: phase_number, action });
        match phase.kind {
            PhaseKind::Steady => {}
            PhaseKind::Rack => self.rack(phase_number, phase.rack_upstreams, from),
            PhaseKind::Zone => self.zone(phase_number, phase.zone, from, end),
            PhaseKind::Release => {
                step(from, Action::Release((to - from) / u64::from(self.real_balancers.max(1))));
                for tenth in 0..phase.tenths {
                    let at_us = from + (to - from) * u64::from(tenth) / u64::from(phase.tenths);
                    step(at_us, Action::Restart(tenth));
                }
            }
            PhaseKind::KillServer => {
                let counted_from = from + (end - from).min(FAILOVER_US * 3) / 3;
                step(from, Action::KillServers(phase.servers.clone()));
                step(counted_from, Action::CountServerLoads);
                step(end, Action::CountServerLoads);
                step(end, Action::StartServers(phase.servers.clone()));
            }
            PhaseKind::Partition => {
                step(from, Action::Cut);
                step(end, Action::Join);
            }
            PhaseKind::Stop => {
                step(from, Action::Stop(phase.process));
                step(end, Action::Continue(phase.process));
            }
        }
    }

    /// The last upstreams are a rack; a served one drains with them and stays so.
    fn rack(&mut self, phase: usize, count: u32, at_us: u64) {
        let records = self.records;
        let unserved = records.unserved_in_zone(0);
        let rack = unserved.iter().rev().take(count.saturating_sub(1) as usize);
        let mut changes: Vec<NewChange> = rack.filter_map(|record| records.removal_change(*record)).collect();
        let drained = self.next_drained;
        // One served upstream is left at least.
        if drained + 1 < records.served() {
            self.next_drained += 1;
            changes.extend(records.drain_change(drained));
            self.steps.push(Step { at_us, phase, action: Action::Drain(drained, changes) });
        } else {
            self.steps.push(Step { at_us, phase, action: Action::Commit(changes) });
        }
    }

    fn zone(&mut self, phase: usize, zone: u32, from: u64, back: u64) {
        let records = self.records;
        let zone = records.unserved_in_zone(zone);
        let removed: Vec<NewChange> =
            zone.iter().filter_map(|record| records.removal_change(*record)).collect();
        let returned: Vec<NewChange> = zone.iter().filter_map(|record| self.set_anew(*record)).collect();
        for (at_us, changes) in [(from, removed), (back, returned)] {
            for commit in changes.chunks(MAX_RECORDS_PER_COMMIT) {
                self.steps.push(Step { at_us, phase, action: Action::Commit(commit.to_vec()) });
            }
        }
    }

    /// Sets the record to a value that it had not before.
    fn set_anew(&mut self, record: Record) -> Option<NewChange> {
        let id = match record {
            Record::Upstream(number) => (0, number),
            Record::Class(number) => (1, number),
            Record::Tenant(number) => (2, number),
            Record::Limit(number) => (3, number),
        };
        let value = self.values.entry(id).or_default();
        *value += 1;
        self.records.update_change(record, *value)
    }
}

fn microseconds(seconds: f64) -> u64 {
    (seconds * US_PER_SECOND) as u64
}
