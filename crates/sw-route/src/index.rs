//! Which endpoints and domains a route may use, for one version of the configuration.

use indexmap::IndexMap;
use sw_conf::{Endpoint, EndpointKind, Fleet, Route};
use sw_unit::{DomainId, EndpointId, ModelId, RegionId, RouteId, Tokens};

const MILLIS_PER_SECOND: f64 = 1_000.0;
const TOKENS_PER_PRICE: f64 = 1_000_000.0;
const CALLS_PER_PRICE: f64 = 1_000.0;

/// An endpoint of the own domain that serves a route.
#[derive(Debug, Clone)]
pub struct LocalEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Its region.
    pub region: RegionId,
    /// The models of the route that it serves.
    pub models: Vec<ModelId>,
    /// What an answer takes and costs there.
    pub profile: EndpointProfile,
}

/// The endpoints of another domain that serve a route.
#[derive(Debug, Clone)]
pub struct RemoteGroup {
    /// The domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// The model, or the name of the plain service, under which the domain reports their load.
    pub model: ModelId,
    /// What an answer takes and costs there, at the cheapest of them.
    pub profile: EndpointProfile,
    /// Slots of all of them.
    pub slots: u32,
}

/// What an answer takes and costs at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointProfile {
    /// Requests at a time.
    pub slots: u32,
    /// Milliseconds to take in a prompt token.
    pub prefill_ms_per_token: f64,
    /// Milliseconds for an answer without its prompt, when it runs alone.
    pub response_ms: f64,
    /// Price of an answer in units of money.
    pub price: f64,
}

/// What a route may use.
#[derive(Debug, Clone, Default)]
pub struct RouteTargets {
    /// Endpoints of the own domain.
    pub local: Vec<LocalEndpoint>,
    /// Other domains.
    pub remote: Vec<RemoteGroup>,
}

/// What each route may use.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    routes: IndexMap<RouteId, RouteTargets>,
}

impl RoutingTable {
    /// The index of a configuration as seen from `own`.
    pub fn new(fleet: &Fleet, own: &DomainId) -> Self {
        let routes = fleet
            .routes
            .iter()
            .map(|(id, route)| (id.clone(), RouteTargets::new(fleet, route, own)));
        Self {
            routes: routes.collect(),
        }
    }

    /// What a route may use.
    pub fn route(&self, id: &RouteId) -> Option<&RouteTargets> {
        self.routes.get(id)
    }
}

impl RouteTargets {
    fn new(fleet: &Fleet, route: &Route, own: &DomainId) -> Self {
        let mut index = Self::default();
        let expected = fleet
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
            let profile = EndpointProfile::new(endpoint, expected);
            if endpoint.domain == *own {
                let models = route
                    .models
                    .iter()
                    .filter(|model| endpoint.models.contains(model))
                    .cloned()
                    .collect();
                index.local.push(LocalEndpoint {
                    id: id.clone(),
                    region: region.clone(),
                    models,
                    profile,
                });
                continue;
            }
            for model in summary_keys(id, endpoint).filter(|model| is_allowed(route, endpoint.kind, model)) {
                index.add_remote(&endpoint.domain, region, model, profile);
            }
        }
        index
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

/// The names under which a domain reports the load of an endpoint: its models, or its own id for a plain service.
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
    fn new(endpoint: &Endpoint, expected: Tokens) -> Self {
        let token_ms = endpoint.token_time.0 as f64;
        let (response_ms, price) = match endpoint.kind {
            EndpointKind::Engine => {
                let tokens = expected.0 as f64;
                (token_ms * tokens, endpoint.price.units() * tokens / TOKENS_PER_PRICE)
            }
            EndpointKind::Service => (token_ms, endpoint.price.units() / CALLS_PER_PRICE),
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
