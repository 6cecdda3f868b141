//! Which software version runs a new stream while several serve, so that each VM can tell it from the id of the stream.
//!
//! The store has a placement of each service: tickets for its versions. A stream runs at the version whose ticket ranks
//! first for its id. So its version is known even if all VMs were killed before they could write its origin to the store. If
//! that version has no room, the stream may run elsewhere once its origin is written. Earlier placements stay in the record
//! until the streams that began under them are over or written; where placements differ for a stream, its version is unknown.
//!
//! One VM writes the record, on the condition that it is what this VM knows. A placement without tickets says that streams
//! begin anywhere: before the first one, or while a VM of a build without placements, or an endpoint without a version, serves.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};
use sw_member::rendezvous_score;
use sw_unit::{Millis, Time};

use crate::{AdmittedRequest, Relay, RouteKind, ServiceId, SoftwareVersion};

/// Sum of the tickets of all versions, before rounding.
const TICKETS: u64 = 16;
/// Maximum number of placements of a service in the record.
const MAX_PLACEMENTS: usize = 8;
/// Difference of the share of a version from which on the tickets are changed.
const MIN_CHANGE: f64 = 0.125;
/// Time for which the shares differ before the tickets are changed, unless a version is new.
const CHANGE_AFTER: Millis = Millis(1_000);
/// Time after the first placement in which all VMs learn of it, and write the origins of the streams that began before.
const SETTLED_AFTER: Millis = Millis(2_000);
/// Key by which the VMs are ranked as writers.
const WRITER_KEY: &str = "placement";

/// Tickets of the software versions of a service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Placement {
    /// Higher for a later placement of the service.
    pub generation: u64,
    /// The tickets; none if streams begin anywhere.
    pub tickets: IndexMap<SoftwareVersion, u32>,
}

impl Placement {
    /// Returns the version at which a stream begins; `None` if that may be any.
    pub fn version_of(&self, stream: &str) -> Option<&SoftwareVersion> {
        if self.tickets.len() <= 1 {
            return self.tickets.keys().next();
        }
        let tickets = self.tickets.iter().flat_map(|(software, count)| {
            let numbers = 0..u64::from(*count).min(TICKETS);
            numbers.map(move |number| (software, number))
        });
        let rank = |(software, number): &(&SoftwareVersion, u64)| {
            let ticket = format!("{software} {number}");
            (rendezvous_score(stream, &ticket), Reverse(ticket))
        };
        tickets.max_by_key(rank).map(|(software, _)| software)
    }

    /// Returns whether the shares of the versions differ enough for a change.
    fn differs(&self, tickets: &IndexMap<SoftwareVersion, u32>) -> bool {
        let versions: IndexSet<_> = self.tickets.keys().chain(tickets.keys()).collect();
        let mut shares = versions.into_iter().map(|version| {
            let known = self.tickets.contains_key(version);
            let is_new_or_gone = known != tickets.contains_key(version);
            (is_new_or_gone, share(&self.tickets, version) - share(tickets, version))
        });
        shares.any(|(is_new_or_gone, change)| is_new_or_gone || change.abs() >= MIN_CHANGE)
    }
}

fn share(tickets: &IndexMap<SoftwareVersion, u32>, version: &SoftwareVersion) -> f64 {
    let total: f64 = tickets.values().copied().map(f64::from).sum();
    f64::from(tickets.get(version).copied().unwrap_or_default()) / total.max(1.0)
}

/// The placements of a service, as recorded in the store: the one in force, and earlier ones under which streams may live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlacements {
    /// The service.
    pub service: ServiceId,
    /// The placements; the last one is in force.
    pub placements: Vec<Placement>,
}

/// The recorded placements of a service.
#[derive(Debug, Clone)]
struct KnownPlacements {
    placements: Vec<Placement>,
    /// When this VM learned of the last one.
    learned_at: Time,
}

/// How long streams of earlier placements may matter.
#[derive(Debug, Clone, Copy)]
struct Settling {
    /// Time for which a stream can live, and be resumed.
    stream_life: Millis,
    /// Whether no stream began before this VM started.
    is_first_start: bool,
}

