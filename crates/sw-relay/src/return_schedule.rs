//! When refused callers should return.
//!
//! Refused callers that return while there is still no room are refused again and cost as much as new ones. So each gets
//! the next free slot of a schedule. The slots are as far apart as the grants of the last seconds, less the part that new
//! requests take. A caller whose slot comes too late for it is told so, and takes no slot.

use sw_unit::{Millis, Time};

use crate::fair_share::RecentSum;

/// Share of the grants that returning callers are expected to get; the rest go to new requests.
const RETURN_SHARE: f64 = 0.25;
/// Number of recent grants below which their rate is too uncertain to be used.
const MIN_GRANTS: f64 = 8.0;
/// Time since the first grant after which the rate of grants is known.
const MIN_OBSERVED: Millis = Millis(1_000);
/// Longest time that a caller is told.
const MAX_RETURN: Millis = Millis(30_000);

/// Slots for the return of refused callers.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    grants: RecentSum,
    /// First of the grants that are not separated by a long pause.
    first_granted_at: Option<Time>,
    /// When the next free slot begins, in milliseconds.
    next_ms: f64,
}

impl ReturnSchedule {
    /// Records that a request found room.
    pub fn on_granted(&mut self, now: Time) {
        if self.grants.at(now) < 1.0 {
            self.first_granted_at = Some(now);
        }
        self.grants.add(1.0, now);
    }

    /// Returns whether it is known how fast room frees.
    pub fn is_rate_known(&self, now: Time) -> bool {
        let observed = self.first_granted_at.map(|at| now.since(at));
        observed.is_some_and(|observed| observed >= MIN_OBSERVED) && self.grants.at(now) >= MIN_GRANTS
    }

    /// Takes a slot for a caller that can return within `longest`, and returns when it should; `None` if it is
    /// not known how fast room frees.
    ///
    /// The slot begins after `earliest` at the earliest. `random` in 0..1 spreads the returns over it.
    pub fn book(&mut self, earliest: Millis, longest: Millis, random: f64, now: Time) -> Option<Millis> {
        if !self.is_rate_known(now) {
            return None;
        }
        let grants = self.grants.at(now);
        let now_ms = now.0 as f64;
        let slot_ms = RecentSum::SPAN.0 as f64 / (grants * RETURN_SHARE);
        let free_ms = self.next_ms.max(now_ms) - now_ms;
        let after_ms = free_ms.max(earliest.0 as f64) + slot_ms * random;
        let after = Millis(after_ms as u64).min(MAX_RETURN);
        if after <= longest {
            self.next_ms = now_ms + free_ms + slot_ms;
        }
        Some(after)
    }
}
