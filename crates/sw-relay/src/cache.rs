//! Model of the prompt cache of an engine.
//!
//! The model is derived from the prompts that this VM dispatched, or granted as the coordinator. A part is cached
//! together with the chain of parts in front of it, and the least recently used parts are evicted when the memory is
//! full.

use std::hash::{Hash as _, Hasher as _};

use indexmap::IndexMap;
use sw_unit::{PartId, Time, Tokens};

use crate::{Prompt, PromptPart};

/// Share of an engine's memory that is assumed to hold cached parts.
const CACHE_SHARE: f64 = 0.5;
/// Maximum number of parts tracked per engine.
const MAX_PARTS: usize = 512;

#[derive(Debug, Clone, Copy)]
struct CachedEntry {
    len: Tokens,
    last_used_at: Time,
}

/// The prompt parts that an engine probably has in its cache.
#[derive(Debug, Clone, Default)]
pub struct PromptCache {
    entries: IndexMap<u64, CachedEntry>,
    /// Sum of the lengths, which callers declare.
    total_len: u128,
}

impl PromptCache {
    /// Returns the number of tokens at the start of `prompt` that are probably cached.
    pub fn cached_tokens(&self, prompt: &Prompt) -> Tokens {
        let chain = prefix_keys(&prompt.parts);
        let cached = chain.take_while(|(key, _)| self.entries.contains_key(key));
        cached.fold(Tokens(0), |total, (_, part)| total + part.len)
    }

    /// Records that an engine with memory for `memory` tokens processes `prompt`.
    pub fn insert(&mut self, prompt: &Prompt, memory: Tokens, now: Time) {
        for (key, part) in prefix_keys(&prompt.parts) {
            let entry = CachedEntry {
                len: part.len,
                last_used_at: now,
            };
            let replaced = self.entries.insert(key, entry);
            self.total_len += u128::from(part.len.0);
            self.total_len -= replaced.map_or(0, |replaced| u128::from(replaced.len.0));
        }
        let capacity = (memory.0 as f64 * CACHE_SHARE) as u128;
        while self.total_len > capacity || self.entries.len() > MAX_PARTS {
            self.evict();
        }
    }

    /// Removes all parts after a restart of the engine.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.total_len = 0;
    }

    fn evict(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_used_at)
            .map(|(key, _)| *key);
        if let Some(entry) = oldest.and_then(|key| self.entries.swap_remove(&key)) {
            self.total_len -= u128::from(entry.len.0);
        } else {
            self.total_len = 0;
        }
    }
}

/// Returns the parts with their keys; each key depends on all parts in front of it.
fn prefix_keys(parts: &[PromptPart]) -> impl Iterator<Item = (u64, &PromptPart)> {
    parts.iter().scan(0, |key, part| {
        *key = extend_key(*key, part.id);
        Some((*key, part))
    })
}

/// Returns the key of the part `id` that follows the chain with the key `prefix`.
fn extend_key(prefix: u64, id: PartId) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    (prefix, id.0).hash(&mut hasher);
    hasher.finish()
}

/// Returns the key of the parts that other requests may share, or `None` if there are none.
pub(crate) fn shared_prefix_key(prompt: &Prompt) -> Option<u64> {
    let (_, shared) = prompt.parts.split_last()?;
    prefix_keys(shared).last().map(|(key, _)| key)
}
