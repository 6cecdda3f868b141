//! Decisions of the coordinators of endpoints.

use metrics::{counter, gauge};
use spdlog::prelude::*;
use sw_error::Refusal;
use sw_relay::{AdmittedRequest, AttemptHistory, DeclineReason, QueueEstimate, Reservation, ServiceId};
use sw_unit::Time;

use super::workspace_name;
use crate::state::ProxyState;

/// Logs that the coordinator of an endpoint declined a reservation, and why.
pub(crate) fn log_declined(
    admitted: &AdmittedRequest,
    reservation: &Reservation,
    estimate: QueueEstimate,
    reason: DeclineReason,
) {
    let (id, endpoint) = (&*admitted.id, reservation.endpoint.as_str());
    let (limit_ms, expected_ms) = (reservation.limit_ms as u64, estimate.expected_ms as u64);
    let reason: &'static str = reason.into();
    info!("declined", kv: { id, endpoint, limit_ms, expected_ms, reason });
    counter!("shallotwing_declined_total").increment(1);
    counter!("shallotwing_declines_total", "reason" => reason).increment(1);
}

/// Logs that this VM, as the coordinator of an engine, declined a reservation because of the streams that run there.
pub(crate) fn log_declined_for_pauses(reservation: &Reservation, estimate: QueueEstimate) {
    let (endpoint, tokens) = (reservation.endpoint.as_str(), reservation.prompt.input.0);
    let (late_streams, backlog_ms) = (estimate.late_streams, estimate.backlog_ms as u64);
    info!("declined_for_pauses", kv: { endpoint, tokens, late_streams, backlog_ms });
    counter!("shallotwing_declined_for_pauses_total").increment(1);
}

/// Logs services that became contended, or are not any more, at endpoints that this VM coordinates.
pub(crate) fn log_contention_changes<D, F>(state: &ProxyState<D, F>) {
    let now = state.now();
    let mut relay = state.relay.borrow_mut();
    for (service, contended) in relay.take_contention_changes(now) {
        let service = service.as_str();
        info!("contention", kv: { service, contended });
    }
    gauge!("shallotwing_contended_services").set(relay.contended_services(now) as f64);
}

/// Logs the services for which the number of engines set apart for prompts with a long prefill has changed.
pub(crate) fn log_isolation_changes(changes: &[(ServiceId, usize)]) {
    for (service, engines) in changes {
        let (service, engines) = (service.as_str(), *engines as u64);
        info!("engines_set_apart", kv: { service, engines });
        gauge!("shallotwing_engines_set_apart", "service" => service.to_owned()).set(engines as f64);
    }
}

/// Logs that a request is sent after coordinators kept slots for others.
pub(crate) fn log_served_after_others(admitted: &AdmittedRequest, history: &AttemptHistory, now: Time) {
    if history.share_declines() == 0 {
        return;
    }
    let (id, priority) = (&*admitted.id, admitted.priority);
    let workspace = workspace_name(admitted);
    let (share_declines, age_ms) = (history.share_declines(), now.since(admitted.received_at).0);
    info!("served_after_others", kv: { id, workspace, priority, share_declines, age_ms });
    counter!("shallotwing_served_after_others_total").increment(1);
}

/// Logs that a request is refused after coordinators declined it, and why.
pub(crate) fn log_refused_after_declines(admitted: &AdmittedRequest, history: &AttemptHistory, refusal: Refusal) {
    if history.declines() == 0 {
        return;
    }
    let reason: &'static str = if history.share_declines() > 0 {
        DeclineReason::Share.into()
    } else {
        DeclineReason::Queue.into()
    };
    let (id, priority) = (&*admitted.id, admitted.priority);
    let workspace = workspace_name(admitted);
    let (declines, share_declines) = (history.declines(), history.share_declines());
    let retry_after_ms = refusal.retry_after.unwrap_or_default().0;
    info!("refused_after_declines", kv: { id, workspace, priority, reason, declines, share_declines, retry_after_ms });
    counter!("shallotwing_refused_after_declines_total", "reason" => reason).increment(1);
}
