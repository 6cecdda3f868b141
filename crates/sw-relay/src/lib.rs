//! Decisions about requests to discovered services.
//!
//! Where [`sw-gate`] serves routes whose endpoints stand in the configuration, [`Relay`] serves routes that are found
//! by host and path and whose endpoints register themselves. It joins the route [`Table`], the [`Registry`] of
//! endpoints, the estimates of their load and the view of other VMs. Like the gate it opens no socket and reads no
//! clock: it takes an event and the time, and returns what to do.
//!
//! A request passes [`Relay::admit`], then [`Relay::choose`] and [`Relay::begin`] once for each attempt. The
//! [`Attempt`] that `begin` returns is given back with its [`Outcome`]. Where a [`Choice`] names a [`Coordinator`], that
//! VM's [`Relay::reserve`] is asked before.
//!
//! [`sw-gate`]: https://example.invalid/shallotwing

mod attempt;
mod beat;
mod cache;
mod candidate;
mod choose;
mod coordinate;
mod estimate;
mod exchange;
mod intake;
mod kept;
mod load;
mod model;
mod pace;
mod patience;
mod region;
mod registry;
mod relay;
mod retry;
mod share;
mod spill;
mod table;
mod types;
mod watcher;

pub use attempt::{Attempt, Outcome};
pub use beat::{Beat, DomainView, EndpointLoad, ServiceLoad, VmAge};
pub use cache::PromptCache;
pub use candidate::{Choice, Tried};
pub use coordinate::{Coordinator, Granted, Release, Reservation, Wait};
pub use exchange::Caller;
pub use intake::{Distance, Intake, Source};
pub use kept::KeptPart;
pub use load::Load;
pub use model::EngineModel;
pub use pace::{Pace, PaceShare};
pub use patience::StallWatch;
pub use region::RegionView;
pub use registry::{Endpoint, Registry};
pub use relay::{Admitted, Options, Relay};
pub use table::{ClientLimits, EngineSpec, Route, RouteKind, Service, Table, Target};
pub use types::{EndpointEntry, EndpointReport, Fact, LoadReport, Part, Prompt, RequestHead, ServiceId};
pub use watcher::StoreSource;
