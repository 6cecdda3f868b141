//! Average work of the requests to a target, and how much longer they take than expected.

use sw_unit::{Millis, Time};

/// Weight of the newest request in moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Exponent applied to the ratio of actual to expected duration before it is multiplied into the slowdown factor.
const GAIN: f64 = 0.05;
/// Bounds of the ratio of one request.
const RATIO_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Bounds of the slowdown factor.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 16.0);
/// Time without measurements in which the slowdown factor moves half of the way back to 1.
const HALF_LIFE: Millis = Millis(8_000);
/// Shortest expected duration that is measured; the ratio of shorter requests carries no information.
const MIN_EXPECTED: Millis = Millis(20);

/// The time that a request takes on an otherwise idle endpoint, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Work {
    /// Prefill of the prompt.
    pub prefill_ms: f64,
    /// Generation of the response.
    pub response_ms: f64,
}

/// Average work of the requests to a target and their slowdown factor.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Slowdown {
    work: Option<Work>,
    factor: Option<(f64, Time)>,
}

impl Slowdown {
    /// Records that a request was sent.
    pub(crate) fn on_dispatch(&mut self, work: Work) {
        let average = |old: f64, new: f64| old + NEWEST_WEIGHT * (new - old);
        self.work = Some(self.work.map_or(work, |old| Work {
            prefill_ms: average(old.prefill_ms, work.prefill_ms),
            response_ms: average(old.response_ms, work.response_ms),
        }));
    }

    /// Records how long a request took.
    pub(crate) fn record_duration(&mut self, actual: Millis, expected: Millis, now: Time) {
        if expected < MIN_EXPECTED {
            return;
        }
        let ratio = (actual.0 as f64 / expected.0 as f64).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let factor = self.factor(now) * ratio.powf(GAIN);
        self.factor = Some((factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1), now));
    }

    /// Returns the moving average of the work of requests; `None` if none was sent.
    pub(crate) fn work(&self) -> Option<Work> {
        self.work
    }

    /// Returns the factor by which requests take longer than expected.
    pub(crate) fn factor(&self, now: Time) -> f64 {
        let Some((factor, at)) = self.factor else {
            return 1.0;
        };
        let half_lives = now.since(at).0 as f64 / HALF_LIFE.0 as f64;
        1.0 + (factor - 1.0) * 0.5_f64.powf(half_lives)
    }
}
