//! Keys of the store to which a VM writes the origins of streams.

/// Number of keys of a region that hold origins; at two writes a second they span the life of a stream.
const ORIGIN_SLOTS: u64 = 64;

/// The keys of a region that hold origins, which are written in turn.
#[derive(Debug, Clone, Copy, Default)]
pub struct OriginSlots {
    last_period: u64,
}

impl OriginSlots {
    /// Returns the number of the key for a write in `period`, a period of the wall clock. It follows the clock, so that a VM
    /// that takes over as the writer continues after the previous writer's keys.
    ///
    /// A second write in one period uses the next number, so that it does not overwrite the first.
    pub fn next(&mut self, period: u64) -> u64 {
        self.last_period = period.max(self.last_period + 1);
        self.last_period % ORIGIN_SLOTS
    }
}
