//! When to ask for the list of upstreams.

use nanorand::{Rng, WyRand};

use super::SECOND;
use crate::{Listing, Lists, Tenths, Terms};

/// How long the list service may take for one balancer's call, and at worst.
const LIST_CALL: Tenths = 600;
const DEAREST_LIST_CALL: Tenths = 4000;
/// The longest waits before a call, of the six seconds after which a change counts as told whatever becomes of it.
const SILENT_WAITS: Tenths = 32_000;
const FAILED_WAITS: Tenths = 40_000;

pub struct Discovery {
    pub failures: u32,
    pub ask_at: Option<Tenths>,
}

impl Discovery {
    /// Calls are spread over the time that those of all balancers take, as far as what is to be told by then allows,
    /// or balancers started together would fail each other's calls. Repeated failures wait ever longer.
    pub fn ask(&mut self, now: Tenths, why: &Listing, terms: &Terms, rng: &mut WyRand) {
        let row = LIST_CALL * u64::from(terms.balancers);
        let (least, longest) = match (terms.lists, why) {
            (Lists::Unasked, _) => return,
            (Lists::Agent, Listing::Silent | Listing::Remembered(_)) => (0, 1),
            (Lists::Agent, _) => (LIST_CALL, 4 * LIST_CALL),
            (Lists::Asked { .. }, Listing::Silent) => (0, row.min(SILENT_WAITS)),
            (Lists::Asked { within }, _) => {
                let all = (2 * row).clamp(3 * SECOND / 2, FAILED_WAITS).min(within);
                let most = FAILED_WAITS.max(DEAREST_LIST_CALL * u64::from(terms.balancers)).min(3 * within);
                let longest = (all << (2 * self.failures.saturating_sub(1)).min(4)).min(most);
                (longest / 16, longest)
            }
        };
        let kept = if matches!(why, Listing::Unreached) { self.failures } else { 0 };
        self.failures = if matches!(why, Listing::Lost) { self.failures + 1 } else { kept };
        self.ask_at = Some(now + rng.generate_range(least..longest.max(least + 1)));
    }
}
