//! What operators are shown.

use sw_route::Policy;
use sw_unit::{DomainId, EndpointId, Time};

use crate::Gate;

/// How an endpoint of the own domain is seen.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint.
    pub id: EndpointId,
    /// Requests running or queued, as estimated.
    pub load: f64,
    /// Slots that may be used now.
    pub slots: f64,
    /// Whether a fresh report is behind it.
    pub has_fresh_report: bool,
    /// Whether it is left alone after failures to connect.
    pub in_backoff: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl<P: Policy> Gate<P> {
    /// How the endpoints of the own domain are seen.
    pub fn endpoint_status(&self, now: Time) -> Vec<EndpointStatus> {
        let Some(version) = &self.version else {
            return Vec::new();
        };
        let domain = &self.members.local().domain;
        let vms = self.members.local_live_count(now);
        let own = version
            .fleet
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.domain == *domain);
        let status = own.map(|(id, endpoint)| {
            let estimate = self.loads.estimate(id, endpoint.slots, vms, now);
            EndpointStatus {
                id: id.clone(),
                load: estimate.load,
                slots: estimate.slots,
                has_fresh_report: estimate.from_report,
                in_backoff: self.loads.is_in_backoff(id, now),
                leaving: self.leaving.contains(id, self.loads.incarnation(id)),
            }
        });
        status.collect()
    }

    /// Other domains with a fresh summary, and how many models it has.
    pub fn domain_status(&self, now: Time) -> Vec<(DomainId, usize)> {
        self.loads
            .summaries(now)
            .map(|(domain, _, models)| (domain.clone(), models.len()))
            .collect()
    }

    /// Records of non-idempotent requests that are kept.
    pub fn record_count(&self) -> usize {
        self.once.len()
    }
}
