//! Log lines of a planned stop: what was in progress when it began, and which requests its end cut.

use indexmap::IndexMap;
use spdlog::prelude::*;
use sw_unit::{Millis, Time};

use crate::active::{ActiveRequest, ResponseSource};
use crate::state::ProxyState;

/// Maximum number of sources that the line of a stop names.
const MAX_SOURCES: usize = 16;
/// Maximum number of requests that the end of a stop logs one by one.
const MAX_CUT_LINES: usize = 32;
/// Name of the source of a request that was not sent.
const NO_SOURCE: &str = "none";

/// Logs that this VM begins to drain.
pub(crate) fn log_start<D, F>(state: &ProxyState<D, F>, grace: Millis) {
    let requests = state.active.by_age();
    let (active, sources) = (requests.len() as u64, source_list(&requests));
    info!("stopping", kv: { active, sources = sources.as_str(), grace_ms = grace.0 });
}

/// Logs the end of the drain, before it the requests that it cuts if `is_cut`.
pub(crate) fn log_end<D, F>(state: &ProxyState<D, F>, is_cut: bool) {
    let requests = state.active.by_age();
    let cut = if is_cut { requests.as_slice() } else { &[] };
    for request in cut.iter().take(MAX_CUT_LINES) {
        log_cut(request, state.now());
    }
    let unlisted = cut.len().saturating_sub(MAX_CUT_LINES) as u64;
    info!("stopped", kv: { cut = is_cut, active = requests.len() as u64, unlisted });
}

fn log_cut(request: &ActiveRequest, now: Time) {
    let (id, route, source) = (request.id(), request.route(), request.source());
    let (id, route) = (&*id, route.as_str());
    let relayed = matches!(source, Some(ResponseSource::Vm(_)));
    let source = source_name(source.as_ref());
    let (stage, chunks): (&'static str, _) = (request.stage().into(), request.chunks());
    let (age_ms, silent_ms) = (request.age(now).0, request.silent_for(now).0);
    warn!("stop_cut", kv: {
        id, route, source = source.as_str(), relayed, stage, chunks, age_ms, silent_ms
    });
}

/// Formats the number of requests by source for the log, the largest first.
fn source_list(requests: &[ActiveRequest]) -> String {
    let mut counts: IndexMap<String, usize> = IndexMap::new();
    for request in requests {
        *counts.entry(source_name(request.source().as_ref())).or_default() += 1;
    }
    counts.sort_by(|_, a, _, b| b.cmp(a));
    let named = counts.iter().take(MAX_SOURCES);
    let named: Vec<_> = named.map(|(source, count)| format!("{source}:{count}")).collect();
    named.join(",")
}

fn source_name(source: Option<&ResponseSource>) -> String {
    source.map_or_else(|| NO_SOURCE.to_owned(), ToString::to_string)
}
