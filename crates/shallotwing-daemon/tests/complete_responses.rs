//! Every caller receives the complete response to its own request, or one that is recognizably incomplete.

mod common;

use std::time::Duration;

use common::{Fleet, TestRequest, streamed_words};
use sw_standin::{DeploymentOptions, EngineFaults};

fn one_region(engines: usize) -> DeploymentOptions {
    DeploymentOptions {
        regions: 1,
        engines,
        ..DeploymentOptions::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_resumed() {
    let fleet = Fleet::start(one_region(1)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        cut_after: Some(3),
        ..EngineFaults::default()
    });
    let request = TestRequest::question("m-cut;", 10, true);
    let response = request.send(fleet.vm(0).listen).await.unwrap();
    assert!(response.complete && request.is_correct(&response), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_is_resumed_on_a_new_connection() {
    let fleet = Fleet::start(one_region(1)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        stall_after: Some(6),
        ..EngineFaults::default()
    });
    let request = TestRequest::question("m-silent;", 10, true);
    let response = request.send(fleet.vm(0).listen).await.unwrap();
    assert!(response.complete && request.is_correct(&response), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_does_not_look_complete() {
    let fleet = Fleet::start(one_region(1)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        cut_after: Some(3),
        ..EngineFaults::default()
    });
    let response = TestRequest::question("m-broken;", 40, true)
        .send(fleet.vm(0).listen)
        .await
        .unwrap();
    assert!(!response.complete, "the connection is closed without an end mark");
    assert!(
        String::from_utf8_lossy(&response.body).contains("answer_incomplete"),
        "{response:?}"
    );
    assert_eq!(streamed_words(&response.body), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_to_other_requests_reach_no_caller() {
    let fleet = Fleet::start(one_region(2)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        mismatched_ids: true,
        ..EngineFaults::default()
    });
    let mut answered = 0;
    for index in 0..12 {
        let request = TestRequest::question(&format!("m-crossed-{index};"), 3, index % 2 == 0);
        let response = request.send(fleet.vm(0).listen).await.unwrap();
        if response.status == 200 {
            assert!(request.is_correct(&response), "{response:?}");
            answered += 1;
        }
    }
    assert!(answered >= 6, "the healthy engine serves its share, got {answered}");
}

#[tokio::test(flavor = "multi_thread")]
async fn buffered_responses_that_are_cut_are_retried_elsewhere() {
    let fleet = Fleet::start(one_region(2)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        cut_after: Some(1),
        ..EngineFaults::default()
    });
    let request = TestRequest::question("m-retry;", 3, false);
    let response = request.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert!(request.is_correct(&response));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_whose_vm_dies_does_not_look_complete() {
    let mut fleet = Fleet::start(DeploymentOptions {
        regions: 2,
        ..DeploymentOptions::default()
    })
    .await;
    drop(fleet.deployment.engines.remove(0));
    let request = TestRequest::question("m-dies;", 100, true);
    let (entry, to) = (request.clone(), fleet.vm(0).listen);
    let response = tokio::spawn(async move { entry.send(to).await });
    common::eventually("running", async || fleet.run_count("m-dies;") > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.processes[1].kill();
    let response = response.await.unwrap().unwrap();
    assert!(
        !response.complete && streamed_words(&response.body).is_none(),
        "{response:?}"
    );
    assert!(String::from_utf8_lossy(&response.body).contains("answer_incomplete"));
}

#[tokio::test(flavor = "multi_thread")]
async fn blackholed_connections_between_vms_are_replaced() {
    let options = DeploymentOptions {
        regions: 2,
        link_delay: Some(Duration::from_millis(5)),
        ..DeploymentOptions::default()
    };
    let mut fleet = Fleet::start(options).await;
    drop(fleet.deployment.engines.remove(0));
    let request = TestRequest::question("m-link;", 100, true);
    let (entry, to) = (request.clone(), fleet.vm(0).listen);
    let response = tokio::spawn(async move { entry.send(to).await });
    common::eventually("running", async || fleet.run_count("m-link;") > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet
        .deployment
        .vms
        .iter()
        .for_each(|plan| plan.link.as_ref().unwrap().blackhole());
    let response = response.await.unwrap().unwrap();
    assert!(
        !response.complete && streamed_words(&response.body).is_none(),
        "{response:?}"
    );
    let again = TestRequest::question("m-link-again;", 3, true);
    common::eventually("answered over a new connection", async || {
        let response = again.send(fleet.vm(0).listen).await.unwrap();
        response.status == 200 && response.complete && again.is_correct(&response)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_wait_for_the_first_token_is_not_a_stall() {
    let engine = sw_engine::Options {
        slots: 1,
        ..sw_engine::Options::default()
    };
    for regions in [1, 2] {
        let mut fleet = Fleet::start(DeploymentOptions {
            regions,
            engine,
            ..DeploymentOptions::default()
        })
        .await;
        if regions == 2 {
            drop(fleet.deployment.engines.remove(0));
        }
        let to = fleet.vm(0).listen;
        let first = TestRequest::question("m-long;", 280, true);
        let running = tokio::spawn(async move { first.send(to).await });
        common::eventually("running", async || fleet.run_count("m-long;") > 0).await;
        let second = TestRequest::question("m-waits;", 2, true);
        let response = second.send(to).await.unwrap();
        assert!(response.complete && second.is_correct(&response), "{response:?}");
        assert_eq!(fleet.run_count("m-waits;"), 1, "it was sent once");
        running.await.unwrap();
    }
}
