//! Enforcement of the rate limits that endpoints name.
//!
//! The coordinator of an endpoint keeps one token bucket for the requests of all VMs. A VM that knows the limit sends
//! only with a token: it asks the coordinator with the reservation, or takes the token itself if it is the coordinator.
//! Without the coordinator's answer nothing is sent to this endpoint. Shares of the limit for each VM are no
//! alternative, because a share of a small limit is less than one request.
//!
//! Two VMs can be coordinators for a moment. A VM that has become the coordinator, or was paused, starts with an empty
//! bucket at half the rate, until the requests that its predecessor granted no longer count. While VMs of the region
//! are missing, they may have a coordinator of their own, so the rate shrinks with the share of live VMs.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Millis, Rate, Time};

use crate::rate_limit::MAX_REPLY_TRANSIT;
use crate::relay::JOIN_TIME;
use crate::token_bucket::{RefillRate, TokenBucket, token_interval_ms};
use crate::{
    AdmittedRequest, EndpointEntry, Grant, QueueEstimate, RateLimitChange, RateLimitStatement, Relay, Reservation,
    ServiceId,
};

/// Time after which the requests that an earlier coordinator granted no longer count.
const SETTLE_TIME: Millis = Millis(4_000);
/// Time between two ticks after which this VM was paused, and others may have become coordinators.
pub(crate) const MAX_TICK_GAP: Millis = Millis(1_500);
/// Time after which a VM should ask again if this one is not ready to grant tokens.
const NOT_READY_WAIT: Millis = Millis(500);
/// Time after which a token that was not used is void; its request may have been held by a paused VM.
const TOKEN_TTL: Millis = Millis(500);
/// Time after a pause within which this VM has received the calls that arrived during the pause.
pub(crate) const CATCH_UP_TIME: Millis = Millis(1_000);
/// Factor on the share of live VMs; two sides that cannot see each other grant at most this multiple of the limit.
const SPLIT_FACTOR: f64 = 1.4;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// When a coordinator that had no token should be asked again.
#[derive(Debug, Clone, Copy, Default)]
struct AskAgain {
    urgent_at: Time,
    other_at: Time,
}

/// Token buckets, and what the coordinators of other endpoints said about theirs.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateLimiter {
    buckets: IndexMap<EndpointId, TokenBucket>,
    /// The endpoints that this VM coordinates, and since when.
    coordinated_since: IndexMap<EndpointId, Time>,
    ask_again: IndexMap<EndpointId, AskAgain>,
    /// When the last refused caller of a service was asked to return.
    last_return: IndexMap<ServiceId, Time>,
    last_tick: Time,
    /// When this VM last noticed that it had been paused; its start counts as such.
    resumed_at: Time,
}

impl RateLimiter {
    /// Updates the endpoints that this VM coordinates, and creates the buckets of those with a limit.
    fn tick(&mut self, coordinated: Vec<(EndpointId, bool)>, now: Time) {
        if now.since(self.last_tick) >= MAX_TICK_GAP {
            self.coordinated_since.clear();
            self.resumed_at = now;
        }
        self.last_tick = now;
        let before = std::mem::take(&mut self.coordinated_since);
        for (endpoint, is_limited) in coordinated {
            let since = before.get(&endpoint).copied().unwrap_or(now);
            if since == now {
                self.buckets.swap_remove(&endpoint);
            }
            if is_limited {
                self.buckets
                    .entry(endpoint.clone())
                    .or_insert_with(|| TokenBucket::new(now));
            }
            self.coordinated_since.insert(endpoint, since);
        }
        self.buckets
            .retain(|endpoint, _| self.coordinated_since.contains_key(endpoint));
        self.ask_again.retain(|_, ask| ask.urgent_at.max(ask.other_at) > now);
        self.last_return.retain(|_, at| *at > now);
    }
}

impl Relay {
    /// Records what a response says about the rate limit of its endpoint.
    ///
    /// `sent_at` is when its request was sent; `None` if the response may belong to another request.
    pub fn on_rate_limit_statement(
        &mut self,
        endpoint: &EndpointEntry,
        statement: RateLimitStatement,
        sent_at: Option<Time>,
        now: Time,
    ) {
        self.rate_limits.on_response(endpoint, statement, sent_at, now);
    }

