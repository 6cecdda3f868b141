//! State and tasks that live as long as the process.

mod core;
mod daemon;
mod directory;
mod exchange;
pub mod logging;
mod operator;
mod placement;
mod poll;
mod telemetry;

pub(crate) use self::core::Core;
pub use self::daemon::Daemon;
pub(crate) use self::daemon::Gateway;
#[cfg(feature = "platform")]
pub(crate) use self::telemetry::recorder as metrics_recorder;
pub(crate) use self::telemetry::{count_decision, count_end};
