//! One attempt to run a request on an endpoint, and its steps.

use std::sync::Arc;

use strum::{Display, IntoStaticStr};
use sw_error::{Kind, Ran, Refusal};
use sw_unit::{Millis, PartId, Time, Tokens};

use crate::stream_pause::StreamLimits;
use crate::{
    AdmittedRequest, CacheSource, EndpointEntry, EndpointReport, Grant, PathFailure, PrefillPlan, Prompt, Relay,
    RequestContent, ServiceId,
};

/// An attempt in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The id of the request.
    pub request: Arc<str>,
    /// The endpoint.
    pub endpoint: EndpointEntry,
    /// The service that the endpoint was chosen for.
    pub service: ServiceId,
    /// When the attempt started.
    pub started_at: Time,
    /// Id of its entry in the endpoint's [`EndpointTracker`](crate::EndpointTracker).
    pub entry_id: u64,
    /// When a token of the endpoint's rate limit was taken for it; `None` if the endpoint had no limit.
    pub token_taken_at: Option<Time>,
    /// The prefill and cache transfer that precede the first event.
    pub plan: PrefillPlan,
    /// Expected duration of the prefill in milliseconds.
    pub prefill_ms: f64,
    /// Factor on the times of the endpoint that the estimates used.
    pub speed_factor: f64,
    /// Expected duration of the cache transfer in milliseconds; it runs in parallel with the prefill of queued prompts.
    pub transfer_ms: f64,
    /// The engine that may supply the shared parts of the prompt from its cache.
    pub cache_source: Option<CacheSource>,
    /// Work queued in front of the request at its start, in milliseconds.
    pub backlog_ms: f64,
    /// The content of the request, if it is known.
    pub content: Option<Arc<RequestContent>>,
    /// The parts of the prompt that other requests may share.
    pub shared_parts: Vec<PartId>,
    /// When the head of the response arrived.
    pub head_at: Option<Time>,
    /// Whether the response has a length or chunks, so that its end can be told from a broken connection.
    pub is_framed: bool,
    /// When the first event of the response arrived.
    pub first_event_at: Option<Time>,
    /// Number of events received.
    pub events: u32,
    /// Whether the endpoint has lived on long enough after the first event for the parts of the prompt to be cleared.
    pub has_lived_on: bool,
    /// Expected number of tokens in the response.
    pub expected_output: Tokens,
}

impl Attempt {
    /// Returns the expected time from the start to the end of the prefill in milliseconds; the first event follows a
    /// fixed time later. For a plain service, this is the wait in the queue alone.
    pub fn expected_ms(&self) -> f64 {
        self.backlog_ms.max(self.transfer_ms) + self.prefill_ms
    }

    /// Returns the time since the start.
    pub fn age(&self, now: Time) -> Millis {
        now.since(self.started_at)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptOutcome {
    /// The complete response was received.
    #[strum(to_string = "whole")]
    Complete,
    /// The endpoint responded with an error.
    Failed,
    /// The endpoint rejected the request and reports that it did not run it.
    Rejected,
    /// The address belongs to another endpoint.
    WrongEndpoint,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// Nothing was sent for another reason: the response was already due, the endpoint may not be sent to, the
    /// connection was closed before, or the VM that the request was forwarded to refused it.
    Unsent,
    /// The endpoint's coordinator declined the reservation, so the request was not sent.
    Declined,
    /// The connection broke, or the response does not belong to this request.
    Broken,
    /// The time limit expired.
    Timeout,
    /// The caller closed the connection.
    Cancelled,
}

impl AttemptOutcome {
    /// Converts the refusal that another VM returned for a forwarded request.
    pub fn from_refusal(refusal: Refusal) -> Self {
        match (refusal.kind.response().ran, refusal.kind) {
            (Ran::No, Kind::Overloaded) => Self::Rejected,
            (Ran::No, _) => Self::Unsent,
            (_, Kind::EndpointTimeout) => Self::Timeout,
            (_, _) => Self::Broken,
        }
    }

    /// Whether the endpoint certainly did not run the request.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::WrongEndpoint | Self::Unreachable | Self::Unsent | Self::Declined
        )
    }

