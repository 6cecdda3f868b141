//! What a connection that could not be made shows about the path to its endpoint.
//!
//! An endpoint, or what stands in front of it, answers a connection that is refused or reset. A handshake that gets no answer
//! shows less: while this VM's own link is full, a handshake takes longer than a probe waits, and bytes of endpoints still
//! arrive on open connections. So a handshake's silence shows a lost path only if nothing else was received from the endpoint
//! since it began, and that the service is cut off only if nothing was received from any endpoint of the service. A handshake
//! without an answer from an endpoint that sends something shows that handshakes are slow, also with endpoints that happen to
//! send nothing, until a connection is made. If no handshake gets an answer for long, the path is lost for new connections
//! anyway.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Millis, Time};

use crate::{EndpointEntry, EndpointTracker, PathFailure, Relay, ServiceId};

/// Time after a received byte during which an endpoint that resets a new connection counts as full, not as cut off.
const HEARD_RECENTLY: Millis = Millis(1_000);
/// Time without an answered handshake after which the path is lost although bytes of the endpoint are received.
const MAX_UNANSWERED_TIME: Millis = Millis(3_000);
/// Time between two unanswered handshakes after which they have nothing to do with each other.
const MAX_UNANSWERED_PAUSE: Millis = Millis(2_000);

/// What a lost path was concluded from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathEvidence {
    /// Time since the start of the failed connection attempt.
    pub waited: Millis,
    /// Time since bytes of the endpoint were received; `None` if there were none.
    pub endpoint_silence: Option<Millis>,
    /// Time since bytes of any endpoint of the service were received; `None` if there were none.
    pub service_silence: Option<Millis>,
}

/// Order in which the probes of a sample are judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProbeRank {
    /// Without a connection, while the endpoint sends something.
    Slow,
    /// With a connection.
    Answered,
    /// Without a connection, while the endpoint sends nothing.
    Silent,
}

/// Unanswered handshakes with an endpoint that show no lost path.
#[derive(Debug, Clone, Copy)]
struct UnansweredSpan {
    since: Time,
    last_at: Time,
}

/// Handshakes that got no answer, although the path may not be lost.
#[derive(Debug, Default)]
pub(crate) struct UnansweredHandshakes {
    /// When a handshake with an endpoint that sends something was last found to get no answer; `None` if a connection was
    /// made since.
    slow_at: Option<Time>,
    spans: IndexMap<EndpointId, UnansweredSpan>,
}

impl UnansweredHandshakes {
    /// Records a handshake without an answer, and returns whether there has been none for too long.
    fn record(&mut self, endpoint: &EndpointId, begun_at: Time, now: Time) -> bool {
        let first = UnansweredSpan {
            since: begun_at,
            last_at: now,
        };
        let span = self.spans.entry(endpoint.clone()).or_insert(first);
        if begun_at.since(span.last_at) > MAX_UNANSWERED_PAUSE {
            span.since = begun_at;
        }
        span.last_at = now;
        now.since(span.since) >= MAX_UNANSWERED_TIME
    }

    /// Records that a connection to an endpoint was made.
    pub(crate) fn on_answer(&mut self, endpoint: &EndpointId) {
        self.slow_at = None;
        self.forget(endpoint);
    }

    /// Forgets the handshakes with an endpoint, because its path is lost or it is a new one.
    pub(crate) fn forget(&mut self, endpoint: &EndpointId) {
        self.spans.swap_remove(endpoint);
    }

    /// Drops endpoints that are gone.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.spans.retain(|endpoint, _| is_known(endpoint));
    }
}

impl Relay {
    /// Records that bytes of an endpoint were received.
    pub fn on_heard(&mut self, endpoint: &EndpointId, now: Time) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.on_heard(now);
        }
    }

    /// Records a connection that was not made, and returns whether it shows that the path is lost.
    pub(crate) fn shows_lost_path(
        &mut self,
        endpoint: &EndpointEntry,
        failure: PathFailure,
        begun_at: Time,
        now: Time,
    ) -> bool {
        match failure {
            PathFailure::Refused | PathFailure::Inferred => true,
            PathFailure::Reset => !self.has_heard(&endpoint.id, HEARD_RECENTLY, now),
            PathFailure::Unreachable | PathFailure::Timeout => {
                let is_heard = self.is_heard_since(&endpoint.id, begun_at);
                let unanswered = &mut self.paths.unanswered;
                if is_heard {
                    unanswered.slow_at = Some(now);
                }
                let are_slow = unanswered.slow_at.is_some_and(|at| at > begun_at);
                !are_slow || unanswered.record(&endpoint.id, begun_at, now)
            }
        }
    }

    /// Returns whether failed probes of a sample of a service's endpoints, the first of which began at `begun_at`, show that
    /// the paths to all of them are lost.
    pub(crate) fn shows_cut_off(
        &self,
        service: &ServiceId,
        probes: &[(EndpointEntry, Result<(), PathFailure>)],
        begun_at: Time,
    ) -> bool {
        let is_answered =
            |outcome: &Result<(), PathFailure>| matches!(outcome, Err(PathFailure::Refused | PathFailure::Reset));
        let is_silent = self.service_heard_at(service).is_none_or(|at| at <= begun_at);
        is_silent || probes.iter().all(|(_, outcome)| is_answered(outcome))
    }

    /// Returns the position at which a probe is judged: those that show that handshakes are slow first, then those that show
    /// that they are not.
    pub(crate) fn probe_rank(
        &self,
        endpoint: &EndpointId,
        outcome: Result<(), PathFailure>,
        begun_at: Time,
    ) -> ProbeRank {
        match outcome {
            Ok(()) => ProbeRank::Answered,
            Err(_) if self.is_heard_since(endpoint, begun_at) => ProbeRank::Slow,
            Err(_) => ProbeRank::Silent,
        }
    }

    /// Returns what is known about the path to an endpoint after a connection attempt that started at `begun_at` failed.
    pub(crate) fn path_evidence(&self, endpoint: &EndpointEntry, begun_at: Time, now: Time) -> PathEvidence {
        PathEvidence {
            waited: now.since(begun_at),
            endpoint_silence: self.heard_at(&endpoint.id).map(|at| now.since(at)),
            service_silence: self.service_heard_at(&endpoint.service).map(|at| now.since(at)),
        }
    }

    fn is_heard_since(&self, endpoint: &EndpointId, since: Time) -> bool {
        self.heard_at(endpoint).is_some_and(|at| at > since)
    }

    /// Returns when bytes of an endpoint were last received.
    pub(crate) fn heard_at(&self, endpoint: &EndpointId) -> Option<Time> {
        self.loads.get(endpoint).and_then(EndpointTracker::heard_at)
    }

    /// Returns when bytes of any endpoint of a service in this region were last received.
    fn service_heard_at(&self, service: &ServiceId) -> Option<Time> {
        let local = self.local_endpoints(service);
        local.filter_map(|known| self.heard_at(&known.entry.id)).max()
    }
}
