//! What endpoints were running when they crashed.
//!
//! A prompt part can crash each engine that begins to answer it, and a request each endpoint that begins to run it. The
//! VM that sent the request sees a broken connection; the other VMs see only that their own responses from that endpoint
//! break off. The suspects of a crash are the shared parts of the prompts whose responses had started not long before, from
//! their head on, and the requests that had not run for long, whether they had a head or not. The less of a response an
//! endpoint had sent, the more likely its request or a part of its prompt is the cause. A suspect is cleared by a complete
//! response to a request that has it.
//!
//! The parts that a request is named together with are those of its prompt; a request that is named without parts ran
//! beside them, or crashes endpoints before the head. So a crash with several requests is sent as several reports.
//!
//! A connection that breaks is no crash by itself. The VM counts it as one if the endpoint refuses connections, or if
//! another incarnation of it registers, or its registration ends although it was not leaving. VMs exchange their crashes
//! and answered suspects in heartbeats, so that evidence adds up over VMs, regions and services.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{EndpointId, Fingerprint, Incarnation, Millis, PartId, Time};

use crate::EndpointEntry;
use crate::suspects::{Progress, Suspect, Suspects};

/// Time for which a crash is remembered.
const CRASH_KEPT_FOR: Millis = Millis(600_000);
/// Time for which it is remembered that a suspect was answered.
const ANSWER_KEPT_FOR: Millis = Millis(60_000);
/// Time within which a broken connection must turn out to be a crash.
const CONFIRM_WITHIN: Millis = Millis(5_000);
/// Time for which news is reported to the other VMs.
const REPORTED_FOR: Millis = Millis(10_000);
/// Crashes at the same moment have one common cause, such as the loss of a failure domain.
const COINCIDENCE: Millis = Millis(250);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;
/// Maximum number of suspects of which it is remembered that they were answered.
const MAX_ANSWERED: usize = 8_192;
/// Maximum number of crashes, and of answered suspects, in one heartbeat.
const MAX_REPORTS: usize = 64;
/// Shortest time between two checks whether an endpoint refuses connections.
const CHECK_PERIOD: Millis = Millis(1_000);

/// A crash of an endpoint, as VMs report it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// Requests that it may have started to run, and shared parts of the prompts that it had started to answer.
    pub suspects: Vec<Suspect>,
    /// How far it had come with them.
    pub progress: Progress,
    /// Time since the crash.
    pub age: Millis,
}

/// A suspect that an endpoint answered completely, as VMs report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Time since the last complete response.
    pub age: Millis,
}

/// What an attempt that broke off adds to the evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BreakOutcome {
    /// Nothing.
    Known,
    /// The endpoint may have crashed, which is to be checked.
    CheckDue,
    /// A suspect of a crash that is known already.
    News,
}

/// What the report of another VM adds to the evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// Nothing.
    Known,
    /// A crash, or suspects of one.
    News,
    /// A crash under which this VM had observed further suspects, which the other VMs do not know.
    Completed,
}

/// An incarnation of an endpoint.
type EndpointKey = (EndpointId, Incarnation);

/// A crash and its suspects.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) at: Time,
    pub(crate) suspects: Suspects,
    /// When this VM last learned something new of it.
    changed_at: Time,
}

/// Broken connections of an endpoint that may have crashed.
#[derive(Debug, Clone)]
struct Break {
    at: Time,
    checked_at: Time,
    suspects: Suspects,
}

/// Crashes and answered suspects, as far as this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashEvidence {
    crashes: IndexMap<EndpointKey, Crash>,
    breaks: IndexMap<EndpointKey, Break>,
    /// When a suspect was last answered completely.
    answered: IndexMap<Suspect, Time>,
    /// When a copy of a quarantined request was last refused.
    refused: IndexMap<Suspect, Time>,
}

impl CrashEvidence {
    /// Records that an endpoint broke off a response after some `progress`.
    pub(crate) fn on_break(
        &mut self,
        entry: &EndpointEntry,
        suspects: &[Suspect],
        progress: Progress,
        now: Time,
    ) -> BreakOutcome {
        let key = key_of(entry);
        if let Some(crash) = self.crashes.get_mut(&key) {
            return if add_suspects(crash, suspects, progress, now) {
                BreakOutcome::News
            } else {
                BreakOutcome::Known
            };
        }
        let mut is_due = false;
        let known = self.breaks.entry(key).or_insert_with(|| {
            is_due = true;
            Break {
                at: now,
                checked_at: now,
                suspects: Suspects::default(),
            }
        });
        known.suspects.extend(suspects, progress);
        is_due |= now.since(known.checked_at) >= CHECK_PERIOD;
        if is_due {
            known.checked_at = now;
            BreakOutcome::CheckDue
        } else {
            BreakOutcome::Known
        }
    }

