//! When to ask for the list of upstreams.

use std::ops::Range;

use nanorand::{Rng, WyRand};

use super::SECOND;
use crate::{BalancerConfig, ListSource, ListUpdate, TenthMillis};

/// How long the list service may take for one balancer's call.
const LIST_CALL: TenthMillis = 600;
/// So long may a call that is not answered take until that is known. The lease on the list goes on through an outage only
/// if each call that shows the outage has come to its end when the lease by the one before it ends.
const UNANSWERED: TenthMillis = 23 * SECOND / 10;
/// The longest waits before calls.
const FIRST_WAITS: TenthMillis = 7 * SECOND / 2;
const SILENT_WAITS: TenthMillis = 27 * SECOND / 10;
const UNREACHED_WAITS: TenthMillis = 3 * SECOND / 2;
const STALE_WAITS: TenthMillis = 3 * SECOND / 10;
/// The mean wait after a first refusal for each balancer, at least and at most, where a second of the lease is left. Each
/// further refusal doubles it, up to so often.
const RETRY: TenthMillis = 200;
const LEAST_RETRY: TenthMillis = SECOND / 5;
const MOST_RETRY: TenthMillis = SECOND;
const MOST_DOUBLINGS: u32 = 6;
/// What is left of the lease and a second more: the wait goes by it, within these.
const LEAST_URGENCY: TenthMillis = 2 * SECOND;
const MOST_URGENCY: TenthMillis = 5 * SECOND;

pub struct Discovery {
    /// Refusals in a row.
    pub refusals: u32,
    pub ask_at: Option<TenthMillis>,
}

impl Discovery {
    /// Calls are spread, or balancers that have to ask together would fail each other's calls. They are never spread
    /// over so long that a list which could be had comes after the end of the lease on the last.
    /// `left` is what is left of that lease.
    pub fn ask(
        &mut self,
        now: TenthMillis,
        why: &ListUpdate,
        left: Option<TenthMillis>,
        terms: &BalancerConfig,
        rng: &mut WyRand,
    ) {
        match why {
            ListUpdate::Refused => self.refusals += 1,
            ListUpdate::Unreachable => {}
            _ => self.refusals = 0,
        }
        let waits = match terms.list_source {
            ListSource::Pushed => return,
            ListSource::LocalAgent => Self::agent_waits(why),
            ListSource::Polled { max_poll_interval: within } => {
                self.service_waits(why, within, left, terms.balancer_count)
            }
        };
        self.ask_at = Some(now + rng.generate_range(waits));
    }

    /// Nobody else calls the agent.
    fn agent_waits(why: &ListUpdate) -> Range<TenthMillis> {
        match why {
            ListUpdate::WatchTimedOut | ListUpdate::Restored(_) => 0..1,
            _ => LIST_CALL..4 * LIST_CALL,
        }
    }

    fn service_waits(
        &self,
        why: &ListUpdate,
        within: TenthMillis,
        left: Option<TenthMillis>,
        balancers: u32,
    ) -> Range<TenthMillis> {
        let all = LIST_CALL * u64::from(balancers);
        let spread = |most: TenthMillis| {
            let longest = (2 * all).clamp(3 * SECOND / 2, most).min(within);
            longest / 16..longest.max(longest / 16 + 1)
        };
        match why {
            ListUpdate::WatchTimedOut => {
                let in_time = left.map_or(SILENT_WAITS, |left| left.saturating_sub(UNANSWERED));
                0..all.min(in_time).clamp(1, SILENT_WAITS)
            }
            ListUpdate::Refused => self.retry_waits(left, balancers),
            ListUpdate::Unreachable => spread(UNREACHED_WAITS),
            // Nothing is sent until the call is answered.
            ListUpdate::Restored(_) if left == Some(0) => 0..all.clamp(1, STALE_WAITS),
            _ => spread(FIRST_WAITS),
        }
    }

    /// Calls come often enough that the service is hardly idle while somebody waits, most often from whose lease ends
    /// first, and ever more rarely where the service does little but refuse.
    fn retry_waits(&self, left: Option<TenthMillis>, balancers: u32) -> Range<TenthMillis> {
        let least = (RETRY * u64::from(balancers)).clamp(LEAST_RETRY, MOST_RETRY);
        let urgency = (left.unwrap_or_default() + SECOND).clamp(LEAST_URGENCY, MOST_URGENCY);
        let first = least * urgency / LEAST_URGENCY;
        let mean = first << self.refusals.saturating_sub(1).min(MOST_DOUBLINGS);
        mean / 2..3 * mean / 2
    }
}
