//! Choices of endpoints, forwards to other VMs, and planned shares of regions.

use metrics::{counter, gauge};
use spdlog::prelude::*;
use sw_peer::relay::CallRefusal;
use sw_relay::{AdmittedRequest, AttemptOutcome, Choice, EndpointEntry};
use sw_unit::{Millis, RegionId, VmId};

use super::{region_list, software_name, version_in_force, workspace_name};
use crate::Dialect;
use crate::state::ProxyState;

/// Fields of the log lines of all routing choices.
struct ChoiceFields<'a> {
    id: &'a str,
    route: &'a str,
    workspace: &'a str,
    /// Version of the configuration that admitted the request.
    version: u64,
    in_force: u64,
    /// Regions that the request may enter.
    regions: String,
    left_ms: u64,
    /// Revision of the store that the choice rests on.
    revision: u64,
}

impl<'a> ChoiceFields<'a> {
    fn new<D: Dialect, F>(state: &ProxyState<D, F>, admitted: &'a AdmittedRequest) -> Self {
        Self {
            id: &admitted.id,
            route: &admitted.route.name,
            workspace: workspace_name(admitted),
            version: admitted.config_version.0,
            in_force: version_in_force(state),
            regions: region_list(state, admitted),
            left_ms: admitted.remaining(state.now()).0,
            revision: state.mirror.borrow().position().revision,
        }
    }
}

/// Logs the routing choice for a request, with the permitted regions and the store revision that it rests on.
pub(crate) fn log_choice<D: Dialect, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest, choice: &Choice) {
    let fields = ChoiceFields::new(state, admitted);
    match choice {
        Choice::Endpoint {
            endpoint,
            expected_ms,
            considered,
            ..
        } => log_routed(&fields, endpoint, *expected_ms as u64, *considered as u64),
        Choice::Vm {
            region,
            vm,
            expected_ms,
            local_ms,
            ..
        } => {
            let local_ms = local_ms.map_or(-1, |ms| ms as i64);
            let why = forward_reason(state, region);
            log_forwarded(&fields, vm, region, *expected_ms as u64, local_ms, why);
        }
    }
    counter!("shallotwing_decisions_total", "route" => admitted.route.name.clone()).increment(1);
}

/// Logs the endpoint that was chosen among `considered`.
fn log_routed(fields: &ChoiceFields<'_>, endpoint: &EndpointEntry, expected_ms: u64, considered: u64) {
    let target = endpoint.id.as_str();
    let software = software_name(endpoint.software.as_ref());
    let ChoiceFields {
        id,
        route,
        workspace,
        version,
        in_force,
        left_ms,
        revision,
        ..
    } = *fields;
    let regions = fields.regions.as_str();
    info!("routed", kv: {
        id, route, workspace, version, in_force, regions, left_ms, target, software, expected_ms, considered,
        revision
    });
}

/// Logs and counts the forward of a request to another VM; `local_ms` is -1 if the local region has no usable endpoint.
fn log_forwarded(
    fields: &ChoiceFields<'_>,
    vm: &VmId,
    region: &RegionId,
    expected_ms: u64,
    local_ms: i64,
    why: &'static str,
) {
    let (vm, region) = (vm.as_str(), region.as_str());
    let ChoiceFields {
        id,
        route,
        workspace,
        version,
        in_force,
        left_ms,
        revision,
        ..
    } = *fields;
    let regions = fields.regions.as_str();
    info!("forwarded", kv: {
        id, route, workspace, version, in_force, regions, left_ms, region, vm, expected_ms, local_ms, revision,
        why
    });
    counter!("shallotwing_forwards_total", "why" => why).increment(1);
}

/// Returns why a request is forwarded to `region`: within the region because the path to the endpoints is lost.
fn forward_reason<D, F>(state: &ProxyState<D, F>, region: &RegionId) -> &'static str {
    if *region == state.options().region {
        "path_lost"
    } else {
        "region_busy"
    }
}

/// Logs that a forwarded request got no response.
pub(crate) fn log_forward_failure(admitted: &AdmittedRequest, outcome: AttemptOutcome, age: Millis) {
    let id = &*admitted.id;
    let (ended, age_ms): (&'static str, _) = (outcome.into(), age.0);
    info!("forward_failed", kv: { id, ended, age_ms });
    counter!("shallotwing_forwards_failed_total", "outcome" => ended).increment(1);
}

/// Logs that the VM `vm`, to which the body of a request was sent, refused it.
pub(crate) fn log_forward_refused(admitted: &AdmittedRequest, vm: &VmId, region: &RegionId, refused: CallRefusal) {
    let (id, version, refused_by) = (&*admitted.id, admitted.config_version.0, refused.version.0);
    let (vm, region, kind): (_, _, &'static str) = (vm.as_str(), region.as_str(), refused.refusal.kind.into());
    info!("forward_refused", kv: { id, version, refused_by, vm, region, kind });
}

/// Logs which shares of the callers' requests are planned for other regions.
pub(crate) fn log_plan_changes<D, F>(state: &ProxyState<D, F>) {
    for planned in state.relay.borrow_mut().take_plan_changes() {
        let (route, region) = (planned.route.as_str(), planned.region.as_str());
        let percent = (planned.share * 100.0).round() as u64;
        info!("region_plan", kv: { route, region, percent });
        gauge!("shallotwing_planned_percent", "route" => planned.route.clone(), "region" => region.to_owned())
            .set(percent as f64);
    }
}
