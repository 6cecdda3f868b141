//! Tickets of non-idempotent requests.

use sw_once::{BeginOutcome, ExecutionOutcome, RequestDigest, RequestKey, Ticket, TicketStatus};
use sw_route::Policy;
use sw_unit::{Time, WorkspaceId};

use crate::{Gate, TicketOwner};

impl<P: Policy> Gate<P> {
    /// Issues `count` tickets.
    pub fn issue_tickets(&mut self, count: u32, now: Time) -> Vec<Ticket> {
        self.ticket_registry.issue(count, now)
    }

    /// Returns the VM incarnation that may run a request with this ticket.
    pub fn ticket_owner(&self, ticket: &Ticket) -> TicketOwner {
        if self.ticket_registry.owns(ticket) {
            return TicketOwner::Local;
        }
        match self.members.incarnation_row(&ticket.vm, ticket.incarnation) {
            Some(row) if row.vm != self.members.local().vm => TicketOwner::Peer(row.clone()),
            _ => TicketOwner::Gone,
        }
    }

    /// Records a request as running if it is new, and returns what to do with it.
    ///
    /// This VM must own the ticket.
    pub fn begin_execution(
        &mut self,
        workspace: &WorkspaceId,
        ticket: &Ticket,
        digest: RequestDigest,
        now: Time,
    ) -> BeginOutcome {
        self.ticket_registry.begin(request_key(workspace, ticket), digest, now)
    }

    /// Records the outcome of a request whose execution was started with [`Gate::begin_execution`].
    pub fn complete_execution(&mut self, workspace: &WorkspaceId, ticket: &Ticket, outcome: ExecutionOutcome) {
        self.ticket_registry.complete(&request_key(workspace, ticket), outcome);
    }

    /// Returns the status of a ticket that this VM owns.
    pub fn ticket_status(&self, workspace: &WorkspaceId, ticket: &Ticket) -> TicketStatus {
        self.ticket_registry.status(&request_key(workspace, ticket))
    }
}

fn request_key(workspace: &WorkspaceId, ticket: &Ticket) -> RequestKey {
    RequestKey {
        workspace: workspace.clone(),
        sequence: ticket.sequence,
    }
}
