//! Requests of callers, open loop.

use sw_unit::{Rate, Time};

use crate::{ClassProfile, Deployment, Scenario};

/// Share of requests with the one beginning of a stampede.
const STAMPEDE_SHARE: f64 = 0.5;
/// Tokens in a block of a prompt.
const BLOCK_TOKENS: u64 = 256;

/// A prompt, as hashes of its beginnings.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Hashes, one for each whole block.
    pub blocks: Vec<u64>,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A request that a caller sends.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at: Time,
    /// The index of its class.
    pub class: usize,
    /// Its prompt.
    pub prompt: Prompt,
}

/// An endless stream of requests with exponential gaps.
#[derive(Debug)]
pub struct Arrivals {
    rng: fastrand::Rng,
    classes: &'static [ClassProfile],
    rate: Rate,
    stampede: bool,
    clock: f64,
    unique: u64,
}

impl Arrivals {
    /// Requests of one domain's callers at `load` times its capacity.
    pub fn new(deployment: Deployment, scenario: Scenario, load: f64, seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            classes: deployment.classes(),
            rate: Rate(deployment.capacity().0 * load),
            stampede: scenario == Scenario::Stampede,
            clock: 0.0,
            unique: seed << 32,
        }
    }

    /// Makes the next request.
    pub fn next_arrival(&mut self) -> Arrival {
        let gap_s = -(1.0 - self.rng.f64()).ln() / self.rate.0;
        self.clock += gap_s * 1_000.0;
        let class = self.pick_class();
        let plan = &self.classes[class];
        let group = if self.stampede && self.rng.f64() < STAMPEDE_SHARE {
            0
        } else {
            self.rng.u64(..plan.prefix_groups)
        };
        let prompt = self.prompt(class, group);
        Arrival {
            at: Time(self.clock as u64),
            class,
            prompt,
        }
    }

    fn pick_class(&mut self) -> usize {
        let mut left = self.rng.f64();
        for (index, class) in self.classes.iter().enumerate() {
            left -= class.share;
            if left < 0.0 {
                return index;
            }
        }
        self.classes.len() - 1
    }

    fn prompt(&mut self, class: usize, group: u64) -> Prompt {
        let plan = &self.classes[class];
        let tokens = plan.shared.0 + plan.unique.0;
        let shared_blocks = plan.shared.0 / BLOCK_TOKENS;
        let own_blocks = tokens / BLOCK_TOKENS - shared_blocks;
        self.unique += 1;
        let shared = (0..shared_blocks).map(|block| ((class as u64) << 56) | (group << 32) | block);
        let unique = self.unique;
        let own = (0..own_blocks).map(|block| (1 << 63) | (unique << 8) | block);
        Prompt {
            blocks: shared.chain(own).collect(),
            tokens,
        }
    }
}
