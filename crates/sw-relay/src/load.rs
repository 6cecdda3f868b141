//! The load of one endpoint, as seen by this VM.
//!
//! Requests of this VM are counted immediately. Those of other VMs of the region are reported in heartbeats, and the
//! endpoint reports its own load with its responses. The gap between the events of its streams shows how busy an engine
//! is, regardless of who sends to it.

use std::collections::VecDeque;

use indexmap::IndexMap;
use sw_unit::{DomainId, EndpointId, Millis, Time, VmId};

use crate::prefill_budget::PrefillBudget;
use crate::{EndpointLoad, LoadReport, PromptCache, SlowStart};

/// Gap between two events on an idle engine, in milliseconds.
const IDLE_GAP_MS: f64 = 45.0;
/// Delay beyond the expected time that is still regarded as normal, in milliseconds.
const LATE_MARGIN_MS: f64 = 60.0;
/// Weight of the newest gap.
const NEWEST_GAP: f64 = 0.2;
/// Without events for this long, an engine is assumed to be idle.
const GAP_MEMORY: Millis = Millis(1_500);
/// The reported backlog of a peer shrinks by this share of its age, because further requests arrive meanwhile.
const PEER_DRAIN: f64 = 0.3;
/// Maximum age of a report or heartbeat.
const REPORT_MEMORY: Millis = Millis(2_500);
/// A prompt that ends within this share of its expected prefill time was not processed.
const UNREAD_SHARE: f64 = 0.5;
/// Maximum age of a plain service's report about its queue.
const QUEUE_MEMORY: Millis = Millis(500);
/// Consecutive failures after which an endpoint is in backoff.
const FAILURES_TO_PAUSE: u32 = 3;
/// First backoff; each further failure doubles it.
const FIRST_PAUSE: Millis = Millis(1_000);
/// Longest backoff.
const MAX_PAUSE: Millis = Millis(8_000);

/// Another sender to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Sender {
    /// A VM of the local failure domain.
    Vm(VmId),
    /// All VMs of another failure domain of the region.
    Domain(DomainId),
}

/// A prompt whose prefill is running or queued.
#[derive(Debug, Clone, Copy)]
struct Unread {
    ticket: u64,
    prefill_ms: f64,
    /// When its prefill can start; its shared parts are being transferred until then.
    since: Time,
    /// When the entry of another VM's prompt is dropped if it was not released.
    lost: Option<Time>,
}

/// A request of another VM that is running, or queued at a plain service.
#[derive(Debug, Clone, Copy)]
struct Place {
    ticket: u64,
    lost: Time,
}

/// Tracks the load of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointTracker {
    /// Number of running requests of this VM.
    pub running: u32,
    /// Model of the endpoint's prompt cache.
    pub cache: PromptCache,
    /// Slow start while the endpoint is cold.
    pub slow_start: SlowStart,
    /// Prompts without a first event, oldest first: those of this VM and those that it granted.
    unread: VecDeque<Unread>,
    /// When the prefill of the oldest one started.
    reading_since: Time,
    reading: PrefillBudget,
    /// Requests of other VMs that this VM granted and that are running, or queued at a plain service.
    places: Vec<Place>,
    next_ticket: u64,
    gap: Option<(f64, Time)>,
    report: Option<(LoadReport, Time)>,
    peers: IndexMap<Sender, (EndpointLoad, Time)>,
    failures: u32,
    paused_until: Time,
}

impl EndpointTracker {
    /// Returns the prefill time queued in front of a new prompt in milliseconds.
    pub fn backlog_ms(&self, now: Time) -> f64 {
        self.local_backlog_ms(now) + self.peers_backlog_ms(now)
    }

    /// Returns the part of the local backlog in milliseconds that is due to the prefill budget alone.
    pub(crate) fn spared_ms(&self, now: Time) -> f64 {
        self.local_backlog_ms(now) - self.unread_ms(now)
    }

    fn peers_backlog_ms(&self, now: Time) -> f64 {
        let peers = self.fresh_peers(now);
        peers
            .map(|(load, age)| (load.backlog_ms - age * PEER_DRAIN).max(0.0))
            .sum()
    }

    /// Returns the outstanding prefill time in milliseconds that this VM dispatched or granted.
    ///
    /// If the oldest prompt is late, the next one is expected to be as late. An engine that exceeded its prefill budget
    /// counts as busy until the budget is restored.
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

    /// Returns the number of running requests of all VMs.
    pub fn total_running(&self, now: Time) -> u32 {
        let peers: u32 = self.fresh_peers(now).map(|(load, _)| load.running).sum();
        let known = self.running + peers;
        let report = self.report.filter(|(_, at)| now.since(*at) < QUEUE_MEMORY);
        report.map_or(known, |(report, _)| known.max(report.running + report.waiting))
    }

