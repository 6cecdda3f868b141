//! Which software versions of a service have served.
//!
//! A stream may continue only at the software version that started it. If a VM does not know which one that was, it may still
//! conclude it: if only one version has served for as long as a stream can live. For that each VM records which
//! versions were registered, and a VM that has just started takes over what the others recorded. A VM that was cut off
//! or stood still may have missed a version that joined and left meanwhile, so it relies on the others likewise.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{EndpointId, Millis, Time};

use crate::{EndpointEntry, Relay, ServiceId, SoftwareVersion};

/// Time after the timeout of its route after which a stream can no longer be resumed, including the time in which VMs
/// learn that an endpoint has left.
const STREAM_MARGIN: Millis = Millis(10_000);
/// Lifetime of a stream of a service that no route leads to.
const DEFAULT_STREAM_LIFE: Millis = Millis(30_000);
/// Time for which a version is remembered that is no longer registered.
const VERSION_KEPT_FOR: Millis = Millis(600_000);
/// Time without a confirmation of the registrations after which versions may have joined and left unseen; longer than a
/// watcher waits for changes, and about as long as an endpoint without heartbeats stays registered.
const MAX_UNCONFIRMED: Millis = Millis(6_000);
/// Time after such a gap for which heartbeats may have been sent before it.
const OLD_HEARTBEATS_FOR: Millis = Millis(3_000);
/// Maximum number of versions that are remembered of a service.
const MAX_VERSIONS: usize = 32;

/// A software version, and when it was last registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionAge {
    /// The version; `None` for endpoints that do not state one.
    pub software: Option<SoftwareVersion>,
    /// Time since an endpoint of the version was registered.
    pub age: Millis,
}

/// The only software version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoleVersion {
    /// This version.
    Stated(SoftwareVersion),
    /// Endpoints do not state their versions.
    Unstated,
}

/// The software versions of a service that may have started streams that still live, as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSoftware {
    /// The service.
    pub service: ServiceId,
    /// Its versions; `None` for endpoints that do not state one.
    pub versions: Vec<Option<SoftwareVersion>>,
}

/// The software versions of a service, as VMs report them to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceVersions {
    /// The service.
    pub service: ServiceId,
    /// Time for which the sender, or a VM that it learned from, has followed the registrations.
    pub observed_for: Millis,
    /// Its versions.
    pub versions: Vec<VersionAge>,
}

/// What a VM knows of the software versions of a service.
#[derive(Debug, Clone)]
struct ServiceHistory {
    observed_since: Time,
    /// When an endpoint of each version was last registered.
    last_registered: IndexMap<Option<SoftwareVersion>, Time>,
    /// The versions that the store has recorded; `None` if it has no record.
    recorded: Option<IndexSet<Option<SoftwareVersion>>>,
    /// Whether the store has lost the record.
    is_lost: bool,
}

/// The software versions of all services.
#[derive(Debug, Clone, Default)]
pub(crate) struct VersionHistory {
    services: IndexMap<ServiceId, ServiceHistory>,
    /// When this VM last had all changes of the registrations.
    confirmed_at: Option<Time>,
    /// When it last got them after a gap.
    gap_ended_at: Option<Time>,
}

impl VersionHistory {
    /// Records that an endpoint is registered.
    pub(crate) fn record(&mut self, entry: &EndpointEntry, now: Time) {
        let history = self.history(&entry.service, now);
        history.record(entry.software.clone(), now);
    }

    /// Records that this VM has all changes of the registrations. After a gap it has followed them only since now.
    pub(crate) fn on_confirmed(&mut self, now: Time) {
        let confirmed_at = self.confirmed_at.replace(now);
        if confirmed_at.is_some_and(|at| now.since(at) > MAX_UNCONFIRMED) {
            self.gap_ended_at = Some(now);
            for history in self.services.values_mut() {
                history.observed_since = now;
            }
        }
    }

    /// Merges what another VM knows.
    pub(crate) fn merge(&mut self, report: &ServiceVersions, now: Time) {
        let may_be_old = self.gap_ended_at.is_some_and(|at| now.since(at) < OLD_HEARTBEATS_FOR);
        let history = self.history(&report.service, now);
        if !may_be_old {
            history.observed_since = history.observed_since.min(now - report.observed_for);
        }
        for version in &report.versions {
            history.record(version.software.clone(), now - version.age);
        }
    }

    /// Applies the record of the store. A version that this VM did not know counts as registered until now.
    pub(crate) fn on_recorded(&mut self, services: Vec<ServiceSoftware>, now: Time) {
        for ServiceSoftware { service, versions } in services {
            let history = self.history(&service, now);
            for software in &versions {
                if !history.last_registered.contains_key(software) {
                    history.record(software.clone(), now);
                }
            }
            history.recorded = Some(versions.into_iter().collect());
            history.is_lost = false;
        }
    }

    /// Returns the services whose versions are known.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Returns whether the store has a record of any service.
    pub(crate) fn has_record(&self) -> bool {
        self.services.values().any(|history| history.recorded.is_some())
    }

    /// Records that the store has lost the record, and returns the number of services in it.
    pub(crate) fn on_record_lost(&mut self) -> usize {
        let recorded = self.services.values_mut().filter(|history| history.recorded.is_some());
        recorded.map(|history| history.is_lost = true).count()
    }

    /// Returns what this VM knows, to report it to another VM.
    pub(crate) fn reports(&self, now: Time) -> Vec<ServiceVersions> {
        let reports = self.services.iter().map(|(service, history)| ServiceVersions {
            service: service.clone(),
            observed_for: now.since(history.observed_since),
            versions: history.versions(now).collect(),
        });
        reports.collect()
    }

