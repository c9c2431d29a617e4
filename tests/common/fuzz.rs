//! Runs a state machine test with sequences of transitions generated from a fixed seed.
//!
//! Environment variables: `GODWITLOOM_FUZZ_CASES` sets the number of sequences,
//! `GODWITLOOM_FUZZ_SHRINKS` the most iterations that shrink a failing one (default 0).

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

fn read_variable(variable: &str, default: u32) -> u32 {
    let text = std::env::var(variable);
    text.map_or(default, |text| {
        text.parse()
            .expect("environment variable is a whole number")
    })
}

/// Runs generated sequences, of `steps` transitions each; panics at the first failure.
///
/// `default_cases` is the number of sequences if the environment sets none.
pub fn run_sequences<T>(seed: u64, steps: usize, default_cases: u32)
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: Clone + std::fmt::Debug,
    <T::Reference as ReferenceStateMachine>::Transition: Clone + std::fmt::Debug,
{
    let config = Config {
        cases: read_variable("GODWITLOOM_FUZZ_CASES", default_cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: read_variable("GODWITLOOM_FUZZ_SHRINKS", 0),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = T::Reference::sequential_strategy(steps..=steps);
    let result = runner.run(&strategy, |(initial_state, transitions, seen_counter)| {
        T::test_sequential(Config::default(), initial_state, transitions, seen_counter);
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
}
