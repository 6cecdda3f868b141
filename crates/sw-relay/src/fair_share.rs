//! Shares of scarce capacity, by workspace, route and size of the request.
//!
//! A coordinator grants slots one by one and holds no queue that it could reorder. It therefore decides by a lower limit
//! on the expected wait: while its endpoints are contended, requests beyond their share are declined at a shorter wait,
//! so that the rest of the queue is left to the others. While nothing is contended, no limit changes.
//!
//! - More urgent requests: a less urgent one is granted only if the queue behind it is still short enough for the more
//!   urgent ones that were asked for lately.
//! - Fair shares: the work granted lately is divided between workspaces by weighted max-min fairness, or between the
//!   routes of one priority where requests have no workspace. Who got more is granted a quarter of the wait.
//! - Guaranteed minimums: each workspace, each route, and the largest prompts of each route earn a part of a grant with
//!   each request. Whoever has earned a whole one is granted it up to the request's own limit.
//!
//! The state is bounded, and a request costs a constant number of look-ups. Fair shares are recomputed at most once in
//! [`REFRESH_PERIOD`].

use std::hash::Hash;
use std::sync::Arc;

use indexmap::IndexMap;
use strum::{Display, IntoStaticStr};
use sw_unit::{Millis, Time, WorkspaceId};

/// Time without a sign of contention after which an endpoint counts as uncontended.
const CONTENTION_AGE: Millis = Millis(1_000);
/// Share of the longest wait that is on time above which the expected wait counts as contention.
const CONTENDED_SHARE: f64 = 0.85;
/// The least expected wait that counts as contention, as a multiple of the request's own work: a request that would be
/// late at an idle endpoint is no sign of contention.
const CONTENDED_WORK_FACTOR: f64 = 2.0;
/// Time constant of the work that counts towards a share.
const SHARE_SPAN: Millis = Millis(4_000);
/// Time for which a more urgent request that was asked for holds back less urgent ones.
const URGENT_SPAN: Millis = Millis(1_000);
/// Shortest time between two computations of the fair shares.
const REFRESH_PERIOD: Millis = Millis(100);
/// Excess over the fair share that is not counted: rounding must not put a lone workspace or route beyond its share.
const SHARE_TOLERANCE: f64 = 1.01;
/// Factor on the limit of a request whose workspace or route is beyond its fair share.
const BEYOND_FACTOR: f64 = 0.25;
/// Share of the average rate of grants that each workspace and each route is guaranteed; a quarter is required. A request
/// may ask several coordinators, which brings the shares of requests that are served closer together than those of grants.
const GUARANTEED_SHARE: f64 = 0.3;
/// Share of a route's rate of grants that its largest prompts are guaranteed; a half is required.
const GUARANTEED_LARGE_SHARE: f64 = 0.75;
/// The largest number of grants that can be saved up.
const MAX_CREDIT: f64 = 2.0;
/// Quantile of a route's sizes above which a request counts as large: below nine tenths, so that the largest tenth counts
/// even while the estimate of the quantile is inexact.
const LARGE_QUANTILE: f64 = 0.85;
/// Step of the estimate of that quantile, as a share of the estimate.
const QUANTILE_STEP: f64 = 0.05;
/// Maximum number of workspaces, and of routes, that are tracked; requests of further ones are granted as usual.
const MAX_TRACKED: usize = 256;
/// Weight of the newest start in the measured lateness.
const LATENESS_WEIGHT: f64 = 0.1;
/// Deviations beyond the mean lateness that a request on time must allow for, as in retransmission timeouts.
const LATENESS_DEVIATIONS: f64 = 2.0;
/// Time after which a measured lateness is forgotten.
const LATENESS_AGE: Millis = Millis(2_000);
/// Largest part of the longest wait on time that the measured lateness takes, so that requests are still granted and the
/// lateness is still measured.
const MAX_LATENESS_SHARE: f64 = 0.5;
/// Number of priorities that are distinguished; all less urgent ones count as the last of them.
const RANKS: usize = 8;

