//! What this VM tells others and hears from them.

use sw_member::{VmRow, VmState};
use sw_unit::{DomainId, Millis, RegionId, Time};

use crate::{Beat, EndpointLoad, Load, Relay, ServiceLoad, Tried};

/// Members of a failure domain that a directory answer names at least, if its region has as many.
const MIN_ENTRIES: usize = 2;
/// Share of a region's endpoints, the least busy, whose wait is what a new request can expect.
const LEAST_BUSY_SHARE: f64 = 0.5;

/// Who asks which entry VMs to use.
#[derive(Debug, Clone, Copy, Default)]
pub struct Caller<'a> {
    /// The caller's region.
    pub region: Option<&'a RegionId>,
    /// The caller's failure domain.
    pub domain: Option<&'a DomainId>,
    /// The host that it wants to reach.
    pub host: Option<&'a str>,
}

impl Relay {
    /// What this VM says to one in `region`.
    pub fn beat(&self, region: Option<&RegionId>, now: Time) -> Beat {
        let same_region = region == Some(&self.options.own.region);
        Beat {
            from: self.members.own().clone(),
            known: self.members.others().cloned().collect(),
            revision: self.revision,
            endpoints: if same_region { self.own_loads(now) } else { Vec::new() },
            services: if same_region {
                Vec::new()
            } else {
                self.service_loads(now)
            },
        }
    }

    /// Takes in what another VM says, and returns whether its row is new or changed.
    pub fn heard(&mut self, beat: Beat, now: Time) -> bool {
        for row in beat.known {
            self.members.learned(row, now);
        }
        let vm = beat.from.vm.clone();
        self.peer_revisions.insert(vm.clone(), beat.revision);
        for load in beat.endpoints {
            let known = self.loads.entry(load.endpoint.clone()).or_default();
            known.heard(vm.clone(), load, now);
        }
        if beat.from.region != self.options.own.region {
            let view = self.regions.entry(beat.from.region.clone()).or_default();
            view.heard(beat.services, now);
        }
        self.members.heard(beat.from, now)
    }

    /// Records the time of a call to another VM and back.
    pub fn took(&mut self, region: &RegionId, round_trip: Millis) {
        if let Some(view) = self.regions.get_mut(region) {
            view.took(round_trip);
        }
    }

    /// A live VM that knows more of the store than this one, near ones first.
    pub fn vm_ahead(&self, now: Time) -> Option<&VmRow> {
        let ahead = |row: &&VmRow| {
            self.peer_revisions
                .get(&row.vm)
                .is_some_and(|known| *known > self.revision)
        };
        let live = |row: &&VmRow| self.members.state(&row.vm, now) == Some(VmState::Live);
        let own = self.members.own();
        let candidates = self.members.others().filter(ahead).filter(live);
        candidates.min_by_key(|row| (row.domain != own.domain, row.region != own.region))
    }

    /// Entry VMs for a caller: live ones of its failure domain or its region.
    ///
    /// If there are none, those of the regions in which most of the host's requests may be run. A VM that has just
    /// started and heard of no other names none.
    pub fn entries(&self, caller: Caller<'_>, now: Time) -> Vec<VmRow> {
        if self.is_joining(now) {
            return Vec::new();
        }
        let own = Some(self.members.own()).filter(|row| !row.leaving);
        let others = self.members.others();
        let others = others.filter(|row| self.members.state(&row.vm, now) == Some(VmState::Live));
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
    pub(crate) fn peers_in<'a>(
        &'a self,
        region: &'a RegionId,
        tried: &'a Tried,
        now: Time,
    ) -> impl Iterator<Item = &'a VmRow> {
        let live = move |row: &&VmRow| self.members.state(&row.vm, now) == Some(VmState::Live);
        let others = self.members.others().filter(move |row| row.region == *region);
        others.filter(live).filter(|row| !tried.has_vm(&row.vm))
    }

    pub(crate) fn peer_in(&self, region: &RegionId, tried: &Tried, now: Time) -> Option<&VmRow> {
        let tried = |row: &&VmRow| !tried.has_vm(&row.vm);
        let live = |row: &&VmRow| self.members.state(&row.vm, now) == Some(VmState::Live);
        let mut others = self.members.others().filter(|row| row.region == *region);
        others.find(|row| tried(row) && live(row))
    }

    /// Recent requests to the host's routes that may be run in `region`.
    fn permitted_traffic(&self, host: &str, region: &RegionId) -> f64 {
        let routes = self.table.iter().flat_map(|table| table.routes_of(host));
        let permitted = routes.filter(|route| route.permits(region));
        permitted
            .map(|route| 1.0 + self.traffic.get(&route.name).copied().unwrap_or_default())
            .sum()
    }

    fn own_loads(&self, now: Time) -> Vec<EndpointLoad> {
        let busy = self.loads.iter().filter(|(_, load)| load.running > 0);
        let row = busy.map(|(id, load)| EndpointLoad {
            endpoint: id.clone(),
            running: load.running,
            backlog_ms: load.own_backlog_ms(now),
        });
        row.collect()
    }

    fn service_loads(&self, now: Time) -> Vec<ServiceLoad> {
        let services = self.table.iter().flat_map(|table| table.services.keys());
        let loads = services.map(|service| {
            let idle = Load::default();
            let usable = self.registry.usable(service);
            let own =
                usable.filter(|endpoint| self.region_of(&endpoint.entry.domain) == Some(&self.options.own.region));
            let loads: Vec<_> = own
                .map(|endpoint| self.loads.get(&endpoint.entry.id).unwrap_or(&idle))
                .collect();
            let mut waits: Vec<_> = loads.iter().map(|load| load.backlog_ms(now)).collect();
            waits.sort_by(f64::total_cmp);
            let least_busy = (waits.len() as f64 * LEAST_BUSY_SHARE).ceil() as usize;
            ServiceLoad {
                service: service.clone(),
                usable: u32::try_from(loads.len()).unwrap_or(u32::MAX),
                wait_ms: mean(&waits[..least_busy]),
                gap_ms: mean(&loads.iter().map(|load| load.gap_ms(now)).collect::<Vec<_>>()),
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
