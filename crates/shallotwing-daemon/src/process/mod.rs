//! State and tasks that live as long as the process.

mod daemon;
mod directory;
mod gate_handle;
mod heartbeats;
pub mod logging;
mod operator;
mod placement;
mod poll;
mod telemetry;

pub use self::daemon::Daemon;
pub(crate) use self::daemon::Gateway;
pub(crate) use self::gate_handle::GateHandle;
#[cfg(feature = "platform")]
pub(crate) use self::telemetry::recorder as metrics_recorder;
pub(crate) use self::telemetry::{count_decision, count_end};