    /// Whether the request certainly did not reach the endpoint.
    pub fn not_arrived(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unsent | Self::Declined)
    }

    /// Whether the endpoint was not found at its registered address: no connection could be made, or the address
    /// belongs to another endpoint.
    pub fn is_absent(self) -> bool {
        matches!(self, Self::Unreachable | Self::WrongEndpoint)
    }

    /// Whether the endpoint answered with a failure, or another one answered at its address.
    pub fn is_answer(self) -> bool {
        matches!(self, Self::Failed | Self::WrongEndpoint)
    }

    /// Whether the endpoint may still run the request.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::Broken | Self::Timeout | Self::Cancelled)
    }

    /// Whether the outcome counts as a failure of the endpoint.
    pub fn is_fault(self) -> bool {
        matches!(self, Self::Failed | Self::Broken | Self::Timeout) || self.is_absent()
    }
}

impl Relay {
    /// Starts an attempt at a chosen endpoint, with the `grant` if its coordinator granted a slot.
    ///
    /// Returns `None` if no request may be sent to the endpoint any more, its slow start, its rate limit or this VM's
    /// share of its connections allows none now, the request is quarantined, or it may no longer run in the endpoint's
    /// region.
    pub fn start_attempt(
        &mut self,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        grant: Option<&Grant>,
        now: Time,
    ) -> Option<Attempt> {
        if !self.registry.may_send(endpoint, now) || !self.slow_start_allows(endpoint, now) {
            return None;
        }
        if !self.connections_allow(endpoint, now) {
            return None;
        }
        if self.quarantined(admitted, now).is_some() || !admitted.may_run_at(endpoint) {
            return None;
        }
        if !self.may_enter(admitted, endpoint, now) {
            return None;
        }
        let token_taken_at = self.obtain_token(endpoint, grant, admitted.is_urgent(), now);
        if !self.may_send(endpoint, token_taken_at, now) {
            return None;
        }
        let cache_source = self.cache_source(admitted, endpoint, now);
        let plan = match (grant, &admitted.prompt) {
            (Some(grant), _) => grant.plan,
            (None, Some(prompt)) => {
                let distance = cache_source.as_ref().map(|source| source.distance);
                self.prefill_plan(&admitted.service, &endpoint.id, prompt, distance, now)
            }
            (None, None) => PrefillPlan::default(),
        };
        let prefill_ms = self.endpoint_prefill_ms(&admitted.service, &endpoint.id, plan.prefill, now);
        let speed_factor = self.speed_factor(&endpoint.id, now);
        let transfer_ms = self.plan_transfer_ms(&admitted.service, plan);
        let cache_capacity = self.cache_capacity(&admitted.service);
        let cold = self.cold_share(endpoint, now);
        let queue_ms = if admitted.prompt.is_none() {
            self.response_ms(&admitted.service, endpoint, now)
                - self.endpoint_service_ms(&admitted.service, &endpoint.id, now)
        } else {
            0.0
        };
        let load = self.loads.entry(endpoint.id.clone()).or_default();
        let backlog_ms = grant.map_or_else(|| load.backlog_ms(now).max(queue_ms), |grant| grant.estimate.backlog_ms);
        // A granted slot is already in the coordinator's account of the queue.
        let queued_prefill_ms = if grant.is_some() { 0.0 } else { prefill_ms };
        let entry_id = load.on_dispatch(queued_prefill_ms, now + Millis(transfer_ms as u64), now);
        if let Some(limits) = StreamLimits::of(&admitted.route, admitted.is_urgent()) {
            load.streams.on_start(entry_id, limits, None);
        }
        if let (Some(prompt), Some(cache_capacity)) = (&admitted.prompt, cache_capacity) {
            load.cache.insert(prompt, cache_capacity, now);
            self.record_prefill(
                &admitted.service,
                &endpoint.id,
                prompt,
                backlog_ms.max(transfer_ms) + prefill_ms,
                now,
            );
        }
        let work_ms = if admitted.prompt.is_some() {
            prefill_ms
        } else {
            self.service_ms(&admitted.service)
        };
        let expected_ms = backlog_ms.max(transfer_ms) + work_ms;
        self.record_shares(admitted, endpoint, grant.is_some(), work_ms, expected_ms, now);
        self.update_prefill_budget(&admitted.service, &endpoint.id);
        let prompt = admitted.prompt.as_ref();
        let pauses = prompt.and_then(|prompt| self.pause_context(&admitted.service, prompt));
        if let Some(pauses) = pauses {
            self.record_sent_prefill(&admitted.service, prefill_ms, pauses.is_disruptive);
        }
        let load = self.loads.entry(endpoint.id.clone()).or_default();
        if let Some((share, cold_for)) = cold {
            load.slow_start.on_dispatch(share, cold_for);
        }
        self.on_probe_sent(&admitted.id);
        Some(Attempt {
            request: Arc::clone(&admitted.id),
            endpoint: endpoint.clone(),
            service: admitted.service.clone(),
            started_at: now,
            entry_id,
            token_taken_at,
            plan,
            prefill_ms,
            speed_factor,
            transfer_ms,
            cache_source,
            backlog_ms,
            content: admitted.content.clone(),
            shared_parts: shared_part_ids(admitted),
            head_at: None,
            is_framed: false,
            first_event_at: None,
            events: 0,
            has_lived_on: false,
            expected_output: admitted.prompt.as_ref().map_or(Tokens(0), Prompt::expected_output),
        })
    }

