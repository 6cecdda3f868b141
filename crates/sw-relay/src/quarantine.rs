//! Quarantine of prompt parts that crash endpoints.
//!
//! Prompts with a quarantined part are refused by all VMs, whether they are new, retried, resumed or forwarded. The entry
//! follows from the [evidence](crate::crash_evidence) alone, so VMs with the same evidence quarantine the same parts. The
//! part that explains most crashes is quarantined first, and the crashes that it explains no longer count against others.
//! A part that was answered before the crashes needs more of them: it is more likely to have been beside the cause.
//!
//! Parts that were in each of the prompts that crashed endpoints cannot be distinguished. A prompt with some of them, but not
//! all, serves as a probe: one VM of a region sends one such prompt at a time. A complete response clears its parts, a
//! crash clears the others. Otherwise the first part of all prompts of a route could stay quarantined, and with it the route.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sw_error::{Kind, Refusal};
use sw_member::rendezvous_score;
use sw_unit::{EndpointId, Incarnation, Millis, PartId, Time, VmId};

use crate::crash_evidence::{Crash, CrashEvidence, distinct_moments};
use crate::rate_limit::MAX_REPLY_TRANSIT;
use crate::{AdmittedRequest, AnsweredPart, Attempt, AttemptOutcome, CrashReport, Prompt, Relay};

/// Crashes after which a part is quarantined that was never answered completely.
const MIN_CRASHES: u32 = 2;
/// Crashes after which a part is quarantined that was answered completely before them.
const MIN_CRASHES_IF_ANSWERED: u32 = 4;
/// Crashes after which a part that was answered before is no longer tried alone.
const MAX_CRASHES_FOR_PROBE: u32 = 8;
/// Time since the last crash for which a part with [`MIN_CRASHES`] is quarantined; doubled with each further crash.
const MIN_QUARANTINE: Millis = Millis(60_000);
/// Longest time since the last crash for which a part is quarantined.
const MAX_QUARANTINE: Millis = Millis(600_000);

/// Time after which a probe no longer prevents another one.
const PROBE_TIME: Millis = Millis(8_000);
/// The same for a probe that was not sent to an endpoint.
const UNSENT_PROBE_TIME: Millis = Millis(500);

/// Why and until when a part is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Crashes that the part explains.
    pub crashes: u32,
    /// End of the quarantine.
    pub until: Time,
    /// The lowest id of the parts that explain the same crashes and cannot be distinguished from this one.
    group: PartId,
    /// Number of these parts, including this one.
    alike: usize,
    /// Whether prompts with these parts were answered before the crashes, so that other parts may be the cause.
    was_answered: bool,
}

/// A change of the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A part is quarantined.
    Quarantined {
        /// The part.
        part: PartId,
        /// Why and until when.
        entry: QuarantineEntry,
    },
    /// A part is no longer quarantined.
    Released {
        /// The part.
        part: PartId,
    },
    /// A prompt with a quarantined part is sent as a probe.
    Probed {
        /// The part.
        part: PartId,
        /// The id of the request.
        request: Arc<str>,
    },
}

/// A prompt that is sent to distinguish parts.
#[derive(Debug, Clone)]
struct Probe {
    request: Arc<str>,
    started_at: Time,
    /// Whether it was sent to an endpoint.
    sent: bool,
}

impl Probe {
    fn is_over(&self, now: Time) -> bool {
        let limit = if self.sent { PROBE_TIME } else { UNSENT_PROBE_TIME };
        now.since(self.started_at) >= limit
    }
}

/// VMs to which news of a crash should be sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NewsScope {
    /// The neighbours, because the news came from another failure domain.
    Neighbours,
    /// The neighbours and a VM of each other failure domain, because this VM saw the crash.
    All,
}

/// The quarantined parts, and the evidence against them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Quarantine {
    pub(crate) evidence: CrashEvidence,
    entries: IndexMap<PartId, QuarantineEntry>,
    /// Parts that an operator has taken out of the quarantine.
    exempt: IndexSet<PartId>,
    /// Probes by the group of parts that they distinguish.
    probes: IndexMap<PartId, Probe>,
    changes: Vec<QuarantineChange>,
    news: Option<NewsScope>,
}

impl Quarantine {
    /// Derives the entries from the evidence.
    fn update(&mut self, now: Time) {
        let mut entries = derive_entries(&self.evidence, now);
        entries.retain(|part, _| !self.exempt.contains(part));
        let released = self.entries.keys().filter(|part| !entries.contains_key(*part));
        let released = released.map(|part| QuarantineChange::Released { part: *part });
        let added = entries.iter().filter(|(part, _)| !self.entries.contains_key(*part));
        let added = added.map(|(part, entry)| QuarantineChange::Quarantined {
            part: *part,
            entry: *entry,
        });
        let changes: Vec<_> = released.chain(added).collect();
        self.changes.extend(changes);
        self.entries = entries;
    }

