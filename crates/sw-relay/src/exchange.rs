//! Exchange of heartbeats with other VMs, and the entry VMs for callers.

use sw_member::{RowSource, VmRow, VmState, rendezvous_score, size_weights, vm_at};
use sw_unit::{DomainId, EndpointId, Millis, RegionId, Time, VmId};

use crate::cache_directory::Origin;
use crate::entry_sample::sample_by_size;
use crate::load::Sender;
use crate::rate_limit::MAX_CALL_TRANSIT;
use crate::region_plan::is_fresh;
use crate::registry::Endpoint;
use crate::{
    AnsweredSuspect, AttemptHistory, CrashReport, DomainView, EndpointLoad, EndpointRateLimit, EndpointTracker,
    Heartbeat, LimitKind, RateLimitState, Relay, RouteDemand, ServiceId, ServiceLoad, VmAge,
};

/// Key of the draws that vary the lists of entry VMs.
const ENTRY_DRAW_KEY: &str = "entry";
/// Minimum number of entry VMs of the caller's failure domain; with fewer, those of the whole region are named.
const MIN_ENTRY_VMS: usize = 2;
/// Share of a host's permitted requests that live VMs of another region must be permitted to serve, so that callers are led
/// to them and not to VMs in a planned stop.
const MIN_LIVE_TRAFFIC_SHARE: f64 = 0.95;
/// Maximum age of a view of another domain that is sent on to neighbours.
const MAX_VIEW_AGE: Millis = Millis(4_000);
/// Share of a region's endpoints, the least busy ones, whose mean wait is reported as the wait of a new request.
const LEAST_BUSY_SHARE: f64 = 0.5;

/// A caller that asks for entry VMs.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryQuery<'a> {
    /// The caller's region.
    pub region: Option<&'a RegionId>,
    /// The caller's failure domain.
    pub domain: Option<&'a DomainId>,
    /// The host that it sends requests to.
    pub host: Option<&'a str>,
}

/// A received view of another failure domain.
#[derive(Debug, Clone)]
pub(crate) struct RemoteView {
    view: DomainView,
    received_at: Time,
    /// Whether it was received from a VM of that domain itself.
    is_direct: bool,
}

impl Relay {
    /// Returns the heartbeat for another VM, whose membership row is `to` if it is known.
    pub fn heartbeat(&self, to: Option<&VmRow>, now: Time) -> Heartbeat {
        let local = self.members.local();
        let neighbour = to.is_some_and(|row| row.domain == local.domain);
        let same_region = to.is_some_and(|row| row.region == local.region);
        let agree = self.agrees_with(to);
        Heartbeat {
            from: local.clone(),
            members_digest: self.members_digest(),
            known_vms: self.rows_to_send(to, now),
            store: self.store,
            endpoints: if neighbour { self.local_loads(now) } else { Vec::new() },
            domains: if neighbour {
                self.direct_views(now)
            } else {
                vec![self.local_view(same_region, !agree, now)]
            },
            cached_parts: if neighbour {
                self.cache_directory.local_updates(now)
            } else {
                Vec::new()
            },
            rate_limits: if neighbour {
                self.limit_reports(!agree, now)
            } else {
                Vec::new()
            },
            crashes: if neighbour {
                self.quarantine.evidence.crash_reports(!agree, now)
            } else {
                Vec::new()
            },
            answered: if neighbour {
                self.quarantine.evidence.answered_reports(!agree, now)
            } else {
                Vec::new()
            },
            versions: if agree { Vec::new() } else { self.versions.reports(now) },
            cut_off: self.paths.cut_off(),
            newer_version: self.heard_version(now),
            proof_age: self.proof_age(now),
            demands: if neighbour {
                self.demand_reports(now)
            } else {
                Vec::new()
            },
            row_query: self.row_query(to, now),
        }
    }

