//! Which VM keeps account of an engine's queue.
//!
//! What waits at an engine is known at once only to those that sent it; others hear of it with the next heartbeat,
//! when most of it has been read. So each engine has a coordinator, a live VM of its own failure domain, which the VMs
//! of the region ask before they send a prompt there: it grants a [`Reservation`], or tells how busy the engine is.
//! The prompt itself goes straight to the engine. A VM whose coordinator does not answer sends without asking.
//!
//! All VMs work out the coordinators alike from the VMs and endpoints that they know. Where they know different ones
//! for a moment, an engine has two, which makes the estimates of both less exact and does no other harm.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_member::{VmRow, rendezvous_top};
use sw_unit::{DomainId, EndpointId, Millis, Time, VmId};

use crate::load::Sender;
use crate::{AdmittedRequest, AttemptHistory, Distance, EndpointEntry, PrefillPlan, Prompt, Relay, ServiceId};

/// Delay beyond what was expected for which a coordinator does not decline yet, in milliseconds.
const DECLINE_MARGIN_MS: f64 = 40.0;
/// Share of the objective within which an engine begins soon enough, whatever others would.
const SOON_SHARE: f64 = 0.3;
/// The longest answer for which a place at a plain service is granted, in times that one takes without a queue; a
/// longer queue makes no endpoint faster, and endpoints reject what exceeds theirs.
const MAX_QUEUE_ANSWERS: f64 = 2.5;
/// An answer within this many milliseconds is granted in any case; places are not released that exactly.
const SHORT_ANSWER_MS: f64 = 50.0;
/// Declines after which any engine will do that begins within the objective.
const MAX_CHOOSY_DECLINES: u32 = 2;
/// Declines after which a region is taken to be full.
const MAX_DECLINES: u32 = 4;
/// A reservation that is not released is dropped after this many times the time that was expected,
const LOST_AFTER_EXPECTED: f64 = 3.0;
/// and this much more.
const LOST_AFTER: Millis = Millis(2_000);
/// Time after its first event after which a request is taken to have ended, if nobody says so.
const LONGEST_RUN: Millis = Millis(10_000);
/// Time for which a coordinator that did not answer is not asked.
const SILENCE: Millis = Millis(1_000);
/// What an engine that its coordinator does not know or use is said to take, in milliseconds.
const UNKNOWN_MS: f64 = 10_000.0;

/// A request for a place in an engine's queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The engine.
    pub endpoint: EndpointId,
    /// The service that the prompt is for.
    pub service: ServiceId,
    /// The prompt; empty for a plain service.
    pub prompt: Prompt,
    /// Milliseconds to the first event beyond which the coordinator declines.
    pub limit_ms: f64,
    /// Whether the request is of the most urgent kind, which may use the time that is left for answers.
    pub urgent: bool,
    /// How far another engine is that is believed to keep the shared parts of the prompt.
    pub source_distance: Option<Distance>,
}

/// The VM to ask for a place in an engine's queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Coordinator {
    /// The VM.
    pub vm: VmId,
    /// Where it takes calls of other VMs.
    pub address: SocketAddr,
    /// What to ask.
    pub reservation: Reservation,
}

/// How busy an engine is, as its coordinator knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueEstimate {
    /// Milliseconds to the first event of the prompt in question.
    pub expected_ms: f64,
    /// Milliseconds of reading that are ahead of it.
    pub backlog_ms: f64,
}

/// A place in an engine's queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Stands for it when it is released.
    pub entry_id: u64,
    /// What the engine has to do for the prompt.
    pub plan: PrefillPlan,
    /// How busy the engine is.
    pub estimate: QueueEstimate,
}

/// How far a request came for which a place was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationUpdate {
    /// Its prompt was read; it runs.
    Running,
    /// It ended, or was not sent.
    Ended,
    /// The endpoint was not there.
    EndpointUnreachable,
}

impl AttemptHistory {
    /// Whether enough coordinators declined a request for the own region to be full.
    pub(crate) fn is_local_region_full(&self) -> bool {
        self.declines() >= MAX_DECLINES
    }
}

/// The longest answer for which a place is granted at a plain service that takes `service_ms` without a queue.
fn longest_answer_ms(service_ms: f64) -> f64 {
    (service_ms * MAX_QUEUE_ANSWERS).max(SHORT_ANSWER_MS)
}

/// When a place is dropped that is not released.
fn lost_at(wait: QueueEstimate, now: Time) -> Time {
    now + LOST_AFTER + Millis((wait.expected_ms * LOST_AFTER_EXPECTED) as u64)
}

/// The coordinators of endpoints.
pub(crate) type Coordinators = IndexMap<EndpointId, VmId>;

