//! Shedding by deadline and worth.

use sw_error::{Kind, Refusal};
use sw_unit::{Millis, Weight};

/// Shortest time to come back.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// Longest time to come back.
const MAX_RETRY_AFTER: Millis = Millis(30_000);
/// Share of its slack that a request of no worth may spend waiting.
const MIN_PATIENCE: f64 = 0.5;
/// Growth of the margin of estimates with the share of answers that were late.
const MARGIN_PER_LATE_SHARE: f64 = 1.0;
/// Largest margin of estimates.
const MAX_MARGIN: f64 = 1.25;
/// Weight of the newest answer in the share of late ones.
const NEWEST: f64 = 0.02;
/// Requests over which the highest worth is remembered.
const WORTH_MEMORY: f64 = 500.0;

/// Decides which requests are worth the wait that they cause.
///
/// A request may spend a share of its slack (deadline less service time) waiting, and the share grows with its worth
/// relative to the highest worth seen lately. Under overload the wait rises until it fits only the worthier ones,
/// and what is refused leaves room for them.
#[derive(Debug, Clone, Default)]
pub struct LoadShedder {
    highest: f64,
    late_share: f64,
}

impl LoadShedder {
    /// Records whether an answer was late.
    pub fn record_response(&mut self, late: bool) {
        let late = f64::from(u8::from(late));
        self.late_share += NEWEST * (late - self.late_share);
    }

    /// How much an estimate has to leave until the deadline.
    ///
    /// An estimate that is right on average is too low half of the time, which does no harm unless deadlines are near.
    fn margin(&self) -> f64 {
        (1.0 + MARGIN_PER_LATE_SHARE * self.late_share).min(MAX_MARGIN)
    }

    /// Admits a request that is expected to wait for `wait` and then run for `service`.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::DeadlineUnreachable`] if the deadline cannot be met even by the worthiest request, and
    /// with [`Kind::Overloaded`] if the wait is too long for its worth.
    pub fn admit(&mut self, worth: Weight, wait: Millis, service: Millis, left: Millis) -> Result<(), Refusal> {
        self.highest = (self.highest * (1.0 - 1.0 / WORTH_MEMORY)).max(worth.0);
        let slack = left.saturating_sub(service);
        if Millis(((wait + service).0 as f64 * self.margin()) as u64) > left {
            return Err(Refusal::after(
                Kind::DeadlineUnreachable,
                (wait + service).saturating_sub(left),
            ));
        }
        let relative = if self.highest > 0.0 {
            worth.0 / self.highest
        } else {
            1.0
        };
        let patience = MIN_PATIENCE + (1.0 - MIN_PATIENCE) * relative;
        let allowed = Millis((slack.0 as f64 * patience) as u64);
        if wait > allowed {
            return Err(Refusal::after(Kind::Overloaded, wait - allowed));
        }
        Ok(())
    }
}

/// A time to come back around `base`, spread by `random` in 0..1 over one and a half times its length.
pub fn retry_after(base: Millis, random: f64) -> Millis {
    let base = base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Millis((base.0 as f64 * (1.0 + 1.5 * random)) as u64)
}
