//! Latency model of the endpoints of a service.
//!
//! All values are learned from responses: the prefill time and event time of engines, and the service time of plain
//! services. The prefill time of a prompt has a linear term and a quadratic one, for the attention to earlier tokens. The
//! quadratic one is learned only for services that state how many tokens an event has.

use strum::EnumCount as _;
use sw_unit::{Millis, Tokens};

use crate::Distance;

/// Initial prefill rate in tokens per millisecond.
const DEFAULT_PREFILL_RATE: f64 = 40.0;
/// Bounds of the prefill rate in tokens per millisecond.
const PREFILL_RATE_BOUNDS: (f64, f64) = (2.0, 500.0);
/// Initial service time of a plain request, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 25.0;
/// Time between the end of the prefill and the first event, in milliseconds.
pub(crate) const FIRST_EVENT_MS: f64 = 45.0;
/// Weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.05;
/// Initial number of events per token of the response's limit.
const DEFAULT_EVENTS_PER_TOKEN: f64 = 0.1;
/// Shorter prompts are too inaccurate to measure the prefill rate.
const MIN_OBSERVED_TOKENS: u64 = 1_500;
/// Longer prompts measure the quadratic term of the prefill time; in shorter ones the linear term prevails.
const MAX_LINEAR_TOKENS: u64 = 16_000;
/// Weight of the newest observation of the quadratic term. Long prompts are rare.
const NEWEST_LONG_WEIGHT: f64 = 0.15;
/// Part of the usual weight of a first event that may be late because of other prompts.
const LONGER_PREFILL_SHARE: f64 = 0.1;
/// Largest quadratic part of an observed prefill, as a multiple of its linear part.
const MAX_QUADRATIC_SHARE: f64 = 4.0;
/// Tokens that an engine prefills between two steps of its running streams.
const CHUNK_TOKENS: u64 = 4_096;
/// Initial time between two events of a stream without prefill, in milliseconds.
const DEFAULT_EVENT_MS: f64 = 45.0;
/// Weight of a longer gap in the time between two events without prefill; most gaps contain prefill.
const LONGER_EVENT_WEIGHT: f64 = 0.002;

/// Initial time for which a stream occupies a slot, in milliseconds.
const DEFAULT_STREAM_MS: f64 = 500.0;
/// Time until a transfer starts, in milliseconds.
const TRANSFER_SETUP_MS: f64 = 5.0;
/// Initial factor by which a transfer takes longer than configured, by distance.
const DEFAULT_TRANSFER_SLOWDOWN: [f64; Distance::COUNT] = [1.0, 2.0, 10.0];
/// Bounds of the same factor.
const TRANSFER_SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 100.0);
/// Shorter transfers are too inaccurate to measure the factor, in milliseconds.
const MIN_OBSERVED_TRANSFER_MS: f64 = 5.0;

/// Learned latencies of the endpoints of one service.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    prefill_rate: f64,
    /// Number of prompts observed that measure the prefill rate.
    linear_observations: u32,
    /// Quadratic term of the prefill time, in milliseconds per square of a token.
    quadratic: f64,
    event_ms: f64,
    service_ms: f64,
    /// Number of plain requests observed.
    observations: u32,
    events_per_token: f64,
    transfer_slowdown: [f64; Distance::COUNT],
    stream_ms: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self {
            prefill_rate: DEFAULT_PREFILL_RATE,
            linear_observations: 0,
            quadratic: 0.0,
            event_ms: DEFAULT_EVENT_MS,
            service_ms: DEFAULT_SERVICE_MS,
            observations: 0,
            events_per_token: DEFAULT_EVENTS_PER_TOKEN,
            transfer_slowdown: DEFAULT_TRANSFER_SLOWDOWN,
            stream_ms: DEFAULT_STREAM_MS,
        }
    }
}

impl LatencyModel {
    /// Returns the milliseconds that the prefill of `tokens` takes.
    pub fn prefill_ms(&self, tokens: Tokens) -> f64 {
        tokens.0 as f64 / self.prefill_rate + self.quadratic_ms(tokens)
    }

    /// Returns the milliseconds that the longest chunk of a prompt of `tokens` takes, which is its last full one.
    pub fn chunk_ms(&self, tokens: Tokens) -> f64 {
        let before = tokens.saturating_sub(Tokens(CHUNK_TOKENS));
        self.prefill_ms(tokens) - self.prefill_ms(before)
    }

    /// Returns the milliseconds that a full chunk at the start of a prompt takes.
    pub fn first_chunk_ms(&self) -> f64 {
        self.prefill_ms(Tokens(CHUNK_TOKENS))
    }

    /// Returns the milliseconds between two events of a stream on an engine without prefill.
    pub fn event_ms(&self) -> f64 {
        self.event_ms
    }

    /// Records the gap between two events of a stream. Gaps that contain prefill raise the event time only slowly.
    pub fn record_gap(&mut self, gap: Millis) {
        let gap_ms = (gap.0 as f64).clamp(1.0, 2.0 * self.event_ms);
        let weight = if gap_ms < self.event_ms {
            NEWEST_WEIGHT
        } else {
            LONGER_EVENT_WEIGHT
        };
        self.event_ms += weight * (gap_ms - self.event_ms);
    }

