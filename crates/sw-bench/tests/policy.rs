//! The policy against its baselines, with fixed seeds on the simulated clock.

use strum::IntoEnumIterator as _;
use sw_bench::{Deployment, PolicyName, Report, Scenario, run};
use sw_unit::Millis;

const LENGTH: Millis = Millis(60_000);
const SEED: u64 = 7;

fn report(deployment: Deployment, scenario: Scenario, policy: PolicyName) -> Report {
    run(deployment, scenario, policy, LENGTH, SEED)
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let text = || serde_json::to_string(&report(Deployment::RaviNoor, Scenario::Lost, PolicyName::Weighted)).unwrap();
    assert_eq!(text(), text());
}

#[test]
fn under_overload_more_worth_is_useful_than_with_any_baseline() {
    for deployment in Deployment::iter() {
        for scenario in [Scenario::Overload2, Scenario::Overload5] {
            let ours = report(deployment, scenario, PolicyName::Weighted);
            for policy in PolicyName::iter().filter(|policy| *policy != PolicyName::Weighted) {
                let theirs = report(deployment, scenario, policy);
                assert!(
                    ours.useful_worth > theirs.useful_worth,
                    "{deployment} {scenario} {policy}"
                );
            }
        }
    }
}

#[test]
fn goodput_at_twice_the_capacity_is_that_at_capacity() {
    for deployment in Deployment::iter() {
        let goodput = |scenario| report(deployment, scenario, PolicyName::Weighted).worth_per_s;
        let (capacity, overload) = (goodput(Scenario::Capacity), goodput(Scenario::Overload2));
        assert!(overload >= 0.95 * capacity, "{deployment}: {overload} of {capacity}");
    }
}

#[test]
fn retries_stay_within_a_tenth_while_a_region_is_lost() {
    for deployment in Deployment::iter() {
        let lost = report(deployment, Scenario::Lost, PolicyName::Weighted);
        assert!(lost.retries <= 0.1, "{deployment}: {}", lost.retries);
        assert!(lost.useful_worth >= 0.9, "{deployment}: {}", lost.useful_worth);
    }
}

#[test]
fn in_steady_load_nothing_is_refused_and_little_leaves_the_region() {
    let report = report(Deployment::Oplatex, Scenario::Steady, PolicyName::Weighted);
    assert_eq!(report.refusals, 0);
    assert!(report.remote < 0.15, "{}", report.remote);
}
