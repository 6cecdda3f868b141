//! Candidates for a request: filters and estimates.

use sw_conf::{Fleet, Route, Workspace};
use sw_load::{LoadEstimate, LoadTracker, PrefixHash, PrefixHints, Work};
use sw_member::{LeavingEndpoints, Members};
use sw_unit::{Bytes, Millis, ModelId, RegionId, Time};

use crate::index::EndpointProfile;
use crate::{Candidate, LinkQueues, LocalEndpoint, RemoteGroup, RouteTargets, Target};

/// Average number of prompt bytes per token.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Relative growth of the time between tokens from an idle endpoint to a fully occupied one.
const BATCH_SLOWDOWN: f64 = 1.0;
/// Fraction of the prefill of other requests that delays the first token.
const FIRST_TOKEN_PREFILL_FRACTION: f64 = 0.5;
const BYTES_PER_GB: f64 = 1e9;

/// A request's routing input.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The configuration.
    pub fleet: &'a Fleet,
    /// The route.
    pub route: &'a Route,
    /// The endpoints and domains that the route may use.
    pub targets: &'a RouteTargets,
    /// The workspace.
    pub workspace: &'a Workspace,
    /// The model that the caller requests, if any.
    pub model: Option<&'a ModelId>,
    /// The length of the request body.
    pub body_len: Bytes,
    /// Hashes of the prompt's prefixes.
    pub prefix_hashes: &'a [PrefixHash],
    /// Targets of earlier attempts, which are not chosen again.
    pub earlier_targets: &'a [Target],
    /// Whether a remote domain may be chosen.
    pub may_forward: bool,
    /// Remaining time until the deadline.
    pub remaining: Millis,
}

/// The state that a routing decision is based on.
#[derive(Debug, Clone, Copy)]
pub struct RoutingState<'a> {
    /// Membership table of the VMs.
    pub members: &'a Members,
    /// Load of endpoints and remote domains.
    pub loads: &'a LoadTracker,
    /// Prompt prefixes that endpoints have cached.
    pub prefixes: &'a PrefixHints,
    /// Endpoints that accept no new work.
    pub leaving: &'a LeavingEndpoints,
    /// Queues on the links between regions.
    pub link_queues: &'a LinkQueues,
    /// The current time.
    pub now: Time,
}

/// Replaces the contents of `out` by the targets that may be chosen.
///
/// Targets that cannot meet the deadline are included; the policy weighs their lateness.
pub fn candidates(query: &RouteQuery<'_>, state: &RoutingState<'_>, out: &mut Vec<Candidate>) {
    out.clear();
    let local_region = &state.members.local().region;
    let permitted = |region: &RegionId| query.fleet.permits(query.route, query.workspace, region);
    let vms = state.members.local_live_count(state.now);
    let local = query.targets.local.iter().filter(|endpoint| {
        let matches = |model: &ModelId| query.model.is_none_or(|requested| requested == model);
        let is_ready = |model: &ModelId| matches(model) && state.loads.has_loaded(&endpoint.id, model);
        permitted(&endpoint.region) && (endpoint.models.is_empty() || endpoint.models.iter().any(is_ready))
    });
    out.extend(local.filter(|endpoint| is_usable(endpoint, state)).map(|endpoint| {
        let estimate = state
            .loads
            .estimate(&endpoint.id, endpoint.profile.slots, vms, state.now);
        local_candidate(query, state, endpoint, estimate)
    }));
    if query.may_forward {
        let remote = query.targets.remote.iter().filter(|group| {
            permitted(local_region) && permitted(&group.region) && query.model.is_none_or(|model| group.model == *model)
        });
        out.extend(remote.filter_map(|group| remote_candidate(query, state, group)));
    }
    out.retain(|candidate| !query.earlier_targets.contains(&candidate.target));
}

fn is_usable(endpoint: &LocalEndpoint, state: &RoutingState<'_>) -> bool {
    let incarnation = state.loads.incarnation(&endpoint.id);
    !state.leaving.contains(&endpoint.id, incarnation) && !state.loads.is_in_backoff(&endpoint.id, state.now)
}

