//! The gate: its state, configuration, clock ticks and endpoint reports.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use sw_admit::{LoadShedder, Quotas, RetryBudget};
use sw_conf::EndpointKind;
use sw_error::{Kind, Refusal};
use sw_load::{LoadTracker, PrefixHints, Report};
use sw_member::{EndpointIncarnation, LeavingEndpoints, Members, VmRow, rendezvous_top};
use sw_once::TicketRegistry;
use sw_place::Planner;
use sw_route::{Candidate, LinkQueues, Policy, Weighted};
use sw_unit::{Digest, DomainId, EndpointId, Millis, Time, Version, VmId};

use crate::heartbeat::PeerState;
use crate::placement::Demand;
use crate::{ConfigOfferSource, FleetVersion};

/// Options of a [`Gate`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Options of membership.
    pub members: sw_member::Options,
    /// Options of load tracking.
    pub loads: sw_load::Options,
    /// Limits of the records of non-idempotent requests.
    pub once: sw_once::Options,
    /// Number of prompt blocks remembered for each endpoint.
    pub prefix_blocks: usize,
    /// Seed of random choices.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            members: sw_member::Options::default(),
            loads: sw_load::Options::default(),
            once: sw_once::Options::default(),
            prefix_blocks: 1_024,
            seed: 0,
        }
    }
}

/// The decision core of one entry VM.
#[derive(Debug)]
pub struct Gate<P = Weighted> {
    pub(crate) policy: P,
    pub(crate) version: Option<Arc<FleetVersion>>,
    /// Digest and text of the previous configuration, to build deltas for VMs that still run it.
    pub(crate) previous: Option<Arc<(Digest, String)>>,
    pub(crate) members: Members,
    pub(crate) leaving: LeavingEndpoints,
    pub(crate) load_tracker: LoadTracker,
    pub(crate) prefix_hints: PrefixHints,
    pub(crate) link_queues: LinkQueues,
    pub(crate) quotas: Quotas,
    pub(crate) shedder: LoadShedder,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) ticket_registry: TicketRegistry,
    pub(crate) peer_states: IndexMap<VmId, PeerState>,
    /// When this VM last polled a report of an endpoint.
    pub(crate) last_polled_at: IndexMap<EndpointId, Time>,
    /// When a neighbour last reported on an endpoint.
    pub(crate) neighbour_report_at: IndexMap<EndpointId, Time>,
    /// When this VM last received a heartbeat from a VM of a remote domain.
    pub(crate) direct_heartbeat_at: IndexMap<DomainId, Time>,
    pub(crate) planner: Planner,
    pub(crate) demand: Demand,
    pub(crate) rng: fastrand::Rng,
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) last_tick_at: Option<Time>,
    pub(crate) last_pause: Option<ProcessPause>,
}

impl<P: Policy> Gate<P> {
    /// Creates the gate of the VM with the row `local`.
    pub fn new(local: VmRow, policy: P, options: Options) -> Self {
        Self {
            policy,
            version: None,
            previous: None,
            ticket_registry: TicketRegistry::new(local.vm.clone(), local.incarnation, options.once),
            members: Members::new(local, options.members),
            leaving: LeavingEndpoints::default(),
            load_tracker: LoadTracker::new(options.loads),
            prefix_hints: PrefixHints::new(options.prefix_blocks),
            link_queues: LinkQueues::default(),
            quotas: Quotas::default(),
            shedder: LoadShedder::default(),
            retry_budget: RetryBudget::default(),
            peer_states: IndexMap::new(),
            last_polled_at: IndexMap::new(),
            neighbour_report_at: IndexMap::new(),
            direct_heartbeat_at: IndexMap::new(),
            planner: Planner::default(),
            demand: Demand::default(),
            rng: fastrand::Rng::with_seed(options.seed),
            candidates: Vec::new(),
            last_tick_at: None,
            last_pause: None,
        }
    }

    /// Returns the known VMs.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the configuration in force.
    pub fn version(&self) -> Option<&Arc<FleetVersion>> {
        self.version.as_ref()
    }

