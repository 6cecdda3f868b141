//! Measures the decision core of one VM against engine models, with a manual clock.
//!
//! There is one VM, so nothing of membership, links between VMs or lost messages is modelled: what needs several VMs is
//! measured on real processes. Other failure domains are seen as the VM sees them, through summaries, and take what
//! is forwarded to them on engine models of their own, beside their own callers. The same seed gives the same
//! figures. [`run`] runs one policy through one [`Scenario`] of one [`Deployment`].

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
