//! State of one VM.

use std::sync::Arc;

use indexmap::IndexMap;
use sw_admit::RetryBudget;
use sw_member::Members;
use sw_unit::{DomainId, EndpointId, Millis, RegionId, Time, Tokens, VmId};

use crate::cache_directory::CacheDirectory;
use crate::connection::IdleConnections;
use crate::coordinator::Coordinators;
use crate::demand::DemandMeter;
use crate::exchange::RemoteView;
use crate::health_check::ColdSuspects;
use crate::path::Paths;
use crate::pause::PauseDetector;
use crate::permitted_regions::NewerVersion;
use crate::placement::Placements;
use crate::prefill_isolation::PrefillIsolation;
use crate::quarantine::Quarantine;
use crate::rate_limit::RateLimits;
use crate::rate_limiter::RateLimiter;
use crate::region::RemoteRegions;
use crate::region_plan::RegionPlan;
use crate::registry::Endpoint;
use crate::rejection_limit::BrittleServices;
use crate::retry::RecentRequests;
use crate::room::Room;
use crate::row_exchange::RowExchange;
use crate::share_keeper::ExpectedStart;
use crate::store_state::LaterPosition;
use crate::stream_origin::StreamOrigins;
use crate::version_history::VersionHistory;
use crate::watcher::FailedWatcher;
use crate::{
    EndpointTracker, FairShare, LatencyModel, Options, QuotaOptions, Quotas, Registry, ReturnSchedule, RouteDemand,
    RouteTable, Service, ServiceId, StoreState,
};

/// Time after the start during which a VM may not know all other VMs yet.
pub(crate) const JOIN_TIME: Millis = Millis(2_000);

/// Decision core of one VM for discovered services.
#[derive(Debug)]
pub struct Relay {
    pub(crate) options: Options,
    pub(crate) members: Members,
    pub(crate) registry: Registry,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) loads: IndexMap<EndpointId, EndpointTracker>,
    pub(crate) idle_connections: IdleConnections,
    pub(crate) models: IndexMap<ServiceId, LatencyModel>,
    pub(crate) regions: RemoteRegions,
    pub(crate) store: StoreState,
    pub(crate) pauses: PauseDetector,
    /// Latest instant at which the version in force is known to have been the newest one in the store.
    pub(crate) proven_at: Option<Time>,
    /// The newest version that another VM is known to run, if this VM lacks it.
    pub(crate) newer_version: Option<NewerVersion>,
    /// Whether the store was restored from an older copy since this VM started.
    pub(crate) store_restored: bool,
    /// Recent requests by route.
    pub(crate) traffic: IndexMap<String, f64>,
    pub(crate) peer_stores: IndexMap<VmId, StoreState>,
    /// A later position of another VM's mirror.
    pub(crate) later_position: Option<LaterPosition>,
    /// What other VMs know of the membership rows.
    pub(crate) rows: RowExchange,
    /// Latest views of the other failure domains.
    pub(crate) remote_views: IndexMap<DomainId, RemoteView>,
    /// Which engines have which shared prompt parts cached.
    pub(crate) cache_directory: CacheDirectory,
    pub(crate) coordinators: Coordinators,
    /// Engines that are set apart for prompts with a long prefill.
    pub(crate) isolations: IndexMap<ServiceId, PrefillIsolation>,
    pub(crate) rate_limits: RateLimits,
    pub(crate) rate_limiter: RateLimiter,
    /// Lost paths to endpoints.
    pub(crate) paths: Paths,
    /// Endpoints that may be cold.
    pub(crate) cold_suspects: ColdSuspects,
    pub(crate) rejection_limits: RateLimits,
    pub(crate) brittle_services: BrittleServices,
    /// The room at the brittle endpoints that this VM coordinates.
    pub(crate) rooms: IndexMap<EndpointId, Room>,
    pub(crate) quarantine: Quarantine,
    pub(crate) quotas: Quotas,
    /// Software versions of the services.
    pub(crate) versions: VersionHistory,
    /// Software versions at which new streams begin.
    pub(crate) placements: Placements,
    /// Software versions that started streams.
    pub(crate) origins: StreamOrigins,
    /// Unresponsive coordinators, with the time until which they are not asked.
    pub(crate) unresponsive: IndexMap<VmId, Time>,
    /// Failed watchers of the store.
    pub(crate) failed_watchers: IndexMap<VmId, FailedWatcher>,
    pub(crate) budgets: IndexMap<ServiceId, RetryBudget>,
    /// Work that callers of this VM ask for.
    pub(crate) demand: DemandMeter,
    /// The same of the neighbours, with the time of the report.
    pub(crate) peer_demands: IndexMap<VmId, (Vec<RouteDemand>, Time)>,
    pub(crate) region_plan: RegionPlan,
    /// Recent requests by service.
    pub(crate) recent_requests: IndexMap<ServiceId, RecentRequests>,
    /// Shares of the endpoints that this VM coordinates, by service.
    pub(crate) shares: IndexMap<ServiceId, FairShare>,
    /// When the requests that this VM granted a slot at an engine are expected to start.
    pub(crate) expected_starts: IndexMap<(EndpointId, u64), ExpectedStart>,
    /// Shares of the requests that this VM itself sends, by service.
    pub(crate) own_shares: IndexMap<ServiceId, FairShare>,
    /// When refused callers of this VM should return, by service.
    pub(crate) returns: IndexMap<ServiceId, ReturnSchedule>,
    pub(crate) rng: fastrand::Rng,
}

