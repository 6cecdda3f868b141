//! Paths of the VMs to the endpoints of their region.
//!
//! That a VM cannot connect to an endpoint is a fact about the two. It says nothing about the endpoint itself, which may
//! serve all other VMs, so it is never told to others as the endpoint's load or failure. Each VM learns its own paths from
//! its own connections: those of requests, and probes, which are connections without a request. What others report is
//! only to which *services* they have no path at all, so that requests are sent through VMs that have one.
//!
//! A path is lost if a connection cannot be made, unless the endpoint may merely be slow to answer (`path_evidence`). A
//! service is cut off from this VM if the paths to all its endpoints of the region are lost, or if those to a sample of them
//! are. It stays so until half of the paths are back, or for a short time after the first one is back, so that the first
//! endpoint does not get all requests.

use std::cmp::Reverse;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use strum::{Display, IntoStaticStr};
use sw_unit::{EndpointId, Millis, Time, VmId};

use crate::path_check::CheckAllowance;
use crate::path_evidence::{PathEvidence, UnansweredHandshakes};
use crate::registry::Endpoint;
use crate::{ColdCause, EndpointEntry, EndpointTracker, Relay, ServiceId};

/// Time between two probes of a lost path.
pub(crate) const PROBE_PERIOD: Millis = Millis(500);
/// Largest random part of the time until a probe, so that VMs do not probe an endpoint at the same moment.
const PROBE_JITTER: Millis = Millis(250);
/// Number of endpoints of a service that are probed to tell whether the service is cut off, besides the one that failed.
const SAMPLE: usize = 2;
/// Number of probes that are started at a time while a service is cut off.
const MAX_CUT_PROBES: usize = 3;
/// Share of a service's endpoints whose paths must be back before the service is no longer cut off.
const REGAINED_SHARE: f64 = 0.5;
/// Longest time for which a service stays cut off after the first path is back.
const MAX_REGAIN_TIME: Millis = Millis(1_000);
/// Time for which a VM counts as cut off from a service after it refused a forwarded request for lack of an endpoint.
const REFUSED_FOR: Millis = Millis(1_000);

/// How a path was found to be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PathFailure {
    /// No connection could be made for a request.
    Unreachable,
    /// A probe's connection was refused.
    Refused,
    /// A probe's connection was reset.
    Reset,
    /// A probe's connection was not accepted in time.
    Timeout,
    /// The paths to other endpoints of the service are lost.
    Inferred,
}

/// A change of this VM's paths, to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathChange {
    /// The path to an endpoint is lost.
    Lost {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// How that was found.
        failure: PathFailure,
        /// What it was concluded from.
        evidence: PathEvidence,
    },
    /// The path to an endpoint is back.
    Regained {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long it was lost.
        lost_for: Millis,
    },
    /// All paths to a service are lost.
    CutOff {
        /// The service.
        service: ServiceId,
    },
    /// There are paths to a service again.
    Reconnected {
        /// The service.
        service: ServiceId,
        /// How long there were none.
        cut_for: Millis,
    },
}

#[derive(Debug, Clone, Copy)]
struct LostPath {
    since: Time,
    next_probe_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct CutOff {
    since: Time,
    /// When the first path was back.
    regained_at: Option<Time>,
}

/// Paths of this VM, and what other VMs report about theirs.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    lost: IndexMap<EndpointId, LostPath>,
    cut_off: IndexMap<ServiceId, CutOff>,
    /// Endpoints that another VM could not reach, to be probed.
    suspected: IndexSet<EndpointId>,
    pub(crate) checks: CheckAllowance,
    pub(crate) unanswered: UnansweredHandshakes,
    changes: Vec<PathChange>,
    /// Services that other VMs are cut off from, as they report it.
    reported: IndexMap<VmId, Vec<ServiceId>>,
    /// VMs that refused requests for a service, with the time until which they count as cut off from it.
    refused: IndexMap<(VmId, ServiceId), Time>,
}

impl Paths {
    /// Records from which services another VM reports to be cut off.
    pub(crate) fn on_report(&mut self, vm: &VmId, services: &[ServiceId]) {
        if services.is_empty() {
            self.reported.swap_remove(vm);
        } else {
            self.reported.insert(vm.clone(), services.to_vec());
        }
    }

    /// Returns from which services another VM reports to be cut off.
    pub(crate) fn reported(&self, vm: &VmId) -> Vec<ServiceId> {
        self.reported.get(vm).cloned().unwrap_or_default()
    }

    /// Returns the services that this VM is cut off from.
    pub(crate) fn cut_off(&self) -> Vec<ServiceId> {
        self.cut_off.keys().cloned().collect()
    }

