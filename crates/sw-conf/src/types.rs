//! The fleet configuration.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use strum::{Display, EnumString};
use sw_unit::{
    Bytes, ClassId, Digest, DomainId, EndpointId, Millis, ModelId, Money, Rate, RegionId, RouteId, Tokens, Weight,
    WorkspaceId,
};

/// A checked fleet configuration: every id that it mentions exists in it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// What the deployment optimises.
    pub objective: Objective,
    /// Bytes a second that the weight store gives to a failure domain; 0 for no limit.
    pub weight_store_rate: Rate,
    /// The regions.
    pub regions: IndexSet<RegionId>,
    /// The failure domains.
    pub domains: IndexMap<DomainId, Domain>,
    /// Links between regions, under the ordered pair of their ends.
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
    /// Workspaces by the digest of their key.
    pub keys: IndexMap<Digest, WorkspaceId>,
}

/// The weights of the deployment's objective; a larger weight matters more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objective {
    /// Weight of one unit of money.
    pub cost: Weight,
    /// Weight of one second of latency of a request of worth 1.
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
    /// The region that it lies in.
    pub region: RegionId,
}

/// A link between two regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Megabits a second, each way.
    pub bandwidth_mbps: Rate,
    /// One-way delay.
    pub latency: Millis,
    /// Price of a gigabyte.
    pub price_per_gb: Money,
}

/// A model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// The size of its weights.
    pub size: Bytes,
    /// The model that an adapter belongs to.
    pub base: Option<ModelId>,
}

/// What an endpoint is.
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
    /// The failure domain that it lies in.
    pub domain: DomainId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is.
    pub kind: EndpointKind,
    /// The models that it serves.
    pub models: Vec<ModelId>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Prompt tokens a second that it takes in.
    pub prefill_rate: Rate,
    /// Time between two tokens of one request when it runs alone.
    pub token_time: Millis,
    /// Price of a million tokens, or of a thousand calls of a service.
    pub price: Money,
    /// Whether it refuses orders with an old fencing number.
    pub checks_orders: bool,
    /// Memory for weights, if models are loaded and unloaded by order; otherwise all its models are always loaded.
    pub memory: Option<Bytes>,
}

/// A request class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Weight of its tail latency in the measure.
    pub weight: Weight,
    /// Tokens that an answer is expected to have.
    pub expected_tokens: Tokens,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its class.
    pub class: ClassId,
    /// The models allowed to answer; empty for a route to plain services.
    pub models: Vec<ModelId>,
    /// The plain services allowed to answer; empty for a route to models.
    pub services: Vec<EndpointId>,
    /// The regions that its data may enter.
    pub regions: IndexSet<RegionId>,
    /// What an answer is worth to the caller.
    pub worth: Weight,
    /// The deadline of a request that names none.
    pub deadline: Millis,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The digest of its bearer key.
    pub key: Digest,
    /// Requests a second over the whole fleet.
    pub quota: Rate,
    /// The only region that its data may enter, if it is bound to one.
    pub home: Option<RegionId>,
    /// The routes that are open to it.
    pub routes: Vec<RouteId>,
}

impl Fleet {
    /// The region of a failure domain.
    pub fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.domains.get(domain).map(|domain| &domain.region)
    }

    /// The link between two regions, in either order.
    pub fn link(&self, a: &RegionId, b: &RegionId) -> Option<&Link> {
        let key = if a <= b {
            (a.clone(), b.clone())
        } else {
            (b.clone(), a.clone())
        };
        self.links.get(&key)
    }

    /// Whether a request of `workspace` on `route` may be processed in `region`.
    pub fn permits(&self, route: &Route, workspace: &Workspace, region: &RegionId) -> bool {
        route.regions.contains(region) && workspace.home.as_ref().is_none_or(|home| home == region)
    }

    /// Whether an endpoint is able to serve a route, wherever it lies.
    pub fn serves(&self, id: &EndpointId, endpoint: &Endpoint, route: &Route) -> bool {
        match endpoint.kind {
            EndpointKind::Engine => route.models.iter().any(|model| endpoint.models.contains(model)),
            EndpointKind::Service => route.services.contains(id),
        }
    }
}
