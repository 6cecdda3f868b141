//! Health checks of endpoints that may be cold without having registered as cold.
//!
//! A registration tells how long an endpoint remains cold, but it is read late, and not at all while the store is away. A VM
//! suspects an endpoint to be cold by what it learns itself: the endpoint crashed; a connection can be made again, so that it
//! may lead to another process; an evacuation ended, shortly before which endpoints may have become cold; a registration says
//! less than the endpoint said before. The VM then asks the endpoint for its health. Until the endpoint has answered, or
//! would be warm in any case, the VM sends it only its share of a slow start.

use std::sync::Arc;

use indexmap::IndexMap;
use strum::{Display, IntoStaticStr};
use sw_unit::{DomainId, EndpointId, Millis, Time};

use crate::registry::Endpoint;
use crate::{EndpointEntry, Relay, ServiceId};

/// Time after which an endpoint that has not answered its first health check is checked again; doubled after each check.
const FIRST_RETRY: Millis = Millis(1_000);
/// Longest time for which a request waits for the answer to a health check.
const ANSWER_WAIT: Millis = Millis(100);
/// Difference between two statements of the same cold time that delays explain.
const MAX_STATEMENT_DELAY: Millis = Millis(1_000);

/// Why an endpoint may be cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ColdCause {
    /// It crashed.
    Crashed,
    /// A connection to it can be made again.
    PathRegained,
    /// The evacuation of its failure domain ended.
    EvacuationEnded,
    /// Its registration says that it is warm sooner than it said before.
    Contradiction,
}

/// A health check to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheck {
    /// The endpoint.
    pub endpoint: EndpointEntry,
    /// The path of its service's health requests.
    pub path: Arc<str>,
    /// Why it may be cold.
    pub cause: ColdCause,
    /// When the check begins.
    pub started_at: Time,
}

/// An endpoint that may be cold.
#[derive(Debug, Clone, Copy)]
struct ColdSuspect {
    cause: ColdCause,
    since: Time,
    /// When it is warm in any case.
    until: Time,
    next_check_at: Time,
    /// Time from the next check to the one after it.
    retry_after: Millis,
}

/// Endpoints that may be cold.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdSuspects(IndexMap<EndpointId, ColdSuspect>);

impl ColdSuspects {
    /// Records that an endpoint has stated its cold time.
    pub(crate) fn remove(&mut self, id: &EndpointId) {
        self.0.swap_remove(id);
    }
}

impl Relay {
    /// Records that an endpoint may have become cold until now.
    pub(crate) fn suspect_cold(&mut self, id: &EndpointId, cause: ColdCause, now: Time) {
        let Some(known) = self.registry.get(id) else {
            return;
        };
        let service = self.service(&known.entry.service);
        let cold_for = service.map_or(Millis(0), |service| service.cold_for);
        let is_local = self.region_of(&known.entry.domain) == Some(&self.options.local.region);
        if cold_for == Millis(0) || !is_local {
            return;
        }
        let until = match cause {
            ColdCause::Contradiction => known.cold_until,
            ColdCause::Crashed | ColdCause::PathRegained | ColdCause::EvacuationEnded => now + cold_for,
        };
        let suspect = ColdSuspect {
            cause,
            since: now,
            until,
            next_check_at: now,
            retry_after: FIRST_RETRY,
        };
        self.cold_suspects.0.insert(id.clone(), suspect);
    }

    /// Records that the endpoints of a failure domain may have become cold until now.
    pub(crate) fn suspect_domain_cold(&mut self, domain: &DomainId, now: Time) {
        let all = self.registry.all().filter(|known| known.entry.domain == *domain);
        let ids: Vec<_> = all.map(|known| known.entry.id.clone()).collect();
        for id in &ids {
            self.suspect_cold(id, ColdCause::EvacuationEnded, now);
        }
    }

    /// Compares a registration of the known incarnation of an endpoint with what the endpoint said before.
    pub(crate) fn compare_cold_time(&mut self, entry: &EndpointEntry, now: Time) {
        let known = self.registry.get(&entry.id);
        let is_same = known.is_some_and(|known| known.entry.incarnation == entry.incarnation);
        let remaining = known.map_or(Millis(0), |known| known.cold_until.since(now));
        if is_same && entry.cold_for + MAX_STATEMENT_DELAY < remaining {
            self.suspect_cold(&entry.id, ColdCause::Contradiction, now);
        }
    }

    /// Returns the time until an endpoint is warm in any case.
    pub(crate) fn cold_remaining(&self, endpoint: &Endpoint, now: Time) -> Millis {
        let suspect = self.cold_suspects.0.get(&endpoint.entry.id);
        let until = suspect.map_or(endpoint.cold_until, |suspect| suspect.until.max(endpoint.cold_until));
        until.since(now)
    }

    /// Returns the health checks to begin now, and schedules the next ones.
    pub fn due_health_checks(&mut self, now: Time) -> Vec<HealthCheck> {
        let registry = &self.registry;
        self.cold_suspects
            .0
            .retain(|id, suspect| suspect.until > now && registry.get(id).is_some());
        let mut due = Vec::new();
        for (id, suspect) in &mut self.cold_suspects.0 {
            let Some(known) = registry.get(id) else {
                continue;
            };
            if suspect.next_check_at > now || self.paths.is_lost(id) {
                continue;
            }
            suspect.next_check_at = now + suspect.retry_after;
            suspect.retry_after = suspect.retry_after + suspect.retry_after;
            due.push((known.entry.clone(), suspect.cause));
        }
        let checks = due.into_iter().filter_map(|(endpoint, cause)| {
            let path = Arc::clone(&self.service(&endpoint.service)?.health_path);
            Some(HealthCheck {
                endpoint,
                path,
                cause,
                started_at: now,
            })
        });
        checks.collect()
    }

    /// Returns whether there are endpoints that may be cold.
    pub fn has_cold_suspects(&self) -> bool {
        !self.cold_suspects.0.is_empty()
    }

    /// Records that an endpoint answered a health check that it remains cold for `cold_for`.
    ///
    /// Only the answer to a check that began after the endpoint was suspected can make it warm sooner.
    pub fn on_health_answer(&mut self, check: &HealthCheck, cold_for: Millis, now: Time) {
        let id = &check.endpoint.id;
        let known = self.registry.get(id);
        if known.is_none_or(|known| known.entry.incarnation != check.endpoint.incarnation) {
            return;
        }
        let suspect = self.cold_suspects.0.get(id);
        if suspect.is_some_and(|suspect| suspect.since <= check.started_at) {
            self.cold_suspects.remove(id);
            self.registry.set_cold(id, cold_for, now);
        } else {
            self.registry.extend_cold(id, cold_for, now);
        }
    }

    /// Returns for how long a request that finds no endpoint waits for answers to health checks; `None` if there are none to
    /// wait for.
    pub fn health_answer_wait(&self, service: &ServiceId, now: Time) -> Option<Millis> {
        let local = self.local_endpoints(service);
        let suspects = local.filter_map(|known| self.cold_suspects.0.get(&known.entry.id));
        let waits = suspects.map(|suspect| (suspect.since + ANSWER_WAIT).since(now));
        waits.filter(|wait| *wait > Millis(0)).max()
    }
}
