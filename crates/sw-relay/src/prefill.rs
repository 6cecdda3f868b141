//! The prefill and cache transfers that precede the first event of a response.
//!
//! An engine processes the part of a prompt that neither its own cache nor the cache of another engine holds. Shared
//! parts are transferred from the nearest engine that has them cached. A transfer runs in parallel with the prefill of
//! other prompts. Between regions, a transfer can take longer than the prefill that it replaces. It still saves engine
//! time, so it is made if the engine is busy for as long anyway, or if the response still starts well within the
//! objective.

use std::cmp::Reverse;

use strum::{EnumCount, FromRepr};
use sw_unit::{EndpointId, Millis, RegionId, Time, Tokens};

use crate::cache::shared_prefix_key;
use crate::latency::FIRST_EVENT_MS;
use crate::registry::Endpoint;
use crate::{AdmittedRequest, Attempt, EndpointEntry, Prompt, Relay, ServiceId};

/// Shared parts with a shorter prefill than this are not transferred, in milliseconds.
const MIN_PREFILL_MS: f64 = 20.0;
/// Time after its last use by any VM for which a part is assumed to be in an engine's memory.
const CACHED_FOR: Millis = Millis(5_000);
/// Shorter prompts are too inaccurate to measure the speed of an engine.
const MIN_SPEED_TOKENS: Tokens = Tokens(1_500);
/// Share of the objective within which transfer and remaining prefill must complete if the transfer takes longer than
/// the prefill that it replaces.
const SLOW_TRANSFER_SHARE: f64 = 0.6;

/// Distance between the two engines of a cache transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, EnumCount, FromRepr)]
#[repr(u8)]
pub enum Distance {
    /// Within a failure domain.
    SameDomain,
    /// Between two failure domains of a region.
    SameRegion,
    /// Between two regions.
    CrossRegion,
}

/// The prefill and cache transfer of one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PrefillPlan {
    /// Tokens to process.
    pub prefill: Tokens,
    /// Tokens to transfer from another engine.
    pub transfer: Tokens,
    /// Distance to the engine that has the shared parts cached, if any.
    pub distance: Option<Distance>,
}

/// An engine that has the shared parts of a prompt cached.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheSource {
    /// The engine.
    pub endpoint: EndpointEntry,
    /// Its distance to the receiving engine.
    pub distance: Distance,
}

impl Relay {
    /// Returns the plan of an engine for a prompt; `source` is the distance to an engine that has the shared parts
    /// cached.
    pub(crate) fn prefill_plan(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        prompt: &Prompt,
        source: Option<Distance>,
        now: Time,
    ) -> PrefillPlan {
        let cached = self.cached_tokens(service, endpoint, prompt, now);
        let uncached = prompt.input.saturating_sub(cached);
        let transfer = source.map_or(Tokens(0), |_| prompt.shared_tokens().saturating_sub(cached));
        PrefillPlan {
            prefill: uncached.saturating_sub(transfer),
            transfer,
            distance: source,
        }
    }

    /// Returns the number of tokens at the start of a prompt that an engine probably has cached.
    ///
    /// The coordinator of an engine knows all prompts sent to it. The other VMs also use what VMs report to each other.
    fn cached_tokens(&self, service: &ServiceId, endpoint: &EndpointId, prompt: &Prompt, now: Time) -> Tokens {
        let load = self.loads.get(endpoint);
        let cached = load.map_or(Tokens(0), |load| load.cache.cached_tokens(prompt));
        if self.is_coordinator_of(endpoint) {
            return cached;
        }
        let key = self.transfer_key(service, prompt);
        let is_cached = key.is_some_and(|key| self.cache_directory.used_within(key, endpoint, CACHED_FOR, now));
        if is_cached {
            cached.max(prompt.shared_tokens())
        } else {
            cached
        }
    }

    /// Returns the milliseconds that the cache transfer of a plan takes.
    pub(crate) fn plan_transfer_ms(&self, service: &ServiceId, plan: PrefillPlan) -> f64 {
        let transfer_ms = |distance| self.transfer_ms(service, plan.transfer, distance);
        plan.distance.map_or(0.0, transfer_ms)
    }

    /// Returns the milliseconds that an engine of a service takes to transfer `tokens` from another one.
    pub(crate) fn transfer_ms(&self, service: &ServiceId, tokens: Tokens, distance: Distance) -> f64 {
        if tokens == Tokens(0) {
            return 0.0;
        }
        let engine = self.service(service).and_then(|service| service.engine);
        let nominal_ms = engine.and_then(|engine| engine.transfer_ms(tokens));
        nominal_ms.map_or(f64::INFINITY, |nominal_ms| {
            self.latency_model(service).transfer_ms(nominal_ms, distance)
        })
    }

    /// Returns the key of the shared parts of a prompt; `None` if a transfer does not pay off.
    pub(crate) fn transfer_key(&self, service: &ServiceId, prompt: &Prompt) -> Option<u64> {
        let shared = prompt.shared_tokens();
        let prefill_ms = self.prefill_ms(service, shared);
        let pays_off =
            prefill_ms > MIN_PREFILL_MS && self.transfer_ms(service, shared, Distance::SameDomain) < prefill_ms;
        if pays_off { shared_prefix_key(prompt) } else { None }
    }

