//! The state of one VM, and what it learns.

use std::sync::Arc;

use indexmap::IndexMap;
use sw_admit::RetryBudget;
use sw_error::{Kind, Refusal};
use sw_member::{Members, VmRow};
use sw_unit::{DomainId, EndpointId, Millis, Rate, RegionId, Time, Tokens, VmId};

use crate::cache_directory::CacheDirectory;
use crate::coordinator::{Coordinators, Grant};
use crate::exchange::HeardView;
use crate::region::RemoteRegions;
use crate::registry::Endpoint;
use crate::retry::Recent;
use crate::{
    Attempt, AttemptOutcome, EndpointEntry, EndpointReport, EndpointTracker, LatencyModel, PrefillPlan, Prompt,
    Registry, RequestHead, Route, RouteTable, Service, ServiceId, SlowStartShare, StoreRecord,
};

/// What is left of the count of recent requests after each tick.
const TRAFFIC_DECAY: f64 = 0.97;
/// Time after the start in which a VM may not know all others yet.
const JOIN_TIME: Millis = Millis(2_000);
/// Time that a caller without a deadline is taken to wait.
const DEFAULT_PATIENCE: Millis = Millis(30_000);

/// Bounds of [`Relay`].
#[derive(Debug, Clone)]
pub struct Options {
    /// What this VM says about itself.
    pub local: VmRow,
    /// Bounds of membership.
    pub members: sw_member::Options,
    /// The region of each failure domain.
    pub domain_regions: IndexMap<DomainId, RegionId>,
    /// Share of a service's requests that may be sent once more, by all VMs together.
    pub retry_ratio: f64,
    /// Further retries that all VMs together may make in a window.
    pub retry_slack: f64,
    /// When the process started.
    pub started_at: Time,
    /// Seed of random choices.
    pub seed: u64,
}

/// A request that may be run.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// The id that the caller gave this attempt.
    pub id: Arc<str>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: ServiceId,
    /// Its prompt, if it goes to a model engine.
    pub prompt: Option<Prompt>,
    /// When it was received.
    pub received_at: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// When its final answer is due: the deadline, or the route's timeout if that is sooner.
    pub due: Time,
    /// Endpoints on which it may run.
    pub max_attempts: u32,
    /// Whether another VM forwarded it.
    pub forwarded: bool,
    /// Whether its answer has begun elsewhere, so that it is worth finishing late.
    pub resumed: bool,
    /// The version of the configuration that admitted it.
    pub config_version: sw_unit::Version,
}

impl AdmittedRequest {
    /// Whether the request is of the most urgent kind.
    pub(crate) fn is_urgent(&self) -> bool {
        self.route.priority == 0
    }

    /// Time until the final answer is due.
    pub fn remaining(&self, now: Time) -> Millis {
        self.due.since(now)
    }
}

/// The decision core of one VM for discovered services.
#[derive(Debug)]
pub struct Relay {
    pub(crate) options: Options,
    pub(crate) members: Members,
    pub(crate) registry: Registry,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) loads: IndexMap<EndpointId, EndpointTracker>,
    pub(crate) models: IndexMap<ServiceId, LatencyModel>,
    pub(crate) regions: RemoteRegions,
    pub(crate) revision: u64,
    /// Recent requests by route.
    pub(crate) traffic: IndexMap<String, f64>,
    pub(crate) peer_revisions: IndexMap<VmId, u64>,
    /// Digests of the rows that other VMs know.
    pub(crate) digests: IndexMap<VmId, u64>,
    /// What other failure domains say of themselves.
    pub(crate) views: IndexMap<DomainId, HeardView>,
    /// Which engines keep the shared parts of prompts.
    pub(crate) cache_directory: CacheDirectory,
    pub(crate) coordinators: Coordinators,
    /// Coordinators that did not answer, with the time until which they are not asked.
    pub(crate) silent: IndexMap<VmId, Time>,
    /// Watchers of the store that did not help, with the time until which they are not asked.
    pub(crate) unhelpful: IndexMap<VmId, Time>,
    pub(crate) budgets: IndexMap<ServiceId, RetryBudget>,
    /// Requests of the last seconds by service.
    pub(crate) recent: IndexMap<ServiceId, Recent>,
    pub(crate) rng: fastrand::Rng,
}

