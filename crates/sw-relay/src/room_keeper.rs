//! Enforcement of rejection limits: a brittle endpoint gets no request that it might have to reject.
//!
//! The coordinator of a brittle endpoint counts the requests that are there, of all VMs, and grants one more only if there
//! is room (`room.rs`). As with rate limits, nothing is sent without its answer. Retries, forwarded requests and resumed
//! streams pass the same place.

use sw_member::rendezvous_top;
use sw_unit::{EndpointId, Millis, Rate, Time};

use crate::rate_limiter::NOT_READY_WAIT;
use crate::room::Room;
use crate::{Attempt, AttemptOutcome, EndpointEntry, Relay, ServiceId};

/// Time for which an abandoned request may still hold its slot, as a multiple of its expected duration.
const HELD_FACTOR: f64 = 2.0;
/// Shortest time between two VMs that are asked to try again.
const MIN_INTERVAL_MS: f64 = 2.0;
/// Time in which a coordinator that misses VMs uses one more slot than its share.
const SHARE_RISE: Millis = Millis(2_000);
/// The same at an endpoint that bears no rejection.
const SHARE_RISE_UNBEARABLE: Millis = Millis(10_000);

impl Relay {
    /// Returns the time after which a brittle endpoint may have room for a request, as its coordinator; 0 if it has room, or
    /// is not brittle.
    pub(crate) fn room_wait(&self, endpoint: &EndpointEntry, now: Time) -> Millis {
        let Some(limit) = self.endpoint_rejection_limit(endpoint) else {
            return Millis(0);
        };
        let is_quiet = self.granting_since(&endpoint.id, now).is_none_or(|since| since > now);
        if is_quiet {
            return NOT_READY_WAIT;
        }
        let slots = endpoint.slots.max(1);
        let present = self.present_requests(endpoint, now);
        let usable = self.usable_slots(&endpoint.id, slots, limit, now);
        let has_room = match self.room(endpoint) {
            Some(room) => room.has_room(slots, usable, present, limit, now),
            None => Room::new(endpoint.incarnation).has_room(slots, usable, present, limit, now),
        };
        if has_room {
            Millis(0)
        } else {
            self.slot_interval(endpoint)
        }
    }

    /// Checks that a brittle endpoint has room for a request, as its coordinator.
    ///
    /// # Errors
    ///
    /// Returns the time after which the asking VM should try again.
    pub(crate) fn check_room(&mut self, endpoint: &EndpointEntry, now: Time) -> Result<(), Millis> {
        let wait = self.room_wait(endpoint, now);
        if wait == Millis(0) {
            return Ok(());
        }
        Err(self.room_mut(endpoint).return_after(wait, now))
    }

    /// Records that a brittle endpoint rejected a request for want of room, as its coordinator. The request is still in the
    /// account of the endpoint.
    pub(crate) fn on_room_rejected(&mut self, endpoint: &EndpointId, now: Time) {
        let Some(entry) = self.registry.get(endpoint).map(|known| known.entry.clone()) else {
            return;
        };
        let Some(limit) = self.endpoint_rejection_limit(&entry) else {
            return;
        };
        let present = self.present_requests(&entry, now);
        self.room_mut(&entry)
            .on_rejected(entry.slots.max(1), present, limit, now);
    }

    /// Returns the rejection limit of a service if its endpoints of this region admit no request now because they are brittle.
    pub fn limit_without_room(&self, service: &ServiceId, urgent: bool, now: Time) -> Option<Rate> {
        let (_, limit) = self.brittle_services.get(service)?;
        let mut endpoints = self.local_endpoints(service);
        let is_full = endpoints.all(|endpoint| !self.limits_admit(&endpoint.entry, urgent, now));
        is_full.then_some(*limit)
    }

