//! The measurements of both balancers over the same span of time.

use crate::slopes::changes::latency_note;
use crate::slopes::load_generator::Latency;
use crate::slopes::process_stats::ProcessorTime;

/// The measurements of one balancer over a phase.
pub struct BalancerMeasurement {
    /// Time spent running on a processor, in milliseconds.
    pub processor_ms: f64,
    /// Bytes exchanged with discovery or the control server.
    pub bytes: f64,
    /// Time spent running on a processor and waiting for one.
    pub processor_time: ProcessorTime,
    /// Latencies of responses through the balancer.
    pub latency: Latency,
    /// Whether it had confirmed all changes by the end.
    pub has_all_changes: bool,
}

/// The measurements of a phase.
pub struct Phase {
    /// Duration, in seconds.
    pub seconds: f64,
    /// Number of changes: single upstreams, or messages that change many.
    pub changes: f64,
    /// The balancer that watches discovery.
    pub before: BalancerMeasurement,
    /// The balancer that follows the origin.
    pub after: BalancerMeasurement,
    /// Time that the origin spent running on a processor, in milliseconds.
    pub origin_processor_ms: f64,
    /// Latencies of responses from an upstream directly.
    pub direct_latency: Latency,
}

/// One of the two compared balancers.
#[derive(Clone, Copy)]
pub enum ComparedBalancer {
    /// The balancer that watches discovery.
    Before,
    /// The balancer that follows a control server.
    After,
}

impl Phase {
    /// The measurements of one of the balancers.
    pub fn balancer(&self, compared: ComparedBalancer) -> &BalancerMeasurement {
        match compared {
            ComparedBalancer::Before => &self.before,
            ComparedBalancer::After => &self.after,
        }
    }

    /// The increase of a quantity for each change. What the quantity would have been in the same time without changes
    /// is computed from the quiet phase of the same balancers and subtracted.
    pub fn added_per_change(&self, quiet: &Phase, value: impl Fn(&Phase) -> f64) -> f64 {
        (value(self) - value(quiet) * self.seconds / quiet.seconds) / self.changes
    }

    /// The 99th percentile through a balancer minus that from an upstream directly, in milliseconds; none if either has
    /// no answered requests.
    pub fn added_p99_ms(&self, compared: ComparedBalancer) -> Option<f64> {
        let latency = self.balancer(compared).latency;
        (latency.answered > 0 && self.direct_latency.answered > 0)
            .then_some(latency.p99_ms - self.direct_latency.p99_ms)
    }

    /// The note beside a latency of one of the balancers.
    pub fn latency_note(&self, compared: ComparedBalancer) -> String {
        let measurement = self.balancer(compared);
        latency_note(&measurement.latency, &measurement.processor_time)
    }
}
