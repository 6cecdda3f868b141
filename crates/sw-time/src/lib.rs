//! Clocks and periodic timers.
//!
//! Code that makes decisions never reads a clock; it takes the time as an argument. The process reads the time from a
//! [`Clock`] and gets periodic ticks from a [`TimerService`]. Tests use [`ManualClock`], which they advance themselves.

mod clock;
mod timer;

pub use clock::{BootClock, Clock, ManualClock, SystemClock};
pub use timer::{Subscription, TimerService};
