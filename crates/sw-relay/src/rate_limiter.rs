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
//!
//! The same place enforces rejection limits: a token for a brittle endpoint also needs room there (`room_keeper.rs`).

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
pub(crate) const NOT_READY_WAIT: Millis = Millis(500);
/// Time after which a token that was not used is void; its request may have been held by a paused VM.
const TOKEN_TTL: Millis = Millis(500);
/// Time after a pause within which this VM has received the calls that arrived during the pause.
pub(crate) const CATCH_UP_TIME: Millis = Millis(1_000);
/// Time for which an earlier coordinator may still grant, because it does not know yet that it is not the coordinator any
/// more.
const HANDOVER_TIME: Millis = Millis(1_500);
/// Factor on the share of live VMs; two sides that cannot see each other grant at most this multiple of the limit.
const SPLIT_FACTOR: f64 = 1.4;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// When a coordinator that had no token should be asked again.
#[derive(Debug, Clone, Copy, Default)]
struct AskAgain {
    urgent_at: Time,
    other_at: Time,
}

/// The share of the region's VMs that are live.
#[derive(Debug, Clone, Copy)]
struct LiveShare {
    share: f64,
    /// The smallest share before it rose the last time, and when that was.
    before_rise: f64,
    rose_at: Option<Time>,
    changed_at: Time,
}

impl Default for LiveShare {
    fn default() -> Self {
        Self {
            share: 1.0,
            before_rise: 1.0,
            rose_at: None,
            changed_at: Time(0),
        }
    }
}

impl LiveShare {
    fn update(&mut self, share: f64, now: Time) {
        if share > self.share {
            let before = if self.is_rising(now) {
                self.before_rise
            } else {
                self.share
            };
            self.before_rise = before.min(self.share);
            self.rose_at = Some(now);
        }
        if (share - self.share).abs() > f64::EPSILON {
            self.changed_at = now;
        }
        self.share = share;
    }

    /// Returns whether VMs that came back a moment ago may still have a coordinator of their own.
    fn is_rising(self, now: Time) -> bool {
        self.rose_at.is_some_and(|at| now.since(at) < HANDOVER_TIME)
    }

    fn usable(self, now: Time) -> f64 {
        if self.is_rising(now) {
            self.share.min(self.before_rise)
        } else {
            self.share
        }
    }
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
    live_share: LiveShare,
}

