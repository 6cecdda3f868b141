//! Retry budget of all VMs together.
//!
//! A quarter of the engines crash at the same moment, and all their streams have to resume on other engines, while each
//! of many VMs has only a small part of the retry budget.

mod support;

use support::{admit, endpoint, heartbeat, prompt, register, relay_of, row};
use sw_relay::{AttemptHistory, AttemptOutcome, Relay};
use sw_unit::{EndpointId, Millis, Time};

const VMS: u64 = 50;
/// Requests a second at each VM.
const RATE: u64 = 20;
/// Window in which retries are counted, in seconds.
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

/// Admits requests at an even rate for `seconds`.
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

/// Returns how many of `broken` streams may resume on another engine.
fn resume(relay: &mut Relay, broken: u64, now: Time) -> u64 {
    let crashed: EndpointId = "e-0".parse().expect("an id");
    let mut history = AttemptHistory::default();
    history.record_endpoint(&crashed, Some(AttemptOutcome::Broken));
    // The request itself was already counted on arrival; only the retry counts here.
    let admitted = admit(relay, "digest", Some(prompt(1, 0, 500)), now);
    (0..broken)
        .filter(|_| relay.withdraw_retry(&admitted, &history))
        .count() as u64
}

#[test]
fn streams_that_break_at_once_are_resumed() {
    let mut relay = vm();
    let now = serve(&mut relay, Time(0), WINDOW);
    assert_eq!(resume(&mut relay, 8, now), 8);
}

#[test]
fn all_vms_together_stay_within_the_retry_bounds() {
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
fn idle_vm_has_few_retries() {
    let mut relay = vm();
    let now = serve(&mut relay, Time(0), WINDOW) + Millis(60_000);
    assert!(resume(&mut relay, 100, now) <= 2);
}

/// Guards against settings that are read again and again, each time with a retry for each service and VM.
#[test]
fn reloading_the_settings_fills_no_budget() {
    const RELOADS: u64 = 20;
    let mut relay = vm();
    let now = serve(&mut relay, Time(0), WINDOW);
    resume(&mut relay, 1_000, now);
    let mut retried = 0;
    for _ in 0..RELOADS {
        relay.set_retry_bounds(0.2, 54.0);
        retried += resume(&mut relay, 1_000, now);
    }
    // Each time one request comes.
    let bound = 0.2 * RELOADS as f64 + 54.0 / VMS as f64;
    assert!(retried as f64 <= bound, "{retried} of {bound}");
}
