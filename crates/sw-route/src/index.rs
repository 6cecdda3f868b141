//! Routing table: the endpoints and domains that each route may use, for one version of the configuration.

use indexmap::IndexMap;
use sw_conf::{Endpoint, EndpointKind, Fleet, Route};
use sw_unit::{DomainId, EndpointId, ModelId, RegionId, RouteId, Tokens};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// The price of an engine is per this many tokens.
const TOKENS_PER_PRICE_UNIT: f64 = 1_000_000.0;
/// The price of a plain service is per this many calls.
const CALLS_PER_PRICE_UNIT: f64 = 1_000.0;

/// An endpoint of the local failure domain that serves a route.
#[derive(Debug, Clone)]
pub struct LocalEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Its region.
    pub region: RegionId,
    /// The models of the route that it serves.
    pub models: Vec<ModelId>,
    /// Its speed and price.
    pub profile: EndpointProfile,
}

/// The endpoints of a remote failure domain that serve one model of a route.
#[derive(Debug, Clone)]
pub struct RemoteGroup {
    /// The domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// The model, or the name of the plain service, that the domain reports their load by.
    pub model: ModelId,
    /// Speed and price of the cheapest of them.
    pub profile: EndpointProfile,
    /// Total number of their slots.
    pub slots: u32,
}

/// The configured speed and price of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointProfile {
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Milliseconds to prefill a prompt token.
    pub prefill_ms_per_token: f64,
    /// Milliseconds to generate a response of the expected length after prefill, on an otherwise idle endpoint.
    pub response_ms: f64,
    /// Price of a response of the expected length, in units of money.
    pub price: f64,
}

/// The endpoints and domains that a route may use.
#[derive(Debug, Clone, Default)]
pub struct RouteTargets {
    /// Endpoints of the local failure domain.
    pub local: Vec<LocalEndpoint>,
    /// Endpoints of remote failure domains, by domain and model.
    pub remote: Vec<RemoteGroup>,
}

/// The targets of all routes.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    routes: IndexMap<RouteId, RouteTargets>,
}

impl RoutingTable {
    /// Creates the table for a VM of the failure domain `local`.
    pub fn new(fleet: &Fleet, local: &DomainId) -> Self {
        let routes = fleet
            .routes
            .iter()
            .map(|(id, route)| (id.clone(), RouteTargets::new(fleet, route, local)));
        Self {
            routes: routes.collect(),
        }
    }

    /// Returns the targets of a route; `None` if there is no such route.
    pub fn route(&self, id: &RouteId) -> Option<&RouteTargets> {
        self.routes.get(id)
    }
}

impl RouteTargets {
    fn new(fleet: &Fleet, route: &Route, local: &DomainId) -> Self {
        let mut targets = Self::default();
        let expected_tokens = fleet
            .classes
            .get(&route.class)
            .map_or(Tokens(0), |class| class.expected_tokens);
        for (id, endpoint) in &fleet.endpoints {
            let Some(region) = fleet.region_of(&endpoint.domain) else {
                continue;
            };
            if !route.regions.contains(region) || !fleet.serves(id, endpoint, route) {
                continue;
            }
            let profile = EndpointProfile::new(endpoint, expected_tokens);
            if endpoint.domain == *local {
                let models = route
                    .models
                    .iter()
                    .filter(|model| endpoint.models.contains(model))
                    .cloned()
                    .collect();
                targets.local.push(LocalEndpoint {
                    id: id.clone(),
                    region: region.clone(),
                    models,
                    profile,
                });
                continue;
            }
            for model in summary_keys(id, endpoint).filter(|model| is_allowed(route, endpoint.kind, model)) {
                targets.add_remote(&endpoint.domain, region, model, profile);
            }
        }
        targets
    }

    fn add_remote(&mut self, domain: &DomainId, region: &RegionId, model: ModelId, profile: EndpointProfile) {
        let same = |group: &&mut RemoteGroup| group.domain == *domain && group.model == model;
        if let Some(group) = self.remote.iter_mut().find(same) {
            group.slots += profile.slots;
            if profile.price < group.profile.price {
                group.profile = profile;
            }
            return;
        }
        let (domain, region) = (domain.clone(), region.clone());
        self.remote.push(RemoteGroup {
            domain,
            region,
            model,
            profile,
            slots: profile.slots,
        });
    }
}

/// Returns the keys that a domain reports the load of an endpoint by: its models, or its id for a plain service.
pub fn summary_keys<'a>(id: &EndpointId, endpoint: &'a Endpoint) -> impl Iterator<Item = ModelId> + use<'a> {
    let service = match endpoint.kind {
        EndpointKind::Engine => None,
        EndpointKind::Service => id.as_str().parse().ok(),
    };
    endpoint.models.iter().cloned().chain(service)
}

fn is_allowed(route: &Route, kind: EndpointKind, key: &ModelId) -> bool {
    kind == EndpointKind::Service || route.models.contains(key)
}

impl EndpointProfile {
    fn new(endpoint: &Endpoint, expected_tokens: Tokens) -> Self {
        let token_ms = endpoint.token_time.0 as f64;
        let (response_ms, price) = match endpoint.kind {
            EndpointKind::Engine => {
                let tokens = expected_tokens.0 as f64;
                (
                    token_ms * tokens,
                    endpoint.price.units() * tokens / TOKENS_PER_PRICE_UNIT,
                )
            }
            EndpointKind::Service => (token_ms, endpoint.price.units() / CALLS_PER_PRICE_UNIT),
        };
        let prefill_ms_per_token = match endpoint.kind {
            EndpointKind::Engine => MILLIS_PER_SECOND / endpoint.prefill_rate.0.max(1.0),
            EndpointKind::Service => 0.0,
        };
        Self {
            slots: endpoint.slots,
            prefill_ms_per_token,
            response_ms,
            price,
        }
    }
}