impl Relay {
    /// A VM that knows nothing but itself.
    pub fn new(options: Options) -> Self {
        Self {
            members: Members::new(options.local.clone(), options.members),
            registry: Registry::default(),
            table: None,
            loads: IndexMap::new(),
            models: IndexMap::new(),
            regions: RemoteRegions::new(),
            revision: 0,
            traffic: IndexMap::new(),
            peer_revisions: IndexMap::new(),
            digests: IndexMap::new(),
            views: IndexMap::new(),
            cache_directory: CacheDirectory::default(),
            coordinators: Coordinators::new(),
            silent: IndexMap::new(),
            unhelpful: IndexMap::new(),
            budgets: IndexMap::new(),
            recent: IndexMap::new(),
            rng: fastrand::Rng::with_seed(options.seed),
            options,
        }
    }

    /// The configuration in force; `None` before any was learned.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// The endpoints.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The VMs.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Takes in what the store says, and returns whether that changed anything.
    ///
    /// A configuration that is not newer than the one in force is ignored.
    pub fn apply(&mut self, fact: StoreRecord, now: Time) -> bool {
        match fact {
            StoreRecord::Table(table) => self.adopt(table),
            StoreRecord::Endpoint(_, Some(entry)) => self.learn_endpoint(entry, now),
            StoreRecord::Endpoint(id, None) | StoreRecord::Malformed { endpoint: Some(id), .. } => {
                self.registry.on_registration_removed(&id, now)
            }
            StoreRecord::Evacuated(domain, on) => self.registry.set_evacuated(domain, on),
            StoreRecord::Malformed { endpoint: None, .. } | StoreRecord::Other => false,
        }
    }

    /// Records up to which revision the store's changes are known.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Records that the store answers again after an outage.
    pub fn on_store_recovered(&mut self, now: Time) {
        self.registry.on_store_recovered(now);
    }

    /// Announces that this VM is stopping.
    pub fn announce_leaving(&mut self) {
        self.members.leave();
    }

    /// Drops what is out of date, and returns the endpoints that are gone.
    pub fn tick(&mut self, now: Time) -> Vec<EndpointId> {
        self.members.prune(now);
        for requests in self.traffic.values_mut() {
            *requests *= TRAFFIC_DECAY;
        }
        self.cache_directory.prune(now);
        let gone = self.registry.expire(now);
        self.assign_coordinators(now);
        self.unhelpful.retain(|_, until| *until > now);
        for load in self.loads.values_mut() {
            load.expire_reservations(now);
        }
        let registry = &self.registry;
        self.loads
            .retain(|id, load| load.running > 0 || registry.get(id).is_some());
        gone
    }

    /// Admits a request that was received at `received_at`, with `left` until the caller stops waiting.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::NoConfiguration`] before a configuration is known, with [`Kind::UnknownRoute`], or with
    /// [`Kind::WrongRegion`] if another VM forwarded it into a region that the route does not permit.
    pub fn admit(&mut self, head: RequestHead, received_at: Time, forwarded: bool) -> Result<AdmittedRequest, Refusal> {
        let table = self.table.clone().ok_or(Kind::NoConfiguration)?;
        let route = table.find(&head.host, &head.path).ok_or(Kind::UnknownRoute)?;
        if forwarded && !route.permits(&self.options.local.region) {
            return Err(Kind::WrongRegion.into());
        }
        let service = route.pick_target(self.rng.u64(..)).ok_or(Kind::NoEndpoint)?.clone();
        if !forwarded {
            *self.traffic.entry(route.name.clone()).or_default() += 1.0;
            self.deposit_retries(&service, received_at);
        }
        let deadline = received_at + head.remaining.unwrap_or(DEFAULT_PATIENCE);
        Ok(AdmittedRequest {
            id: head.id,
            due: deadline.min(received_at + route.timeout),
            deadline,
            route: Arc::clone(route),
            service,
            prompt: head.prompt,
            max_attempts: route.max_attempts.max(1),
            received_at,
            forwarded,
            resumed: false,
            config_version: table.version,
        })
    }

