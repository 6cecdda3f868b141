//! Hints about the prompt prefixes that endpoints have cached.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use indexmap::{IndexMap, IndexSet};
use sw_unit::EndpointId;

/// Size in bytes of the blocks that a prompt is hashed in.
pub const BLOCK_LEN: usize = 1_024;
/// Number of blocks at the start of a prompt that are hashed; the rest is ignored.
const MAX_BLOCKS: usize = 64;

/// The hash of a prompt's prefix that ends at a block boundary.
pub type PrefixHash = u64;

/// Returns the hashes of the prefixes of a prompt, one for each whole block, shortest first.
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

/// The prompt prefixes that endpoints probably have cached; the least recently sent are dropped first.
#[derive(Debug, Clone)]
pub struct PrefixHints {
    blocks_per_endpoint: usize,
    cached: IndexMap<EndpointId, IndexSet<PrefixHash>>,
}

impl PrefixHints {
    /// Creates an empty set of hints, bounded by `blocks_per_endpoint` blocks for each endpoint.
    pub fn new(blocks_per_endpoint: usize) -> Self {
        Self {
            blocks_per_endpoint,
            cached: IndexMap::new(),
        }
    }

    /// Records that a prompt was sent to an endpoint.
    pub fn on_dispatch(&mut self, endpoint: &EndpointId, hashes: &[PrefixHash]) {
        let cached = self.cached.entry(endpoint.clone()).or_default();
        for hash in hashes {
            cached.shift_remove(hash);
            cached.insert(*hash);
        }
        let excess = cached.len().saturating_sub(self.blocks_per_endpoint);
        cached.drain(..excess);
    }

    /// Records that an endpoint evicted a block from its cache.
    pub fn on_evicted(&mut self, endpoint: &EndpointId, hash: PrefixHash) {
        if let Some(cached) = self.cached.get_mut(endpoint) {
            cached.shift_remove(&hash);
        }
    }

    /// Records that an endpoint lost its whole cache.
    pub fn on_cleared(&mut self, endpoint: &EndpointId) {
        self.cached.swap_remove(endpoint);
    }

    /// Returns the length in bytes of the prompt's longest prefix that an endpoint probably has cached.
    pub fn cached_len(&self, endpoint: &EndpointId, hashes: &[PrefixHash]) -> usize {
        let Some(cached) = self.cached.get(endpoint) else {
            return 0;
        };
        hashes.iter().take_while(|hash| cached.contains(*hash)).count() * BLOCK_LEN
    }
}
