//! How fast the endpoints of a service are.
//!
//! All figures are learned from answers: tokens of a prompt that are read in a millisecond, and for plain services
//! the time that a request takes.

use strum::EnumCount as _;
use sw_unit::{Millis, Tokens};

use crate::Distance;

/// Tokens read in a millisecond before any answer was seen.
const DEFAULT_READ_RATE: f64 = 40.0;
/// Bounds of the tokens that are read in a millisecond.
const READ_RATE_BOUNDS: (f64, f64) = (2.0, 500.0);
/// Time that a plain request takes before any answer was seen, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 25.0;
/// Time between reading the prompt and the first event, in milliseconds.
pub(crate) const FIRST_EVENT_MS: f64 = 45.0;
/// Weight of the newest observation.
const NEWEST: f64 = 0.05;
/// Events of a stream for each token that it may have, before any answer was seen.
const DEFAULT_EVENTS_PER_TOKEN: f64 = 0.1;
/// Prompts shorter than this say little about the speed of reading.
const MIN_OBSERVED_TOKENS: u64 = 1_500;

/// Time for which a stream takes a slot before any ended, in milliseconds.
const DEFAULT_RUN_MS: f64 = 500.0;
/// Time until a copy begins, in milliseconds.
const COPY_SETUP_MS: f64 = 5.0;
/// How much longer a copy takes than the configuration says, before any was seen, by distance.
const DEFAULT_COPY_STRETCH: [f64; Distance::COUNT] = [1.0, 2.0, 10.0];
/// Bounds of the same.
const COPY_STRETCH_BOUNDS: (f64, f64) = (0.5, 100.0);
/// Copies shorter than this say little, in milliseconds.
const MIN_OBSERVED_COPY_MS: f64 = 5.0;

/// Learned speed of the endpoints of one service.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    read_rate: f64,
    service_ms: f64,
    /// Plain requests that were observed.
    answers: u32,
    events_per_token: f64,
    copy_stretch: [f64; Distance::COUNT],
    run_ms: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self {
            read_rate: DEFAULT_READ_RATE,
            service_ms: DEFAULT_SERVICE_MS,
            answers: 0,
            events_per_token: DEFAULT_EVENTS_PER_TOKEN,
            copy_stretch: DEFAULT_COPY_STRETCH,
            run_ms: DEFAULT_RUN_MS,
        }
    }
}

impl LatencyModel {
    /// Milliseconds that an engine takes to read `tokens`.
    pub fn prefill_ms(&self, tokens: Tokens) -> f64 {
        tokens.0 as f64 / self.read_rate
    }

    /// Milliseconds that a copy takes that takes `nominal_ms` by the configuration.
    pub fn transfer_ms(&self, nominal_ms: f64, distance: Distance) -> f64 {
        COPY_SETUP_MS + nominal_ms * self.copy_stretch[distance as usize]
    }

    /// Milliseconds that a plain request takes.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Milliseconds for which a stream takes a slot.
    pub fn stream_ms(&self) -> f64 {
        self.run_ms
    }

    /// Records that a stream that took `prefill_ms` to read ended `run` after its first event.
    pub fn record_stream(&mut self, prefill_ms: f64, run: Millis) {
        let seen = FIRST_EVENT_MS + prefill_ms + run.0 as f64;
        self.run_ms += NEWEST * (seen - self.run_ms);
    }

    /// Events of a stream that may have `tokens`.
    pub fn expected_events(&self, tokens: Tokens) -> f64 {
        tokens.0 as f64 * self.events_per_token
    }

    /// Records that a stream that might have had `tokens` had `events`.
    pub fn record_events(&mut self, tokens: Tokens, events: u32) {
        if tokens.0 > 0 {
            let seen = f64::from(events) / tokens.0 as f64;
            self.events_per_token += NEWEST * (seen - self.events_per_token);
        }
    }

    /// Records that the first event came after `taken`, with `tokens` read on an engine without a queue.
    pub fn record_prefill(&mut self, tokens: Tokens, taken: Millis) {
        if tokens.0 < MIN_OBSERVED_TOKENS {
            return;
        }
        let reading = (taken.0 as f64 - FIRST_EVENT_MS).max(1.0);
        let (low, high) = READ_RATE_BOUNDS;
        let seen = (tokens.0 as f64 / reading).clamp(low, high);
        self.read_rate += NEWEST * (seen - self.read_rate);
    }

    /// Records that the first event came after `taken` on an engine without a queue that read `tokens` and made a copy
    /// that takes `nominal_ms` by the configuration.
    pub fn record_transfer(&mut self, tokens: Tokens, nominal_ms: f64, distance: Distance, taken: Millis) {
        if nominal_ms < MIN_OBSERVED_COPY_MS {
            return;
        }
        let transfer_ms = taken.0 as f64 - FIRST_EVENT_MS - self.prefill_ms(tokens) - COPY_SETUP_MS;
        let (low, high) = COPY_STRETCH_BOUNDS;
        let seen = (transfer_ms / nominal_ms).clamp(low, high);
        let stretch = &mut self.copy_stretch[distance as usize];
        *stretch += NEWEST * (seen - *stretch);
    }

    /// Records that a plain request took `taken` at an endpoint without a queue.
    ///
    /// The first ones count for more, as nothing is known before.
    pub fn record_service_time(&mut self, taken: Millis) {
        self.answers = self.answers.saturating_add(1);
        let weight = NEWEST.max(1.0 / f64::from(self.answers));
        self.service_ms += weight * (taken.0 as f64 - self.service_ms);
    }
}
