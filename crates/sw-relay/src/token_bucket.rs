//! Token bucket for an endpoint with a rate limit, kept by its coordinator.

use sw_unit::{Millis, Rate, Time};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Tokens that a full bucket holds at least.
const MIN_CAPACITY: f64 = 2.0;
/// Time in seconds whose tokens a full bucket holds, if they are more.
const CAPACITY_SECONDS: f64 = 0.25;
/// Smallest rate. An endpoint that names less still gets a request now and then, whose response tells if the limit has
/// ended.
const MIN_RATE: Rate = Rate(0.1);
/// Tokens that are left to urgent requests.
const URGENT_RESERVE: f64 = 0.5;
/// Share of the rate before the coordinator is settled; its predecessor may still grant at the full rate.
const UNSETTLED_SHARE: f64 = 0.5;

/// Rate at which a bucket is refilled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RefillRate {
    /// The limit that the endpoint names.
    pub(crate) limit: Rate,
    /// The share of the limit that this coordinator may grant.
    pub(crate) share: f64,
    /// When no earlier coordinator grants any more.
    pub(crate) settled_at: Time,
}

impl RefillRate {
    fn per_ms(self) -> f64 {
        self.limit.0.max(MIN_RATE.0) * self.share / MILLIS_PER_SECOND
    }

    fn capacity(self) -> f64 {
        (self.limit.0 * CAPACITY_SECONDS).max(MIN_CAPACITY)
    }

    /// Returns the tokens that are added between two points in time.
    fn tokens(self, from: Time, to: Time) -> f64 {
        let settled_at = self.settled_at.clamp(from, to.max(from));
        let unsettled_ms = settled_at.since(from).0 as f64 * UNSETTLED_SHARE;
        let settled_ms = to.since(settled_at).0 as f64;
        self.per_ms() * (unsettled_ms + settled_ms)
    }
}

/// Returns the longest time between two tokens of a limit.
pub(crate) fn token_interval_ms(limit: Rate) -> f64 {
    MILLIS_PER_SECOND / limit.0.max(MIN_RATE.0)
}

/// Tokens for the requests to one endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one for this request.
    pub(crate) fn take(&mut self, rate: RefillRate, urgent: bool, now: Time) -> Result<(), Millis> {
        self.refill(rate, now);
        let wait = self.wait(rate, urgent, now);
        if wait > Millis(0) {
            return Err(wait);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Returns the time until there is a token for a request.
    pub(crate) fn wait(mut self, rate: RefillRate, urgent: bool, now: Time) -> Millis {
        self.refill(rate, now);
        let needed = if urgent { 1.0 } else { 1.0 + URGENT_RESERVE };
        let missing = needed - self.tokens;
        if missing <= 0.0 {
            return Millis(0);
        }
        Millis((missing / rate.per_ms()).ceil().max(1.0) as u64)
    }

    fn refill(&mut self, rate: RefillRate, now: Time) {
        let added = rate.tokens(self.updated_at, now);
        self.tokens = (self.tokens + added).min(rate.capacity());
        self.updated_at = self.updated_at.max(now);
    }
}