    /// Returns whether the path to an endpoint is lost.
    pub(crate) fn is_lost(&self, endpoint: &EndpointId) -> bool {
        self.lost.contains_key(endpoint)
    }

    /// Returns whether this VM is cut off from a service.
    pub(crate) fn is_cut_off(&self, service: &ServiceId) -> bool {
        self.cut_off.contains_key(service)
    }

    /// Returns whether another VM reports to have no path to a service, or refused a request for it just now.
    pub(crate) fn is_peer_cut_off(&self, vm: &VmId, service: &ServiceId, now: Time) -> bool {
        let is_reported = self.reported.get(vm).is_some_and(|services| services.contains(service));
        let mut refused = self.refused.iter();
        is_reported || refused.any(|((by, of), until)| by == vm && of == service && *until > now)
    }
}

impl Relay {
    /// Records that a connection to an endpoint, attempted since `begun_at`, could not be made.
    pub fn on_path_lost(&mut self, endpoint: &EndpointEntry, failure: PathFailure, begun_at: Time, now: Time) {
        if self.region_of(&endpoint.domain) != Some(&self.options.local.region) {
            return;
        }
        if !self.has_path(&endpoint.id) || !self.shows_lost_path(endpoint, failure, begun_at, now) {
            return;
        }
        self.lose_path(endpoint, failure, begun_at, now);
        self.update_cut_off(&endpoint.service, now);
    }

    /// Records that a connection to an endpoint was made.
    pub fn on_path_open(&mut self, endpoint: &EndpointEntry, now: Time) {
        self.on_heard(&endpoint.id, now);
        self.paths.unanswered.on_answer(&endpoint.id);
        let Some(lost) = self.paths.lost.swap_remove(&endpoint.id) else {
            return;
        };
        self.paths.changes.push(PathChange::Regained {
            endpoint: endpoint.id.clone(),
            lost_for: now.since(lost.since),
        });
        self.suspect_cold(&endpoint.id, ColdCause::PathRegained, now);
        self.update_cut_off(&endpoint.service, now);
    }

    /// Records the probes of a sample of a service's endpoints, the first of which began at `begun_at`: all endpoints of the
    /// service count as unreachable if all probes failed and nothing was received from any of them.
    pub fn on_path_sample(&mut self, probes: &[(EndpointEntry, Result<(), PathFailure>)], begun_at: Time, now: Time) {
        let mut judged: Vec<_> = probes.iter().collect();
        judged.sort_by_key(|(endpoint, outcome)| self.probe_rank(&endpoint.id, *outcome, begun_at));
        for (endpoint, outcome) in judged {
            match outcome {
                Ok(()) => self.on_path_open(endpoint, now),
                Err(failure) => self.on_path_lost(endpoint, *failure, begun_at, now),
            }
        }
        let Some((first, _)) = probes.first() else {
            return;
        };
        let are_lost = probes.iter().all(|(endpoint, _)| self.paths.is_lost(&endpoint.id));
        if probes.len() <= SAMPLE || !are_lost || !self.shows_cut_off(&first.service, probes, begun_at) {
            return;
        }
        let others: Vec<_> = self
            .local_endpoints(&first.service)
            .map(|known| known.entry.clone())
            .collect();
        for endpoint in others {
            self.lose_path(&endpoint, PathFailure::Inferred, begun_at, now);
        }
        self.update_cut_off(&first.service, now);
    }

    /// Returns the endpoints to probe when the path to `endpoint` may be lost: that one first, then some others of its service,
    /// preferably those that sent something last, because their silence shows more.
    pub fn path_sample(&mut self, endpoint: &EndpointEntry) -> Vec<EndpointEntry> {
        let local = self.local_endpoints(&endpoint.service);
        let others = local.filter(|known| known.entry.id != endpoint.id && !self.paths.is_lost(&known.entry.id));
        let mut others: Vec<_> = others.map(|known| known.entry.clone()).collect();
        self.rng.shuffle(&mut others);
        others.sort_by_key(|other| Reverse(self.heard_at(&other.id)));
        others.truncate(SAMPLE);
        others.insert(0, endpoint.clone());
        others
    }

    /// Returns endpoints of this region other than `endpoint` to which the path is not known to be lost, of any service.
    pub fn other_endpoints(&mut self, endpoint: &EndpointId) -> Vec<EndpointEntry> {
        let services = self.table.iter().flat_map(|table| table.services.keys());
        let local = services.flat_map(|service| self.local_endpoints(service));
        let others = local.filter(|known| known.entry.id != *endpoint);
        let mut others: Vec<_> = others.map(|known| known.entry.clone()).collect();
        self.rng.shuffle(&mut others);
        others.truncate(SAMPLE + 1);
        others
    }

