//! The time until which the list of upstreams may be relied on.

use super::SECOND;
use crate::{BalancerConfig, ListSource, TenthMillis};

/// A balancer counts as notified of a change this long after discovery has it, whether or not a call has
/// delivered it. Set by the rules of the operators.
const NOTIFICATION_TIME: TenthMillis = 6 * SECOND;
/// After the balancer has learnt of discovery's new address, it counts as notified of all that is known there
/// this much later. Set by the rules of the operators.
const ADDRESS_CHANGE_NOTIFICATION_TIME: TenthMillis = 4 * SECOND;
/// The longest time for which the operating system may suspend the process between a reading of the clock and
/// a write to a socket.
const MAX_PROCESS_PAUSE: TenthMillis = 1500;

/// A lease on the list. When it has expired nothing is sent, since an upstream may have been draining for
/// longer than its grace. The lease begins with the first confirmation of the list; a front end that never
/// confirms the list has none.
#[derive(Default)]
pub struct ListLease {
    /// The latest time at which the list was known to be correct.
    confirmed_at: Option<TenthMillis>,
    /// When discovery got an address that has not confirmed the list yet.
    address_changed_at: Option<TenthMillis>,
}

impl ListLease {
    /// The list was correct at that time, or no change could have been announced by then.
    pub fn renew(&mut self, confirmed_at: TenthMillis) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        self.address_changed_at.take_if(|changed_at| *changed_at <= confirmed_at);
    }

    /// Discovery has another address from now on. The earliest change without a confirmation counts.
    pub fn change_address(&mut self, now: TenthMillis) {
        self.address_changed_at.get_or_insert(now);
    }

    /// The earliest time at which an attempt could violate a change made right after the last confirmation.
    pub fn end(&self, config: &BalancerConfig) -> Option<TenthMillis> {
        let notification_time = match config.list_source {
            ListSource::Polled { max_poll_interval } => NOTIFICATION_TIME.min(max_poll_interval),
            ListSource::LocalAgent | ListSource::Pushed => NOTIFICATION_TIME,
        };
        let notified_at = self.confirmed_at? + notification_time;
        let notified_at = self
            .address_changed_at
            .map_or(notified_at, |changed_at| notified_at.min(changed_at + ADDRESS_CHANGE_NOTIFICATION_TIME));
        Some((notified_at + config.drain_grace).saturating_sub(MAX_PROCESS_PAUSE))
    }

    /// Whether the lease has expired; never where there is no lease.
    pub fn has_expired(&self, now: TenthMillis, config: &BalancerConfig) -> bool {
        self.end(config).is_some_and(|end| end <= now)
    }

    /// The time until the lease expires; none where there is no lease.
    pub fn time_left(&self, now: TenthMillis, config: &BalancerConfig) -> Option<TenthMillis> {
        self.end(config).map(|end| end.saturating_sub(now))
    }
}