    /// Applies a heartbeat, and returns whether the row of its sender is new or changed.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> bool {
        let source = self.source_of_rows(&heartbeat.from);
        self.apply_heartbeat(heartbeat, source, now)
    }

    /// Applies a heartbeat whose rows are from `source`.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: Heartbeat, source: RowSource, now: Time) -> bool {
        self.on_version_heard(heartbeat.from.version, now);
        if let Some(heard) = heartbeat.newer_version {
            self.record_heard_version(heard.version, now - heard.age, now);
        }
        for row in heartbeat.known_vms {
            self.on_version_heard(row.version, now);
            self.members.on_gossip(row, source, now);
        }
        let vm = heartbeat.from.vm.clone();
        self.on_peer_store(&vm, heartbeat.store, now);
        self.paths.on_report(&vm, &heartbeat.cut_off);
        for load in heartbeat.endpoints {
            let known = self.loads.entry(load.endpoint.clone()).or_default();
            known.record_peer_load(Sender::Vm(vm.clone()), load, now);
        }
        for part in &heartbeat.cached_parts {
            self.cache_directory.record_reported(part, now, Origin::Neighbour, now);
        }
        let transit = self.peer_transit(MAX_CALL_TRANSIT, now);
        for limit in &heartbeat.rate_limits {
            self.on_peer_limit(limit, transit, now);
        }
        self.on_crash_reports(&heartbeat.crashes, &heartbeat.answered, false, now);
        for report in &heartbeat.versions {
            self.versions.merge(report, now);
        }
        let is_direct = heartbeat.from.domain != self.options.local.domain;
        if !is_direct {
            self.peer_demands.insert(vm.clone(), (heartbeat.demands, now));
        }
        let changed = self.members.on_heartbeat(heartbeat.from.clone(), now);
        self.on_row_query(&heartbeat.from, heartbeat.members_digest, heartbeat.row_query, now);
        for view in heartbeat.domains {
            self.apply_view(view, is_direct, now);
        }
        changed
    }

    /// Returns whether this VM should exchange heartbeats with another domain now.
    ///
    /// The first delegate does so every `period`; the second one takes over if there was no exchange for
    /// `takeover_after`.
    pub fn is_heartbeat_due(&self, domain: &DomainId, period: Millis, takeover_after: Millis, now: Time) -> bool {
        let age = self
            .remote_views
            .get(domain)
            .map(|remote| now.since(remote.received_at));
        match self.members.delegate_rank(domain, now) {
            Some(0) => age.is_none_or(|age| age >= period),
            Some(_) => age.is_none_or(|age| age >= takeover_after),
            None => false,
        }
    }

    /// Returns all other failure domains.
    pub fn remote_domains(&self) -> impl Iterator<Item = &DomainId> {
        let domains = self.options.domain_regions.keys();
        domains.filter(|domain| **domain != self.options.local.domain)
    }

    /// Picks a VM of another domain to exchange heartbeats with, a live one if any is known; larger ones more often.
    pub fn remote_delegate(&mut self, domain: &DomainId, now: Time) -> Option<VmRow> {
        let live: Vec<_> = self.members.live_vms(domain, now).collect();
        let total: u64 = size_weights(live.iter().copied()).iter().sum();
        let draw = self.rng.u64(..);
        let drawn = draw.checked_rem(total).and_then(|before| vm_at(&live, before, total));
        let drawn = drawn.or_else(|| self.members.remote_delegate(domain, now));
        drawn.cloned()
    }

    fn apply_view(&mut self, view: DomainView, is_direct: bool, now: Time) {
        if view.domain == self.options.local.domain {
            return;
        }
        let received_at = now - view.age;
        if self
            .remote_views
            .get(&view.domain)
            .is_some_and(|known| known.received_at > received_at)
        {
            return;
        }
        for vm in &view.vms {
            if let Some(row) = self.members.incarnation_row(&vm.vm, vm.incarnation).cloned() {
                self.members.on_delegate_report(row, vm.age + view.age, now);
                self.paths.on_report(&vm.vm, &vm.cut_off);
            }
        }
        for part in &view.cached_parts {
            self.cache_directory
                .record_reported(part, received_at, Origin::Remote, now);
        }
        let answered = view.answered.iter().map(|report| AnsweredSuspect {
            age: report.age + view.age,
            ..*report
        });
        let crashes = view.crashes.iter().map(|report| CrashReport {
            age: report.age + view.age,
            ..report.clone()
        });
        let (crashes, answered): (Vec<_>, Vec<_>) = (crashes.collect(), answered.collect());
        self.on_crash_reports(&crashes, &answered, is_direct, now);
        let is_local_region = view.region == self.options.local.region;
        if is_local_region {
            for load in &view.endpoints {
                let known = self.loads.entry(load.endpoint.clone()).or_default();
                known.record_peer_load(Sender::Domain(view.domain.clone()), load.clone(), received_at);
            }
            let transit = self.peer_transit(MAX_CALL_TRANSIT, now);
            for limit in &view.rate_limits {
                let state = RateLimitState {
                    age: limit.state.age + view.age,
                    ..limit.state
                };
                let limit = EndpointRateLimit { state, ..limit.clone() };
                self.on_peer_limit(&limit, transit, now);
            }
        } else {
            let region = self.regions.entry(view.region.clone()).or_default();
            region.record_loads(view.services.clone(), received_at);
        }
        let remote = RemoteView {
            view,
            received_at,
            is_direct,
        };
        self.remote_views.insert(remote.view.domain.clone(), remote);
    }

    /// Returns the demand of the callers of another failure domain by its last report, if that is recent.
    pub(crate) fn reported_demand(&self, domain: &DomainId, now: Time) -> Option<Vec<RouteDemand>> {
        let remote = self.remote_views.get(domain)?;
        is_fresh(remote.received_at, now).then(|| remote.view.demands.clone())
    }

    /// Drops what VMs reported that are no longer known, and about domains and regions that this deployment does not have.
    pub(crate) fn prune_peer_state(&mut self) {
        let members = &self.members;
        self.peer_stores.retain(|vm, _| members.row(vm).is_some());
        let domains = &self.options.domain_regions;
        self.remote_views.retain(|domain, _| domains.contains_key(domain));
        self.regions
            .retain(|region, _| domains.values().any(|known| known == region));
        self.prune_rows();
    }

    /// Returns the views that VMs of other domains sent to this VM, for its neighbours.
    fn direct_views(&self, now: Time) -> Vec<DomainView> {
        let fresh = |remote: &&RemoteView| remote.is_direct && now.since(remote.received_at) < MAX_VIEW_AGE;
        let views = self.remote_views.values().filter(fresh).map(|remote| DomainView {
            age: now.since(remote.received_at),
            ..remote.view.clone()
        });
        views.collect()
    }

    fn local_view(&self, same_region: bool, is_new: bool, now: Time) -> DomainView {
        let local = self.members.local();
        let neighbours = self.members.neighbours().filter_map(|row| {
            let received_at = self.members.last_received_at(&row.vm)?;
            Some(VmAge {
                vm: row.vm.clone(),
                incarnation: row.incarnation,
                age: now.since(received_at),
                cut_off: self.paths.reported(&row.vm),
            })
        });
        let this_vm = VmAge {
            vm: local.vm.clone(),
            incarnation: local.incarnation,
            age: Millis(0),
            cut_off: self.paths.cut_off(),
        };
        DomainView {
            domain: local.domain.clone(),
            region: local.region.clone(),
            age: Millis(0),
            vms: std::iter::once(this_vm).chain(neighbours).collect(),
            endpoints: if same_region {
                self.domain_loads(now)
            } else {
                Vec::new()
            },
            services: if same_region {
                Vec::new()
            } else {
                self.service_loads(now)
            },
            cached_parts: self.cache_directory.domain_updates(now),
            rate_limits: if same_region {
                self.limit_reports(is_new, now)
            } else {
                Vec::new()
            },
            crashes: self.quarantine.evidence.crash_reports(is_new, now),
            answered: self.quarantine.evidence.answered_reports(is_new, now),
            demands: self.domain_demand(now),
        }
    }

    /// Returns the limits of endpoints to report to another VM, which may be `new`.
    fn limit_reports(&self, new: bool, now: Time) -> Vec<EndpointRateLimit> {
        let requests = self.rate_limits.reports(LimitKind::Requests, new, now);
        let rejections = self.rejection_limits.reports(LimitKind::Rejections, new, now);
        requests.chain(rejections).collect()
    }

    /// Applies what another VM knows of a limit.
    fn on_peer_limit(&mut self, limit: &EndpointRateLimit, transit: Option<Millis>, now: Time) {
        match limit.kind {
            LimitKind::Requests => {
                self.rate_limits.on_peer(&limit.endpoint, limit.state, transit, now);
            }
            LimitKind::Rejections => self.on_peer_rejection_limit(&limit.endpoint, limit.state, transit, now),
        }
    }

    /// Records the round-trip time of a call to a VM of `region`.
    pub fn record_round_trip(&mut self, region: &RegionId, round_trip: Millis) {
        if let Some(view) = self.regions.get_mut(region) {
            view.record_round_trip(round_trip);
        }
    }

    /// Returns the entry VMs for a caller: live VMs of its failure domain or its region.
    ///
    /// If there are none, these are the VMs of the regions in which most of the host's requests may run: the live ones, or
    /// those in a planned stop if no live VM may serve nearly as many requests; a VM without a configuration names none then,
    /// as it does not know these regions. A VM that has just started and does not know any other VM yet returns none.
    ///
    /// Where the VMs differ in size, each list has some of them, so that callers that pick one at random pick each as often
    /// as its size says.
    pub fn entry_vms(&self, query: EntryQuery<'_>, now: Time) -> Vec<VmRow> {
        // Callers renew their lists at any time, so the time varies enough between lists.
        let draw = rendezvous_score(ENTRY_DRAW_KEY, (&self.options.local.vm, now));
        sample_by_size(self.entry_candidates(query, now), MIN_ENTRY_VMS, draw)
    }

    fn entry_candidates(&self, query: EntryQuery<'_>, now: Time) -> Vec<VmRow> {
        if self.is_joining(now) {
            return Vec::new();
        }
        let heard: Vec<_> = self.members.heard_vms(now).cloned().collect();
        let live = filter_rows(&heard, |row| !row.leaving);
        let near = filter_rows(&live, |row| Some(&row.domain) == query.domain);
        if near.len() >= MIN_ENTRY_VMS {
            return self.prefer_with_paths(near);
        }
        let in_region = filter_rows(&live, |row| Some(&row.region) == query.region);
        if !in_region.is_empty() {
            return self.prefer_with_paths(in_region);
        }
        if self.table.is_none() {
            return Vec::new();
        }
        let (best_live, live_traffic) = self.most_permitted(&live, query.host);
        let (best, traffic) = self.most_permitted(&heard, query.host);
        if live_traffic >= traffic * MIN_LIVE_TRAFFIC_SHARE {
            return best_live;
        }
        let stopping_in_region = filter_rows(&best, |row| Some(&row.region) == query.region);
        if stopping_in_region.is_empty() {
            best
        } else {
            stopping_in_region
        }
    }

    /// Returns those of the VMs that are cut off from no service, or all if these are too few.
    fn prefer_with_paths(&self, rows: Vec<VmRow>) -> Vec<VmRow> {
        let with_paths = filter_rows(&rows, |row| !self.is_vm_cut_off(&row.vm));
        if with_paths.len() >= MIN_ENTRY_VMS {
            with_paths
        } else {
            rows
        }
    }

    /// Returns those of the VMs in whose region most of the host's requests may run, and the weight of these requests.
    fn most_permitted(&self, rows: &[VmRow], host: Option<&str>) -> (Vec<VmRow>, f64) {
        let traffic = |row: &VmRow| host.map_or(0.0, |host| self.permitted_traffic(host, &row.region));
        let most = rows.iter().map(traffic).fold(0.0, f64::max);
        (filter_rows(rows, |row| traffic(row) >= most), most)
    }

    /// Returns the live VMs of a region to which a request was not sent before.
    pub(crate) fn live_peers_in<'a>(
        &'a self,
        region: &'a RegionId,
        history: &'a AttemptHistory,
        now: Time,
    ) -> impl Iterator<Item = &'a VmRow> {
        let peers = self.members.peers().filter(move |row| row.region == *region);
        let live = peers.filter(move |row| self.is_live(&row.vm, now));
        live.filter(|row| !history.has_vm(&row.vm))
    }

    pub(crate) fn is_live(&self, vm: &VmId, now: Time) -> bool {
        self.members.state(vm, now) == Some(VmState::Live)
    }

    /// Returns the weight of recent requests to the host's routes that may run in `region`.
    fn permitted_traffic(&self, host: &str, region: &RegionId) -> f64 {
        let routes = self.table.iter().flat_map(|table| table.routes_for_host(host));
        let permitted = routes.filter(|route| route.permits(region));
        permitted
            .map(|route| 1.0 + self.traffic.get(&route.name).copied().unwrap_or_default())
            .sum()
    }

    fn local_loads(&self, now: Time) -> Vec<EndpointLoad> {
        let loads = self.loads.iter().map(|(id, load)| EndpointLoad {
            backlog_ms: self.reported_queue_ms(id, load, now),
            ..load.local_load(id, now)
        });
        loads.filter(EndpointLoad::is_busy).collect()
    }

    /// Returns the queue of an endpoint in milliseconds as it is reported to neighbours; includes the wait for a free
    /// slot if this VM coordinates the endpoint.
    fn reported_queue_ms(&self, id: &EndpointId, load: &EndpointTracker, now: Time) -> f64 {
        let local_ms = load.local_load(id, now).backlog_ms;
        let known = self.registry.get(id).filter(|_| self.is_coordinator_of(id));
        known.map_or(local_ms, |known| {
            local_ms.max(self.slot_wait_ms(&known.entry.service, load))
        })
    }

    /// Returns the known load that the VMs of this domain put on endpoints.
    fn domain_loads(&self, now: Time) -> Vec<EndpointLoad> {
        let loads = self.loads.iter().map(|(id, load)| load.domain_load(id, now));
        loads.filter(EndpointLoad::is_busy).collect()
    }

    /// Returns the queue wait of a new request and the gap between stream events at an endpoint, in milliseconds.
    fn wait_and_gap_ms(&self, service: &ServiceId, endpoint: &Endpoint, now: Time) -> (f64, f64) {
        let limit_ms = self.rate_limit_interval_ms(&endpoint.entry);
        if self.cache_capacity(service).is_none() {
            let wait_ms = self.response_ms(service, &endpoint.entry, now) - self.service_ms(service);
            return (wait_ms.max(limit_ms), 0.0);
        }
        let idle = EndpointTracker::default();
        let load = self.loads.get(&endpoint.entry.id).unwrap_or(&idle);
        let queue_ms = self.queue_ms(service, &endpoint.entry.id, false, now);
        (queue_ms.max(limit_ms), load.gap_ms(now))
    }

    fn service_loads(&self, now: Time) -> Vec<ServiceLoad> {
        let services = self.table.iter().flat_map(|table| table.services.keys());
        let loads = services.map(|service| {
            let local = self.local_endpoints(service);
            let loads: Vec<_> = local
                .map(|endpoint| self.wait_and_gap_ms(service, endpoint, now))
                .collect();
            let (mut waits, gaps): (Vec<_>, Vec<_>) = loads.into_iter().unzip();
            waits.sort_by(f64::total_cmp);
            let least_busy = (waits.len() as f64 * LEAST_BUSY_SHARE).ceil() as usize;
            ServiceLoad {
                service: service.clone(),
                usable: u32::try_from(waits.len()).unwrap_or(u32::MAX),
                wait_ms: mean(&waits[..least_busy]),
                gap_ms: mean(&gaps),
            }
        });
        loads.collect()
    }
}

fn filter_rows(rows: &[VmRow], wanted: impl Fn(&VmRow) -> bool) -> Vec<VmRow> {
    rows.iter().filter(|row| wanted(row)).cloned().collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
