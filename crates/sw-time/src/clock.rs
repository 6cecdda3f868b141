//! Clocks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sw_unit::{Millis, Time, WallTime};

/// A source of the current time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The monotonic time.
    fn now(&self) -> Time;

    /// The wall-clock time.
    fn wall(&self) -> WallTime;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Time {
        Time(self.start.elapsed().as_millis() as u64)
    }

    fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since_epoch.as_millis() as u64)
    }
}

/// A clock that moves only when told to.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    now: Arc<AtomicU64>,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        Time(self.now.load(Ordering::Relaxed))
    }

    fn wall(&self) -> WallTime {
        WallTime(self.now.load(Ordering::Relaxed))
    }
}

/// The clock of the operating system that also counts the time for which the VM was suspended.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        Self { start: since_boot() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Time {
        Time(since_boot().saturating_sub(self.start).as_millis() as u64)
    }

    fn wall(&self) -> WallTime {
        SystemClock { start: Instant::now() }.wall()
    }
}

fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.cast_unsigned(), time.tv_nsec as u32)
}
