//! The fleet configuration.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use strum::{Display, EnumString};
use sw_unit::{
    Bytes, ClassId, Digest, DomainId, EndpointId, Millis, ModelId, Money, Rate, RegionId, RouteId, Tokens, Weight,
    WorkspaceId,
};

/// A validated fleet configuration: every id that it refers to exists.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Weights of the routing objective.
    pub objective: Objective,
    /// Rate at which the weight store transfers models to a failure domain, in bytes per second; 0 for no limit.
    pub weight_store_rate: Rate,
    /// Regions.
    pub regions: IndexSet<RegionId>,
    /// Failure domains.
    pub domains: IndexMap<DomainId, Domain>,
    /// Links between regions, by the pair of regions in ascending order.
    pub links: IndexMap<(RegionId, RegionId), Link>,
    /// Models and adapters.
    pub models: IndexMap<ModelId, Model>,
    /// Endpoints.
    pub endpoints: IndexMap<EndpointId, Endpoint>,
    /// Request classes.
    pub classes: IndexMap<ClassId, Class>,
    /// Routes.
    pub routes: IndexMap<RouteId, Route>,
    /// Workspaces.
    pub workspaces: IndexMap<WorkspaceId, Workspace>,
    /// Workspaces by the digest of their bearer key.
    pub keys: IndexMap<Digest, WorkspaceId>,
}

/// Weights of the objective that routing minimises; a term with a larger weight counts more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objective {
    /// Weight of one unit of money.
    pub cost: Weight,
    /// Weight of one second of latency for a request of worth 1.
    pub latency: Weight,
    /// Weight of sending a request to another region.
    pub remote: Weight,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            cost: Weight(1.0),
            latency: Weight(1.0),
            remote: Weight(0.1),
        }
    }
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Its region.
    pub region: RegionId,
}

/// A link between two regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Bandwidth in megabits per second, in each direction.
    pub bandwidth_mbps: Rate,
    /// One-way delay.
    pub latency: Millis,
    /// Price per gigabyte.
    pub price_per_gb: Money,
}

/// A model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Size of its weights.
    pub size: Bytes,
    /// Base model, if this is an adapter.
    pub base: Option<ModelId>,
}

/// Kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, Default)]
#[strum(serialize_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Service,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its failure domain.
    pub domain: DomainId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its kind.
    pub kind: EndpointKind,
    /// Models that it serves.
    pub models: Vec<ModelId>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Prefill rate in prompt tokens per second.
    pub prefill_rate: Rate,
    /// Time per output token of a request that runs alone.
    pub token_time: Millis,
    /// Price per million tokens of an engine, or per thousand calls of a service.
    pub price: Money,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_orders: bool,
    /// Memory for weights, if models are loaded and unloaded by orders; `None` if all its models are always loaded.
    pub memory: Option<Bytes>,
}

/// A request class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Weight of the class's tail latency; routing does not use it.
    pub weight: Weight,
    /// Expected length of a response.
    pub expected_tokens: Tokens,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its class.
    pub class: ClassId,
    /// Models that may serve it; empty for a route to plain services.
    pub models: Vec<ModelId>,
    /// Plain services that may serve it; empty for a route to models.
    pub services: Vec<EndpointId>,
    /// Regions that its data may enter.
    pub regions: IndexSet<RegionId>,
    /// Worth of a response to the caller.
    pub worth: Weight,
    /// Deadline of a request that does not set its own.
    pub deadline: Millis,
    /// Whether a request may be executed twice.
    pub idempotent: bool,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Digest of its bearer key.
    pub key: Digest,
    /// Requests per second over the whole fleet.
    pub quota: Rate,
    /// The only region that its data may enter, if it is restricted to one.
    pub home: Option<RegionId>,
    /// Routes that it may use.
    pub routes: Vec<RouteId>,
}

impl Fleet {
    /// Returns the region of a failure domain.
    pub fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.domains.get(domain).map(|domain| &domain.region)
    }

    /// Returns the link between two regions, given in either order.
    pub fn link(&self, a: &RegionId, b: &RegionId) -> Option<&Link> {
        let key = if a <= b {
            (a.clone(), b.clone())
        } else {
            (b.clone(), a.clone())
        };
        self.links.get(&key)
    }

    /// Returns whether a request of `workspace` on `route` may be processed in `region`.
    pub fn permits(&self, route: &Route, workspace: &Workspace, region: &RegionId) -> bool {
        route.regions.contains(region) && workspace.home.as_ref().is_none_or(|home| home == region)
    }

    /// Returns whether an endpoint has a model of the route or is one of its services; regions are not checked.
    pub fn serves(&self, id: &EndpointId, endpoint: &Endpoint, route: &Route) -> bool {
        match endpoint.kind {
            EndpointKind::Engine => route.models.iter().any(|model| endpoint.models.contains(model)),
            EndpointKind::Service => route.services.contains(id),
        }
    }
}
