//! Rejection limits that endpoints name in their responses.
//!
//! A brittle endpoint names how many requests it can reject in a second for lack of room; with more it fails. It says so in
//! all its responses while that holds. What VMs know of it is kept and exchanged like rate limits (`rate_limit.rs`). As the
//! endpoints of a service are brittle together, one of which nothing is known yet counts as brittle like the others.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Rate, Time};

use crate::{EndpointEntry, RateLimitState, RejectionLimitChange, RejectionLimitStatement, Relay, ServiceId};

/// The smallest rejection limit that an endpoint of each service names, with the endpoint; empty while none is brittle.
pub(crate) type BrittleServices = IndexMap<ServiceId, (EndpointId, Rate)>;

impl Relay {
    /// Records what a response of an endpoint says about its rejection limit. `sent_at` is when the request was sent;
    /// `None` if the response may not be the endpoint's own answer to it, which then ends no limit.
    pub fn on_rejection_limit_statement(
        &mut self,
        endpoint: &EndpointEntry,
        statement: RejectionLimitStatement,
        sent_at: Option<Time>,
        now: Time,
    ) {
        if self.rejection_limits.on_response(endpoint, statement, sent_at, now) {
            self.update_brittle_services();
        }
    }

    /// Returns the changes of the rejection limits since the last call, to be logged.
    pub fn take_rejection_limit_changes(&mut self) -> Vec<RejectionLimitChange> {
        self.rejection_limits.take_changes()
    }

    /// Returns the number of registered endpoints with a rejection limit.
    pub fn brittle_endpoints(&self) -> usize {
        let limited = self.rejection_limits.limited();
        limited
            .filter(|(endpoint, _)| self.registry.get(endpoint).is_some())
            .count()
    }

    /// Returns the smallest rejection limit that a usable endpoint of a service names; `None` if none is brittle.
    pub fn rejection_limit(&self, service: &ServiceId) -> Option<Rate> {
        let usable = self.registry.usable(service);
        let named = usable.filter_map(|endpoint| self.rejection_limits.rate(&endpoint.entry));
        named.reduce(|least, limit| if limit.0 < least.0 { limit } else { least })
    }

    /// Applies what another VM knows of a rejection limit.
    pub(crate) fn on_peer_rejection_limit(
        &mut self,
        endpoint: &EndpointId,
        state: RateLimitState,
        transit: Option<sw_unit::Millis>,
        now: Time,
    ) {
        if self.rejection_limits.on_peer(endpoint, state, transit, now) {
            self.update_brittle_services();
        }
    }

    /// Updates which services are brittle.
    pub(crate) fn update_brittle_services(&mut self) {
        let mut services = BrittleServices::new();
        for (endpoint, _) in self.rejection_limits.limited() {
            let Some(known) = self.registry.get(endpoint) else {
                continue;
            };
            let Some(limit) = self.rejection_limits.rate(&known.entry) else {
                continue;
            };
            let named = (endpoint.clone(), limit);
            let least = services
                .entry(known.entry.service.clone())
                .or_insert_with(|| named.clone());
            if limit.0 < least.1.0 {
                *least = named;
            }
        }
        self.brittle_services = services;
    }

    /// Returns the rejection limit of an endpoint: what it named itself, or else the smallest of its service.
    pub(crate) fn endpoint_rejection_limit(&self, endpoint: &EndpointEntry) -> Option<Rate> {
        if self.brittle_services.is_empty() {
            return None;
        }
        if self.rejection_limits.has_stated(endpoint) {
            return self.rejection_limits.rate(endpoint);
        }
        self.brittle_services.get(&endpoint.service).map(|(_, limit)| *limit)
    }

    /// Returns what this VM knows of the rejection limit of an endpoint; `None` if it never heard of one.
    pub(crate) fn rejection_limit_state(&self, endpoint: &EndpointEntry, now: Time) -> Option<RateLimitState> {
        if self.rejection_limits.has_stated(endpoint) {
            return self.rejection_limits.state(&endpoint.id, now);
        }
        let (named_by, limit) = self.brittle_services.get(&endpoint.service)?;
        Some(RateLimitState {
            incarnation: endpoint.incarnation,
            rate: Some(*limit),
            age: self.rejection_limits.state(named_by, now)?.age,
        })
    }
}
