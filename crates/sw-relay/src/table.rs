//! The configuration of routes and services.

use std::sync::Arc;

use indexmap::IndexMap;
use sw_unit::{Bytes, Millis, Rate, RegionId, Tokens, Version};

use crate::ServiceId;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run once.
    NonIdempotent,
    /// The answer is a stream of events; a request may run once.
    Streaming,
    /// The answer is a stream of events that another endpoint can go on with.
    Resumable,
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming | Self::Resumable)
    }
}

/// A service that a route sends to, with its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests ask for.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the end of the answer.
    pub timeout: Millis,
    /// Time within which the answer, or its first event, is due.
    pub objective: Millis,
    /// Longest pause between two events that is still on time.
    pub gap_objective: Option<Millis>,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Services that run it.
    pub targets: Vec<Target>,
    /// Regions that it may be run in; empty if all.
    pub regions: Vec<RegionId>,
}

impl Route {
    /// Whether requests may be run in `region`.
    pub fn permits(&self, region: &RegionId) -> bool {
        self.regions.is_empty() || self.regions.contains(region)
    }

    /// The service for a request with the random number `draw`.
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

/// What the configuration says of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs at a time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub cache_capacity: Tokens,
    /// Tokens a second that it copies from another engine; 0 if it cannot.
    pub transfer_rate: Rate,
}

impl EngineSpec {
    /// Milliseconds that an engine takes to copy `tokens` from another one next to it; `None` if it cannot.
    pub(crate) fn transfer_ms(&self, tokens: Tokens) -> Option<f64> {
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        (self.transfer_rate.0 > 0.0).then(|| tokens.0 as f64 * MILLIS_PER_SECOND / self.transfer_rate.0)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that each endpoint takes from all callers together.
    pub max_connections: u32,
    /// Requests a second that a cold endpoint bears.
    pub cold_rate: Rate,
    /// How long an endpoint is cold after its start.
    pub cold_for: Millis,
    /// Its engines, if it serves models.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest header block.
    pub max_headers: Bytes,
    /// Longest body.
    pub max_body: Bytes,
    /// Time to send the headers.
    pub header_timeout: Millis,
    /// Time that a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_headers: Bytes(16 << 10),
            max_body: Bytes(4 << 20),
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Its version.
    pub version: Version,
    /// The services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Bounds on what callers send.
    pub limits: ClientLimits,
    /// Routes by host, those with the longest prefixes first.
    hosts: IndexMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A configuration of the given routes and services.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: IndexMap<ServiceId, Service>,
        limits: ClientLimits,
    ) -> Self {
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
            hosts,
        }
    }

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The routes of `host`.
    pub fn routes_for_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.get(host).into_iter().flatten()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