/// What a request counts as when capacity is shared.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestClass {
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Its workspace, if it has one.
    pub workspace: Option<WorkspaceId>,
    /// Its route; empty if it is not known, so that the request does not count.
    pub route: Arc<str>,
    /// Time until its response, or its first event, is late; `None` if it is not known.
    pub objective: Option<Millis>,
}

impl RequestClass {
    fn rank(&self) -> usize {
        usize::try_from(self.priority).unwrap_or(usize::MAX).min(RANKS - 1)
    }

    fn holder(&self) -> Holder {
        match &self.workspace {
            Some(workspace) => Holder::Workspace(workspace.clone()),
            None => Holder::Route(Arc::clone(&self.route), self.rank()),
        }
    }
}

impl Ask<'_> {
    /// Returns the queue in milliseconds behind which the request can still be granted.
    fn tolerated_queue_ms(&self) -> f64 {
        (self.on_time_ms.max(self.limit_ms) - self.work_ms).max(0.0)
    }
}

/// Why a request is granted up to a certain wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Nothing is contended.
    Uncontended,
    /// It is granted for a guaranteed minimum.
    Guaranteed,
    /// It is within its fair share.
    Within,
    /// Its workspace or route is beyond its fair share.
    Beyond,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// What it counts as.
    pub class: &'a RequestClass,
    /// Its size: tokens of the prompt, or 1 for a plain request.
    pub size: f64,
    /// The work that it causes, in milliseconds.
    pub work_ms: f64,
    /// The longest expected wait for which it is granted, in milliseconds.
    pub limit_ms: f64,
    /// The longest expected wait for which it is on time, in milliseconds.
    pub on_time_ms: f64,
}

/// A share of the capacity is held by a workspace, or by a route where requests have no workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Holder {
    Workspace(WorkspaceId),
    /// A route with its rank: routes of different ranks do not compete for shares.
    Route(Arc<str>, usize),
}

/// Between which holders a share of the work is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Group {
    Workspaces,
    Routes(usize),
}

impl Holder {
    fn group(&self) -> Group {
        match self {
            Self::Workspace(_) => Group::Workspaces,
            Self::Route(_, rank) => Group::Routes(*rank),
        }
    }
}

/// Exponentially decaying sum.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RecentSum {
    value: f64,
    updated_at: Time,
}

impl RecentSum {
    /// Time constant of the decay.
    pub(crate) const SPAN: Millis = SHARE_SPAN;

    /// Returns the sum.
    pub(crate) fn at(self, now: Time) -> f64 {
        let age = now.since(self.updated_at).0 as f64;
        self.value * (-age / SHARE_SPAN.0 as f64).exp()
    }

    /// Adds an amount.
    pub(crate) fn add(&mut self, amount: f64, now: Time) {
        self.value = self.at(now) + amount;
        self.updated_at = now;
    }
}

/// Requests that were asked for and granted lately.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    asked: RecentSum,
    granted: RecentSum,
}

impl Rate {
    /// Returns the share of the requests that were granted.
    fn share(self, now: Time) -> f64 {
        let asked = self.asked.at(now);
        if asked < 1.0 {
            return 1.0;
        }
        (self.granted.at(now) / asked).min(1.0)
    }
}

/// Grants that are owed for a guaranteed minimum.
#[derive(Debug, Clone, Copy, Default)]
struct Credit(f64);

impl Credit {
    fn earn(&mut self, share: f64) {
        self.0 = (self.0 + share).min(MAX_CREDIT);
    }

    fn spend(&mut self) {
        self.0 = (self.0 - 1.0).max(0.0);
    }

    fn is_due(self) -> bool {
        self.0 >= 1.0
    }
}

/// The work of a holder.
#[derive(Debug, Clone, Copy, Default)]
struct HolderWork {
    rank: usize,
    asked: RecentSum,
    granted: RecentSum,
    credit: Credit,
    /// Whether it got more than its fair share, when that was last computed.
    is_beyond: bool,
}

/// The requests of a route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteRequests {
    rate: Rate,
    credit: Credit,
    /// Size above which a request counts as large.
    large_size: f64,
    large_credit: Credit,
}

