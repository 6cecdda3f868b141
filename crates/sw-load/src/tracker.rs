//! Estimated load of endpoints and of remote failure domains.

use std::collections::VecDeque;

use indexmap::IndexMap;
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, ModelId, Time};

use crate::slowdown::{Slowdown, Work};
use crate::{DomainSummary, ModelLoad, Report};

/// Fraction of the slots of an endpoint that may be used at the beginning of its slow start.
const SLOW_START_FRACTION: f64 = 0.25;
/// Longest backoff after failures to connect.
const MAX_BACKOFF: Millis = Millis(8_000);

/// Timeouts of [`LoadTracker`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Age above which a report is not used.
    pub stale_after: Millis,
    /// Age above which a summary of a remote domain is not used.
    pub remote_stale_after: Millis,
    /// Duration of the slow start of an endpoint that has restarted or become reachable again.
    pub slow_start: Millis,
    /// Backoff after the first failure to connect; it doubles with each further one.
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

/// The estimated load of an endpoint, or of the endpoints of a remote domain that serve a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Number of running and queued requests.
    pub load: f64,
    /// Number of slots that may be used now.
    pub slots: f64,
    /// Whether the estimate is based on a fresh report.
    pub from_report: bool,
    /// Average work of the requests there; `None` if it is not known.
    pub work: Option<Work>,
    /// Factor by which recent requests took longer than expected.
    pub slowdown: f64,
}

impl LoadEstimate {
    /// Returns the number of requests that have to finish before a new one starts.
    pub fn backlog(self) -> f64 {
        (self.load + 1.0 - self.slots).max(0.0)
    }

    /// Returns the fraction of the slots that are in use, up to 1.
    pub fn occupancy(self) -> f64 {
        (self.load / self.slots.max(1.0)).min(1.0)
    }
}

#[derive(Debug, Clone, Default)]
struct EndpointState {
    report: Option<(Report, Time)>,
    in_flight: u32,
    /// Times of the requests sent since the last report.
    dispatched_at: VecDeque<Time>,
    slowdown: Slowdown,
    /// Number of slots observed from reports, if it seems to be less than configured.
    observed_slots: Option<f64>,
    failures: u32,
    backoff_until: Time,
    slow_start_at: Option<Time>,
}

#[derive(Debug, Clone, Default)]
struct RemoteState {
    models: IndexMap<ModelId, ModelLoad>,
    summary_at: Time,
    /// Times of the requests forwarded since the last summary.
    dispatched_at: VecDeque<Time>,
    slowdown: Slowdown,
}

impl EndpointState {
    /// Updates the observed number of slots: if a report has queued requests, all slots are in use.
    fn observe_slots(&mut self, report: &Report) {
        let running = f64::from(report.running.max(1));
        if report.queued > 0 {
            self.observed_slots = Some(running);
        } else if let Some(observed) = &mut self.observed_slots
            && running >= *observed
        {
            // All observed slots are in use and nothing is queued, so there may be more.
            *observed = running + 1.0;
        }
    }
}

/// Tracks the load of endpoints and of remote failure domains.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    options: Options,
    endpoints: IndexMap<EndpointId, EndpointState>,
    remotes: IndexMap<DomainId, RemoteState>,
}

impl LoadTracker {
    /// Creates a tracker without any reports.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records a report unless a newer one is known, and returns whether the endpoint has restarted.
    pub fn on_report(&mut self, report: Report, now: Time) -> bool {
        let at = now - report.age;
        let state = self.endpoints.entry(report.endpoint.clone()).or_default();
        let restarted = match &state.report {
            Some((known, _)) if known.incarnation > report.incarnation => return false,
            Some((known, known_at)) if known.incarnation == report.incarnation && *known_at > at => return false,
            Some((known, _)) => known.incarnation < report.incarnation,
            None => false,
        };
        if restarted {
            state.slow_start_at = Some(now);
        }
        while state.dispatched_at.front().is_some_and(|sent| *sent <= at) {
            state.dispatched_at.pop_front();
        }
        state.observe_slots(&report);
        state.report = Some((report, at));
        restarted
    }

    /// Whether an endpoint has a model loaded; true as long as it reports no list of models.
    pub fn has_loaded(&self, endpoint: &EndpointId, model: &ModelId) -> bool {
        self.loaded_models(endpoint).is_none_or(|loaded| loaded.contains(model))
    }

    /// Returns the models that an endpoint reports as loaded; `None` if it reports no list, which means all.
    pub fn loaded_models(&self, endpoint: &EndpointId) -> Option<&[ModelId]> {
        let (report, _) = self.endpoints.get(endpoint)?.report.as_ref()?;
        report.loaded.as_deref()
    }

    /// Returns the newest incarnation that an endpoint reported; 0 if it reported none.
    pub fn incarnation(&self, endpoint: &EndpointId) -> Incarnation {
        let report = self.endpoints.get(endpoint).and_then(|state| state.report.as_ref());
        report.map_or(Incarnation(0), |(report, _)| report.incarnation)
    }

    /// Records that a request with this `work` was sent to an endpoint.
    pub fn on_dispatch(&mut self, endpoint: &EndpointId, work: Work, now: Time) {
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.in_flight += 1;
        state.slowdown.on_dispatch(work);
        state.dispatched_at.push_back(now);
        let cutoff = now - self.options.stale_after;
        while state.dispatched_at.front().is_some_and(|sent| *sent < cutoff) {
            state.dispatched_at.pop_front();
        }
    }

