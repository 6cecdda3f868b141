//! Heartbeats between VMs.
//!
//! Within a failure domain each pair of VMs exchanges heartbeats once a period: a VM sends a heartbeat to a neighbour
//! only if it has not received one from it recently, and the reply is a heartbeat too. With each remote domain, a
//! delegate exchanges heartbeats with one of the VMs there, and a second delegate does so if the domain's summary gets
//! too old. These heartbeats carry a summary of the load by model and a few rows of live VMs. On both sides, the VM
//! that receives a summary sends it on to its neighbours, with rows of a few VMs of that domain that it knows to be
//! live.
//!
//! A heartbeat omits what the receiver knows: the sender's row, members, leaving endpoints, reports that were sent
//! before, and unchanged parts of a summary. A VM that misses a reply sends its full row again. The receiver of a full
//! row sends it the leaving endpoints, reports and summaries again, so lost information is sent again.

use indexmap::IndexMap;
use sw_load::{DomainSummary, ModelLoad, Report};
use sw_member::{RowSource, VmRow, VmState, rendezvous_score, rendezvous_top};
use sw_route::{Policy, summary_keys};
use sw_unit::{DomainId, Incarnation, Millis, ModelId, Time};

use crate::{Gate, Heartbeat, HeartbeatSender, StoreObservation};

/// Fraction of the heartbeat period after which a neighbour is due again; below 1 because ticks are not exact.
const DUE_FRACTION: f64 = 0.9;
/// Age of a remote domain's summary at which the first delegate exchanges heartbeats with that domain.
const SUMMARY_PERIOD: Millis = Millis(2_800);
/// Age of a remote domain's summary at which the other delegates do so too.
const SUMMARY_TIMEOUT: Millis = Millis(5_000);
/// Time without a report on an endpoint from any neighbour after which a VM that polls the endpoint sends its reports
/// to its neighbours even if it isn't the reporter.
const REPORT_TIMEOUT: Millis = Millis(3_500);
/// Time between two full summaries of a domain to the same VM.
const FULL_SUMMARY_PERIOD: Millis = Millis(60_000);
/// Smallest change of load that is sent again, as a fraction of the slots; at least 1. A change of the slots, or of the
/// load from or to 0, is always sent.
const MIN_LOAD_CHANGE: f64 = 0.1;
/// Maximum number of live VMs that the summary of a domain lists.
const SUMMARY_VMS: usize = 4;

/// What a peer is assumed to know.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerState {
    incarnation: Incarnation,
    /// Digest of the members that the peer knows.
    members_digest: u64,
    /// Revision up to which the peer knows the leaving endpoints.
    leaving_revision: u64,
    /// Whether the peer knows the current row of this VM, so that the short form identifies the sender.
    knows_local_row: bool,
    last_sent_at: Time,
    summaries: IndexMap<DomainId, SentSummary>,
}

/// What was sent to a peer about a domain.
#[derive(Debug, Clone, Default)]
struct SentSummary {
    full_at: Option<Time>,
    /// Slots and load that were sent, by model.
    models: IndexMap<ModelId, (u32, u32)>,
    /// Digests of the rows in the last summary.
    vms: Vec<u64>,
}

impl PeerState {
    /// Assumes that the peer knows nothing of what was sent.
    fn forget_sent(&mut self) {
        self.leaving_revision = 0;
        self.last_sent_at = Time::default();
        self.summaries.clear();
    }
}

impl<P: Policy> Gate<P> {
    /// Returns the VMs that are due for a heartbeat.
    ///
    /// `all` is for changes that are announced at once: it includes neighbours that are not due and, if this VM is
    /// leaving, a VM of each remote domain.
    pub fn heartbeat_targets(&self, all: bool, now: Time) -> Vec<VmRow> {
        let due = Millis((self.members.heartbeat_period().0 as f64 * DUE_FRACTION) as u64);
        let is_due = |row: &&VmRow| {
            all || self
                .members
                .last_received_at(&row.vm)
                .is_none_or(|at| now.since(at) >= due)
        };
        let mut rows: Vec<_> = self.members.neighbours().filter(is_due).cloned().collect();
        let local = &self.members.local().domain;
        if let Some(version) = &self.version {
            let remote = version.fleet.domains.keys().filter(|domain| *domain != local);
            let due = remote.filter(|domain| self.is_summary_due(domain, all, now));
            rows.extend(
                due.filter_map(|domain| self.members.remote_delegate(domain, now))
                    .cloned(),
            );
        }
        rows
    }

