//! Engines that are set apart for prompts with a long prefill.
//!
//! Some prompts make events late at any engine with running streams. They go to a few engines of the region, and other
//! streams avoid these while others have room. The number of these engines follows the share of such prompts in the
//! prefill that this VM sent in the last minutes, and the prefill that it sent in the last seconds. All VMs rank the engines in the same order, so that their sets differ by little if
//! their shares do. No request is refused because of the set.

use indexmap::IndexSet;
use sw_member::rendezvous_top;
use sw_unit::{EndpointId, Millis, Time};

use crate::stream_pause::PauseContext;
use crate::{AdmittedRequest, Relay, ServiceId};

/// Time in which the weight of earlier prefill falls to 1/e.
const LOAD_TIME_CONSTANT: Millis = Millis(15_000);
/// The same for the share of disruptive prompts, which are rare at a single VM.
const SHARE_TIME_CONSTANT: Millis = Millis(300_000);
/// Engines set apart beyond those that the work occupies on average, as a multiple of the square root of their number. A long
/// prompt that waits for another one is late.
const HEADROOM: f64 = 2.0;
/// Largest share of the engines that is set apart.
const MAX_ISOLATED_SHARE: f64 = 0.34;
/// Part of [`LOAD_TIME_CONSTANT`] to which the work is related at least, so that the first prompt does not count too much.
const MIN_OBSERVED_SHARE: f64 = 0.25;
/// Margin in engines by which the wanted number must be lower before an engine is given back.
const SHRINK_MARGIN: f64 = 0.7;
/// Largest penalty for an engine on the wrong side of the set, in milliseconds.
const WRONG_SIDE_PENALTY_MS: f64 = 2_000.0;
/// Smallest penalty for a stream at an engine that is set apart, in milliseconds.
const MIN_EXPOSURE_MS: f64 = 50.0;
/// Key of the rendezvous ranking of the engines.
const RANKING_KEY: &str = "isolated-prefill";

/// The prefill that this VM sent to one service, and the engines set apart there.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefillIsolation {
    /// Prefill of the last seconds in milliseconds, and the time in which it was sent.
    recent_ms: f64,
    recent_time_ms: f64,
    /// Prefill of the last minutes in milliseconds, and the part of it that belongs to disruptive prompts.
    lasting_ms: f64,
    disruptive_ms: f64,
    updated_at: Option<Time>,
    engines: IndexSet<EndpointId>,
    /// Number of these engines when it was last taken as a change.
    taken: usize,
}

impl PrefillIsolation {
    /// Records a prompt with a prefill of `prefill_ms` that this VM sent.
    fn on_prefill(&mut self, prefill_ms: f64, is_disruptive: bool) {
        self.recent_ms += prefill_ms;
        self.lasting_ms += prefill_ms;
        if is_disruptive {
            self.disruptive_ms += prefill_ms;
        }
    }

    /// Returns the number of engines that the disruptive work of `senders` VMs occupies, and lets earlier work decay.
    fn occupied(&mut self, senders: usize, now: Time) -> f64 {
        let elapsed_ms = self.updated_at.map_or(0.0, |at| now.since(at).0 as f64);
        self.updated_at = Some(now);
        let decay = |time_constant: Millis| (-elapsed_ms / time_constant.0 as f64).exp();
        self.recent_ms *= decay(LOAD_TIME_CONSTANT);
        self.recent_time_ms = self.recent_time_ms * decay(LOAD_TIME_CONSTANT) + elapsed_ms;
        self.lasting_ms *= decay(SHARE_TIME_CONSTANT);
        self.disruptive_ms *= decay(SHARE_TIME_CONSTANT);
        let observed_ms = self
            .recent_time_ms
            .max(LOAD_TIME_CONSTANT.0 as f64 * MIN_OBSERVED_SHARE);
        let share = self.disruptive_ms / self.lasting_ms.max(1.0);
        share * senders as f64 * self.recent_ms / observed_ms
    }

    /// Returns the number of engines to set apart of `usable` ones.
    fn wanted(&mut self, usable: usize, senders: usize, now: Time) -> usize {
        let occupied = self.occupied(senders, now);
        let wanted = occupied + HEADROOM * occupied.sqrt();
        let current = self.engines.len();
        let largest = (usable as f64 * MAX_ISOLATED_SHARE) as usize;
        let count = if wanted > current as f64 - SHRINK_MARGIN {
            current.max(wanted.round() as usize)
        } else {
            wanted.round() as usize
        };
        count.min(largest)
    }
}

impl Relay {
    /// Records the prefill of a prompt that this VM sends.
    pub(crate) fn record_sent_prefill(&mut self, service: &ServiceId, prefill_ms: f64, is_disruptive: bool) {
        let isolation = self.isolations.entry(service.clone()).or_default();
        isolation.on_prefill(prefill_ms, is_disruptive);
    }

    /// Computes the engines that are set apart.
    pub(crate) fn update_isolation(&mut self, now: Time) {
        let mut isolations = std::mem::take(&mut self.isolations);
        for (service, isolation) in &mut isolations {
            let usable: Vec<_> = self
                .local_endpoints(service)
                .map(|endpoint| &endpoint.entry.id)
                .collect();
            let wanted = isolation.wanted(usable.len(), self.senders_to(service, now), now);
            let top = rendezvous_top(RANKING_KEY, usable.iter().copied(), wanted);
            isolation.engines = top.into_iter().cloned().collect();
        }
        isolations.retain(|service, _| self.service(service).is_some());
        self.isolations = isolations;
    }

    /// Returns the penalty in milliseconds for an engine that is set apart for other prompts, or that is not set apart for
    /// a disruptive one. The longer a stream is, the more likely disruptive prompts make it late.
    pub(crate) fn isolation_penalty_ms(&self, service: &ServiceId, endpoint: &EndpointId, cx: &PauseContext) -> f64 {
        let Some(isolation) = self.isolations.get(service).filter(|known| !known.engines.is_empty()) else {
            return 0.0;
        };
        match (isolation.engines.contains(endpoint), cx.is_disruptive) {
            (false, true) => WRONG_SIDE_PENALTY_MS,
            (true, false) => cx.stream_ms.clamp(MIN_EXPOSURE_MS, WRONG_SIDE_PENALTY_MS),
            (true, true) | (false, false) => 0.0,
        }
    }

    /// Returns the milliseconds for which a disruptive prompt may wait longer than others, if engines are set apart: as long as
    /// its objective. It would otherwise make many streams late, to be on time by itself.
    pub(crate) fn isolation_wait_ms(&self, admitted: &AdmittedRequest) -> f64 {
        if self.isolated_engines(&admitted.service) == 0 {
            return 0.0;
        }
        let prompt = admitted.prompt.as_ref();
        let cx = prompt.and_then(|prompt| self.pause_context(&admitted.service, prompt));
        match cx {
            Some(cx) if cx.is_disruptive => admitted.route.objective.0 as f64,
            _ => 0.0,
        }
    }

    /// Returns the services for which the number of engines set apart has changed since the last call, with that number.
    pub fn take_isolation_changes(&mut self) -> Vec<(ServiceId, usize)> {
        let changed = self.isolations.iter_mut().filter_map(|(service, isolation)| {
            let count = isolation.engines.len();
            let taken = std::mem::replace(&mut isolation.taken, count);
            (taken != count).then(|| (service.clone(), count))
        });
        changed.collect()
    }

    /// Returns the number of engines of a service that are set apart for prompts with a long prefill.
    pub fn isolated_engines(&self, service: &ServiceId) -> usize {
        self.isolations
            .get(service)
            .map_or(0, |isolation| isolation.engines.len())
    }
}
