//! Quarantine of prompt parts that crash endpoints.
//!
//! Prompts with a quarantined part are refused by all VMs, whether they are new, retried, resumed or forwarded. The verdict
//! follows from the [evidence](crate::crash_evidence) alone, so VMs with the same evidence quarantine the same parts. The
//! part that explains most crashes is quarantined first, and the crashes that it explains no longer count against others.
//! A part that was answered before the crashes needs more of them: it is more likely to have been beside the cause.
//!
//! Parts that were in each of the prompts that crashed endpoints cannot be told apart. A prompt with some of them, but not
//! all, tells: one VM of a region lets one such prompt through at a time. A complete response clears its parts, a crash
//! clears the others. Otherwise the first part of all prompts of a route could stay quarantined, and with it the route.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sw_error::{Kind, Refusal};
use sw_member::rendezvous_score;
use sw_unit::{EndpointId, Incarnation, Millis, Time, VmId};

use crate::crash_evidence::{Crash, CrashEvidence, distinct_moments};
use crate::rate_limit::MAX_REPLY_TRANSIT;
use crate::{AdmittedRequest, AnsweredPart, Attempt, AttemptOutcome, CrashReport, PartId, Prompt, Relay};

/// Crashes after which a part is quarantined that was never answered completely.
const MIN_CRASHES: u32 = 2;
/// Crashes after which a part is quarantined that was answered completely before them.
const MIN_CRASHES_IF_ANSWERED: u32 = 4;
/// Crashes after which a part that was answered before is no longer tried alone.
const MAX_CRASHES_FOR_TRIAL: u32 = 8;
/// Time since the last crash for which a part with [`MIN_CRASHES`] is quarantined; doubled with each further crash.
const MIN_QUARANTINE: Millis = Millis(60_000);
/// Longest time since the last crash for which a part is quarantined.
const MAX_QUARANTINE: Millis = Millis(600_000);

/// Time after which a prompt that was let through to tell parts apart no longer keeps others from it.
const TRIAL_TIME: Millis = Millis(8_000);
/// The same for a prompt that was not sent to an endpoint.
const UNSENT_TRIAL_TIME: Millis = Millis(500);

/// Why and until when a part is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Crashes that the part explains.
    pub crashes: u32,
    /// End of the quarantine.
    pub until: Time,
    /// The lowest id of the parts that explain the same crashes and cannot be told apart from this one.
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
        verdict: Verdict,
    },
    /// A part is no longer quarantined.
    Released {
        /// The part.
        part: PartId,
    },
    /// A prompt with a quarantined part is let through, to tell parts apart.
    OnTrial {
        /// The part.
        part: PartId,
        /// The id of the request.
        request: Arc<str>,
    },
}

/// A prompt that is let through to tell parts apart.
#[derive(Debug, Clone)]
struct Trial {
    request: Arc<str>,
    started_at: Time,
    /// Whether it was sent to an endpoint.
    sent: bool,
}

impl Trial {
    fn is_over(&self, now: Time) -> bool {
        let limit = if self.sent { TRIAL_TIME } else { UNSENT_TRIAL_TIME };
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
    verdicts: IndexMap<PartId, Verdict>,
    /// Prompts that were let through, by the group of parts that they tell apart.
    trials: IndexMap<PartId, Trial>,
    changes: Vec<QuarantineChange>,
    news: Option<NewsScope>,
}

impl Quarantine {
    /// Derives the verdicts from the evidence.
    fn update(&mut self, now: Time) {
        let verdicts = convict(&self.evidence, now);
        let released = self.verdicts.keys().filter(|part| !verdicts.contains_key(*part));
        let released = released.map(|part| QuarantineChange::Released { part: *part });
        let convicted = verdicts.iter().filter(|(part, _)| !self.verdicts.contains_key(*part));
        let convicted = convicted.map(|(part, verdict)| QuarantineChange::Quarantined {
            part: *part,
            verdict: *verdict,
        });
        let changes: Vec<_> = released.chain(convicted).collect();
        self.changes.extend(changes);
        self.verdicts = verdicts;
    }

    fn announce(&mut self, scope: NewsScope) {
        self.news = self.news.max(Some(scope));
    }

    /// Returns the quarantined part of a prompt that keeps it longest from being sent.
    fn verdict(&self, prompt: &Prompt, now: Time) -> Option<(PartId, Verdict)> {
        if self.verdicts.is_empty() {
            return None;
        }
        let parts = prompt.shared_parts().iter().map(|part| part.id);
        let verdicts = parts.filter_map(|part| Some((part, *self.verdicts.get(&part)?)));
        verdicts
            .filter(|(_, verdict)| verdict.until > now)
            .max_by_key(|(_, verdict)| verdict.until)
    }

    /// Returns whether a prompt tells the parts of a verdict's group apart, because it has some of them only, or tells them
    /// from the other parts of the prompts that crashed endpoints.
    fn tells_apart(&self, prompt: &Prompt, verdict: Verdict) -> bool {
        let parts = prompt.shared_parts().iter();
        let verdicts = parts.filter_map(|part| self.verdicts.get(&part.id));
        let (in_group, others): (Vec<&Verdict>, Vec<&Verdict>) =
            verdicts.partition(|other| other.group == verdict.group);
        let may_be_sound = verdict.was_answered && verdict.crashes < MAX_CRASHES_FOR_TRIAL;
        others.is_empty() && (in_group.len() < verdict.alike || may_be_sound)
    }

