//! Rejection limits that endpoints name in their responses.
//!
//! A brittle endpoint names how many requests it can reject in a second for lack of room; with more it fails. It says so in
//! all its responses while that holds. Responses can overtake each other, so that a limit ends only with a response to a
//! request that was sent after the limit was last named.

use indexmap::IndexMap;
use sw_unit::{EndpointId, Incarnation, Rate, Time};

use crate::{EndpointEntry, Relay, ServiceId};

/// Maximum number of changes that are kept for logging.
const MAX_CHANGES: usize = 64;

/// What a response says about the rejections that its endpoint can bear.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RejectionLimitStatement {
    /// It names no limit.
    #[default]
    NotNamed,
    /// The endpoint can reject this many requests in a second.
    Named(Rate),
    /// The limit cannot be decoded; what was known before stays in force.
    Malformed,
}

/// A change of what a VM knows of a rejection limit.
#[derive(Debug, Clone, PartialEq)]
pub struct RejectionLimitChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it states now.
    pub statement: RejectionLimitStatement,
}

#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    incarnation: Incarnation,
    /// The limit; `None` if none that can be decoded was named.
    limit: Option<Rate>,
    named_at: Time,
    is_malformed: bool,
}

/// The rejection limits that this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct RejectionLimits {
    known: IndexMap<EndpointId, KnownLimit>,
    changes: Vec<RejectionLimitChange>,
}

impl RejectionLimits {
    fn on_statement(
        &mut self,
        endpoint: &EndpointEntry,
        statement: RejectionLimitStatement,
        sent_at: Option<Time>,
        now: Time,
    ) {
        let known = self.known.get(&endpoint.id).copied();
        if known.is_some_and(|known| known.incarnation > endpoint.incarnation) {
            return;
        }
        let known = known.filter(|known| known.incarnation == endpoint.incarnation);
        let is_changed = match statement {
            RejectionLimitStatement::Named(limit) => {
                known.is_none_or(|known| known.limit != Some(limit) || known.is_malformed)
            }
            RejectionLimitStatement::Malformed => known.is_none_or(|known| !known.is_malformed),
            RejectionLimitStatement::NotNamed => {
                let ends = |known: KnownLimit| sent_at.is_some_and(|sent_at| sent_at >= known.named_at);
                if known.is_some_and(ends) {
                    self.known.swap_remove(&endpoint.id);
                    self.record_change(endpoint, statement);
                }
                return;
            }
        };
        let limit = match statement {
            RejectionLimitStatement::Named(limit) => Some(limit),
            _ => known.and_then(|known| known.limit),
        };
        let entry = KnownLimit {
            incarnation: endpoint.incarnation,
            limit,
            named_at: now,
            is_malformed: statement == RejectionLimitStatement::Malformed,
        };
        self.known.insert(endpoint.id.clone(), entry);
        if is_changed {
            self.record_change(endpoint, statement);
        }
    }

    fn record_change(&mut self, endpoint: &EndpointEntry, statement: RejectionLimitStatement) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(RejectionLimitChange {
                endpoint: endpoint.id.clone(),
                statement,
            });
        }
    }

    /// Forgets the limits of endpoints that are not registered any more.
    pub(crate) fn prune(&mut self, is_registered: impl Fn(&EndpointId) -> bool) {
        self.known.retain(|endpoint, _| is_registered(endpoint));
    }
}

impl Relay {
    /// Records what a response of an endpoint says about its rejection limit. `sent_at` is when the request was sent;
    /// `None` if the response may not be the endpoint's own answer to it, which then ends no limit.
    pub fn on_rejection_limit_statement(
        &mut self,
        endpoint: &EndpointEntry,
        statement: RejectionLimitStatement,
        sent_at: Option<Time>,
        now: Time,
    ) {
        self.rejection_limits.on_statement(endpoint, statement, sent_at, now);
    }

    /// Returns the changes of the rejection limits since the last call, to be logged.
    pub fn take_rejection_limit_changes(&mut self) -> Vec<RejectionLimitChange> {
        std::mem::take(&mut self.rejection_limits.changes)
    }

    /// Returns the number of endpoints with a rejection limit.
    pub fn brittle_endpoints(&self) -> usize {
        let known = self.rejection_limits.known.values();
        known.filter(|known| known.limit.is_some()).count()
    }

    /// Returns the smallest rejection limit that a usable endpoint of a service names; `None` if none is brittle.
    pub fn rejection_limit(&self, service: &ServiceId) -> Option<Rate> {
        let named = self.registry.usable(service).filter_map(|endpoint| {
            let known = self.rejection_limits.known.get(&endpoint.entry.id)?;
            known.limit.filter(|_| known.incarnation == endpoint.entry.incarnation)
        });
        named.reduce(|least, limit| if limit.0 < least.0 { limit } else { least })
    }
}
