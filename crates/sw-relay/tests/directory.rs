//! Entry VMs that are named to callers.

mod support;

use support::{HOST, admit, heartbeat, relay, row};
use sw_relay::{EntryQuery, Relay};
use sw_unit::{DomainId, RegionId, Time};

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