    /// Records that an incarnation of an endpoint ended unplanned; returns whether a broken response makes it a crash.
    pub(crate) fn on_ended(&mut self, endpoint: &EndpointId, incarnation: Incarnation, now: Time) -> bool {
        let key = (endpoint.clone(), incarnation);
        let Some(broken) = self.breaks.swap_remove(&key) else {
            return false;
        };
        let crash = Crash {
            at: broken.at,
            suspects: broken.suspects,
            changed_at: now,
        };
        self.insert(key, crash);
        true
    }

    /// Records a complete response to a prompt with these parts.
    pub(crate) fn on_answered(&mut self, parts: &[PartId], now: Time) {
        for part in parts {
            self.record_answered(Suspect::Part(*part), now);
        }
    }

    /// Records a complete response to a request; it is remembered only if the request is a suspect.
    pub(crate) fn on_request_answered(&mut self, request: Fingerprint, now: Time) {
        let suspect = Suspect::Request(request);
        if self.crashes.values().any(|crash| crash.suspects.contains(suspect)) {
            self.record_answered(suspect, now);
        }
    }

    /// Returns whether any request is a suspect.
    pub(crate) fn suspects_requests(&self) -> bool {
        let mut suspects = self.crashes.values().flat_map(|crash| crash.suspects.iter());
        suspects.any(Suspect::is_request)
    }

    /// Records that a request was refused because of a suspect; a request that comes again and again is not forgotten.
    pub(crate) fn on_refused(&mut self, suspect: Suspect, now: Time) {
        if suspect.is_request() {
            self.refused.insert(suspect, now);
        }
    }

    /// Merges what another VM reports.
    pub(crate) fn on_report(&mut self, report: &CrashReport, now: Time) -> ReportOutcome {
        let key = (report.endpoint.clone(), report.incarnation);
        if let Some(crash) = self.crashes.get_mut(&key) {
            return if add_suspects(crash, &report.suspects, report.progress, now) {
                ReportOutcome::News
            } else {
                ReportOutcome::Known
            };
        }
        let mut crash = Crash {
            at: now - report.age,
            suspects: Suspects::default(),
            changed_at: now,
        };
        crash.suspects.extend(&report.suspects, report.progress);
        let mut is_completed = false;
        for group in self
            .breaks
            .swap_remove(&key)
            .iter()
            .flat_map(|broken| broken.suspects.groups())
        {
            is_completed |= crash.suspects.extend(&group.suspects, group.progress);
        }
        self.insert(key, crash);
        if is_completed {
            ReportOutcome::Completed
        } else {
            ReportOutcome::News
        }
    }

    /// Merges what another VM reports; its report may be older than it says by `transit`.
    pub(crate) fn on_answered_report(&mut self, report: AnsweredSuspect, transit: Millis, now: Time) {
        self.record_answered(report.suspect, now - report.age - transit);
    }

    /// Returns the crashes to report to another VM: those that are news, and all if the VM may be `new`.
    pub(crate) fn crash_reports(&self, new: bool, now: Time) -> Vec<CrashReport> {
        let is_reported = |crash: &Crash| new || now.since(crash.changed_at) < REPORTED_FOR;
        let crashes = self.crashes.iter().rev().filter(|(_, crash)| is_reported(crash));
        let reports = crashes.flat_map(|((endpoint, incarnation), crash)| {
            let groups = crash.suspects.groups().into_iter();
            groups.map(move |group| CrashReport {
                endpoint: endpoint.clone(),
                incarnation: *incarnation,
                suspects: group.suspects,
                progress: group.progress,
                age: now.since(crash.at),
            })
        });
        reports.take(MAX_REPORTS).collect()
    }

    /// Returns the answered ones among the suspects of recent crashes, to report to another VM.
    pub(crate) fn answered_reports(&self, new: bool, now: Time) -> Vec<AnsweredSuspect> {
        let suspects = self.crashes.values().rev().flat_map(|crash| {
            let is_news = new || now.since(crash.changed_at) < REPORTED_FOR;
            crash.suspects.iter().map(move |suspect| (is_news, suspect))
        });
        let mut reports = IndexMap::new();
        for (is_news, suspect) in suspects {
            let Some(answered_at) = self.answered.get(&suspect) else {
                continue;
            };
            let age = now.since(*answered_at);
            if is_news || age < REPORTED_FOR {
                reports.insert(suspect, age);
            }
        }
        let reports = reports
            .into_iter()
            .map(|(suspect, age)| AnsweredSuspect { suspect, age });
        reports.take(MAX_REPORTS).collect()
    }

