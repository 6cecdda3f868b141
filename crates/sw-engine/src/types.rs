//! Requests, output tokens, reports and options of an engine.

use serde::{Deserialize, Serialize};
use sw_unit::{Millis, Rate, Time, Tokens};

/// The id of a request within one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A request to an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// The id.
    pub id: JobId,
    /// Hashes of the prompt's prefixes, one for each whole block, shortest first.
    pub blocks: Vec<u64>,
    /// Prompt length.
    pub prompt: Tokens,
    /// Number of output tokens.
    pub output: Tokens,
    /// Queued requests with a higher priority start first.
    pub priority: u8,
}

/// A generated token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutputToken {
    /// The request.
    pub job: JobId,
    /// Its index in the output, from 0.
    pub index: u64,
    /// When it was generated.
    pub at: Time,
    /// Whether it is the last one of the request.
    pub last: bool,
}

/// The load report of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The incarnation of the engine.
    pub incarnation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Whether the engine accepts no new requests.
    pub leaving: bool,
    /// Age of the numbers in milliseconds.
    pub age_ms: u64,
    /// Loaded models; `None` if the engine has all its models loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loaded: Option<Vec<String>>,
}

/// Cache blocks that an engine evicted.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number from which the next poll continues.
    pub next: u64,
    /// Hashes of the evicted blocks.
    pub evicted: Vec<u64>,
}

/// The capacity of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of running requests.
    pub slots: u32,
    /// Prefill speed, in prompt tokens per second.
    pub prefill_rate: Rate,
    /// Duration of a decode step with one running request.
    pub token_time: Millis,
    /// Relative increase of the decode time when all slots are running instead of one.
    pub batch_slowdown: f64,
    /// Capacity of the cache, in prompt blocks.
    pub cache_blocks: usize,
    /// Tokens per prompt block.
    pub block_tokens: Tokens,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            prefill_rate: Rate(8_000.0),
            token_time: Millis(20),
            batch_slowdown: 1.0,
            cache_blocks: 1_024,
            block_tokens: Tokens(256),
        }
    }
}
