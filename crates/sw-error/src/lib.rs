//! The closed list of reasons for which a request is not answered with its result.
//!
//! [`Kind`] names each reason once, and [`Kind::response`] is the only table from a kind to what the caller is told:
//! the HTTP status, whether the request ran, and when to come back. A caller of a non-idempotent route decides by
//! [`Ran`] whether a repeat is safe, so a row may say [`Ran::No`] only if no byte of the request can have reached an
//! endpoint.

mod kind;
mod refusal;

pub use kind::{ErrorResponse, Kind, Ran, Retry};
pub use refusal::{Phase, Refusal};
