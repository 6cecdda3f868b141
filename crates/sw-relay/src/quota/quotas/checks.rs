//! Checks of keepers that do not respond to other VMs.

use sw_unit::{Millis, Time, Tokens, VmId, WorkspaceId};

use super::Quotas;
use crate::quota::{KeeperVm, QuotaTake};

/// Number of calls in a row to which a keeper must not respond to be replaced. A single one may be lost or late, and two
/// keepers that alternate each have a full bucket.
const MAX_FAILED_CHECKS: u32 = 3;
/// Time for [`MAX_FAILED_CHECKS`] calls with a timeout of 150 ms each, and 20 ms for their scheduling.
pub(super) const KEEPER_CHECK_TIME: Millis = Millis(470);

impl Quotas {
    /// Records that a VM does not respond as keeper, so that the next one takes its place.
    pub(super) fn mark_silent(&mut self, vm: &VmId, now: Time) {
        if *vm != self.options.vm {
            self.fleet.mark_silent(vm, now);
        }
    }

    /// Returns the keeper of a workspace and a call that finds out whether it responds; `None` if it is being checked already.
    ///
    /// The call is made when another VM asks this one, which is not the keeper. [`Quotas::on_keeper_checked`] follows.
    pub fn start_keeper_check(&mut self, workspace: &WorkspaceId, now: Time) -> Option<(KeeperVm, QuotaTake)> {
        let keeper = self.local_keeper(workspace, now)?;
        if keeper.vm == self.options.vm || self.checks.contains_key(&keeper.vm) {
            return None;
        }
        self.checks.insert(keeper.vm.clone(), 0);
        let take = QuotaTake {
            workspace: workspace.clone(),
            from: self.options.vm.clone(),
            needed: Tokens(0),
            wanted: Tokens(0),
            returned: Tokens(0),
            refused: Tokens(0),
        };
        Some((keeper, take))
    }

    /// Records whether a keeper that is being checked has responded, and returns whether the call is to be made again.
    pub fn on_keeper_checked(&mut self, vm: &VmId, has_responded: bool, now: Time) -> bool {
        let Some(failed) = self.checks.get_mut(vm) else {
            return false;
        };
        *failed += 1;
        let is_silent = !has_responded && *failed >= MAX_FAILED_CHECKS;
        if is_silent {
            self.mark_silent(vm, now);
        }
        if has_responded || is_silent {
            self.checks.swap_remove(vm);
            return false;
        }
        true
    }
}
