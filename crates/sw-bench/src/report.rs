//! Results of a run.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{ClassProfile, Deployment, PolicyName, Scenario};

/// Longest time that histograms distinguish, in milliseconds.
const MAX_MS: u64 = 600_000;
/// Requests without a useful response are recorded in the latency histogram with this multiple of their deadline.
const MISSED_FACTOR: u64 = 2;

/// Results for one class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Requests sent by callers.
    pub offered: u64,
    /// Responses completed within the deadline.
    pub useful: u64,
    /// Responses completed after the deadline.
    pub late: u64,
    /// Requests that were refused and not sent again.
    pub refused: u64,
    /// Time to the first token in milliseconds: p50, p95 and p99.
    pub first_ms: [u64; 3],
    /// Time to completion in milliseconds: p50, p95 and p99. Requests without a useful response count as twice their
    /// deadline.
    pub end_ms: [u64; 3],
}

/// Results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The policy.
    pub policy: PolicyName,
    /// Results by class.
    pub classes: Vec<ClassReport>,
    /// Cost of all dispatched requests, in units of money.
    pub cost: f64,
    /// Cost per worth of useful responses.
    pub cost_per_worth: f64,
    /// p99 of the time to completion in milliseconds, averaged over classes by worth and share of requests.
    pub weighted_tail_ms: f64,
    /// Worth of useful responses as a share of the worth of all requests.
    pub useful_worth: f64,
    /// Worth of useful responses per second.
    pub worth_per_s: f64,
    /// Share of dispatches that went to a remote region.
    pub remote: f64,
    /// Refusals, including those of requests that were sent again.
    pub refusals: u64,
    /// Retries after a failure, as a share of admitted requests.
    pub retries: f64,
}

/// Collects the results of one class.
#[derive(Debug)]
pub(crate) struct ClassRecord {
    profile: &'static ClassProfile,
    offered: u64,
    useful: u64,
    late: u64,
    refused: u64,
    first_token_ms: Histogram<u64>,
    completion_ms: Histogram<u64>,
}

impl ClassRecord {
    pub(crate) fn new(profile: &'static ClassProfile) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_MS, 3).expect("the bounds are valid");
        Self {
            profile,
            offered: 0,
            useful: 0,
            late: 0,
            refused: 0,
            first_token_ms: histogram(),
            completion_ms: histogram(),
        }
    }

    pub(crate) fn record_request(&mut self) {
        self.offered += 1;
    }

    pub(crate) fn record_first_token(&mut self, ms: u64) {
        self.first_token_ms.saturating_record(ms.max(1));
    }

    pub(crate) fn record_completion(&mut self, ms: u64) {
        if ms <= self.profile.deadline.0 {
            self.useful += 1;
            self.completion_ms.saturating_record(ms.max(1));
        } else {
            self.late += 1;
            self.record_miss();
        }
    }

    pub(crate) fn record_refusal(&mut self) {
        self.refused += 1;
        self.record_miss();
    }

    fn record_miss(&mut self) {
        self.completion_ms
            .saturating_record(self.profile.deadline.0 * MISSED_FACTOR);
    }

    /// Returns the number of requests that have neither completed nor been refused.
    pub(crate) fn pending(&self) -> u64 {
        self.offered - self.useful - self.late - self.refused
    }

    fn report(&self) -> ClassReport {
        let quantiles = |histogram: &Histogram<u64>| [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q));
        ClassReport {
            class: self.profile.name.to_owned(),
            offered: self.offered,
            useful: self.useful,
            late: self.late,
            refused: self.refused,
            first_ms: quantiles(&self.first_token_ms),
            end_ms: quantiles(&self.completion_ms),
        }
    }
}

/// Totals over all classes of a run.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) cost: f64,
    pub(crate) dispatched: u64,
    pub(crate) remote: u64,
    pub(crate) refusals: u64,
    pub(crate) admitted: u64,
    pub(crate) retries: u64,
}

/// Returns the report of a run of `seconds`.
pub(crate) fn report(
    (deployment, scenario, policy): (Deployment, Scenario, PolicyName),
    records: &[ClassRecord],
    totals: &Totals,
    seconds: f64,
) -> Report {
    let classes: Vec<_> = records.iter().map(ClassRecord::report).collect();
    let profiles = || classes.iter().zip(records.iter().map(|record| record.profile));
    let worth: f64 = profiles()
        .map(|(class, profile)| class.useful as f64 * profile.worth)
        .sum();
    let offered: f64 = profiles()
        .map(|(class, profile)| class.offered as f64 * profile.worth)
        .sum();
    let weights: f64 = profiles().map(|(_, profile)| profile.worth * profile.share).sum();
    let tail: f64 = profiles()
        .map(|(class, profile)| class.end_ms[2] as f64 * profile.worth * profile.share)
        .sum();
    Report {
        deployment,
        scenario,
        policy,
        cost: totals.cost,
        cost_per_worth: totals.cost / worth.max(1.0),
        weighted_tail_ms: tail / weights,
        useful_worth: worth / offered.max(1.0),
        worth_per_s: worth / seconds,
        remote: totals.remote as f64 / totals.dispatched.max(1) as f64,
        refusals: totals.refusals,
        retries: totals.retries as f64 / totals.admitted.max(1) as f64,
        classes,
    }
}
