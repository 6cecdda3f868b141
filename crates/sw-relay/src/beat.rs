//! What VMs tell each other.

use sw_member::VmRow;
use sw_unit::EndpointId;

use crate::ServiceId;

/// What a VM sent to one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that run there.
    pub running: u32,
    /// Milliseconds of reading that are not done.
    pub backlog_ms: f64,
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

/// A heartbeat between two VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct Beat {
    /// The sender.
    pub from: VmRow,
    /// VMs that the sender knows of; this does not prove that they are live.
    pub known: Vec<VmRow>,
    /// The revision of the sender's copy of the store.
    pub revision: u64,
    /// What the sender sent to endpoints of its region; empty between regions.
    pub endpoints: Vec<EndpointLoad>,
    /// How busy the sender's region is.
    pub services: Vec<ServiceLoad>,
}
