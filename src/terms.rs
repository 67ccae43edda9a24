use crate::Tenths;

/// What a balancer is told once, at its start. Only what the decisions read is here.
#[derive(Clone, Debug)]
pub struct Terms {
    pub balancers: u32,
    pub own_number: u32,
    pub own_zone: u32,
    pub lists: Lists,
    pub schemes: Vec<Scheme>,
    pub tenants: Vec<Tenant>,
    /// The value of a txn beyond its tenant's share, as a fraction.
    pub excess_value: f64,
    /// An upstream that met a key lately has less work with it.
    pub warm_keys: bool,
    pub max_postings: u32,
    pub second_copies: bool,
    pub cancelling: bool,
    /// Upstreams may be asked for their load.
    pub probing: bool,
    /// The longest cool-down that clients heed; none where no advice is passed on.
    pub cool_down: Option<Tenths>,
    pub cold: ColdTerms,
}

/// How the list of upstreams comes, and from when on a change of it counts as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lists {
    /// Nobody has to ask.
    Unasked,
    /// An agent beside the balancer has it: what that knows counts as told at once, asked for or not.
    Agent,
    /// From the service of all balancers: who has not asked for so long is deemed told.
    Asked { within: Tenths },
}

#[derive(Clone, Debug)]
pub struct Scheme {
    pub sla: Tenths,
    pub value: f64,
    pub effect: Effect,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Repeatable,
    /// A repeat is dropped inside the scope for as long as the mark is remembered.
    Referenced {
        scope: Scope,
        memory: Tenths,
    },
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Txns a second within its share, over all balancers.
    pub quota: f64,
}

/// A cold upstream falls over when all balancers together send it more than `multiple` of its present
/// capacity for `window`.
#[derive(Clone, Debug)]
pub struct ColdTerms {
    pub share: f64,
    pub warm_within: Tenths,
    pub multiple: f64,
    pub window: Tenths,
}

/// How one txn may be posted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Postings in all.
    pub max_postings: u32,
    /// Whether two may be out together.
    pub second_copies: bool,
    /// Whether those still out are recalled once the txn has ended.
    pub cancelling: bool,
}

impl Terms {
    /// The limits of attempts as they are now.
    pub fn attempts(&self) -> Attempts {
        let Terms { max_postings, second_copies, cancelling, .. } = *self;
        Attempts { max_postings, second_copies, cancelling }
    }

    /// This balancer's part of a figure that all balancers together should keep to.
    pub fn part(&self, whole: f64) -> f64 {
        whole / f64::from(self.balancers.max(1))
    }
}
