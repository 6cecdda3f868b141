//! Configuration and step generation shared by the stateful fuzz tests.
//!
//! The tests check invariants on the system under test as it runs; they do not compare it with a model that predicts its
//! behaviour. The reference state machine therefore has no state and only generates steps.

use std::fmt;
use std::marker::PhantomData;

use proptest::strategy::{BoxedStrategy, Just, Strategy as _};
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::ReferenceStateMachine;

const DEFAULT_CASES: u32 = 200;
const DEFAULT_SEED: u64 = 7;
const MAX_SHRINK_STEPS: u32 = 20_000;

/// Returns the configuration of a run, with a fixed seed.
///
/// The environment variables `SHALLOTWING_FUZZ_CASES` and `SHALLOTWING_FUZZ_SEED` override the number of cases and the
/// seed.
pub fn config() -> Config {
    Config {
        cases: env_number("SHALLOTWING_FUZZ_CASES").unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(env_number("SHALLOTWING_FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_STEPS,
        ..Config::default()
    }
}

fn env_number<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

/// Step of a fuzz test.
pub trait Step: Clone + fmt::Debug + 'static {
    /// Returns a strategy that generates any step.
    fn any() -> BoxedStrategy<Self>;
}

/// Generates steps that do not depend on earlier steps.
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
