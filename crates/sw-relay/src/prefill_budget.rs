//! Limit on the share of an engine's time that is spent on prefill.
//!
//! An engine generates few tokens during a prefill. One that is never without a prefill ends no long response before
//! its caller closes the connection. Prefill therefore counts for longer than it takes, and an engine that exceeds its
//! budget counts as busy until the budget is restored. Short bursts are accepted immediately. Share and burst are smaller
//! where the gap objectives of the running streams call for it.

use sw_unit::Time;

/// Share of an engine's time that may be spent on prefill.
const PREFILL_SHARE: f64 = 0.8;
/// Prefill time divided by [`PREFILL_SHARE`] that an idle engine accepts at once, in milliseconds.
const BURST_MS: f64 = 500.0;
/// Smallest share of an engine's time that may be spent on prefill, whatever its streams tolerate.
const MIN_PREFILL_SHARE: f64 = 0.2;

/// Limits on the prefill of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BudgetLimits {
    /// Share of the time that may be spent on prefill.
    share: f64,
    /// Prefill time divided by the share that is accepted at once, in milliseconds.
    burst_ms: f64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            share: PREFILL_SHARE,
            burst_ms: BURST_MS,
        }
    }
}

impl BudgetLimits {
    /// Returns the limits by which the prefill in any `window_ms` is at most `allowed_ms`, at most the default ones.
    pub(crate) fn within(allowed_ms: f64, window_ms: f64) -> Self {
        let share = (allowed_ms / window_ms).clamp(MIN_PREFILL_SHARE, PREFILL_SHARE);
        let burst_ms = (allowed_ms / share - window_ms).clamp(0.0, BURST_MS);
        Self { share, burst_ms }
    }
}

/// Token bucket of the prefill of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillBudget {
    limits: BudgetLimits,
    /// Accepted prefill time divided by the share, minus the time elapsed since.
    level_ms: f64,
    updated_at: Time,
}

impl PrefillBudget {
    /// Applies other limits to further prompts.
    pub(crate) fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Records a prompt whose prefill takes `prefill_ms`.
    pub(crate) fn consume(&mut self, prefill_ms: f64, now: Time) {
        self.level_ms = self.level_ms(now) + prefill_ms / self.limits.share;
        self.updated_at = now;
    }

    /// Returns the budget of a prompt that was not processed.
    pub(crate) fn refund(&mut self, prefill_ms: f64) {
        self.level_ms -= prefill_ms / self.limits.share;
    }

    /// Returns the milliseconds for which the engine should accept no further prefill.
    pub(crate) fn excess_ms(&self, now: Time) -> f64 {
        (self.level_ms(now) - self.limits.burst_ms).max(0.0)
    }

    fn level_ms(&self, now: Time) -> f64 {
        (self.level_ms - now.since(self.updated_at).0 as f64).max(0.0)
    }
}