/// The placements of all services.
#[derive(Debug, Clone, Default)]
pub(crate) struct Placements {
    services: IndexMap<ServiceId, KnownPlacements>,
    /// Since when the shares of a service have differed from its placement.
    differ_since: IndexMap<ServiceId, Time>,
    /// Whether this VM has started with an empty store, so that no stream began before.
    is_first_start: bool,
    /// Whether the store has lost the record.
    is_lost: bool,
    /// Whether there was an outage of the store, in which VMs may have ended without writing the origins of streams.
    was_store_out: bool,
}

impl Placements {
    /// Applies the record of the store; one that is older than what is known was restored from a copy of the store.
    pub(crate) fn on_recorded(&mut self, records: Vec<ServicePlacements>, now: Time) {
        self.is_lost = false;
        for ServicePlacements { service, placements } in records {
            let Some(last) = placements.last() else {
                continue;
            };
            match self.services.get_mut(&service) {
                Some(known) if known.generation() > last.generation => self.is_lost = true,
                Some(known) => {
                    if known.generation() < last.generation {
                        known.learned_at = now;
                    }
                    known.placements = placements;
                }
                None => {
                    let known = KnownPlacements {
                        placements,
                        learned_at: now,
                    };
                    self.services.insert(service, known);
                }
            }
        }
    }

    /// Records that the store may have lost the record.
    pub(crate) fn on_store_restored(&mut self) {
        self.is_lost = !self.services.is_empty();
    }

    /// Records that this VM has read its first snapshot of the store, which `has_records` of this gateway or has not.
    pub(crate) fn on_first_snapshot(&mut self, has_records: bool) {
        self.is_first_start = !has_records;
    }

    /// Records that the store has recovered from an outage.
    pub(crate) fn on_store_recovered(&mut self) {
        self.was_store_out = true;
    }

    /// Returns the placement in force.
    fn in_force(&self, service: &ServiceId) -> Option<&Placement> {
        self.services.get(service)?.placements.last()
    }

    /// Returns the version at which a stream began whose origin was not written; `None` if placements differ.
    fn version_of(&self, service: &ServiceId, stream: &str) -> Option<&SoftwareVersion> {
        let placements = &self.services.get(service)?.placements;
        let mut versions = placements.iter().map(|placement| placement.version_of(stream));
        let first = versions.next()??;
        versions.all(|version| version == Some(first)).then_some(first)
    }

    /// Returns the placements of a service with the tickets that it should have, if it does not differ for a short time only.
    fn update(
        &mut self,
        service: &ServiceId,
        tickets: IndexMap<SoftwareVersion, u32>,
        settling: Settling,
        now: Time,
    ) -> Vec<Placement> {
        let known = self.services.get(service);
        let mut placements = known.map_or_else(|| vec![Placement::default()], |known| known.placements.clone());
        if known.is_some_and(|known| known.is_settled(settling, now)) {
            placements.drain(..placements.len() - 1);
        }
        let last = placements.last().cloned().unwrap_or_default();
        if !last.differs(&tickets) {
            self.differ_since.swap_remove(service);
            return placements;
        }
        let since = *self.differ_since.entry(service.clone()).or_insert(now);
        let has_new_version =
            !last.tickets.is_empty() && tickets.keys().any(|version| !last.tickets.contains_key(version));
        let is_due = has_new_version || now.since(since) >= CHANGE_AFTER;
        if is_due && placements.len() < MAX_PLACEMENTS {
            placements.push(Placement {
                generation: last.generation.saturating_add(1),
                tickets,
            });
        }
        placements
    }
}

impl KnownPlacements {
    fn generation(&self) -> u64 {
        self.placements.last().map_or(0, |last| last.generation)
    }

    /// Returns whether no stream that began under an earlier placement may live without its origin being written.
    fn is_settled(&self, settling: Settling, now: Time) -> bool {
        let earlier = self.placements.iter().rev().skip(1);
        let are_origins_written = earlier.map(|placement| placement.generation).eq([0]) && settling.is_first_start;
        let settled_after = if are_origins_written {
            SETTLED_AFTER
        } else {
            settling.stream_life
        };
        now.since(self.learned_at) >= settled_after
    }
}

