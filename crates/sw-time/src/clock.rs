//! Clocks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sw_unit::{Millis, Time, WallTime};

/// Source of the current time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Time;

    /// Returns the wall-clock time.
    fn wall(&self) -> WallTime;
}

/// The operating system's clock, whose monotonic time stops while the VM is suspended.
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

/// Clock for tests that advances only by [`advance`](Self::advance).
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    now: Arc<AtomicU64>,
}

impl ManualClock {
    /// Advances the clock by `duration`.
    pub fn advance(&self, duration: Millis) {
        self.now.fetch_add(duration.0, Ordering::Relaxed);
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

/// The operating system's clock, whose monotonic time also counts while the VM is suspended (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        Self {
            start: time_since_boot(),
        }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Time {
        Time(time_since_boot().saturating_sub(self.start).as_millis() as u64)
    }

    fn wall(&self) -> WallTime {
        SystemClock { start: Instant::now() }.wall()
    }
}

fn time_since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.cast_unsigned(), time.tv_nsec as u32)
}
