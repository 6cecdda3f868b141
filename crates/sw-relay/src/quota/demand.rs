//! Measured demand for tokens.

use sw_unit::Time;

use super::MILLIS_PER_SECOND;

/// Time constant of the average in milliseconds.
const AVERAGE_MS: f64 = 500.0;

/// Exponentially weighted average of the tokens asked for per second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    /// Tokens, each weighted by its age.
    weighted: f64,
    updated_at: Time,
}

impl Demand {
    /// Counts `tokens` that are asked for now.
    pub(crate) fn add(&mut self, tokens: f64, now: Time) {
        self.weighted = self.weighted_at(now) + tokens;
        self.updated_at = self.updated_at.max(now);
    }

    /// Limits the average to `max` tokens per second, so that it soon falls after far more was asked for.
    pub(crate) fn limit(&mut self, max: f64) {
        self.weighted = self.weighted.min(max * AVERAGE_MS / MILLIS_PER_SECOND);
    }

    /// Returns the tokens asked for per second.
    pub(crate) fn per_second(&self, now: Time) -> f64 {
        self.weighted_at(now) * MILLIS_PER_SECOND / AVERAGE_MS
    }

    fn weighted_at(&self, now: Time) -> f64 {
        let age_ms = now.since(self.updated_at).0 as f64;
        self.weighted * (-age_ms / AVERAGE_MS).exp()
    }
}
