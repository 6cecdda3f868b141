//! What is kept about a request, and what its repeat is told.

use bytes::Bytes;
use strum::{Display, EnumString};
use sw_error::Kind;
use sw_unit::{Digest, WorkspaceId};

/// A digest over route and body, which tells a repeat from another request with the same id.
pub type RequestDigest = Digest;

/// The place of a request in the registry of the VM that owns its ticket.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// The workspace that uses the ticket.
    pub workspace: WorkspaceId,
    /// The ticket's place in the order of issue.
    pub sequence: u64,
}

/// A whole answer, kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SavedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// How a request that was begun ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It was given up before any of it was handed over.
    NotRun,
    /// It ran, and this is its whole answer.
    Ran(SavedResponse),
    /// It was handed over, and its outcome is not known.
    Unknown,
}

/// What is known of a request by its ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TicketStatus {
    /// It was not begun, or was given up before any of it was handed over.
    NotRun,
    /// It is being run.
    Running,
    /// It ran.
    Ran,
    /// It was handed over, and its outcome is not known.
    Unknown,
    /// Its ticket is older than the retention.
    Expired,
    /// The VM that owns its ticket is gone.
    OwnerGone,
}

/// What to do with a request that comes with a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum BeginOutcome {
    /// Run it, and complete it.
    Run,
    /// Give the answer that is kept.
    Replay(SavedResponse),
    /// Refuse it.
    Refuse(Kind),
}
