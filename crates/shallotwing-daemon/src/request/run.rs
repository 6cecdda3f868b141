//! Routing decisions and attempts.

use std::sync::Arc;

use sw_error::{Phase, Refusal};
use sw_gate::RoutingDecision;
use sw_once::Ticket;
use sw_route::Target;

use super::attempt::AttemptError;
use super::job::{Job, Reply};
use super::{endpoint, forward};
use crate::process::{Gateway, count_decision};

/// Chooses a target and makes an attempt, until one succeeds or no target is left.
///
/// An attempt that did not reach an endpoint is followed by one at another target. An attempt that may have reached an
/// endpoint is followed by another one only if the request is idempotent and the retry budget allows it.
pub(crate) async fn run(gateway: &Arc<Gateway>, job: &Arc<Job>, ticket: Option<&Ticket>) -> Reply {
    let mut tried = Vec::new();
    let mut phase = Phase::Admitted;
    loop {
        let plan = match plan(gateway, job, &tried).await {
            Ok(plan) => plan,
            Err(refusal) => return Reply::Refused(refusal.for_phase(phase)),
        };
        count_decision(&job.call.id, &job.admitted, &plan);
        let attempt = match &plan.forward_to {
            None => endpoint::attempt(gateway, job, &plan).await,
            Some(row) => forward::attempt(gateway, job, &plan, row, ticket).await,
        };
        tried.push(plan.candidate.target);
        match attempt {
            Ok(reply) => return reply,
            Err(AttemptError::NotRun(_)) => {}
            Err(AttemptError::MayHaveRun(refusal)) => {
                phase = Phase::Dispatched;
                if !job.admitted.idempotent || !may_retry(gateway, job).await {
                    return Reply::Refused(refusal);
                }
            }
        }
    }
}

async fn plan(gateway: &Gateway, job: &Arc<Job>, tried: &[Target]) -> Result<RoutingDecision, Refusal> {
    let (job, tried) = (Arc::clone(job), tried.to_vec());
    let step = move |gate: &mut sw_gate::Gate, now| gate.choose_target(&job.admitted, &job.plan_request(&tried), now);
    gateway.core.run(step).await?
}

/// Withdraws a retry from the retry budget, and returns whether there was one.
pub(crate) async fn may_retry(gateway: &Gateway, job: &Arc<Job>) -> bool {
    let job = Arc::clone(job);
    gateway
        .core
        .run(move |gate, now| gate.withdraw_retry(&job.admitted, now))
        .await
        == Ok(true)
}
