//! A model of an inference engine with continuous batching, accurate enough to compare routing policies.
//!
//! [`Engine`] has a manual clock: it accepts requests and, when advanced, returns the tokens that it generated. The
//! stand-in engine advances it by the real clock, the policy bench by a simulated one. Its assumptions, each covered
//! by a test:
//!
//! - The engine works in steps. A step prefills prompts of newly admitted requests, and generates one token for each
//!   running request whose prefill is done.
//! - A step lasts for the decode time, which grows linearly with the number of running requests, plus the time to
//!   prefill prompt tokens that are not cached, up to a maximum per step.
//! - At most `slots` requests run. The others are queued, higher priority first, then in order of arrival.
//! - The cache holds a limited number of prompt blocks and evicts the least recently used one.
//! - A cancelled request generates nothing more. Its slot is free from the next step on; its prompt stays cached.

mod cache;
mod engine;
mod types;

pub use cache::BlockCache;
pub use engine::Engine;
pub use types::{CacheEvents, Job, JobId, LoadReport, Options, OutputToken};
