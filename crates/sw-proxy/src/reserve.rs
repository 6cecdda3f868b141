//! Asking the coordinator of an engine for a place in its queue.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::prelude::*;
use sw_relay::{AttemptHistory, AttemptOutcome, Coordinator, Grant, ReservationUpdate};
use sw_unit::EndpointId;

use crate::attempt::Call;
use crate::core::Core;
use crate::{Dialect, telemetry};

/// Time for a coordinator to answer; without an answer the prompt is sent all the same.
const PATIENCE: Duration = Duration::from_millis(150);

/// A place in an engine's queue, which is freed when it is dropped.
pub(crate) struct Reserved<D: Dialect, F: 'static> {
    core: Rc<Core<D, F>>,
    address: SocketAddr,
    endpoint: EndpointId,
    granted: Grant,
    /// What to tell the coordinator at the end.
    end: ReservationUpdate,
}

impl<D: Dialect, F> Reserved<D, F> {
    /// What was granted.
    pub(crate) fn granted(&self) -> &Grant {
        &self.granted
    }

    /// Frees the place, as the engine is not there.
    pub(crate) fn absent(mut self) {
        self.end = ReservationUpdate::EndpointUnreachable;
    }
}

impl<D: Dialect, F: 'static> Reserved<D, F> {
    /// Tells the coordinator that the prompt was read and the request runs.
    pub(crate) fn runs(&self) {
        self.tell(ReservationUpdate::Running);
    }

    fn tell(&self, release: ReservationUpdate) {
        let peers = self.core.peers.clone();
        let (address, endpoint, ticket) = (self.address, self.endpoint.clone(), self.granted.entry_id);
        tokio::task::spawn_local(async move {
            // A place that is not freed is dropped by the coordinator after a while.
            let _lost = peers.release(address, &endpoint, ticket, release).await;
        });
    }
}

impl<D: Dialect, F: 'static> Drop for Reserved<D, F> {
    fn drop(&mut self) {
        self.tell(self.end);
    }
}

/// Asks for a place in an engine's queue; `None` if its coordinator does not answer.
///
/// # Errors
///
/// Returns [`AttemptOutcome::Declined`] if the engine is busier than was expected.
pub(crate) async fn reserve<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    coordinator: &Coordinator,
    tried: &mut AttemptHistory,
) -> Result<Option<Reserved<D, F>>, AttemptOutcome> {
    let reservation = &coordinator.reservation;
    let answer = core.peers.reserve(coordinator.address, reservation, PATIENCE).await;
    let now = core.now();
    let mut relay = core.relay.borrow_mut();
    match answer {
        Ok(Ok(granted)) => {
            let read_ms = granted.estimate.expected_ms - granted.estimate.backlog_ms;
            relay.record_queue_estimate(coordinator, granted.estimate, read_ms, now);
            Ok(Some(Reserved {
                core: Rc::clone(core),
                address: coordinator.address,
                endpoint: reservation.endpoint.clone(),
                granted,
                end: ReservationUpdate::Ended,
            }))
        }
        Ok(Err(wait)) => {
            relay.record_queue_estimate(coordinator, wait, 0.0, now);
            tried.record_declined(&reservation.endpoint, wait.expected_ms);
            telemetry::declined(&call.admitted, reservation, wait);
            Err(AttemptOutcome::Declined)
        }
        Err(_silent) => {
            relay.on_coordinator_unresponsive(&coordinator.vm, now);
            let vm = coordinator.vm.as_str();
            info!("coordinator_silent", kv: { vm });
            Ok(None)
        }
    }
}
