//! Limit on the share of an engine's time that is spent on prefill.
//!
//! An engine generates few tokens during a prefill. One that is never without a prefill ends no long response before
//! its caller closes the connection. Prefill therefore counts for longer than it takes, and an engine that exceeds its
//! budget counts as busy until the budget is restored. Short bursts are accepted immediately.

use sw_unit::Time;

/// Share of an engine's time that may be spent on prefill.
const PREFILL_SHARE: f64 = 0.8;
/// Prefill time divided by [`PREFILL_SHARE`] that an idle engine accepts at once, in milliseconds.
const BURST_MS: f64 = 500.0;

/// Token bucket of the prefill of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillBudget {
    /// Accepted prefill time divided by [`PREFILL_SHARE`], minus the time elapsed since.
    level_ms: f64,
    updated_at: Time,
}

impl PrefillBudget {
    /// Records a prompt whose prefill takes `prefill_ms`.
    pub(crate) fn consume(&mut self, prefill_ms: f64, now: Time) {
        self.level_ms = self.level_ms(now) + prefill_ms / PREFILL_SHARE;
        self.updated_at = now;
    }

    /// Returns the budget of a prompt that was not processed.
    pub(crate) fn refund(&mut self, prefill_ms: f64) {
        self.level_ms -= prefill_ms / PREFILL_SHARE;
    }

    /// Returns the milliseconds for which the engine should accept no further prefill.
    pub(crate) fn excess_ms(&self, now: Time) -> f64 {
        (self.level_ms(now) - BURST_MS).max(0.0)
    }

    fn level_ms(&self, now: Time) -> f64 {
        (self.level_ms - now.since(self.updated_at).0 as f64).max(0.0)
    }
}