    fn is_on_trial(&self, admitted: &AdmittedRequest, verdict: Verdict) -> bool {
        let trial = self.trials.get(&verdict.group);
        trial.is_some_and(|trial| trial.request == admitted.id) && (verdict.alike > 1 || verdict.was_answered)
    }
}

impl Relay {
    /// Returns the quarantined part of a request's prompt, if it has one.
    ///
    /// A prompt that was let through to tell parts apart counts as having none.
    pub fn quarantined_part(&self, admitted: &AdmittedRequest, now: Time) -> Option<(PartId, Verdict)> {
        let (part, verdict) = self.quarantine.verdict(admitted.prompt.as_ref()?, now)?;
        (!self.quarantine.is_on_trial(admitted, verdict)).then_some((part, verdict))
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_parts(&self) -> usize {
        self.quarantine.verdicts.len()
    }

    /// Records that an attempt broke off; returns whether the endpoint should be checked for a crash.
    ///
    /// A response without an event tells the prompt that the endpoint had begun to answer from those beside it.
    pub fn on_broken_attempt(&mut self, attempt: &Attempt, now: Time) -> bool {
        let has_begun = attempt.head_at.is_some() && attempt.events == 0;
        if !has_begun || attempt.shared_parts.is_empty() || self.is_leaving(&attempt.endpoint.id) {
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
    pub(crate) fn on_trial_sent(&mut self, request: &str) {
        let trials = self.quarantine.trials.values_mut();
        for trial in trials.filter(|trial| *trial.request == *request) {
            trial.sent = true;
        }
    }

    /// Clears the parts of a response that is complete, which only the end of a framed one tells.
    pub(crate) fn clear_answered(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) {
        self.quarantine
            .trials
            .retain(|_, trial| trial.request != attempt.request);
        if outcome == AttemptOutcome::Complete && attempt.is_framed && !attempt.shared_parts.is_empty() {
            self.quarantine.evidence.on_answered(&attempt.shared_parts, now);
            if !self.quarantine.verdicts.is_empty() {
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

    /// Returns the refusal of a prompt with a quarantined part, unless it is let through to tell parts apart.
    pub(crate) fn quarantine_refusal(&mut self, admitted: &AdmittedRequest, now: Time) -> Option<Refusal> {
        let (part, verdict) = self.quarantined_part(admitted, now)?;
        let prompt = admitted.prompt.as_ref()?;
        self.quarantine.trials.retain(|_, trial| !trial.is_over(now));
        let is_free = !self.quarantine.trials.contains_key(&verdict.group);
        if is_free && self.quarantine.tells_apart(prompt, verdict) && self.holds_trials(verdict.group, now) {
            let request = Arc::clone(&admitted.id);
            let trial = Trial {
                request: Arc::clone(&request),
                started_at: now,
                sent: false,
            };
            self.quarantine.trials.insert(verdict.group, trial);
            self.quarantine
                .changes
                .push(QuarantineChange::OnTrial { part, request });
            return None;
        }
        Some(Refusal::with_retry_after(
            Kind::QuarantinedPrompt,
            verdict.until.since(now),
        ))
    }

    pub(crate) fn update_quarantine(&mut self, now: Time) {
        self.quarantine.evidence.prune(now);
        self.quarantine.update(now);
    }

    /// Returns whether this VM is the one of its region that lets prompts through to tell the parts of a group apart.
    fn holds_trials(&self, group: PartId, now: Time) -> bool {
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

/// Returns the parts that explain enough crashes, with their verdicts.
fn convict(evidence: &CrashEvidence, now: Time) -> IndexMap<PartId, Verdict> {
    let mut open = evidence.open_crashes();
    let mut verdicts = IndexMap::new();
    while let Some((part, crashes)) = prime_suspect(evidence, &open) {
        let explained: Vec<_> = open.extract_if(.., |crash| crash.suspects.contains(&part)).collect();
        let last = explained.last().map_or(now, |crash| crash.at);
        let until = last + quarantine_time(crashes);
        if until > now {
            let alike = parts_alike(evidence, part, &explained);
            let verdict = Verdict {
                crashes,
                until,
                group: alike.iter().copied().min().unwrap_or(part),
                alike: alike.len(),
                was_answered: evidence.was_answered(part),
            };
            verdicts.extend(alike.into_iter().map(|part| (part, verdict)));
        }
    }
    verdicts
}

/// Returns the parts, with `part` itself, that were in each of the crashes and cannot be told apart.
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
fn prime_suspect(evidence: &CrashEvidence, open: &[Crash]) -> Option<(PartId, u32)> {
    let suspects: IndexSet<_> = open.iter().flat_map(|crash| &crash.suspects).copied().collect();
    let counted = suspects.into_iter().map(|part| {
        let crashes = open.iter().filter(|crash| crash.suspects.contains(&part));
        (part, distinct_moments(crashes.map(|crash| crash.at)))
    });
    let convicted = counted.filter(|(part, crashes)| {
        *crashes
            >= if evidence.was_answered(*part) {
                MIN_CRASHES_IF_ANSWERED
            } else {
                MIN_CRASHES
            }
    });
    convicted.max_by_key(|(part, crashes)| (*crashes, !evidence.was_answered(*part)))
}

fn quarantine_time(crashes: u32) -> Millis {
    let doublings = crashes.saturating_sub(MIN_CRASHES).min(16);
    Millis(MIN_QUARANTINE.0 << doublings).min(MAX_QUARANTINE)
}
