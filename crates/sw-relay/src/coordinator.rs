//! Coordinators of endpoint queues.
//!
//! Only the VM that sent a request knows at once that it is queued at an endpoint. The other VMs learn of it from the
//! next heartbeat, when most of a prompt's prefill is done. So each endpoint has a coordinator, a live VM of its
//! failure domain, and the VMs of the region ask it for a [`Reservation`] before they send a request to the endpoint.
//! It returns a [`Grant`], or declines with an estimate of the queue. The request itself is sent directly to the
//! endpoint. If the coordinator does not respond, the request is sent without a grant.
//!
//! Each VM computes the same coordinators from the VMs and endpoints that it knows. While VMs know different ones, an
//! endpoint can have two coordinators for a moment; this only makes the estimates of both less accurate.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_member::{VmRow, rendezvous_top_by_size, size_weights};
use sw_unit::{DomainId, EndpointId, Millis, Time, VmId};

use crate::admission_limit::max_response_ms;
use crate::fair_share::RequestClass;
use crate::load::Sender;
use crate::rate_limit::MAX_CALL_TRANSIT;
use crate::share_keeper::Request;
use crate::stream_pause::StreamLimits;
use crate::{
    AdmittedRequest, AttemptHistory, DeclineReason, Distance, EndpointEntry, PrefillPlan, Prompt, RateLimitState,
    Relay, ServiceId,
};

/// Time in milliseconds by which a coordinator may expect the first event of a prompt later than the asking VM does,
/// beyond the endpoint's advantage over the next best one, before it declines.
const DECLINE_MARGIN_MS: f64 = 40.0;
/// Share of the objective within which the first event is soon enough, even if another endpoint would be faster.
const SOON_SHARE: f64 = 0.3;
/// Declines of a prompt after which the limit of a reservation no longer depends on how fast other endpoints are.
const MAX_SELECTIVE_DECLINES: u32 = 2;
/// Declines after which a region counts as full.
const MAX_DECLINES: u32 = 4;
/// Variable part of the lifetime of a reservation that is not released, as a multiple of the expected time to the first
/// event or the response.
const RESERVATION_TTL_FACTOR: f64 = 3.0;
/// Fixed part of that lifetime.
const RESERVATION_TTL_BASE: Millis = Millis(2_000);
/// Time after the report of its first event after which a request counts as ended if no update reports its end.
const MAX_RUN: Millis = Millis(10_000);
/// Time for which an unresponsive coordinator is not asked.
const UNRESPONSIVE_BACKOFF: Millis = Millis(1_000);
/// Estimate with which a coordinator declines for an endpoint that it does not know or may not send to, in
/// milliseconds. The asking VM takes it for the endpoint's queue.
const UNKNOWN_MS: f64 = 10_000.0;

/// A request for a slot in an endpoint's queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The requested service.
    pub service: ServiceId,
    /// The prompt; empty for a plain service.
    pub prompt: Prompt,
    /// The coordinator declines if it expects the first event, or the response, after more than this many milliseconds.
    pub limit_ms: f64,
    /// Whether the request has the highest priority and may exceed the prefill budget of the engine.
    pub urgent: bool,
    /// Distance from the endpoint to an engine that probably has the shared parts of the prompt cached.
    pub cache_source_distance: Option<Distance>,
    /// Longest pause between two events for which the response is on time; `None` if there is no limit.
    pub gap_objective: Option<Millis>,
    /// Whether the coordinator declines if the prompt makes events of running streams late.
    pub avoids_pauses: bool,
    /// What the asking VM knows of the endpoint's rate limit; `None` if it knows none.
    pub rate_limit: Option<RateLimitState>,
    /// What the asking VM knows of the endpoint's rejection limit; `None` if it knows none.
    pub rejection_limit: Option<RateLimitState>,
    /// What the request counts as when capacity is shared.
    pub class: RequestClass,
}

/// The VM to ask for a slot in an endpoint's queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Coordinator {
    /// The VM.
    pub vm: VmId,
    /// The address on which it listens for calls from other VMs.
    pub address: SocketAddr,
    /// The reservation to ask for.
    pub reservation: Reservation,
}

