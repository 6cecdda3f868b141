//! Paths to endpoints, and health checks.

use metrics::{counter, gauge};
use spdlog::prelude::*;
use sw_relay::{HealthCheck, PathChange, PathEvidence, PathFailure};
use sw_unit::{EndpointId, Millis, Time};

use super::optional_ms;
use crate::state::ProxyState;

/// Logs the paths that were lost or are back.
pub(crate) fn log_path_changes<D, F>(state: &ProxyState<D, F>, changes: &[PathChange]) {
    for change in changes {
        match change {
            PathChange::Lost {
                endpoint,
                failure,
                evidence,
                ..
            } => log_path_lost(endpoint, *failure, evidence),
            PathChange::Regained { endpoint, lost_for } => {
                let (endpoint, lost_ms) = (endpoint.as_str(), lost_for.0);
                info!("path_regained", kv: { endpoint, lost_ms });
            }
            PathChange::CutOff { service } => warn!("service_cut_off", kv: { service = service.as_str() }),
            PathChange::Reconnected { service, cut_for } => {
                let (service, cut_ms) = (service.as_str(), cut_for.0);
                info!("service_reconnected", kv: { service, cut_ms });
            }
        }
    }
    let (paths, services) = state.relay.borrow().lost_paths();
    gauge!("shallotwing_lost_paths").set(paths as f64);
    gauge!("shallotwing_cut_off_services").set(services as f64);
}

fn log_path_lost(endpoint: &EndpointId, failure: PathFailure, evidence: &PathEvidence) {
    let (endpoint, how): (_, &'static str) = (endpoint.as_str(), failure.into());
    let waited_ms = evidence.waited.0;
    let heard_ms = optional_ms(evidence.endpoint_silence);
    let service_heard_ms = optional_ms(evidence.service_silence);
    info!("path_lost", kv: { endpoint, how, waited_ms, heard_ms, service_heard_ms });
}

/// Logs a health check, with the remaining cold time that the endpoint stated, if it answered.
pub(crate) fn log_health_check(check: &HealthCheck, cold_for: Option<Millis>, now: Time) {
    let (endpoint, incarnation) = (check.endpoint.id.as_str(), check.endpoint.incarnation.0);
    let (cause, age_ms): (&'static str, _) = (check.cause.into(), now.since(check.started_at).0);
    let (answered, cold_ms) = (cold_for.is_some(), cold_for.unwrap_or_default().0);
    info!("health_checked", kv: { endpoint, incarnation, cause, answered, cold_ms, age_ms });
    let outcome = match cold_for {
        None => "no_answer",
        Some(Millis(0)) => "warm",
        Some(_) => "cold",
    };
    counter!("shallotwing_health_checks_total", "cause" => cause, "outcome" => outcome).increment(1);
}
