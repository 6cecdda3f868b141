//! The quotas at one VM.

mod changes;
mod checks;
mod loans;

use indexmap::IndexMap;
use sw_unit::{Millis, Time, Tokens, VmId, WorkspaceId};

pub use self::changes::QuotaChange;
use self::checks::KEEPER_CHECK_TIME;
use super::allowance::{Allowance, Local};
use super::fleet::{Fleet, KeeperVm, QuotaOptions, QuotaVm};
use super::keeper::{Keeper, Standing};
use super::{QuotaAsk, QuotaReply, QuotaTake};
use crate::TokenQuota;

/// Share of the tolerance that all VMs together may use without their keepers.
const FALLBACK_SHARE: f64 = 0.5;
/// Number of VMs that are asked after the keeper has not responded.
const MAX_DEPUTIES: usize = 2;
/// Retry delay of a request whose quota no VM keeps at present.
const NO_KEEPER_RETRY: Millis = Millis(250);

/// What to do about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaStep {
    /// Admit it; its tokens are taken.
    Admit,
    /// Refuse it; there may be tokens after the time given.
    Refuse(Millis),
    /// Ask for the tokens, and continue with [`Quotas::on_reply`].
    Ask(QuotaAsk),
}

impl From<Result<(), Millis>> for QuotaStep {
    fn from(decision: Result<(), Millis>) -> Self {
        match decision {
            Ok(()) => Self::Admit,
            Err(wait) => Self::Refuse(wait),
        }
    }
}

/// An allowance, and whom to ask for more.
#[derive(Debug, Clone)]
struct Entry {
    allowance: Allowance,
    keeper: Option<KeeperVm>,
    /// Generation of the fleet that the keeper was chosen from.
    generation: u64,
}

/// A keeper, and what was last logged of it.
#[derive(Debug, Clone)]
struct Kept {
    keeper: Keeper,
    standing: Standing,
    is_first: bool,
    /// Generation of the fleet that the standing follows from.
    generation: u64,
    was_limited: bool,
    /// Whether rate was borrowed, and whether it was lent.
    had_loans: (bool, bool),
}

/// The quotas at one VM, as an entry VM and as a keeper.
#[derive(Debug, Clone)]
pub struct Quotas {
    options: QuotaOptions,
    fleet: Fleet,
    entries: IndexMap<WorkspaceId, Entry>,
    kept: IndexMap<WorkspaceId, Kept>,
    /// Keepers that are being checked, with the number of calls without a response.
    checks: IndexMap<VmId, u32>,
    /// Number of the last call for loans.
    loan_sequence: u64,
    changes: Vec<QuotaChange>,
}

impl Quotas {
    /// Creates the state of a VM that knows no VMs; [`Quotas::set_fleet`] is called before the first request.
    pub fn new(options: QuotaOptions) -> Self {
        let loan_sequence = options.started_at.0;
        Self {
            options,
            fleet: Fleet::default(),
            entries: IndexMap::new(),
            kept: IndexMap::new(),
            checks: IndexMap::new(),
            // A restarted process continues with higher numbers.
            loan_sequence,
            changes: Vec::new(),
        }
    }

    /// Sets the share by which quotas may be exceeded, and whether there are other VMs.
    pub fn set_bounds(&mut self, overshoot: f64, expects_peers: bool) {
        self.options.overshoot = overshoot;
        self.options.expects_peers = expects_peers;
        self.fleet.invalidate();
    }

    /// Replaces the known VMs; `vms` includes this one.
    pub fn set_fleet(&mut self, vms: Vec<QuotaVm>, now: Time) {
        self.fleet.update(vms, &self.options, now);
    }

    /// Returns whether any VM is known.
    pub(crate) fn has_fleet(&self) -> bool {
        self.fleet.max_known() > 0
    }

    /// Takes the tokens of a request, or returns what to do first.
    pub fn take(&mut self, workspace: &WorkspaceId, quota: TokenQuota, cost: Tokens, now: Time) -> QuotaStep {
        let allowance = self.allowance_mut(workspace, now);
        match allowance.take(cost, now) {
            Local::Admit => QuotaStep::Admit,
            Local::Refuse(wait) => QuotaStep::Refuse(wait),
            Local::Silent => self.take_fallback(workspace, quota, cost, now).into(),
            Local::Ask => self.ask(workspace, quota, cost, now),
        }
    }

    /// Continues a request with the response to a call that was made at `asked_at`; `None` if there was none in time.
    pub fn on_reply(
        &mut self,
        ask: QuotaAsk,
        quota: TokenQuota,
        cost: Tokens,
        reply: Option<QuotaReply>,
        asked_at: Time,
        now: Time,
    ) -> QuotaStep {
        let workspace = &ask.take.workspace;
        match reply {
            Some(reply) if reply.keeps => {
                for vm in &ask.silent {
                    self.mark_silent(vm, now);
                }
                self.on_granted(workspace, cost, reply, asked_at, now).into()
            }
            // The VM asked finds out meanwhile whether those that rank higher respond.
            Some(_) if !ask.silent.is_empty() && ask.delay == Millis(0) => QuotaStep::Ask(QuotaAsk {
                delay: KEEPER_CHECK_TIME,
                ..ask
            }),
            None if ask.silent.len() < MAX_DEPUTIES => match self.ask_deputy(&ask) {
                Some(ask) => QuotaStep::Ask(ask),
                None => self.on_silent(workspace, quota, cost, now),
            },
            _ => self.on_silent(workspace, quota, cost, now),
        }
    }

