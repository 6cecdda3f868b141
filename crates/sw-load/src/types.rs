//! Rows that endpoints and VMs report.

use sw_member::VmRow;
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, ModelId};

/// An endpoint's report of its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub queued: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How old the figures were when they were received.
    pub age: Millis,
    /// The models that are loaded; `None` if all are.
    pub loaded: Option<Vec<ModelId>>,
}

/// The load of all endpoints of a failure domain that serve a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelLoad {
    /// The model, or the name of a plain service.
    pub model: ModelId,
    /// Requests that the endpoints run at a time, less those of endpoints that take none.
    pub slots: u32,
    /// Requests running or queued.
    pub load: u32,
}

/// What a failure domain tells the others about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSummary {
    /// The domain.
    pub domain: DomainId,
    /// Its load by model; models whose load the receiver knows may be left out.
    pub models: Vec<ModelLoad>,
    /// Some of its live VMs, as far as the receiver does not know them.
    pub vms: Vec<VmRow>,
    /// Digests of the rows of its live VMs that the receiver knows.
    pub live_digests: Vec<u64>,
    /// How old the figures were when they were received.
    pub age: Millis,
}
