//! The decision core of one entry VM.
//!
//! [`Gate`] joins the cores of membership, load, routing, admission and at-most-once execution. It takes an event and
//! the time, changes its state and returns what to do; it opens no socket and reads no clock. The daemon feeds it
//! real events, tests and measurements feed it generated ones.
//!
//! A request passes [`Gate::admit`] or [`Gate::admit_forwarded`], then [`Gate::choose_target`], then [`Gate::dispatch`] right before
//! its first byte leaves the VM. All conditions that can change while a request waits (deadline, permitted regions,
//! leaving endpoints) are checked again at the hand-over.

mod admit;
mod exchange;
mod gate;
mod offer;
mod placement;
mod plan;
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
