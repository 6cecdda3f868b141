//! Enforcement of shares, by the coordinators of endpoints.
//!
//! The coordinator of an endpoint records what is asked of it and what it grants (`fair_share.rs`). While its endpoints of
//! the service are contended, it declines what exceeds its share at a shorter wait than the asking VM stated. That VM then
//! asks at another endpoint, as after any decline.

use strum::{Display, IntoStaticStr};
use sw_unit::{EndpointId, Millis, Time};

use crate::admission_limit::{admission_limit, max_response_ms, on_time_ms};
use crate::fair_share::{Ask, RequestClass};
use crate::{
    AdmittedRequest, AttemptHistory, EndpointEntry, FairShare, Prompt, QueueEstimate, Relay, Reservation, ServiceId,
};

/// Time after which a request that was granted a slot is not expected to start any more.
const MAX_START: Millis = Millis(10_000);

/// Why a coordinator declined a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DeclineReason {
    /// The queue is too long for it.
    Queue,
    /// The queue is short enough, but the rest of it is kept for others.
    Share,
}

/// When a request that was granted a slot is expected to start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExpectedStart {
    expected_ms: f64,
    granted_at: Time,
}

/// What a request asks of an endpoint, and the wait that is expected for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    /// What it counts as.
    pub(crate) class: &'a RequestClass,
    /// Its size: tokens of the prompt, or 1 for a plain request.
    pub(crate) size: f64,
    /// The work that it causes, in milliseconds.
    pub(crate) work_ms: f64,
    /// The longest expected wait for which the asking VM accepts it, in milliseconds.
    pub(crate) limit_ms: f64,
    /// The longest expected wait for which the endpoint takes requests, in milliseconds.
    pub(crate) endpoint_limit_ms: f64,
    /// Milliseconds to the first event, or to the response.
    pub(crate) expected_ms: f64,
}

impl<'a> Request<'a> {
    fn ask(self) -> Ask<'a> {
        Ask {
            class: self.class,
            size: self.size,
            work_ms: self.work_ms,
            limit_ms: self.limit_ms.min(self.endpoint_limit_ms),
            on_time_ms: on_time_ms(self.class, self.limit_ms).min(self.endpoint_limit_ms),
        }
    }
}

impl Relay {
    /// Returns the shares of the endpoints of a service that this VM coordinates.
    pub fn fair_share(&self, service: &ServiceId) -> Option<&FairShare> {
        self.shares.get(service)
    }

    /// Checks that a request may have a slot, as the coordinator of an endpoint, and records that it asked for one.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be room for it, if it is known.
    pub(crate) fn check_share(
        &mut self,
        service: &ServiceId,
        request: Request<'_>,
        now: Time,
    ) -> Result<(), Option<Millis>> {
        if !self.options.shares_capacity {
            let limit_ms = request.limit_ms.min(request.endpoint_limit_ms);
            return if request.expected_ms <= limit_ms {
                Ok(())
            } else {
                Err(None)
            };
        }
        let share = self.shares.entry(service.clone()).or_default();
        let ask = request.ask();
        let ask = Ask {
            on_time_ms: share.on_time_ms(ask.on_time_ms, now),
            ..ask
        };
        share.on_asked(&ask, request.expected_ms, now);
        let (_, limit_ms) = share.limit(&ask, now);
        if request.expected_ms <= limit_ms {
            return Ok(());
        }
        share.on_declined(&ask, now);
        // What has been contended for some time is expected to stay so for as long again.
        let until_room = Millis((request.expected_ms - limit_ms) as u64);
        Err(share.is_contended(now).then(|| until_room + share.contended_for(now)))
    }

    /// Records that a slot was granted to a request, as the coordinator of an endpoint.
    pub(crate) fn on_slot_granted(&mut self, service: &ServiceId, request: Request<'_>, now: Time) {
        if self.options.shares_capacity {
            let share = self.shares.entry(service.clone()).or_default();
            share.on_granted(&request.ask(), now);
        }
    }

    /// Records when a request that was granted a slot is expected to start.
    pub(crate) fn expect_start(&mut self, endpoint: &EndpointId, entry_id: u64, expected_ms: f64, now: Time) {
        if !self.options.shares_capacity {
            return;
        }
        let start = ExpectedStart {
            expected_ms,
            granted_at: now,
        };
        self.expected_starts.insert((endpoint.clone(), entry_id), start);
    }