    /// Builds the heartbeat for a VM; `to` is `None` for a VM that is not known yet.
    ///
    /// Its reports and summaries then count as sent to the VM, its leaving endpoints only after
    /// [`Gate::on_heartbeat_acknowledged`]. [`Heartbeat::store`] is left empty for the sender to fill in.
    pub fn heartbeat(&mut self, to: Option<&VmRow>, now: Time) -> Heartbeat {
        let local = self.members.local().clone();
        let mut heartbeat = Heartbeat {
            sender: HeartbeatSender::Full(local.clone()),
            receiver_digest: to.map_or(0, row_digest),
            members_digest: self.members_digest(),
            members: Vec::new(),
            leaving: Vec::new(),
            reports: Vec::new(),
            summaries: Vec::new(),
            store: StoreObservation::default(),
        };
        let Some(to) = to else {
            heartbeat.members = self.neighbour_rows();
            heartbeat.summaries = vec![self.summary(now)];
            return heartbeat;
        };
        let peer = self.peer_state(to);
        if peer.knows_local_row {
            heartbeat.sender = HeartbeatSender::Brief(local.brief());
        }
        let last_sent_at = std::mem::replace(&mut peer.last_sent_at, now);
        let (members_digest, leaving_revision) = (peer.members_digest, peer.leaving_revision);
        if to.domain != local.domain {
            let summary = self.summary(now);
            heartbeat.summaries = vec![self.reduce_summary(to, summary, now)];
            return heartbeat;
        }
        if members_digest != heartbeat.members_digest {
            heartbeat.members = self.neighbour_rows();
        }
        if leaving_revision != self.leaving.revision() {
            heartbeat.leaving = self.leaving.incarnations().collect();
        }
        heartbeat.reports = self.reports_since(last_sent_at, now);
        heartbeat.summaries = self.summaries_since(to, last_sent_at, now);
        heartbeat
    }

