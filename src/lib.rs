//! The decisions of an HTTP load balancer, without I/O, protocols or a clock.
//!
//! A front end translates what it observes into [`Event`]s, passes them in batches to a [`Balancer`] and
//! carries out the [`Action`]s that the balancer returns. The module `balance` makes all decisions; the other
//! modules hold the types of its input and output.

mod balance;
mod event;
mod terms;
mod time;

pub use balance::{Balancer, TrackedCounts};
pub use event::{
    Action, Arrival, Event, GiveUpReason, ListUpdate, Load, Outcome, RequestId, Stage, UpstreamEntry,
    UpstreamId,
};
pub use terms::{
    AttemptLimits, BalancerConfig, Class, ColdStart, ConfigChange, DedupScope, Effect, Limits, ListSource,
    Tenant,
};
pub use time::{TenthMillis, ns_to_tenth_millis_ceil, ns_to_tenth_millis_floor, tenth_millis_to_ns};
