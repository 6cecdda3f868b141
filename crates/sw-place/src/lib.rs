//! Which models are loaded on which endpoints of a failure domain.
//!
//! One VM of a domain gives the orders: the holder of a lease in the key-value service. [`LeaseTerm`] tells whether this
//! VM may still give one, by its own clock and with a margin, and numbers each with the fencing number of its lease.
//! [`Planner`] decides on at most one order at a time: first every model that a route needs gets one endpoint, then
//! models with more demand get more; what has no demand and stands in the way is unloaded. Loads keep to the rate of the
//! weight store.

mod lease;
mod planner;
mod types;

pub use lease::LeaseTerm;
pub use planner::{Options, Planner};
pub use types::{Action, EndpointView, Order};