    /// Returns the engines that can supply the shared parts of a prompt, most recently used first.
    pub(crate) fn cache_sources(&self, admitted: &AdmittedRequest, now: Time) -> Vec<&Endpoint> {
        let prompt = admitted.prompt.as_ref();
        let Some(key) = prompt.and_then(|prompt| self.transfer_key(&admitted.service, prompt)) else {
            return Vec::new();
        };
        let holders = self.cache_directory.holders(key, now).filter_map(|(id, last_used_at)| {
            let endpoint = self.registry.get(id)?;
            self.can_supply(admitted, endpoint, now)
                .then_some((last_used_at, endpoint))
        });
        let mut sources: Vec<_> = holders.collect();
        sources.sort_by_key(|(last_used_at, _)| Reverse(*last_used_at));
        sources.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Returns the nearest of `sources` for a transfer to the engine `to`, if the transfer pays off.
    pub(crate) fn nearest_source<'a>(
        &self,
        admitted: &AdmittedRequest,
        sources: &[&'a Endpoint],
        to: &EndpointEntry,
        now: Time,
    ) -> Option<(&'a Endpoint, Distance)> {
        let others = sources.iter().filter(|source| source.entry.id != to.id);
        let candidates = others.filter_map(|source| Some((*source, self.distance(&source.entry, to)?)));
        let (source, distance) = candidates.min_by_key(|(_, distance)| *distance)?;
        self.transfer_pays_off(admitted, to, distance, now)
            .then_some((source, distance))
    }

    /// Returns the engine that supplies the shared parts of a prompt to `to`.
    pub(crate) fn cache_source(
        &self,
        admitted: &AdmittedRequest,
        to: &EndpointEntry,
        now: Time,
    ) -> Option<CacheSource> {
        let sources = self.cache_sources(admitted, now);
        let (endpoint, distance) = self.nearest_source(admitted, &sources, to, now)?;
        Some(CacheSource {
            endpoint: endpoint.entry.clone(),
            distance,
        })
    }

    /// Records in the cache directory that an engine completes the prefill of a prompt after `expected_ms`.
    pub(crate) fn record_prefill(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        prompt: &Prompt,
        expected_ms: f64,
        now: Time,
    ) {
        if let Some(key) = self.transfer_key(service, prompt) {
            let done_at = now + Millis(expected_ms as u64);
            self.cache_directory.record_prefill(key, endpoint, done_at, now);
        }
    }

    /// Updates the latency model with the first event of an attempt that had no queue in front of it.
    pub(crate) fn record_first_event(&mut self, attempt: &Attempt, now: Time) {
        let PrefillPlan {
            prefill,
            transfer,
            distance,
        } = attempt.plan;
        let engine = self.service(&attempt.service).and_then(|service| service.engine);
        let nominal_ms = engine.and_then(|engine| engine.transfer_ms(transfer));
        // Without limits on pauses, the linear model suffices.
        let engine_events = engine.filter(|_| self.options.limits_pauses);
        let tokens_per_event = engine_events.map_or(1, |engine| engine.tokens_per_event);
        let elapsed = self.without_slowdown(attempt, attempt.age(now), now);
        if transfer == Tokens(0) && prefill >= MIN_SPEED_TOKENS {
            let expected_ms = self.prefill_ms(&attempt.service, prefill) + FIRST_EVENT_MS;
            self.observe_speed(attempt, expected_ms, tokens_per_event > 1, now);
        }
        let model = self.models.entry(attempt.service.clone()).or_default();
        match (distance, nominal_ms) {
            (Some(distance), Some(nominal_ms)) if transfer > Tokens(0) => {
                model.record_transfer(prefill, nominal_ms, distance, elapsed);
            }
            _ => model.record_prefill(prefill, elapsed, tokens_per_event),
        }
    }

    /// Whether a transfer to the engine `to` is faster than its backlog and the replaced prefill, or fast enough for
    /// the objective.
    fn transfer_pays_off(&self, admitted: &AdmittedRequest, to: &EndpointEntry, distance: Distance, now: Time) -> bool {
        let Some(prompt) = &admitted.prompt else {
            return false;
        };
        let shared = prompt.shared_tokens();
        let transfer_ms = self.transfer_ms(&admitted.service, shared, distance);
        let unshared_ms = self.prefill_ms(&admitted.service, prompt.input.saturating_sub(shared));
        let backlog_ms = self.loads.get(&to.id).map_or(0.0, |load| load.backlog_ms(now));
        transfer_ms < backlog_ms + self.prefill_ms(&admitted.service, shared)
            || transfer_ms + unshared_ms < admitted.route.objective.0 as f64 * SLOW_TRANSFER_SHARE
    }

    /// Whether an engine may supply cached parts: it accepts requests, is neither in backoff nor limited in its rate, and is in a reachable region
    /// that is permitted.
    fn can_supply(&self, admitted: &AdmittedRequest, endpoint: &Endpoint, now: Time) -> bool {
        let entry = &endpoint.entry;
        let is_in_backoff = self.loads.get(&entry.id).is_some_and(|load| load.is_in_backoff(now));
        let region = self.region_of(&entry.domain);
        let is_permitted = region.is_some_and(|region| self.may_send_to(admitted, region, now));
        let is_reachable = region.is_some_and(|region| self.is_region_reachable(region, now));
        entry.service == admitted.service
            && self.rate_limits.rate(entry).is_none()
            && self.registry.may_send(entry, now)
            && !is_in_backoff
            && (self.has_path(&entry.id) || self.paths.is_cut_off(&entry.service))
            && is_permitted
            && is_reachable
    }

    fn is_region_reachable(&self, region: &RegionId, now: Time) -> bool {
        let has_recent_summary = || {
            self.regions
                .get(region)
                .is_some_and(|state| state.has_recent_summary(now))
        };
        *region == self.options.local.region || has_recent_summary()
    }

    fn distance(&self, from: &EndpointEntry, to: &EndpointEntry) -> Option<Distance> {
        if from.domain == to.domain {
            return Some(Distance::SameDomain);
        }
        let (from, to) = (self.region_of(&from.domain)?, self.region_of(&to.domain)?);
        Some(if from == to {
            Distance::SameRegion
        } else {
            Distance::CrossRegion
        })
    }
}
