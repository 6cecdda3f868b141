//! The choice of an endpoint, or of another failure domain, for a request.
//!
//! [`RoutingTable`] holds, for one version of the configuration, which endpoints and domains a route may use at all.
//! [`candidates`] applies the hard filters (regions, leaving, paused, deadline) and estimates for each one that is
//! left the wait, the time to the first token and to the end, and the price. A [`Policy`] picks one of them:
//! [`Weighted`] is the one that the daemon uses, the others are baselines to measure it against.

mod candidate;
mod index;
mod link;
mod policy;
mod types;

pub use candidate::{RouteQuery, RoutingState, candidates};
pub use index::{EndpointProfile, LocalEndpoint, RemoteGroup, RouteTargets, RoutingTable, summary_keys};
pub use link::LinkQueues;
pub use policy::{LeastLoad, LocalOnly, Policy, RoundRobin, Weighted};
pub use types::{Candidate, Reason, Target};
