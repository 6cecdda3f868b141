//! Placement: which models are loaded on which endpoints of a failure domain.
//!
//! One VM of a domain gives the orders: the holder of a lease in the key-value service. [`LeaseTerm`] decides whether
//! this VM may still give an order, by its own clock and with a safety margin, and provides the fencing token of the
//! lease for each order. [`Planner`] plans at most one order at a time. Every model that a route needs is first loaded
//! on one endpoint, then models with more demand are loaded on more; models without demand are unloaded if their memory
//! is needed. Loads respect the transfer rate of the weight store.

mod lease;
mod planner;
mod types;

pub use lease::LeaseTerm;
pub use planner::{Options, Planner};
pub use types::{Action, EndpointView, Order};
