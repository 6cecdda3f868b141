//! Error kinds of the gateway and the responses that callers get for them.
//!
//! [`Kind`] is the closed list of reasons why a request does not get its result. [`Kind::response`] is the only table
//! that maps a kind to the response: the HTTP status, whether the request ran, and when to retry. Callers of
//! non-idempotent routes decide by [`Ran`] whether a retry is safe, so a row may contain [`Ran::No`] only if no byte of
//! the request can have reached an endpoint.

mod kind;
mod refusal;

pub use kind::{ErrorResponse, Kind, Ran, Retry};
pub use refusal::{Phase, Refusal};
