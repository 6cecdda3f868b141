//! One attempt at a target.

use std::sync::Arc;

use sw_error::{Kind, Refusal};
use sw_gate::{DispatchOutcome, DispatchRecord, RoutingDecision};
use sw_unit::{Millis, Time};

use super::job::Job;
use crate::process::{Core, Gateway};

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// Nothing of the request has reached an endpoint.
    NotRun(Refusal),
    /// Some of it may have.
    MayHaveRun(Refusal),
}

impl AttemptError {
    /// A failure after the hand-over.
    pub(crate) fn after_hand_over(kind: Kind) -> Self {
        Self::MayHaveRun(kind.into())
    }
}

/// Counts a request at its target until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    core: Core,
    handed: DispatchRecord,
    finish: DispatchOutcome,
}

impl InFlight {
    /// Records that the whole answer came.
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

/// Checks the request a last time; the next step has to be to send it.
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

/// The time.
pub(crate) fn now(gateway: &Gateway) -> Time {
    use sw_time::Clock as _;
    gateway.timers.clock().now()
}

/// Time until a request's deadline.
pub(crate) fn left(gateway: &Gateway, job: &Job) -> Millis {
    job.admitted.deadline.since(now(gateway))
}
