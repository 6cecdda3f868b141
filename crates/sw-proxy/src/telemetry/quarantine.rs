//! Crashes of endpoints, and the prompt parts and requests that are quarantined for them.

use metrics::gauge;
use spdlog::prelude::*;
use sw_relay::{AdmittedRequest, EndpointEntry, QuarantineChange, QuarantineEntry, Suspect};
use sw_unit::Time;

use crate::state::ProxyState;

/// Logs whether an endpoint that broke off a response refuses connections, and whether it counts as crashed.
pub(crate) fn log_crash_check(endpoint: &EndpointEntry, refused: bool, crashed: bool) {
    let (endpoint, incarnation) = (endpoint.id.as_str(), endpoint.incarnation.0);
    info!("endpoint_checked", kv: { endpoint, incarnation, refused, crashed });
}

/// Logs the prompt parts and requests that were quarantined or released.
pub(crate) fn log_quarantine_changes<D, F>(state: &ProxyState<D, F>, changes: &[QuarantineChange]) {
    let now = state.now();
    {
        let relay = state.relay.borrow();
        gauge!("shallotwing_quarantined_parts").set(relay.quarantined_parts() as f64);
        gauge!("shallotwing_quarantined_requests").set(relay.quarantined_requests() as f64);
    }
    for change in changes {
        match change {
            QuarantineChange::Quarantined { suspect, entry } => log_suspect_quarantined(*suspect, *entry, now),
            QuarantineChange::Released { suspect } => log_suspect_released(*suspect),
            QuarantineChange::Probed { suspect, request } => log_suspect_probed(*suspect, request),
        }
    }
}

fn log_suspect_quarantined(suspect: Suspect, entry: QuarantineEntry, now: Time) {
    let (crashes, for_ms) = (entry.crashes, entry.until.since(now).0);
    match suspect {
        Suspect::Part(part) => {
            let part = part.to_string();
            warn!("part_quarantined", kv: { part = part.as_str(), crashes, for_ms });
        }
        Suspect::Request(request) => {
            let fingerprint = request.to_string();
            warn!("fingerprint_quarantined", kv: { fingerprint = fingerprint.as_str(), crashes, for_ms });
        }
    }
}

fn log_suspect_released(suspect: Suspect) {
    match suspect {
        Suspect::Part(part) => info!("part_released", kv: { part = part.to_string().as_str() }),
        Suspect::Request(request) => {
            info!("fingerprint_released", kv: { fingerprint = request.to_string().as_str() });
        }
    }
}

/// Logs that the request `id` probes a suspect.
fn log_suspect_probed(suspect: Suspect, id: &str) {
    match suspect {
        Suspect::Part(part) => info!("part_probed", kv: { id, part = part.to_string().as_str() }),
        Suspect::Request(request) => {
            info!("fingerprint_probed", kv: { id, fingerprint = request.to_string().as_str() });
        }
    }
}

/// Logs why a request was refused: for its fingerprint or a part of its prompt.
pub(crate) fn log_quarantined<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) {
    let now = state.now();
    let Some((suspect, entry)) = state.relay.borrow().quarantined(admitted, now) else {
        return;
    };
    let (id, crashes, for_ms) = (&*admitted.id, entry.crashes, entry.until.since(now).0);
    match suspect {
        Suspect::Part(part) => {
            let part = part.to_string();
            info!("prompt_quarantined", kv: { id, part = part.as_str(), crashes, for_ms });
        }
        Suspect::Request(request) => {
            let fingerprint = request.to_string();
            info!("request_quarantined", kv: { id, fingerprint = fingerprint.as_str(), crashes, for_ms });
        }
    }
}