impl Relay {
    /// Creates the state of a VM that knows only itself.
    pub fn new(options: Options) -> Self {
        Self {
            members: Members::new(options.local.clone(), options.members),
            registry: Registry::default(),
            table: None,
            loads: IndexMap::new(),
            idle_connections: IdleConnections::default(),
            models: IndexMap::new(),
            regions: RemoteRegions::new(),
            store: StoreState::default(),
            pauses: PauseDetector::default(),
            proven_at: None,
            newer_version: None,
            store_restored: false,
            traffic: IndexMap::new(),
            peer_stores: IndexMap::new(),
            later_position: None,
            rows: RowExchange::default(),
            remote_views: IndexMap::new(),
            cache_directory: CacheDirectory::default(),
            coordinators: Coordinators::new(),
            isolations: IndexMap::new(),
            rate_limits: RateLimits::default(),
            rate_limiter: RateLimiter::default(),
            paths: Paths::default(),
            cold_suspects: ColdSuspects::default(),
            rejection_limits: RateLimits::default(),
            brittle_services: BrittleServices::new(),
            rooms: IndexMap::new(),
            quarantine: Quarantine::default(),
            quotas: Quotas::new(QuotaOptions::from_relay(&options)),
            versions: VersionHistory::default(),
            placements: Placements::default(),
            origins: StreamOrigins::default(),
            unresponsive: IndexMap::new(),
            failed_watchers: IndexMap::new(),
            budgets: IndexMap::new(),
            demand: DemandMeter::default(),
            peer_demands: IndexMap::new(),
            region_plan: RegionPlan::default(),
            recent_requests: IndexMap::new(),
            shares: IndexMap::new(),
            expected_starts: IndexMap::new(),
            own_shares: IndexMap::new(),
            returns: IndexMap::new(),
            rng: fastrand::Rng::with_seed(options.seed),
            options,
        }
    }

    /// Returns the current configuration; `None` before the first one was applied.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the registry of endpoints.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the known VMs.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Records that the store has recovered from an outage.
    pub fn on_store_recovered(&mut self, now: Time) {
        self.registry.on_store_recovered(now);
        self.placements.on_store_recovered();
    }

    /// Marks this VM as leaving, which its next heartbeats announce.
    pub fn announce_leaving(&mut self) {
        self.members.leave();
    }

    /// Returns the load of an endpoint; `None` if it is not tracked.
    pub fn load(&self, endpoint: &EndpointId) -> Option<&EndpointTracker> {
        self.loads.get(endpoint)
    }

    pub(crate) fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.table.as_ref()?.services.get(id)
    }

    /// Returns the cache capacity of an engine of a service; `None` for a plain service.
    pub(crate) fn cache_capacity(&self, id: &ServiceId) -> Option<Tokens> {
        let engine = self.service(id).and_then(|service| service.engine);
        engine.map(|engine| engine.cache_capacity)
    }

    /// Returns the usable endpoints of a service in the local region.
    pub(crate) fn local_endpoints<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Endpoint> {
        let region = &self.options.local.region;
        let usable = self.registry.usable(service);
        usable.filter(move |endpoint| self.region_of(&endpoint.entry.domain) == Some(region))
    }

    pub(crate) fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.options.domain_regions.get(domain)
    }

    /// Returns whether this VM has just started and does not know any other VM yet.
    pub(crate) fn is_joining(&self, now: Time) -> bool {
        now.since(self.options.started_at) < JOIN_TIME && self.members.peers().next().is_none()
    }

    /// Returns the number of VMs that may send to the endpoints of this region, live or not, including this VM.
    pub(crate) fn senders(&self) -> usize {
        let region = &self.options.local.region;
        let peers = self.members.peers().filter(|row| row.region == *region);
        1 + peers.count()
    }

    /// Returns the rank of this VM among the senders.
    pub(crate) fn sender_rank(&self) -> usize {
        let local = self.members.local();
        let peers = self.members.peers();
        let lower_ranked = peers.filter(|row| row.region == local.region && row.vm < local.vm);
        lower_ranked.count()
    }
}
