//! Selection of an endpoint or another region.
//!
//! Each usable endpoint of the local region is scored by the expected time to its first event or response, plus
//! penalties such as that for shared prompt parts that it would process although another endpoint has them cached. All
//! VMs rank the endpoints for a shared part in the same order, so the part stays on one endpoint without communication
//! between the VMs. A request spills to another region if the local region is expected to be busy and the other one to
//! be clearly faster. If the selected endpoint has another VM as its coordinator, that VM is asked for a slot in its
//! queue.

use std::cmp::Reverse;

use indexmap::IndexMap;
use sw_error::{Kind, Refusal};
use sw_unit::{EndpointId, Millis, RegionId, Time, Tokens};

use crate::admission_limit::admission_limit;
use crate::cache::shared_prefix_key;
use crate::path::PROBE_PERIOD;
use crate::registry::Endpoint;
use crate::spill::{RemoteEstimate, should_spill};
use crate::stream_pause::PauseContext;
use crate::{
    AdmittedRequest, AttemptHistory, Choice, Distance, EndpointEntry, PrefillPlan, Prompt, Relay, ServiceId,
    SoftwareVersion,
};

/// Penalty for a repeated prefill of shared parts, as a multiple of its duration.
const REPEATED_PREFILL_PENALTY: f64 = 14.0;
/// Penalty for a repeated transfer of shared parts, as a multiple of its duration.
const REPEATED_TRANSFER_PENALTY: f64 = 4.0;
/// Share of the objective up to which waiting for the preferred endpoint is not penalized.
const AFFINITY_SHARE: f64 = 1.0;
/// Penalty for a later first event, as a multiple of the excess time.
const LATE_PENALTY: f64 = 20.0;
/// Penalty per rank in the ordering for a shared part, in milliseconds.
const RANK_PENALTY_MS: f64 = 8.0;
/// Share of the remaining time by which the end of a response may be expected to exceed its limit; a request with a
/// larger overrun is refused.
const MAX_OVERRUN_SHARE: f64 = 0.4;
/// Penalty for an overrun of the response, as a multiple of the excess time.
const OVERRUN_PENALTY: f64 = 1.0;
/// Largest penalty that spreads requests over equivalent endpoints, as a share of the service time.
const SPREAD_SHARE: f64 = 0.5;
/// Share of an endpoint's connections that the VMs plan to use.
const CONNECTION_SHARE: f64 = 0.9;
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// Retry delay for callers of streams that no endpoint can continue; they should not return.
pub const HOPELESS_RETRY_AFTER: Millis = Millis(30_000);
/// The longest retry delay is the caller's remaining time divided by this.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// Factor on the limit up to which an urgent request is still offered to a coordinator. The load that other VMs know of
/// includes the time reserved by the prefill budget, which urgent requests may use.
const URGENT_LIMIT_FACTOR: f64 = 1.5;
#[derive(Clone, Copy)]
struct ScoredEndpoint<'a> {
    endpoint: &'a Endpoint,
    expected_ms: f64,
    overrun_ms: f64,
    /// Tokens that it would process.
    prefill: Tokens,
    /// Whether the prompt is expected to make events of running streams late there.
    delays_streams: bool,
    score: f64,
}

/// Which endpoints are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Those that this VM reaches itself.
    Direct,
    /// Those that it reaches through a neighbour at best.
    Lost,
}

/// The best endpoint of the local region, with its estimates.
pub(crate) struct LocalEstimate {
    endpoint: EndpointEntry,
    pub(crate) expected_ms: f64,
    pub(crate) overrun_ms: f64,
    /// Whether the prompt is expected to make events of running streams late there.
    delays_streams: bool,
    /// Difference in score to the second-best endpoint; 0 if there is none.
    margin_ms: f64,
    considered: usize,
}

