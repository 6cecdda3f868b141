//! Remote calls about discovered services.
//!
//! They run on the current thread, inside a `LocalSet`. [`RelayClient`] makes calls to other VMs; [`serve`] handles
//! incoming calls with a [`RelayHandler`]. A forwarded request is cancelled at both ends when the receiver of its
//! events is dropped.

mod calls;
mod client;
mod convert;
mod crashes;
mod in_flight;
mod limits;
mod quotas;
mod reservations;
mod server;
mod store;
mod types;
mod upload;

pub use client::RelayClient;
pub use server::{bind, serve};
use types::CallEnd;
pub use types::{
    CallRefusal, LargeValue, NewestVersion, NotSent, RelayCall, RelayEvent, RelayHandler, Silence, StoreCopy,
    ValuePlace, WatchOutcome, WatchQuery,
};
