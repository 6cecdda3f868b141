//! The `bench` command.

use clap::Args;
use strum::IntoEnumIterator as _;
use sw_bench::{Deployment, PolicyName, Report, Scenario, run};
use sw_unit::Millis;

use crate::output::print;

/// Compare the routing policy with baselines, on simulated engines and a simulated clock.
#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  shallotwing bench\n  shallotwing bench --scenario overload2 --seconds 120 --json")]
pub(crate) struct Bench {
    /// Run only this scenario.
    #[arg(long)]
    scenario: Option<Scenario>,
    /// Run only this deployment.
    #[arg(long)]
    deployment: Option<Deployment>,
    /// Run only this policy.
    #[arg(long)]
    policy: Option<PolicyName>,
    /// Simulated time in seconds.
    #[arg(long, default_value_t = 90)]
    seconds: u64,
    /// Random seed; the same seed gives the same results.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

impl Bench {
    pub(crate) fn run(&self, json: bool) {
        let mut reports = Vec::new();
        for deployment in Deployment::iter().filter(|deployment| self.deployment.is_none_or(|only| only == *deployment))
        {
            for scenario in Scenario::iter().filter(|scenario| self.scenario.is_none_or(|only| only == *scenario)) {
                for policy in PolicyName::iter().filter(|policy| self.policy.is_none_or(|only| only == *policy)) {
                    reports.push(run(
                        deployment,
                        scenario,
                        policy,
                        Millis(self.seconds * 1_000),
                        self.seed,
                    ));
                }
            }
        }
        print(json, &reports, |reports| table(reports));
    }
}

/// Formats reports as a Markdown table.
///
/// Cost, tail and worth per second are ratios to the `weighted` policy, which the daemon uses, in the same scenario.
fn table(reports: &[Report]) -> String {
    let mut lines = vec![
        "| deployment | scenario | policy | cost by worth | weighted tail | useful worth | worth/s | remote | refusals |"
            .to_owned(),
        "|---|---|---|---|---|---|---|---|---|".to_owned(),
    ];
    for report in reports {
        let is_baseline = |other: &&Report| {
            other.deployment == report.deployment
                && other.scenario == report.scenario
                && other.policy == PolicyName::Weighted
        };
        let baseline = reports.iter().find(is_baseline).unwrap_or(report);
        lines.push(format!(
            "| {} | {} | {} | {:.2} | {:.2} | {:.3} | {:.2} | {:.2} | {} |",
            report.deployment,
            report.scenario,
            report.policy,
            report.cost_per_worth / baseline.cost_per_worth,
            report.weighted_tail_ms / baseline.weighted_tail_ms,
            report.useful_worth,
            report.worth_per_s / baseline.worth_per_s,
            report.remote,
            report.refusals,
        ));
    }
    lines.join("\n")
}
