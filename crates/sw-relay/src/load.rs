//! The load of one endpoint, as seen by this VM.
//!
//! Requests of this VM are counted immediately. Those of other VMs of the region are reported in heartbeats, and the
//! endpoint reports its own load with its responses. The gap between the events of its streams shows how busy an engine
//! is, regardless of who sends to it.

use std::collections::VecDeque;

use indexmap::IndexMap;
use sw_unit::{DomainId, EndpointId, Millis, Time, VmId};

use crate::prefill_budget::{BudgetLimits, PrefillBudget};
use crate::stream_pause::StreamAccount;
use crate::{AttemptOutcome, EndpointLoad, EndpointSpeed, LoadReport, PromptCache, SlowStart};

/// Gap between two events on an idle engine, in milliseconds.
const IDLE_GAP_MS: f64 = 45.0;
/// Delay beyond the expected time that is still regarded as normal, in milliseconds.
const LATE_MARGIN_MS: f64 = 60.0;
/// Weight of the newest gap.
const GAP_WEIGHT: f64 = 0.2;
/// Without events for this long, an engine is assumed to be idle.
const GAP_MAX_AGE: Millis = Millis(1_500);
/// The reported backlog of a peer shrinks by this share of its age, because further requests arrive meanwhile.
const PEER_DRAIN: f64 = 0.3;
/// Maximum age of a report or heartbeat.
const REPORT_MAX_AGE: Millis = Millis(2_500);
/// A prompt that ends within this share of its expected prefill time was not processed.
const SKIPPED_SHARE: f64 = 0.5;
/// Maximum age of a plain service's report about its queue.
const QUEUE_REPORT_MAX_AGE: Millis = Millis(500);
/// Consecutive failures after which an endpoint is in backoff.
const FAILURES_TO_BACKOFF: u32 = 3;
/// First backoff; each further failure doubles it.
const INITIAL_BACKOFF: Millis = Millis(1_000);
/// Longest backoff.
const MAX_BACKOFF: Millis = Millis(8_000);

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
struct QueueEntry {
    id: u64,
    prefill_ms: f64,
    /// When its prefill can start; its shared parts are being transferred until then.
    ready_at: Time,
    /// When the entry of another VM's prompt is dropped if it was not released.
    expires_at: Option<Time>,
}

/// A request of another VM that is running, or queued at a plain service.
#[derive(Debug, Clone, Copy)]
struct GrantedEntry {
    id: u64,
    expires_at: Time,
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
    /// Its speed relative to that of its service.
    pub speed: EndpointSpeed,
    /// Prompts without a first event, oldest first: those of this VM and those that it granted.
    prefill_queue: VecDeque<QueueEntry>,
    /// When the prefill of the oldest one started.
    prefill_started_at: Time,
    prefill_budget: PrefillBudget,
    /// Streams of this VM, and those that it granted.
    pub(crate) streams: StreamAccount,
    /// Requests of other VMs that this VM granted and that are running, or queued at a plain service.
    granted: Vec<GrantedEntry>,
    next_entry_id: u64,
    gap: Option<(f64, Time)>,
    report: Option<(LoadReport, Time)>,
    /// Load from other senders, and when it was reported.
    peers: IndexMap<Sender, (EndpointLoad, Time)>,
    failures: u32,
    backoff_until: Time,
    /// End of the backoff that other VMs are told of; it started when the endpoint itself answered with a failure.
    shared_backoff_until: Time,
    /// When this VM last received bytes of the endpoint.
    heard_at: Option<Time>,
    /// Latest start of an attempt that the endpoint answered.
    answered_start: Option<Time>,
}

impl EndpointTracker {
    /// Returns the work queued in front of a new request in milliseconds, of this VM and as reported by others.
    pub fn backlog_ms(&self, now: Time) -> f64 {
        self.local_backlog_ms(now) + self.peers_backlog_ms(now)
    }

    /// Returns the part of the local backlog in milliseconds that is due to the prefill budget alone.
    pub(crate) fn budget_wait_ms(&self, now: Time) -> f64 {
        self.local_backlog_ms(now) - self.prefill_queue_ms(now)
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
        self.prefill_queue_ms(now).max(self.prefill_budget.excess_ms(now))
    }