    /// Returns the changes of the rate limits that this VM knows since the last call, to be logged.
    pub fn take_rate_limit_changes(&mut self) -> Vec<RateLimitChange> {
        self.rate_limits.take_changes()
    }

    /// Returns the number of endpoints with a rate limit.
    pub fn limited_endpoints(&self) -> usize {
        self.rate_limits.limited_count()
    }

    /// Returns whether the rate limit of an endpoint admits a request now, as far as this VM knows.
    pub(crate) fn rate_limit_admits(&self, endpoint: &EndpointEntry, urgent: bool, now: Time) -> bool {
        let Some(limit) = self.rate_limits.rate(endpoint) else {
            return true;
        };
        if self.is_coordinator_of(&endpoint.id) {
            return self.token_wait(&endpoint.id, limit, urgent, now) == Millis(0);
        }
        let ask = self
            .rate_limiter
            .ask_again
            .get(&endpoint.id)
            .copied()
            .unwrap_or_default();
        let ask_at = if urgent { ask.urgent_at } else { ask.other_at };
        ask_at <= now && self.responsive_coordinator(&endpoint.id, now).is_some()
    }

    /// Takes a token for a request to an endpoint, as its coordinator; an endpoint without a limit needs none.
    ///
    /// # Errors
    ///
    /// Returns the time after which to try again, if there is no token or this VM is not the coordinator.
    pub(crate) fn take_token(&mut self, endpoint: &EndpointEntry, urgent: bool, now: Time) -> Result<(), Millis> {
        let Some(limit) = self.rate_limits.rate(endpoint) else {
            return Ok(());
        };
        let rate = self.refill_rate(&endpoint.id, limit, now).ok_or(NOT_READY_WAIT)?;
        let bucket = self.rate_limiter.buckets.entry(endpoint.id.clone());
        bucket.or_insert_with(|| TokenBucket::new(now)).take(rate, urgent, now)
    }

    /// Returns when a token was taken for a request to an endpoint: by the coordinator with its `grant`, or now by this VM
    /// as the coordinator. Returns `None` if the endpoint has no limit or there is no token.
    pub(crate) fn obtain_token(
        &mut self,
        endpoint: &EndpointEntry,
        grant: Option<&Grant>,
        urgent: bool,
        now: Time,
    ) -> Option<Time> {
        self.rate_limits.rate(endpoint)?;
        let is_taken = match grant {
            Some(grant) => grant.has_token(),
            None => self.take_token(endpoint, urgent, now).is_ok(),
        };
        is_taken.then_some(now)
    }

    /// Applies what a coordinator answered to `reservation` about the rate limit of the endpoint.
    pub fn record_rate_limit(&mut self, reservation: &Reservation, estimate: &QueueEstimate, now: Time) {
        if let Some(state) = estimate.rate_limit {
            let transit = self.peer_transit(MAX_REPLY_TRANSIT, now);
            self.rate_limits.on_peer(&reservation.endpoint, state, transit, now);
        }
        let Some(wait) = estimate.token_wait else {
            return;
        };
        let ask = self
            .rate_limiter
            .ask_again
            .entry(reservation.endpoint.clone())
            .or_default();
        ask.other_at = ask.other_at.max(now + wait);
        if reservation.urgent {
            ask.urgent_at = now + wait;
        }
    }

    /// Returns the time by which a report of another VM may be older than it says, usually up to `transit`; `None` if this
    /// VM was paused a moment ago, so that reports may have waited for it.
    pub(crate) fn peer_transit(&self, transit: Millis, now: Time) -> Option<Millis> {
        let limiter = &self.rate_limiter;
        let is_paused = now.since(limiter.last_tick) >= MAX_TICK_GAP;
        let has_caught_up = now.since(limiter.resumed_at) >= CATCH_UP_TIME;
        (!is_paused && has_caught_up).then_some(transit)
    }