impl Coordinator {
    /// Sets whether the coordinator declines for the pauses of running streams. It is not asked to after some declines, so
    /// that no request is refused for them.
    pub(crate) fn with_avoids_pauses(mut self, avoids_pauses: bool, history: &AttemptHistory) -> Self {
        self.reservation.avoids_pauses = avoids_pauses && history.declines() < MAX_SELECTIVE_DECLINES;
        self
    }
}

/// A coordinator's estimate of an endpoint's queue.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct QueueEstimate {
    /// Milliseconds to the first event, or to the response, of the request.
    pub expected_ms: f64,
    /// Milliseconds of work that are queued in front of it.
    pub backlog_ms: f64,
    /// What the coordinator knows of the endpoint's rate limit; `None` if it knows none.
    pub rate_limit: Option<RateLimitState>,
    /// What the coordinator knows of the endpoint's rejection limit; `None` if it knows none.
    pub rejection_limit: Option<RateLimitState>,
    /// Time after which to ask again, if one of the limits is the reason for declining.
    pub token_wait: Option<Millis>,
    /// Time after which there may be room for the request, if it was declined and this is known.
    pub retry: Option<Millis>,
    /// Expected number of streams that get a late event, weighted by rank, if they are the reason for declining. The
    /// coordinator logs it.
    pub late_streams: f64,
}

impl QueueEstimate {
    /// Returns the milliseconds that a request has to wait whose reservation was declined: at least its limit, if the
    /// coordinator keeps what is left of a shorter queue for others.
    pub fn wait_ms(&self, reason: DeclineReason, reservation: &Reservation) -> f64 {
        match reason {
            DeclineReason::Queue => self.expected_ms,
            DeclineReason::Share => self.expected_ms.max(reservation.limit_ms),
        }
    }

    /// Returns the estimate for a request that a limit does not admit for the time `wait`.
    fn without_token(self, wait: Millis) -> Self {
        Self {
            expected_ms: self.expected_ms.max(wait.0 as f64),
            token_wait: Some(wait),
            ..self
        }
    }
}

/// A granted slot in an endpoint's queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Its entry in the coordinator's account of the queue.
    pub entry_id: u64,
    /// Prefill and transfer that the engine has to do for the prompt.
    pub plan: PrefillPlan,
    /// The estimate on which it was granted.
    pub estimate: QueueEstimate,
}

impl Grant {
    /// Returns whether the endpoint has a limit, so that a token was taken for the request.
    pub fn has_token(&self) -> bool {
        let limits = [self.estimate.rate_limit, self.estimate.rejection_limit];
        limits.iter().flatten().any(|limit| limit.rate.is_some())
    }
}

/// Progress of a request that holds a granted reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationUpdate {
    /// Its prefill is done and it is running.
    Running,
    /// It ended or was not sent.
    Ended,
    /// The endpoint rejected it.
    Rejected,
    /// It was given up, and the endpoint may still run it.
    GivenUp,
    /// The endpoint could not be reached at its address.
    EndpointUnreachable,
}

impl AttemptHistory {
    /// Returns whether coordinators declined the request so often that the local region counts as full.
    pub(crate) fn is_local_region_full(&self) -> bool {
        self.declines() >= MAX_DECLINES
    }
}

/// Returns when a reservation expires that is not released.
fn expires_at(estimate: QueueEstimate, now: Time) -> Time {
    now + RESERVATION_TTL_BASE + Millis((estimate.expected_ms * RESERVATION_TTL_FACTOR) as u64)
}

/// The coordinator of each endpoint.
pub(crate) type Coordinators = IndexMap<EndpointId, VmId>;