    /// Begins an attempt at an endpoint that was chosen, and in whose queue a place may have been `granted`; `None` if
    /// nothing may be sent there any more.
    pub fn start_attempt(
        &mut self,
        admitted: &AdmittedRequest,
        endpoint: &EndpointEntry,
        granted: Option<&Grant>,
        now: Time,
    ) -> Option<Attempt> {
        if !self.registry.may_send(endpoint, now) || !self.slow_start_allows(endpoint, now) {
            return None;
        }
        let cache_source = self.cache_source(admitted, endpoint, now);
        let plan = match (granted, &admitted.prompt) {
            (Some(granted), _) => granted.plan,
            (None, Some(prompt)) => {
                let distance = cache_source.as_ref().map(|source| source.distance);
                self.prefill_plan(&admitted.service, &endpoint.id, prompt, distance, now)
            }
            (None, None) => PrefillPlan::default(),
        };
        let prefill_ms = self.prefill_ms(&admitted.service, plan.prefill);
        let transfer_ms = self.plan_transfer_ms(&admitted.service, plan);
        let memory = self.cache_capacity(&admitted.service);
        let cold = self.cold_share(endpoint, now);
        let queue_ms = if admitted.prompt.is_none() {
            self.response_ms(&admitted.service, endpoint, now) - self.service_ms(&admitted.service)
        } else {
            0.0
        };
        let load = self.loads.entry(endpoint.id.clone()).or_default();
        let backlog_ms = granted.map_or_else(
            || load.backlog_ms(now).max(queue_ms),
            |granted| granted.estimate.backlog_ms,
        );
        // A place in the queue is in the coordinator's account already.
        let unread_ms = if granted.is_some() { 0.0 } else { prefill_ms };
        let entry_id = load.on_dispatch(unread_ms, now + Millis(transfer_ms as u64), now);
        if let (Some(prompt), Some(memory)) = (&admitted.prompt, memory) {
            load.cache.insert(prompt, memory, now);
            self.record_prefill(
                &admitted.service,
                &endpoint.id,
                prompt,
                backlog_ms.max(transfer_ms) + prefill_ms,
                now,
            );
        }
        let load = self.loads.entry(endpoint.id.clone()).or_default();
        if let Some((share, cold_for)) = cold {
            load.slow_start.on_dispatch(share, cold_for);
        }
        Some(Attempt {
            endpoint: endpoint.clone(),
            service: admitted.service.clone(),
            started_at: now,
            entry_id,
            plan,
            prefill_ms,
            transfer_ms,
            cache_source,
            backlog_ms,
            first_event_at: None,
            events: 0,
            expected_output: admitted.prompt.as_ref().map_or(Tokens(0), Prompt::expected_output),
        })
    }

    /// Records the first event of a stream.
    pub fn on_first_event(&mut self, attempt: &mut Attempt, now: Time) {
        attempt.first_event_at = Some(now);
        attempt.events = 1;
        if let Some(load) = self.loads.get_mut(&attempt.endpoint.id) {
            load.on_prefill_done(attempt.entry_id, now);
        }
        if attempt.backlog_ms < 1.0 {
            self.record_first_event(attempt, now);
        }
    }

    /// Records a pause between two events of a stream.
    pub fn record_gap(&mut self, attempt: &mut Attempt, gap: Millis, now: Time) {
        attempt.events += 1;
        if let Some(load) = self.loads.get_mut(&attempt.endpoint.id) {
            load.record_gap(gap, now);
        }
    }

    /// Records what an endpoint says about itself with an answer, and returns whether it is news that it is leaving.
    pub fn on_endpoint_report(&mut self, endpoint: &EndpointEntry, report: &EndpointReport, now: Time) -> bool {
        if let (Some(report), Some(load)) = (report.load, self.loads.get_mut(&endpoint.id)) {
            load.record_report(report, now);
        }
        if let Some(cold_for) = report.cold_for {
            self.registry.extend_cold(&endpoint.id, cold_for, now);
        }
        if let Some(wait) = report.retry_after {
            self.registry.on_rejected(endpoint, wait, now);
        }
        report.leaving && self.registry.on_leaving(endpoint)
    }

