//! What VMs tell each other.
//!
//! VMs of a failure domain exchange heartbeats with each other. Between two domains only a delegate of each does, and
//! passes what it hears on to its neighbours, so that the traffic of a VM does not grow with the number of domains'
//! VMs. Rows of VMs travel only when the two ends know different ones.

use sw_member::VmRow;
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, RegionId, VmId};

use crate::{CachedPart, ServiceId};

/// What one VM, or the VMs of one failure domain, sent to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that run there.
    pub running: u32,
    /// Milliseconds of reading that are not done.
    pub backlog_ms: f64,
    /// Milliseconds between two events of a stream, if any were seen lately.
    pub gap_ms: Option<f64>,
}

impl EndpointLoad {
    /// Whether anything runs or waits there.
    pub fn is_busy(&self) -> bool {
        self.running > 0 || self.backlog_ms > 0.0
    }
}

/// How busy the endpoints of a service are in the sender's region.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// Endpoints that may be sent to.
    pub usable: u32,
    /// Expected milliseconds until a new request is begun, at the endpoints that are least busy.
    pub wait_ms: f64,
    /// Mean pause between two events in milliseconds.
    pub gap_ms: f64,
}

/// One life of a VM, and how long ago it was heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmAge {
    /// The VM.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Time since it was heard.
    pub age: Millis,
}

/// What is known in a failure domain of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainView {
    /// The domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Time since one of its VMs said so.
    pub age: Millis,
    /// Its VMs.
    pub vms: Vec<VmAge>,
    /// What its VMs sent to the endpoints of their region; empty for VMs of other regions.
    pub endpoints: Vec<EndpointLoad>,
    /// How busy its region is.
    pub services: Vec<ServiceLoad>,
    /// Shared parts of prompts that its VMs saw read lately.
    pub cached_parts: Vec<CachedPart>,
}

/// A heartbeat between two VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub from: VmRow,
    /// Digest of the rows that the sender knows.
    pub members_digest: u64,
    /// The rows that the sender knows, if the receiver may know others; they do not prove that a VM is live.
    pub known_vms: Vec<VmRow>,
    /// The revision of the sender's copy of the store.
    pub revision: u64,
    /// What the sender sent to endpoints of its region; empty between domains.
    pub endpoints: Vec<EndpointLoad>,
    /// To another domain the sender's own, to neighbours those that it heard of as a delegate.
    pub domains: Vec<DomainView>,
    /// Shared parts of prompts that the sender saw read lately; empty between domains.
    pub cached_parts: Vec<CachedPart>,
}