    /// Returns whether streams of several versions, or versions that are not stated, may live.
    pub(crate) fn is_mixed(&self, service: &ServiceId, life: Millis, now: Time) -> bool {
        let history = self.services.get(service);
        history.is_some_and(|history| history.live_versions(life, now).len() > 1)
    }

    /// Returns the only version of which streams may live, if this VM can tell.
    pub(crate) fn sole(&self, service: &ServiceId, life: Millis, now: Time) -> Option<SoleVersion> {
        let history = self.services.get(service)?;
        if now.since(history.observed_since) < life && history.recorded.is_none() {
            return None;
        }
        history.only_version(life, now)
    }

    /// Forgets versions that left long ago.
    pub(crate) fn prune(&mut self, now: Time) {
        for history in self.services.values_mut() {
            history
                .last_registered
                .retain(|_, at| now.since(*at) < VERSION_KEPT_FOR);
        }
    }

    fn history(&mut self, service: &ServiceId, now: Time) -> &mut ServiceHistory {
        self.services.entry(service.clone()).or_insert_with(|| ServiceHistory {
            observed_since: now,
            last_registered: IndexMap::new(),
            recorded: None,
            is_lost: false,
        })
    }
}

impl ServiceHistory {
    /// Returns the versions of which streams may live. The record counts until this VM has followed the registrations for
    /// long enough.
    fn live_versions(&self, life: Millis, now: Time) -> IndexSet<Option<SoftwareVersion>> {
        let mut versions: IndexSet<_> = self.within(life, now).cloned().collect();
        if now.since(self.observed_since) < life {
            versions.extend(self.recorded.iter().flatten().cloned());
        }
        versions
    }

    fn record(&mut self, software: Option<SoftwareVersion>, at: Time) {
        if let Some(known) = self.last_registered.get_mut(&software) {
            *known = at.max(*known);
        } else if self.last_registered.len() < MAX_VERSIONS {
            self.last_registered.insert(software, at);
        }
    }

    fn versions(&self, now: Time) -> impl Iterator<Item = VersionAge> + '_ {
        self.last_registered.iter().map(move |(software, at)| VersionAge {
            software: software.clone(),
            age: now.since(*at),
        })
    }

    fn within(&self, life: Millis, now: Time) -> impl Iterator<Item = &Option<SoftwareVersion>> {
        let recent = self
            .last_registered
            .iter()
            .filter(move |(_, at)| now.since(**at) < life);
        recent.map(|(software, _)| software)
    }

    fn only_version(&self, life: Millis, now: Time) -> Option<SoleVersion> {
        let mut versions = self.live_versions(life, now).into_iter();
        let only = versions.next()?.map_or(SoleVersion::Unstated, SoleVersion::Stated);
        versions.next().is_none().then_some(only)
    }
}

impl Relay {
    /// Returns the only software version of a service that can have started a stream that still lives, if this VM can
    /// tell.
    pub fn sole_software(&self, service: &ServiceId, now: Time) -> Option<SoleVersion> {
        self.versions.sole(service, self.stream_life(service), now)
    }

    /// Returns the services of which streams of several software versions may live.
    pub(crate) fn mixed_services(&self, now: Time) -> Vec<ServiceId> {
        let services = self.versions.services.keys();
        services
            .filter(|service| self.is_mixed(service, now))
            .cloned()
            .collect()
    }

    /// Returns whether streams of several software versions of a service may live.
    pub(crate) fn is_mixed(&self, service: &ServiceId, now: Time) -> bool {
        self.versions.is_mixed(service, self.stream_life(service), now)
    }

    /// Returns the software versions to record in the store, if the record is out of date and this VM writes it.
    pub fn unrecorded_software(&self, now: Time) -> Option<Vec<ServiceSoftware>> {
        if self.store.position.revision == 0 || !self.writes_for_region(now) {
            return None;
        }
        let mut is_current = true;
        let services = self.versions.services.iter().map(|(service, history)| {
            let versions = history.live_versions(self.stream_life(service), now);
            is_current &= !history.is_lost && history.recorded.as_ref() == Some(&versions);
            ServiceSoftware {
                service: service.clone(),
                versions: versions.into_iter().collect(),
            }
        });
        let services: Vec<_> = services.collect();
        (!is_current).then_some(services)
    }

    /// Returns whether no endpoint of a service states its software version.
    pub fn is_unversioned(&self, service: &ServiceId) -> bool {
        let mut endpoints = self.registry.of_service(service).peekable();
        endpoints.peek().is_some() && endpoints.all(|endpoint| endpoint.entry.software.is_none())
    }

    /// Records that this VM has all changes of the registrations, up to now or a moment ago.
    pub fn on_registrations_confirmed(&mut self, now: Time) {
        self.versions.on_confirmed(now);
    }

    /// Records the version of a registration that ends or is replaced: it was in force until now.
    pub(crate) fn record_version_until(&mut self, id: &EndpointId, now: Time) {
        if let Some(known) = self.registry.get(id) {
            self.versions.record(&known.entry, now);
        }
    }

    /// Records the versions that are registered now.
    pub(crate) fn record_versions(&mut self, now: Time) {
        for endpoint in self.registry.all() {
            self.versions.record(&endpoint.entry, now);
        }
        self.versions.prune(now);
    }

    /// Returns the time for which a stream of a service can live, and be resumed.
    pub(crate) fn stream_life(&self, service: &ServiceId) -> Millis {
        let routes = self.table.iter().flat_map(|table| table.routes());
        let leading = routes.filter(|route| route.leads_to(service));
        let longest = leading.map(|route| route.timeout).max();
        longest.map_or(DEFAULT_STREAM_LIFE, |longest| longest + STREAM_MARGIN)
    }
}
