//! Decisions about requests to discovered services.
//!
//! Where [`sw-gate`] serves routes whose endpoints stand in the configuration, [`Relay`] serves routes that are found
//! by host and path and whose endpoints register themselves. It joins the route [`RouteTable`], the [`Registry`] of
//! endpoints, the estimates of their load and the view of other VMs. Like the gate it opens no socket and reads no
//! clock: it takes an event and the time, and returns what to do.
//!
//! A request passes [`Relay::admit`], then [`Relay::choose`] and [`Relay::start_attempt`] once for each attempt. The
//! [`Attempt`] that `start_attempt` returns is given back with its [`Outcome`]. Where a [`Choice`] names a [`Coordinator`], that
//! VM's [`Relay::reserve`] is asked before.
//!
//! [`sw-gate`]: https://example.invalid/shallotwing

mod attempt;
mod cache;
mod candidate;
mod choose;
mod coordinator;
mod estimate;
mod exchange;
mod heartbeat;
mod intake;
mod kept;
mod load;
mod model;
mod pace;
mod region;
mod registry;
mod relay;
mod retry;
mod share;
mod spill;
mod stall;
mod table;
mod types;
mod watcher;

pub use attempt::{Attempt, Outcome};
pub use cache::PromptCache;
pub use candidate::{Choice, Tried};
pub use coordinator::{Coordinator, Grant, QueueEstimate, Reservation, ReservationUpdate};
pub use exchange::EntryQuery;
pub use heartbeat::{DomainView, EndpointLoad, Heartbeat, ServiceLoad, VmAge};
pub use intake::{Distance, Intake, Source};
pub use kept::KeptPart;
pub use load::Load;
pub use model::EngineModel;
pub use pace::{Pace, PaceShare};
pub use region::RegionView;
pub use registry::{Endpoint, Registry};
pub use relay::{AdmittedRequest, Options, Relay};
pub use stall::StallDetector;
pub use table::{ClientLimits, EngineSpec, Route, RouteKind, RouteTable, Service, Target};
pub use types::{EndpointEntry, EndpointReport, LoadReport, Prompt, PromptPart, RequestHead, ServiceId, StoreRecord};
pub use watcher::StoreSource;