impl Relay {
    /// Grants a place in the queue of an engine that this VM coordinates.
    ///
    /// # Errors
    ///
    /// Returns how busy the engine is if that is more than the reservation allows.
    pub fn reserve(&mut self, reservation: &Reservation, now: Time) -> Result<Grant, QueueEstimate> {
        let Reservation {
            endpoint,
            service,
            prompt,
            limit_ms,
            urgent,
            source_distance: source,
        } = reservation;
        let known = self.registry.get(endpoint);
        let Some(known) = known.filter(|known| self.registry.may_send(&known.entry, now)) else {
            return Err(QueueEstimate {
                expected_ms: UNKNOWN_MS,
                backlog_ms: UNKNOWN_MS,
            });
        };
        let Some(memory) = self.cache_capacity(service) else {
            let answer_ms = self.response_ms(service, &known.entry, now);
            return self.reserve_place(reservation, answer_ms, now);
        };
        let intake = self.prefill_plan(service, endpoint, prompt, *source, now);
        let prefill_ms = self.prefill_ms(service, intake.prefill);
        let copied_in = Millis(self.plan_transfer_ms(service, intake) as u64);
        let queue_ms = self.account_queue_ms(service, endpoint, *urgent, now);
        let expected_ms = self.first_event_ms(service, endpoint, intake, queue_ms, now);
        let load = self.loads.entry(endpoint.clone()).or_default();
        let pause_ms = load.backoff_remaining_ms(now);
        let wait = QueueEstimate {
            expected_ms: pause_ms + expected_ms,
            backlog_ms: pause_ms + queue_ms,
        };
        if wait.expected_ms > *limit_ms {
            return Err(wait);
        }
        load.cache.insert(prompt, memory, now);
        let ticket = load.reserve_prefill(prefill_ms, now + copied_in, lost_at(wait, now), now);
        self.record_prefill(service, endpoint, prompt, wait.expected_ms, now);
        Ok(Grant {
            entry_id: ticket,
            plan: intake,
            estimate: wait,
        })
    }

    /// Grants a place at an endpoint of a plain service that is expected to answer after `answer_ms`.
    fn reserve_place(&mut self, reservation: &Reservation, answer_ms: f64, now: Time) -> Result<Grant, QueueEstimate> {
        let service_ms = self.service_ms(&reservation.service);
        let load = self.loads.entry(reservation.endpoint.clone()).or_default();
        let pause_ms = load.backoff_remaining_ms(now);
        let wait = QueueEstimate {
            expected_ms: pause_ms + answer_ms,
            backlog_ms: pause_ms + answer_ms - service_ms,
        };
        if wait.expected_ms > reservation.limit_ms.min(longest_answer_ms(service_ms)) {
            return Err(wait);
        }
        Ok(Grant {
            entry_id: load.reserve_slot(lost_at(wait, now)),
            plan: PrefillPlan::default(),
            estimate: wait,
        })
    }

    /// Takes in how far a request came for which this VM granted a place.
    ///
    /// Returns the end of the pause if the endpoint is paused for being absent.
    pub fn on_reservation_update(
        &mut self,
        endpoint: &EndpointId,
        ticket: u64,
        release: ReservationUpdate,
        now: Time,
    ) -> Option<Time> {
        let load = self.loads.get_mut(endpoint)?;
        load.on_prefill_done(ticket, now);
        match release {
            ReservationUpdate::Running => load.on_run_started(ticket, now + LONGEST_RUN),
            ReservationUpdate::Ended => {}
            ReservationUpdate::EndpointUnreachable => return load.on_failure(true, now),
        }
        None
    }

    /// Records what the coordinator of an engine said of its queue, `reserved_ms` for a place in it included.
    pub fn record_queue_estimate(
        &mut self,
        coordinator: &Coordinator,
        wait: QueueEstimate,
        reserved_ms: f64,
        now: Time,
    ) {
        let Some(sender) = self.members.row(&coordinator.vm).map(|row| self.sender(row)) else {
            return;
        };
        let endpoint = &coordinator.reservation.endpoint;
        let load = self.loads.entry(endpoint.clone()).or_default();
        load.set_peer_backlog(sender, endpoint, wait.backlog_ms + reserved_ms, now);
    }

    /// Records that a coordinator did not answer.
    pub fn on_coordinator_unresponsive(&mut self, vm: &VmId, now: Time) {
        self.silent.insert(vm.clone(), now + SILENCE);
    }

