//! The VMs of a deployment, and which of them keeps the quota of a workspace.
//!
//! The share of a region follows from the failure domains of the settings, which are the same at all VMs. Were it computed from
//! the VMs that a VM knows, VMs that know different ones would together use more than the whole.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use sw_member::rendezvous_score;
use sw_unit::{DomainId, Millis, RegionId, Time, VmId, WorkspaceId};

/// Time for which a VM must have been live to be a keeper, so that all VMs know it by then.
const CANDIDATE_AFTER: Millis = Millis(2_000);
/// The same for this VM itself, which others get to know later.
const LOCAL_CANDIDATE_AFTER: Millis = Millis(2_500);
/// Time for which it is remembered that a VM was live.
const DEPARTED_KEPT_FOR: Millis = Millis(120_000);

/// A VM as quotas see it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaVm {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// The address at which it accepts calls of other VMs.
    pub address: SocketAddr,
    /// Its size; larger VMs keep more quotas.
    pub size: u32,
    /// Whether it is live.
    pub live: bool,
}

/// The VM that keeps a quota in a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperVm {
    /// The VM.
    pub vm: VmId,
    /// The address at which it accepts calls of other VMs.
    pub address: SocketAddr,
}

impl From<&QuotaVm> for KeeperVm {
    fn from(row: &QuotaVm) -> Self {
        Self {
            vm: row.vm.clone(),
            address: row.address,
        }
    }
}

/// Options of quotas.
#[derive(Debug, Clone)]
pub struct QuotaOptions {
    /// This VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// The region of each failure domain of the settings.
    pub domains: IndexMap<DomainId, RegionId>,
    /// Share by which quotas may be exceeded.
    pub overshoot: f64,
    /// Whether there are other VMs, known or not. A VM that expects others and knows none keeps no quota.
    pub expects_peers: bool,
    /// When the process started.
    pub started_at: Time,
}

impl QuotaOptions {
    /// Returns the other regions of the settings.
    pub(crate) fn other_regions(&self) -> IndexSet<&RegionId> {
        let regions = self.domains.values();
        regions.filter(|region| **region != self.region).collect()
    }
}

/// The known VMs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fleet {
    vms: Vec<QuotaVm>,
    /// When each VM became live.
    live_since: IndexMap<VmId, Time>,
    /// When VMs that are no longer candidates last were.
    departed: IndexMap<VmId, Time>,
    /// VMs that have not responded as keepers, with the time at which that was found.
    silent: IndexMap<VmId, Time>,
    /// Live VMs that are candidates, by region.
    candidates: IndexMap<RegionId, Vec<usize>>,
    /// Largest number of VMs known so far.
    max_known: usize,
    /// Changes whenever anything does that a keeper follows from.
    generation: u64,
}

impl Fleet {
    /// Replaces the known VMs; `vms` includes this one.
    pub(crate) fn update(&mut self, vms: Vec<QuotaVm>, options: &QuotaOptions, now: Time) {
        if vms == self.vms {
            return;
        }
        let before = self.candidate_ids();
        // This VM finds those that it learns of when it starts already in service.
        let is_joining = now.since(options.started_at) < CANDIDATE_AFTER;
        let live = vms.iter().filter(|row| row.live);
        let live_since = live.map(|row| {
            let since = if row.vm == options.vm {
                options.started_at + (LOCAL_CANDIDATE_AFTER - CANDIDATE_AFTER)
            } else if is_joining {
                now - CANDIDATE_AFTER
            } else {
                now
            };
            let since = self.live_since.get(&row.vm).copied().unwrap_or(since);
            (row.vm.clone(), since)
        });
        self.live_since = live_since.collect();
        self.vms = vms;
        self.max_known = self.max_known.max(self.vms.len());
        self.update_candidates(before, now);
    }

    /// Returns a number that is greater than 0 and changes whenever anything does that a keeper follows from.
    pub(crate) fn generation(&self) -> u64 {
        self.generation + 1
    }

    /// Marks all that was derived from the fleet as outdated.
    pub(crate) fn invalidate(&mut self) {
        self.generation += 1;
    }

