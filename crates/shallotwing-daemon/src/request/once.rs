//! Non-idempotent requests.
//!
//! Each has a ticket: the one that the caller sent, the one that its idempotency key is bound to, or a new one of this
//! VM. The VM that owns the ticket runs the request in a separate task, so that a caller that disconnects does not
//! cancel it, and saves the outcome for repeats.

use std::sync::Arc;

use sw_error::{Kind, Refusal};
use sw_gate::TicketOwner;
use sw_once::{BeginOutcome, ExecutionOutcome, Ticket};
use sw_store::Claim;
use sw_unit::WorkspaceId;

use super::attempt::AttemptError;
use super::buffered::{BufferedRequest, Reply};
use super::head::ExecutionIdentity;
use super::{forward, run};
use crate::process::{GateHandle, Gateway};

/// Runs a caller's request, at the VM that owns its ticket.
pub(crate) async fn run(gateway: &Arc<Gateway>, request: Arc<BufferedRequest>, identity: ExecutionIdentity) -> Reply {
    let ticket = match ticket(gateway, &request, identity).await {
        Ok(ticket) => ticket,
        Err(refusal) => return Reply::Refused(refusal),
    };
    let wanted = ticket.clone();
    match gateway.gate.run(move |gate, _| gate.ticket_owner(&wanted)).await {
        Ok(TicketOwner::Local) => run_owned(gateway, request, ticket).await,
        Ok(TicketOwner::Peer(row)) => match forward::to_owner(gateway, &request, &row, &ticket).await {
            Ok(reply) => reply,
            Err(AttemptError::NotRun(refusal) | AttemptError::MayHaveRun(refusal)) => Reply::Refused(refusal),
        },
        Ok(TicketOwner::Gone) => Reply::Refused(Kind::TicketOwnerGone.into()),
        Err(refusal) => Reply::Refused(refusal),
    }
}

/// Runs a request whose ticket this VM owns, or returns the saved response.
pub(crate) async fn run_owned(gateway: &Arc<Gateway>, request: Arc<BufferedRequest>, ticket: Ticket) -> Reply {
    let gateway = Arc::clone(gateway);
    let task = tokio::spawn(async move { execute(&gateway, &request, ticket).await });
    task.await.unwrap_or(Reply::Refused(Kind::OutcomeUnknown.into()))
}

async fn execute(gateway: &Arc<Gateway>, request: &Arc<BufferedRequest>, ticket: Ticket) -> Reply {
    let (workspace, wanted, digest) = (request.admitted.workspace.clone(), ticket.clone(), request.digest());
    match gateway
        .gate
        .run(move |gate, now| gate.begin_execution(&workspace, &wanted, digest, now))
        .await
    {
        Ok(BeginOutcome::Run) => {}
        Ok(BeginOutcome::Replay(response)) => return Reply::Complete(response),
        Ok(BeginOutcome::Refuse(kind)) => return Reply::Refused(kind.into()),
        Err(refusal) => return Reply::Refused(refusal),
    }
    let execution = ExecutionGuard::new(gateway.gate.clone(), request.admitted.workspace.clone(), ticket.clone());
    let reply = run::run(gateway, request, Some(&ticket)).await;
    execution.complete(&reply).await;
    reply
}

/// Returns the ticket of a request; an idempotency key is bound to a new ticket unless it has one.
async fn ticket(gateway: &Gateway, request: &BufferedRequest, identity: ExecutionIdentity) -> Result<Ticket, Refusal> {
    let key = match identity {
        ExecutionIdentity::Ticket(ticket) => return Ok(ticket),
        ExecutionIdentity::None => return issue(gateway).await,
        ExecutionIdentity::Key(key) => key,
    };
    let ticket = issue(gateway).await?.to_string();
    let claim = Claim {
        workspace: request.admitted.workspace.clone(),
        key,
        ticket,
    };
    let bound = gateway
        .claimer
        .claim(claim)
        .await
        .map_err(|_no_response| Kind::StoreUnavailable)?;
    bound.parse().map_err(|_corrupt| Kind::StoreUnavailable.into())
}

async fn issue(gateway: &Gateway) -> Result<Ticket, Refusal> {
    let tickets = gateway.gate.run(|gate, now| gate.issue_tickets(1, now)).await?;
    tickets.into_iter().next().ok_or(Kind::Stopping.into())
}

/// An execution in progress; if it is dropped before [`Self::complete`], its outcome is unknown.
struct ExecutionGuard {
    gate: GateHandle,
    workspace: WorkspaceId,
    ticket: Ticket,
    completed: bool,
}

impl ExecutionGuard {
    fn new(gate: GateHandle, workspace: WorkspaceId, ticket: Ticket) -> Self {
        Self {
            gate,
            workspace,
            ticket,
            completed: false,
        }
    }

    /// Records the outcome, which must happen before the caller receives the reply.
    async fn complete(mut self, reply: &Reply) {
        let outcome = match reply {
            Reply::Complete(response) => ExecutionOutcome::Ran(response.clone()),
            Reply::Refused(refusal) if refusal.kind.response().ran == sw_error::Ran::No => ExecutionOutcome::NotRun,
            Reply::Refused(_) | Reply::Stream { .. } => ExecutionOutcome::Unknown,
        };
        let (workspace, ticket) = (self.workspace.clone(), self.ticket.clone());
        let completed = self
            .gate
            .run(move |gate, _| gate.complete_execution(&workspace, &ticket, outcome))
            .await;
        self.completed = completed.is_ok();
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        if !self.completed {
            let (workspace, ticket) = (self.workspace.clone(), self.ticket.clone());
            self.gate
                .post(move |gate, _| gate.complete_execution(&workspace, &ticket, ExecutionOutcome::Unknown));
        }
    }
}
