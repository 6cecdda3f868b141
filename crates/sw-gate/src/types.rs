//! Messages to and from the gate.

use std::sync::Arc;

use strum::{Display, EnumString};
use sw_conf::{Route, Workspace};
use sw_load::{DomainSummary, PrefixHash, Report};
use sw_member::{EndpointIncarnation, VmBrief, VmRow};
use sw_once::Ticket;
use sw_route::{Candidate, Reason, RouteTargets, Target};
use sw_unit::{Bytes, Incarnation, Millis, ModelId, RouteId, Time, Version, VmId, WorkspaceId};

use crate::FleetVersion;

/// What a caller's headers say.
#[derive(Debug, Clone, Default)]
pub struct CallerHeaders<'a> {
    /// The bearer key.
    pub api_key: Option<&'a str>,
    /// The route.
    pub route: Option<&'a str>,
    /// The deadline that the caller sets.
    pub deadline: Option<Millis>,
}

/// A request that may run.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The route.
    pub route: RouteId,
    /// The configuration that it began with.
    pub version: Arc<FleetVersion>,
    /// When its answer is due.
    pub deadline: Time,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether this VM received it from another one.
    pub forwarded: bool,
}

impl AdmittedRequest {
    /// The route's configuration.
    pub fn route(&self) -> &Route {
        &self.version.fleet.routes[&self.route]
    }

    /// The workspace's configuration.
    pub fn workspace(&self) -> &Workspace {
        &self.version.fleet.workspaces[&self.workspace]
    }

    /// What the route may use.
    pub fn route_targets(&self) -> &RouteTargets {
        self.version
            .routing_table
            .route(&self.route)
            .expect("each route has an index")
    }
}

/// What a plan is asked for.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoutingInput<'a> {
    /// The model that the caller names.
    pub model: Option<&'a ModelId>,
    /// The length of the body.
    pub len: Bytes,
    /// Hashes of the prompt's beginnings.
    pub prefixes: &'a [PrefixHash],
    /// Targets that were tried already.
    pub tried: &'a [Target],
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct RoutingDecision {
    /// The choice.
    pub candidate: Candidate,
    /// Why.
    pub reason: Reason,
    /// How many candidates there were.
    pub considered: usize,
    /// The VM to forward it to, if the target is another domain.
    pub forward_to: Option<VmRow>,
}

/// A request that was handed over; it is to be given back with [`crate::Gate::on_end`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchRecord {
    /// Where to.
    pub target: Target,
    /// When.
    pub dispatched_at: Time,
    /// How long its answer was expected to take.
    pub expected: Millis,
    /// How long it might take.
    pub remaining: Millis,
}

/// How a request that was handed over ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// With its whole answer.
    Complete,
    /// Without it.
    Incomplete,
}

/// Why a request is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ForwardPurpose {
    /// To run at an endpoint of the receiver's domain.
    Run,
    /// Because the receiver owns its ticket.
    Owned,
}

/// What travels with a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Its id, for logs and answers.
    pub request_id: String,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The route.
    pub route: RouteId,
    /// The configuration of the sender.
    pub version: Version,
    /// Time until the deadline.
    pub remaining: Millis,
    /// How often it was forwarded, this time included.
    pub hops: u32,
    /// Why.
    pub purpose: ForwardPurpose,
    /// Its ticket.
    pub ticket: Option<Ticket>,
}

/// Who may run a request with a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketOwner {
    /// This VM.
    Local,
    /// Another VM.
    Peer(VmRow),
    /// A life of a VM that is over or was never heard of.
    Gone,
}

/// What a VM has seen of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreObservation {
    /// The highest revision.
    pub revision: i64,
    /// How much longer the service is not trusted to know of earlier claims.
    pub quarantine: Millis,
}

/// How a VM names itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatSender {
    /// To a VM that may not know it.
    Full(VmRow),
    /// To a VM that knows it.
    Brief(VmBrief),
}

impl HeartbeatSender {
    /// The VM.
    pub fn vm(&self) -> &VmId {
        match self {
            Self::Full(row) => &row.vm,
            Self::Brief(brief) => &brief.vm,
        }
    }

    /// Its life.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Full(row) => row.incarnation,
            Self::Brief(brief) => brief.incarnation,
        }
    }
}

/// What VMs tell each other each period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub sender: HeartbeatSender,
    /// A digest of the receiver's row as the sender knows it; zero if it does not.
    pub receiver_digest: u64,
    /// A digest of the VMs of its domain that the sender knows.
    pub members_digest: u64,
    /// Those VMs, if the receiver's digest differs.
    pub members: Vec<VmRow>,
    /// Leaving endpoints, if the receiver may not know them.
    pub leaving: Vec<EndpointIncarnation>,
    /// Reports that the sender itself fetched.
    pub reports: Vec<Report>,
    /// Summaries of domains.
    pub summaries: Vec<DomainSummary>,
    /// What the sender has seen of the key-value service.
    pub store: StoreObservation,
}
