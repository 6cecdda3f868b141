//! The gateway process of an entry VM.
//!
//! Modules are grouped by lifetime. [`process`] holds what lives as long as the process: the gate, the communication
//! with other VMs and the platform, and the graceful stop. `config_sync` follows the fleet configuration, `connection`
//! serves callers' connections, and `request` handles one request from its headers to its response.

mod config_sync;
mod connection;
pub mod process;
#[cfg(feature = "platform")]
pub mod relay;
mod request;

pub use process::{Daemon, logging};
