//! Counters of requests, attempts and calls to discovery, for the log.

use std::collections::BTreeMap;
use std::fmt;

use pondlb::{GiveUpReason, Outcome};

use super::labels::{give_up_reason_label, outcome_label};

/// Counters since the start of the program.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Requests that were read and passed to the balancer.
    pub requests: u64,
    /// Final answers that came from an upstream and were passed to a client.
    pub served: u64,
    /// Clients that disconnected before they got their answer.
    pub left: u64,
    /// Requests given up that are known to have had no effect, by reason.
    pub rejected: BTreeMap<GiveUpReason, u64>,
    /// Requests given up that may have run, by reason.
    pub failed: BTreeMap<GiveUpReason, u64>,
    /// Attempts that were passed to the transport.
    pub attempts: u64,
    /// Ended attempts, by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Responses of discovery that were lists.
    pub lists: u64,
    /// Calls to discovery that were refused or whose response was not a list.
    pub calls_refused: u64,
    /// Calls that did not reach discovery, or whose connection broke.
    pub calls_unreached: u64,
    /// Calls to discovery that got no response in time.
    pub calls_silent: u64,
}

/// Adds one to the counter of a key.
pub fn increment<K: Ord>(counts: &mut BTreeMap<K, u64>, key: K) {
    *counts.entry(key).or_default() += 1;
}

/// One line of `name=value` pairs. A counter by reason or outcome has the label in its name: `rejected.Overload=3`.
impl fmt::Display for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "requests={} served={} left={}", self.requests, self.served, self.left)?;
        write_by_label(formatter, "rejected", &self.rejected, give_up_reason_label)?;
        write_by_label(formatter, "failed", &self.failed, give_up_reason_label)?;
        write!(formatter, " attempts={}", self.attempts)?;
        write_by_label(formatter, "ended", &self.outcomes, outcome_label)?;
        write!(formatter, " lists={} calls_refused={}", self.lists, self.calls_refused)?;
        write!(formatter, " calls_unreached={} calls_silent={}", self.calls_unreached, self.calls_silent)
    }
}

fn write_by_label<K: Copy>(
    formatter: &mut fmt::Formatter,
    name: &str,
    counts: &BTreeMap<K, u64>,
    label: impl Fn(K) -> &'static str,
) -> fmt::Result {
    counts.iter().try_for_each(|(key, count)| write!(formatter, " {name}.{}={count}", label(*key)))
}
