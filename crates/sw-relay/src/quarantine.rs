//! Quarantine of prompt parts that crash endpoints.
//!
//! Prompts with a quarantined part are refused by all VMs, whether they are new, retried, resumed or forwarded. The verdict
//! follows from the [evidence](crate::crash_evidence) alone, so VMs with the same evidence quarantine the same parts. The
//! part that explains most crashes is quarantined first, and the crashes that it explains no longer count against others.
//! A part that was answered before the crashes needs more of them: it is more likely to have been beside the cause.

use indexmap::IndexMap;
use sw_error::{Kind, Refusal};
use sw_unit::{EndpointId, Incarnation, Millis, Time};

use crate::crash_evidence::{Crash, CrashEvidence, distinct_moments};
use crate::rate_limit::MAX_REPLY_TRANSIT;
use crate::{AdmittedRequest, AnsweredPart, Attempt, AttemptOutcome, CrashReport, PartId, Prompt, Relay};

/// Crashes after which a part is quarantined that was never answered completely.
const MIN_CRASHES: u32 = 2;
/// Crashes after which a part is quarantined that was answered completely before them.
const MIN_CRASHES_IF_ANSWERED: u32 = 4;
/// Time since the last crash for which a part with [`MIN_CRASHES`] is quarantined; doubled with each further crash.
const MIN_QUARANTINE: Millis = Millis(60_000);
/// Longest time since the last crash for which a part is quarantined.
const MAX_QUARANTINE: Millis = Millis(600_000);

/// Why and until when a part is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Crashes that the part explains.
    pub crashes: u32,
    /// End of the quarantine.
    pub until: Time,
}

/// A change of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The part.
    pub part: PartId,
    /// Its verdict; `None` if it is released.
    pub verdict: Option<Verdict>,
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
    changes: Vec<QuarantineChange>,
    news: Option<NewsScope>,
}

impl Quarantine {
    /// Derives the verdicts from the evidence.
    fn update(&mut self, now: Time) {
        let verdicts = convict(&self.evidence, now);
        let released = self.verdicts.keys().filter(|part| !verdicts.contains_key(*part));
        let released = released.map(|part| QuarantineChange {
            part: *part,
            verdict: None,
        });
        let convicted = verdicts.iter().filter(|(part, _)| !self.verdicts.contains_key(*part));
        let convicted = convicted.map(|(part, verdict)| QuarantineChange {
            part: *part,
            verdict: Some(*verdict),
        });
        let changes: Vec<_> = released.chain(convicted).collect();
        self.changes.extend(changes);
        self.verdicts = verdicts;
    }

    fn announce(&mut self, scope: NewsScope) {
        self.news = self.news.max(Some(scope));
    }

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
}

impl Relay {
    /// Returns the quarantined part of a request's prompt, if it has one.
    pub fn quarantined_part(&self, admitted: &AdmittedRequest, now: Time) -> Option<(PartId, Verdict)> {
        self.quarantine.verdict(admitted.prompt.as_ref()?, now)
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

    /// Records the end of an attempt whose response had a `framed` end, so that a complete one is known to be whole.
    pub(crate) fn clear_answered(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) {
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

    /// Returns the refusal of a prompt with a quarantined part.
    pub(crate) fn quarantine_refusal(&self, admitted: &AdmittedRequest, now: Time) -> Option<Refusal> {
        let (_, verdict) = self.quarantined_part(admitted, now)?;
        Some(Refusal::with_retry_after(
            Kind::QuarantinedPrompt,
            verdict.until.since(now),
        ))
    }

    pub(crate) fn update_quarantine(&mut self, now: Time) {
        self.quarantine.evidence.prune(now);
        self.quarantine.update(now);
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
        let verdict = Verdict {
            crashes,
            until: last + quarantine_time(crashes),
        };
        // Parts that were in each of these prompts cannot be told apart.
        let alike = explained[0].suspects.iter().filter(|other| {
            let in_all = explained.iter().all(|crash| crash.suspects.contains(*other));
            in_all && evidence.was_answered(**other) == evidence.was_answered(part)
        });
        if verdict.until > now {
            verdicts.extend(alike.map(|other| (*other, verdict)));
        }
    }
    verdicts
}

/// Returns the part that explains most of the crashes, with their number, if they are enough to quarantine it.
fn prime_suspect(evidence: &CrashEvidence, open: &[Crash]) -> Option<(PartId, u32)> {
    let suspects: indexmap::IndexSet<_> = open.iter().flat_map(|crash| &crash.suspects).copied().collect();
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
