//! Estimates of when an endpoint starts a request and when its response ends.
//!
//! An engine starts a prompt when the queued prefill is done and a slot is free. Cache transfers run in parallel.

use sw_unit::{EndpointId, Time, Tokens};

use crate::latency::FIRST_EVENT_MS;
use crate::{AdmittedRequest, EndpointEntry, EndpointTracker, LatencyModel, PrefillPlan, Relay, ServiceId};

/// Share of the remaining time within which a response should end. An engine that is busy with prefill generates few
/// tokens.
const END_SHARE: f64 = 0.7;
/// Delay per queued request at an engine without a coordinator, in milliseconds.
const QUEUED_REQUEST_MS: f64 = 60.0;

impl Relay {
    /// Returns the milliseconds that an engine of a service takes for the prefill of `tokens`.
    pub(crate) fn prefill_ms(&self, service: &ServiceId, tokens: Tokens) -> f64 {
        self.latency_model(service).prefill_ms(tokens)
    }

    /// Returns the latency model of a service.
    pub(crate) fn latency_model(&self, service: &ServiceId) -> LatencyModel {
        self.models.get(service).copied().unwrap_or_default()
    }

    /// Returns the milliseconds until an endpoint of a plain service responds.
    pub(crate) fn response_ms(&self, service: &ServiceId, endpoint: &EndpointEntry, now: Time) -> f64 {
        let service_ms = self.endpoint_service_ms(service, &endpoint.id, now);
        let Some(load) = self.loads.get(&endpoint.id) else {
            return service_ms;
        };
        let queued_ms = |running: u32| {
            let rounds = (f64::from(running) + 1.0) / f64::from(endpoint.slots.max(1));
            service_ms * rounds.max(1.0)
        };
        if self.is_coordinator_of(&endpoint.id) {
            return queued_ms(load.accounted_running());
        }
        queued_ms(load.total_running(now)).max(service_ms + load.backlog_ms(now))
    }

    /// Returns the same for a request that asks this VM for a slot. VMs that know different members may ask one that does not
    /// count itself as the coordinator; what it granted counts all the same.
    pub(crate) fn granted_response_ms(&self, service: &ServiceId, endpoint: &EndpointEntry, now: Time) -> f64 {
        let response_ms = self.response_ms(service, endpoint, now);
        let accounted = self
            .loads
            .get(&endpoint.id)
            .map_or(0, EndpointTracker::accounted_running);
        let rounds = (f64::from(accounted) + 1.0) / f64::from(endpoint.slots.max(1));
        response_ms.max(self.service_ms(service) * rounds)
    }

    /// Returns the milliseconds that a request to a plain service takes without a queue.
    pub(crate) fn service_ms(&self, service: &ServiceId) -> f64 {
        self.latency_model(service).service_ms()
    }

    /// Returns the milliseconds until an engine starts a new prompt.
    pub(crate) fn queue_ms(&self, service: &ServiceId, endpoint: &EndpointId, is_urgent: bool, now: Time) -> f64 {
        if self.is_coordinator_of(endpoint) {
            return self.account_queue_ms(service, endpoint, is_urgent, now);
        }
        self.loads.get(endpoint).map_or(0.0, |load| load.backlog_ms(now))
    }

    /// Returns the same for an engine that this VM coordinates, where the queued prefill must be done and a slot free.
    /// An urgent prompt is not held back by the prefill budget.
    pub(crate) fn account_queue_ms(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        is_urgent: bool,
        now: Time,
    ) -> f64 {
        let Some(load) = self.loads.get(endpoint) else {
            return 0.0;
        };
        let budget_wait_ms = if is_urgent { load.budget_wait_ms(now) } else { 0.0 };
        (load.backlog_ms(now) - budget_wait_ms).max(self.slot_wait_ms(service, load))
    }

    /// Returns the milliseconds until a slot is free at an engine that this VM coordinates.
    pub(crate) fn slot_wait_ms(&self, service: &ServiceId, load: &EndpointTracker) -> f64 {
        let engine = self.service(service).and_then(|service| service.engine);
        let slots = engine.map_or(u32::MAX, |engine| engine.slots.max(1));
        let excess = load.accounted_running().saturating_add(1).saturating_sub(slots);
        f64::from(excess) * self.latency_model(service).stream_ms() / f64::from(slots)
    }

    /// Returns the milliseconds until the first event of a prompt with `queue_ms` of work in front of it at an engine
    /// that executes `plan` for it.
    pub(crate) fn first_event_ms(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        plan: PrefillPlan,
        queue_ms: f64,
        now: Time,
    ) -> f64 {
        let load = self.loads.get(endpoint);
        let waiting_ms = if self.is_coordinated(endpoint) {
            0.0
        } else {
            load.map_or(0.0, |load| f64::from(load.waiting(now)) * QUEUED_REQUEST_MS)
        };
        let ready_ms = queue_ms.max(self.plan_transfer_ms(service, plan));
        ready_ms + waiting_ms + self.endpoint_prefill_ms(service, endpoint, plan.prefill, now) + FIRST_EVENT_MS
    }

    /// Returns the milliseconds by which the end of a response that starts after `expected_ms` is expected to exceed
    /// [`END_SHARE`] of the remaining time; 0 for a plain service.
    pub(crate) fn overrun_ms(&self, admitted: &AdmittedRequest, expected_ms: f64, gap_ms: f64, now: Time) -> f64 {
        let Some(prompt) = &admitted.prompt else {
            return 0.0;
        };
        let events = self
            .latency_model(&admitted.service)
            .expected_events(prompt.expected_output());
        let ends_ms = expected_ms + (events - 1.0).max(0.0) * gap_ms;
        (ends_ms - admitted.remaining(now).0 as f64 * END_SHARE).max(0.0)
    }

    /// Returns the milliseconds of the prefill without cached tokens, or of a plain request without a queue.
    pub(crate) fn uncached_ms(&self, admitted: &AdmittedRequest) -> f64 {
        match &admitted.prompt {
            Some(prompt) => self.prefill_ms(&admitted.service, prompt.input),
            None => self.service_ms(&admitted.service),
        }
    }
}
