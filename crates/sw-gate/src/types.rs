//! Inputs and results of the gate.

use std::sync::Arc;

use strum::{Display, EnumString};
use sw_conf::{Route, Workspace};
use sw_load::{DomainSummary, PrefixHash, Report};
use sw_member::{EndpointIncarnation, VmBrief, VmRow};
use sw_once::Ticket;
use sw_route::{Candidate, Reason, RouteTargets, Target};
use sw_unit::{Bytes, Incarnation, Millis, ModelId, RouteId, Time, Version, VmId, WorkspaceId};

use crate::FleetVersion;

/// Values of a caller's headers.
#[derive(Debug, Clone, Default)]
pub struct CallerHeaders<'a> {
    /// Bearer key.
    pub api_key: Option<&'a str>,
    /// Route.
    pub route: Option<&'a str>,
    /// Time to the deadline, as set by the caller.
    pub deadline: Option<Millis>,
}

/// A request that passed admission.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Route of the request.
    pub route: RouteId,
    /// Configuration under which it was admitted.
    pub version: Arc<FleetVersion>,
    /// Time at which the response is due: the caller's deadline, or that of the route if the caller sets none.
    pub deadline: Time,
    /// Whether running it more than once is harmless.
    pub idempotent: bool,
    /// Whether a peer forwarded it to this VM.
    pub forwarded: bool,
}

impl AdmittedRequest {
    /// Returns the configuration of the route.
    pub fn route(&self) -> &Route {
        &self.version.fleet.routes[&self.route]
    }

    /// Returns the configuration of the workspace.
    pub fn workspace(&self) -> &Workspace {
        &self.version.fleet.workspaces[&self.workspace]
    }

    /// Returns the targets of the route, as seen from the local domain.
    pub fn route_targets(&self) -> &RouteTargets {
        self.version
            .routing_table
            .route(&self.route)
            .expect("the routing table has each route of its configuration")
    }
}

/// What a routing decision is based on, besides the admitted request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoutingInput<'a> {
    /// Model that the caller names.
    pub model: Option<&'a ModelId>,
    /// Length of the body.
    pub len: Bytes,
    /// Hashes of the prompt's prefixes.
    pub prefixes: &'a [PrefixHash],
    /// Targets of earlier attempts.
    pub earlier_targets: &'a [Target],
}

/// The target chosen for a request.
#[derive(Debug, Clone)]
pub struct RoutingDecision {
    /// Chosen candidate.
    pub candidate: Candidate,
    /// Why it was chosen.
    pub reason: Reason,
    /// Number of candidates.
    pub considered: usize,
    /// VM to forward the request to, if the target is a remote domain.
    pub forward_to: Option<VmRow>,
}

/// A dispatched request; must be passed to [`crate::Gate::on_end`] when it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchRecord {
    /// Target of the request.
    pub target: Target,
    /// Time of the dispatch.
    pub dispatched_at: Time,
    /// Expected time to completion.
    pub expected: Millis,
    /// Time from dispatch to the deadline.
    pub remaining: Millis,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The complete response arrived.
    Complete,
    /// The response is missing or incomplete.
    Incomplete,
}

/// Why a request is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ForwardPurpose {
    /// To run at an endpoint of the receiver's domain.
    Run,
    /// To run at the receiver because it owns the ticket.
    Owned,
}

/// Metadata that is sent with a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Request id, for logs and responses.
    pub request_id: String,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Route of the request.
    pub route: RouteId,
    /// Version of the configuration that the sender uses.
    pub version: Version,
    /// Time until the deadline.
    pub remaining: Millis,
    /// Number of times the request was forwarded, this time included.
    pub hops: u32,
    /// Why it is forwarded.
    pub purpose: ForwardPurpose,
    /// Ticket of the request, if it has one.
    pub ticket: Option<Ticket>,
}

/// The VM incarnation that may run a request with a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketOwner {
    /// This VM.
    Local,
    /// Another VM.
    Peer(VmRow),
    /// An incarnation that is over or unknown.
    Gone,
}

/// What a VM has observed of the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreObservation {
    /// Highest revision seen.
    pub revision: i64,
    /// Remaining time during which claims are refused, because the store may have lost earlier ones.
    pub quarantine: Millis,
}

/// The sender of a heartbeat, as it identifies itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatSender {
    /// Full row, for a receiver that may not know the sender.
    Full(VmRow),
    /// Short form, for a receiver that knows the sender.
    Brief(VmBrief),
}

impl HeartbeatSender {
    /// Returns the id of the VM.
    pub fn vm(&self) -> &VmId {
        match self {
            Self::Full(row) => &row.vm,
            Self::Brief(brief) => &brief.vm,
        }
    }

    /// Returns the incarnation of the VM.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Full(row) => row.incarnation,
            Self::Brief(brief) => brief.incarnation,
        }
    }
}

/// A periodic message between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender of the heartbeat.
    pub sender: HeartbeatSender,
    /// Digest of the receiver's row as the sender knows it; zero if the sender does not know it.
    pub receiver_digest: u64,
    /// Digest of the VMs of its domain that the sender knows.
    pub members_digest: u64,
    /// Rows of those VMs, if the receiver's digest differs.
    pub members: Vec<VmRow>,
    /// Leaving endpoints, if the receiver may not know all of them.
    pub leaving: Vec<EndpointIncarnation>,
    /// Endpoint reports that the sender polled itself.
    pub reports: Vec<Report>,
    /// Summaries of domains, without what the receiver knows.
    pub summaries: Vec<DomainSummary>,
    /// What the sender has observed of the key-value store.
    pub store: StoreObservation,
}
