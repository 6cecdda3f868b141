//! Which prompt parts were being answered when endpoints crashed.
//!
//! A prompt part can crash each engine that begins to answer it. The VM that sent the prompt sees a response head and
//! then a broken connection; the other VMs see only that their own responses from that engine break off. The suspects of
//! a crash are the shared parts of the prompts whose responses had a head and no event yet. A part is cleared by a
//! complete response to a prompt that contains it.
//!
//! A connection that breaks is no crash by itself. The VM counts it as one if the endpoint refuses connections, or if
//! another incarnation of it registers, or its registration ends although it was not leaving. VMs exchange their crashes
//! and answered parts in heartbeats, so that evidence adds up over VMs, regions and services.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{EndpointId, Incarnation, Millis, PartId, Time};

use crate::EndpointEntry;

/// Time for which a crash is remembered.
const CRASH_KEPT_FOR: Millis = Millis(600_000);
/// Time for which it is remembered that a part was answered.
const ANSWER_KEPT_FOR: Millis = Millis(60_000);
/// Time within which a broken connection must turn out to be a crash.
const CONFIRM_WITHIN: Millis = Millis(5_000);
/// Time for which news is reported to the other VMs.
const REPORTED_FOR: Millis = Millis(10_000);
/// Crashes at the same moment have one common cause, such as the loss of a failure domain.
const COINCIDENCE: Millis = Millis(250);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;
/// Maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 32;
/// Maximum number of parts of which it is remembered that they were answered.
const MAX_ANSWERED: usize = 8_192;
/// Maximum number of crashes, and of answered parts, in one heartbeat.
const MAX_REPORTS: usize = 64;

/// A crash of an endpoint, as VMs report it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// Shared parts of the prompts that it had started to answer.
    pub suspects: Vec<PartId>,
    /// Time since the crash.
    pub age: Millis,
}

/// A suspected part that an endpoint answered completely, as VMs report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredPart {
    /// The part.
    pub part: PartId,
    /// Time since the last complete response.
    pub age: Millis,
}

/// An incarnation of an endpoint.
type EndpointKey = (EndpointId, Incarnation);

/// A crash and its suspects.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) at: Time,
    pub(crate) suspects: IndexSet<PartId>,
    /// When this VM last learned something new of it.
    changed_at: Time,
}

/// Broken connections of an endpoint that may have crashed.
#[derive(Debug, Clone)]
struct Break {
    at: Time,
    suspects: IndexSet<PartId>,
}

/// Crashes and answered parts, as far as this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashEvidence {
    crashes: IndexMap<EndpointKey, Crash>,
    breaks: IndexMap<EndpointKey, Break>,
    /// When a prompt with a part was last answered completely.
    answered: IndexMap<PartId, Time>,
}

