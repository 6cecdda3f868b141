//! Error kinds and the table of their responses.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether an endpoint ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No endpoint received any part of it.
    No,
    /// An endpoint ran it.
    Yes,
    /// An endpoint may have received it, so it may have run.
    Unknown,
}

/// When a caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Retry {
    /// Not at all: a retry gets the same response.
    Never,
    /// After the `retry_after` of the refusal.
    Later,
    /// Immediately, at another entry VM.
    Elsewhere,
}

/// Response to a caller for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to retry.
    pub retry: Retry,
    /// `type` member of the error body in the OpenAI format.
    pub error_type: &'static str,
    /// Human-readable message.
    pub message: &'static str,
}

/// Reason why a request does not get its result.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The bearer key belongs to no workspace.
    UnknownKey,
    /// This VM cannot tell at present whether the bearer key is still valid.
    KeyUnverified,
    /// The route does not exist.
    UnknownRoute,
    /// The workspace may not use the route.
    RouteForbidden,
    /// This VM's region is outside the route's permitted regions.
    WrongRegion,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The headers exceed their size limit.
    HeadersTooLarge,
    /// The client sent the request too slowly.
    ClientTimeout,
    /// The workspace has exhausted its quota.
    QuotaExceeded,
    /// The load exceeds the capacity.
    Overloaded,
    /// The request cannot be completed before its deadline.
    DeadlineUnreachable,
    /// No live endpoint in the permitted regions serves the request.
    NoEndpoint,
    /// A part of the prompt crashes endpoints.
    QuarantinedPrompt,
    /// The request crashes endpoints.
    QuarantinedRequest,
    /// The software version that started the stream is not known, so it cannot be resumed.
    StreamVersionUnknown,
    /// No endpoint of the software version that started the stream is left to resume it.
    StreamVersionGone,
    /// The endpoint could not be reached, and nothing was sent to it.
    EndpointUnreachable,
    /// This VM has no configuration yet.
    NoConfiguration,
    /// The receiving VM has an older configuration than the sender.
    OlderConfiguration,
    /// The request was forwarded more than once.
    ForwardLoop,
    /// This VM is stopping.
    Stopping,
    /// The key-value service did not accept the claim of an idempotency key.
    StoreUnavailable,
    /// The ticket is older than the retention time of its outcome.
    TicketExpired,
    /// The ticket is malformed or was never issued.
    TicketInvalid,
    /// The VM that owns the ticket is gone.
    TicketOwnerGone,
    /// A request with the same id is running.
    AlreadyRunning,
    /// The id was already used for a different request.
    IdReused,
    /// The request ran, but its response is no longer saved.
    AnswerDropped,
    /// The request was sent, but its outcome is unknown.
    OutcomeUnknown,
    /// The request was sent, but its response did not arrive in time.
    EndpointTimeout,
    /// The response ended before it was complete.
    AnswerIncomplete,
}

const INVALID: &str = "invalid_request_error";
const SERVER: &str = "server_error";
const LIMIT: &str = "rate_limit_error";

impl Kind {
    /// Returns the response for this kind.
    #[rustfmt::skip]
    pub fn response(self) -> ErrorResponse {
        use Ran::{No, Unknown, Yes};
        use Retry::{Elsewhere, Later, Never};
        let (status, ran, retry, error_type, message) = match self {
            Self::BadRequest          => (400, No, Never, INVALID, "The request is malformed."),
            Self::UnknownKey          => (401, No, Never, "authentication_error", "The key belongs to no workspace."),
            Self::KeyUnverified       => (503, No, Later, SERVER, "The key cannot be checked at present."),
            Self::UnknownRoute        => (404, No, Never, INVALID, "There is no such route."),
            Self::RouteForbidden      => (403, No, Never, "permission_error", "The route is not open to this workspace."),
            Self::WrongRegion         => (421, No, Elsewhere, INVALID, "The route does not permit this region; use one of the listed entry VMs."),
            Self::BodyTooLarge        => (413, No, Never, INVALID, "The body is too large."),
            Self::HeadersTooLarge     => (431, No, Never, INVALID, "The headers are too large."),
            Self::ClientTimeout       => (408, No, Later, INVALID, "The request was sent too slowly."),
            Self::QuotaExceeded       => (429, No, Later, LIMIT, "The workspace has used up its quota."),
            Self::Overloaded          => (503, No, Later, LIMIT, "There is more work than capacity."),
            Self::DeadlineUnreachable => (503, No, Later, LIMIT, "The request cannot be answered before its deadline."),
            Self::NoEndpoint          => (503, No, Later, SERVER, "No live endpoint in the permitted regions serves the request."),
            Self::QuarantinedPrompt   => (503, No, Later, SERVER, "A part of the prompt made endpoints crash; it is quarantined."),
            Self::QuarantinedRequest  => (503, No, Later, SERVER, "The request made endpoints crash; it is quarantined."),
            Self::StreamVersionUnknown => (503, No, Later, SERVER, "The software version that started the stream is not known; send the request anew."),
            Self::StreamVersionGone   => (503, No, Later, SERVER, "No endpoint of the software version that started the stream is left; send the request anew."),
            Self::EndpointUnreachable => (503, No, Later, SERVER, "The endpoint could not be reached."),
            Self::NoConfiguration     => (503, No, Elsewhere, SERVER, "This VM has no configuration yet."),
            Self::OlderConfiguration  => (503, No, Elsewhere, SERVER, "The receiving VM has an older configuration."),
            Self::ForwardLoop         => (508, No, Never, SERVER, "A forwarded request may not be forwarded again."),
            Self::Stopping            => (503, No, Elsewhere, SERVER, "This VM is stopping."),
            Self::StoreUnavailable    => (503, No, Later, SERVER, "The idempotency key could not be claimed."),
            Self::TicketExpired       => (409, Unknown, Never, INVALID, "The ticket is too old; ask for its outcome."),
            Self::TicketInvalid       => (400, No, Never, INVALID, "The ticket is not valid."),
            Self::TicketOwnerGone     => (409, Unknown, Never, SERVER, "The VM that issued the ticket is gone."),
            Self::AlreadyRunning      => (409, Unknown, Later, INVALID, "A request with this id is being run."),
            Self::IdReused            => (422, No, Never, INVALID, "This id was used with another request."),
            Self::AnswerDropped       => (409, Yes, Never, SERVER, "The request ran; its answer is no longer kept."),
            Self::OutcomeUnknown      => (502, Unknown, Never, SERVER, "The request was sent and its outcome is not known."),
            Self::EndpointTimeout     => (504, Unknown, Never, SERVER, "The answer did not come in time."),
            Self::AnswerIncomplete    => (502, Unknown, Never, SERVER, "The answer broke off before its end."),
        };
        ErrorResponse { status, ran, retry, error_type, message }
    }
}
