//! Until when a request is worth admitting.
//!
//! The limits are on the expected time to the first event or the response. A request that will be late is admitted only
//! while its service is not contended, because what a late response is worth is not known, and the time that it takes
//! could serve others in time. A request that was already started is worth completing even if it is late.

use sw_unit::Time;

use crate::{AdmittedRequest, RequestClass};

/// Share of the objective within which the first event of a stream must be expected. The rest is a margin for engines
/// that take slightly longer.
const FIRST_EVENT_SHARE: f64 = 0.8;
/// Share of the objective up to which the request's own prefill counts on admission; the rest of a long prefill is
/// added to the limit.
const COUNTED_PREFILL_SHARE: f64 = 0.6;
/// The longest expected response time for which a reservation at a plain service is granted, as a multiple of the
/// response time without a queue. A longer queue adds no throughput, and endpoints reject what exceeds their queue.
const MAX_RESPONSE_FACTOR: f64 = 2.5;
/// Lower bound of that longest response time, in milliseconds, because reservations are not released at the exact
/// moment.
const SHORT_RESPONSE_MS: f64 = 50.0;

/// Returns the limit in milliseconds on the expected time to the first event of a new request.
///
/// A stream that starts after its objective delays those queued after it, and its caller may close the connection
/// before it starts.
pub(crate) fn admission_limit(admitted: &AdmittedRequest, uncached_ms: f64, now: Time) -> f64 {
    let remaining_ms = admitted.remaining(now).0 as f64;
    if !admitted.route.kind.is_streaming() {
        return remaining_ms;
    }
    let objective = admitted.route.objective.0 as f64 * FIRST_EVENT_SHARE;
    let uncounted_ms = (uncached_ms - objective * COUNTED_PREFILL_SHARE).max(0.0);
    remaining_ms.min(objective + uncounted_ms)
}

/// Returns the longest expected response time for which a reservation is granted at a plain service that takes
/// `service_ms` without a queue.
pub(crate) fn max_response_ms(service_ms: f64) -> f64 {
    (service_ms * MAX_RESPONSE_FACTOR).max(SHORT_RESPONSE_MS)
}

/// Returns the longest expected wait for which a request of a class is on time; `limit_ms` if its objective is not known.
pub(crate) fn on_time_ms(class: &RequestClass, limit_ms: f64) -> f64 {
    class
        .objective
        .map_or(limit_ms, |objective| objective.0 as f64 * FIRST_EVENT_SHARE)
}

impl AdmittedRequest {
    /// Returns what the request counts as when capacity is shared. One that was already started has no objective left.
    pub(crate) fn class(&self, is_started: bool, now: Time) -> RequestClass {
        let late_at = self.received_at + self.route.objective;
        RequestClass {
            priority: self.priority,
            workspace: self.workspace.as_ref().map(|workspace| workspace.name.clone()),
            route: self.route.name.as_str().into(),
            objective: (!is_started).then(|| late_at.since(now)),
        }
    }
}
