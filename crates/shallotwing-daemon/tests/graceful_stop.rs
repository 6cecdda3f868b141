//! A graceful stop interrupts no request.

mod common;

use std::time::Duration;

use common::{Fleet, TestRequest, call, connect, eventually, get};
use rustix::process::Signal;
use sw_standin::{DeploymentOptions, ServiceFaults};

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_finish_and_later_ones_are_served_elsewhere() {
    let mut fleet = Fleet::start(DeploymentOptions {
        regions: 2,
        ..DeploymentOptions::default()
    })
    .await;
    let slow = ServiceFaults {
        delay: Duration::from_secs(2),
        ..ServiceFaults::default()
    };
    fleet
        .deployment
        .services
        .iter()
        .for_each(|service| service.set_faults(slow));
    let to = fleet.vm(0).listen;
    let requests: Vec<_> = (0..6)
        .map(|index| TestRequest::question(&format!("m-{index};"), 100, index % 2 == 0))
        .chain((0..3).map(|index| TestRequest::payment(&format!("p-{index};"))))
        .collect();
    let tasks: Vec<_> = requests
        .iter()
        .cloned()
        .map(|request| tokio::spawn(async move { request.send(to).await }))
        .collect();
    eventually("running", async || fleet.deployment.engines[0].load().0 >= 6).await;
    fleet.processes[0].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.processes[0].signal(Signal::TERM);
    let late = TestRequest::question("m-late;", 2, false);
    let response = late
        .send(to)
        .await
        .expect("a draining VM serves until callers' entry lists have expired");
    assert!(response.status == 200 && late.is_correct(&response), "{response:?}");
    for (request, task) in requests.iter().zip(tasks) {
        let response = task.await.unwrap().expect("no request is interrupted");
        assert!(
            response.complete && response.status == 200 && request.is_correct(&response),
            "{response:?}"
        );
    }
    assert!(fleet.processes[0].wait_for_exit().await, "it exits with 0");
    assert!(connect(to).await.is_none());
    let entries = get(fleet.vm(1).listen, "/v1/entries?route=question").await.json();
    assert_eq!(
        common::count(&entries["entries"], |row| row["region"] == "lahore"),
        0,
        "{entries}"
    );
    eventually("out of the directory", async || {
        fleet.deployment.platform.registered_vms() == ["multan-1"]
    })
    .await;
}

/// Drains the VM that serves a forwarded stream, with a delay of `link_delay` each way on the link between the VMs.
async fn stop_during_a_forwarded_stream(link_delay: Option<Duration>) {
    let mut fleet = Fleet::start(DeploymentOptions {
        regions: 2,
        link_delay,
        ..DeploymentOptions::default()
    })
    .await;
    drop(fleet.deployment.engines.remove(0));
    let request = TestRequest::question("m-forwarded;", 120, true);
    let (entry, to) = (request.clone(), fleet.vm(0).listen);
    let task = tokio::spawn(async move { entry.send(to).await });
    eventually("running", async || fleet.run_count("m-forwarded;") > 0).await;
    let drained = call("POST", fleet.vm(1).operator_listen, "/drain").await;
    assert_eq!(drained.status, 202);
    let response = task.await.unwrap().unwrap();
    assert!(response.complete && request.is_correct(&response), "{response:?}");
    assert!(fleet.processes[1].wait_for_exit().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarded_requests_finish_too() {
    stop_during_a_forwarded_stream(None).await;
}

/// Guards against a VM that exits as soon as it has no requests, while the end of a response is still on the link to
/// the other VM.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_forwarded_stream_arrives_over_a_slow_link() {
    stop_during_a_forwarded_stream(Some(Duration::from_millis(120))).await;
}
