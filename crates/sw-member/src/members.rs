//! Membership table: rows, last heartbeats and states of the VMs that this VM knows.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_unit::{DomainId, EndpointId, Incarnation, Millis, RegionId, Time, Version, VmId};

use crate::{RowSource, VmBrief, VmRow, VmState, rendezvous_score, rendezvous_top, rendezvous_top_by_size};

/// Number of VMs that poll one endpoint.
const POLLERS: usize = 2;
/// Number of VMs of a failure domain that exchange summaries with one remote domain.
const DELEGATES: usize = 2;

/// Number of VMs of a failure domain that repeat to the others what a remote VM told all VMs.
const REPEATERS: usize = 2;
/// Time for which rows of a [`RowSource::Snapshot`] may be news to neighbours.
const SNAPSHOT_TIME: Millis = Millis(5_000);

/// Periods and timeouts of [`Members`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Shortest time between two heartbeats to a neighbour.
    pub min_period: Millis,
    /// Heartbeat period per neighbour; as it is multiplied by their number, the total rate of heartbeats is constant.
    pub period_per_neighbour: Millis,
    /// Longest time between two heartbeats to a neighbour.
    pub max_period: Millis,
    /// Number of heartbeat periods without a heartbeat after which a neighbour is suspect.
    pub missed_periods: u64,
    /// Time without a heartbeat or a delegate's report after which a VM of a remote domain is suspect.
    pub remote_suspect_after: Millis,
    /// Time without a heartbeat after which a VM is removed from the table.
    pub forget_after: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_period: Millis(1_000),
            period_per_neighbour: Millis(120),
            max_period: Millis(2_400),
            missed_periods: 3,
            remote_suspect_after: Millis(9_000),
            forget_after: Millis(600_000),
        }
    }
}

#[derive(Debug, Clone)]
struct Member {
    row: VmRow,
    received_at: Time,
    /// When and from whom this VM learned the row as it is.
    changed_at: Time,
    source: RowSource,
}

impl Member {
    /// Applies what another row of the same incarnation adds: its end, and a newer version.
    fn merge(&mut self, row: &VmRow, source: RowSource, now: Time) {
        let (leaving, version) = (self.row.leaving | row.leaving, self.row.version.max(row.version));
        let unchanged = (leaving, version) == (self.row.leaving, self.row.version);
        // What a remote VM reports as changed is news to neighbours that started earlier than this VM.
        let is_recent = now.since(self.changed_at) < SNAPSHOT_TIME;
        let is_news = is_recent && self.source == RowSource::Snapshot && source == RowSource::Remote;
        if unchanged && !is_news {
            return;
        }
        (self.row.leaving, self.row.version) = (leaving, version);
        (self.changed_at, self.source) = (now, source);
    }
}

/// The VMs that this VM knows, itself included.
#[derive(Debug, Clone)]
pub struct Members {
    options: Options,
    local: VmRow,
    peers: IndexMap<VmId, Member>,
}

impl Members {
    /// Creates the table of the VM with row `local`, which knows no peers yet.
    pub fn new(local: VmRow, options: Options) -> Self {
        Self {
            options,
            local,
            peers: IndexMap::new(),
        }
    }

    /// Returns the row of this VM.
    pub fn local(&self) -> &VmRow {
        &self.local
    }

    /// Marks this VM as leaving.
    pub fn leave(&mut self) {
        self.local.leaving = true;
    }

    /// Sets the version of the configuration that this VM runs.
    pub fn set_version(&mut self, version: Version) {
        self.local.version = version;
    }

    /// Records a row that its VM sent itself, and returns whether the row is new or changed.
    ///
    /// A row of an older incarnation is ignored. An incarnation that is leaving stays so.
    pub fn on_heartbeat(&mut self, mut row: VmRow, now: Time) -> bool {
        if row.vm == self.local.vm {
            return false;
        }
        if let Some(known) = self.peers.get(&row.vm) {
            if row.incarnation < known.row.incarnation {
                return false;
            }
            row.leaving |= row.incarnation == known.row.incarnation && known.row.leaving;
            if row.incarnation == known.row.incarnation {
                row.version = row.version.max(known.row.version);
            }
        }
        let unchanged = self.peers.get(&row.vm).filter(|known| known.row == row);
        let (changed_at, source) = unchanged.map_or((now, RowSource::Itself), |known| (known.changed_at, known.source));
        let changed = unchanged.is_none();
        let member = Member {
            row,
            received_at: now,
            changed_at,
            source,
        };
        self.peers.insert(member.row.vm.clone(), member);
        changed
    }

    /// Records a heartbeat without the full row, and returns whether the rest of the row is known.
    pub fn on_brief_heartbeat(&mut self, brief: &VmBrief, now: Time) -> bool {
        let Some(known) = self
            .peers
            .get(&brief.vm)
            .filter(|known| known.row.incarnation == brief.incarnation)
        else {
            return false;
        };
        let row = VmRow {
            leaving: brief.leaving,
            version: brief.version,
            ..known.row.clone()
        };
        self.on_heartbeat(row, now);
        true
    }

