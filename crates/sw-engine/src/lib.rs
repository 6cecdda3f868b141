//! A model of an inference engine that batches continuously, good enough to decide on.
//!
//! [`Engine`] is driven by a manual clock: it takes requests and, when advanced, returns the tokens that it made. The
//! stand-in engine drives it by the real clock, the policy bench by a simulated one. Its assumptions, each held by a
//! test:
//!
//! - Work goes in steps. A step takes in prompts of newly admitted requests and makes one token for each running one.
//! - A step takes the decode time, which grows linearly with the number of running requests, plus the time to take in
//!   the prompt tokens that are not cached, up to a bounded number a step.
//! - At most `slots` requests run; the others wait, higher priority first, then in order of arrival.
//! - The cache holds a bounded number of prompt blocks and drops the one that was used least recently.
//! - A cancelled request leaves at the next step; its prompt stays cached.

mod cache;
mod engine;
mod types;

pub use cache::BlockCache;
pub use engine::Engine;
pub use types::{CacheEvents, Job, JobId, LoadReport, Options, OutputToken};
