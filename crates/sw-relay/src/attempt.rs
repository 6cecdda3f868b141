//! One attempt at an endpoint.

use strum::{Display, IntoStaticStr};
use sw_error::{Kind, Ran, Refusal};
use sw_unit::{Millis, Time, Tokens};

use crate::{CacheSource, EndpointEntry, PrefillPlan, ServiceId};

/// An attempt that is under way.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The endpoint.
    pub endpoint: EndpointEntry,
    /// The service that it was chosen for.
    pub service: ServiceId,
    /// When it began.
    pub started_at: Time,
    /// Stands for it in the endpoint's load.
    pub entry_id: u64,
    /// What the engine does before it begins to answer.
    pub plan: PrefillPlan,
    /// Milliseconds that reading is expected to take.
    pub prefill_ms: f64,
    /// Milliseconds that copying is expected to take, beside the reading that is ahead of it.
    pub transfer_ms: f64,
    /// The engine from which it may copy the shared parts of the prompt.
    pub cache_source: Option<CacheSource>,
    /// Milliseconds of reading that were ahead of it.
    pub backlog_ms: f64,
    /// When the first event of its answer came.
    pub first_event_at: Option<Time>,
    /// Events that came.
    pub events: u32,
    /// Tokens that the answer was expected to have.
    pub expected_output: Tokens,
}

impl Attempt {
    /// Milliseconds until its first event, as expected when it began.
    pub fn expected_ms(&self) -> f64 {
        self.backlog_ms.max(self.transfer_ms) + self.prefill_ms
    }

    /// Time since it began.
    pub fn age(&self, now: Time) -> Millis {
        now.since(self.started_at)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptOutcome {
    /// The whole answer came.
    #[strum(to_string = "whole")]
    Complete,
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint says that it did not run the request.
    Rejected,
    /// Another endpoint has the address.
    WrongEndpoint,
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// Nothing was sent, for a reason that says nothing about the endpoint.
    Unsent,
    /// Another VM knows that the endpoint is busier than was expected, and did not send the request there.
    Declined,
    /// The connection broke, or what came was no answer to this request.
    Broken,
    /// The time was over.
    Timeout,
    /// The caller left.
    Cancelled,
}

impl AttemptOutcome {
    /// What another VM's refusal says of a request that was sent there.
    pub fn from_refusal(refusal: Refusal) -> Self {
        match (refusal.kind.answer().ran, refusal.kind) {
            (Ran::No, Kind::Overloaded | Kind::EndpointUnreachable) => Self::Rejected,
            (Ran::No, _) => Self::Unsent,
            (_, Kind::EndpointTimeout) => Self::Timeout,
            (_, _) => Self::Broken,
        }
    }

    /// Whether the endpoint cannot have run the request.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::WrongEndpoint | Self::Unreachable | Self::Unsent | Self::Declined
        )
    }

    /// Whether the request cannot have arrived at the endpoint.
    pub fn not_arrived(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unsent | Self::Declined)
    }

    /// Whether the endpoint is not where it registered.
    pub fn is_absent(self) -> bool {
        matches!(self, Self::Unreachable | Self::WrongEndpoint)
    }

    /// Whether the outcome speaks against the endpoint.
    pub fn is_fault(self) -> bool {
        matches!(self, Self::Failed | Self::Broken | Self::Timeout) || self.is_absent()
    }
}