    /// Returns when the last heartbeat of a VM was received, by this VM or by a delegate that reported it.
    ///
    /// For an incarnation known from [`Members::on_gossip`] alone, it is a time that makes it suspect.
    pub fn last_received_at(&self, vm: &VmId) -> Option<Time> {
        self.peers.get(vm).map(|member| member.received_at)
    }

    /// Returns the time between two heartbeats to a neighbour, which grows with the number of neighbours.
    pub fn heartbeat_period(&self) -> Millis {
        let neighbours = self.neighbours().count() as u64;
        let period = Millis(self.options.period_per_neighbour.0 * neighbours);
        period.clamp(self.options.min_period, self.options.max_period)
    }

    /// Records a row that a third party sent, and returns whether the VM was unknown.
    ///
    /// It does not prove that the VM is live, so a new incarnation starts as suspect.
    pub fn on_gossip(&mut self, row: VmRow, source: RowSource, now: Time) -> bool {
        if let Some(known) = self.peers.get_mut(&row.vm) {
            if row.incarnation == known.row.incarnation {
                known.merge(&row, source, now);
            }
            if row.incarnation <= known.row.incarnation {
                return false;
            }
        }
        if row.vm == self.local.vm {
            return false;
        }
        let member = Member {
            received_at: now - self.suspect_after(&row.domain),
            changed_at: now,
            source,
            row,
        };
        self.peers.insert(member.row.vm.clone(), member).is_none()
    }

    /// Records the row of a VM of a remote domain whose heartbeat a delegate received `age` ago.
    pub fn on_delegate_report(&mut self, row: VmRow, age: Millis, now: Time) {
        let received_at = now - age;
        let is_newer = self
            .peers
            .get(&row.vm)
            .is_none_or(|known| received_at >= known.received_at);
        if is_newer {
            self.on_heartbeat(row, received_at);
        } else {
            self.on_gossip(row, RowSource::Neighbour, now);
        }
    }

    /// Removes VMs without a recent heartbeat, see [`Options::forget_after`].
    pub fn prune(&mut self, now: Time) {
        let limit = self.options.forget_after;
        self.peers.retain(|_, member| now.since(member.received_at) < limit);
    }

    /// Returns the state of a VM; `None` if it is not known.
    pub fn state(&self, vm: &VmId, now: Time) -> Option<VmState> {
        if *vm == self.local.vm {
            return Some(if self.local.leaving {
                VmState::Leaving
            } else {
                VmState::Live
            });
        }
        self.peers.get(vm).map(|member| self.state_of(member, now))
    }

    /// Iterates over the VMs whose last heartbeat is recent, live or leaving, this VM included.
    pub fn heard_vms(&self, now: Time) -> impl Iterator<Item = &VmRow> {
        let heard = self.peers.values().filter(move |member| self.is_heard(member, now));
        std::iter::once(&self.local).chain(heard.map(|member| &member.row))
    }

    /// Returns the row of a VM, which may be this one.
    pub fn row(&self, vm: &VmId) -> Option<&VmRow> {
        if *vm == self.local.vm {
            Some(&self.local)
        } else {
            self.peers.get(vm).map(|member| &member.row)
        }
    }

    /// Returns the row of one incarnation of a VM; `None` if it is unknown or a newer incarnation is known.
    pub fn incarnation_row(&self, vm: &VmId, incarnation: Incarnation) -> Option<&VmRow> {
        self.row(vm).filter(|row| row.incarnation == incarnation)
    }

    /// Whether an incarnation of a VM newer than `incarnation` is known.
    pub fn has_newer_incarnation(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.row(vm).is_some_and(|row| row.incarnation > incarnation)
    }

    /// Iterates over all other VMs, live or not.
    pub fn peers(&self) -> impl Iterator<Item = &VmRow> {
        self.peers.values().map(|member| &member.row)
    }

    /// Iterates over the rows that this VM has learned since a point in time as they are, and from whom.
    pub fn changes_since(&self, since: Time) -> impl Iterator<Item = (&VmRow, RowSource)> {
        let changed = self.peers.values().filter(move |member| member.changed_at >= since);
        changed.map(|member| (&member.row, member.source))
    }

    /// Whether this VM is one of those that tell their neighbours what a remote VM told all VMs itself.
    pub fn is_repeater(&self, remote: &VmId, now: Time) -> bool {
        let live = self.live_vms(&self.local.domain, now).map(|row| &row.vm);
        rendezvous_top(remote, live, REPEATERS).contains(&&self.local.vm)
    }

    /// Iterates over the other VMs of the local failure domain, live or not.
    pub fn neighbours(&self) -> impl Iterator<Item = &VmRow> {
        self.peers().filter(|row| row.domain == self.local.domain)
    }

