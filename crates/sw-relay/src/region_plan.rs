//! Plan of the shares of requests that run in other regions.
//!
//! The decision request by request ([`crate::spill`]) moves load only after queues have grown, and a peak that moves from region
//! to region within seconds is then late everywhere. So each VM plans ahead: it knows the demand of each region's callers and the
//! endpoints of all regions, and computes which share of each route's requests should go where so that no region is loaded
//! beyond a level that all could have. All VMs compute the same plan from the same reports; there is no leader.
//!
//! Load flows only from regions above that level to regions below it, so two regions never exchange load. A region whose demand is not
//! known from recent reports gets none. The shares approach the plan step by step.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{RegionId, Time};

use crate::demand::{self, RouteDemand};
use crate::{AdmittedRequest, AttemptHistory, Choice, Relay, Route, ServiceId};

/// Utilization of a region's endpoints up to which its callers' requests stay there.
const KEPT_UTILIZATION: f64 = 0.6;
/// Share of the way to the new plan that the shares in force go at each step.
const STEP: f64 = 0.5;
/// Smaller shares are not moved: too few requests to be worth the connections.
const MIN_SHARE: f64 = 0.03;
/// Share of the objective within which a moved request must be expected to start in the other region.
const START_SHARE: f64 = 0.8;
/// Change of a share that is logged.
const REPORTED_STEP: f64 = 0.1;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Demand for one route by the region of its callers, and where its requests may run.
#[derive(Debug, Clone)]
pub(crate) struct PlannedRoute {
    pub(crate) name: String,
    /// Milliseconds of work per second, by region of the callers.
    pub(crate) demand: IndexMap<RegionId, f64>,
    /// Regions in which its requests may run; empty means all.
    pub(crate) permitted: Vec<RegionId>,
}

/// Shares of the local callers' requests that go to other regions, by route.
pub(crate) type RegionShares = IndexMap<String, IndexMap<RegionId, f64>>;

/// Computes the shares of the requests of the callers in `local` that go to other regions. `capacity` has the work in milliseconds
/// that the endpoints of each region do in a second.
///
/// Routes that few regions permit are placed first, because the others can yield to them.
pub(crate) fn plan(
    local: &RegionId,
    capacity: &IndexMap<RegionId, f64>,
    mut routes: Vec<PlannedRoute>,
) -> RegionShares {
    let reach = |route: &PlannedRoute| match route.permitted.len() {
        0 => capacity.len(),
        len => len,
    };
    routes.sort_by(|a, b| reach(a).cmp(&reach(b)).then_with(|| a.name.cmp(&b.name)));
    // The whole demand counts before any route is placed, so that a region does not offer room that its own callers need.
    let mut load: IndexMap<RegionId, f64> = capacity.keys().map(|region| (region.clone(), 0.0)).collect();
    for route in &routes {
        for (region, work) in &route.demand {
            let is_permitted = route.permitted.is_empty() || route.permitted.contains(region);
            if let Some(load) = load.get_mut(region).filter(|_| is_permitted) {
                *load += work;
            }
        }
    }
    let mut shares = RegionShares::new();
    for route in &routes {
        if let Some(moved) = place(local, capacity, &mut load, route) {
            shares.insert(route.name.clone(), moved);
        }
    }
    shares
}

