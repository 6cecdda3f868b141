//! Which membership rows a heartbeat carries.
//!
//! Heartbeats carry the rows that changed since the last exchange with the receiver, if the two sides know different ones.
//! Each VM learns the rows of its own failure domain from their VMs, and those of other domains from the neighbour that
//! exchanged heartbeats there. So a VM tells its neighbours only what it learned outside their domain, and tells other
//! domains only the rows of its own one. All rows are sent to a VM that asks for them: one that has just started, or one
//! that has disagreed for so long that it must have missed a change.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_member::{RowSource, VmRow, rendezvous_score};
use sw_unit::{DomainId, Incarnation, Millis, Time, VmId};

use crate::rate_limit::MAX_CALL_TRANSIT;
use crate::{Exchange, Heartbeat, Relay, RowQuery};

/// Age of the oldest changes that are told to a VM with which there was no exchange yet.
const FIRST_CHANGES: Millis = Millis(10_000);
/// Time after which the VMs of a failure domain know a change in it, so that any of them can tell another domain.
const DOMAIN_PROPAGATION: Millis = Millis(4_000);
/// Time for which two sides disagree before one of them asks for all rows: longer than a change takes to reach all VMs.
const REPAIR_AFTER: Millis = Millis(5_000);
/// Shortest time between two requests for all rows, for each row: 4 of the 13 KB a second that control may cost.
const REPAIR_PERIOD_PER_ROW: Millis = Millis(50);
/// Time after its start during which a VM asks all others for all rows, until one that has them replies.
const START_TIME: Millis = Millis(5_000);

/// A neighbour, or another failure domain as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Party {
    Neighbour(VmId, Incarnation),
    Domain(DomainId),
}

/// What was exchanged with a [`Party`].
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    /// When the last heartbeat to it was sent that got a reply.
    told_at: Option<Time>,
    heard_at: Option<Time>,
    /// Since when it and this VM know different rows.
    disagrees_since: Option<Time>,
}

/// The latest heartbeat of a VM, as far as it concerns rows.
#[derive(Debug, Clone, Copy)]
struct PeerRows {
    incarnation: Incarnation,
    digest: u64,
    query: RowQuery,
}

/// State of the exchange of membership rows.
#[derive(Debug, Clone, Default)]
pub(crate) struct RowExchange {
    peers: IndexMap<VmId, PeerRows>,
    contacts: IndexMap<Party, Contact>,
    /// When this VM last had all rows that another one knew.
    complete_at: Option<Time>,
    /// When it last asked for all rows.
    asked_at: Option<Time>,
}

impl RowExchange {
    fn peer(&self, row: &VmRow) -> Option<&PeerRows> {
        let peer = self.peers.get(&row.vm);
        peer.filter(|peer| peer.incarnation == row.incarnation)
    }
}

impl Relay {
    /// Returns the heartbeat to send to another VM now, whose membership row is `to` if it is known.
    pub fn start_exchange(&mut self, to: Option<VmRow>, now: Time) -> Exchange {
        let heartbeat = self.heartbeat(to.as_ref(), now);
        if heartbeat.row_query.wants_all {
            self.rows.asked_at = Some(now);
        }
        Exchange {
            heartbeat,
            to,
            started_at: now,
        }
    }

    /// Returns the seeds to call: those that belong to no known VM, or all if this VM has just started and lacks rows.
    pub fn seeds_to_call(&self, seeds: &[SocketAddr], now: Time) -> Vec<SocketAddr> {
        if self.lacks_rows(now) {
            let local = self.members.local().peer_listen;
            return seeds.iter().copied().filter(|seed| *seed != local).collect();
        }
        self.members.unknown_seeds(seeds).collect()
    }

    /// Returns the reply to a heartbeat that was applied.
    pub fn reply(&mut self, to: &VmRow, now: Time) -> Heartbeat {
        let contact = self.rows.contacts.get(&self.party(to));
        let query = RowQuery {
            takes_differences: true,
            wants_all: self.wants_all_rows(Some(to), contact, now),
            last_heard: None,
        };
        let reply = Heartbeat {
            known_vms: self.rows_to_reply(to, now),
            row_query: query,
            ..self.heartbeat(Some(to), now)
        };
        if query.wants_all {
            self.rows.asked_at = Some(now);
        }
        if let Some(peer) = self.rows.peers.get_mut(&to.vm) {
            peer.query.wants_all = false;
        }
        reply
    }

