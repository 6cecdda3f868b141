//! The state of the gate.

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

use crate::exchange::PeerState;
use crate::placement::Demand;
use crate::{ConfigOfferSource, FleetVersion};

/// Bounds and seeds of a [`Gate`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Bounds of membership.
    pub members: sw_member::Options,
    /// Bounds of load estimates.
    pub loads: sw_load::Options,
    /// Bounds of the records of non-idempotent requests.
    pub once: sw_once::Options,
    /// Prompt blocks that are remembered for each endpoint.
    pub prefix_blocks: usize,
    /// The seed of random choices.
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
    /// Digest and text of the configuration before, for VMs that still run it.
    pub(crate) previous: Option<Arc<(Digest, String)>>,
    pub(crate) members: Members,
    pub(crate) leaving: LeavingEndpoints,
    pub(crate) loads: LoadTracker,
    pub(crate) prefixes: PrefixHints,
    pub(crate) links: LinkQueues,
    pub(crate) quotas: Quotas,
    pub(crate) shedder: LoadShedder,
    pub(crate) budget: RetryBudget,
    pub(crate) once: TicketRegistry,
    pub(crate) peers: IndexMap<VmId, PeerState>,
    pub(crate) polled: IndexMap<EndpointId, Time>,
    pub(crate) reported_by_others: IndexMap<EndpointId, Time>,
    pub(crate) direct: IndexMap<DomainId, Time>,
    pub(crate) planner: Planner,
    pub(crate) demand: Demand,
    pub(crate) rng: fastrand::Rng,
    pub(crate) scratch: Vec<Candidate>,
    pub(crate) last_tick: Option<Time>,
    pub(crate) held_up: Option<HeldUp>,
}

impl<P: Policy> Gate<P> {
    /// The gate of the VM of `own`.
    pub fn new(own: VmRow, policy: P, options: Options) -> Self {
        Self {
            policy,
            version: None,
            previous: None,
            once: TicketRegistry::new(own.vm.clone(), own.incarnation, options.once),
            members: Members::new(own, options.members),
            leaving: LeavingEndpoints::default(),
            loads: LoadTracker::new(options.loads),
            prefixes: PrefixHints::new(options.prefix_blocks),
            links: LinkQueues::default(),
            quotas: Quotas::default(),
            shedder: LoadShedder::default(),
            budget: RetryBudget::default(),
            peers: IndexMap::new(),
            polled: IndexMap::new(),
            reported_by_others: IndexMap::new(),
            direct: IndexMap::new(),
            planner: Planner::default(),
            demand: Demand::default(),
            rng: fastrand::Rng::with_seed(options.seed),
            scratch: Vec::new(),
            last_tick: None,
            held_up: None,
        }
    }

    /// The VMs that are known.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The configuration in force.
    pub fn version(&self) -> Option<&Arc<FleetVersion>> {
        self.version.as_ref()
    }

    /// The number of the configuration in force.
    pub fn version_number(&self) -> Version {
        self.version.as_ref().map_or(Version(0), |version| version.number)
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::NoConfiguration`] if there is none yet.
    pub(crate) fn fleet(&self) -> Result<&Arc<FleetVersion>, Refusal> {
        self.version.as_ref().ok_or(Refusal::new(Kind::NoConfiguration))
    }

    /// What offers to other VMs are made from, away from the gate, because texts are long.
    pub fn offer_source(&self) -> Option<ConfigOfferSource> {
        let version = self.version.clone()?;
        Some(ConfigOfferSource {
            version,
            previous: self.previous.clone(),
        })
    }

    /// Puts a checked configuration in force if it is newer than the one that is, and returns whether it was.
    pub fn install(&mut self, version: Arc<FleetVersion>) -> bool {
        let newer = version.number > self.version_number();
        if newer {
            self.members.set_version(version.number);
            let replaced = self.version.replace(version);
            self.previous = replaced.map(|version| Arc::new((version.digest, version.text.clone())));
        }
        newer
    }

    /// Records the passing of time; it is to be called several times a second.
    pub fn tick(&mut self, now: Time) {
        let gap = self.last_tick.map_or(Millis(0), |tick| now.since(tick));
        if gap > MAX_TICK_GAP {
            self.held_up = Some(HeldUp { until: now, gap });
        }
        self.last_tick = Some(now);
        self.demand.tick(now);
        self.once.prune(now);
        self.members.prune(now);
    }

    /// The time for which a request that is read now may have waited unread, because this process was held up.
    pub(crate) fn stall(&self, now: Time) -> Millis {
        let silent = self.last_tick.map_or(Millis(0), |tick| now.since(tick));
        if silent > MAX_TICK_GAP {
            return silent;
        }
        let recent = self.held_up.filter(|held_up| now.since(held_up.until) < STALL_MEMORY);
        recent.map_or(Millis(0), |held_up| held_up.gap)
    }

    /// Takes in a report that this VM fetched itself, and returns whether it is the first sign that the endpoint leaves.
    pub fn on_polled_report(&mut self, report: Report, now: Time) -> bool {
        self.polled.insert(report.endpoint.clone(), now);
        self.reported(report, now)
    }

    pub(crate) fn reported(&mut self, report: Report, now: Time) -> bool {
        let life = EndpointIncarnation {
            endpoint: report.endpoint.clone(),
            incarnation: report.incarnation,
        };
        let news = report.leaving && self.leaving.mark(&life);
        if self.loads.on_report(report, now) {
            self.prefixes.on_cleared(&life.endpoint);
        }
        news
    }

    /// Records a sign that a life of an endpoint is leaving, and returns whether it was news.
    pub fn on_endpoint_leaving(&mut self, life: &EndpointIncarnation) -> bool {
        self.leaving.mark(life)
    }

    /// The endpoints of the own domain that this VM polls.
    pub fn endpoints_to_poll(&self, now: Time) -> Vec<(EndpointId, SocketAddr, EndpointKind)> {
        let Some(version) = &self.version else {
            return Vec::new();
        };
        let domain = &self.members.local().domain;
        let own = version
            .fleet
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.domain == *domain);
        let polled = own.filter(|(id, _)| self.members.is_poller(id, now));
        polled
            .map(|(id, endpoint)| (id.clone(), endpoint.address, endpoint.kind))
            .collect()
    }

    /// Whether this VM is one of `count` live VMs of its domain that do a task.
    pub fn is_chosen(&self, task: &str, count: usize, now: Time) -> bool {
        let own = self.members.local();
        let live = self.members.live_vms(&own.domain, now).map(|row| &row.vm);
        rendezvous_top(task, live, count).contains(&&own.vm)
    }

    /// Records cache blocks that an endpoint dropped.
    pub fn on_blocks_evicted(&mut self, endpoint: &EndpointId, hashes: &[u64]) {
        for hash in hashes {
            self.prefixes.on_evicted(endpoint, *hash);
        }
    }

    /// Announces that this VM is stopping.
    pub fn leave(&mut self) {
        self.members.leave();
    }
}

/// Longest regular time between two ticks.
const MAX_TICK_GAP: Millis = Millis(500);
/// Time after a stall in which requests are read that arrived during it.
const STALL_MEMORY: Millis = Millis(1_000);

/// A time in which this process did not run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldUp {
    until: Time,
    gap: Millis,
}
