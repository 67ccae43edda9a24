//! Counters of what became of requests, attempts and calls for lists, for the log.

use std::collections::BTreeMap;
use std::fmt;

use pondlb::{GiveUpReason, Outcome};

/// Counts since the start of the program.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Requests that were read and given to the decisions.
    pub requests: u64,
    /// Final answers that were an upstream's.
    pub served: u64,
    /// Clients that left before their answer.
    pub left: u64,
    /// Requests given up with a promise of no effect, by reason.
    pub rejected: BTreeMap<GiveUpReason, u64>,
    /// Requests given up that may have run, by reason.
    pub failed: BTreeMap<GiveUpReason, u64>,
    /// Attempts that began.
    pub attempts: u64,
    /// Ends of attempts, by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Answers of discovery that were lists.
    pub lists: u64,
    /// Calls to discovery that were refused or answered with no list.
    pub calls_refused: u64,
    /// Calls to discovery that reached nobody.
    pub calls_unreached: u64,
    /// Calls to discovery that were not answered in time.
    pub calls_silent: u64,
}

/// Adds one to a count.
pub fn count<K: Ord>(counts: &mut BTreeMap<K, u64>, key: K) {
    *counts.entry(key).or_default() += 1;
}

/// One line of `name=value` pairs; counts by reason have the reason in the name.
impl fmt::Display for Metrics {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "requests={} served={} left={}", self.requests, self.served, self.left)?;
        write_by_key(to, "rejected", &self.rejected)?;
        write_by_key(to, "failed", &self.failed)?;
        write!(to, " attempts={}", self.attempts)?;
        write_by_key(to, "ended", &self.outcomes)?;
        write!(to, " lists={} calls_refused={}", self.lists, self.calls_refused)?;
        write!(to, " calls_unreached={} calls_silent={}", self.calls_unreached, self.calls_silent)
    }
}

fn write_by_key<K: fmt::Debug>(
    to: &mut fmt::Formatter,
    name: &str,
    counts: &BTreeMap<K, u64>,
) -> fmt::Result {
    counts.iter().try_for_each(|(key, count)| write!(to, " {name}.{key:?}={count}"))
}
