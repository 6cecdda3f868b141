//! A failure domain that is cut off from the others and from the store keeps serving its own callers.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, Sending, get, tickets};
use rustix::process::Signal;
use sw_standin::{DeploymentOptions, LinkState};

fn linked() -> DeploymentOptions {
    DeploymentOptions {
        link_delay: Some(Duration::from_millis(5)),
        ..DeploymentOptions::default()
    }
}

async fn each_serves_its_own(fleet: &Fleet, round: &str) {
    for (vm, region) in fleet.regions().iter().enumerate() {
        let to = fleet.vm(vm).listen;
        let since = Instant::now();
        let question = Sending::question(&format!("m-{round}-{region};"), 3, true);
        let answer = question.send(to).await.unwrap();
        assert!(answer.whole && question.is_right(&answer), "{answer:?}");
        let ticket = tickets(to, 1).await.remove(0);
        let payment = Sending::payment(&format!("p-{round}-{region};")).with("shallotwing-ticket", &ticket);
        let answer = payment.send(to).await.unwrap();
        assert!(answer.status == 200 && payment.is_right(&answer), "{answer:?}");
        assert!(
            since.elapsed() < Duration::from_secs(8),
            "nothing waits for what is away: {:?}",
            since.elapsed()
        );
        let entries = get(to, "/v1/entries?route=question").await.json();
        assert_eq!(entries["entries"][0]["region"], region.as_str());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn domains_cut_off_from_everything_serve_their_own_callers() {
    let fleet = Fleet::start(linked()).await;
    fleet
        .deployment
        .vms
        .iter()
        .for_each(|plan| plan.link.as_ref().unwrap().set(LinkState::Cut));
    fleet.deployment.store_link.set(LinkState::Cut);
    each_serves_its_own(&fleet, "at-once").await;
    for vm in 0..3 {
        fleet.sees(vm, (vm + 1) % 3, "suspect").await;
    }
    each_serves_its_own(&fleet, "later").await;
    let home = Sending::question("m-home;", 2, false).with("shallotwing-route", "question-home");
    let refused = home.send(fleet.vm(1).listen).await.unwrap();
    assert_eq!((refused.status, refused.header("shallotwing-ran")), (421, "no"));
    fleet
        .deployment
        .vms
        .iter()
        .for_each(|plan| plan.link.as_ref().unwrap().set(LinkState::Up));
    fleet.deployment.store_link.set(LinkState::Up);
    fleet.acquainted().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn links_that_freeze_or_go_one_way_hold_up_nobody() {
    let fleet = Fleet::start(linked()).await;
    fleet.deployment.vms[0].link.as_ref().unwrap().set(LinkState::Cut);
    each_serves_its_own(&fleet, "one-way").await;
    fleet
        .deployment
        .vms
        .iter()
        .for_each(|plan| plan.link.as_ref().unwrap().set(LinkState::Frozen));
    fleet.deployment.store_link.set(LinkState::Frozen);
    each_serves_its_own(&fleet, "frozen").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_vm_of_another_domain_is_passed_by() {
    let mut fleet = Fleet::start(linked()).await;
    drop(fleet.deployment.engines.remove(0));
    fleet.processes[1].signal(Signal::STOP);
    let question = Sending::question("m-past-frozen;", 3, false);
    let answer = question.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(question.is_right(&answer));
}
