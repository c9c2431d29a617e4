//! Runs sequences of a state machine test from a fixed seed.
//!
//! `GODWITLOOM_FUZZ_CASES` sets the number of sequences,
//! `GODWITLOOM_FUZZ_SHRINKS` the steps of shrinking.

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

fn number(variable: &str, default: u32) -> u32 {
    let text = std::env::var(variable);
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// Runs the sequences of `steps` steps that follow from `seed`.
pub fn run_sequences<T>(seed: u64, steps: usize, default_cases: u32)
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: Clone + std::fmt::Debug,
    <T::Reference as ReferenceStateMachine>::Transition: Clone + std::fmt::Debug,
{
    let config = Config {
        cases: number("GODWITLOOM_FUZZ_CASES", default_cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: number("GODWITLOOM_FUZZ_SHRINKS", 0),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = T::Reference::sequential_strategy(steps..=steps);
    let result = runner.run(&strategy, |(model, transitions, counter)| {
        T::test_sequential(Config::default(), model, transitions, counter);
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
}
