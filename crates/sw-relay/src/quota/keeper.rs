//! The keeper of a workspace's quota in one region.

use indexmap::{IndexMap, IndexSet};
use sw_unit::{Millis, Rate, RegionId, Time, Tokens, VmId};

use super::bucket::{Bucket, time_for};
use super::demand::Demand;
use super::lease::{Lease, Leases};
use super::{Borrower, LOAN_DURATION, MILLIS_PER_SECOND, QuotaLoan, QuotaReply, QuotaTake};
use crate::TokenQuota;

/// Share of a region's own rate that is never lent, for its first requests after a pause. A keeper that does not know yet what
/// its predecessor has lent uses only this.
const KEPT_SHARE: f64 = 0.05;
/// Share by which a lender keeps more than its region's demand, which is an average.
const DEMAND_MARGIN: f64 = 1.05;
/// Share by which a borrower asks for more than its region's demand.
const BORROW_MARGIN: f64 = 1.2;
/// Factor by which a region whose bucket runs empty asks to increase its rate. The average of the demand lags behind, and
/// demand that is refused is not all seen.
const PRESSED_GROWTH: f64 = 2.0;
/// Longest time between two updates of a bucket that counts. A longer one means that the process was suspended, and that
/// another VM has kept the quota meanwhile.
const MAX_UPDATE_GAP: Millis = Millis(750);
/// Time for which a VM serves as keeper after another one ranks first, until all VMs know.
const HANDOVER: Millis = Millis(1_500);
/// Longest retry delay.
const MAX_WAIT: Millis = Millis(5_000);
/// Largest number of seconds' tokens that are counted as asked for by refused requests that come back.
const MAX_BACKLOG_SECONDS: f64 = 2.0;
/// Time after the last refusal after which a workspace is no longer limited.
const LIMITED_FOR: Millis = Millis(2_000);
/// Time after the last refusal after which a region no longer needs all that it can get.
const PRESSED_FOR: Millis = Millis(400);
/// Time between calls for loans of a region that keeps what it has, and of one that needs more or less.
const LOAN_PERIOD: Millis = Millis(1_000);
const CHANGED_LOAN_PERIOD: Millis = Millis(300);
/// Factor by which a region holds more than it needs when it gives back a part at once.
const EXCESS_HELD: f64 = 1.25;
/// Part of the burst that moves with lent rate. The rest bridges the time until a lender whose region gets requests again has
/// its rate back.
const MOVED_BURST: f64 = 0.5;
/// Time for which a VM counts as one that asks a deputy.
const ASKER_FOR: Millis = Millis(2_000);
/// VMs for which each VM that asks a deputy counts. Not all VMs have requests of a workspace.
const VMS_PER_ASKER: f64 = 2.0;
/// Time without demand after which the state may be dropped.
const IDLE_AFTER: Millis = Millis(10_000);

/// What a keeper needs to know of its region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Standing {
    /// Share of the whole quota that the region's live VMs have.
    pub(crate) share: f64,
    /// Number of live VMs of the region.
    pub(crate) live: usize,
    /// Whether a VM that ranks higher is not a candidate here.
    pub(crate) is_deputy: bool,
    /// Number of other regions.
    pub(crate) other_regions: usize,
    /// Share by which quotas may be exceeded.
    pub(crate) overshoot: f64,
}

/// Quota of one workspace in one region.
#[derive(Debug, Clone)]
pub(crate) struct Keeper {
    quota: TokenQuota,
    standing: Standing,
    bucket: Bucket,
    demand: Demand,
    /// Tokens that refused requests will ask for when they come back.
    backlog: f64,
    /// Since when no other VM keeps the quota.
    kept_since: Time,
    /// When this VM last ranked first.
    first_at: Time,
    /// Lent rate by the VM that borrowed it. A region may have two keepers for a while, each with a loan of its own.
    lent: IndexMap<VmId, Leases>,
    borrowed: IndexMap<RegionId, Leases>,
    /// Number of the last call of each borrower.
    borrowers: IndexMap<VmId, u64>,
    /// When this VM last gave back rate of a region before its lease ended.
    returned_at: IndexMap<RegionId, Time>,
    /// Regions that have stated what they hold of this region's rate.
    confirmed: IndexSet<RegionId>,
    askers: IndexMap<VmId, Time>,
    refused_at: Option<Time>,
    loans_asked_at: Option<Time>,
    used_at: Time,
}

