//! A leaving endpoint receives no new requests after a few seconds.

mod common;

use std::time::Duration;

use common::{Fleet, TestRequest, eventually};
use sw_standin::{DeploymentOptions, EngineFaults, EngineOptions, ListedEndpoint, StandinEngine};

/// Time after the first VM learns that the endpoint is leaving, within which all VMs must stop sending it requests.
const BOUND: Duration = Duration::from_secs(3);

fn two_engines() -> DeploymentOptions {
    DeploymentOptions {
        regions: 1,
        vms: 3,
        engines: 2,
        ..DeploymentOptions::default()
    }
}

/// Sends questions to all VMs, and returns how many each engine ran.
async fn send_questions(fleet: &Fleet, marker: &str) -> [usize; 2] {
    for index in 0..30 {
        let request = TestRequest::question(&format!("{marker}-{index};"), 1, false);
        assert_eq!(request.send(fleet.vm(index % 3).listen).await.unwrap().status, 200);
    }
    let runs = fleet.deployment.ledger.runs_containing(marker);
    ["engine-lahore-1", "engine-lahore-2"].map(|name| runs.iter().filter(|run| run.endpoint == name).count())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_report_stops_new_requests_for_the_incarnation() {
    let mut fleet = Fleet::start(two_engines()).await;
    let before = send_questions(&fleet, "m-before").await;
    assert!(before[0] > 0 && before[1] > 0, "{before:?}");
    fleet.deployment.engines[0].set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    tokio::time::sleep(BOUND).await;
    assert_eq!(send_questions(&fleet, "m-after").await, [0, 30]);
    fleet.deployment.engines[0].set_faults(EngineFaults::default());
    tokio::time::sleep(BOUND).await;
    assert_eq!(
        send_questions(&fleet, "m-sticky").await,
        [0, 30],
        "it gets no requests in this incarnation"
    );
    let address = fleet.deployment.engines[0].address();
    drop(fleet.deployment.engines.remove(0));
    eventually("closed", async || common::connect(address).await.is_none()).await;
    let options = EngineOptions {
        incarnation: 2,
        ..EngineOptions::default()
    };
    let ledger = fleet.deployment.ledger.clone();
    let engine = StandinEngine::start(address, "engine-lahore-1", "lahore", options, ledger)
        .await
        .unwrap();
    fleet.deployment.engines.insert(0, engine);
    let mut round = 0;
    eventually("the next incarnation gets requests", async || {
        round += 1;
        send_questions(&fleet, &format!("m-next-{round}")).await[0] > 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_in_the_platforms_list_stops_new_requests() {
    let fleet = Fleet::start(two_engines()).await;
    let leaving = ListedEndpoint {
        endpoint: "engine-lahore-2".to_owned(),
        incarnation: 1,
    };
    fleet.deployment.platform.add_leaving_endpoint(leaving);
    let id = "engine-lahore-2";
    for vm in 0..3 {
        eventually("leaving", async || {
            let status = fleet.status(vm).await;
            common::count(&status["endpoints"], |row| {
                row["endpoint"] == id && row["leaving"] == true
            }) == 1
        })
        .await;
    }
    assert_eq!(send_questions(&fleet, "m-listed").await, [30, 0]);
}