    fn quadratic_ms(&self, tokens: Tokens) -> f64 {
        let tokens = tokens.0 as f64;
        self.quadratic * tokens * tokens
    }

    /// Returns the milliseconds that a transfer takes whose configured duration is `nominal_ms`.
    pub fn transfer_ms(&self, nominal_ms: f64, distance: Distance) -> f64 {
        TRANSFER_SETUP_MS + nominal_ms * self.transfer_slowdown[distance as usize]
    }

    /// Returns the milliseconds that a plain request takes.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Returns the milliseconds for which a stream occupies a slot.
    pub fn stream_ms(&self) -> f64 {
        self.stream_ms
    }

    /// Records a stream whose prefill took `prefill_ms` and that ended `streamed` after its first event.
    pub fn record_stream(&mut self, prefill_ms: f64, streamed: Millis) {
        let observed = FIRST_EVENT_MS + prefill_ms + streamed.0 as f64;
        self.stream_ms += NEWEST_WEIGHT * (observed - self.stream_ms);
    }

    /// Returns the expected number of events of a stream of up to `tokens`.
    pub fn expected_events(&self, tokens: Tokens) -> f64 {
        tokens.0 as f64 * self.events_per_token
    }

    /// Records that a stream of up to `tokens` had `events`.
    pub fn record_events(&mut self, tokens: Tokens, events: u32) {
        if tokens.0 > 0 {
            let observed = f64::from(events) / tokens.0 as f64;
            self.events_per_token += NEWEST_WEIGHT * (observed - self.events_per_token);
        }
    }

    /// Records that the first event arrived after `elapsed` on an engine without a queue that processed `tokens`.
    ///
    /// If an event has several tokens, the prefill of later prompts may precede the first one. A time that is longer than
    /// expected has a smaller weight then.
    pub fn record_prefill(&mut self, tokens: Tokens, elapsed: Millis, tokens_per_event: u32) {
        if tokens.0 < MIN_OBSERVED_TOKENS {
            return;
        }
        let prefill_ms = (elapsed.0 as f64 - FIRST_EVENT_MS).max(1.0);
        let is_long = tokens.0 > MAX_LINEAR_TOKENS;
        let includes_others = tokens_per_event > 1 && prefill_ms > self.prefill_ms(tokens);
        let share = if includes_others { LONGER_PREFILL_SHARE } else { 1.0 };
        if is_long && tokens_per_event > 1 && self.linear_observations > 0 {
            self.record_quadratic(tokens, prefill_ms, share);
            return;
        }
        let linear_ms = (prefill_ms - self.quadratic_ms(tokens)).max(1.0);
        let (low, high) = PREFILL_RATE_BOUNDS;
        let observed = (tokens.0 as f64 / linear_ms).clamp(low, high);
        self.prefill_rate += share * NEWEST_WEIGHT * (observed - self.prefill_rate);
        if !is_long {
            self.linear_observations = self.linear_observations.saturating_add(1);
        }
    }

    /// Records that the prefill of a long prompt took `prefill_ms`, with a share of the usual weight.
    ///
    /// The observation is bounded in proportion to the linear part, because a prompt may have waited for others.
    fn record_quadratic(&mut self, tokens: Tokens, prefill_ms: f64, share: f64) {
        let linear_ms = tokens.0 as f64 / self.prefill_rate;
        let excess_ms = (prefill_ms - linear_ms).clamp(-linear_ms, linear_ms * MAX_QUADRATIC_SHARE);
        let observed = excess_ms / (tokens.0 as f64 * tokens.0 as f64);
        self.quadratic = (self.quadratic + share * NEWEST_LONG_WEIGHT * (observed - self.quadratic)).max(0.0);
    }

    /// Records that the first event arrived after `elapsed` on an engine without a queue that processed `tokens` and
    /// made a transfer with a configured duration of `nominal_ms`.
    pub fn record_transfer(&mut self, tokens: Tokens, nominal_ms: f64, distance: Distance, elapsed: Millis) {
        if nominal_ms < MIN_OBSERVED_TRANSFER_MS {
            return;
        }
        let transfer_ms = elapsed.0 as f64 - FIRST_EVENT_MS - self.prefill_ms(tokens) - TRANSFER_SETUP_MS;
        let (low, high) = TRANSFER_SLOWDOWN_BOUNDS;
        let observed = (transfer_ms / nominal_ms).clamp(low, high);
        let slowdown = &mut self.transfer_slowdown[distance as usize];
        *slowdown += NEWEST_WEIGHT * (observed - *slowdown);
    }

    /// Records that a plain request took `elapsed` at an endpoint without a queue.
    ///
    /// The first observations have a larger weight, because nothing is known before them.
    pub fn record_service_time(&mut self, elapsed: Millis) {
        self.observations = self.observations.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.observations));
        self.service_ms += weight * (elapsed.0 as f64 - self.service_ms);
    }
}
