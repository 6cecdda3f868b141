//! The load of one endpoint, as this VM sees it.
//!
//! What this VM sent is known at once. What the other VMs of the region sent comes with their beats, and the
//! endpoint's own report with its answers. Pauses between the events of streams show how busy an engine is, whoever
//! keeps it busy.

use std::collections::VecDeque;

use indexmap::IndexMap;
use sw_unit::{DomainId, EndpointId, Millis, Time, VmId};

use crate::{EndpointLoad, LoadReport, Pace, PromptCache};

/// Pause between two events on an idle engine, in milliseconds.
const IDLE_GAP_MS: f64 = 45.0;
/// Delay beyond the expected that says nothing yet, in milliseconds.
const LATE_MARGIN_MS: f64 = 60.0;
/// Weight of the newest pause.
const NEWEST_GAP: f64 = 0.2;
/// Without streams for this long, an engine is taken to be idle.
const GAP_MEMORY: Millis = Millis(1_500);
/// A report or beat older than this is not used.
const REPORT_MEMORY: Millis = Millis(2_500);
/// Failures in a row after which an endpoint is paused.
const FAILURES_TO_PAUSE: u32 = 3;
/// First pause; each further failure doubles it.
const FIRST_PAUSE: Millis = Millis(1_000);
/// Longest pause.
const MAX_PAUSE: Millis = Millis(8_000);

/// Who else sends to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Sender {
    /// A VM of the own failure domain.
    Vm(VmId),
    /// All VMs of another failure domain of the region.
    Domain(DomainId),
}

/// A prompt that is being read or waits for it.
#[derive(Debug, Clone, Copy)]
struct Unread {
    ticket: u64,
    read_ms: f64,
}

/// The load of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Requests of this VM that run there.
    pub running: u32,
    /// What its prompt cache probably holds.
    pub cache: PromptCache,
    /// Pacing while it is cold.
    pub pace: Pace,
    /// Prompts of this VM whose first event has not come, oldest first.
    unread: VecDeque<Unread>,
    /// When the engine began with the oldest of them.
    reading_since: Time,
    next_ticket: u64,
    gap: Option<(f64, Time)>,
    report: Option<(LoadReport, Time)>,
    peers: IndexMap<Sender, (EndpointLoad, Time)>,
    failures: u32,
    paused_until: Time,
}

impl Load {
    /// Milliseconds of reading that are ahead of a new prompt.
    pub fn backlog_ms(&self, now: Time) -> f64 {
        let peers: f64 = self
            .fresh_peers(now)
            .map(|(load, age)| (load.backlog_ms - age).max(0.0))
            .sum();
        self.own_backlog_ms(now) + peers
    }

    /// Milliseconds of reading that this VM sent and that are not done.
    ///
    /// An engine that takes longer than expected for the oldest is expected to be as late for the next.
    pub fn own_backlog_ms(&self, now: Time) -> f64 {
        let Some(oldest) = self.unread.front() else {
            return 0.0;
        };
        let total: f64 = self.unread.iter().map(|unread| unread.read_ms).sum();
        let reading = now.since(self.reading_since).0 as f64;
        let late = (reading - oldest.read_ms - LATE_MARGIN_MS).max(0.0);
        total - reading.min(oldest.read_ms) + late
    }

    /// Requests that run there, of all VMs.
    pub fn all_running(&self, now: Time) -> u32 {
        let peers: u32 = self.fresh_peers(now).map(|(load, _)| load.running).sum();
        let known = self.running + peers;
        self.fresh_report(now)
            .map_or(known, |report| known.max(report.running + report.waiting))
    }

    /// Requests that wait there.
    pub fn waiting(&self, now: Time) -> u32 {
        self.fresh_report(now).map_or(0, |report| report.waiting)
    }

    /// The pause between two events, in milliseconds.
    pub fn gap_ms(&self, now: Time) -> f64 {
        let fresh = self.gap.filter(|(_, at)| now.since(*at) < GAP_MEMORY);
        fresh.map_or(IDLE_GAP_MS, |(gap, _)| gap)
    }

    /// Records a request whose prompt takes `read_ms` to read, and returns the ticket that stands for it.
    pub fn sent(&mut self, read_ms: f64, now: Time) -> u64 {
        self.running += 1;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if read_ms > 0.0 {
            if self.unread.is_empty() {
                self.reading_since = now;
            }
            self.unread.push_back(Unread { ticket, read_ms });
        }
        ticket
    }

    /// Records that the prompt of `ticket` was read.
    pub fn read(&mut self, ticket: u64, now: Time) {
        let before = self.unread.len();
        self.unread.retain(|unread| unread.ticket != ticket);
        if self.unread.len() < before {
            self.reading_since = now;
        }
    }

    /// Records the end of the request of `ticket`.
    pub fn ended(&mut self, ticket: u64, now: Time) {
        self.running = self.running.saturating_sub(1);
        self.read(ticket, now);
    }

    /// Records a pause between two events.
    pub fn paused_between_events(&mut self, gap: Millis, now: Time) {
        let before = self.gap_ms(now);
        self.gap = Some((before + NEWEST_GAP * (gap.0 as f64 - before), now));
    }

    /// Records what the endpoint said.
    pub fn reported(&mut self, report: LoadReport, now: Time) {
        self.report = Some((report, now));
    }

    /// Records what another VM sent there.
    pub(crate) fn heard(&mut self, sender: Sender, load: EndpointLoad, now: Time) {
        self.peers.insert(sender, (load, now));
    }

    /// What this VM and its neighbours sent to the endpoint `id`.
    pub(crate) fn of_neighbours(&self, id: &EndpointId, now: Time) -> EndpointLoad {
        let mut sum = EndpointLoad {
            endpoint: id.clone(),
            running: self.running,
            backlog_ms: self.own_backlog_ms(now),
        };
        for (sender, (load, at)) in &self.peers {
            if matches!(sender, Sender::Vm(_)) && now.since(*at) < REPORT_MEMORY {
                sum.running += load.running;
                sum.backlog_ms += load.backlog_ms;
            }
        }
        sum
    }

    /// Records a good answer.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.paused_until = Time(0);
    }

    /// Records a failed attempt, and returns the end of the pause if it begins one.
    ///
    /// An endpoint that is absent is paused at once.
    pub fn failed(&mut self, absent: bool, now: Time) -> Option<Time> {
        self.failures += 1;
        if absent {
            self.failures = self.failures.max(FAILURES_TO_PAUSE);
        }
        let excess = self.failures.checked_sub(FAILURES_TO_PAUSE)?;
        let pause = Millis(FIRST_PAUSE.0 << excess.min(10)).min(MAX_PAUSE);
        self.paused_until = now + pause;
        Some(self.paused_until)
    }

    /// Whether the endpoint is paused after failures.
    pub fn is_paused(&self, now: Time) -> bool {
        self.paused_until > now
    }

    fn fresh_report(&self, now: Time) -> Option<LoadReport> {
        let fresh = self.report.filter(|(_, at)| now.since(*at) < REPORT_MEMORY);
        fresh.map(|(report, _)| report)
    }

    fn fresh_peers(&self, now: Time) -> impl Iterator<Item = (&EndpointLoad, f64)> {
        let fresh = move |(_, at): &&(EndpointLoad, Time)| now.since(*at) < REPORT_MEMORY;
        self.peers
            .values()
            .filter(fresh)
            .map(move |(load, at)| (load, now.since(*at).0 as f64))
    }
}
