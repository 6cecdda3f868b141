//! The engine.

use std::collections::VecDeque;

use sw_unit::{Time, Tokens};

use crate::{BlockCache, Job, JobId, Options, OutputToken};

/// Prompt tokens that a step takes in at most.
const PREFILL_PER_STEP: u64 = 2_048;
const MILLIS_PER_SECOND: f64 = 1_000.0;

#[derive(Debug, Clone)]
struct Running {
    job: Job,
    prefill_left: u64,
    made: u64,
}

/// An engine that batches continuously.
#[derive(Debug, Clone)]
pub struct Engine {
    options: Options,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    cache: BlockCache,
    /// End of the current step in milliseconds; `None` while idle.
    step_end: Option<f64>,
    /// Prompt tokens that the current step takes in for each running request.
    step_prefill: Vec<u64>,
}

impl Engine {
    /// An idle engine with an empty cache.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: BlockCache::new(options.cache_blocks),
            step_end: None,
            step_prefill: Vec::new(),
        }
    }

    /// Takes in a request.
    pub fn submit(&mut self, job: Job, now: Time) {
        let behind = self.waiting.iter().position(|other| other.priority < job.priority);
        self.waiting.insert(behind.unwrap_or(self.waiting.len()), job);
        if self.step_end.is_none() {
            self.begin_step(now.0 as f64);
        }
    }

    /// Drops a request.
    pub fn cancel(&mut self, id: JobId) {
        self.waiting.retain(|job| job.id != id);
        if let Some(index) = self.running.iter().position(|running| running.job.id == id) {
            self.running.remove(index);
            self.step_prefill.remove(index);
        }
    }

    /// Requests that run and that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// When the current step ends; `None` while idle.
    pub fn next_event(&self) -> Option<Time> {
        self.step_end.map(|end| Time(end.ceil() as u64))
    }

    /// Runs until `now`, and adds the tokens that were made to `out`.
    pub fn advance(&mut self, now: Time, out: &mut Vec<OutputToken>) {
        while let Some(end) = self.step_end.filter(|end| *end <= now.0 as f64) {
            self.end_step(end, out);
            self.begin_step(end);
        }
    }

    /// Takes the cache blocks that were dropped since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        self.cache.take_evicted()
    }

    fn begin_step(&mut self, at: f64) {
        while self.running.len() < self.options.slots as usize {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.admit(job);
        }
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let mut room = PREFILL_PER_STEP;
        self.step_prefill.clear();
        for running in &self.running {
            let taken = running.prefill_left.min(room);
            room -= taken;
            self.step_prefill.push(taken);
        }
        let prefill = (PREFILL_PER_STEP - room) as f64 / self.options.prefill_rate.0 * MILLIS_PER_SECOND;
        self.step_end = Some(at + self.decode_ms() + prefill);
    }

    fn admit(&mut self, job: Job) {
        let held = self.cache.cached_prefix_len(&job.blocks) as u64 * self.options.block_tokens.0;
        let prefill_left = job.prompt.saturating_sub(Tokens(held)).0;
        self.cache.insert(&job.blocks);
        self.running.push(Running {
            job,
            prefill_left,
            made: 0,
        });
    }

    fn end_step(&mut self, end: f64, out: &mut Vec<OutputToken>) {
        let at = Time(end.ceil() as u64);
        for (running, taken) in self.running.iter_mut().zip(&self.step_prefill) {
            running.prefill_left -= taken;
            if running.prefill_left > 0 {
                continue;
            }
            let last = running.made + 1 >= running.job.output.0;
            out.push(OutputToken {
                job: running.job.id,
                index: running.made,
                at,
                last,
            });
            running.made += 1;
        }
        self.running
            .retain(|running| running.made < running.job.output.0.max(1));
        self.step_prefill.clear();
    }

    fn decode_ms(&self) -> f64 {
        let others = self.running.len().saturating_sub(1) as f64;
        let fullness = others / f64::from(self.options.slots.saturating_sub(1).max(1));
        self.options.token_time.0 as f64 * (1.0 + self.options.batch_slowdown * fullness)
    }
}
