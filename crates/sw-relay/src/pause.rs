//! Detection that this VM was paused, so that what it knows may be outdated.

use sw_unit::{Millis, Time};

use crate::rate_limiter::{CATCH_UP_TIME, MAX_TICK_GAP};

/// Finds pauses by the time between two ticks.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PauseDetector {
    last_tick: Option<Time>,
    /// When this VM last noticed that it had been paused.
    resumed_at: Option<Time>,
}

impl PauseDetector {
    /// Records a tick.
    pub(crate) fn tick(&mut self, now: Time) {
        if self.is_tick_overdue(now) {
            self.resumed_at = Some(now);
        }
        self.last_tick = Some(now);
    }

    /// Returns whether this VM was paused a moment ago, and may not have received yet what others sent meanwhile.
    pub(crate) fn is_catching_up(&self, now: Time) -> bool {
        let resumed_for = self.resumed_at.map(|at| now.since(at));
        self.is_tick_overdue(now) || resumed_for.is_some_and(|time| time < CATCH_UP_TIME)
    }

    fn is_tick_overdue(&self, now: Time) -> bool {
        let gap = self.last_tick.map_or(Millis(0), |last_tick| now.since(last_tick));
        gap >= MAX_TICK_GAP
    }
}
