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
use super::head::Identity;
use super::job::{Job, Reply};
use super::{forward, run};
use crate::process::{Core, Gateway};

/// Runs a caller's request, at the VM that owns its ticket.
pub(crate) async fn run(gateway: &Arc<Gateway>, job: Arc<Job>, identity: Identity) -> Reply {
    let ticket = match ticket(gateway, &job, identity).await {
        Ok(ticket) => ticket,
        Err(refusal) => return Reply::Refused(refusal),
    };
    let asked = ticket.clone();
    match gateway.core.run(move |gate, _| gate.ticket_owner(&asked)).await {
        Ok(TicketOwner::Local) => run_owned(gateway, job, ticket).await,
        Ok(TicketOwner::Peer(row)) => match forward::to_owner(gateway, &job, &row, &ticket).await {
            Ok(reply) => reply,
            Err(AttemptError::NotRun(refusal) | AttemptError::MayHaveRun(refusal)) => Reply::Refused(refusal),
        },
        Ok(TicketOwner::Gone) => Reply::Refused(Kind::TicketOwnerGone.into()),
        Err(refusal) => Reply::Refused(refusal),
    }
}

/// Runs a request whose ticket this VM owns, or returns the saved response.
pub(crate) async fn run_owned(gateway: &Arc<Gateway>, job: Arc<Job>, ticket: Ticket) -> Reply {
    let gateway = Arc::clone(gateway);
    let task = tokio::spawn(async move { begin(&gateway, &job, ticket).await });
    task.await.unwrap_or(Reply::Refused(Kind::OutcomeUnknown.into()))
}

async fn begin(gateway: &Arc<Gateway>, job: &Arc<Job>, ticket: Ticket) -> Reply {
    let (workspace, asked, digest) = (job.admitted.workspace.clone(), ticket.clone(), job.digest());
    match gateway
        .core
        .run(move |gate, now| gate.begin_execution(&workspace, &asked, digest, now))
        .await
    {
        Ok(BeginOutcome::Run) => {}
        Ok(BeginOutcome::Replay(answer)) => return Reply::Whole(answer),
        Ok(BeginOutcome::Refuse(kind)) => return Reply::Refused(kind.into()),
        Err(refusal) => return Reply::Refused(refusal),
    }
    let running = Running::new(gateway.core.clone(), job.admitted.workspace.clone(), ticket.clone());
    let reply = run::run(gateway, job, Some(&ticket)).await;
    running.settle(&reply).await;
    reply
}

/// Returns the ticket of a request; an idempotency key is bound to a new ticket unless it has one.
async fn ticket(gateway: &Gateway, job: &Job, identity: Identity) -> Result<Ticket, Refusal> {
    let key = match identity {
        Identity::Ticket(ticket) => return Ok(ticket),
        Identity::None => return issue(gateway).await,
        Identity::Key(key) => key,
    };
    let ticket = issue(gateway).await?.to_string();
    let claim = Claim {
        workspace: job.admitted.workspace.clone(),
        key,
        ticket,
    };
    let bound = gateway
        .claimer
        .claim(claim)
        .await
        .map_err(|_no_answer| Kind::StoreUnavailable)?;
    bound.parse().map_err(|_corrupt| Kind::StoreUnavailable.into())
}

async fn issue(gateway: &Gateway) -> Result<Ticket, Refusal> {
    let tickets = gateway.core.run(|gate, now| gate.issue_tickets(1, now)).await?;
    tickets.into_iter().next().ok_or(Kind::Stopping.into())
}

/// An execution in progress; if it is dropped before [`Self::complete`], its outcome is unknown.
struct Running {
    core: Core,
    workspace: WorkspaceId,
    ticket: Ticket,
    settled: bool,
}

impl Running {
    fn new(core: Core, workspace: WorkspaceId, ticket: Ticket) -> Self {
        Self {
            core,
            workspace,
            ticket,
            settled: false,
        }
    }

    /// Records the outcome, which must happen before the caller receives the reply.
    async fn settle(mut self, reply: &Reply) {
        let outcome = match reply {
            Reply::Whole(answer) => ExecutionOutcome::Ran(answer.clone()),
            Reply::Refused(refusal) if refusal.kind.response().ran == sw_error::Ran::No => ExecutionOutcome::NotRun,
            Reply::Refused(_) | Reply::Stream { .. } => ExecutionOutcome::Unknown,
        };
        let (workspace, ticket) = (self.workspace.clone(), self.ticket.clone());
        let settled = self
            .core
            .run(move |gate, _| gate.complete_execution(&workspace, &ticket, outcome))
            .await;
        self.settled = settled.is_ok();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.settled {
            let (workspace, ticket) = (self.workspace.clone(), self.ticket.clone());
            self.core
                .post(move |gate, _| gate.complete_execution(&workspace, &ticket, ExecutionOutcome::Unknown));
        }
    }
}
