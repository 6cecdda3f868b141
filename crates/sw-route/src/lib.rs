//! Choice of an endpoint, or of a remote failure domain, for a request.
//!
//! [`RoutingTable`] lists, for one version of the configuration, the endpoints and domains that each route may use.
//! [`candidates`] drops those that are not permitted, leaving or in backoff, and estimates for each of the others the
//! queue wait, the time until the first token and until completion, and the price. A [`Policy`] chooses one of them:
//! [`Weighted`] is used by the daemon, the others are baselines to compare it with.

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