    fn prefill_queue_ms(&self, now: Time) -> f64 {
        let total: f64 = self.prefill_queue.iter().map(|entry| entry.prefill_ms).sum();
        let Some(oldest) = self.prefill_queue.iter().find(|entry| entry.ready_at <= now) else {
            return total;
        };
        let elapsed = now.since(self.prefill_started_at.max(oldest.ready_at)).0 as f64;
        let late = (elapsed - oldest.prefill_ms - LATE_MARGIN_MS).max(0.0);
        total - elapsed.min(oldest.prefill_ms) + late
    }

    /// Returns the prefill that is queued in milliseconds: what this VM dispatched or granted, and what others report
    /// unless this VM knows all of it.
    pub(crate) fn queued_ms(&self, knows_all: bool, now: Time) -> f64 {
        let others_ms = if knows_all { 0.0 } else { self.peers_backlog_ms(now) };
        self.prefill_queue_ms(now) + others_ms
    }

    /// Returns the number of running requests that other senders reported.
    pub(crate) fn peers_running(&self, now: Time) -> u32 {
        let running = self.fresh_peers(now).map(|(load, _)| load.running);
        running.fold(0, u32::saturating_add)
    }

    /// Applies other limits on the prefill of the engine.
    pub(crate) fn set_prefill_limits(&mut self, limits: BudgetLimits) {
        self.prefill_budget.set_limits(limits);
    }

    /// Returns the number of running requests of all VMs, or of running and queued ones as the endpoint reported
    /// recently, whichever is higher.
    pub fn total_running(&self, now: Time) -> u32 {
        let peers = self.fresh_peers(now).map(|(load, _)| load.running);
        let known = peers.fold(self.running, u32::saturating_add);
        let report = self.report.filter(|(_, at)| now.since(*at) < QUEUE_REPORT_MAX_AGE);
        report.map_or(known, |(report, _)| {
            known.max(report.running.saturating_add(report.waiting))
        })
    }

    /// Returns the number of requests of this VM plus those that it granted as the coordinator.
    pub(crate) fn accounted_running(&self) -> u32 {
        let queued = self.prefill_queue.iter().filter(|entry| entry.expires_at.is_some());
        let others = self.granted.len() + queued.count();
        self.running.saturating_add(u32::try_from(others).unwrap_or(u32::MAX))
    }

    /// Returns the number of requests that are running or waiting at the endpoint, of this VM and those that it granted.
    pub(crate) fn present(&self, now: Time) -> u32 {
        let queued = self.prefill_queue.iter().filter_map(|entry| entry.expires_at);
        let granted = self.granted.iter().map(|entry| entry.expires_at);
        let others = queued.chain(granted).filter(|expires_at| *expires_at > now).count();
        self.running.saturating_add(u32::try_from(others).unwrap_or(u32::MAX))
    }

    /// Returns the number of requests queued at the endpoint.
    pub fn waiting(&self, now: Time) -> u32 {
        self.fresh_report(now).map_or(0, |report| report.waiting)
    }

    /// Returns the gap between two events in milliseconds: as measured by this VM, or else by the peer with the most
    /// requests, or else that of an idle engine.
    pub fn gap_ms(&self, now: Time) -> f64 {
        let local = self.local_gap_ms(now);
        local.or_else(|| self.peers_gap_ms(now)).unwrap_or(IDLE_GAP_MS)
    }

    /// Returns the gap in milliseconds as measured by this VM; `None` without recent events.
    fn local_gap_ms(&self, now: Time) -> Option<f64> {
        let fresh = self.gap.filter(|(_, at)| now.since(*at) < GAP_MAX_AGE);
        fresh.map(|(gap, _)| gap)
    }

    fn peers_gap_ms(&self, now: Time) -> Option<f64> {
        let measured = self.fresh_peers(now).filter(|(load, _)| load.gap_ms.is_some());
        measured
            .max_by_key(|(load, _)| load.running)
            .and_then(|(load, _)| load.gap_ms)
    }

