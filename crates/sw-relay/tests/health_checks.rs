//! Endpoints that may be cold although they have not registered as cold.
//!
//! Guards against the incident FAILBACK: what a VM knows of an endpoint is from before it restarted, or before the evacuation of its
//! failure domain ended.

mod support;

use support::{admit, endpoint, heartbeat, prompt, register, relay, row};
use sw_relay::{
    AttemptOutcome, ColdCause, CrashReport, EndpointEntry, HealthCheck, PathFailure, Progress, Relay, StoreRecord,
};
use sw_unit::{Incarnation, Millis, Time};

/// Time for which the endpoints of the service `engines` are cold.
const COLD_FOR: Millis = Millis(3_000);
/// When the VM has known its neighbours for long enough to use cold endpoints.
const JOINED: Time = Time(2_000);

fn engine() -> EndpointEntry {
    endpoint("e-1", "engines", "north")
}

/// A VM with an engine and an endpoint of a service without cold times.
fn vm() -> Relay {
    let mut relay = relay();
    register(&mut relay, engine(), Time(0));
    register(&mut relay, endpoint("a-1", "app", "north"), Time(0));
    relay
}

/// Starts and ends an attempt every 10 ms for a second, and returns the number of those that were allowed.
fn sent_in_second(relay: &mut Relay, from: Time) -> usize {
    let attempts = (0..1_000).step_by(10).filter(|ms| {
        let now = from + Millis(*ms);
        let admitted = admit(relay, "digest", Some(prompt(1, 100, 100)), now);
        let Some(mut attempt) = relay.start_attempt(&admitted, &engine(), None, now) else {
            return false;
        };
        relay.on_first_event(&mut attempt, now);
        relay.end_attempt(&attempt, AttemptOutcome::Complete, now);
        true
    });
    attempts.count()
}

fn lose_and_regain(relay: &mut Relay, entry: &EndpointEntry, now: Time) {
    relay.on_path_lost(entry, PathFailure::Refused, now, now);
    relay.on_path_open(entry, now);
}

fn only_check(relay: &mut Relay, now: Time) -> HealthCheck {
    let mut checks = relay.due_health_checks(now);
    assert_eq!(checks.len(), 1, "{checks:?}");
    checks.remove(0)
}

/// Guards against a restarted endpoint that gets all of its requests, and against one that is never asked.
#[test]
fn an_endpoint_that_can_be_reached_again_is_checked_and_gets_its_slow_start() {
    let mut relay = vm();
    lose_and_regain(&mut relay, &engine(), JOINED);
    let check = only_check(&mut relay, JOINED);
    assert_eq!((check.cause, &*check.path), (ColdCause::PathRegained, "/health"));
    let sent = sent_in_second(&mut relay, JOINED);
    assert!((1..=3).contains(&sent), "{sent}");
}

/// Guards against a slow start of an endpoint that has said that it is warm.
#[test]
fn an_endpoint_that_answers_that_it_is_warm_gets_its_requests() {
    let mut relay = vm();
    lose_and_regain(&mut relay, &engine(), JOINED);
    let check = only_check(&mut relay, JOINED);
    relay.on_health_answer(&check, Millis(0), JOINED + Millis(2));
    assert!(!relay.has_cold_suspects());
    assert_eq!(sent_in_second(&mut relay, JOINED + Millis(2)), 100);
}

/// Guards against an answer from before the endpoint became cold that ends the suspicion.
#[test]
fn an_answer_to_an_earlier_check_settles_nothing() {
    let mut relay = vm();
    lose_and_regain(&mut relay, &engine(), JOINED);
    let check = only_check(&mut relay, JOINED);
    lose_and_regain(&mut relay, &engine(), JOINED + Millis(10));
    relay.on_health_answer(&check, Millis(0), JOINED + Millis(12));
    assert!(sent_in_second(&mut relay, JOINED + Millis(20)) <= 3);
}

