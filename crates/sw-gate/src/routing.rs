//! Target selection, dispatch and end of requests.

use sw_admit::retry_after;
use sw_error::{Kind, Refusal};
use sw_route::{Candidate, Policy, RouteQuery, RoutingState, Target, candidates};
use sw_unit::{Bytes, EndpointId, Millis, RegionId, Time};

use crate::{AdmittedRequest, DispatchOutcome, DispatchRecord, Gate, RoutingDecision, RoutingInput};

/// Base of the retry-after time when there is no estimate of when capacity returns.
const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(1_000);

impl<P: Policy> Gate<P> {
    /// Chooses the target of a request.
    ///
    /// # Errors
    ///
    /// Refuses if there is no target, the target is a domain without a live VM, or the wait is too long for the worth
    /// of the request. The refusal has a retry-after time, and the request is guaranteed not to have run.
    pub fn choose_target(
        &mut self,
        admitted: &AdmittedRequest,
        input: &RoutingInput<'_>,
        now: Time,
    ) -> Result<RoutingDecision, Refusal> {
        self.demand
            .record_request(input.model.or_else(|| admitted.route().models.first()));
        let query = RouteQuery {
            fleet: &admitted.version.fleet,
            route: admitted.route(),
            targets: admitted.route_targets(),
            workspace: admitted.workspace(),
            model: input.model,
            body_len: input.len,
            prefix_hashes: input.prefixes,
            earlier_targets: input.earlier_targets,
            may_forward: !admitted.forwarded,
            remaining: admitted.deadline.since(now),
        };
        let state = RoutingState {
            members: &self.members,
            loads: &self.load_tracker,
            prefixes: &self.prefix_hints,
            leaving: &self.leaving,
            link_queues: &self.link_queues,
            now,
        };
        candidates(&query, &state, &mut self.candidates);
        let considered = self.candidates.len();
        let Some((index, reason)) = self.policy.choose(&query, &self.candidates, &mut self.rng) else {
            return Err(Refusal::with_retry_after(
                Kind::NoEndpoint,
                retry_after(NO_ENDPOINT_RETRY_AFTER, self.rng.f64()),
            ));
        };
        let candidate = self.candidates[index].clone();
        let service = candidate.completion.saturating_sub(candidate.queue_wait);
        if P::SHEDS
            && let Err(refusal) = self
                .shedder
                .admit(query.route.worth, candidate.queue_wait, service, query.remaining)
        {
            return Err(self.with_jitter(refusal));
        }
        let forward_to = self.vm_to_forward_to(&candidate, now)?;
        Ok(RoutingDecision {
            candidate,
            reason,
            considered,
            forward_to,
        })
    }

    /// Checks a request again immediately before its first byte leaves this VM, and counts it as sent.
    ///
    /// # Errors
    ///
    /// Refuses if its deadline has passed, the configuration now in force does not permit the target, or the target is
    /// an endpoint that is leaving. The request is guaranteed not to have run.
    pub fn dispatch(
        &mut self,
        admitted: &AdmittedRequest,
        decision: &RoutingDecision,
        input: &RoutingInput<'_>,
        now: Time,
    ) -> Result<DispatchRecord, Refusal> {
        if now >= admitted.deadline {
            return Err(Kind::DeadlineUnreachable.into());
        }
        let work = decision.candidate.work;
        match &decision.candidate.target {
            Target::Endpoint(id) => {
                let domain = self.members.local().domain.clone();
                self.fleet()?.permits_domain(admitted, &domain)?;
                if self.leaving.contains(id, self.load_tracker.incarnation(id)) {
                    return Err(Kind::NoEndpoint.into());
                }
                self.load_tracker.on_dispatch(id, work, now);
                self.prefix_hints.on_dispatch(id, input.prefixes);
            }
            Target::Domain(domain) => {
                self.fleet()?.permits_domain(admitted, domain)?;
                self.load_tracker.on_forwarded(domain, work, now);
                if let Some(vm) = &decision.forward_to {
                    self.record_forward(admitted, &vm.region, input.len, now);
                }
            }
        }
        Ok(DispatchRecord {
            target: decision.candidate.target.clone(),
            dispatched_at: now,
            expected: decision.candidate.completion,
            remaining: admitted.deadline.since(now),
        })
    }

    /// Checks a request again immediately before it is sent to the VM in `region` that owns its ticket.
    ///
    /// # Errors
    ///
    /// Refuses if its deadline has passed, or the configuration now in force does not permit the region. The request is
    /// guaranteed not to have run.
    pub fn check_owner_region(&self, admitted: &AdmittedRequest, region: &RegionId, now: Time) -> Result<(), Refusal> {
        if now >= admitted.deadline {
            return Err(Kind::DeadlineUnreachable.into());
        }
        if !self.fleet()?.permits_region(admitted, region)? {
            return Err(Kind::WrongRegion.into());
        }
        Ok(())
    }

    /// Records how a dispatched request ended.
    pub fn on_end(&mut self, dispatched: &DispatchRecord, outcome: DispatchOutcome, now: Time) {
        let duration = now.since(dispatched.dispatched_at);
        if outcome == DispatchOutcome::Complete {
            self.shedder.record_response(duration > dispatched.remaining);
        }
        match &dispatched.target {
            Target::Endpoint(id) => {
                self.load_tracker.on_end(id);
                if outcome == DispatchOutcome::Complete {
                    self.load_tracker.on_connected(id, now);
                    self.load_tracker
                        .record_duration(id, duration, dispatched.expected, now);
                }
            }
            Target::Domain(domain) if outcome == DispatchOutcome::Complete => {
                self.load_tracker
                    .record_remote_duration(domain, duration, dispatched.expected, now);
            }
            Target::Domain(_) => {}
        }
    }

    /// Records that no new connection to an endpoint could be made.
    pub fn on_endpoint_unreachable(&mut self, endpoint: &EndpointId, now: Time) {
        self.load_tracker.on_connect_failed(endpoint, now);
    }

    /// Withdraws a retry from the budget unless the deadline has passed, and returns whether there was one.
    pub fn withdraw_retry(&mut self, admitted: &AdmittedRequest, now: Time) -> bool {
        now < admitted.deadline && self.retry_budget.withdraw()
    }

    fn vm_to_forward_to(&mut self, candidate: &Candidate, now: Time) -> Result<Option<sw_member::VmRow>, Refusal> {
        let Target::Domain(domain) = &candidate.target else {
            return Ok(None);
        };
        let live = self.members.live_vms(domain, now);
        let count = live.clone().count();
        if count == 0 {
            return Err(Refusal::with_retry_after(
                Kind::NoEndpoint,
                retry_after(NO_ENDPOINT_RETRY_AFTER, self.rng.f64()),
            ));
        }
        let index = self.rng.usize(..count);
        Ok(self.members.live_vms(domain, now).nth(index).cloned())
    }

    fn record_forward(&mut self, admitted: &AdmittedRequest, region: &RegionId, len: Bytes, now: Time) {
        let local = &self.members.local().region;
        if let Some(link) = admitted.version.fleet.link(local, region) {
            let vms = self.members.local_live_count(now);
            self.link_queues
                .on_dispatch(region, len, link.bandwidth_mbps.0, vms, now);
        }
    }

    fn with_jitter(&mut self, refusal: Refusal) -> Refusal {
        let random = self.rng.f64();
        Refusal {
            retry_after: refusal.retry_after.map(|base| retry_after(base, random)),
            ..refusal
        }
    }
}
