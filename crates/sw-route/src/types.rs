//! Candidates and targets.

use std::fmt;

use strum::Display;
use sw_load::Work;
use sw_unit::{DomainId, EndpointId, Millis};

/// Where a request goes next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// An endpoint of the own failure domain.
    Endpoint(EndpointId),
    /// A VM of another failure domain.
    Domain(DomainId),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(id) => write!(f, "endpoint:{id}"),
            Self::Domain(id) => write!(f, "domain:{id}"),
        }
    }
}

/// Why a candidate was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// There was no other.
    Only,
    /// It had the lowest score.
    Best,
    /// It was the less loaded of two near the best.
    LessLoaded,
    /// It was next in turn.
    Turn,
}

/// A target that may be chosen, with its estimates.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: Target,
    /// Expected wait for a slot.
    pub queue_wait: Millis,
    /// Expected time to the first token.
    pub first_token: Millis,
    /// Expected time to the end.
    pub completion: Millis,
    /// Expected price in units of money.
    pub price: f64,
    /// Whether it lies in another region.
    pub remote: bool,
    /// Expected load per slot.
    pub load_per_slot: f64,
    /// What the request needs there.
    pub work: Work,
}
