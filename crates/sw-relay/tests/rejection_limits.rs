//! What a VM knows of the rejections that brittle endpoints can bear.

mod support;

use support::{admit, endpoint, register, relay, relay_of, row, service};
use sw_relay::RejectionLimitStatement::{Malformed, Named, NotNamed};
use sw_relay::{EndpointEntry, RejectionLimitStatement, Relay, StoreRecord};
use sw_unit::{Incarnation, Rate, Time};

fn entry(name: &str, incarnation: u64) -> EndpointEntry {
    EndpointEntry {
        incarnation: Incarnation(incarnation),
        ..endpoint(name, "app", "north")
    }
}

/// A VM that knows two endpoints of a service.
fn vm() -> Relay {
    let mut vm = relay();
    register(&mut vm, entry("a-1", 1), Time(0));
    register(&mut vm, entry("a-2", 1), Time(0));
    vm
}

fn state(vm: &mut Relay, name: &str, statement: RejectionLimitStatement, sent_at: Option<u64>, now: u64) -> usize {
    vm.on_rejection_limit_statement(&entry(name, 1), statement, sent_at.map(Time), Time(now));
    vm.take_rejection_limit_changes().len()
}

/// Guards against a service that is loaded as one that bears any number of rejections, because only some servers say what they bear.
#[test]
fn the_smallest_limit_of_a_service_counts() {
    let mut vm = vm();
    assert_eq!(vm.rejection_limit(&service("app")), None);
    assert_eq!(state(&mut vm, "a-1", Named(Rate(5.0)), Some(0), 100), 1);
    assert_eq!(
        state(&mut vm, "a-2", Named(Rate(2.0)), None, 100),
        1,
        "a rejection says so too"
    );
    assert_eq!(
        state(&mut vm, "a-2", Named(Rate(2.0)), Some(100), 200),
        0,
        "nothing new to log"
    );
    assert_eq!(vm.rejection_limit(&service("app")), Some(Rate(2.0)));
    assert_eq!(vm.brittle_endpoints(), 2);
    for (limit, sent_at) in [(0.0, 200), (1.0, 400), (1e300, 600)] {
        state(&mut vm, "a-2", Named(Rate(limit)), Some(sent_at), sent_at + 100);
        assert_eq!(vm.rejection_limit(&service("app")), Some(Rate(limit.min(5.0))));
    }
}

/// Guards against a limit that ends by a response that was under way when it was named, or by one that is not the endpoint's own.
#[test]
fn a_limit_ends_with_a_response_to_a_later_request() {
    let mut vm = vm();
    state(&mut vm, "a-1", Named(Rate(3.0)), Some(50), 100);
    assert_eq!(state(&mut vm, "a-1", NotNamed, Some(90), 150), 0);
    assert_eq!(state(&mut vm, "a-1", NotNamed, None, 160), 0);
    assert_eq!(vm.rejection_limit(&service("app")), Some(Rate(3.0)));
    assert_eq!(state(&mut vm, "a-1", NotNamed, Some(120), 170), 1);
    assert_eq!(vm.rejection_limit(&service("app")), None);
    assert_eq!(state(&mut vm, "a-1", NotNamed, Some(180), 190), 0, "nothing new to log");
}

/// Guards against a limit that is lost because a response states it in a way that cannot be decoded.
#[test]
fn a_malformed_limit_changes_nothing() {
    let mut vm = vm();
    state(&mut vm, "a-1", Named(Rate(3.0)), Some(50), 100);
    assert_eq!(state(&mut vm, "a-1", Malformed, Some(110), 150), 1);
    assert_eq!(state(&mut vm, "a-1", Malformed, Some(110), 160), 0, "logged once");
    assert_eq!(vm.rejection_limit(&service("app")), Some(Rate(3.0)));
    assert_eq!(state(&mut vm, "a-2", Malformed, Some(110), 150), 1);
    assert_eq!(vm.brittle_endpoints(), 1);
}

/// Guards against the limit of an incarnation that has ended, and of one that is gone.
#[test]
fn a_limit_belongs_to_an_incarnation() {
    let mut vm = vm();
    state(&mut vm, "a-1", Named(Rate(3.0)), Some(50), 100);
    register(&mut vm, entry("a-1", 2), Time(200));
    assert_eq!(vm.rejection_limit(&service("app")), None);
    vm.on_rejection_limit_statement(&entry("a-1", 2), Named(Rate(4.0)), Some(Time(250)), Time(300));
    state(&mut vm, "a-1", Named(Rate(3.0)), Some(150), 310);
    assert_eq!(
        vm.rejection_limit(&service("app")),
        Some(Rate(4.0)),
        "a late response of the earlier one"
    );
    vm.apply(StoreRecord::Endpoint(entry("a-1", 2).id, None), Time(400));
    vm.tick(Time(500));
    assert_eq!((vm.rejection_limit(&service("app")), vm.brittle_endpoints()), (None, 0));
}

/// Returns whether a VM sends a request to an endpoint without a coordinator's answer.
fn sends(vm: &mut Relay, name: &str, now: u64) -> bool {
    let admitted = admit(vm, "read", None, Time(now));
    let attempt = vm.start_attempt(&admitted, &entry(name, 1), None, Time(now));
    attempt.is_some()
}

/// Guards against a VM that fills the queue of an endpoint, because only another VM was told, or only by another endpoint of the
/// service; and against one that goes on holding back when that is over.
#[test]
fn a_limit_is_known_to_vms_and_holds_for_endpoints_that_have_not_named_it() {
    let (mut told, mut other) = (vm(), relay_of("vm-1"));
    register(&mut other, entry("a-1", 1), Time(0));
    register(&mut other, entry("a-2", 1), Time(0));
    state(&mut told, "a-1", Named(Rate(0.0)), Some(2_900), 3_000);
    assert!(sends(&mut other, "a-2", 3_000), "it has not heard of the limit");
    let to = row("vm-1", "north");
    other.on_heartbeat(told.heartbeat(Some(&to), Time(3_100)), Time(3_100));
    assert_eq!(other.rejection_limit(&service("app")), Some(Rate(0.0)));
    assert_eq!(other.take_rejection_limit_changes().len(), 1);
    for name in ["a-1", "a-2"] {
        assert!(!sends(&mut other, name, 3_200), "{name} without a coordinator");
    }
    state(&mut told, "a-1", NotNamed, Some(6_000), 6_100);
    other.tick(Time(5_000));
    other.tick(Time(6_000));
    other.tick(Time(7_000));
    other.on_heartbeat(told.heartbeat(Some(&to), Time(7_900)), Time(7_900));
    assert_eq!(other.rejection_limit(&service("app")), None);
    assert!(sends(&mut other, "a-1", 8_000) && sends(&mut other, "a-2", 8_000));
}

/// Guards against heartbeats that grow for services that are not brittle.
#[test]
fn nothing_is_reported_while_no_endpoint_is_brittle() {
    let mut vm = vm();
    for sent_at in [0, 1_000] {
        state(&mut vm, "a-1", NotNamed, Some(sent_at), sent_at + 50);
    }
    assert!(
        vm.heartbeat(Some(&row("vm-1", "north")), Time(2_000))
            .rate_limits
            .is_empty()
    );
}
