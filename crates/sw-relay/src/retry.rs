//! How often requests may be sent once more.
//!
//! All VMs together are allowed a share of a service's requests and some more. Each VM takes the share of its own
//! requests, saves up what those of the last seconds earned, and has a part of the rest.

use sw_admit::RetryBudget;
use sw_unit::{Millis, Time};

use crate::{AdmittedRequest, AttemptHistory, AttemptOutcome, Relay, ServiceId};

/// Share of the retries that all VMs together are allowed that they plan to use, so that views that differ do not
/// add up to too many.
const RETRY_SAFETY: f64 = 0.5;
/// Span whose requests earn the retries that may be saved up; shorter than the window in which retries are counted.
const RETRY_SPAN: Millis = Millis(5_000);
/// Sends of one request, those that endpoints rejected included.
const MAX_SENDS: u32 = 4;

/// A count of requests that forgets older ones.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Recent {
    requests: f64,
    at: Time,
}

impl Recent {
    fn add(&mut self, now: Time) {
        let age = now.since(self.at).0 as f64;
        self.requests = self.requests * (-age / RETRY_SPAN.0 as f64).exp() + 1.0;
        self.at = now;
    }
}

impl Relay {
    /// Changes the bounds of retries of all VMs together.
    pub fn set_retry_bounds(&mut self, ratio: f64, slack: f64) {
        self.options.retry_ratio = ratio;
        self.options.retry_slack = slack;
        self.budgets.clear();
    }

    /// Whether a request may be sent once more; takes it out of the budget if the last send arrived somewhere.
    pub fn withdraw_retry(&mut self, admitted: &AdmittedRequest, tried: &AttemptHistory) -> bool {
        let runs_left = tried.possible_runs() < admitted.max_attempts && tried.sends() < MAX_SENDS;
        let repeatable = !tried.may_have_run() || admitted.route.kind.is_repeatable();
        let free = tried.last_outcome().is_some_and(AttemptOutcome::not_arrived);
        runs_left && repeatable && (free || self.budget(&admitted.service).withdraw())
    }

    /// Counts a request of a caller, which earns a share of a retry.
    pub(crate) fn deposit_retries(&mut self, service: &ServiceId, received: Time) {
        self.recent.entry(service.clone()).or_default().add(received);
        self.budget(service).deposit();
    }

    fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let vms = self.members.known_count() as f64;
        let share = self.options.retry_ratio * RETRY_SAFETY;
        let recent = self.recent.get(service).map_or(0.0, |recent| recent.requests);
        let saved = self.options.retry_slack * RETRY_SAFETY / vms + share * recent;
        let new = || RetryBudget::new(share, saved.max(1.0));
        let budget = self.budgets.entry(service.clone()).or_insert_with(new);
        budget.set_max_balance(saved.max(1.0));
        budget
    }
}
