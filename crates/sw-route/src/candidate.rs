//! Hard filters and estimates.

use sw_conf::{Fleet, Route, Workspace};
use sw_load::{LoadEstimate, LoadTracker, PrefixHash, PrefixHints, Work};
use sw_member::{LeavingEndpoints, Members};
use sw_unit::{Bytes, Millis, ModelId, RegionId, Time};

use crate::index::EndpointProfile;
use crate::{Candidate, LinkQueues, LocalEndpoint, RemoteGroup, RouteTargets, Target};

/// Bytes of a prompt that make a token.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Growth of the time between tokens from an empty endpoint to a full one.
const BATCH_SLOWDOWN: f64 = 1.0;
/// Part of the other requests' prompts that goes before a first token.
const FIRST_TOKEN_HELD_UP: f64 = 0.5;
const BYTES_PER_GB: f64 = 1e9;

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The configuration.
    pub fleet: &'a Fleet,
    /// The route.
    pub route: &'a Route,
    /// What the route may use.
    pub targets: &'a RouteTargets,
    /// The workspace.
    pub workspace: &'a Workspace,
    /// The model that the caller names, if it names one.
    pub model: Option<&'a ModelId>,
    /// The length of the body.
    pub body_len: Bytes,
    /// Hashes of the prompt's beginnings.
    pub prefix_hashes: &'a [PrefixHash],
    /// Targets that were tried already.
    pub tried: &'a [Target],
    /// Whether another domain may be chosen.
    pub may_forward: bool,
    /// Time until the deadline.
    pub remaining: Millis,
}

/// What is known when the choice is made.
#[derive(Debug, Clone, Copy)]
pub struct RoutingState<'a> {
    /// VMs.
    pub members: &'a Members,
    /// LoadTracker.
    pub loads: &'a LoadTracker,
    /// Prefix hints.
    pub prefixes: &'a PrefixHints,
    /// LeavingEndpoints endpoints.
    pub leaving: &'a LeavingEndpoints,
    /// LinkQueues between regions.
    pub link_queues: &'a LinkQueues,
    /// The time.
    pub now: Time,
}

/// Writes to `out` the targets that may be chosen; those that cannot meet the deadline are among them.
pub fn candidates(ask: &RouteQuery<'_>, view: &RoutingState<'_>, out: &mut Vec<Candidate>) {
    out.clear();
    let own = &view.members.local().region;
    let permitted = |region: &RegionId| ask.fleet.permits(ask.route, ask.workspace, region);
    let vms = view.members.local_live_count(view.now);
    let local = ask.targets.local.iter().filter(|endpoint| {
        let asked = |model: &ModelId| ask.model.is_none_or(|asked| asked == model);
        let ready = |model: &ModelId| asked(model) && view.loads.has_loaded(&endpoint.id, model);
        permitted(&endpoint.region) && (endpoint.models.is_empty() || endpoint.models.iter().any(ready))
    });
    out.extend(local.filter(|endpoint| is_usable(endpoint, view)).map(|endpoint| {
        let estimate = view.loads.estimate(&endpoint.id, endpoint.profile.slots, vms, view.now);
        local_candidate(ask, view, endpoint, estimate)
    }));
    if ask.may_forward {
        let remote = ask.targets.remote.iter().filter(|group| {
            permitted(own) && permitted(&group.region) && ask.model.is_none_or(|model| group.model == *model)
        });
        out.extend(remote.filter_map(|group| remote_candidate(ask, view, group)));
    }
    out.retain(|candidate| !ask.tried.contains(&candidate.target));
}

fn is_usable(endpoint: &LocalEndpoint, view: &RoutingState<'_>) -> bool {
    let life = view.loads.incarnation(&endpoint.id);
    !view.leaving.contains(&endpoint.id, life) && !view.loads.is_in_backoff(&endpoint.id, view.now)
}

fn local_candidate(
    ask: &RouteQuery<'_>,
    view: &RoutingState<'_>,
    endpoint: &LocalEndpoint,
    estimate: LoadEstimate,
) -> Candidate {
    let held = view.prefixes.cached_len(&endpoint.id, ask.prefix_hashes) as u64;
    let work = work(&endpoint.profile, ask.body_len.saturating_sub(Bytes(held)));
    let times = times(work, estimate, 1.0);
    Candidate {
        target: Target::Endpoint(endpoint.id.clone()),
        queue_wait: Millis(times.wait as u64),
        first_token: Millis(times.first as u64),
        completion: Millis(times.end as u64),
        price: endpoint.profile.price,
        remote: false,
        load_per_slot: estimate.load / estimate.slots.max(1.0),
        work,
    }
}

fn remote_candidate(ask: &RouteQuery<'_>, view: &RoutingState<'_>, group: &RemoteGroup) -> Option<Candidate> {
    view.members.live_vms(&group.domain, view.now).next()?;
    let estimate = view.loads.estimate_remote(&group.domain, &group.model, view.now)?;
    let own = &view.members.local().region;
    let link = ask.fleet.link(own, &group.region);
    let vms = view.members.local_live_count(view.now);
    let transfer = link.map_or(Millis(0), |link| {
        let delay = view
            .link_queues
            .delay(&group.region, ask.body_len, link.bandwidth_mbps.0, vms, view.now);
        delay + Millis(2 * link.latency.0)
    });
    let transfer = transfer.0 as f64;
    let link_price = link.map_or(0.0, |link| {
        link.price_per_gb.units() * ask.body_len.0 as f64 / BYTES_PER_GB
    });
    let work = work(&group.profile, ask.body_len);
    let endpoints = f64::from(group.slots) / f64::from(group.profile.slots.max(1));
    let times = times(work, estimate, endpoints);
    Some(Candidate {
        target: Target::Domain(group.domain.clone()),
        queue_wait: Millis((times.wait + transfer) as u64),
        first_token: Millis((times.first + transfer) as u64),
        completion: Millis((times.end + transfer) as u64),
        price: group.profile.price + link_price,
        remote: group.region != *own,
        load_per_slot: estimate.load / estimate.slots.max(1.0),
        work,
    })
}

/// What a request with this much of its prompt uncached needs.
fn work(profile: &EndpointProfile, uncached: Bytes) -> Work {
    let prefill_ms = uncached.0 as f64 / BYTES_PER_TOKEN * profile.prefill_ms_per_token;
    Work {
        prefill_ms,
        response_ms: profile.response_ms,
    }
}

/// Estimated times from now, in milliseconds.
struct Times {
    wait: f64,
    first: f64,
    end: f64,
}

/// The times of a request that needs `own`, at as many like endpoints as share the estimated load.
///
/// An endpoint makes tokens for all running requests together, but takes in one prompt at a time, and every prompt
/// holds up all running requests.
fn times(own: Work, estimate: LoadEstimate, endpoints: f64) -> Times {
    let others = estimate.work.unwrap_or(own);
    let slots = (estimate.slots / endpoints.max(1.0)).max(1.0);
    let fullness = estimate.occupancy();
    let turn = others.prefill_ms + others.response_ms * (1.0 + BATCH_SLOWDOWN) / slots;
    let wait = estimate.backlog() * turn / endpoints.max(1.0);
    let held_up = fullness * (slots - 1.0) * others.prefill_ms;
    let first = own.prefill_ms + FIRST_TOKEN_HELD_UP * held_up;
    let end = own.prefill_ms + held_up + own.response_ms * (1.0 + BATCH_SLOWDOWN * fullness);
    Times {
        wait: wait * estimate.slowdown,
        first: (wait + first) * estimate.slowdown,
        end: (wait + end) * estimate.slowdown,
    }
}
