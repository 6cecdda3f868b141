//! Keys, saved responses, outcomes and statuses of requests with tickets.

use bytes::Bytes;
use strum::{Display, EnumString};
use sw_error::Kind;
use sw_unit::{Digest, WorkspaceId};

/// A digest of route and body, which distinguishes a repeat from a different request with the same id.
pub type RequestDigest = Digest;

/// Key of a request in the [`TicketRegistry`](crate::TicketRegistry) of the VM that owns its ticket.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Workspace that uses the ticket.
    pub workspace: WorkspaceId,
    /// Sequence number of the ticket.
    pub sequence: u64,
}

/// A complete response, saved so that it can be replayed to repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SavedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Response body.
    pub body: Bytes,
}

/// Outcome of one execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// Abandoned before dispatch.
    NotRun,
    /// Ran, with this complete response.
    Ran(SavedResponse),
    /// Dispatched, but the outcome is unknown.
    Unknown,
}

/// Status of a ticket, as a caller can query it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TicketStatus {
    /// Not started, or abandoned before dispatch.
    NotRun,
    /// Running.
    Running,
    /// Ran to completion.
    Ran,
    /// Dispatched, but the outcome is unknown.
    Unknown,
    /// The ticket is older than the retention period.
    Expired,
    /// The VM incarnation that owns the ticket is gone.
    OwnerGone,
}

/// What to do with a request that has a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum BeginOutcome {
    /// Run the request, then pass its outcome to [`TicketRegistry::complete`](crate::TicketRegistry::complete).
    Run,
    /// Replay the saved response.
    Replay(SavedResponse),
    /// Refuse the request.
    Refuse(Kind),
}
