//! Attempts at endpoints, and what endpoints state in their responses.

use metrics::counter;
use spdlog::prelude::*;
use sw_relay::{Attempt, AttemptOutcome};
use sw_unit::{EndpointId, Millis, PartId, Time};

use super::software_name;

/// Logs the outcome of an attempt at an endpoint, with the values that were expected.
pub(crate) fn log_attempt_end(id: &str, attempt: &Attempt, outcome: AttemptOutcome, status: u16, now: Time) {
    let endpoint = attempt.endpoint.id.as_str();
    let software = software_name(attempt.endpoint.software.as_ref());
    let ended: &'static str = outcome.into();
    let (prefill_tokens, transfer_tokens) = (attempt.plan.prefill.0, attempt.plan.transfer.0);
    let (prefill_ms, transfer_ms) = (attempt.prefill_ms as u64, attempt.transfer_ms as u64);
    let backlog_ms = attempt.backlog_ms as u64;
    let source = attempt
        .cache_source
        .as_ref()
        .map_or("", |source| source.endpoint.id.as_str());
    let first_ms = attempt
        .first_event_at
        .map_or(0, |first| first.since(attempt.started_at).0);
    let age_ms = attempt.age(now).0;
    let speed_percent = (attempt.speed_factor * 100.0).round() as u64;
    info!("attempt_ended", kv: {
        id, endpoint, software, ended, status, unread = prefill_tokens, copied = transfer_tokens, source,
        read_ms = prefill_ms, copy_ms = transfer_ms, backlog_ms, first_ms, age_ms, speed_percent
    });
    counter!("shallotwing_attempts_total", "outcome" => ended).increment(1);
}

/// Logs how far an attempt had come whose connection broke, the request's fingerprint and the shared parts of its
/// prompt.
pub(crate) fn log_attempt_broken(id: &str, attempt: &Attempt) {
    let (endpoint, incarnation) = (attempt.endpoint.id.as_str(), attempt.endpoint.incarnation.0);
    let (head, events) = (attempt.head_at.is_some(), attempt.events);
    let parts = part_list(&attempt.shared_parts);
    let content = attempt.content.as_ref();
    let fingerprint = content.map_or(String::new(), |content| content.fingerprint().to_string());
    let fingerprint = fingerprint.as_str();
    info!("attempt_broken", kv: { id, endpoint, incarnation, head, events, fingerprint, parts = parts.as_str() });
}

/// Formats the ids of prompt parts for the log.
fn part_list(parts: &[PartId]) -> String {
    let parts: Vec<_> = parts.iter().map(PartId::to_string).collect();
    parts.join(",")
}

/// Logs that an endpoint announced in its response to the request `id` that it is leaving.
pub(crate) fn log_endpoint_leaving(id: &str, endpoint: &EndpointId) {
    let endpoint = endpoint.as_str();
    info!("endpoint_leaving", kv: { id, endpoint });
}

/// Logs that an endpoint rejected the request `id` and asks this VM to send nothing for the time `wait`.
pub(crate) fn log_rejection(id: &str, endpoint: &EndpointId, wait: Millis) {
    let (endpoint, wait_ms) = (endpoint.as_str(), wait.0);
    info!("endpoint_closed", kv: { id, endpoint, wait_ms });
    counter!("shallotwing_turned_away_total").increment(1);
}

/// Logs that an endpoint is in backoff.
pub(crate) fn log_backoff(endpoint: &str, backoff: Millis) {
    let pause_ms = backoff.0;
    warn!("endpoint_paused", kv: { endpoint, pause_ms });
}
