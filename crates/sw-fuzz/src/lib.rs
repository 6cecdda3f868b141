//! What the stateful fuzz tests share: their configuration, and steps that do not depend on each other.
//!
//! The oracles live in the tests, beside the system under test, because they watch what it does rather than predict
//! it; so the reference machine only generates steps.

use std::fmt;
use std::marker::PhantomData;

use proptest::strategy::{BoxedStrategy, Just, Strategy as _};
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::ReferenceStateMachine;

const DEFAULT_CASES: u32 = 200;
const DEFAULT_SEED: u64 = 7;
const MAX_SHRINK_STEPS: u32 = 20_000;

/// The configuration of a run, with a fixed seed; `SHALLOTWING_FUZZ_CASES` and `SHALLOTWING_FUZZ_SEED` change it.
pub fn config() -> Config {
    Config {
        cases: number("SHALLOTWING_FUZZ_CASES").unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(number("SHALLOTWING_FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_STEPS,
        ..Config::default()
    }
}

fn number<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

/// A step of a fuzz test.
pub trait Step: Clone + fmt::Debug + 'static {
    /// Generates any step.
    fn any() -> BoxedStrategy<Self>;
}

/// Generates steps that do not depend on what went before.
#[derive(Debug)]
pub struct IndependentSteps<S> {
    step: PhantomData<S>,
}

impl<S: Step> ReferenceStateMachine for IndependentSteps<S> {
    type State = ();
    type Transition = S;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<S> {
        S::any()
    }

    fn apply((): (), _: &S) {}
}
