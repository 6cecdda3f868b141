//! Load reports of endpoints and failure domains.

use sw_member::VmRow;
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, ModelId};

/// An endpoint's report of its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of requests that it is running.
    pub running: u32,
    /// Number of requests in its queue.
    pub queued: u32,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Age of the figures when the report was received.
    pub age: Millis,
    /// The models that are loaded; `None` if all are.
    pub loaded: Option<Vec<ModelId>>,
}

/// The total load of the endpoints of a failure domain that serve a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelLoad {
    /// The model, or the name of a plain service.
    pub model: ModelId,
    /// Number of requests that the endpoints can run at a time, without endpoints that accept none.
    pub slots: u32,
    /// Number of running and queued requests.
    pub load: u32,
}

/// The summary that a failure domain sends to the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSummary {
    /// The domain.
    pub domain: DomainId,
    /// Its load by model; models whose load the receiver already knows may be omitted.
    pub models: Vec<ModelLoad>,
    /// Rows of some of its live VMs that the receiver does not know.
    pub vms: Vec<VmRow>,
    /// Digests of the rows of its live VMs that the receiver already knows.
    pub live_digests: Vec<u64>,
    /// Age of the figures when the summary was received.
    pub age: Millis,
}
