//! Targets, candidates and the reasons to choose them.

use std::fmt;

use strum::Display;
use sw_load::Work;
use sw_unit::{DomainId, EndpointId, Millis};

/// Destination of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// An endpoint of the local failure domain.
    Endpoint(EndpointId),
    /// A VM of a remote failure domain.
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

/// Reason for the choice of a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It was the only candidate.
    Only,
    /// It had the lowest score.
    Best,
    /// It was the less loaded one of two random candidates whose scores are close to the lowest.
    LessLoaded,
    /// It was the next one in round-robin order.
    Turn,
}

/// A target that may be chosen, with estimates for the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: Target,
    /// Expected time until a slot is free.
    pub queue_wait: Millis,
    /// Expected time until the first token.
    pub first_token: Millis,
    /// Expected time until the response is complete.
    pub completion: Millis,
    /// Expected price in units of money.
    pub price: f64,
    /// Whether it is in another region; false for a remote domain of the local region.
    pub remote: bool,
    /// Expected number of requests per slot.
    pub load_per_slot: f64,
    /// The work of the request there.
    pub work: Work,
}
