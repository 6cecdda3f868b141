//! One attempt to run a request on an endpoint.

use std::sync::Arc;

use strum::{Display, IntoStaticStr};
use sw_error::{Kind, Ran, Refusal};
use sw_unit::{Millis, Time, Tokens};

use crate::{CacheSource, EndpointEntry, PartId, PrefillPlan, ServiceId};

/// An attempt in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The id of the request.
    pub request: Arc<str>,
    /// The endpoint.
    pub endpoint: EndpointEntry,
    /// The service that the endpoint was chosen for.
    pub service: ServiceId,
    /// When the attempt started.
    pub started_at: Time,
    /// Id of its entry in the endpoint's [`EndpointTracker`](crate::EndpointTracker).
    pub entry_id: u64,
    /// When a token of the endpoint's rate limit was taken for it; `None` if the endpoint had no limit.
    pub token_taken_at: Option<Time>,
    /// The prefill and cache transfer that precede the first event.
    pub plan: PrefillPlan,
    /// Expected duration of the prefill in milliseconds.
    pub prefill_ms: f64,
    /// Expected duration of the cache transfer in milliseconds; it runs in parallel with the prefill of queued prompts.
    pub transfer_ms: f64,
    /// The engine that may supply the shared parts of the prompt from its cache.
    pub cache_source: Option<CacheSource>,
    /// Work queued in front of the request at its start, in milliseconds.
    pub backlog_ms: f64,
    /// The parts of the prompt that other requests may share.
    pub shared_parts: Vec<PartId>,
    /// When the head of the response arrived.
    pub head_at: Option<Time>,
    /// Whether the response has a length or chunks, so that its end can be told from a broken connection.
    pub is_framed: bool,
    /// When the first event of the response arrived.
    pub first_event_at: Option<Time>,
    /// Number of events received.
    pub events: u32,
    /// Expected number of tokens in the response.
    pub expected_output: Tokens,
}

impl Attempt {
    /// Returns the expected time from the start to the end of the prefill in milliseconds; the first event follows a
    /// fixed time later. For a plain service, this is the wait in the queue alone.
    pub fn expected_ms(&self) -> f64 {
        self.backlog_ms.max(self.transfer_ms) + self.prefill_ms
    }

    /// Returns the time since the start.
    pub fn age(&self, now: Time) -> Millis {
        now.since(self.started_at)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptOutcome {
    /// The complete response was received.
    #[strum(to_string = "whole")]
    Complete,
    /// The endpoint responded with an error.
    Failed,
    /// The endpoint rejected the request and reports that it did not run it.
    Rejected,
    /// The address belongs to another endpoint.
    WrongEndpoint,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// Nothing was sent for another reason: the response was already due, the endpoint may not be sent to, the
    /// connection was closed before, or the VM that the request was forwarded to refused it.
    Unsent,
    /// The endpoint's coordinator declined the reservation, so the request was not sent.
    Declined,
    /// The connection broke, or the response does not belong to this request.
    Broken,
    /// The time limit expired.
    Timeout,
    /// The caller closed the connection.
    Cancelled,
}

impl AttemptOutcome {
    /// Converts the refusal that another VM returned for a forwarded request.
    pub fn from_refusal(refusal: Refusal) -> Self {
        match (refusal.kind.response().ran, refusal.kind) {
            (Ran::No, Kind::Overloaded | Kind::EndpointUnreachable) => Self::Rejected,
            (Ran::No, _) => Self::Unsent,
            (_, Kind::EndpointTimeout) => Self::Timeout,
            (_, _) => Self::Broken,
        }
    }

    /// Whether the endpoint certainly did not run the request.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::WrongEndpoint | Self::Unreachable | Self::Unsent | Self::Declined
        )
    }

    /// Whether the request certainly did not reach the endpoint.
    pub fn not_arrived(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unsent | Self::Declined)
    }

    /// Whether the endpoint was not found at its registered address: no connection could be made, or the address
    /// belongs to another endpoint.
    pub fn is_absent(self) -> bool {
        matches!(self, Self::Unreachable | Self::WrongEndpoint)
    }

    /// Whether the outcome counts as a failure of the endpoint.
    pub fn is_fault(self) -> bool {
        matches!(self, Self::Failed | Self::Broken | Self::Timeout) || self.is_absent()
    }
}