    /// Records a dispatched request whose prefill takes `prefill_ms` and can start at `ready_at`, and returns its entry
    /// id.
    pub fn on_dispatch(&mut self, prefill_ms: f64, ready_at: Time, now: Time) -> u64 {
        self.running += 1;
        if prefill_ms > 0.0 {
            self.enqueue(prefill_ms, ready_at, None, now)
        } else {
            self.new_entry_id()
        }
    }

    /// Records that the prefill of the entry is done, or that its request ended: the entry is removed from the queue
    /// and from the granted requests.
    pub fn on_prefill_done(&mut self, entry_id: u64, now: Time) {
        self.granted.retain(|entry| entry.id != entry_id);
        let Some(at) = self.prefill_queue.iter().position(|entry| entry.id == entry_id) else {
            return;
        };
        let done = self.prefill_queue.remove(at);
        if let Some(done) = done.filter(|done| (now.since(done.ready_at).0 as f64) < done.prefill_ms * SKIPPED_SHARE) {
            self.prefill_budget.refund(done.prefill_ms);
        }
        self.prefill_started_at = now;
    }

    /// Records the end of the request of the entry.
    pub fn on_end(&mut self, entry_id: u64, now: Time) {
        self.running = self.running.saturating_sub(1);
        self.streams.on_end(entry_id);
        self.on_prefill_done(entry_id, now);
    }

    /// Records the gap between two events.
    pub fn record_gap(&mut self, gap: Millis, now: Time) {
        let before = self.gap_ms(now);
        self.gap = Some((before + GAP_WEIGHT * (gap.0 as f64 - before), now));
    }

    /// Records the load that the endpoint reported.
    pub fn record_report(&mut self, report: LoadReport, now: Time) {
        if let Some(percent) = report.slowdown {
            self.speed.on_report(percent, now);
        }
        self.report = Some((report, now));
    }

    /// Records the load that another sender reported.
    pub(crate) fn record_peer_load(&mut self, sender: Sender, load: EndpointLoad, now: Time) {
        self.peers.insert(sender, (load, now));
    }

    /// Records a prompt of another VM whose prefill can start at `ready_at`, until it is done or expires, and returns
    /// its entry id.
    pub(crate) fn reserve_prefill(&mut self, prefill_ms: f64, ready_at: Time, expires_at: Time, now: Time) -> u64 {
        self.enqueue(prefill_ms, ready_at, Some(expires_at), now)
    }

    /// Records a request of another VM to a plain service, until it ends or expires, and returns its entry id.
    pub(crate) fn reserve_slot(&mut self, expires_at: Time) -> u64 {
        let entry_id = self.new_entry_id();
        self.granted.push(GrantedEntry {
            id: entry_id,
            expires_at,
        });
        entry_id
    }

    /// Records that the request of another VM is running, until it ends or expires.
    pub(crate) fn on_run_started(&mut self, entry_id: u64, expires_at: Time) {
        self.streams.on_running(entry_id, expires_at);
        self.granted.push(GrantedEntry {
            id: entry_id,
            expires_at,
        });
    }

    /// Drops requests of other VMs that were not released in time.
    pub(crate) fn expire_reservations(&mut self, now: Time) {
        self.granted.retain(|entry| entry.expires_at > now);
        self.streams.expire(now);
        let is_expired = |entry: &QueueEntry| entry.expires_at.is_some_and(|expires_at| expires_at <= now);
        if self.prefill_queue.iter().any(is_expired) {
            self.prefill_queue.retain(|entry| !is_expired(entry));
            self.prefill_started_at = now;
        }
    }

    /// Replaces the backlog that another sender reported.
    pub(crate) fn set_peer_backlog(&mut self, sender: Sender, endpoint: &EndpointId, backlog_ms: f64, now: Time) {
        let empty = EndpointLoad {
            endpoint: endpoint.clone(),
            running: 0,
            backlog_ms,
            gap_ms: None,
        };
        let (load, at) = self.peers.entry(sender).or_insert((empty, now));
        load.backlog_ms = backlog_ms;
        *at = now;
    }

    fn enqueue(&mut self, prefill_ms: f64, ready_at: Time, expires_at: Option<Time>, now: Time) -> u64 {
        if self.prefill_queue.is_empty() {
            self.prefill_started_at = now;
        }
        let entry_id = self.new_entry_id();
        self.prefill_budget.consume(prefill_ms, now);
        self.streams.on_prefill(prefill_ms, now);
        self.prefill_queue.push_back(QueueEntry {
            id: entry_id,
            prefill_ms,
            ready_at,
            expires_at,
        });
        entry_id
    }