impl Relay {
    /// Grants a slot in the queue of an endpoint, as its coordinator. Whether this VM is the coordinator is not
    /// checked, because the asking VM may know other VMs.
    ///
    /// # Errors
    ///
    /// Declines with the estimate of the queue if the first event or the response is expected after the limit of the
    /// reservation, if the queue of a plain endpoint is at its own limit, if the rate limit of the endpoint admits no
    /// request now, or if this VM does not know the endpoint or may not send to it.
    pub fn reserve(&mut self, reservation: &Reservation, now: Time) -> Result<Grant, QueueEstimate> {
        let endpoint = &reservation.endpoint;
        if let Some(state) = reservation.rate_limit {
            let transit = self.peer_transit(MAX_CALL_TRANSIT, now);
            self.rate_limits.on_peer(endpoint, state, transit, now);
        }
        if let Some(state) = reservation.rejection_limit {
            let transit = self.peer_transit(MAX_CALL_TRANSIT, now);
            self.on_peer_rejection_limit(endpoint, state, transit, now);
        }
        let rate_limit = self.rate_limits.state(endpoint, now);
        let known = self.registry.get(endpoint);
        let rejection_limit = known.and_then(|known| self.rejection_limit_state(&known.entry, now));
        let with_limit = |estimate: QueueEstimate| QueueEstimate {
            rate_limit,
            rejection_limit,
            ..estimate
        };
        match self.reserve_in_queue(reservation, now) {
            Ok(grant) => Ok(Grant {
                estimate: with_limit(grant.estimate),
                ..grant
            }),
            Err(estimate) => Err(with_limit(estimate)),
        }
    }

    fn reserve_in_queue(&mut self, reservation: &Reservation, now: Time) -> Result<Grant, QueueEstimate> {
        let Reservation {
            endpoint,
            service,
            prompt,
            limit_ms,
            urgent,
            cache_source_distance,
            gap_objective,
            avoids_pauses,
            rate_limit: _,
            rejection_limit: _,
            class,
        } = reservation;
        let known = self.registry.get(endpoint);
        let Some(known) = known.filter(|known| self.registry.may_send(&known.entry, now)) else {
            return Err(QueueEstimate {
                expected_ms: UNKNOWN_MS,
                backlog_ms: UNKNOWN_MS,
                ..QueueEstimate::default()
            });
        };
        let entry = known.entry.clone();
        let Some(cache_capacity) = self.cache_capacity(service) else {
            let response_ms = self.granted_response_ms(service, &entry, now);
            return self.reserve_plain(reservation, &entry, response_ms, now);
        };
        let plan = self.prefill_plan(service, endpoint, prompt, *cache_source_distance, now);
        let prefill_ms = self.endpoint_prefill_ms(service, endpoint, plan.prefill, now);
        let transfer = Millis(self.plan_transfer_ms(service, plan) as u64);
        let bypasses_budget = *urgent || !class.route.is_empty() && self.bypasses_budget(service, class, prompt, now);
        let queue_ms = self.account_queue_ms(service, endpoint, bypasses_budget, now);
        let expected_ms = self.first_event_ms(service, endpoint, plan, queue_ms, now);
        let load = self.loads.entry(endpoint.clone()).or_default();
        let backoff_ms = load.shared_backoff_ms(now);
        let estimate = QueueEstimate {
            expected_ms: backoff_ms + expected_ms,
            backlog_ms: backoff_ms + queue_ms,
            ..QueueEstimate::default()
        };
        let is_in_time = estimate.expected_ms <= *limit_ms;
        if is_in_time
            && *avoids_pauses
            && let Some(late_streams) = self.disturbed_streams(reservation, prefill_ms, now)
        {
            return Err(QueueEstimate {
                // The asking VM compares the endpoint with the next best one by the limit.
                expected_ms: *limit_ms,
                late_streams,
                ..estimate
            });
        }
        let request = Request {
            class,
            size: prompt.input.0 as f64,
            work_ms: prefill_ms,
            limit_ms: *limit_ms,
            endpoint_limit_ms: f64::INFINITY,
            expected_ms: estimate.expected_ms,
        };
        self.check_share(service, request, now)
            .map_err(|retry| QueueEstimate { retry, ..estimate })?;
        self.take_token(&entry, *urgent, now)
            .map_err(|wait| estimate.without_token(wait))?;
        self.on_slot_granted(service, request, now);
        let load = self.loads.entry(endpoint.clone()).or_default();
        load.cache.insert(prompt, cache_capacity, now);
        let expires_at = expires_at(estimate, now);
        let entry_id = load.reserve_prefill(prefill_ms, now + transfer, expires_at, now);
        if let Some(gap_objective) = *gap_objective {
            let limits = StreamLimits {
                gap_objective,
                is_urgent: *urgent,
            };
            load.streams.on_start(entry_id, limits, Some(expires_at));
        }
        self.update_prefill_budget(service, endpoint);
        self.record_prefill(service, endpoint, prompt, estimate.expected_ms, now);
        self.expect_start(endpoint, entry_id, estimate.expected_ms, now);
        Ok(Grant {
            entry_id,
            plan,
            estimate,
        })
    }

