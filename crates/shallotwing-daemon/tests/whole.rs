//! Every caller receives the complete response to its own request, or one that is recognizably incomplete.

mod common;

use std::time::Duration;

use common::{Fleet, Sending, streamed_words};
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
    let sending = Sending::question("m-cut;", 10, true);
    let answer = sending.send(fleet.vm(0).listen).await.unwrap();
    assert!(answer.whole && sending.is_right(&answer), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_resumed_on_a_new_connection() {
    let fleet = Fleet::start(one_region(1)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        stall_after: Some(6),
        ..EngineFaults::default()
    });
    let sending = Sending::question("m-silent;", 10, true);
    let answer = sending.send(fleet.vm(0).listen).await.unwrap();
    assert!(answer.whole && sending.is_right(&answer), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_does_not_look_whole() {
    let fleet = Fleet::start(one_region(1)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        cut_after: Some(3),
        ..EngineFaults::default()
    });
    let answer = Sending::question("m-broken;", 40, true)
        .send(fleet.vm(0).listen)
        .await
        .unwrap();
    assert!(!answer.whole, "the connection is closed without an end mark");
    assert!(
        String::from_utf8_lossy(&answer.body).contains("answer_incomplete"),
        "{answer:?}"
    );
    assert_eq!(streamed_words(&answer.body), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_reach_nobody() {
    let fleet = Fleet::start(one_region(2)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        mismatched_ids: true,
        ..EngineFaults::default()
    });
    let mut answered = 0;
    for index in 0..12 {
        let sending = Sending::question(&format!("m-crossed-{index};"), 3, index % 2 == 0);
        let answer = sending.send(fleet.vm(0).listen).await.unwrap();
        if answer.status == 200 {
            assert!(sending.is_right(&answer), "{answer:?}");
            answered += 1;
        }
    }
    assert!(answered >= 6, "the sound engine answers its share, got {answered}");
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_that_are_cut_are_asked_for_elsewhere() {
    let fleet = Fleet::start(one_region(2)).await;
    fleet.deployment.engines[0].set_faults(EngineFaults {
        cut_after: Some(1),
        ..EngineFaults::default()
    });
    let sending = Sending::question("m-retry;", 3, false);
    let answer = sending.send(fleet.vm(0).listen).await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(sending.is_right(&answer));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_whose_vm_dies_does_not_look_whole() {
    let mut fleet = Fleet::start(DeploymentOptions {
        regions: 2,
        ..DeploymentOptions::default()
    })
    .await;
    drop(fleet.deployment.engines.remove(0));
    let sending = Sending::question("m-dies;", 100, true);
    let (entry, to) = (sending.clone(), fleet.vm(0).listen);
    let answer = tokio::spawn(async move { entry.send(to).await });
    common::eventually("running", async || fleet.runs_of("m-dies;") > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.processes[1].kill();
    let answer = answer.await.unwrap().unwrap();
    assert!(!answer.whole && streamed_words(&answer.body).is_none(), "{answer:?}");
    assert!(String::from_utf8_lossy(&answer.body).contains("answer_incomplete"));
}

#[tokio::test(flavor = "multi_thread")]
async fn links_between_vms_that_fall_silent_are_replaced() {
    let options = DeploymentOptions {
        regions: 2,
        link_delay: Some(Duration::from_millis(5)),
        ..DeploymentOptions::default()
    };
    let mut fleet = Fleet::start(options).await;
    drop(fleet.deployment.engines.remove(0));
    let sending = Sending::question("m-link;", 100, true);
    let (entry, to) = (sending.clone(), fleet.vm(0).listen);
    let answer = tokio::spawn(async move { entry.send(to).await });
    common::eventually("running", async || fleet.runs_of("m-link;") > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet
        .deployment
        .vms
        .iter()
        .for_each(|plan| plan.link.as_ref().unwrap().blackhole());
    let answer = answer.await.unwrap().unwrap();
    assert!(!answer.whole && streamed_words(&answer.body).is_none(), "{answer:?}");
    let again = Sending::question("m-link-again;", 3, true);
    common::eventually("answered over a new connection", async || {
        let answer = again.send(fleet.vm(0).listen).await.unwrap();
        answer.status == 200 && answer.whole && again.is_right(&answer)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_wait_for_the_first_token_is_not_silence() {
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
        let first = Sending::question("m-long;", 280, true);
        let running = tokio::spawn(async move { first.send(to).await });
        common::eventually("running", async || fleet.runs_of("m-long;") > 0).await;
        let second = Sending::question("m-waits;", 2, true);
        let answer = second.send(to).await.unwrap();
        assert!(answer.whole && second.is_right(&answer), "{answer:?}");
        assert_eq!(fleet.runs_of("m-waits;"), 1, "it was sent once");
        running.await.unwrap();
    }
}
