//! What attempts at endpoints and through other VMs have in common.

use std::sync::Arc;

use sw_error::{Kind, Refusal};
use sw_gate::{DispatchOutcome, DispatchRecord, RoutingDecision};
use sw_unit::{Millis, Time};

use super::job::Job;
use crate::process::{Core, Gateway};

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
    pub(crate) fn after_hand_over(kind: Kind) -> Self {
        Self::MayHaveRun(kind.into())
    }
}

/// A dispatched request; reports its end to the gate when dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    core: Core,
    handed: DispatchRecord,
    finish: DispatchOutcome,
}

impl InFlight {
    /// Records that the complete response arrived.
    pub(crate) fn answered(mut self) {
        self.finish = DispatchOutcome::Complete;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let (handed, finish) = (self.handed.clone(), self.finish);
        self.core.post(move |gate, now| gate.on_end(&handed, finish, now));
    }
}

/// Checks the request a last time and records its dispatch; the next step must be to send it.
pub(crate) async fn hand_over(
    gateway: &Gateway,
    job: &Arc<Job>,
    plan: &RoutingDecision,
) -> Result<InFlight, AttemptError> {
    let (checked, with) = (Arc::clone(job), plan.clone());
    let step =
        move |gate: &mut sw_gate::Gate, now| gate.dispatch(&checked.admitted, &with, &checked.plan_request(&[]), now);
    let handed = gateway.core.run(step).await.and_then(|checked| checked);
    let handed = handed.map_err(AttemptError::NotRun)?;
    let core = gateway.core.clone();
    Ok(InFlight {
        core,
        handed,
        finish: DispatchOutcome::Incomplete,
    })
}

/// Returns the current time.
pub(crate) fn now(gateway: &Gateway) -> Time {
    use sw_time::Clock as _;
    gateway.timers.clock().now()
}

/// Returns the time until the request's deadline.
pub(crate) fn left(gateway: &Gateway, job: &Job) -> Millis {
    job.admitted.deadline.since(now(gateway))
}
