//! Endpoints that are leaving, and endpoints that reject requests of a VM for a while.
//!
//! Guards against sending to such an endpoint. It announces its state in a response, before, after or instead of a
//! change of its registration.

mod support;

use proptest::prelude::*;
use support::{admit, endpoint, register, relay};
use sw_error::Kind;
use sw_relay::{AttemptHistory, AttemptOutcome, Choice, EndpointEntry, EndpointReport, Registry, Relay, StoreRecord};
use sw_unit::{Incarnation, Millis, Time};

fn entry(incarnation: u64) -> EndpointEntry {
    EndpointEntry {
        incarnation: Incarnation(incarnation),
        ..endpoint("e-1", "app", "north")
    }
}

const LEAVING: EndpointReport = EndpointReport {
    load: None,
    cold_for: None,
    leaving: true,
    retry_after: None,
};

fn rejects_for(retry_after: Millis) -> EndpointReport {
    EndpointReport {
        leaving: false,
        retry_after: Some(retry_after),
        ..LEAVING
    }
}

/// Returns the target of a request that is received now.
fn target(relay: &mut Relay, now: Time) -> Result<String, sw_error::Refusal> {
    let admitted = admit(relay, "pay", None, now);
    match relay.choose(&admitted, &AttemptHistory::default(), now)? {
        Choice::Endpoint { endpoint, .. } => Ok(endpoint.id.to_string()),
        Choice::Vm { vm, .. } => Ok(vm.to_string()),
    }
}

#[test]
fn leaving_endpoint_gets_no_requests_even_if_it_registers_as_ready() {
    let mut relay = relay();
    register(&mut relay, entry(1), Time(0));
    assert_eq!(target(&mut relay, Time(0)), Ok("e-1".to_owned()));
    assert!(relay.on_endpoint_report(&entry(1), &LEAVING, Time(10)), "newly leaving");
    assert!(
        !relay.on_endpoint_report(&entry(1), &LEAVING, Time(20)),
        "already known as leaving"
    );
    let refused = |relay: &mut Relay, at| target(relay, Time(at)).map_err(|refusal| refusal.kind);
    assert_eq!(refused(&mut relay, 30), Err(Kind::NoEndpoint));
    register(&mut relay, entry(1), Time(40));
    assert_eq!(refused(&mut relay, 50), Err(Kind::NoEndpoint));
    relay.apply(StoreRecord::Endpoint(entry(1).id, None), Time(60));
    register(&mut relay, entry(1), Time(70));
    assert_eq!(
        refused(&mut relay, 80),
        Err(Kind::NoEndpoint),
        "the registration had expired"
    );
    register(&mut relay, entry(2), Time(90));
    assert_eq!(
        refused(&mut relay, 100),
        Ok("e-1".to_owned()),
        "a new incarnation is not leaving"
    );
}

#[test]
fn request_is_not_sent_if_the_endpoint_starts_to_leave_after_the_choice() {
    let mut relay = relay();
    register(&mut relay, entry(1), Time(0));
    let admitted = admit(&mut relay, "pay", None, Time(0));
    relay.on_endpoint_report(&entry(1), &LEAVING, Time(5));
    assert!(relay.start_attempt(&admitted, &entry(1), None, Time(10)).is_none());
}

/// No request may reach an endpoint between its rejection and the end of the retry time.
#[test]
fn rejecting_endpoint_gets_no_requests_until_the_retry_time_has_passed() {
    const RETRY_AFTER: Millis = Millis(4_000);
    let mut relay = relay();
    register(&mut relay, entry(1), Time(0));
    let mut sent = Vec::new();
    let mut rejected = false;
    for at in (0..8_000).step_by(20) {
        let now = Time(at);
        let admitted = admit(&mut relay, "pay", None, now);
        let Ok(Choice::Endpoint { endpoint, .. }) = relay.choose(&admitted, &AttemptHistory::default(), now) else {
            continue;
        };
        let attempt = relay
            .start_attempt(&admitted, &endpoint, None, now)
            .expect("an attempt");
        sent.push(at);
        let outcome = if !rejected && at >= 1_000 {
            rejected = true;
            relay.on_endpoint_report(&endpoint, &rejects_for(RETRY_AFTER), now);
            AttemptOutcome::Rejected
        } else {
            // Responses without a retry time do not end an earlier one.
            relay.on_endpoint_report(&endpoint, &EndpointReport::default(), now);
            AttemptOutcome::Complete
        };
        relay.end_attempt(&attempt, outcome, now);
    }
    assert_eq!(sent.iter().filter(|at| **at > 1_000 && **at < 5_000).count(), 0);
    assert!(sent.iter().any(|at| *at < 1_000) && sent.iter().any(|at| *at >= 5_000));
}