    /// Grants a slot at an endpoint of a plain service that is expected to respond after `response_ms`.
    fn reserve_plain(
        &mut self,
        reservation: &Reservation,
        entry: &EndpointEntry,
        response_ms: f64,
        now: Time,
    ) -> Result<Grant, QueueEstimate> {
        let service_ms = self.endpoint_service_ms(&reservation.service, &reservation.endpoint, now);
        let load = self.loads.entry(reservation.endpoint.clone()).or_default();
        let backoff_ms = load.shared_backoff_ms(now);
        let estimate = QueueEstimate {
            expected_ms: backoff_ms + response_ms,
            backlog_ms: backoff_ms + response_ms - service_ms,
            ..QueueEstimate::default()
        };
        let request = Request {
            class: &reservation.class,
            size: 1.0,
            work_ms: service_ms,
            limit_ms: reservation.limit_ms,
            endpoint_limit_ms: max_response_ms(service_ms),
            expected_ms: estimate.expected_ms,
        };
        self.check_share(&reservation.service, request, now)
            .map_err(|retry| QueueEstimate { retry, ..estimate })?;
        self.take_token(entry, reservation.urgent, now)
            .map_err(|wait| estimate.without_token(wait))?;
        self.on_slot_granted(&reservation.service, request, now);
        let load = self.loads.entry(reservation.endpoint.clone()).or_default();
        Ok(Grant {
            entry_id: load.reserve_slot(expires_at(estimate, now)),
            plan: PrefillPlan::default(),
            estimate,
        })
    }

    /// Records the progress of a request for which this VM granted a slot.
    ///
    /// That the other VM could not reach the endpoint says nothing about the endpoint, because the path of that VM alone
    /// may be lost: this VM then probes its own.
    pub fn on_reservation_update(
        &mut self,
        endpoint: &EndpointId,
        entry_id: u64,
        update: ReservationUpdate,
        now: Time,
    ) {
        if update == ReservationUpdate::Rejected {
            self.on_room_rejected(endpoint, now);
        }
        self.on_started(endpoint, entry_id, update == ReservationUpdate::Running, now);
        let Some(load) = self.loads.get_mut(endpoint) else {
            return;
        };
        load.on_prefill_done(entry_id, now);
        if update != ReservationUpdate::Running {
            load.streams.on_end(entry_id);
        }
        match update {
            ReservationUpdate::Running => load.on_run_started(entry_id, now + MAX_RUN),
            ReservationUpdate::Ended | ReservationUpdate::Rejected => {}
            ReservationUpdate::GivenUp => {
                self.hold_slot(endpoint, now);
                self.hold_queued_slot(endpoint, now);
            }
            ReservationUpdate::EndpointUnreachable => self.suspect_path(endpoint),
        }
    }

    /// Records a coordinator's estimate of an endpoint's queue, plus `reserved_ms` for a slot granted in it.
    pub fn record_queue_estimate(
        &mut self,
        coordinator: &Coordinator,
        estimate: QueueEstimate,
        reserved_ms: f64,
        now: Time,
    ) {
        let Some(sender) = self.members.row(&coordinator.vm).map(|row| self.sender(row)) else {
            return;
        };
        let endpoint = &coordinator.reservation.endpoint;
        let load = self.loads.entry(endpoint.clone()).or_default();
        load.set_peer_backlog(sender, endpoint, estimate.backlog_ms + reserved_ms, now);
    }

    /// Records that a coordinator did not respond.
    pub fn on_coordinator_unresponsive(&mut self, vm: &VmId, now: Time) {
        self.unresponsive.insert(vm.clone(), now + UNRESPONSIVE_BACKOFF);
    }