    /// Keeps the slot of an abandoned request at a brittle endpoint, which may still run it.
    pub(crate) fn hold_slot(&mut self, endpoint: &EndpointId, now: Time) {
        let Some(entry) = self.registry.get(endpoint).map(|known| &known.entry) else {
            return;
        };
        if self.endpoint_rejection_limit(entry).is_none() {
            return;
        }
        let held = Millis((self.slot_ms(&entry.service) * HELD_FACTOR) as u64);
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.reserve_slot(now + held);
        }
    }

    /// Records the end of an attempt of this VM at an endpoint that it coordinates.
    pub(crate) fn on_own_attempt_end(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) {
        if self.brittle_services.is_empty() || !self.is_coordinator_of(&attempt.endpoint.id) {
            return;
        }
        if outcome == AttemptOutcome::Rejected {
            self.on_room_rejected(&attempt.endpoint.id, now);
        } else if outcome.may_still_run() {
            self.hold_slot(&attempt.endpoint.id, now);
        }
    }

    /// Forgets the room of endpoints that are not brittle any more.
    pub(crate) fn prune_rooms(&mut self) {
        let mut rooms = std::mem::take(&mut self.rooms);
        rooms.retain(|endpoint, room| {
            let known = self.registry.get(endpoint);
            known.is_some_and(|known| {
                room.is_of(known.entry.incarnation) && self.endpoint_rejection_limit(&known.entry).is_some()
            })
        });
        self.rooms = rooms;
    }

    /// Returns the requests a second that a brittle endpoint ends when all its slots are taken; `None` if it is not brittle.
    pub(crate) fn room_rate(&self, endpoint: &EndpointEntry) -> Option<Rate> {
        self.endpoint_rejection_limit(endpoint)?;
        let interval_ms = self.slot_interval(endpoint).0 as f64;
        Some(Rate(1_000.0 / interval_ms))
    }

    fn room(&self, endpoint: &EndpointEntry) -> Option<&Room> {
        let room = self.rooms.get(&endpoint.id);
        room.filter(|room| room.is_of(endpoint.incarnation))
    }

    fn room_mut(&mut self, endpoint: &EndpointEntry) -> &mut Room {
        let new = || Room::new(endpoint.incarnation);
        let room = self.rooms.entry(endpoint.id.clone()).or_insert_with(new);
        if !room.is_of(endpoint.incarnation) {
            *room = new();
        }
        room
    }

    /// Returns the number of requests at an endpoint: those in its coordinator's account, or, while requests that an earlier
    /// coordinator granted may be there, what all VMs report.
    fn present_requests(&self, endpoint: &EndpointEntry, now: Time) -> u32 {
        let Some(load) = self.loads.get(&endpoint.id) else {
            return 0;
        };
        let granted = load.present(now);
        let settle = Millis((self.slot_ms(&endpoint.service) * HELD_FACTOR) as u64);
        let (_, changed_at) = self.usable_share(now);
        let is_settled = self
            .granting_since(&endpoint.id, now)
            .is_some_and(|since| now.since(since.max(changed_at)) >= settle);
        if is_settled {
            granted
        } else {
            granted.max(load.total_running(now))
        }
    }

    /// Returns the slots of an endpoint that this side of the region's VMs may use. If VMs are missing, they may have a
    /// coordinator of their own; the longer nothing is rejected, the more likely they have ended.
    fn usable_slots(&self, endpoint: &EndpointId, slots: u32, limit: Rate, now: Time) -> u32 {
        let (share, since) = self.usable_share(now);
        if share >= 1.0 {
            return slots;
        }
        let rise = if limit.0 < 1.0 {
            SHARE_RISE_UNBEARABLE
        } else {
            SHARE_RISE
        };
        let risen = u32::try_from(now.since(since).0 / rise.0).unwrap_or(u32::MAX);
        let usable = (f64::from(slots) * share - 0.5).ceil() as u32;
        let least = u32::from(self.is_first_choice_live(endpoint, now));
        usable.max(least).saturating_add(risen).min(slots)
    }

    /// Returns whether the VM that comes first for an endpoint among all known VMs is on this side of a cut.
    fn is_first_choice_live(&self, endpoint: &EndpointId, now: Time) -> bool {
        let local = self.members.local();
        let peers = self.members.peers().filter(|row| row.region == local.region);
        let vms = peers.map(|row| &row.vm).chain([&local.vm]);
        let first = rendezvous_top(endpoint, vms, 1);
        first.iter().all(|vm| **vm == local.vm || self.is_live(vm, now))
    }

    /// Returns the expected time from one free slot of an endpoint to the next, while all are taken.
    fn slot_interval(&self, endpoint: &EndpointEntry) -> Millis {
        let interval_ms = self.slot_ms(&endpoint.service) / f64::from(endpoint.slots.max(1));
        Millis(interval_ms.max(MIN_INTERVAL_MS).ceil() as u64)
    }

    /// Returns the milliseconds for which a request takes a slot.
    fn slot_ms(&self, service: &ServiceId) -> f64 {
        let model = self.latency_model(service);
        if self.cache_capacity(service).is_some() {
            model.stream_ms()
        } else {
            model.service_ms()
        }
    }
}
