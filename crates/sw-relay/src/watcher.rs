//! Which VMs follow the platform's store themselves.
//!
//! Each call to the store is paid for, and its rates grow more slowly than the fleet. So a few VMs of each failure
//! domain, the watchers, follow the store, and the others follow it through one of them. All VMs work out the watchers
//! alike from the live VMs that they know; one whose watchers do not help follows the store itself for a while.

use std::net::SocketAddr;

use sw_member::rendezvous_top;
use sw_unit::{Millis, Time, VmId};

use crate::Relay;

/// VMs of a failure domain that follow the store themselves.
const WATCHERS: usize = 3;
/// Time for which a watcher that did not help is not asked again.
const ABSENCE: Millis = Millis(3_000);
/// What watchers are ranked by.
const RANKED_BY: &str = "store";

/// How a VM follows the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSource {
    /// By its own calls, for others too.
    Watcher,
    /// By its own calls, as no watcher helps.
    Fallback,
    /// Through a watcher.
    ViaWatcher {
        /// The watcher.
        vm: VmId,
        /// Where it takes calls of other VMs.
        address: SocketAddr,
    },
}

impl Relay {
    /// How this VM follows the store now.
    pub fn store_source(&self, now: Time) -> StoreSource {
        let own = &self.options.local.vm;
        let live = self
            .members
            .live_vms(&self.options.local.domain, now)
            .map(|row| &row.vm);
        let watchers = rendezvous_top(RANKED_BY, live, WATCHERS);
        if watchers.contains(&own) {
            return StoreSource::Watcher;
        }
        let helps = |vm: &&VmId| self.unhelpful.get(*vm).is_none_or(|until| *until <= now);
        // Each VM prefers another one, so that the watchers share their followers.
        let preferred = rendezvous_top(own, watchers.into_iter().filter(helps), 1);
        let row = preferred.first().and_then(|vm| self.members.row(vm));
        row.map_or(StoreSource::Fallback, |row| StoreSource::ViaWatcher {
            vm: row.vm.clone(),
            address: row.peer_listen,
        })
    }

    /// Whether other VMs may follow the store through this one.
    pub fn has_followers(&self, now: Time) -> bool {
        self.members.local_live_count(now) > WATCHERS
    }

    /// Records that a watcher did not answer or is not in touch with the store.
    pub fn on_watcher_failed(&mut self, vm: &VmId, now: Time) {
        self.unhelpful.insert(vm.clone(), now + ABSENCE);
    }
}
