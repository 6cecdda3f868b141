//! The engine model.

use std::collections::VecDeque;

use sw_unit::{Time, Tokens};

use crate::{BlockCache, Job, JobId, Options, OutputToken};

/// Maximum number of prompt tokens that one step prefills.
const PREFILL_PER_STEP: u64 = 2_048;
const MILLIS_PER_SECOND: f64 = 1_000.0;

#[derive(Debug, Clone)]
struct RunningJob {
    job: Job,
    remaining_prefill: u64,
    generated: u64,
}

/// A model of an engine with continuous batching.
#[derive(Debug, Clone)]
pub struct Engine {
    options: Options,
    running: Vec<RunningJob>,
    queue: VecDeque<Job>,
    cache: BlockCache,
    /// End of the current step in milliseconds; `None` while idle.
    step_end: Option<f64>,
    /// Prompt tokens that the current step prefills, for each running request.
    step_prefill: Vec<u64>,
}

impl Engine {
    /// Returns an idle engine with an empty cache.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            running: Vec::new(),
            queue: VecDeque::new(),
            cache: BlockCache::new(options.cache_blocks),
            step_end: None,
            step_prefill: Vec::new(),
        }
    }

    /// Queues a request, and starts a step if the engine is idle.
    pub fn submit(&mut self, job: Job, now: Time) {
        let position = self.queue.iter().position(|other| other.priority < job.priority);
        self.queue.insert(position.unwrap_or(self.queue.len()), job);
        if self.step_end.is_none() {
            self.begin_step(now.0 as f64);
        }
    }

    /// Removes a queued or running request.
    pub fn cancel(&mut self, id: JobId) {
        self.queue.retain(|job| job.id != id);
        if let Some(index) = self.running.iter().position(|running| running.job.id == id) {
            self.running.remove(index);
            self.step_prefill.remove(index);
        }
    }

    /// Returns the numbers of running and queued requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Returns when the current step ends, or `None` while idle.
    pub fn next_event(&self) -> Option<Time> {
        self.step_end.map(|end| Time(end.ceil() as u64))
    }

    /// Runs the engine until `now`, and appends the generated tokens to `out`.
    pub fn advance(&mut self, now: Time, out: &mut Vec<OutputToken>) {
        while let Some(end) = self.step_end.filter(|end| *end <= now.0 as f64) {
            self.end_step(end, out);
            self.begin_step(end);
        }
    }

    /// Returns the cache blocks that were evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        self.cache.take_evicted()
    }

    fn begin_step(&mut self, at: f64) {
        while self.running.len() < self.options.slots as usize {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            self.admit(job);
        }
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let mut budget = PREFILL_PER_STEP;
        self.step_prefill.clear();
        for running in &self.running {
            let tokens = running.remaining_prefill.min(budget);
            budget -= tokens;
            self.step_prefill.push(tokens);
        }
        let prefill_ms = (PREFILL_PER_STEP - budget) as f64 / self.options.prefill_rate.0 * MILLIS_PER_SECOND;
        self.step_end = Some(at + self.decode_ms() + prefill_ms);
    }

    fn admit(&mut self, job: Job) {
        let cached = self.cache.cached_prefix_len(&job.blocks) as u64 * self.options.block_tokens.0;
        let remaining_prefill = job.prompt.saturating_sub(Tokens(cached)).0;
        self.cache.insert(&job.blocks);
        self.running.push(RunningJob {
            job,
            remaining_prefill,
            generated: 0,
        });
    }

    fn end_step(&mut self, end: f64, out: &mut Vec<OutputToken>) {
        let at = Time(end.ceil() as u64);
        for (running, tokens) in self.running.iter_mut().zip(&self.step_prefill) {
            running.remaining_prefill -= tokens;
            if running.remaining_prefill > 0 {
                continue;
            }
            let last = running.generated + 1 >= running.job.output.0;
            out.push(OutputToken {
                job: running.job.id,
                index: running.generated,
                at,
                last,
            });
            running.generated += 1;
        }
        self.running
            .retain(|running| running.generated < running.job.output.0.max(1));
        self.step_prefill.clear();
    }

    fn decode_ms(&self) -> f64 {
        let others = self.running.len().saturating_sub(1) as f64;
        let occupancy = others / f64::from(self.options.slots.saturating_sub(1).max(1));
        self.options.token_time.0 as f64 * (1.0 + self.options.batch_slowdown * occupancy)
    }
}
