//! Only one VM at a time, the holder of the lease, sends orders to load models.

mod common;

use common::{Fleet, TestRequest, eventually};
use rustix::process::Signal;
use sw_standin::{DeploymentOptions, EngineOptions, LinkState, StandinEngine};

fn deployment(checks_orders: bool) -> DeploymentOptions {
    DeploymentOptions {
        regions: 1,
        vms: 3,
        engines: 2,
        takes_orders: true,
        checks_orders,
        ..DeploymentOptions::default()
    }
}

/// Waits until both models are loaded and serve requests.
async fn wait_until_both_models_serve(fleet: &Fleet, vm: usize, round: &str) {
    let large = TestRequest::question(&format!("m-large-{round};"), 1, false);
    let mut small = TestRequest::question(&format!("m-small-{round};"), 1, false)
        .with_header("shallotwing-route", "question-small");
    small.body = small.body.replace("registry-7b", "registry-3b");
    for request in [large, small] {
        eventually("answered", async || {
            request
                .send(fleet.vm(vm).listen)
                .await
                .is_some_and(|response| response.status == 200)
        })
        .await;
    }
}

fn lease_holder(fleet: &Fleet) -> usize {
    let holds = |vm: &usize| fleet.processes[*vm].log_text().contains("holds the lease for orders");
    (0..fleet.processes.len()).rfind(holds).expect("one VM holds the lease")
}

/// Fencing numbers of the orders that each engine executed, over all its incarnations.
#[derive(Debug, Default)]
struct Fences {
    earlier: [Vec<u64>; 2],
}

impl Fences {
    fn record(&mut self, index: usize, engine: &StandinEngine) {
        self.earlier[index].extend(engine.orders().iter().map(|order| order.fence));
    }

    fn assert_ordered(mut self, fleet: &Fleet) {
        for (index, engine) in fleet.deployment.engines.iter().enumerate() {
            self.record(index, engine);
        }
        for fences in self.earlier {
            assert!(
                fences.is_sorted(),
                "an order of an earlier holder came after one of a later holder: {fences:?}"
            );
        }
    }
}

/// Replaces an engine by its next incarnation, which has no model loaded.
async fn restart_engine(fleet: &mut Fleet, fences: &mut Fences, index: usize, incarnation: u64) {
    let old = fleet.deployment.engines.remove(index);
    let address = old.address();
    fences.record(index, &old);
    drop(old);
    eventually("closed", async || common::connect(address).await.is_none()).await;
    let options = EngineOptions {
        incarnation,
        takes_orders: true,
        ..EngineOptions::default()
    };
    let name = format!("engine-lahore-{}", index + 1);
    let ledger = fleet.deployment.ledger.clone();
    let engine = StandinEngine::start(address, &name, "lahore", options, ledger)
        .await
        .unwrap();
    fleet.deployment.engines.insert(index, engine);
}

#[tokio::test(flavor = "multi_thread")]
async fn needed_models_are_loaded_and_a_killed_holder_is_replaced() {
    let mut fleet = Fleet::start(deployment(true)).await;
    wait_until_both_models_serve(&fleet, 0, "first").await;
    let loaded: Vec<_> = fleet
        .deployment
        .engines
        .iter()
        .flat_map(StandinEngine::orders)
        .map(|order| order.model)
        .collect();
    assert!(
        loaded.contains(&"registry-7b".to_owned()) && loaded.contains(&"registry-3b".to_owned()),
        "{loaded:?}"
    );
    let first = lease_holder(&fleet);
    fleet.processes[first].kill();
    let mut fences = Fences::default();
    restart_engine(&mut fleet, &mut fences, 0, 2).await;
    wait_until_both_models_serve(&fleet, (first + 1) % 3, "second").await;
    fences.assert_ordered(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_was_frozen_past_its_lease_gives_no_more_orders() {
    let mut fleet = Fleet::start(deployment(false)).await;
    wait_until_both_models_serve(&fleet, 0, "first").await;
    let frozen = lease_holder(&fleet);
    fleet.processes[frozen].signal(Signal::STOP);
    let mut fences = Fences::default();
    restart_engine(&mut fleet, &mut fences, 0, 2).await;
    restart_engine(&mut fleet, &mut fences, 1, 2).await;
    wait_until_both_models_serve(&fleet, (frozen + 1) % 3, "second").await;
    // Without the store, the resumed holder cannot check whether its lease is still valid.
    fleet.deployment.store_link.set(LinkState::Cut);
    restart_engine(&mut fleet, &mut fences, 0, 3).await;
    fleet.processes[frozen].signal(Signal::CONT);
    wait_until_both_models_serve(&fleet, (frozen + 1) % 3, "third").await;
    fleet.deployment.store_link.set(LinkState::Up);
    restart_engine(&mut fleet, &mut fences, 0, 4).await;
    wait_until_both_models_serve(&fleet, (frozen + 1) % 3, "fourth").await;
    fences.assert_ordered(&fleet);
}
