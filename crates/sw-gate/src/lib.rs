//! The decision core of one entry VM.
//!
//! [`Gate`] combines membership, load tracking, routing, admission and at-most-once execution. It takes an event and
//! the current time, updates its state and returns what to do. It performs no I/O and reads no clock: the daemon feeds
//! it real events, tests and benchmarks feed it generated ones.
//!
//! A request passes [`Gate::admit`] or [`Gate::admit_forwarded`], then [`Gate::choose_target`], then
//! [`Gate::dispatch`] immediately before its first byte leaves the VM. Conditions that can change while a request
//! waits (deadline, permitted regions, leaving endpoints) are checked again at dispatch.

mod admit;
mod gate;
mod heartbeat;
mod offer;
mod placement;
mod routing;
mod status;
mod ticket;
mod types;
mod version;

pub use gate::{Gate, Options};
pub use offer::{ConfigOffer, ConfigOfferSource, DeltaBase};
pub use status::EndpointStatus;
pub use types::{
    AdmittedRequest, CallerHeaders, DispatchOutcome, DispatchRecord, Envelope, ForwardPurpose, Heartbeat,
    HeartbeatSender, RoutingDecision, RoutingInput, StoreObservation, TicketOwner,
};
pub use version::{FleetVersion, VersionError};
