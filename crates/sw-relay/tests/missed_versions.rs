//! Requests of a VM that may have missed a version of the configuration, which binds them to other regions.

mod support;

use std::sync::Arc;

use sw_error::Kind;
use sw_relay::{
    AdmittedRequest, AttemptHistory, AttemptOutcome, Choice, Heartbeat, Relay, RouteKind, RouteTable, ServiceLoad,
    StoreRecord, StoreState,
};
use sw_unit::{Millis, RegionId, StoreEra, StorePosition, Time, Version};

use support::{admit, endpoint, head, heartbeat, options, prompt, register, relay, row, service, table};

/// Time for which a version that another VM runs may be on its way, as in any change.
const GRACE: Millis = Millis(500);

fn bound(number: u64, regions: &[&str]) -> RouteTable {
    let known = table(1);
    let routes = vec![
        support::route("read", RouteKind::Idempotent, "app", regions),
        support::route("digest", RouteKind::Resumable, "engines", regions),
    ];
    RouteTable::new(Version(number), routes, known.services.clone(), known.limits)
}

fn apply(relay: &mut Relay, table: RouteTable, now: Time) {
    relay.apply(StoreRecord::Table(Arc::new(table)), now);
}

/// The heartbeat of a VM that has idle endpoints and runs the version `number`.
fn beat(vm: &str, region: &str, number: u64) -> Heartbeat {
    let load = |name| ServiceLoad {
        service: service(name),
        usable: 2,
        wait_ms: 0.0,
        gap_ms: 45.0,
    };
    let mut from = row(vm, region);
    from.version = Version(number);
    heartbeat(from, vec![load("app"), load("engines")])
}

fn hear(relay: &mut Relay, region: &str, number: u64, now: Time) {
    relay.on_heartbeat(beat(&format!("vm-{region}"), region, number), now);
}

fn hear_neighbour(relay: &mut Relay, number: u64, now: Time) {
    relay.on_heartbeat(beat("vm-n2", "north", number), now);
}

fn vm(regions: &[&str]) -> Relay {
    let mut relay = relay();
    apply(&mut relay, bound(2, regions), Time(0));
    hear(&mut relay, "south", 2, Time(0));
    hear(&mut relay, "west", 2, Time(0));
    relay
}

fn target(relay: &mut Relay, admitted: &AdmittedRequest, now: Time) -> Result<String, Kind> {
    let choice = relay.choose(admitted, &AttemptHistory::default(), now);
    let region = |choice: &Choice| choice.remote_region().map_or("north", RegionId::as_str).to_owned();
    choice.as_ref().map(region).map_err(|refusal| refusal.kind)
}

/// Guards against HOME: a request runs in the local region by a version that this VM has long known to be outdated.
#[test]
fn a_vm_that_is_behind_does_not_run_bound_requests_in_its_region() {
    let mut relay = vm(&["north"]);
    register(&mut relay, endpoint("n-1", "app", "north"), Time(0));
    for step in 1..9 {
        hear_neighbour(&mut relay, 3, Time(step * 500));
    }
    let admitted = admit(&mut relay, "read", None, Time(4_100));
    assert_eq!(target(&mut relay, &admitted, Time(4_100)), Err(Kind::NoEndpoint));
}

/// Guards against HOME: a VM that is behind runs a request in its region although the version in force binds it, because the version
/// that admitted it did not.
#[test]
fn a_vm_that_is_behind_does_not_run_requests_that_were_bound_after_their_admission() {
    let mut relay = vm(&[]);
    register(&mut relay, endpoint("n-1", "app", "north"), Time(0));
    let admitted = admit(&mut relay, "read", None, Time(10));
    apply(&mut relay, bound(3, &["north"]), Time(20));
    hear_neighbour(&mut relay, 4, Time(30));
    assert_eq!(target(&mut relay, &admitted, Time(40)), Ok("north".to_owned()));
    assert_eq!(target(&mut relay, &admitted, Time(30) + GRACE), Err(Kind::NoEndpoint));
}

/// Guards against HOME: a VM that starts with an older copy runs bound requests as if the newer version, of which it heard before it
/// had the copy, had just been written.
#[test]
fn a_vm_that_starts_with_an_older_copy_does_not_run_bound_requests_in_its_region() {
    let mut local = row("vm-0", "north");
    local.version = Version(0);
    let mut relay = Relay::new(options(local));
    hear_neighbour(&mut relay, 3, Time(100));
    apply(&mut relay, bound(2, &["north"]), Time(1_400));
    register(&mut relay, endpoint("n-1", "app", "north"), Time(1_400));
    let admitted = admit(&mut relay, "read", None, Time(1_500));
    assert_eq!(target(&mut relay, &admitted, Time(1_500)), Err(Kind::NoEndpoint));
}

