//! Endpoints that are no longer reachable.
//!
//! A quarter of a service's endpoints crash at once. Their registrations expire only after some seconds, and their
//! addresses are soon reused by other endpoints.

mod support;

use support::{admit, endpoint, register, relay};
use sw_relay::{AdmittedRequest, AttemptHistory, AttemptOutcome, Choice, Relay};
use sw_unit::{Incarnation, Time};

const ENDPOINTS: usize = 4;

fn vm() -> Relay {
    let mut relay = relay();
    for index in 1..=ENDPOINTS {
        register(&mut relay, endpoint(&format!("e-{index}"), "app", "north"), Time(0));
    }
    relay
}

/// Sends a request, ends its attempt with `outcome`, and returns the endpoint's name.
fn send(
    relay: &mut Relay,
    admitted: &AdmittedRequest,
    history: &mut AttemptHistory,
    outcome: AttemptOutcome,
    now: Time,
) -> String {
    let Ok(Choice::Endpoint { endpoint, .. }) = relay.choose(admitted, history, now) else {
        panic!("no endpoint");
    };
    let attempt = relay.start_attempt(admitted, &endpoint, None, now).expect("an attempt");
    relay.end_attempt(&attempt, outcome, now);
    history.record_endpoint(&endpoint.id, Some(outcome));
    endpoint.id.to_string()
}

fn next(relay: &mut Relay, now: Time) -> String {
    let admitted = admit(relay, "read", None, now);
    send(
        relay,
        &admitted,
        &mut AttemptHistory::default(),
        AttemptOutcome::Complete,
        now,
    )
}

#[test]
fn unreachable_endpoint_is_avoided_at_once() {
    for outcome in [AttemptOutcome::Unreachable, AttemptOutcome::WrongEndpoint] {
        let mut relay = vm();
        let admitted = admit(&mut relay, "read", None, Time(0));
        let crashed = send(&mut relay, &admitted, &mut AttemptHistory::default(), outcome, Time(0));
        for at in 0..20 {
            assert_ne!(next(&mut relay, Time(at * 40)), crashed, "{outcome}");
        }
    }
}

#[test]
fn endpoint_that_registers_again_is_used_again() {
    let mut relay = vm();
    let admitted = admit(&mut relay, "read", None, Time(0));
    let crashed = send(
        &mut relay,
        &admitted,
        &mut AttemptHistory::default(),
        AttemptOutcome::WrongEndpoint,
        Time(0),
    );
    let mut entry = endpoint(&crashed, "app", "north");
    entry.incarnation = Incarnation(2);
    register(&mut relay, entry, Time(100));
    let used = (0..40).any(|at| next(&mut relay, Time(200 + at)) == crashed);
    assert!(used, "{crashed} is used again");
}

#[test]
fn request_that_reached_no_endpoint_uses_no_retry_budget() {
    let mut relay = vm();
    for _ in 0..500 {
        let admitted = admit(&mut relay, "pay", None, Time(0));
        let mut history = AttemptHistory::default();
        let used = send(
            &mut relay,
            &admitted,
            &mut history,
            AttemptOutcome::Unreachable,
            Time(0),
        );
        assert!(relay.withdraw_retry(&admitted, &history));
        // Otherwise all paths would be lost soon, and nothing more be sent.
        relay.on_path_open(&endpoint(&used, "app", "north"), Time(0));
    }
}

#[test]
fn request_that_an_endpoint_rejected_uses_retry_budget() {
    let mut relay = vm();
    let retried = (0..500).filter(|_| {
        let admitted = admit(&mut relay, "pay", None, Time(0));
        let mut history = AttemptHistory::default();
        send(&mut relay, &admitted, &mut history, AttemptOutcome::Rejected, Time(0));
        relay.withdraw_retry(&admitted, &history)
    });
    assert!(retried.count() < 250);
}

#[test]
fn request_that_was_not_sent_is_no_fault_of_the_endpoint() {
    let mut relay = vm();
    let admitted = admit(&mut relay, "read", None, Time(0));
    let used = send(
        &mut relay,
        &admitted,
        &mut AttemptHistory::default(),
        AttemptOutcome::Unsent,
        Time(0),
    );
    assert!(AttemptOutcome::Unsent.not_run());
    assert!((0..40).any(|at| next(&mut relay, Time(at)) == used));
}
