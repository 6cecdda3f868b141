//! Changes of the quotas at one VM, for the log.

use sw_unit::{Time, WorkspaceId};

use super::Quotas;

/// Maximum number of changes that are kept for logging.
const MAX_CHANGES: usize = 64;

/// A change to log.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaChange {
    /// This VM became the keeper of a workspace's quota.
    KeeperStarted(WorkspaceId),
    /// A workspace exceeds its quota in this region.
    Limited(WorkspaceId),
    /// A workspace no longer exceeds its quota in this region.
    NotLimited(WorkspaceId),
    /// The rates in tokens per second that this region has borrowed and lent.
    Loans {
        /// The workspace.
        workspace: WorkspaceId,
        /// What it has borrowed.
        borrowed: u64,
        /// What it has lent.
        lent: u64,
    },
}

impl Quotas {
    /// Returns the changes since the last call, oldest first; beyond a maximum, later ones are left out.
    pub fn take_changes(&mut self) -> Vec<QuotaChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records what has changed at a keeper since it was last called.
    pub(super) fn record_changes(&mut self, workspace: &WorkspaceId, now: Time) {
        let Some(kept) = self.kept.get_mut(workspace) else {
            return;
        };
        let is_limited = kept.keeper.is_limited(now);
        let was_limited = std::mem::replace(&mut kept.was_limited, is_limited);
        let (borrowed, lent) = kept.keeper.loans(now);
        let loans = (borrowed.0 > 0.0, lent.0 > 0.0);
        let loans_before = std::mem::replace(&mut kept.had_loans, loans);
        if is_limited && !was_limited {
            self.push_change(QuotaChange::Limited(workspace.clone()));
        }
        if was_limited && !is_limited {
            self.push_change(QuotaChange::NotLimited(workspace.clone()));
        }
        if loans != loans_before {
            self.push_change(QuotaChange::Loans {
                workspace: workspace.clone(),
                borrowed: borrowed.0 as u64,
                lent: lent.0 as u64,
            });
        }
    }

    pub(super) fn push_change(&mut self, change: QuotaChange) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(change);
        }
    }
}
