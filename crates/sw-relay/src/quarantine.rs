//! Quarantine of prompt parts and of requests that crash endpoints.
//!
//! Requests that are quarantined or whose prompt has a quarantined part are refused by all VMs, whether they are new,
//! retried, resumed or forwarded. The entries follow from the [evidence](crate::crash_evidence) alone, so VMs with the same
//! evidence quarantine the same suspects (`verdict.rs`).
//!
//! Suspects that were in each of the crashes cannot be distinguished. A request with some of them, but not all, serves as a
//! probe, one at a time: for parts, one VM of each region sends it; for requests, one VM of all. A complete response clears its
//! suspects, a crash clears the others. A part that most prompts have is probed as well: crashes of different causes have it in
//! common. Otherwise the first part of all prompts of a route could stay quarantined, and with
//! it the route. A request that crashed several endpoints is no probe for the parts of its prompt. One whose time of quarantine
//! is over is sent as a probe, by another VM every [`PROBE_TIME`], unless it has crashed too many endpoints.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sw_error::{Kind, Refusal};
use sw_member::rendezvous_score;
use sw_unit::{EndpointId, Fingerprint, Incarnation, Millis, PartId, Time, VmId};

use crate::crash_evidence::{BreakOutcome, CrashEvidence, ReportOutcome};
use crate::rate_limit::MAX_REPLY_TRANSIT;
use crate::suspects::{Progress, Suspect};
use crate::verdict::{MIN_CRASHES, QuarantineEntry, derive_entries};
use crate::{AdmittedRequest, AnsweredSuspect, Attempt, AttemptOutcome, ColdCause, CrashReport, Prompt, Relay};

/// Crashes after which a part that was answered before is no longer tried alone.
const MAX_CRASHES_FOR_PROBE: u32 = 8;
/// Crashes after which a request is no longer tried, as long as copies of it come.
const MAX_CRASHES_FOR_REQUEST_PROBE: u32 = 5;

/// Crashes after which a part that most prompts have is no longer tried alone.
const MAX_CRASHES_FOR_COMMON_PROBE: u32 = 6;
/// Share of the prompts from which on a part counts as one that most have, and number of prompts that tell it.
const COMMON_SHARE: f64 = 0.75;
const MIN_PROMPTS: u32 = 4;

/// Time after which a probe no longer prevents another one.
const PROBE_TIME: Millis = Millis(8_000);
/// The same for a probe that was not sent to an endpoint.
const UNSENT_PROBE_TIME: Millis = Millis(500);
/// Time since its first event after which a response that breaks off makes neither its request nor its prompt suspect.
const MAX_START: Millis = Millis(1_000);

/// A change of the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A suspect is quarantined.
    Quarantined {
        /// The suspect.
        suspect: Suspect,
        /// Why and until when.
        entry: QuarantineEntry,
    },
    /// A suspect is no longer quarantined.
    Released {
        /// The suspect.
        suspect: Suspect,
    },
    /// A quarantined request, or one whose prompt has a quarantined part, is sent as a probe.
    Probed {
        /// The suspect.
        suspect: Suspect,
        /// The id of the request.
        request: Arc<str>,
    },
}

impl QuarantineChange {
    /// Returns whether a suspect is quarantined that was not before.
    pub fn is_new(&self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}

/// A request that is sent to distinguish suspects.
#[derive(Debug, Clone)]
struct Probe {
    request: Arc<str>,
    started_at: Time,
    /// Whether it was sent to an endpoint.
    sent: bool,
    /// Whether it broke off, so that the endpoint may have crashed; it is not sent again then.
    has_failed: bool,
}

impl Probe {
    fn is_over(&self, now: Time) -> bool {
        let limit = if self.sent { PROBE_TIME } else { UNSENT_PROBE_TIME };
        now.since(self.started_at) >= limit
    }
}

/// Number of prompts, and of those with a suspect of one group.
#[derive(Debug, Clone, Copy, Default)]
struct PromptCount {
    all: u32,
    with: u32,
}

/// VMs to which news of a crash should be sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NewsScope {
    /// The neighbours, because the news came from another failure domain.
    Neighbours,
    /// The neighbours and a VM of each other failure domain, because this VM saw the crash.
    All,
}

/// The quarantined suspects, and the evidence against them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Quarantine {
    pub(crate) evidence: CrashEvidence,
    entries: IndexMap<Suspect, QuarantineEntry>,
    /// Whether a request is quarantined.
    has_requests: bool,
    /// Suspects that an operator has taken out of the quarantine.
    exempt: IndexSet<Suspect>,
    /// Probes by the group of suspects that they distinguish.
    probes: IndexMap<Suspect, Probe>,
    /// How many prompts came since a group of suspects was quarantined.
    prompts: IndexMap<Suspect, PromptCount>,
    changes: Vec<QuarantineChange>,
    news: Option<NewsScope>,
}

