//! The clock, and the timer service that parts of the process subscribe to.
//!
//! Decision cores never read a clock; they are told the time. [`Clock`] is where the process reads it, and
//! [`TimerService`] turns it into ticks. Tests use [`ManualClock`], which moves only when told to.

mod clock;
mod timer;

pub use clock::{BootClock, Clock, ManualClock, SystemClock};
pub use timer::{Subscription, TimerService};