impl Relay {
    /// Selects where a request is sent next.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownKey`] or [`Kind::KeyUnverified`] if the key of the request was removed or cannot be verified any more. Returns
    /// [`Kind::QuarantinedRequest`] or [`Kind::QuarantinedPrompt`] if the request or a part of its prompt crashes endpoints, and [`Kind::NoEndpoint`] if no
    /// reachable endpoint may run the request. Returns [`Kind::DeadlineUnreachable`]
    /// if none is expected to start it, or to end the response to a new request, in time, or if coordinators declined
    /// it and nothing else is left.
    pub fn choose(
        &mut self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
        now: Time,
    ) -> Result<Choice, Refusal> {
        if let Some(refusal) = self.quarantine_refusal(admitted, now) {
            return Err(refusal);
        }
        self.check_authentic(admitted, now)?;
        if !admitted.forwarded && history.is_empty() {
            self.record_own_ask(admitted, now);
        }
        if let Some(choice) = self.planned_forward(admitted, history, now) {
            return Ok(choice);
        }
        let direct = self.best_local(admitted, history, Reach::Direct, now);
        let direct_ms = direct.as_ref().map(|direct| direct.expected_ms);
        let (local, neighbour) = match self.best_neighbour(admitted, history, direct.as_ref(), now) {
            Some((estimate, neighbour)) => (Some(estimate), Some(neighbour)),
            None => (direct, None),
        };
        let remote = if admitted.forwarded {
            None
        } else {
            self.best_remote(admitted, history, now)
        };
        let local_ms = local.as_ref().map(|local| local.expected_ms);
        let expected_ms = match (local_ms, &remote) {
            (Some(local), Some(remote)) => local.min(remote.expected_ms),
            (Some(local), None) => local,
            (None, Some(remote)) => remote.expected_ms,
            (None, None) => return Err(self.refusal_without_endpoint(admitted, history, now)),
        };
        // A request that was already started is worth completing even if it is late.
        let is_started = admitted.resumed || history.may_have_run();
        let limit_ms = if is_started {
            admitted.remaining(now).0 as f64
        } else {
            self.admission_limit_ms(admitted, now)
        };
        let has_coordinator = |local: &LocalEstimate| self.responsive_coordinator(&local.endpoint.id, now).is_some();
        let may_ask_coordinator = bypasses_prefill_budget(admitted) && expected_ms <= limit_ms * URGENT_LIMIT_FACTOR
            || self.may_be_owed(admitted, now);
        let is_too_late =
            expected_ms > limit_ms && !(may_ask_coordinator && local.as_ref().is_some_and(has_coordinator));
        if is_too_late {
            let after = self.retry_after(admitted, history, expected_ms, now);
            return Err(Refusal::with_retry_after(Kind::DeadlineUnreachable, after));
        }
        let overruns = local.iter().map(|local| local.overrun_ms);
        let overruns = overruns.chain(remote.iter().map(|remote| remote.overrun_ms));
        let overrun_ms = overruns.fold(f64::INFINITY, f64::min);
        if !is_started && overrun_ms > admitted.remaining(now).0 as f64 * MAX_OVERRUN_SHARE {
            let after = self.retry_after(admitted, history, expected_ms + overrun_ms, now);
            return Err(Refusal::with_retry_after(Kind::DeadlineUnreachable, after));
        }
        let spills = |remote: &RemoteEstimate| {
            local
                .as_ref()
                .is_none_or(|local| should_spill(admitted, local, remote, now))
        };
        if let Some(remote) = remote.filter(spills)
            && let Some(choice) = self.forward_choice(admitted, remote, local_ms, history, now)
        {
            return Ok(choice);
        }
        let Some(local) = local else {
            return Err(self.refusal_without_endpoint(admitted, history, now));
        };
        if let Some(neighbour) = neighbour {
            return Ok(Choice::Vm {
                region: neighbour.region,
                vm: neighbour.vm,
                address: neighbour.peer_listen,
                expected_ms: local.expected_ms,
                local_ms: direct_ms,
            });
        }
        let decline_ms = Self::decline_limit_ms(admitted, history, local.expected_ms, local.margin_ms, limit_ms);
        Ok(Choice::Endpoint {
            coordinator: self
                .coordinator(admitted, &local.endpoint, decline_ms, is_started, now)
                .map(|coordinator| Box::new(coordinator.with_avoids_pauses(!local.delays_streams, history))),
            endpoint: local.endpoint,
            expected_ms: local.expected_ms,
            considered: local.considered,
        })
    }

