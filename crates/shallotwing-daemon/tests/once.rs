//! A non-idempotent request runs at most once, and what callers are told about its outcome is true.

mod common;

use std::time::Duration;

use common::{Fleet, TestRequest, call, eventually, get, tickets};
use rustix::process::Signal;
use sw_standin::{CallerResponse, DeploymentOptions, RequestRecord, ServiceFaults, StoreFaults};

fn record(fleet: &Fleet, marker: &str, received: Vec<CallerResponse>) -> RequestRecord {
    RequestRecord {
        marker: marker.to_owned(),
        regions: fleet.regions(),
        idempotent: false,
        responses: received,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_runs_once_wherever_it_is_sent() {
    let fleet = Fleet::start(DeploymentOptions::default()).await;
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let request = TestRequest::payment("m-once;").with_header("shallotwing-ticket", &ticket);
    let sends = (0..3).chain(0..3).map(|vm| request.send(fleet.vm(vm).listen));
    let responses = futures::future::join_all(sends).await;
    let again = request.send(fleet.vm(1).listen).await.unwrap();
    assert_eq!(again.status, 200, "a repeat after the end gets the saved response");
    assert!(request.is_correct(&again));
    let received = responses
        .iter()
        .map(|response| request.caller_response(response.as_ref()))
        .collect();
    fleet.assert_guarantees(&[record(&fleet, "m-once;", received)]);
    assert_eq!(fleet.run_count("m-once;"), 1);
    let other = TestRequest::payment("m-other;")
        .with_header("shallotwing-ticket", &ticket)
        .send(fleet.vm(2).listen)
        .await
        .unwrap();
    assert_eq!((other.status, other.code().as_str()), (422, "id_reused"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_leaves_the_outcome_unknown_and_nothing_runs_twice() {
    let mut fleet = Fleet::start(DeploymentOptions::default()).await;
    fleet.deployment.services.iter().for_each(|service| {
        service.set_faults(ServiceFaults {
            delay: Duration::from_secs(1),
            ..ServiceFaults::default()
        });
    });
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let request = TestRequest::payment("m-killed;").with_header("shallotwing-ticket", &ticket);
    let (entry, relay) = (fleet.vm(0).listen, fleet.vm(1).listen);
    let (first, second) = (request.clone(), request.clone());
    let first = tokio::spawn(async move { first.send(entry).await });
    let second = tokio::spawn(async move { second.send(relay).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.processes[0].kill();
    let responses = [first.await.unwrap(), second.await.unwrap()];
    fleet.restart(0);
    fleet.wait_until_ready(0).await;
    fleet.wait_until_connected().await;
    let mut received: Vec<_> = responses
        .iter()
        .map(|response| request.caller_response(response.as_ref()))
        .collect();
    for vm in 0..3 {
        let response = request.send(fleet.vm(vm).listen).await.unwrap();
        assert_eq!((response.status, response.code().as_str()), (409, "ticket_owner_gone"));
        assert_eq!(response.header("shallotwing-ran"), "unknown");
        received.push(request.caller_response(Some(&response)));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.assert_guarantees(&[record(&fleet, "m-killed;", received)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_is_not_waited_for_and_runs_nothing_late() {
    let fleet = Fleet::start(DeploymentOptions::default()).await;
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let request = TestRequest::payment("m-frozen;")
        .with_header("shallotwing-ticket", &ticket)
        .with_header("shallotwing-deadline-ms", "6000");
    fleet.processes[0].signal(Signal::STOP);
    let response = request.send(fleet.vm(1).listen).await.unwrap();
    assert_eq!(response.header("shallotwing-ran"), "unknown", "{response:?}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.processes[0].signal(Signal::CONT);
    fleet.wait_for_member_state(1, 0, "live").await;
    let received = vec![request.caller_response(Some(&response))];
    fleet.assert_guarantees(&[record(&fleet, "m-frozen;", received)]);
    assert_eq!(
        fleet.run_count("m-frozen;"),
        0,
        "its deadline had passed when the owner resumed"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_leaves_the_outcome_unknown_and_its_repeat_does_not_run() {
    let fleet = Fleet::start(DeploymentOptions {
        regions: 2,
        ..DeploymentOptions::default()
    })
    .await;
    let lossy = ServiceFaults {
        lose_responses: true,
        ..ServiceFaults::default()
    };
    fleet
        .deployment
        .services
        .iter()
        .for_each(|service| service.set_faults(lossy));
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let request = TestRequest::payment("m-lost;").with_header("shallotwing-ticket", &ticket);
    let mut received = Vec::new();
    for vm in [0, 0, 1] {
        let response = request.send(fleet.vm(vm).listen).await.unwrap();
        assert_eq!((response.status, response.code().as_str()), (502, "outcome_unknown"));
        received.push(request.caller_response(Some(&response)));
    }
    assert_eq!(fleet.run_count("m-lost;"), 1);
    fleet.assert_guarantees(&[record(&fleet, "m-lost;", received)]);
    for vm in 0..2 {
        let status = get(fleet.vm(vm).listen, &format!("/v1/requests/{ticket}")).await;
        assert_eq!(status.json()["standing"], "unknown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_an_identity_is_sent_once() {
    let fleet = Fleet::start(DeploymentOptions {
        regions: 2,
        ..DeploymentOptions::default()
    })
    .await;
    let lossy = ServiceFaults {
        lose_responses: true,
        ..ServiceFaults::default()
    };
    fleet
        .deployment
        .services
        .iter()
        .for_each(|service| service.set_faults(lossy));
    let request = TestRequest::payment("m-plain;");
    let response = request.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!((response.status, response.code().as_str()), (502, "outcome_unknown"));
    fleet.assert_guarantees(&[record(
        &fleet,
        "m-plain;",
        vec![request.caller_response(Some(&response))],
    )]);
    assert_eq!(fleet.run_count("m-plain;"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_service_is_reported_as_not_run_and_the_ticket_stays_valid() {
    let mut fleet = Fleet::start(DeploymentOptions {
        regions: 1,
        ..DeploymentOptions::default()
    })
    .await;
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let request = TestRequest::payment("m-away;").with_header("shallotwing-ticket", &ticket);
    let service = fleet.deployment.services.remove(0);
    let address = service.address();
    drop(service);
    eventually("closed", async || common::connect(address).await.is_none()).await;
    let response = request.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!((response.status, response.code().as_str()), (503, "no_endpoint"));
    assert_eq!(response.header("shallotwing-ran"), "no");
    assert!(!response.header("retry-after-ms").is_empty(), "it says when to retry");
    let mut received = vec![request.caller_response(Some(&response))];
    let ledger = fleet.deployment.ledger.clone();
    let service = sw_standin::StandinService::start(address, "ledger-lahore", "lahore", 2, ledger)
        .await
        .unwrap();
    fleet.deployment.services.push(service);
    eventually("answered", async || {
        let response = request.send(fleet.vm(0).listen).await.unwrap();
        received.push(request.caller_response(Some(&response)));
        response.status == 200
    })
    .await;
    fleet.assert_guarantees(&[record(&fleet, "m-away;", received)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_runs_once_across_vms() {
    let fleet = Fleet::start(DeploymentOptions::default()).await;
    let lost = StoreFaults {
        lose_responses: 1,
        ..StoreFaults::default()
    };
    fleet.deployment.store.set_faults(lost);
    let request = TestRequest::payment("m-key;").with_header("idempotency-key", "order-17");
    let first = request.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(first.status, 200, "a claim whose response was lost is read back");
    fleet.deployment.store.set_faults(lost);
    let sends = (0..3).chain(0..3).map(|vm| request.send(fleet.vm(vm).listen));
    let responses = futures::future::join_all(sends).await;
    assert!(
        responses.iter().flatten().any(|response| response.status == 200),
        "{responses:?}"
    );
    let again = request.send(fleet.vm(2).listen).await.unwrap();
    assert_eq!(again.status, 200);
    let received = responses
        .iter()
        .map(|response| request.caller_response(response.as_ref()))
        .collect();
    fleet.assert_guarantees(&[record(&fleet, "m-key;", received)]);
    assert_eq!(fleet.run_count("m-key;"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_idempotency_keys_are_refused_and_tickets_work() {
    let fleet = Fleet::start(DeploymentOptions {
        regions: 1,
        ..DeploymentOptions::default()
    })
    .await;
    fleet.deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let keyed = TestRequest::payment("m-no-store;").with_header("idempotency-key", "order-18");
    let response = keyed.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!((response.status, response.code().as_str()), (503, "store_unavailable"));
    assert_eq!(response.header("shallotwing-ran"), "no");
    assert!(!response.header("retry-after-ms").is_empty());
    let ticket = call("POST", fleet.vm(0).listen, "/v1/tickets?n=1").await.json()["tickets"][0].clone();
    let ticketed = TestRequest::payment("m-ticket;").with_header("shallotwing-ticket", ticket.as_str().unwrap());
    assert_eq!(ticketed.send(fleet.vm(0).listen).await.unwrap().status, 200);
    assert_eq!(
        TestRequest::payment("m-no-id;")
            .send(fleet.vm(0).listen)
            .await
            .unwrap()
            .status,
        200
    );
    fleet.deployment.store.set_faults(StoreFaults::default());
    let response = keyed.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(fleet.run_count("m-no-store;"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_keys_are_refused_after_a_store_rollback() {
    let mut fleet = Fleet::start(DeploymentOptions {
        regions: 1,
        vms: 2,
        ..DeploymentOptions::default()
    })
    .await;
    let old = fleet.deployment.store.snapshot();
    let request = TestRequest::payment("m-regress;").with_header("idempotency-key", "order-19");
    assert_eq!(request.send(fleet.vm(0).listen).await.unwrap().status, 200);
    let revision = fleet.status(0).await["store"]["revision"].clone();
    eventually("shared by heartbeats", async || {
        fleet.status(1).await["store"]["revision"].as_i64() >= revision.as_i64()
    })
    .await;
    fleet.deployment.store.restore(old);
    let repeat = request.send(fleet.vm(1).listen).await.unwrap();
    let mut received = vec![request.caller_response(Some(&repeat))];
    if repeat.status != 200 {
        assert_eq!(
            (repeat.code().as_str(), repeat.header("shallotwing-ran")),
            ("store_unavailable", "no")
        );
    }
    fleet.processes[0].kill();
    fleet.restart(0);
    fleet.wait_until_ready(0).await;
    fleet.wait_until_connected().await;
    let repeat = request.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(
        repeat.code(),
        "store_unavailable",
        "a new VM learns of the rollback from its neighbours"
    );
    received.push(request.caller_response(Some(&repeat)));
    fleet.assert_guarantees(&[record(&fleet, "m-regress;", received)]);
    assert_eq!(fleet.run_count("m-regress;"), 1);
}
