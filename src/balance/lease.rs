//! Until when the list of upstreams may be relied on.

use super::SECOND;
use crate::{BalancerConfig, ListSource, TenthMillis};

/// What discovery has counts as told so long after it had it, whatever became of the calls that should have brought it.
/// Source: the operators' terms.
const TOLD_WITHIN: TenthMillis = 6 * SECOND;
/// What a discovery at a new address has counts as told so long after the balancer heard of the address. Source: the same.
const MOVED_WITHIN: TenthMillis = 4 * SECOND;
/// So long may a process be held up between reading its clock and writing.
const HELD_UP: TenthMillis = 1500;

/// A lease on the list: from its end on nothing is sent, since an upstream may have been draining for longer than the
/// grace. It is held once the list has been confirmed for the first time; until then nothing is known of how it comes.
#[derive(Default)]
pub struct ListLease {
    current_at: Option<TenthMillis>,
    /// Since when discovery is at an address that has not confirmed the list yet.
    moved_at: Option<TenthMillis>,
}

impl ListLease {
    /// The list was right at that time, or nobody could have been told of a change by then.
    pub fn renew(&mut self, current_at: TenthMillis) {
        self.current_at = self.current_at.max(Some(current_at));
        self.moved_at.take_if(|moved_at| *moved_at <= current_at);
    }

    /// Discovery is at another address from now on.
    pub fn move_at(&mut self, now: TenthMillis) {
        self.moved_at.get_or_insert(now);
    }

    /// When the first attempt would begin that a change right after the last confirmation forbids.
    pub fn end(&self, terms: &BalancerConfig) -> Option<TenthMillis> {
        let told_within = match terms.list_source {
            ListSource::Polled { max_poll_interval: within } => TOLD_WITHIN.min(within),
            ListSource::LocalAgent | ListSource::Pushed => TOLD_WITHIN,
        };
        let told = self.current_at? + told_within;
        let told = self.moved_at.map_or(told, |moved_at| told.min(moved_at + MOVED_WITHIN));
        Some((told + terms.drain_grace).saturating_sub(HELD_UP))
    }

    pub fn is_over(&self, now: TenthMillis, terms: &BalancerConfig) -> bool {
        self.end(terms).is_some_and(|end| end <= now)
    }

    /// The time that is left of it; none where there is no lease.
    pub fn left(&self, now: TenthMillis, terms: &BalancerConfig) -> Option<TenthMillis> {
        self.end(terms).map(|end| end.saturating_sub(now))
    }
}
