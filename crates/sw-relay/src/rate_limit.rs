//! Rate limits that endpoints name in their responses.
//!
//! An endpoint in need names the requests per second that it takes from all VMs together, for as long as its responses
//! say so. Only the VM that receives a response learns of it at once; VMs exchange what they know in heartbeats and
//! reservations, with its age.
//!
//! Responses can overtake each other. A statement that tightens the limit therefore counts from the arrival of its
//! response, and one that loosens or ends it from the moment its request was sent: it says nothing about limits that
//! were named since.

use indexmap::{IndexMap, IndexSet};
use strum::IntoStaticStr;
use sw_unit::{EndpointId, Incarnation, Millis, Rate, Time};

use crate::EndpointEntry;

/// Longest transit time of a call between VMs, and of the reply to a reservation; a report may be older than its stated
/// age by as much.
pub(crate) const MAX_CALL_TRANSIT: Millis = Millis(1_500);
pub(crate) const MAX_REPLY_TRANSIT: Millis = Millis(300);
/// Time for which a changed limit, or the end of one, is reported to the other VMs.
const REPORTED_FOR: Millis = Millis(10_000);
/// Time for which the limit of an endpoint is remembered that is no longer registered.
const UNREGISTERED_KEPT_FOR: Millis = Millis(60_000);
/// Maximum number of changes that are kept for logging.
const MAX_CHANGES: usize = 64;

/// What a response says about the rate limit of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RateLimitStatement {
    /// The endpoint has no limit.
    #[default]
    NotNamed,
    /// The endpoint takes this many requests per second from all VMs together.
    Named(Rate),
    /// The limit cannot be decoded; what was known before stays in force.
    Malformed,
}

/// What a VM knows of the rate limit of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitState {
    /// The incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Requests per second from all VMs together; `None` if a limit has ended.
    pub rate: Option<Rate>,
    /// Time since the endpoint stated it.
    pub age: Millis,
}

/// Which limit an endpoint named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// The requests that it takes in a second.
    Requests,
    /// The requests that it can reject in a second for lack of room.
    Rejections,
}

/// A limit of an endpoint, as one VM reports it to another.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRateLimit {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Which limit it is.
    pub kind: LimitKind,
    /// Its limit.
    pub state: RateLimitState,
}

/// How a VM learned of a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RateLimitSource {
    /// From a response of the endpoint.
    Response,
    /// From another VM.
    Peer,
}

/// A change of what a VM knows of a rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimitChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it states now.
    pub statement: RateLimitStatement,
    /// How this VM learned of it.
    pub source: RateLimitSource,
    /// Age of the statement.
    pub age: Millis,
}

/// The newest statement of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation {
    incarnation: Incarnation,
    rate: Option<Rate>,
    stated_at: Time,
    /// When this VM learned of this rate.
    changed_at: Time,
}

impl Observation {
    /// Returns whether a statement of `rate` leaves the limit as it is.
    fn is_renewed_by(&self, incarnation: Incarnation, rate: Option<Rate>) -> bool {
        self.incarnation == incarnation && self.rate == rate
    }

    /// Returns whether `rate` allows more requests than this observation.
    fn is_loosened_by(&self, rate: Option<Rate>) -> bool {
        match (self.rate, rate) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(known), Some(rate)) => rate > known,
        }
    }
}

/// The rate limits that this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateLimits {
    observations: IndexMap<EndpointId, Observation>,
    /// Endpoints whose last statement was malformed.
    malformed: IndexSet<EndpointId>,
    changes: Vec<RateLimitChange>,
}

impl RateLimits {
    /// Returns the limit in force at this incarnation of an endpoint.
    pub(crate) fn rate(&self, entry: &EndpointEntry) -> Option<Rate> {
        let known = self.observations.get(&entry.id)?;
        known.rate.filter(|_| known.incarnation == entry.incarnation)
    }

    /// Returns what is known of an endpoint's limit; `None` if it never had one.
    pub(crate) fn state(&self, endpoint: &EndpointId, now: Time) -> Option<RateLimitState> {
        self.observations.get(endpoint).map(|known| state_of(known, now))
    }

    /// Returns whether this incarnation of an endpoint has named a limit, or the end of one.
    pub(crate) fn has_stated(&self, entry: &EndpointEntry) -> bool {
        let known = self.observations.get(&entry.id);
        known.is_some_and(|known| known.incarnation == entry.incarnation)
    }

    /// Returns the limits in force.
    pub(crate) fn limited(&self) -> impl Iterator<Item = (&EndpointId, Rate)> {
        let known = self.observations.iter();
        known.filter_map(|(endpoint, known)| Some((endpoint, known.rate?)))
    }

    /// Returns the number of endpoints that have a limit.
    pub(crate) fn limited_count(&self) -> usize {
        self.limited().count()
    }

