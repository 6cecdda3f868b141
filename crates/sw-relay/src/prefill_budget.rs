//! The share of an engine's time that goes to reading prompts.
//!
//! While an engine reads, its answers get few tokens; one that reads all the time ends no long answer before the caller
//! leaves. So what is sent there counts for longer than reading it takes, and an engine that has read for more than its
//! share counts as busy until it has made up for that. A short burst is read at once.

use sw_unit::Time;

/// Share of an engine's time in which it may read.
const READ_SHARE: f64 = 0.8;
/// Time of reading, stretched by the share, that an idle engine may begin at once, in milliseconds.
const BURST_MS: f64 = 500.0;

/// How much an engine has read lately.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillBudget {
    /// Reading that was begun, stretched by the share, less the time since.
    level_ms: f64,
    at: Time,
}

impl PrefillBudget {
    /// Records a prompt that takes `prefill_ms` to read.
    pub(crate) fn begun(&mut self, prefill_ms: f64, now: Time) {
        self.level_ms = self.level_ms(now) + prefill_ms / READ_SHARE;
        self.at = now;
    }

    /// Takes back a prompt that was not read.
    pub(crate) fn given_up(&mut self, prefill_ms: f64) {
        self.level_ms -= prefill_ms / READ_SHARE;
    }

    /// Milliseconds for which the engine should read nothing more.
    pub(crate) fn excess_ms(&self, now: Time) -> f64 {
        (self.level_ms(now) - BURST_MS).max(0.0)
    }

    fn level_ms(&self, now: Time) -> f64 {
        (self.level_ms - now.since(self.at).0 as f64).max(0.0)
    }
}
