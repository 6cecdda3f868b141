//! Heartbeats between VMs.
//!
//! Within a failure domain each VM greets every other one each second, with its own row, the reports that it fetched
//! itself and the summaries that it received itself. Between domains only delegates speak, with a summary by model
//! and a few rows of live VMs. Lists that rarely change (members, leaving endpoints) are sent only where the
//! receiver may not have them.

use indexmap::IndexMap;
use sw_load::{DomainSummary, ModelLoad};
use sw_member::{VmRow, VmState, score, top};
use sw_route::{Policy, summary_keys};
use sw_unit::{DomainId, Incarnation, Millis, ModelId, Time};

use crate::{Gate, Heartbeat, StoreSeen};

/// Rows that are this old were sent with an earlier heartbeat.
const FRESH: Millis = Millis(1_500);
/// Live VMs of a domain that its summary names.
const SUMMARY_VMS: usize = 4;

/// What is known of what another VM knows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PeerState {
    incarnation: Incarnation,
    members_digest: u64,
    leaving_rev: u64,
}

impl<P: Policy> Gate<P> {
    /// The VMs to greet now: all of the own domain, and one of each domain that this VM is a delegate for.
    pub fn greets(&self, now: Time) -> Vec<VmRow> {
        let own = &self.members.own().domain;
        let mut rows: Vec<_> = self.members.neighbours().cloned().collect();
        if let Some(version) = &self.version {
            let others = version.fleet.domains.keys().filter(|domain| *domain != own);
            rows.extend(others.filter_map(|domain| self.members.delegate(domain, now)).cloned());
        }
        rows
    }

    /// The heartbeat for a VM; `None` stands for a VM that is not known yet.
    pub fn heartbeat(&self, to: Option<&VmRow>, now: Time) -> Heartbeat {
        let own = self.members.own();
        let members_digest = self.members_digest();
        let mut heartbeat = Heartbeat {
            from: own.clone(),
            members_digest,
            members: Vec::new(),
            leaving: Vec::new(),
            reports: Vec::new(),
            summaries: Vec::new(),
            store: StoreSeen::default(),
        };
        let Some(to) = to else {
            heartbeat.members = self.domain_rows();
            heartbeat.summaries = vec![self.summary(now)];
            return heartbeat;
        };
        if to.domain != own.domain {
            heartbeat.summaries = vec![self.summary(now)];
            return heartbeat;
        }
        let peer = self.peers.get(&to.vm).copied().unwrap_or_default();
        if peer.members_digest != members_digest || peer.incarnation != to.incarnation {
            heartbeat.members = self.domain_rows();
        }
        if peer.leaving_rev != self.leaving.rev() || peer.incarnation != to.incarnation {
            heartbeat.leaving = self.leaving.lives().collect();
        }
        let is_own = |report: &sw_load::Report| {
            self.polled
                .get(&report.endpoint)
                .is_some_and(|at| now.since(*at) < FRESH)
        };
        heartbeat.reports = self.loads.reports(now).filter(is_own).collect();
        heartbeat.summaries = self.relayed_summaries(now);
        heartbeat
    }

    /// Takes in a heartbeat.
    pub fn heard(&mut self, heartbeat: Heartbeat, now: Time) {
        let from = heartbeat.from.clone();
        let same_domain = from.domain == self.members.own().domain;
        self.members.heard(heartbeat.from, now);
        for row in heartbeat.members {
            self.members.learned(row, now);
        }
        for life in &heartbeat.leaving {
            self.leaving.mark(life);
        }
        for report in heartbeat.reports {
            self.reported(report, now);
        }
        for summary in heartbeat.summaries {
            self.summarised(&summary, now);
        }
        if !same_domain {
            self.direct.insert(from.domain, now);
            return;
        }
        let peer = self.peers.entry(from.vm).or_default();
        if peer.incarnation != from.incarnation {
            *peer = PeerState {
                incarnation: from.incarnation,
                ..PeerState::default()
            };
        }
        peer.members_digest = heartbeat.members_digest;
    }

