//! Planner of load and unload orders.

use indexmap::IndexMap;
use sw_conf::Fleet;
use sw_unit::{Bytes, FencingToken, Incarnation, Millis, ModelId, Rate, Time};

use crate::{Action, EndpointView, Order};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Limits of [`Planner`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time after which an order that has not been carried out is dropped.
    pub order_timeout: Millis,
    /// Least ratio of a model's demand per copy to that of the model that is unloaded to make room for another copy.
    pub min_demand_ratio: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            order_timeout: Millis(60_000),
            min_demand_ratio: 2.0,
        }
    }
}

/// An order that has not been carried out yet.
#[derive(Debug, Clone)]
struct PendingOrder {
    order: Order,
    incarnation: Incarnation,
    given_at: Time,
}

/// Plans orders, at most one at a time.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    options: Options,
    pending: Option<PendingOrder>,
    /// Expected time at which the weight store finishes the last load.
    store_free_at: Time,
}

impl Planner {
    /// Creates a planner without a pending order.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the next order, if one is due, and records it as pending.
    ///
    /// `needed` are the models that must be loaded somewhere; `demand` is requests per second by model.
    pub fn next_order(
        &mut self,
        fleet: &Fleet,
        endpoints: &[EndpointView],
        needed: &[ModelId],
        demand: &IndexMap<ModelId, Rate>,
        fence: FencingToken,
        now: Time,
    ) -> Option<Order> {
        self.check_pending(endpoints, now);
        if self.pending.is_some() {
            return None;
        }
        let input = PlanningInput {
            fleet,
            endpoints,
            needed,
            demand,
        };
        let (index, action, model) = input
            .load_missing()
            .or_else(|| input.add_copy(self.options.min_demand_ratio))?;
        if action == Action::Load && now < self.store_free_at {
            return None;
        }
        let order = Order {
            fence,
            endpoint: endpoints[index].id.clone(),
            action,
            model,
        };
        if action == Action::Load {
            self.store_free_at = now + load_time(fleet, &order.model);
        }
        let incarnation = endpoints[index].incarnation;
        self.pending = Some(PendingOrder {
            order: order.clone(),
            incarnation,
            given_at: now,
        });
        Some(order)
    }

    /// Drops the pending order because the endpoint rejected it.
    pub fn on_order_rejected(&mut self) {
        self.pending = None;
    }

    /// Drops the pending order if it was carried out, if its endpoint has restarted or is gone, or after the timeout.
    fn check_pending(&mut self, endpoints: &[EndpointView], now: Time) {
        let Some(PendingOrder {
            order,
            incarnation,
            given_at,
        }) = &self.pending
        else {
            return;
        };
        let endpoint = endpoints.iter().find(|endpoint| endpoint.id == order.endpoint);
        let is_done = endpoint.is_none_or(|endpoint| {
            let carried_out = endpoint.loaded.contains(&order.model) == (order.action == Action::Load);
            carried_out || endpoint.incarnation != *incarnation
        });
        if is_done || now.since(*given_at) >= self.options.order_timeout {
            self.pending = None;
        }
    }
}

/// Returns the time that the weight store takes to transfer a model.
fn load_time(fleet: &Fleet, model: &ModelId) -> Millis {
    let rate = fleet.weight_store_rate.0;
    let size = fleet.models.get(model).map_or(Bytes(0), |model| model.size);
    if rate > 0.0 {
        Millis((size.0 as f64 / rate * MILLIS_PER_SECOND) as u64)
    } else {
        Millis(0)
    }
}

/// The inputs of one planning step.
struct PlanningInput<'a> {
    fleet: &'a Fleet,
    endpoints: &'a [EndpointView],
    needed: &'a [ModelId],
    demand: &'a IndexMap<ModelId, Rate>,
}

impl PlanningInput<'_> {
    /// Returns a step towards loading the first needed model that is loaded nowhere.
    fn load_missing(&self) -> Option<(usize, Action, ModelId)> {
        let missing = self.needed.iter().filter(|model| self.copies(model) == 0);
        missing
            .into_iter()
            .find_map(|model| self.make_room(model, |input, other| input.copies(other) > 1 || !input.is_needed(other)))
    }

    /// Returns a step towards another copy of the model with the highest demand per copy.
    fn add_copy(&self, min_demand_ratio: f64) -> Option<(usize, Action, ModelId)> {
        let busiest = self
            .needed
            .iter()
            .max_by(|a, b| self.demand_per_copy(a).total_cmp(&self.demand_per_copy(b)))?;
        let demand = self.demand_per_copy(busiest);
        if demand <= 0.0 {
            return None;
        }
        // Unloading a copy of another model must not cost more than the new copy gains.
        let may_unload = |input: &Self, other: &ModelId| {
            let is_dispensable = input.copies(other) > 1 || !input.is_needed(other);
            is_dispensable && input.demand_per_copy(other) * min_demand_ratio < demand
        };
        self.make_room(busiest, may_unload)
    }

    /// Returns a load of `model` if an endpoint has room for it.
    ///
    /// Otherwise returns the unloading of a model for which `may_unload` holds, on an endpoint that may load `model`.
    fn make_room(
        &self,
        model: &ModelId,
        may_unload: impl Fn(&Self, &ModelId) -> bool,
    ) -> Option<(usize, Action, ModelId)> {
        let size = self.size(model);
        let may_load = |endpoint: &&EndpointView| endpoint.models.contains(model) && !endpoint.loaded.contains(model);
        let candidates = || {
            self.endpoints
                .iter()
                .enumerate()
                .filter(|(_, endpoint)| may_load(endpoint))
        };
        let with_room = candidates().find(|(_, endpoint)| self.used_memory(endpoint) + size <= endpoint.memory);
        if let Some((index, _)) = with_room {
            return Some((index, Action::Load, model.clone()));
        }
        candidates()
            .filter(|(_, endpoint)| size <= endpoint.memory)
            .find_map(|(index, endpoint)| {
                let unload_candidates = endpoint.loaded.iter().filter(|other| may_unload(self, other));
                let least =
                    unload_candidates.min_by(|a, b| self.demand_per_copy(a).total_cmp(&self.demand_per_copy(b)))?;
                Some((index, Action::Unload, least.clone()))
            })
    }

    fn copies(&self, model: &ModelId) -> usize {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.loaded.contains(model))
            .count()
    }

    fn is_needed(&self, model: &ModelId) -> bool {
        self.needed.contains(model)
    }

    fn demand_per_copy(&self, model: &ModelId) -> f64 {
        self.demand.get(model).map_or(0.0, |rate| rate.0) / self.copies(model).max(1) as f64
    }

    fn size(&self, model: &ModelId) -> Bytes {
        self.fleet.models.get(model).map_or(Bytes(0), |model| model.size)
    }

    fn used_memory(&self, endpoint: &EndpointView) -> Bytes {
        endpoint
            .loaded
            .iter()
            .fold(Bytes(0), |sum, model| sum + self.size(model))
    }
}
