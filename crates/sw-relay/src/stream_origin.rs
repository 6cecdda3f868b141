//! Which software version started a stream.
//!
//! A caller whose stream broke off may resume it at any VM of any region. The VM that relayed the first event knows
//! the version that started the stream. While streams of several versions of a service may live, it replicates this to two
//! other VMs: the one of its region that writes origins to the store, and one of another region. All VMs compute these
//! alike, and a VM that is asked to resume a stream that it does not know asks them. A version that is not known is not
//! assumed: the caller is refused.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sw_member::{VmRow, rendezvous_score};
use sw_unit::{Millis, RegionId, Time};

use crate::{AdmittedRequest, Relay, ServiceId, SoftwareVersion};

/// Time for which the origin of a stream is remembered.
const ORIGIN_KEPT_FOR: Millis = Millis(60_000);
/// Maximum number of streams whose origin is remembered; the oldest are dropped.
const MAX_ORIGINS: usize = 16_384;
/// Maximum number of origins in one write to the store.
const MAX_WRITTEN_AT_ONCE: usize = 512;
/// Writers of each region that are asked for an origin: the first one, and the next one if VMs joined or left.
const ASKED_WRITERS: usize = 2;
/// Number of live VMs up to which all are asked, also those that do not hold a replica yet.
const MAX_ASKED: usize = 12;
/// Key by which the VMs of a region are ranked as writers.
const WRITER_KEY: &str = "writer";

/// The software version that started a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Id of the request that brought the first event.
    pub stream: Arc<str>,
    /// The service.
    pub service: ServiceId,
    /// The version of the endpoint that sent the first event.
    pub software: SoftwareVersion,
}

#[derive(Debug, Clone)]
struct KnownOrigin {
    service: ServiceId,
    software: SoftwareVersion,
    known_since: Time,
    replication: Replication,
}

/// How far an origin has been replicated; none is replicated while a service has one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Replication {
    /// Other VMs and the store have it.
    Written,
    /// Other VMs have it; the store has not.
    Replicated,
    /// Only this VM has it.
    Pending,
}

impl KnownOrigin {
    fn origin_of(&self, stream: &Arc<str>) -> StreamOrigin {
        StreamOrigin {
            stream: Arc::clone(stream),
            service: self.service.clone(),
            software: self.software.clone(),
        }
    }
}

/// The origins that this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamOrigins {
    known: IndexMap<Arc<str>, KnownOrigin>,
}

impl StreamOrigins {
    fn record(&mut self, origin: StreamOrigin, replication: Replication, now: Time) {
        if self.known.len() >= MAX_ORIGINS {
            self.known.shift_remove_index(0);
        }
        let known = KnownOrigin {
            service: origin.service,
            software: origin.software,
            known_since: now,
            replication,
        };
        // The first event counts; a stream has one origin.
        self.known.entry(origin.stream).or_insert(known);
    }

    /// Records that the store may have lost the origins that were written to it, and returns their number.
    pub(crate) fn on_store_restored(&mut self) -> usize {
        let known = self.known.values_mut();
        let written = known.filter(|known| known.replication == Replication::Written);
        written.map(|known| known.replication = Replication::Replicated).count()
    }

    /// Returns up to `limit` origins of these services in the state `from`, and moves them to the state `to`.
    fn take(&mut self, services: &[ServiceId], from: Replication, to: Replication, limit: usize) -> Vec<StreamOrigin> {
        let known = self.known.iter_mut();
        let pending = known.filter(|(_, known)| known.replication == from && services.contains(&known.service));
        let taken = pending.take(limit).map(|(stream, known)| {
            known.replication = to;
            known.origin_of(stream)
        });
        taken.collect()
    }

    pub(crate) fn prune(&mut self, now: Time) {
        let expired = self
            .known
            .values()
            .take_while(|known| now.since(known.known_since) >= ORIGIN_KEPT_FOR)
            .count();
        self.known.drain(..expired);
    }
}

impl Relay {
    /// Records that the caller of a request got the first event of its stream, from an endpoint of the version `software`.
    pub fn on_stream_began(&mut self, admitted: &AdmittedRequest, software: &SoftwareVersion, now: Time) {
        let origin = StreamOrigin {
            stream: Arc::clone(&admitted.id),
            service: admitted.service.clone(),
            software: software.clone(),
        };
        self.origins.record(origin, Replication::Pending, now);
    }

    /// Records that a stream does not begin after all.
    pub fn forget_origin(&mut self, stream: &str) {
        self.origins.known.shift_remove(stream);
    }