    /// Returns the best endpoint of the local region among those that this VM reaches, or among those that it does not.
    pub(crate) fn best_local(
        &self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
        reach: Reach,
        now: Time,
    ) -> Option<LocalEstimate> {
        let region = &self.options.local.region;
        if !self.may_send_to(admitted, region, now) || history.is_full(region) || history.is_local_region_full() {
            return None;
        }
        let local = self.local_endpoints(&admitted.service);
        let local = local.filter(|endpoint| admitted.may_run_at(&endpoint.entry));
        let local = local.filter(|endpoint| self.reaches(&endpoint.entry) == (reach == Reach::Direct));
        let max_running = self.max_running(&admitted.service, now);
        let available = local.filter(|endpoint| self.has_capacity(&endpoint.entry, max_running, now));
        let available = available.filter(|endpoint| {
            self.limits_admit(&endpoint.entry, admitted.is_urgent(), now)
                && !history.is_rate_limited(&endpoint.entry.id)
        });
        let available: Vec<_> = available
            .filter(|endpoint| !self.has_long_queue(admitted, &endpoint.entry, history, now))
            .filter(|endpoint| !self.is_kept_for_others(admitted, &endpoint.entry, history, now))
            .collect();
        let untried = |endpoint: &&&Endpoint| !history.has_endpoint(&endpoint.entry.id);
        let healthy = |endpoint: &&&Endpoint| !self.is_in_backoff(&endpoint.entry, now);
        let mut candidates: Vec<_> = available.iter().filter(untried).filter(healthy).copied().collect();
        if candidates.is_empty() {
            candidates = available.iter().filter(untried).copied().collect();
        }
        if candidates.is_empty() && admitted.route.kind.is_repeatable() {
            candidates = available;
        }
        let key = admitted.prompt.as_ref().and_then(shared_prefix_key);
        if let Some(key) = key {
            // All VMs prefer the endpoints for a shared part in this order.
            candidates
                .sort_by_cached_key(|endpoint| Reverse(sw_member::rendezvous_score(key, endpoint.entry.id.as_str())));
        }
        let cache_sources = self.cache_sources(admitted, now);
        let prompt = admitted.prompt.as_ref();
        let pauses = prompt.and_then(|prompt| self.pause_context(&admitted.service, prompt));
        let pauses = pauses.map(|cx| cx.with_start_limit(self.admission_limit_ms(admitted, now)));
        let ranked = candidates.into_iter().enumerate();
        let mut scored: Vec<_> = ranked
            .map(|(index, endpoint)| {
                let rank = if key.is_some() { index } else { 0 };
                let source = self.nearest_source(admitted, &cache_sources, &endpoint.entry, now);
                let source = source.map(|(_, distance)| distance);
                let scored = self.score(admitted, endpoint, rank, source, history, now);
                match &pauses {
                    Some(pauses) => self.with_pause_penalty(scored, pauses, &admitted.service, now),
                    None => scored,
                }
            })
            .collect();
        let next = scored.len().checked_sub(1)?.min(1);
        scored.select_nth_unstable_by(next, |a, b| a.score.total_cmp(&b.score));
        let best = &scored[0];
        Some(LocalEstimate {
            endpoint: best.endpoint.entry.clone(),
            expected_ms: best.expected_ms,
            overrun_ms: best.overrun_ms,
            delays_streams: best.delays_streams,
            margin_ms: scored[next].score - best.score,
            considered: scored.len(),
        })
    }

