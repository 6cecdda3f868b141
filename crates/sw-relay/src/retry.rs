//! Retry budget.
//!
//! The retries of all VMs together are bounded by a ratio of a service's requests plus a fixed slack. Each VM budgets
//! the ratio of the requests that it received itself, may save up what those of the last seconds deposited, and gets
//! an equal part of the slack.

use sw_admit::RetryBudget;
use sw_unit::{Millis, Time};

use crate::{AdmittedRequest, AttemptHistory, AttemptOutcome, Relay, ServiceId};

/// Share of the allowed retries that the VMs plan to use, so that their sum stays within the bound even if their views
/// of the membership differ.
const RETRY_SAFETY: f64 = 0.5;
/// Time constant of the request count that bounds the saved retries; shorter than the window in which retries are
/// counted.
const RETRY_SPAN: Millis = Millis(5_000);
/// Maximum number of attempts of one request, including those that were rejected or sent nothing.
const MAX_SENDS: u32 = 4;

/// Exponentially decaying count of requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RecentRequests {
    count: f64,
    updated_at: Time,
}

impl RecentRequests {
    fn add(&mut self, now: Time) {
        let age = now.since(self.updated_at).0 as f64;
        self.count = self.count * (-age / RETRY_SPAN.0 as f64).exp() + 1.0;
        self.updated_at = now;
    }
}

/// Returns whether another attempt is permitted, whatever the budget.
fn may_repeat(admitted: &AdmittedRequest, history: &AttemptHistory) -> bool {
    let has_runs_left = history.possible_runs() < admitted.max_attempts && history.sends() < MAX_SENDS;
    let is_repeatable = !history.may_have_run() || admitted.route.kind.is_repeatable();
    has_runs_left && is_repeatable
}

/// Returns whether another attempt costs nothing, because the last one cannot have reached an endpoint.
fn is_free(history: &AttemptHistory) -> bool {
    history.last_outcome().is_some_and(AttemptOutcome::not_arrived)
}

impl Relay {
    /// Sets the bounds on the retries of all VMs together.
    pub fn set_retry_bounds(&mut self, ratio: f64, slack: f64) {
        self.options.retry_ratio = ratio;
        self.options.retry_slack = slack;
    }

    /// Returns whether a request may be sent again. If so, a retry is withdrawn from the budget, unless the last
    /// attempt cannot have reached an endpoint.
    pub fn withdraw_retry(&mut self, admitted: &AdmittedRequest, history: &AttemptHistory) -> bool {
        may_repeat(admitted, history) && (is_free(history) || self.budget(&admitted.service).withdraw())
    }

    /// Returns whether a request may be sent again, without a withdrawal.
    pub fn has_retry(&mut self, admitted: &AdmittedRequest, history: &AttemptHistory) -> bool {
        may_repeat(admitted, history) && (is_free(history) || self.budget(&admitted.service).has_retry())
    }

    /// Counts a request from a caller, which deposits a fraction of a retry in the budget.
    pub(crate) fn deposit_retries(&mut self, service: &ServiceId, received_at: Time) {
        self.recent_requests
            .entry(service.clone())
            .or_default()
            .add(received_at);
        self.budget(service).deposit();
    }

    fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let vms = self.members.known_count() as f64;
        let share = self.options.retry_ratio * RETRY_SAFETY;
        let recent = self.recent_requests.get(service).map_or(0.0, |recent| recent.count);
        let max_balance = self.options.retry_slack * RETRY_SAFETY / vms + share * recent;
        let new = || RetryBudget::new(share, max_balance.max(1.0));
        let budget = self.budgets.entry(service.clone()).or_insert_with(new);
        budget.set_ratio(share);
        budget.set_max_balance(max_balance.max(1.0));
        budget
    }
}
