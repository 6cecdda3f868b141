//! Reservations in the queue of an endpoint, granted by its coordinator.
//!
//! A coordinator that responds too late has nevertheless granted the reservation. The call is therefore not cancelled: a
//! late grant belongs to the attempt that was sent without it, or is released. Otherwise it would count as queued work
//! until it expires, and the coordinator would decline requests for which there is room.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_peer::PeerError;
use sw_relay::{AttemptHistory, AttemptOutcome, Coordinator, Grant, QueueEstimate, ReservationUpdate};
use sw_unit::{EndpointId, Millis};
use tokio::sync::oneshot;

use crate::attempt::BufferedRequest;
use crate::peer_calls::{self, PeerCall};
use crate::state::ProxyState;
use crate::{Dialect, telemetry};

/// Timeout for a coordinator's response; the request is sent without its grant if it expires.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a late response is awaited. A reservation whose response is later expires at the coordinator.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after which a grant with a token of an endpoint with a limit is too old to be used. It is exceeded if this VM
/// was paused while it waited for the coordinator.
const MAX_GRANT_AGE: Millis = Millis(500);

/// Response of a coordinator: its grant, or the estimate with which it declined.
type Response = Result<Result<Grant, QueueEstimate>, PeerError>;

/// Reservation in an endpoint's queue, released when dropped. Its grant may arrive while the request is already running.
pub(crate) struct ReservationGuard<D: Dialect, F: 'static> {
    entry: Rc<ReservationEntry<D, F>>,
    /// The grant, if it arrived before the request was sent.
    grant: Option<Grant>,
    /// Update to send to the coordinator on drop.
    final_update: ReservationUpdate,
}

impl<D: Dialect, F> ReservationGuard<D, F> {
    /// Returns the coordinator's grant; `None` if it did not respond before the request was sent.
    pub(crate) fn grant(&self) -> Option<&Grant> {
        self.grant.as_ref()
    }

    /// Releases the reservation and reports how the attempt ended.
    pub(crate) fn report_outcome(mut self, outcome: AttemptOutcome) {
        self.final_update = if outcome.is_absent() {
            ReservationUpdate::EndpointUnreachable
        } else if outcome == AttemptOutcome::Rejected {
            ReservationUpdate::Rejected
        } else if outcome.may_still_run() {
            ReservationUpdate::GivenUp
        } else {
            ReservationUpdate::Ended
        };
    }
}

impl<D: Dialect, F: 'static> ReservationGuard<D, F> {
    /// Reports to the coordinator that the prefill has ended and the request is running.
    pub(crate) fn report_running(&self) {
        self.entry.report(ReservationUpdate::Running);
    }
}

impl<D: Dialect, F: 'static> Drop for ReservationGuard<D, F> {
    fn drop(&mut self) {
        self.entry.report(self.final_update);
    }
}

/// The entry of a reservation in its coordinator's account, to which the progress of the request is reported.
struct ReservationEntry<D: Dialect, F: 'static> {
    state: Rc<ProxyState<D, F>>,
    address: SocketAddr,
    endpoint: EndpointId,
    /// Id of the entry in the coordinator's account, once it has granted the reservation.
    id: Cell<Option<u64>>,
    /// Progress that was reported before the id was known.
    unsent_update: Cell<Option<ReservationUpdate>>,
}

impl<D: Dialect, F: 'static> ReservationEntry<D, F> {
    /// Records the coordinator's grant, and sends the progress made since.
    fn on_granted(&self, id: u64) {
        self.id.set(Some(id));
        if let Some(update) = self.unsent_update.take() {
            self.send(id, update);
        }
    }

    /// Reports the progress of the request, as soon as the coordinator has granted the reservation.
    fn report(&self, update: ReservationUpdate) {
        match self.id.get() {
            Some(id) => self.send(id, update),
            None => self.unsent_update.set(Some(update)),
        }
    }

    /// Returns how long work takes at the endpoint at this moment in percent. The state may be in use when the guard is
    /// dropped; the figure is left out then.
    fn reported_slowdown(&self) -> Option<u32> {
        let relay = self.state.relay.try_borrow().ok()?;
        relay.reported_slowdown(&self.endpoint, self.state.now())
    }

    fn send(&self, id: u64, update: ReservationUpdate) {
        let peers = self.state.peers.clone();
        let slowdown = self.reported_slowdown();
        let (address, endpoint) = (self.address, self.endpoint.clone());
        tokio::task::spawn_local(async move {
            // If the update is lost, the coordinator drops the reservation after a while.
            let call = peers.send_reservation_update(address, &endpoint, id, update, slowdown);
            let _lost = peer_calls::counted(PeerCall::ReservationUpdate, call).await;
        });
    }
}