    fn announce(&mut self, scope: NewsScope) {
        self.news = self.news.max(Some(scope));
    }

    /// Returns the quarantined part of a prompt that keeps it longest from being sent.
    fn entry(&self, prompt: &Prompt, now: Time) -> Option<(PartId, QuarantineEntry)> {
        if self.entries.is_empty() {
            return None;
        }
        let parts = prompt.shared_parts().iter().map(|part| part.id);
        let entries = parts.filter_map(|part| Some((part, *self.entries.get(&part)?)));
        entries
            .filter(|(_, entry)| entry.until > now)
            .max_by_key(|(_, entry)| entry.until)
    }

    /// Returns whether a prompt distinguishes the parts of an entry's group, because it has some of them only, or
    /// distinguishes them from the other parts of the prompts that crashed endpoints.
    fn is_discriminating(&self, prompt: &Prompt, entry: QuarantineEntry) -> bool {
        let parts = prompt.shared_parts().iter();
        let entries = parts.filter_map(|part| self.entries.get(&part.id));
        let (in_group, others): (Vec<&QuarantineEntry>, Vec<&QuarantineEntry>) =
            entries.partition(|other| other.group == entry.group);
        let may_be_sound = entry.was_answered && entry.crashes < MAX_CRASHES_FOR_PROBE;
        others.is_empty() && (in_group.len() < entry.alike || may_be_sound)
    }

    fn is_probe(&self, admitted: &AdmittedRequest, entry: QuarantineEntry) -> bool {
        let probe = self.probes.get(&entry.group);
        probe.is_some_and(|probe| probe.request == admitted.id) && (entry.alike > 1 || entry.was_answered)
    }
}

impl Relay {
    /// Returns the quarantined part of a request's prompt, if it has one.
    ///
    /// A probe counts as having none.
    pub fn quarantined_part(&self, admitted: &AdmittedRequest, now: Time) -> Option<(PartId, QuarantineEntry)> {
        let (part, entry) = self.quarantine.entry(admitted.prompt.as_ref()?, now)?;
        (!self.quarantine.is_probe(admitted, entry)).then_some((part, entry))
    }

    /// Sets the parts that are never quarantined.
    pub fn set_exempt_parts(&mut self, parts: impl Iterator<Item = PartId>, now: Time) {
        self.quarantine.exempt = parts.collect();
        self.quarantine.update(now);
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_parts(&self) -> usize {
        self.quarantine.entries.len()
    }

    /// Records that an attempt broke off; returns whether the endpoint should be checked for a crash.
    ///
    /// A response with a head and no event distinguishes the prompt that the endpoint had just started to answer from the
    /// others that it was running.
    pub fn on_broken_attempt(&mut self, attempt: &Attempt, now: Time) -> bool {
        let has_started = attempt.head_at.is_some() && attempt.events == 0;
        if !has_started || attempt.shared_parts.is_empty() || self.is_leaving(&attempt.endpoint.id) {
            return false;
        }
        let evidence = &mut self.quarantine.evidence;
        let is_first = evidence.on_break(&attempt.endpoint, &attempt.shared_parts, now);
        self.quarantine.update(now);
        is_first
    }

    /// Records that an incarnation of an endpoint ended unplanned.
    pub fn on_endpoint_ended(&mut self, endpoint: &EndpointId, incarnation: Incarnation, now: Time) {
        if self.quarantine.evidence.on_ended(endpoint, incarnation, now) {
            self.quarantine.announce(NewsScope::All);
            self.quarantine.update(now);
        }
    }

    /// Returns the changes of the quarantine since the last call, to be logged.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.quarantine.changes)
    }

    /// Returns to which VMs news of crashes should be sent at once; `None` if there is none since the last call.
    pub fn take_crash_news(&mut self) -> Option<NewsScope> {
        self.quarantine.news.take()
    }

    /// Records that a request is sent to an endpoint.
    pub(crate) fn on_probe_sent(&mut self, request: &str) {
        let probes = self.quarantine.probes.values_mut();
        for probe in probes.filter(|probe| *probe.request == *request) {
            probe.sent = true;
        }
    }

    /// Clears the parts of a complete response; only a framed one is known to be complete.
    pub(crate) fn clear_answered(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) {
        self.quarantine
            .probes
            .retain(|_, probe| probe.request != attempt.request);
        if outcome == AttemptOutcome::Complete && attempt.is_framed && !attempt.shared_parts.is_empty() {
            self.quarantine.evidence.on_answered(&attempt.shared_parts, now);
            if !self.quarantine.entries.is_empty() {
                self.quarantine.update(now);
            }
        }
    }