    /// Computes the coordinators of all endpoints of this region.
    pub(crate) fn assign_coordinators(&mut self, now: Time) {
        let local_region = &self.options.local.region;
        let domains = self
            .options
            .domain_regions
            .iter()
            .filter(|(_, region)| *region == local_region);
        let assigned = domains.flat_map(|(domain, _)| self.coordinators_in(domain, now));
        self.coordinators = assigned.collect();
        self.unresponsive.retain(|_, until| *until > now);
        self.update_rate_limiter(now);
    }

    /// Returns the coordinator to ask before a request is sent to `endpoint`; `None` to send without asking, because
    /// there is none, it is this VM, or it is not live or not responsive.
    pub(crate) fn coordinator(
        &self,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        limit_ms: f64,
        is_started: bool,
        now: Time,
    ) -> Option<Coordinator> {
        let row = self.responsive_coordinator(&endpoint.id, now)?;
        Some(Coordinator {
            vm: row.vm.clone(),
            address: row.peer_listen,
            reservation: Reservation {
                endpoint: endpoint.id.clone(),
                service: admitted.service.clone(),
                prompt: admitted.prompt.clone().unwrap_or_default(),
                limit_ms,
                urgent: admitted.is_urgent(),
                cache_source_distance: self.cache_source(admitted, endpoint, now).map(|source| source.distance),
                gap_objective: admitted.route.gap_objective,
                avoids_pauses: false,
                rate_limit: self.rate_limits.state(&endpoint.id, now),
                rejection_limit: self.rejection_limit_state(endpoint, now),
                class: admitted.class(is_started, now),
            },
        })
    }

    /// Returns the coordinator of an endpoint if it is another VM that is live and responsive.
    pub(crate) fn responsive_coordinator(&self, endpoint: &EndpointId, now: Time) -> Option<&VmRow> {
        let vm = self.coordinators.get(endpoint)?;
        let is_unresponsive = self.unresponsive.get(vm).is_some_and(|until| *until > now);
        let is_asked = *vm != self.options.local.vm && self.is_live(vm, now) && !is_unresponsive;
        if is_asked { self.members.row(vm) } else { None }
    }

    /// Returns whether the coordinator of an endpoint is another VM that did not respond lately.
    fn is_coordinator_unresponsive(&self, endpoint: &EndpointId, now: Time) -> bool {
        let vm = self.coordinators.get(endpoint);
        vm.and_then(|vm| self.unresponsive.get(vm))
            .is_some_and(|until| *until > now)
    }

    /// Returns the limit of a reservation at the best endpoint in milliseconds: its coordinator declines if it expects
    /// the first event or the response later.
    ///
    /// The limit is at most `max_ms`. `margin_ms` is the difference in score to the next best endpoint: beyond it, that
    /// one is the better choice, unless the first event is soon enough anyway.
    pub(crate) fn decline_limit_ms(
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
        expected_ms: f64,
        margin_ms: f64,
        max_ms: f64,
    ) -> f64 {
        // The coordinator of a plain endpoint decides by the length of the queue alone, which it knows best.
        if admitted.prompt.is_none() || history.declines() >= MAX_SELECTIVE_DECLINES {
            return max_ms;
        }
        let soon_ms = admitted.route.objective.0 as f64 * SOON_SHARE;
        let next_best_ms = expected_ms + margin_ms + DECLINE_MARGIN_MS;
        max_ms.min(next_best_ms.max(soon_ms))
    }

    /// Returns whether a plain endpoint should not get the request because of its queue: this VM coordinates the
    /// endpoint and expects a response time above the limit, or the endpoint's coordinator declined the request.
    pub(crate) fn has_long_queue(
        &self,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        history: &AttemptHistory,
        now: Time,
    ) -> bool {
        if admitted.prompt.is_some() {
            return false;
        }
        let is_coordinator = self.is_coordinator_of(&endpoint.id);
        let limit_ms = max_response_ms(self.endpoint_service_ms(&admitted.service, &endpoint.id, now));
        // Without a coordinator that responds, each VM decides by the queue that it knows of.
        let decides = is_coordinator || self.is_coordinator_unresponsive(&endpoint.id, now);
        history.declined_wait_ms(&endpoint.id).is_some()
            || decides && self.response_ms(&admitted.service, endpoint, now) > limit_ms
    }