impl RouteRequests {
    /// Follows the quantile of the sizes by steps whose mean is zero at the quantile.
    fn record_size(&mut self, size: f64) {
        if self.large_size <= 0.0 {
            self.large_size = size;
        }
        let step = self.large_size * QUANTILE_STEP;
        self.large_size += if size > self.large_size {
            step * LARGE_QUANTILE
        } else {
            -step * (1.0 - LARGE_QUANTILE)
        };
    }

    fn is_large(&self, size: f64) -> bool {
        size > self.large_size
    }
}

/// How much later than expected requests start, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Lateness {
    mean_ms: f64,
    deviation_ms: f64,
}

impl Lateness {
    fn record(&mut self, late_ms: f64) {
        let difference = late_ms - self.mean_ms;
        self.mean_ms += LATENESS_WEIGHT * difference;
        self.deviation_ms += LATENESS_WEIGHT * (difference.abs() - self.deviation_ms);
    }

    fn upper_ms(self) -> f64 {
        self.mean_ms + LATENESS_DEVIATIONS * self.deviation_ms
    }
}

/// The longest queue behind which recent requests can still be granted.
#[derive(Debug, Clone, Copy, Default)]
struct Tolerance {
    queue_ms: f64,
    asked_at: Option<Time>,
}

impl Tolerance {
    fn recent_ms(&self, now: Time) -> Option<f64> {
        let is_recent = self.asked_at.is_some_and(|at| now.since(at) < URGENT_SPAN);
        is_recent.then_some(self.queue_ms)
    }

    /// Keeps the shortest of the recent queues.
    fn record(&mut self, queue_ms: f64, now: Time) {
        if self.recent_ms(now).is_none_or(|recent| queue_ms <= recent) {
            *self = Self {
                queue_ms,
                asked_at: Some(now),
            };
        }
    }
}

/// Shares of the endpoints of one service that one VM coordinates.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    /// How much later than expected granted requests started, and when that was last measured.
    lateness: Option<(Lateness, Time)>,
    /// First and last sign of the current or latest contention.
    contended: Option<(Time, Time)>,
    /// Whether contention was last reported.
    is_reported: bool,
    all: Rate,
    holders: IndexMap<Holder, HolderWork>,
    routes: IndexMap<Arc<str>, RouteRequests>,
    tolerances: [Tolerance; RANKS],
    /// That of a request with a guaranteed minimum for which the queue was too long; it holds until such a one is granted.
    owed: Tolerance,
    refreshed_at: Option<Time>,
}

impl FairShare {
    /// Returns whether there were signs lately that not all requests can be on time.
    pub fn is_contended(&self, now: Time) -> bool {
        self.contended.is_some_and(|(_, last)| now.since(last) < CONTENTION_AGE)
    }

    /// Records how much later than expected a granted request started, in milliseconds.
    pub fn record_lateness(&mut self, late_ms: f64, now: Time) {
        let mut lateness = self.recent_lateness(now);
        lateness.record(late_ms.max(0.0));
        self.lateness = Some((lateness, now));
    }

    /// Returns what is left of `on_time_ms`, the longest wait that is on time, if requests start as late as those before.
    pub(crate) fn on_time_ms(&self, on_time_ms: f64, now: Time) -> f64 {
        let lateness_ms = self.recent_lateness(now).upper_ms();
        on_time_ms - lateness_ms.min(on_time_ms * MAX_LATENESS_SHARE)
    }

    fn recent_lateness(&self, now: Time) -> Lateness {
        let recent = self.lateness.filter(|(_, at)| now.since(*at) < LATENESS_AGE);
        recent.map_or_else(Lateness::default, |(lateness, _)| lateness)
    }

    /// Returns whether there is contention, if that changed since the last call.
    pub(crate) fn take_change(&mut self, now: Time) -> Option<bool> {
        let is_contended = self.is_contended(now);
        let was_contended = std::mem::replace(&mut self.is_reported, is_contended);
        (was_contended != is_contended).then_some(is_contended)
    }