    /// Records that a request that was granted a slot started, or that it ended before.
    pub(crate) fn on_started(&mut self, endpoint: &EndpointId, entry_id: u64, is_running: bool, now: Time) {
        let start = self.expected_starts.swap_remove(&(endpoint.clone(), entry_id));
        let Some(start) = start.filter(|_| is_running) else {
            return;
        };
        let service = self.registry.get(endpoint).map(|known| known.entry.service.clone());
        if let Some(share) = service.and_then(|service| self.shares.get_mut(&service)) {
            let late_ms = now.since(start.granted_at).0 as f64 - start.expected_ms;
            share.record_lateness(late_ms, now);
        }
    }

    /// Records an attempt of this VM, also as the coordinator of its endpoint unless another VM granted the slot.
    pub(crate) fn record_shares(
        &mut self,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        is_granted: bool,
        work_ms: f64,
        expected_ms: f64,
        now: Time,
    ) {
        if !self.options.shares_capacity {
            return;
        }
        let service = &admitted.service;
        let class = admitted.class(admitted.resumed, now);
        let request = self.describe(admitted, &class, work_ms, expected_ms, now);
        if !is_granted && self.is_coordinator_of(&endpoint.id) {
            let share = self.shares.entry(service.clone()).or_default();
            share.on_asked(&request.ask(), expected_ms, now);
            self.on_slot_granted(service, request, now);
        }
        let share = self.own_shares.entry(service.clone()).or_default();
        share.on_granted(&request.ask(), now);
        self.returns.entry(service.clone()).or_default().on_granted(now);
    }

    /// Records that a caller of this VM asks for a slot.
    pub(crate) fn record_own_ask(&mut self, admitted: &AdmittedRequest, now: Time) {
        if !self.options.shares_capacity {
            return;
        }
        let class = admitted.class(admitted.resumed, now);
        let work_ms = self.uncached_ms(admitted);
        let request = self.describe(admitted, &class, work_ms, work_ms, now);
        let share = self.own_shares.entry(admitted.service.clone()).or_default();
        share.on_asked(&request.ask(), work_ms, now);
    }

    /// Returns whether this VM coordinates an endpoint and keeps what is left of its queue for others than this request.
    pub(crate) fn is_kept_for_others(
        &self,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        history: &AttemptHistory,
        now: Time,
    ) -> bool {
        let share = self.shares.get(&admitted.service);
        let share = share.filter(|share| share.is_contended(now) && self.is_coordinator_of(&endpoint.id));
        let Some(share) = share else {
            return false;
        };
        if admitted.resumed || history.may_have_run() {
            return false;
        }
        let class = admitted.class(false, now);
        let (work_ms, expected_ms) = self.own_estimate(admitted, &endpoint.id, endpoint, now);
        let request = self.describe(admitted, &class, work_ms, expected_ms, now);
        let ask = request.ask();
        let (_, limit_ms) = share.limit(&ask, now);
        expected_ms <= ask.limit_ms && expected_ms > limit_ms
    }

    /// Returns whether a prompt that seems too late is still offered to a coordinator, because this VM sent so few of its
    /// kind that it may be owed a guaranteed minimum. The load that other VMs know of includes the time reserved by the
    /// prefill budget, which does not hold for these.
    pub(crate) fn may_be_owed(&self, admitted: &AdmittedRequest, now: Time) -> bool {
        let (Some(prompt), Some(share)) = (&admitted.prompt, self.own_shares.get(&admitted.service)) else {
            return false;
        };
        share.is_guaranteed(&admitted.class(admitted.resumed, now), prompt.input.0 as f64)
    }

    /// Keeps the slot of an abandoned request at a plain endpoint with a queue, which may still run it.
    pub(crate) fn hold_queued_slot(&mut self, endpoint: &EndpointId, now: Time) {
        let Some(entry) = self.registry.get(endpoint).map(|known| &known.entry) else {
            return;
        };
        if self.cache_capacity(&entry.service).is_some() {
            return;
        }
        let (slots, held) = (
            entry.slots,
            Millis(self.granted_response_ms(&entry.service, entry, now) as u64),
        );
        if let Some(load) = self
            .loads
            .get_mut(endpoint)
            .filter(|load| load.accounted_running() >= slots)
        {
            load.reserve_slot(now + held);
        }
    }