    /// Records what a response to this VM says, and returns whether the limit changed.
    ///
    /// `sent_at` is when its request was sent; `None` if the response may belong to another request, so that it can
    /// only tighten the limit.
    pub(crate) fn on_response(
        &mut self,
        entry: &EndpointEntry,
        statement: RateLimitStatement,
        sent_at: Option<Time>,
        now: Time,
    ) -> bool {
        let rate = match statement {
            RateLimitStatement::NotNamed => None,
            RateLimitStatement::Named(rate) => Some(rate),
            RateLimitStatement::Malformed => {
                self.on_malformed(entry);
                return false;
            }
        };
        self.malformed.swap_remove(&entry.id);
        let known = self
            .observations
            .get(&entry.id)
            .filter(|known| known.incarnation == entry.incarnation);
        let is_loosened = known.is_some_and(|known| known.is_loosened_by(rate));
        if rate.is_none() && known.is_none() {
            return false;
        }
        let stated_at = if is_loosened || rate.is_none() {
            sent_at
        } else {
            Some(now)
        };
        let Some(stated_at) = stated_at else {
            return false;
        };
        let observation = Observation {
            incarnation: entry.incarnation,
            rate,
            stated_at,
            changed_at: now,
        };
        self.merge(&entry.id, observation, RateLimitSource::Response, now)
    }

    /// Records what another VM knows. Its report may be older than it says by `transit`; `None` if this VM cannot tell by
    /// how much, so that the report can only tighten the limit. Returns whether the limit changed.
    pub(crate) fn on_peer(
        &mut self,
        endpoint: &EndpointId,
        state: RateLimitState,
        transit: Option<Millis>,
        now: Time,
    ) -> bool {
        let known = self.observations.get(endpoint);
        let is_loosened = known.is_some_and(|known| known.is_loosened_by(state.rate));
        let transit = if is_loosened || state.rate.is_none() {
            transit
        } else {
            Some(Millis(0))
        };
        let Some(transit) = transit else {
            return false;
        };
        let observation = Observation {
            incarnation: state.incarnation,
            rate: state.rate,
            stated_at: now - state.age - transit,
            changed_at: now,
        };
        self.merge(endpoint, observation, RateLimitSource::Peer, now)
    }

    /// Returns the limits of a kind, and the ends of limits, to report to another VM: those that changed recently, and all
    /// limits in force if the VM may be `new`.
    pub(crate) fn reports(
        &self,
        kind: LimitKind,
        new: bool,
        now: Time,
    ) -> impl Iterator<Item = EndpointRateLimit> + use<'_> {
        let is_reported = move |known: &Observation| {
            let is_recent = now.since(known.changed_at) < REPORTED_FOR;
            is_recent || new && known.rate.is_some()
        };
        let reported = self.observations.iter().filter(move |(_, known)| is_reported(known));
        reported.map(move |(endpoint, known)| EndpointRateLimit {
            endpoint: endpoint.clone(),
            kind,
            state: state_of(known, now),
        })
    }

    /// Removes the limits of endpoints that have not been registered for a while.
    pub(crate) fn prune(&mut self, is_registered: impl Fn(&EndpointId) -> bool, now: Time) {
        let is_recent = |known: &Observation| now.since(known.stated_at) < UNREGISTERED_KEPT_FOR;
        self.observations
            .retain(|endpoint, known| is_registered(endpoint) || is_recent(known));
        self.malformed.retain(|endpoint| is_registered(endpoint));
    }

    /// Returns the changes since the last call, oldest first; beyond [`MAX_CHANGES`], later ones are left out.
    pub(crate) fn take_changes(&mut self) -> Vec<RateLimitChange> {
        std::mem::take(&mut self.changes)
    }

    /// Merges an observation, and returns whether the limit of the endpoint or its incarnation changed.
    fn merge(&mut self, endpoint: &EndpointId, new: Observation, source: RateLimitSource, now: Time) -> bool {
        let known = self.observations.get(endpoint).copied();
        let is_newer = known.is_none_or(|known| {
            (new.incarnation, new.stated_at) > (known.incarnation, known.stated_at)
                || (new.incarnation, new.stated_at) == (known.incarnation, known.stated_at)
                    && !known.is_loosened_by(new.rate)
        });
        if !is_newer {
            return false;
        }
        let renewed = known.filter(|known| known.is_renewed_by(new.incarnation, new.rate));
        let changed_at = renewed.map_or(new.changed_at, |known| known.changed_at);
        self.observations
            .insert(endpoint.clone(), Observation { changed_at, ..new });
        if known.and_then(|known| known.rate) != new.rate {
            let statement = new.rate.map_or(RateLimitStatement::NotNamed, RateLimitStatement::Named);
            self.push_change(endpoint, statement, source, now.since(new.stated_at));
        }
        renewed.is_none()
    }

    fn on_malformed(&mut self, entry: &EndpointEntry) {
        if self.malformed.insert(entry.id.clone()) {
            let statement = RateLimitStatement::Malformed;
            self.push_change(&entry.id, statement, RateLimitSource::Response, Millis(0));
        }
    }

    fn push_change(
        &mut self,
        endpoint: &EndpointId,
        statement: RateLimitStatement,
        source: RateLimitSource,
        age: Millis,
    ) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(RateLimitChange {
                endpoint: endpoint.clone(),
                statement,
                source,
                age,
            });
        }
    }
}

fn state_of(known: &Observation, now: Time) -> RateLimitState {
    RateLimitState {
        incarnation: known.incarnation,
        rate: known.rate,
        age: now.since(known.stated_at),
    }
}