    /// Scores an endpoint with position `rank` in the ordering for the shared parts of the prompt. `source` is the
    /// distance to the engine that can transfer them.
    fn score<'a>(
        &self,
        admitted: &AdmittedRequest,
        endpoint: &'a Endpoint,
        rank: usize,
        source: Option<Distance>,
        history: &AttemptHistory,
        now: Time,
    ) -> ScoredEndpoint<'a> {
        let id = &endpoint.entry.id;
        let prompt = admitted.prompt.as_ref();
        let plan = prompt.map(|prompt| self.prefill_plan(&admitted.service, id, prompt, source, now));
        let expected_ms = match plan {
            Some(plan) => {
                let queue_ms = self.queue_ms(&admitted.service, id, bypasses_prefill_budget(admitted), now);
                self.first_event_ms(&admitted.service, id, plan, queue_ms, now)
            }
            None => self.response_ms(&admitted.service, &endpoint.entry, now) + self.spread_ms(admitted, id),
        };
        let declined_ms = history.declined_wait_ms(id).unwrap_or_default();
        let expected_ms = expected_ms.max(declined_ms);
        let repeat_penalty_ms = match (prompt, plan) {
            (Some(prompt), Some(plan)) if rank > 0 => self.repeat_penalty_ms(admitted, prompt, plan),
            _ => 0.0,
        };
        let gap_ms = self.loads.get(id).map(|load| load.gap_ms(now));
        let overrun_ms = self.overrun_ms(admitted, expected_ms, gap_ms.unwrap_or_default(), now);
        let late_ms = (expected_ms - admitted.route.objective.0 as f64 * AFFINITY_SHARE).max(0.0);
        ScoredEndpoint {
            endpoint,
            expected_ms,
            overrun_ms,
            prefill: plan.unwrap_or_default().prefill,
            delays_streams: false,
            score: expected_ms
                + LATE_PENALTY * late_ms
                + OVERRUN_PENALTY * overrun_ms
                + repeat_penalty_ms
                + self.new_connection_penalty_ms(admitted, endpoint.entry.address, now)
                + RANK_PENALTY_MS * rank as f64,
        }
    }

    /// Adds the penalty for the pauses of running streams to a score.
    fn with_pause_penalty<'a>(
        &self,
        scored: ScoredEndpoint<'a>,
        pauses: &PauseContext,
        service: &ServiceId,
        now: Time,
    ) -> ScoredEndpoint<'a> {
        let id = &scored.endpoint.entry.id;
        let prefill_ms = self.endpoint_prefill_ms(service, id, scored.prefill, now);
        let late_streams_ms = self.late_streams_penalty_ms(pauses, id, prefill_ms, now);
        ScoredEndpoint {
            delays_streams: late_streams_ms > 0.0,
            score: scored.score
                + late_streams_ms
                + self.isolation_penalty_ms(service, id, pauses)
                + pauses.too_late_penalty_ms(scored.expected_ms),
            ..scored
        }
    }

    /// Returns the limit in milliseconds on the expected time to the first event of a new request. A prompt that goes to engines
    /// set apart may wait for others there.
    fn admission_limit_ms(&self, admitted: &AdmittedRequest, now: Time) -> f64 {
        let limit_ms = admission_limit(admitted, self.uncached_ms(admitted), now);
        let remaining_ms = admitted.remaining(now).0 as f64;
        remaining_ms.min(limit_ms + self.isolation_wait_ms(admitted))
    }

    /// Returns the penalty for a repeated prefill or transfer of shared parts that another engine has cached.
    fn repeat_penalty_ms(&self, admitted: &AdmittedRequest, prompt: &Prompt, plan: PrefillPlan) -> f64 {
        let unshared = prompt.input.saturating_sub(prompt.shared_tokens());
        let repeated = plan.prefill.saturating_sub(unshared);
        let prefill_ms = self.prefill_ms(&admitted.service, repeated);
        let transfer_ms = self.plan_transfer_ms(&admitted.service, plan);
        REPEATED_PREFILL_PENALTY * prefill_ms + REPEATED_TRANSFER_PENALTY * transfer_ms
    }

    /// Returns a penalty that spreads the requests of all VMs over equivalent endpoints of a plain service.
    fn spread_ms(&self, admitted: &AdmittedRequest, endpoint: &EndpointId) -> f64 {
        let draw = sw_member::rendezvous_score(&*admitted.id, endpoint.as_str()) as f64 / u64::MAX as f64;
        self.service_ms(&admitted.service) * SPREAD_SHARE * draw
    }

    /// Returns this VM's share of the connections of each endpoint of a service.
    pub(crate) fn max_running(&self, service: &ServiceId, now: Time) -> f64 {
        let connections = self.service(service).map_or(1, |service| service.max_connections);
        let share = f64::from(connections) * CONNECTION_SHARE / self.senders_to(service, now) as f64;
        // A fraction would be one more request of each VM, and so more than the share of all of them.
        let share = if self.options.reuses_connections {
            share.floor()
        } else {
            share
        };
        share.max(1.0)
    }

    /// Whether this VM's share of the endpoint's connections, `max_running`, and of its slow-start rate have capacity, and
    /// the endpoint accepts requests.
    fn has_capacity(&self, endpoint: &EndpointEntry, max_running: f64, now: Time) -> bool {
        let running = self.loads.get(&endpoint.id).map_or(0, |load| load.running);
        let has_room = f64::from(running) < max_running && self.slow_start_allows(endpoint, now);
        has_room && self.registry.rejects_until(endpoint, now).is_none()
    }

    /// Returns the refusal of a request for which there is no endpoint now.
    fn refusal_without_endpoint(&mut self, admitted: &AdmittedRequest, history: &AttemptHistory, now: Time) -> Refusal {
        if !self.has_pinned_endpoint(admitted) {
            return Refusal::with_retry_after(Kind::StreamVersionGone, HOPELESS_RETRY_AFTER);
        }
        let longest = longest_retry_after(admitted, now);
        if self.paths.is_cut_off(&admitted.service) && history.min_declined_wait_ms().is_none() {
            return Refusal::with_retry_after(Kind::NoEndpoint, PROBE_PERIOD.min(longest));
        }
        if let Some(after) = self.rate_limited_return(admitted, longest, now) {
            return Refusal::with_retry_after(Kind::DeadlineUnreachable, after.max(MIN_RETRY_AFTER));
        }
        let Some(wait_ms) = history.min_declined_wait_ms() else {
            let accepts_in_ms = self.accepts_in_ms(&admitted.service, now);
            let after = self.estimated_return(admitted, accepts_in_ms, now);
            return Refusal::with_retry_after(Kind::NoEndpoint, after);
        };
        let after = self.retry_after(admitted, history, wait_ms, now);
        Refusal::with_retry_after(Kind::DeadlineUnreachable, after)
    }

    /// Returns the milliseconds until the first rejecting local endpoint of a service accepts requests from this VM
    /// again; 0 if none rejects.
    fn accepts_in_ms(&self, service: &ServiceId, now: Time) -> f64 {
        let endpoints = self.local_endpoints(service);
        let until = endpoints.filter_map(|endpoint| self.registry.rejects_until(&endpoint.entry, now));
        until.min().map_or(0.0, |until| until.since(now).0 as f64)
    }

    /// Returns whether a usable endpoint in any permitted region has the software version that the request is pinned to.
    fn has_pinned_endpoint(&self, admitted: &AdmittedRequest) -> bool {
        let permitted = self.permitted_regions(admitted);
        let regions = self.options.domain_regions.values();
        admitted.pinned_software.is_none()
            || regions
                .filter(|region| permitted.contains(region))
                .any(|region| self.may_run_in(admitted, region))
    }

    /// Returns whether a usable endpoint in any region that a request may enter has a software version.
    pub fn has_endpoint_of(&self, admitted: &AdmittedRequest, software: &SoftwareVersion) -> bool {
        let mut pinned = admitted.clone();
        pinned.place(software.clone());
        self.has_pinned_endpoint(&pinned)
    }

    /// Returns whether a usable endpoint of a region has the software version that the request is pinned to, if any.
    pub(crate) fn may_run_in(&self, admitted: &AdmittedRequest, region: &RegionId) -> bool {
        if admitted.pinned_software.is_none() {
            return true;
        }
        let mut usable = self.registry.usable(&admitted.service);
        usable.any(|endpoint| {
            self.region_of(&endpoint.entry.domain) == Some(region) && admitted.may_run_at(&endpoint.entry)
        })
    }

    /// Returns the number of usable endpoints in each region that may run a request, permitted or not.
    pub fn usable_by_region(&self, admitted: &AdmittedRequest) -> IndexMap<RegionId, usize> {
        let mut counts = IndexMap::new();
        let usable = self.registry.usable(&admitted.service);
        for endpoint in usable.filter(|endpoint| admitted.may_run_at(&endpoint.entry)) {
            if let Some(region) = self.region_of(&endpoint.entry.domain) {
                *counts.entry(region.clone()).or_default() += 1;
            }
        }
        counts
    }

    fn is_in_backoff(&self, endpoint: &EndpointEntry, now: Time) -> bool {
        self.loads.get(&endpoint.id).is_some_and(|load| load.is_in_backoff(now))
    }

    /// Returns the delay after which a caller should retry that is refused for want of room: that of its slot in the schedule
    /// of returns, if it is known how fast room frees.
    fn retry_after(
        &mut self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
        expected_ms: f64,
        now: Time,
    ) -> Millis {
        let told = history.min_retry().unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER);
        let longest = longest_retry_after(admitted, now);
        let scheduled = self.scheduled_return(&admitted.service, told, longest, now);
        scheduled.unwrap_or_else(|| self.estimated_return(admitted, expected_ms, now))
    }

    /// Returns the delay after which a refused caller should retry, by the expected wait alone.
    fn estimated_return(&mut self, admitted: &AdmittedRequest, expected_ms: f64, now: Time) -> Millis {
        let late_ms = (expected_ms - admitted.route.objective.0 as f64).max(0.0);
        let after = sw_admit::retry_after(Millis(late_ms as u64).max(MIN_RETRY_AFTER), self.rng.f64());
        after.min(longest_retry_after(admitted, now))
    }
}

/// Returns the longest time after which a refused caller may be asked to retry.
fn longest_retry_after(admitted: &AdmittedRequest, now: Time) -> Millis {
    Millis(admitted.deadline.since(now).0 / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER)
}

/// Whether the request may use engine time beyond the prefill budget.
fn bypasses_prefill_budget(admitted: &AdmittedRequest) -> bool {
    admitted.is_urgent() && admitted.prompt.is_some()
}
