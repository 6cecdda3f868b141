//! The engines of one failure domain, and a link between regions.

use std::collections::HashMap;

use sw_engine::{Engine, Job, JobId, Options, OutputToken};
use sw_unit::{Millis, Time, Tokens};

use crate::{ClassProfile, Prompt};

/// The id of a request within a run.
pub(crate) type RequestId = u64;

/// The first or last token of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestToken {
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
    /// Incarnation of all engines, incremented when they restart with empty caches.
    pub(crate) incarnation: u64,
    requests: HashMap<(usize, JobId), RequestId>,
    tokens: Vec<OutputToken>,
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
            tokens: Vec::new(),
            next_job: 0,
        }
    }

    /// Restarts all engines with empty caches, and returns the requests that were lost.
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

    /// Submits a request to the engine with the fewest requests, as a VM of the domain would.
    pub(crate) fn submit_to_least_loaded(
        &mut self,
        request: RequestId,
        class: &ClassProfile,
        prompt: &Prompt,
        now: Time,
    ) {
        let load = |engine: &Engine| {
            let (running, queued) = engine.load();
            running + queued
        };
        let least = self.engines.iter().enumerate().min_by_key(|(_, engine)| load(engine));
        let engine = least.map_or(0, |(index, _)| index);
        self.submit(engine, request, class, prompt, now);
    }

    /// Runs all engines until `now`, and appends the first and last tokens of requests to `out`.
    pub(crate) fn advance(&mut self, now: Time, out: &mut Vec<RequestToken>) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            engine.advance(now, &mut self.tokens);
            for token in self.tokens.drain(..) {
                let Some(request) = self.requests.get(&(index, token.job)).copied() else {
                    continue;
                };
                if token.last {
                    self.requests.remove(&(index, token.job));
                }
                if token.index == 0 || token.last {
                    let (first, last, at) = (token.index == 0, token.last, token.at);
                    out.push(RequestToken {
                        request,
                        first,
                        last,
                        at,
                    });
                }
            }
        }
    }

    /// Returns the numbers of running and queued requests of each engine.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.engines.iter().map(Engine::load)
    }

    /// Returns the cache blocks that an engine evicted since the last call.
    pub(crate) fn take_evicted(&mut self, engine: usize) -> Vec<u64> {
        self.engines[engine].take_evicted()
    }

    /// Returns the total slots of all engines.
    pub(crate) fn slots(&self) -> u32 {
        self.options.iter().map(|options| options.slots).sum()
    }
}

/// A link, simulated as a queue with one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkQueue {
    bytes_per_ms: f64,
    latency: Millis,
    /// When the link has sent all bytes so far, in milliseconds.
    idle_at: f64,
}

impl LinkQueue {
    pub(crate) fn new(mbps: f64, latency: Millis) -> Self {
        Self {
            bytes_per_ms: (mbps * 125.0).max(1.0),
            latency,
            idle_at: 0.0,
        }
    }

    /// Sends `bytes`, and returns when they arrive.
    pub(crate) fn send(&mut self, bytes: u64, now: Time) -> Time {
        self.idle_at = self.idle_at.max(now.0 as f64) + bytes as f64 / self.bytes_per_ms;
        Time(self.idle_at.ceil() as u64) + self.latency
    }
}
