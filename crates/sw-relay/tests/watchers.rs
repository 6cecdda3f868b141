//! Following the store through few VMs.
//!
//! The pattern: a failure domain of many VMs, each of whose calls to the store is paid for.

mod support;

use std::collections::HashMap;

use support::{heartbeat, relay_of, row};
use sw_relay::{Relay, StoreSource};
use sw_unit::{Time, VmId};

const NOW: Time = Time(3_000);
/// VMs of a failure domain that follow the store themselves.
const WATCHERS: usize = 3;

fn name(vm: usize) -> String {
    format!("vm-{vm:03}")
}

/// A VM of a domain of `vms` that has heard of all of them.
fn vm(place: usize, vms: usize) -> Relay {
    let mut relay = relay_of(&name(place));
    for other in (0..vms).filter(|other| *other != place) {
        relay.on_heartbeat(heartbeat(row(&name(other), "north"), Vec::new()), NOW);
    }
    relay
}

fn source(place: usize, vms: usize) -> StoreSource {
    vm(place, vms).store_source(NOW)
}

#[test]
fn a_small_domain_needs_no_watchers() {
    for vms in 1..=WATCHERS {
        for place in 0..vms {
            assert_eq!(source(place, vms), StoreSource::Watcher, "{place} of {vms}");
        }
    }
}

#[test]
fn calls_to_the_store_do_not_grow_with_the_domain_and_followers_are_spread() {
    for vms in [11, 33, 120] {
        let sources: Vec<_> = (0..vms).map(|place| source(place, vms)).collect();
        let own = sources.iter().filter(|source| **source == StoreSource::Watcher);
        assert_eq!(own.count(), WATCHERS, "of {vms}");
        let mut followers: HashMap<&VmId, usize> = HashMap::new();
        for source in &sources {
            if let StoreSource::ViaWatcher { vm, .. } = source {
                *followers.entry(vm).or_default() += 1;
            }
        }
        let most = followers.values().max().copied().unwrap_or_default();
        assert!(most <= vms * 2 / 3, "{most} of {vms} follow through one");
    }
}

#[test]
fn a_vm_whose_watchers_do_not_help_follows_the_store_itself_for_a_while() {
    let vms = 33;
    let follower = (0..vms).find(|place| source(*place, vms) != StoreSource::Watcher);
    let mut relay = vm(follower.expect("a follower"), vms);
    let mut failed = Vec::new();
    while let StoreSource::ViaWatcher { vm, .. } = relay.store_source(NOW) {
        assert!(!failed.contains(&vm), "{vm} is not asked again at once");
        relay.on_watcher_failed(&vm, NOW);
        failed.push(vm);
    }
    assert_eq!(failed.len(), WATCHERS);
    assert_eq!(relay.store_source(NOW), StoreSource::Fallback);
    let later = Time(NOW.0 + 3_100);
    for other in 0..vms {
        relay.on_heartbeat(heartbeat(row(&name(other), "north"), Vec::new()), later);
    }
    let source = relay.store_source(later);
    assert!(matches!(source, StoreSource::ViaWatcher { .. }), "{source:?}");
}

#[test]
fn a_vm_that_is_leaving_is_no_watcher() {
    let vms = 33;
    let watcher = (0..vms).find(|place| source(*place, vms) == StoreSource::Watcher);
    let mut relay = vm(watcher.expect("a watcher"), vms);
    relay.announce_leaving();
    assert!(matches!(relay.store_source(NOW), StoreSource::ViaWatcher { .. }));
}