impl Keeper {
    /// Creates the state of a keeper that may have been one since `kept_since`, but was not asked.
    pub(crate) fn new(quota: TokenQuota, standing: Standing, kept_since: Time, now: Time) -> Self {
        let mut keeper = Self {
            quota,
            standing,
            bucket: Bucket::new(0.0, now),
            demand: Demand::default(),
            backlog: 0.0,
            kept_since,
            first_at: now,
            lent: IndexMap::new(),
            borrowed: IndexMap::new(),
            borrowers: IndexMap::new(),
            returned_at: IndexMap::new(),
            confirmed: IndexSet::new(),
            askers: IndexMap::new(),
            refused_at: None,
            loans_asked_at: None,
            used_at: now,
        };
        keeper.bucket.fill(keeper.saved(now), keeper.capacity(now), now);
        keeper
    }

    /// Brings the state up to date with the configuration and the region.
    pub(crate) fn update(&mut self, quota: TokenQuota, standing: Standing, is_first: bool, now: Time) {
        self.advance(now);
        self.quota = quota;
        self.standing = standing;
        self.bucket.fill(0.0, self.capacity(now), now);
        if is_first {
            self.first_at = now;
        }
        self.askers.retain(|_, at| now.since(*at) < ASKER_FOR);
    }

    /// Adds what the rate has yielded since the last update.
    fn advance(&mut self, now: Time) {
        let updated_at = self.bucket.updated_at();
        let gap = now.since(updated_at);
        if gap > MAX_UPDATE_GAP {
            self.restart(now);
        } else if gap > Millis(0) {
            let tokens = self.yielded(updated_at, now);
            self.backlog = (self.backlog - tokens).max(0.0);
            self.bucket.fill(tokens, self.capacity(now), now);
        }
    }

    /// Grants or refuses tokens.
    pub(crate) fn take(&mut self, take: &QuotaTake, now: Time) -> QuotaReply {
        let needed = take.needed.0 as f64;
        let capacity = self.capacity(now);
        self.used_at = now;
        self.askers.insert(take.from.clone(), now);
        self.demand.add(needed + take.refused.0 as f64, now);
        self.demand.limit(self.quota.rate.0 * BORROW_MARGIN);
        self.bucket.fill(take.returned.0 as f64, capacity, now);
        // A small debt lets a large request pass as often as a small one.
        let debt = capacity * self.standing.overshoot / 2.0;
        let is_full = self.bucket.level() + 1.0 >= capacity && capacity > 0.0;
        if self.bucket.level() + debt < needed && !is_full {
            return self.refuse(needed - self.bucket.level() - debt, needed, now);
        }
        self.bucket.take(needed);
        let advance = (self.bucket.level() - capacity / 2.0)
            .clamp(0.0, take.wanted.0 as f64)
            .floor();
        self.bucket.take(advance);
        QuotaReply {
            granted: Tokens(take.needed.0 + advance as u64),
            wait: Millis(0),
            keeps: true,
        }
    }

    /// Lends rate to another region.
    pub(crate) fn lend(&mut self, borrower: &Borrower, asked: &QuotaLoan, now: Time) -> QuotaLoan {
        let to = &borrower.vm;
        self.used_at = now;
        self.on_asked(borrower, asked.rate, now);
        let mut loan = QuotaLoan {
            workspace: asked.workspace.clone(),
            rate: Rate(0.0),
            burst: Tokens(0),
            lasts: LOAN_DURATION,
        };
        if !self.is_settled(now) || self.is_refusing(now) {
            return loan;
        }
        let own = self.own_rate();
        let elsewhere = self.lent.iter().filter(|(vm, _)| *vm != to);
        let elsewhere: f64 = elsewhere.map(|(_, leases)| leases.rate(now)).sum();
        let needed = self.demand.per_second(now) * DEMAND_MARGIN + own * KEPT_SHARE;
        let rate = asked.rate.0.min(own - needed - elsewhere);
        if rate <= 0.0 {
            return loan;
        }
        loan.rate = Rate(rate);
        let lease = Lease {
            rate: loan.rate,
            from: now,
            until: now + LOAN_DURATION,
        };
        self.lent.entry(to.clone()).or_default().add(lease, now);
        // The part of the bucket that belongs to the rate moves with it.
        let excess = (self.bucket.level() - self.capacity(now)).max(0.0);
        let burst = excess.min(asked.burst.0 as f64).floor();
        self.bucket.take(burst);
        loan.burst = Tokens(burst as u64);
        loan
    }

    /// Takes back what a borrower no longer asks for, which it has stopped using. An earlier call that arrives later says
    /// nothing.
    fn on_asked(&mut self, borrower: &Borrower, rate: Rate, now: Time) {
        let last = self.borrowers.get(&borrower.vm).copied().unwrap_or_default();
        if last < borrower.sequence {
            self.borrowers.insert(borrower.vm.clone(), borrower.sequence);
            if let Some(leases) = self.lent.get_mut(&borrower.vm) {
                leases.lower(rate, now, now);
            }
        }
    }

