//! Asking the coordinator of an engine for a place in its queue.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_relay::{AttemptHistory, AttemptOutcome, Coordinator, Grant, ReservationUpdate};
use sw_unit::EndpointId;

use crate::attempt::BufferedRequest;
use crate::state::ProxyState;
use crate::{Dialect, telemetry};

/// Time for a coordinator to answer; without an answer the prompt is sent all the same.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);

/// A place in an engine's queue, which is freed when it is dropped.
pub(crate) struct ReservationGuard<D: Dialect, F: 'static> {
    state: Rc<ProxyState<D, F>>,
    address: SocketAddr,
    endpoint: EndpointId,
    grant: Grant,
    /// What to tell the coordinator at the end.
    final_update: ReservationUpdate,
}

impl<D: Dialect, F> ReservationGuard<D, F> {
    /// What was granted.
    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Frees the place, as the engine is not there.
    pub(crate) fn report_unreachable(mut self) {
        self.final_update = ReservationUpdate::EndpointUnreachable;
    }
}

impl<D: Dialect, F: 'static> ReservationGuard<D, F> {
    /// Tells the coordinator that the prompt was read and the request runs.
    pub(crate) fn report_running(&self) {
        self.send_update(ReservationUpdate::Running);
    }

    fn send_update(&self, update: ReservationUpdate) {
        let peers = self.state.peers.clone();
        let (address, endpoint, entry_id) = (self.address, self.endpoint.clone(), self.grant.entry_id);
        tokio::task::spawn_local(async move {
            // A place that is not freed is dropped by the coordinator after a while.
            let _lost = peers.release(address, &endpoint, entry_id, update).await;
        });
    }
}

impl<D: Dialect, F: 'static> Drop for ReservationGuard<D, F> {
    fn drop(&mut self) {
        self.send_update(self.final_update);
    }
}

/// Asks for a place in an engine's queue; `None` if its coordinator does not answer.
///
/// # Errors
///
/// Returns [`AttemptOutcome::Declined`] if the engine is busier than was expected.
pub(crate) async fn reserve<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    request: &BufferedRequest,
    coordinator: &Coordinator,
    history: &mut AttemptHistory,
) -> Result<Option<ReservationGuard<D, F>>, AttemptOutcome> {
    let reservation = &coordinator.reservation;
    let response = state
        .peers
        .reserve(coordinator.address, reservation, RESERVE_TIMEOUT)
        .await;
    let now = state.now();
    let mut relay = state.relay.borrow_mut();
    match response {
        Ok(Ok(grant)) => {
            let prefill_ms = grant.estimate.expected_ms - grant.estimate.backlog_ms;
            relay.record_queue_estimate(coordinator, grant.estimate, prefill_ms, now);
            Ok(Some(ReservationGuard {
                state: Rc::clone(state),
                address: coordinator.address,
                endpoint: reservation.endpoint.clone(),
                grant,
                final_update: ReservationUpdate::Ended,
            }))
        }
        Ok(Err(estimate)) => {
            relay.record_queue_estimate(coordinator, estimate, 0.0, now);
            history.record_declined(&reservation.endpoint, estimate.expected_ms);
            telemetry::log_declined(&request.admitted, reservation, estimate);
            Err(AttemptOutcome::Declined)
        }
        Err(_unresponsive) => {
            relay.on_coordinator_unresponsive(&coordinator.vm, now);
            let vm = coordinator.vm.as_str();
            info!("coordinator_silent", kv: { vm });
            Ok(None)
        }
    }
}
