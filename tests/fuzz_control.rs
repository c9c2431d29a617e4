//! Stateful fuzzing of ownership: any faults at any moment, one owner per key.
//!
//! The oracle is [`ControlSimulation::overlaps`]: it asks every server, on that server's
//! own clock, whether it holds itself to be the owner of a key. After each
//! sequence all faults end, and every key must be served again.
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
const SERVERS: usize = 5;
const STEPS: usize = 60;
const DEFAULT_CASES: u32 = 60;
const START: Duration = Duration::from_secs(3);

/// Longest time without an owner while a range is moved as planned.
const MOVE_GAP: Duration = Duration::from_millis(100);

const RECOVERY: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
enum Fault {
    Run(u64),
    Kill(Process),
    Restart(Process),
    Freeze(Process),
    Thaw(Process),
    Cut(Process, Process),
    CutStore(usize),
    Heal,
    Store(StoreMode),
    Leaving(usize, bool),
}

fn process() -> impl Strategy<Value = Process> {
    prop_oneof![
        (0..INSTANCES).prop_map(Process::Instance),
        (0..SERVERS).prop_map(Process::Upstream),
    ]
}

fn store_mode() -> impl Strategy<Value = StoreMode> {
    prop_oneof![
        Just(StoreMode::Up),
        Just(StoreMode::Down),
        Just(StoreMode::LosesResponses),
    ]
}

/// Seed and fence checks of one sequence; faults need no further model.
#[derive(Clone, Debug)]
struct FaultModel {
    seed: u64,
    loss_permille: u32,
    checked: bool,
}

impl ReferenceStateMachine for FaultModel {
    type State = FaultModel;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<FaultModel> {
        (any::<u64>(), prop_oneof![Just(0), Just(20)], any::<bool>())
            .prop_map(|(seed, loss_permille, checked)| FaultModel {
                seed,
                loss_permille,
                checked,
            })
            .boxed()
    }

    fn transitions(_: &FaultModel) -> BoxedStrategy<Fault> {
        prop_oneof![
            6 => (5u64..1500).prop_map(Fault::Run),
            2 => process().prop_map(Fault::Kill),
            3 => process().prop_map(Fault::Restart),
            2 => process().prop_map(Fault::Freeze),
            3 => process().prop_map(Fault::Thaw),
            2 => (process(), process()).prop_map(|(one, other)| Fault::Cut(one, other)),
            1 => (0..INSTANCES).prop_map(Fault::CutStore),
            2 => Just(Fault::Heal),
            2 => store_mode().prop_map(Fault::Store),
            1 => (0..SERVERS, any::<bool>()).prop_map(|(s, leaving)| Fault::Leaving(s, leaving)),
        ]
        .boxed()
    }

    fn apply(state: FaultModel, _: &Fault) -> FaultModel {
        state
    }
}

struct OwnershipTest;

impl StateMachineTest for OwnershipTest {
    type SystemUnderTest = ControlSimulation;
    type Reference = FaultModel;

    fn init_test(model: &FaultModel) -> ControlSimulation {
        let mut world = ControlSimulation::new(SimulationOptions {
            instances: INSTANCES,
            upstreams: SERVERS,
            seed: model.seed,
            loss_permille: model.loss_permille,
            check: match model.checked {
                true => holder::FenceCheck::Enforced,
                false => holder::FenceCheck::Absent,
            },
            ..SimulationOptions::default()
        });
        world.run(START);
        world
    }

    fn apply(mut world: ControlSimulation, _: &FaultModel, fault: Fault) -> ControlSimulation {
        match fault {
            Fault::Run(millis) => world.run(Duration::from_millis(millis)),
            Fault::Kill(process) => world.kill(process),
            Fault::Restart(process) => world.restart(process),
            Fault::Freeze(process) => world.suspend(process),
            Fault::Thaw(process) => world.resume(process),
            Fault::Cut(one, other) => world.partition(one, other),
            Fault::CutStore(instance) => world.partition_from_store(instance),
            Fault::Heal => world.heal_partitions(),
            Fault::Store(mode) => world.set_store_mode(mode),
            Fault::Leaving(server, leaving) => world.set_leaving(server, leaving),
        }
        world
    }

    fn check_invariants(world: &ControlSimulation, _: &FaultModel) {
        assert_eq!(world.overlaps, [], "two servers owned one key");
    }

    fn teardown(mut world: ControlSimulation, _: FaultModel) {
        world.end_faults();
        world.run(RECOVERY);
        world.clear_gaps();
        world.run(Duration::from_secs(1));
        assert_eq!(world.overlaps, [], "two servers owned one key");
        let gap = world.longest_gap();
        assert!(gap <= MOVE_GAP, "keys stay unserved\n{}", world.describe());
    }
}

#[test]
fn faults_never_give_a_key_two_owners_1() {
    fuzz::run_sequences::<OwnershipTest>(1, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_2() {
    fuzz::run_sequences::<OwnershipTest>(2, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_3() {
    fuzz::run_sequences::<OwnershipTest>(3, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_4() {
    fuzz::run_sequences::<OwnershipTest>(4, STEPS, DEFAULT_CASES);
}