#[test]
fn callers_are_told_to_retry_when_the_endpoint_accepts_requests_again() {
    let mut relay = relay();
    register(&mut relay, entry(1), Time(0));
    relay.on_endpoint_report(&entry(1), &rejects_for(Millis(2_500)), Time(0));
    let refusal = target(&mut relay, Time(0)).expect_err("the only endpoint rejects requests");
    assert_eq!(refusal.kind, Kind::NoEndpoint);
    let after = refusal.retry_after.expect("a retry time");
    assert!(after >= Millis(1_000), "{after}");
}

#[test]
fn rejection_does_not_apply_to_other_endpoints_and_incarnations() {
    let mut relay = relay();
    register(&mut relay, entry(1), Time(0));
    register(&mut relay, endpoint("e-2", "app", "north"), Time(0));
    relay.on_endpoint_report(&entry(1), &rejects_for(Millis(60_000)), Time(0));
    assert_eq!(target(&mut relay, Time(10)), Ok("e-2".to_owned()));
    relay.apply(
        StoreRecord::Endpoint(endpoint("e-2", "app", "north").id, None),
        Time(20),
    );
    assert!(target(&mut relay, Time(30)).is_err());
    register(&mut relay, entry(2), Time(40));
    assert_eq!(target(&mut relay, Time(50)), Ok("e-1".to_owned()));
}

#[test]
fn unbounded_retry_time_does_not_overflow() {
    let mut relay = relay();
    register(&mut relay, entry(1), Time(0));
    relay.on_endpoint_report(&entry(1), &rejects_for(Millis(u64::MAX)), Time(10));
    assert!(target(&mut relay, Time(1_000_000)).is_err());
}

/// An event of one endpoint.
#[derive(Debug, Clone)]
enum Event {
    Registered { incarnation: u64, leaving: bool },
    Removed,
    AnnouncedLeaving { incarnation: u64 },
    Rejected { incarnation: u64, retry_after: u64 },
    TimePassed(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let incarnation = 1..5_u64;
    prop_oneof![
        4 => (incarnation.clone(), any::<bool>())
            .prop_map(|(incarnation, leaving)| Event::Registered { incarnation, leaving }),
        1 => Just(Event::Removed),
        1 => incarnation.clone().prop_map(|incarnation| Event::AnnouncedLeaving { incarnation }),
        1 => (incarnation, 1..3_000_u64)
            .prop_map(|(incarnation, retry_after)| Event::Rejected { incarnation, retry_after }),
        2 => (1..2_000_u64).prop_map(Event::TimePassed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any order of events, no request is sent to an incarnation that is leaving or rejects requests.
    #[test]
    fn leaving_or_rejecting_incarnation_gets_no_requests(steps in proptest::collection::vec(event(), 1..60)) {
        let mut registry = Registry::default();
        let (mut last_leaving, mut rejected_until) = (0, [Time(0); 5]);
        let mut now = Time(0);
        for step in steps {
            match step {
                Event::Registered { incarnation, leaving } => {
                    registry.apply(EndpointEntry { leaving, ..entry(incarnation) }, now);
                    if leaving {
                        last_leaving = last_leaving.max(incarnation);
                    }
                }
                Event::Removed => {
                    registry.on_registration_removed(&entry(1).id, now);
                }
                Event::AnnouncedLeaving { incarnation } => {
                    registry.on_leaving(&entry(incarnation));
                    last_leaving = last_leaving.max(incarnation);
                }
                Event::Rejected { incarnation, retry_after } => {
                    registry.on_rejected(&entry(incarnation), Millis(retry_after), now);
                    // Only the latest rejection is kept, and it applies only to its own incarnation.
                    rejected_until = [Time(0); 5];
                    rejected_until[incarnation as usize] = now + Millis(retry_after);
                }
                Event::TimePassed(ms) => {
                    now = now + Millis(ms);
                    registry.expire(now);
                }
            }
            for incarnation in 1..5_u64 {
                let sends = registry.may_send(&entry(incarnation), now);
                prop_assert!(!sends || incarnation > last_leaving, "incarnation {incarnation} is leaving");
                let rejects = rejected_until[incarnation as usize] > now;
                prop_assert!(!sends || !rejects, "incarnation {incarnation} rejects requests");
            }
        }
    }
}
