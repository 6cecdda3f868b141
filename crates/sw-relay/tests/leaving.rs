//! Endpoints that leave, and endpoints that turn a VM away.
//!
//! The pattern: an endpoint says in an answer that it is leaving, or that it wants nothing for a while, before, after or
//! instead of its registration.

mod support;

use proptest::prelude::*;
use support::{admit, endpoint, register, relay};
use sw_error::Kind;
use sw_relay::{AttemptHistory, AttemptOutcome, Choice, EndpointEntry, EndpointReport, Registry, Relay, StoreRecord};
use sw_unit::{Incarnation, Millis, Time};

fn life(life: u64) -> EndpointEntry {
    EndpointEntry {
        incarnation: Incarnation(life),
        ..endpoint("e-1", "app", "north")
    }
}

const LEAVING: EndpointReport = EndpointReport {
    load: None,
    cold_for: None,
    leaving: true,
    retry_after: None,
};

fn closed_for(wait: Millis) -> EndpointReport {
    EndpointReport {
        leaving: false,
        retry_after: Some(wait),
        ..LEAVING
    }
}

/// Where a request goes that is received now.
fn target(relay: &mut Relay, now: Time) -> Result<String, sw_error::Refusal> {
    let admitted = admit(relay, "pay", None, now);
    match relay.choose(&admitted, &AttemptHistory::default(), now)? {
        Choice::Endpoint { endpoint, .. } => Ok(endpoint.id.to_string()),
        Choice::Vm { vm, .. } => Ok(vm.to_string()),
    }
}

#[test]
fn an_endpoint_that_says_it_is_leaving_gets_nothing_more_also_if_it_registers_as_ready() {
    let mut relay = relay();
    register(&mut relay, life(1), Time(0));
    assert_eq!(target(&mut relay, Time(0)), Ok("e-1".to_owned()));
    assert!(relay.on_endpoint_report(&life(1), &LEAVING, Time(10)), "that is news");
    assert!(!relay.on_endpoint_report(&life(1), &LEAVING, Time(20)), "that is not");
    let refused = |relay: &mut Relay, at| target(relay, Time(at)).map_err(|refusal| refusal.kind);
    assert_eq!(refused(&mut relay, 30), Err(Kind::NoEndpoint));
    register(&mut relay, life(1), Time(40));
    assert_eq!(refused(&mut relay, 50), Err(Kind::NoEndpoint));
    relay.apply(StoreRecord::Endpoint(life(1).id, None), Time(60));
    register(&mut relay, life(1), Time(70));
    assert_eq!(
        refused(&mut relay, 80),
        Err(Kind::NoEndpoint),
        "the registration had lapsed"
    );
    register(&mut relay, life(2), Time(90));
    assert_eq!(
        refused(&mut relay, 100),
        Ok("e-1".to_owned()),
        "a new life is no leaving one"
    );
}

#[test]
fn a_request_whose_endpoint_began_to_leave_after_the_choice_is_not_sent() {
    let mut relay = relay();
    register(&mut relay, life(1), Time(0));
    let admitted = admit(&mut relay, "pay", None, Time(0));
    relay.on_endpoint_report(&life(1), &LEAVING, Time(5));
    assert!(relay.start_attempt(&admitted, &life(1), None, Time(10)).is_none());
}

/// Requests that reach an endpoint from half a second after it turned the VM away; at most two may.
#[test]
fn an_endpoint_that_turned_a_vm_away_gets_nothing_until_its_time_is_over() {
    const WAIT: Millis = Millis(4_000);
    let mut relay = relay();
    register(&mut relay, life(1), Time(0));
    let mut sent = Vec::new();
    let mut closed = false;
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
        let outcome = if !closed && at >= 1_000 {
            closed = true;
            relay.on_endpoint_report(&endpoint, &closed_for(WAIT), now);
            AttemptOutcome::Rejected
        } else {
            // Answers to requests that were sent before say nothing against the wait.
            relay.on_endpoint_report(&endpoint, &EndpointReport::default(), now);
            AttemptOutcome::Complete
        };
        relay.end_attempt(&attempt, outcome, now);
    }
    assert_eq!(sent.iter().filter(|at| **at > 1_000 && **at < 5_000).count(), 0);
    assert!(sent.iter().any(|at| *at < 1_000) && sent.iter().any(|at| *at >= 5_000));
}

