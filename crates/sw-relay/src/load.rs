//! The load of one endpoint, as this VM sees it.
//!
//! What this VM sent is known at once. What the other VMs of the region sent comes with their beats, and the
//! endpoint's own report with its answers. Pauses between the events of streams show how busy an engine is, whoever
//! keeps it busy.

use std::collections::VecDeque;

use indexmap::IndexMap;
use sw_unit::{DomainId, EndpointId, Millis, Time, VmId};

use crate::prefill_budget::PrefillBudget;
use crate::{EndpointLoad, LoadReport, PromptCache, SlowStart};

/// Pause between two events on an idle engine, in milliseconds.
const IDLE_GAP_MS: f64 = 45.0;
/// Delay beyond the expected that says nothing yet, in milliseconds.
const LATE_MARGIN_MS: f64 = 60.0;
/// Weight of the newest pause.
const NEWEST_GAP: f64 = 0.2;
/// Without streams for this long, an engine is taken to be idle.
const GAP_MEMORY: Millis = Millis(1_500);
/// What another VM has waiting shrinks by this share of the time since it said so; more arrives meanwhile.
const PEER_DRAIN: f64 = 0.3;
/// A report or beat older than this is not used.
const REPORT_MEMORY: Millis = Millis(2_500);
/// A prompt that is done within this share of the time that reading it takes was not read.
const UNREAD_SHARE: f64 = 0.5;
/// What a plain service reported of its queue longer ago than this is over.
const QUEUE_MEMORY: Millis = Millis(500);
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
    prefill_ms: f64,
    /// From when it can be read; before, its shared parts are being copied.
    since: Time,
    /// When the place of another VM's prompt is dropped if it was not released.
    lost: Option<Time>,
}

/// A request of another VM that runs, or waits at a plain service.
#[derive(Debug, Clone, Copy)]
struct Place {
    ticket: u64,
    lost: Time,
}

/// The load of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointTracker {
    /// Requests of this VM that run there.
    pub running: u32,
    /// What its prompt cache probably holds.
    pub cache: PromptCache,
    /// Pacing while it is cold.
    pub slow_start: SlowStart,
    /// Prompts whose first event has not come, oldest first: those of this VM, and those for which it granted a place.
    unread: VecDeque<Unread>,
    /// When the engine began with the oldest of them.
    reading_since: Time,
    reading: PrefillBudget,
    /// Requests of other VMs for which this VM granted a place, and that run, or wait at a plain service.
    places: Vec<Place>,
    next_ticket: u64,
    gap: Option<(f64, Time)>,
    report: Option<(LoadReport, Time)>,
    peers: IndexMap<Sender, (EndpointLoad, Time)>,
    failures: u32,
    paused_until: Time,
}

impl EndpointTracker {
    /// Milliseconds of reading that are ahead of a new prompt.
    pub fn backlog_ms(&self, now: Time) -> f64 {
        self.local_backlog_ms(now) + self.peers_backlog_ms(now)
    }

    /// By how much less a prompt has to wait that need not leave the engine time to answer others.
    pub(crate) fn spared_ms(&self, now: Time) -> f64 {
        self.local_backlog_ms(now) - self.unread_ms(now)
    }

    fn peers_backlog_ms(&self, now: Time) -> f64 {
        let peers = self.fresh_peers(now);
        peers
            .map(|(load, age)| (load.backlog_ms - age * PEER_DRAIN).max(0.0))
            .sum()
    }

    /// Milliseconds of reading that this VM sent or granted and that are not done.
    ///
    /// An engine that takes longer than expected for the oldest is expected to be as late for the next. One that has
    /// read for more than its share of the time counts as busy until it has made up for that.
    pub fn local_backlog_ms(&self, now: Time) -> f64 {
        self.unread_ms(now).max(self.reading.excess_ms(now))
    }