    fn new_entry_id(&mut self) -> u64 {
        self.next_entry_id += 1;
        self.next_entry_id
    }

    /// Returns the load of this VM on the endpoint `id`; a backoff for what the endpoint answered counts as backlog.
    pub(crate) fn local_load(&self, id: &EndpointId, now: Time) -> EndpointLoad {
        EndpointLoad {
            endpoint: id.clone(),
            running: self.running,
            backlog_ms: self.local_backlog_ms(now).max(self.shared_backoff_ms(now)),
            gap_ms: self.local_gap_ms(now),
        }
    }

    /// Returns the load of this VM and its neighbours on the endpoint `id`.
    pub(crate) fn domain_load(&self, id: &EndpointId, now: Time) -> EndpointLoad {
        let mut sum = self.local_load(id, now);
        for (sender, (load, at)) in &self.peers {
            if matches!(sender, Sender::Vm(_)) && now.since(*at) < REPORT_MAX_AGE {
                sum.running = sum.running.saturating_add(load.running);
                sum.backlog_ms += load.backlog_ms;
                sum.gap_ms = sum.gap_ms.or(load.gap_ms);
            }
        }
        sum
    }

    /// Records a successful attempt, which ends the backoff.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.backoff_until = Time(0);
        self.shared_backoff_until = Time(0);
    }

    /// Records an attempt that failed with `outcome`, and returns the end of the backoff if one starts or is extended.
    ///
    /// One whose address belongs to another endpoint is in backoff immediately. Other VMs are told of a backoff only if the
    /// endpoint answered: an attempt without an answer may be due to the path of this VM alone.
    pub fn on_failure(&mut self, outcome: AttemptOutcome, now: Time) -> Option<Time> {
        self.failures += 1;
        if outcome == AttemptOutcome::WrongEndpoint {
            self.failures = self.failures.max(FAILURES_TO_BACKOFF);
        }
        let excess = self.failures.checked_sub(FAILURES_TO_BACKOFF)?;
        let backoff = Millis(INITIAL_BACKOFF.0 << excess.min(10)).min(MAX_BACKOFF);
        self.backoff_until = now + backoff;
        if outcome.is_answer() {
            self.shared_backoff_until = self.backoff_until;
        }
        Some(self.backoff_until)
    }

    /// Records that bytes of the endpoint were received.
    pub(crate) fn on_heard(&mut self, now: Time) {
        self.heard_at = Some(now);
    }

    /// Records that the endpoint sent the head of its response to an attempt that started at `started_at`.
    pub(crate) fn on_answer(&mut self, started_at: Time) {
        self.answered_start = self.answered_start.max(Some(started_at));
    }

    /// Whether the endpoint answered an attempt that started at `since` or later.
    pub(crate) fn has_answered_since(&self, since: Time) -> bool {
        self.answered_start.is_some_and(|started_at| started_at >= since)
    }

    /// Returns when bytes of the endpoint were last received.
    pub(crate) fn heard_at(&self) -> Option<Time> {
        self.heard_at
    }

    /// Whether the endpoint is in backoff.
    pub fn is_in_backoff(&self, now: Time) -> bool {
        self.backoff_until > now
    }

    /// Returns the milliseconds until the backoff ends that other VMs are told of.
    pub(crate) fn shared_backoff_ms(&self, now: Time) -> f64 {
        self.shared_backoff_until.since(now).0 as f64
    }

    fn fresh_report(&self, now: Time) -> Option<LoadReport> {
        let fresh = self.report.filter(|(_, at)| now.since(*at) < REPORT_MAX_AGE);
        fresh.map(|(report, _)| report)
    }

    fn fresh_peers(&self, now: Time) -> impl Iterator<Item = (&EndpointLoad, f64)> {
        let fresh = move |(_, at): &&(EndpointLoad, Time)| now.since(*at) < REPORT_MAX_AGE;
        self.peers
            .values()
            .filter(fresh)
            .map(move |(load, at)| (load, now.since(*at).0 as f64))
    }
}