    /// Records an origin that another VM knows.
    pub fn record_origin(&mut self, origin: StreamOrigin, replication: Replication, now: Time) {
        self.origins.record(origin, replication, now);
    }

    /// Returns the origin of a stream, if this VM knows it.
    pub fn stream_origin(&self, stream: &str) -> Option<StreamOrigin> {
        let (stream, known) = self.origins.known.get_key_value(stream)?;
        Some(known.origin_of(stream))
    }

    /// Returns the origins to replicate to other VMs, with their addresses. There are none while each service has one version.
    pub fn take_pending_origins(&mut self, now: Time) -> IndexMap<SocketAddr, Vec<StreamOrigin>> {
        let mut replicas: IndexMap<_, Vec<_>> = IndexMap::new();
        let mixed = self.mixed_services(now);
        if mixed.is_empty() {
            return replicas;
        }
        for origin in self
            .origins
            .take(&mixed, Replication::Pending, Replication::Replicated, usize::MAX)
        {
            for row in self.origin_holders(&origin.stream, now) {
                replicas.entry(row.peer_listen).or_default().push(origin.clone());
            }
        }
        replicas
    }

    /// Returns the origins to write to the store, if this VM writes for its region.
    pub fn take_unwritten_origins(&mut self, now: Time) -> Vec<StreamOrigin> {
        let mixed = self.mixed_services(now);
        if mixed.is_empty() || !self.writes_for_region(now) {
            return Vec::new();
        }
        self.origins.take(
            &mixed,
            Replication::Replicated,
            Replication::Written,
            MAX_WRITTEN_AT_ONCE,
        )
    }

    /// Records that an origin could not be written to the store, so that it is written again.
    pub fn on_origin_not_written(&mut self, stream: &str) {
        if let Some(known) = self.origins.known.get_mut(stream) {
            known.replication = known.replication.max(Replication::Replicated);
        }
    }

    /// Returns whether this VM writes to the store for its region.
    pub(crate) fn writes_for_region(&self, now: Time) -> bool {
        let local = self.members.local();
        let score = |row: &VmRow| rendezvous_score(WRITER_KEY, row.vm.as_str());
        let first = self.ranked_vms(WRITER_KEY, &local.region, now).into_iter().next();
        !self.is_joining(now) && first.is_none_or(|first| score(&first) < score(local))
    }

    /// Returns the addresses of the VMs to ask for the origin of a stream.
    pub fn vms_to_ask(&self, stream: &str, now: Time) -> Vec<SocketAddr> {
        let peers = self.members.peers().filter(|row| self.is_live(&row.vm, now));
        let live: Vec<_> = peers.map(|row| row.peer_listen).collect();
        if live.len() <= MAX_ASKED {
            return live;
        }
        let regions: IndexSet<_> = self.options.domain_regions.values().collect();
        let asked = regions.into_iter().flat_map(|region| {
            let writers = self.ranked_vms(WRITER_KEY, region, now).into_iter().take(ASKED_WRITERS);
            writers.chain(self.ranked_vms(stream, region, now).into_iter().take(1))
        });
        let asked: IndexSet<_> = asked.map(|row| row.peer_listen).collect();
        asked.into_iter().collect()
    }

    /// Returns the VMs that hold replicas of the origin of a stream: the writer of this region and one VM of another.
    fn origin_holders(&self, stream: &str, now: Time) -> Vec<VmRow> {
        let local = &self.options.local.region;
        let regions: IndexSet<_> = self.options.domain_regions.values().collect();
        let mut others: Vec<_> = regions.into_iter().filter(|region| *region != local).collect();
        others.sort_by_key(|region| rendezvous_score(stream, region.as_str()));
        let first = |key: &str, region: &RegionId| self.ranked_vms(key, region, now).into_iter().next();
        let remote = others.into_iter().find_map(|region| first(stream, region));
        first(WRITER_KEY, local).into_iter().chain(remote).collect()
    }

    /// Returns the other live VMs of a region, ranked by `key`.
    fn ranked_vms(&self, key: &str, region: &RegionId, now: Time) -> Vec<VmRow> {
        let peers = self.members.peers().filter(|row| row.region == *region);
        let mut live: Vec<_> = peers.filter(|row| self.is_live(&row.vm, now)).cloned().collect();
        live.sort_by_cached_key(|row| Reverse(rendezvous_score(key, row.vm.as_str())));
        live
    }
}
