//! Tickets of non-idempotent requests.

use sw_once::{BeginOutcome, ExecutionOutcome, RequestDigest, RequestKey, Ticket, TicketStatus};
use sw_route::Policy;
use sw_unit::{Time, WorkspaceId};

use crate::{Gate, TicketOwner};

impl<P: Policy> Gate<P> {
    /// Issues tickets.
    pub fn issue_tickets(&mut self, count: u32, now: Time) -> Vec<Ticket> {
        self.once.issue(count, now)
    }

    /// Who may run a request with this ticket.
    pub fn ticket_owner(&self, ticket: &Ticket) -> TicketOwner {
        if self.once.owns(ticket) {
            return TicketOwner::Local;
        }
        match self.members.incarnation_row(&ticket.vm, ticket.incarnation) {
            Some(row) if row.vm != self.members.local().vm => TicketOwner::Peer(row.clone()),
            _ => TicketOwner::Gone,
        }
    }

    /// Begins a request whose ticket this VM owns.
    pub fn begin_execution(
        &mut self,
        workspace: &WorkspaceId,
        ticket: &Ticket,
        digest: RequestDigest,
        now: Time,
    ) -> BeginOutcome {
        self.once.begin(key(workspace, ticket), digest, now)
    }

    /// Records how a request that was begun ended.
    pub fn complete_execution(&mut self, workspace: &WorkspaceId, ticket: &Ticket, outcome: ExecutionOutcome) {
        self.once.complete(&key(workspace, ticket), outcome);
    }

    /// What is known of a request whose ticket this VM owns.
    pub fn ticket_status(&self, workspace: &WorkspaceId, ticket: &Ticket) -> TicketStatus {
        self.once.status(&key(workspace, ticket))
    }
}

fn key(workspace: &WorkspaceId, ticket: &Ticket) -> RequestKey {
    RequestKey {
        workspace: workspace.clone(),
        sequence: ticket.sequence,
    }
}