    /// Applies a heartbeat and returns the sender's row; `None` if the sender's incarnation is not known, because it
    /// used the short form, or if a newer one is known.
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
            self.members.on_gossip(row, RowSource::Neighbour, now);
        }
        for incarnation in &heartbeat.leaving {
            self.leaving.mark(incarnation);
        }
        for report in heartbeat.reports {
            self.neighbour_report_at.insert(report.endpoint.clone(), now);
            self.on_report(report, now);
        }
        for summary in &heartbeat.summaries {
            self.on_summary(summary, now);
        }
        let sender = self
            .members
            .incarnation_row(heartbeat.sender.vm(), heartbeat.sender.incarnation())?
            .clone();
        if sender.domain != self.members.local().domain {
            self.direct_heartbeat_at.insert(sender.domain.clone(), now);
        }
        let knows_local_row = heartbeat.receiver_digest == row_digest(self.members.local());
        let peer = self.peer_state(&sender);
        if matches!(heartbeat.sender, HeartbeatSender::Full(_)) {
            // The sender is new or missed a reply, so what was sent to it may be lost.
            peer.forget_sent();
        }
        peer.knows_local_row = knows_local_row;
        peer.members_digest = heartbeat.members_digest;
        Some(sender)
    }

    /// Records that a peer has received all leaving endpoints up to `revision`, the value of [`Gate::leaving_revision`]
    /// when the heartbeat was built.
    pub fn on_heartbeat_acknowledged(&mut self, peer: &VmRow, revision: u64) {
        self.peer_state(peer).leaving_revision = revision;
    }

    /// Records that a heartbeat to a peer may be lost, so that the next one has the full row and assumes that the
    /// peer knows nothing.
    pub fn on_heartbeat_unanswered(&mut self, to: &VmRow) {
        self.peer_states.swap_remove(&to.vm);
    }

    /// Returns a number that grows with each leaving endpoint.
    pub fn leaving_revision(&self) -> u64 {
        self.leaving.revision()
    }

    /// Returns a random peer that runs a newer configuration than this VM and is not suspect, a neighbour if possible.
    pub fn peer_with_newer_config(&mut self, now: Time) -> Option<VmRow> {
        let version = self.version_number();
        let has_newer =
            |row: &&VmRow| row.version > version && self.members.state(&row.vm, now) != Some(VmState::Suspect);
        let neighbours: Vec<_> = self.members.neighbours().filter(has_newer).collect();
        let peers = || self.members.peers().filter(has_newer).collect();
        let candidates = if neighbours.is_empty() { peers() } else { neighbours };
        self.rng.choice(candidates).cloned()
    }

    /// Returns the summary of the local domain.
    pub fn summary(&self, now: Time) -> DomainSummary {
        let local = self.members.local();
        let live = self.members.live_vms(&local.domain, now);
        let chosen = rendezvous_top(&local.domain, live.clone().map(|row| &row.vm), SUMMARY_VMS);
        let vms = live.filter(|row| chosen.contains(&&row.vm)).cloned().collect();
        let models = self.model_loads(now);
        DomainSummary {
            domain: local.domain.clone(),
            models,
            vms,
            live_digests: Vec::new(),
            age: Millis(0),
        }
    }

    /// Returns what a peer is assumed to know; nothing for a new incarnation.
    fn peer_state(&mut self, row: &VmRow) -> &mut PeerState {
        let peer = self.peer_states.entry(row.vm.clone()).or_default();
        if peer.incarnation != row.incarnation {
            *peer = PeerState {
                incarnation: row.incarnation,
                ..PeerState::default()
            };
        }
        peer
    }

    fn is_summary_due(&self, domain: &DomainId, all: bool, now: Time) -> bool {
        // A leaving VM is no longer a delegate, but still has to announce that it leaves.
        if all && self.members.local().leaving {
            return true;
        }
        let summary_at = self.load_tracker.summary_at(domain);
        let is_older_than = |after: Millis| summary_at.is_none_or(|at| now.since(at) >= after);
        match self.members.delegate_rank(domain, now) {
            None => false,
            Some(0) => is_older_than(SUMMARY_PERIOD),
            Some(_) => is_older_than(SUMMARY_TIMEOUT),
        }
    }

    /// Returns the reports polled by this VM and not sent yet, of endpoints that it is the reporter of or that no
    /// neighbour has reported on for [`REPORT_TIMEOUT`] or ever.
    fn reports_since(&self, last_sent_at: Time, now: Time) -> Vec<Report> {
        let is_new = |report: &Report| {
            self.last_polled_at
                .get(&report.endpoint)
                .is_some_and(|at| *at > last_sent_at)
        };
        let is_unreported = |report: &Report| {
            let neighbours_at = self.neighbour_report_at.get(&report.endpoint);
            neighbours_at.is_none_or(|at| now.since(*at) >= REPORT_TIMEOUT)
        };
        let is_reporter = |report: &Report| self.members.is_reporter(&report.endpoint, now) || is_unreported(report);
        self.load_tracker
            .reports(now)
            .filter(|report| is_new(report) && is_reporter(report))
            .collect()
    }

    /// Returns the summaries of the remote domains from which this VM received a heartbeat since `last_sent_at`.
    fn summaries_since(&mut self, to: &VmRow, last_sent_at: Time, now: Time) -> Vec<DomainSummary> {
        let new = self.direct_heartbeat_at.iter().filter(|(_, at)| **at > last_sent_at);
        let domains: Vec<_> = new.map(|(domain, _)| domain.clone()).collect();
        let known_summaries: Vec<_> = self
            .load_tracker
            .summaries(now)
            .map(|(domain, age, models)| (domain.clone(), age, models))
            .collect();
        let mut summaries = Vec::new();
        for (domain, age, models) in known_summaries
            .into_iter()
            .filter(|(domain, _, _)| domains.contains(domain))
        {
            let vms = self.members.live_vms(&domain, now).take(SUMMARY_VMS).cloned().collect();
            let full = DomainSummary {
                domain,
                models,
                vms,
                live_digests: Vec::new(),
                age,
            };
            summaries.push(self.reduce_summary(to, full, now));
        }
        summaries
    }

    /// Returns a summary without what the receiver knows.
    fn reduce_summary(&mut self, to: &VmRow, mut summary: DomainSummary, now: Time) -> DomainSummary {
        let sent = self.peer_state(to).summaries.entry(summary.domain.clone()).or_default();
        if sent.full_at.is_none_or(|at| now.since(at) >= FULL_SUMMARY_PERIOD) {
            *sent = SentSummary {
                full_at: Some(now),
                ..SentSummary::default()
            };
        }
        summary.models.retain(|load| {
            let changed = sent
                .models
                .get(&load.model)
                .is_none_or(|known| is_significant(*known, load));
            if changed {
                sent.models.insert(load.model.clone(), (load.slots, load.load));
            }
            changed
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
            let incarnation = self.load_tracker.incarnation(id);
            if self.leaving.contains(id, incarnation) || self.load_tracker.is_in_backoff(id, now) {
                continue;
            }
            let estimate = self.load_tracker.estimate(id, endpoint.slots, vms, now);
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

    fn on_summary(&mut self, summary: &DomainSummary, now: Time) {
        if summary.domain == self.members.local().domain {
            return;
        }
        for row in &summary.vms {
            self.members.on_delegate_report(row.clone(), summary.age, now);
        }
        let is_reported_live =
            |row: &&VmRow| row.domain == summary.domain && summary.live_digests.contains(&row_digest(row));
        let reported_live: Vec<_> = self.members.peers().filter(is_reported_live).cloned().collect();
        for row in reported_live {
            self.members.on_delegate_report(row, summary.age, now);
        }
        self.load_tracker.on_summary(summary, now);
    }

    fn neighbour_rows(&self) -> Vec<VmRow> {
        self.members.neighbours().cloned().collect()
    }

    /// Returns a digest of the known VMs of the local domain; VMs that know the same members have the same digest.
    fn members_digest(&self) -> u64 {
        let local = self.members.local();
        let digest = |row: &VmRow| rendezvous_score(&row.vm, (row.incarnation, row.leaving));
        self.members
            .neighbours()
            .map(digest)
            .fold(digest(local), u64::wrapping_add)
    }
}

/// Returns a digest of a row's VM, incarnation and addresses, and of whether it is leaving.
fn row_digest(row: &VmRow) -> u64 {
    rendezvous_score((&row.vm, row.incarnation, row.leaving), (row.listen, row.peer_listen))
}

/// Returns whether a load differs enough from the slots and load that were sent, see [`MIN_LOAD_CHANGE`].
fn is_significant((slots, load): (u32, u32), current: &ModelLoad) -> bool {
    let min_change = (f64::from(current.slots) * MIN_LOAD_CHANGE).max(1.0);
    slots != current.slots || f64::from(load.abs_diff(current.load)) >= min_change || (load == 0) != (current.load == 0)
}
