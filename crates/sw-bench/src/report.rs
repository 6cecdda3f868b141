//! What a run measures.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{ClassProfile, Deployment, PolicyName, Scenario};

/// Longest time that a histogram holds, in milliseconds.
const MAX_MS: u64 = 600_000;
/// A request without a useful answer counts in the tail as this many times its deadline.
const MISSED_FACTOR: u64 = 2;

/// Figures of one class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub class: String,
    /// Requests that callers sent.
    pub offered: u64,
    /// Answered within the deadline.
    pub useful: u64,
    /// Answered after the deadline.
    pub late: u64,
    /// Refused for good.
    pub refused: u64,
    /// Times to the first token, in milliseconds: p50, p95 and p99.
    pub first_ms: [u64; 3],
    /// Times to the end: p50, p95 and p99; requests without a useful answer count with twice their deadline.
    pub end_ms: [u64; 3],
}

/// Figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The policy.
    pub policy: PolicyName,
    /// Figures by class.
    pub classes: Vec<ClassReport>,
    /// Price of all answers, in units of money.
    pub cost: f64,
    /// Price of an answer's worth: cost by worth of useful answers.
    pub cost_per_worth: f64,
    /// p99 of the time to the end, weighted by worth and share of each class, in milliseconds.
    pub weighted_tail_ms: f64,
    /// Worth of useful answers as a share of all worth offered.
    pub useful_worth: f64,
    /// Worth of useful answers a second.
    pub worth_per_s: f64,
    /// Share of answered requests that another region answered.
    pub remote: f64,
    /// Refusals on the way, repeats included.
    pub refusals: u64,
    /// Repeated attempts after a failure, as a share of the first attempts.
    pub retries: f64,
}

/// Collects the figures of one class.
#[derive(Debug)]
pub(crate) struct ClassRecord {
    plan: &'static ClassProfile,
    offered: u64,
    useful: u64,
    late: u64,
    refused: u64,
    first: Histogram<u64>,
    end: Histogram<u64>,
}

impl ClassRecord {
    pub(crate) fn new(plan: &'static ClassProfile) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_MS, 3).expect("the bounds are good");
        Self {
            plan,
            offered: 0,
            useful: 0,
            late: 0,
            refused: 0,
            first: histogram(),
            end: histogram(),
        }
    }

    pub(crate) fn offered(&mut self) {
        self.offered += 1;
    }

    pub(crate) fn first(&mut self, ms: u64) {
        self.first.saturating_record(ms.max(1));
    }

    pub(crate) fn ended(&mut self, ms: u64) {
        if ms <= self.plan.deadline.0 {
            self.useful += 1;
            self.end.saturating_record(ms.max(1));
        } else {
            self.late += 1;
            self.missed();
        }
    }

    pub(crate) fn refused(&mut self) {
        self.refused += 1;
        self.missed();
    }

    fn missed(&mut self) {
        self.end.saturating_record(self.plan.deadline.0 * MISSED_FACTOR);
    }

    /// Requests that have neither ended nor been refused.
    pub(crate) fn open(&self) -> u64 {
        self.offered - self.useful - self.late - self.refused
    }

    fn report(&self) -> ClassReport {
        let quantiles = |histogram: &Histogram<u64>| [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q));
        ClassReport {
            class: self.plan.name.to_owned(),
            offered: self.offered,
            useful: self.useful,
            late: self.late,
            refused: self.refused,
            first_ms: quantiles(&self.first),
            end_ms: quantiles(&self.end),
        }
    }
}

/// Totals of a run.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) cost: f64,
    pub(crate) answered: u64,
    pub(crate) remote: u64,
    pub(crate) refusals: u64,
    pub(crate) attempts: u64,
    pub(crate) retries: u64,
}

/// Makes the report of a run of `seconds`.
pub(crate) fn report(
    (deployment, scenario, policy): (Deployment, Scenario, PolicyName),
    records: &[ClassRecord],
    totals: &Totals,
    seconds: f64,
) -> Report {
    let classes: Vec<_> = records.iter().map(ClassRecord::report).collect();
    let plans = || classes.iter().zip(records.iter().map(|record| record.plan));
    let worth: f64 = plans().map(|(class, plan)| class.useful as f64 * plan.worth).sum();
    let offered: f64 = plans().map(|(class, plan)| class.offered as f64 * plan.worth).sum();
    let weights: f64 = plans().map(|(_, plan)| plan.worth * plan.share).sum();
    let tail: f64 = plans()
        .map(|(class, plan)| class.end_ms[2] as f64 * plan.worth * plan.share)
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
        remote: totals.remote as f64 / totals.answered.max(1) as f64,
        refusals: totals.refusals,
        retries: totals.retries as f64 / totals.attempts.max(1) as f64,
        classes,
    }
}
