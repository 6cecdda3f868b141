//! The speed of one endpoint, relative to that of its service.
//!
//! Two factors on the time that work takes are kept. Neighbours on the same machine slow an endpoint down for about half
//! a second at a time, which it may report with its responses: a reported factor loses its weight within a few hundred
//! milliseconds. Besides, machines differ lastingly, which is learned from observed times. What a report explains is not
//! learned as lasting. The factor of an endpoint that never reported one is exactly 1.

use sw_unit::{EndpointId, Millis, Time, Tokens};

use crate::{Attempt, Relay, ServiceId};

/// Time in which the weight of a report falls to 1/e, because neighbours come and go within half a second.
const REPORT_TIME_CONSTANT: Millis = Millis(300);
/// Age at which a report is ignored.
const REPORT_MAX_AGE: Millis = Millis(1_500);
/// Bounds of a reported factor.
const REPORTED_BOUNDS: (f64, f64) = (0.25, 10.0);
/// Bounds of the lasting factor.
const LASTING_BOUNDS: (f64, f64) = (0.7, 1.6);
/// Weight of the newest observation in the lasting factor.
const NEWEST_WEIGHT: f64 = 0.05;
/// Bounds of one observation. Longer times are due to a queue.
const OBSERVATION_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Deviation from 1 up to which observations do not change estimates.
const DEAD_BAND: f64 = 0.05;
/// Time without observations in which the deviation of the lasting factor from 1 falls to 1/e.
const LASTING_TIME_CONSTANT: Millis = Millis(60_000);
/// Part of the usual weight of a time that may contain the work of other requests.
const LONGER_SHARE: f64 = 0.1;
/// Percent that an endpoint reports if work takes as long as usual.
const USUAL_PERCENT: f64 = 100.0;

/// Factors on the times of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSpeed {
    reported: Option<(f64, Time)>,
    /// Learned factor, and when the last observation was made.
    lasting: f64,
    observed_at: Time,
}

impl Default for EndpointSpeed {
    fn default() -> Self {
        Self {
            reported: None,
            lasting: 1.0,
            observed_at: Time(0),
        }
    }
}

impl EndpointSpeed {
    /// Records that the endpoint reported that work takes `percent` of the usual time.
    pub fn on_report(&mut self, percent: u32, now: Time) {
        if percent == 0 {
            return;
        }
        let (low, high) = REPORTED_BOUNDS;
        let factor = (f64::from(percent) / USUAL_PERCENT).clamp(low, high);
        self.reported = Some((factor, now));
    }

    /// Records that work took `observed_ms` that was expected to take `expected_ms` on an endpoint of ordinary speed.
    ///
    /// A report that applied during the work explains its part of the difference.
    /// Endpoints without reports are not observed. If the time may include the work of other requests, longer times have a
    /// smaller weight.
    pub fn on_observed(&mut self, observed_ms: f64, expected_ms: f64, may_include_others: bool, now: Time) {
        if self.reported.is_none() || expected_ms <= 0.0 || observed_ms <= 0.0 {
            return;
        }
        let (low, high) = OBSERVATION_BOUNDS;
        let observed = (observed_ms / expected_ms / self.momentary(now)).clamp(low, high);
        let before = self.lasting(now);
        let share = if may_include_others && observed > before {
            LONGER_SHARE
        } else {
            1.0
        };
        let (low, high) = LASTING_BOUNDS;
        self.lasting = (before + share * NEWEST_WEIGHT * (observed - before)).clamp(low, high);
        self.observed_at = now;
    }

    /// Returns the factor on the times of the endpoint.
    pub fn factor(&self, now: Time) -> f64 {
        let lasting = self.lasting(now);
        let lasting = if (lasting - 1.0).abs() < DEAD_BAND {
            1.0
        } else {
            lasting
        };
        lasting * self.momentary(now)
    }

    /// Returns the factor that a report states, which approaches 1 with its age.
    pub fn momentary(&self, now: Time) -> f64 {
        let fresh = self.reported.filter(|(_, at)| now.since(*at) < REPORT_MAX_AGE);
        fresh.map_or(1.0, |(factor, at)| {
            let weight = (-(now.since(at).0 as f64) / REPORT_TIME_CONSTANT.0 as f64).exp();
            1.0 + (factor - 1.0) * weight
        })
    }

    /// Returns the percent that a fresh report states now; `None` without one.
    pub fn reported_percent(&self, now: Time) -> Option<u32> {
        self.reported.filter(|(_, at)| now.since(*at) < REPORT_MAX_AGE)?;
        Some((self.momentary(now) * USUAL_PERCENT).round() as u32)
    }

    fn lasting(&self, now: Time) -> f64 {
        let elapsed_ms = now.since(self.observed_at).0 as f64;
        1.0 + (self.lasting - 1.0) * (-elapsed_ms / LASTING_TIME_CONSTANT.0 as f64).exp()
    }
}

impl Relay {
    /// Returns the factor on the times of an endpoint.
    pub(crate) fn speed_factor(&self, endpoint: &EndpointId, now: Time) -> f64 {
        self.loads.get(endpoint).map_or(1.0, |load| load.speed.factor(now))
    }

    /// Returns the milliseconds that an engine takes for the prefill of `tokens`.
    pub(crate) fn endpoint_prefill_ms(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        tokens: Tokens,
        now: Time,
    ) -> f64 {
        self.prefill_ms(service, tokens) * self.speed_factor(endpoint, now)
    }

    /// Returns the milliseconds that a plain request takes at an endpoint without a queue.
    pub(crate) fn endpoint_service_ms(&self, service: &ServiceId, endpoint: &EndpointId, now: Time) -> f64 {
        self.service_ms(service) * self.speed_factor(endpoint, now)
    }

    /// Returns how long work takes at an endpoint at this moment in percent, as it reported to this VM; `None` if it did not
    /// lately.
    pub fn reported_slowdown(&self, endpoint: &EndpointId, now: Time) -> Option<u32> {
        let load = self.loads.get(endpoint)?;
        load.speed.reported_percent(now)
    }

    /// Records how long work takes at an endpoint at this moment in percent, as it reported to another VM.
    pub fn on_peer_slowdown(&mut self, endpoint: &EndpointId, percent: u32, now: Time) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.speed.on_report(percent, now);
        }
    }

    /// Returns the time that `elapsed` would have been without the slowdown that the endpoint of an attempt reported.
    pub(crate) fn without_slowdown(&self, attempt: &Attempt, elapsed: Millis, now: Time) -> Millis {
        let load = self.loads.get(&attempt.endpoint.id);
        let factor = load.map_or(1.0, |load| load.speed.momentary(now));
        Millis((elapsed.0 as f64 / factor) as u64)
    }

    /// Compares the time of an attempt without a queue with that of an endpoint of ordinary speed.
    pub(crate) fn observe_speed(&mut self, attempt: &Attempt, expected_ms: f64, may_include_others: bool, now: Time) {
        let observed_ms = attempt.age(now).0 as f64;
        if let Some(load) = self.loads.get_mut(&attempt.endpoint.id) {
            load.speed
                .on_observed(observed_ms, expected_ms, may_include_others, now);
        }
    }
}
