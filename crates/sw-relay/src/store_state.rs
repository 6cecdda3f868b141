//! How far this VM and others follow the platform's store.
//!
//! A VM without the store copies the snapshot of another one, and a VM that missed what the store has lost copies the
//! states that others retain. A VM in an earlier era copies from one in a later era, never the other way.

use std::net::SocketAddr;

use sw_member::{VmRow, rendezvous_score};
use sw_unit::{Millis, StorePosition, Time, VmId};

use crate::{LeavingEndpoint, Relay};

/// State of a VM's mirror of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreState {
    /// The position up to which changes have been applied.
    pub position: StorePosition,
    /// Whether the mirror retains states that the store has lost.
    pub retains: bool,
    /// The position in the earlier era up to which the VM knows all changes; its revision is zero if it followed none.
    pub followed: StorePosition,
    /// Whether the VM knows eras; one of an earlier build does not.
    pub knows_eras: bool,
    /// Whether the VM places new streams; one of an earlier build does not.
    pub knows_placements: bool,
}

/// Number of own records that are written to the store again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rewritten {
    /// Services whose software versions are recorded.
    pub services: usize,
    /// Streams whose origin is recorded.
    pub streams: usize,
}

/// A later position of another VM's mirror that this VM has not reached yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LaterPosition {
    position: StorePosition,
    heard_at: Time,
}

impl Relay {
    /// Records the state of another VM's mirror.
    pub(crate) fn on_peer_store(&mut self, vm: &VmId, store: StoreState, now: Time) {
        self.peer_stores.insert(vm.clone(), store);
        if store.knows_eras && self.later_position.is_none() && self.is_newer(store) {
            let position = store.position;
            self.later_position = Some(LaterPosition {
                position,
                heard_at: now,
            });
        }
    }

    /// Returns the time for which this VM's mirror has been behind a position that another VM was heard to have reached;
    /// `None` if it has reached all of them.
    pub fn position_behind_for(&self, now: Time) -> Option<Millis> {
        self.later_position.map(|later| now.since(later.heard_at))
    }

    /// Returns a VM from which this VM gets the changes that it lacks: of the nearest ones, another one for each VM.
    pub fn peer_to_catch_up_from(&self, now: Time) -> Option<&VmRow> {
        let local = self.members.local();
        let peers = self.suitable_peers(|store| store.knows_eras && self.is_newer(*store), now);
        peers.min_by_key(|row| {
            let distance = (row.domain != local.domain, row.region != local.region);
            (distance, rendezvous_score(&local.vm, &row.vm))
        })
    }

    /// Returns the addresses of the VMs from which this one collects large values: the nearest live ones, in another order
    /// for each VM.
    pub fn transfer_sources(&self, count: usize, now: Time) -> Vec<SocketAddr> {
        let local = self.members.local();
        let live = self.members.peers().filter(|row| self.is_live(&row.vm, now));
        let mut rows: Vec<_> = live.collect();
        rows.sort_by_cached_key(|row| {
            let distance = (row.domain != local.domain, row.region != local.region);
            (distance, rendezvous_score(&local.vm, &row.vm))
        });
        rows.into_iter().take(count).map(|row| row.peer_listen).collect()
    }

    /// Returns the number of live VMs of the failure domain that rank higher than this one.
    pub fn domain_rank(&self, now: Time) -> usize {
        let local = self.members.local();
        let score = rendezvous_score("store", &local.vm);
        let live = self.members.live_vms(&local.domain, now);
        live.filter(|row| rendezvous_score("store", &row.vm) > score).count()
    }

    /// Records that the store was restored from an older copy: endpoints get time to register again, and what this VM
    /// wrote is written again, except the software versions if the store still has their record. Returns how much that is.
    pub fn on_store_restored(&mut self, has_software: bool, now: Time) -> Rewritten {
        self.registry.on_store_recovered(now);
        self.store_restored = true;
        self.placements.on_store_restored();
        Rewritten {
            services: if has_software {
                0
            } else {
                self.versions.on_record_lost()
            },
            streams: self.origins.on_store_restored(),
        }
    }

    /// Records that another VM saw an endpoint leaving.
    pub fn on_leaving_reported(&mut self, leaving: &LeavingEndpoint) {
        self.registry.on_leaving_reported(leaving);
    }

    /// Records the state of this VM's mirror of the store.
    pub fn set_store_state(&mut self, store: StoreState) {
        if self.store.position.revision == 0 && store.position.revision > 0 {
            self.placements.on_first_snapshot(self.versions.has_record());
        }
        self.store = store;
        self.later_position = self.later_position.filter(|later| later.position > store.position);
    }

    /// Returns whether all VMs place new streams whose heartbeats this one receives.
    pub(crate) fn all_peers_know_placements(&self) -> bool {
        self.peer_stores.values().all(|store| store.knows_placements)
    }

    /// Returns the nearest live VM whose mirror of the store is at a later position than that of this VM.
    pub fn peer_with_newer_position(&self, now: Time) -> Option<&VmRow> {
        self.nearest_peer(|store| self.is_newer(*store), now)
    }

    /// Returns whether another VM's mirror is at a later position. A VM that knows no eras is taken to be in this VM's
    /// era until the store is restored.
    fn is_newer(&self, other: StoreState) -> bool {
        let local = self.store.position;
        if other.knows_eras || self.store_restored {
            other.position > local
        } else {
            other.position.revision > local.revision
        }
    }

    /// Returns the nearest live VM of this VM's era that retains states that the store has lost, and followed the earlier
    /// era further than this VM.
    pub fn peer_that_retains(&self, now: Time) -> Option<&VmRow> {
        let local = self.store;
        let knows_more = |store: &StoreState| {
            store.retains && store.position.era == local.position.era && store.followed > local.followed
        };
        self.nearest_peer(knows_more, now)
    }

    /// Returns the nearest live VM that runs a newer version of the configuration and whose mirror is at a later position.
    pub fn peer_with_newer_version(&self, now: Time) -> Option<&VmRow> {
        let local = self.members.local().version;
        // The revision of a VM that knows no eras may be of an earlier era.
        let peers = self.suitable_peers(|store| store.knows_eras && self.is_newer(*store), now);
        self.nearest(peers.filter(|row| row.version > local))
    }

    fn nearest_peer(&self, is_suitable: impl Fn(&StoreState) -> bool, now: Time) -> Option<&VmRow> {
        self.nearest(self.suitable_peers(is_suitable, now))
    }

    fn suitable_peers(&self, is_suitable: impl Fn(&StoreState) -> bool, now: Time) -> impl Iterator<Item = &VmRow> {
        let suitable = move |row: &&VmRow| self.peer_stores.get(&row.vm).is_some_and(&is_suitable);
        let candidates = self.members.peers().filter(suitable);
        candidates.filter(move |row| self.is_live(&row.vm, now))
    }

    fn nearest<'a>(&self, rows: impl Iterator<Item = &'a VmRow>) -> Option<&'a VmRow> {
        let local = self.members.local();
        rows.min_by_key(|row| (row.domain != local.domain, row.region != local.region))
    }
}
