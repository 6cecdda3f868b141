//! Stall detection: how long to wait for a response before the request is better sent to another endpoint.
//!
//! Only complete events count as progress of a stream: an endpoint that trickles bytes without completing an event has
//! stalled. A slow stream whose events keep coming has not.

use sw_unit::{Millis, Time};

use crate::AdmittedRequest;

/// Timeout for the first event of a response, as a multiple of the route's objective.
const FIRST_EVENT_OBJECTIVE_FACTOR: u64 = 3;
/// Lower bound of that timeout, as a multiple of the expected time.
const FIRST_EVENT_EXPECTED_FACTOR: f64 = 3.0;
/// A stream has stalled if its next event takes this many times the gap objective of its route, or the longest gap so
/// far if that is longer.
const EVENT_GAP_FACTOR: u64 = 3;
/// Extra time before a late stream counts as stalled: if this VM itself was frozen, the events that arrived meanwhile
/// still have to be read.
const LATE_GRACE: Millis = Millis(200);

impl AdmittedRequest {
    /// Returns the timeout for a response, or for the first event of a stream, that is expected after `expected_ms`.
    pub fn first_event_timeout(&self, expected_ms: f64) -> Millis {
        let expected = Millis((expected_ms * FIRST_EVENT_EXPECTED_FACTOR) as u64);
        let objective = Millis(self.route.objective.0 * FIRST_EVENT_OBJECTIVE_FACTOR);
        objective.max(expected)
    }

    /// Returns the timeout for the next event of a stream whose events were at most `longest_gap` apart.
    fn event_timeout(&self, longest_gap: Millis) -> Millis {
        let objective = self.route.gap_objective.unwrap_or(self.route.objective);
        Millis(objective.max(longest_gap).0 * EVENT_GAP_FACTOR)
    }
}

/// Detects that a stream makes no more progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallDetector {
    stalls_at: Time,
    last_event_at: Option<Time>,
    longest_gap: Millis,
    /// Whether the stream was found late and got its extra time.
    is_late: bool,
}

impl StallDetector {
    /// Creates a detector for a stream whose first event must complete by `due`.
    pub fn new(due: Time) -> Self {
        Self {
            stalls_at: due,
            last_event_at: None,
            longest_gap: Millis(0),
            is_late: false,
        }
    }

    /// Records a complete event.
    pub fn on_event(&mut self, admitted: &AdmittedRequest, now: Time) {
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        self.stalls_at = now + admitted.event_timeout(self.longest_gap);
        self.is_late = false;
    }

    /// Returns how much longer to wait for the next event; zero if the stream has stalled.
    ///
    /// A stream that is found late gets a short extra time, counted from this call.
    pub fn event_timeout(&mut self, now: Time) -> Millis {
        if now >= self.stalls_at && !self.is_late {
            self.is_late = true;
            self.stalls_at = now + LATE_GRACE;
        }
        self.stalls_at.since(now)
    }
}