    /// Ends an attempt, and returns the end of the pause if the endpoint is paused for its failures.
    pub fn end_attempt(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Time) -> Option<Time> {
        if outcome == AttemptOutcome::Complete {
            let model = self.models.entry(attempt.service.clone()).or_default();
            if let Some(first_event) = attempt.first_event_at {
                model.record_events(attempt.expected_output, attempt.events);
                model.record_stream(attempt.prefill_ms, now.since(first_event));
            } else if attempt.backlog_ms < 1.0 {
                model.record_service_time(attempt.age(now));
            }
        }
        let load = self.loads.get_mut(&attempt.endpoint.id)?;
        load.on_end(attempt.entry_id, now);
        if outcome == AttemptOutcome::Complete {
            load.on_success();
            return None;
        }
        if outcome.is_fault() {
            load.on_failure(outcome.is_absent(), now)
        } else {
            None
        }
    }

    /// The load of an endpoint; `None` if nothing was sent there.
    pub fn load(&self, endpoint: &EndpointId) -> Option<&EndpointTracker> {
        self.loads.get(endpoint)
    }

    pub(crate) fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.table.as_ref()?.services.get(id)
    }

    /// Tokens that an engine of a service holds; `None` for a plain service.
    pub(crate) fn cache_capacity(&self, id: &ServiceId) -> Option<Tokens> {
        let engine = self.service(id).and_then(|service| service.engine);
        engine.map(|engine| engine.cache_capacity)
    }

    /// Endpoints of a service in the own region that may be sent to.
    pub(crate) fn local_endpoints<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Endpoint> {
        let region = &self.options.local.region;
        let usable = self.registry.usable(service);
        usable.filter(move |endpoint| self.region_of(&endpoint.entry.domain) == Some(region))
    }

    pub(crate) fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.options.domain_regions.get(domain)
    }

    /// Whether this VM has just started and heard of no other one yet.
    pub(crate) fn is_joining(&self, now: Time) -> bool {
        now.since(self.options.started_at) < JOIN_TIME && self.members.peers().next().is_none()
    }

    /// VMs that may send to the endpoints of this region, live or not, this VM included.
    pub(crate) fn senders(&self) -> usize {
        let region = &self.options.local.region;
        let others = self.members.peers().filter(|row| row.region == *region);
        1 + others.count()
    }

    /// The place of this VM among the senders.
    pub(crate) fn sender_rank(&self) -> usize {
        let own = self.members.local();
        let others = self.members.peers();
        let before = others.filter(|row| row.region == own.region && row.vm < own.vm);
        before.count()
    }

    /// This VM's part of an endpoint's rate while it is cold, and how long it is; `None` if it is warm.
    fn cold_share(&self, endpoint: &EndpointEntry, now: Time) -> Option<(SlowStartShare, Millis)> {
        let known = self.registry.get(&endpoint.id)?;
        let cold_for = known.cold_until.since(now);
        if cold_for == Millis(0) {
            return None;
        }
        let share = SlowStartShare {
            rate: self
                .service(&endpoint.service)
                .map_or(Rate(0.0), |service| service.cold_rate),
            senders: self.senders(),
            rank: self.sender_rank(),
        };
        Some((share, cold_for))
    }

    /// Whether the endpoint is warm or this VM may send to it in spite of that.
    ///
    /// A VM that has just started does not know yet how many others send there, and sends nothing.
    pub(crate) fn slow_start_allows(&self, endpoint: &EndpointEntry, now: Time) -> bool {
        let Some((share, cold_for)) = self.cold_share(endpoint, now) else {
            return true;
        };
        let slow_start = self
            .loads
            .get(&endpoint.id)
            .map(|load| load.slow_start)
            .unwrap_or_default();
        now.since(self.options.started_at) >= JOIN_TIME && slow_start.allows(share, cold_for)
    }

    fn adopt(&mut self, table: Arc<RouteTable>) -> bool {
        let newer = self.table.as_ref().is_none_or(|known| known.version < table.version);
        if newer {
            self.members.set_version(table.version);
            self.table = Some(table);
        }
        newer
    }

    fn learn_endpoint(&mut self, entry: EndpointEntry, now: Time) -> bool {
        let known = self.registry.get(&entry.id);
        let restarted = known.is_some_and(|known| known.entry.incarnation < entry.incarnation);
        if restarted && let Some(load) = self.loads.get_mut(&entry.id) {
            load.cache.clear();
            load.on_success();
        }
        if restarted {
            self.cache_directory.remove_endpoint(&entry.id);
        }
        self.registry.apply(entry, now)
    }
}
