//! Remote calls between VMs over capnp-rpc.
//!
//! capnp-rpc is single-threaded, so all calls run on a dedicated thread that [`start`] spawns. The rest of the process
//! makes calls through [`Peers`], whose methods can be called from any thread, and handles incoming calls in a
//! [`Handler`]. Calls about discovered services, in [`relay`], run on the thread that makes them.
//! `src/peer_capnp.rs` and `src/relay_capnp.rs` are generated from `schema/` and committed.

/// Declares a module of generated code.
macro_rules! generated {
    ($name:ident) => {
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
        mod $name;
    };
}

generated!(peer_capnp);
generated!(relay_capnp);

mod client;
mod convert;
mod delivery;
mod observed;
mod pool;
pub mod relay;
mod server;
mod service;
mod silence;
mod types;

pub use delivery::wait_until_delivered;
pub use service::{ForwardConnection, Peers, start};
pub use types::{ForwardEvent, ForwardedRequest, Handler, PeerError};