/// Moves the work of one route from the regions above the common level to those below it, and returns the shares of the callers
/// in `local`, if any of them move.
fn place(
    local: &RegionId,
    capacity: &IndexMap<RegionId, f64>,
    load: &mut IndexMap<RegionId, f64>,
    route: &PlannedRoute,
) -> Option<IndexMap<RegionId, f64>> {
    let is_permitted = |region: &RegionId| route.permitted.is_empty() || route.permitted.contains(region);
    let open: Vec<&RegionId> = capacity.keys().filter(|region| is_permitted(region)).collect();
    let total = |of: &IndexMap<RegionId, f64>| -> f64 { open.iter().map(|region| of[*region]).sum() };
    let homeless: f64 = route
        .demand
        .iter()
        .filter(|(region, _)| !is_permitted(region))
        .map(|(_, work)| work)
        .sum();
    let level = ((total(load) + homeless) / total(capacity).max(f64::MIN_POSITIVE)).max(KEPT_UTILIZATION);
    let rooms: IndexMap<&RegionId, f64> = open
        .iter()
        .map(|region| (*region, (capacity[*region] * level - load[*region]).max(0.0)))
        .collect();
    let room: f64 = rooms.values().sum();
    if room <= 0.0 {
        return None;
    }
    // What leaves each region: all of it where the route may not run, else what lies above the level.
    let leaving: IndexMap<&RegionId, f64> = route
        .demand
        .iter()
        .map(|(region, work)| {
            let excess = match load.get(region).filter(|_| is_permitted(region)) {
                Some(load) => (load - capacity[region] * level).clamp(0.0, *work),
                None => *work,
            };
            (region, excess)
        })
        .collect();
    let wanted: f64 = leaving.values().sum();
    if wanted <= 0.0 {
        return None;
    }
    let scale = (room / wanted).min(1.0);
    for (region, excess) in &leaving {
        if let Some(load) = load.get_mut(*region).filter(|_| is_permitted(region)) {
            *load -= excess * scale;
        }
    }
    for (region, free) in &rooms {
        if let Some(load) = load.get_mut(*region) {
            *load += wanted * scale * free / room;
        }
    }
    let own = route.demand.get(local).copied().unwrap_or_default();
    let moved = leaving.get(local).copied().unwrap_or_default() * scale;
    if own <= 0.0 || moved <= 0.0 {
        return None;
    }
    let shares = rooms.iter().filter(|(region, _)| **region != local);
    let shares = shares.map(|(region, free)| ((*region).clone(), moved / own * free / room));
    Some(shares.collect())
}

/// A share of the local callers' requests for a route that is planned for another region.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedShare {
    /// Name of the route.
    pub route: String,
    /// The region.
    pub region: RegionId,
    /// Share of the requests, from 0 to 1.
    pub share: f64,
}

/// The plan in force.
#[derive(Debug, Clone, Default)]
pub(crate) struct RegionPlan {
    shares: RegionShares,
    /// The shares as last reported for the log.
    reported: RegionShares,
}

impl RegionPlan {
    /// Goes a step towards a new plan.
    fn approach(&mut self, target: &RegionShares) {
        for (route, shares) in target {
            let known = self.shares.entry(route.clone()).or_default();
            for region in shares.keys() {
                known.entry(region.clone()).or_default();
            }
        }
        for (route, shares) in &mut self.shares {
            let wanted = target.get(route);
            for (region, share) in shares.iter_mut() {
                let wanted = wanted
                    .and_then(|shares| shares.get(region))
                    .copied()
                    .unwrap_or_default();
                *share += STEP * (wanted - *share);
            }
            shares.retain(|_, share| *share >= MIN_SHARE / 2.0);
        }
        self.shares.retain(|_, shares| !shares.is_empty());
    }

    /// Returns the shares that differ by [`REPORTED_STEP`] from those last returned, or have ended.
    fn take_changes(&mut self) -> Vec<PlannedShare> {
        let share = |shares: &RegionShares, route: &str, region: &RegionId| {
            let shares = shares.get(route);
            shares
                .and_then(|shares| shares.get(region))
                .copied()
                .unwrap_or_default()
        };
        let known = self.shares.iter().chain(&self.reported);
        let places = known.flat_map(|(route, shares)| shares.keys().map(move |region| (route, region)));
        let places: IndexSet<(&String, &RegionId)> = places.collect();
        let changes = places.into_iter().filter_map(|(route, region)| {
            let (now, before) = (share(&self.shares, route, region), share(&self.reported, route, region));
            let is_change = (now - before).abs() >= REPORTED_STEP || (now == 0.0 && before > 0.0);
            is_change.then(|| PlannedShare {
                route: route.clone(),
                region: region.clone(),
                share: now,
            })
        });
        let changes: Vec<_> = changes.collect();
        for change in &changes {
            let reported = self.reported.entry(change.route.clone()).or_default();
            reported.insert(change.region.clone(), change.share);
            reported.retain(|_, share| *share > 0.0);
        }
        self.reported.retain(|_, shares| !shares.is_empty());
        changes
    }

