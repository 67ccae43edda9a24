//! When to call discovery for the list of upstreams.

use std::ops::Range;

use nanorand::{Rng, WyRand};

use super::SECOND;
use crate::{BalancerConfig, ListSource, ListUpdate, TenthMillis};

/// The time of the list service that one balancer's call may take.
const LIST_CALL_TIME: TenthMillis = 600;
/// The longest time until an unanswered call counts as a sign of an outage. The lease on the list is renewed
/// through an outage only if each call that shows the outage counts before the lease from the call before
/// it expires.
const MAX_UNANSWERED_TIME: TenthMillis = 36 * SECOND / 10;
/// The longest wait before the first call, and before a call after an answered one.
const MAX_FIRST_WAIT: TenthMillis = 7 * SECOND / 2;
/// The longest wait before a call after an unanswered watch.
const MAX_WAIT_AFTER_WATCH: TenthMillis = 27 * SECOND / 10;
/// The longest wait before a call after discovery was unreachable.
const MAX_WAIT_AFTER_UNREACHABLE: TenthMillis = 3 * SECOND / 2;
/// The longest wait before the first call where nothing may be sent until it is answered.
const MAX_WAIT_WITHOUT_LEASE: TenthMillis = 3 * SECOND / 10;
/// The upper end of a spread of waits is at least this, however few the balancers are.
const MIN_SPREAD: TenthMillis = 3 * SECOND / 2;
/// The mean wait after a first refusal where a second of the lease is left: this much for each balancer,
/// between the minimum and the maximum. Each further refusal doubles the wait, up to `MAX_RETRY_DOUBLINGS`
/// times.
const RETRY_WAIT_PER_BALANCER: TenthMillis = 200;
const MIN_RETRY_WAIT: TenthMillis = SECOND / 5;
const MAX_RETRY_WAIT: TenthMillis = SECOND;
const MAX_RETRY_DOUBLINGS: u32 = 6;
/// The wait after a refusal is proportional to the rest of the lease plus one second, within these bounds.
const MIN_RETRY_LEASE: TenthMillis = 2 * SECOND;
const MAX_RETRY_LEASE: TenthMillis = 5 * SECOND;

/// The schedule of this balancer's calls to discovery.
#[derive(Default)]
pub struct ListCalls {
    /// Consecutive refused calls.
    pub refusals: u32,
    /// When to call next.
    pub next_call_at: Option<TenthMillis>,
}

impl ListCalls {
    /// Schedules the next call after the last one ended with `last`.
    ///
    /// Calls are spread at random, because balancers that all have to call at once would make each other's
    /// calls fail. They are never spread so far that an available list arrives after the lease on the last
    /// one has expired. `lease_left` is the time until that.
    pub fn schedule(
        &mut self,
        now: TenthMillis,
        last: &ListUpdate,
        lease_left: Option<TenthMillis>,
        config: &BalancerConfig,
        rng: &mut WyRand,
    ) {
        match last {
            ListUpdate::Refused => self.refusals += 1,
            ListUpdate::Unreachable => {}
            _ => self.refusals = 0,
        }
        let waits = match config.list_source {
            ListSource::Pushed => return,
            ListSource::LocalAgent => Self::agent_waits(last),
            ListSource::Polled { max_poll_interval } => {
                self.service_waits(last, max_poll_interval, lease_left, config.balancer_count)
            }
        };
        self.next_call_at = Some(now + rng.generate_range(waits));
    }

    /// The range of waits before a call to a local agent. It has no other callers, so that calls need no
    /// spread over balancers.
    fn agent_waits(last: &ListUpdate) -> Range<TenthMillis> {
        match last {
            ListUpdate::WatchTimedOut | ListUpdate::Restored(_) => 0..1,
            _ => LIST_CALL_TIME..4 * LIST_CALL_TIME,
        }
    }

    /// The range of waits before a call to a discovery service, which all balancers call.
    fn service_waits(
        &self,
        last: &ListUpdate,
        max_poll_interval: TenthMillis,
        lease_left: Option<TenthMillis>,
        balancer_count: u32,
    ) -> Range<TenthMillis> {
        let time_for_all = LIST_CALL_TIME * u64::from(balancer_count);
        let spread = |max_wait: TenthMillis| {
            let longest = (2 * time_for_all).clamp(MIN_SPREAD, max_wait).min(max_poll_interval);
            longest / 16..longest.max(longest / 16 + 1)
        };
        match last {
            ListUpdate::WatchTimedOut => {
                let in_time =
                    lease_left.map_or(MAX_WAIT_AFTER_WATCH, |left| left.saturating_sub(MAX_UNANSWERED_TIME));
                0..time_for_all.min(in_time).clamp(1, MAX_WAIT_AFTER_WATCH)
            }
            ListUpdate::Refused => self.retry_waits(lease_left, balancer_count),
            ListUpdate::Unreachable => spread(MAX_WAIT_AFTER_UNREACHABLE),
            // Nothing is sent until the call is answered.
            ListUpdate::Restored(_) if lease_left == Some(0) => {
                0..time_for_all.clamp(1, MAX_WAIT_WITHOUT_LEASE)
            }
            _ => spread(MAX_FIRST_WAIT),
        }
    }

    /// The range of waits after a refusal. The balancers together retry often enough that the service is
    /// hardly idle while one of them waits. A balancer whose lease ends sooner retries sooner, and all retry
    /// less often the longer the service refuses most calls.
    fn retry_waits(&self, lease_left: Option<TenthMillis>, balancer_count: u32) -> Range<TenthMillis> {
        let wait_per_call =
            (RETRY_WAIT_PER_BALANCER * u64::from(balancer_count)).clamp(MIN_RETRY_WAIT, MAX_RETRY_WAIT);
        let lease = (lease_left.unwrap_or_default() + SECOND).clamp(MIN_RETRY_LEASE, MAX_RETRY_LEASE);
        let first_wait = wait_per_call * lease / MIN_RETRY_LEASE;
        let mean_wait = first_wait << self.refusals.saturating_sub(1).min(MAX_RETRY_DOUBLINGS);
        mean_wait / 2..3 * mean_wait / 2
    }
}
