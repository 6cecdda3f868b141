//! How much work callers ask for, by route.
//!
//! Work is counted where callers connect, whether it is then served here, elsewhere or not at all, so the sum over the VMs of a
//! region is what its callers need.

use indexmap::IndexMap;
use sw_unit::{Millis, Time};

use crate::ServiceId;

/// Time constant of the measured demand.
const SPAN: Millis = Millis(800);
/// Largest number of routes that a VM reports; the others have little demand.
const MAX_REPORTED: usize = 12;
/// Largest number of routes whose demand is measured.
const MAX_ROUTES: usize = 256;
/// Demand below which a route is not reported, in milliseconds of work per second.
const MIN_REPORTED_MS: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Demand for a route, as it is reported to other VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteDemand {
    /// Name of the route.
    pub route: String,
    /// The service that runs its requests.
    pub service: ServiceId,
    /// Milliseconds of an endpoint's time that its requests ask for in a second.
    pub work_ms: f64,
}

#[derive(Debug, Clone)]
struct Level {
    service: ServiceId,
    /// Exponentially decaying sum of work, in milliseconds.
    work_ms: f64,
    updated_at: Time,
}

impl Level {
    fn decayed_ms(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).0 as f64;
        self.work_ms * (-age / SPAN.0 as f64).exp()
    }
}

/// Measures the demand of the callers of one VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct DemandMeter {
    routes: IndexMap<String, Level>,
}

impl DemandMeter {
    /// Records a request for `route` that takes `work_ms` of an endpoint's time.
    pub(crate) fn record(&mut self, route: &str, service: &ServiceId, work_ms: f64, now: Time) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.retain(|_, level| now.since(level.updated_at) < SPAN);
            }
            let level = Level {
                service: service.clone(),
                work_ms: 0.0,
                updated_at: now,
            };
            self.routes.insert(route.to_owned(), level);
        }
        if let Some(level) = self.routes.get_mut(route) {
            level.work_ms = level.decayed_ms(now) + work_ms;
            level.updated_at = now;
            level.service = service.clone();
        }
    }

    /// Returns the demand for the routes that ask for most work.
    pub(crate) fn reports(&self, now: Time) -> Vec<RouteDemand> {
        let per_second = MILLIS_PER_SECOND / SPAN.0 as f64;
        let reports = self.routes.iter().map(|(route, level)| RouteDemand {
            route: route.clone(),
            service: level.service.clone(),
            work_ms: level.decayed_ms(now) * per_second,
        });
        let mut reports: Vec<_> = reports.filter(|demand| demand.work_ms >= MIN_REPORTED_MS).collect();
        reports.sort_by(|a, b| b.work_ms.total_cmp(&a.work_ms));
        reports.truncate(MAX_REPORTED);
        reports
    }
}

/// Adds demands of the same routes.
pub(crate) fn sum<'a>(reports: impl Iterator<Item = &'a RouteDemand>) -> Vec<RouteDemand> {
    let mut sums: IndexMap<(&str, &ServiceId), f64> = IndexMap::new();
    for demand in reports {
        *sums.entry((&demand.route, &demand.service)).or_default() += demand.work_ms;
    }
    let sums = sums.into_iter().map(|((route, service), work_ms)| RouteDemand {
        route: route.to_owned(),
        service: service.clone(),
        work_ms,
    });
    sums.collect()
}