    fn unread_ms(&self, now: Time) -> f64 {
        let total: f64 = self.unread.iter().map(|unread| unread.prefill_ms).sum();
        let Some(oldest) = self.unread.iter().find(|unread| unread.since <= now) else {
            return total;
        };
        let reading = now.since(self.reading_since.max(oldest.since)).0 as f64;
        let late = (reading - oldest.prefill_ms - LATE_MARGIN_MS).max(0.0);
        total - reading.min(oldest.prefill_ms) + late
    }

    /// Requests that run there, of all VMs.
    pub fn total_running(&self, now: Time) -> u32 {
        let peers: u32 = self.fresh_peers(now).map(|(load, _)| load.running).sum();
        let known = self.running + peers;
        let report = self.report.filter(|(_, at)| now.since(*at) < QUEUE_MEMORY);
        report.map_or(known, |(report, _)| known.max(report.running + report.waiting))
    }

    /// Requests that run there, as the VM knows that grants the places: its own, and those that it granted.
    pub(crate) fn accounted_running(&self) -> u32 {
        let unread = self.unread.iter().filter(|unread| unread.lost.is_some());
        let places = self.places.len() + unread.count();
        self.running + u32::try_from(places).unwrap_or(u32::MAX)
    }

    /// Requests that wait there.
    pub fn waiting(&self, now: Time) -> u32 {
        self.fresh_report(now).map_or(0, |report| report.waiting)
    }

    /// The pause between two events, in milliseconds: as seen, or else as the busiest other VM saw it.
    pub fn gap_ms(&self, now: Time) -> f64 {
        let own = self.own_gap_ms(now);
        own.or_else(|| self.peers_gap_ms(now)).unwrap_or(IDLE_GAP_MS)
    }

    /// The pause between two events that this VM saw; `None` if it saw none lately.
    fn own_gap_ms(&self, now: Time) -> Option<f64> {
        let fresh = self.gap.filter(|(_, at)| now.since(*at) < GAP_MEMORY);
        fresh.map(|(gap, _)| gap)
    }

    fn peers_gap_ms(&self, now: Time) -> Option<f64> {
        let seen = self.fresh_peers(now).filter(|(load, _)| load.gap_ms.is_some());
        seen.max_by_key(|(load, _)| load.running)
            .and_then(|(load, _)| load.gap_ms)
    }

    /// Records a request whose prompt takes `prefill_ms` to read from `since` on, and returns the ticket that stands for it.
    pub fn on_dispatch(&mut self, prefill_ms: f64, since: Time, now: Time) -> u64 {
        self.running += 1;
        if prefill_ms > 0.0 {
            self.wait_for(prefill_ms, since, None, now)
        } else {
            self.ticket()
        }
    }

    /// Records that the prompt of `ticket` was read.
    pub fn on_prefill_done(&mut self, ticket: u64, now: Time) {
        self.places.retain(|place| place.ticket != ticket);
        let Some(at) = self.unread.iter().position(|unread| unread.ticket == ticket) else {
            return;
        };
        let done = self.unread.remove(at);
        if let Some(done) = done.filter(|done| (now.since(done.since).0 as f64) < done.prefill_ms * UNREAD_SHARE) {
            self.reading.given_up(done.prefill_ms);
        }
        self.reading_since = now;
    }

    /// Records the end of the request of `ticket`.
    pub fn on_end(&mut self, ticket: u64, now: Time) {
        self.running = self.running.saturating_sub(1);
        self.on_prefill_done(ticket, now);
    }

    /// Records a pause between two events.
    pub fn record_gap(&mut self, gap: Millis, now: Time) {
        let before = self.gap_ms(now);
        self.gap = Some((before + NEWEST_GAP * (gap.0 as f64 - before), now));
    }

    /// Records what the endpoint said.
    pub fn record_report(&mut self, report: LoadReport, now: Time) {
        self.report = Some((report, now));
    }

