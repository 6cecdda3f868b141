//! What a VM does when the platform's store was restored from an older copy.

mod support;

use std::sync::Arc;

use support::{endpoint, heartbeat, relay, row, service};
use sw_relay::{Relay, Replication, ServiceSoftware, SoftwareVersion, StoreRecord, StoreState, StreamOrigin};
use sw_unit::{Millis, StoreEra, StorePosition, Time};

/// Time at which a VM without neighbours knows that it is alone, and writes for its region.
const JOINED: Time = Time(3_000);

fn software(name: &str) -> SoftwareVersion {
    name.parse().expect("a version")
}

/// Returns a VM that serves engines of two versions and has recorded both.
fn writer() -> Relay {
    let mut relay = relay();
    for (name, version) in [("e-1", "old"), ("e-2", "new")] {
        let mut entry = endpoint(name, "engines", "north");
        entry.software = Some(software(version));
        relay.apply(StoreRecord::Endpoint(entry.id.clone(), Some(entry)), JOINED);
    }
    let recorded = ServiceSoftware {
        service: service("engines"),
        versions: vec![Some(software("old")), Some(software("new"))],
    };
    relay.apply(StoreRecord::Software(vec![recorded]), JOINED);
    relay.set_store_state(StoreState {
        position: StorePosition::new(StoreEra(1), 5),
        retains: false,
        followed: StorePosition::default(),
        knows_eras: true,
        knows_placements: true,
    });
    relay
}

/// Guards against VMs that copy from a VM of an earlier era because its revision is higher, and against VMs of the build
/// before whose mirrors are not used.
#[test]
fn a_higher_revision_is_newer_only_within_an_era() {
    let mut relay = writer();
    let hear = |relay: &mut Relay, era: u64, revision: u64, knows_eras: bool| {
        let mut beat = heartbeat(row("vm-9", "north"), Vec::new());
        beat.store = StoreState {
            position: StorePosition::new(StoreEra(era), revision),
            retains: false,
            followed: StorePosition::default(),
            knows_eras,
            knows_placements: true,
        };
        relay.on_heartbeat(beat, JOINED);
        relay.peer_with_newer_position(JOINED).is_some()
    };
    assert!(hear(&mut relay, 2, 4, true));
    assert!(!hear(&mut relay, 0, 9, true));
    assert!(!hear(&mut relay, 0, 4, false));
    assert!(hear(&mut relay, 0, 9, false));
    relay.on_store_restored(false, JOINED);
    assert!(!hear(&mut relay, 0, 9, false));
}

/// Guards against a watcher that had not seen the last changes when the store was restored, and never gets what the others
/// retain of them.
#[test]
fn a_vm_that_lagged_copies_from_one_that_followed_the_earlier_era_further() {
    let mut relay = writer();
    let state = |followed: u64| StoreState {
        position: StorePosition::new(StoreEra(2), 5),
        retains: true,
        followed: StorePosition::new(StoreEra(1), followed),
        knows_eras: true,
        knows_placements: true,
    };
    let mut beat = heartbeat(row("vm-9", "north"), Vec::new());
    beat.store = state(9);
    relay.on_heartbeat(beat, JOINED);
    relay.set_store_state(state(7));
    assert!(relay.peer_that_retains(JOINED).is_some());
    relay.set_store_state(state(9));
    assert!(relay.peer_that_retains(JOINED).is_none(), "nothing more is to be had");
}

/// Guards against streams that are refused after all VMs have ended, because the store had lost the recorded versions.
#[test]
fn recorded_versions_are_written_again_until_the_store_shows_them() {
    let mut relay = writer();
    assert_eq!(relay.unrecorded_software(JOINED), None);
    assert_eq!(relay.on_store_restored(false, JOINED).services, 1);
    let recorded = relay.unrecorded_software(JOINED).expect("it is written again");
    relay.apply(StoreRecord::Software(recorded), JOINED);
    assert_eq!(relay.unrecorded_software(JOINED), None);
}

/// Guards against writes, and so calls of all watchers, for a record that the copy has as well.
#[test]
fn recorded_versions_that_the_store_still_has_are_not_written_again() {
    let mut relay = writer();
    assert_eq!(relay.on_store_restored(true, JOINED).services, 0);
    assert_eq!(relay.unrecorded_software(JOINED), None);
}

/// Guards against streams that are refused after all VMs have ended, because the store had lost their origins.
#[test]
fn origins_are_written_again_in_bounded_batches() {
    const STREAMS: usize = 700;
    let mut relay = writer();
    for index in 0..STREAMS {
        let origin = StreamOrigin {
            stream: Arc::from(format!("stream-{index}")),
            service: service("engines"),
            software: software("old"),
        };
        relay.record_origin(origin, Replication::Written, JOINED);
    }
    assert!(relay.take_unwritten_origins(JOINED).is_empty());
    assert_eq!(relay.on_store_restored(false, JOINED).streams, STREAMS);
    let first = relay.take_unwritten_origins(JOINED).len();
    let second = relay.take_unwritten_origins(JOINED).len();
    assert!(first < STREAMS, "one write has all {first} origins");
    assert_eq!(first + second, STREAMS);
}

/// Guards against a VM that the store does not answer, and that does not notice what others have learned since.
#[test]
fn a_vm_knows_for_how_long_others_have_been_ahead_of_it() {
    let mut relay = writer();
    let at = |revision: u64| StoreState {
        position: StorePosition::new(StoreEra(1), revision),
        knows_eras: true,
        ..StoreState::default()
    };
    let hear = |relay: &mut Relay, vm: &str, revision: u64, now: Time| {
        let mut beat = heartbeat(row(vm, "north"), Vec::new());
        beat.store = at(revision);
        relay.on_heartbeat(beat, now);
    };
    relay.set_store_state(at(5));
    hear(&mut relay, "vm-8", 5, JOINED);
    assert_eq!(relay.position_behind_for(JOINED), None);
    hear(&mut relay, "vm-9", 7, JOINED);
    hear(&mut relay, "vm-9", 9, JOINED + Millis(400));
    assert_eq!(relay.position_behind_for(JOINED + Millis(500)), Some(Millis(500)));
    let peer = relay.peer_to_catch_up_from(JOINED + Millis(500)).expect("a VM");
    assert_eq!(peer.vm.as_str(), "vm-9");
    relay.set_store_state(at(7));
    assert_eq!(
        relay.position_behind_for(JOINED + Millis(600)),
        None,
        "it has reached what it waited for"
    );
    hear(&mut relay, "vm-9", 9, JOINED + Millis(900));
    assert_eq!(relay.position_behind_for(JOINED + Millis(1_000)), Some(Millis(100)));
}

/// Guards against a domain whose VMs have all lost the store and ask the same VM for changes.
#[test]
fn vms_that_are_behind_catch_up_from_different_vms() {
    let mut asked = std::collections::HashSet::new();
    for index in 0..20 {
        let mut relay = support::relay_of(&format!("vm-{index}"));
        for peer in 30..40 {
            let mut beat = heartbeat(row(&format!("vm-{peer}"), "north"), Vec::new());
            beat.store.position = StorePosition::new(StoreEra(1), 7);
            beat.store.knows_eras = true;
            relay.on_heartbeat(beat, JOINED);
        }
        asked.insert(relay.peer_to_catch_up_from(JOINED).expect("a VM").vm.clone());
    }
    assert!(asked.len() > 3, "{asked:?}");
}
