//! What this VM tells others and hears from them.

use sw_member::{VmRow, VmState, rendezvous_score};
use sw_unit::{DomainId, EndpointId, Millis, RegionId, Time, VmId};

use crate::cache_directory::Origin;
use crate::load::Sender;
use crate::registry::Endpoint;
use crate::{
    AttemptHistory, DomainView, EndpointLoad, EndpointTracker, Heartbeat, Relay, ServiceId, ServiceLoad, VmAge,
};

/// Members of a failure domain that a directory answer names at least, if its region has as many.
const MIN_ENTRIES: usize = 2;
/// A view of another domain that is older than this is not passed on.
const VIEW_MEMORY: Millis = Millis(4_000);
/// Share of a region's endpoints, the least busy, whose wait is what a new request can expect.
const LEAST_BUSY_SHARE: f64 = 0.5;

/// Who asks which entry VMs to use.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryQuery<'a> {
    /// The caller's region.
    pub region: Option<&'a RegionId>,
    /// The caller's failure domain.
    pub domain: Option<&'a DomainId>,
    /// The host that it wants to reach.
    pub host: Option<&'a str>,
}

/// A domain's view of itself, as heard.
#[derive(Debug, Clone)]
pub(crate) struct HeardView {
    view: DomainView,
    at: Time,
    /// Whether a VM of the domain said so itself.
    firsthand: bool,
}

impl Relay {
    /// What this VM says to another one, of which `to` is the row if it is known.
    pub fn heartbeat(&self, to: Option<&VmRow>, now: Time) -> Heartbeat {
        let own = self.members.local();
        let neighbour = to.is_some_and(|row| row.domain == own.domain);
        let same_region = to.is_some_and(|row| row.region == own.region);
        let members = self.members_digest();
        let agree = to.is_some_and(|row| self.digests.get(&row.vm) == Some(&members));
        Heartbeat {
            from: own.clone(),
            members_digest: members,
            known_vms: if agree {
                Vec::new()
            } else {
                self.members.peers().cloned().collect()
            },
            revision: self.revision,
            endpoints: if neighbour { self.own_loads(now) } else { Vec::new() },
            domains: if neighbour {
                self.firsthand_views(now)
            } else {
                vec![self.own_view(same_region, now)]
            },
            cached_parts: if neighbour {
                self.cache_directory.local_updates(now)
            } else {
                Vec::new()
            },
        }
    }

    /// Takes in what another VM says, and returns whether its row is new or changed.
    pub fn on_heartbeat(&mut self, beat: Heartbeat, now: Time) -> bool {
        for row in beat.known_vms {
            self.members.on_gossip(row, now);
        }
        let vm = beat.from.vm.clone();
        self.peer_revisions.insert(vm.clone(), beat.revision);
        self.digests.insert(vm.clone(), beat.members_digest);
        for load in beat.endpoints {
            let known = self.loads.entry(load.endpoint.clone()).or_default();
            known.record_peer_load(Sender::Vm(vm.clone()), load, now);
        }
        for part in &beat.cached_parts {
            self.cache_directory.record_reported(part, now, Origin::Neighbour, now);
        }
        let firsthand = beat.from.domain != self.options.local.domain;
        let changed = self.members.on_heartbeat(beat.from, now);
        for view in beat.domains {
            self.heard_view(view, firsthand, now);
        }
        changed
    }

    /// Whether this VM should exchange heartbeats with another domain now.
    ///
    /// The first delegate does so every `period`, the second one if that did not happen for `patience`.
    pub fn is_heartbeat_due(&self, domain: &DomainId, period: Millis, patience: Millis, now: Time) -> bool {
        let age = self.views.get(domain).map(|heard| now.since(heard.at));
        match self.members.delegate_rank(domain, now) {
            Some(0) => age.is_none_or(|age| age >= period),
            Some(_) => age.is_none_or(|age| age >= patience),
            None => false,
        }
    }

    /// The failure domains other than the own one.
    pub fn remote_domains(&self) -> impl Iterator<Item = &DomainId> {
        let domains = self.options.domain_regions.keys();
        domains.filter(|domain| **domain != self.options.local.domain)
    }

