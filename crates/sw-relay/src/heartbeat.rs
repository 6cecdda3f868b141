//! Heartbeats between VMs.
//!
//! All VMs of a failure domain exchange heartbeats with each other. With another failure domain, only a delegate
//! exchanges heartbeats, with one VM there at a time. Both sides send what they receive on to their neighbours, so that
//! the traffic of a VM does not grow with the number of VMs in other domains. Membership rows are sent only if the two
//! sides know different ones.

use sw_member::VmRow;
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, RegionId, Time, Version, VmId};

use crate::{
    AnsweredSuspect, CachedPart, CrashReport, EndpointRateLimit, RouteDemand, ServiceId, ServiceVersions, StoreState,
};

/// Load that one VM, or all VMs of one failure domain, put on an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Running requests.
    pub running: u32,
    /// Work that is queued there, in milliseconds.
    pub backlog_ms: f64,
    /// Gap between two events of a stream in milliseconds; `None` if there were no events recently.
    pub gap_ms: Option<f64>,
}

impl EndpointLoad {
    /// Returns whether any request runs or is queued there.
    pub fn is_busy(&self) -> bool {
        self.running > 0 || self.backlog_ms > 0.0
    }
}

/// Load of a service's endpoints in the sender's region.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// Number of usable endpoints.
    pub usable: u32,
    /// Expected queue wait of a new request at the least busy endpoints, in milliseconds.
    pub wait_ms: f64,
    /// Mean gap between two events of a stream in milliseconds.
    pub gap_ms: f64,
}

/// One incarnation of a VM, and the age of its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmAge {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time since its last heartbeat.
    pub age: Millis,
    /// Services to whose endpoints in its region it has no path.
    pub cut_off: Vec<ServiceId>,
}

/// State of a failure domain as its own VMs know it.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainView {
    /// The domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Time since one of its VMs sent this view.
    pub age: Millis,
    /// Its VMs.
    pub vms: Vec<VmAge>,
    /// Load that its VMs put on the endpoints of their region; empty if the receiver is in another region.
    pub endpoints: Vec<EndpointLoad>,
    /// Load of the services in its region; empty if the receiver is in the same region.
    pub services: Vec<ServiceLoad>,
    /// Shared prompt parts that its VMs recently saw cached.
    pub cached_parts: Vec<CachedPart>,
    /// Rate limits of endpoints of its region; empty if the receiver is in another region.
    pub rate_limits: Vec<EndpointRateLimit>,
    /// Crashes of endpoints that its VMs know.
    pub crashes: Vec<CrashReport>,
    /// Suspects that were answered completely.
    pub answered: Vec<AnsweredSuspect>,
    /// Work that callers of its VMs ask for.
    pub demands: Vec<RouteDemand>,
}

/// A version of the configuration that a VM has heard of and lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeardVersion {
    /// The version.
    pub version: Version,
    /// Time since a VM was first heard to run it.
    pub age: Millis,
}

/// A heartbeat between two VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub from: VmRow,
    /// Digest of the rows that the sender knows.
    pub members_digest: u64,
    /// The rows that changed since the last exchange, or all that the sender knows, if the receiver may know different
    /// ones; a row is no evidence that its VM is live.
    pub known_vms: Vec<VmRow>,
    /// State of the sender's mirror of the store.
    pub store: StoreState,
    /// Load that the sender puts on endpoints of its region; empty between domains.
    pub endpoints: Vec<EndpointLoad>,
    /// To another domain: the view of the sender's domain. To neighbours: the views that the sender received
    /// directly from other domains.
    pub domains: Vec<DomainView>,
    /// Shared prompt parts that the sender recently saw cached; empty between domains.
    pub cached_parts: Vec<CachedPart>,
    /// Rate limits of endpoints that the sender knows; empty between domains.
    pub rate_limits: Vec<EndpointRateLimit>,
    /// Crashes of endpoints that the sender knows; empty between domains.
    pub crashes: Vec<CrashReport>,
    /// Suspects that were answered completely; empty between domains.
    pub answered: Vec<AnsweredSuspect>,
    /// Software versions that the sender has seen registered, if the receiver may be new.
    pub versions: Vec<ServiceVersions>,
    /// Services to whose endpoints in its region the sender has no path.
    pub cut_off: Vec<ServiceId>,
    /// The newest version that the sender has heard of, if it lacks that.
    pub newer_version: Option<HeardVersion>,
    /// How the sender takes and asks for rows.
    pub row_query: RowQuery,
    /// Age of the proof that the sender's version of the configuration was the newest in the store; `None` if it has none.
    pub proof_age: Option<Millis>,
    /// Work that callers of the sender ask for; empty between domains.
    pub demands: Vec<RouteDemand>,
}

/// Which rows the receiver of a heartbeat should send.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RowQuery {
    /// Whether the sender takes rows as differences; a VM of an earlier build does not.
    pub takes_differences: bool,
    /// Whether the sender wants all rows: in the reply, or if this is a reply, in the next heartbeat.
    pub wants_all: bool,
    /// Time since the sender received a heartbeat of the receiver, or of the receiver's failure domain if that is another
    /// one; `None` if it received none.
    pub last_heard: Option<Millis>,
}

/// A heartbeat that was sent to another VM, until its reply is received.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// The row of the receiver, if it is known.
    pub(crate) to: Option<VmRow>,
    pub(crate) started_at: Time,
}