    /// Applies the reply to a heartbeat, and returns whether the row of its sender is new or changed.
    pub fn end_exchange(&mut self, exchange: &Exchange, reply: Heartbeat, now: Time) -> bool {
        let party = self.party(&reply.from);
        let wanted_all = exchange.heartbeat.row_query.wants_all;
        // A VM that has itself just started asks for rows too.
        let is_complete = wanted_all && !reply.row_query.wants_all;
        let source = if wanted_all && self.is_starting(now) {
            RowSource::Snapshot
        } else {
            self.source_of_rows(&reply.from)
        };
        let proof = reply
            .proof_age
            .map(|age| (reply.from.version, exchange.started_at - age));
        let changed = self.apply_heartbeat(reply, source, now);
        if let Some((version, proven_at)) = proof {
            self.on_newest_version(version, proven_at);
        }
        if exchange.to.is_some() {
            self.rows.contacts.entry(party).or_default().told_at = Some(exchange.started_at);
        }
        if is_complete {
            self.rows.complete_at = Some(now);
        }
        changed
    }

    /// Returns whether another VM knows the same rows, as far as its last heartbeat tells.
    pub(crate) fn agrees_with(&self, to: Option<&VmRow>) -> bool {
        let digest = |row: &VmRow| self.rows.peers.get(&row.vm).map(|peer| peer.digest);
        to.and_then(digest) == Some(self.members_digest())
    }

    /// Returns the rows for a heartbeat that is no reply.
    ///
    /// A VM of which no heartbeat was received is assumed to take differences; its reply tells whether it does.
    pub(crate) fn rows_to_send(&self, to: Option<&VmRow>, now: Time) -> Vec<VmRow> {
        let Some(to) = to.filter(|to| !self.agrees_with(Some(to))) else {
            return Vec::new();
        };
        let contact = self.rows.contacts.get(&self.party(to));
        let disagrees_since = contact.and_then(|contact| contact.disagrees_since);
        // A VM that has just started asks for all rows itself.
        let is_repair = disagrees_since.is_some_and(|since| now.since(since) >= REPAIR_AFTER);
        let asks_for_all = |query: RowQuery| !query.takes_differences || query.wants_all && is_repair;
        if self.rows.peer(to).is_some_and(|peer| asks_for_all(peer.query)) {
            return self.all_rows(to);
        }
        let told_at = contact.and_then(|contact| contact.told_at);
        self.changed_rows(to, told_at.unwrap_or(now - FIRST_CHANGES), now)
    }

    fn rows_to_reply(&self, to: &VmRow, now: Time) -> Vec<VmRow> {
        if self.agrees_with(Some(to)) {
            return Vec::new();
        }
        let query = self.rows.peer(to).map(|peer| peer.query).unwrap_or_default();
        if query.wants_all || !query.takes_differences {
            return self.all_rows(to);
        }
        let overlap = if to.domain == self.options.local.domain {
            MAX_CALL_TRANSIT
        } else {
            DOMAIN_PROPAGATION
        };
        let span = query.last_heard.map_or(FIRST_CHANGES, |heard| heard + overlap);
        self.changed_rows(to, now - span, now)
    }

    fn all_rows(&self, to: &VmRow) -> Vec<VmRow> {
        let others = self.members.peers().filter(|row| row.vm != to.vm);
        others.cloned().collect()
    }

    fn changed_rows(&self, to: &VmRow, since: Time, now: Time) -> Vec<VmRow> {
        let changes = self.members.changes_since(since);
        let told = changes.filter(|(row, source)| row.vm != to.vm && self.is_told(to, row, *source, now));
        told.map(|(row, _)| row.clone()).collect()
    }

