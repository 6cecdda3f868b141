//! Requests to discovered services over HTTP.
//!
//! A [`Proxy`] joins the decisions of `sw-relay` with hyper, the calls between VMs and the platform's store. What the
//! platform calls its headers, keys and calls is the matter of a [`Dialect`]; what its store speaks, that of a
//! [`Feed`](sw_store::Feed). Everything runs on one thread, inside a `LocalSet`: a VM has a fraction of a core, and
//! each wake-up of another thread costs more than it gains.

mod attempt;
mod dialect;
mod directory;
mod forward;
mod heartbeat;
mod incoming;
mod listener;
mod options;
mod peer;
mod proxy;
mod records;
mod request;
mod reservation;
mod response;
mod sse;
mod state;
mod store;
mod stream;
mod telemetry;

pub use dialect::{AttemptHeaders, Dialect, DirectoryQuery, HeadError, Rejection, ResponseHead};
pub use options::Options;
pub use proxy::Proxy;
pub use sse::{EventSplitter, EventTooLongError};
