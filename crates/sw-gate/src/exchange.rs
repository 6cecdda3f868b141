//! Heartbeats between VMs.
//!
//! Within a failure domain each pair of VMs exchanges heartbeats once a period: a VM greets a neighbour only if it has
//! not heard it lately, and the answer to a greeting is a heartbeat too. Between domains only one delegate speaks for
//! each pair of domains, with a summary by model and a few rows of live VMs, which the delegates pass on to their
//! neighbours.
//!
//! What the receiver knows is left out: the sender's own row, members and leaving endpoints, reports that were sent
//! before, and what did not change in a summary. Whoever misses an answer sends its whole row again, and the receiver
//! of a whole row leaves nothing out of its next heartbeat, so what was lost comes back.

use indexmap::IndexMap;
use sw_load::{DomainSummary, ModelLoad, Report};
use sw_member::{VmRow, VmState, rendezvous_score, rendezvous_top};
use sw_route::{Policy, summary_keys};
use sw_unit::{DomainId, Incarnation, Millis, ModelId, Time};

use crate::{Gate, Heartbeat, HeartbeatSender, StoreObservation};

/// Part of a period after which a neighbour that was heard is due again; below 1, because ticks are not exact.
const DUE_SHARE: f64 = 0.9;
/// Time between two exchanges of a pair of domains.
const SUMMARY_PERIOD: Millis = Millis(2_800);
/// Age of a domain's summary at which delegates in reserve ask for it.
const SUMMARY_LATE: Millis = Millis(5_000);
/// Age of a neighbour's report of an endpoint at which VMs in reserve report on it.
const REPORT_LATE: Millis = Millis(3_500);
/// Time between two whole summaries to a VM.
const WHOLE_SUMMARY_PERIOD: Millis = Millis(60_000);
/// A change of load by less than this share of the slots is not sent.
const SMALL_CHANGE: f64 = 0.1;
/// Live VMs of a domain that its summary names.
const SUMMARY_VMS: usize = 4;

/// What is known of what another VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerState {
    incarnation: Incarnation,
    members_digest: u64,
    leaving_rev: u64,
    knows_own_row: bool,
    last_sent: Time,
    summaries: IndexMap<DomainId, SentSummary>,
}

/// What was sent to a VM about a domain.
#[derive(Debug, Clone, Default)]
struct SentSummary {
    whole_at: Option<Time>,
    models: IndexMap<ModelId, (u32, u32)>,
    vms: Vec<u64>,
}

impl PeerState {
    /// Takes nothing that was sent for known.
    fn forget_sent(&mut self) {
        self.leaving_rev = 0;
        self.last_sent = Time::default();
        self.summaries.clear();
    }
}

impl<P: Policy> Gate<P> {
    /// The VMs to greet now.
    ///
    /// `all` greets also those that were heard lately, because there is something to tell at once.
    pub fn heartbeat_targets(&self, all: bool, now: Time) -> Vec<VmRow> {
        let due = Millis((self.members.heartbeat_period().0 as f64 * DUE_SHARE) as u64);
        let is_due = |row: &&VmRow| {
            all || self
                .members
                .last_received_at(&row.vm)
                .is_none_or(|at| now.since(at) >= due)
        };
        let mut rows: Vec<_> = self.members.neighbours().filter(is_due).cloned().collect();
        let own = &self.members.local().domain;
        if let Some(version) = &self.version {
            let others = version.fleet.domains.keys().filter(|domain| *domain != own);
            let due = others.filter(|domain| self.is_summary_due(domain, all, now));
            rows.extend(
                due.filter_map(|domain| self.members.remote_delegate(domain, now))
                    .cloned(),
            );
        }
        rows
    }

    /// The heartbeat for a VM; `None` stands for a VM that is not known yet.
    pub fn heartbeat(&mut self, to: Option<&VmRow>, now: Time) -> Heartbeat {
        let own = self.members.local().clone();
        let mut heartbeat = Heartbeat {
            sender: HeartbeatSender::Full(own.clone()),
            receiver_digest: to.map_or(0, row_digest),
            members_digest: self.members_digest(),
            members: Vec::new(),
            leaving: Vec::new(),
            reports: Vec::new(),
            summaries: Vec::new(),
            store: StoreObservation::default(),
        };
        let Some(to) = to else {
            heartbeat.members = self.domain_rows();
            heartbeat.summaries = vec![self.summary(now)];
            return heartbeat;
        };
        let peer = self.peer(to);
        if peer.knows_own_row {
            heartbeat.sender = HeartbeatSender::Brief(own.brief());
        }
        let last_sent = std::mem::replace(&mut peer.last_sent, now);
        let (members_digest, leaving_rev) = (peer.members_digest, peer.leaving_rev);
        if to.domain != own.domain {
            let summary = self.summary(now);
            heartbeat.summaries = vec![self.reduced(to, summary, now)];
            return heartbeat;
        }
        if members_digest != heartbeat.members_digest {
            heartbeat.members = self.domain_rows();
        }
        if leaving_rev != self.leaving.revision() {
            heartbeat.leaving = self.leaving.incarnations().collect();
        }
        heartbeat.reports = self.reports_since(last_sent, now);
        heartbeat.summaries = self.summaries_since(to, last_sent, now);
        heartbeat
    }

