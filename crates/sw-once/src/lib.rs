//! At-most-once execution of non-idempotent requests.
//!
//! Every such request has a [`Ticket`] that names the one life of the one VM that may run it. That VM keeps a
//! [`TicketRegistry`] of what became of its tickets; any other VM passes the request on to it, or, where that life is over,
//! says that the outcome is unknown. No agreement between VMs is needed, so the rule holds through any partition.
//! An idempotency key of the caller's own is bound to a ticket by a create-if-absent in the key-value service, and
//! is then treated as that ticket.

mod registry;
mod ticket;
mod types;

pub use registry::{Options, TicketRegistry};
pub use ticket::{ParseTicketError, Ticket};
pub use types::{BeginOutcome, ExecutionOutcome, RequestDigest, RequestKey, SavedResponse, TicketStatus};
