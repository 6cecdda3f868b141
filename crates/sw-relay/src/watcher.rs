//! Selection of the VMs that follow the platform's store directly.
//!
//! Each call to the store is billed, and the store's rate limits grow more slowly than the fleet. So only a few VMs of
//! each failure domain, the watchers, follow the store, and the others follow it through one of them. Each VM computes
//! the same watchers from the live VMs that it knows. A VM whose watchers all fail follows the store directly for a
//! while.

use std::net::SocketAddr;

use sw_member::{VmRow, rendezvous_top_by_size};
use sw_unit::{Millis, Time, VmId};

use crate::Relay;

/// Number of VMs of a failure domain that follow the store directly.
const WATCHERS: usize = 3;
/// Time for which a failed watcher is not used.
const FAILED_WATCHER_BACKOFF: Millis = Millis(3_000);
/// Key of the rendezvous ranking of watchers.
const WATCHER_RANK_KEY: &str = "store";

/// How a VM follows the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSource {
    /// Directly, also on behalf of other VMs.
    Watcher,
    /// Directly, because all watchers failed.
    Fallback,
    /// Through a watcher.
    ViaWatcher {
        /// The watcher.
        vm: VmId,
        /// The address on which it listens for calls from other VMs.
        address: SocketAddr,
    },
}

/// A watcher that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FailedWatcher {
    /// Time until which it is not used.
    pub(crate) until: Time,
    /// Whether it responded that it does not currently follow the store.
    lost_store: bool,
}

impl Relay {
    /// Returns how this VM follows the store now.
    pub fn store_source(&self, now: Time) -> StoreSource {
        let local_vm = &self.options.local.vm;
        let live = self.members.live_vms(&self.options.local.domain, now);
        let watchers = rendezvous_top_by_size(WATCHER_RANK_KEY, live, WATCHERS);
        if watchers.iter().any(|row| row.vm == *local_vm) {
            return StoreSource::Watcher;
        }
        let is_available = |row: &&VmRow| {
            self.failed_watchers
                .get(&row.vm)
                .is_none_or(|failed| failed.until <= now)
        };
        let available = watchers.into_iter().filter(is_available);
        // Ranked by the local VM, so that followers spread over the watchers.
        let preferred = rendezvous_top_by_size(local_vm, available, 1);
        preferred
            .first()
            .map_or(StoreSource::Fallback, |row| StoreSource::ViaWatcher {
                vm: row.vm.clone(),
                address: row.peer_listen,
            })
    }

    /// Returns whether other VMs may follow the store through this one.
    pub fn has_followers(&self, now: Time) -> bool {
        self.members.local_live_count(now) > WATCHERS
    }

    /// Records that a watcher did not respond, is in another era, or could not supply a snapshot.
    pub fn on_watcher_failed(&mut self, vm: &VmId, now: Time) {
        self.on_failure(vm, false, now);
    }

    /// Records that a watcher does not currently follow the store.
    pub fn on_watcher_not_current(&mut self, vm: &VmId, now: Time) {
        self.on_failure(vm, true, now);
    }

    /// Records that this VM has reached the store again after an outage: watchers that had lost it as well are used again.
    pub fn on_store_reached(&mut self) {
        self.failed_watchers.retain(|_, failed| !failed.lost_store);
    }

    fn on_failure(&mut self, vm: &VmId, lost_store: bool, now: Time) {
        let until = now + FAILED_WATCHER_BACKOFF;
        self.failed_watchers
            .insert(vm.clone(), FailedWatcher { until, lost_store });
    }
}
