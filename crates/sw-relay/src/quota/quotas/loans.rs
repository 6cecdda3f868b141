//! Loans between the keepers of different regions.

use indexmap::IndexMap;
use sw_unit::{RegionId, Time, Tokens, VmId, WorkspaceId};

use super::Quotas;
use crate::TokenQuota;
use crate::quota::{Borrower, LOAN_DURATION, LoanReply, LoanRequest, QuotaLoan, QuotaVm};

impl Quotas {
    /// Lends rate to another region.
    pub fn lend(
        &mut self,
        borrower: &Borrower,
        asked: &[QuotaLoan],
        quota_of: impl Fn(&WorkspaceId) -> Option<TokenQuota>,
        now: Time,
    ) -> LoanReply {
        let mut reply = LoanReply::default();
        if borrower.region == self.options.region {
            return reply;
        }
        for loan in asked {
            let Some(quota) = quota_of(&loan.workspace) else {
                continue;
            };
            let Some(kept) = self.serving_keeper(&loan.workspace, quota, now) else {
                continue;
            };
            reply.held.push(QuotaLoan {
                workspace: loan.workspace.clone(),
                rate: kept.keeper.give_back(&borrower.region, now),
                burst: Tokens(0),
                lasts: LOAN_DURATION,
            });
            reply.lent.push(kept.keeper.lend(borrower, loan, now));
            self.record_changes(&loan.workspace, now);
        }
        reply
    }

    /// Returns the loans to ask other regions for, of all workspaces or of `only` one.
    pub fn due_loans(&mut self, only: Option<&WorkspaceId>, now: Time) -> Vec<LoanRequest> {
        let regions = self.options.other_regions();
        let mut requests: IndexMap<(&RegionId, &QuotaVm), Vec<QuotaLoan>> = IndexMap::new();
        let kept = match only {
            Some(workspace) => self.kept.get_full_mut(workspace).map(|(i, ..)| i..i + 1),
            None => Some(0..self.kept.len()),
        };
        let kept = kept.and_then(|range| self.kept.get_range_mut(range));
        for (workspace, kept) in kept.into_iter().flatten() {
            let Some(asked) = kept.keeper.due_loans(regions.iter().copied(), now) else {
                continue;
            };
            for (region, rate) in asked {
                let Some(keeper) = self.fleet.keeper(workspace, region) else {
                    continue;
                };
                requests.entry((region, keeper)).or_default().push(QuotaLoan {
                    workspace: workspace.clone(),
                    rate,
                    burst: kept.keeper.burst_for(rate, now),
                    lasts: LOAN_DURATION,
                });
            }
        }
        self.loan_sequence += u64::from(!requests.is_empty());
        let borrower = Borrower {
            region: self.options.region.clone(),
            vm: self.options.vm.clone(),
            sequence: self.loan_sequence,
        };
        let requests = requests.into_iter().map(|((region, keeper), asked)| LoanRequest {
            region: region.clone(),
            keeper: keeper.into(),
            borrower: borrower.clone(),
            asked,
        });
        requests.collect()
    }

    /// Records the loans that the keeper `vm` of `region` gave in reply to a call that was made at `asked_at`.
    pub fn on_loans(&mut self, region: &RegionId, vm: &VmId, reply: &LoanReply, asked_at: Time, now: Time) {
        for held in &reply.held {
            if let Some(kept) = self.kept.get_mut(&held.workspace) {
                kept.keeper.on_held(region, vm, held.rate, asked_at, now);
            }
        }
        for loan in &reply.lent {
            if let Some(kept) = self.kept.get_mut(&loan.workspace) {
                kept.keeper.on_lent(region, loan, asked_at, now);
                self.record_changes(&loan.workspace, now);
            }
        }
    }
}
