//! A non-idempotent request runs at most once, and what callers are told about its outcome is true.

mod common;

use std::time::Duration;

use common::{Fleet, Sending, call, eventually, get, tickets};
use rustix::process::Signal;
use sw_standin::{CallerResponse, DeploymentOptions, RequestRecord, ServiceFaults, StoreFaults};

fn asked(fleet: &Fleet, marker: &str, heard: Vec<CallerResponse>) -> RequestRecord {
    RequestRecord {
        marker: marker.to_owned(),
        regions: fleet.regions(),
        idempotent: false,
        responses: heard,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_runs_once_wherever_it_is_sent() {
    let fleet = Fleet::start(DeploymentOptions::default()).await;
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let sending = Sending::payment("m-once;").with("shallotwing-ticket", &ticket);
    let sends = (0..3).chain(0..3).map(|vm| sending.send(fleet.vm(vm).listen));
    let answers = futures::future::join_all(sends).await;
    let again = sending.send(fleet.vm(1).listen).await.unwrap();
    assert_eq!(again.status, 200, "a repeat after the end gets the kept answer");
    assert!(sending.is_right(&again));
    let heard = answers.iter().map(|answer| sending.heard(answer.as_ref())).collect();
    fleet.assert_kept(&[asked(&fleet, "m-once;", heard)]);
    assert_eq!(fleet.runs_of("m-once;"), 1);
    let other = Sending::payment("m-other;")
        .with("shallotwing-ticket", &ticket)
        .send(fleet.vm(2).listen)
        .await
        .unwrap();
    assert_eq!((other.status, other.code().as_str()), (422, "id_reused"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_leaves_unknown_and_nothing_runs_twice() {
    let mut fleet = Fleet::start(DeploymentOptions::default()).await;
    fleet.deployment.services.iter().for_each(|service| {
        service.set_faults(ServiceFaults {
            delay: Duration::from_secs(1),
            ..ServiceFaults::default()
        });
    });
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let sending = Sending::payment("m-killed;").with("shallotwing-ticket", &ticket);
    let (entry, relay) = (fleet.vm(0).listen, fleet.vm(1).listen);
    let (first, second) = (sending.clone(), sending.clone());
    let first = tokio::spawn(async move { first.send(entry).await });
    let second = tokio::spawn(async move { second.send(relay).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.processes[0].kill();
    let answers = [first.await.unwrap(), second.await.unwrap()];
    fleet.restart(0);
    fleet.ready(0).await;
    fleet.acquainted().await;
    let mut heard: Vec<_> = answers.iter().map(|answer| sending.heard(answer.as_ref())).collect();
    for vm in 0..3 {
        let answer = sending.send(fleet.vm(vm).listen).await.unwrap();
        assert_eq!((answer.status, answer.code().as_str()), (409, "ticket_owner_gone"));
        assert_eq!(answer.header("shallotwing-ran"), "unknown");
        heard.push(sending.heard(Some(&answer)));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.assert_kept(&[asked(&fleet, "m-killed;", heard)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_is_not_waited_for_and_runs_nothing_late() {
    let fleet = Fleet::start(DeploymentOptions::default()).await;
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let sending = Sending::payment("m-frozen;")
        .with("shallotwing-ticket", &ticket)
        .with("shallotwing-deadline-ms", "6000");
    fleet.processes[0].signal(Signal::STOP);
    let answer = sending.send(fleet.vm(1).listen).await.unwrap();
    assert_eq!(answer.header("shallotwing-ran"), "unknown", "{answer:?}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.processes[0].signal(Signal::CONT);
    fleet.sees(1, 0, "live").await;
    let heard = vec![sending.heard(Some(&answer))];
    fleet.assert_kept(&[asked(&fleet, "m-frozen;", heard)]);
    assert_eq!(
        fleet.runs_of("m-frozen;"),
        0,
        "its deadline had passed when the owner woke"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_and_its_repeat_does_not_run() {
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
    let sending = Sending::payment("m-lost;").with("shallotwing-ticket", &ticket);
    let mut heard = Vec::new();
    for vm in [0, 0, 1] {
        let answer = sending.send(fleet.vm(vm).listen).await.unwrap();
        assert_eq!((answer.status, answer.code().as_str()), (502, "outcome_unknown"));
        heard.push(sending.heard(Some(&answer)));
    }
    assert_eq!(fleet.runs_of("m-lost;"), 1);
    fleet.assert_kept(&[asked(&fleet, "m-lost;", heard)]);
    for vm in 0..2 {
        let standing = get(fleet.vm(vm).listen, &format!("/v1/requests/{ticket}")).await;
        assert_eq!(standing.json()["standing"], "unknown");
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
    let sending = Sending::payment("m-plain;");
    let answer = sending.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (502, "outcome_unknown"));
    fleet.assert_kept(&[asked(&fleet, "m-plain;", vec![sending.heard(Some(&answer))])]);
    assert_eq!(fleet.runs_of("m-plain;"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_service_is_said_not_to_have_run_and_the_ticket_stays_good() {
    let mut fleet = Fleet::start(DeploymentOptions {
        regions: 1,
        ..DeploymentOptions::default()
    })
    .await;
    let ticket = tickets(fleet.vm(0).listen, 1).await.remove(0);
    let sending = Sending::payment("m-away;").with("shallotwing-ticket", &ticket);
    let service = fleet.deployment.services.remove(0);
    let address = service.address();
    drop(service);
    eventually("closed", async || common::connect(address).await.is_none()).await;
    let answer = sending.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (503, "no_endpoint"));
    assert_eq!(answer.header("shallotwing-ran"), "no");
    assert!(!answer.header("retry-after-ms").is_empty(), "it says when to come back");
    let mut heard = vec![sending.heard(Some(&answer))];
    let ledger = fleet.deployment.ledger.clone();
    let service = sw_standin::StandinService::start(address, "ledger-lahore", "lahore", 2, ledger)
        .await
        .unwrap();
    fleet.deployment.services.push(service);
    eventually("answered", async || {
        let answer = sending.send(fleet.vm(0).listen).await.unwrap();
        heard.push(sending.heard(Some(&answer)));
        answer.status == 200
    })
    .await;
    fleet.assert_kept(&[asked(&fleet, "m-away;", heard)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_runs_once_across_vms() {
    let fleet = Fleet::start(DeploymentOptions::default()).await;
    let lost = StoreFaults {
        lose_responses: 1,
        ..StoreFaults::default()
    };
    fleet.deployment.store.set_faults(lost);
    let sending = Sending::payment("m-key;").with("idempotency-key", "order-17");
    let first = sending.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(first.status, 200, "a claim whose answer was lost is read back");
    fleet.deployment.store.set_faults(lost);
    let sends = (0..3).chain(0..3).map(|vm| sending.send(fleet.vm(vm).listen));
    let answers = futures::future::join_all(sends).await;
    assert!(
        answers.iter().flatten().any(|answer| answer.status == 200),
        "{answers:?}"
    );
    let again = sending.send(fleet.vm(2).listen).await.unwrap();
    assert_eq!(again.status, 200);
    let heard = answers.iter().map(|answer| sending.heard(answer.as_ref())).collect();
    fleet.assert_kept(&[asked(&fleet, "m-key;", heard)]);
    assert_eq!(fleet.runs_of("m-key;"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_keys_are_refused_unrun_and_tickets_work() {
    let fleet = Fleet::start(DeploymentOptions {
        regions: 1,
        ..DeploymentOptions::default()
    })
    .await;
    fleet.deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let keyed = Sending::payment("m-no-store;").with("idempotency-key", "order-18");
    let answer = keyed.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (503, "store_unavailable"));
    assert_eq!(answer.header("shallotwing-ran"), "no");
    assert!(!answer.header("retry-after-ms").is_empty());
    let ticket = call("POST", fleet.vm(0).listen, "/v1/tickets?n=1").await.json()["tickets"][0].clone();
    let ticketed = Sending::payment("m-ticket;").with("shallotwing-ticket", ticket.as_str().unwrap());
    assert_eq!(ticketed.send(fleet.vm(0).listen).await.unwrap().status, 200);
    assert_eq!(
        Sending::payment("m-no-id;")
            .send(fleet.vm(0).listen)
            .await
            .unwrap()
            .status,
        200
    );
    fleet.deployment.store.set_faults(StoreFaults::default());
    let answer = keyed.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(fleet.runs_of("m-no-store;"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_not_trusted_to_a_service_that_lost_its_latest_state() {
    let mut fleet = Fleet::start(DeploymentOptions {
        regions: 1,
        vms: 2,
        ..DeploymentOptions::default()
    })
    .await;
    let old = fleet.deployment.store.snapshot();
    let sending = Sending::payment("m-regress;").with("idempotency-key", "order-19");
    assert_eq!(sending.send(fleet.vm(0).listen).await.unwrap().status, 200);
    let revision = fleet.status(0).await["store"]["revision"].clone();
    eventually("passed on", async || {
        fleet.status(1).await["store"]["revision"].as_i64() >= revision.as_i64()
    })
    .await;
    fleet.deployment.store.restore(old);
    let repeat = sending.send(fleet.vm(1).listen).await.unwrap();
    let mut heard = vec![sending.heard(Some(&repeat))];
    if repeat.status != 200 {
        assert_eq!(
            (repeat.code().as_str(), repeat.header("shallotwing-ran")),
            ("store_unavailable", "no")
        );
    }
    fleet.processes[0].kill();
    fleet.restart(0);
    fleet.ready(0).await;
    fleet.acquainted().await;
    let repeat = sending.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(
        repeat.code(),
        "store_unavailable",
        "a new VM learns it from its neighbours"
    );
    heard.push(sending.heard(Some(&repeat)));
    fleet.assert_kept(&[asked(&fleet, "m-regress;", heard)]);
    assert_eq!(fleet.runs_of("m-regress;"), 1);
}
