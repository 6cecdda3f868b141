//! Load shedding by deadline and worth.

use sw_error::{Kind, Refusal};
use sw_unit::{Millis, Weight};

/// Shortest base of a retry-after time.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// Longest base of a retry-after time.
const MAX_RETRY_AFTER: Millis = Millis(30_000);
/// Fraction of its slack that a request of no worth may spend waiting.
const MIN_WAIT_FRACTION: f64 = 0.5;
/// Increase of the estimate margin per unit of the ratio of late responses.
const MARGIN_PER_LATE_RATIO: f64 = 1.0;
/// Largest estimate margin.
const MAX_MARGIN: f64 = 1.25;
/// Weight of the newest response in the moving average of late responses.
const LATE_SMOOTHING: f64 = 0.02;
/// Number of requests over which the highest worth decays.
const WORTH_DECAY_REQUESTS: f64 = 500.0;

/// Refuses requests whose expected wait is too long for their worth.
///
/// A request may spend a fraction of its slack (deadline less service time) waiting. The fraction grows with its worth
/// relative to the highest recent worth. Under overload the wait rises until only requests of higher worth are
/// admitted, and refusing the others leaves capacity for them.
#[derive(Debug, Clone, Default)]
pub struct LoadShedder {
    highest_worth: f64,
    late_ratio: f64,
}

impl LoadShedder {
    /// Records whether a response was late.
    pub fn record_response(&mut self, late: bool) {
        let late = f64::from(u8::from(late));
        self.late_ratio += LATE_SMOOTHING * (late - self.late_ratio);
    }

    /// Returns the factor by which an estimate is scaled before it is compared with the deadline.
    ///
    /// An estimate that is right on average is too low half of the time. That matters only when deadlines are near, so
    /// the margin follows the ratio of late responses.
    fn margin(&self) -> f64 {
        (1.0 + MARGIN_PER_LATE_RATIO * self.late_ratio).min(MAX_MARGIN)
    }

    /// Admits a request that is expected to wait for `wait` and then run for `service`, with `remaining` until its
    /// deadline.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::DeadlineUnreachable`] if the deadline cannot be met whatever the worth, and with
    /// [`Kind::Overloaded`] if the wait is too long for the request's worth.
    pub fn admit(&mut self, worth: Weight, wait: Millis, service: Millis, remaining: Millis) -> Result<(), Refusal> {
        self.highest_worth = (self.highest_worth * (1.0 - 1.0 / WORTH_DECAY_REQUESTS)).max(worth.0);
        let slack = remaining.saturating_sub(service);
        if Millis(((wait + service).0 as f64 * self.margin()) as u64) > remaining {
            return Err(Refusal::with_retry_after(
                Kind::DeadlineUnreachable,
                (wait + service).saturating_sub(remaining),
            ));
        }
        let relative_worth = if self.highest_worth > 0.0 {
            worth.0 / self.highest_worth
        } else {
            1.0
        };
        let wait_fraction = MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * relative_worth;
        let allowed = Millis((slack.0 as f64 * wait_fraction) as u64);
        if wait > allowed {
            return Err(Refusal::with_retry_after(Kind::Overloaded, wait - allowed));
        }
        Ok(())
    }
}

/// Returns a retry-after time with jitter: `random` in 0..1 spreads it between 1 and 2.5 times `base`.
pub fn retry_after(base: Millis, random: f64) -> Millis {
    let base = base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Millis((base.0 as f64 * (1.0 + 1.5 * random)) as u64)
}