    /// Returns whether another VM should learn a changed row from this VM.
    fn is_told(&self, to: &VmRow, row: &VmRow, source: RowSource, now: Time) -> bool {
        let local = &self.options.local.domain;
        if to.domain != *local {
            let is_stopping = self.members.local().leaving || to.leaving;
            return row.domain == *local && !is_stopping;
        }
        match source {
            RowSource::Snapshot | RowSource::Neighbour => false,
            RowSource::Itself if row.domain == *local => false,
            RowSource::Itself if row.leaving => self.members.is_repeater(&row.vm, now),
            RowSource::Itself | RowSource::Remote => true,
        }
    }

    /// Returns what a heartbeat to another VM says about rows.
    pub(crate) fn row_query(&self, to: Option<&VmRow>, now: Time) -> RowQuery {
        let contact = to.and_then(|to| self.rows.contacts.get(&self.party(to)));
        let heard_at = contact.and_then(|contact| contact.heard_at);
        RowQuery {
            takes_differences: true,
            wants_all: self.wants_all_rows(to, contact, now),
            last_heard: heard_at.map(|heard_at| now.since(heard_at)),
        }
    }

    fn wants_all_rows(&self, to: Option<&VmRow>, contact: Option<&Contact>, now: Time) -> bool {
        if self.members.local().leaving {
            return false;
        }
        if self.is_starting(now) {
            return self.lacks_rows(now);
        }
        let disagrees_since = contact.and_then(|contact| contact.disagrees_since);
        let period = Millis(REPAIR_PERIOD_PER_ROW.0 * self.members.peers().count() as u64);
        let last_at = self.rows.complete_at.max(self.rows.asked_at);
        disagrees_since.is_some_and(|since| now.since(since) >= REPAIR_AFTER)
            && !self.agrees_with(to)
            && last_at.is_none_or(|last_at| now.since(last_at) >= period.max(REPAIR_AFTER))
    }

    /// Returns whether this VM has just started and no VM that has all rows has sent them.
    fn lacks_rows(&self, now: Time) -> bool {
        self.is_starting(now) && self.rows.complete_at.is_none()
    }

    fn is_starting(&self, now: Time) -> bool {
        now.since(self.options.started_at) < START_TIME
    }

    /// Returns the source of the rows of a heartbeat.
    pub(crate) fn source_of_rows(&self, from: &VmRow) -> RowSource {
        if from.domain == self.options.local.domain {
            RowSource::Neighbour
        } else {
            RowSource::Remote
        }
    }

    /// Records what a heartbeat says about rows, after its rows were applied.
    pub(crate) fn on_row_query(&mut self, from: &VmRow, digest: u64, query: RowQuery, now: Time) {
        let peer = PeerRows {
            incarnation: from.incarnation,
            digest,
            query,
        };
        self.rows.peers.insert(from.vm.clone(), peer);
        let agrees = self.agrees_with(Some(from));
        let party = self.party(from);
        let contact = self.rows.contacts.entry(party).or_default();
        contact.heard_at = Some(now);
        if agrees {
            contact.disagrees_since = None;
        } else {
            contact.disagrees_since.get_or_insert(now);
        }
    }

    /// Drops what is known of VMs and domains that do not exist any more.
    pub(crate) fn prune_rows(&mut self) {
        let (members, domains) = (&self.members, &self.options.domain_regions);
        self.rows.peers.retain(|vm, _| members.row(vm).is_some());
        self.rows.contacts.retain(|party, _| match party {
            Party::Neighbour(vm, incarnation) => members.incarnation_row(vm, *incarnation).is_some(),
            Party::Domain(domain) => domains.contains_key(domain),
        });
    }

    fn party(&self, row: &VmRow) -> Party {
        if row.domain == self.options.local.domain {
            Party::Neighbour(row.vm.clone(), row.incarnation)
        } else {
            Party::Domain(row.domain.clone())
        }
    }

    /// Returns a digest of all membership rows, equal on VMs that know the same rows.
    pub(crate) fn members_digest(&self) -> u64 {
        let local = std::iter::once(self.members.local());
        let rows = local.chain(self.members.peers());
        rows.fold(0, |digest, row| {
            digest ^ rendezvous_score(row.incarnation, (&row.vm, row.leaving))
        })
    }
}
