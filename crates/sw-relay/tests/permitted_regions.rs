//! Regions in which a request may run, or to which its body may be sent, while the configuration changes.
//!
//! Guards against HOME: a request is admitted by one version and sent after a newer one is in force, which permits other
//! regions.

mod support;

use std::sync::Arc;

use proptest::prelude::*;
use sw_error::Kind;
use sw_relay::{
    AdmittedRequest, AttemptHistory, AttemptOutcome, Choice, EndpointEntry, Relay, Route, RouteKind, RouteTable,
    ServiceLoad, StoreRecord,
};
use sw_unit::{Incarnation, Millis, RegionId, Time, Version};

use support::{admit, endpoint, head, heartbeat, prompt, register, relay, row, service, table};

/// Time for which a version that another VM runs may be on its way, as in any change.
const GRACE: Millis = Millis(500);
const REGIONS: [&str; 3] = ["north", "south", "west"];

/// A version in which the routes of the small deployment are replaced by these.
fn version(number: u64, routes: Vec<Route>) -> RouteTable {
    let known = table(1);
    RouteTable::new(Version(number), routes, known.services.clone(), known.limits)
}

/// A version whose only routes are those of `read` requests and `digest` streams, in these regions.
fn bound(number: u64, regions: &[&str]) -> RouteTable {
    let routes = vec![
        support::route("read", RouteKind::Idempotent, "app", regions),
        support::route("digest", RouteKind::Resumable, "engines", regions),
    ];
    version(number, routes)
}

fn apply(relay: &mut Relay, table: RouteTable, now: Time) {
    relay.apply(StoreRecord::Table(Arc::new(table)), now);
}

/// Receives a heartbeat of a VM of another region that has idle endpoints and runs the version `number`.
fn hear(relay: &mut Relay, region: &str, number: u64, now: Time) {
    let load = |name| ServiceLoad {
        service: service(name),
        usable: 2,
        wait_ms: 0.0,
        gap_ms: 45.0,
    };
    let mut from = row(&format!("vm-{region}"), region);
    from.version = Version(number);
    relay.on_heartbeat(heartbeat(from, vec![load("app"), load("engines")]), now);
}

/// A VM of the north that runs version 2, in which all requests are bound to `regions`, and that hears the south and the west.
fn vm(regions: &[&str]) -> Relay {
    let mut relay = relay();
    apply(&mut relay, bound(2, regions), Time(0));
    hear(&mut relay, "south", 2, Time(0));
    hear(&mut relay, "west", 2, Time(0));
    relay
}

fn with_local_endpoint(mut relay: Relay) -> (Relay, EndpointEntry) {
    let entry = endpoint("n-1", "app", "north");
    register(&mut relay, entry.clone(), Time(0));
    (relay, entry)
}

fn region_of(choice: &Choice) -> &str {
    choice.remote_region().map_or("north", RegionId::as_str)
}

/// Returns the region that a request is sent to next.
fn target(relay: &mut Relay, admitted: &AdmittedRequest, now: Time) -> Result<String, Kind> {
    let choice = relay.choose(admitted, &AttemptHistory::default(), now);
    choice
        .map(|choice| region_of(&choice).to_owned())
        .map_err(|refusal| refusal.kind)
}

/// Guards against HOME: a request that has waited is forwarded to a region that has left the permitted ones.
#[test]
fn a_request_is_not_forwarded_to_a_region_that_is_no_longer_permitted() {
    let mut relay = vm(&["south"]);
    let admitted = admit(&mut relay, "read", None, Time(10));
    assert_eq!(target(&mut relay, &admitted, Time(10)), Ok("south".to_owned()));
    apply(&mut relay, bound(3, &["west"]), Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(30)), Err(Kind::NoEndpoint));
    let later = admit(&mut relay, "read", None, Time(40));
    assert_eq!(target(&mut relay, &later, Time(40)), Ok("west".to_owned()));
}

/// Guards against HOME: a request that has waited runs in the local region, which has left the permitted ones.
#[test]
fn a_request_does_not_run_in_the_local_region_once_it_is_no_longer_permitted() {
    let (mut relay, entry) = with_local_endpoint(vm(&["north", "south"]));
    let admitted = admit(&mut relay, "read", None, Time(10));
    assert_eq!(target(&mut relay, &admitted, Time(10)), Ok("north".to_owned()));
    apply(&mut relay, bound(3, &["south"]), Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(30)), Ok("south".to_owned()));
    assert!(
        relay.start_attempt(&admitted, &entry, None, Time(30)).is_none(),
        "the endpoint was chosen before the change"
    );
}

