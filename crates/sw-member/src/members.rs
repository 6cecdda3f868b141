//! The VMs that this VM knows of.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, RegionId, Time, Version, VmId};

use crate::{VmBrief, VmRow, VmState, rendezvous_score, rendezvous_top};

/// VMs that poll one endpoint.
const POLLERS: usize = 2;
/// VMs of a failure domain that speak with one other domain.
const DELEGATES: usize = 2;

/// Bounds of [`Members`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Shortest time between two heartbeats of neighbours.
    pub min_period: Millis,
    /// Time between two heartbeats for each neighbour that there is, so that all of them together cost the same.
    pub period_per_neighbour: Millis,
    /// Longest time between two heartbeats of neighbours.
    pub max_period: Millis,
    /// Heartbeats of a neighbour that may be missed before it is suspect.
    pub missed_periods: u64,
    /// A VM of another domain that is not heard, nor vouched for, for this long is suspect.
    pub remote_suspect_after: Millis,
    /// A VM that is not heard for this long is forgotten.
    pub forget_after: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_period: Millis(1_000),
            period_per_neighbour: Millis(120),
            max_period: Millis(2_400),
            missed_periods: 3,
            remote_suspect_after: Millis(9_000),
            forget_after: Millis(600_000),
        }
    }
}

#[derive(Debug, Clone)]
struct Member {
    row: VmRow,
    heard: Time,
}

/// The VMs that this VM knows of, itself included.
#[derive(Debug, Clone)]
pub struct Members {
    options: Options,
    own: VmRow,
    others: IndexMap<VmId, Member>,
}

impl Members {
    /// Membership as seen by the VM of `own`.
    pub fn new(own: VmRow, options: Options) -> Self {
        Self {
            options,
            own,
            others: IndexMap::new(),
        }
    }

    /// What this VM says about itself.
    pub fn local(&self) -> &VmRow {
        &self.own
    }

    /// Announces that this VM is stopping.
    pub fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Announces the configuration that this VM runs.
    pub fn set_version(&mut self, version: Version) {
        self.own.version = version;
    }

    /// Records a row that its VM sent itself, and returns whether the row was new or changed.
    ///
    /// An older incarnation is ignored, and a life that is leaving stays so.
    pub fn on_heartbeat(&mut self, mut row: VmRow, now: Time) -> bool {
        if row.vm == self.own.vm {
            return false;
        }
        if let Some(known) = self.others.get(&row.vm) {
            if row.incarnation < known.row.incarnation {
                return false;
            }
            row.leaving |= row.incarnation == known.row.incarnation && known.row.leaving;
            row.version = row.version.max(known.row.version);
        }
        let changed = self.others.get(&row.vm).is_none_or(|known| known.row != row);
        self.others.insert(row.vm.clone(), Member { row, heard: now });
        changed
    }

    /// Records that a VM was heard whose row is known, and returns whether it is.
    pub fn on_brief_heartbeat(&mut self, brief: &VmBrief, now: Time) -> bool {
        let Some(known) = self
            .others
            .get(&brief.vm)
            .filter(|known| known.row.incarnation == brief.incarnation)
        else {
            return false;
        };
        let row = VmRow {
            leaving: brief.leaving,
            version: brief.version,
            ..known.row.clone()
        };
        self.on_heartbeat(row, now);
        true
    }

    /// When a VM was last heard or vouched for.
    pub fn last_received_at(&self, vm: &VmId) -> Option<Time> {
        self.others.get(vm).map(|member| member.heard)
    }

    /// Time between two heartbeats of neighbours; it grows with their number.
    pub fn heartbeat_period(&self) -> Millis {
        let neighbours = self.neighbours().count() as u64;
        let period = Millis(self.options.period_per_neighbour.0 * neighbours);
        period.clamp(self.options.min_period, self.options.max_period)
    }

    /// Records a row that a third party passed on; it does not prove that the VM is live.
    ///
    /// Returns whether the VM was unknown.
    pub fn on_gossip(&mut self, row: VmRow, now: Time) -> bool {
        if let Some(known) = self.others.get_mut(&row.vm) {
            if row.incarnation == known.row.incarnation {
                known.row.leaving |= row.leaving;
            }
            if row.incarnation <= known.row.incarnation {
                return false;
            }
        }
        let heard = now - self.suspect_after(&row.domain);
        row.vm != self.own.vm && self.others.insert(row.vm.clone(), Member { row, heard }).is_none()
    }

    /// Records a row about a VM of another domain that a delegate heard `age` ago.
    pub fn on_delegate_report(&mut self, row: VmRow, age: Millis, now: Time) {
        let heard = now - age;
        let newer = self.others.get(&row.vm).is_none_or(|known| heard >= known.heard);
        if newer {
            self.on_heartbeat(row, heard);
        } else {
            self.on_gossip(row, now);
        }
    }

    /// Forgets VMs that were not heard for long.
    pub fn prune(&mut self, now: Time) {
        let limit = self.options.forget_after;
        self.others.retain(|_, member| now.since(member.heard) < limit);
    }

    /// How a VM is seen; `None` if it is not known.
    pub fn state(&self, vm: &VmId, now: Time) -> Option<VmState> {
        if *vm == self.own.vm {
            return Some(if self.own.leaving {
                VmState::Leaving
            } else {
                VmState::Live
            });
        }
        self.others.get(vm).map(|member| self.state_of(member, now))
    }