    /// Records that a VM has taken in all leaving endpoints up to `rev`, the number that [`Gate::leaving_rev`] gave.
    pub fn acknowledged(&mut self, by: &VmRow, rev: u64) {
        let peer = self.peers.entry(by.vm.clone()).or_default();
        if peer.incarnation == by.incarnation {
            peer.leaving_rev = rev;
        }
    }

    /// A number that grows with each leaving endpoint.
    pub fn leaving_rev(&self) -> u64 {
        self.leaving.rev()
    }

    /// A live VM that runs a newer configuration than this one; one of the own domain if there is any.
    pub fn ahead(&mut self, now: Time) -> Option<VmRow> {
        let version = self.version_number();
        let is_ahead =
            |row: &&VmRow| row.version > version && self.members.state(&row.vm, now) != Some(VmState::Suspect);
        let near: Vec<_> = self.members.neighbours().filter(is_ahead).collect();
        let far = || self.members.others().filter(is_ahead).collect();
        let ahead = if near.is_empty() { far() } else { near };
        self.rng.choice(ahead).cloned()
    }

    /// The summary of the own domain.
    pub fn summary(&self, now: Time) -> DomainSummary {
        let own = self.members.own();
        let live = self.members.live(&own.domain, now);
        let vms = top(&own.domain, live.clone().map(|row| &row.vm), SUMMARY_VMS);
        let vms = live.filter(|row| vms.contains(&&row.vm)).cloned().collect();
        DomainSummary {
            domain: own.domain.clone(),
            models: self.model_loads(now),
            vms,
            age: Millis(0),
        }
    }

    fn model_loads(&self, now: Time) -> Vec<ModelLoad> {
        let Some(version) = &self.version else {
            return Vec::new();
        };
        let domain = &self.members.own().domain;
        let vms = self.members.live_count(now);
        let mut loads: IndexMap<ModelId, (f64, f64)> = IndexMap::new();
        for (id, endpoint) in version
            .fleet
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.domain == *domain)
        {
            let life = self.loads.incarnation(id);
            if self.leaving.contains(id, life) || self.loads.is_paused(id, now) {
                continue;
            }
            let estimate = self.loads.estimate(id, endpoint.slots, vms, now);
            for key in summary_keys(id, endpoint) {
                let (slots, load) = loads.entry(key).or_default();
                *slots += estimate.slots;
                *load += estimate.load;
            }
        }
        let row = |(model, (slots, load)): (ModelId, (f64, f64))| ModelLoad {
            model,
            slots: slots as u32,
            load: load as u32,
        };
        loads.into_iter().map(row).collect()
    }

    fn summarised(&mut self, summary: &DomainSummary, now: Time) {
        if summary.domain == self.members.own().domain {
            return;
        }
        for row in &summary.vms {
            self.members.vouched(row.clone(), summary.age, now);
        }
        self.loads.summarised(summary, now);
    }

    /// Summaries that other domains sent to this VM lately, with the VMs that were heard with them.
    fn relayed_summaries(&self, now: Time) -> Vec<DomainSummary> {
        let is_direct = |domain: &DomainId| self.direct.get(domain).is_some_and(|at| now.since(*at) < FRESH);
        let fresh = self.loads.summaries(now).filter(|(domain, _, _)| is_direct(domain));
        let summary = |(domain, age, models): (&DomainId, Millis, Vec<ModelLoad>)| {
            let vms = self.members.live(domain, now).take(SUMMARY_VMS).cloned().collect();
            DomainSummary {
                domain: domain.clone(),
                models,
                vms,
                age,
            }
        };
        fresh.map(summary).collect()
    }

    fn domain_rows(&self) -> Vec<VmRow> {
        self.members.neighbours().cloned().collect()
    }

    /// A digest of the VMs of the own domain that are known; equal on VMs that know the same.
    fn members_digest(&self) -> u64 {
        let own = self.members.own();
        let digest = |row: &VmRow| score(&row.vm, (row.incarnation, row.leaving));
        self.members
            .neighbours()
            .map(digest)
            .fold(digest(own), u64::wrapping_add)
    }
}
