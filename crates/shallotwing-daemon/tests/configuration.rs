//! An accepted configuration is in force on all VMs within seconds and is never reverted.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, TestRequest, eventually};
use sw_standin::{DeploymentOptions, LinkState, StoreFaults};
use sw_store::{PublishOutcome, read_root};
use sw_unit::Version;

/// Time limit for a change to be in force on all VMs, a requirement of the users.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(7);

fn three_vms() -> DeploymentOptions {
    DeploymentOptions {
        regions: 2,
        vms: 3,
        ..DeploymentOptions::default()
    }
}

/// Returns the fleet configuration with another worth of the route `question`.
fn with_worth(fleet: &Fleet, worth: u32) -> String {
    fleet
        .deployment
        .fleet
        .replacen("worth = 1\n", &format!("worth = {worth}\n"), 1)
}

async fn assert_in_force_everywhere(fleet: &Fleet, version: u64) {
    let since = Instant::now();
    for vm in 0..fleet.processes.len() {
        fleet.wait_for_version(vm, version).await;
    }
    assert!(since.elapsed() < IN_FORCE_WITHIN, "it took {:?}", since.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_in_time() {
    let fleet = Fleet::start(three_vms()).await;
    assert_eq!(
        fleet.apply(&with_worth(&fleet, 2), Version(1)).await,
        PublishOutcome::Accepted(Version(2))
    );
    assert_in_force_everywhere(&fleet, 2).await;
    fleet.deployment.store.set_faults(StoreFaults {
        drop_watch_events: true,
        ..StoreFaults::default()
    });
    assert_eq!(
        fleet.apply(&with_worth(&fleet, 3), Version(2)).await,
        PublishOutcome::Accepted(Version(3))
    );
    assert_in_force_everywhere(&fleet, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_changes_one_is_accepted_and_the_others_conflict() {
    let fleet = Fleet::start(DeploymentOptions {
        regions: 1,
        ..DeploymentOptions::default()
    })
    .await;
    fleet.deployment.store.set_faults(StoreFaults {
        lose_responses: 2,
        ..StoreFaults::default()
    });
    let texts: Vec<_> = (2..6).map(|worth| with_worth(&fleet, worth)).collect();
    let results = futures::future::join_all(texts.iter().map(|text| fleet.apply(text, Version(1)))).await;
    let accepted: Vec<_> = results
        .iter()
        .filter(|result| matches!(result, PublishOutcome::Accepted(_)))
        .collect();
    assert_eq!(accepted.len(), 1, "{results:?}");
    let (root, _) = read_root(&fleet.store).await.unwrap();
    let winner = results
        .iter()
        .position(|result| matches!(result, PublishOutcome::Accepted(_)))
        .unwrap();
    assert_eq!(
        root.unwrap().digest,
        sw_conf::digest(texts[winner].as_bytes()),
        "the winner's text is stored"
    );
    assert_in_force_everywhere(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_rollback_reverts_no_vm() {
    let fleet = Fleet::start(three_vms()).await;
    let old = fleet.deployment.store.snapshot();
    fleet.apply(&with_worth(&fleet, 2), Version(1)).await;
    assert_in_force_everywhere(&fleet, 2).await;
    fleet.deployment.store.restore(old);
    eventually("restored", async || {
        for vm in 0..fleet.processes.len() {
            assert_eq!(fleet.status(vm).await["version"], 2, "no VM reverts");
        }
        let root = read_root(&fleet.store).await.unwrap().0;
        root.is_some_and(|root| root.number == Version(2))
    })
    .await;
    assert_eq!(
        fleet.apply(&with_worth(&fleet, 3), Version(2)).await,
        PublishOutcome::Accepted(Version(3))
    );
    assert_in_force_everywhere(&fleet, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_configuration_in_the_store_changes_nothing() {
    let fleet = Fleet::start(DeploymentOptions {
        regions: 1,
        ..DeploymentOptions::default()
    })
    .await;
    fleet
        .apply("[region lahore]\n[route r]\nclass = none\n", Version(1))
        .await;
    eventually("rejected", async || {
        fleet.processes[0].log_text().contains("a configuration was rejected")
    })
    .await;
    assert_eq!(fleet.status(0).await["version"], 1);
    assert_eq!(
        TestRequest::question("m-ok;", 2, false)
            .send(fleet.vm(0).listen)
            .await
            .unwrap()
            .status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_vm_gets_the_configuration_from_neighbours_while_the_store_is_unavailable() {
    let mut fleet = Fleet::start(three_vms()).await;
    fleet.deployment.store_link.set(LinkState::Cut);
    fleet.processes[1].kill();
    fleet.restart(1);
    fleet.wait_until_ready(1).await;
    assert_eq!(fleet.status(1).await["version"], 1);
    assert_eq!(
        TestRequest::question("m-new;", 2, false)
            .send(fleet.vm(1).listen)
            .await
            .unwrap()
            .status,
        200
    );
    fleet.apply(&with_worth(&fleet, 2), Version(1)).await;
    fleet.deployment.store_link.set(LinkState::Up);
    assert_in_force_everywhere(&fleet, 2).await;
}