    /// Takes in a heartbeat, and returns the sender's row; `None` if the sender named itself briefly and is not known.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> Option<VmRow> {
        match &heartbeat.sender {
            HeartbeatSender::Full(row) => {
                self.members.on_heartbeat(row.clone(), now);
            }
            HeartbeatSender::Brief(brief) => {
                self.members.on_brief_heartbeat(brief, now);
            }
        }
        for row in heartbeat.members {
            self.members.on_gossip(row, now);
        }
        for life in &heartbeat.leaving {
            self.leaving.mark(life);
        }
        for report in heartbeat.reports {
            self.reported_by_others.insert(report.endpoint.clone(), now);
            self.reported(report, now);
        }
        for summary in &heartbeat.summaries {
            self.summarised(summary, now);
        }
        let from = self
            .members
            .incarnation_row(heartbeat.sender.vm(), heartbeat.sender.incarnation())?
            .clone();
        if from.domain != self.members.local().domain {
            self.direct.insert(from.domain.clone(), now);
        }
        let knows_own_row = heartbeat.receiver_digest == row_digest(self.members.local());
        let peer = self.peer(&from);
        if matches!(heartbeat.sender, HeartbeatSender::Full(_)) {
            // The sender is new or missed an answer, so what was sent to it may be lost.
            peer.forget_sent();
        }
        peer.knows_own_row = knows_own_row;
        peer.members_digest = heartbeat.members_digest;
        Some(from)
    }

    /// Records that a VM has taken in all leaving endpoints up to `rev`, the number that [`Gate::leaving_revision`] gave.
    pub fn on_heartbeat_acknowledged(&mut self, by: &VmRow, rev: u64) {
        self.peer(by).leaving_rev = rev;
    }

    /// Records that a heartbeat to a VM may be lost, so that nothing is left out of the next one.
    pub fn on_heartbeat_unanswered(&mut self, to: &VmRow) {
        self.peers.swap_remove(&to.vm);
    }

    /// A number that grows with each leaving endpoint.
    pub fn leaving_revision(&self) -> u64 {
        self.leaving.revision()
    }

    /// A live VM that runs a newer configuration than this one; one of the own domain if there is any.
    pub fn peer_with_newer_config(&mut self, now: Time) -> Option<VmRow> {
        let version = self.version_number();
        let is_ahead =
            |row: &&VmRow| row.version > version && self.members.state(&row.vm, now) != Some(VmState::Suspect);
        let near: Vec<_> = self.members.neighbours().filter(is_ahead).collect();
        let far = || self.members.peers().filter(is_ahead).collect();
        let ahead = if near.is_empty() { far() } else { near };
        self.rng.choice(ahead).cloned()
    }

    /// The summary of the own domain.
    pub fn summary(&self, now: Time) -> DomainSummary {
        let own = self.members.local();
        let live = self.members.live_vms(&own.domain, now);
        let chosen = rendezvous_top(&own.domain, live.clone().map(|row| &row.vm), SUMMARY_VMS);
        let vms = live.filter(|row| chosen.contains(&&row.vm)).cloned().collect();
        let models = self.model_loads(now);
        DomainSummary {
            domain: own.domain.clone(),
            models,
            vms,
            live_digests: Vec::new(),
            age: Millis(0),
        }
    }

    /// What is known of what a VM knows; nothing for a new life.
    fn peer(&mut self, row: &VmRow) -> &mut PeerState {
        let peer = self.peers.entry(row.vm.clone()).or_default();
        if peer.incarnation != row.incarnation {
            *peer = PeerState {
                incarnation: row.incarnation,
                ..PeerState::default()
            };
        }
        peer
    }

    fn is_summary_due(&self, domain: &DomainId, all: bool, now: Time) -> bool {
        // A VM that leaves is no delegate any more, but has to say so.
        if all && self.members.local().leaving {
            return true;
        }
        let confirmed = self.loads.summary_at(domain);
        let is_late = |after: Millis| confirmed.is_none_or(|at| now.since(at) >= after);
        match self.members.delegate_rank(domain, now) {
            None => false,
            Some(0) => is_late(SUMMARY_PERIOD),
            Some(_) => is_late(SUMMARY_LATE),
        }
    }

    /// Reports that this VM fetched and has not sent yet, for endpoints that it reports on.
    fn reports_since(&self, last_sent: Time, now: Time) -> Vec<Report> {
        let is_new = |report: &Report| self.polled.get(&report.endpoint).is_some_and(|at| *at > last_sent);
        let is_late = |report: &Report| {
            let by_others = self.reported_by_others.get(&report.endpoint);
            by_others.is_none_or(|at| now.since(*at) >= REPORT_LATE)
        };
        let is_own = |report: &Report| self.members.is_reporter(&report.endpoint, now) || is_late(report);
        self.loads
            .reports(now)
            .filter(|report| is_new(report) && is_own(report))
            .collect()
    }

    /// Summaries that other domains sent to this VM and that it has not passed on yet.
    fn summaries_since(&mut self, to: &VmRow, last_sent: Time, now: Time) -> Vec<DomainSummary> {
        let new = self.direct.iter().filter(|(_, at)| **at > last_sent);
        let domains: Vec<_> = new.map(|(domain, _)| domain.clone()).collect();
        let held: Vec<_> = self
            .loads
            .summaries(now)
            .map(|(domain, age, models)| (domain.clone(), age, models))
            .collect();
        let mut summaries = Vec::new();
        for (domain, age, models) in held.into_iter().filter(|(domain, _, _)| domains.contains(domain)) {
            let vms = self.members.live_vms(&domain, now).take(SUMMARY_VMS).cloned().collect();
            let whole = DomainSummary {
                domain,
                models,
                vms,
                live_digests: Vec::new(),
                age,
            };
            summaries.push(self.reduced(to, whole, now));
        }
        summaries
    }

    /// A summary without what the receiver knows.
    fn reduced(&mut self, to: &VmRow, mut summary: DomainSummary, now: Time) -> DomainSummary {
        let sent = self.peer(to).summaries.entry(summary.domain.clone()).or_default();
        if sent.whole_at.is_none_or(|at| now.since(at) >= WHOLE_SUMMARY_PERIOD) {
            *sent = SentSummary {
                whole_at: Some(now),
                ..SentSummary::default()
            };
        }
        summary.models.retain(|load| {
            let news = sent.models.get(&load.model).is_none_or(|known| is_news(*known, load));
            if news {
                sent.models.insert(load.model.clone(), (load.slots, load.load));
            }
            news
        });
        let digests: Vec<_> = summary.vms.iter().map(row_digest).collect();
        summary.live_digests = digests
            .iter()
            .copied()
            .filter(|digest| sent.vms.contains(digest))
            .collect();
        summary.vms.retain(|row| !sent.vms.contains(&row_digest(row)));
        sent.vms = digests;
        summary
    }

    fn model_loads(&self, now: Time) -> Vec<ModelLoad> {
        let Some(version) = &self.version else {
            return Vec::new();
        };
        let domain = &self.members.local().domain;
        let vms = self.members.local_live_count(now);
        let mut loads: IndexMap<ModelId, (f64, f64)> = IndexMap::new();
        for (id, endpoint) in version
            .fleet
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.domain == *domain)
        {
            let life = self.loads.incarnation(id);
            if self.leaving.contains(id, life) || self.loads.is_in_backoff(id, now) {
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
        if summary.domain == self.members.local().domain {
            return;
        }
        for row in &summary.vms {
            self.members.on_delegate_report(row.clone(), summary.age, now);
        }
        let is_vouched = |row: &&VmRow| row.domain == summary.domain && summary.live_digests.contains(&row_digest(row));
        let vouched: Vec<_> = self.members.peers().filter(is_vouched).cloned().collect();
        for row in vouched {
            self.members.on_delegate_report(row, summary.age, now);
        }
        self.loads.on_summary(summary, now);
    }

    fn domain_rows(&self) -> Vec<VmRow> {
        self.members.neighbours().cloned().collect()
    }

    /// A digest of the VMs of the own domain that are known; equal on VMs that know the same.
    fn members_digest(&self) -> u64 {
        let own = self.members.local();
        let digest = |row: &VmRow| rendezvous_score(&row.vm, (row.incarnation, row.leaving));
        self.members
            .neighbours()
            .map(digest)
            .fold(digest(own), u64::wrapping_add)
    }
}

/// A digest of what does not change during a VM's life, and of whether it is leaving.
fn row_digest(row: &VmRow) -> u64 {
    rendezvous_score((&row.vm, row.incarnation, row.leaving), (row.listen, row.peer_listen))
}

/// Whether a load differs enough from what was sent.
fn is_news((slots, load): (u32, u32), now: &ModelLoad) -> bool {
    let small = (f64::from(now.slots) * SMALL_CHANGE).max(1.0);
    slots != now.slots || f64::from(load.abs_diff(now.load)) >= small || (load == 0) != (now.load == 0)
}
