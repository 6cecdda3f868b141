//! Refusals, and the rule that keeps them true.

use std::fmt;

use strum::Display;
use sw_unit::Millis;

use crate::{Kind, Ran};

/// How far a request has come at this VM; it only ever moves down the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Default)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The headers are read.
    #[default]
    Received,
    /// The request may run.
    Admitted,
    /// The first byte may have reached an endpoint or another VM.
    #[strum(serialize = "handed_over")]
    Dispatched,
    /// The final answer is known.
    #[strum(serialize = "answered")]
    Completed,
}

/// A request that is given up, with the time after which to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// When to come back, for kinds that say so.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// A refusal with a time to come back.
    pub fn with_retry_after(kind: Kind, retry_after: Millis) -> Self {
        Self {
            kind,
            retry_after: Some(retry_after),
        }
    }

    /// The refusal that may be given for a request in `phase`.
    ///
    /// After the hand-over a kind whose answer says "not run" is replaced by [`Kind::OutcomeUnknown`].
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
