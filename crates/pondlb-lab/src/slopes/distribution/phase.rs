//! What both balancers did over the same while.

use crate::slopes::changes::seen;
use crate::slopes::load::Latency;
use crate::slopes::probe::Scheduled;

/// One of the balancers over a phase.
pub struct Side {
    /// Milliseconds on a processor.
    pub processor_ms: f64,
    /// To and from what it has its list from.
    pub bytes: f64,
    /// Its processor time, and how long it waited for one.
    pub scheduled: Scheduled,
    /// Times of answers through it.
    pub through: Latency,
    /// Whether it had all changes in force in the end.
    pub is_up_to_date: bool,
}

/// Both balancers over the same phase.
pub struct Phase {
    /// How long it was.
    pub seconds: f64,
    /// Entries changed one by one, or messages of many.
    pub changes: f64,
    /// The balancer that is told by discovery.
    pub before: Side,
    /// The balancer that follows the origin.
    pub after: Side,
    /// Milliseconds of the origin on a processor.
    pub origin_ms: f64,
    /// Times of answers straight from an upstream.
    pub direct: Latency,
}

/// Which of the two balancers.
#[derive(Clone, Copy)]
pub enum Which {
    /// The one that is told by discovery.
    Before,
    /// The one that follows a control server.
    After,
}

impl Phase {
    /// One of the two.
    pub fn side(&self, which: Which) -> &Side {
        match which {
            Which::Before => &self.before,
            Which::After => &self.after,
        }
    }

    /// What one change adds to a quantity, whose value of a quiet second is known from the same balancer.
    pub fn added(&self, quiet: &Phase, value: impl Fn(&Phase) -> f64) -> f64 {
        (value(self) - value(quiet) * self.seconds / quiet.seconds) / self.changes
    }

    /// How much longer answers took through a balancer than straight from an upstream; none without answers.
    pub fn added_p99(&self, which: Which) -> Option<f64> {
        let through = self.side(which).through;
        (through.answered > 0 && self.direct.answered > 0).then_some(through.p99 - self.direct.p99)
    }

    /// What stands beside a latency of one of them.
    pub fn seen(&self, which: Which) -> String {
        let side = self.side(which);
        seen(&side.through, &side.scheduled)
    }
}