    /// Returns for how long there has been contention.
    pub fn contended_for(&self, now: Time) -> Millis {
        let contended = self.contended.filter(|_| self.is_contended(now));
        contended.map_or(Millis(0), |(first, _)| now.since(first))
    }

    /// Records a request and the wait that is expected for it, which is a sign of contention if it is near its objective.
    pub fn on_asked(&mut self, ask: &Ask<'_>, expected_ms: f64, now: Time) {
        let class = ask.class;
        if class.route.is_empty() {
            return;
        }
        if expected_ms > ask.on_time_ms * CONTENDED_SHARE && expected_ms > ask.work_ms * CONTENDED_WORK_FACTOR {
            let first = self
                .contended
                .filter(|_| self.is_contended(now))
                .map_or(now, |(first, _)| first);
            self.contended = Some((first, now));
        }
        self.tolerances[class.rank()].record((ask.on_time_ms - ask.work_ms).max(0.0), now);
        self.all.asked.add(1.0, now);
        let (share, route_share) = (self.all.share(now), self.route_share(&class.route, now));
        if let Some(holder) = tracked(&mut self.holders, class.holder()) {
            holder.rank = class.rank();
            holder.asked.add(ask.work_ms, now);
            holder.credit.earn(share * GUARANTEED_SHARE);
        }
        if let Some(route) = tracked(&mut self.routes, Arc::clone(&class.route)) {
            route.rate.asked.add(1.0, now);
            route.credit.earn(share * GUARANTEED_SHARE);
            if route.is_large(ask.size) {
                route.large_credit.earn(route_share * GUARANTEED_LARGE_SHARE);
            }
            route.record_size(ask.size);
        }
        self.refresh(now);
    }

    /// Records that a slot was granted to a request.
    pub fn on_granted(&mut self, ask: &Ask<'_>, now: Time) {
        if ask.class.route.is_empty() {
            return;
        }
        if self.is_owed(ask.class, ask.size, now) {
            self.owed = Tolerance::default();
        }
        self.all.granted.add(1.0, now);
        if let Some(holder) = self.holders.get_mut(&ask.class.holder()) {
            holder.granted.add(ask.work_ms, now);
            holder.credit.spend();
        }
        if let Some(route) = self.routes.get_mut(&ask.class.route) {
            route.rate.granted.add(1.0, now);
            route.credit.spend();
            if route.is_large(ask.size) {
                route.large_credit.spend();
            }
        }
    }

    /// Returns how a request stands, and the longest expected wait in milliseconds for which it is granted.
    pub fn limit(&self, ask: &Ask<'_>, now: Time) -> (Standing, f64) {
        if ask.class.route.is_empty() || !self.is_contended(now) {
            return (Standing::Uncontended, ask.limit_ms);
        }
        if self.is_guaranteed(ask.class, ask.size) {
            return (Standing::Guaranteed, ask.limit_ms);
        }
        let kept_ms = self.kept_queue_ms(ask.class.rank(), now);
        // What will be late displaces what could be on time.
        let on_time_ms = if self.holders.len() > 1 {
            ask.on_time_ms
        } else {
            f64::INFINITY
        };
        let limit_ms = ask.limit_ms.min(on_time_ms).min(kept_ms);
        if self.is_beyond(ask.class) {
            return (Standing::Beyond, limit_ms.min(ask.limit_ms * BEYOND_FACTOR));
        }
        (Standing::Within, limit_ms)
    }

    /// Returns whether a request of a class is owed a guaranteed minimum while there is contention.
    pub fn is_owed(&self, class: &RequestClass, size: f64, now: Time) -> bool {
        self.is_contended(now) && self.is_guaranteed(class, size)
    }

    /// Records that a request was declined. If it is owed a guaranteed minimum, the queue is kept short enough for the next
    /// one of its kind.
    pub fn on_declined(&mut self, ask: &Ask<'_>, now: Time) {
        if self.is_owed(ask.class, ask.size, now) {
            self.owed.record(ask.tolerated_queue_ms(), now);
        }
    }