    /// Returns the region to which a request goes by the plan, with `draw` in 0..1; `None` if it stays.
    fn region(&self, route: &str, draw: f64) -> Option<&RegionId> {
        let shares = self.shares.get(route)?;
        let mut below = 0.0;
        for (region, share) in shares.iter().filter(|(_, share)| **share >= MIN_SHARE) {
            below += share;
            if draw < below {
                return Some(region);
            }
        }
        None
    }
}

impl Relay {
    /// Counts the work that a request of a caller asks for.
    pub(crate) fn record_demand(&mut self, admitted: &AdmittedRequest, now: Time) {
        if self.options.plans_regions {
            let work_ms = self.planned_work_ms(admitted);
            self.demand
                .record(&admitted.route.name, &admitted.service, work_ms, now);
        }
    }

    /// Returns the endpoint time in milliseconds that a request takes: of an engine its prefill or its share of the slots, whichever
    /// is more.
    fn planned_work_ms(&self, admitted: &AdmittedRequest) -> f64 {
        let model = self.latency_model(&admitted.service);
        let Some(prompt) = &admitted.prompt else {
            return model.service_ms();
        };
        let engine = self.service(&admitted.service).and_then(|service| service.engine);
        let slots = engine.map_or(1, |engine| engine.slots.max(1));
        let unshared = prompt.input.saturating_sub(prompt.shared_tokens());
        model.prefill_ms(unshared).max(model.stream_ms() / f64::from(slots))
    }

    /// Returns the demand of this VM's callers, for other VMs.
    pub(crate) fn demand_reports(&self, now: Time) -> Vec<RouteDemand> {
        self.demand.reports(now)
    }

    /// Returns the demand of the callers of this failure domain, for other domains.
    pub(crate) fn domain_demand(&self, now: Time) -> Vec<RouteDemand> {
        let own = self.demand.reports(now);
        let neighbours = self.peer_demands.values().filter(|(_, at)| is_fresh(*at, now));
        demand::sum(own.iter().chain(neighbours.flat_map(|(demands, _)| demands)))
    }

    /// Brings the plan up to date; called at each tick.
    pub(crate) fn update_region_plan(&mut self, now: Time) {
        if !self.options.plans_regions {
            return;
        }
        self.peer_demands.retain(|_, (_, at)| is_fresh(*at, now));
        let demands = self.regional_demands(now);
        let in_force = self.demanded_routes(&demands);
        let mut target = RegionShares::new();
        let services = self.table.iter().flat_map(|table| table.services.keys());
        for service in services {
            let routes = Self::planned_routes(service, &demands, &in_force);
            if !routes.is_empty() {
                let capacity = self.regional_capacity(service, &demands);
                target.extend(plan(&self.options.local.region, &capacity, routes));
            }
        }
        self.region_plan.approach(&target);
    }

    /// Returns the shares of the local callers' requests for a route that go to other regions.
    pub fn planned_shares(&self, route: &str) -> impl Iterator<Item = (&RegionId, f64)> {
        let shares = self.region_plan.shares.get(route);
        shares.into_iter().flatten().map(|(region, share)| (region, *share))
    }

    /// Returns the planned shares that have changed since the last call, for the log.
    pub fn take_plan_changes(&mut self) -> Vec<PlannedShare> {
        self.region_plan.take_changes()
    }

    /// Returns the forward of a request that the plan moves to another region; `None` if it stays, or if the other region is not expected
    /// to start it in time.
    pub(crate) fn planned_forward(
        &mut self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
        now: Time,
    ) -> Option<Choice> {
        let is_new = history.sends() == 0 && history.declines() == 0 && !admitted.resumed;
        if admitted.forwarded || !is_new || admitted.pinned_software.is_some() {
            return None;
        }
        let draw = sw_member::rendezvous_score(&*admitted.id, &admitted.route.name) as f64 / u64::MAX as f64;
        let region = self.region_plan.region(&admitted.route.name, draw)?.clone();
        let remote = self.remote_estimate(admitted, &region, history, now)?;
        let elapsed_ms = now.since(admitted.received_at).0 as f64;
        let limit_ms = admitted.route.objective.0 as f64 * START_SHARE;
        if remote.expected_ms + elapsed_ms > limit_ms || remote.overrun_ms > 0.0 {
            return None;
        }
        self.forward_choice(admitted, remote, None, history, now)
    }

