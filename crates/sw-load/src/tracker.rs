//! Estimated load of endpoints and of other failure domains.

use std::collections::VecDeque;

use indexmap::IndexMap;
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, ModelId, Time};

use crate::slowdown::{Slowdown, Work};
use crate::{DomainSummary, ModelLoad, Report};

/// Share of its slots that an endpoint gets when it returns.
const RAMP_START: f64 = 0.25;
/// Longest pause after failures to connect.
const MAX_PAUSE: Millis = Millis(8_000);

/// Bounds of [`LoadTracker`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// A report older than this is not used.
    pub stale_after: Millis,
    /// A summary of another domain older than this is not used.
    pub remote_stale_after: Millis,
    /// Time in which a returned endpoint comes up to all its slots.
    pub slow_start: Millis,
    /// Pause after the first failure to connect; it doubles with each further one.
    pub backoff: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            stale_after: Millis(5_000),
            remote_stale_after: Millis(8_000),
            slow_start: Millis(5_000),
            backoff: Millis(500),
        }
    }
}

/// The load of an endpoint, as far as it can be told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Requests running or queued.
    pub load: f64,
    /// Slots that may be used now.
    pub slots: f64,
    /// Whether a fresh report is behind it.
    pub from_report: bool,
    /// What the requests there are thought to need on average.
    pub work: Option<Work>,
    /// How much longer requests took lately than was expected.
    pub slowdown: f64,
}

impl LoadEstimate {
    /// Requests that wait ahead of a new one.
    pub fn backlog(self) -> f64 {
        (self.load + 1.0 - self.slots).max(0.0)
    }

    /// Share of the slots that are taken, up to 1.
    pub fn occupancy(self) -> f64 {
        (self.load / self.slots.max(1.0)).min(1.0)
    }
}

#[derive(Debug, Clone, Default)]
struct Row {
    report: Option<(Report, Time)>,
    in_flight: u32,
    sends: VecDeque<Time>,
    slowdown: Slowdown,
    /// Slots that the endpoint was seen to have, if it seems to have fewer than configured.
    seen_slots: Option<f64>,
    failures: u32,
    paused_until: Time,
    ramp_from: Option<Time>,
}

#[derive(Debug, Clone, Default)]
struct Remote {
    models: IndexMap<ModelId, ModelLoad>,
    at: Time,
    sends: VecDeque<Time>,
    slowdown: Slowdown,
}

impl Row {
    /// Learns how many slots there are from a report: requests that wait mean that all slots are taken.
    fn see_slots(&mut self, report: &Report) {
        let running = f64::from(report.running.max(1));
        if report.queued > 0 {
            self.seen_slots = Some(running);
        } else if let Some(seen) = &mut self.seen_slots
            && running >= *seen
        {
            // All are taken and nothing waits, so there may be more.
            *seen = running + 1.0;
        }
    }
}

/// What is known of the load of endpoints and domains.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    options: Options,
    rows: IndexMap<EndpointId, Row>,
    remotes: IndexMap<DomainId, Remote>,
}

impl LoadTracker {
    /// An empty table.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Takes in a report; an older one than that which is held is ignored.
    ///
    /// Returns whether the endpoint began a new life.
    pub fn on_report(&mut self, report: Report, now: Time) -> bool {
        let at = now - report.age;
        let row = self.rows.entry(report.endpoint.clone()).or_default();
        let restarted = match &row.report {
            Some((known, _)) if known.incarnation > report.incarnation => return false,
            Some((known, known_at)) if known.incarnation == report.incarnation && *known_at > at => return false,
            Some((known, _)) => known.incarnation < report.incarnation,
            None => false,
        };
        if restarted {
            row.ramp_from = Some(now);
        }
        while row.sends.front().is_some_and(|sent| *sent <= at) {
            row.sends.pop_front();
        }
        row.see_slots(&report);
        row.report = Some((report, at));
        restarted
    }

    /// Whether an endpoint has a model loaded, as far as it reports it.
    pub fn has_loaded(&self, endpoint: &EndpointId, model: &ModelId) -> bool {
        self.loaded_models(endpoint).is_none_or(|loaded| loaded.contains(model))
    }

    /// The models that an endpoint reports as loaded; `None` if all are.
    pub fn loaded_models(&self, endpoint: &EndpointId) -> Option<&[ModelId]> {
        let (report, _) = self.rows.get(endpoint)?.report.as_ref()?;
        report.loaded.as_deref()
    }

    /// The life that an endpoint last reported.
    pub fn incarnation(&self, endpoint: &EndpointId) -> Incarnation {
        let report = self.rows.get(endpoint).and_then(|row| row.report.as_ref());
        report.map_or(Incarnation(0), |(report, _)| report.incarnation)
    }

    /// Records that a request that needs `work` is handed over to an endpoint.
    pub fn on_dispatch(&mut self, endpoint: &EndpointId, work: Work, now: Time) {
        let row = self.rows.entry(endpoint.clone()).or_default();
        row.in_flight += 1;
        row.slowdown.sent(work);
        row.sends.push_back(now);
        let stale = now - self.options.stale_after;
        while row.sends.front().is_some_and(|sent| *sent < stale) {
            row.sends.pop_front();
        }
    }

    /// Records that a request at an endpoint has ended.
    pub fn on_end(&mut self, endpoint: &EndpointId) {
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records that a whole answer of an endpoint took `taken` where `expected` was expected.
    pub fn record_duration(&mut self, endpoint: &EndpointId, taken: Millis, expected: Millis, now: Time) {
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.slowdown.took(taken, expected, now);
        }
    }

