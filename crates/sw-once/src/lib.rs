//! At-most-once execution of non-idempotent requests.
//!
//! Every such request has a [`Ticket`] that names the one VM incarnation that may run it. That VM records the state of
//! its tickets in a [`TicketRegistry`]. Any other VM forwards the request to it or, if that incarnation is gone,
//! reports that the outcome is unknown. The VMs need no consensus, so the guarantee holds through any network
//! partition. An idempotency key that the caller chose is bound to a ticket by a create-if-absent in the key-value
//! store, and is then treated as that ticket.

mod registry;
mod ticket;
mod types;

pub use registry::{Options, TicketRegistry};
pub use ticket::{ParseTicketError, Ticket};
pub use types::{BeginOutcome, ExecutionOutcome, RequestDigest, RequestKey, SavedResponse, TicketStatus};
