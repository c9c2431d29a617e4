//! State machine fuzz test of the control cores: random faults at random times must
//! never give a key two owners.
//!
//! The oracle is [`ControlSimulation::overlaps`], for which the simulation asks every
//! upstream, on that upstream's own clock, whether it owns a key. After each sequence
//! all faults end, and every key must have an owner again.
//!
//! `GODWITLOOM_FUZZ_CASES` sets the number of sequences per test.

#[path = "common/fuzz.rs"]
mod fuzz;

use godwitloom::holder;
use godwitloom_standins::control_simulation::{
    ControlSimulation, Process, SimulationOptions, StoreMode,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::time::Duration;

const INSTANCES: usize = 5;
const UPSTREAMS: usize = 5;
const STEPS: usize = 60;
const DEFAULT_CASES: u32 = 60;

/// Simulated time before the first fault.
const STARTUP_TIME: Duration = Duration::from_secs(3);

/// Longest allowed time without an owner during a planned move of a range.
const MAX_MOVE_GAP: Duration = Duration::from_millis(100);

/// Simulated time after the last fault until every key must have an owner.
const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// Fault, end of a fault, or time that passes between faults.
#[derive(Clone, Debug)]
enum Fault {
    /// Milliseconds.
    Run(u64),
    Kill(Process),
    Restart(Process),
    Suspend(Process),
    Resume(Process),
    Partition(Process, Process),
    PartitionFromStore(usize),
    HealPartitions,
    SetStoreMode(StoreMode),
    SetLeaving(usize, bool),
}

fn process() -> impl Strategy<Value = Process> {
    prop_oneof![
        (0..INSTANCES).prop_map(Process::Instance),
        (0..UPSTREAMS).prop_map(Process::Upstream),
    ]
}

fn store_mode() -> impl Strategy<Value = StoreMode> {
    prop_oneof![
        Just(StoreMode::Up),
        Just(StoreMode::Down),
        Just(StoreMode::LosesResponses),
    ]
}

/// Options of one sequence's simulation; no fault depends on earlier ones.
#[derive(Clone, Debug)]
struct FaultModel {
    seed: u64,
    loss_permille: u32,
    checks_fences: bool,
}

impl ReferenceStateMachine for FaultModel {
    type State = FaultModel;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<FaultModel> {
        (any::<u64>(), prop_oneof![Just(0), Just(20)], any::<bool>())
            .prop_map(|(seed, loss_permille, checks_fences)| FaultModel {
                seed,
                loss_permille,
                checks_fences,
            })
            .boxed()
    }

    fn transitions(_: &FaultModel) -> BoxedStrategy<Fault> {
        prop_oneof![
            6 => (5u64..1500).prop_map(Fault::Run),
            2 => process().prop_map(Fault::Kill),
            3 => process().prop_map(Fault::Restart),
            2 => process().prop_map(Fault::Suspend),
            3 => process().prop_map(Fault::Resume),
            2 => (process(), process()).prop_map(|(one, other)| Fault::Partition(one, other)),
            1 => (0..INSTANCES).prop_map(Fault::PartitionFromStore),
            2 => Just(Fault::HealPartitions),
            2 => store_mode().prop_map(Fault::SetStoreMode),
            1 => (0..UPSTREAMS, any::<bool>())
                .prop_map(|(upstream, leaving)| Fault::SetLeaving(upstream, leaving)),
        ]
        .boxed()
    }

    fn apply(state: FaultModel, _: &Fault) -> FaultModel {
        state
    }
}

struct ControlTest;

impl StateMachineTest for ControlTest {
    type SystemUnderTest = ControlSimulation;
    type Reference = FaultModel;

    fn init_test(model: &FaultModel) -> ControlSimulation {
        let mut simulation = ControlSimulation::new(SimulationOptions {
            instances: INSTANCES,
            upstreams: UPSTREAMS,
            seed: model.seed,
            loss_permille: model.loss_permille,
            check: match model.checks_fences {
                true => holder::FenceCheck::Enforced,
                false => holder::FenceCheck::Absent,
            },
            ..SimulationOptions::default()
        });
        simulation.run(STARTUP_TIME);
        simulation
    }

    fn apply(mut simulation: ControlSimulation, _: &FaultModel, fault: Fault) -> ControlSimulation {
        match fault {
            Fault::Run(millis) => simulation.run(Duration::from_millis(millis)),
            Fault::Kill(process) => simulation.kill(process),
            Fault::Restart(process) => simulation.restart(process),
            Fault::Suspend(process) => simulation.suspend(process),
            Fault::Resume(process) => simulation.resume(process),
            Fault::Partition(one, other) => simulation.partition(one, other),
            Fault::PartitionFromStore(instance) => simulation.partition_from_store(instance),
            Fault::HealPartitions => simulation.heal_partitions(),
            Fault::SetStoreMode(mode) => simulation.set_store_mode(mode),
            Fault::SetLeaving(upstream, leaving) => simulation.set_leaving(upstream, leaving),
        }
        simulation
    }

    fn check_invariants(simulation: &ControlSimulation, _: &FaultModel) {
        assert_eq!(simulation.overlaps, [], "two upstreams owned one key");
    }

    fn teardown(mut simulation: ControlSimulation, _: FaultModel) {
        simulation.end_faults();
        simulation.run(RECOVERY_TIME);
        simulation.clear_gaps();
        simulation.run(Duration::from_secs(1));
        assert_eq!(simulation.overlaps, [], "two upstreams owned one key");
        let gap = simulation.longest_gap();
        assert!(
            gap <= MAX_MOVE_GAP,
            "keys have no owner after the recovery time\n{}",
            simulation.describe()
        );
    }
}

#[test]
fn faults_never_give_a_key_two_owners_1() {
    fuzz::run_sequences::<ControlTest>(1, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_2() {
    fuzz::run_sequences::<ControlTest>(2, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_3() {
    fuzz::run_sequences::<ControlTest>(3, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_4() {
    fuzz::run_sequences::<ControlTest>(4, STEPS, DEFAULT_CASES);
}
