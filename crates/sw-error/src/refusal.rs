//! Refusals, and the check that they never deny an execution that may have taken place.

use std::fmt;

use strum::Display;
use sw_unit::Millis;

use crate::{Kind, Ran};

/// Progress of a request at this VM; it only advances, in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Default)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The headers have been read.
    #[default]
    Received,
    /// The request has passed admission.
    Admitted,
    /// A byte may have reached an endpoint or another VM.
    #[strum(serialize = "handed_over")]
    Dispatched,
    /// The final response is known.
    #[strum(serialize = "answered")]
    Completed,
}

/// Refusal of a request to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: Kind,
    /// Time after which to retry, for kinds that allow a retry.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Creates a refusal with the time after which to retry.
    pub fn with_retry_after(kind: Kind, retry_after: Millis) -> Self {
        Self {
            kind,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the refusal that a request in `phase` may get.
    ///
    /// From [`Phase::Dispatched`] on, a kind whose response claims that the request did not run is replaced by
    /// [`Kind::OutcomeUnknown`].
    pub fn for_phase(self, phase: Phase) -> Self {
        if phase >= Phase::Dispatched && self.kind.response().ran == Ran::No {
            return Self::new(Kind::OutcomeUnknown);
        }
        self
    }
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self::new(kind)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.kind.response().message)
    }
}

impl std::error::Error for Refusal {}