    /// Merges what another VM knows of crashes; `is_remote` if it is in another failure domain.
    pub(crate) fn on_crash_reports(
        &mut self,
        crashes: &[CrashReport],
        answered: &[AnsweredPart],
        is_remote: bool,
        now: Time,
    ) {
        if crashes.is_empty() && answered.is_empty() {
            return;
        }
        if let Some(transit) = self.peer_transit(MAX_REPLY_TRANSIT, now) {
            for report in answered {
                self.quarantine.evidence.on_answered_report(*report, transit, now);
            }
        }
        let mut is_news = false;
        for report in crashes {
            is_news |= self.quarantine.evidence.on_report(report, now);
        }
        if is_news && is_remote {
            self.quarantine.announce(NewsScope::Neighbours);
        }
        self.quarantine.update(now);
    }

    /// Returns the refusal of a prompt with a quarantined part, unless it is sent as a probe.
    pub(crate) fn quarantine_refusal(&mut self, admitted: &AdmittedRequest, now: Time) -> Option<Refusal> {
        let (part, entry) = self.quarantined_part(admitted, now)?;
        let prompt = admitted.prompt.as_ref()?;
        self.quarantine.probes.retain(|_, probe| !probe.is_over(now));
        let is_free = !self.quarantine.probes.contains_key(&entry.group);
        if is_free && self.quarantine.is_discriminating(prompt, entry) && self.sends_probes(entry.group, now) {
            let request = Arc::clone(&admitted.id);
            let probe = Probe {
                request: Arc::clone(&request),
                started_at: now,
                sent: false,
            };
            self.quarantine.probes.insert(entry.group, probe);
            self.quarantine.changes.push(QuarantineChange::Probed { part, request });
            return None;
        }
        Some(Refusal::with_retry_after(
            Kind::QuarantinedPrompt,
            entry.until.since(now),
        ))
    }

    pub(crate) fn update_quarantine(&mut self, now: Time) {
        self.quarantine.evidence.prune(now);
        self.quarantine.update(now);
    }

    /// Returns whether this VM is the one of its region that sends probes for a group.
    fn sends_probes(&self, group: PartId, now: Time) -> bool {
        let local = self.members.local();
        let score = |vm: &VmId| rendezvous_score(group.0, vm.as_str());
        let peers = self.members.peers().filter(|row| row.region == local.region);
        let mut live = peers.filter(|row| self.is_live(&row.vm, now));
        live.all(|row| score(&row.vm) < score(&local.vm))
    }

    fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        let known = self.registry.get(endpoint);
        known.is_some_and(|known| known.entry.leaving)
    }
}

/// Returns the parts that explain enough crashes, with their entries.
fn derive_entries(evidence: &CrashEvidence, now: Time) -> IndexMap<PartId, QuarantineEntry> {
    let mut open = evidence.open_crashes();
    let mut entries = IndexMap::new();
    while let Some((part, crashes)) = most_suspected(evidence, &open) {
        let explained: Vec<_> = open.extract_if(.., |crash| crash.suspects.contains(&part)).collect();
        let last = explained.last().map_or(now, |crash| crash.at);
        let until = last + quarantine_time(crashes);
        if until > now {
            let alike = parts_alike(evidence, part, &explained);
            let entry = QuarantineEntry {
                crashes,
                until,
                group: alike.iter().copied().min().unwrap_or(part),
                alike: alike.len(),
                was_answered: evidence.was_answered(part),
            };
            entries.extend(alike.into_iter().map(|part| (part, entry)));
        }
    }
    entries
}

/// Returns the parts, with `part` itself, that were in each of the crashes and cannot be distinguished.
fn parts_alike(evidence: &CrashEvidence, part: PartId, crashes: &[Crash]) -> Vec<PartId> {
    let was_answered = evidence.was_answered(part);
    let suspects = crashes.first().into_iter().flat_map(|crash| &crash.suspects).copied();
    let alike = suspects.filter(|other| {
        let in_all = crashes.iter().all(|crash| crash.suspects.contains(other));
        in_all && evidence.was_answered(*other) == was_answered
    });
    alike.collect()
}

/// Returns the part that explains most of the crashes, with their number, if they are enough to quarantine it.
fn most_suspected(evidence: &CrashEvidence, open: &[Crash]) -> Option<(PartId, u32)> {
    let suspects: IndexSet<_> = open.iter().flat_map(|crash| &crash.suspects).copied().collect();
    let counted = suspects.into_iter().map(|part| {
        let crashes = open.iter().filter(|crash| crash.suspects.contains(&part));
        (part, distinct_moments(crashes.map(|crash| crash.at)))
    });
    let added = counted.filter(|(part, crashes)| {
        *crashes
            >= if evidence.was_answered(*part) {
                MIN_CRASHES_IF_ANSWERED
            } else {
                MIN_CRASHES
            }
    });
    added.max_by_key(|(part, crashes)| (*crashes, !evidence.was_answered(*part)))
}

fn quarantine_time(crashes: u32) -> Millis {
    let doublings = crashes.saturating_sub(MIN_CRASHES).min(16);
    Millis(MIN_QUARANTINE.0 << doublings).min(MAX_QUARANTINE)
}