    /// Returns the crashes with the suspects that were not answered completely since, oldest first.
    pub(crate) fn open_crashes(&self) -> Vec<Crash> {
        let mut open: Vec<_> = self
            .crashes
            .values()
            .map(|crash| Crash {
                at: crash.at,
                suspects: crash
                    .suspects
                    .without(|suspect| is_cleared(&self.answered, suspect, crash.at)),
                changed_at: crash.changed_at,
            })
            .filter(|crash| !crash.suspects.is_empty())
            .collect();
        open.sort_by_key(|crash| crash.at);
        open
    }

    /// Returns whether a prompt with the part was answered completely not long ago. That a request was answered before it
    /// crashed endpoints says nothing about its copies.
    pub(crate) fn was_answered(&self, suspect: Suspect) -> bool {
        !suspect.is_request() && self.answered.contains_key(&suspect)
    }

    /// Returns the number of distinct crashes since which a request was not answered.
    pub(crate) fn crashes_under(&self, request: Fingerprint) -> u32 {
        let suspect = Suspect::Request(request);
        let crashes = self.crashes.values().filter(|crash| crash.suspects.contains(suspect));
        let open = crashes.filter(|crash| !is_cleared(&self.answered, suspect, crash.at));
        let mut times: Vec<_> = open.map(|crash| crash.at).collect();
        times.sort_unstable();
        distinct_moments(times.into_iter())
    }

    /// Forgets what is too old, and suspects that were cleared a while ago.
    pub(crate) fn prune(&mut self, now: Time) {
        self.breaks.retain(|_, broken| now.since(broken.at) < CONFIRM_WITHIN);
        let answered = &self.answered;
        for crash in self.crashes.values_mut() {
            let at = crash.at;
            // The other VMs are told before that a suspect is cleared.
            let is_done = |suspect| {
                let answered_at = answered.get(&suspect).filter(|answered_at| **answered_at > at);
                answered_at.is_some_and(|answered_at| now.since(*answered_at) >= REPORTED_FOR)
            };
            if now.since(crash.changed_at) >= REPORTED_FOR {
                crash.suspects.retain(|suspect| !is_done(suspect));
            }
        }
        self.crashes.retain(|_, crash| !crash.suspects.is_empty());
        self.forget_old_crashes(now);
        self.answered.retain(|_, at| now.since(*at) < ANSWER_KEPT_FOR);
    }

    /// Forgets crashes none of whose suspects was in a crash or refused lately.
    fn forget_old_crashes(&mut self, now: Time) {
        self.refused.retain(|_, at| now.since(*at) < CRASH_KEPT_FOR);
        let is_old = |crash: &Crash| now.since(crash.at) >= CRASH_KEPT_FOR;
        if !self.crashes.values().any(is_old) {
            return;
        }
        let recent = self.crashes.values().filter(|crash| !is_old(crash));
        let recent = recent.flat_map(|crash| self.uncleared(crash));
        let recent: IndexSet<Suspect> = recent.chain(self.refused.keys().copied()).collect();
        self.crashes
            .retain(|_, crash| !is_old(crash) || crash.suspects.iter().any(|suspect| recent.contains(&suspect)));
    }

    fn uncleared<'a>(&'a self, crash: &'a Crash) -> impl Iterator<Item = Suspect> + 'a {
        crash
            .suspects
            .iter()
            .filter(|suspect| !is_cleared(&self.answered, *suspect, crash.at))
    }

    fn insert(&mut self, key: EndpointKey, crash: Crash) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.shift_remove_index(0);
        }
        self.crashes.insert(key, crash);
    }

    fn record_answered(&mut self, suspect: Suspect, at: Time) {
        if let Some(known) = self.answered.get_mut(&suspect) {
            *known = at.max(*known);
        } else if self.answered.len() < MAX_ANSWERED {
            self.answered.insert(suspect, at);
        }
    }
}

/// Counts crashes at distinct moments; `times` are in order.
pub(crate) fn distinct_moments(times: impl Iterator<Item = Time>) -> u32 {
    let mut count = 0;
    let mut last: Option<Time> = None;
    for at in times {
        if last.is_none_or(|last| at.since(last) >= COINCIDENCE) {
            count += 1;
            last = Some(at);
        }
    }
    count
}

fn key_of(entry: &EndpointEntry) -> EndpointKey {
    (entry.id.clone(), entry.incarnation)
}

fn is_cleared(answered: &IndexMap<Suspect, Time>, suspect: Suspect, crashed_at: Time) -> bool {
    answered
        .get(&suspect)
        .is_some_and(|answered_at| *answered_at > crashed_at)
}

/// Adds suspects to a crash, and returns whether this is news.
fn add_suspects(crash: &mut Crash, suspects: &[Suspect], progress: Progress, now: Time) -> bool {
    let is_new = crash.suspects.extend(suspects, progress);
    if is_new {
        crash.changed_at = now;
    }
    is_new
}
