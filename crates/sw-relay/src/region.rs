//! The load of other regions.

use indexmap::IndexMap;
use sw_unit::{Millis, RegionId, Time};

use crate::{ServiceId, ServiceLoad};

/// Maximum age of a summary.
const SUMMARY_MAX_AGE: Millis = Millis(2_500);
/// Initial round-trip time to another region, in milliseconds.
const DEFAULT_ROUND_TRIP_MS: f64 = 120.0;
/// Share of its time that an endpoint of the region spends on work that this VM sent since the last summary.
const DRAIN_SHARE: f64 = 0.7;
/// Weight of the newest round trip.
const NEWEST_WEIGHT: f64 = 0.2;

#[derive(Debug, Clone)]
struct LoadSummary {
    load: ServiceLoad,
    received_at: Time,
    /// Unfinished work that this VM sent since the summary, in milliseconds per endpoint.
    sent_ms: f64,
    updated_at: Time,
}

impl LoadSummary {
    fn unfinished_ms(&self, now: Time) -> f64 {
        let done_ms = now.since(self.updated_at).0 as f64 * DRAIN_SHARE;
        (self.sent_ms - done_ms).max(0.0)
    }
}

/// The load of another region, as its VMs report it.
#[derive(Debug, Clone)]
pub struct RemoteRegion {
    services: IndexMap<ServiceId, LoadSummary>,
    round_trip_ms: f64,
}

impl Default for RemoteRegion {
    fn default() -> Self {
        Self {
            services: IndexMap::new(),
            round_trip_ms: DEFAULT_ROUND_TRIP_MS,
        }
    }
}

/// Other regions by id.
pub(crate) type RemoteRegions = IndexMap<RegionId, RemoteRegion>;

impl RemoteRegion {
    /// Records the loads that a VM of the region reported.
    pub fn record_loads(&mut self, loads: Vec<ServiceLoad>, now: Time) {
        for load in loads {
            let summary = LoadSummary {
                load,
                received_at: now,
                sent_ms: 0.0,
                updated_at: now,
            };
            self.services.insert(summary.load.service.clone(), summary);
        }
    }

    /// Records the round-trip time of a call to the region.
    pub fn record_round_trip(&mut self, round_trip: Millis) {
        self.round_trip_ms += NEWEST_WEIGHT * (round_trip.0 as f64 - self.round_trip_ms);
    }

    /// Records work of `work_ms` that this VM sends to the region.
    pub fn on_dispatch(&mut self, service: &ServiceId, work_ms: f64, now: Time) {
        if let Some(summary) = self.services.get_mut(service) {
            summary.sent_ms = summary.unfinished_ms(now) + work_ms / f64::from(summary.load.usable.max(1));
            summary.updated_at = now;
        }
    }

    /// Returns the gap between two events of a stream of `service` in milliseconds; `None` if nothing was reported.
    pub fn gap_ms(&self, service: &ServiceId) -> Option<f64> {
        Some(self.services.get(service)?.load.gap_ms)
    }

    /// Whether the region reported its load recently.
    pub(crate) fn has_recent_summary(&self, now: Time) -> bool {
        let mut summaries = self.services.values();
        summaries.any(|summary| now.since(summary.received_at) < SUMMARY_MAX_AGE)
    }

    /// Returns the milliseconds until the region starts a request to `service`, round trip included; `None` if it has
    /// no usable endpoint or no recent report.
    pub fn wait_ms(&self, service: &ServiceId, now: Time) -> Option<f64> {
        let summary = self.services.get(service)?;
        let fresh = now.since(summary.received_at) < SUMMARY_MAX_AGE && summary.load.usable > 0;
        let wait = summary.load.wait_ms + summary.unfinished_ms(now) + self.round_trip_ms;
        fresh.then_some(wait)
    }
}
