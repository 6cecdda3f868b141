//! The lease on giving orders, as its holder sees it.

use sw_unit::{FencingToken, Millis, Time};

/// The term of the lease on giving orders, by the holder's clock.
///
/// The term counts from before the call that granted or renewed the lease, so it ends here no later than in the
/// service. An order is given only while enough of the term remains for the order to arrive. A holder that was paused
/// finds the lease expired when it resumes, because its clock kept running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    fence: FencingToken,
    expires_at: Time,
    margin: Millis,
}

impl LeaseTerm {
    /// Creates the term of a lease of `ttl` that was requested at `requested_at`.
    ///
    /// No order is given in its last `margin`.
    pub fn new(fence: FencingToken, requested_at: Time, ttl: Millis, margin: Millis) -> Self {
        Self {
            fence,
            expires_at: requested_at + ttl,
            margin,
        }
    }

    /// Extends the term after a renewal that was requested at `requested_at`.
    pub fn on_renewed(&mut self, requested_at: Time, ttl: Millis) {
        self.expires_at = self.expires_at.max(requested_at + ttl);
    }

    /// Returns the fencing token for an order now; `None` if no order may be given.
    pub fn fence(&self, now: Time) -> Option<FencingToken> {
        (now + self.margin < self.expires_at).then_some(self.fence)
    }

    /// Whether the lease has expired.
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.expires_at
    }
}