    /// Works out the coordinators of all endpoints of this region.
    pub(crate) fn assign_coordinators(&mut self, now: Time) {
        let own = &self.options.local.region;
        let domains = self.options.domain_regions.iter().filter(|(_, region)| *region == own);
        let assigned = domains.flat_map(|(domain, _)| self.coordinators_in(domain, now));
        self.coordinators = assigned.collect();
        self.silent.retain(|_, until| *until > now);
    }

    /// Whom to ask before a request is sent to `endpoint`; `None` if this VM sends it without asking.
    pub(crate) fn coordinator(
        &self,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        limit_ms: f64,
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
                source_distance: self.cache_source(admitted, endpoint, now).map(|source| source.distance),
            },
        })
    }

    /// Another VM that coordinates an endpoint and answers.
    pub(crate) fn responsive_coordinator(&self, endpoint: &EndpointId, now: Time) -> Option<&VmRow> {
        let vm = self.coordinators.get(endpoint)?;
        let is_silent = self.silent.get(vm).is_some_and(|until| *until > now);
        let is_asked = *vm != self.options.local.vm && self.is_live(vm, now) && !is_silent;
        if is_asked { self.members.row(vm) } else { None }
    }

    /// Milliseconds to the first event beyond which the coordinator of the best engine shall decline, if the next best
    /// one is `ahead_ms` behind it and the request must begin within `limit_ms`.
    pub(crate) fn decline_limit_ms(
        admitted: &AdmittedRequest,
        tried: &AttemptHistory,
        expected_ms: f64,
        ahead_ms: f64,
        limit_ms: f64,
    ) -> f64 {
        // The coordinator of a plain endpoint declines by the length of its queue alone, which it knows best.
        if admitted.prompt.is_none() || tried.declines() >= MAX_CHOOSY_DECLINES {
            return limit_ms;
        }
        let soon = admitted.route.objective.0 as f64 * SOON_SHARE;
        let better_elsewhere = expected_ms + ahead_ms + DECLINE_MARGIN_MS;
        limit_ms.min(better_elsewhere.max(soon))
    }

    /// Whether an endpoint of a plain service has a queue that is long enough, as far as this VM is sure: it keeps the
    /// account itself, or was told so for this request.
    pub(crate) fn has_long_queue(
        &self,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        tried: &AttemptHistory,
        now: Time,
    ) -> bool {
        if admitted.prompt.is_some() {
            return false;
        }
        let is_own = self.is_coordinator_of(&endpoint.id);
        let limit_ms = longest_answer_ms(self.service_ms(&admitted.service));
        tried.declined_wait_ms(&endpoint.id).is_some()
            || is_own && self.response_ms(&admitted.service, endpoint, now) > limit_ms
    }

    /// Whether this VM is the coordinator of an endpoint.
    pub(crate) fn is_coordinator_of(&self, endpoint: &EndpointId) -> bool {
        self.coordinators.get(endpoint) == Some(&self.options.local.vm)
    }

    /// Whether some VM keeps account of an endpoint's queue.
    pub(crate) fn is_coordinated(&self, endpoint: &EndpointId) -> bool {
        self.coordinators.contains_key(endpoint)
    }

    /// Under which name heartbeats tell what a VM has waiting.
    fn sender(&self, row: &VmRow) -> Sender {
        if row.domain == self.options.local.domain {
            Sender::Vm(row.vm.clone())
        } else {
            Sender::Domain(row.domain.clone())
        }
    }

    /// The coordinators of the endpoints of one failure domain, about as many for each of its live VMs.
    fn coordinators_in(&self, domain: &DomainId, now: Time) -> Vec<(EndpointId, VmId)> {
        let vms: Vec<_> = self.members.live_vms(domain, now).map(|row| &row.vm).collect();
        let mut endpoints: Vec<_> = self.endpoints_in(domain).collect();
        endpoints.sort();
        let room = endpoints.len().div_ceil(vms.len().max(1));
        let mut assigned: IndexMap<&VmId, usize> = IndexMap::new();
        let mut coordinators = Vec::new();
        for endpoint in endpoints {
            let ranked = rendezvous_top(endpoint, vms.iter().copied(), vms.len());
            let has_room = |vm: &&VmId| assigned.get(vm).copied().unwrap_or_default() < room;
            if let Some(vm) = ranked.into_iter().find(has_room) {
                *assigned.entry(vm).or_default() += 1;
                coordinators.push((endpoint.clone(), vm.clone()));
            }
        }
        coordinators
    }

    fn endpoints_in<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a EndpointId> {
        let services = self.table.iter().flat_map(|table| table.services.keys());
        let usable = services.flat_map(|id| self.registry.usable(id));
        usable
            .filter(move |endpoint| endpoint.entry.domain == *domain)
            .map(|endpoint| &endpoint.entry.id)
    }
}
