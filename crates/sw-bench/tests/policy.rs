//! The daemon's policy against the baselines, with a fixed seed and a simulated clock.

use strum::IntoEnumIterator as _;
use sw_bench::{Deployment, PolicyName, Report, Scenario, run};
use sw_unit::Millis;

const LENGTH: Millis = Millis(60_000);
const SEED: u64 = 7;

fn report(deployment: Deployment, scenario: Scenario, policy: PolicyName) -> Report {
    run(deployment, scenario, policy, LENGTH, SEED)
}

#[test]
fn same_seed_gives_the_same_report() {
    let text = || serde_json::to_string(&report(Deployment::RaviNoor, Scenario::Lost, PolicyName::Weighted)).unwrap();
    assert_eq!(text(), text());
}

#[test]
fn useful_worth_under_overload_exceeds_every_baseline() {
    for deployment in Deployment::iter() {
        for scenario in [Scenario::Overload2, Scenario::Overload5] {
            let weighted = report(deployment, scenario, PolicyName::Weighted);
            for policy in PolicyName::iter().filter(|policy| *policy != PolicyName::Weighted) {
                let baseline = report(deployment, scenario, policy);
                assert!(
                    weighted.useful_worth > baseline.useful_worth,
                    "{deployment} {scenario} {policy}"
                );
            }
        }
    }
}

#[test]
fn goodput_at_twice_the_capacity_is_close_to_that_at_capacity() {
    for deployment in Deployment::iter() {
        let goodput = |scenario| report(deployment, scenario, PolicyName::Weighted).worth_per_s;
        let (capacity, overload) = (goodput(Scenario::Capacity), goodput(Scenario::Overload2));
        assert!(overload >= 0.95 * capacity, "{deployment}: {overload} of {capacity}");
    }
}

#[test]
fn retries_stay_within_a_tenth_during_an_outage_of_the_local_region() {
    for deployment in Deployment::iter() {
        let outage = report(deployment, Scenario::Lost, PolicyName::Weighted);
        assert!(outage.retries <= 0.1, "{deployment}: {}", outage.retries);
        assert!(outage.useful_worth >= 0.9, "{deployment}: {}", outage.useful_worth);
    }
}

#[test]
fn steady_load_is_served_without_refusals_and_mostly_locally() {
    let report = report(Deployment::Oplatex, Scenario::Steady, PolicyName::Weighted);
    assert_eq!(report.refusals, 0);
    assert!(report.remote < 0.15, "{}", report.remote);
}