fn local_candidate(
    query: &RouteQuery<'_>,
    state: &RoutingState<'_>,
    endpoint: &LocalEndpoint,
    estimate: LoadEstimate,
) -> Candidate {
    let cached = state.prefixes.cached_len(&endpoint.id, query.prefix_hashes) as u64;
    let work = work(&endpoint.profile, query.body_len.saturating_sub(Bytes(cached)));
    let times = times(work, estimate, 1.0);
    Candidate {
        target: Target::Endpoint(endpoint.id.clone()),
        queue_wait: Millis(times.queue_wait as u64),
        first_token: Millis(times.first_token as u64),
        completion: Millis(times.completion as u64),
        price: endpoint.profile.price,
        remote: false,
        load_per_slot: estimate.load / estimate.slots.max(1.0),
        work,
    }
}

fn remote_candidate(query: &RouteQuery<'_>, state: &RoutingState<'_>, group: &RemoteGroup) -> Option<Candidate> {
    state.members.live_vms(&group.domain, state.now).next()?;
    let estimate = state.loads.estimate_remote(&group.domain, &group.model, state.now)?;
    let local_region = &state.members.local().region;
    let link = query.fleet.link(local_region, &group.region);
    let vms = state.members.local_live_count(state.now);
    let transfer = link.map_or(Millis(0), |link| {
        let delay = state
            .link_queues
            .delay(&group.region, query.body_len, link.bandwidth_mbps.0, vms, state.now);
        delay + Millis(2 * link.latency.0)
    });
    let transfer = transfer.0 as f64;
    let link_price = link.map_or(0.0, |link| {
        link.price_per_gb.units() * query.body_len.0 as f64 / BYTES_PER_GB
    });
    let work = work(&group.profile, query.body_len);
    let endpoints = f64::from(group.slots) / f64::from(group.profile.slots.max(1));
    let times = times(work, estimate, endpoints);
    Some(Candidate {
        target: Target::Domain(group.domain.clone()),
        queue_wait: Millis((times.queue_wait + transfer) as u64),
        first_token: Millis((times.first_token + transfer) as u64),
        completion: Millis((times.completion + transfer) as u64),
        price: group.profile.price + link_price,
        remote: group.region != *local_region,
        load_per_slot: estimate.load / estimate.slots.max(1.0),
        work,
    })
}

/// Returns the work of a request with `uncached` bytes of its prompt not in the cache.
fn work(profile: &EndpointProfile, uncached: Bytes) -> Work {
    let prefill_ms = uncached.0 as f64 / BYTES_PER_TOKEN * profile.prefill_ms_per_token;
    Work {
        prefill_ms,
        response_ms: profile.response_ms,
    }
}

/// Estimated times from now, in milliseconds.
struct Times {
    queue_wait: f64,
    first_token: f64,
    completion: f64,
}

/// Estimates the times of a request with this `work` at one of `endpoints` equal endpoints that share the load.
///
/// An endpoint generates tokens for all running requests in one batch, but prefills one prompt at a time, and every
/// prefill delays all running requests.
fn times(work: Work, estimate: LoadEstimate, endpoints: f64) -> Times {
    let others = estimate.work.unwrap_or(work);
    let slots = (estimate.slots / endpoints.max(1.0)).max(1.0);
    let occupancy = estimate.occupancy();
    let ms_per_request = others.prefill_ms + others.response_ms * (1.0 + BATCH_SLOWDOWN) / slots;
    let wait = estimate.backlog() * ms_per_request / endpoints.max(1.0);
    let prefill_delay = occupancy * (slots - 1.0) * others.prefill_ms;
    let first = work.prefill_ms + FIRST_TOKEN_PREFILL_FRACTION * prefill_delay;
    let end = work.prefill_ms + prefill_delay + work.response_ms * (1.0 + BATCH_SLOWDOWN * occupancy);
    Times {
        queue_wait: wait * estimate.slowdown,
        first_token: (wait + first) * estimate.slowdown,
        completion: (wait + end) * estimate.slowdown,
    }
}