    fn on_granted(
        &mut self,
        workspace: &WorkspaceId,
        cost: Tokens,
        reply: QuotaReply,
        asked_at: Time,
        now: Time,
    ) -> Result<(), Millis> {
        let allowance = self.allowance_mut(workspace, now);
        allowance.on_response();
        if reply.granted < cost {
            allowance.add_granted(reply.granted, asked_at);
            allowance.on_refused(reply, now);
            return Err(reply.wait);
        }
        allowance.add_granted(reply.granted - cost, asked_at);
        Ok(())
    }

    /// Decides a request without a keeper.
    fn on_silent(&mut self, workspace: &WorkspaceId, quota: TokenQuota, cost: Tokens, now: Time) -> QuotaStep {
        self.allowance_mut(workspace, now).on_silent(now);
        self.take_fallback(workspace, quota, cost, now).into()
    }

    /// Returns the call to the VM that is to keep the quota if the one asked does not respond; `None` if there is no such VM.
    fn ask_deputy(&self, ask: &QuotaAsk) -> Option<QuotaAsk> {
        let mut silent = ask.silent.clone();
        silent.push(ask.to.vm.clone());
        let deputy = self.fleet.deputy(&ask.take.workspace, &self.options.region, &silent)?;
        // What was returned may have arrived.
        let take = QuotaTake {
            returned: Tokens(0),
            refused: Tokens(0),
            ..ask.take.clone()
        };
        Some(QuotaAsk {
            to: deputy.into(),
            take,
            delay: Millis(0),
            silent,
        })
    }

    /// Keeps those VMs marked as silent that `is_silent` accepts, with the time at which that was found.
    pub fn retain_silent(&mut self, is_silent: impl Fn(&VmId, Time) -> bool, now: Time) {
        self.fleet.retain_silent(is_silent, now);
    }

    /// Records a response that came too late for its request; what it grants is still of use.
    pub fn on_late_reply(&mut self, workspace: &WorkspaceId, reply: QuotaReply, asked_at: Time, now: Time) {
        let allowance = self.allowance_mut(workspace, now);
        allowance.on_response();
        allowance.add_granted(reply.granted, asked_at);
    }

    /// Credits the tokens of a request that was charged at `charged_at` and has not run.
    pub fn credit(&mut self, workspace: &WorkspaceId, cost: Tokens, charged_at: Time, now: Time) {
        self.allowance_mut(workspace, now).credit(cost, charged_at, now);
    }

    /// Grants or refuses tokens to a VM of this region.
    pub fn grant(&mut self, take: &QuotaTake, quota: TokenQuota, now: Time) -> QuotaReply {
        match self.serving_keeper(&take.workspace, quota, now) {
            Some(kept) => {
                let reply = kept.keeper.take(take, now);
                self.record_changes(&take.workspace, now);
                reply
            }
            None => QuotaReply {
                granted: Tokens(0),
                wait: NO_KEEPER_RETRY,
                keeps: false,
            },
        }
    }

