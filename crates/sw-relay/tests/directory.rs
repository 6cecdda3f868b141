//! Entry VMs that are named to callers.

mod support;

use std::sync::Arc;

use support::{HOST, admit, heartbeat, relay, row};
use sw_member::VmRow;
use sw_relay::{EntryQuery, Relay, RouteKind, RouteTable, StoreRecord};
use sw_unit::{DomainId, RegionId, Time, Version};

fn entries(relay: &Relay, region: &str, now: Time) -> Vec<String> {
    let region_id: RegionId = region.parse().expect("an id");
    let domain: DomainId = region.parse().expect("an id");
    let query = EntryQuery {
        region: Some(&region_id),
        domain: Some(&domain),
        host: Some(HOST),
    };
    let rows = relay.entry_vms(query, now);
    rows.into_iter().map(|row| row.vm.to_string()).collect()
}

#[test]
fn callers_get_the_live_vms_of_their_region() {
    let mut relay = relay();
    relay.on_heartbeat(heartbeat(row("vm-1", "north"), Vec::new()), Time(100));
    relay.on_heartbeat(heartbeat(row("vm-2", "south"), Vec::new()), Time(100));
    assert_eq!(entries(&relay, "north", Time(200)), ["vm-0", "vm-1"]);
    assert_eq!(entries(&relay, "south", Time(200)), ["vm-2"]);
    assert_eq!(
        entries(&relay, "north", Time(3_000)),
        ["vm-0"],
        "a VM without recent heartbeats is not named"
    );
}

#[test]
fn callers_of_a_region_without_vms_get_those_where_most_requests_may_run() {
    let mut relay = relay();
    relay.on_heartbeat(heartbeat(row("vm-2", "south"), Vec::new()), Time(100));
    relay.on_heartbeat(heartbeat(row("vm-3", "west"), Vec::new()), Time(100));
    // The idle route is permitted only in the west, the busy one in north and south.
    for _ in 0..20 {
        admit(&mut relay, "query", None, Time(150));
    }
    assert_eq!(entries(&relay, "east", Time(200)), ["vm-0", "vm-2"]);
}

/// The row of a VM that is in a planned stop.
fn stopping_row(name: &str, region: &str) -> VmRow {
    VmRow {
        leaving: true,
        ..row(name, region)
    }
}

/// Guards against callers that are led to a region in which their requests may not run while the VMs of all others are in
/// planned stops that overlap.
#[test]
fn vms_in_a_planned_stop_are_named_before_those_of_a_region_that_may_not_serve() {
    let mut relay = support::relay_in("vm-w", "west");
    for vm in [stopping_row("vm-0", "north"), stopping_row("vm-2", "south")] {
        relay.on_heartbeat(heartbeat(vm, Vec::new()), Time(100));
    }
    // The busy route is permitted in north and south only, the idle one in the west only.
    for _ in 0..20 {
        admit(&mut relay, "query", None, Time(150));
    }
    assert_eq!(entries(&relay, "south", Time(200)), ["vm-2"], "its own region accepts");
    assert_eq!(entries(&relay, "east", Time(200)), ["vm-0", "vm-2"]);
    assert_eq!(entries(&relay, "west", Time(200)), ["vm-w"]);
    assert_eq!(
        entries(&relay, "south", Time(3_000)),
        ["vm-w"],
        "a VM without recent heartbeats no longer accepts"
    );
    relay.on_heartbeat(heartbeat(row("vm-1", "north"), Vec::new()), Time(3_100));
    relay.on_heartbeat(heartbeat(stopping_row("vm-2", "south"), Vec::new()), Time(3_100));
    assert_eq!(
        entries(&relay, "south", Time(3_200)),
        ["vm-1"],
        "a live VM that may serve comes first"
    );
}

/// Guards against callers of a host that are led to VMs in planned stops although live ones may serve nearly all of it.
#[test]
fn live_vms_are_named_before_those_in_a_planned_stop_if_they_may_serve_nearly_all_requests() {
    let mut relay = support::relay_in("vm-w", "west");
    relay.on_heartbeat(heartbeat(stopping_row("vm-2", "south"), Vec::new()), Time(100));
    // A small share of the requests is permitted in the south and not in the west.
    for index in 0..200 {
        let route = if index % 50 == 0 { "query" } else { "read" };
        admit(&mut relay, route, None, Time(150));
    }
    assert_eq!(entries(&relay, "south", Time(200)), ["vm-w"]);
}

#[test]
fn starting_vm_that_knows_no_other_names_none() {
    let mut relay = relay();
    assert_eq!(entries(&relay, "south", Time(300)), Vec::<String>::new());
    relay.on_heartbeat(heartbeat(row("vm-2", "south"), Vec::new()), Time(400));
    assert_eq!(entries(&relay, "south", Time(500)), ["vm-2"]);
    let alone = support::relay();
    assert_eq!(
        entries(&alone, "south", Time(2_100)),
        ["vm-0"],
        "a VM that remains alone names itself"
    );
}

/// Guards against HOME: a VM that has no configuration yet names VMs of any region to callers whose region it has not heard from, so that
/// bodies are sent to regions in which they may not run.
#[test]
fn a_vm_without_a_configuration_names_no_vms_of_other_regions() {
    let mut relay = Relay::new(support::options(row("vm-0", "north")));
    relay.on_heartbeat(heartbeat(row("vm-1", "west"), Vec::new()), Time(100));
    assert!(entries(&relay, "south", Time(200)).is_empty());
    assert_eq!(entries(&relay, "west", Time(200)), ["vm-1"]);
    relay.on_heartbeat(heartbeat(row("vm-2", "south"), Vec::new()), Time(300));
    assert_eq!(entries(&relay, "south", Time(400)), ["vm-2"]);
}

/// Guards against HOME: callers are led to another region by a change of the regions of their requests, although theirs has live VMs.
#[test]
fn callers_stay_in_their_region_whatever_the_configuration_permits() {
    let mut relay = relay();
    relay.on_heartbeat(heartbeat(row("vm-2", "south"), Vec::new()), Time(100));
    for (version, regions) in [(2, &["south"][..]), (3, &[]), (4, &["west"]), (5, &["north", "west"])] {
        let known = support::table(1);
        let routes = vec![support::route("read", RouteKind::Idempotent, "app", regions)];
        let table = RouteTable::new(Version(version), routes, known.services.clone(), known.limits);
        relay.apply(StoreRecord::Table(Arc::new(table)), Time(200));
        assert_eq!(entries(&relay, "north", Time(300)), ["vm-0"]);
        assert_eq!(entries(&relay, "south", Time(300)), ["vm-2"]);
    }
}