/// Starts a call for a reservation. The call continues if the receiver of its response is dropped.
fn request_grant<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    coordinator: &Coordinator,
) -> (ReservationGuard<D, F>, oneshot::Receiver<Response>) {
    let entry = Rc::new(ReservationEntry {
        state: Rc::clone(state),
        address: coordinator.address,
        endpoint: coordinator.reservation.endpoint.clone(),
        id: Cell::new(None),
        unsent_update: Cell::new(None),
    });
    let guard = ReservationGuard {
        entry: Rc::clone(&entry),
        grant: None,
        final_update: ReservationUpdate::Ended,
    };
    let (tx, rx) = oneshot::channel();
    let (peers, address, reservation) = (
        state.peers.clone(),
        coordinator.address,
        coordinator.reservation.clone(),
    );
    tokio::task::spawn_local(async move {
        let call = peers.reserve(address, &reservation, LATE_RESPONSE_TIMEOUT);
        let response = peer_calls::counted(PeerCall::Reserve, call).await;
        if let Ok(Ok(grant)) = &response {
            entry.on_granted(grant.entry_id);
        }
        // The receiver is dropped after the timeout, or when the caller disconnects.
        let _late = tx.send(response);
    });
    (guard, rx)
}

/// Requests a reservation in an endpoint's queue. Its guard has no grant if the coordinator did not respond in time.
///
/// # Errors
///
/// Returns [`AttemptOutcome::Declined`] if the coordinator declines.
pub(crate) async fn reserve<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    request: &BufferedRequest,
    coordinator: &Coordinator,
    history: &mut AttemptHistory,
) -> Result<ReservationGuard<D, F>, AttemptOutcome> {
    let reservation = &coordinator.reservation;
    let asked_at = state.now();
    let (mut guard, response) = request_grant(state, coordinator);
    let response = tokio::time::timeout(RESERVE_TIMEOUT, response).await;
    let response = response.ok().and_then(Result::ok).unwrap_or(Err(PeerError));
    let now = state.now();
    if let Ok(Ok(Grant { estimate, .. }) | Err(estimate)) = &response {
        state.relay.borrow_mut().record_rate_limit(reservation, estimate, now);
        telemetry::log_rate_limit_changes(state, &request.admitted.id);
        telemetry::log_rejection_limit_changes(state, &request.admitted.id);
    }
    let mut relay = state.relay.borrow_mut();
    match response {
        Ok(Ok(grant)) => {
            let reserved_ms = grant.estimate.expected_ms - grant.estimate.backlog_ms;
            relay.record_queue_estimate(coordinator, grant.estimate, reserved_ms, now);
            if now.since(asked_at) > MAX_GRANT_AGE && grant.has_token() {
                history.record_rate_limited(&reservation.endpoint, MAX_GRANT_AGE);
                telemetry::log_rate_limited(&request.admitted, &reservation.endpoint, MAX_GRANT_AGE);
                return Err(AttemptOutcome::Declined);
            }
            guard.grant = Some(grant);
            Ok(guard)
        }
        Ok(Err(estimate)) => {
            if let Some(wait) = estimate.token_wait {
                history.record_rate_limited(&reservation.endpoint, wait);
                telemetry::log_rate_limited(&request.admitted, &reservation.endpoint, wait);
                return Err(AttemptOutcome::Declined);
            }
            relay.record_queue_estimate(coordinator, estimate, 0.0, now);
            let reason = relay.decline_reason(reservation, &estimate);
            // Another attempt at the endpoint has to wait at least as long as the request may.
            history.record_declined(&reservation.endpoint, estimate.wait_ms(reason, reservation));
            history.record_decline_reason(reason, estimate.retry);
            telemetry::log_declined(&request.admitted, reservation, estimate, reason);
            Err(AttemptOutcome::Declined)
        }
        Err(PeerError) => {
            relay.on_coordinator_unresponsive(&coordinator.vm, now);
            let vm = coordinator.vm.as_str();
            info!("coordinator_silent", kv: { vm });
            Ok(guard)
        }
    }
}
