//! Orders to load and unload models.

use indexmap::IndexMap;
use sw_conf::Endpoint;
use sw_place::{EndpointView, Order};
use sw_route::Policy;
use sw_unit::{Bytes, EndpointId, Fence, Millis, ModelId, Rate, Time};

use crate::Gate;

/// Time over which demand is averaged.
const DEMAND_MEMORY: Millis = Millis(30_000);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Requests a second by model, averaged over [`DEMAND_MEMORY`].
///
/// Callers spread over the VMs of a domain, so the demand at one of them is a sample of the domain's.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    rates: IndexMap<ModelId, Rate>,
    ticked: Time,
}

impl Demand {
    /// Records a request for a model.
    pub(crate) fn asked(&mut self, model: Option<&ModelId>) {
        let Some(model) = model else {
            return;
        };
        let share = MILLIS_PER_SECOND / DEMAND_MEMORY.0 as f64;
        match self.rates.get_mut(model) {
            Some(rate) => rate.0 += share,
            None => {
                self.rates.insert(model.clone(), Rate(share));
            }
        }
    }

    /// Lets the average fade.
    pub(crate) fn tick(&mut self, now: Time) {
        let elapsed = now.since(self.ticked).0 as f64;
        self.ticked = now;
        let keep = (-elapsed / DEMAND_MEMORY.0 as f64).exp();
        self.rates.values_mut().for_each(|rate| rate.0 *= keep);
    }
}

impl<P: Policy> Gate<P> {
    /// Whether there are endpoints in the own domain whose models are loaded by order.
    pub fn has_ordered_endpoints(&self) -> bool {
        self.ordered_endpoints().next().is_some()
    }

    /// The next order to give under the fencing number of a lease, with the endpoint's address.
    pub fn next_order(&mut self, fence: Fence, now: Time) -> Option<(Order, std::net::SocketAddr)> {
        let version = self.version.clone()?;
        let views: Vec<_> = self
            .ordered_endpoints()
            .filter_map(|(id, endpoint, memory)| {
                let loaded = self.loads.loaded_models(id)?.iter().cloned().collect();
                Some(EndpointView {
                    id: id.clone(),
                    incarnation: self.loads.incarnation(id),
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

    /// Records that an order was refused.
    pub fn on_order_rejected(&mut self) {
        self.planner.on_order_rejected();
    }

    /// Endpoints of the own domain whose models are loaded by order and that are not leaving.
    fn ordered_endpoints(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint, Bytes)> {
        let domain = &self.members.local().domain;
        let endpoints = self.version.iter().flat_map(|version| &version.fleet.endpoints);
        let own = endpoints.filter(move |(_, endpoint)| endpoint.domain == *domain);
        own.filter_map(|(id, endpoint)| {
            let stays = !self.leaving.contains(id, self.loads.incarnation(id));
            endpoint.memory.filter(|_| stays).map(|memory| (id, endpoint, memory))
        })
    }

    /// Models of the routes that permit this region, in the order of the configuration.
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
