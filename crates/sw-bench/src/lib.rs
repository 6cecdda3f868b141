//! Benchmark of routing policies: the [`Gate`](sw_gate::Gate) of one VM against engine models, with a simulated clock.
//!
//! There is only one VM, so membership, connections between VMs and lost messages are not modelled; what needs several
//! VMs is measured on real processes. The VM knows remote failure domains through their summaries only. Each remote
//! domain has its own engine models, which serve its own callers and the requests that are forwarded to it. The same
//! seed gives the same results. [`run`] runs one policy through one [`Scenario`] of one [`Deployment`].

mod arrivals;
mod deployment;
mod domain;
mod report;
mod scenario;
mod simulation;

pub use arrivals::{Arrival, Arrivals, Prompt};
pub use deployment::{ClassProfile, Deployment};
pub use report::{ClassReport, Report};
pub use scenario::{PolicyName, Scenario};
pub use simulation::run;