    /// Records that a whole answer of another domain took `taken` where `expected` was expected.
    pub fn record_remote_duration(&mut self, domain: &DomainId, taken: Millis, expected: Millis, now: Time) {
        if let Some(remote) = self.remotes.get_mut(domain) {
            remote.slowdown.took(taken, expected, now);
        }
    }

    /// Records that a connection to an endpoint was made and used.
    pub fn on_connected(&mut self, endpoint: &EndpointId, now: Time) {
        if let Some(row) = self.rows.get_mut(endpoint)
            && row.failures > 0
        {
            row.failures = 0;
            row.paused_until = now;
            row.ramp_from = Some(now);
        }
    }

    /// Records that a new connection to an endpoint failed.
    pub fn on_connect_failed(&mut self, endpoint: &EndpointId, now: Time) {
        let row = self.rows.entry(endpoint.clone()).or_default();
        let pause = self.options.backoff.0 << row.failures.min(8);
        row.failures += 1;
        row.paused_until = now + Millis(pause.min(MAX_PAUSE.0));
    }

    /// Whether an endpoint is left alone after failures to connect.
    pub fn is_in_backoff(&self, endpoint: &EndpointId, now: Time) -> bool {
        self.rows.get(endpoint).is_some_and(|row| row.paused_until > now)
    }

    /// The estimated load of an endpoint that has `slots`, where `vms` VMs send to it.
    pub fn estimate(&self, endpoint: &EndpointId, slots: u32, vms: usize, now: Time) -> LoadEstimate {
        let Some(row) = self.rows.get(endpoint) else {
            return LoadEstimate {
                load: 0.0,
                slots: f64::from(slots),
                from_report: false,
                work: None,
                slowdown: 1.0,
            };
        };
        let fresh = row
            .report
            .as_ref()
            .filter(|(_, at)| now.since(*at) < self.options.stale_after);
        let own = f64::from(row.in_flight);
        let load = match fresh {
            Some((report, _)) => (f64::from(report.running + report.queued) + row.sends.len() as f64).max(own),
            None => own * vms as f64,
        };
        let slots = row
            .seen_slots
            .map_or(f64::from(slots), |seen| seen.min(f64::from(slots)));
        LoadEstimate {
            load,
            slots: (slots * self.ramp(row, now)).max(1.0),
            from_report: fresh.is_some(),
            work: row.slowdown.work(),
            slowdown: row.slowdown.pace(now),
        }
    }

    /// Takes in another domain's summary; an older one than that which is held is ignored.
    ///
    /// Models that it leaves out are as they were.
    pub fn on_summary(&mut self, summary: &DomainSummary, now: Time) {
        let at = now - summary.age;
        let remote = self.remotes.entry(summary.domain.clone()).or_default();
        if remote.at > at {
            return;
        }
        remote.at = at;
        for load in &summary.models {
            remote.models.insert(load.model.clone(), load.clone());
        }
        while remote.sends.front().is_some_and(|sent| *sent <= at) {
            remote.sends.pop_front();
        }
    }

    /// Records that a request that needs `work` is forwarded to another domain.
    pub fn on_forwarded(&mut self, domain: &DomainId, work: Work, now: Time) {
        if let Some(remote) = self.remotes.get_mut(domain) {
            remote.slowdown.sent(work);
            remote.sends.push_back(now);
        }
    }

    /// The estimated load of the endpoints of another domain that serve `model`; `None` without a fresh summary.
    pub fn estimate_remote(&self, domain: &DomainId, model: &ModelId, now: Time) -> Option<LoadEstimate> {
        let remote = self.remotes.get(domain)?;
        if now.since(remote.at) >= self.options.remote_stale_after {
            return None;
        }
        let row = remote.models.get(model).filter(|row| row.slots > 0)?;
        let load = f64::from(row.load) + remote.sends.len() as f64;
        Some(LoadEstimate {
            load,
            slots: f64::from(row.slots),
            from_report: true,
            work: remote.slowdown.work(),
            slowdown: remote.slowdown.pace(now),
        })
    }

    /// When the figures of a domain were last confirmed.
    pub fn summary_at(&self, domain: &DomainId) -> Option<Time> {
        self.remotes.get(domain).map(|remote| remote.at)
    }

    /// Summaries that are held, with their age.
    pub fn summaries(&self, now: Time) -> impl Iterator<Item = (&DomainId, Millis, Vec<ModelLoad>)> {
        let fresh = move |(_, remote): &(&DomainId, &Remote)| now.since(remote.at) < self.options.remote_stale_after;
        let rows = self.remotes.iter().filter(fresh);
        rows.map(move |(domain, remote)| (domain, now.since(remote.at), remote.models.values().cloned().collect()))
    }

    /// Fresh reports that are held, with their age.
    pub fn reports(&self, now: Time) -> impl Iterator<Item = Report> {
        let rows = self.rows.values().filter_map(|row| row.report.as_ref());
        let fresh = rows.filter(move |(_, at)| now.since(*at) < self.options.stale_after);
        fresh.map(move |(report, at)| Report {
            age: now.since(*at),
            ..report.clone()
        })
    }

    fn ramp(&self, row: &Row, now: Time) -> f64 {
        let Some(from) = row.ramp_from else {
            return 1.0;
        };
        let elapsed = now.since(from).0 as f64 / self.options.slow_start.0.max(1) as f64;
        (RAMP_START + (1.0 - RAMP_START) * elapsed).min(1.0)
    }
}