    /// Returns calls that return tokens to their keepers; what this VM keeps itself is returned at once.
    pub fn due_returns(&mut self, quota_of: impl Fn(&WorkspaceId) -> Option<TokenQuota>, now: Time) -> Vec<QuotaAsk> {
        let due = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.allowance.has_returned(now));
        let due: Vec<WorkspaceId> = due.map(|(workspace, _)| workspace.clone()).collect();
        let mut calls = Vec::new();
        for workspace in due {
            let quota = quota_of(&workspace);
            if let Some(quota) = quota
                && let QuotaStep::Ask(ask) = self.ask(&workspace, quota, Tokens(0), now)
            {
                calls.push(ask);
            }
        }
        calls
    }

    /// Updates the buckets, and drops what is no longer needed. It is called several times a second.
    pub fn tick(&mut self, quota_of: impl Fn(&WorkspaceId) -> Option<TokenQuota>, now: Time) {
        self.fleet.tick(now);
        let kept: Vec<WorkspaceId> = self.kept.keys().cloned().collect();
        for workspace in kept {
            let Some(quota) = quota_of(&workspace) else {
                self.kept.swap_remove(&workspace);
                continue;
            };
            self.update_keeper(&workspace, quota, now);
            self.record_changes(&workspace, now);
        }
        self.kept.retain(|_, kept| !kept.keeper.is_idle(now));
        self.entries.retain(|_, entry| !entry.allowance.is_idle(now));
    }

    /// Returns the number of quotas that this VM keeps, and of those whose requests it refuses.
    pub fn kept_count(&self, now: Time) -> (usize, usize) {
        let limited = self.kept.values().filter(|kept| kept.keeper.is_limited(now));
        (self.kept.len(), limited.count())
    }

    fn ask(&mut self, workspace: &WorkspaceId, quota: TokenQuota, cost: Tokens, now: Time) -> QuotaStep {
        let Some(keeper) = self.local_keeper(workspace, now) else {
            return self.take_fallback(workspace, quota, cost, now).into();
        };
        let from = self.options.vm.clone();
        let allowance = self.allowance_mut(workspace, now);
        let take = QuotaTake {
            workspace: workspace.clone(),
            from,
            needed: cost,
            wanted: if cost > Tokens(0) {
                allowance.wanted(now)
            } else {
                Tokens(0)
            },
            returned: allowance.take_returned(now),
            refused: allowance.take_refused(),
        };
        if keeper.vm != self.options.vm {
            return QuotaStep::Ask(QuotaAsk {
                to: keeper,
                take,
                delay: Millis(0),
                silent: Vec::new(),
            });
        }
        let take = QuotaTake {
            wanted: Tokens(0),
            ..take
        };
        let reply = self.grant(&take, quota, now);
        if !reply.keeps {
            return self.take_fallback(workspace, quota, cost, now).into();
        }
        self.on_granted(workspace, cost, reply, now, now).into()
    }

    /// Takes the tokens of a request from the allowance that needs no keeper.
    fn take_fallback(
        &mut self,
        workspace: &WorkspaceId,
        quota: TokenQuota,
        cost: Tokens,
        now: Time,
    ) -> Result<(), Millis> {
        let is_isolated = self.options.expects_peers && self.fleet.max_known() <= 1;
        let part = if is_isolated {
            0.0
        } else {
            self.options.overshoot * FALLBACK_SHARE / self.fleet.max_known().max(1) as f64
        };
        let (rate, burst) = (quota.rate.0 * part, quota.burst.0 as f64 * part);
        let allowance = self.allowance_mut(workspace, now);
        allowance.take_fallback(cost, rate, burst, now)
    }

    /// Returns the keeper state of a workspace if this VM is to serve as its keeper.
    fn serving_keeper(&mut self, workspace: &WorkspaceId, quota: TokenQuota, now: Time) -> Option<&mut Kept> {
        if !self.kept.contains_key(workspace) {
            if !self.fleet.is_local_first(workspace, &self.options) {
                return None;
            }
            let kept_since = self.fleet.kept_since(workspace, &self.options);
            let standing = self.standing(workspace);
            let kept = Kept {
                keeper: Keeper::new(quota, standing, kept_since, now),
                standing,
                is_first: true,
                generation: self.fleet.generation(),
                was_limited: false,
                had_loans: (false, false),
            };
            self.kept.insert(workspace.clone(), kept);
            self.push_change(QuotaChange::KeeperStarted(workspace.clone()));
        }
        self.update_keeper(workspace, quota, now);
        self.kept
            .get_mut(workspace)
            .filter(|kept| kept.is_first || kept.keeper.is_serving(now))
    }

    fn update_keeper(&mut self, workspace: &WorkspaceId, quota: TokenQuota, now: Time) {
        let generation = self.fleet.generation();
        let known = self.kept.get(workspace);
        let is_outdated = known.is_some_and(|kept| kept.generation != generation);
        let renewed = is_outdated.then(|| {
            let is_first = self.fleet.is_local_first(workspace, &self.options);
            (self.standing(workspace), is_first)
        });
        let Some(kept) = self.kept.get_mut(workspace) else {
            return;
        };
        if let Some((standing, is_first)) = renewed {
            kept.standing = standing;
            kept.is_first = is_first;
            kept.generation = generation;
        }
        kept.keeper.update(quota, kept.standing, kept.is_first, now);
    }

    /// Returns the keeper of a workspace in this region.
    fn local_keeper(&mut self, workspace: &WorkspaceId, now: Time) -> Option<KeeperVm> {
        let generation = self.fleet.generation();
        if let Some(entry) = self
            .entries
            .get(workspace)
            .filter(|entry| entry.generation == generation)
        {
            return entry.keeper.clone();
        }
        let keeper = self.fleet.keeper(workspace, &self.options.region).map(KeeperVm::from);
        let entry = self.entry_mut(workspace, now);
        entry.generation = generation;
        entry.keeper.clone_from(&keeper);
        keeper
    }

    fn allowance_mut(&mut self, workspace: &WorkspaceId, now: Time) -> &mut Allowance {
        &mut self.entry_mut(workspace, now).allowance
    }

    fn entry_mut(&mut self, workspace: &WorkspaceId, now: Time) -> &mut Entry {
        if !self.entries.contains_key(workspace) {
            let entry = Entry {
                allowance: Allowance::new(now),
                keeper: None,
                generation: 0,
            };
            self.entries.insert(workspace.clone(), entry);
        }
        &mut self.entries[workspace]
    }

    fn standing(&self, workspace: &WorkspaceId) -> Standing {
        Standing {
            share: self.fleet.live_share(&self.options),
            live: self.fleet.live_count(&self.options.region),
            is_deputy: self.fleet.is_deputy(workspace, &self.options),
            other_regions: self.options.other_regions().len(),
            overshoot: self.options.overshoot,
        }
    }
}
