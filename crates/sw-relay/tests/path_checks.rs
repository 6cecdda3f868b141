//! Checks of the paths to endpoints that are silent, at one VM.
//!
//! Engines are silent for seconds while they read prompts. A check is a connection that the endpoint has to accept, so a fleet
//! must not make one for each response that takes long; but a VM that is cut off must notice it at once.

mod support;

use support::{admit, endpoint, register, relay};
use sw_relay::{EndpointEntry, PathFailure, Relay, Silence};
use sw_unit::{Millis, Time};

const ENDPOINTS: usize = 40;
/// Time after which each silent response asks for a check, again and again.
const PERIOD: u64 = 400;
/// Checks per second and VM that may find the path open.
const RATE: u64 = 2;
/// Checks at once after a time without.
const BURST: u64 = 4;

fn entry(index: usize) -> EndpointEntry {
    endpoint(&format!("e-{index}"), "app", "north")
}

/// A VM that has sent a request to each endpoint and has not heard of any yet.
fn vm() -> Relay {
    let mut relay = relay();
    for index in 0..ENDPOINTS {
        register(&mut relay, entry(index), Time(0));
        let admitted = admit(&mut relay, "read", None, Time(0));
        relay
            .start_attempt(&admitted, &entry(index), None, Time(0))
            .expect("an attempt");
    }
    relay
}

/// Asks for a check of the first `count` endpoints, and lets each find the path open. Returns the number of checks.
fn check(relay: &mut Relay, count: usize, silence: Silence, now: Time) -> u64 {
    let mut checks = 0;
    for index in 0..count {
        if relay.begin_path_check(&entry(index), silence, now) {
            relay.on_path_sample(&[(entry(index), Ok(()))], now, now);
            checks += 1;
        }
    }
    checks
}

/// Guards against a check for each response that takes long, while other responses show that the VM is not cut off.
#[test]
fn expected_silence_is_not_checked_while_others_are_heard() {
    let mut relay = vm();
    for at in (0..60_000).step_by(100) {
        relay.on_path_open(&entry(ENDPOINTS - 1), Time(at));
        if at % PERIOD == 0 {
            assert_eq!(check(&mut relay, ENDPOINTS - 1, Silence::Response, Time(at)), 0);
        }
    }
}

/// Guards against an overloaded fleet that checks paths all the time, because all responses take longer than expected.
#[test]
fn checks_that_find_open_paths_are_limited() {
    for silence in [Silence::Response, Silence::OverdueResponse, Silence::Connection] {
        let (mut relay, mut checks) = (vm(), 0);
        for at in (0..60_000).step_by(PERIOD as usize) {
            checks += check(&mut relay, ENDPOINTS, silence, Time(at));
        }
        assert!(checks <= 60 * RATE + BURST, "{silence:?}: {checks} checks");
    }
}

/// Guards against the path to one endpoint that is lost for good without a sign, while others are heard of.
#[test]
fn an_overdue_response_is_checked_while_others_are_heard() {
    let mut relay = vm();
    relay.on_path_open(&entry(1), Time(5_000));
    assert!(!relay.begin_path_check(&entry(0), Silence::Response, Time(5_100)));
    assert!(relay.begin_path_check(&entry(0), Silence::OverdueResponse, Time(5_100)));
}

/// Guards against a VM that is cut off and finds it out late, because its checks were used up by responses that took long.
#[test]
fn a_silent_service_is_checked_at_once() {
    let mut relay = vm();
    let mut checks = 0;
    for at in (0..10_000).step_by(100) {
        relay.on_path_open(&entry(ENDPOINTS - 1), Time(at));
        checks += check(&mut relay, ENDPOINTS - 1, Silence::OverdueResponse, Time(at));
    }
    assert!(checks > 0, "responses that took long");
    let cut_at = Time(10_000);
    let due_at = cut_at + Millis(PERIOD);
    assert!(relay.begin_path_check(&entry(0), Silence::Response, due_at));
}

/// Guards against lost paths that are found out slowly, because each check counts against the limit.
#[test]
fn checks_that_find_lost_paths_are_not_limited() {
    let mut relay = vm();
    for index in 0..ENDPOINTS - 1 {
        relay.on_path_open(&entry(ENDPOINTS - 1), Time(5_000));
        assert!(
            relay.begin_path_check(&entry(index), Silence::Connection, Time(5_000)),
            "{index}"
        );
        relay.on_path_sample(&[(entry(index), Err(PathFailure::Timeout))], Time(5_000), Time(5_000));
    }
}
