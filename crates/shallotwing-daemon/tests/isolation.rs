//! A failure domain that is cut off from the others and from the store keeps serving its own callers.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, TestRequest, get, tickets};
use rustix::process::Signal;
use sw_standin::{DeploymentOptions, LinkState};

fn linked() -> DeploymentOptions {
    DeploymentOptions {
        link_delay: Some(Duration::from_millis(5)),
        ..DeploymentOptions::default()
    }
}

async fn assert_each_domain_serves(fleet: &Fleet, round: &str) {
    for (vm, region) in fleet.regions().iter().enumerate() {
        let to = fleet.vm(vm).listen;
        let since = Instant::now();
        let question = TestRequest::question(&format!("m-{round}-{region};"), 3, true);
        let response = question.send(to).await.unwrap();
        assert!(response.complete && question.is_correct(&response), "{response:?}");
        let ticket = tickets(to, 1).await.remove(0);
        let payment = TestRequest::payment(&format!("p-{round}-{region};")).with_header("shallotwing-ticket", &ticket);
        let response = payment.send(to).await.unwrap();
        assert!(response.status == 200 && payment.is_correct(&response), "{response:?}");
        assert!(
            since.elapsed() < Duration::from_secs(8),
            "requests do not wait for what is unreachable: {:?}",
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
    assert_each_domain_serves(&fleet, "at-once").await;
    for vm in 0..3 {
        fleet.wait_for_member_state(vm, (vm + 1) % 3, "suspect").await;
    }
    assert_each_domain_serves(&fleet, "later").await;
    let home = TestRequest::question("m-home;", 2, false).with_header("shallotwing-route", "question-home");
    let refused = home.send(fleet.vm(1).listen).await.unwrap();
    assert_eq!((refused.status, refused.header("shallotwing-ran")), (421, "no"));
    fleet
        .deployment
        .vms
        .iter()
        .for_each(|plan| plan.link.as_ref().unwrap().set(LinkState::Up));
    fleet.deployment.store_link.set(LinkState::Up);
    fleet.wait_until_connected().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_or_one_way_links_delay_no_request() {
    let fleet = Fleet::start(linked()).await;
    fleet.deployment.vms[0].link.as_ref().unwrap().set(LinkState::Cut);
    assert_each_domain_serves(&fleet, "one-way").await;
    fleet
        .deployment
        .vms
        .iter()
        .for_each(|plan| plan.link.as_ref().unwrap().set(LinkState::Frozen));
    fleet.deployment.store_link.set(LinkState::Frozen);
    assert_each_domain_serves(&fleet, "frozen").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_avoid_a_frozen_vm_of_a_remote_domain() {
    let mut fleet = Fleet::start(linked()).await;
    drop(fleet.deployment.engines.remove(0));
    fleet.processes[1].signal(Signal::STOP);
    let question = TestRequest::question("m-past-frozen;", 3, false);
    let response = question.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert!(question.is_correct(&response));
}
