//! Routing decisions and attempts.

use std::sync::Arc;

use sw_error::{Phase, Refusal};
use sw_gate::RoutingDecision;
use sw_once::Ticket;
use sw_route::Target;

use super::attempt::AttemptError;
use super::buffered::{BufferedRequest, Reply};
use super::{endpoint, forward};
use crate::process::{Gateway, count_decision};

/// Chooses a target and makes an attempt, until one succeeds or no target is left.
///
/// An attempt that did not reach an endpoint is followed by one at another target. An attempt that may have reached an
/// endpoint is followed by another one only if the request is idempotent and the retry budget allows it.
pub(crate) async fn run(gateway: &Arc<Gateway>, request: &Arc<BufferedRequest>, ticket: Option<&Ticket>) -> Reply {
    let mut earlier_targets = Vec::new();
    let mut phase = Phase::Admitted;
    loop {
        let decision = match choose_target(gateway, request, &earlier_targets).await {
            Ok(decision) => decision,
            Err(refusal) => return Reply::Refused(refusal.for_phase(phase)),
        };
        count_decision(&request.call.id, &request.admitted, &decision);
        let attempt = match &decision.forward_to {
            None => endpoint::attempt(gateway, request, &decision).await,
            Some(row) => forward::attempt(gateway, request, &decision, row, ticket).await,
        };
        earlier_targets.push(decision.candidate.target);
        match attempt {
            Ok(reply) => return reply,
            Err(AttemptError::NotRun(_)) => {}
            Err(AttemptError::MayHaveRun(refusal)) => {
                phase = Phase::Dispatched;
                if !request.admitted.idempotent || !withdraw_retry(gateway, request).await {
                    return Reply::Refused(refusal);
                }
            }
        }
    }
}

async fn choose_target(
    gateway: &Gateway,
    request: &Arc<BufferedRequest>,
    earlier_targets: &[Target],
) -> Result<RoutingDecision, Refusal> {
    let (request, earlier_targets) = (Arc::clone(request), earlier_targets.to_vec());
    let step = move |gate: &mut sw_gate::Gate, now| {
        gate.choose_target(&request.admitted, &request.routing_input(&earlier_targets), now)
    };
    gateway.gate.run(step).await?
}

/// Withdraws a retry from the retry budget, and returns whether there was one.
pub(crate) async fn withdraw_retry(gateway: &Gateway, request: &Arc<BufferedRequest>) -> bool {
    let request = Arc::clone(request);
    gateway
        .gate
        .run(move |gate, now| gate.withdraw_retry(&request.admitted, now))
        .await
        == Ok(true)
}
