//! What an engine does with a prompt before it begins to answer.
//!
//! It reads the prompt, but for the parts that it keeps, and for the shared parts that another engine keeps and that it
//! copies from there. The next engine that keeps them is taken. An engine reads other prompts while it copies. Between
//! regions a copy can take longer than reading; it spares the engine's time all the same, and is made where the engine is
//! busy for that long, or the answer still begins well within the objective.

use std::cmp::Reverse;

use strum::{EnumCount, FromRepr};
use sw_unit::{EndpointId, Millis, RegionId, Time, Tokens};

use crate::cache::shared_key;
use crate::registry::Endpoint;
use crate::{AdmittedRequest, Attempt, EndpointEntry, Prompt, Relay, ServiceId};

/// Shared parts that are read faster than this are not worth a copy, in milliseconds.
const MIN_READ_MS: f64 = 20.0;
/// Time after its last use by any VM for which a part is taken to be in the memory of an engine.
const CACHED_FOR: Millis = Millis(5_000);
/// Part of the objective within which a prompt must be copied and read, if copying takes longer than reading.
const SLOW_COPY_SHARE: f64 = 0.6;

/// How far a copy travels between two engines.
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

/// What an engine does with a prompt before it begins to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PrefillPlan {
    /// Tokens that it reads.
    pub prefill: Tokens,
    /// Tokens that it copies from another engine.
    pub transfer: Tokens,
    /// How far they travel, if there is another engine that keeps them.
    pub distance: Option<Distance>,
}

/// An engine that keeps the shared parts of a prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheSource {
    /// The engine.
    pub endpoint: EndpointEntry,
    /// How far it is from the one that copies.
    pub distance: Distance,
}

impl Relay {
    /// What an engine has to do for a prompt, if one that keeps the shared parts is at `source`.
    pub(crate) fn prefill_plan(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        prompt: &Prompt,
        source: Option<Distance>,
        now: Time,
    ) -> PrefillPlan {
        let cached = self.cached(service, endpoint, prompt, now);
        let unread = prompt.input.saturating_sub(cached);
        let copied = source.map_or(Tokens(0), |_| prompt.shared_tokens().saturating_sub(cached));
        PrefillPlan {
            prefill: unread.saturating_sub(copied),
            transfer: copied,
            distance: source,
        }
    }

    /// Tokens at the start of a prompt that an engine probably keeps.
    ///
    /// The VM that grants the places at an engine knows what was sent there; others know of each other's sends.
    fn cached(&self, service: &ServiceId, endpoint: &EndpointId, prompt: &Prompt, now: Time) -> Tokens {
        let load = self.loads.get(endpoint);
        let cached = load.map_or(Tokens(0), |load| load.cache.cached_tokens(prompt));
        if self.is_coordinator_of(endpoint) {
            return cached;
        }
        let key = self.copied_key(service, prompt);
        let is_kept = key.is_some_and(|key| self.cache_directory.was_used(key, endpoint, CACHED_FOR, now));
        if is_kept {
            cached.max(prompt.shared_tokens())
        } else {
            cached
        }
    }

    /// Milliseconds that an engine takes to copy what it lacks of a prompt.
    pub(crate) fn plan_transfer_ms(&self, service: &ServiceId, intake: PrefillPlan) -> f64 {
        let transfer_ms = |distance| self.transfer_ms(service, intake.transfer, distance);
        intake.distance.map_or(0.0, transfer_ms)
    }

    /// Milliseconds that an engine of a service takes to copy `tokens` from another one.
    pub(crate) fn transfer_ms(&self, service: &ServiceId, tokens: Tokens, distance: Distance) -> f64 {
        if tokens == Tokens(0) {
            return 0.0;
        }
        let engine = self.service(service).and_then(|service| service.engine);
        let nominal_ms = engine.and_then(|engine| engine.transfer_ms(tokens));
        nominal_ms.map_or(f64::INFINITY, |nominal_ms| {
            self.model(service).transfer_ms(nominal_ms, distance)
        })
    }

    /// Stands for the shared parts of a prompt; `None` if they are not worth a copy.
    pub(crate) fn copied_key(&self, service: &ServiceId, prompt: &Prompt) -> Option<u64> {
        let shared = prompt.shared_tokens();
        let prefill_ms = self.prefill_ms(service, shared);
        let is_worth = prefill_ms > MIN_READ_MS && self.transfer_ms(service, shared, Distance::SameDomain) < prefill_ms;
        if is_worth { shared_key(prompt) } else { None }
    }