    /// Recomputes which VMs are candidates.
    pub(crate) fn tick(&mut self, now: Time) {
        let is_new = |since: &Time| now.since(*since) < CANDIDATE_AFTER + Millis(1_000);
        if self.live_since.values().any(is_new) {
            let before = self.candidate_ids();
            self.update_candidates(before, now);
        }
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_KEPT_FOR);
    }

    /// Records that a VM does not respond as keeper, so that the next one takes its place before it is found not to be live.
    pub(crate) fn mark_silent(&mut self, vm: &VmId, now: Time) {
        let before = self.candidate_ids();
        self.silent.insert(vm.clone(), now);
        self.update_candidates(before, now);
    }

    /// Keeps those VMs marked as silent that `is_silent` accepts, with the time at which that was found.
    pub(crate) fn retain_silent(&mut self, is_silent: impl Fn(&VmId, Time) -> bool, now: Time) {
        let marked = self.silent.len();
        let before = self.candidate_ids();
        self.silent.retain(|vm, at| is_silent(vm, *at));
        if self.silent.len() < marked {
            self.update_candidates(before, now);
        }
    }

    /// Returns the keeper of a workspace in a region; `None` if no VM of it is live.
    pub(crate) fn keeper(&self, workspace: &WorkspaceId, region: &RegionId) -> Option<&QuotaVm> {
        let candidates = self.candidates.get(region)?.iter().map(|i| &self.vms[*i]);
        candidates.max_by(|a, b| rank(workspace, a).total_cmp(&rank(workspace, b)))
    }

    /// Returns the VM that is to keep a quota if those in `silent` do not.
    pub(crate) fn deputy(&self, workspace: &WorkspaceId, region: &RegionId, silent: &[VmId]) -> Option<&QuotaVm> {
        let candidates = self.candidates.get(region)?.iter().map(|i| &self.vms[*i]);
        let others = candidates.filter(|row| !silent.contains(&row.vm));
        others.max_by(|a, b| rank(workspace, a).total_cmp(&rank(workspace, b)))
    }

    /// Returns whether this VM ranks first for a workspace, as a candidate or not.
    pub(crate) fn is_local_first(&self, workspace: &WorkspaceId, options: &QuotaOptions) -> bool {
        let Some(local) = self.vms.iter().find(|row| row.vm == options.vm) else {
            return false;
        };
        let keeper = self.keeper(workspace, &options.region);
        keeper.is_none_or(|keeper| keeper.vm == local.vm || rank(workspace, local) > rank(workspace, keeper))
    }

    /// Returns since when no other VM can have been the keeper of a workspace that this VM keeps.
    pub(crate) fn kept_since(&self, workspace: &WorkspaceId, options: &QuotaOptions) -> Time {
        let Some(local) = self.vms.iter().find(|row| row.vm == options.vm) else {
            return options.started_at;
        };
        let has_peers = self
            .vms
            .iter()
            .any(|row| row.region == options.region && row.vm != options.vm);
        let candidate_at = if has_peers {
            options.started_at + LOCAL_CANDIDATE_AFTER
        } else {
            options.started_at
        };
        let local_rank = rank(workspace, local);
        let departed = self.departed.iter().filter(|(vm, _)| {
            let row = self.vms.iter().find(|row| row.vm == **vm);
            row.is_none_or(|row| row.region == options.region && rank(workspace, row) > local_rank)
        });
        departed.map(|(_, at)| *at).fold(candidate_at, Time::max)
    }

    /// Returns whether a VM that would be the keeper is not a candidate here, though it may be one to others.
    pub(crate) fn is_deputy(&self, workspace: &WorkspaceId, options: &QuotaOptions) -> bool {
        let Some(local) = self.vms.iter().find(|row| row.vm == options.vm) else {
            return false;
        };
        let local_rank = rank(workspace, local);
        let candidates = self.candidates.get(&options.region);
        let is_candidate = |i: usize| candidates.is_some_and(|candidates| candidates.contains(&i));
        let others = self
            .vms
            .iter()
            .enumerate()
            .filter(|(i, row)| row.region == options.region && row.vm != options.vm && !is_candidate(*i));
        others.map(|(_, row)| row).any(|row| rank(workspace, row) > local_rank)
    }

    /// Returns the share of a whole quota that belongs to this region's live VMs.
    pub(crate) fn live_share(&self, options: &QuotaOptions) -> f64 {
        let is_alone = self.max_known <= 1;
        if is_alone && options.expects_peers {
            return 0.0;
        }
        let domains = options.domains.len().max(1) as f64;
        let local = options
            .domains
            .iter()
            .filter(|(_, region)| **region == options.region)
            .map(|(domain, _)| domain);
        let live: f64 = local.map(|domain| self.live_part(domain, &options.region)).sum();
        if options.domains.is_empty() {
            1.0
        } else {
            live / domains
        }
    }

    /// Returns the number of live VMs of a region.
    pub(crate) fn live_count(&self, region: &RegionId) -> usize {
        self.vms.iter().filter(|row| row.live && row.region == *region).count()
    }

    /// Returns the largest number of VMs known so far.
    pub(crate) fn max_known(&self) -> usize {
        self.max_known
    }

    /// Returns the share of the VMs of a local failure domain that are candidates; 0 if none is known.
    ///
    /// VMs that were cut off and are live again do not count yet, because they still use their share themselves.
    fn live_part(&self, domain: &DomainId, region: &RegionId) -> f64 {
        let known = self.vms.iter().filter(|row| row.domain == *domain).count();
        let candidates = self.candidates.get(region).into_iter().flatten();
        let live = candidates.filter(|i| self.vms[**i].domain == *domain).count();
        if known == 0 { 0.0 } else { live as f64 / known as f64 }
    }

    fn candidate_ids(&self) -> Vec<VmId> {
        let candidates = self.candidates.values().flatten();
        candidates.map(|i| self.vms[*i].vm.clone()).collect()
    }

    fn update_candidates(&mut self, before: Vec<VmId>, now: Time) {
        self.invalidate();
        let mut candidates: IndexMap<RegionId, Vec<usize>> = IndexMap::new();
        let mut live: IndexMap<RegionId, Vec<usize>> = IndexMap::new();
        let is_heard = |row: &QuotaVm| row.live && !self.silent.contains_key(&row.vm);
        for (i, row) in self.vms.iter().enumerate().filter(|(_, row)| is_heard(row)) {
            live.entry(row.region.clone()).or_default().push(i);
            let since = self.live_since.get(&row.vm).copied().unwrap_or(now);
            if now.since(since) >= CANDIDATE_AFTER && since <= now {
                candidates.entry(row.region.clone()).or_default().push(i);
            }
        }
        for (region, vms) in live {
            candidates.entry(region).or_insert(vms);
        }
        self.candidates = candidates;
        let after = self.candidate_ids();
        for vm in &after {
            self.departed.swap_remove(vm);
        }
        let after: IndexSet<VmId> = after.into_iter().collect();
        for vm in before.into_iter().filter(|vm| !after.contains(vm)) {
            self.departed.insert(vm, now);
        }
    }
}

/// Returns the rank of a VM for a workspace by weighted rendezvous hashing; the highest wins.
fn rank(workspace: &WorkspaceId, row: &QuotaVm) -> f64 {
    let score = rendezvous_score(workspace.as_str(), row.vm.as_str());
    let uniform = (score as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    uniform.ln() / f64::from(row.size.max(1))
}
