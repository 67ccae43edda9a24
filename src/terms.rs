//! The configuration of a balancer's decisions, and its changes.

use crate::TenthMillis;

/// What a balancer is configured with at its start. [`ConfigChange`]s replace some of it later.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// The number of balancers that share the upstreams.
    pub balancer_count: u32,
    /// The index of this balancer among them.
    pub own_index: u32,
    /// The zone of this balancer.
    pub own_zone: u32,
    pub list_source: ListSource,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// The factor on the value of a request beyond its tenant's quota, from 0 to 1.
    pub over_quota_value: f64,
    /// Whether an upstream that has recently served an affinity key has less work with further requests of that
    /// key.
    pub warm_keys: bool,
    /// The greatest number of attempts of a request.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight.
    pub hedging: bool,
    /// Whether attempts still in flight are cancelled once the request has ended.
    pub cancelling: bool,
    /// Whether upstreams answer probes of their load.
    pub probing: bool,
    /// The longest `Retry-After` that clients heed; none where no advice is passed on.
    pub max_retry_after: Option<TenthMillis>,
    /// How long a draining upstream still answers what was sent to it.
    pub drain_grace: TenthMillis,
    pub cold_start: ColdStart,
}

/// How the list of upstreams arrives. That decides from when on a balancer counts as notified of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Changes are pushed; the balancer doesn't ask for them.
    Pushed,
    /// An agent on the balancer's machine holds the list. The balancer counts as notified of all that the
    /// agent knows, whether it has asked the agent or not.
    LocalAgent,
    /// The balancers ask a service that all of them share. A balancer that has not asked for
    /// `max_poll_interval` counts as notified.
    Polled { max_poll_interval: TenthMillis },
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The time from a request's arrival within which its answer is worth its value.
    pub sla_time: TenthMillis,
    /// The value of a request that is answered in time. Only the ratio to other classes counts.
    pub value: f64,
    pub effect: Effect,
}

/// What a repeated request does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// A repeat does no harm.
    #[default]
    Idempotent,
    /// The request has a deduplication key: upstreams of the scope drop a repeat for as long as they remember
    /// the key.
    Keyed { scope: DedupScope, key_ttl: TenthMillis },
    /// A repeat may take effect twice.
    NonIdempotent,
}

/// The upstreams that share their memory of deduplication keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// A tenant, whose requests have their full value within a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The quota in requests per second, over all balancers.
    pub quota_rps: f64,
}

/// How upstreams behave after their start. A cold upstream collapses when all balancers together send it more
/// than `collapse_load_factor` times its present capacity over `collapse_window`.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStart {
    /// The fraction of its full capacity that an upstream has at its start.
    pub initial_capacity_share: f64,
    /// The time from its start within which an upstream reaches its full capacity.
    pub warm_up_time: TenthMillis,
    pub collapse_load_factor: f64,
    pub collapse_window: TenthMillis,
}

/// How a request may be attempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptLimits {
    /// The greatest number of attempts.
    pub max_attempts: u32,
    /// Whether two attempts may be in flight at the same time.
    pub hedging: bool,
    /// Whether attempts still in flight are cancelled once the request has ended.
    pub cancelling: bool,
}

/// The part of a [`BalancerConfig`] beside classes and tenants that may change while requests are open.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The factor on the value of a request beyond its tenant's quota, from 0 to 1.
    pub over_quota_value: f64,
    pub attempt_limits: AttemptLimits,
    /// The longest `Retry-After` that clients heed; none where no advice is passed on.
    pub max_retry_after: Option<TenthMillis>,
    /// How long a draining upstream still answers what was sent to it.
    pub drain_grace: TenthMillis,
    pub cold_start: ColdStart,
}

/// A change of a [`BalancerConfig`]. Requests that are already open keep the values that they arrived under.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigChange {
    /// A class is added, replaced or removed.
    Class {
        /// Index among the classes.
        index: u32,
        /// The class from now on; none where it is removed, and the index may be used again.
        class: Option<Class>,
    },
    /// A tenant is added, replaced or removed.
    Tenant {
        /// Index among the tenants.
        index: u32,
        /// The tenant from now on; none where it is removed, and the index may be used again.
        tenant: Option<Tenant>,
    },
    /// All limits from now on.
    Limits(Limits),
}

/// Takes the place of a removed class: a request of it has no time and no value.
const REMOVED_CLASS: Class = Class { sla_time: 0, value: 0.0, effect: Effect::NonIdempotent };
/// Takes the place of a removed tenant: none of its requests is beyond its quota.
const REMOVED_TENANT: Tenant = Tenant { quota_rps: f64::INFINITY };

impl BalancerConfig {
    /// Puts a change in force.
    pub fn apply(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Class { index, class } => {
                set_at(&mut self.classes, *index, class.clone().unwrap_or(REMOVED_CLASS), REMOVED_CLASS);
            }
            ConfigChange::Tenant { index, tenant } => {
                set_at(&mut self.tenants, *index, tenant.clone().unwrap_or(REMOVED_TENANT), REMOVED_TENANT);
            }
            ConfigChange::Limits(limits) => self.apply_limits(limits),
        }
    }

    fn apply_limits(&mut self, limits: &Limits) {
        let Limits { over_quota_value, attempt_limits, max_retry_after, drain_grace, cold_start } = limits;
        self.over_quota_value = *over_quota_value;
        self.max_retry_after = *max_retry_after;
        self.cold_start = cold_start.clone();
        self.drain_grace = *drain_grace;
        let AttemptLimits { max_attempts, hedging, cancelling } = *attempt_limits;
        self.max_attempts = max_attempts;
        self.hedging = hedging;
        self.cancelling = cancelling;
    }

    /// The highest value of a class.
    pub fn max_class_value(&self) -> f64 {
        self.classes.iter().map(|class| class.value).fold(0.0, f64::max)
    }

    /// The limits of attempts that hold for requests which arrive now.
    pub fn attempt_limits(&self) -> AttemptLimits {
        let BalancerConfig { max_attempts, hedging, cancelling, .. } = *self;
        AttemptLimits { max_attempts, hedging, cancelling }
    }

    /// This balancer's equal share of an amount that all balancers together must keep to.
    pub fn own_share(&self, total: f64) -> f64 {
        total / f64::from(self.balancer_count.max(1))
    }
}

/// Sets the value at an index; smaller indices that are not in use yet get `unused`.
fn set_at<T: Clone>(values: &mut Vec<T>, index: u32, value: T, unused: T) {
    let index = index as usize;
    if index >= values.len() {
        values.resize(index + 1, unused);
    }
    values[index] = value;
}
