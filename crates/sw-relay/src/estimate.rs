//! What is expected of an endpoint: when it begins with a request, and when the answer ends.
//!
//! An engine begins with a prompt when it has read what is ahead and a slot is free. Copies run beside that.

use sw_unit::{EndpointId, Time, Tokens};

use crate::latency::FIRST_EVENT_MS;
use crate::{AdmittedRequest, EndpointEntry, EndpointTracker, LatencyModel, PrefillPlan, Relay, ServiceId};

/// Part of the time that is left within which an answer should end; engines that are busy reading make few tokens.
const END_SHARE: f64 = 0.7;
/// Time that each waiting request adds at an engine of whose queue no VM keeps account, in milliseconds.
const WAITING_MS: f64 = 60.0;
impl Relay {
    /// Milliseconds that an engine of a service takes to read `tokens`.
    pub(crate) fn prefill_ms(&self, service: &ServiceId, tokens: Tokens) -> f64 {
        self.model(service).prefill_ms(tokens)
    }

    /// How fast the endpoints of a service are.
    pub(crate) fn model(&self, service: &ServiceId) -> LatencyModel {
        self.models.get(service).copied().unwrap_or_default()
    }

    /// Milliseconds until the answer of a plain service.
    pub(crate) fn response_ms(&self, service: &ServiceId, endpoint: &EndpointEntry, now: Time) -> f64 {
        let service_ms = self.service_ms(service);
        let Some(load) = self.loads.get(&endpoint.id) else {
            return service_ms;
        };
        let queued_ms = |running: u32| {
            let ahead = f64::from(running + 1) / f64::from(endpoint.slots.max(1));
            service_ms * ahead.max(1.0)
        };
        if self.is_coordinator_of(&endpoint.id) {
            return queued_ms(load.accounted_running());
        }
        queued_ms(load.total_running(now)).max(service_ms + load.backlog_ms(now))
    }

    /// Milliseconds that a request to a plain service takes without a queue.
    pub(crate) fn service_ms(&self, service: &ServiceId) -> f64 {
        self.model(service).service_ms()
    }

    /// Milliseconds until an engine begins with a new prompt.
    pub(crate) fn queue_ms(&self, service: &ServiceId, endpoint: &EndpointId, is_urgent: bool, now: Time) -> f64 {
        if self.is_coordinator_of(endpoint) {
            return self.account_queue_ms(service, endpoint, is_urgent, now);
        }
        self.loads.get(endpoint).map_or(0.0, |load| load.backlog_ms(now))
    }

    /// The same by the account of a VM that grants the places there: the engine has read what is ahead, and a slot is
    /// free. An urgent prompt need not leave the engine time to answer others.
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
        let spared_ms = if is_urgent { load.spared_ms(now) } else { 0.0 };
        (load.backlog_ms(now) - spared_ms).max(self.slot_wait_ms(service, load))
    }

    /// Milliseconds until a slot of an engine is free whose places this VM grants.
    pub(crate) fn slot_wait_ms(&self, service: &ServiceId, load: &EndpointTracker) -> f64 {
        let engine = self.service(service).and_then(|service| service.engine);
        let slots = engine.map_or(u32::MAX, |engine| engine.slots.max(1));
        let excess = (load.accounted_running() + 1).saturating_sub(slots);
        f64::from(excess) * self.model(service).stream_ms() / f64::from(slots)
    }

    /// Milliseconds until the first event for a prompt that has `queue_ms` ahead of it at an engine that has `intake` to
    /// do for it.
    pub(crate) fn first_event_ms(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        intake: PrefillPlan,
        queue_ms: f64,
        now: Time,
    ) -> f64 {
        let load = self.loads.get(endpoint);
        let waiting_ms = if self.is_coordinated(endpoint) {
            0.0
        } else {
            load.map_or(0.0, |load| f64::from(load.waiting(now)) * WAITING_MS)
        };
        let ready_ms = queue_ms.max(self.plan_transfer_ms(service, intake));
        ready_ms + waiting_ms + self.prefill_ms(service, intake.prefill) + FIRST_EVENT_MS
    }

    /// Milliseconds by which an answer is expected to end too late that begins after `expected_ms`.
    pub(crate) fn overrun_ms(&self, admitted: &AdmittedRequest, expected_ms: f64, gap_ms: f64, now: Time) -> f64 {
        let Some(prompt) = &admitted.prompt else {
            return 0.0;
        };
        let events = self.model(&admitted.service).expected_events(prompt.expected_output());
        let ends_ms = expected_ms + (events - 1.0).max(0.0) * gap_ms;
        (ends_ms - admitted.remaining(now).0 as f64 * END_SHARE).max(0.0)
    }

    pub(crate) fn whole_read_ms(&self, admitted: &AdmittedRequest) -> f64 {
        match &admitted.prompt {
            Some(prompt) => self.prefill_ms(&admitted.service, prompt.input),
            None => self.service_ms(&admitted.service),
        }
    }
}
