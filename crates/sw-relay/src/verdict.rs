//! Which suspects are quarantined, derived from the [evidence](crate::crash_evidence) of crashes.
//!
//! The suspect that explains most crashes is quarantined first, and the crashes that it explains no longer count against
//! others. Of a part and a request that explain equally many, the part is the cause if it came with different requests: the
//! request ran beside them and was sent again. If one request brought the part along each time, the request is the cause. A
//! part that was answered before the crashes needs more of them: it is more likely to have been beside the cause. So is a part
//! of responses that had events; a request goes before it. Of suspects that are alike in all this, those are the cause with
//! which the endpoints had come least far.

use std::cmp::Reverse;

use indexmap::IndexMap;
use sw_unit::{Millis, Time};

use crate::crash_evidence::{Crash, CrashEvidence, distinct_moments};
use crate::suspects::{Progress, Suspect};

/// Crashes after which a request is quarantined, or a part that was never answered completely.
pub(crate) const MIN_CRASHES: u32 = 2;
/// Crashes after which a part is quarantined that was answered completely before them.
const MIN_CRASHES_IF_ANSWERED: u32 = 4;
/// Crashes after which any part is quarantined.
const MAX_CRASHES_OF_PART: u32 = 5;
/// Time since the last crash for which a suspect with [`MIN_CRASHES`] is quarantined; doubled with each further crash.
const MIN_QUARANTINE: Millis = Millis(60_000);
/// Longest time since the last crash for which a suspect is quarantined.
const MAX_QUARANTINE: Millis = Millis(600_000);

/// Why and until when a suspect is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Crashes that the suspect explains.
    pub crashes: u32,
    /// End of the quarantine; a request may be sent as a probe from then on.
    pub until: Time,
    /// The lowest of the suspects that explain the same crashes and cannot be distinguished from this one.
    pub(crate) group: Suspect,
    /// Number of these suspects, including this one.
    pub(crate) alike: usize,
    /// Whether prompts with these parts were answered before the crashes, so that other parts may be the cause.
    pub(crate) was_answered: bool,
}

/// Returns the suspects that explain enough crashes, with their entries.
pub(crate) fn derive_entries(evidence: &CrashEvidence, now: Time) -> IndexMap<Suspect, QuarantineEntry> {
    let mut open = evidence.open_crashes();
    let mut entries = IndexMap::new();
    while let Some((suspect, crashes)) = most_suspected(evidence, &open) {
        let explained: Vec<_> = open.extract_if(.., |crash| crash.suspects.contains(suspect)).collect();
        let last = explained.last().map_or(now, |crash| crash.at);
        let until = last + quarantine_time(crashes);
        if until > now || suspect.is_request() {
            let alike = suspects_alike(evidence, suspect, &explained);
            let entry = QuarantineEntry {
                crashes,
                until,
                group: alike.iter().copied().min().unwrap_or(suspect),
                alike: alike.len(),
                was_answered: evidence.was_answered(suspect),
            };
            entries.extend(alike.into_iter().map(|suspect| (suspect, entry)));
        }
    }
    entries
}

/// Returns the suspects of the same kind, with `suspect` itself, that were in each of the crashes and cannot be
/// distinguished.
fn suspects_alike(evidence: &CrashEvidence, suspect: Suspect, crashes: &[Crash]) -> Vec<Suspect> {
    let was_answered = evidence.was_answered(suspect);
    let progress = total_progress(suspect, crashes.iter());
    let suspects = crashes.first().into_iter().flat_map(|crash| crash.suspects.iter());
    let alike = suspects.filter(|other| {
        let is_same_kind = other.is_request() == suspect.is_request();
        let in_all = crashes.iter().all(|crash| crash.suspects.contains(*other));
        let is_as_likely = total_progress(*other, crashes.iter()) == progress;
        is_same_kind && in_all && is_as_likely && evidence.was_answered(*other) == was_answered
    });
    alike.collect()
}

/// How likely a suspect is the cause, among those that explain equally many crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A part that was answered completely before.
    AnsweredPart,
    /// A part that one request brought along each time.
    PartOfOneRequest,
    /// A part that different requests had, in one of the crashes only such as the endpoint had sent events of.
    PartBeside,
    Request,
    /// A part that different requests had, each time one of which no event had been sent.
    PartOfDifferentRequests,
}

/// Returns the rank of a suspect of `crashes`.
fn rank(evidence: &CrashEvidence, suspect: Suspect, crashes: &[&Crash]) -> Rank {
    if suspect.is_request() {
        return Rank::Request;
    }
    if evidence.was_answered(suspect) {
        return Rank::AnsweredPart;
    }
    let mut first = crashes
        .iter()
        .take(1)
        .flat_map(|crash| crash.suspects.requests_with(suspect));
    let brings_all = |request| {
        let mut requests = crashes.iter().map(|crash| crash.suspects.requests_with(suspect));
        requests.all(|mut requests| requests.any(|other| other == request))
    };
    let mut progress = crashes.iter().map(|crash| crash.suspects.progress_of(suspect));
    if first.any(brings_all) {
        Rank::PartOfOneRequest
    } else if progress.any(|progress| progress > Progress::NoEvent) {
        Rank::PartBeside
    } else {
        Rank::PartOfDifferentRequests
    }
}

/// Returns the suspect that explains most of the crashes, with their number, if they are enough to quarantine it.
fn most_suspected(evidence: &CrashEvidence, open: &[Crash]) -> Option<(Suspect, u32)> {
    let mut explained: IndexMap<Suspect, Vec<&Crash>> = IndexMap::new();
    for crash in open {
        for suspect in crash.suspects.iter() {
            explained.entry(suspect).or_default().push(crash);
        }
    }
    let counted = explained.iter().filter_map(|(suspect, crashes)| {
        let count = distinct_moments(crashes.iter().map(|crash| crash.at));
        let progress = total_progress(*suspect, crashes.iter().copied());
        let is_enough = is_enough(evidence, *suspect, crashes, count);
        is_enough.then(|| (*suspect, count, rank(evidence, *suspect, crashes), Reverse(progress)))
    });
    let (suspect, crashes, ..) = counted.max_by_key(|(_, crashes, rank, progress)| (*crashes, *rank, *progress))?;
    Some((suspect, crashes))
}

/// Returns whether crashes, `count` of them at distinct moments, are enough to quarantine a suspect. Of parts of responses that
/// had events, two count as one.
fn is_enough(evidence: &CrashEvidence, suspect: Suspect, crashes: &[&Crash], count: u32) -> bool {
    if suspect.is_request() {
        return count >= MIN_CRASHES;
    }
    let without_event = crashes
        .iter()
        .filter(|crash| crash.suspects.progress_of(suspect) == Progress::NoEvent);
    let without_event = distinct_moments(without_event.map(|crash| crash.at));
    if evidence.was_answered(suspect) {
        count + without_event >= 2 * MIN_CRASHES_IF_ANSWERED || count >= MAX_CRASHES_OF_PART
    } else {
        count + without_event >= 2 * MIN_CRASHES
    }
}

/// Returns how far the endpoints had come with a suspect in all of the crashes together.
fn total_progress<'a>(suspect: Suspect, crashes: impl Iterator<Item = &'a Crash>) -> usize {
    crashes.map(|crash| crash.suspects.progress_of(suspect) as usize).sum()
}

fn quarantine_time(crashes: u32) -> Millis {
    let doublings = crashes.saturating_sub(MIN_CRASHES).min(16);
    Millis(MIN_QUARANTINE.0 << doublings).min(MAX_QUARANTINE)
}