/// Guards against a cold time that the endpoint registered after it was asked, and that its late answer ends.
#[test]
fn an_answer_to_an_earlier_check_does_not_shorten_a_cold_time() {
    let mut relay = vm();
    lose_and_regain(&mut relay, &engine(), JOINED);
    let check = only_check(&mut relay, JOINED);
    lose_and_regain(&mut relay, &engine(), JOINED + Millis(10));
    let later = only_check(&mut relay, JOINED + Millis(10));
    relay.on_health_answer(&later, COLD_FOR, JOINED + Millis(12));
    relay.on_health_answer(&check, Millis(0), JOINED + Millis(14));
    assert!(sent_in_second(&mut relay, JOINED + Millis(20)) <= 3);
}

/// Guards against checks without end of an endpoint that does not answer, and against a flood of them.
#[test]
fn an_endpoint_that_does_not_answer_is_checked_less_and_less_until_it_would_be_warm() {
    let mut relay = vm();
    lose_and_regain(&mut relay, &engine(), JOINED);
    let times = (0..10_000).step_by(50).map(|ms| JOINED + Millis(ms));
    let checks: usize = times.map(|now| relay.due_health_checks(now).len()).sum();
    assert_eq!(checks, 2);
    assert!(!relay.has_cold_suspects());
    assert_eq!(sent_in_second(&mut relay, JOINED + COLD_FOR), 100);
}

/// Guards against checks and slow starts of services whose endpoints are never cold.
#[test]
fn an_endpoint_of_a_service_without_cold_times_is_not_checked() {
    let mut relay = vm();
    lose_and_regain(&mut relay, &endpoint("a-1", "app", "north"), JOINED);
    assert_eq!(relay.due_health_checks(JOINED), []);
}

/// Guards against endpoints that become cold during an evacuation and get all of their requests when it ends.
#[test]
fn endpoints_whose_evacuation_ended_are_checked() {
    let mut relay = vm();
    let evacuated = |on| StoreRecord::Evacuated("north".parse().expect("an id"), on);
    relay.apply(evacuated(false), JOINED);
    assert!(!relay.has_cold_suspects(), "there was none");
    relay.apply(evacuated(true), JOINED);
    assert!(!relay.has_cold_suspects(), "it has not ended");
    relay.apply(evacuated(false), JOINED);
    assert_eq!(only_check(&mut relay, JOINED).cause, ColdCause::EvacuationEnded);
}

/// Guards against a VM that sends nothing while an endpoint crashes, restarts and is cold, and then sends as before.
#[test]
fn an_endpoint_that_crashed_at_another_vm_is_checked() {
    let mut relay = vm();
    let mut beat = heartbeat(row("vm-1", "north"), Vec::new());
    beat.crashes = vec![CrashReport {
        endpoint: engine().id,
        incarnation: Incarnation(1),
        suspects: Vec::new(),
        progress: Progress::default(),
        age: Millis(0),
    }];
    relay.on_heartbeat(beat, JOINED);
    assert_eq!(only_check(&mut relay, JOINED).cause, ColdCause::Crashed);
}

/// Guards against an endpoint that stays in a slow start, because its registration was delayed, although it says that it is warm.
#[test]
fn a_registration_that_contradicts_an_earlier_one_is_checked() {
    let mut relay = vm();
    let cold = EndpointEntry {
        cold_for: COLD_FOR,
        ..engine()
    };
    register(&mut relay, cold, JOINED);
    register(&mut relay, engine(), JOINED + Millis(100));
    let check = only_check(&mut relay, JOINED + Millis(100));
    assert_eq!(check.cause, ColdCause::Contradiction);
    assert!(sent_in_second(&mut relay, JOINED + Millis(100)) <= 3);
    relay.on_health_answer(&check, Millis(0), JOINED + Millis(1_100));
    assert_eq!(sent_in_second(&mut relay, JOINED + Millis(1_100)), 100);
}

/// Guards against checks of an incarnation that has registered its own cold time.
#[test]
fn a_new_incarnation_that_has_registered_is_not_checked() {
    let mut relay = vm();
    lose_and_regain(&mut relay, &engine(), JOINED);
    let restarted = EndpointEntry {
        incarnation: Incarnation(2),
        ..engine()
    };
    register(&mut relay, restarted, JOINED);
    assert_eq!(relay.due_health_checks(JOINED), []);
}
