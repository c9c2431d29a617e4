//! State machine fuzz test of the ownership cores: random faults at random times must
//! never give a key two owners.
//!
//! The oracle is [`OwnershipSimulation::overlaps`], for which the simulation asks every
//! upstream, on that upstream's own clock, which keys it holds. After each sequence all
//! faults end, and every key must have an owner again.
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
const UPSTREAMS: usize = 5;
const STEPS: usize = 50;
const DEFAULT_CASES: u32 = 60;

/// Simulated time before the first fault.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Simulated time after the last fault until every key must have an owner.
///
/// Covers the authority of a lost leader, the TTL of its last grants, and the moves that
/// follow.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

/// Longest allowed time without an owner during a planned move of a range.
const MAX_MOVE_GAP: Duration = Duration::from_millis(100);

/// Fault, end of a fault, or time that passes between faults.
#[derive(Clone, Debug)]
enum Fault {
    /// Milliseconds.
    Run(u64),
    KillInstance(usize),
    RestartInstance(usize),
    SuspendInstance(usize),
    ResumeInstance(usize),
    StopInstance(usize),
    InstanceReachesStore(usize, bool),
    /// Instance, upstream, and whether a network partition separates them.
    SetPartitioned(usize, usize, bool),
    SetStoreMode(StoreMode),
    /// Percentage of unanswered grants that take effect late.
    SetLateGrantPercent(u32),
    KillUpstream(usize),
    RestartUpstream(usize),
    SetDraining(usize, bool),
    UpstreamReachesStore(usize, bool),
    /// Restores the store from the copy taken some seconds before the last one.
    RestoreStore(usize),
    /// Key that about half of the requests go to, if any.
    SetHotKey(Option<u64>),
}

/// Options of one sequence's simulation; no fault depends on earlier ones.
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
        let store_mode = prop_oneof![
            3 => Just(StoreMode::Up),
            1 => Just(StoreMode::Down),
            1 => Just(StoreMode::LosesResponses),
            1 => Just(StoreMode::DelaysWrites),
        ];
        let instance = 0..INSTANCES;
        let upstream = 0..UPSTREAMS;
        prop_oneof![
            9 => (5u64..2500).prop_map(Fault::Run),
            2 => instance.clone().prop_map(Fault::KillInstance),
            3 => instance.clone().prop_map(Fault::RestartInstance),
            2 => instance.clone().prop_map(Fault::SuspendInstance),
            3 => instance.clone().prop_map(Fault::ResumeInstance),
            1 => instance.clone().prop_map(Fault::StopInstance),
            2 => (instance.clone(), any::<bool>())
                .prop_map(|(instance, reaches)| Fault::InstanceReachesStore(instance, reaches)),
            2 => (instance, upstream.clone(), any::<bool>())
                .prop_map(|(instance, upstream, partitioned)| {
                    Fault::SetPartitioned(instance, upstream, partitioned)
                }),
            2 => store_mode.prop_map(Fault::SetStoreMode),
            1 => prop_oneof![Just(0u32), Just(30)].prop_map(Fault::SetLateGrantPercent),
            1 => upstream.clone().prop_map(Fault::KillUpstream),
            2 => upstream.clone().prop_map(Fault::RestartUpstream),
            1 => (upstream.clone(), any::<bool>())
                .prop_map(|(upstream, draining)| Fault::SetDraining(upstream, draining)),
            1 => (upstream, any::<bool>())
                .prop_map(|(upstream, reaches)| Fault::UpstreamReachesStore(upstream, reaches)),
            1 => (0usize..9).prop_map(Fault::RestoreStore),
            1 => proptest::option::of(0u64..64).prop_map(Fault::SetHotKey),
        ]
        .boxed()
    }

    fn apply(state: FaultModel, _: &Fault) -> FaultModel {
        state
    }
}

struct OwnershipCoreTest;

impl StateMachineTest for OwnershipCoreTest {
    type SystemUnderTest = OwnershipSimulation;
    type Reference = FaultModel;

    fn init_test(model: &FaultModel) -> OwnershipSimulation {
        let mut simulation = OwnershipSimulation::new(SimulationOptions {
            instances: INSTANCES,
            upstreams: UPSTREAMS,
            seed: model.seed,
        });
        simulation.run(STARTUP_TIME);
        simulation
    }

    fn apply(
        mut simulation: OwnershipSimulation,
        _: &FaultModel,
        fault: Fault,
    ) -> OwnershipSimulation {
        match fault {
            Fault::Run(millis) => simulation.run(Duration::from_millis(millis)),
            Fault::KillInstance(instance) => simulation.kill(instance),
            Fault::RestartInstance(instance) => simulation.restart(instance),
            Fault::SuspendInstance(instance) => simulation.suspend(instance),
            Fault::ResumeInstance(instance) => simulation.resume(instance),
            Fault::StopInstance(instance) => simulation.stop(instance),
            Fault::InstanceReachesStore(instance, reaches) => {
                simulation.set_reaches_store(instance, reaches)
            }
            Fault::SetPartitioned(instance, upstream, partitioned) => {
                simulation.set_partitioned(instance, upstream, partitioned)
            }
            Fault::SetStoreMode(mode) => simulation.set_store_mode(mode),
            Fault::SetLateGrantPercent(percent) => simulation.late_grant_percent = percent,
            Fault::KillUpstream(upstream) => simulation.kill_upstream(upstream),
            Fault::RestartUpstream(upstream) => simulation.restart_upstream(upstream),
            Fault::SetDraining(upstream, draining) => simulation.set_draining(upstream, draining),
            Fault::UpstreamReachesStore(upstream, reaches) => {
                simulation.set_upstream_reaches_store(upstream, reaches);
            }
            Fault::RestoreStore(age) => simulation.restore_store(age),
            Fault::SetHotKey(key) => simulation.set_hot_key(key),
        }
        simulation
    }

    fn check_invariants(simulation: &OwnershipSimulation, _: &FaultModel) {
        assert!(
            simulation.overlaps.is_empty(),
            "two upstreams owned one key\n{}",
            simulation.describe()
        );
        let regressed = simulation.fence_regressions.first();
        assert!(
            regressed.is_none(),
            "a fencing token went back: {regressed:?}\n{}",
            simulation.describe()
        );
    }

    fn teardown(mut simulation: OwnershipSimulation, _: FaultModel) {
        // Instances that were asked to stop would have exited: all are killed, so that
        // `end_faults` starts new runs.
        for instance in 0..INSTANCES {
            simulation.kill(instance);
        }
        simulation.end_faults();
        simulation.set_hot_key(None);
        simulation.run(RECOVERY_TIME);
        assert!(
            simulation.overlaps.is_empty(),
            "two upstreams owned one key\n{}",
            simulation.describe()
        );
        // A planned move may be in progress at this moment.
        if !simulation.unowned().is_empty() {
            simulation.run(MAX_MOVE_GAP);
        }
        let unowned = simulation.unowned();
        assert!(
            unowned.is_empty(),
            "keys have no owner after the recovery time\n{}",
            simulation.describe()
        );
    }
}

#[test]
fn faults_never_give_a_key_two_owners_1() {
    fuzz::run_sequences::<OwnershipCoreTest>(11, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_2() {
    fuzz::run_sequences::<OwnershipCoreTest>(12, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_3() {
    fuzz::run_sequences::<OwnershipCoreTest>(13, STEPS, DEFAULT_CASES);
}

#[test]
fn faults_never_give_a_key_two_owners_4() {
    fuzz::run_sequences::<OwnershipCoreTest>(14, STEPS, DEFAULT_CASES);
}
