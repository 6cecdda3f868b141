//! Decisions on orders.

use indexmap::IndexMap;
use sw_conf::Fleet;
use sw_unit::{Bytes, Fence, Incarnation, Millis, ModelId, Rate, Time};

use crate::{Action, EndpointView, Order};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Bounds of [`Planner`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// An order that is not seen to be carried out after this long is given up.
    pub order_timeout: Millis,
    /// A model gets another endpoint if its demand on each is this many times that of the model that makes room.
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

/// An order that is not seen to be carried out yet.
#[derive(Debug, Clone)]
struct Pending {
    order: Order,
    incarnation: Incarnation,
    since: Time,
}

/// Decides on one order after the other.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    options: Options,
    pending: Option<Pending>,
    next_load: Time,
}

impl Planner {
    /// A planner without a pending order.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// The next order, if one is due; it counts as given.
    ///
    /// `needed` are the models that must be loaded somewhere, `demand` is requests a second by model.
    pub fn next_order(
        &mut self,
        fleet: &Fleet,
        endpoints: &[EndpointView],
        needed: &[ModelId],
        demand: &IndexMap<ModelId, Rate>,
        fence: Fence,
        now: Time,
    ) -> Option<Order> {
        self.confirm(endpoints, now);
        if self.pending.is_some() {
            return None;
        }
        let view = View {
            fleet,
            endpoints,
            needed,
            demand,
        };
        let (index, action, model) = view.cover().or_else(|| view.extend(self.options.min_demand_ratio))?;
        if action == Action::Load && now < self.next_load {
            return None;
        }
        let order = Order {
            fence,
            endpoint: endpoints[index].id.clone(),
            action,
            model,
        };
        if action == Action::Load {
            self.next_load = now + load_time(fleet, &order.model);
        }
        let incarnation = endpoints[index].incarnation;
        self.pending = Some(Pending {
            order: order.clone(),
            incarnation,
            since: now,
        });
        Some(order)
    }

    /// Forgets the pending order, because it was refused.
    pub fn on_order_rejected(&mut self) {
        self.pending = None;
    }

    fn confirm(&mut self, endpoints: &[EndpointView], now: Time) {
        let Some(Pending {
            order,
            incarnation,
            since,
        }) = &self.pending
        else {
            return;
        };
        let endpoint = endpoints.iter().find(|endpoint| endpoint.id == order.endpoint);
        let is_done = endpoint.is_none_or(|endpoint| {
            let carried_out = endpoint.loaded.contains(&order.model) == (order.action == Action::Load);
            carried_out || endpoint.incarnation != *incarnation
        });
        if is_done || now.since(*since) >= self.options.order_timeout {
            self.pending = None;
        }
    }
}

/// Time that the weight store needs for a model.
fn load_time(fleet: &Fleet, model: &ModelId) -> Millis {
    let rate = fleet.weight_store_rate.0;
    let size = fleet.models.get(model).map_or(Bytes(0), |model| model.size);
    if rate > 0.0 {
        Millis((size.0 as f64 / rate * MILLIS_PER_SECOND) as u64)
    } else {
        Millis(0)
    }
}

struct View<'a> {
    fleet: &'a Fleet,
    endpoints: &'a [EndpointView],
    needed: &'a [ModelId],
    demand: &'a IndexMap<ModelId, Rate>,
}

impl View<'_> {
    /// A step towards loading the first needed model that is loaded nowhere.
    fn cover(&self) -> Option<(usize, Action, ModelId)> {
        let missing = self.needed.iter().filter(|model| self.copies(model) == 0);
        missing
            .into_iter()
            .find_map(|model| self.make_room(model, |view, other| view.copies(other) > 1 || !view.is_needed(other)))
    }

    /// A step towards another copy of the model with the highest demand on each copy.
    fn extend(&self, gain: f64) -> Option<(usize, Action, ModelId)> {
        let busiest = self
            .needed
            .iter()
            .max_by(|a, b| self.demand_per_copy(a).total_cmp(&self.demand_per_copy(b)))?;
        let demand = self.demand_per_copy(busiest);
        if demand <= 0.0 {
            return None;
        }
        // The new copy must not cost another model more than it brings this one.
        let worth_it = |view: &Self, other: &ModelId| {
            let dispensable = view.copies(other) > 1 || !view.is_needed(other);
            dispensable && view.demand_per_copy(other) * gain < demand
        };
        self.make_room(busiest, worth_it)
    }

    /// Loads `model` where there is room, or unloads a model that may go where loading it is possible.
    fn make_room(&self, model: &ModelId, may_go: impl Fn(&Self, &ModelId) -> bool) -> Option<(usize, Action, ModelId)> {
        let size = self.size(model);
        let able = |endpoint: &&EndpointView| endpoint.models.contains(model) && !endpoint.loaded.contains(model);
        let candidates = || self.endpoints.iter().enumerate().filter(|(_, endpoint)| able(endpoint));
        let roomy = candidates().find(|(_, endpoint)| self.used(endpoint) + size <= endpoint.memory);
        if let Some((index, _)) = roomy {
            return Some((index, Action::Load, model.clone()));
        }
        candidates()
            .filter(|(_, endpoint)| size <= endpoint.memory)
            .find_map(|(index, endpoint)| {
                let leaving = endpoint.loaded.iter().filter(|other| may_go(self, other));
                let least = leaving.min_by(|a, b| self.demand_per_copy(a).total_cmp(&self.demand_per_copy(b)))?;
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

    fn used(&self, endpoint: &EndpointView) -> Bytes {
        endpoint
            .loaded
            .iter()
            .fold(Bytes(0), |sum, model| sum + self.size(model))
    }
}
