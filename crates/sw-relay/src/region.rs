//! How busy other regions are.

use indexmap::IndexMap;
use sw_unit::{Millis, RegionId, Time};

use crate::{ServiceId, ServiceLoad};

/// A summary older than this is not used.
const SUMMARY_MEMORY: Millis = Millis(2_500);
/// Time to another region and back before any was measured, in milliseconds.
const DEFAULT_ROUND_TRIP_MS: f64 = 120.0;
/// Share of their time in which the endpoints there do what this VM sent since they were heard of.
const DRAIN: f64 = 0.7;
/// Weight of the newest round trip.
const NEWEST: f64 = 0.2;

#[derive(Debug, Clone)]
struct Summary {
    load: ServiceLoad,
    at: Time,
    /// Work that this VM sent there since and that is not done, in milliseconds of each endpoint.
    sent_ms: f64,
    sent_at: Time,
}

impl Summary {
    fn undone_ms(&self, now: Time) -> f64 {
        let done_ms = now.since(self.sent_at).0 as f64 * DRAIN;
        (self.sent_ms - done_ms).max(0.0)
    }
}

/// What the VMs of one other region say.
#[derive(Debug, Clone)]
pub struct RemoteRegion {
    services: IndexMap<ServiceId, Summary>,
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

/// Other regions by name.
pub(crate) type RemoteRegions = IndexMap<RegionId, RemoteRegion>;

impl RemoteRegion {
    /// Records what a VM of the region says.
    pub fn record_loads(&mut self, loads: Vec<ServiceLoad>, now: Time) {
        for load in loads {
            let summary = Summary {
                load,
                at: now,
                sent_ms: 0.0,
                sent_at: now,
            };
            self.services.insert(summary.load.service.clone(), summary);
        }
    }

    /// Records the time of a call to the region and back.
    pub fn record_round_trip(&mut self, round_trip: Millis) {
        self.round_trip_ms += NEWEST * (round_trip.0 as f64 - self.round_trip_ms);
    }

    /// Records work of `prefill_ms` that this VM sends there.
    pub fn on_dispatch(&mut self, service: &ServiceId, prefill_ms: f64, now: Time) {
        if let Some(summary) = self.services.get_mut(service) {
            summary.sent_ms = summary.undone_ms(now) + prefill_ms / f64::from(summary.load.usable.max(1));
            summary.sent_at = now;
        }
    }

    /// Milliseconds between two events of a stream of `service` there; `None` if it is not heard.
    pub fn gap_ms(&self, service: &ServiceId) -> Option<f64> {
        Some(self.services.get(service)?.load.gap_ms)
    }

    /// Whether the region was heard lately.
    pub(crate) fn is_heard(&self, now: Time) -> bool {
        let mut summaries = self.services.values();
        summaries.any(|summary| now.since(summary.at) < SUMMARY_MEMORY)
    }

    /// Milliseconds until a request to `service` is begun there; `None` if it has no usable endpoint or is not heard.
    pub fn wait_ms(&self, service: &ServiceId, now: Time) -> Option<f64> {
        let summary = self.services.get(service)?;
        let fresh = now.since(summary.at) < SUMMARY_MEMORY && summary.load.usable > 0;
        let wait = summary.load.wait_ms + summary.undone_ms(now) + self.round_trip_ms;
        fresh.then_some(wait)
    }
}
