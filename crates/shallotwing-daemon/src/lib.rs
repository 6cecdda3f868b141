//! The gateway process of an entry VM.
//!
//! Modules go by life span. [`process`] holds what lives as long as the process: the gate, the exchange with other VMs
//! and the platform, and the planned stop. `version` learns configurations, `connection` serves callers'
//! connections, and `request` carries one request from its headers to its answer.

mod connection;
pub mod process;
#[cfg(feature = "platform")]
pub mod relay;
mod request;
mod version;

pub use process::{Daemon, logging};
