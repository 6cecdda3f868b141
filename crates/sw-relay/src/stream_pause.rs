//! Pauses of running streams that the prefill of other prompts causes.
//!
//! An engine generates one token of each running stream in a step, and prefills a chunk of the waiting prompts between
//! two steps. An event of a stream holds several tokens, so it is late by as many chunks as it has tokens, or by all
//! prefill that is queued if that is less. A prompt is therefore preferably sent to an engine where the event that is
//! due stays within the gap objectives of the running streams.

use sw_unit::{EndpointId, Millis, Time};

use crate::prefill_budget::BudgetLimits;
use crate::{EngineSpec, Prompt, Relay, Reservation, Route, ServiceId};

/// Share of a gap objective that pauses may use. The rest is a margin for errors of the estimates.
const USABLE_SHARE: f64 = 0.9;
/// Time after its acceptance for which prefill may still be part of the event that is due.
const RECENT_FOR: Millis = Millis(1_000);
/// Weight of a stream without the highest priority.
const ORDINARY_WEIGHT: f64 = 0.5;
/// Expected number of late streams, weighted by rank, up to which a coordinator does not decline.
const TOLERATED_STREAMS: f64 = 0.5;
/// Penalty per stream that gets a late event, in milliseconds.
const LATE_STREAM_PENALTY_MS: f64 = 300.0;
/// The same for a disruptive prompt. It exceeds the penalty for a first event that is some 100 ms late, because such a prompt
/// may start late at any engine.
const DISRUPTION_PENALTY_MS: f64 = 2_000.0;
/// Penalty for an engine that would start the prompt so late that it would be refused, in milliseconds. No prompt is refused for the
/// pauses that it causes.
const TOO_LATE_PENALTY_MS: f64 = 1_000_000.0;

/// The times of an engine that determine the pauses of its streams, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EventTimes {
    /// Time between two events without prefill.
    pub event_ms: f64,
    /// Longest time of prefill that fits between two events: one chunk for each token.
    pub max_prefill_ms: f64,
}

impl EventTimes {
    /// Returns the times of an engine that prefills chunks of at most `chunk_ms`.
    pub fn new(engine: &EngineSpec, event_ms: f64, chunk_ms: f64) -> Self {
        Self {
            event_ms,
            max_prefill_ms: f64::from(engine.tokens_per_event) * chunk_ms,
        }
    }

    /// Returns the times of an engine on which work takes longer by a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            event_ms: self.event_ms * factor,
            max_prefill_ms: self.max_prefill_ms * factor,
        }
    }

    /// Returns the pause between two events between which `prefill_ms` of prefill are queued.
    pub fn pause_ms(&self, prefill_ms: f64) -> f64 {
        self.event_ms + prefill_ms.min(self.max_prefill_ms)
    }

    /// Returns the milliseconds of prefill between two events that a gap objective allows.
    pub fn allowance_ms(&self, gap_objective: Millis) -> f64 {
        (gap_objective.0 as f64 * USABLE_SHARE - self.event_ms).max(0.0)
    }

    /// Returns the limits on the prefill of an engine with streams of a gap objective.
    pub(crate) fn budget_limits(&self, gap_objective: Millis) -> BudgetLimits {
        if !self.may_exceed(gap_objective) {
            return BudgetLimits::default();
        }
        let usable_ms = gap_objective.0 as f64 * USABLE_SHARE;
        BudgetLimits::within(self.allowance_ms(gap_objective), usable_ms)
    }

    /// Whether an engine that is never without prefill exceeds a gap objective.
    pub fn may_exceed(&self, gap_objective: Millis) -> bool {
        self.max_prefill_ms > self.allowance_ms(gap_objective)
    }
}

/// Prefill at an engine, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefillLoad {
    /// Prefill that is queued.
    pub queued_ms: f64,
    /// Prefill that is done, but may be part of the event that is due.
    pub recent_ms: f64,
}

impl PrefillLoad {
    /// Returns the load after a further prompt with a prefill of `prefill_ms`.
    fn with(self, prefill_ms: f64) -> Self {
        Self {
            queued_ms: self.queued_ms + prefill_ms,
            ..self
        }
    }

    /// Returns the probability that the event of a stream that is due exceeds its gap objective.
    ///
    /// All queued prefill precedes the event. How much of the recent prefill does depends on when the last event was
    /// sent, which is not known.
    fn late_probability(self, times: &EventTimes, gap_objective: Millis) -> f64 {
        let allowance_ms = times.allowance_ms(gap_objective);
        if !times.may_exceed(gap_objective) {
            return 0.0;
        }
        let excess_ms = self.queued_ms + self.recent_ms - allowance_ms;
        if excess_ms <= 0.0 {
            return 0.0;
        }
        if self.queued_ms > allowance_ms {
            return 1.0;
        }
        (excess_ms / self.recent_ms).min(1.0)
    }
}