    /// Records that the head of the response arrived, which is `framed` if its body has a length or chunks.
    pub fn on_head(&mut self, attempt: &mut Attempt, framed: bool, now: Time) {
        attempt.head_at = Some(now);
        attempt.is_framed = framed;
        if let Some(load) = self.loads.get_mut(&attempt.endpoint.id) {
            load.on_answer(attempt.started_at);
            load.on_heard(now);
        }
    }

    /// Records the first event of a stream.
    pub fn on_first_event(&mut self, attempt: &mut Attempt, now: Time) {
        attempt.first_event_at = Some(now);
        attempt.events = 1;
        if let Some(load) = self.loads.get_mut(&attempt.endpoint.id) {
            load.on_prefill_done(attempt.entry_id, now);
            load.on_heard(now);
        }
        if attempt.backlog_ms < 1.0 {
            self.record_first_event(attempt, now);
        }
    }

    /// Records the gap between two events of a stream.
    pub fn record_gap(&mut self, attempt: &mut Attempt, gap: Millis, now: Time) {
        attempt.events += 1;
        self.models.entry(attempt.service.clone()).or_default().record_gap(gap);
        if let Some(load) = self.loads.get_mut(&attempt.endpoint.id) {
            load.record_gap(gap, now);
            load.on_heard(now);
        }
        self.clear_if_lived_on(attempt, now);
    }

    /// Applies the report that an endpoint sent with a response, and returns whether it newly announces that the
    /// endpoint is leaving.
    pub fn on_endpoint_report(&mut self, endpoint: &EndpointEntry, report: &EndpointReport, now: Time) -> bool {
        if let (Some(report), Some(load)) = (report.load, self.loads.get_mut(&endpoint.id)) {
            load.record_report(report, now);
        }
        if let Some(cold_for) = report.cold_for {
            self.registry.extend_cold(&endpoint.id, cold_for, now);
        }
        if let Some(wait) = report.retry_after {
            self.registry.on_rejected(endpoint, wait, now);
        }
        report.leaving && self.registry.on_leaving(endpoint)
    }

    /// Ends an attempt, and returns the end of the backoff if the endpoint is put into backoff for its failures.
    pub fn end_attempt(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) -> Option<Time> {
        if outcome == AttemptOutcome::Complete {
            if attempt.first_event_at.is_none() && attempt.backlog_ms < 1.0 {
                self.observe_speed(attempt, self.service_ms(&attempt.service), false, now);
            }
            let elapsed = self.without_slowdown(attempt, attempt.age(now), now);
            let model = self.models.entry(attempt.service.clone()).or_default();
            if let Some(first_event_at) = attempt.first_event_at {
                model.record_events(attempt.expected_output, attempt.events);
                model.record_stream(attempt.prefill_ms, now.since(first_event_at));
            } else if attempt.backlog_ms < 1.0 {
                model.record_service_time(elapsed);
            }
        }
        self.clear_answered(attempt, outcome, now);
        self.on_own_attempt_end(attempt, outcome, now);
        let load = self.loads.get_mut(&attempt.endpoint.id)?;
        load.on_end(attempt.entry_id, now);
        if outcome == AttemptOutcome::Unreachable {
            self.on_path_lost(&attempt.endpoint, PathFailure::Unreachable, attempt.started_at, now);
            return None;
        }
        if outcome == AttemptOutcome::Complete {
            load.on_success();
            return None;
        }
        if outcome.is_fault() {
            load.on_failure(outcome, now)
        } else {
            None
        }
    }
}

/// Returns the parts of a request's prompt that other requests may share.
fn shared_part_ids(admitted: &AdmittedRequest) -> Vec<PartId> {
    let shared = admitted.prompt.as_ref().map_or(&[][..], Prompt::shared_parts);
    shared.iter().map(|part| part.id).collect()
}