/// Guards against HOME: a VM that was paused for long runs requests, own or forwarded, in its region before it has heard anyone.
#[test]
fn a_vm_that_was_paused_does_not_run_bound_requests_in_its_region_before_it_has_caught_up() {
    let mut relay = vm(&["north"]);
    register(&mut relay, endpoint("n-1", "app", "north"), Time(0));
    for step in 0..4 {
        relay.tick(Time(step * 500));
    }
    let waiting = relay
        .admit(head("read", None), Time(6_000), true)
        .expect("by the old version");
    assert_eq!(target(&mut relay, &waiting, Time(6_000)), Err(Kind::NoEndpoint));
}

/// Guards against HOME: a VM to which no VM of another domain speaks does not learn from its neighbours that those run a newer version.
#[test]
fn a_vm_learns_from_its_neighbours_that_another_domain_runs_a_newer_version() {
    let mut relay = vm(&["south"]);
    let admitted = admit(&mut relay, "read", None, Time(10));
    let mut news = beat("vm-n2", "north", 2);
    let direct = beat("vm-west", "west", 3);
    news.known_vms = vec![direct.from];
    news.domains = direct.domains;
    relay.on_heartbeat(news, Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(20) + GRACE), Err(Kind::NoEndpoint));
}

/// Guards against HOME: a VM forwards again by the version that it knows to be outdated once the VM that told it falls silent.
#[test]
fn a_vm_does_not_forget_that_it_is_behind_when_the_other_vm_falls_silent() {
    let mut relay = vm(&["south"]);
    let admitted = admit(&mut relay, "read", None, Time(10));
    hear(&mut relay, "west", 3, Time(20));
    hear(&mut relay, "south", 2, Time(2_600));
    assert_eq!(target(&mut relay, &admitted, Time(2_610)), Err(Kind::NoEndpoint));
}

/// Guards against a VM that forwards nothing for good, bound or not, because another one runs a version that nobody hands over.
#[test]
fn a_version_that_cannot_be_copied_does_not_stop_unbound_forwards_for_good() {
    let mut relay = vm(&[]);
    let same = StoreState {
        position: StorePosition::new(StoreEra(0), 40),
        ..StoreState::default()
    };
    relay.set_store_state(same);
    let mut last = Err(Kind::NoEndpoint);
    for step in 1..1_200 {
        let now = Time(step * 500);
        let mut west = beat("vm-west", "west", 3);
        west.store = same;
        relay.on_heartbeat(west, now);
        hear(&mut relay, "south", 2, now);
        assert!(relay.peer_with_newer_version(now).is_none(), "it cannot be copied");
        let admitted = admit(&mut relay, "read", None, now);
        last = target(&mut relay, &admitted, now);
    }
    assert_eq!(last, Ok("south".to_owned()), "after ten minutes");
}

/// Guards against CONFIG: a VM that started after a restore copies the items of the era before it from a VM of an earlier build.
#[test]
fn a_newer_version_is_not_copied_from_a_vm_that_knows_no_eras() {
    let mut relay = vm(&["south"]);
    relay.set_store_state(StoreState {
        position: StorePosition::new(StoreEra(2), 100),
        knows_eras: true,
        knows_placements: true,
        ..StoreState::default()
    });
    let mut earlier_build = beat("vm-west", "west", 3);
    earlier_build.store.position = StorePosition::new(StoreEra(0), 500);
    relay.on_heartbeat(earlier_build, Time(20));
    assert_eq!(relay.peer_with_newer_version(Time(30)), None);
}

/// Guards against HOME: a VM that is behind names an engine of a region that may have left as the source of cached parts.
#[test]
fn a_vm_that_is_behind_takes_no_cached_parts_from_another_region() {
    let mut relay = vm(&[]);
    let (near, far) = (endpoint("e-1", "engines", "north"), endpoint("e-2", "engines", "south"));
    register(&mut relay, near.clone(), Time(0));
    register(&mut relay, far.clone(), Time(0));
    let part_of = |relay: &mut Relay, now| admit(relay, "digest", Some(prompt(7, 13_000, 1_000)), now);
    let first = part_of(&mut relay, Time(10));
    let mut attempt = relay.start_attempt(&first, &far, None, Time(10)).expect("an attempt");
    relay.on_first_event(&mut attempt, Time(300));
    relay.end_attempt(&attempt, AttemptOutcome::Complete, Time(400));
    let admitted = part_of(&mut relay, Time(2_000));
    hear(&mut relay, "south", 2, Time(2_000));
    hear_neighbour(&mut relay, 3, Time(2_000));
    let attempt = relay
        .start_attempt(&admitted, &near, None, Time(2_000) + GRACE)
        .expect("an attempt");
    assert_eq!(attempt.cache_source.map(|source| source.endpoint.id.to_string()), None);
}