    /// A VM of another domain to exchange heartbeats with, a live one if any is known.
    pub fn remote_delegate(&mut self, domain: &DomainId, now: Time) -> Option<VmRow> {
        let live: Vec<_> = self.members.live_vms(domain, now).cloned().collect();
        let draw = self.rng.usize(..);
        let drawn = draw.checked_rem(live.len()).and_then(|at| live.into_iter().nth(at));
        drawn.or_else(|| self.members.remote_delegate(domain, now).cloned())
    }

    fn heard_view(&mut self, view: DomainView, firsthand: bool, now: Time) {
        if view.domain == self.options.local.domain {
            return;
        }
        let at = now - view.age;
        if self.views.get(&view.domain).is_some_and(|known| known.at > at) {
            return;
        }
        for vm in &view.vms {
            if let Some(row) = self.members.incarnation_row(&vm.vm, vm.incarnation).cloned() {
                self.members.on_delegate_report(row, vm.age + view.age, now);
            }
        }
        for part in &view.cached_parts {
            self.cache_directory.record_reported(part, at, Origin::Remote, now);
        }
        let own_region = view.region == self.options.local.region;
        if own_region {
            for load in &view.endpoints {
                let known = self.loads.entry(load.endpoint.clone()).or_default();
                known.record_peer_load(Sender::Domain(view.domain.clone()), load.clone(), at);
            }
        } else {
            let region = self.regions.entry(view.region.clone()).or_default();
            region.record_loads(view.services.clone(), at);
        }
        let heard = HeardView { view, at, firsthand };
        self.views.insert(heard.view.domain.clone(), heard);
    }

    /// What VMs of other domains said to this one, for its neighbours.
    fn firsthand_views(&self, now: Time) -> Vec<DomainView> {
        let fresh = |heard: &&HeardView| heard.firsthand && now.since(heard.at) < VIEW_MEMORY;
        let views = self.views.values().filter(fresh).map(|heard| DomainView {
            age: now.since(heard.at),
            ..heard.view.clone()
        });
        views.collect()
    }

    fn own_view(&self, same_region: bool, now: Time) -> DomainView {
        let own = self.members.local();
        let neighbours = self.members.neighbours().filter_map(|row| {
            let heard = self.members.last_received_at(&row.vm)?;
            Some(VmAge {
                vm: row.vm.clone(),
                incarnation: row.incarnation,
                age: now.since(heard),
            })
        });
        let itself = VmAge {
            vm: own.vm.clone(),
            incarnation: own.incarnation,
            age: Millis(0),
        };
        DomainView {
            domain: own.domain.clone(),
            region: own.region.clone(),
            age: Millis(0),
            vms: std::iter::once(itself).chain(neighbours).collect(),
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
        }
    }

    /// A digest of all rows, equal at VMs that know the same.
    fn members_digest(&self) -> u64 {
        let own = std::iter::once(self.members.local());
        let rows = own.chain(self.members.peers());
        rows.fold(0, |digest, row| {
            digest ^ rendezvous_score(row.incarnation, (&row.vm, row.leaving))
        })
    }

    /// Records the time of a call to another VM and back.
    pub fn record_round_trip(&mut self, region: &RegionId, round_trip: Millis) {
        if let Some(view) = self.regions.get_mut(region) {
            view.record_round_trip(round_trip);
        }
    }

    /// A live VM that knows more of the store than this one, near ones first.
    pub fn peer_with_newer_revision(&self, now: Time) -> Option<&VmRow> {
        let ahead = |row: &&VmRow| {
            self.peer_revisions
                .get(&row.vm)
                .is_some_and(|known| *known > self.revision)
        };
        let own = self.members.local();
        let ahead = self.members.peers().filter(ahead);
        let candidates = ahead.filter(|row| self.is_live(&row.vm, now));
        candidates.min_by_key(|row| (row.domain != own.domain, row.region != own.region))
    }