    /// Returns one endpoint of each other service, to be checked because this VM is cut off from `service`.
    pub fn endpoints_of_other_services(&self, service: &ServiceId) -> Vec<EndpointEntry> {
        let services = self.table.iter().flat_map(|table| table.services.keys());
        let others = services.filter(|other| *other != service && !self.paths.is_cut_off(other));
        let first = others.filter_map(|other| self.local_endpoints(other).next());
        first.map(|known| known.entry.clone()).collect()
    }

    /// Returns the endpoints whose paths should be probed now, and schedules their next probes.
    pub fn due_path_probes(&mut self, now: Time) -> Vec<EndpointEntry> {
        let suspected: Vec<_> = self.paths.suspected.drain(..).collect();
        let registry = &self.registry;
        self.paths.lost.retain(|id, _| registry.get(id).is_some());
        let mut due: Vec<EndpointEntry> = Vec::new();
        let mut cut_probes: IndexMap<ServiceId, usize> = IndexMap::new();
        let mut lost: Vec<_> = self
            .paths
            .lost
            .iter()
            .map(|(id, lost)| (lost.next_probe_at, id.clone()))
            .collect();
        lost.sort();
        for (next_probe_at, id) in lost {
            let Some(known) = registry.get(&id).filter(|_| next_probe_at <= now) else {
                continue;
            };
            let service = &known.entry.service;
            let waits_for_first = self
                .paths
                .cut_off
                .get(service)
                .is_some_and(|cut| cut.regained_at.is_none());
            let started = cut_probes.entry(service.clone()).or_default();
            if waits_for_first && *started >= MAX_CUT_PROBES {
                continue;
            }
            *started += 1;
            due.push(known.entry.clone());
        }
        due.extend(
            suspected
                .iter()
                .filter_map(|id| registry.get(id))
                .map(|known| known.entry.clone()),
        );
        for endpoint in &due {
            let jitter = Millis(self.rng.u64(..=PROBE_JITTER.0));
            if let Some(lost) = self.paths.lost.get_mut(&endpoint.id) {
                lost.next_probe_at = now + PROBE_PERIOD + jitter;
            }
        }
        let services: Vec<_> = self.paths.cut_off.keys().cloned().collect();
        for service in services {
            self.update_cut_off(&service, now);
        }
        due
    }

    /// Returns whether there are paths to probe.
    pub fn has_paths_to_probe(&self) -> bool {
        !self.paths.lost.is_empty() || !self.paths.suspected.is_empty() || !self.paths.cut_off.is_empty()
    }

