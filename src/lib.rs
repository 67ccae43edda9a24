//! The decisions of a load balancer, apart from every protocol.
//!
//! A front end turns what it sees into [`Event`]s, hands a batch of them to a [`Balancer`] and carries
//! out the [`Action`]s that come back. All decisions are in `balance`; the other files hold the types that go
//! in and out.

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
