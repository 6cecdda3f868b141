//! Quotas of the requests of a [`Relay`].

use std::sync::Arc;

use sw_error::{Kind, Refusal};
use sw_member::VmState;
use sw_unit::{Millis, Time, Tokens, VmId, WorkspaceId};

use super::{
    Borrower, KeeperVm, LoanReply, LoanRequest, QuotaAsk, QuotaChange, QuotaLoan, QuotaOptions, QuotaReply, QuotaStep,
    QuotaTake, QuotaVm,
};
use crate::{AdmittedRequest, Relay, RouteTable, TokenQuota, Workspace};

/// Share of a retry delay by which it is spread, and the time by which it is spread at least.
const RETRY_SPREAD: f64 = 0.5;
const MIN_RETRY_SPREAD_MS: f64 = 50.0;

/// The tokens that a request costs.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaCost {
    /// The workspace that is charged.
    pub workspace: Arc<Workspace>,
    /// Its quota when the request was admitted.
    pub quota: TokenQuota,
    /// The tokens.
    pub tokens: Tokens,
}

impl AdmittedRequest {
    /// Returns what the request costs of its workspace's quota; `None` if it is not limited here. A forwarded request was
    /// charged by the VM that forwarded it.
    pub fn quota_cost(&self) -> Option<QuotaCost> {
        let workspace = self.workspace.as_ref().filter(|_| !self.forwarded)?;
        let quota = workspace.quota?;
        let tokens = self
            .prompt
            .as_ref()
            .map_or(quota.plain_cost, |prompt| prompt.input + prompt.output_max);
        Some(QuotaCost {
            workspace: Arc::clone(workspace),
            quota,
            tokens,
        })
    }
}

impl Relay {
    /// Sets the share by which quotas may be exceeded, and whether there are other VMs.
    pub fn set_quota_bounds(&mut self, overshoot: f64, expects_peers: bool) {
        self.quotas.set_bounds(overshoot, expects_peers);
    }

    /// Takes the tokens of a request, or returns what to do first.
    pub fn take_quota(&mut self, cost: &QuotaCost, now: Time) -> QuotaStep {
        if !self.quotas.has_fleet() {
            let vms = self.quota_vms(now);
            self.quotas.set_fleet(vms, now);
        }
        self.quotas.take(&cost.workspace.name, cost.quota, cost.tokens, now)
    }

    /// Continues a request with the response to a call that was made at `asked_at`; `None` if there was none in time.
    pub fn on_quota_reply(
        &mut self,
        cost: &QuotaCost,
        ask: QuotaAsk,
        reply: Option<QuotaReply>,
        asked_at: Time,
        now: Time,
    ) -> QuotaStep {
        self.quotas.on_reply(ask, cost.quota, cost.tokens, reply, asked_at, now)
    }

    /// Records a response that came after its request was decided without it.
    pub fn on_late_quota_reply(&mut self, workspace: &WorkspaceId, reply: QuotaReply, asked_at: Time, now: Time) {
        self.quotas.on_late_reply(workspace, reply, asked_at, now);
    }

    /// Credits the tokens of a request that has not run.
    pub fn credit_quota(&mut self, cost: &QuotaCost, charged_at: Time, now: Time) {
        self.quotas.credit(&cost.workspace.name, cost.tokens, charged_at, now);
    }

    /// Returns the refusal of a request whose tokens may be there after `wait`.
    pub fn quota_refusal(&mut self, wait: Millis) -> Refusal {
        let spread_ms = (wait.0 as f64 * RETRY_SPREAD).max(MIN_RETRY_SPREAD_MS);
        let after = wait + Millis((spread_ms * self.rng.f64()) as u64);
        Refusal::with_retry_after(Kind::QuotaExceeded, after)
    }

    /// Grants or refuses tokens to a VM of this region.
    pub fn grant_quota(&mut self, take: &QuotaTake, now: Time) -> QuotaReply {
        match quota_of(self.table.as_deref(), &take.workspace) {
            Some(quota) => self.quotas.grant(take, quota, now),
            // An older or newer version of the configuration has no such quota.
            None => QuotaReply {
                granted: Tokens(0),
                wait: Millis(0),
                keeps: false,
            },
        }
    }

