//! Selection of the VM of another region that a VM forwards to.
//!
//! A region at its peak forwards a third of its requests to another one. If the VM were drawn at random for each of
//! them, nearly every request would wait for a new connection between the regions.

mod support;

use std::collections::HashMap;

use support::{admit, heartbeat, relay_in, row, service};
use sw_relay::{AttemptHistory, AttemptOutcome, Choice, Relay, ServiceLoad};
use sw_unit::{Millis, Time, VmId};

const LOCAL_VMS: usize = 30;
const REMOTE_VMS: usize = 45;

fn sender(index: usize) -> Relay {
    let mut relay = relay_in(&format!("north-{index:02}"), "north");
    for other in (0..LOCAL_VMS).filter(|other| *other != index) {
        relay.on_heartbeat(
            heartbeat(row(&format!("north-{other:02}"), "north"), Vec::new()),
            Time(0),
        );
    }
    for other in 0..REMOTE_VMS {
        let load = ServiceLoad {
            service: service("app"),
            usable: 2,
            wait_ms: 0.0,
            gap_ms: 0.0,
        };
        relay.on_heartbeat(
            heartbeat(row(&format!("south-{other:02}"), "south"), vec![load]),
            Time(0),
        );
    }
    relay
}

fn target(relay: &mut Relay, history: &AttemptHistory, now: Time) -> VmId {
    let admitted = admit(relay, "pay", None, now);
    match relay.choose(&admitted, history, now) {
        Ok(Choice::Vm { vm, .. }) => vm,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_vm_forwards_to_the_same_one_each_time_and_the_vms_are_spread() {
    let mut received: HashMap<VmId, usize> = HashMap::new();
    for index in 0..LOCAL_VMS {
        let mut relay = sender(index);
        let first = target(&mut relay, &AttemptHistory::default(), Time(10));
        for at in 20..40 {
            assert_eq!(target(&mut relay, &AttemptHistory::default(), Time(at)), first);
        }
        *received.entry(first).or_default() += 1;
    }
    assert_eq!(received.values().max(), Some(&1), "{received:?}");
}

#[test]
fn a_vm_that_failed_a_request_or_is_unresponsive_is_skipped() {
    let mut relay = sender(3);
    let first = target(&mut relay, &AttemptHistory::default(), Time(10));
    let mut history = AttemptHistory::default();
    history.record_vm(&first, 1, Some(AttemptOutcome::Unreachable));
    assert_ne!(target(&mut relay, &history, Time(20)), first);
    let later = Time(0) + Millis(2_400);
    for other in 0..REMOTE_VMS {
        let name = format!("south-{other:02}");
        if *first.as_str() != name {
            let load = ServiceLoad {
                service: service("app"),
                usable: 2,
                wait_ms: 0.0,
                gap_ms: 0.0,
            };
            relay.on_heartbeat(heartbeat(row(&name, "south"), vec![load]), later);
        }
    }
    let later = later + Millis(200);
    assert_ne!(target(&mut relay, &AttemptHistory::default(), later), first);
}
