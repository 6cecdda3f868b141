//! Who keeps account of an engine's queue.
//!
//! The pattern: twenty VMs of a region send to the same engines, each a few prompts a second. Heartbeats tell of a
//! prompt when it has long been read, so every VM takes a busy engine for idle.

mod support;

use proptest::prelude::*;
use support::{admit, endpoint, heartbeat, prompt, register, relay_of, row};
use sw_error::Kind;
use sw_relay::{
    AdmittedRequest, AttemptHistory, Choice, Coordinator, QueueEstimate, Relay, Reservation, ReservationUpdate,
};
use sw_unit::{Incarnation, Millis, Time};

const VMS: usize = 4;
const ENGINES: usize = 8;

/// VMs of one failure domain that know each other and the same engines.
fn vms() -> Vec<Relay> {
    let names: Vec<_> = (0..VMS).map(|index| format!("vm-{index}")).collect();
    let mut vms: Vec<_> = names.iter().map(|name| relay_of(name)).collect();
    for relay in &mut vms {
        for engine in 0..ENGINES {
            register(relay, endpoint(&format!("e-{engine}"), "engines", "north"), Time(0));
        }
        for name in &names {
            if relay.members().local().vm.as_str() != name {
                relay.on_heartbeat(heartbeat(row(name, "north"), Vec::new()), Time(0));
            }
        }
        relay.tick(Time(0));
    }
    vms
}

fn digest(relay: &mut Relay, subject: u64, own: u64) -> AdmittedRequest {
    admit(relay, "digest", Some(prompt(subject, 0, own)), Time(100))
}

fn coordinator(relay: &mut Relay, admitted: &AdmittedRequest, tried: &AttemptHistory) -> (String, Option<Coordinator>) {
    let choice = relay.choose(admitted, tried, Time(100)).expect("a choice");
    let Choice::Endpoint {
        endpoint, coordinator, ..
    } = choice
    else {
        panic!("{choice:?} leaves the region");
    };
    (endpoint.id.to_string(), coordinator)
}

fn reservation(of: &str, own: u64, limit_ms: f64) -> Reservation {
    Reservation {
        endpoint: of.parse().expect("an id"),
        service: support::service("engines"),
        prompt: prompt(1, 0, own),
        limit_ms,
        urgent: false,
        source_distance: None,
    }
}

#[test]
fn all_vms_ask_the_same_one_for_an_engine() {
    let mut vms = vms();
    let mut coordinated = [0; VMS];
    for subject in 0..200 {
        let mut asked: Vec<(String, String)> = Vec::new();
        for relay in &mut vms {
            let own = relay.members().local().vm.to_string();
            let admitted = digest(relay, subject, 500);
            let (engine, coordinator) = coordinator(relay, &admitted, &AttemptHistory::default());
            asked.push((
                engine,
                coordinator.map_or(own, |coordinator| coordinator.vm.to_string()),
            ));
        }
        asked.dedup();
        assert_eq!(asked.len(), 1, "{asked:?}");
        let at: usize = asked[0].1["vm-".len()..].parse().expect("a number");
        coordinated[at] += 1;
    }
    assert!(coordinated.iter().all(|count| *count > 0), "{coordinated:?}");
}

#[test]
fn a_coordinator_knows_at_once_what_others_send() {
    let mut relay = relay_of("vm-0");
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let first = relay
        .reserve(&reservation("e-1", 8_000, 1_000.0), Time(0))
        .expect("granted");
    let second = relay
        .reserve(&reservation("e-1", 8_000, 1_000.0), Time(0))
        .expect("granted");
    assert!(second.estimate.expected_ms > first.estimate.expected_ms + 100.0);
    let wait = relay
        .reserve(&reservation("e-1", 8_000, second.estimate.expected_ms), Time(0))
        .expect_err("declined");
    assert!(wait.expected_ms > second.estimate.expected_ms);
    for granted in [first, second] {
        relay.on_reservation_update(
            &"e-1".parse().expect("an id"),
            granted.entry_id,
            ReservationUpdate::Ended,
            Time(10),
        );
    }
    let again = relay
        .reserve(&reservation("e-1", 8_000, 1_000.0), Time(10))
        .expect("granted");
    assert!((again.estimate.expected_ms - first.estimate.expected_ms).abs() < 1.0);
}

#[test]
fn a_place_that_is_not_released_is_dropped() {
    let mut relay = relay_of("vm-0");
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let granted = relay
        .reserve(&reservation("e-1", 8_000, 1_000.0), Time(0))
        .expect("granted");
    relay.tick(Time(0) + Millis(2_000) + Millis((granted.estimate.expected_ms * 3.0) as u64));
    let load = relay.load(&"e-1".parse().expect("an id")).expect("a load");
    assert!(load.backlog_ms(Time(10_000)) < 1.0);
}