    /// Returns the keeper of a quota that this VM was asked for and does not keep, and a call that finds out whether it
    /// responds; `None` if it is being checked already.
    pub fn start_keeper_check(&mut self, workspace: &WorkspaceId, now: Time) -> Option<(KeeperVm, QuotaTake)> {
        self.quotas.start_keeper_check(workspace, now)
    }

    /// Records whether a keeper that is being checked has responded, and returns whether the call is to be made again.
    pub fn on_keeper_checked(&mut self, vm: &VmId, has_responded: bool, now: Time) -> bool {
        self.quotas.on_keeper_checked(vm, has_responded, now)
    }

    /// Lends rate of quotas to another region.
    pub fn lend_quota(&mut self, borrower: &Borrower, asked: &[QuotaLoan], now: Time) -> LoanReply {
        let table = self.table.as_deref();
        self.quotas
            .lend(borrower, asked, |workspace| quota_of(table, workspace), now)
    }

    /// Records the response to `request`, which was made at `asked_at`.
    pub fn on_quota_loans(&mut self, request: &LoanRequest, reply: &LoanReply, asked_at: Time, now: Time) {
        let (region, vm) = (&request.region, &request.keeper.vm);
        self.quotas.on_loans(region, vm, reply, asked_at, now);
    }

    /// Returns the loans to ask other regions for, of all workspaces or of `only` one.
    pub fn due_quota_loans(&mut self, only: Option<&WorkspaceId>, now: Time) -> Vec<LoanRequest> {
        self.quotas.due_loans(only, now)
    }

    /// Brings the quotas up to date with the known VMs and the time, and returns the calls that return tokens.
    pub fn update_quotas(&mut self, now: Time) -> Vec<QuotaAsk> {
        let has_workspaces = self.table.as_ref().is_some_and(|table| table.workspaces.is_some());
        if !has_workspaces {
            return Vec::new();
        }
        let vms = self.quota_vms(now);
        self.quotas.set_fleet(vms, now);
        let members = &self.members;
        // A heartbeat proves that the VM runs, and membership finds out soon if it does not.
        let is_silent = |vm: &VmId, at: Time| {
            let is_live = members.state(vm, now) == Some(VmState::Live);
            is_live && members.last_received_at(vm).is_some_and(|heard_at| heard_at <= at)
        };
        self.quotas.retain_silent(is_silent, now);
        let table = self.table.as_deref();
        self.quotas.tick(|workspace| quota_of(table, workspace), now);
        self.quotas.due_returns(|workspace| quota_of(table, workspace), now)
    }

    /// Returns the number of quotas that this VM keeps, and of those whose requests it refuses.
    pub fn kept_quotas(&self, now: Time) -> (usize, usize) {
        self.quotas.kept_count(now)
    }

    /// Returns the changes of quotas since the last call, oldest first.
    pub fn take_quota_changes(&mut self) -> Vec<QuotaChange> {
        self.quotas.take_changes()
    }

    fn quota_vms(&self, now: Time) -> Vec<QuotaVm> {
        let local = self.members.local();
        let peers = || self.members.peers().filter(|row| !row.leaving);
        let has_live_peer = peers().any(|row| row.region == local.region && self.is_live(&row.vm, now));
        // The last VM of a region keeps its quotas until it ends.
        let local = Some(local).filter(|local| !local.leaving || !has_live_peer);
        let is_live = |vm: &VmId| *vm == self.options.local.vm || self.is_live(vm, now);
        let rows = local.into_iter().chain(peers()).map(|row| QuotaVm {
            vm: row.vm.clone(),
            domain: row.domain.clone(),
            region: row.region.clone(),
            address: row.peer_listen,
            size: row.size.0,
            live: is_live(&row.vm),
        });
        rows.collect()
    }
}

impl QuotaOptions {
    /// Returns the options for a VM with the options of a [`Relay`]; quotas may not be exceeded.
    pub(crate) fn from_relay(options: &crate::Options) -> Self {
        Self {
            vm: options.local.vm.clone(),
            region: options.local.region.clone(),
            domains: options.domain_regions.clone(),
            overshoot: 0.0,
            expects_peers: false,
            started_at: options.started_at,
        }
    }
}

fn quota_of(table: Option<&RouteTable>, workspace: &WorkspaceId) -> Option<TokenQuota> {
    table?.workspaces.as_ref()?.get(workspace)?.quota
}
