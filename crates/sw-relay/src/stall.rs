//! How long an answer may stay away before the request is better sent elsewhere.
//!
//! A stream is judged by whole events: an endpoint that sends a byte now and then, but no event, has stalled. A slow
//! stream whose events keep coming has not.

use sw_unit::{Millis, Time};

use crate::AdmittedRequest;

/// An answer that does not begin within this many objectives has stalled,
const STALLED_AFTER_OBJECTIVES: u64 = 3;
/// unless more than this share of what was expected is still to come.
const STALLED_AFTER_EXPECTED: f64 = 3.0;
/// A stream whose next event takes this many times the longest pause that its route wants, or that it made before, has
/// stalled.
const STALLED_AFTER_GAPS: u64 = 3;
/// Time for events to be read that came while this VM was held up, before their stream is taken for stalled.
const SECOND_LOOK: Millis = Millis(200);

impl AdmittedRequest {
    /// How long an answer, or its first event, may take that is expected after `expected_ms`.
    pub fn first_event_timeout(&self, expected_ms: f64) -> Millis {
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
pub struct StallDetector {
    stalls_at: Time,
    last_event: Option<Time>,
    longest_gap: Millis,
    /// Whether the stream was seen to be late, and is looked at once more.
    is_late: bool,
}

impl StallDetector {
    /// Watches a stream whose first event is to come until `begins_by`.
    pub fn new(begins_by: Time) -> Self {
        Self {
            stalls_at: begins_by,
            last_event: None,
            longest_gap: Millis(0),
            is_late: false,
        }
    }

    /// Records that a whole event came.
    pub fn on_event(&mut self, admitted: &AdmittedRequest, now: Time) {
        if let Some(last) = self.last_event.replace(now) {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        self.stalls_at = now + admitted.event_patience(self.longest_gap);
        self.is_late = false;
    }

    /// How long the next event may take from now; nothing if the stream has stalled.
    ///
    /// A stream that is found to be late is given a little longer, from when that is found.
    pub fn event_timeout(&mut self, now: Time) -> Millis {
        if now >= self.stalls_at && !self.is_late {
            self.is_late = true;
            self.stalls_at = now + SECOND_LOOK;
        }
        self.stalls_at.since(now)
    }
}