#[test]
fn an_engine_that_another_vm_found_absent_is_declined() {
    let mut relay = relay_of("vm-0");
    register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
    let granted = relay
        .reserve(&reservation("e-1", 800, 1_000.0), Time(0))
        .expect("granted");
    relay.on_reservation_update(
        &"e-1".parse().expect("an id"),
        granted.entry_id,
        ReservationUpdate::EndpointUnreachable,
        Time(0),
    );
    let wait = relay
        .reserve(&reservation("e-1", 800, 800.0), Time(0))
        .expect_err("paused");
    assert!(wait.expected_ms > 900.0, "{wait:?}");
    assert!(
        relay.reserve(&reservation("e-9", 800, 800.0), Time(0)).is_err(),
        "not registered"
    );
}

#[test]
fn a_coordinator_that_does_not_answer_is_not_asked_for_a_while() {
    let mut relay = vms().remove(0);
    let (admitted, coordinator_vm) = (0..100)
        .find_map(|subject| {
            let admitted = digest(&mut relay, subject, 500);
            let (_, coordinator) = coordinator(&mut relay, &admitted, &AttemptHistory::default());
            coordinator.map(|coordinator| (admitted, coordinator.vm))
        })
        .expect("another VM coordinates an engine");
    relay.on_coordinator_unresponsive(&coordinator_vm, Time(100));
    let (_, asked) = coordinator(&mut relay, &admitted, &AttemptHistory::default());
    assert_eq!(asked, None, "it is sent without asking");
}

#[test]
fn a_request_that_is_declined_goes_to_another_engine_and_is_refused_in_the_end() {
    let mut relay = vms().remove(0);
    let admitted = digest(&mut relay, 1, 500);
    let mut tried = AttemptHistory::default();
    let mut engines = std::collections::BTreeSet::new();
    let refusal = loop {
        match relay.choose(&admitted, &tried, Time(100)) {
            Ok(Choice::Endpoint { endpoint, .. }) => {
                assert!(relay.withdraw_retry(&admitted, &tried), "nothing was sent yet");
                tried.record_declined(&endpoint.id, 2_000.0);
                engines.insert(endpoint.id.to_string());
            }
            Ok(choice) => panic!("{choice:?} leaves the region"),
            Err(refusal) => break refusal,
        }
    };
    assert!(engines.len() > 2, "{engines:?}");
    assert_eq!(refusal.kind, Kind::DeadlineUnreachable);
    assert!(refusal.retry_after.is_some());
    assert!(!tried.may_have_run());
}

#[test]
fn what_a_coordinator_said_counts_for_the_next_request() {
    let mut relay = vms().remove(0);
    let (engine, coordinator) = (0..100)
        .find_map(|subject| {
            let admitted = digest(&mut relay, subject, 500);
            let (engine, coordinator) = coordinator(&mut relay, &admitted, &AttemptHistory::default());
            coordinator.map(|coordinator| (engine, coordinator))
        })
        .expect("another VM coordinates an engine");
    let wait = QueueEstimate {
        expected_ms: 900.0,
        backlog_ms: 850.0,
    };
    relay.record_queue_estimate(&coordinator, wait, 0.0, Time(100));
    let load = relay.load(&engine.parse().expect("an id")).expect("a load");
    assert!((load.backlog_ms(Time(100)) - 850.0).abs() < 1.0);
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Reserve(u64),
    Release(usize),
    Restart,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (100..20_000_u64).prop_map(Step::Reserve),
        3 => (0..20_usize).prop_map(Step::Release),
        1 => Just(Step::Restart),
        2 => (0..3_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Whatever is granted, released twice, lost or overtaken by a restart, the queue is empty in the end.
    #[test]
    fn a_queue_is_empty_when_all_places_are_released_or_lost(steps in prop::collection::vec(step(), 0..60)) {
        let mut relay = relay_of("vm-0");
        register(&mut relay, endpoint("e-1", "engines", "north"), Time(0));
        let id = "e-1".parse().expect("an id");
        let (mut now, mut life, mut tickets) = (Time(0), 1, Vec::new());
        for step in steps {
            match step {
                Step::Reserve(own) => {
                    if let Ok(granted) = relay.reserve(&reservation("e-1", own, 1_200.0), now) {
                        prop_assert!(granted.estimate.expected_ms <= 1_200.0);
                        tickets.push(granted.entry_id);
                    }
                }
                Step::Release(at) => {
                    if let Some(ticket) = tickets.get(at) {
                        relay.on_reservation_update(&id, *ticket, ReservationUpdate::Ended, now);
                    }
                }
                Step::Restart => {
                    life += 1;
                    let mut entry = endpoint("e-1", "engines", "north");
                    entry.incarnation = Incarnation(life);
                    register(&mut relay, entry, now);
                }
                Step::Wait(span) => {
                    now = now + Millis(span);
                    relay.tick(now);
                }
            }
            prop_assert!(relay.load(&id).is_none_or(|load| load.backlog_ms(now) >= 0.0));
        }
        relay.tick(now + Millis(10_000));
        prop_assert!(relay.load(&id).is_none_or(|load| load.backlog_ms(now + Millis(10_000)) < 1.0));
    }
}