    /// Iterates over the live VMs of a failure domain, this VM included.
    pub fn live_vms<'a>(&'a self, domain: &'a DomainId, now: Time) -> impl Iterator<Item = &'a VmRow> + Clone + 'a {
        let live = move |member: &&Member| self.state_of(member, now) == VmState::Live && member.row.domain == *domain;
        let local = Some(&self.local).filter(|row| !row.leaving && row.domain == *domain);
        local
            .into_iter()
            .chain(self.peers.values().filter(live).map(|member| &member.row))
    }

    /// Returns the number of known VMs that are not leaving, live or not; at least 1.
    pub fn known_count(&self) -> usize {
        1 + self.peers().filter(|row| !row.leaving).count()
    }

    /// Returns the number of live VMs of the local failure domain; at least 1.
    pub fn local_live_count(&self, now: Time) -> usize {
        self.live_vms(&self.local.domain, now).count().max(1)
    }

    /// Whether this VM is one of those that poll an endpoint of its domain.
    ///
    /// A leaving VM keeps polling, because its last requests still depend on the state of their endpoints.
    pub fn is_poller(&self, endpoint: &EndpointId, now: Time) -> bool {
        let live = self.live_vms(&self.local.domain, now).map(|row| &row.vm);
        self.local.leaving || rendezvous_top(endpoint, live, POLLERS).contains(&&self.local.vm)
    }

    /// Whether this VM sends its reports of an endpoint to its neighbours; the other pollers are backups.
    pub fn is_reporter(&self, endpoint: &EndpointId, now: Time) -> bool {
        let live = self.live_vms(&self.local.domain, now).map(|row| &row.vm);
        rendezvous_top(endpoint, live, 1).first() == Some(&&self.local.vm)
    }

    /// Returns the rank of this VM among the delegates of its domain for a remote domain; `None` if it is no delegate.
    ///
    /// The first delegate exchanges summaries with the remote domain; the next ones do so if the first fails to.
    pub fn delegate_rank(&self, domain: &DomainId, now: Time) -> Option<usize> {
        let delegates = rendezvous_top_by_size(domain, self.live_vms(&self.local.domain, now), DELEGATES);
        delegates.iter().position(|row| row.vm == self.local.vm)
    }

    /// Returns the VM of a remote domain to exchange summaries with.
    ///
    /// Every [`Options::remote_suspect_after`] it is the next one of the domain's live VMs, or of all if none is live.
    pub fn remote_delegate<'a>(&'a self, domain: &'a DomainId, now: Time) -> Option<&'a VmRow> {
        let mut candidates: Vec<_> = self.live_vms(domain, now).collect();
        if candidates.is_empty() {
            candidates = self.peers().filter(|row| row.domain == *domain).collect();
        }
        candidates.sort_by(|a, b| a.vm.cmp(&b.vm));
        let slot = now.0 / self.options.remote_suspect_after.0.max(1);
        candidates.get(slot as usize % candidates.len().max(1)).copied()
    }

    /// Returns the entry VMs for a caller, best first: the local domain, then the local region, then remote regions.
    ///
    /// Only live VMs in regions that `permits` accepts are returned. This VM counts as live unless it is leaving.
    pub fn entry_vms<'a>(&'a self, key: &str, permits: impl Fn(&RegionId) -> bool, now: Time) -> Vec<&'a VmRow> {
        let local = Some(&self.local).filter(|row| !row.leaving);
        let live = self
            .peers
            .values()
            .filter(|member| self.state_of(member, now) == VmState::Live);
        let rows = local.into_iter().chain(live.map(|member| &member.row));
        let mut rows: Vec<_> = rows.filter(|row| permits(&row.region)).collect();
        rows.sort_by_cached_key(|row| {
            let distance = (row.region != self.local.region, row.domain != self.local.domain);
            (distance, std::cmp::Reverse(rendezvous_score(key, &row.vm)))
        });
        rows
    }

    /// Iterates over the seed addresses that belong to no known VM.
    pub fn unknown_seeds<'a>(&'a self, seeds: &'a [SocketAddr]) -> impl Iterator<Item = SocketAddr> + 'a {
        let known = |address: &&SocketAddr| {
            **address == self.local.peer_listen || self.peers().any(|row| row.peer_listen == **address)
        };
        seeds.iter().filter(move |address| !known(address)).copied()
    }

    fn suspect_after(&self, domain: &DomainId) -> Millis {
        if *domain == self.local.domain {
            Millis(self.heartbeat_period().0 * self.options.missed_periods)
        } else {
            self.options.remote_suspect_after
        }
    }

    fn state_of(&self, member: &Member, now: Time) -> VmState {
        if member.row.leaving {
            VmState::Leaving
        } else if self.is_heard(member, now) {
            VmState::Live
        } else {
            VmState::Suspect
        }
    }

    fn is_heard(&self, member: &Member, now: Time) -> bool {
        now.since(member.received_at) < self.suspect_after(&member.row.domain)
    }
}
