//! What attempts at endpoints and through other VMs have in common.

use std::sync::Arc;

use sw_error::{Kind, Refusal};
use sw_gate::{DispatchOutcome, DispatchRecord, RoutingDecision};
use sw_unit::{Millis, Time};

use super::buffered::BufferedRequest;
use crate::process::{GateHandle, Gateway};

/// An error of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No part of the request reached an endpoint.
    NotRun(Refusal),
    /// The request may have reached an endpoint.
    MayHaveRun(Refusal),
}

impl AttemptError {
    /// Creates the error of a failure after the dispatch.
    pub(crate) fn after_dispatch(kind: Kind) -> Self {
        Self::MayHaveRun(kind.into())
    }
}

/// A dispatched request; reports its end to the gate when dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    gate: GateHandle,
    record: DispatchRecord,
    outcome: DispatchOutcome,
}

impl InFlight {
    /// Records that the complete response arrived.
    pub(crate) fn complete(mut self) {
        self.outcome = DispatchOutcome::Complete;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let (record, outcome) = (self.record.clone(), self.outcome);
        self.gate.post(move |gate, now| gate.on_end(&record, outcome, now));
    }
}

/// Checks the request a last time and records its dispatch; the next step must be to send it.
pub(crate) async fn dispatch(
    gateway: &Gateway,
    request: &Arc<BufferedRequest>,
    decision: &RoutingDecision,
) -> Result<InFlight, AttemptError> {
    let (buffered, chosen) = (Arc::clone(request), decision.clone());
    let step = move |gate: &mut sw_gate::Gate, now| {
        gate.dispatch(&buffered.admitted, &chosen, &buffered.routing_input(&[]), now)
    };
    let record = gateway.gate.run(step).await.and_then(|checked| checked);
    let record = record.map_err(AttemptError::NotRun)?;
    let gate = gateway.gate.clone();
    Ok(InFlight {
        gate,
        record,
        outcome: DispatchOutcome::Incomplete,
    })
}

/// Returns the current time.
pub(crate) fn now(gateway: &Gateway) -> Time {
    use sw_time::Clock as _;
    gateway.timers.clock().now()
}

/// Returns the time until the request's deadline.
pub(crate) fn remaining(gateway: &Gateway, request: &BufferedRequest) -> Millis {
    request.admitted.deadline.since(now(gateway))
}
