//! Ends of requests.

use metrics::{counter, histogram};
use spdlog::prelude::*;
use sw_error::{Kind, Refusal};
use sw_relay::{AdmittedRequest, Credential};
use sw_unit::Millis;

use super::{MILLIS_PER_SECOND, version_in_force};
use crate::state::ProxyState;

/// Logs and counts a refused request.
pub(crate) fn log_refusal<D, F>(state: &ProxyState<D, F>, id: &str, route: &str, refusal: Refusal, age: Millis) {
    let in_force = version_in_force(state);
    let kind: &'static str = refusal.kind.into();
    let ran: &'static str = refusal.kind.response().ran.into();
    let (retry_after_ms, age_ms) = (refusal.retry_after.unwrap_or_default().0, age.0);
    info!("refused", kv: { id, route, in_force, kind, ran, retry_after_ms, age_ms });
    counter!("shallotwing_requests_total", "end" => kind).increment(1);
}

/// Counts a refusal for the caller's key, by what it presented.
pub(crate) fn count_key_refusal(credential: Credential, refusal: Refusal) {
    if matches!(refusal.kind, Kind::UnknownKey | Kind::KeyUnverified) {
        let (credential, kind): (&'static str, &'static str) = (credential.into(), refusal.kind.into());
        counter!("shallotwing_key_refusals_total", "kind" => kind, "credential" => credential).increment(1);
    }
}

/// Counts a response whose head was received, and records the time until then.
pub(crate) fn record_response(admitted: &AdmittedRequest, status: u16, age: Millis) {
    counter!("shallotwing_requests_total", "end" => "answered", "status" => status.to_string()).increment(1);
    histogram!("shallotwing_head_seconds", "route" => admitted.route.name.clone())
        .record(age.0 as f64 / MILLIS_PER_SECOND);
}

/// Logs that a response broke off after its head was sent to the caller.
pub(crate) fn log_abort(admitted: &AdmittedRequest, reason: &'static str, age: Millis) {
    let (id, age_ms) = (&*admitted.id, age.0);
    info!("answer_broke_off", kv: { id, reason, age_ms });
    counter!("shallotwing_answers_broken_total", "reason" => reason).increment(1);
}
