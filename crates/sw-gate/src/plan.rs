//! Plans, hand-overs and ends of requests.

use sw_admit::retry_after;
use sw_error::{Kind, Refusal};
use sw_route::{Candidate, Policy, RouteQuery, RoutingState, Target, candidates};
use sw_unit::{Bytes, EndpointId, Millis, RegionId, Time};

use crate::{AdmittedRequest, DispatchOutcome, DispatchRecord, Gate, RoutingDecision, RoutingInput};

/// Time to come back when nothing is known about when capacity returns.
const NO_ENDPOINT_RETRY: Millis = Millis(1_000);

impl<P: Policy> Gate<P> {
    /// Chooses a target.
    ///
    /// # Errors
    ///
    /// Refuses, truthfully not run, if there is no target or none is worth the wait; the refusal has a time to come
    /// back.
    pub fn choose_target(
        &mut self,
        admitted: &AdmittedRequest,
        request: &RoutingInput<'_>,
        now: Time,
    ) -> Result<RoutingDecision, Refusal> {
        self.demand
            .asked(request.model.or_else(|| admitted.route().models.first()));
        let ask = RouteQuery {
            fleet: &admitted.version.fleet,
            route: admitted.route(),
            targets: admitted.route_targets(),
            workspace: admitted.workspace(),
            model: request.model,
            body_len: request.len,
            prefix_hashes: request.prefixes,
            tried: request.tried,
            may_forward: !admitted.forwarded,
            remaining: admitted.deadline.since(now),
        };
        let view = RoutingState {
            members: &self.members,
            loads: &self.loads,
            prefixes: &self.prefixes,
            leaving: &self.leaving,
            link_queues: &self.links,
            now,
        };
        candidates(&ask, &view, &mut self.scratch);
        let considered = self.scratch.len();
        let Some((index, reason)) = self.policy.choose(&ask, &self.scratch, &mut self.rng) else {
            return Err(Refusal::after(
                Kind::NoEndpoint,
                retry_after(NO_ENDPOINT_RETRY, self.rng.f64()),
            ));
        };
        let candidate = self.scratch[index].clone();
        let service = candidate.completion.saturating_sub(candidate.queue_wait);
        if P::SHEDS
            && let Err(refusal) = self
                .shedder
                .admit(ask.route.worth, candidate.queue_wait, service, ask.remaining)
        {
            return Err(self.with_spread(refusal));
        }
        let vm = self.vm_for(&candidate, now)?;
        Ok(RoutingDecision {
            candidate,
            reason,
            considered,
            forward_to: vm,
        })
    }

    /// Checks a request again right before its first byte leaves this VM, and counts it as sent.
    ///
    /// # Errors
    ///
    /// Refuses, truthfully not run, if its deadline has passed, the configuration now in force does not permit the
    /// target, or the target is leaving.
    pub fn dispatch(
        &mut self,
        admitted: &AdmittedRequest,
        plan: &RoutingDecision,
        request: &RoutingInput<'_>,
        now: Time,
    ) -> Result<DispatchRecord, Refusal> {
        if now >= admitted.deadline {
            return Err(Kind::DeadlineUnreachable.into());
        }
        let work = plan.candidate.work;
        match &plan.candidate.target {
            Target::Endpoint(id) => {
                let domain = self.members.local().domain.clone();
                self.fleet()?.permits_domain(admitted, &domain)?;
                if self.leaving.contains(id, self.loads.incarnation(id)) {
                    return Err(Kind::NoEndpoint.into());
                }
                self.loads.on_dispatch(id, work, now);
                self.prefixes.on_dispatch(id, request.prefixes);
            }
            Target::Domain(domain) => {
                self.fleet()?.permits_domain(admitted, domain)?;
                self.loads.on_forwarded(domain, work, now);
                if let Some(vm) = &plan.forward_to {
                    self.count_transfer(admitted, &vm.region, request.len, now);
                }
            }
        }
        Ok(DispatchRecord {
            target: plan.candidate.target.clone(),
            dispatched_at: now,
            expected: plan.candidate.completion,
            remaining: admitted.deadline.since(now),
        })
    }

    /// Records how a request that was handed over ended.
    pub fn on_end(&mut self, handed: &DispatchRecord, finish: DispatchOutcome, now: Time) {
        let taken = now.since(handed.dispatched_at);
        if finish == DispatchOutcome::Complete {
            self.shedder.record_response(taken > handed.remaining);
        }
        match &handed.target {
            Target::Endpoint(id) => {
                self.loads.on_end(id);
                if finish == DispatchOutcome::Complete {
                    self.loads.on_connected(id, now);
                    self.loads.record_duration(id, taken, handed.expected, now);
                }
            }
            Target::Domain(domain) if finish == DispatchOutcome::Complete => {
                self.loads.record_remote_duration(domain, taken, handed.expected, now);
            }
            Target::Domain(_) => {}
        }
    }

    /// Records that a new connection to an endpoint could not be made.
    pub fn on_endpoint_unreachable(&mut self, endpoint: &EndpointId, now: Time) {
        self.loads.on_connect_failed(endpoint, now);
    }

    /// Takes a retry out of the budget, and returns whether there was one.
    pub fn withdraw_retry(&mut self, admitted: &AdmittedRequest, now: Time) -> bool {
        now < admitted.deadline && self.budget.withdraw()
    }

    fn vm_for(&mut self, candidate: &Candidate, now: Time) -> Result<Option<sw_member::VmRow>, Refusal> {
        let Target::Domain(domain) = &candidate.target else {
            return Ok(None);
        };
        let live = self.members.live_vms(domain, now);
        let count = live.clone().count();
        if count == 0 {
            return Err(Refusal::after(
                Kind::NoEndpoint,
                retry_after(NO_ENDPOINT_RETRY, self.rng.f64()),
            ));
        }
        let index = self.rng.usize(..count);
        Ok(self.members.live_vms(domain, now).nth(index).cloned())
    }

    fn count_transfer(&mut self, admitted: &AdmittedRequest, region: &RegionId, len: Bytes, now: Time) {
        let own = &self.members.local().region;
        if let Some(link) = admitted.version.fleet.link(own, region) {
            let vms = self.members.local_live_count(now);
            self.links.on_dispatch(region, len, link.bandwidth_mbps.0, vms, now);
        }
    }

    fn with_spread(&mut self, refusal: Refusal) -> Refusal {
        let random = self.rng.f64();
        Refusal {
            retry_after: refusal.retry_after.map(|base| retry_after(base, random)),
            ..refusal
        }
    }
}
