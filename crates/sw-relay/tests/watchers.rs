//! Following the store through a few watchers.
//!
//! Guards against calls to the store, which are billed, growing with the number of VMs in a failure domain.

mod support;

use std::collections::HashMap;

use support::{heartbeat, relay_of, row};
use sw_relay::{Relay, StoreSource};
use sw_unit::{Time, VmId};

const NOW: Time = Time(3_000);
/// Number of VMs of a failure domain that follow the store directly.
const WATCHERS: usize = 3;

fn name(vm: usize) -> String {
    format!("vm-{vm:03}")
}

/// The VM `index` of a domain of `vms`, which knows all the others.
fn vm(index: usize, vms: usize) -> Relay {
    let mut relay = relay_of(&name(index));
    for other in (0..vms).filter(|other| *other != index) {
        relay.on_heartbeat(heartbeat(row(&name(other), "north"), Vec::new()), NOW);
    }
    relay
}

fn source(index: usize, vms: usize) -> StoreSource {
    vm(index, vms).store_source(NOW)
}

#[test]
fn all_vms_of_a_small_domain_are_watchers() {
    for vms in 1..=WATCHERS {
        for index in 0..vms {
            assert_eq!(source(index, vms), StoreSource::Watcher, "{index} of {vms}");
        }
    }
}

#[test]
fn number_of_watchers_is_constant_and_followers_are_spread() {
    for vms in [11, 33, 120] {
        let sources: Vec<_> = (0..vms).map(|index| source(index, vms)).collect();
        let watchers = sources.iter().filter(|source| **source == StoreSource::Watcher);
        assert_eq!(watchers.count(), WATCHERS, "of {vms}");
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
fn vm_whose_watchers_fail_follows_the_store_directly_for_a_while() {
    let vms = 33;
    let follower = (0..vms).find(|index| source(*index, vms) != StoreSource::Watcher);
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
fn leaving_vm_is_no_watcher() {
    let vms = 33;
    let watcher = (0..vms).find(|index| source(*index, vms) == StoreSource::Watcher);
    let mut relay = vm(watcher.expect("a watcher"), vms);
    relay.announce_leaving();
    assert!(matches!(relay.store_source(NOW), StoreSource::ViaWatcher { .. }));
}

/// Guards against followers that each go on to call the store for 3 s after an outage, so that each change costs a call of
/// all VMs; watchers that do not respond are not asked again so soon.
#[test]
fn watchers_that_lost_the_store_are_used_again_when_it_is_back() {
    let vms = 33;
    let follower = (0..vms).find(|index| source(*index, vms) != StoreSource::Watcher);
    let follower = follower.expect("a follower");
    for is_responsive in [true, false] {
        let mut relay = vm(follower, vms);
        while let StoreSource::ViaWatcher { vm, .. } = relay.store_source(NOW) {
            if is_responsive {
                relay.on_watcher_not_current(&vm, NOW);
            } else {
                relay.on_watcher_failed(&vm, NOW);
            }
        }
        assert_eq!(relay.store_source(NOW), StoreSource::Fallback);
        relay.on_store_reached();
        let source = relay.store_source(NOW);
        assert_eq!(
            matches!(source, StoreSource::ViaWatcher { .. }),
            is_responsive,
            "{source:?}"
        );
    }
}