/// A stream that is running or waits for its prefill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamLimits {
    /// Longest pause between two events for which the response is on time.
    pub gap_objective: Millis,
    /// Whether the stream has the highest priority.
    pub is_urgent: bool,
}

impl StreamLimits {
    /// Returns the limits of a stream on `route`; `None` if its pauses are not limited.
    pub(crate) fn of(route: &Route, is_urgent: bool) -> Option<Self> {
        route.gap_objective.map(|gap_objective| Self {
            gap_objective,
            is_urgent,
        })
    }

    fn weight(&self) -> f64 {
        if self.is_urgent { 1.0 } else { ORDINARY_WEIGHT }
    }
}

#[derive(Debug, Clone, Copy)]
struct StreamEntry {
    id: u64,
    limits: StreamLimits,
    /// When the entry of another VM's stream is dropped if its end is not reported.
    expires_at: Option<Time>,
}

/// The streams and the recent prefill of one engine, as far as this VM knows them.
#[derive(Debug, Clone, Default)]
pub struct StreamAccount {
    streams: Vec<StreamEntry>,
    /// Accepted prefill in milliseconds, and when it was accepted, oldest first.
    accepted: Vec<(f64, Time)>,
}

impl StreamAccount {
    /// Records a stream until it ends or expires.
    pub fn on_start(&mut self, id: u64, limits: StreamLimits, expires_at: Option<Time>) {
        self.streams.push(StreamEntry { id, limits, expires_at });
    }

    /// Records that the stream of another VM is running, which extends its entry.
    pub fn on_running(&mut self, id: u64, expires_at: Time) {
        if let Some(entry) = self.streams.iter_mut().find(|entry| entry.id == id) {
            entry.expires_at = Some(expires_at);
        }
    }

    /// Records the end of a stream.
    pub fn on_end(&mut self, id: u64) {
        self.streams.retain(|entry| entry.id != id);
    }

    /// Drops streams of other VMs whose end was not reported in time.
    pub fn expire(&mut self, now: Time) {
        let is_current = |entry: &StreamEntry| entry.expires_at.is_none_or(|expires_at| expires_at > now);
        self.streams.retain(is_current);
    }

    /// Records accepted prefill.
    pub fn on_prefill(&mut self, prefill_ms: f64, now: Time) {
        self.accepted.retain(|(_, at)| now.since(*at) < RECENT_FOR);
        self.accepted.push((prefill_ms, now));
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the strictest gap objective of the streams.
    pub fn strictest(&self) -> Option<Millis> {
        self.streams.iter().map(|entry| entry.limits.gap_objective).min()
    }

    /// Returns the prefill of the engine of which `queued_ms` are still to be done.
    pub fn prefill_load(&self, queued_ms: f64, window: Millis, now: Time) -> PrefillLoad {
        let recent = self.accepted.iter().filter(|(_, at)| now.since(*at) < window);
        let accepted_ms: f64 = recent.map(|(prefill_ms, _)| prefill_ms).sum();
        PrefillLoad {
            queued_ms,
            recent_ms: (accepted_ms - queued_ms).max(0.0),
        }
    }

    /// Returns the expected number of streams, weighted by rank, that get a late event because of a further prompt with
    /// a prefill of `prefill_ms`.
    ///
    /// Events that are late anyway count too. Otherwise prompts would gather where streams are late already.
    pub fn late_streams(&self, times: &EventTimes, prefill_ms: f64, queued_ms: f64, now: Time) -> f64 {
        let late = |entry: &StreamEntry| {
            let limits = entry.limits;
            let before = self.prefill_load(queued_ms, limits.gap_objective, now);
            limits.weight() * before.with(prefill_ms).late_probability(times, limits.gap_objective)
        };
        self.streams.iter().map(late).sum()
    }
}

/// Returns the strictest gap objective of the routes to a service; `None` if no pauses are limited.
fn strictest_objective<'a>(mut routes: impl Iterator<Item = &'a Route>, service: &ServiceId) -> Option<Millis> {
    let first = routes.find_map(|route| route.gap_objective.filter(|_| route.leads_to(service)))?;
    let others = routes.filter(|route| route.leads_to(service));
    Some(others.filter_map(|route| route.gap_objective).fold(first, Millis::min))
}

/// What the pauses of streams that a prompt may cause depend on, apart from the engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PauseContext {
    times: EventTimes,
    /// Strictest gap objective of the routes to the service.
    strictest: Millis,
    /// Whether the prompt makes an event late at any engine with streams of the strictest gap objective.
    pub(crate) is_disruptive: bool,
    /// Expected time from its first event to its last one, in milliseconds.
    pub(crate) stream_ms: f64,
    /// Milliseconds within which the prompt must start, or it is refused.
    start_limit_ms: f64,
}

