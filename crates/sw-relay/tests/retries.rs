//! How many requests all VMs together send once more.
//!
//! The pattern: a quarter of the engines crash at the same moment, and all streams that they served want to go on
//! elsewhere, while each of many VMs holds a small part of what the deployment may retry.

mod support;

use support::{admit, endpoint, heartbeat, prompt, register, relay_of, row};
use sw_relay::{AttemptHistory, AttemptOutcome, Relay};
use sw_unit::{EndpointId, Millis, Time};

const VMS: u64 = 50;
/// Requests a second at each VM.
const RATE: u64 = 20;
/// Span in which retries are counted, in seconds.
const WINDOW: u64 = 10;

/// A VM that knows the others.
fn vm() -> Relay {
    let mut relay = relay_of("vm-0");
    for index in 1..VMS {
        relay.on_heartbeat(heartbeat(row(&format!("vm-{index}"), "north"), Vec::new()), Time(0));
    }
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    relay
}

/// Requests at an even rate for `seconds`.
fn serve(relay: &mut Relay, from: Time, seconds: u64) -> Time {
    for index in 0..seconds * RATE {
        admit(
            relay,
            "digest",
            Some(prompt(index, 0, 500)),
            from + Millis(index * 1_000 / RATE),
        );
    }
    from + Millis(seconds * 1_000)
}

/// Of `broken` streams, how many may go on elsewhere.
fn resume(relay: &mut Relay, broken: u64, now: Time) -> u64 {
    let crashed: EndpointId = "e-0".parse().expect("an id");
    let mut tried = AttemptHistory::default();
    tried.record_endpoint(&crashed, Some(AttemptOutcome::Broken));
    // Only the attempt counts, not the request, which was counted when it came.
    let admitted = admit(relay, "digest", Some(prompt(1, 0, 500)), now);
    (0..broken).filter(|_| relay.withdraw_retry(&admitted, &tried)).count() as u64
}

#[test]
fn streams_that_break_at_once_go_on_elsewhere() {
    let mut relay = vm();
    let now = serve(&mut relay, Time(0), WINDOW);
    assert_eq!(resume(&mut relay, 8, now), 8);
}

#[test]
fn all_vms_together_keep_within_their_retries() {
    let mut relay = vm();
    let mut now = serve(&mut relay, Time(0), 3 * WINDOW);
    let mut retried = 0;
    for _ in 0..WINDOW {
        retried += resume(&mut relay, 1_000, now);
        now = serve(&mut relay, now, 1);
    }
    let requests = (WINDOW * RATE + WINDOW) * VMS;
    let bound = 0.2 * requests as f64 + 54.0;
    assert!((retried * VMS) as f64 <= bound, "{} of {bound}", retried * VMS);
}

#[test]
fn a_quiet_vm_has_few_retries() {
    let mut relay = vm();
    let now = serve(&mut relay, Time(0), WINDOW) + Millis(60_000);
    assert!(resume(&mut relay, 100, now) <= 2);
}
