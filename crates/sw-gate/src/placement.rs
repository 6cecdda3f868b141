//! Orders to load and unload models.

use indexmap::IndexMap;
use sw_conf::Endpoint;
use sw_place::{EndpointView, Order};
use sw_route::Policy;
use sw_unit::{Bytes, EndpointId, FencingToken, Millis, ModelId, Rate, Time};

use crate::Gate;

/// Time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Millis = Millis(30_000);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Requests per second by model, as a moving average with time constant [`DEMAND_TIME_CONSTANT`].
///
/// Callers are spread over the VMs of a domain, so the demand at one VM is a sample of the demand in the domain.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    rates: IndexMap<ModelId, Rate>,
    updated_at: Time,
}

impl Demand {
    /// Records a request for a model.
    pub(crate) fn record_request(&mut self, model: Option<&ModelId>) {
        let Some(model) = model else {
            return;
        };
        let increment = MILLIS_PER_SECOND / DEMAND_TIME_CONSTANT.0 as f64;
        match self.rates.get_mut(model) {
            Some(rate) => rate.0 += increment,
            None => {
                self.rates.insert(model.clone(), Rate(increment));
            }
        }
    }

    /// Decays the averages.
    pub(crate) fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).0 as f64;
        self.updated_at = now;
        let decay = (-elapsed / DEMAND_TIME_CONSTANT.0 as f64).exp();
        self.rates.values_mut().for_each(|rate| rate.0 *= decay);
    }
}

impl<P: Policy> Gate<P> {
    /// Returns whether the local domain has endpoints whose models are loaded by order.
    pub fn has_ordered_endpoints(&self) -> bool {
        self.ordered_endpoints().next().is_some()
    }

    /// Returns the next order to send under the fencing token of a lease, with the endpoint's address.
    pub fn next_order(&mut self, fence: FencingToken, now: Time) -> Option<(Order, std::net::SocketAddr)> {
        let version = self.version.clone()?;
        let views: Vec<_> = self
            .ordered_endpoints()
            .filter_map(|(id, endpoint, memory)| {
                let loaded = self.load_tracker.loaded_models(id)?.iter().cloned().collect();
                Some(EndpointView {
                    id: id.clone(),
                    incarnation: self.load_tracker.incarnation(id),
                    memory,
                    models: endpoint.models.clone(),
                    loaded,
                })
            })
            .collect();
        let needed = self.needed_models();
        let order = self
            .planner
            .next_order(&version.fleet, &views, &needed, &self.demand.rates, fence, now)?;
        let address = version.fleet.endpoints.get(&order.endpoint)?.address;
        Some((order, address))
    }

    /// Records that an order was rejected or could not be sent.
    pub fn on_order_rejected(&mut self) {
        self.planner.on_order_rejected();
    }

    /// Returns the endpoints of the local domain whose models are loaded by order and that are not leaving, with their
    /// memory.
    fn ordered_endpoints(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint, Bytes)> {
        let domain = &self.members.local().domain;
        let endpoints = self.version.iter().flat_map(|version| &version.fleet.endpoints);
        let local = endpoints.filter(move |(_, endpoint)| endpoint.domain == *domain);
        local.filter_map(|(id, endpoint)| {
            let stays = !self.leaving.contains(id, self.load_tracker.incarnation(id));
            endpoint.memory.filter(|_| stays).map(|memory| (id, endpoint, memory))
        })
    }

    /// Returns the models of the routes that permit the local region, in the order of the configuration.
    fn needed_models(&self) -> Vec<ModelId> {
        let region = &self.members.local().region;
        let routes = self.version.iter().flat_map(|version| version.fleet.routes.values());
        let mut models = Vec::new();
        for model in routes
            .filter(|route| route.regions.contains(region))
            .flat_map(|route| &route.models)
        {
            if !models.contains(model) {
                models.push(model.clone());
            }
        }
        models
    }
}