    /// Gives back what this region does not need of the rate that it has borrowed from another one, and returns the rest.
    pub(crate) fn give_back(&mut self, from: &RegionId, now: Time) -> Rate {
        let held = self.held(from, now);
        let excess = total(&self.borrowed, now) - self.missing_rate(now).max(0.0);
        if excess <= 0.0 || held.0 <= 0.0 {
            return held;
        }
        let rest = Rate((held.0 - excess).max(0.0));
        self.lower_held(from, rest, now);
        self.returned_at.insert(from.clone(), now);
        rest
    }

    fn lower_held(&mut self, from: &RegionId, rate: Rate, now: Time) {
        if let Some(leases) = self.borrowed.get_mut(from) {
            leases.lower(rate, now, now);
        }
    }

    /// Returns the rate that this region has borrowed from another one.
    pub(crate) fn held(&self, from: &RegionId, now: Time) -> Rate {
        Rate(self.borrowed.get(from).map_or(0.0, |leases| leases.rate(now)))
    }

    /// Returns the rate that this region has borrowed, and the rate that it has lent.
    pub(crate) fn loans(&self, now: Time) -> (Rate, Rate) {
        (Rate(total(&self.borrowed, now)), Rate(total(&self.lent, now)))
    }

    /// Returns what to ask the keepers of the other regions for; `None` if nothing is due.
    ///
    /// The rates are what is to be borrowed from each. A rate of 0 only asks what the other region holds.
    pub(crate) fn due_loans<'a>(
        &mut self,
        regions: impl Iterator<Item = &'a RegionId>,
        now: Time,
    ) -> Option<Vec<(&'a RegionId, Rate)>> {
        let borrowed = total(&self.borrowed, now);
        let is_settled = self.is_settled(now);
        let mut missing = self.missing_rate(now).max(0.0);
        if is_settled && missing <= 0.0 && borrowed <= 0.0 {
            return None;
        }
        let is_growing = missing > borrowed;
        let is_changed = is_growing || borrowed > missing * EXCESS_HELD || !is_settled;
        let period = if is_changed { CHANGED_LOAN_PERIOD } else { LOAN_PERIOD };
        if self.loans_asked_at.is_some_and(|at| now.since(at) < period) {
            return None;
        }
        self.loans_asked_at = Some(now);
        let mut asked = Vec::new();
        for region in regions {
            let held = self.held(region, now).0;
            // Each region is asked for all that the others do not lend yet.
            let others = borrowed - held;
            let rate = if is_growing {
                missing - others
            } else {
                missing.min(held)
            };
            if !is_growing {
                missing -= rate;
                self.lower_held(region, Rate(rate), now);
            }
            asked.push((region, Rate(rate.max(0.0))));
        }
        Some(asked)
    }

    /// Returns the tokens that a loan of `rate` may bring at once.
    pub(crate) fn burst_for(&self, rate: Rate, now: Time) -> Tokens {
        let moved = self.burst_per_rate() * rate.0 * MOVED_BURST;
        let room = self.capacity(now) + moved - self.bucket.level();
        Tokens(room.clamp(0.0, moved) as u64)
    }

    /// Records what another region has lent in reply to a call that was made at `asked_at`.
    pub(crate) fn on_lent(&mut self, from: &RegionId, loan: &QuotaLoan, asked_at: Time, now: Time) {
        self.advance(now);
        // The lender has what was given back since the call.
        if self.returned_at.get(from).is_some_and(|at| *at >= asked_at) {
            return;
        }
        let lease = Lease {
            rate: loan.rate,
            from: now,
            until: asked_at + loan.lasts.min(LOAN_DURATION),
        };
        self.borrowed.entry(from.clone()).or_default().replace(lease);
        self.bucket.fill(loan.burst.0 as f64, self.capacity(now), now);
    }

    /// Records what the keeper of another region holds of this region's rate, as stated in reply to a call that was made at `asked_at`.
    pub(crate) fn on_held(&mut self, by: &RegionId, vm: &VmId, rate: Rate, asked_at: Time, now: Time) {
        self.advance(now);
        let is_settled = self.is_settled(now);
        let leases = self.lent.entry(vm.clone()).or_default();
        leases.lower(rate, asked_at, now);
        if rate.0 > 0.0 && !is_settled {
            let lease = Lease {
                rate,
                from: now,
                until: now + LOAN_DURATION,
            };
            leases.add(lease, now);
        }
        self.confirmed.insert(by.clone());
    }

    /// Returns whether requests were refused recently.
    pub(crate) fn is_limited(&self, now: Time) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < LIMITED_FOR)
    }

    /// Returns whether requests were refused just now.
    fn is_refusing(&self, now: Time) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < PRESSED_FOR)
    }

    /// Returns whether this VM ranks first, or did until a moment ago.
    pub(crate) fn is_serving(&self, now: Time) -> bool {
        now.since(self.first_at) < HANDOVER
    }

    /// Returns whether nothing is lost if the state is dropped.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        let has_loans = total(&self.lent, now) > 0.0 || total(&self.borrowed, now) > 0.0;
        let is_full = self.bucket.level() + 1.0 >= self.capacity(now);
        let is_replaced = !self.is_serving(now);
        let is_unused = now.since(self.used_at) >= IDLE_AFTER && is_full && self.saved(now) >= self.capacity(now);
        is_replaced || is_unused && !has_loans
    }

    /// Returns whether all that is lent of this region's rate is known.
    fn is_settled(&self, now: Time) -> bool {
        self.confirmed.len() >= self.standing.other_regions || now.since(self.kept_since) >= LOAN_DURATION
    }

    /// Returns the tokens of its rate since it became the keeper.
    fn saved(&self, now: Time) -> f64 {
        self.own_rate() * now.since(self.kept_since).0 as f64 / MILLIS_PER_SECOND
    }

    /// Starts anew as a keeper that knows nothing.
    fn restart(&mut self, now: Time) {
        self.bucket = Bucket::new(self.bucket.level().min(0.0), now);
        self.kept_since = now;
        self.confirmed.clear();
        self.lent.clear();
        self.borrowed.clear();
    }

    fn refuse(&mut self, missing: f64, needed: f64, now: Time) -> QuotaReply {
        self.refused_at = Some(now);
        let rate = self.rate(now);
        let wait = time_for(missing + self.backlog, rate, MAX_WAIT);
        let max_backlog = rate * MAX_BACKLOG_SECONDS;
        self.backlog = (self.backlog + needed).min(max_backlog);
        QuotaReply {
            granted: Tokens(0),
            wait,
            keeps: true,
        }
    }

    /// Returns the rate that this region lacks, beyond its own.
    fn missing_rate(&self, now: Time) -> f64 {
        let demand = self.demand.per_second(now) * BORROW_MARGIN;
        let is_pressed = self.is_refusing(now) || self.bucket.level() < self.capacity(now) / 2.0;
        if !is_pressed && total(&self.borrowed, now) <= 0.0 {
            return 0.0;
        }
        let wanted = if is_pressed {
            demand.max(self.rate(now) * PRESSED_GROWTH)
        } else {
            demand
        };
        wanted.min(self.quota.rate.0) - self.own_in_use(now)
    }

    /// Returns the region's share of the rate.
    fn own_rate(&self) -> f64 {
        self.quota.rate.0 * self.standing.share
    }

    /// Returns the region's share of the rate that this VM may use.
    fn own_in_use(&self, now: Time) -> f64 {
        let own = self.own_rate() * self.deputy_part();
        if self.is_settled(now) {
            (own - total(&self.lent, now)).max(0.0)
        } else {
            own * KEPT_SHARE
        }
    }

    /// Returns the part of the region's share that belongs to the VMs that take this one for the keeper.
    fn deputy_part(&self) -> f64 {
        if !self.standing.is_deputy {
            return 1.0;
        }
        let asking = (1 + self.askers.len()) as f64 * VMS_PER_ASKER;
        (asking / self.standing.live.max(1) as f64).min(1.0)
    }

    /// Returns the rate that this VM may use at present.
    fn rate(&self, now: Time) -> f64 {
        self.own_in_use(now) + total(&self.borrowed, now)
    }

    /// Returns the tokens that this VM's rate has yielded between two points in time.
    fn yielded(&self, from: Time, to: Time) -> f64 {
        let length_s = to.since(from).0 as f64 / MILLIS_PER_SECOND;
        let own = self.own_rate() * self.deputy_part();
        let own = if self.is_settled(from) {
            let lent: f64 = self.lent.values().map(|leases| leases.tokens(from, to)).sum();
            (own * length_s - lent).max(0.0)
        } else {
            own * KEPT_SHARE * length_s
        };
        let borrowed: f64 = self.borrowed.values().map(|leases| leases.tokens(from, to)).sum();
        own + borrowed
    }

    fn capacity(&self, now: Time) -> f64 {
        let lent = if self.is_settled(now) {
            total(&self.lent, now)
        } else {
            0.0
        };
        let moved = (total(&self.borrowed, now) - lent) * MOVED_BURST;
        let own = self.own_rate() * self.deputy_part();
        (own + moved).max(0.0) * self.burst_per_rate()
    }

    /// Returns the tokens of the burst for each token per second.
    fn burst_per_rate(&self) -> f64 {
        self.quota.burst.0 as f64 / self.quota.rate.0
    }
}

fn total<K>(loans: &IndexMap<K, Leases>, now: Time) -> f64 {
    loans.values().map(|leases| leases.rate(now)).sum()
}