impl CrashEvidence {
    /// Records that an endpoint broke off before the first event of a response; returns whether that is the first such
    /// break of this incarnation.
    pub(crate) fn on_break(&mut self, entry: &EndpointEntry, suspects: &[PartId], now: Time) -> bool {
        let key = key_of(entry);
        if let Some(crash) = self.crashes.get_mut(&key) {
            add_suspects(crash, suspects, now);
            return false;
        }
        let is_new = !self.breaks.contains_key(&key);
        let known = self.breaks.entry(key).or_insert_with(|| Break {
            at: now,
            suspects: IndexSet::new(),
        });
        known.suspects.extend(suspects);
        known.suspects.truncate(MAX_SUSPECTS);
        is_new
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
            self.record_answered(*part, now);
        }
    }

    /// Merges what another VM reports; returns whether that is news.
    pub(crate) fn on_report(&mut self, report: &CrashReport, now: Time) -> bool {
        let key = (report.endpoint.clone(), report.incarnation);
        if let Some(crash) = self.crashes.get_mut(&key) {
            return add_suspects(crash, &report.suspects, now);
        }
        let crash = Crash {
            at: now - report.age,
            suspects: report.suspects.iter().copied().take(MAX_SUSPECTS).collect(),
            changed_at: now,
        };
        self.breaks.swap_remove(&key);
        self.insert(key, crash);
        true
    }

    /// Merges what another VM reports; its report may be older than it says by `transit`.
    pub(crate) fn on_answered_report(&mut self, report: AnsweredPart, transit: Millis, now: Time) {
        self.record_answered(report.part, now - report.age - transit);
    }

    /// Returns the crashes to report to another VM: those that are news, and all if the VM may be `new`.
    pub(crate) fn crash_reports(&self, new: bool, now: Time) -> Vec<CrashReport> {
        let is_reported = |crash: &Crash| new || now.since(crash.changed_at) < REPORTED_FOR;
        let crashes = self.crashes.iter().rev().filter(|(_, crash)| is_reported(crash));
        let reports = crashes.map(|((endpoint, incarnation), crash)| CrashReport {
            endpoint: endpoint.clone(),
            incarnation: *incarnation,
            suspects: crash.suspects.iter().copied().collect(),
            age: now.since(crash.at),
        });
        reports.take(MAX_REPORTS).collect()
    }

    /// Returns the answered parts among the suspects of recent crashes, to report to another VM.
    pub(crate) fn answered_reports(&self, new: bool, now: Time) -> Vec<AnsweredPart> {
        let suspects = self.crashes.values().rev().flat_map(|crash| {
            let is_news = new || now.since(crash.changed_at) < REPORTED_FOR;
            crash.suspects.iter().map(move |part| (is_news, part))
        });
        let mut reports = IndexMap::new();
        for (is_news, part) in suspects {
            let Some(answered_at) = self.answered.get(part) else {
                continue;
            };
            let age = now.since(*answered_at);
            if is_news || age < REPORTED_FOR {
                reports.insert(*part, age);
            }
        }
        let reports = reports.into_iter().map(|(part, age)| AnsweredPart { part, age });
        reports.take(MAX_REPORTS).collect()
    }

    /// Returns the crashes with the suspects that were not answered completely since, oldest first.
    pub(crate) fn open_crashes(&self) -> Vec<Crash> {
        let mut open: Vec<_> = self
            .crashes
            .values()
            .map(|crash| Crash {
                suspects: self.uncleared(crash).collect(),
                ..crash.clone()
            })
            .filter(|crash| !crash.suspects.is_empty())
            .collect();
        open.sort_by_key(|crash| crash.at);
        open
    }

    /// Returns whether a prompt with the part was answered completely not long ago.
    pub(crate) fn was_answered(&self, part: PartId) -> bool {
        self.answered.contains_key(&part)
    }

    /// Forgets what is too old, and suspects that were cleared a while ago.
    pub(crate) fn prune(&mut self, now: Time) {
        self.breaks.retain(|_, broken| now.since(broken.at) < CONFIRM_WITHIN);
        let answered = &self.answered;
        for crash in self.crashes.values_mut() {
            if now.since(crash.changed_at) >= REPORTED_FOR {
                let at = crash.at;
                crash.suspects.retain(|part| !is_cleared(answered, *part, at));
            }
        }
        self.crashes
            .retain(|_, crash| now.since(crash.at) < CRASH_KEPT_FOR && !crash.suspects.is_empty());
        self.answered.retain(|_, at| now.since(*at) < ANSWER_KEPT_FOR);
    }

    fn uncleared<'a>(&'a self, crash: &'a Crash) -> impl Iterator<Item = PartId> + 'a {
        let suspects = crash.suspects.iter().copied();
        suspects.filter(|part| !is_cleared(&self.answered, *part, crash.at))
    }

    fn insert(&mut self, key: EndpointKey, crash: Crash) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.shift_remove_index(0);
        }
        self.crashes.insert(key, crash);
    }

    fn record_answered(&mut self, part: PartId, at: Time) {
        if let Some(known) = self.answered.get_mut(&part) {
            *known = at.max(*known);
        } else if self.answered.len() < MAX_ANSWERED {
            self.answered.insert(part, at);
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

fn is_cleared(answered: &IndexMap<PartId, Time>, part: PartId, crashed_at: Time) -> bool {
    answered.get(&part).is_some_and(|answered_at| *answered_at > crashed_at)
}

/// Adds suspects to a crash, and returns whether one is new.
fn add_suspects(crash: &mut Crash, suspects: &[PartId], now: Time) -> bool {
    let before = crash.suspects.len();
    crash.suspects.extend(suspects);
    crash.suspects.truncate(MAX_SUSPECTS);
    let is_new = crash.suspects.len() > before;
    if is_new {
        crash.changed_at = now;
    }
    is_new
}
