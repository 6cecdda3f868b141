//! The time for which this VM may give orders.

use sw_unit::{Fence, Millis, Time};

/// The holder's lease as its holder sees it.
///
/// It counts from before the call that granted or renewed the lease, so it ends here no later than in the service. An
/// order is given only while enough of it is left for the order to arrive. A holder that was paused finds on waking
/// that its time is over, because its clock went on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    fence: Fence,
    until: Time,
    margin: Millis,
}

impl LeaseTerm {
    /// A lease of `ttl` that was asked for at `asked_at`; no order is given in its last `margin`.
    pub fn new(fence: Fence, asked_at: Time, ttl: Millis, margin: Millis) -> Self {
        Self {
            fence,
            until: asked_at + ttl,
            margin,
        }
    }

    /// Prolongs it by a renewal that was asked for at `asked_at`.
    pub fn on_renewed(&mut self, asked_at: Time, ttl: Millis) {
        self.until = self.until.max(asked_at + ttl);
    }

    /// The fencing number for an order now; `None` if none may be given.
    pub fn fence(&self, now: Time) -> Option<Fence> {
        (now + self.margin < self.until).then_some(self.fence)
    }

    /// Whether the lease is over.
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.until
    }
}
