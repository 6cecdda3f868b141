//! Counters and log lines of requests.

use std::sync::OnceLock;

use metrics::counter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use spdlog::prelude::*;
use sw_error::Refusal;
use sw_gate::{AdmittedRequest, RoutingDecision};

/// Logs and counts a routing decision.
pub(crate) fn count_decision(request: &str, admitted: &AdmittedRequest, decision: &RoutingDecision) {
    let candidate = &decision.candidate;
    let via = decision.forward_to.as_ref().map_or("", |row| row.vm.as_str());
    info!("routed", kv: {
        request,
        workspace = admitted.workspace.as_str(),
        route = admitted.route.as_str(),
        version = admitted.version.number.0,
        target = candidate.target.to_string().as_str(),
        via,
        considered = decision.considered,
        reason = decision.reason.to_string().as_str(),
        wait_ms = candidate.queue_wait.0,
        first_ms = candidate.first_token.0,
        end_ms = candidate.completion.0,
        price = candidate.price,
        remote = candidate.remote,
    });
    let remote = if candidate.remote { "yes" } else { "no" };
    counter!("shallotwing_decisions_total", "route" => admitted.route.to_string(), "remote" => remote).increment(1);
}

/// Logs and counts how a request ended.
pub(crate) fn count_end(request: &str, route: &str, end: Result<(), Refusal>) {
    let kind: &'static str = match end {
        Ok(()) => "answered",
        Err(refusal) => refusal.kind.into(),
    };
    if let Err(refusal) = end {
        let response = refusal.kind.response();
        let retry_after_ms = refusal.retry_after.unwrap_or_default().0;
        info!("refused", kv: { request, route, kind, ran = response.ran.to_string().as_str(), retry_after_ms });
    }
    counter!("shallotwing_requests_total", "end" => kind).increment(1);
}

/// Returns the process's metrics recorder; the first call installs it.
pub(crate) fn recorder() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if a process that embeds the gateway has installed another recorder.
        let _installed = metrics::set_global_recorder(recorder);
        handle
    };
    HANDLE.get_or_init(install).clone()
}