impl PauseContext {
    /// Sets the milliseconds within which the prompt must start.
    pub(crate) fn with_start_limit(self, limit_ms: f64) -> Self {
        Self {
            start_limit_ms: limit_ms,
            ..self
        }
    }

    /// Returns the penalty in milliseconds for an engine that would start the prompt after `expected_ms`.
    pub(crate) fn too_late_penalty_ms(&self, expected_ms: f64) -> f64 {
        if expected_ms > self.start_limit_ms {
            TOO_LATE_PENALTY_MS
        } else {
            0.0
        }
    }
}

impl Relay {
    /// Returns the context of a prompt; `None` if no prefill can exceed the gap objectives of the service, or if pauses are not limited.
    pub(crate) fn pause_context(&self, service: &ServiceId, prompt: &Prompt) -> Option<PauseContext> {
        if !self.options.limits_pauses {
            return None;
        }
        let engine = self.service(service)?.engine?;
        let routes = self.table.iter().flat_map(|table| table.routes());
        let strictest = strictest_objective(routes.map(|route| &**route), service)?;
        let model = self.latency_model(service);
        let chunk_ms = model.chunk_ms(prompt.input).max(model.first_chunk_ms());
        let times = EventTimes::new(&engine, model.event_ms(), chunk_ms);
        let is_disruptive = model.prefill_ms(prompt.input) > times.allowance_ms(strictest);
        times.may_exceed(strictest).then_some(PauseContext {
            times,
            strictest,
            is_disruptive,
            stream_ms: model.expected_events(prompt.expected_output()) * model.event_ms(),
            start_limit_ms: f64::INFINITY,
        })
    }

    /// Returns the expected number of streams, weighted by rank, that get a late event because of a prompt with a
    /// prefill of `prefill_ms` at an engine.
    ///
    /// The coordinator of an engine knows its streams. The other VMs know their own and the number of the others.
    pub(crate) fn late_streams(&self, cx: &PauseContext, endpoint: &EndpointId, prefill_ms: f64, now: Time) -> f64 {
        let Some(load) = self.loads.get(endpoint) else {
            return 0.0;
        };
        let times = cx.times.scaled(load.speed.factor(now));
        let is_coordinator = self.is_coordinator_of(endpoint);
        let queued_ms = load.queued_ms(is_coordinator, now);
        let known = load.streams.late_streams(&times, prefill_ms, queued_ms, now);
        if is_coordinator {
            return known;
        }
        let before = load.streams.prefill_load(queued_ms, cx.strictest, now);
        let others = f64::from(load.peers_running(now)) * ORDINARY_WEIGHT;
        known + others * before.with(prefill_ms).late_probability(&times, cx.strictest)
    }

    /// Returns the penalty in milliseconds for the streams that get a late event because of a prompt.
    pub(crate) fn late_streams_penalty_ms(
        &self,
        cx: &PauseContext,
        endpoint: &EndpointId,
        prefill_ms: f64,
        now: Time,
    ) -> f64 {
        let per_stream_ms = if cx.is_disruptive {
            DISRUPTION_PENALTY_MS
        } else {
            LATE_STREAM_PENALTY_MS
        };
        self.late_streams(cx, endpoint, prefill_ms, now) * per_stream_ms
    }

    /// Returns the expected number of streams that a reservation at an engine makes late, as its coordinator; `None` if
    /// there are so few that it is granted.
    pub(crate) fn disturbed_streams(&self, reservation: &Reservation, prefill_ms: f64, now: Time) -> Option<f64> {
        let cx = self.pause_context(&reservation.service, &reservation.prompt)?;
        let late_streams = self.late_streams(&cx, &reservation.endpoint, prefill_ms, now);
        (late_streams > TOLERATED_STREAMS).then_some(late_streams)
    }

    /// Adapts the prefill budget of an engine to the strictest gap objective of its streams.
    pub(crate) fn update_prefill_budget(&mut self, service: &ServiceId, endpoint: &EndpointId) {
        if !self.options.limits_pauses {
            return;
        }
        let model = self.latency_model(service);
        let engine = self.service(service).and_then(|service| service.engine);
        let Some(load) = self.loads.get_mut(endpoint) else {
            return;
        };
        let limits = engine.zip(load.streams.strictest()).map(|(engine, strictest)| {
            let times = EventTimes::new(&engine, model.event_ms(), model.first_chunk_ms());
            times.budget_limits(strictest)
        });
        load.set_prefill_limits(limits.unwrap_or_default());
    }
}
