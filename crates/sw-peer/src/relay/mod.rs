//! Remote calls about discovered services.
//!
//! They run on the caller's thread, inside a `LocalSet`. [`RelayClient`] calls other VMs, [`serve`] answers them
//! through a [`RelayHandler`]. A call is given up at both ends when the receiver of its events is dropped.

mod client;
mod convert;
mod server;
mod types;

pub use client::RelayClient;
pub use server::{bind, serve};
pub use types::{RelayCall, RelayEvent, RelayHandler, WatchOutcome};
