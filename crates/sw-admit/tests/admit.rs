//! Quotas, load shedding and the retry budget.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sw_admit::{LoadShedder, QuotaShare, Quotas, RetryBudget, retry_after};
use sw_error::Kind;
use sw_unit::{Millis, Rate, Time, Weight};

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    #[test]
    fn quotas_are_enforced_and_retry_after_is_accurate(gaps in prop::collection::vec(0..400_u64, 1..200), rate in 1..20_u32) {
        let (mut quotas, mut now, mut taken) = (Quotas::default(), Time(0), 0.0);
        let workspace = "w".parse().unwrap();
        let rate = Rate(f64::from(rate));
        let share = QuotaShare { divisor: 2.0 };
        for gap in gaps {
            now = now + Millis(gap);
            match quotas.take(&workspace, rate, share, now) {
                Ok(()) => taken += 1.0,
                Err(refusal) => {
                    prop_assert_eq!(refusal.kind, Kind::QuotaExceeded);
                    let retry_at = now + refusal.retry_after.unwrap();
                    prop_assert!(quotas.clone().take(&workspace, rate, share, retry_at).is_ok());
                }
            }
            let allowed = (rate.0 / 2.0 * 2.0).max(1.0) + now.0 as f64 / 1_000.0 * rate.0 / 2.0;
            prop_assert!(taken <= allowed + 1e-6, "{} of {}", taken, allowed);
        }
    }

    #[test]
    fn retries_are_limited_to_a_tenth_of_first_attempts(attempts in prop::collection::vec(any::<bool>(), 0..500)) {
        let mut budget = RetryBudget::default();
        let (mut first, mut retries) = (0.0, 0.0);
        for retry in attempts {
            if retry {
                retries += f64::from(u8::from(budget.withdraw()));
            } else {
                budget.deposit();
                first += 1.0;
            }
            prop_assert!(retries <= 1.0 + first * 0.1 + 1e-9);
        }
    }
}

#[test]
fn requests_of_higher_worth_may_wait_longer() {
    let mut shedder = LoadShedder::default();
    let (service, remaining) = (Millis(1_000), Millis(5_000));
    assert!(shedder.admit(Weight(4.0), Millis(3_500), service, remaining).is_ok());
    let refusal = shedder
        .admit(Weight(1.0), Millis(3_500), service, remaining)
        .unwrap_err();
    assert_eq!(refusal.kind, Kind::Overloaded);
    assert!(shedder.admit(Weight(1.0), Millis(2_000), service, remaining).is_ok());
    let refusal = shedder
        .admit(Weight(4.0), Millis(4_500), service, remaining)
        .unwrap_err();
    assert_eq!(refusal.kind, Kind::DeadlineUnreachable);
}

#[test]
fn retry_after_has_jitter() {
    let times: Vec<_> = (0..100)
        .map(|step| retry_after(Millis(1_000), f64::from(step) / 100.0).0)
        .collect();
    assert_eq!((times[0], times[99]), (1_000, 2_485));
    assert_eq!(retry_after(Millis(0), 0.0), Millis(100));
}
