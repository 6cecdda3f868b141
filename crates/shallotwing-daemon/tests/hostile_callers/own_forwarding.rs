//! Crowds before the product's own interface whose requests one VM forwards to another.

use std::time::Duration;

use sw_standin::{DeploymentOptions, KEY, ServiceFaults};
use sw_store::PublishOutcome;
use sw_unit::Version;

use super::callers::{Callers, Upload};
use super::common::Fleet;
use super::own::check_answers;
use super::vm::{Bounds, DESCRIPTORS, MEMORY_MB, Usage};
use super::{HOLD_TIME, support, turn};

/// Time for which a service that never answers waits; longer than a test.
const SILENCE: Duration = Duration::from_mins(10);

/// Starts a VM in each of two regions. The service of the first one is down, and that of the second one never answers.
async fn start_fleet() -> Fleet {
    let options = DeploymentOptions {
        regions: 2,
        ..DeploymentOptions::default()
    };
    let (memory, connections) = (MEMORY_MB * 1_000_000 / 2, DESCRIPTORS * 2 / 5);
    let limits = format!("memory_bytes = {memory}\nconnections = {connections}\n");
    let mut fleet = Fleet::start_with(options, &limits).await;
    drop(fleet.deployment.services.remove(0));
    fleet.deployment.services[0].set_faults(ServiceFaults {
        delay: SILENCE,
        ..ServiceFaults::default()
    });
    let text = fleet
        .deployment
        .fleet
        .replace("deadline_ms = 8000", "deadline_ms = 600000");
    assert_eq!(
        fleet.apply(&text, Version(1)).await,
        PublishOutcome::Accepted(Version(2))
    );
    for vm in [0, 1] {
        fleet.wait_for_version(vm, 2).await;
    }
    fleet
}

/// Guards against forwarded bodies that are held several times, or that the VM that serves them does not account for.
#[test]
fn own_forwarded_bodies_that_wait_for_their_answers() {
    const CALLERS: usize = 24;
    let body = Upload {
        bytes: 3_900_000,
        chunk: 65_000,
        is_complete: true,
    };
    let _turn = turn();
    support::run(async {
        let fleet = start_fleet().await;
        let usages = [0, 1].map(|vm| Usage::watch(&fleet.processes[vm]));
        let mut callers = Callers::default();
        let path = format!("/svc/payment/x HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\nX-Target:");
        callers.upload_all(CALLERS, fleet.vm(0).listen, &path, body).await;
        tokio::time::sleep(HOLD_TIME).await;
        for vm in [0, 1] {
            check_answers(&fleet, vm, "own, forwarded bodies").await;
        }
        for (vm, usage) in usages.iter().enumerate() {
            usage.check_bounds(
                &format!("own, forwarded bodies, VM {vm}"),
                &fleet.processes[vm],
                Bounds::SMALL,
            );
        }
    });
}