/// Guards against HOME: a stream that breaks off is continued in a region that has left the permitted ones meanwhile.
#[test]
fn a_stream_is_not_continued_in_a_region_that_is_no_longer_permitted() {
    let mut relay = vm(&["north", "south"]);
    let engine = endpoint("e-1", "engines", "north");
    register(&mut relay, engine.clone(), Time(0));
    let admitted = admit(&mut relay, "digest", Some(prompt(1, 0, 500)), Time(10));
    let mut attempt = relay
        .start_attempt(&admitted, &engine, None, Time(10))
        .expect("an attempt");
    relay.on_first_event(&mut attempt, Time(300));
    apply(&mut relay, bound(3, &["north"]), Time(400));
    relay.end_attempt(&attempt, AttemptOutcome::Broken, Time(2_000));
    relay.apply(StoreRecord::Endpoint(engine.id.clone(), None), Time(2_000));
    hear(&mut relay, "south", 3, Time(2_000));
    let mut history = AttemptHistory::default();
    history.record_endpoint(&engine.id, Some(AttemptOutcome::Broken));
    assert!(relay.withdraw_retry(&admitted, &history));
    let choice = relay.choose(&admitted, &history, Time(2_000));
    assert!(
        choice.as_ref().is_ok_and(|choice| choice.remote_region().is_none()) || choice.is_err(),
        "{choice:?}"
    );
}

/// Guards against HOME: a route with a longer prefix, in fewer regions, takes over requests that were admitted by a shorter one.
#[test]
fn a_more_specific_route_binds_requests_that_were_admitted_before_it() {
    let mut relay = relay();
    hear(&mut relay, "south", 1, Time(0));
    let admitted = admit(&mut relay, "read", None, Time(10));
    assert_eq!(target(&mut relay, &admitted, Time(10)), Ok("south".to_owned()));
    let mut specific = support::route("read/x", RouteKind::Idempotent, "app", &["west"]);
    specific.prefix = "/read/x".to_owned();
    let general = support::route("read", RouteKind::Idempotent, "app", &[]);
    apply(&mut relay, version(3, vec![general, specific]), Time(20));
    hear(&mut relay, "south", 3, Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(30)), Err(Kind::NoEndpoint));
}

/// Guards against HOME: a region that joins is used for a request that the older version, which may be in force, keeps out.
#[test]
fn a_request_admitted_before_a_region_was_permitted_is_not_sent_there() {
    let mut relay = vm(&["west"]);
    let admitted = admit(&mut relay, "read", None, Time(10));
    apply(&mut relay, bound(3, &["south"]), Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(30)), Err(Kind::NoEndpoint));
    apply(&mut relay, bound(4, &["south", "west"]), Time(40));
    hear(&mut relay, "south", 4, Time(40));
    hear(&mut relay, "west", 4, Time(40));
    assert_eq!(target(&mut relay, &admitted, Time(50)), Ok("west".to_owned()));
}

/// Guards against a request that is refused because its route is gone, although it was admitted before.
#[test]
fn a_request_whose_route_was_removed_keeps_its_regions() {
    let mut relay = vm(&["south"]);
    let admitted = admit(&mut relay, "read", None, Time(10));
    apply(&mut relay, version(3, Vec::new()), Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(30)), Ok("south".to_owned()));
}

/// Guards against HOME: an engine of a region that has left the permitted ones supplies cached parts of a prompt.
#[test]
fn cached_parts_do_not_come_from_a_region_that_is_no_longer_permitted() {
    let mut relay = vm(&["north", "south"]);
    let (near, far) = (endpoint("e-1", "engines", "north"), endpoint("e-2", "engines", "south"));
    register(&mut relay, near.clone(), Time(0));
    register(&mut relay, far.clone(), Time(0));
    let part_of = |relay: &mut Relay, now| admit(relay, "digest", Some(prompt(7, 13_000, 1_000)), now);
    let first = part_of(&mut relay, Time(10));
    let mut attempt = relay.start_attempt(&first, &far, None, Time(10)).expect("an attempt");
    relay.on_first_event(&mut attempt, Time(300));
    let admitted = part_of(&mut relay, Time(2_000));
    hear(&mut relay, "south", 2, Time(2_000));
    let source = |relay: &mut Relay, now| {
        let attempt = relay.start_attempt(&admitted, &near, None, now).expect("an attempt");
        relay.end_attempt(&attempt, AttemptOutcome::Cancelled, now);
        attempt.cache_source.map(|source| source.endpoint.id.to_string())
    };
    assert_eq!(source(&mut relay, Time(2_010)).as_deref(), Some("e-2"));
    apply(&mut relay, bound(3, &["north"]), Time(2_020));
    hear(&mut relay, "south", 3, Time(2_020));
    assert_eq!(source(&mut relay, Time(2_030)), None);
}

/// Guards against HOME: a VM that has missed a change forwards by its older version, and the body has crossed when the other VM,
/// which knows the change, refuses it.
#[test]
fn a_vm_that_hears_of_a_newer_version_does_not_forward_before_it_has_it() {
    let mut relay = vm(&["south"]);
    let admitted = admit(&mut relay, "read", None, Time(10));
    hear(&mut relay, "west", 3, Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(20) + GRACE), Err(Kind::NoEndpoint));
    apply(&mut relay, bound(3, &["south"]), Time(600));
    assert_eq!(target(&mut relay, &admitted, Time(610)), Ok("south".to_owned()));
}