    /// Records that a request to an endpoint has ended.
    pub fn on_end(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records the actual and the expected duration of a complete response from an endpoint.
    pub fn record_duration(&mut self, endpoint: &EndpointId, actual: Millis, expected: Millis, now: Time) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.slowdown.record_duration(actual, expected, now);
        }
    }

    /// Records the actual and the expected duration of a complete response from a remote domain.
    pub fn record_remote_duration(&mut self, domain: &DomainId, actual: Millis, expected: Millis, now: Time) {
        if let Some(remote) = self.remotes.get_mut(domain) {
            remote.slowdown.record_duration(actual, expected, now);
        }
    }

    /// Records that a connection to an endpoint worked; after failures this ends the backoff and begins a slow start.
    pub fn on_connected(&mut self, endpoint: &EndpointId, now: Time) {
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.failures > 0
        {
            state.failures = 0;
            state.backoff_until = now;
            state.slow_start_at = Some(now);
        }
    }

    /// Records that a new connection to an endpoint failed, which starts or extends its backoff.
    pub fn on_connect_failed(&mut self, endpoint: &EndpointId, now: Time) {
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        let backoff = self.options.backoff.0 << state.failures.min(8);
        state.failures += 1;
        state.backoff_until = now + Millis(backoff.min(MAX_BACKOFF.0));
    }

    /// Whether an endpoint is in backoff after failures to connect.
    pub fn is_in_backoff(&self, endpoint: &EndpointId, now: Time) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|state| state.backoff_until > now)
    }

    /// Estimates the load of an endpoint with `slots` slots that `vms` VMs send requests to.
    pub fn estimate(&self, endpoint: &EndpointId, slots: u32, vms: usize, now: Time) -> LoadEstimate {
        let Some(state) = self.endpoints.get(endpoint) else {
            return LoadEstimate {
                load: 0.0,
                slots: f64::from(slots),
                from_report: false,
                work: None,
                slowdown: 1.0,
            };
        };
        let fresh = state
            .report
            .as_ref()
            .filter(|(_, at)| now.since(*at) < self.options.stale_after);
        let local = f64::from(state.in_flight);
        let load = match fresh {
            Some((report, _)) => {
                (f64::from(report.running + report.queued) + state.dispatched_at.len() as f64).max(local)
            }
            None => local * vms as f64,
        };
        let slots = state
            .observed_slots
            .map_or(f64::from(slots), |observed| observed.min(f64::from(slots)));
        LoadEstimate {
            load,
            slots: (slots * self.slow_start_fraction(state, now)).max(1.0),
            from_report: fresh.is_some(),
            work: state.slowdown.work(),
            slowdown: state.slowdown.factor(now),
        }
    }

    /// Records the summary of a remote domain unless a newer one is known.
    ///
    /// The load of models that it omits is unchanged.
    pub fn on_summary(&mut self, summary: &DomainSummary, now: Time) {
        let at = now - summary.age;
        let remote = self.remotes.entry(summary.domain.clone()).or_default();
        if remote.summary_at > at {
            return;
        }
        remote.summary_at = at;
        for load in &summary.models {
            remote.models.insert(load.model.clone(), load.clone());
        }
        while remote.dispatched_at.front().is_some_and(|sent| *sent <= at) {
            remote.dispatched_at.pop_front();
        }
    }

    /// Records that a request with this `work` was forwarded to a remote domain.
    pub fn on_forwarded(&mut self, domain: &DomainId, work: Work, now: Time) {
        if let Some(remote) = self.remotes.get_mut(domain) {
            remote.slowdown.on_dispatch(work);
            remote.dispatched_at.push_back(now);
        }
    }

    /// Estimates the load of the endpoints of a remote domain that serve `model`; `None` without a fresh summary.
    pub fn estimate_remote(&self, domain: &DomainId, model: &ModelId, now: Time) -> Option<LoadEstimate> {
        let remote = self.remotes.get(domain)?;
        if now.since(remote.summary_at) >= self.options.remote_stale_after {
            return None;
        }
        let reported = remote.models.get(model).filter(|load| load.slots > 0)?;
        let load = f64::from(reported.load) + remote.dispatched_at.len() as f64;
        Some(LoadEstimate {
            load,
            slots: f64::from(reported.slots),
            from_report: true,
            work: remote.slowdown.work(),
            slowdown: remote.slowdown.factor(now),
        })
    }

    /// Returns the time that the last summary of a remote domain describes.
    pub fn summary_at(&self, domain: &DomainId) -> Option<Time> {
        self.remotes.get(domain).map(|remote| remote.summary_at)
    }

    /// Iterates over the fresh summaries of remote domains, with their age.
    pub fn summaries(&self, now: Time) -> impl Iterator<Item = (&DomainId, Millis, Vec<ModelLoad>)> {
        let fresh = move |(_, remote): &(&DomainId, &RemoteState)| {
            now.since(remote.summary_at) < self.options.remote_stale_after
        };
        let remotes = self.remotes.iter().filter(fresh);
        remotes.map(move |(domain, remote)| {
            (
                domain,
                now.since(remote.summary_at),
                remote.models.values().cloned().collect(),
            )
        })
    }

    /// Iterates over the fresh reports, with their age.
    pub fn reports(&self, now: Time) -> impl Iterator<Item = Report> {
        let reports = self.endpoints.values().filter_map(|state| state.report.as_ref());
        let fresh = reports.filter(move |(_, at)| now.since(*at) < self.options.stale_after);
        fresh.map(move |(report, at)| Report {
            age: now.since(*at),
            ..report.clone()
        })
    }

    fn slow_start_fraction(&self, state: &EndpointState, now: Time) -> f64 {
        let Some(started_at) = state.slow_start_at else {
            return 1.0;
        };
        let elapsed = now.since(started_at).0 as f64 / self.options.slow_start.0.max(1) as f64;
        (SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * elapsed).min(1.0)
    }
}
