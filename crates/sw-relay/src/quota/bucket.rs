//! Token bucket of a workspace.

use sw_unit::{Millis, Time};

use super::MILLIS_PER_SECOND;

/// Tokens that a keeper may give out.
///
/// The level is below zero after a request that was larger than the bucket.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    level: f64,
    updated_at: Time,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens.
    pub(crate) fn new(level: f64, now: Time) -> Self {
        Self { level, updated_at: now }
    }

    /// Returns when the level was last updated.
    pub(crate) fn updated_at(&self) -> Time {
        self.updated_at
    }

    /// Returns the number of tokens held.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Adds `tokens` up to `capacity`; tokens above a capacity that has become smaller are lost.
    pub(crate) fn fill(&mut self, tokens: f64, capacity: f64, now: Time) {
        self.level = (self.level + tokens).min(capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Adds what `per_second` yields since the last update, up to `capacity`.
    pub(crate) fn refill(&mut self, per_second: f64, capacity: f64, now: Time) {
        let tokens = per_second * now.since(self.updated_at).0 as f64 / MILLIS_PER_SECOND;
        self.fill(tokens, capacity, now);
    }

    /// Removes `tokens`.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }
}

/// Returns the time in which `per_second` yields `tokens`, between 1 ms and `max`.
pub(crate) fn time_for(tokens: f64, per_second: f64, max: Millis) -> Millis {
    let time_ms = (tokens / per_second * MILLIS_PER_SECOND).ceil();
    if time_ms.is_finite() {
        Millis(time_ms.max(1.0) as u64).min(max)
    } else {
        max
    }
}
