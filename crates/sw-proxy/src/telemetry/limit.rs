//! Rate limits and rejection limits of endpoints.

use metrics::{counter, gauge};
use spdlog::prelude::*;
use sw_relay::{AdmittedRequest, RateLimitStatement, RejectionLimitStatement};
use sw_unit::{EndpointId, Millis};

use crate::state::ProxyState;

/// Logs that the limits of an endpoint admit a request only after the time `wait`.
pub(crate) fn log_rate_limited(admitted: &AdmittedRequest, endpoint: &EndpointId, wait: Millis) {
    let (id, endpoint, wait_ms) = (&*admitted.id, endpoint.as_str(), wait.0);
    info!("rate_limited", kv: { id, endpoint, wait_ms });
    counter!("shallotwing_rate_limited_total").increment(1);
}

/// Logs that a request is refused while all endpoints of its service are brittle and have no room.
pub(crate) fn log_without_room<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) {
    let urgent = admitted.is_urgent();
    let limit = state
        .relay
        .borrow()
        .limit_without_room(&admitted.service, urgent, state.now());
    let Some(limit) = limit else {
        return;
    };
    let (id, service, per_second) = (&*admitted.id, admitted.service.as_str(), limit.0);
    info!("without_room", kv: { id, service, per_second });
    counter!("shallotwing_without_room_total").increment(1);
}

/// Logs the changes of the rate limits that this VM knows; `id` is the request whose response changed them, or empty.
pub(crate) fn log_rate_limit_changes<D, F>(state: &ProxyState<D, F>, id: &str) {
    let mut relay = state.relay.borrow_mut();
    let changes = relay.take_rate_limit_changes();
    if changes.is_empty() {
        return;
    }
    gauge!("shallotwing_rate_limited_endpoints").set(relay.limited_endpoints() as f64);
    for change in changes {
        let (endpoint, source, age_ms) = (change.endpoint.as_str(), <&str>::from(change.source), change.age.0);
        match change.statement {
            RateLimitStatement::Named(rate) => {
                let per_second = rate.0;
                info!("rate_limit_named", kv: { id, endpoint, per_second, source, age_ms });
            }
            RateLimitStatement::NotNamed => info!("rate_limit_ended", kv: { id, endpoint, source, age_ms }),
            RateLimitStatement::Malformed => warn!("rate_limit_malformed", kv: { id, endpoint }),
        }
    }
}

/// Logs changes of the rejection limits that endpoints name, learned from a response to the request `id`.
pub(crate) fn log_rejection_limit_changes<D, F>(state: &ProxyState<D, F>, id: &str) {
    let mut relay = state.relay.borrow_mut();
    let changes = relay.take_rejection_limit_changes();
    if changes.is_empty() {
        return;
    }
    gauge!("shallotwing_brittle_endpoints").set(relay.brittle_endpoints() as f64);
    for change in changes {
        let (endpoint, source, age_ms) = (change.endpoint.as_str(), <&str>::from(change.source), change.age.0);
        match change.statement {
            RejectionLimitStatement::Named(limit) => {
                let per_second = limit.0;
                info!("rejection_limit_named", kv: { id, endpoint, per_second, source, age_ms });
            }
            RejectionLimitStatement::NotNamed => {
                info!("rejection_limit_ended", kv: { id, endpoint, source, age_ms });
            }
            RejectionLimitStatement::Malformed => warn!("rejection_limit_malformed", kv: { id, endpoint }),
        }
    }
}