    /// The row of a VM.
    pub fn row(&self, vm: &VmId) -> Option<&VmRow> {
        if *vm == self.own.vm {
            Some(&self.own)
        } else {
            self.others.get(vm).map(|member| &member.row)
        }
    }

    /// The row of one life of a VM; `None` if that life is over or was never heard of.
    pub fn incarnation_row(&self, vm: &VmId, incarnation: Incarnation) -> Option<&VmRow> {
        self.row(vm).filter(|row| row.incarnation == incarnation)
    }

    /// Whether a later life of a VM is known.
    pub fn has_newer_incarnation(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.row(vm).is_some_and(|row| row.incarnation > incarnation)
    }

    /// All other VMs, live or not.
    pub fn peers(&self) -> impl Iterator<Item = &VmRow> {
        self.others.values().map(|member| &member.row)
    }

    /// Other VMs of the own failure domain, live or not.
    pub fn neighbours(&self) -> impl Iterator<Item = &VmRow> {
        self.peers().filter(|row| row.domain == self.own.domain)
    }

    /// Live VMs of a failure domain, this VM included.
    pub fn live_vms<'a>(&'a self, domain: &'a DomainId, now: Time) -> impl Iterator<Item = &'a VmRow> + Clone + 'a {
        let live = move |member: &&Member| self.state_of(member, now) == VmState::Live && member.row.domain == *domain;
        let own = Some(&self.own).filter(|row| !row.leaving && row.domain == *domain);
        own.into_iter()
            .chain(self.others.values().filter(live).map(|member| &member.row))
    }

    /// All known VMs that are not leaving, live or not; at least 1.
    pub fn known_count(&self) -> usize {
        1 + self.peers().filter(|row| !row.leaving).count()
    }

    /// Live VMs of the own failure domain; at least 1.
    pub fn local_live_count(&self, now: Time) -> usize {
        self.live_vms(&self.own.domain, now).count().max(1)
    }

    /// Whether this VM is one of those that poll an endpoint of its domain.
    ///
    /// A leaving VM keeps polling, because the endpoints of its last requests still matter to it.
    pub fn is_poller(&self, endpoint: &EndpointId, now: Time) -> bool {
        let live = self.live_vms(&self.own.domain, now).map(|row| &row.vm);
        self.own.leaving || rendezvous_top(endpoint, live, POLLERS).contains(&&self.own.vm)
    }

    /// Whether this VM is the one that reports on an endpoint to its neighbours; others poll it in reserve.
    pub fn is_reporter(&self, endpoint: &EndpointId, now: Time) -> bool {
        let live = self.live_vms(&self.own.domain, now).map(|row| &row.vm);
        rendezvous_top(endpoint, live, 1).first() == Some(&&self.own.vm)
    }

    /// The place of this VM among the delegates of its domain for another domain; `None` if it is none.
    ///
    /// The first delegate exchanges summaries with the other domain, the others do if it fails to.
    pub fn delegate_rank(&self, domain: &DomainId, now: Time) -> Option<usize> {
        let own_live = self.live_vms(&self.own.domain, now).map(|row| &row.vm);
        let delegates = rendezvous_top(domain, own_live, DELEGATES);
        delegates.iter().position(|vm| **vm == self.own.vm)
    }

    /// The VM of another domain to exchange summaries with; a different one as time goes on.
    pub fn remote_delegate<'a>(&'a self, domain: &'a DomainId, now: Time) -> Option<&'a VmRow> {
        let mut candidates: Vec<_> = self.live_vms(domain, now).collect();
        if candidates.is_empty() {
            candidates = self.peers().filter(|row| row.domain == *domain).collect();
        }
        candidates.sort_by(|a, b| a.vm.cmp(&b.vm));
        let slot = now.0 / self.options.remote_suspect_after.0.max(1);
        candidates.get(slot as usize % candidates.len().max(1)).copied()
    }

    /// Entry VMs for a caller, best first: own domain, then by region; live VMs only, this VM if there is no other.
    pub fn entry_vms<'a>(&'a self, key: &str, permits: impl Fn(&RegionId) -> bool, now: Time) -> Vec<&'a VmRow> {
        let own = Some(&self.own).filter(|row| !row.leaving);
        let live = self
            .others
            .values()
            .filter(|member| self.state_of(member, now) == VmState::Live);
        let rows = own.into_iter().chain(live.map(|member| &member.row));
        let mut rows: Vec<_> = rows.filter(|row| permits(&row.region)).collect();
        rows.sort_by_cached_key(|row| {
            let distance = (row.region != self.own.region, row.domain != self.own.domain);
            (distance, std::cmp::Reverse(rendezvous_score(key, &row.vm)))
        });
        rows
    }

    /// Addresses of VMs to greet that were never heard.
    pub fn unknown_seeds<'a>(&'a self, seeds: &'a [SocketAddr]) -> impl Iterator<Item = SocketAddr> + 'a {
        let known = |address: &&SocketAddr| {
            **address == self.own.peer_listen || self.peers().any(|row| row.peer_listen == **address)
        };
        seeds.iter().filter(move |address| !known(address)).copied()
    }

    fn suspect_after(&self, domain: &DomainId) -> Millis {
        if *domain == self.own.domain {
            Millis(self.heartbeat_period().0 * self.options.missed_periods)
        } else {
            self.options.remote_suspect_after
        }
    }

    fn state_of(&self, member: &Member, now: Time) -> VmState {
        if member.row.leaving {
            VmState::Leaving
        } else if now.since(member.heard) < self.suspect_after(&member.row.domain) {
            VmState::Live
        } else {
            VmState::Suspect
        }
    }
}