impl Relay {
    /// Returns the version at which a new stream is to begin; `None` if that may be any, because one version serves, or the
    /// stream could not be resumed.
    pub fn placed_version(&self, admitted: &AdmittedRequest, now: Time) -> Option<SoftwareVersion> {
        let is_new = !admitted.resumed && !admitted.forwarded;
        if !is_new || admitted.route.kind != RouteKind::Resumable || !self.is_mixed(&admitted.service, now) {
            return None;
        }
        let placement = self.placements.in_force(&admitted.service)?;
        placement.version_of(&admitted.id).cloned()
    }

    /// Returns the version at which a stream of a service began whose origin was not written; `None` if that is not known.
    pub fn version_by_placement(&self, admitted: &AdmittedRequest, stream: &str) -> Option<SoftwareVersion> {
        // Another service of the route may have started it.
        let is_only_service = admitted
            .route
            .targets
            .iter()
            .all(|target| target.service == admitted.service);
        let version = self.placements.version_of(&admitted.service, stream);
        version.filter(|_| is_only_service).cloned()
    }

    /// Returns the placements to record in the store, if the record is out of date and this VM writes it.
    pub fn unrecorded_placements(&mut self, now: Time) -> Option<Vec<ServicePlacements>> {
        if self.store.position.revision == 0 || !self.writes_placements(now) {
            return None;
        }
        let services: Vec<_> = self.versions.services().cloned().collect();
        let mut is_current = !self.placements.is_lost;
        let mut records: Vec<_> = Vec::new();
        for service in services {
            let tickets = self.tickets(&service);
            let settling = self.settling(&service, now);
            let placements = self.placements.update(&service, tickets, settling, now);
            let known = self.placements.services.get(&service).map(|known| &known.placements);
            let is_first = known.is_none() && placements.len() == 1;
            is_current &= is_first || known == Some(&placements);
            if !is_first {
                records.push(ServicePlacements { service, placements });
            }
        }
        (!is_current).then_some(records)
    }

    /// Returns how long streams of earlier placements of a service may matter.
    fn settling(&self, service: &ServiceId, now: Time) -> Settling {
        let stream_life = self.stream_life(service);
        let is_young = now.since(self.options.started_at) < stream_life;
        Settling {
            stream_life,
            is_first_start: self.placements.is_first_start && is_young && !self.placements.was_store_out,
        }
    }

    /// Returns the tickets that the versions of a service should have; none if streams are to begin anywhere.
    fn tickets(&self, service: &ServiceId) -> IndexMap<SoftwareVersion, u32> {
        if !self.all_peers_know_placements() {
            return IndexMap::new();
        }
        let mut slots: IndexMap<SoftwareVersion, u64> = IndexMap::new();
        for endpoint in self.registry.usable(service) {
            let Some(software) = &endpoint.entry.software else {
                return IndexMap::new();
            };
            *slots.entry(software.clone()).or_default() += u64::from(endpoint.entry.slots.max(1));
        }
        if slots.is_empty() {
            let placement = self.placements.in_force(service);
            return placement.map_or_else(IndexMap::new, |placement| placement.tickets.clone());
        }
        let total = slots.values().sum::<u64>();
        let tickets = slots.into_iter().map(|(software, slots)| {
            let tickets = (slots * TICKETS + total / 2) / total;
            (software, tickets.max(1) as u32)
        });
        let mut tickets: IndexMap<_, _> = tickets.collect();
        tickets.sort_by(|a, _, b, _| a.as_str().cmp(b.as_str()));
        tickets
    }

    /// Returns whether this VM writes the placements.
    fn writes_placements(&self, now: Time) -> bool {
        let score = |vm: &str| rendezvous_score(WRITER_KEY, vm);
        let local = score(self.members.local().vm.as_str());
        let mut live = self.members.peers().filter(|row| self.is_live(&row.vm, now));
        !self.is_joining(now) && live.all(|row| score(row.vm.as_str()) < local)
    }
}