    /// Returns whether the workspace of a request, or its route if it has none, got more than its fair share lately.
    pub fn is_beyond(&self, class: &RequestClass) -> bool {
        self.holders.get(&class.holder()).is_some_and(|holder| holder.is_beyond)
    }

    /// Drops workspaces and routes without recent requests.
    pub fn prune(&mut self, now: Time) {
        let is_recent = |sum: RecentSum| now.since(sum.updated_at) < Millis(SHARE_SPAN.0 * 4);
        self.holders.retain(|_, holder| is_recent(holder.asked));
        self.routes.retain(|_, route| is_recent(route.rate.asked));
    }

    /// Returns whether a request of a class has earned a guaranteed minimum.
    pub(crate) fn is_guaranteed(&self, class: &RequestClass, size: f64) -> bool {
        let holder = self.holders.get(&class.holder());
        let route = self.routes.get(&class.route);
        let is_large_due = |route: &RouteRequests| route.large_credit.is_due() && route.is_large(size);
        // The minimums of a route are not for a workspace that got more than its share.
        let is_beyond = class.workspace.is_some() && self.is_beyond(class);
        holder.is_some_and(|holder| holder.credit.is_due())
            || !is_beyond && route.is_some_and(|route| route.credit.is_due() || is_large_due(route))
    }

    fn route_share(&self, route: &str, now: Time) -> f64 {
        self.routes.get(route).map_or(1.0, |route| route.rate.share(now))
    }

    /// Returns the longest queue that leaves room for the recent requests of more urgent ranks and for guaranteed minimums.
    fn kept_queue_ms(&self, rank: usize, now: Time) -> f64 {
        let urgent = self.tolerances[..rank].iter().chain([&self.owed]);
        let recent = urgent.filter_map(|tolerance| tolerance.recent_ms(now));
        recent.fold(f64::INFINITY, f64::min)
    }

    fn refresh(&mut self, now: Time) {
        if self.refreshed_at.is_some_and(|at| now.since(at) < REFRESH_PERIOD) {
            return;
        }
        self.refreshed_at = Some(now);
        let mut groups: IndexMap<Group, Vec<Demand>> = IndexMap::new();
        for (holder, work) in &self.holders {
            groups.entry(holder.group()).or_default().push(Demand {
                weight: weight(work.rank),
                asked: work.asked.at(now),
                granted: work.granted.at(now),
            });
        }
        let levels: IndexMap<_, _> = groups
            .into_iter()
            .map(|(group, demands)| (group, fair_level(demands)))
            .collect();
        for (holder, work) in &mut self.holders {
            let level = levels.get(&holder.group()).copied().unwrap_or(f64::INFINITY);
            work.is_beyond = work.granted.at(now) > level * weight(work.rank) * SHARE_TOLERANCE;
        }
    }
}

/// What a holder asked for and got.
struct Demand {
    weight: f64,
    asked: f64,
    granted: f64,
}

/// Returns the largest share, for a weight of 1, such that all shares together are what was granted: nobody gets more than
/// it asked for, and what it leaves is divided between the others.
fn fair_level(mut demands: Vec<Demand>) -> f64 {
    let ratio = |demand: &Demand| demand.asked / demand.weight;
    demands.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let mut left: f64 = demands.iter().map(|demand| demand.granted).sum();
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    for demand in &demands {
        let level = left / weights;
        if ratio(demand) >= level {
            return level;
        }
        left -= demand.asked;
        weights -= demand.weight;
    }
    f64::INFINITY
}

/// Returns the weight of a rank: the most urgent one gets twice the share of the next one.
fn weight(rank: usize) -> f64 {
    1.0 / (1.0 + rank as f64)
}

/// Returns the entry of a key; `None` if it is new and too many are tracked.
fn tracked<K: Hash + Eq, V: Default>(entries: &mut IndexMap<K, V>, key: K) -> Option<&mut V> {
    if entries.len() >= MAX_TRACKED && !entries.contains_key(&key) {
        return None;
    }
    Some(entries.entry(key).or_default())
}
