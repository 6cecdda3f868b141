//! Cache of prompt blocks.

use indexmap::IndexSet;

/// A cache of prompt blocks with limited capacity, which evicts the least recently used block first.
#[derive(Debug, Clone, Default)]
pub struct BlockCache {
    capacity: usize,
    blocks: IndexSet<u64>,
    evicted: Vec<u64>,
}

impl BlockCache {
    /// Returns an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns how many blocks at the start of the prompt are cached without a gap.
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.blocks.contains(*block)).count()
    }

    /// Inserts the blocks of a prompt, or marks them as used, and evicts what exceeds the capacity.
    pub fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.blocks.shift_remove(block);
            self.blocks.insert(*block);
        }
        let excess = self.blocks.len().saturating_sub(self.capacity);
        self.evicted.extend(self.blocks.drain(..excess));
    }

    /// Returns the blocks that were evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }
}
