//! The settings that the decisions read, and their changes.

use crate::TenthMillis;

/// What a balancer is told at its start, a part of which may change later. Only what the decisions read is here.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    pub balancer_count: u32,
    pub own_index: u32,
    pub own_zone: u32,
    pub list_source: ListSource,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// The value of a request beyond its tenant's share, as a fraction.
    pub over_quota_value: f64,
    /// An upstream that met a key lately has less work with it.
    pub warm_keys: bool,
    pub max_attempts: u32,
    pub hedging: bool,
    pub cancelling: bool,
    /// Upstreams may be asked for their load.
    pub probing: bool,
    /// The longest cool-down that clients heed; none where no advice is passed on.
    pub max_retry_after: Option<TenthMillis>,
    /// How long an upstream that is told to drain still takes what was sent to it.
    pub drain_grace: TenthMillis,
    pub cold_start: ColdStart,
}

/// How the list of upstreams comes, and from when on a change of it counts as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Nobody has to ask.
    Pushed,
    /// An agent beside the balancer has it: what that knows counts as told at once, asked for or not.
    LocalAgent,
    /// From the service of all balancers: who has not asked for so long is deemed told.
    Polled { max_poll_interval: TenthMillis },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub sla_time: TenthMillis,
    pub value: f64,
    pub effect: Effect,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Idempotent,
    /// A repeat is dropped inside the scope for as long as the mark is remembered.
    Keyed {
        scope: DedupScope,
        key_ttl: TenthMillis,
    },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all balancers.
    pub quota_rps: f64,
}

/// A cold upstream falls over when all balancers together send it more than `multiple` of its present
/// capacity for `window`.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStart {
    pub initial_capacity_share: f64,
    pub warm_up_time: TenthMillis,
    pub collapse_load_factor: f64,
    pub collapse_window: TenthMillis,
}

/// How one request may be attempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Attempts in all.
    pub max_attempts: u32,
    /// Whether two may be out together.
    pub hedging: bool,
    /// Whether those still out are cancelled once the request has ended.
    pub cancelling: bool,
}

/// What of the terms may change while requests are open, apart from classes and tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The value of a request beyond its tenant's share, as a fraction.
    pub over_quota_value: f64,
    /// How one request may be attempted.
    pub attempt_limits: AttemptLimits,
    /// The longest cool-down that clients heed; none where no advice is passed on.
    pub max_retry_after: Option<TenthMillis>,
    /// How long an upstream that is told to drain still takes what was sent to it.
    pub drain_grace: TenthMillis,
    /// When cold upstreams fall over.
    pub cold_start: ColdStart,
}

/// A change of the terms. Requests that are open end under what they came with.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigChange {
    /// The class of a number is new or another one; without one, the number may be used again.
    Class {
        /// Index among the classes.
        index: u32,
        /// What holds from now on.
        class: Option<Class>,
    },
    /// The same for a tenant.
    Tenant {
        /// Index among the tenants.
        index: u32,
        /// What holds from now on.
        tenant: Option<Tenant>,
    },
    /// All limits, as they are from now on.
    Limits(Limits),
}

/// Stands where a class was removed: a request of it has no time and no value.
const REMOVED_CLASS: Class = Class { sla_time: 0, value: 0.0, effect: Effect::NonIdempotent };
/// Stands where a tenant was removed: none of its requests is beyond its share.
const REMOVED_TENANT: Tenant = Tenant { quota_rps: f64::INFINITY };

impl BalancerConfig {
    /// Puts a change in force.
    pub fn apply(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Class { index: number, class } => {
                set_at(&mut self.classes, *number, class.clone().unwrap_or(REMOVED_CLASS), REMOVED_CLASS);
            }
            ConfigChange::Tenant { index: number, tenant } => {
                set_at(&mut self.tenants, *number, tenant.clone().unwrap_or(REMOVED_TENANT), REMOVED_TENANT);
            }
            ConfigChange::Limits(Limits {
                over_quota_value: excess_value,
                attempt_limits,
                max_retry_after: cool_down,
                drain_grace,
                cold_start: cold,
            }) => {
                (self.over_quota_value, self.max_retry_after, self.cold_start) =
                    (*excess_value, *cool_down, cold.clone());
                self.drain_grace = *drain_grace;
                let AttemptLimits { max_attempts, hedging, cancelling } = *attempt_limits;
                self.max_attempts = max_attempts;
                self.hedging = hedging;
                self.cancelling = cancelling;
            }
        }
    }

    /// The highest value of a class.
    pub fn max_class_value(&self) -> f64 {
        self.classes.iter().map(|class| class.value).fold(0.0, f64::max)
    }

    /// The limits of attempts as they are now.
    pub fn attempt_limits(&self) -> AttemptLimits {
        let BalancerConfig { max_attempts, hedging, cancelling, .. } = *self;
        AttemptLimits { max_attempts, hedging, cancelling }
    }

    /// This balancer's part of a figure that all balancers together should keep to.
    pub fn own_share(&self, whole: f64) -> f64 {
        whole / f64::from(self.balancer_count.max(1))
    }
}

/// Sets the value of a number; numbers below it that are not in use yet get `none`.
fn set_at<T: Clone>(values: &mut Vec<T>, number: u32, value: T, none: T) {
    let number = number as usize;
    if number >= values.len() {
        values.resize(number + 1, none);
    }
    values[number] = value;
}
