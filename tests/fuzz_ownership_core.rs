//! Stateful fuzzing of ownership by pushed grants: any faults at any moment.
//!
//! The oracle asks every upstream, on its own clock, which keys it holds. After
//! each sequence all faults end, and every key must have an owner again.
//!
//! `GODWITLOOM_FUZZ_CASES` sets the number of sequences per test.

#[path = "common/fuzz.rs"]
mod fuzz;

use godwitloom_standins::ownership::simulation::{
    OwnershipSimulation, SimulationOptions, StoreMode,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::time::Duration;

const INSTANCES: usize = 4;
const SERVERS: usize = 5;
const STEPS: usize = 50;
const DEFAULT_CASES: u32 = 60;
const START: Duration = Duration::from_secs(4);

/// Authority of a lost leader, its last grant, and the moves that follow.
const RECOVERY: Duration = Duration::from_secs(30);

/// Longest time without an owner while a range is moved as planned.
const MOVE_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
enum Fault {
    Run(u64),
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    Stop(usize),
    ReachesStore(usize, bool),
    Cut(usize, usize, bool),
    Store(StoreMode),
    LateGrants(u32),
    Crash(usize),
    Return(usize),
    Draining(usize, bool),
    ServerReachesStore(usize, bool),
    HotKey(Option<u64>),
}

#[derive(Clone, Debug)]
struct FaultModel {
    seed: u64,
}

impl ReferenceStateMachine for FaultModel {
    type State = FaultModel;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<FaultModel> {
        any::<u64>().prop_map(|seed| FaultModel { seed }).boxed()
    }

    fn transitions(_: &FaultModel) -> BoxedStrategy<Fault> {
        let store = prop_oneof![
            3 => Just(StoreMode::Up),
            1 => Just(StoreMode::Down),
            1 => Just(StoreMode::LosesResponses),
            1 => Just(StoreMode::DelaysWrites),
        ];
        let instance = 0..INSTANCES;
        let server = 0..SERVERS;
        prop_oneof![
            9 => (5u64..2500).prop_map(Fault::Run),
            2 => instance.clone().prop_map(Fault::Kill),
            3 => instance.clone().prop_map(Fault::Restart),
            2 => instance.clone().prop_map(Fault::Freeze),
            3 => instance.clone().prop_map(Fault::Thaw),
            1 => instance.clone().prop_map(Fault::Stop),
            2 => (instance.clone(), any::<bool>()).prop_map(|(i, r)| Fault::ReachesStore(i, r)),
            2 => (instance, server.clone(), any::<bool>())
                .prop_map(|(i, s, cut)| Fault::Cut(i, s, cut)),
            2 => store.prop_map(Fault::Store),
            1 => prop_oneof![Just(0u32), Just(30)].prop_map(Fault::LateGrants),
            1 => server.clone().prop_map(Fault::Crash),
            2 => server.clone().prop_map(Fault::Return),
            1 => (server.clone(), any::<bool>()).prop_map(|(s, d)| Fault::Draining(s, d)),
            1 => (server, any::<bool>()).prop_map(|(s, r)| Fault::ServerReachesStore(s, r)),
            1 => proptest::option::of(0u64..64).prop_map(Fault::HotKey),
        ]
        .boxed()
    }

    fn apply(state: FaultModel, _: &Fault) -> FaultModel {
        state
    }
}

struct PushedGrantTest;

impl StateMachineTest for PushedGrantTest {
    type SystemUnderTest = OwnershipSimulation;
    type Reference = FaultModel;

    fn init_test(model: &FaultModel) -> OwnershipSimulation {
        let mut world = OwnershipSimulation::new(SimulationOptions {
            instances: INSTANCES,
            upstreams: SERVERS,
            seed: model.seed,
        });
        world.run(START);
        world
    }

    fn apply(mut world: OwnershipSimulation, _: &FaultModel, fault: Fault) -> OwnershipSimulation {
        match fault {
            Fault::Run(millis) => world.run(Duration::from_millis(millis)),
            Fault::Kill(instance) => world.kill(instance),
            Fault::Restart(instance) => world.restart(instance),
            Fault::Freeze(instance) => world.suspend(instance),
            Fault::Thaw(instance) => world.resume(instance),
            Fault::Stop(instance) => world.stop(instance),
            Fault::ReachesStore(instance, reaches) => world.set_reaches_store(instance, reaches),
            Fault::Cut(instance, server, cut) => world.set_partitioned(instance, server, cut),
            Fault::Store(mode) => world.set_store_mode(mode),
            Fault::LateGrants(percent) => world.late_grant_percent = percent,
            Fault::Crash(server) => world.kill_upstream(server),
            Fault::Return(server) => world.restart_upstream(server),
            Fault::Draining(server, draining) => world.set_draining(server, draining),
            Fault::ServerReachesStore(server, reaches) => {
                world.set_upstream_reaches_store(server, reaches);
            }
            Fault::HotKey(key) => world.set_hot_key(key),
        }
        world
    }

    fn check_invariants(world: &OwnershipSimulation, _: &FaultModel) {
        assert!(
            world.overlaps.is_empty(),
            "two owners\n{}",
            world.describe()
        );
    }

    fn teardown(mut world: OwnershipSimulation, _: FaultModel) {
        // Instances that were asked to stop have ended; others take their place.
        for instance in 0..INSTANCES {
            world.kill(instance);
        }
        world.end_faults();
        world.set_hot_key(None);
        world.run(RECOVERY);
        assert!(
            world.overlaps.is_empty(),
            "two owners\n{}",
            world.describe()
        );
        // A planned move may be under way at this very moment.
        if !world.unowned().is_empty() {
            world.run(MOVE_TIME);
        }
        let unowned = world.unowned();
        assert!(unowned.is_empty(), "unowned keys\n{}", world.describe());
    }
}

#[test]
fn faults_never_give_a_key_two_owners_1() {
    fuzz::run_sequences::<PushedGrantTest>(11, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_2() {
    fuzz::run_sequences::<PushedGrantTest>(12, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_3() {
    fuzz::run_sequences::<PushedGrantTest>(13, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_4() {
    fuzz::run_sequences::<PushedGrantTest>(14, STEPS, DEFAULT_CASES);
}