impl Quarantine {
    /// Derives the entries from the evidence.
    fn update(&mut self, now: Time) {
        let mut entries = derive_entries(&self.evidence, now);
        entries.retain(|suspect, _| !self.exempt.contains(suspect));
        let released = self.entries.keys().filter(|suspect| !entries.contains_key(*suspect));
        let released = released.map(|suspect| QuarantineChange::Released { suspect: *suspect });
        let added = entries
            .iter()
            .filter(|(suspect, _)| !self.entries.contains_key(*suspect));
        let added = added.map(|(suspect, entry)| QuarantineChange::Quarantined {
            suspect: *suspect,
            entry: *entry,
        });
        let changes: Vec<_> = released.chain(added).collect();
        self.changes.extend(changes);
        self.has_requests = entries.keys().any(|suspect| suspect.is_request());
        self.prompts
            .retain(|group, _| entries.values().any(|entry| entry.group == *group));
        self.entries = entries;
    }

    /// Replaces the exempt suspects of one kind.
    fn set_exempt(&mut self, requests: bool, exempt: impl Iterator<Item = Suspect>, now: Time) {
        self.exempt.retain(|suspect| suspect.is_request() != requests);
        self.exempt.extend(exempt);
        self.update(now);
    }

    fn announce(&mut self, scope: NewsScope) {
        self.news = self.news.max(Some(scope));
    }

    /// Returns the quarantined ones among a request's fingerprint and shared parts.
    fn entries_of(&self, admitted: &AdmittedRequest, now: Time) -> Vec<(Suspect, QuarantineEntry)> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let content = admitted.content.as_ref().filter(|_| self.has_requests);
        let request = content.map(|content| Suspect::Request(content.fingerprint()));
        let parts = admitted.prompt.iter().flat_map(Prompt::shared_parts);
        let suspects = request.into_iter().chain(parts.map(|part| Suspect::Part(part.id)));
        let entries = suspects.filter_map(|suspect| Some((suspect, *self.entries.get(&suspect)?)));
        entries
            .filter(|(suspect, entry)| suspect.is_request() || entry.until > now)
            .collect()
    }

    /// Returns the entry that keeps a request longest from being sent.
    fn blocking_entry(&self, admitted: &AdmittedRequest, now: Time) -> Option<(Suspect, QuarantineEntry)> {
        let entries = self.entries_of(admitted, now).into_iter();
        entries
            .filter(|(_, entry)| !self.is_probe(admitted, *entry))
            .max_by_key(|(_, entry)| entry.until)
    }

    /// Returns whether a request distinguishes the suspects of an entry's group, because it has some of them only, or
    /// distinguishes them from others that the requests that crashed endpoints had. A request whose time of quarantine is
    /// over finds out whether it still crashes endpoints.
    fn is_discriminating(
        &self,
        admitted: &AdmittedRequest,
        (suspect, entry): (Suspect, QuarantineEntry),
        now: Time,
    ) -> bool {
        let entries = self.entries_of(admitted, now);
        let in_group = entries.iter().filter(|(_, other)| other.group == entry.group).count();
        if in_group < entries.len() {
            return false;
        }
        if suspect.is_request() {
            return entry.alike > 1 || (entry.until <= now && entry.crashes < MAX_CRASHES_FOR_REQUEST_PROBE);
        }
        let may_be_sound = entry.was_answered && entry.crashes < MAX_CRASHES_FOR_PROBE
            || self.is_common(entry.group) && entry.crashes < MAX_CRASHES_FOR_COMMON_PROBE;
        let content = admitted.content.as_ref();
        let crashes = content.map_or(0, |content| self.evidence.crashes_under(content.fingerprint()));
        crashes < MIN_CRASHES && (in_group < entry.alike || may_be_sound)
    }

    /// Counts a prompt, so that parts that most prompts have are known.
    fn count_prompt(&mut self, admitted: &AdmittedRequest, now: Time) {
        if self.entries.is_empty() || admitted.prompt.is_none() {
            return;
        }
        let entries = self.entries_of(admitted, now);
        let groups: IndexSet<_> = self.entries.values().map(|entry| entry.group).collect();
        for group in groups {
            let has_group = entries.iter().any(|(_, entry)| entry.group == group);
            let count = self.prompts.entry(group).or_default();
            count.all = count.all.saturating_add(1);
            count.with = count.with.saturating_add(u32::from(has_group));
        }
    }

    /// Returns whether most prompts have a suspect of a group.
    fn is_common(&self, group: Suspect) -> bool {
        let count = self.prompts.get(&group).copied().unwrap_or_default();
        count.all >= MIN_PROMPTS && f64::from(count.with) >= f64::from(count.all) * COMMON_SHARE
    }

    /// Ends the probes that are this request. One that may have crashed its endpoint prevents another probe until its
    /// time is over, as the crash is known only later.
    fn end_probes(&mut self, request: &str, outcome: AttemptOutcome) {
        let may_have_crashed = matches!(outcome, AttemptOutcome::Broken | AttemptOutcome::Timeout);
        for probe in self.probes.values_mut().filter(|probe| *probe.request == *request) {
            probe.has_failed |= may_have_crashed;
        }
        self.probes
            .retain(|_, probe| *probe.request != *request || probe.has_failed);
    }

    /// Returns whether the request of an attempt, or a part of its prompt, is quarantined.
    fn concerns(&self, attempt: &Attempt) -> bool {
        let mut parts = attempt.shared_parts.iter();
        let content = attempt.content.as_ref().filter(|_| self.has_requests);
        parts.any(|part| self.entries.contains_key(&Suspect::Part(*part)))
            || content.is_some_and(|content| self.entries.contains_key(&Suspect::Request(content.fingerprint())))
    }

    fn is_probe(&self, admitted: &AdmittedRequest, entry: QuarantineEntry) -> bool {
        let probe = self.probes.get(&entry.group);
        probe.is_some_and(|probe| probe.request == admitted.id && !probe.has_failed)
            && (entry.group.is_request() || entry.alike > 1 || entry.was_answered || self.is_common(entry.group))
    }
}