    /// Records what another VM sent there.
    pub(crate) fn record_peer_load(&mut self, sender: Sender, load: EndpointLoad, now: Time) {
        self.peers.insert(sender, (load, now));
    }

    /// Records a prompt that another VM sends there, which can be read from `since` on, until it is read or lost, and
    /// returns the ticket that stands for it.
    pub(crate) fn reserve_prefill(&mut self, prefill_ms: f64, since: Time, lost: Time, now: Time) -> u64 {
        self.wait_for(prefill_ms, since, Some(lost), now)
    }

    /// Records a request that another VM sends to a plain service, until it ends or is lost, and returns the ticket that
    /// stands for it.
    pub(crate) fn reserve_slot(&mut self, lost: Time) -> u64 {
        let ticket = self.ticket();
        self.places.push(Place { ticket, lost });
        ticket
    }

    /// Records that the request of another VM runs, until it ends or is lost.
    pub(crate) fn on_run_started(&mut self, ticket: u64, lost: Time) {
        self.places.push(Place { ticket, lost });
    }

    /// Drops requests of other VMs that were not released.
    pub(crate) fn expire_reservations(&mut self, now: Time) {
        self.places.retain(|place| place.lost > now);
        let lost = |unread: &Unread| unread.lost.is_some_and(|lost| lost <= now);
        if self.unread.iter().any(lost) {
            self.unread.retain(|unread| !lost(unread));
            self.reading_since = now;
        }
    }

    /// Records how much another sender has waiting there.
    pub(crate) fn set_peer_backlog(&mut self, sender: Sender, endpoint: &EndpointId, backlog_ms: f64, now: Time) {
        let unheard = EndpointLoad {
            endpoint: endpoint.clone(),
            running: 0,
            backlog_ms,
            gap_ms: None,
        };
        let (load, at) = self.peers.entry(sender).or_insert((unheard, now));
        load.backlog_ms = backlog_ms;
        *at = now;
    }

    fn wait_for(&mut self, prefill_ms: f64, since: Time, lost: Option<Time>, now: Time) -> u64 {
        if self.unread.is_empty() {
            self.reading_since = now;
        }
        let ticket = self.ticket();
        self.reading.begun(prefill_ms, now);
        self.unread.push_back(Unread {
            ticket,
            prefill_ms,
            since,
            lost,
        });
        ticket
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// What this VM sent to the endpoint `id`; a pause counts as backlog.
    pub(crate) fn local_load(&self, id: &EndpointId, now: Time) -> EndpointLoad {
        EndpointLoad {
            endpoint: id.clone(),
            running: self.running,
            backlog_ms: self.local_backlog_ms(now).max(self.backoff_remaining_ms(now)),
            gap_ms: self.own_gap_ms(now),
        }
    }

    /// What this VM and its neighbours sent to the endpoint `id`.
    pub(crate) fn domain_load(&self, id: &EndpointId, now: Time) -> EndpointLoad {
        let mut sum = self.local_load(id, now);
        for (sender, (load, at)) in &self.peers {
            if matches!(sender, Sender::Vm(_)) && now.since(*at) < REPORT_MEMORY {
                sum.running += load.running;
                sum.backlog_ms += load.backlog_ms;
                sum.gap_ms = sum.gap_ms.or(load.gap_ms);
            }
        }
        sum
    }

    /// Records a good answer.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.paused_until = Time(0);
    }

    /// Records a failed attempt, and returns the end of the pause if it begins one.
    ///
    /// An endpoint that is absent is paused at once.
    pub fn on_failure(&mut self, absent: bool, now: Time) -> Option<Time> {
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
    pub fn is_in_backoff(&self, now: Time) -> bool {
        self.paused_until > now
    }

    /// Milliseconds until the endpoint is tried again after failures.
    pub(crate) fn backoff_remaining_ms(&self, now: Time) -> f64 {
        self.paused_until.since(now).0 as f64
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