    /// Entry VMs for a caller: live ones of its failure domain or its region.
    ///
    /// If there are none, those of the regions in which most of the host's requests may be run. A VM that has just
    /// started and heard of no other names none.
    pub fn entry_vms(&self, caller: EntryQuery<'_>, now: Time) -> Vec<VmRow> {
        if self.is_joining(now) {
            return Vec::new();
        }
        let own = Some(self.members.local()).filter(|row| !row.leaving);
        let others = self.members.peers();
        let others = others.filter(|row| self.is_live(&row.vm, now));
        let live: Vec<_> = own.into_iter().chain(others).cloned().collect();
        let near = rows(&live, |row| Some(&row.domain) == caller.domain);
        if near.len() >= MIN_ENTRIES {
            return near;
        }
        let in_region = rows(&live, |row| Some(&row.region) == caller.region);
        if !in_region.is_empty() {
            return in_region;
        }
        let traffic = |row: &VmRow| {
            caller
                .host
                .map_or(0.0, |host| self.permitted_traffic(host, &row.region))
        };
        let most = live.iter().map(traffic).fold(0.0, f64::max);
        rows(&live, |row| traffic(row) >= most)
    }

    /// Live VMs of a region that a request was not refused by.
    pub(crate) fn live_peers_in<'a>(
        &'a self,
        region: &'a RegionId,
        tried: &'a AttemptHistory,
        now: Time,
    ) -> impl Iterator<Item = &'a VmRow> {
        let others = self.members.peers().filter(move |row| row.region == *region);
        let live = others.filter(move |row| self.is_live(&row.vm, now));
        live.filter(|row| !tried.has_vm(&row.vm))
    }

    pub(crate) fn is_live(&self, vm: &VmId, now: Time) -> bool {
        self.members.state(vm, now) == Some(VmState::Live)
    }

    /// Recent requests to the host's routes that may be run in `region`.
    fn permitted_traffic(&self, host: &str, region: &RegionId) -> f64 {
        let routes = self.table.iter().flat_map(|table| table.routes_for_host(host));
        let permitted = routes.filter(|route| route.permits(region));
        permitted
            .map(|route| 1.0 + self.traffic.get(&route.name).copied().unwrap_or_default())
            .sum()
    }

    fn own_loads(&self, now: Time) -> Vec<EndpointLoad> {
        let loads = self.loads.iter().map(|(id, load)| EndpointLoad {
            backlog_ms: self.told_queue_ms(id, load, now),
            ..load.local_load(id, now)
        });
        loads.filter(EndpointLoad::is_busy).collect()
    }

    /// Milliseconds that this VM tells others of an endpoint's queue: for a free slot, too, where it grants the places.
    fn told_queue_ms(&self, id: &EndpointId, load: &EndpointTracker, now: Time) -> f64 {
        let own_ms = load.local_load(id, now).backlog_ms;
        let known = self.registry.get(id).filter(|_| self.is_coordinator_of(id));
        known.map_or(own_ms, |known| {
            own_ms.max(self.slot_wait_ms(&known.entry.service, load))
        })
    }

    /// What the VMs of this domain sent, as far as it is known.
    fn domain_loads(&self, now: Time) -> Vec<EndpointLoad> {
        let loads = self.loads.iter().map(|(id, load)| load.domain_load(id, now));
        loads.filter(EndpointLoad::is_busy).collect()
    }

    /// Milliseconds until an endpoint begins a new request, and between two events of its streams.
    fn wait_and_gap_ms(&self, service: &ServiceId, endpoint: &Endpoint, now: Time) -> (f64, f64) {
        if self.cache_capacity(service).is_none() {
            let wait_ms = self.response_ms(service, &endpoint.entry, now) - self.service_ms(service);
            return (wait_ms, 0.0);
        }
        let idle = EndpointTracker::default();
        let load = self.loads.get(&endpoint.entry.id).unwrap_or(&idle);
        (self.queue_ms(service, &endpoint.entry.id, false, now), load.gap_ms(now))
    }

    fn service_loads(&self, now: Time) -> Vec<ServiceLoad> {
        let services = self.table.iter().flat_map(|table| table.services.keys());
        let loads = services.map(|service| {
            let own = self.local_endpoints(service);
            let loads: Vec<_> = own
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

fn rows(rows: &[VmRow], wanted: impl Fn(&VmRow) -> bool) -> Vec<VmRow> {
    rows.iter().filter(|row| wanted(row)).cloned().collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
