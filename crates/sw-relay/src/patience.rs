//! How long an answer may stay away before the request is better sent elsewhere.
//!
//! A stream is judged by whole events: an endpoint that sends a byte now and then, but no event, has stalled. A slow
//! stream whose events keep coming has not.

use sw_unit::{Millis, Time};

use crate::Admitted;

/// An answer that does not begin within this many objectives has stalled,
const STALLED_AFTER_OBJECTIVES: u64 = 3;
/// unless more than this share of what was expected is still to come.
const STALLED_AFTER_EXPECTED: f64 = 3.0;
/// A stream whose next event takes this many times the longest pause that its route wants, or that it made before, has
/// stalled.
const STALLED_AFTER_GAPS: u64 = 3;

impl Admitted {
    /// How long an answer, or its first event, may take that is expected after `expected_ms`.
    pub fn begin_patience(&self, expected_ms: f64) -> Millis {
        let expected = Millis((expected_ms * STALLED_AFTER_EXPECTED) as u64);
        let objective = Millis(self.route.objective.0 * STALLED_AFTER_OBJECTIVES);
        objective.max(expected)
    }

    /// How long the next event may take of a stream whose events were at most `longest_gap` apart.
    fn event_patience(&self, longest_gap: Millis) -> Millis {
        let wanted = self.route.gap_objective.unwrap_or(self.route.objective);
        Millis(wanted.max(longest_gap).0 * STALLED_AFTER_GAPS)
    }
}

/// Watches whether a stream goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallWatch {
    stalls_at: Time,
    last_event: Option<Time>,
    longest_gap: Millis,
}

impl StallWatch {
    /// Watches a stream whose first event is to come until `begins_by`.
    pub fn new(begins_by: Time) -> Self {
        Self {
            stalls_at: begins_by,
            last_event: None,
            longest_gap: Millis(0),
        }
    }

    /// Records that a whole event came.
    pub fn event(&mut self, admitted: &Admitted, now: Time) {
        if let Some(last) = self.last_event.replace(now) {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        self.stalls_at = now + admitted.event_patience(self.longest_gap);
    }

    /// When the stream has stalled, if no event comes before.
    pub fn stalls_at(&self) -> Time {
        self.stalls_at
    }
}
