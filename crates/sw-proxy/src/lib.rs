//! HTTP reverse proxy for discovered services.
//!
//! A [`Proxy`] connects the routing decisions of `sw-relay` to hyper, to the calls between VMs and to the platform's
//! store. A [`Dialect`] translates the platform's headers, store keys and HTTP paths; a
//! [`Feed`](sw_store::Feed) implements the protocol of its store. Everything runs on one thread inside a `LocalSet`: a
//! VM has a fraction of a core, so waking another thread costs more than it gains.

mod active;
mod attempt;
mod caller_limits;
mod catch_up;
mod configuration_proof;
mod connections;
mod continuation;
mod crash;
mod dialect;
mod directory;
mod drain;
mod forward;
mod health;
mod heartbeat;
mod incoming;
mod listener;
mod malformed;
mod options;
mod paths;
mod peer;
mod peer_calls;
mod persist;
mod proxy;
mod quota;
mod records;
mod request;
mod reservation;
mod response;
mod restore;
mod resumption;
mod sse;
mod startup;
mod state;
mod stop_log;
mod store;
mod stream;
mod telemetry;
mod transfer;

pub use dialect::{AttemptHeaders, Dialect, DirectoryQuery, HeadError, HealthAnswer, Rejection, ResponseHead};
pub use malformed::MalformedItems;
pub use options::Options;
pub use proxy::Proxy;
pub use sse::{EventSplitter, EventTooLongError};
pub use sw_limit::LimitOptions;
