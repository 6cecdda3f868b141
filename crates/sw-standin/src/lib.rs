//! Small stand-ins for the systems around the gateway, for tests, `shallotwing try` and measurements.
//!
//! Each is a server on loopback that stops when its handle is dropped: a key-value service with outages and lost
//! responses, a directory and VM list, a model engine, a plain service, and a TCP link that can delay, cut or blackhole
//! connections. Endpoints record in a [`Ledger`] which requests they ran, independently of the gateway's own records.

mod checker;
mod deployment;
mod engine;
mod ledger;
mod link;
mod platform;
mod server;
mod service;
mod store;

pub use checker::{CallerOutcome, CallerResponse, RequestRecord, Violation, check};
pub use deployment::{Deployment, DeploymentOptions, KEY, VmPlan, free_address};
pub use engine::{EngineFaults, EngineOptions, ReceivedOrder, StandinEngine, response_tokens};
pub use ledger::{Ledger, Run};
pub use link::{Link, LinkState};
pub use platform::{ListedEndpoint, ListedVm, StandinPlatform};
pub use server::Server;
pub use service::{ServiceFaults, StandinService};
pub use store::{Snapshot, StandinStore, StoreFaults};
