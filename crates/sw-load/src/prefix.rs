//! Hints about prompts that an endpoint's cache holds.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use indexmap::{IndexMap, IndexSet};
use sw_unit::EndpointId;

/// Bytes of a prompt that are hashed together.
pub const BLOCK_LEN: usize = 1_024;
/// Blocks of a prompt that are hashed at most.
const MAX_BLOCKS: usize = 64;

/// The hash of a prompt's beginning, up to the end of a block.
pub type PrefixHash = u64;

/// Hashes of ever longer beginnings of a prompt, one for each whole block.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<PrefixHash> {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let mut last = 0;
    let blocks = prompt.chunks_exact(BLOCK_LEN).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            last = hasher.hash_one((last, block));
            last
        })
        .collect()
}

/// Prompts that endpoints are thought to hold, the oldest dropped first.
#[derive(Debug, Clone)]
pub struct PrefixHints {
    blocks_per_endpoint: usize,
    held: IndexMap<EndpointId, IndexSet<PrefixHash>>,
}

impl PrefixHints {
    /// Keeps up to `blocks_per_endpoint` blocks for each endpoint.
    pub fn new(blocks_per_endpoint: usize) -> Self {
        Self {
            blocks_per_endpoint,
            held: IndexMap::new(),
        }
    }

    /// Records that a prompt was sent to an endpoint.
    pub fn on_dispatch(&mut self, endpoint: &EndpointId, hashes: &[PrefixHash]) {
        let held = self.held.entry(endpoint.clone()).or_default();
        for hash in hashes {
            held.shift_remove(hash);
            held.insert(*hash);
        }
        let excess = held.len().saturating_sub(self.blocks_per_endpoint);
        held.drain(..excess);
    }

    /// Records that an endpoint dropped a block.
    pub fn on_evicted(&mut self, endpoint: &EndpointId, hash: PrefixHash) {
        if let Some(held) = self.held.get_mut(endpoint) {
            held.shift_remove(&hash);
        }
    }

    /// Records that an endpoint lost its whole cache.
    pub fn on_cleared(&mut self, endpoint: &EndpointId) {
        self.held.swap_remove(endpoint);
    }

    /// Bytes of the prompt's beginning that an endpoint is thought to hold.
    pub fn cached_len(&self, endpoint: &EndpointId, hashes: &[PrefixHash]) -> usize {
        let Some(held) = self.held.get(endpoint) else {
            return 0;
        };
        hashes.iter().take_while(|hash| held.contains(*hash)).count() * BLOCK_LEN
    }
}