    /// The engines from which the shared parts of a prompt can be copied, the one that used them last first.
    pub(crate) fn sources(&self, admitted: &AdmittedRequest, now: Time) -> Vec<&Endpoint> {
        let prompt = admitted.prompt.as_ref();
        let Some(key) = prompt.and_then(|prompt| self.copied_key(&admitted.service, prompt)) else {
            return Vec::new();
        };
        let holders = self.cache_directory.holders(key, now).filter_map(|(id, used)| {
            let endpoint = self.registry.get(id)?;
            self.is_source(admitted, endpoint, now).then_some((used, endpoint))
        });
        let mut sources: Vec<_> = holders.collect();
        sources.sort_by_key(|(used, _)| Reverse(*used));
        sources.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Which of the engines that keep the shared parts of a prompt is copied from by the engine `to`.
    pub(crate) fn next_source<'a>(
        &self,
        admitted: &AdmittedRequest,
        sources: &[&'a Endpoint],
        to: &EndpointEntry,
        now: Time,
    ) -> Option<(&'a Endpoint, Distance)> {
        let others = sources.iter().filter(|source| source.entry.id != to.id);
        let at = others.filter_map(|source| Some((*source, self.distance(&source.entry, to)?)));
        let (source, distance) = at.min_by_key(|(_, distance)| *distance)?;
        self.is_soon(admitted, to, distance, now).then_some((source, distance))
    }

    /// The engine from which `to` copies the shared parts of a prompt.
    pub(crate) fn cache_source(
        &self,
        admitted: &AdmittedRequest,
        to: &EndpointEntry,
        now: Time,
    ) -> Option<CacheSource> {
        let sources = self.sources(admitted, now);
        let (endpoint, distance) = self.next_source(admitted, &sources, to, now)?;
        Some(CacheSource {
            endpoint: endpoint.entry.clone(),
            distance,
        })
    }

    /// Records that an engine reads a prompt, which takes `expected_ms`.
    pub(crate) fn record_prefill(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        prompt: &Prompt,
        expected_ms: f64,
        now: Time,
    ) {
        if let Some(key) = self.copied_key(service, prompt) {
            let read_by = now + Millis(expected_ms as u64);
            self.cache_directory.record_prefill(key, endpoint, read_by, now);
        }
    }

    /// Learns from the first event of an engine without a queue.
    pub(crate) fn record_first_event(&mut self, attempt: &Attempt, now: Time) {
        let PrefillPlan {
            prefill,
            transfer,
            distance,
        } = attempt.plan;
        let engine = self.service(&attempt.service).and_then(|service| service.engine);
        let nominal_ms = engine.and_then(|engine| engine.transfer_ms(transfer));
        let model = self.models.entry(attempt.service.clone()).or_default();
        match (distance, nominal_ms) {
            (Some(distance), Some(nominal_ms)) if transfer > Tokens(0) => {
                model.record_transfer(prefill, nominal_ms, distance, attempt.age(now));
            }
            _ => model.record_prefill(prefill, attempt.age(now)),
        }
    }

    /// Whether an engine has copied the shared parts of a prompt sooner than it would have read them, or soon enough.
    fn is_soon(&self, admitted: &AdmittedRequest, to: &EndpointEntry, distance: Distance, now: Time) -> bool {
        let Some(prompt) = &admitted.prompt else {
            return false;
        };
        let shared = prompt.shared_tokens();
        let transfer_ms = self.transfer_ms(&admitted.service, shared, distance);
        let own_ms = self.prefill_ms(&admitted.service, prompt.input.saturating_sub(shared));
        let backlog_ms = self.loads.get(&to.id).map_or(0.0, |load| load.backlog_ms(now));
        transfer_ms < backlog_ms + self.prefill_ms(&admitted.service, shared)
            || transfer_ms + own_ms < admitted.route.objective.0 as f64 * SLOW_COPY_SHARE
    }

    /// Whether an engine may be copied from: it stays, is well, and the request's data may be where it is.
    fn is_source(&self, admitted: &AdmittedRequest, endpoint: &Endpoint, now: Time) -> bool {
        let entry = &endpoint.entry;
        let is_paused = self.loads.get(&entry.id).is_some_and(|load| load.is_in_backoff(now));
        let region = self.region_of(&entry.domain);
        let is_permitted = region.is_some_and(|region| admitted.route.permits(region));
        let is_reached = region.is_some_and(|region| self.is_region_reached(region, now));
        entry.service == admitted.service
            && self.registry.may_send(entry, now)
            && !is_paused
            && is_permitted
            && is_reached
    }

    fn is_region_reached(&self, region: &RegionId, now: Time) -> bool {
        let is_heard = || self.regions.get(region).is_some_and(|view| view.is_heard(now));
        *region == self.options.local.region || is_heard()
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