impl Relay {
    /// Returns why a request is quarantined: its fingerprint or a part of its prompt. A probe is not quarantined.
    pub fn quarantined(&self, admitted: &AdmittedRequest, now: Time) -> Option<(Suspect, QuarantineEntry)> {
        self.quarantine.blocking_entry(admitted, now)
    }

    /// Sets the parts that are never quarantined.
    pub fn set_exempt_parts(&mut self, parts: impl Iterator<Item = PartId>, now: Time) {
        self.quarantine.set_exempt(false, parts.map(Suspect::Part), now);
    }

    /// Sets the requests that are never quarantined.
    pub fn set_exempt_requests(&mut self, requests: impl Iterator<Item = Fingerprint>, now: Time) {
        self.quarantine.set_exempt(true, requests.map(Suspect::Request), now);
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_parts(&self) -> usize {
        self.quarantine.entries.len() - self.quarantined_requests()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_requests(&self) -> usize {
        let suspects = self.quarantine.entries.keys();
        suspects.filter(|suspect| suspect.is_request()).count()
    }

    /// Records that an attempt broke off; returns whether the endpoint should be checked for a crash.
    ///
    /// A response that had just started distinguishes the prompt that the endpoint had started to answer from the others that
    /// it was running.
    pub fn on_broken_attempt(&mut self, attempt: &Attempt, now: Time) -> bool {
        let written_for = attempt.first_event_at.map(|first| now.since(first));
        if written_for.is_some_and(|written_for| written_for >= MAX_START) {
            return false;
        }
        let progress = Progress::since_first_event(written_for);
        let suspects = suspects_of(attempt, progress);
        if suspects.is_empty() || self.is_leaving(&attempt.endpoint.id) {
            return false;
        }
        let evidence = &mut self.quarantine.evidence;
        let outcome = evidence.on_break(&attempt.endpoint, &suspects, progress, now);
        if outcome == BreakOutcome::News {
            self.quarantine.announce(NewsScope::All);
        }
        self.quarantine.update(now);
        outcome == BreakOutcome::CheckDue
    }

    /// Records that an incarnation of an endpoint ended unplanned.
    pub fn on_endpoint_ended(&mut self, endpoint: &EndpointId, incarnation: Incarnation, now: Time) {
        self.suspect_cold(endpoint, ColdCause::Crashed, now);
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

    /// Clears the request of a complete response and its parts; only a framed one is known to be complete.
    pub(crate) fn clear_answered(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) {
        self.quarantine.end_probes(&attempt.request, outcome);
        if outcome != AttemptOutcome::Complete || !attempt.is_framed {
            return;
        }
        self.quarantine.evidence.on_answered(&attempt.shared_parts, now);
        if let Some(content) = &attempt.content
            && self.quarantine.evidence.suspects_requests()
        {
            let request = content.fingerprint();
            self.quarantine.evidence.on_request_answered(request, now);
        }
        if self.quarantine.concerns(attempt) {
            self.quarantine.update(now);
        }
    }

    /// Clears the parts of a prompt if its endpoint lives on for some time after the first event of the response: a part that
    /// crashes endpoints does so when they begin to answer it.
    pub(crate) fn clear_if_lived_on(&mut self, attempt: &mut Attempt, now: Time) {
        let has_lived_on = attempt
            .first_event_at
            .is_some_and(|first| now.since(first) >= MAX_START);
        if !has_lived_on || std::mem::replace(&mut attempt.has_lived_on, true) {
            return;
        }
        self.quarantine.evidence.on_answered(&attempt.shared_parts, now);
        if self.quarantine.concerns(attempt) {
            self.quarantine.update(now);
        }
    }

    /// Merges what another VM knows of crashes; `is_remote` if it is in another failure domain.
    pub(crate) fn on_crash_reports(
        &mut self,
        crashes: &[CrashReport],
        answered: &[AnsweredSuspect],
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
        for report in crashes {
            let outcome = self.quarantine.evidence.on_report(report, now);
            match outcome {
                ReportOutcome::Completed => self.quarantine.announce(NewsScope::All),
                ReportOutcome::News if is_remote => self.quarantine.announce(NewsScope::Neighbours),
                ReportOutcome::News | ReportOutcome::Known => {}
            }
            if outcome != ReportOutcome::Known {
                self.suspect_cold(&report.endpoint, ColdCause::Crashed, now);
            }
        }
        self.quarantine.update(now);
    }

    /// Returns the refusal of a quarantined request, unless it is sent as a probe.
    pub(crate) fn quarantine_refusal(&mut self, admitted: &AdmittedRequest, now: Time) -> Option<Refusal> {
        self.quarantine.count_prompt(admitted, now);
        let (suspect, entry) = self.quarantined(admitted, now)?;
        self.quarantine.probes.retain(|_, probe| !probe.is_over(now));
        let is_free = !self.quarantine.probes.contains_key(&entry.group);
        let is_probe = is_free && self.quarantine.is_discriminating(admitted, (suspect, entry), now);
        if is_probe && self.sends_probes(entry, now) {
            let request = Arc::clone(&admitted.id);
            let probe = Probe {
                request: Arc::clone(&request),
                started_at: now,
                sent: false,
                has_failed: false,
            };
            self.quarantine.probes.insert(entry.group, probe);
            self.quarantine
                .changes
                .push(QuarantineChange::Probed { suspect, request });
            return None;
        }
        self.quarantine.evidence.on_refused(suspect, now);
        let kind = match suspect {
            Suspect::Part(_) => Kind::QuarantinedPrompt,
            Suspect::Request(_) => Kind::QuarantinedRequest,
        };
        // After the quarantine of a request, other copies wait for the probe.
        let after = if suspect.is_request() {
            entry.until.since(now).max(PROBE_TIME)
        } else {
            entry.until.since(now)
        };
        Some(Refusal::with_retry_after(kind, after))
    }

    pub(crate) fn update_quarantine(&mut self, now: Time) {
        self.quarantine.evidence.prune(now);
        self.quarantine.update(now);
    }

    /// Returns whether this VM sends probes for the group of an entry: one VM of each region does for parts, and one of all
    /// for a request, by turns.
    fn sends_probes(&self, entry: QuarantineEntry, now: Time) -> bool {
        let local = self.members.local();
        let is_request = entry.group.is_request();
        let seed = match entry.group {
            Suspect::Part(part) => part.0,
            Suspect::Request(request) => request.0 as u64,
        };
        let turn = now.since(entry.until).0 / PROBE_TIME.0;
        let score = |vm: &VmId| rendezvous_score(seed.wrapping_add(turn), vm.as_str());
        let peers = self.members.peers();
        let peers = peers.filter(|row| is_request || row.region == local.region);
        let mut live = peers.filter(|row| self.is_live(&row.vm, now));
        live.all(|row| score(&row.vm) < score(&local.vm))
    }

    fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        let known = self.registry.get(endpoint);
        known.is_some_and(|known| known.entry.leaving)
    }
}

/// Returns the suspects of an attempt that broke off before it had written for long: the request, and the shared parts of a
/// prompt whose response had just started.
fn suspects_of(attempt: &Attempt, progress: Progress) -> Vec<Suspect> {
    let content = attempt.content.as_ref();
    let request = content.map(|content| Suspect::Request(content.fingerprint()));
    let has_begun = attempt.head_at.is_some() && progress < Progress::Writing;
    let parts = attempt.shared_parts.iter().filter(|_| has_begun);
    let parts = parts.map(|part| Suspect::Part(*part));
    request.into_iter().chain(parts).collect()
}
