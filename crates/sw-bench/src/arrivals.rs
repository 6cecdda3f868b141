//! Open-loop generator of callers' requests.

use sw_unit::{Rate, Time};

use crate::{ClassProfile, Deployment, Scenario};

/// Share of requests in a stampede that have the same prompt prefix.
const STAMPEDE_SHARE: f64 = 0.5;
/// Tokens per prompt block.
const BLOCK_TOKENS: u64 = 256;

/// A prompt, as hashes of its prefixes.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Hashes of the prefixes, one for each whole block.
    pub blocks: Vec<u64>,
    /// Length in tokens.
    pub tokens: u64,
}

/// A request that a caller sends.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When the caller sends it.
    pub at: Time,
    /// Index of its class in [`Deployment::classes`].
    pub class: usize,
    /// Its prompt.
    pub prompt: Prompt,
}

/// An endless sequence of requests with exponentially distributed gaps.
#[derive(Debug)]
pub struct Arrivals {
    rng: fastrand::Rng,
    classes: &'static [ClassProfile],
    rate: Rate,
    stampede: bool,
    clock_ms: f64,
    /// Number that makes the unique part of the latest prompt unique.
    unique: u64,
}

impl Arrivals {
    /// Returns the requests of one domain's callers, at `load` times the capacity of the domain.
    pub fn new(deployment: Deployment, scenario: Scenario, load: f64, seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            classes: deployment.classes(),
            rate: Rate(deployment.capacity().0 * load),
            stampede: scenario == Scenario::Stampede,
            clock_ms: 0.0,
            unique: seed << 32,
        }
    }

    /// Returns the next request.
    pub fn next_arrival(&mut self) -> Arrival {
        let gap_s = -(1.0 - self.rng.f64()).ln() / self.rate.0;
        self.clock_ms += gap_s * 1_000.0;
        let class = self.pick_class();
        let profile = &self.classes[class];
        let group = if self.stampede && self.rng.f64() < STAMPEDE_SHARE {
            0
        } else {
            self.rng.u64(..profile.prefix_groups)
        };
        let prompt = self.prompt(class, group);
        Arrival {
            at: Time(self.clock_ms as u64),
            class,
            prompt,
        }
    }

    fn pick_class(&mut self) -> usize {
        let mut remaining = self.rng.f64();
        for (index, class) in self.classes.iter().enumerate() {
            remaining -= class.share;
            if remaining < 0.0 {
                return index;
            }
        }
        self.classes.len() - 1
    }

    fn prompt(&mut self, class: usize, group: u64) -> Prompt {
        let profile = &self.classes[class];
        let tokens = profile.shared.0 + profile.unique.0;
        let shared_blocks = profile.shared.0 / BLOCK_TOKENS;
        let unique_blocks = tokens / BLOCK_TOKENS - shared_blocks;
        self.unique += 1;
        let shared = (0..shared_blocks).map(|block| ((class as u64) << 56) | (group << 32) | block);
        let unique = self.unique;
        let unique_part = (0..unique_blocks).map(|block| (1 << 63) | (unique << 8) | block);
        Prompt {
            blocks: shared.chain(unique_part).collect(),
            tokens,
        }
    }
}
