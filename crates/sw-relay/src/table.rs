//! Configuration of routes and services.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sw_unit::{Bytes, Millis, Rate, RegionId, Tokens, Version};

use crate::{ServiceId, Workspaces};

/// Retry semantics of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request may be executed at most once.
    NonIdempotent,
    /// The response is an event stream; a request may be executed at most once.
    Streaming,
    /// The response is an event stream that another endpoint can resume.
    Resumable,
}

impl RouteKind {
    /// Returns whether a request that may have been executed can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns whether the response is an event stream.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming | Self::Resumable)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it matches.
    pub host: String,
    /// The path prefix that it matches.
    pub prefix: String,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Maximum time until the end of the response.
    pub timeout: Millis,
    /// Latency objective of the response, or of its first event.
    pub objective: Millis,
    /// Objective of the gap between two events.
    pub gap_objective: Option<Millis>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of endpoints on which one request may be executed.
    pub max_attempts: u32,
    /// Services that run its requests.
    pub targets: Vec<Target>,
    /// Permitted regions; empty means all.
    pub regions: Vec<RegionId>,
    /// Whether its requests need no key.
    pub public: bool,
}

impl Route {
    /// Returns whether the service is one of the route's targets.
    pub fn leads_to(&self, service: &ServiceId) -> bool {
        self.targets.iter().any(|target| target.service == *service)
    }

    /// Returns whether requests may run in `region`.
    pub fn permits(&self, region: &RegionId) -> bool {
        self.regions.is_empty() || self.regions.contains(region)
    }

    /// Picks a service by weight with the random number `draw`.
    pub fn pick_target(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut at = draw.checked_rem(total).unwrap_or_default();
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if at < weight {
                return Some(&target.service);
            }
            at -= weight;
        }
        self.targets.first().map(|target| &target.service)
    }
}

/// Configuration of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of its prompt cache in tokens.
    pub cache_capacity: Tokens,
    /// Rate of cache transfers from another engine in tokens per second; 0 if transfers are not supported.
    pub transfer_rate: Rate,
    /// Tokens in an event of a stream; 1 if the configuration does not state it.
    pub tokens_per_event: u32,
}

impl EngineSpec {
    /// Returns the nominal duration of a cache transfer of `tokens` in milliseconds; `None` if transfers are not
    /// supported.
    pub(crate) fn transfer_ms(&self, tokens: Tokens) -> Option<f64> {
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        (self.transfer_rate.0 > 0.0).then(|| tokens.0 as f64 * MILLIS_PER_SECOND / self.transfer_rate.0)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that each endpoint accepts from all VMs together.
    pub max_connections: u32,
    /// Requests per second that a cold endpoint can take.
    pub cold_rate: Rate,
    /// Time after its start for which an endpoint is cold.
    pub cold_for: Millis,
    /// Path of the health requests to its endpoints.
    pub health_path: Arc<str>,
    /// Its model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request headers.
    pub max_headers: Bytes,
    /// Maximum size of the request body.
    pub max_body: Bytes,
    /// Timeout for receiving the request headers.
    pub header_timeout: Millis,
    /// Timeout of an idle connection.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_headers: Bytes(16 << 10),
            max_body: Bytes(4 << 20),
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// The routes and services of one version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Its version.
    pub version: Version,
    /// The services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// The workspaces; `None` if requests need no key.
    pub workspaces: Option<Workspaces>,
    /// Routes by host, longest prefix first.
    hosts: IndexMap<String, Vec<Arc<Route>>>,
    /// Services that routes of different priority lead to.
    ranked: IndexSet<ServiceId>,
}

impl RouteTable {
    /// Creates a configuration from routes and services.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: IndexMap<ServiceId, Service>,
        limits: CallerLimits,
    ) -> Self {
        let ranked = ranked_services(&routes);
        let mut hosts: IndexMap<String, Vec<Arc<Route>>> = IndexMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            workspaces: None,
            hosts,
            ranked,
        }
    }

    /// Requires a key of one of the workspaces for requests to routes that are not public.
    pub fn with_workspaces(self, workspaces: Workspaces) -> Self {
        Self {
            workspaces: Some(workspaces),
            ..self
        }
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whether workspaces, or routes of different priority, share a service.
    pub fn is_shared(&self, service: &ServiceId) -> bool {
        self.workspaces.is_some() || self.ranked.contains(service)
    }

    /// Returns the routes of `host`.
    pub fn routes_for_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.get(host).into_iter().flatten()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// Returns the services that routes of different priority lead to.
fn ranked_services(routes: &[Route]) -> IndexSet<ServiceId> {
    let mut priorities: IndexMap<&ServiceId, u32> = IndexMap::new();
    let mut ranked = IndexSet::new();
    let targets = routes
        .iter()
        .flat_map(|route| route.targets.iter().map(|target| (&target.service, route.priority)));
    for (service, priority) in targets {
        if *priorities.entry(service).or_insert(priority) != priority {
            ranked.insert(service.clone());
        }
    }
    ranked
}
