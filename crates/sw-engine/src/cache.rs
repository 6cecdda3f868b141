//! The prompt cache.

use indexmap::IndexSet;

/// Prompt blocks in limited memory; the one used least recently is dropped first.
#[derive(Debug, Clone, Default)]
pub struct BlockCache {
    capacity: usize,
    blocks: IndexSet<u64>,
    evicted: Vec<u64>,
}

impl BlockCache {
    /// A cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// How many of the prompt's first blocks are held.
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.blocks.contains(*block)).count()
    }

    /// Puts a prompt's blocks in, or marks them as used.
    pub fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.blocks.shift_remove(block);
            self.blocks.insert(*block);
        }
        let excess = self.blocks.len().saturating_sub(self.capacity);
        self.evicted.extend(self.blocks.drain(..excess));
    }

    /// Takes the blocks that were dropped since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }
}