/// Guards against HOME: a VM that was paused forwards by the version that it had before, without having heard anyone since.
#[test]
fn a_vm_that_was_paused_does_not_forward_before_it_has_caught_up() {
    let mut relay = vm(&["south"]);
    for step in 0..4 {
        relay.tick(Time(step * 500));
    }
    hear(&mut relay, "south", 2, Time(1_500));
    let admitted = admit(&mut relay, "read", None, Time(1_600));
    assert_eq!(target(&mut relay, &admitted, Time(1_600)), Ok("south".to_owned()));
    hear(&mut relay, "south", 2, Time(6_000));
    assert_eq!(target(&mut relay, &admitted, Time(6_000)), Err(Kind::NoEndpoint));
    relay.tick(Time(6_010));
    assert_eq!(target(&mut relay, &admitted, Time(6_500)), Err(Kind::NoEndpoint));
    relay.tick(Time(6_510));
    relay.tick(Time(7_010));
    hear(&mut relay, "south", 2, Time(7_020));
    assert_eq!(target(&mut relay, &admitted, Time(7_020)), Ok("south".to_owned()));
}

/// Guards against a VM that never forwards again, because one that has restarted ran a version before that nobody else has.
#[test]
fn a_vm_that_restarted_with_an_older_version_does_not_stop_forwards_for_good() {
    let mut relay = vm(&["south"]);
    let admitted = admit(&mut relay, "read", None, Time(10));
    hear(&mut relay, "west", 3, Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(20) + GRACE), Err(Kind::NoEndpoint));
    let mut restarted = row("vm-west", "west");
    restarted.incarnation = Incarnation(2);
    restarted.version = Version(2);
    for second in 1..=10 {
        relay.on_heartbeat(heartbeat(restarted.clone(), Vec::new()), Time(second * 1_000));
        hear(&mut relay, "south", 2, Time(second * 1_000));
    }
    let later = admit(&mut relay, "read", None, Time(10_020));
    assert_eq!(target(&mut relay, &later, Time(10_020)), Ok("south".to_owned()));
}

fn regions() -> impl Strategy<Value = Vec<&'static str>> {
    proptest::sample::subsequence(REGIONS.to_vec(), 0..=REGIONS.len())
}

/// What happens to a VM and its waiting requests.
#[derive(Debug, Clone)]
enum Event {
    /// A request arrives, from a caller or from another VM.
    Arrives(bool),
    /// A version is written, in which requests are bound to these regions; it may be an older one that comes late.
    Written(u64, Vec<&'static str>),
    /// Another region says which version it runs.
    Heard(&'static str),
    /// All waiting requests are sent.
    Sent,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        any::<bool>().prop_map(Event::Arrives),
        (2_u64..12, regions()).prop_map(|(number, regions)| Event::Written(number, regions)),
        proptest::sample::select(vec!["south", "west"]).prop_map(Event::Heard),
        Just(Event::Sent),
    ]
}

fn allows(regions: &[&str], region: &str) -> bool {
    regions.is_empty() || regions.contains(&region)
}

proptest! {
    /// Guards against HOME: whatever changes between admission and sending, a request goes only to regions that both the version
    /// that admitted it and the newest one permit.
    #[test]
    fn requests_go_only_to_regions_that_both_versions_permit(events in prop::collection::vec(event(), 1..60)) {
        let (mut relay, entry) = with_local_endpoint(vm(&[]));
        let mut newest: (u64, Vec<&str>) = (2, Vec::new());
        let mut waiting: Vec<(AdmittedRequest, Vec<&str>)> = Vec::new();
        for (step, event) in (1..).zip(events) {
            let now = Time(step * 10);
            match event {
                Event::Arrives(forwarded) => {
                    if let Ok(admitted) = relay.admit(head("read", None), now, forwarded) {
                        waiting.push((admitted, newest.1.clone()));
                    } else {
                        prop_assert!(forwarded && !allows(&newest.1, "north"));
                    }
                }
                Event::Written(number, regions) => {
                    apply(&mut relay, bound(number, &regions), now);
                    if number > newest.0 {
                        newest = (number, regions);
                    }
                }
                Event::Heard(region) => hear(&mut relay, region, newest.0, now),
                Event::Sent => {
                    for (admitted, admitting) in &waiting {
                        let both = |region: &str| allows(admitting, region) && allows(&newest.1, region);
                        if let Ok(choice) = relay.choose(admitted, &AttemptHistory::default(), now) {
                            prop_assert!(both(region_of(&choice)), "{choice:?}");
                        }
                        if let Some(attempt) = relay.start_attempt(admitted, &entry, None, now) {
                            prop_assert!(both("north"), "an endpoint of the north");
                            relay.end_attempt(&attempt, AttemptOutcome::Complete, now);
                        }
                    }
                }
            }
        }
    }
}
