//! Requests, tokens and reports.

use serde::{Deserialize, Serialize};
use sw_unit::{Millis, Rate, Time, Tokens};

/// Tells requests of one engine apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A request to an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Hashes of the prompt's beginnings, one for each whole block.
    pub blocks: Vec<u64>,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Length of the answer.
    pub output: Tokens,
    /// Higher goes first.
    pub priority: u8,
}

/// A token that was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutputToken {
    /// The request.
    pub job: JobId,
    /// Its place in the answer, from 0.
    pub index: u64,
    /// When it was made.
    pub at: Time,
    /// Whether it is the last one.
    pub last: bool,
}

/// What an engine reports of its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Its life.
    pub incarnation: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How old the figures are.
    pub age_ms: u64,
    /// Models that are loaded; not given if all are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loaded: Option<Vec<String>>,
}

/// Cache blocks that an engine dropped.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Where to go on reading.
    pub next: u64,
    /// Hashes of the dropped blocks.
    pub evicted: Vec<u64>,
}

/// The capacity of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Requests that run at a time.
    pub slots: u32,
    /// Prompt tokens a second.
    pub prefill_rate: Rate,
    /// Time of a decode step with one running request.
    pub token_time: Millis,
    /// Growth of the decode time from one running request to all slots.
    pub batch_slowdown: f64,
    /// Prompt blocks that the cache holds.
    pub cache_blocks: usize,
    /// Tokens in a block.
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
