//! Streams: their pauses, and how they are resumed.

use metrics::{counter, histogram};
use spdlog::prelude::*;
use sw_error::Refusal;
use sw_peer::relay::Silence;
use sw_relay::{AdmittedRequest, AttemptHistory, Resumption, SoftwareVersion};
use sw_unit::{Millis, RegionId};

use super::{MILLIS_PER_SECOND, optional_ms, region_list, software_name, version_in_force};
use crate::resumption::OriginSource;
use crate::state::ProxyState;
use crate::stream::StreamPause;

/// Logs that a caller resumes a stream that broke off, with the regions that it may enter and the endpoints there that
/// can continue it.
///
/// `source` says how the software version that started it was found.
pub(crate) fn log_resume_request<D, F>(
    state: &ProxyState<D, F>,
    admitted: &AdmittedRequest,
    resumption: &Resumption,
    source: OriginSource,
) {
    let (id, stream) = (&*admitted.id, resumption.stream.as_deref().unwrap_or_default());
    let software = software_name(admitted.pinned_software.as_ref());
    let origin: &'static str = source.into();
    let (regions, candidates) = (region_list(state, admitted), candidate_list(state, admitted));
    let (regions, candidates) = (regions.as_str(), candidates.as_str());
    let left_ms = admitted.remaining(state.now()).0;
    info!("stream_resume_requested", kv: { id, stream, software, origin, regions, candidates, left_ms });
    counter!("shallotwing_stream_resume_requests_total", "origin" => origin).increment(1);
}

/// Formats the number of usable endpoints that may run a request in each region for the log.
fn candidate_list<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) -> String {
    /// Maximum number of regions in the list.
    const MAX_LISTED: usize = 8;
    let counts = state.relay.borrow().usable_by_region(admitted);
    let counts = counts.iter().take(MAX_LISTED);
    let listed: Vec<_> = counts.map(|(region, count)| format!("{region}:{count}")).collect();
    listed.join(",")
}

/// Logs that a new stream may begin at any software version, as it was refused at the one that it was placed at.
pub(crate) fn log_unplaced(admitted: &AdmittedRequest, refusal: Refusal) {
    let (id, why): (_, &'static str) = (&*admitted.id, refusal.kind.into());
    info!("stream_unplaced", kv: { id, why });
}

/// Logs that a new stream begins at another software version than it was placed at.
pub(crate) fn log_begun_elsewhere(
    admitted: &AdmittedRequest,
    placed: &SoftwareVersion,
    software: &SoftwareVersion,
    is_written: bool,
) {
    let (id, placed, software) = (&*admitted.id, placed.as_str(), software.as_str());
    info!("stream_begun_elsewhere", kv: { id, placed, software, is_written });
    counter!("shallotwing_streams_begun_elsewhere_total").increment(1);
}

/// Logs that a stream is resumed at the endpoint or VM `target` of `region` after the event `after`.
pub(crate) fn log_resume<D, F>(
    state: &ProxyState<D, F>,
    admitted: &AdmittedRequest,
    region: &RegionId,
    target: &str,
    after: &str,
) {
    let id = &*admitted.id;
    let (version, in_force) = (admitted.config_version.0, version_in_force(state));
    let (region, regions) = (region.as_str(), region_list(state, admitted));
    let regions = regions.as_str();
    info!("stream_resumed", kv: { id, version, in_force, regions, region, target, after });
    counter!("shallotwing_streams_resumed_total").increment(1);
}

/// Logs how a request ended that resumed a stream; `has_started` if its caller got an event of it.
pub(crate) fn log_resume_end(admitted: &AdmittedRequest, ended: &'static str, has_started: bool, age: Millis) {
    let (id, age_ms) = (&*admitted.id, age.0);
    info!("stream_resume_ended", kv: { id, ended, has_started, age_ms });
}

/// Logs why this VM does not resume a stream that broke off, so that the caller has to.
pub(crate) fn log_not_resumed(admitted: &AdmittedRequest, history: &AttemptHistory, why: &'static str, left: Millis) {
    let software = software_name(admitted.pinned_software.as_ref());
    let (id, sends, runs, left_ms) = (&*admitted.id, history.sends(), history.possible_runs(), left.0);
    info!("stream_not_resumed", kv: { id, why, software, sends, runs, left_ms });
}

/// Logs why a stream whose source is out of reach is not resumed elsewhere for now.
pub(crate) fn log_stream_waits(admitted: &AdmittedRequest, why: &'static str, left: Millis) {
    let (id, left_ms) = (&*admitted.id, left.0);
    info!("stream_waits", kv: { id, why, left_ms });
}

/// Logs that the VM that relays a response is silent, although it was asked for a reply.
pub(crate) fn log_source_silent(admitted: &AdmittedRequest, silence: Silence, draining_for: Option<Millis>) {
    let (id, silent_ms) = (&*admitted.id, silence.duration.0);
    let draining_ms = optional_ms(draining_for);
    info!("source_silent", kv: { id, silent_ms, draining_ms });
    counter!("shallotwing_sources_silent_total").increment(1);
}

/// Logs the longest pause of a stream that ended, and records it. `endpoint` is the last one that sent it.
pub(crate) fn log_longest_pause(admitted: &AdmittedRequest, endpoint: &str, pause: StreamPause) {
    let (id, route) = (&*admitted.id, admitted.route.name.as_str());
    let (pause_ms, after_events) = (pause.duration.0, pause.after_events);
    let objective_ms = optional_ms(admitted.route.gap_objective);
    info!("stream_ended", kv: { id, route, endpoint, pause_ms, after_events, objective_ms });
    histogram!("shallotwing_stream_pause_seconds", "route" => admitted.route.name.clone())
        .record(pause_ms as f64 / MILLIS_PER_SECOND);
}
