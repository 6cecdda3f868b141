//! Remote calls between VMs over capnp-rpc.
//!
//! capnp-rpc is single-threaded, so all calls run on one thread of their own, which [`start`] spawns. The rest of the
//! process talks to it through [`Peers`], whose methods may be called from any thread, and answers incoming calls
//! through a [`Handler`]. Calls about discovered services, in [`relay`], stay on the thread of the caller.
//! `src/peer_capnp.rs` and `src/relay_capnp.rs` are generated from `schema/` and committed.

mod client;
mod convert;
#[allow(
    missing_docs,
    missing_debug_implementations,
    unused_lifetimes,
    redundant_lifetimes,
    unused_qualifications,
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::pedantic,
    reason = "generated code"
)]
#[rustfmt::skip]
mod peer_capnp;
pub mod relay;
#[allow(
    missing_docs,
    missing_debug_implementations,
    unused_lifetimes,
    redundant_lifetimes,
    unused_qualifications,
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::pedantic,
    reason = "generated code"
)]
#[rustfmt::skip]
mod relay_capnp;
mod server;
mod service;
mod types;

pub use service::{Peers, start};
pub use types::{Event, Forward, Handler, PeerError};
