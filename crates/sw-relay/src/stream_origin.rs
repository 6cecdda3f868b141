//! Which software version began a stream.
//!
//! A caller whose stream broke off may take it up at any VM of any region. The VM that relayed the first event knows
//! the version that began the stream. While streams of several versions of a service may live, it tells two other VMs,
//! one in its region and one in another, which all VMs compute alike from the id of the stream; a VM that is
//! asked to go on with a stream that it does not know asks these. A version that is not known is not assumed: the
//! caller is refused.

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
/// VMs of each region that are asked for an origin: the one that was told, and the next one if VMs joined or left.
const ASKED_PER_REGION: usize = 2;

/// The software version that began a stream.
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
    /// Whether other VMs must be told if several versions serve.
    untold: bool,
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
    fn record(&mut self, origin: StreamOrigin, untold: bool, now: Time) {
        if self.known.len() >= MAX_ORIGINS {
            self.known.shift_remove_index(0);
        }
        let known = KnownOrigin {
            service: origin.service,
            software: origin.software,
            known_since: now,
            untold,
        };
        // The first event counts; a stream has one origin.
        self.known.entry(origin.stream).or_insert(known);
    }

    /// Returns the origins of these services that other VMs were not told, which they are then.
    fn take_untold(&mut self, services: &[ServiceId]) -> Vec<StreamOrigin> {
        let known = self.known.iter_mut();
        let untold = known.filter(|(_, known)| known.untold && services.contains(&known.service));
        let taken = untold.map(|(stream, known)| {
            known.untold = false;
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
        self.origins.record(origin, true, now);
    }

    /// Records an origin that another VM knows. If `untold`, this VM will tell it to others.
    pub fn record_origin(&mut self, origin: StreamOrigin, untold: bool, now: Time) {
        self.origins.record(origin, untold, now);
    }

    /// Returns the origin of a stream, if this VM knows it.
    pub fn stream_origin(&self, stream: &str) -> Option<StreamOrigin> {
        let (stream, known) = self.origins.known.get_key_value(stream)?;
        Some(known.origin_of(stream))
    }

    /// Returns the origins to tell other VMs, with their addresses. There are none while each service has one version.
    pub fn take_untold_origins(&mut self, now: Time) -> IndexMap<SocketAddr, Vec<StreamOrigin>> {
        let mut told: IndexMap<_, Vec<_>> = IndexMap::new();
        let mixed = self.mixed_services(now);
        if mixed.is_empty() {
            return told;
        }
        for origin in self.origins.take_untold(&mixed) {
            for row in self.origin_holders(&origin.stream, now) {
                told.entry(row.peer_listen).or_default().push(origin.clone());
            }
        }
        told
    }

    /// Returns the addresses of the VMs to ask for the origin of a stream.
    pub fn vms_to_ask(&self, stream: &str, now: Time) -> Vec<SocketAddr> {
        let regions: IndexSet<_> = self.options.domain_regions.values().collect();
        let ranked = regions
            .into_iter()
            .flat_map(|region| self.ranked_vms(stream, region, now).into_iter().take(ASKED_PER_REGION));
        ranked.map(|row| row.peer_listen).collect()
    }

    /// Returns the VMs that are told the origin of a stream: the first one of this region and of another one.
    fn origin_holders(&self, stream: &str, now: Time) -> Vec<VmRow> {
        let local = &self.options.local.region;
        let regions: IndexSet<_> = self.options.domain_regions.values().collect();
        let mut others: Vec<_> = regions.into_iter().filter(|region| *region != local).collect();
        others.sort_by_key(|region| rendezvous_score(stream, region.as_str()));
        let first = |region: &RegionId| self.ranked_vms(stream, region, now).into_iter().next();
        let remote = others.into_iter().find_map(first);
        first(local).into_iter().chain(remote).collect()
    }

    /// Returns the other live VMs of a region in the order in which they hold a stream's origin.
    fn ranked_vms(&self, stream: &str, region: &RegionId, now: Time) -> Vec<VmRow> {
        let peers = self.members.peers().filter(|row| row.region == *region);
        let mut live: Vec<_> = peers.filter(|row| self.is_live(&row.vm, now)).cloned().collect();
        live.sort_by_cached_key(|row| Reverse(rendezvous_score(stream, row.vm.as_str())));
        live
    }
}