impl RateLimiter {
    /// Updates the endpoints that this VM coordinates, and creates the buckets of those with a rate limit. `live_share` is the
    /// share of the region's VMs that are live, if an endpoint is brittle.
    fn tick(&mut self, coordinated: Vec<(EndpointId, bool)>, live_share: Option<f64>, now: Time) {
        if now.since(self.last_tick) >= MAX_TICK_GAP {
            self.coordinated_since.clear();
            self.resumed_at = now;
        }
        self.last_tick = now;
        match live_share {
            Some(share) => self.live_share.update(share, now),
            None => self.live_share = LiveShare::default(),
        }
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

    /// Returns whether the limits of an endpoint admit a request now, as far as this VM knows.
    pub(crate) fn limits_admit(&self, endpoint: &EndpointEntry, urgent: bool, now: Time) -> bool {
        if !self.is_limited(endpoint) {
            return true;
        }
        if self.is_coordinator_of(&endpoint.id) {
            let rate = self.rate_limits.rate(endpoint);
            let token_wait = rate.map_or(Millis(0), |limit| self.token_wait(&endpoint.id, limit, urgent, now));
            return token_wait.max(self.room_wait(endpoint, now)) == Millis(0);
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
    /// Returns the time after which to try again, if there is no token, the endpoint is brittle and has no room, or this VM
    /// is not the coordinator.
    pub(crate) fn take_token(&mut self, endpoint: &EndpointEntry, urgent: bool, now: Time) -> Result<(), Millis> {
        self.check_room(endpoint, now)?;
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
        if !self.is_limited(endpoint) {
            return None;
        }
        let is_taken = match grant {
            Some(grant) => grant.has_token(),
            None => self.take_token(endpoint, urgent, now).is_ok(),
        };
        is_taken.then_some(now)
    }

    /// Applies what a coordinator answered to `reservation` about the limits of the endpoint.
    pub fn record_rate_limit(&mut self, reservation: &Reservation, estimate: &QueueEstimate, now: Time) {
        if let Some(state) = estimate.rate_limit {
            let transit = self.peer_transit(MAX_REPLY_TRANSIT, now);
            self.rate_limits.on_peer(&reservation.endpoint, state, transit, now);
        }
        if let Some(state) = estimate.rejection_limit {
            let transit = self.peer_transit(MAX_REPLY_TRANSIT, now);
            self.on_peer_rejection_limit(&reservation.endpoint, state, transit, now);
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
    /// the endpoint had a limit.
    pub fn may_send(&self, endpoint: &EndpointEntry, token_taken_at: Option<Time>, now: Time) -> bool {
        let is_admitted = match (self.is_limited(endpoint), token_taken_at) {
            (false, _) => true,
            (true, None) => false,
            (true, Some(taken_at)) => now.since(taken_at) < TOKEN_TTL,
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
        let is_brittle = !self.brittle_services.is_empty();
        let live_share = is_brittle.then(|| self.live_share(now));
        self.rate_limiter.tick(coordinated, live_share, now);
    }

    /// Returns whether an endpoint has a limit, so that a request to it needs a token.
    fn is_limited(&self, endpoint: &EndpointEntry) -> bool {
        self.rate_limits.rate(endpoint).is_some() || self.endpoint_rejection_limit(endpoint).is_some()
    }

    /// Returns whether a registered endpoint has a limit.
    pub(crate) fn has_limit(&self, endpoint: &EndpointId) -> bool {
        let known = self.registry.get(endpoint);
        known.is_some_and(|known| self.is_limited(&known.entry))
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

    /// Returns when a refused caller should return if all local endpoints of a service have limits; `None` if one has none.
    ///
    /// The callers that this VM refuses return one after another, at its part of the sum of the limits.
    pub(crate) fn rate_limited_return(
        &mut self,
        admitted: &AdmittedRequest,
        longest: Millis,
        now: Time,
    ) -> Option<Millis> {
        let limits = self.local_endpoints(&admitted.service);
        let limits = limits.map(|endpoint| {
            let limits = [self.rate_limits.rate(&endpoint.entry), self.room_rate(&endpoint.entry)];
            limits.into_iter().flatten().min_by(|a, b| a.0.total_cmp(&b.0))
        });
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
        let since = self.coordinated_since(endpoint, now)?;
        Some(RefillRate {
            limit,
            share: (SPLIT_FACTOR * self.live_share(now)).min(1.0),
            settled_at: since + SETTLE_TIME,
        })
    }

    /// Returns since when, or from when on, no other VM grants requests to an endpoint; `None` if this VM is not its
    /// coordinator, or cannot know.
    pub(crate) fn granting_since(&self, endpoint: &EndpointId, now: Time) -> Option<Time> {
        let since = self.coordinated_since(endpoint, now)?;
        Some(since + HANDOVER_TIME)
    }

    /// Returns the share of the slots of an endpoint that this side of the region's VMs may use, and since when VMs are
    /// neither missing nor back that were not before.
    pub(crate) fn usable_share(&self, now: Time) -> (f64, Time) {
        let live_share = self.rate_limiter.live_share;
        (live_share.usable(now), live_share.changed_at)
    }

    /// Returns since when this VM coordinates an endpoint; `None` if it is not its coordinator, or it has just started or
    /// was paused and cannot know.
    fn coordinated_since(&self, endpoint: &EndpointId, now: Time) -> Option<Time> {
        let has_joined = now.since(self.options.started_at) >= JOIN_TIME;
        let is_paused = now.since(self.rate_limiter.last_tick) >= MAX_TICK_GAP;
        let since = self.rate_limiter.coordinated_since.get(endpoint).copied();
        since.filter(|_| has_joined && !is_paused)
    }

    /// Returns the share of the region's VMs that are live.
    fn live_share(&self, now: Time) -> f64 {
        let region = &self.options.local.region;
        let peers = self.members.peers().filter(|row| row.region == *region && !row.leaving);
        let (mut live, mut known) = (1_u32, 1_u32);
        for row in peers {
            known += 1;
            live += u32::from(self.is_live(&row.vm, now));
        }
        f64::from(live) / f64::from(known)
    }
}