    /// Returns whether a request may still be sent to an endpoint; `token_taken_at` is when a token was taken for it, if
    /// the endpoint had a rate limit.
    pub fn may_send(&self, endpoint: &EndpointEntry, token_taken_at: Option<Time>, now: Time) -> bool {
        let is_admitted = match (self.rate_limits.rate(endpoint), token_taken_at) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(_), Some(taken_at)) => now.since(taken_at) < TOKEN_TTL,
        };
        is_admitted && self.registry.may_send(endpoint, now)
    }

    /// Updates the endpoints for which this VM keeps token buckets.
    pub(crate) fn update_rate_limiter(&mut self, now: Time) {
        let local = &self.options.local.vm;
        let coordinated = self.coordinators.iter().filter(|(_, vm)| *vm == local);
        let coordinated: Vec<_> = coordinated
            .map(|(endpoint, _)| (endpoint.clone(), self.has_rate_limit(endpoint)))
            .collect();
        self.rate_limiter.tick(coordinated, now);
    }

    /// Returns whether a registered endpoint has a rate limit.
    pub(crate) fn has_rate_limit(&self, endpoint: &EndpointId) -> bool {
        let known = self.registry.get(endpoint);
        known.is_some_and(|known| self.rate_limits.rate(&known.entry).is_some())
    }

    /// Returns the longest time between two requests to an endpoint that its rate limit causes, in milliseconds.
    pub(crate) fn rate_limit_interval_ms(&self, endpoint: &EndpointEntry) -> f64 {
        self.rate_limits.rate(endpoint).map_or(0.0, token_interval_ms)
    }

    /// Returns when a refused caller should return if all local endpoints of a service have rate limits; `None` if one
    /// has none.
    ///
    /// The callers that this VM refuses return one after another, at its part of the sum of the limits.
    pub(crate) fn rate_limited_return(
        &mut self,
        admitted: &AdmittedRequest,
        longest: Millis,
        now: Time,
    ) -> Option<Millis> {
        let limits = self.local_endpoints(&admitted.service);
        let limits = limits.map(|endpoint| self.rate_limits.rate(&endpoint.entry));
        let total: f64 = limits.map(|limit| limit.map(|limit| limit.0)).sum::<Option<f64>>()?;
        if total == 0.0 {
            return None;
        }
        let interval = Millis((MILLIS_PER_SECOND * self.senders() as f64 / total) as u64);
        let last = self
            .rate_limiter
            .last_return
            .entry(admitted.service.clone())
            .or_default();
        let return_at = (*last).max(now) + interval;
        let wait = return_at.since(now);
        if wait > longest {
            return Some(Millis(longest.0 / 2 + self.rng.u64(..=longest.0 / 2)));
        }
        *last = return_at;
        Some(wait)
    }

    /// Returns the time until this VM, as the coordinator of an endpoint, has a token for a request.
    fn token_wait(&self, endpoint: &EndpointId, limit: Rate, urgent: bool, now: Time) -> Millis {
        let Some(rate) = self.refill_rate(endpoint, limit, now) else {
            return NOT_READY_WAIT;
        };
        let bucket = self.rate_limiter.buckets.get(endpoint).copied();
        bucket.unwrap_or_else(|| TokenBucket::new(now)).wait(rate, urgent, now)
    }

    /// Returns the rate at which this VM may grant requests to an endpoint; `None` if it is not its coordinator, or it
    /// has just started or was paused and cannot know.
    fn refill_rate(&self, endpoint: &EndpointId, limit: Rate, now: Time) -> Option<RefillRate> {
        let has_joined = now.since(self.options.started_at) >= JOIN_TIME;
        let is_paused = now.since(self.rate_limiter.last_tick) >= MAX_TICK_GAP;
        let since = self.rate_limiter.coordinated_since.get(endpoint);
        let since = since.filter(|_| has_joined && !is_paused)?;
        Some(RefillRate {
            limit,
            share: self.live_share(now),
            settled_at: *since + SETTLE_TIME,
        })
    }

    /// Returns the share of a limit that this side of the region's VMs may use.
    fn live_share(&self, now: Time) -> f64 {
        let region = &self.options.local.region;
        let peers = self.members.peers().filter(|row| row.region == *region && !row.leaving);
        let (mut live, mut known) = (1_u32, 1_u32);
        for row in peers {
            known += 1;
            live += u32::from(self.is_live(&row.vm, now));
        }
        (SPLIT_FACTOR * f64::from(live) / f64::from(known)).min(1.0)
    }
}