    /// Returns the number of requests of this VM plus those that it granted as the coordinator.
    pub(crate) fn accounted_running(&self) -> u32 {
        let unread = self.unread.iter().filter(|unread| unread.lost.is_some());
        let places = self.places.len() + unread.count();
        self.running + u32::try_from(places).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests queued at the endpoint.
    pub fn waiting(&self, now: Time) -> u32 {
        self.fresh_report(now).map_or(0, |report| report.waiting)
    }

    /// Returns the gap between two events in milliseconds: as measured by this VM, or else by the peer with the most
    /// requests.
    pub fn gap_ms(&self, now: Time) -> f64 {
        let own = self.own_gap_ms(now);
        own.or_else(|| self.peers_gap_ms(now)).unwrap_or(IDLE_GAP_MS)
    }

    /// Returns the gap in milliseconds as measured by this VM; `None` without recent events.
    fn own_gap_ms(&self, now: Time) -> Option<f64> {
        let fresh = self.gap.filter(|(_, at)| now.since(*at) < GAP_MEMORY);
        fresh.map(|(gap, _)| gap)
    }

    fn peers_gap_ms(&self, now: Time) -> Option<f64> {
        let seen = self.fresh_peers(now).filter(|(load, _)| load.gap_ms.is_some());
        seen.max_by_key(|(load, _)| load.running)
            .and_then(|(load, _)| load.gap_ms)
    }

    /// Records a dispatched request whose prefill takes `prefill_ms` and can start at `ready_at`, and returns its entry
    /// id.
    pub fn on_dispatch(&mut self, prefill_ms: f64, since: Time, now: Time) -> u64 {
        self.running += 1;
        if prefill_ms > 0.0 {
            self.wait_for(prefill_ms, since, None, now)
        } else {
            self.ticket()
        }
    }

    /// Records that the prefill of the entry is done.
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

    /// Records the end of the request of the entry.
    pub fn on_end(&mut self, ticket: u64, now: Time) {
        self.running = self.running.saturating_sub(1);
        self.on_prefill_done(ticket, now);
    }

    /// Records the gap between two events.
    pub fn record_gap(&mut self, gap: Millis, now: Time) {
        let before = self.gap_ms(now);
        self.gap = Some((before + NEWEST_GAP * (gap.0 as f64 - before), now));
    }

    /// Records the load that the endpoint reported.
    pub fn record_report(&mut self, report: LoadReport, now: Time) {
        self.report = Some((report, now));
    }

    /// Records the load that another sender reported.
    pub(crate) fn record_peer_load(&mut self, sender: Sender, load: EndpointLoad, now: Time) {
        self.peers.insert(sender, (load, now));
    }

    /// Records a prompt of another VM whose prefill can start at `ready_at`, until it is done or expires, and returns
    /// its entry id.
    pub(crate) fn reserve_prefill(&mut self, prefill_ms: f64, since: Time, lost: Time, now: Time) -> u64 {
        self.wait_for(prefill_ms, since, Some(lost), now)
    }

    /// Records a request of another VM to a plain service, until it ends or expires, and returns its entry id.
    pub(crate) fn reserve_slot(&mut self, lost: Time) -> u64 {
        let ticket = self.ticket();
        self.places.push(Place { ticket, lost });
        ticket
    }

    /// Records that the request of another VM is running, until it ends or expires.
    pub(crate) fn on_run_started(&mut self, ticket: u64, lost: Time) {
        self.places.push(Place { ticket, lost });
    }

    /// Drops requests of other VMs that were not released in time.
    pub(crate) fn expire_reservations(&mut self, now: Time) {
        self.places.retain(|place| place.lost > now);
        let lost = |unread: &Unread| unread.lost.is_some_and(|lost| lost <= now);
        if self.unread.iter().any(lost) {
            self.unread.retain(|unread| !lost(unread));
            self.reading_since = now;
        }
    }

    /// Replaces the backlog that another sender reported.
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

    /// Returns the load of this VM on the endpoint `id`; a backoff counts as backlog.
    pub(crate) fn local_load(&self, id: &EndpointId, now: Time) -> EndpointLoad {
        EndpointLoad {
            endpoint: id.clone(),
            running: self.running,
            backlog_ms: self.local_backlog_ms(now).max(self.backoff_remaining_ms(now)),
            gap_ms: self.own_gap_ms(now),
        }
    }

    /// Returns the load of this VM and its neighbours on the endpoint `id`.
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

    /// Records a successful attempt, which ends the backoff.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.paused_until = Time(0);
    }

    /// Records a failed attempt, and returns the end of the backoff if one starts.
    ///
    /// An endpoint that is no longer at its address is in backoff immediately.
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

    /// Whether the endpoint is in backoff.
    pub fn is_in_backoff(&self, now: Time) -> bool {
        self.paused_until > now
    }

    /// Returns the milliseconds until the backoff ends.
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