    /// Returns the demand of each region's callers; a region without a recent report of each of its domains is left out.
    fn regional_demands(&self, now: Time) -> IndexMap<RegionId, Vec<RouteDemand>> {
        let mut demands: IndexMap<RegionId, Vec<RouteDemand>> = IndexMap::new();
        let local = &self.options.local;
        for (domain, region) in &self.options.domain_regions {
            let reported = if *domain == local.domain {
                Some(self.domain_demand(now))
            } else {
                self.reported_demand(domain, now)
            };
            demands
                .entry(region.clone())
                .or_default()
                .extend(reported.into_iter().flatten());
        }
        let has_report = |region: &RegionId| {
            let mut domains = self.options.domain_regions.iter().filter(|(_, of)| *of == region);
            domains.any(|(domain, _)| *domain == local.domain || self.reported_demand(domain, now).is_some())
        };
        demands.retain(|region, _| has_report(region));
        demands
    }

    fn planned_routes(
        service: &ServiceId,
        demands: &IndexMap<RegionId, Vec<RouteDemand>>,
        in_force: &IndexMap<&str, &Route>,
    ) -> Vec<PlannedRoute> {
        let mut routes: IndexMap<&str, PlannedRoute> = IndexMap::new();
        for (region, demands) in demands {
            for demand in demands.iter().filter(|demand| demand.service == *service) {
                let Some(route) = in_force.get(demand.route.as_str()) else {
                    continue;
                };
                let planned = routes.entry(&demand.route).or_insert_with(|| PlannedRoute {
                    name: demand.route.clone(),
                    demand: IndexMap::new(),
                    permitted: route.regions.clone(),
                });
                *planned.demand.entry(region.clone()).or_default() += demand.work_ms;
            }
        }
        routes.into_values().collect()
    }

    /// Returns the routes in force that have demand, by name, in one pass over all routes.
    fn demanded_routes(&self, demands: &IndexMap<RegionId, Vec<RouteDemand>>) -> IndexMap<&str, &Route> {
        let names: IndexSet<&str> = demands.values().flatten().map(|demand| demand.route.as_str()).collect();
        if names.is_empty() {
            return IndexMap::new();
        }
        let routes = self.table.iter().flat_map(|table| table.routes());
        let demanded = routes.filter(|route| names.contains(route.name.as_str()));
        demanded.map(|route| (route.name.as_str(), &**route)).collect()
    }

    /// Returns the work in milliseconds that the usable endpoints of a service do in a second, by region with known demand.
    fn regional_capacity(
        &self,
        service: &ServiceId,
        demands: &IndexMap<RegionId, Vec<RouteDemand>>,
    ) -> IndexMap<RegionId, f64> {
        let is_engine = self.cache_capacity(service).is_some();
        let mut capacity: IndexMap<RegionId, f64> = demands.keys().map(|region| (region.clone(), 0.0)).collect();
        for endpoint in self.registry.usable(service) {
            let parallel = if is_engine { 1 } else { endpoint.entry.slots.max(1) };
            let region = self.region_of(&endpoint.entry.domain);
            if let Some(capacity) = region.and_then(|region| capacity.get_mut(region)) {
                *capacity += f64::from(parallel) * MILLIS_PER_SECOND;
            }
        }
        capacity
    }
}

/// Whether a report is recent enough to plan by it.
pub(crate) fn is_fresh(reported_at: Time, now: Time) -> bool {
    /// Longer than a heartbeat of the largest domain takes, and shorter than a peak lasts.
    const MAX_AGE_MS: u64 = 3_000;
    now.since(reported_at).0 < MAX_AGE_MS
}
