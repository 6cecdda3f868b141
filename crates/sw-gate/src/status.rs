//! Status for operators.

use sw_route::Policy;
use sw_unit::{DomainId, EndpointId, Time};

use crate::Gate;

/// State of an endpoint of the local domain, as this VM sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Estimated number of running and queued requests.
    pub load: f64,
    /// Number of slots that may be used now.
    pub slots: f64,
    /// Whether the estimate is based on a fresh report.
    pub has_fresh_report: bool,
    /// Whether it is in backoff after failed connections.
    pub in_backoff: bool,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
}

impl<P: Policy> Gate<P> {
    /// Returns the state of the endpoints of the local domain.
    pub fn endpoint_status(&self, now: Time) -> Vec<EndpointStatus> {
        let Some(version) = &self.version else {
            return Vec::new();
        };
        let domain = &self.members.local().domain;
        let vms = self.members.local_live_count(now);
        let local = version
            .fleet
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.domain == *domain);
        let status = local.map(|(id, endpoint)| {
            let estimate = self.load_tracker.estimate(id, endpoint.slots, vms, now);
            EndpointStatus {
                id: id.clone(),
                load: estimate.load,
                slots: estimate.slots,
                has_fresh_report: estimate.from_report,
                in_backoff: self.load_tracker.is_in_backoff(id, now),
                leaving: self.leaving.contains(id, self.load_tracker.incarnation(id)),
            }
        });
        status.collect()
    }

    /// Returns the remote domains with a fresh summary, and the number of models in it.
    pub fn domain_status(&self, now: Time) -> Vec<(DomainId, usize)> {
        self.load_tracker
            .summaries(now)
            .map(|(domain, _, models)| (domain.clone(), models.len()))
            .collect()
    }

    /// Returns the number of records of non-idempotent requests.
    pub fn record_count(&self) -> usize {
        self.ticket_registry.len()
    }
}