    /// Returns the version number of the configuration in force; zero if there is none.
    pub fn version_number(&self) -> Version {
        self.version.as_ref().map_or(Version(0), |version| version.number)
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::NoConfiguration`] if there is none yet.
    pub(crate) fn fleet(&self) -> Result<&Arc<FleetVersion>, Refusal> {
        self.version.as_ref().ok_or(Refusal::new(Kind::NoConfiguration))
    }

    /// Returns what offers to other VMs are built from.
    ///
    /// Offers are built outside of the gate because configuration texts are long.
    pub fn offer_source(&self) -> Option<ConfigOfferSource> {
        let version = self.version.clone()?;
        Some(ConfigOfferSource {
            version,
            previous: self.previous.clone(),
        })
    }

    /// Puts a valid configuration in force if it is newer than the current one, and returns whether it was.
    pub fn install(&mut self, version: Arc<FleetVersion>) -> bool {
        let newer = version.number > self.version_number();
        if newer {
            self.members.set_version(version.number);
            let replaced = self.version.replace(version);
            self.previous = replaced.map(|version| Arc::new((version.digest, version.text.clone())));
        }
        newer
    }

    /// Advances time; must be called several times a second.
    ///
    /// A longer gap between two calls means that this process was paused.
    pub fn tick(&mut self, now: Time) {
        let gap = self.last_tick_at.map_or(Millis(0), |tick| now.since(tick));
        if gap > MAX_TICK_GAP {
            self.last_pause = Some(ProcessPause {
                ended_at: now,
                length: gap,
            });
        }
        self.last_tick_at = Some(now);
        self.demand.decay(now);
        self.ticket_registry.prune(now);
        self.members.prune(now);
    }

    /// Returns how long a request that is read now may have waited because this process was paused.
    pub(crate) fn recent_pause(&self, now: Time) -> Millis {
        let since_tick = self.last_tick_at.map_or(Millis(0), |tick| now.since(tick));
        if since_tick > MAX_TICK_GAP {
            return since_tick;
        }
        let recent = self.last_pause.filter(|pause| now.since(pause.ended_at) < PAUSE_MEMORY);
        recent.map_or(Millis(0), |pause| pause.length)
    }

    /// Applies a report that this VM polled, and returns whether it is the first sign that the endpoint is leaving.
    pub fn on_polled_report(&mut self, report: Report, now: Time) -> bool {
        self.last_polled_at.insert(report.endpoint.clone(), now);
        self.on_report(report, now)
    }

    pub(crate) fn on_report(&mut self, report: Report, now: Time) -> bool {
        let incarnation = EndpointIncarnation {
            endpoint: report.endpoint.clone(),
            incarnation: report.incarnation,
        };
        let is_new = report.leaving && self.leaving.mark(&incarnation);
        if self.load_tracker.on_report(report, now) {
            self.prefix_hints.on_cleared(&incarnation.endpoint);
        }
        is_new
    }

    /// Records that an endpoint incarnation is leaving, and returns whether that was unknown.
    pub fn on_endpoint_leaving(&mut self, incarnation: &EndpointIncarnation) -> bool {
        self.leaving.mark(incarnation)
    }

    /// Returns the endpoints of the local domain that this VM polls.
    pub fn endpoints_to_poll(&self, now: Time) -> Vec<(EndpointId, SocketAddr, EndpointKind)> {
        let Some(version) = &self.version else {
            return Vec::new();
        };
        let domain = &self.members.local().domain;
        let local = version
            .fleet
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.domain == *domain);
        let polled = local.filter(|(id, _)| self.members.is_poller(id, now));
        polled
            .map(|(id, endpoint)| (id.clone(), endpoint.address, endpoint.kind))
            .collect()
    }

    /// Returns whether this VM is one of the `count` live VMs of its domain that rank first for a task.
    pub fn is_chosen(&self, task: &str, count: usize, now: Time) -> bool {
        let local = self.members.local();
        let live = self.members.live_vms(&local.domain, now).map(|row| &row.vm);
        rendezvous_top(task, live, count).contains(&&local.vm)
    }

    /// Records cache blocks that an endpoint evicted.
    pub fn on_blocks_evicted(&mut self, endpoint: &EndpointId, hashes: &[u64]) {
        for hash in hashes {
            self.prefix_hints.on_evicted(endpoint, *hash);
        }
    }

    /// Marks this VM as leaving, which its next heartbeats announce.
    pub fn leave(&mut self) {
        self.members.leave();
    }
}

/// Gap between two ticks above which this process counts as paused.
const MAX_TICK_GAP: Millis = Millis(500);
/// Time after a pause during which requests that arrived in the pause may still be read.
const PAUSE_MEMORY: Millis = Millis(1_000);

/// A period in which this process did not run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessPause {
    ended_at: Time,
    length: Millis,
}
