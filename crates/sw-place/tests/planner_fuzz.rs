//! Stateful fuzz test of the planner: endpoints carry orders out, late or not at all, and simple rules must hold.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use sw_conf::{Fleet, Model};
use sw_fuzz::{IndependentSteps, config};
use sw_place::{Action, EndpointView, LeaseTerm, Options, Order, Planner};
use sw_unit::{Bytes, FencingToken, Incarnation, Millis, ModelId, Rate, Time};

const MODELS: [(&str, u64); 4] = [("a", 4), ("b", 6), ("c", 3), ("d", 9)];
const MEMORY: [u64; 3] = [10, 10, 6];
const STORE_RATE: f64 = 2.0;

#[derive(Debug, Clone)]
enum Step {
    Plan,
    CarryOut,
    LoseOrder,
    Demand { model: usize, rate: u8 },
    Restart { endpoint: usize },
    Advance { ms: u64 },
}

impl sw_fuzz::Step for Step {
    fn any() -> BoxedStrategy<Self> {
        prop_oneof![
            6 => Just(Step::Plan),
            6 => Just(Step::CarryOut),
            1 => Just(Step::LoseOrder),
            2 => (0..4_usize, 0..50_u8).prop_map(|(model, rate)| Step::Demand { model, rate }),
            1 => (0..3_usize).prop_map(|endpoint| Step::Restart { endpoint }),
            5 => (1..9_000_u64).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }
}

#[derive(Debug)]
struct Harness {
    fleet: Fleet,
    planner: Planner,
    endpoints: Vec<EndpointView>,
    demand: IndexMap<ModelId, Rate>,
    pending: Option<Order>,
    last_load: Option<(Time, u64)>,
    now: Time,
}

fn id(model: usize) -> ModelId {
    MODELS[model].0.parse().unwrap()
}

fn size(model: &ModelId) -> u64 {
    MODELS.iter().find(|(name, _)| *name == model.as_str()).unwrap().1
}

impl Harness {
    /// Models `a`, `b` and `c` are needed; `d` may be in demand but has no route.
    fn needed() -> Vec<ModelId> {
        (0..3).map(id).collect()
    }

    fn copies(&self, model: &ModelId) -> usize {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.loaded.contains(model))
            .count()
    }

    fn plan(&mut self) {
        let next = self.planner.next_order(
            &self.fleet,
            &self.endpoints,
            &Self::needed(),
            &self.demand,
            FencingToken(1),
            self.now,
        );
        let Some(order) = next else {
            return;
        };
        let endpoint = self
            .endpoints
            .iter()
            .find(|endpoint| endpoint.id == order.endpoint)
            .unwrap();
        match order.action {
            Action::Load => {
                let used: u64 = endpoint.loaded.iter().map(size).sum();
                assert!(used + size(&order.model) <= endpoint.memory.0, "{order:?} does not fit");
                assert!(endpoint.models.contains(&order.model) && !endpoint.loaded.contains(&order.model));
                if let Some((at, bytes)) = self.last_load {
                    let busy = Millis((bytes as f64 / STORE_RATE * 1_000.0) as u64);
                    assert!(self.now >= at + busy, "the weight store is still busy");
                }
                self.last_load = Some((self.now, size(&order.model)));
            }
            Action::Unload => {
                assert!(endpoint.loaded.contains(&order.model));
                let last = Self::needed().contains(&order.model) && self.copies(&order.model) == 1;
                assert!(!last, "{order:?} takes the last copy of a needed model");
            }
        }
        self.pending = Some(order);
    }

    /// After a restart nothing is loaded, and an order to the old incarnation is dropped.
    fn restart(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.loaded.clear();
        endpoint.incarnation.0 += 1;
        if self.pending.as_ref().is_some_and(|order| order.endpoint == endpoint.id) {
            self.pending = None;
        }
    }

    fn carry_out(&mut self) {
        let Some(order) = self.pending.take() else {
            return;
        };
        let endpoint = self
            .endpoints
            .iter_mut()
            .find(|endpoint| endpoint.id == order.endpoint)
            .unwrap();
        match order.action {
            Action::Load => endpoint.loaded.insert(order.model),
            Action::Unload => endpoint.loaded.remove(&order.model),
        };
    }
}

impl StateMachineTest for Harness {
    type SystemUnderTest = Self;
    type Reference = IndependentSteps<Step>;

    fn init_test((): &()) -> Self {
        let model = |(name, size): &(&str, u64)| {
            (
                name.parse().unwrap(),
                Model {
                    size: Bytes(*size),
                    base: None,
                },
            )
        };
        let fleet = Fleet {
            models: MODELS.iter().map(model).collect(),
            weight_store_rate: Rate(STORE_RATE),
            ..Fleet::default()
        };
        let endpoint = |(index, memory): (usize, &u64)| EndpointView {
            id: format!("e-{index}").parse().unwrap(),
            incarnation: Incarnation(1),
            memory: Bytes(*memory),
            models: (0..4).map(id).collect(),
            loaded: BTreeSet::new(),
        };
        let endpoints = MEMORY.iter().enumerate().map(endpoint).collect();
        let planner = Planner::new(Options::default());
        let demand = IndexMap::new();
        Self {
            fleet,
            planner,
            endpoints,
            demand,
            pending: None,
            last_load: None,
            now: Time(1_000_000),
        }
    }

    fn apply(mut harness: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Plan => harness.plan(),
            Step::CarryOut => harness.carry_out(),
            Step::LoseOrder => harness.pending = None,
            Step::Demand { model, rate } => {
                harness.demand.insert(id(model), Rate(f64::from(rate)));
            }
            Step::Restart { endpoint } => harness.restart(endpoint),
            Step::Advance { ms } => harness.now = harness.now + Millis(ms),
        }
        harness
    }

    /// Once nothing fails any more, every needed model gets loaded, and the planner stops giving orders.
    fn teardown(mut harness: Self, (): ()) {
        harness.carry_out();
        let mut idle_rounds = 0;
        for _ in 0..500 {
            harness.now = harness.now + Millis(70_000);
            harness.plan();
            idle_rounds = if harness.pending.is_some() { 0 } else { idle_rounds + 1 };
            harness.carry_out();
        }
        assert!(
            Harness::needed().iter().all(|model| harness.copies(model) > 0),
            "{:?}",
            harness.endpoints
        );
        assert!(idle_rounds > 400, "the planner never stops giving orders");
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn orders_respect_memory_store_and_last_copies(sequential 1..100 => Harness);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_order_is_given_outside_the_lease(
        steps in prop::collection::vec((0..6_000_u64, 0..2_000_u64, any::<bool>()), 1..40),
    ) {
        let (ttl, margin) = (Millis(10_000), Millis(3_000));
        let mut now = Time(50_000);
        let mut term = LeaseTerm::new(FencingToken(1), now, ttl, margin);
        // The service counts from when it received the call, which is later than when the holder made it.
        let mut service_end = now + ttl;
        for (pause, response_after, renews) in steps {
            now = now + Millis(pause);
            if term.fence(now).is_some() {
                prop_assert!(now + margin < service_end, "an order was given within the margin before expiry");
            }
            if renews && now < service_end {
                let received_at = now + Millis(response_after / 2);
                if received_at < service_end {
                    service_end = received_at + ttl;
                    term.on_renewed(now, ttl);
                }
                now = now + Millis(response_after);
            }
        }
    }
}