#[test]
fn callers_are_told_to_come_back_when_the_endpoint_takes_requests_again() {
    let mut relay = relay();
    register(&mut relay, life(1), Time(0));
    relay.on_endpoint_report(&life(1), &closed_for(Millis(2_500)), Time(0));
    let refusal = target(&mut relay, Time(0)).expect_err("the only endpoint is closed");
    assert_eq!(refusal.kind, Kind::NoEndpoint);
    let after = refusal.retry_after.expect("a time to come back");
    assert!(after >= Millis(1_000), "{after}");
}

#[test]
fn another_endpoint_and_a_new_life_are_not_closed() {
    let mut relay = relay();
    register(&mut relay, life(1), Time(0));
    register(&mut relay, endpoint("e-2", "app", "north"), Time(0));
    relay.on_endpoint_report(&life(1), &closed_for(Millis(60_000)), Time(0));
    assert_eq!(target(&mut relay, Time(10)), Ok("e-2".to_owned()));
    relay.apply(
        StoreRecord::Endpoint(endpoint("e-2", "app", "north").id, None),
        Time(20),
    );
    assert!(target(&mut relay, Time(30)).is_err());
    register(&mut relay, life(2), Time(40));
    assert_eq!(target(&mut relay, Time(50)), Ok("e-1".to_owned()));
}

#[test]
fn a_wait_without_end_is_no_fault() {
    let mut relay = relay();
    register(&mut relay, life(1), Time(0));
    relay.on_endpoint_report(&life(1), &closed_for(Millis(u64::MAX)), Time(10));
    assert!(target(&mut relay, Time(1_000_000)).is_err());
}

/// News of one endpoint, in any order.
#[derive(Debug, Clone)]
enum News {
    Registered { life: u64, leaving: bool },
    Removed,
    SaidLeaving { life: u64 },
    TurnedAway { life: u64, wait: u64 },
    Passed(u64),
}

fn news() -> impl Strategy<Value = News> {
    let life = 1..5_u64;
    prop_oneof![
        4 => (life.clone(), any::<bool>()).prop_map(|(life, leaving)| News::Registered { life, leaving }),
        1 => Just(News::Removed),
        1 => life.clone().prop_map(|life| News::SaidLeaving { life }),
        1 => (life, 1..3_000_u64).prop_map(|(life, wait)| News::TurnedAway { life, wait }),
        2 => (1..2_000_u64).prop_map(News::Passed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the order of news, a life that was seen leaving and one that is closed are never sent to.
    #[test]
    fn a_life_that_left_or_is_closed_is_never_sent_to(steps in proptest::collection::vec(news(), 1..60)) {
        let mut registry = Registry::default();
        let (mut left, mut closed) = (0, [Time(0); 5]);
        let mut now = Time(0);
        for step in steps {
            match step {
                News::Registered { life: of, leaving } => {
                    registry.apply(EndpointEntry { leaving, ..life(of) }, now);
                    if leaving {
                        left = left.max(of);
                    }
                }
                News::Removed => {
                    registry.on_registration_removed(&life(1).id, now);
                }
                News::SaidLeaving { life: of } => {
                    registry.on_leaving(&life(of));
                    left = left.max(of);
                }
                News::TurnedAway { life: of, wait } => {
                    registry.on_rejected(&life(of), Millis(wait), now);
                    // What an earlier or later life said counts for none but itself.
                    closed = [Time(0); 5];
                    closed[of as usize] = now + Millis(wait);
                }
                News::Passed(ms) => {
                    now = now + Millis(ms);
                    registry.expire(now);
                }
            }
            for of in 1..5_u64 {
                let sends = registry.may_send(&life(of), now);
                prop_assert!(!sends || of > left, "life {of} left");
                prop_assert!(!sends || closed[of as usize] <= now, "life {of} is closed");
            }
        }
    }
}