    /// Returns the changes of the paths since the last call, to be logged.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.paths.changes)
    }

    /// Returns the number of lost paths and of services that this VM is cut off from.
    pub fn lost_paths(&self) -> (usize, usize) {
        (self.paths.lost.len(), self.paths.cut_off.len())
    }

    /// Returns whether a VM, which may be this one, is cut off from a service.
    pub(crate) fn is_vm_cut_off(&self, vm: &VmId) -> bool {
        if *vm == self.options.local.vm {
            !self.paths.cut_off.is_empty()
        } else {
            self.paths.reported.contains_key(vm)
        }
    }

    /// Returns whether any path is lost.
    pub(crate) fn has_lost_paths(&self) -> bool {
        !self.paths.lost.is_empty()
    }

    /// Returns whether this VM sends requests to an endpoint itself.
    pub(crate) fn reaches(&self, endpoint: &EndpointEntry) -> bool {
        !self.paths.is_lost(&endpoint.id) && !self.paths.is_cut_off(&endpoint.service)
    }

    /// Returns the share of a service's endpoints that this VM does not reach.
    pub(crate) fn lost_share(&self, service: &ServiceId) -> f64 {
        let known = self.local_endpoints(service).count();
        let lost = self
            .local_endpoints(service)
            .filter(|known| !self.reaches(&known.entry));
        lost.count() as f64 / known.max(1) as f64
    }

    /// Returns the number of VMs that send to the endpoints of a service in this region; at least 1.
    pub(crate) fn senders_to(&self, service: &ServiceId, now: Time) -> usize {
        let region = &self.options.local.region;
        let peers = self.members.peers().filter(|row| row.region == *region);
        1 + peers
            .filter(|row| !self.paths.is_peer_cut_off(&row.vm, service, now))
            .count()
    }

    /// Returns whether the path to an endpoint is not known to be lost.
    pub fn has_path(&self, endpoint: &EndpointId) -> bool {
        !self.paths.is_lost(endpoint)
    }

    /// Returns whether bytes of an endpoint were received within the time `recently`.
    pub fn has_heard(&self, endpoint: &EndpointId, recently: Millis, now: Time) -> bool {
        let heard_at = self.loads.get(endpoint).and_then(EndpointTracker::heard_at);
        heard_at.is_some_and(|at| now.since(at) < recently)
    }

    /// Returns whether an endpoint other than `endpoint` answered an attempt that started at `since` or later, so that this
    /// VM reached it then.
    pub fn has_reached_another(&self, endpoint: &EndpointId, since: Time) -> bool {
        let mut others = self.loads.iter().filter(|(id, _)| *id != endpoint);
        others.any(|(_, load)| load.has_answered_since(since))
    }

    /// Records that a VM refused a forwarded request because no endpoint was left to it.
    pub fn on_forward_without_endpoint(&mut self, vm: &VmId, service: &ServiceId, now: Time) {
        self.paths.refused.retain(|_, until| *until > now);
        self.paths
            .refused
            .insert((vm.clone(), service.clone()), now + REFUSED_FOR);
    }

    /// Records that another VM could not reach an endpoint, which this VM then probes.
    pub(crate) fn suspect_path(&mut self, endpoint: &EndpointId) {
        if !self.paths.is_lost(endpoint) {
            self.paths.suspected.insert(endpoint.clone());
        }
    }

    /// Forgets that the path to an endpoint was lost, because it is new, or has restarted or moved.
    pub(crate) fn reset_path(&mut self, endpoint: &EndpointEntry, now: Time) {
        self.paths.lost.swap_remove(&endpoint.id);
        self.paths.unanswered.forget(&endpoint.id);
        self.update_cut_off(&endpoint.service, now);
    }

    /// Drops what is known about VMs and endpoints that are gone.
    pub(crate) fn prune_paths(&mut self, now: Time) {
        let members = &self.members;
        self.paths.reported.retain(|vm, _| members.row(vm).is_some());
        let registry = &self.registry;
        self.paths.lost.retain(|id, _| registry.get(id).is_some());
        self.paths.unanswered.retain(|id| registry.get(id).is_some());
        let services: Vec<_> = self.paths.cut_off.keys().cloned().collect();
        for service in services {
            self.update_cut_off(&service, now);
        }
    }

    fn lose_path(&mut self, endpoint: &EndpointEntry, failure: PathFailure, begun_at: Time, now: Time) {
        if self.paths.is_lost(&endpoint.id) {
            return;
        }
        let delay = if failure == PathFailure::Inferred {
            Millis(0)
        } else {
            self.paths.checks.give_back();
            PROBE_PERIOD
        };
        let jitter = Millis(self.rng.u64(..=PROBE_JITTER.0));
        let lost = LostPath {
            since: now,
            next_probe_at: now + delay + jitter,
        };
        self.paths.lost.insert(endpoint.id.clone(), lost);
        self.paths.unanswered.forget(&endpoint.id);
        let evidence = self.path_evidence(endpoint, begun_at, now);
        self.paths.changes.push(PathChange::Lost {
            endpoint: endpoint.id.clone(),
            address: endpoint.address,
            failure,
            evidence,
        });
    }

    /// Determines whether this VM is cut off from a service.
    fn update_cut_off(&mut self, service: &ServiceId, now: Time) {
        let is_lost = |known: &&Endpoint| self.paths.is_lost(&known.entry.id);
        let known = self.local_endpoints(service).count();
        let lost = self.local_endpoints(service).filter(is_lost).count();
        let open = known - lost;
        let Some(cut) = self.paths.cut_off.get_mut(service) else {
            if known > 0 && open == 0 {
                let cut = CutOff {
                    since: now,
                    regained_at: None,
                };
                self.paths.cut_off.insert(service.clone(), cut);
                self.paths.changes.push(PathChange::CutOff {
                    service: service.clone(),
                });
            }
            return;
        };
        let cut_for = now.since(cut.since);
        if open == 0 && known > 0 {
            cut.regained_at = None;
            return;
        }
        let is_first = cut.regained_at.is_none();
        let regained_at = *cut.regained_at.get_or_insert(now);
        let is_enough = open as f64 >= known as f64 * REGAINED_SHARE || now.since(regained_at) >= MAX_REGAIN_TIME;
        if is_enough {
            self.paths.cut_off.swap_remove(service);
            self.paths.changes.push(PathChange::Reconnected {
                service: service.clone(),
                cut_for,
            });
        } else if is_first {
            self.hasten_probes(service, now);
        }
    }

    /// Probes all lost paths of a service soon.
    fn hasten_probes(&mut self, service: &ServiceId, now: Time) {
        let endpoints: Vec<_> = self
            .local_endpoints(service)
            .map(|known| known.entry.id.clone())
            .collect();
        for endpoint in endpoints {
            let jitter = Millis(self.rng.u64(..=PROBE_JITTER.0));
            if let Some(lost) = self.paths.lost.get_mut(&endpoint) {
                lost.next_probe_at = lost.next_probe_at.min(now + jitter);
            }
        }
    }
}