    /// Returns the services that became contended, or are not any more, at endpoints that this VM coordinates, since the
    /// last call.
    pub fn take_contention_changes(&mut self, now: Time) -> Vec<(ServiceId, bool)> {
        let changes = self.shares.iter_mut().filter_map(|(service, share)| {
            let is_contended = share.take_change(now)?;
            Some((service.clone(), is_contended))
        });
        changes.collect()
    }

    /// Returns the number of services that are contended at endpoints that this VM coordinates.
    pub fn contended_services(&self, now: Time) -> usize {
        self.shares.values().filter(|share| share.is_contended(now)).count()
    }

    /// Returns whether a prompt is not held back by the prefill budget of an engine that this VM coordinates: the most urgent
    /// ones, and those that are owed a guaranteed minimum, because urgent ones can use up the whole budget.
    pub(crate) fn bypasses_budget(
        &self,
        service: &ServiceId,
        class: &RequestClass,
        prompt: &Prompt,
        now: Time,
    ) -> bool {
        let share = self.shares.get(service);
        class.priority == 0 || share.is_some_and(|share| share.is_owed(class, prompt.input.0 as f64, now))
    }

    /// Returns why the coordinator of an endpoint declined.
    pub fn decline_reason(&self, reservation: &Reservation, estimate: &QueueEstimate) -> DeclineReason {
        let is_plain = self.cache_capacity(&reservation.service).is_none();
        let limit_ms = if is_plain {
            reservation
                .limit_ms
                .min(max_response_ms(self.service_ms(&reservation.service)))
        } else {
            reservation.limit_ms
        };
        // Calls between VMs carry whole milliseconds.
        if estimate.expected_ms < limit_ms.trunc() {
            DeclineReason::Share
        } else {
            DeclineReason::Queue
        }
    }

    /// Returns the time after which a refused caller should return, and takes a slot for it; `None` if this VM does not
    /// know how fast room frees.
    pub(crate) fn scheduled_return(
        &mut self,
        service: &ServiceId,
        earliest: Millis,
        longest: Millis,
        now: Time,
    ) -> Option<Millis> {
        let returns = self.returns.get_mut(service)?;
        if !returns.is_rate_known(now) {
            return None;
        }
        returns.book(earliest, longest, self.rng.f64(), now)
    }

    /// Drops shares of workspaces and routes without recent requests.
    pub(crate) fn prune_shares(&mut self, now: Time) {
        for share in self.shares.values_mut().chain(self.own_shares.values_mut()) {
            share.prune(now);
        }
        self.expected_starts
            .retain(|_, start| now.since(start.granted_at) < MAX_START);
        let Some(table) = &self.table else {
            return;
        };
        let is_known = |service: &ServiceId| table.services.contains_key(service);
        self.shares.retain(|service, _| is_known(service));
        self.own_shares.retain(|service, _| is_known(service));
        self.returns.retain(|service, _| is_known(service));
    }

    /// Returns what a request of this VM asks of an endpoint.
    fn describe<'a>(
        &self,
        admitted: &AdmittedRequest,
        class: &'a RequestClass,
        work_ms: f64,
        expected_ms: f64,
        now: Time,
    ) -> Request<'a> {
        let limit_ms = admission_limit(admitted, self.uncached_ms(admitted), now);
        let (size, endpoint_limit_ms) = match &admitted.prompt {
            Some(prompt) => (prompt.input.0 as f64, f64::INFINITY),
            None => (1.0, max_response_ms(self.service_ms(&admitted.service))),
        };
        Request {
            class,
            size,
            work_ms,
            limit_ms,
            endpoint_limit_ms,
            expected_ms,
        }
    }

    /// Returns the work of a request at an endpoint that this VM coordinates, and the expected time to its first event or
    /// its response, both in milliseconds.
    fn own_estimate(
        &self,
        admitted: &AdmittedRequest,
        id: &EndpointId,
        entry: &EndpointEntry,
        now: Time,
    ) -> (f64, f64) {
        let service = &admitted.service;
        let Some(prompt) = &admitted.prompt else {
            return (self.service_ms(service), self.response_ms(service, entry, now));
        };
        let plan = self.prefill_plan(service, id, prompt, None, now);
        let bypasses_budget = self.bypasses_budget(service, &admitted.class(false, now), prompt, now);
        let queue_ms = self.account_queue_ms(service, id, bypasses_budget, now);
        (
            self.prefill_ms(service, plan.prefill),
            self.first_event_ms(service, id, plan, queue_ms, now),
        )
    }
}
