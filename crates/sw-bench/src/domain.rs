//! The engines of one failure domain.

use std::collections::HashMap;

use sw_engine::{Engine, Job, JobId, Options, OutputToken};
use sw_unit::{Millis, Time, Tokens};

use crate::{ClassProfile, Prompt};

/// Tells requests of a run apart.
pub(crate) type RequestId = u64;

/// A token that a request got.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) request: RequestId,
    pub(crate) first: bool,
    pub(crate) last: bool,
    pub(crate) at: Time,
}

/// The engines of one failure domain.
#[derive(Debug)]
pub(crate) struct Domain {
    engines: Vec<Engine>,
    options: Vec<Options>,
    /// A life for each engine; it grows when the engine returns cold.
    pub(crate) incarnation: u64,
    requests: HashMap<(usize, JobId), RequestId>,
    emissions: Vec<OutputToken>,
    next_job: u64,
}

impl Domain {
    pub(crate) fn new(options: Vec<Options>) -> Self {
        let engines = options.iter().copied().map(Engine::new).collect();
        Self {
            engines,
            options,
            incarnation: 1,
            requests: HashMap::new(),
            emissions: Vec::new(),
            next_job: 0,
        }
    }

    /// Empties all engines, and returns the requests that were lost.
    pub(crate) fn restart(&mut self) -> Vec<RequestId> {
        self.engines = self.options.iter().copied().map(Engine::new).collect();
        self.incarnation += 1;
        let mut lost: Vec<_> = self.requests.drain().map(|(_, request)| request).collect();
        lost.sort_unstable();
        lost
    }

    pub(crate) fn submit(
        &mut self,
        engine: usize,
        request: RequestId,
        class: &ClassProfile,
        prompt: &Prompt,
        now: Time,
    ) {
        let id = JobId(self.next_job);
        self.next_job += 1;
        self.requests.insert((engine, id), request);
        let blocks = prompt.blocks.clone();
        let job = Job {
            id,
            blocks,
            prompt: Tokens(prompt.tokens),
            output: class.output,
            priority: 0,
        };
        self.engines[engine].submit(job, now);
    }

    /// Submits to the engine with the fewest requests, as a VM of the domain would.
    pub(crate) fn submit_anywhere(&mut self, request: RequestId, class: &ClassProfile, prompt: &Prompt, now: Time) {
        let load = |engine: &Engine| {
            let (running, queued) = engine.load();
            running + queued
        };
        let least = self.engines.iter().enumerate().min_by_key(|(_, engine)| load(engine));
        let engine = least.map_or(0, |(index, _)| index);
        self.submit(engine, request, class, prompt, now);
    }

    /// Runs all engines until `now`.
    pub(crate) fn advance(&mut self, now: Time, out: &mut Vec<Progress>) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            engine.advance(now, &mut self.emissions);
            for emission in self.emissions.drain(..) {
                let Some(request) = self.requests.get(&(index, emission.job)).copied() else {
                    continue;
                };
                if emission.last {
                    self.requests.remove(&(index, emission.job));
                }
                if emission.index == 0 || emission.last {
                    let (first, last, at) = (emission.index == 0, emission.last, emission.at);
                    out.push(Progress {
                        request,
                        first,
                        last,
                        at,
                    });
                }
            }
        }
    }

    /// Requests running and waiting in each engine.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.engines.iter().map(Engine::load)
    }

    /// Takes the cache blocks that an engine dropped since the last call.
    pub(crate) fn take_evicted(&mut self, engine: usize) -> Vec<u64> {
        self.engines[engine].take_evicted()
    }

    /// Slots of all engines.
    pub(crate) fn slots(&self) -> u32 {
        self.options.iter().map(|options| options.slots).sum()
    }
}

/// A link as a queue with one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkQueue {
    bytes_per_ms: f64,
    latency: Millis,
    clear_at: f64,
}

impl LinkQueue {
    pub(crate) fn new(mbps: f64, latency: Millis) -> Self {
        Self {
            bytes_per_ms: (mbps * 125.0).max(1.0),
            latency,
            clear_at: 0.0,
        }
    }

    /// When `bytes` that are sent now arrive.
    pub(crate) fn send(&mut self, bytes: u64, now: Time) -> Time {
        self.clear_at = self.clear_at.max(now.0 as f64) + bytes as f64 / self.bytes_per_ms;
        Time(self.clear_at.ceil() as u64) + self.latency
    }
}