/// Guards against HOME: a VM goes on forwarding, for the time that an ordinary change takes, although a refusal has shown that a newer
/// version does not permit it.
#[test]
fn a_refusal_by_a_newer_version_shows_at_once_that_a_version_was_missed() {
    let mut relay = vm(&["south"]);
    let admitted = admit(&mut relay, "read", None, Time(10));
    relay.on_forward_refused(Kind::NoEndpoint, Version(3), Time(20));
    assert_eq!(target(&mut relay, &admitted, Time(30)), Ok("south".to_owned()));
    relay.on_forward_refused(Kind::WrongRegion, Version(3), Time(40));
    assert_eq!(target(&mut relay, &admitted, Time(40)), Err(Kind::NoEndpoint));
    apply(&mut relay, bound(3, &["south"]), Time(100));
    assert_eq!(target(&mut relay, &admitted, Time(100)), Ok("south".to_owned()));
}

/// Guards against a VM that holds its requests back because one that is behind, or of an earlier build, refused one of them.
#[test]
fn a_refusal_by_an_older_version_holds_nothing_back() {
    for refused_by in [0, 1, 2] {
        let mut relay = vm(&["south"]);
        let admitted = admit(&mut relay, "read", None, Time(10));
        relay.on_forward_refused(Kind::WrongRegion, Version(refused_by), Time(20));
        assert_eq!(target(&mut relay, &admitted, Time(20) + GRACE), Ok("south".to_owned()));
    }
}

/// Guards against HOME: a VM that had given up waiting for a version forwards again although a VM that runs it refuses.
#[test]
fn a_refusal_shows_that_a_version_that_was_given_up_is_still_in_force() {
    let mut relay = vm(&["south"]);
    hear(&mut relay, "west", 3, Time(20));
    hear(&mut relay, "south", 2, Time(11_000));
    let admitted = admit(&mut relay, "read", None, Time(11_000));
    assert_eq!(target(&mut relay, &admitted, Time(11_000)), Ok("south".to_owned()));
    relay.on_forward_refused(Kind::WrongRegion, Version(3), Time(11_010));
    assert_eq!(target(&mut relay, &admitted, Time(11_020)), Err(Kind::NoEndpoint));
}

/// Another VM of the north, which runs version 2, in which all requests are bound to `regions`.
fn neighbour(name: &str, regions: &[&str]) -> Relay {
    let mut relay = support::relay_of(name);
    apply(&mut relay, bound(2, regions), Time(0));
    relay
}

/// Delivers a heartbeat from one VM to another.
fn tell(from: &Relay, to: &mut Relay, now: Time) {
    let heartbeat = from.heartbeat(Some(to.members().local()), now);
    to.on_heartbeat(heartbeat, now);
}

/// Guards against HOME: a failure domain has lost the store, and its VMs that nobody of another domain calls go on by the version that the
/// delegate knows to be outdated, until it has copied the newer one.
#[test]
fn a_vm_learns_from_its_neighbour_that_there_is_a_version_that_neither_has() {
    let (mut delegate, mut other) = (vm(&["north"]), neighbour("vm-n2", &["north"]));
    register(&mut other, endpoint("n-1", "app", "north"), Time(0));
    hear(&mut delegate, "west", 3, Time(20));
    tell(&delegate, &mut other, Time(400));
    let admitted = admit(&mut other, "read", None, Time(410));
    assert_eq!(target(&mut other, &admitted, Time(410)), Ok("north".to_owned()));
    assert_eq!(target(&mut other, &admitted, Time(20) + GRACE), Err(Kind::NoEndpoint));
}

/// Guards against VMs that hold their requests back for good because they tell each other of a version that ended with the VM that ran it.
#[test]
fn vms_do_not_tell_each_other_of_a_lost_version_for_good() {
    let (mut first, mut second) = (vm(&["north"]), neighbour("vm-n2", &["north"]));
    register(&mut first, endpoint("n-1", "app", "north"), Time(0));
    register(&mut second, endpoint("n-1", "app", "north"), Time(0));
    hear(&mut first, "west", 3, Time(20));
    for step in 1..24 {
        tell(&first, &mut second, Time(step * 500));
        tell(&second, &mut first, Time(step * 500));
    }
    for relay in [&mut first, &mut second] {
        let admitted = admit(relay, "read", None, Time(12_100));
        assert_eq!(target(relay, &admitted, Time(12_100)), Ok("north".to_owned()));
    }
}