    /// Returns whether this VM is the coordinator of an endpoint.
    pub(crate) fn is_coordinator_of(&self, endpoint: &EndpointId) -> bool {
        self.coordinators.get(endpoint) == Some(&self.options.local.vm)
    }

    /// Returns whether an endpoint has a coordinator.
    pub(crate) fn is_coordinated(&self, endpoint: &EndpointId) -> bool {
        self.coordinators.contains_key(endpoint)
    }

    /// Returns the sender under which heartbeats report the load of a VM.
    fn sender(&self, row: &VmRow) -> Sender {
        if row.domain == self.options.local.domain {
            Sender::Vm(row.vm.clone())
        } else {
            Sender::Domain(row.domain.clone())
        }
    }

    /// Returns the coordinators of the endpoints of one failure domain, spread over its live VMs by their sizes.
    ///
    /// That of an endpoint with a limit does not depend on the other endpoints, because VMs that know different ones
    /// must agree on it. If its failure domain has no live VM, another one of the region coordinates it, because nothing is
    /// sent to it without a coordinator.
    fn coordinators_in(&self, domain: &DomainId, now: Time) -> Vec<(EndpointId, VmId)> {
        let vms: Vec<_> = self.members.live_vms(domain, now).collect();
        let mut endpoints: Vec<_> = self.endpoints_in(domain).collect();
        if vms.is_empty() {
            return self.coordinators_of_limited(&endpoints, now);
        }
        endpoints.sort();
        let weights = size_weights(vms.iter().copied());
        let total: u64 = weights.iter().sum();
        let shares = weights
            .iter()
            .map(|weight| (endpoints.len() as u64 * weight).div_ceil(total));
        let max_assigned: IndexMap<&VmId, u64> = vms.iter().map(|row| &row.vm).zip(shares).collect();
        let mut assigned: IndexMap<&VmId, u64> = IndexMap::new();
        let mut coordinators = Vec::new();
        for endpoint in endpoints {
            let ranked = rendezvous_top_by_size(endpoint, vms.iter().copied(), vms.len());
            let mut ranked = ranked.into_iter().map(|row| &row.vm);
            let first = ranked.clone().next();
            let has_room = |vm: &&VmId| assigned.get(vm).copied().unwrap_or_default() < max_assigned[vm];
            let Some(vm) = ranked.find(has_room) else {
                continue;
            };
            *assigned.entry(vm).or_default() += 1;
            let vm = first.filter(|_| self.has_limit(endpoint)).unwrap_or(vm);
            coordinators.push((endpoint.clone(), vm.clone()));
        }
        coordinators
    }

    /// Returns the coordinators of those of the endpoints that have limits, chosen from all live VMs of the region.
    fn coordinators_of_limited(&self, endpoints: &[&EndpointId], now: Time) -> Vec<(EndpointId, VmId)> {
        let limited = endpoints.iter().filter(|endpoint| self.has_limit(endpoint));
        let limited: Vec<&EndpointId> = limited.copied().collect();
        if limited.is_empty() {
            return Vec::new();
        }
        let local = self.members.local();
        let peers = self.members.peers();
        let peers = peers.filter(|row| row.region == local.region && !row.leaving && self.is_live(&row.vm, now));
        let vms: Vec<_> = peers.chain([local]).collect();
        let coordinators = limited.into_iter().filter_map(|endpoint| {
            let first = rendezvous_top_by_size(endpoint, vms.iter().copied(), 1);
            Some((endpoint.clone(), first.first()?.vm.clone()))
        });
        coordinators.collect()
    }

    fn endpoints_in<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a EndpointId> {
        let services = self.table.iter().flat_map(|table| table.services.keys());
        let usable = services.flat_map(|id| self.registry.usable(id));
        usable
            .filter(move |endpoint| endpoint.entry.domain == *domain)
            .map(|endpoint| &endpoint.entry.id)
    }
}
