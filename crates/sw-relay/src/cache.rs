//! Model of the prompt cache of an engine.
//!
//! The model is derived from the prompts that this VM dispatched. A part is cached together with the chain of parts in
//! front of it, and the least recently used parts are evicted when the memory is full.

use std::hash::{Hash as _, Hasher as _};

use indexmap::IndexMap;
use sw_unit::{Time, Tokens};

use crate::{Prompt, PromptPart};

/// Share of an engine's memory that is assumed to hold cached parts.
const CACHE_SHARE: f64 = 0.5;
/// Maximum number of parts tracked per engine.
const MAX_PARTS: usize = 512;

#[derive(Debug, Clone, Copy)]
struct Held {
    len: Tokens,
    used: Time,
}

/// The prompt parts that an engine probably has in its cache.
#[derive(Debug, Clone, Default)]
pub struct PromptCache {
    held: IndexMap<u64, Held>,
    total: u64,
}

impl PromptCache {
    /// Returns the number of tokens at the start of `prompt` that are probably cached.
    pub fn cached_tokens(&self, prompt: &Prompt) -> Tokens {
        let chain = chain(&prompt.parts);
        let held = chain.take_while(|(key, _)| self.held.contains_key(key));
        Tokens(held.map(|(_, part)| part.len.0).sum())
    }

    /// Records that an engine with memory for `memory` tokens processes `prompt`.
    pub fn insert(&mut self, prompt: &Prompt, memory: Tokens, now: Time) {
        for (key, part) in chain(&prompt.parts) {
            let held = Held {
                len: part.len,
                used: now,
            };
            let before = self.held.insert(key, held);
            self.total += part.len.0;
            self.total -= before.map_or(0, |before| before.len.0);
        }
        let room = (memory.0 as f64 * CACHE_SHARE) as u64;
        while self.total > room || self.held.len() > MAX_PARTS {
            self.evict();
        }
    }

    /// Removes all parts after a restart of the engine.
    pub fn clear(&mut self) {
        self.held.clear();
        self.total = 0;
    }

    fn evict(&mut self) {
        let oldest = self.held.iter().min_by_key(|(_, held)| held.used).map(|(key, _)| *key);
        if let Some(held) = oldest.and_then(|key| self.held.swap_remove(&key)) {
            self.total -= held.len.0;
        } else {
            self.total = 0;
        }
    }
}

/// Returns the parts with their keys; each key depends on all parts in front of it.
fn chain(parts: &[PromptPart]) -> impl Iterator<Item = (u64, &PromptPart)> {
    parts.iter().scan(0, |key, part| {
        *key = link(*key, part.id);
        Some((*key, part))
    })
}

/// Returns the key of the part `id` that follows the chain with the key `prefix`.
fn link(before: u64, id: u64) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    (before, id).hash(&mut hasher);
    hasher.finish()
}

/// Returns the key of the parts that other requests may share, or `None` if there are none.
pub(crate) fn shared_key(prompt: &Prompt) -> Option<u64> {
    let (_, shared) = prompt.parts.split_last()?;
    chain(shared).last().map(|(key, _)| key)
}
